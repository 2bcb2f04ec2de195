"""What one entry host knows of the backend servers.

The host list is a hint that lags. What the host saw itself, or what the engine says of itself, goes
first: a replica that is leaving stays so until it has started anew (see `leaving.servers`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.admission.hold_offs import HoldOffs, create_hold_offs
from pimentodale.leaving.servers import create_leaving_servers

BUSY_PAUSE_MS: Final = 100.0
"""How long an engine that said that it is full is not asked again."""

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clients.engine_messages import EngineLoad
    from pimentodale.clients.targets import EngineTarget, ServiceTarget, Targets
    from pimentodale.clock import Clock


class EngineStatus:
    """One engine, with what was seen of it."""

    __slots__ = (
        "busy_until_ms",
        "down_until_ms",
        "in_flight",
        "listed",
        "load",
        "own_at_report",
        "target",
    )

    def __init__(self, target: EngineTarget) -> None:
        self.target = target
        self.down_until_ms = 0.0
        self.busy_until_ms = 0.0
        self.in_flight = 0
        self.listed = True
        self.load: EngineLoad | None = None
        self.own_at_report = 0

    @property
    def free_slots(self) -> int:
        """Slots not taken, by the last report and this host's own streams since."""
        report = self.load
        if report is None:
            return self.target.slots - self.in_flight
        others = max(0, report.active - self.own_at_report)
        return report.slots - others - self.in_flight


