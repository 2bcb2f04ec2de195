"""Steps about a platform that is out of reach."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

from behave import given, then, when
from features.steps.whole_path import chat_body, chat_text, start_small_site, streamed_text
from features.support.layout import (
    ADMIN_PORT,
    PLATFORM_NUMBER,
    Layout,
    default_folder,
    headers_of,
)
from features.support.site import Reply, http, wait_until

AT_ONCE_S: Final = 3.0
REFUSED_AT_ONCE_S: Final = 1.0
MOST_RETRY_AFTER_MS: Final = 1_000.0
TOKENS: Final = 6


@dataclass(slots=True)
class TimedReply:
    """A reply with its times in seconds."""

    start_s: float
    passed_s: float
    reply: Reply


def reserve(context: Any, key: str, number: int) -> Reply:
    """Send a reservation under a key through an entry host."""
    url = context.layout.entry_url(number, "/services/rigs/reservations")
    return http(url, {"rig": key}, headers=headers_of("lab", **{"Idempotency-Key": key}))


def host_list_fault(context: Any, **faults: Any) -> None:
    """Switch the host list's faults."""
    ip = context.site.ip(PLATFORM_NUMBER)
    reply = http(f"http://{ip}:{ADMIN_PORT + 1}/admin/faults", faults)
    assert reply.status == 200, reply


def generate_through(context: Any, number: int) -> str:
    """Stream a short text through an entry host."""
    url = context.layout.entry_url(number, "/v1/chat/completions")
    body = chat_body(f"Outage {number}.", TOKENS, stream=True)
    return streamed_text(http(url, body, headers=headers_of("lab")))


def revision_at(context: Any, number: int) -> int:
    """Return the revision in force at an entry host."""
    revision: int = http(context.layout.entry_url(number, "/admin/configuration")).json()[
        "revision"
    ]
    return revision


@given('a reservation "{key}" was made through entry host {number:d}')
def reserve_before(context: Any, key: str, number: int) -> None:
    assert reserve(context, key, number).status == 200


@when("the key-value service and the host list go down")
def cut_platform(context: Any) -> None:
    context.revisions = [revision_at(context, number) for number in range(3)]
    context.layout.key_value_fault(down=True)
    host_list_fault(context, down=True)


@then("generations and lookups are whole through each entry host")
def check_serving(context: Any) -> None:
    for number in range(3):
        assert generate_through(context, number) == chat_text(f"Outage {number}.", TOKENS)
        url = context.layout.entry_url(number, "/services/rigs/status/7")
        assert http(url, headers=headers_of("lab")).status == 200


@then(
    'a new reservation "{key}" is refused at once through entry host {number:d}, told that this '
    "attempt ran nothing"
)
def check_refused(context: Any, key: str, number: int) -> None:
    start = time.monotonic()
    refusal = reserve(context, key, number).json()
    assert time.monotonic() - start < AT_ONCE_S
    assert refusal["name"] == "ledger_unavailable", refusal
    assert refusal["ran"] == "may_have_run", refusal
    assert refusal["this_attempt"] == "not_run", refusal
    assert refusal["earlier_attempt"] == "unknown", refusal
    assert refusal["retry_after_ms"] > 0, refusal


@then('a re-send of "{key}" through entry host {number:d} is not told not_run')
def check_resend(context: Any, key: str, number: int) -> None:
    reply = reserve(context, key, number)
    assert reply.json()["ran"] == "may_have_run", reply


@when("the platform comes back and a file of the folder is changed")
def heal(context: Any) -> None:
    context.layout.key_value_fault()
    host_list_fault(context)
    folder = default_folder()
    folder["10-models.yaml"]["models"][0]["max_output_tokens"] = 99
    context.layout.put_folder({"10-models.yaml": folder["10-models.yaml"]})
    context.changed_s = time.monotonic()


@then("the change is in force on each entry host within {limit_ms:d} ms and no revision fell")
def check_change(context: Any, limit_ms: int) -> None:
    def in_force() -> bool:
        now = [revision_at(context, number) for number in range(3)]
        assert all(new >= old for new, old in zip(now, context.revisions, strict=True)), now
        return min(now) > max(context.revisions)

    wait_until(in_force, "the change is in force", limit_ms / 1000)


