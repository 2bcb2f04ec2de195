"""Steps for replicas that are fuller than this host reckons."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, Final

from behave import given, then, when
from features.support.engine_fleet import create_small_engine, replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.learning import learn
from pimentodale.forwarding.loads import create_load_board
from pimentodale.forwarding.stages import choose_path
from pimentodale.forwarding.stream_state import AttemptEnd, StreamState
from pimentodale.placement.messages import PathPart
from pimentodale.placement.paths import Path, fill_capacity
from pimentodale.site.beliefs import create_replica_beliefs
from pimentodale.site.model import LayerRange

STALL_MS: Final = 2_500.0
WHOLE: Final = LayerRange(0, 8)


@given("a replica that seems half full with {count:d} requests and refuses one {how}")
def refuse_one(context: Any, count: int, how: str) -> None:
    clock = context.clock = ManualClock()
    engine = create_small_engine()
    record = replica("r", "a", "large", WHOLE)
    context.tokens = fill_capacity(engine, record) / 2 / count / len(WHOLE)
    context.service = SimpleNamespace(name="lm", engine=engine)
    context.means = SimpleNamespace(
        clock=clock,
        stall_ms=STALL_MS,
        failure_domain="a",
        beliefs=create_replica_beliefs(clock),
        loads=create_load_board(clock),
        paces=SimpleNamespace(slowness=lambda _replica: 1.0),
        view=SimpleNamespace(replicas={"r": record}, replicas_of=lambda _service: [record]),
    )
    context.parts = (PathPart("r", record.address, WHOLE),)
    for _ in range(count):
        context.means.loads.add(context.parts, context.tokens)
    state = StreamState(None, context.tokens)
    state.path = Path(context.parts, 1.0)
    state.active_ms = clock.now_ms()
    if how == "after it has stalled":
        clock.advance(STALL_MS)
    learn(context.means, context.service, state, AttemptEnd.REFUSED)


def has_path(context: Any) -> bool:
    """Whether a request of the refused one's size finds a path."""
    return choose_path(context.means, context.service, context.tokens, ()) is not None


@then("{time_ms:d} ms later there is no path for a request of that size")
def check_no_path(context: Any, time_ms: int) -> None:
    context.clock.advance(float(time_ms))
    assert not has_path(context)


@then("{time_ms:d} ms later there is a path for a request of that size")
def check_path_later(context: Any, time_ms: int) -> None:
    context.clock.advance(float(time_ms))
    assert has_path(context)


@when("one of the {_count:d} requests ends there")
def end_one(context: Any, _count: int) -> None:
    context.means.loads.remove(context.parts, context.tokens)


@then("there is a path for a request of that size")
def check_path(context: Any) -> None:
    assert has_path(context)


@then("nothing is taken for hidden load")
def check_not_hidden(context: Any) -> None:
    assert context.means.loads.hidden_kv("r") == 0.0
