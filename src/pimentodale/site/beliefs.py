"""What this host believes of replicas beyond their own records: down, to be passed over, failing."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.admission.hold_offs import HoldOffs, create_hold_offs
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord

PROBE_INTERVAL_MS: Final = 600.0
"""Least pause between two questions of a host to a replica that counts as down."""

PROBE_PER_HOST_MS: Final = 25.0
"""Least pause for each host of the site: they tell each other of a replica that answers again, so it is
found as soon, and gets 40 questions a second at most."""

MAX_DUE: Final = 8
"""Replicas of either sort that are probed at once. Many at once make each other late on a small machine,
which passes for silence and calls for more probes: 62 at once kept themselves going."""

DOUBT_MS: Final = 600.0
"""Longest doubt: a probe that has no answer by then makes the replica count as down."""

HEARD_MS: Final = 2_000.0
"""How long another host's word that a replica is down makes this host's own superfluous; such words
reach every host, and with each host's own they would grow with the square of the hosts."""

ANSWER_HOLDS_MS: Final = 1_000.0
"""How long an answer to a probe shows that a replica lives: a full one refuses many requests a second."""

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
    is_prompted: bool = False
    """Whether another host said that it answers again."""


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

    tell_up: Callable[[Incarnation], None] = lambda _incarnation: None
    """Tells the other hosts that a replica answers again."""

    count_hosts: Callable[[], int] = lambda: 1
    """Returns how many hosts probe."""

    note_silent: Callable[[Incarnation], None] = lambda _incarnation: None
    """Told of each replica that this host itself found silent."""

    note_answer: Callable[[Incarnation], None] = lambda _incarnation: None
    """Told of each replica that answered a probe."""

    rng: random.Random = field(default_factory=random.SystemRandom)

    hold_offs: HoldOffs[Incarnation] = field(init=False)
    """Replicas that want nothing from this host for a while."""

    _down: dict[Incarnation, _Down] = field(default_factory=dict)
    _suspects: set[Incarnation] = field(default_factory=set)
    _passed_over: dict[Incarnation, float] = field(default_factory=dict)
    _heard_ms: dict[Incarnation, float] = field(default_factory=dict)
    _answered_ms: dict[Incarnation, float] = field(default_factory=dict)
    _doubted: dict[Incarnation, float] = field(default_factory=dict)
    _failures: dict[Incarnation, _Failures] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin with no replica that wants nothing."""
        self.hold_offs = create_hold_offs(self.clock)

    def has_word_of(self, replica: ReplicaRecord) -> bool:
        """Whether anything is held for or against a replica; of most there is nothing."""
        incarnation = incarnation_of(replica)
        return (
            incarnation in self._failures
            or incarnation in self._passed_over
            or incarnation in self._doubted
            or incarnation in self._down
            or incarnation in self.hold_offs
        )

    def is_usable(self, replica: ReplicaRecord) -> bool:
        """Whether new work may go to a replica."""
        if not self.hold_offs.allows(incarnation_of(replica)):
            return False
        return self.keeps_work(replica) and not self._lasts(self._passed_over, replica)

    def keeps_work(self, replica: ReplicaRecord) -> bool:
        """Whether work that runs at a replica may stay there: it may be full, but not silent."""
        return not self.is_down(replica) and not self._lasts(self._doubted, replica)

    def is_down(self, replica: ReplicaRecord) -> bool:
        """Whether a replica counts as down."""
        return incarnation_of(replica) in self._down

    def is_lost(self, replica: ReplicaRecord) -> bool:
        """Whether a replica counts as down and has left a probe without an answer too."""
        down = self._down.get(incarnation_of(replica))
        return down is not None and down.failed_probes > 0

    def suspect(self, incarnation: Incarnation) -> None:
        """Have a replica probed; it keeps its work until it leaves that without an answer.

        One that wants nothing for a while is left alone: it gets no work meanwhile anyway.
        """
        if incarnation not in self._down and self.hold_offs.left_ms(incarnation) <= 0.0:
            self._suspects.add(incarnation)

    def suspect_unless_heard(self, incarnation: Incarnation) -> None:
        """Have a replica probed, unless it has just answered a probe."""
        answered_ms = self._answered_ms.get(incarnation, float("-inf"))
        if self.clock.now_ms() - answered_ms >= ANSWER_HOLDS_MS:
            self.suspect(incarnation)

    def doubt(self, incarnation: Incarnation, reason: str, *, by_peer: str = "") -> None:
        """Give a replica no work until its probe has ended: others could not reach it.

        Args:
            incarnation: The replica.
            reason: What showed it, for the log.
            by_peer: Host that told; empty when this host learned it from a replica.
        """
        if by_peer:
            self._heard_ms[incarnation] = self.clock.now_ms()
        if incarnation in self._down or incarnation in self._suspects:
            return
        _log.info("A replica is doubted.", replica=incarnation[0], reason=reason, told_by=by_peer)
        self._suspects.add(incarnation)
        self._doubted[incarnation] = self.clock.now_ms() + DOUBT_MS
        if by_peer:
            return
        self._tell_once(incarnation, reason)
        self.note_silent(incarnation)

    def doubt_together(self, group: Iterable[Incarnation], probed: Iterable[Incarnation]) -> None:
        """Give replicas no work for a while that may be silent together.

        Args:
            group: The replicas.
            probed: Those that are probed for all of them.
        """
        until_ms = self.clock.now_ms() + 2 * DOUBT_MS
        for incarnation in group:
            self._doubted[incarnation] = until_ms
        for incarnation in probed:
            self.suspect(incarnation)

    def trust(self, group: Iterable[Incarnation]) -> None:
        """Take doubts back."""
        for incarnation in group:
            self._doubted.pop(incarnation, None)

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
        self._tell_once(incarnation, reason)
        self.note_silent(incarnation)

    def pass_over(self, incarnation: Incarnation, duration_ms: float) -> None:
        """Give a replica no new work for a while."""
        until_ms = self.clock.now_ms() + duration_ms
        self._passed_over[incarnation] = max(until_ms, self._passed_over.get(incarnation, 0.0))

    def due_probes(self) -> list[Incarnation]:
        """Return the replicas that are to be asked now, and count them as asked."""
        now_ms = self.clock.now_ms()
        due = [key for key, down in self._down.items() if down.probe_at_ms <= now_ms]
        due.sort(key=lambda key: self._down[key].probe_at_ms)
        del due[MAX_DUE:]
        interval_ms = max(PROBE_INTERVAL_MS, PROBE_PER_HOST_MS * self.count_hosts())
        for key in due:
            self._down[key].probe_at_ms = now_ms + interval_ms * self.rng.uniform(0.8, 1.2)
        suspects = list(self._suspects)[:MAX_DUE]
        self._suspects.difference_update(suspects)
        return due + suspects

    def note_silent_probe(self, incarnation: Incarnation, reason: str) -> None:
        """Count a probe that a replica left without an answer."""
        if incarnation in self._down:
            self.note_silent(incarnation)
        self.mark_down(incarnation, reason)
        self._down[incarnation].failed_probes += 1
        self._down[incarnation].is_prompted = False

    def mark_up(self, incarnation: Incarnation) -> None:
        """Give a replica work again: it answered."""
        self.note_answer(incarnation)
        self._answered_ms[incarnation] = self.clock.now_ms()
        self._doubted.pop(incarnation, None)
        down = self._down.pop(incarnation, None)
        if down is None:
            return
        _log.info("A replica answers again.", replica=incarnation[0])
        if not down.is_prompted:
            self.tell_up(incarnation)

    def probe_soon(self, incarnation: Incarnation) -> None:
        """Probe a replica at once if it counts as down: another host had an answer."""
        down = self._down.get(incarnation)
        if down is not None:
            down.probe_at_ms = self.clock.now_ms()
            down.is_prompted = True

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is held of a replica that is gone."""
        self._down.pop(incarnation, None)
        self._suspects.discard(incarnation)
        self._passed_over.pop(incarnation, None)
        self._doubted.pop(incarnation, None)
        self._heard_ms.pop(incarnation, None)
        self._answered_ms.pop(incarnation, None)
        self._failures.pop(incarnation, None)
        self.hold_offs.forget(incarnation)

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

    def _tell_once(self, incarnation: Incarnation, reason: str) -> None:
        """Tell the other hosts, unless one of them has just told all."""
        now_ms = self.clock.now_ms()
        if now_ms - self._heard_ms.get(incarnation, float("-inf")) > HEARD_MS:
            self.tell(incarnation, reason)

    def _lasts(self, until_ms: dict[Incarnation, float], replica: ReplicaRecord) -> bool:
        """Whether a replica's entry still holds."""
        return until_ms.get(incarnation_of(replica), 0.0) > self.clock.now_ms()

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
