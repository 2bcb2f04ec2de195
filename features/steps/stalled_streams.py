"""Steps for streams that pause, on fakes of the replicas' calls."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from expression import Ok
from features.support.engine_fleet import create_small_engine, replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.loads import create_load_board
from pimentodale.forwarding.stalls import StallReports, Verdict, check_stall
from pimentodale.forwarding.stream_state import StreamState, create_stream_pool
from pimentodale.forwarding.stream_watch import gives_up, patience_ms
from pimentodale.placement.messages import EngineReport, OrderOutcome, PathPart
from pimentodale.placement.paths import Path
from pimentodale.site.beliefs import create_replica_beliefs, incarnation_of
from pimentodale.site.model import LayerRange

ATTEMPT = "attempt-1"
TOKENS = 10.0


@given("a stream over two replicas, the second of which has a stand-in")
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
        return Ok(OrderOutcome.DONE)

    context.means = SimpleNamespace(
        clock=clock,
        beliefs=create_replica_beliefs(clock),
        view=SimpleNamespace(
            replicas=replicas, replicas_of=lambda _service: list(replicas.values())
        ),
        loads=create_load_board(clock),
        paces=SimpleNamespace(slowness=lambda _record: 1.0),
        engines=SimpleNamespace(report=report, repath=repath),
        retries=SimpleNamespace(has_left=lambda *_: True),
        failure_domain="a",
        fence=lambda: 7,
    )
    parts = tuple(
        PathPart(name, replicas[name].address, halves[name]) for name in ("first", "second")
    )
    context.path = Path(parts, 1.0)
    context.state = StreamState(None, TOKENS, path=context.path, send_events=3, events=3)


@when("another request finds the second replica down")
def find_down(context: Any) -> None:
    second = context.means.view.replicas["second"]
    context.means.beliefs.mark_down(incarnation_of(second), "it can't be connected to")


@when("another host doubts the second replica")
def doubt(context: Any) -> None:
    second = context.means.view.replicas["second"]
    context.means.beliefs.doubt(incarnation_of(second), "requests stall on it", by_peer="h2")


@when("the second replica's record is removed")
def remove(context: Any) -> None:
    del context.means.view.replicas["second"]


def look_in_ms(context: Any) -> float:
    """Return the pause after which the stream is looked at."""
    return patience_ms(
        context.means, create_stream_pool(context.means.clock), SimpleNamespace(), context.state
    )


@then("a pause of {pause_ms:d} ms is looked into")
@then("a pause is looked into after {pause_ms:d} ms")
def check_patience(context: Any, pause_ms: int) -> None:
    assert look_in_ms(context) == pause_ms, look_in_ms(context)


def check(context: Any) -> Any:
    """Look into the stream's pause."""
    service = SimpleNamespace(name="lm", engine=create_small_engine())
    work = check_stall(context.means, StallReports(), service, context.path, ATTEMPT, TOKENS, set())
    return asyncio.run(work)


@then("the stream is moved past it without a question to the first replica")
def check_moved(context: Any) -> None:
    found = check(context)
    assert found.verdict is Verdict.MOVED, found
    assert found.faulty == {"second"}, found
    assert context.moved == [(ATTEMPT, ["first", "other"])], context.moved
    assert context.asked == [], context.asked


@then("the first replica is asked what the stream waits for")
def check_asked(context: Any) -> None:
    found = check(context)
    assert found.verdict is Verdict.WAIT, found
    assert context.asked == ["first"], context.asked
    assert context.moved == [], context.moved


@given("another replica that can be the first")
def add_head(context: Any) -> None:
    context.means.view.replicas["spare"] = replica("spare", "a", "fast", LayerRange(0, 4))


@when(
    "the share of repeats is spent and no event has come from the first replica for {time_ms:d} ms"
)
def spend_and_fall_silent(context: Any, time_ms: int) -> None:
    context.means.retries = SimpleNamespace(has_left=lambda *_: False)
    fall_silent(context, time_ms)


@when("no event has come from the first replica for {time_ms:d} ms")
def fall_silent(context: Any, time_ms: int) -> None:
    clock = context.means.clock
    context.pool = create_stream_pool(clock)
    clock.advance(1_000.0)
    context.pool.note_heard("first", clock.now_ms())
    context.state.active_ms = clock.now_ms()
    clock.advance(float(time_ms))


@when("another stream of the first replica has had an event since")
def hear_another(context: Any) -> None:
    context.pool.note_heard("first", context.means.clock.now_ms())


def is_given_up(context: Any) -> bool:
    """Tell whether the silent stream is taken from its first replica."""
    route = SimpleNamespace(is_resumable=True)
    service = SimpleNamespace(name="lm", engine=create_small_engine())
    routed = SimpleNamespace(route=route, service=service)
    return gives_up(context.means, context.pool, routed, context.state)


@then("the stream is waited for")
def check_waited_for(context: Any) -> None:
    assert not is_given_up(context)


@then("the stream is given up")
def check_stream_given_up(context: Any) -> None:
    assert is_given_up(context)
