"""Replicas that run slowly, as their own reports say.

A slow replica answers its probes and fails nothing, so only the time of its requests gives it away. A
host that sees a request crawl asks the replicas of its path, and tells the others of those that are slow.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.site.beliefs import Incarnation, incarnation_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord

SLOW_PACE: Final = 1.3
"""Pace from which a replica counts as slow; loads are known about as exactly."""

RECHECK_MS: Final = 1_000.0
"""Pause before a slow replica is asked again, by the host that found it."""

HOLDS_MS: Final = 2.5 * RECHECK_MS
"""How long a report of a slow replica holds: one question may be lost."""

TOLD_RECHECK_FACTOR: Final = 1.2
"""How much longer a host waits that was told by another one which asks too."""

FRESH_MS: Final = 1_000.0
"""Age up to which a report need not be asked for again."""

MAX_BACKOFF_MS: Final = 4_000.0
"""Longest pause between two searches that find nothing: all paths crawl when loads are high."""

_log = get_log("beliefs")


@dataclass(slots=True)
class _Slow:
    """A replica that runs slowly."""

    pace: float
    until_ms: float
    recheck_ms: float
    """When this host asks it again; infinite where another host does."""


@dataclass(slots=True)
class ReplicaPaces:
    """Paces by incarnation."""

    clock: Clock
    tell: Callable[[Incarnation, float], None] = lambda _incarnation, _pace: None
    """Tells the other hosts how fast a replica runs."""

    _slow: dict[Incarnation, _Slow] = field(default_factory=dict)
    _asked_ms: dict[Incarnation, float] = field(default_factory=dict)
    _next_search_ms: float = 0.0
    _backoff_ms: float = FRESH_MS

    def slowness(self, replica: ReplicaRecord) -> float:
        """Return how many times slower than its kind a replica runs, 1 for most."""
        slow = self._slow.get(incarnation_of(replica)) if self._slow else None
        if slow is None or slow.until_ms < self.clock.now_ms():
            return 1.0
        return slow.pace

    def begin_search(self, replicas: list[ReplicaRecord]) -> list[ReplicaRecord]:
        """Return the replicas of a path that crawls which are to be asked now.

        Args:
            replicas: The replicas of the path.
        """
        now_ms = self.clock.now_ms()
        if now_ms < self._next_search_ms:
            return []
        fresh_ms = now_ms - FRESH_MS
        asked = [
            replica
            for replica in replicas
            if self._asked_ms.get(incarnation_of(replica), float("-inf")) < fresh_ms
            and self.slowness(replica) == 1.0
        ]
        if asked:
            self._next_search_ms = now_ms + self._backoff_ms
            self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_MS)
        for replica in asked:
            self._asked_ms[incarnation_of(replica)] = now_ms
        return asked

    def note(self, incarnation: Incarnation, pace: float) -> None:
        """Take what a replica's own report says."""
        now_ms = self.clock.now_ms()
        known = self._slow.get(incarnation)
        if pace < SLOW_PACE:
            if known is not None:
                del self._slow[incarnation]
                _log.info("A replica runs at its pace again.", replica=incarnation[0], pace=pace)
                self.tell(incarnation, pace)
            return
        if known is None:
            _log.warning("A replica runs slowly.", replica=incarnation[0], pace=pace)
            self._backoff_ms = FRESH_MS
            self._next_search_ms = now_ms
        self._slow[incarnation] = _Slow(pace, now_ms + HOLDS_MS, now_ms + RECHECK_MS)
        self.tell(incarnation, pace)

    def take_told(self, incarnation: Incarnation, pace: float, host: str) -> None:
        """Take another host's word."""
        if pace < SLOW_PACE:
            self._slow.pop(incarnation, None)
            return
        now_ms = self.clock.now_ms()
        known = self._slow.get(incarnation)
        if known is None:
            _log.info("A replica runs slowly.", replica=incarnation[0], pace=pace, told_by=host)
        recheck_ms = float("inf")
        if known is not None and known.recheck_ms < recheck_ms:
            # Both found it; whichever asks first spares the other one its question.
            recheck_ms = now_ms + RECHECK_MS * TOLD_RECHECK_FACTOR
        self._slow[incarnation] = _Slow(pace, now_ms + HOLDS_MS, recheck_ms)

    def due_rechecks(self) -> list[Incarnation]:
        """Return the slow replicas that this host is to ask again now, and count them as asked."""
        now_ms = self.clock.now_ms()
        for key in [key for key, slow in self._slow.items() if slow.until_ms < now_ms]:
            del self._slow[key]
        due = [key for key, slow in self._slow.items() if slow.recheck_ms <= now_ms]
        for key in due:
            self._slow[key].recheck_ms = now_ms + RECHECK_MS
        return due

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is held of a replica that is gone."""
        self._slow.pop(incarnation, None)
        self._asked_ms.pop(incarnation, None)


def create_replica_paces(clock: Clock) -> ReplicaPaces:
    """Return paces that hold no replica for slow."""
    return ReplicaPaces(clock)
