"""One entry host's view of the backend servers and their availability.

The host list is a hint and may be out of date. The host's own observations and the engines' own
reports take precedence over it: a replica that is known to be leaving gets no work, even if the list
still reports it live, until it restarts or the signal expires (see `leaving.leaving_servers`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.admission.hold_offs import HoldOffs, create_hold_offs
from pimentodale.leaving.leaving_servers import create_leaving_servers

BUSY_BACKOFF_MS: Final = 100.0
"""How long no work is sent to an engine after it refused because it is full."""

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clients.engine_messages import EngineLoad
    from pimentodale.clients.targets import EngineTarget, ServiceTarget, Targets
    from pimentodale.clock import Clock


class EngineStatus:
    """One engine with its latest load report and this host's observations of it."""

    __slots__ = (
        "busy_until_ms",
        "down_until_ms",
        "in_flight",
        "listed",
        "load",
        "own_streams_at_report",
        "target",
    )

    def __init__(self, target: EngineTarget) -> None:
        self.target = target
        self.down_until_ms = 0.0
        self.busy_until_ms = 0.0
        self.in_flight = 0
        self.listed = True
        self.load: EngineLoad | None = None
        self.own_streams_at_report = 0

    @property
    def free_slots(self) -> int:
        """Free slots, from the last report corrected by this host's own streams since then."""
        report = self.load
        if report is None:
            return self.target.slots - self.in_flight
        others = max(0, report.active - self.own_streams_at_report)
        return report.slots - others - self.in_flight


