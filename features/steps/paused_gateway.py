"""Steps for a gateway whose process doesn't run for a while."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import signal
import socket
import threading
import time
from types import SimpleNamespace
from typing import Any, Final

from behave import given, then, when
from features.support.engine_fleet import replica
from features.support.site import wait_until

from pimentodale.addresses import Address
from pimentodale.clock import ManualClock, create_clock
from pimentodale.forwarding.own_pauses import TICK_MS, create_own_pauses
from pimentodale.forwarding.passive_health import record_unreachable
from pimentodale.forwarding.stalls import StallReports
from pimentodale.platform.engine_client import create_platform_engine_client
from pimentodale.site.model import LayerRange
from pimentodale.site.replica_health import create_replica_health, incarnation_of

HELD_AGAINST: Final = (
    "A replica counts as down.",
    "A replica is suspected to be down.",
    "A silent send gets a successor.",
    "A silent send is kept.",
    "A send ended without a complete response.",
)
"""Lines of the log by which a gateway holds silence against replicas."""


REPORT: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@when("{count:d} streams of a gateway run, which is frozen for {pause_s:g} s with {stop}")
def freeze_gateway(context: Any, count: int, pause_s: float, stop: str) -> None:
    gateway = context.site.programs["g1"]
    # What was held against replicas while the site started is no matter of the pause.
    context.log_start = len(gateway.log.read_text(errors="replace"))
    context.streams = [context.gateways.open_stream("g1") for _ in range(count)]
    wait_until(
        lambda: all(len(stream.events) >= 3 for stream in context.streams), "streams run", 5.0
    )
    if stop != "no planned stop":
        gateway.process.send_signal(signal.SIGTERM)
    gateway.freeze()
    time.sleep(pause_s)
    gateway.wake()
    wait_until(lambda: all(stream.is_over for stream in context.streams), "streams end", 15.0)


@then("the gateway held its own pause against no replica")
def check_log(context: Any) -> None:
    log = context.site.programs["g1"].log.read_text(errors="replace")[context.log_start :]
    counts = {line: log.count(line) for line in HELD_AGAINST}
    print(counts)
    assert not any(counts.values()), counts


@then("the gateway logged once that it didn't run for 1.5 s")
def check_logged(context: Any) -> None:
    log = context.site.programs["g1"].log.read_text(errors="replace")[context.log_start :]
    lines = [json.loads(line) for line in log.splitlines() if "This process did not run." in line]
    durations_ms = [line["duration_ms"] for line in lines]
    # Beside other work, the process may also pause shortly by itself.
    assert sum(1_300 <= duration_ms <= 1_800 for duration_ms in durations_ms) == 1, durations_ms


@given("a replica that answers a report after {delay_ms:d} ms")
def plan_answer(context: Any, delay_ms: int) -> None:
    context.delay_ms = float(delay_ms)


@given("a replica that gives no report")
def plan_silence(context: Any) -> None:
    context.delay_ms = None


@when("a gateway asks for its report and doesn't run for {pause_ms:d} ms meanwhile")
def ask_across_pause(context: Any, pause_ms: int) -> None:
    context.report = asyncio.run(ask_report(context, float(pause_ms)))


@when("a gateway asks for its report and runs all the while")
def ask_running(context: Any) -> None:
    context.report = asyncio.run(ask_report(context, 0.0))


async def ask_report(context: Any, pause_ms: float) -> Any:
    """Ask a replica, which runs in a thread, for its report, and block the event loop meanwhile."""
    context.questions = 0
    is_asked = threading.Event()
    listening = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        # Ends as the socket is closed.
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listening.accept()
                connection.recv(65_536)
                context.questions += 1
                is_asked.set()
                if context.delay_ms is None:
                    held.append(connection)
                    continue
                time.sleep(context.delay_ms / 1_000.0)
                connection.sendall(REPORT)
                connection.close()

    held: list[socket.socket] = []
    threading.Thread(target=serve, daemon=True).start()
    clock = create_clock()
    own_pauses = create_own_pauses(clock)
    ticks = asyncio.ensure_future(own_pauses.run())
    address = Address(*listening.getsockname())
    record = dataclasses.replace(replica("a1", "a", "card", LayerRange(0, 8)), address=address)
    ctx: Any = SimpleNamespace(
        clock=clock, own_pauses=own_pauses, engines=create_platform_engine_client()
    )
    asked = asyncio.ensure_future(StallReports().ask(ctx, record))
    await asyncio.to_thread(is_asked.wait, 5.0)
    pause_process(pause_ms)
    report = await asked
    ticks.cancel()
    for open_socket in (*held, listening):
        open_socket.close()
    return report


def pause_process(pause_ms: float) -> None:
    """Block the event loop, as if the process didn't run."""
    time.sleep(pause_ms / 1_000.0)


@then("it has the report after {count:d} questions")
def check_report(context: Any, count: int) -> None:
    assert context.report.is_ok(), context.report
    assert context.questions == count, context.questions


@then("it has no report after {count:d} question")
def check_no_report(context: Any, count: int) -> None:
    assert context.report.is_error(), context.report
    assert context.questions == count, context.questions


@given("a replica whose connection was begun {ago_ms:d} ms ago")
def plan_connection(context: Any, ago_ms: int) -> None:
    context.ago_ms = float(ago_ms)


@when("the time-out of the connection passes at a gateway that {ran}")
def time_out(context: Any, ran: str) -> None:
    clock = ManualClock()
    own_pauses = create_own_pauses(clock)
    pause_ms = 500.0 if ran.startswith("paused") else 0.0
    run_for(clock, own_pauses, context.ago_ms - pause_ms)
    clock.advance(pause_ms)
    context.health = create_replica_health(clock)
    ctx: Any = SimpleNamespace(own_pauses=own_pauses, replica_health=context.health)
    context.replica = replica("a1", "a", "card", LayerRange(0, 8))
    record_unreachable(ctx, incarnation_of(context.replica), 0.0)


@then("the replica {is_down} and is due for a probe")
def check_down(context: Any, is_down: str) -> None:
    assert context.health.is_down(context.replica) == (is_down == "counts as down")
    assert context.health.due_probes() == [incarnation_of(context.replica)]


@given("a process that runs {run_ms:d} ms and pauses {pause_ms:d} ms in turn")
def plan_pauses(context: Any, run_ms: int, pause_ms: int) -> None:
    context.run_ms, context.pause_ms = float(run_ms), float(pause_ms)


@when("a replica has been silent for {silent_s:d} s of it")
def pause_often(context: Any, silent_s: int) -> None:
    clock = ManualClock()
    own_pauses = create_own_pauses(clock)
    while clock.now_ms() < silent_s * 1_000.0:
        run_for(clock, own_pauses, context.run_ms)
        clock.advance(context.pause_ms)
        own_pauses.note_running()
    context.counted_ms = own_pauses.silence_ms(0.0)


def run_for(clock: ManualClock, own_pauses: Any, duration_ms: float) -> None:
    """Let a process run for a while."""
    end_ms = clock.now_ms() + duration_ms
    while clock.now_ms() < end_ms:
        clock.advance(min(TICK_MS, end_ms - clock.now_ms()))
        own_pauses.note_running()


@then(
    "{least_ms:d} ms of its silence count, and at most one tick more for each of {count:d} pauses"
)
def check_silence(context: Any, least_ms: int, count: int) -> None:
    assert least_ms <= context.counted_ms <= least_ms + count * TICK_MS, context.counted_ms
