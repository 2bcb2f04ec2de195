"""Starts a small site on loopback, sends the main kinds of requests and shows what ran where."""

from __future__ import annotations

import json
import shutil
import signal
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa
import msgspec
from features.support.layout import LAYERS, MODEL, Layout, headers_of
from features.support.site import Site, http

from pimentodale.callers.reads import TraceReply
from pimentodale.ctl.explain import describe_spans
from pimentodale.standin.reference_text import reference_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

PROMPT = "Summarise the strain curve of sample 7 for the shipyard."


@cappa.command(name="demo", help="Start a small site, use it and show what ran where.")
@dataclass(slots=True)
class DemoCommand:
    """Arguments of the demo."""

    keep: Annotated[bool, cappa.Arg(long=True, help="Leave the site up until Ctrl-C.")] = False


def main() -> int:
    """Run the demo.

    Returns:
        0 if everything was as it has to be.
    """
    command = cappa.parse(DemoCommand)
    site = Site(seed=1)
    layout = Layout(site)
    try:
        layout.start()
        print("Three entry hosts, six engines that hold ranges of one model, one plain service.\n")
        good = all([_completion(layout), _lookup(layout), _reservation(layout)])
        if command.keep:
            _keep(layout)
    except AssertionError:
        print(site.logs())
        raise
    finally:
        site.stop()
        shutil.rmtree(site.folder, ignore_errors=True)
    print("all as it has to be" if good else "something is wrong")
    return 0 if good else 1


def _completion(layout: Layout) -> bool:
    """Stream a chat completion through a pipeline and show its trace."""
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    headers = headers_of("lab", **{"X-Request-Id": "demo-completion"})
    reply = http(layout.entry_url(0, "/v1/chat/completions"), body, headers=headers)
    text = "".join(_deltas(reply.body))
    expected = "".join(reference_tokens(f"user: {PROMPT}", LAYERS, 24))
    print(f"completion: HTTP {reply.status}: {text}")
    print(f"  every layer ran once, in order: {text == expected}")
    _show_trace(layout, 0, "demo-completion")
    for replica, lines in layout.engine_runs().items():
        ran = [line for line in lines if line.get("request_id") == "demo-completion"]
        if ran:
            print(f"  journal of {replica}: {ran[-1]}")
    return reply.status == 200 and text == expected


def _lookup(layout: Layout) -> bool:
    """Look something up in the plain service."""
    headers = headers_of("lab", **{"X-Request-Id": "demo-lookup"})
    reply = http(layout.entry_url(1, "/services/rigs/status/7"), headers=headers)
    print(f"\nlookup: HTTP {reply.status}: {reply.body.decode()}")
    _show_trace(layout, 1, "demo-lookup")
    return reply.status == 200


def _reservation(layout: Layout) -> bool:
    """Send one reservation twice, through two entry hosts, under one key."""
    headers = headers_of("lab", **{"Idempotency-Key": "demo-reservation"})
    replies = [
        http(layout.entry_url(number, "/services/rigs/reservations"), {"rig": 7}, headers=headers)
        for number in (0, 2)
    ]
    for reply in replies:
        print(f"\nreservation: HTTP {reply.status}: {reply.body.decode()}")
    runs = [line for line in layout.service_runs() if line["idempotency_key"] == "demo-reservation"]
    print(
        f"  sent twice, ran {len(runs)} time(s), same answer: {replies[0].body == replies[1].body}"
    )
    return len(runs) == 1 and replies[0].body == replies[1].body


def _deltas(stream: bytes) -> list[str]:
    """Return the pieces of a streamed chat answer."""
    events = [line[6:] for line in stream.split(b"\n") if line.startswith(b"data: {")]
    choices = [choice for event in events for choice in json.loads(event)["choices"]]
    return [choice["delta"].get("content") or "" for choice in choices]


def _show_trace(layout: Layout, entry: int, request_id: str) -> None:
    """Print a request's spans as a tree."""
    reply = http(layout.entry_url(entry, f"/admin/trace?request_id={request_id}"))
    spans = msgspec.json.decode(reply.body, type=TraceReply).spans
    for line in describe_spans(spans):
        print(f"  {line}")


def _keep(layout: Layout) -> None:
    """Print the addresses and wait for Ctrl-C."""
    for number in range(layout.entries):
        print(f"entry-{number}: {layout.entry_url(number)}")
    print(f"key-value service: {layout.key_value_address}")
    print(f"host list: {layout.host_list_address}")
    print("bearer token: token-lab")
    _wait_for_signal(signal.SIGINT, signal.SIGTERM)


def _wait_for_signal(*numbers: signal.Signals) -> None:
    """Wait for one of the signals."""
    handler: Callable[..., None] = lambda *_: None  # noqa: E731
    for number in numbers:
        signal.signal(number, handler)
    signal.sigwait(numbers)


if __name__ == "__main__":
    sys.exit(main())
