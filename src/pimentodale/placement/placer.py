"""Plans layer placement and sends the orders, on the one host that holds the placement lease."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from pimentodale.clients.key_value import fencing_number
from pimentodale.logs import get_log
from pimentodale.placement.domain_history import DomainHistory, create_domain_history
from pimentodale.placement.lease_candidacy import Candidacy, create_candidacy
from pimentodale.placement.messages import OrderOutcome
from pimentodale.placement.plan_cache import PlanCache, create_plan_cache
from pimentodale.placement.planner import LayerHolder, plan_placement
from pimentodale.site.replica_health import incarnation_of
from pimentodale.steward.lease import LEASE_PREFIX, acquire_lease, take_over_lease

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.placement.messages import EngineClient
    from pimentodale.placement.planner import Assignment
    from pimentodale.site.model import BackendService, EngineModel, LayerRange, ReplicaRecord
    from pimentodale.site.replica_health import Incarnation, ReplicaHealth
    from pimentodale.site.view import SiteView
    from pimentodale.steward.lease import HeldLease, LeaseHandover

LEASE_NAME: Final = "placement"
"""Name of the lease. There is one for the whole site, because a copy may use replicas of other
domains."""

LEASE_TTL_MS: Final = 3_000.0
"""Time to live of the lease: how long placement stops after its holder is lost."""

LEASE_MARGIN_MS: Final = 600.0
"""How long before the end of the lease a holder stops, to allow for clock drift and an order in
flight."""

PLAN_INTERVAL_MS: Final = 200.0
"""Interval between two plans."""

RENEW_INTERVAL_MS: Final = 900.0
"""Interval between two renewals of the lease."""

REGISTRATION_QUIET_MS: Final = 700.0
"""Time without changes to the replicas that must pass before the first placement."""

REPLACEMENT_WINDOW_MS: Final = 1_500.0
"""Time after which a new replica counts as an additional one. A replica that it replaces announces
its departure about a second after the new one has registered."""

ORDER_SLACK_MS: Final = 4_000.0
"""How much longer than the load time an order may take before it counts as lost."""

STORE_OUTAGE_AGE_MS: Final = 2_600.0
"""Age of the mirror from which no host that this one reaches can have access to the store."""

MAX_STORE_OUTAGE_MS: Final = 15_000.0
"""Longest time for which a holder continues placement without the store."""

_log = get_log("placement")


@dataclass(slots=True)
class _Order:
    """An order in progress."""

    layers: LayerRange
    until_ms: float


@dataclass(slots=True)
class Placer:
    """Plans placement and sends orders while this host holds the lease."""

    host: str
    store: KeyValueStore
    engines: EngineClient
    view: SiteView
    replica_health: ReplicaHealth
    clock: Clock
    rng: random.Random
    get_rank: Callable[[], int] = lambda: 0
    """Returns the number of live hosts ranked ahead of this one in acquiring a free lease."""

    hand_over: Callable[[LeaseHandover], bool] = lambda _lease: False
    """Hands the lease over to another host; returns False if there is no such host."""

    lease: HeldLease | None = None
    """The lease, while this host holds it."""

    candidacy: Candidacy = field(init=False)
    """Decides when this host tries to acquire the lease."""

    history: DomainHistory = field(init=False)
    """Recently seen replicas of each failure domain."""

    _plan_cache: PlanCache = field(default_factory=lambda: create_plan_cache(plan_placement))
    _orders: dict[Incarnation, _Order] = field(default_factory=dict)
    _first_seen_ms: dict[Incarnation, float] = field(default_factory=dict)
    _renewed_ms: float = 0.0
    _taken_over_ms: float = float("-inf")
    _is_released: bool = False
    """Whether this host is shutting down and must not acquire the lease again."""

    _held_since_ms: float = 0.0

    def __post_init__(self) -> None:
        """Create the empty history and the candidacy."""
        self.history = create_domain_history(self.clock)
        self.candidacy = create_candidacy(self.clock, self.get_rank)

    async def run(self) -> None:
        """Compete for the lease and plan while holding it. Never returns."""
        while True:
            await self.clock.sleep_ms(PLAN_INTERVAL_MS * self.rng.uniform(0.8, 1.2))
            self._note_replicas()
            if self.view.configuration is None:
                continue
            if self.lease is None:
                await self._try_acquire_lease()
                continue
            if not await self._keep_lease():
                continue
            await self._place_layers()

    async def release(self) -> None:
        """Hand the lease over to the next host, or release it in the store if there is none.

        If it were released first and the reply were lost, it would be unknown whether it may still
        be handed over. During a store outage, no host could acquire a released lease.
        """
        self._is_released = True
        lease, self.lease = self.lease, None
        if lease is None:
            return
        if self.hand_over(lease.hand_over()):
            _log.info("The lease was handed over to another host.", fence=lease.fencing_number)
            return
        await lease.release()

    def take_over(self, handed: LeaseHandover) -> None:
        """Take over the lease of a host that is shutting down."""
        is_superseded = highest_fence(self.view) > handed.fencing_number
        if self._is_released or self.lease is not None or is_superseded:
            return
        self.lease = take_over_lease(
            self.store, self.clock, LEASE_NAME, handed, LEASE_TTL_MS, LEASE_MARGIN_MS
        )
        now_ms = self.clock.now_ms()
        self._taken_over_ms = self._held_since_ms = now_ms
        self._renewed_ms = now_ms - RENEW_INTERVAL_MS
        self._orders.clear()
        _log.info("This host goes on with a lease.", fence=handed.fencing_number)

    async def _try_acquire_lease(self) -> None:
        """Acquire the lease if no host holds it and this host's delay has passed."""
        is_held = _LEASE_KEY in self.view.mirror.items or self._may_store_lack_lease()
        if self._is_released or not self.candidacy.is_due(is_held=is_held):
            return
        era = self.view.mirror.era
        taken = await acquire_lease(
            self.store, self.clock, LEASE_NAME, self.host, LEASE_TTL_MS, LEASE_MARGIN_MS, era
        )
        if taken.is_error() or taken.ok is None:
            return
        self.lease = taken.ok
        self._renewed_ms = self._held_since_ms = self.clock.now_ms()
        self._orders.clear()
        _log.info("This host places layers now.", fence=self.lease.fencing_number)

    def _may_store_lack_lease(self) -> bool:
        """Return whether the store, which has just returned from a copy, may lack a valid lease."""
        return self.clock.now_ms() < self.view.mirror.era_entered_ms + LEASE_TTL_MS

    async def _keep_lease(self) -> bool:
        """Renew the lease when due; return whether this host may give orders."""
        lease = self.lease
        if lease is None:
            return False
        now_ms = self.clock.now_ms()
        if now_ms - self._renewed_ms >= RENEW_INTERVAL_MS:
            self._renewed_ms = now_ms
            renewed = await lease.renew()
            if self.lease is not lease:
                return False
            if not renewed:
                self._stop_placing("the lease has expired in the store")
                return False
        if highest_fence(self.view) > lease.fencing_number:
            self._stop_placing("another host holds the lease")
            return False
        if self._may_order():
            return True
        unsure_since_ms = max(lease.valid_until_ms, self._taken_over_ms)
        if self.clock.now_ms() - unsure_since_ms < MAX_STORE_OUTAGE_MS:
            # Keep the lease but give no orders: either the store is becoming unavailable or
            # available again, or another host's lease will become visible.
            return False
        self._stop_placing("the lease was not renewed in time")
        return False

    def _stop_placing(self, reason: str) -> None:
        """Drop the lease and stop giving orders."""
        self.lease = None
        _log.warning("This host lost the placement lease.", reason=reason)

    async def _place_layers(self) -> None:
        """Plan every engine service and send the orders."""
        configuration = self.view.configuration
        if configuration is None:
            return
        pending = []
        for service in configuration.services.values():
            if service.engine is None:
                continue
            replicas = self.view.replicas_of(service.name)
            if self._is_registering(replicas):
                continue
            pending += self._plan_service(service, service.engine, replicas)
        limit = self._concurrent_loads()
        for start in range(0, len(pending), limit):
            await asyncio.gather(*pending[start : start + limit])

    def _note_replicas(self) -> None:
        """Update the replica history, regardless of which host holds the lease."""
        replicas = [item for item in self.view.replicas.values() if item.kind]
        present = {
            item.replica_id: item.failure_domain
            for item in replicas
            if not item.is_draining and not self.replica_health.is_confirmed_down(item)
        }
        holding = {item.replica_id for item in replicas if item.held is not None}
        left = {item.replica_id for item in replicas if item.is_draining}
        self.history.note(present, holding, left)
        now_ms = self.clock.now_ms()
        self._first_seen_ms = {
            incarnation: self._first_seen_ms.get(incarnation, now_ms)
            for incarnation in map(incarnation_of, replicas)
        }

    def _may_order(self) -> bool:
        """Return whether this host may give orders now.

        Without the store, no host can acquire the lease. If the mirror of this host is out of date,
        no host that it reaches has access to the store either, so it continues. Engines reject its
        orders once they have accepted one with a higher fencing number.
        """
        lease = self.lease
        if lease is None:
            return False
        if lease.is_valid_for(0.0):
            return True
        age_ms = self.view.mirror.age_ms()
        return STORE_OUTAGE_AGE_MS < age_ms < MAX_STORE_OUTAGE_MS

    def _is_registering(self, replicas: list[ReplicaRecord]) -> bool:
        """Return whether replicas are still registering, so that planning would be premature."""
        if any(replica.held is not None for replica in replicas):
            return False
        now_ms = self.clock.now_ms()
        return now_ms - max(self.view.changed_ms, self._held_since_ms) < REGISTRATION_QUIET_MS

    def _plan_service(
        self, service: BackendService, engine: EngineModel, replicas: list[ReplicaRecord]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return coroutines that send the planned orders."""
        now_ms = self.clock.now_ms()
        holders = []
        by_id = {}
        for replica in replicas:
            if self.replica_health.is_confirmed_down(replica):
                continue
            by_id[replica.replica_id] = replica
            order = self._orders.get(incarnation_of(replica))
            if order is not None and (order.until_ms < now_ms or replica.held == order.layers):
                del self._orders[incarnation_of(replica)]
                order = None
            held = order.layers if order else replica.held
            first_seen_ms = self._first_seen_ms.get(incarnation_of(replica), now_ms)
            holders.append(
                LayerHolder(
                    replica.replica_id,
                    replica.failure_domain,
                    replica.kind,
                    held,
                    is_movable=order is None,
                    is_new=now_ms - first_seen_ms < REPLACEMENT_WINDOW_MS,
                )
            )
        orders = []
        unstable = self.history.unstable()
        for assignment in self._plan_cache.plan(service.name, engine, holders, unstable):
            replica = by_id[assignment.replica_id]
            share = len(assignment.layers) / engine.layers
            until_ms = now_ms + engine.load_ms * share * 2 + ORDER_SLACK_MS
            self._orders[incarnation_of(replica)] = _Order(assignment.layers, until_ms)
            orders.append(self._order(service, replica, assignment))
        return orders

    async def _order(
        self, service: BackendService, replica: ReplicaRecord, assignment: Assignment
    ) -> None:
        """Fetch a replica's state and order it to hold its new range."""
        incarnation = incarnation_of(replica)
        report = await self.engines.report(replica)
        lease = self.lease
        if report.is_error() or lease is None or not self._may_order():
            if report.is_error():
                self.replica_health.note_failed_probe(incarnation, f"no report: {report.error}")
            self._orders.pop(incarnation, None)
            return
        if report.ok.is_busy:
            return
        outcome = await self.engines.place(
            replica, assignment.layers, lease.fencing_number, report.ok.orders_accepted
        )
        _log.info(
            "A replica was ordered to hold layers.",
            replica=replica.replica_id,
            service=service.name,
            layers=f"{assignment.layers.first}-{assignment.layers.end}",
            held=str(report.ok.held),
            fence=lease.fencing_number,
            orders_accepted=report.ok.orders_accepted,
            outcome=outcome.error if outcome.is_error() else outcome.ok.value,
        )
        if outcome.is_error():
            return
        if outcome.ok is OrderOutcome.FENCED:
            self._stop_placing("a replica has accepted a higher fencing number")
        if outcome.ok not in (OrderOutcome.DONE, OrderOutcome.BEGUN):
            self._orders.pop(incarnation, None)

    def _concurrent_loads(self) -> int:
        """Return how many loads may run at once without slowing each other down."""
        configuration = self.view.configuration
        services = configuration.services.values() if configuration else ()
        limits = [service.engine.concurrent_loads for service in services if service.engine]
        return max([limit for limit in limits if limit > 0], default=8)


_LEASE_KEY = LEASE_PREFIX + LEASE_NAME


def highest_fence(view: SiteView) -> int:
    """Return the fencing number of the lease's current holder, as seen in the mirror."""
    item = view.mirror.items.get(_LEASE_KEY)
    return 0 if item is None else fencing_number(view.mirror.era, item.mod_revision)
