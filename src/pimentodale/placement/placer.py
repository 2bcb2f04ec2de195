"""Gives the orders that place layers, on the one host that holds the lease for it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from pimentodale.logs import get_log
from pimentodale.placement.candidacy import Candidacy, create_candidacy
from pimentodale.placement.messages import OrderOutcome
from pimentodale.placement.planner import Holder, plan_placement
from pimentodale.placement.resting import RestingPlans, create_resting_plans
from pimentodale.placement.settling import DomainHistory, create_domain_history
from pimentodale.site.beliefs import incarnation_of
from pimentodale.steward.lease import LEASE_PREFIX, acquire_lease, take_over_lease

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.placement.messages import EngineCalls
    from pimentodale.placement.planner import Assignment
    from pimentodale.site.beliefs import Incarnation, ReplicaBeliefs
    from pimentodale.site.model import BackendService, EngineModel, LayerRange, ReplicaRecord
    from pimentodale.site.view import SiteView
    from pimentodale.steward.lease import HandedLease, HeldLease

LEASE_NAME: Final = "placement"
"""Name of the lease; there is one for the whole site, as copies may borrow replicas."""

LEASE_TTL_MS: Final = 3_000.0
"""Time to live of the lease: how long a lost holder leaves layers unplaced."""

LEASE_MARGIN_MS: Final = 600.0
"""How much sooner a holder stops: drift of clocks, and an order that is under way."""

TICK_MS: Final = 200.0
"""Pause between two plans."""

RENEW_MS: Final = 900.0
"""Pause between two renewals of the lease."""

SETTLE_MS: Final = 700.0
"""Quiet time after a replica came or went before empty ones are placed for the first time."""

NEWCOMER_MS: Final = 1_500.0
"""Time after which a replica that joined is taken for an additional one; those that it may replace announce
that they leave about a second after it registered."""

ORDER_SLACK_MS: Final = 4_000.0
"""How much longer than its load an order may take before it counts as lost."""

ORPHANED_MS: Final = 2_600.0
"""Age of the copy of the store from which no host that this one reaches has the store."""

MAX_ORPHANED_MS: Final = 15_000.0
"""Longest time that a holder goes on placing without the store."""

_log = get_log("placement")


@dataclass(slots=True)
class _Order:
    """An order that is under way."""

    layers: LayerRange
    until_ms: float


@dataclass(slots=True)
class Placer:
    """Plans and orders while this host holds the lease."""

    host: str
    store: KeyValueStore
    engines: EngineCalls
    view: SiteView
    beliefs: ReplicaBeliefs
    clock: Clock
    rng: random.Random
    read_rank: Callable[[], int] = lambda: 0
    """Returns how many live hosts go before this one when the lease is free."""

    hand_over: Callable[[HandedLease], bool] = lambda _lease: False
    """Gives the lease to another host; False where there is none."""

    lease: HeldLease | None = None
    """The lease, while this host has it."""

    candidacy: Candidacy = field(init=False)
    """When this host competes for the lease."""

    history: DomainHistory = field(init=False)
    """Replicas of the failure domains as they were seen lately."""

    _plans: RestingPlans = field(default_factory=lambda: create_resting_plans(plan_placement))
    _orders: dict[Incarnation, _Order] = field(default_factory=dict)
    _first_seen_ms: dict[Incarnation, float] = field(default_factory=dict)
    _renewed_ms: float = 0.0
    _handed_ms: float = float("-inf")
    _is_released: bool = False
    """Whether this host stops, so that it takes no lease any more."""

    _held_since_ms: float = 0.0

    def __post_init__(self) -> None:
        """Begin with no history."""
        self.history = create_domain_history(self.clock)
        self.candidacy = create_candidacy(self.clock, self.read_rank)

    async def run(self) -> None:
        """Compete for the lease; plan while it is held. Runs for ever."""
        while True:
            await self.clock.sleep_ms(TICK_MS * self.rng.uniform(0.8, 1.2))
            self._note_replicas()
            if self.view.configuration is None:
                continue
            if self.lease is None:
                await self._compete()
                continue
            if not await self._keep():
                continue
            await self._place()

    async def release(self) -> None:
        """Give the lease to the next host, or back to the store where there is none.

        Giving it back first would leave open, where the reply is lost, whether it may be handed on; and
        without the store nobody can take it.
        """
        self._is_released = True
        lease, self.lease = self.lease, None
        if lease is None:
            return
        if self.hand_over(lease.hand_over()):
            _log.info("The lease is handed to another host.", fence=lease.fencing_number)
            return
        await lease.release()

    def take_over(self, handed: HandedLease) -> None:
        """Go on with the lease of a host that stops."""
        is_superseded = highest_fence(self.view) > handed.fencing_number
        if self._is_released or self.lease is not None or is_superseded:
            return
        self.lease = take_over_lease(
            self.store, self.clock, LEASE_NAME, handed, LEASE_TTL_MS, LEASE_MARGIN_MS
        )
        now_ms = self.clock.now_ms()
        self._handed_ms = self._held_since_ms = now_ms
        self._renewed_ms = now_ms - RENEW_MS
        self._orders.clear()
        _log.info("This host goes on with a lease.", fence=handed.fencing_number)

    async def _compete(self) -> None:
        """Take the lease if nobody has it and it is this host's turn."""
        is_held = _LEASE_KEY in self.view.mirror.items
        if self._is_released or not self.candidacy.is_due(is_held=is_held):
            return
        taken = await acquire_lease(
            self.store, self.clock, LEASE_NAME, self.host, LEASE_TTL_MS, LEASE_MARGIN_MS
        )
        if taken.is_error() or taken.ok is None:
            return
        self.lease = taken.ok
        self._renewed_ms = self._held_since_ms = self.clock.now_ms()
        self._orders.clear()
        _log.info("This host places layers now.", fence=self.lease.fencing_number)

    async def _keep(self) -> bool:
        """Renew the lease when it is time; False once it is lost."""
        lease = self.lease
        if lease is None:
            return False
        now_ms = self.clock.now_ms()
        if now_ms - self._renewed_ms >= RENEW_MS:
            self._renewed_ms = now_ms
            renewed = await lease.renew()
            if self.lease is not lease:
                return False
            if not renewed:
                self._lose("the store says that it has ended")
                return False
        if highest_fence(self.view) > lease.fencing_number:
            self._lose("another host holds it")
            return False
        if self._may_order():
            return True
        unsure_since_ms = max(lease.sure_until_ms, self._handed_ms)
        if self.clock.now_ms() - unsure_since_ms < MAX_ORPHANED_MS:
            # Without orders it may be kept: the store is going or coming back, or another host's
            # lease shows.
            return False
        self._lose("it was not renewed in time")
        return False

    def _lose(self, reason: str) -> None:
        """Stop giving orders."""
        self.lease = None
        _log.warning("This host no longer places layers.", reason=reason)

    async def _place(self) -> None:
        """Plan every engine service and give the orders."""
        configuration = self.view.configuration
        if configuration is None:
            return
        pending = []
        for service in configuration.services.values():
            if service.engine is None:
                continue
            replicas = self.view.replicas_of(service.name)
            if self._is_unsettled(replicas):
                continue
            pending += self._plan(service, service.engine, replicas)
        limit = self._concurrent_loads()
        for start in range(0, len(pending), limit):
            await asyncio.gather(*pending[start : start + limit])

    def _note_replicas(self) -> None:
        """Keep the history, whoever holds the lease."""
        replicas = [item for item in self.view.replicas.values() if item.kind]
        present = {
            item.replica_id: item.failure_domain
            for item in replicas
            if not item.is_draining and not self.beliefs.is_lost(item)
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
        """Whether this host may give orders now.

        Without the store nobody can take the lease over. A host whose copy is out of date knows
        that no host that it reaches has the store either, so it goes on; engines refuse its orders
        once they have followed a higher fencing number.
        """
        lease = self.lease
        if lease is None:
            return False
        if lease.is_sure_for(0.0):
            return True
        age_ms = self.view.mirror.age_ms()
        return ORPHANED_MS < age_ms < MAX_ORPHANED_MS

    def _is_unsettled(self, replicas: list[ReplicaRecord]) -> bool:
        """Whether replicas are still registering, so that a first plan would be a poor one."""
        if any(replica.held is not None for replica in replicas):
            return False
        now_ms = self.clock.now_ms()
        return now_ms - max(self.view.changed_ms, self._held_since_ms) < SETTLE_MS

    def _plan(
        self, service: BackendService, engine: EngineModel, replicas: list[ReplicaRecord]
    ) -> list[Coroutine[Any, Any, None]]:
        """Return the orders that the plan asks for, not begun yet."""
        now_ms = self.clock.now_ms()
        holders = []
        by_id = {}
        for replica in replicas:
            if self.beliefs.is_lost(replica):
                continue
            by_id[replica.replica_id] = replica
            order = self._orders.get(incarnation_of(replica))
            if order is not None and (order.until_ms < now_ms or replica.held == order.layers):
                del self._orders[incarnation_of(replica)]
                order = None
            held = order.layers if order else replica.held
            first_seen_ms = self._first_seen_ms.get(incarnation_of(replica), now_ms)
            holders.append(
                Holder(
                    replica.replica_id,
                    replica.failure_domain,
                    replica.kind,
                    held,
                    is_movable=order is None,
                    is_new=now_ms - first_seen_ms < NEWCOMER_MS,
                )
            )
        orders = []
        unsettled = self.history.unsettled()
        for assignment in self._plans.plan(service.name, engine, holders, unsettled):
            replica = by_id[assignment.replica_id]
            share = len(assignment.layers) / engine.layers
            until_ms = now_ms + engine.load_ms * share * 2 + ORDER_SLACK_MS
            self._orders[incarnation_of(replica)] = _Order(assignment.layers, until_ms)
            orders.append(self._order(service, replica, assignment))
        return orders

    async def _order(
        self, service: BackendService, replica: ReplicaRecord, assignment: Assignment
    ) -> None:
        """Look at a replica and order it to hold its new range."""
        incarnation = incarnation_of(replica)
        report = await self.engines.report(replica)
        lease = self.lease
        if report.is_error() or lease is None or not self._may_order():
            if report.is_error():
                self.beliefs.note_silent_probe(incarnation, f"no report: {report.error}")
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
            self._lose("a replica has followed a higher fencing number")
        if outcome.ok not in (OrderOutcome.DONE, OrderOutcome.BEGUN):
            self._orders.pop(incarnation, None)

    def _concurrent_loads(self) -> int:
        """Return how many loads may run at once without slowing each other."""
        configuration = self.view.configuration
        services = configuration.services.values() if configuration else ()
        limits = [service.engine.concurrent_loads for service in services if service.engine]
        return max([limit for limit in limits if limit > 0], default=8)


_LEASE_KEY = LEASE_PREFIX + LEASE_NAME


def highest_fence(view: SiteView) -> int:
    """Return the fencing number of the lease's holder, as the store shows it."""
    item = view.mirror.items.get(_LEASE_KEY)
    return 0 if item is None else item.mod_revision
