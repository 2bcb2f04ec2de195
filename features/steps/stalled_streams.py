"""Steps for stalled streams, with fakes of the calls to replicas."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from expression import Ok
from features.support.engine_fleet import create_small_engine, replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.overlapping_sends import plan_successor
from pimentodale.forwarding.stalls import StallReports, StallVerdict, check_stall
from pimentodale.forwarding.stream_monitor import Pause, examine_pause, investigation_pause_ms
from pimentodale.forwarding.stream_state import (
    StreamSend,
    StreamState,
    create_shared_stream_state,
)
from pimentodale.placement.messages import EngineReport, OrderOutcome, PathPart, RepathAnswer
from pimentodale.placement.paths import Path
from pimentodale.site.model import LayerRange
from pimentodale.site.replica_health import create_replica_health, incarnation_of

ATTEMPT = "attempt-1"
TOKENS = 10.0


@given("a stream over two replicas, the second of which has an alternative")
def make_stream(context: Any) -> None:
    clock = ManualClock()
    halves = {"first": LayerRange(0, 4), "second": LayerRange(4, 8), "other": LayerRange(4, 8)}
    replicas = {name: replica(name, "a", "fast", held) for name, held in halves.items()}
    context.asked, context.moved = [], []

    async def report(record: Any) -> Any:
        context.asked.append(record.replica_id)
        return Ok(EngineReport(False, 0, 0, 0, 0.0, 1.0, 1.0, 1, halves["first"], stalled=()))

    async def repath(_record: Any, attempt_id: str, parts: Any, _fence: int) -> Any:
        context.moved.append((attempt_id, [part.replica_id for part in parts]))
        return Ok(RepathAnswer(OrderOutcome.DONE))

    context.ctx = SimpleNamespace(
        clock=clock,
        replica_health=create_replica_health(clock),
        view=SimpleNamespace(
            replicas=replicas, replicas_of=lambda _service: list(replicas.values())
        ),
        loads=create_load_table(clock),
        slow_replicas=SimpleNamespace(slowness=lambda _record: 1.0),
        engines=SimpleNamespace(report=report, repath=repath),
        # The process runs all the while.
        own_pauses=SimpleNamespace(
            silence_ms=lambda since_ms: clock.now_ms() - since_ms,
            ask=lambda question: question(),
        ),
        retries=SimpleNamespace(has_budget=lambda *_: True, try_spend=lambda *_: True),
        crashes=SimpleNamespace(
            is_convicted=lambda _routed: False,
            awaits_verdict=lambda _routed: False,
            has_ended=lambda _incarnation: False,
        ),
        failure_domain="a",
        fence=lambda: 7,
    )
    parts = tuple(
        PathPart(name, replicas[name].address, halves[name]) for name in ("first", "second")
    )
    context.path = Path(parts, 1.0)
    context.send = StreamSend(context.path, events=3)
    context.state = StreamState(None, TOKENS, events=3, active=[context.send])


@when("another request finds the second replica down")
def find_down(context: Any) -> None:
    second = context.ctx.view.replicas["second"]
    context.ctx.replica_health.mark_down(incarnation_of(second), "it can't be connected to")


@when("another host reports that requests stall on the second replica")
def report_stall(context: Any) -> None:
    second = context.ctx.view.replicas["second"]
    context.ctx.replica_health.mark_suspect(
        incarnation_of(second), "requests stall on it", by_peer="h2"
    )


@when("the second replica's record is removed")
def remove(context: Any) -> None:
    del context.ctx.view.replicas["second"]


def investigation_ms(context: Any) -> float:
    """Return the pause after which the stream is investigated."""
    return investigation_pause_ms(
        context.ctx,
        create_shared_stream_state(context.ctx.clock),
        SimpleNamespace(),
        context.state,
        context.send,
    )


@then("a pause of {pause_ms:d} ms is investigated")
@then("a pause is investigated after {pause_ms:d} ms")
def check_investigation_pause(context: Any, pause_ms: int) -> None:
    assert investigation_ms(context) == pause_ms, investigation_ms(context)


def check(context: Any) -> Any:
    """Check why the stream is stalled."""
    service = SimpleNamespace(name="lm", engine=create_small_engine())
    work = check_stall(context.ctx, StallReports(), service, context.path, ATTEMPT, TOKENS, set())
    return asyncio.run(work)


@then("the stream is moved past it without a question to the head replica")
def check_moved(context: Any) -> None:
    found = check(context)
    assert found.verdict is StallVerdict.MOVED, found
    assert found.faulty == {"second"}, found
    assert context.moved == [(ATTEMPT, ["first", "other"])], context.moved
    assert context.asked == [], context.asked


@then("the head replica is asked what the stream waits for")
def check_asked(context: Any) -> None:
    found = check(context)
    assert found.verdict is StallVerdict.WAIT, found
    assert context.asked == ["first"], context.asked
    assert context.moved == [], context.moved


@given("another replica that can be the head")
def add_head(context: Any) -> None:
    context.ctx.view.replicas["spare"] = replica("spare", "a", "fast", LayerRange(0, 4))


@when("the retry budget is spent and no event has come from the head replica for {time_ms:d} ms")
def spend_and_fall_silent(context: Any, time_ms: int) -> None:
    context.ctx.retries = SimpleNamespace(has_budget=lambda *_: False, try_spend=lambda *_: False)
    fall_silent(context, time_ms)


@when("no event has come from the head replica for {time_ms:d} ms")
def fall_silent(context: Any, time_ms: int) -> None:
    clock = context.ctx.clock
    clock.advance(1_000.0)
    context.send.active_ms = clock.now_ms()
    clock.advance(float(time_ms))


def plan(context: Any) -> Any:
    """Return the path request of a successor of the silent send, or why there is none."""
    routed = SimpleNamespace(
        route=SimpleNamespace(is_resumable=True, max_attempts=2),
        service=SimpleNamespace(name="lm", engine=create_small_engine()),
        exchange=SimpleNamespace(is_begun=True),
        workspace="w1",
        sends=1,
        fingerprint="f",
    )
    shared_streams = create_shared_stream_state(context.ctx.clock)
    work = examine_pause(context.ctx, shared_streams, routed, context.state, context.send)
    assert asyncio.run(work) is Pause.SILENT
    planned = plan_successor(context.ctx, routed, context.state)
    assert context.state.active == [context.send]
    return planned


@then("the send goes on, and gets no successor because of {reason}")
def check_kept(context: Any, reason: str) -> None:
    assert plan(context) == reason


@then("the send goes on, and a successor waits for a path")
def check_waiting(context: Any) -> None:
    assert plan(context).find() is None


@then("the send goes on, and gets a successor elsewhere")
def check_successor(context: Any) -> None:
    path = plan(context).find()
    assert [part.replica_id for part in path.parts] == ["spare", "second"], path