@then('reservations "{first}" and "{second}" each ran once after being sent again')
def check_ran_once(context: Any, first: str, second: str) -> None:
    for key in (first, second):
        for number in range(3):
            reply = reserve(context, key, number)
            if reply.status != 200:
                # A host leaves a service that failed alone for a moment, and says for how long.
                refusal = reply.json()
                assert refusal["name"] == "ledger_unavailable", refusal
                assert refusal["retry_after_ms"] <= MOST_RETRY_AFTER_MS, refusal
                time.sleep(refusal["retry_after_ms"] / 1000)
                reply = reserve(context, key, number)
            assert reply.status == 200, reply
    # Lookups are journalled too, without a key.
    keys = [run["idempotency_key"] for run in context.layout.service_runs()]
    runs = [key for key in keys if key]
    assert sorted(runs) == sorted([first, second]), runs


@given("entry host {number:d} is killed")
def kill_entry(context: Any, number: int) -> None:
    context.site.programs[f"entry-{number}"].kill()


@when("the key-value service goes down and entry host {number:d} is started again")
def restart_in_outage(context: Any, number: int) -> None:
    context.layout.key_value_fault(down=True)
    context.layout.start_entry(number)


@then("entry host {number:d} serves a generation, with the configuration from a peer")
def check_learned(context: Any, number: int) -> None:
    context.site.wait_ready(context.layout.entry_url(number, "/readyz"))
    assert generate_through(context, number) == chat_text(f"Outage {number}.", TOKENS)
    status = http(context.layout.entry_url(number, "/admin/configuration")).json()
    assert status["source"] == "peer", status


@given('a small site whose workspace "{name}" may make {rate:d} requests a second')
def start_limited_site(context: Any, name: str, rate: int) -> None:
    start_small_site(context)
    folder = default_folder()
    for workspace in folder["20-workspaces.yaml"]["workspaces"]:
        if workspace["name"] == name:
            workspace["rate_requests_per_s"] = rate
    before = [revision_at(context, number) for number in range(3)]
    layout: Layout = context.layout
    layout.put_folder({"20-workspaces.yaml": folder["20-workspaces.yaml"]})
    wait_until(
        lambda: min(revision_at(context, number) for number in range(3)) > max(before),
        "the rate is in force",
    )


@when("it sends {rate:d} requests a second for {seconds:d} s, evenly over the three entry hosts")
def send_at_rate(context: Any, rate: int, seconds: int) -> None:
    start = time.monotonic()

    def send(number: int) -> TimedReply:
        # An open loop: each request has its own time, however the earlier ones fare.
        time.sleep(max(0.0, start + number / rate - time.monotonic()))
        began = time.monotonic()
        url = context.layout.entry_url(number % 3, "/v1/chat/completions")
        body = chat_body(f"Rate {number}.", 1, stream=False)
        reply = http(url, body, headers=headers_of("lab"))
        return TimedReply(began - start, time.monotonic() - began, reply)

    with ThreadPoolExecutor(rate) as pool:
        context.timed = list(pool.map(send, range(rate * seconds)))
    context.seconds = seconds


@then("at most {most:d} requests a second are let through over the last {seconds:d} s")
def check_rate(context: Any, most: int, seconds: int) -> None:
    late = [timed for timed in context.timed if timed.start_s >= context.seconds - seconds]
    passed = [timed for timed in late if timed.reply.status == 200]
    print(f"{len(passed) / seconds:.1f} of {len(late) / seconds:.1f} requests a second let through")
    assert 0 < len(passed) <= most * seconds, len(passed)


@then("each refusal came at once, with when to come back")
def check_rate_refusals(context: Any) -> None:
    refused = [timed for timed in context.timed if timed.reply.status != 200]
    assert refused
    for timed in refused:
        refusal = timed.reply.json()
        assert refusal["name"] == "workspace_limit", refusal
        assert refusal["ran"] == "not_run", refusal
        assert refusal["retry_after_ms"] > 0, refusal
        assert timed.passed_s < REFUSED_AT_ONCE_S, timed