class Fleet:
    """All backend servers by replica name, with their availability."""

    __slots__ = (
        "_clock",
        "_down_services",
        "_engines",
        "_held_off",
        "_hold_offs",
        "_leaving",
        "_services",
        "revision",
    )

    revision: int
    """Incremented by each change after which the routes must be planned again."""

    def __init__(self, clock: Clock, publish_signal: Callable[[str, bytes, float], None]) -> None:
        self._clock = clock
        self._engines: dict[str, EngineStatus] = {}
        self._services: dict[str, ServiceTarget] = {}
        self._down_services: dict[str, float] = {}
        self._leaving = create_leaving_servers(clock, publish_signal, self._note_leaving)
        self._hold_offs: HoldOffs[str] = create_hold_offs(clock)
        self._held_off: frozenset[str] = frozenset()
        self.revision = 0

    def apply_targets(self, targets: Targets) -> None:
        """Replace the known backend servers by those of the host list."""
        leaving = [target.replica for target in targets.engines if target.leaving]
        leaving += [target.replica for target in targets.services if target.leaving]
        self._leaving.note_host_list(leaving)
        before = self._listed_targets()
        merged = {target.replica: self._merge(target) for target in targets.engines}
        for name, status in self._engines.items():
            if name in merged or status.in_flight == 0:
                continue
            # Streams on the removed engine go on, and are uncounted when they end.
            status.listed = False
            merged[name] = status
        self._engines = merged
        self._services = {target.replica: target for target in targets.services}
        if before != self._listed_targets():
            self.revision += 1

    def apply_load(self, report: EngineLoad) -> None:
        """Apply an engine's load report."""
        status = self._engines.get(report.replica)
        if status is None:
            return
        earlier = status.load
        if earlier is not None and earlier.boot_id != report.boot_id:
            self._hold_offs.forget(report.replica)
            self.revision += 1
        status.load = report
        status.own_streams_at_report = status.in_flight
        self._leaving.note_report(report.replica, report.boot_id, report.state == "leaving")
        corrected = _with_reported_values(status.target, report)
        if corrected != status.target:
            status.target = corrected
            self.revision += 1

    def mark_leaving(self, replica: str) -> bool:
        """Stop sending new work to a replica, on this host and on the other hosts.

        Returns:
            Whether the replica was not known to be leaving before.
        """
        known = self._leaving.is_leaving(replica)
        self._leaving.note_refusal(replica)
        return not known

    def apply_leaving_notice(self, value: bytes) -> None:
        """Apply another host's notice that a replica is leaving."""
        self._leaving.receive_notice(value)

    def mark_down(self, replica: str, duration_ms: float) -> None:
        """Send no new work to a replica for a limited time.

        Args:
            replica: The replica.
            duration_ms: Duration from now.
        """
        until_ms = self._clock.now_ms() + duration_ms
        status = self._engines.get(replica)
        if status is not None:
            status.down_until_ms = max(status.down_until_ms, until_ms)
            self.revision += 1
            return
        self._down_services[replica] = max(self._down_services.get(replica, 0.0), until_ms)

    def mark_busy(self, replica: str) -> None:
        """Note that an engine reported all of its slots in use."""
        status = self._engines.get(replica)
        if status is not None:
            status.busy_until_ms = self._clock.now_ms() + BUSY_BACKOFF_MS

    def hold_off(self, replica: str, duration_ms: float) -> None:
        """Send no new work to an engine for the time that it asked for.

        Args:
            replica: The engine.
            duration_ms: Duration from now.
        """
        self._hold_offs.hold(replica, duration_ms)
        self._update_held_off()

    def note_sent(self, replicas: Iterable[str]) -> None:
        """Note that a stream is sent to engines.

        The first stream after a hold-off is a probe: no other is sent until it is accepted or a
        timeout has passed.
        """
        for replica in replicas:
            self._hold_offs.note_sent(replica)
        self._update_held_off()

    def note_accepted(self, replicas: Iterable[str]) -> None:
        """Note that engines have accepted a stream."""
        for replica in replicas:
            self._hold_offs.note_accepted(replica)
        self._update_held_off()

    def held_off_ms(self, model: str) -> float:
        """Return the time until the first held-off engine of a model accepts work again.

        Returns:
            The time in ms; 0 if no engine of the model is held off.
        """
        held = self._hold_offs.held()
        own = [name for name, status in self._engines.items() if status.target.model == model]
        return self._hold_offs.shortest_hold_ms(held.intersection(own))

    def refresh_availability(self) -> None:
        """Make replicas usable again whose down time or hold-off is over; call it regularly."""
        self._update_held_off()
        now_ms = self._clock.now_ms()
        for status in self._engines.values():
            if 0.0 < status.down_until_ms <= now_ms:
                status.down_until_ms = 0.0
                self.revision += 1

    def free_share(self, replica: str) -> float:
        """Return the free fraction of an engine's slots; 0 or less when it is full."""
        status = self._engines.get(replica)
        if status is None or status.busy_until_ms > self._clock.now_ms():
            return 0.0
        return status.free_slots / max(1, status.target.slots)

    def mark_up(self, replica: str) -> None:
        """Undo `mark_down` after the replica answered."""
        self._down_services.pop(replica, None)
        status = self._engines.get(replica)
        if status is not None and status.down_until_ms > 0.0:
            status.down_until_ms = 0.0
            self.revision += 1

    def is_usable(self, replica: str) -> bool:
        """Return whether an engine accepts new work, as far as is known."""
        status = self._engines.get(replica)
        if status is None or not status.listed:
            return False
        if self._leaving.is_leaving(replica) or not self._hold_offs.allows(replica):
            return False
        return status.down_until_ms <= self._clock.now_ms()

    def is_leaving(self, replica: str) -> bool:
        """Return whether a replica is known to be leaving."""
        return self._leaving.is_leaving(replica)

    def leaving(self) -> list[str]:
        """Return the replicas that are known to be leaving."""
        return self._leaving.leaving()

    def status(self, replica: str) -> EngineStatus | None:
        """Return an engine's status, or `None` if there is no such engine."""
        return self._engines.get(replica)

    def statuses(self) -> Iterable[EngineStatus]:
        """Return the status of every engine, usable or not."""
        return self._engines.values()

    def listed(self) -> list[EngineTarget]:
        """Return every engine on the last host list, usable or not."""
        return list(self._listed_targets().values())

    def engines(self, model: str) -> list[EngineTarget]:
        """Return the engines of a model that accept new work."""
        return [
            status.target
            for status in self._engines.values()
            if status.target.model == model and self.is_usable(status.target.replica)
        ]

    def services(self, name: str) -> list[ServiceTarget]:
        """Return the backend servers of a plain service that accept new work."""
        now_ms = self._clock.now_ms()
        usable = []
        for target in self._services.values():
            if target.service != name or self._leaving.is_leaving(target.replica):
                continue
            if self._down_services.get(target.replica, 0.0) > now_ms:
                continue
            usable.append(target)
        return usable

    def _update_held_off(self) -> None:
        """Request a new plan if the set of held-off engines has changed."""
        held = self._hold_offs.held()
        if held != self._held_off:
            self._held_off = held
            self.revision += 1

    def _note_leaving(self, _replica: str) -> None:
        """Request a new plan because a replica is leaving."""
        self.revision += 1

    def _listed_targets(self) -> dict[str, EngineTarget]:
        """Return the engines on the last host list by replica name."""
        return {name: status.target for name, status in self._engines.items() if status.listed}

    def _merge(self, target: EngineTarget) -> EngineStatus:
        """Return an engine's status, with the observations kept if its address is unchanged."""
        status = self._engines.get(target.replica)
        if status is None:
            return EngineStatus(target)
        if status.target.address != target.address:
            moved = EngineStatus(target)
            moved.in_flight = status.in_flight
            return moved
        status.listed = True
        status.target = (
            target if status.load is None else _with_reported_values(target, status.load)
        )
        return status


def _publish_nothing(_key: str, _value: bytes, _ttl_ms: float) -> None:
    """Ignore a notice; the default for a fleet without other hosts."""


def create_fleet(
    clock: Clock, publish_signal: Callable[[str, bytes, float], None] = _publish_nothing
) -> Fleet:
    """Build an empty fleet.

    Args:
        clock: Source of time.
        publish_signal: Publishes to the other hosts that a replica is leaving; takes a key, a value
            and a time to live in ms.
    """
    return Fleet(clock, publish_signal)


def _with_reported_values(target: EngineTarget, report: EngineLoad) -> EngineTarget:
    """Return a target whose model, layers and capacity come from the engine's own report."""
    return msgspec.structs.replace(
        target,
        model=report.model,
        first_layer=report.first_layer,
        last_layer=report.last_layer,
        slots=report.slots,
        tokens_per_s=report.tokens_per_s,
    )
