"""Brings the engines of one failure domain to what the configuration wishes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clients.engine_orders import OrderFaultKind, read_engine_state, send_order
from pimentodale.clients.weight_store import ReservationRequest
from pimentodale.logs import get_log
from pimentodale.steward.lease import HeldLease, acquire_lease
from pimentodale.steward.wishes import WishedChange, find_change, keeps_minimum

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

RENEWALS: Final = 4
"""Renewals within one time to live."""

_log = get_log("steward")


class Steward:
    """One host's steward; it gives orders only while it holds the lease."""

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
        """Take the lease whenever it is free, and give orders while it lasts; for ever."""
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
        """Give orders until the lease is over."""
        _log.info("This host has the lease.", fencing_number=lease.fencing_number)
        self.lease = lease
        keeping = asyncio.create_task(self._keep(lease), name="lease")
        try:
            # An order of the holder before may still be under way, and its lease be over just now.
            await self._clock.sleep_ms(
                self._settings.order_timeout_ms + self._settings.clock_margin_ms
            )
            while lease.is_sure_for(0.0):
                await self._round(lease)
                await self._clock.sleep_ms(self._settings.round_interval_ms)
        finally:
            self.lease = None
            keeping.cancel()
            await asyncio.gather(keeping, return_exceptions=True)
        _log.warning("The lease is over; this host gives no orders.")

    async def _keep(self, lease: HeldLease) -> None:
        """Renew the lease until it has lapsed."""
        while await lease.renew():
            await self._clock.sleep_ms(self._settings.lease_ttl_ms / RENEWALS)

    async def _round(self, lease: HeldLease) -> None:
        """Read all engines' states, then give the orders that may be given now."""
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
        followed = max((report.highest_fencing_number for report in reports.values()), default=0)
        if followed > lease.fencing_number and not await lease.raise_above(followed):
            return
        for engine in engines:
            if engine.replica in reports:
                await self._bring(engine, reports, placements, lease)

    async def _bring(
        self,
        engine: EngineTarget,
        reports: dict[str, EngineStateReport],
        placements: Sequence[Placement],
        lease: HeldLease,
    ) -> None:
        """Give one engine its next order, if it needs one and may have it now."""
        report = reports[engine.replica]
        change = find_change(report, placements, lease.fencing_number)
        if change is None:
            self._start_after_ms.pop(engine.replica, None)
            self._blocked.discard(engine.replica)
            return
        if change.takes_out and not keeps_minimum(report, list(reports.values()), placements):
            if engine.replica not in self._blocked:
                _log.warning("Too few replicas serve to change this one.", replica=engine.replica)
            self._blocked.add(engine.replica)
            return
        self._blocked.discard(engine.replica)
        if not await self._may_load(engine, change):
            return
        # The last look before the first octet: an order has to end while the lease is sure.
        if not lease.is_sure_for(self._settings.order_timeout_ms):
            return
        sent = await send_order(engine.address, change.order, self._settings.order_timeout_ms)
        if sent.is_ok():
            _log.info("An order was taken.", replica=engine.replica, order=change.order.order)
            reports[engine.replica] = sent.ok
            self._start_after_ms.pop(engine.replica, None)
            return
        _log.warning("An order failed.", replica=engine.replica, problem=sent.error.message)
        # It may have been followed all the same, so the engine does not count as serving.
        del reports[engine.replica]
        if sent.error.kind is OrderFaultKind.FENCED:
            await lease.raise_above(sent.error.highest_fencing_number)

    async def _may_load(self, engine: EngineTarget, change: WishedChange) -> bool:
        """Take a place in the weight store's line, and return whether it is reached."""
        if self._reserve is None or not change.load_bytes:
            return True
        if engine.replica not in self._start_after_ms:
            holder = f"{self._settings.host}/{engine.replica}"
            reserved = await self._reserve(ReservationRequest(change.load_bytes, holder))
            if reserved.is_error():
                _log.warning("No place in the weight store's line.", problem=reserved.error.message)
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
    """Create a host's steward; nothing happens before its `run`.

    Args:
        settings: Its place and times.
        store: The key-value service.
        follower: Gives the configuration; it is refreshed before every round.
        read_targets: Reads the host list once.
        reserve: Takes a place in the weight store's line; `None` when loads need not be paced.
        clock: Waits and counts the lease.
        rng: Spreads the hosts' tries for the lease.

    Returns:
        The steward.
    """
    return Steward(settings, store, follower, read_targets, reserve, clock, rng)
