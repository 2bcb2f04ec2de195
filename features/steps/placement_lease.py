"""Steps for the lease of the host that places layers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from features.support.memory_store import MemoryState, MemoryStore, open_gate

from pimentodale.clients.key_value import StoreFault
from pimentodale.clock import ManualClock
from pimentodale.placement.placer import LEASE_MARGIN_MS, LEASE_NAME, LEASE_TTL_MS, Placer
from pimentodale.site.beliefs import create_replica_beliefs
from pimentodale.steward.lease import acquire_lease


@dataclass(slots=True)
class KnownStore:
    """What a host knows of the store: the lease's key, and how old that is."""

    items: dict[str, Any]
    heard_ms: float
    clock: ManualClock

    def age_ms(self) -> float:
        """Return how long ago anybody heard from the store."""
        return self.clock.now_ms() - self.heard_ms


@given("a host that places layers")
def create_holder(context: Any) -> None:
    context.clock = clock = ManualClock()
    context.state = MemoryState(clock)
    context.is_refused = False

    async def gate(_stage: str) -> StoreFault | None:
        return StoreFault(False, "refused") if context.is_refused else None

    store = MemoryStore(context.state, gate)
    context.known = KnownStore({}, 0.0, clock)
    view: Any = SimpleNamespace(mirror=context.known, configuration=object())
    beliefs = create_replica_beliefs(clock)
    engines: Any = None
    context.placer = Placer("h1", store, engines, view, beliefs, clock, random.Random(1))
    asyncio.run(context.placer._compete())
    context.known.items = dict(context.state.items)
    assert context.placer.lease is not None


def pass_ticks(context: Any, time_ms: float, *, is_heard: bool) -> None:
    """Let the host look at its lease each 200 ms."""
    end_ms = context.clock.now_ms() + time_ms
    while context.clock.now_ms() < end_ms:
        context.clock.advance(200.0)
        if is_heard:
            context.known.heard_ms = context.clock.now_ms()
        may_order = context.placer.lease is not None and asyncio.run(context.placer._keep())
        context.looks.append((context.clock.now_ms(), may_order))


@when(
    "the store refuses it for {time_s:d} s while others still hear from the store, and then "
    "answers nobody"
)
def refuse_then_fall_silent(context: Any, time_s: int) -> None:
    context.looks = []
    context.is_refused = True
    context.sure_until_ms = context.placer.lease.sure_until_ms
    pass_ticks(context, time_s * 1000.0 + context.sure_until_ms, is_heard=True)
    context.silent_ms = context.clock.now_ms()
    pass_ticks(context, 5_000.0, is_heard=False)


@then("it gives no order in the first {time_s:d} s after its lease is no longer sure")
def check_no_orders(context: Any, time_s: int) -> None:
    start_ms = context.sure_until_ms
    unsure = [look for look in context.looks if start_ms <= look[0] < start_ms + time_s * 1000.0]
    assert len(unsure) > 10, len(unsure)
    assert not any(may_order for _, may_order in unsure), unsure


@then("it goes on placing within {time_s:d} s after nobody hears from the store")
def check_goes_on(context: Any, time_s: int) -> None:
    end_ms = context.silent_ms + time_s * 1000.0
    later = [may_order for now_ms, may_order in context.looks if now_ms >= end_ms]
    assert later, "nothing was looked at"
    assert all(later), later


@when("the store refuses it for {time_s:d} s and another host takes the lease over")
def take_over(context: Any, time_s: int) -> None:
    context.looks = []
    context.is_refused = True
    pass_ticks(context, time_s * 1000.0, is_heard=True)
    context.is_refused = False
    taken = acquire_lease(
        MemoryStore(context.state, open_gate),
        context.clock,
        LEASE_NAME,
        "h2",
        LEASE_TTL_MS,
        LEASE_MARGIN_MS,
    )
    assert asyncio.run(taken).ok is not None
    context.is_refused = True
    context.known.items = dict(context.state.items)
    pass_ticks(context, 200.0, is_heard=True)


@then("it no longer holds the lease")
def check_lost(context: Any) -> None:
    assert context.placer.lease is None