class Fleet:
    """Backend servers by name."""

    __slots__ = (
        "_clock",
        "_down_services",
        "_engines",
        "_held",
        "_hold_offs",
        "_leaving",
        "_services",
        "revision",
    )

    revision: int
    """Rises with each change that calls for another plan."""

    def __init__(self, clock: Clock, publish_sign: Callable[[str, bytes, float], None]) -> None:
        self._clock = clock
        self._engines: dict[str, EngineStatus] = {}
        self._services: dict[str, ServiceTarget] = {}
        self._down_services: dict[str, float] = {}
        self._leaving = create_leaving_servers(clock, publish_sign, self._note_leaving)
        self._hold_offs: HoldOffs[str] = create_hold_offs(clock)
        self._held: frozenset[str] = frozenset()
        self.revision = 0

    def apply_targets(self, targets: Targets) -> None:
        """Take a reading of the host list."""
        leaving = [target.replica for target in targets.engines if target.leaving]
        leaving += [target.replica for target in targets.services if target.leaving]
        self._leaving.note_list(leaving)
        before = self._listed_targets()
        merged = {target.replica: self._merge(target) for target in targets.engines}
        for name, status in self._engines.items():
            if name in merged or status.in_flight == 0:
                continue
            # Its streams go on, and are counted off when they end.
            status.listed = False
            merged[name] = status
        self._engines = merged
        self._services = {target.replica: target for target in targets.services}
        if before != self._listed_targets():
            self.revision += 1

    def apply_load(self, report: EngineLoad) -> None:
        """Take an engine's report of itself."""
        status = self._engines.get(report.replica)
        if status is None:
            return
        earlier = status.load
        if earlier is not None and earlier.boot_id != report.boot_id:
            self._hold_offs.forget(report.replica)
            self.revision += 1
        status.load = report
        status.own_at_report = status.in_flight
        self._leaving.note_report(report.replica, report.boot_id, report.state == "leaving")
        corrected = _corrected(status.target, report)
        if corrected != status.target:
            status.target = corrected
            self.revision += 1

    def mark_leaving(self, replica: str) -> bool:
        """Give a replica no new work from now on, here and at the other hosts.

        Returns:
            Whether this was news.
        """
        known = self._leaving.is_leaving(replica)
        self._leaving.note_refusal(replica)
        return not known

    def take_sign(self, value: bytes) -> None:
        """Take another host's sign that a replica is leaving."""
        self._leaving.take_word(value)

    def mark_down(self, replica: str, duration_ms: float) -> None:
        """Give a replica no new work for a while.

        Args:
            replica: The replica.
            duration_ms: For how long, from now.
        """
        until_ms = self._clock.now_ms() + duration_ms
        status = self._engines.get(replica)
        if status is not None:
            status.down_until_ms = max(status.down_until_ms, until_ms)
            self.revision += 1
            return
        self._down_services[replica] = max(self._down_services.get(replica, 0.0), until_ms)

    def mark_busy(self, replica: str) -> None:
        """Take an engine's word that all of its slots are taken."""
        status = self._engines.get(replica)
        if status is not None:
            status.busy_until_ms = self._clock.now_ms() + BUSY_PAUSE_MS

    def hold_off(self, replica: str, duration_ms: float) -> None:
        """Give an engine no new work for the time that it asked for.

        Args:
            replica: The engine.
            duration_ms: How long it wants nothing.
        """
        self._hold_offs.hold(replica, duration_ms)
        self._set_held()

    def note_sent(self, replicas: Iterable[str]) -> None:
        """Note that a stream goes to engines; the first one after an engine's time goes alone."""
        for replica in replicas:
            self._hold_offs.note_sent(replica)
        self._set_held()

    def note_taken(self, replicas: Iterable[str]) -> None:
        """Note that engines have taken a stream."""
        for replica in replicas:
            self._hold_offs.note_taken(replica)
        self._set_held()

    def held_off_ms(self, model: str) -> float:
        """Return how long it takes until an engine of a model that asked for time takes work again.

        Returns:
            The time in ms; 0 where none asked.
        """
        held = self._hold_offs.held()
        own = [name for name, status in self._engines.items() if status.target.model == model]
        return self._hold_offs.soonest_ms(held.intersection(own))

    def note_recovered(self) -> None:
        """Look for replicas whose time of being down or held off is over; call it regularly."""
        self._set_held()
        now_ms = self._clock.now_ms()
        for status in self._engines.values():
            if 0.0 < status.down_until_ms <= now_ms:
                status.down_until_ms = 0.0
                self.revision += 1

    def free_share(self, replica: str) -> float:
        """Return the free part of an engine's slots; 0 or less when it is full."""
        status = self._engines.get(replica)
        if status is None or status.busy_until_ms > self._clock.now_ms():
            return 0.0
        return status.free_slots / max(1, status.target.slots)

    def mark_up(self, replica: str) -> None:
        """Take back `mark_down`, after the replica answered."""
        self._down_services.pop(replica, None)
        status = self._engines.get(replica)
        if status is not None and status.down_until_ms > 0.0:
            status.down_until_ms = 0.0
            self.revision += 1

    def is_usable(self, replica: str) -> bool:
        """Whether an engine takes new work, as far as is known."""
        status = self._engines.get(replica)
        if status is None or not status.listed:
            return False
        if self._leaving.is_leaving(replica) or not self._hold_offs.allows(replica):
            return False
        return status.down_until_ms <= self._clock.now_ms()

    def is_leaving(self, replica: str) -> bool:
        """Whether a replica is known to be leaving."""
        return self._leaving.is_leaving(replica)

    def leaving(self) -> list[str]:
        """Return the replicas that are known to be leaving."""
        return self._leaving.leaving()

    def status(self, replica: str) -> EngineStatus | None:
        """Return what is known of an engine, or `None` if there is no such engine."""
        return self._engines.get(replica)

    def statuses(self) -> Iterable[EngineStatus]:
        """Return every engine, usable or not."""
        return self._engines.values()

    def listed(self) -> list[EngineTarget]:
        """Return every engine of the last reading, usable or not."""
        return list(self._listed_targets().values())

    def engines(self, model: str) -> list[EngineTarget]:
        """Return the engines of a model that take new work."""
        return [
            status.target
            for status in self._engines.values()
            if status.target.model == model and self.is_usable(status.target.replica)
        ]

    def services(self, name: str) -> list[ServiceTarget]:
        """Return the backend servers of a plain service that take new work."""
        now_ms = self._clock.now_ms()
        usable = []
        for target in self._services.values():
            if target.service != name or self._leaving.is_leaving(target.replica):
                continue
            if self._down_services.get(target.replica, 0.0) > now_ms:
                continue
            usable.append(target)
        return usable

    def _set_held(self) -> None:
        """Have routes planned anew where other engines are held off than before."""
        held = self._hold_offs.held()
        if held != self._held:
            self._held = held
            self.revision += 1

    def _note_leaving(self, _replica: str) -> None:
        """Have routes planned anew after a replica's leaving became known."""
        self.revision += 1

    def _listed_targets(self) -> dict[str, EngineTarget]:
        """Return the engines of the last reading by name."""
        return {name: status.target for name, status in self._engines.items() if status.listed}

    def _merge(self, target: EngineTarget) -> EngineStatus:
        """Keep what was seen of an engine that stays at its address."""
        status = self._engines.get(target.replica)
        if status is None:
            return EngineStatus(target)
        if status.target.address != target.address:
            moved = EngineStatus(target)
            moved.in_flight = status.in_flight
            return moved
        status.listed = True
        status.target = target if status.load is None else _corrected(target, status.load)
        return status


def _tell_nobody(_key: str, _value: bytes, _ttl_ms: float) -> None:
    """Publish nothing."""


def create_fleet(
    clock: Clock, publish_sign: Callable[[str, bytes, float], None] = _tell_nobody
) -> Fleet:
    """Build an empty fleet.

    Args:
        clock: Tells the time.
        publish_sign: Tells the other hosts, under a key and for so many ms, that a replica is
            leaving.
    """
    return Fleet(clock, publish_sign)


def _corrected(target: EngineTarget, report: EngineLoad) -> EngineTarget:
    """Let the engine's own word on its model and layers go before the host list's."""
    return msgspec.structs.replace(
        target,
        model=report.model,
        first_layer=report.first_layer,
        last_layer=report.last_layer,
        slots=report.slots,
        tokens_per_s=report.tokens_per_s,
    )
