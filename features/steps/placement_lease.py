"""Steps for the lease of the host that places layers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import msgspec
from behave import given, then, when
from features.support.memory_store import MemoryState, MemoryStore, open_gate

from pimentodale.clients.key_value import StoreFault
from pimentodale.clock import ManualClock
from pimentodale.gateway.state_sharing import share_lease
from pimentodale.placement.placer import LEASE_MARGIN_MS, LEASE_NAME, LEASE_TTL_MS, Placer
from pimentodale.site.replica_health import create_replica_health
from pimentodale.steward.lease import LEASE_PREFIX, acquire_lease


@dataclass(slots=True)
class FakeMirror:
    """A host's mirror of the store: the lease key, and the age of that knowledge."""

    items: dict[str, Any]
    reached_ms: float
    clock: ManualClock
    era: int = 0
    era_entered_ms: float = float("-inf")

    def age_ms(self) -> float:
        """Return how long ago any host last reached the store."""
        return self.clock.now_ms() - self.reached_ms


class InstantPeers:
    """Delivers the messages between the hosts of a site immediately."""

    def __init__(self) -> None:
        self.callbacks: dict[str, Any] = {}
        self.published_by: list[str] = []
        """Hosts that published a message."""

    def peers_of(self, host: str) -> Any:
        """Return one host's connection to the others."""

        def publish(_topic: str, _key: str, value: bytes, _ttl_ms: float) -> None:
            self.published_by.append(host)
            for other, callback in self.callbacks.items():
                if other != host:
                    callback(SimpleNamespace(owner=host, value=value))

        def subscribe(_topic: str, callback: Any) -> None:
            self.callbacks[host] = callback

        return SimpleNamespace(own=SimpleNamespace(host=host), publish=publish, subscribe=subscribe)


@given("a host that places layers")
def create_holder(context: Any) -> None:
    context.clock = clock = ManualClock()
    context.state = MemoryState(clock)
    context.is_refused = False
    context.mirror_state = FakeMirror({}, 0.0, clock)
    context.placer = create_placer(context, "h1")
    asyncio.run(context.placer._try_acquire_lease())
    context.mirror_state.items = dict(context.state.items)
    assert context.placer.lease is not None


def create_placer(context: Any, host: str) -> Placer:
    """Return a host's placer without running it."""

    async def gate(_stage: str) -> StoreFault | None:
        return StoreFault(False, "refused") if context.is_refused else None

    view: Any = SimpleNamespace(mirror=context.mirror_state, configuration=object())
    engines: Any = None
    clock = context.clock
    store = MemoryStore(context.state, gate)
    replica_health = create_replica_health(clock)
    return Placer(host, store, engines, view, replica_health, clock, random.Random(1))


@given("a host that places layers, and two other hosts")
def create_hosts(context: Any) -> None:
    create_holder(context)
    context.others = [create_placer(context, host) for host in ("h2", "h3")]
    context.peers_hub = InstantPeers()
    for placer in (context.placer, *context.others):
        peers = context.peers_hub.peers_of(placer.host)
        share_lease(placer, peers, lambda: ["h1", "h2", "h3"])
    context.fence = context.placer.lease.fencing_number


@when("the store answers no host for {time_s:d} s and the holder stops")
def stop_without_store(context: Any, time_s: int) -> None:
    context.is_refused = True
    context.clock.advance(time_s * 1_000.0)
    asyncio.run(context.placer.release())


@when(
    "the store answers no host for {time_s:d} s and the holder stops after another host was seen "
    "with a higher fencing number"
)
def stop_superseded(context: Any, time_s: int) -> None:
    key = LEASE_PREFIX + LEASE_NAME
    item = context.mirror_state.items[key]
    context.mirror_state.items = {
        key: msgspec.structs.replace(item, mod_revision=context.fence + 1)
    }
    stop_without_store(context, time_s)


@when("the holder stops")
def stop_holder(context: Any) -> None:
    asyncio.run(context.placer.release())


