"""Reconciles the engines of one failure domain with the configured placements."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clients.engine_orders import OrderFaultKind, read_engine_state, send_order
from pimentodale.clients.weight_store import ReservationRequest
from pimentodale.logs import get_log
from pimentodale.steward.desired_changes import DesiredChange, find_change, keeps_minimum
from pimentodale.steward.lease import HeldLease, acquire_lease

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from expression import Result

    from pimentodale.clients.engine_messages import EngineStateReport
    from pimentodale.clients.host_list import HostListFault
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clients.targets import EngineTarget, Targets
    from pimentodale.clients.weight_store import Reservation, WeightStoreFault
    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Placement
    from pimentodale.configuration.follower import Follower
    from pimentodale.steward.settings import StewardSettings

    Reserve = Callable[[ReservationRequest], Awaitable[Result[Reservation, WeightStoreFault]]]
    ReadTargets = Callable[[], Awaitable[Result[Targets, HostListFault]]]

RENEWALS_PER_TTL: Final = 4
"""Lease renewals per time to live."""

_log = get_log("steward")


class Steward:
    """The steward of one host, which sends orders only while it holds the lease."""

    __slots__ = (
        "_blocked",
        "_clock",
        "_follower",
        "_read_targets",
        "_reserve",
        "_rng",
        "_settings",
        "_start_after_ms",
        "_store",
        "lease",
    )

    def __init__(
        self,
        settings: StewardSettings,
        store: KeyValueStore,
        follower: Follower,
        read_targets: ReadTargets,
        reserve: Reserve | None,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._follower = follower
        self._read_targets = read_targets
        self._reserve = reserve
        self._clock = clock
        self._rng = rng
        self._start_after_ms: dict[str, float] = {}
        self._blocked: set[str] = set()
        self.lease: HeldLease | None = None

    async def run(self) -> None:
        """Acquire the lease whenever it is free and send orders while it is valid, forever."""
        settings = self._settings
        while True:
            acquired = await acquire_lease(
                self._store,
                self._clock,
                settings.failure_domain,
                settings.host,
                settings.lease_ttl_ms,
                settings.clock_margin_ms,
            )
            lease = acquired.default_value(None)
            if lease is not None:
                await self._lead(lease)
            await self._clock.sleep_ms(settings.round_interval_ms * (0.5 + self._rng.random()))

    async def _lead(self, lease: HeldLease) -> None:
        """Send orders until the lease expires."""
        _log.info("Acquired the lease.", fencing_number=lease.fencing_number)
        self.lease = lease
        keeping = asyncio.create_task(self._renew_until_expired(lease), name="lease")
        try:
            # The previous holder's lease may have only just expired, with an order still in flight.
            await self._clock.sleep_ms(
                self._settings.order_timeout_ms + self._settings.clock_margin_ms
            )
            while lease.is_valid_for(0.0):
                await self._reconcile(lease)
                await self._clock.sleep_ms(self._settings.round_interval_ms)
        finally:
            self.lease = None
            keeping.cancel()
            await asyncio.gather(keeping, return_exceptions=True)
        _log.warning("The lease has expired; this host sends no orders.")

    async def _renew_until_expired(self, lease: HeldLease) -> None:
        """Renew the lease until it has expired."""
        while await lease.renew():
            await self._clock.sleep_ms(self._settings.lease_ttl_ms / RENEWALS_PER_TTL)

    async def _reconcile(self, lease: HeldLease) -> None:
        """Read the state of all engines and send the orders that are possible now."""
        fault = await self._follower.refresh()
        listed = await self._read_targets()
        if fault is not None or listed.is_error() or not self._follower.current().revision:
            return
        domain = self._settings.failure_domain
        engines = [
            engine
            for engine in listed.ok.engines
            if engine.failure_domain == domain and not engine.leaving
        ]
        placements = [
            place for place in self._follower.current().placements if place.failure_domain == domain
        ]
        if not placements:
            return
        answers = await asyncio.gather(
            *(
                read_engine_state(engine.address, self._settings.order_timeout_ms)
                for engine in engines
            )
        )
        reports = {
            engine.replica: answer.ok
            for engine, answer in zip(engines, answers, strict=True)
            if answer.is_ok()
        }
        accepted_number = max(
            (report.highest_fencing_number for report in reports.values()), default=0
        )
        if accepted_number > lease.fencing_number and not await lease.raise_fencing_number(
            accepted_number
        ):
            return
        for engine in engines:
            if engine.replica in reports:
                await self._reconcile_engine(engine, reports, placements, lease)

    async def _reconcile_engine(
        self,
        engine: EngineTarget,
        reports: dict[str, EngineStateReport],
        placements: Sequence[Placement],
        lease: HeldLease,
    ) -> None:
        """Send one engine its next order, if it needs one and may be changed now."""
        report = reports[engine.replica]
        change = find_change(report, placements, lease.fencing_number)
        if change is None:
            self._start_after_ms.pop(engine.replica, None)
            self._blocked.discard(engine.replica)
            return
        if change.takes_out and not keeps_minimum(report, list(reports.values()), placements):
            if engine.replica not in self._blocked:
                _log.warning(
                    "Too few other replicas are serving to change this one.", replica=engine.replica
                )
            self._blocked.add(engine.replica)
            return
        self._blocked.discard(engine.replica)
        if not await self._may_start_load(engine, change):
            return
        # The last check before the first byte: the order must end while the lease is valid.
        if not lease.is_valid_for(self._settings.order_timeout_ms):
            return
        sent = await send_order(engine.address, change.order, self._settings.order_timeout_ms)
        if sent.is_ok():
            _log.info("Engine accepted an order.", replica=engine.replica, order=change.order.order)
            reports[engine.replica] = sent.ok
            self._start_after_ms.pop(engine.replica, None)
            return
        _log.warning("Order failed.", replica=engine.replica, problem=sent.error.message)
        # The engine may have executed the order all the same, so it does not count as serving.
        del reports[engine.replica]
        if sent.error.kind is OrderFaultKind.FENCED:
            await lease.raise_fencing_number(sent.error.highest_fencing_number)

    async def _may_start_load(self, engine: EngineTarget, change: DesiredChange) -> bool:
        """Reserve a load at the weight store and return whether its start time has come."""
        if self._reserve is None or not change.load_bytes:
            return True
        if engine.replica not in self._start_after_ms:
            holder = f"{self._settings.host}/{engine.replica}"
            reserved = await self._reserve(ReservationRequest(change.load_bytes, holder))
            if reserved.is_error():
                _log.warning(
                    "Reservation at the weight store failed.", problem=reserved.error.message
                )
                return False
            self._start_after_ms[engine.replica] = self._clock.now_ms() + reserved.ok.start_after_ms
        return self._clock.now_ms() >= self._start_after_ms[engine.replica]


def create_steward(
    settings: StewardSettings,
    store: KeyValueStore,
    follower: Follower,
    read_targets: ReadTargets,
    reserve: Reserve | None,
    clock: Clock,
    rng: random.Random,
) -> Steward:
    """Create a host's steward, which starts with its `run`.

    Args:
        settings: Settings of the steward.
        store: The key-value store.
        follower: Provides the configuration; it is refreshed before every round.
        read_targets: Reads the host list once.
        reserve: Reserves a load at the weight store; `None` if loads need no rate limit.
        clock: Used for delays and the validity of the lease.
        rng: Jitter for the hosts' attempts to acquire the lease.

    Returns:
        The steward.
    """
    return Steward(settings, store, follower, read_targets, reserve, clock, rng)
