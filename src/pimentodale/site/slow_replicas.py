"""Tracks replicas that run slowly according to their own reports.

A slow replica answers probes and fails no requests, so only the duration of its requests reveals
it. A host that observes a slow request fetches reports from the replicas of its path, and notifies
the other hosts of slow ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.site.replica_health import Incarnation, incarnation_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord

SLOW_THRESHOLD: Final = 1.3
"""Pace from which a replica counts as slow; loads are known with about the same accuracy."""

RECHECK_MS: Final = 1_000.0
"""Interval at which the host that detected a slow replica fetches its report again."""

REPORT_TTL_MS: Final = 2.5 * RECHECK_MS
"""How long a report of a slow replica is valid; one lost request is tolerated."""

PEER_RECHECK_FACTOR: Final = 1.2
"""Factor by which a host delays its own recheck after a report from a peer that rechecks too."""

REPORT_FRESH_MS: Final = 1_000.0
"""Age up to which a report is not fetched again."""

MAX_BACKOFF_MS: Final = 4_000.0
"""Maximum interval between unsuccessful searches; under high load, all paths are slow."""

_log = get_log("beliefs")


@dataclass(slots=True)
class _SlowReplica:
    """A replica that runs slowly."""

    pace: float
    until_ms: float
    recheck_ms: float
    """When this host fetches its report again; infinite if another host does."""


@dataclass(slots=True)
class SlowReplicas:
    """Slow replicas by incarnation."""

    clock: Clock
    broadcast: Callable[[Incarnation, float], None] = lambda _incarnation, _pace: None
    """Notifies the other hosts of a replica's pace."""

    _slow: dict[Incarnation, _SlowReplica] = field(default_factory=dict)
    _requested_ms: dict[Incarnation, float] = field(default_factory=dict)
    _next_search_ms: float = 0.0
    _backoff_ms: float = REPORT_FRESH_MS

    def slowness(self, replica: ReplicaRecord) -> float:
        """Return a replica's slowdown factor relative to its accelerator kind, usually 1."""
        slow = self._slow.get(incarnation_of(replica)) if self._slow else None
        if slow is None or slow.until_ms < self.clock.now_ms():
            return 1.0
        return slow.pace

    def begin_search(self, replicas: list[ReplicaRecord]) -> list[ReplicaRecord]:
        """Return the replicas of a slow path whose reports should be fetched now.

        Args:
            replicas: The replicas of the path.
        """
        now_ms = self.clock.now_ms()
        if now_ms < self._next_search_ms:
            return []
        fresh_ms = now_ms - REPORT_FRESH_MS
        asked = [
            replica
            for replica in replicas
            if self._requested_ms.get(incarnation_of(replica), float("-inf")) < fresh_ms
            and self.slowness(replica) == 1.0
        ]
        if asked:
            self._next_search_ms = now_ms + self._backoff_ms
            self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        for replica in asked:
            self._requested_ms[incarnation_of(replica)] = now_ms
        return asked

    def note(self, incarnation: Incarnation, pace: float) -> None:
        """Record the pace from a replica's own report."""
        now_ms = self.clock.now_ms()
        known = self._slow.get(incarnation)
        if pace < SLOW_THRESHOLD:
            if known is not None:
                del self._slow[incarnation]
                _log.info(
                    "A replica runs at its normal pace again.", replica=incarnation[0], pace=pace
                )
                self.broadcast(incarnation, pace)
            return
        if known is None:
            _log.warning("A replica runs slowly.", replica=incarnation[0], pace=pace)
            self._backoff_ms = REPORT_FRESH_MS
            self._next_search_ms = now_ms
        self._slow[incarnation] = _SlowReplica(pace, now_ms + REPORT_TTL_MS, now_ms + RECHECK_MS)
        self.broadcast(incarnation, pace)

    def note_peer_report(self, incarnation: Incarnation, pace: float, host: str) -> None:
        """Record a pace reported by another host."""
        if pace < SLOW_THRESHOLD:
            self._slow.pop(incarnation, None)
            return
        now_ms = self.clock.now_ms()
        known = self._slow.get(incarnation)
        if known is None:
            _log.info("A replica runs slowly.", replica=incarnation[0], pace=pace, told_by=host)
        recheck_ms = float("inf")
        if known is not None and known.recheck_ms < recheck_ms:
            # Both hosts detected it; whichever rechecks first makes the other's recheck
            # unnecessary.
            recheck_ms = now_ms + RECHECK_MS * PEER_RECHECK_FACTOR
        self._slow[incarnation] = _SlowReplica(pace, now_ms + REPORT_TTL_MS, recheck_ms)

    def due_rechecks(self) -> list[Incarnation]:
        """Return the slow replicas due for a recheck by this host, and schedule the next one."""
        now_ms = self.clock.now_ms()
        for key in [key for key, slow in self._slow.items() if slow.until_ms < now_ms]:
            del self._slow[key]
        due = [key for key, slow in self._slow.items() if slow.recheck_ms <= now_ms]
        for key in due:
            self._slow[key].recheck_ms = now_ms + RECHECK_MS
        return due

    def forget(self, incarnation: Incarnation) -> None:
        """Remove the entries of a replica that is gone."""
        self._slow.pop(incarnation, None)
        self._requested_ms.pop(incarnation, None)


def create_slow_replicas(clock: Clock) -> SlowReplicas:
    """Return a tracker without slow replicas."""
    return SlowReplicas(clock)
