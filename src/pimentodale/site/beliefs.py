"""What this host believes of replicas beyond their own records: down, to be passed over, failing."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord

PROBE_INTERVAL_MS: Final = 600.0
"""Pause between two questions to a replica that counts as down."""

DOUBT_MS: Final = 600.0
"""Longest doubt: a probe that has no answer by then makes the replica count as down."""

FAILURE_HALF_LIFE_MS: Final = 3_000.0
"""Time in which a replica's failures lose half their weight."""

_log = get_log("beliefs")

Incarnation = tuple[str, int]
"""A replica's id and start time."""


@dataclass(slots=True)
class _Down:
    """A replica that counts as down."""

    reason: str
    probe_at_ms: float
    failed_probes: int = 0


@dataclass(slots=True)
class _Failures:
    """Failures and successes of a replica, both fading."""

    failed: float = 0.0
    whole: float = 0.0
    at_ms: float = 0.0


@dataclass(slots=True)
class ReplicaBeliefs:
    """Beliefs by incarnation; a restart clears them."""

    clock: Clock
    tell: Callable[[Incarnation, str], None] = lambda _incarnation, _reason: None
    """Tells the other hosts that a replica is down."""

    _down: dict[Incarnation, _Down] = field(default_factory=dict)
    _suspects: set[Incarnation] = field(default_factory=set)
    _passed_over: dict[Incarnation, float] = field(default_factory=dict)
    _failures: dict[Incarnation, _Failures] = field(default_factory=dict)

    def is_usable(self, replica: ReplicaRecord) -> bool:
        """Whether new work may go to a replica."""
        incarnation = incarnation_of(replica)
        if incarnation in self._down:
            return False
        until_ms = self._passed_over.get(incarnation)
        return until_ms is None or until_ms <= self.clock.now_ms()

    def is_down(self, replica: ReplicaRecord) -> bool:
        """Whether a replica counts as down."""
        return incarnation_of(replica) in self._down

    def is_lost(self, replica: ReplicaRecord) -> bool:
        """Whether a replica counts as down and has left a probe without an answer too."""
        down = self._down.get(incarnation_of(replica))
        return down is not None and down.failed_probes > 0

    def suspect(self, incarnation: Incarnation) -> None:
        """Have a replica probed; it keeps its work until it leaves that without an answer."""
        if incarnation not in self._down:
            self._suspects.add(incarnation)

    def doubt(self, incarnation: Incarnation, reason: str, *, by_peer: str = "") -> None:
        """Give a replica no work until its probe has ended: others could not reach it.

        Args:
            incarnation: The replica.
            reason: What showed it, for the log.
            by_peer: Host that told; empty when this host learned it from a replica.
        """
        if incarnation in self._down or incarnation in self._suspects:
            return
        _log.info("A replica is doubted.", replica=incarnation[0], reason=reason, told_by=by_peer)
        self._suspects.add(incarnation)
        self.pass_over(incarnation, DOUBT_MS)
        if not by_peer:
            self.tell(incarnation, reason)

    def mark_down(self, incarnation: Incarnation, reason: str) -> None:
        """Give a replica no work until it answers a probe: this host could not reach it.

        Args:
            incarnation: The replica.
            reason: What showed it, for the log.
        """
        if incarnation in self._down:
            return
        self._down[incarnation] = _Down(reason, self.clock.now_ms())
        _log.warning("A replica counts as down.", replica=incarnation[0], reason=reason)
        self.tell(incarnation, reason)

    def pass_over(self, incarnation: Incarnation, duration_ms: float) -> None:
        """Give a replica no new work for a while."""
        until_ms = self.clock.now_ms() + duration_ms
        self._passed_over[incarnation] = max(until_ms, self._passed_over.get(incarnation, 0.0))

    def due_probes(self) -> list[Incarnation]:
        """Return the replicas that are to be asked now, and count them as asked."""
        now_ms = self.clock.now_ms()
        due = [key for key, down in self._down.items() if down.probe_at_ms <= now_ms]
        for key in due:
            self._down[key].probe_at_ms = now_ms + PROBE_INTERVAL_MS
        due += self._suspects
        self._suspects.clear()
        return due

    def note_silent_probe(self, incarnation: Incarnation, reason: str) -> None:
        """Count a probe that a replica left without an answer."""
        self.mark_down(incarnation, reason)
        self._down[incarnation].failed_probes += 1

    def mark_up(self, incarnation: Incarnation) -> None:
        """Give a replica work again: it answered."""
        self._passed_over.pop(incarnation, None)
        if self._down.pop(incarnation, None) is not None:
            _log.info("A replica answers again.", replica=incarnation[0])

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is held of a replica that is gone."""
        self._down.pop(incarnation, None)
        self._suspects.discard(incarnation)
        self._passed_over.pop(incarnation, None)
        self._failures.pop(incarnation, None)

    def note_result(self, incarnation: Incarnation, whole: bool) -> None:
        """Count an answer of a replica."""
        failures = self._faded(incarnation)
        if whole:
            failures.whole += 1.0
        else:
            failures.failed += 1.0

    def failure_rate(self, replica: ReplicaRecord) -> float:
        """Return the share of a replica's recent answers that failed, 0 to 1."""
        incarnation = incarnation_of(replica)
        if incarnation not in self._failures:
            return 0.0
        failures = self._faded(incarnation)
        # Two successes are assumed, so that a single failure does not condemn.
        return failures.failed / (failures.failed + failures.whole + 2.0)

    def _faded(self, incarnation: Incarnation) -> _Failures:
        """Return a replica's counts as they weigh now."""
        now_ms = self.clock.now_ms()
        failures = self._failures.setdefault(incarnation, _Failures(at_ms=now_ms))
        fade = 0.5 ** ((now_ms - failures.at_ms) / FAILURE_HALF_LIFE_MS)
        failures.failed *= fade
        failures.whole *= fade
        failures.at_ms = now_ms
        return failures


def incarnation_of(replica: ReplicaRecord) -> Incarnation:
    """Return what tells one start of a replica from others."""
    return replica.replica_id, replica.started_ms


def create_replica_beliefs(clock: Clock) -> ReplicaBeliefs:
    """Return beliefs that hold nothing against any replica."""
    return ReplicaBeliefs(clock)
