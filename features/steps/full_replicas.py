"""Steps for replicas that are fuller than this host estimates."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, Final

from behave import given, then, when
from features.support.engine_fleet import create_small_engine, replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.passive_health import record_send_outcome
from pimentodale.forwarding.path_selection import choose_path
from pimentodale.forwarding.stream_state import SendEnd, StreamSend, StreamState
from pimentodale.placement.messages import PathPart
from pimentodale.placement.paths import Path, kv_fill_capacity
from pimentodale.site.model import LayerRange
from pimentodale.site.replica_health import create_replica_health

STALL_MS: Final = 2_500.0
WHOLE: Final = LayerRange(0, 8)


@given("a replica that seems half full with {count:d} requests and refuses one {how}")
def refuse_one(context: Any, count: int, how: str) -> None:
    clock = context.clock = ManualClock()
    engine = create_small_engine()
    record = replica("r", "a", "large", WHOLE)
    context.tokens = kv_fill_capacity(engine, record) / 2 / count / len(WHOLE)
    context.service = SimpleNamespace(name="lm", engine=engine)
    context.ctx = SimpleNamespace(
        clock=clock,
        stall_ms=STALL_MS,
        failure_domain="a",
        replica_health=create_replica_health(clock),
        loads=create_load_table(clock),
        slow_replicas=SimpleNamespace(slowness=lambda _replica: 1.0),
        view=SimpleNamespace(replicas={"r": record}, replicas_of=lambda _service: [record]),
    )
    context.parts = (PathPart("r", record.address, WHOLE),)
    for _ in range(count):
        context.ctx.loads.add(context.parts, context.tokens)
    state = StreamState(None, context.tokens)
    send = StreamSend(Path(context.parts, 1.0), active_ms=clock.now_ms())
    if how == "after it has stalled":
        clock.advance(STALL_MS)
    record_send_outcome(context.ctx, context.service, state, send, SendEnd.REFUSED)


def has_path(context: Any) -> bool:
    """Return whether there is a path for a request of the refused one's size."""
    return choose_path(context.ctx, context.service, context.tokens, ()) is not None


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
    context.ctx.loads.remove(context.parts, context.tokens)


@then("there is a path for a request of that size")
def check_path(context: Any) -> None:
    assert has_path(context)


@then("no load is inferred")
def check_not_inferred(context: Any) -> None:
    assert context.ctx.loads.inferred_kv("r") == 0.0
