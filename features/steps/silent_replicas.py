"""Steps for replicas that give nothing for a while."""

from __future__ import annotations

import contextlib
import re
import signal
import threading
import time
from collections import Counter, defaultdict
from typing import Any

from behave import given, then, when
from features.support.gateway_site import ENGINE_REPLICAS, create_gateway_site
from features.support.site import http as call
from features.support.site import wait_until

EVENTS = 60
BETWEEN_PAUSES_S = 1.6

READERS = 16
READ_S = 2.5

MAX_ATTEMPTS = 2
"""The limit of the site's routes."""


@given("a site whose replicas send {events:d} events, {event_ms:d} ms apart")
def start_site(context: Any, events: int, event_ms: int) -> None:
    context.gateways = create_gateway_site(context.site)
    context.gateways.start_all(events=events, event_ms=float(event_ms))


def open_streams(context: Any, count: int) -> None:
    """Open streams of different requests, as callers have them, and wait until they run."""
    context.streams = [
        context.gateways.open_stream("g1", b"body %d" % number) for number in range(count)
    ]
    wait_until(
        lambda: all(len(stream.events) >= 3 for stream in context.streams), "streams run", 5.0
    )


def wait_for_end(context: Any) -> None:
    """Wait until all streams have ended in any way."""
    wait_until(lambda: all(stream.is_over for stream in context.streams), "streams end", 15.0)


@when(
    "{count:d} streams of a gateway run {when} a planned stop, and their replicas pause {pauses:d} "
    "times for {pause_ms:d} ms"
)
def pause_under_streams(context: Any, count: int, when: str, pauses: int, pause_ms: int) -> None:
    open_streams(context, count)
    if when == "during":
        context.site.programs["g1"].process.send_signal(signal.SIGTERM)
    replicas = context.site.programs["replicas"]
    for number in range(pauses):
        if number:
            time.sleep(BETWEEN_PAUSES_S)
        replicas.freeze()
        time.sleep(pause_ms / 1_000.0)
        replicas.wake()
    wait_for_end(context)


@when(
    "{count:d} streams of a gateway run without a planned stop, and their replicas give no event "
    "{pauses:d} times for {pause_ms:d} ms"
)
def hold_events(context: Any, count: int, pauses: int, pause_ms: int) -> None:
    open_streams(context, count)
    for number in range(pauses):
        if number:
            time.sleep(BETWEEN_PAUSES_S)
        for name in ENGINE_REPLICAS:
            context.gateways.admin(name, "hold")
        time.sleep(pause_ms / 1_000.0)
        for name in ENGINE_REPLICAS:
            context.gateways.admin(name, "go-on")
    wait_for_end(context)


@then("silent sends had successors and were superseded")
def check_superseded(context: Any) -> None:
    text = call(f"http://{context.gateways.ip('g1')}:7001/metrics").body.decode()
    counts = dict(re.findall(r'pimentodale_silent_sends_total{kind="(\w+)"} (\S+)', text))
    print(counts)
    assert float(counts.get("succeeded", 0)) > 0, counts
    assert float(counts.get("superseded", 0)) > 0, counts


@then("all of the streams are whole with each event exactly once")
def check_whole(context: Any) -> None:
    wanted = [str(number) for number in range(1, EVENTS + 1)]
    cut = [stream for stream in context.streams if not stream.is_whole]
    assert (
        not cut
    ), f"{len(cut)} of {len(context.streams)} cut, the first after {cut[0].events[-1:]}"
    for stream in context.streams:
        assert stream.events == wanted, stream.events


@then("no client waited for an event for {gap_s:g} s")
def check_gaps(context: Any, gap_s: float) -> None:
    longest_s = max(stream.longest_pause_s for stream in context.streams)
    print(f"longest pause of a client {longest_s * 1_000.0:.0f} ms")
    assert longest_s < gap_s, longest_s


@then("no stream ran at more replicas than its route allows")
def check_attempts(context: Any) -> None:
    ran_at = defaultdict(set)
    for begin in context.gateways.journal("begin"):
        ran_at[begin["attempt"]].add(begin["replica"])
    for attempt, replicas in ran_at.items():
        assert len(replicas) <= MAX_ATTEMPTS, (attempt, replicas)


@when(
    "16 clients read through a gateway {when} a planned stop, and its replicas pause for "
    "{pause_ms:d} ms"
)
def pause_under_reads(context: Any, when: str, pause_ms: int) -> None:
    site = context.gateways
    context.replies = []
    end_s = time.monotonic() + READ_S
    lock = threading.Lock()

    def read() -> None:
        while time.monotonic() < end_s:
            with lock:
                headers = site.headers()
            # A gateway that has stopped takes no connection.
            with contextlib.suppress(OSError):
                reply = site.request("g1", "/read/x", method="GET", headers=headers)
                context.replies.append(reply)

    clients = [threading.Thread(target=read) for _ in range(READERS)]
    for client in clients:
        client.start()
    time.sleep(0.5)
    if when == "during":
        context.site.programs["g1"].process.send_signal(signal.SIGTERM)
    replicas = context.site.programs["replicas"]
    replicas.freeze()
    time.sleep(pause_ms / 1_000.0)
    replicas.wake()
    for client in clients:
        client.join(20.0)


@then("each read is answered by a replica or refused as not run")
def check_reads(context: Any) -> None:
    statuses = Counter(reply.status for reply in context.replies)
    print(dict(statuses))
    assert statuses[200] > READERS, statuses
    # A gateway that stops, or knows of no replica that answers, takes no new request.
    assert set(statuses) <= {200, 503}, statuses
    refused = [reply for reply in context.replies if reply.status == 503]
    assert all(reply.json()["ran"] == "not_run" for reply in refused), refused[:1]