@then("the next in rank continues placement immediately, with the same fencing number")
def check_next_continues(context: Any) -> None:
    second, third = context.others
    assert second.lease is not None
    assert second.lease.fencing_number == context.fence
    assert asyncio.run(second._keep_lease())
    assert third.lease is None


@then("the host that stopped no longer holds the lease, and does not acquire it again")
def check_stays_out(context: Any) -> None:
    assert context.placer.lease is None
    context.is_refused = False
    context.mirror_state.items = {}
    asyncio.run(context.placer._try_acquire_lease())
    assert context.placer.lease is None


@when("the store answers again before the lease expires")
def end_outage(context: Any) -> None:
    # Leases do not expire during a store outage.
    lease_id = context.others[0].lease.lease_id
    context.state.leases[lease_id] = context.clock.now_ms() + 1_000.0
    context.is_refused = False
    context.mirror_state.reached_ms = context.clock.now_ms()
    context.clock.advance(900.0)
    asyncio.run(context.others[0]._keep_lease())


@then("the host that took over has a valid lease")
def check_valid(context: Any) -> None:
    assert context.others[0].lease.is_valid_for(0.0)


@then("the next in rank has a valid lease at its next check")
def check_valid_at_next_check(context: Any) -> None:
    second, third = context.others
    context.mirror_state.items = dict(context.state.items)
    assert asyncio.run(second._keep_lease())
    assert second.lease.is_valid_for(0.0)
    assert third.lease is None


@then("the lease is free in the store")
def check_free(context: Any) -> None:
    context.state.expire()
    assert LEASE_PREFIX + LEASE_NAME not in context.state.items


@then("no host takes over the lease that was handed over")
def check_not_taken(context: Any) -> None:
    assert context.peers_hub.published_by == ["h1"]
    assert [placer.lease for placer in context.others] == [None, None]


def pass_ticks(context: Any, time_ms: float, *, is_reached: bool) -> None:
    """Let the host check its lease each 200 ms."""
    end_ms = context.clock.now_ms() + time_ms
    while context.clock.now_ms() < end_ms:
        context.clock.advance(200.0)
        if is_reached:
            context.mirror_state.reached_ms = context.clock.now_ms()
        may_order = context.placer.lease is not None and asyncio.run(context.placer._keep_lease())
        context.checks.append((context.clock.now_ms(), may_order))


@when(
    "the store refuses it for {time_s:d} s while other hosts still reach the store, and then "
    "answers no host"
)
def refuse_then_outage(context: Any, time_s: int) -> None:
    context.checks = []
    context.is_refused = True
    context.valid_until_ms = context.placer.lease.valid_until_ms
    pass_ticks(context, time_s * 1000.0 + context.valid_until_ms, is_reached=True)
    context.outage_start_ms = context.clock.now_ms()
    pass_ticks(context, 5_000.0, is_reached=False)


@then("it gives no orders in the first {time_s:d} s after its lease may have expired")
def check_no_orders(context: Any, time_s: int) -> None:
    start_ms = context.valid_until_ms
    unsure = [
        check for check in context.checks if start_ms <= check[0] < start_ms + time_s * 1000.0
    ]
    assert len(unsure) > 10, len(unsure)
    assert not any(may_order for _, may_order in unsure), unsure


@then("it continues placement within {time_s:d} s after no host reaches the store")
def check_continues(context: Any, time_s: int) -> None:
    end_ms = context.outage_start_ms + time_s * 1000.0
    later = [may_order for now_ms, may_order in context.checks if now_ms >= end_ms]
    assert later, "no checks were recorded"
    assert all(later), later


@when("the store refuses it for {time_s:d} s and another host takes over the lease")
def take_over(context: Any, time_s: int) -> None:
    context.checks = []
    context.is_refused = True
    pass_ticks(context, time_s * 1000.0, is_reached=True)
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
    context.mirror_state.items = dict(context.state.items)
    pass_ticks(context, 200.0, is_reached=True)


@then("it no longer holds the lease")
def check_lost(context: Any) -> None:
    assert context.placer.lease is None
