"""Tracks replica health as this host observes it: down, suspect, excluded, or failing."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.admission.hold_offs import HoldOffs, create_hold_offs
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord

PROBE_INTERVAL_MS: Final = 600.0
"""Minimum interval between two probes of a down replica by one host."""

PROBE_PER_HOST_MS: Final = 25.0
"""Minimum probe interval per host of the site. Hosts tell each other when a replica answers again,
so a longer interval doesn't delay its detection; a replica gets at most 40 probes per second."""

MAX_CONCURRENT_PROBES: Final = 8
"""Maximum number of replicas probed at once, for down replicas and for requested probes each. On a
small machine, many simultaneous probes delay each other, which looks like missing replies and
triggers more probes: 62 at once sustained themselves."""

SUSPICION_MS: Final = 600.0
"""Maximum duration of a suspicion; a replica that leaves its probe unanswered by then counts as
down."""

PEER_REPORT_TTL_MS: Final = 2_000.0
"""How long a peer's report that a replica is down suppresses this host's own report. Each report
reaches every host; if every host sent one, their number would grow with the square of the number of
hosts."""

ANSWER_VALIDITY_MS: Final = 1_000.0
"""How long an answered probe proves that a replica is alive; a full replica refuses many requests
per second, each of which would otherwise cause a probe."""

FAILURE_HALF_LIFE_MS: Final = 3_000.0
"""Half-life of a replica's failure and success counts."""

_log = get_log("beliefs")

Incarnation = tuple[str, int]
"""Id and start time of a replica."""


@dataclass(slots=True)
class _Down:
    """A replica that counts as down."""

    reason: str
    probe_at_ms: float
    failed_probes: int = 0
    is_peer_reported_up: bool = False
    """Whether another host reported that the replica answers again."""


@dataclass(slots=True)
class _Failures:
    """Exponentially decaying counts of a replica's failures and successes."""

    failed: float = 0.0
    succeeded: float = 0.0
    at_ms: float = 0.0


@dataclass(slots=True)
class ReplicaHealth:
    """Health of replicas by incarnation; a restart of a replica resets it."""

    clock: Clock
    broadcast: Callable[[Incarnation, str], None] = lambda _incarnation, _reason: None
    """Notifies the other hosts that a replica is down."""

    broadcast_up: Callable[[Incarnation], None] = lambda _incarnation: None
    """Notifies the other hosts that a replica answers again."""

    count_hosts: Callable[[], int] = lambda: 1
    """Returns the number of hosts that probe replicas."""

    note_silent: Callable[[Incarnation], None] = lambda _incarnation: None
    """Called with each replica that did not respond to this host."""

    note_answer: Callable[[Incarnation], None] = lambda _incarnation: None
    """Called with each replica that answered a probe."""

    rng: random.Random = field(default_factory=random.SystemRandom)

    hold_offs: HoldOffs[Incarnation] = field(init=False)
    """Replicas that asked this host to hold off requests for a while."""

    _down_subscribers: list[Callable[[Incarnation], None]] = field(default_factory=list)
    _down: dict[Incarnation, _Down] = field(default_factory=dict)
    _pending_probes: set[Incarnation] = field(default_factory=set)
    _probe_requested: asyncio.Event = field(default_factory=asyncio.Event)
    _excluded_until_ms: dict[Incarnation, float] = field(default_factory=dict)
    _peer_report_ms: dict[Incarnation, float] = field(default_factory=dict)
    _answered_ms: dict[Incarnation, float] = field(default_factory=dict)
    _suspect_until_ms: dict[Incarnation, float] = field(default_factory=dict)
    _failures: dict[Incarnation, _Failures] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the empty hold-offs."""
        self.hold_offs = create_hold_offs(self.clock)

    def subscribe_down(self, callback: Callable[[Incarnation], None]) -> None:
        """Register a callback for each replica that begins to count as down."""
        self._down_subscribers.append(callback)

    def is_tracked(self, replica: ReplicaRecord) -> bool:
        """Return whether there is any entry for a replica; most replicas have none."""
        incarnation = incarnation_of(replica)
        return (
            incarnation in self._failures
            or incarnation in self._excluded_until_ms
            or incarnation in self._suspect_until_ms
            or incarnation in self._down
            or incarnation in self.hold_offs
        )

    def is_usable(self, replica: ReplicaRecord) -> bool:
        """Return whether a replica may get new work."""
        if not self.hold_offs.allows(incarnation_of(replica)):
            return False
        return self.may_keep_work(replica) and not self._is_active(self._excluded_until_ms, replica)

    def may_keep_work(self, replica: ReplicaRecord) -> bool:
        """Return whether a replica may keep its running work; true for a full one that responds."""
        return not self.is_down(replica) and not self._is_active(self._suspect_until_ms, replica)

    def is_down(self, replica: ReplicaRecord) -> bool:
        """Return whether a replica counts as down."""
        return incarnation_of(replica) in self._down

    def is_confirmed_down(self, replica: ReplicaRecord) -> bool:
        """Return whether a replica counts as down and has also failed a probe."""
        down = self._down.get(incarnation_of(replica))
        return down is not None and down.failed_probes > 0

    def request_probe(self, incarnation: Incarnation) -> None:
        """Request a probe of a replica, which keeps its work unless the probe fails.

        A replica that asked to hold off is not probed, because it gets no work meanwhile anyway.
        """
        if incarnation not in self._down and self.hold_offs.left_ms(incarnation) <= 0.0:
            self._pending_probes.add(incarnation)
            self._probe_requested.set()

    def has_answered_since(self, incarnation: Incarnation, since_ms: float) -> bool:
        """Return whether a replica has answered a probe of this host since a time."""
        return self._answered_ms.get(incarnation, float("-inf")) >= since_ms

    def request_probe_unless_answered(self, incarnation: Incarnation) -> None:
        """Request a probe of a replica, unless it has just answered one."""
        answered_ms = self._answered_ms.get(incarnation, float("-inf"))
        if self.clock.now_ms() - answered_ms >= ANSWER_VALIDITY_MS:
            self.request_probe(incarnation)

    def mark_suspect(self, incarnation: Incarnation, reason: str, *, by_peer: str = "") -> None:
        """Give a replica no work until it has been probed, because others could not reach it.

        Args:
            incarnation: The replica.
            reason: Reason for the log.
            by_peer: Host that reported it; empty if this host learned it from a replica.
        """
        if by_peer:
            self._peer_report_ms[incarnation] = self.clock.now_ms()
        if incarnation in self._down or incarnation in self._pending_probes:
            return
        _log.info(
            "A replica is suspected to be down.",
            replica=incarnation[0],
            reason=reason,
            told_by=by_peer,
        )
        self._pending_probes.add(incarnation)
        self._probe_requested.set()
        self._suspect_until_ms[incarnation] = self.clock.now_ms() + SUSPICION_MS
        if by_peer:
            return
        self._broadcast_down_once(incarnation, reason)
        self.note_silent(incarnation)

    def mark_group_suspect(
        self, group: Iterable[Incarnation], probed: Iterable[Incarnation]
    ) -> None:
        """Give no work for a while to replicas that may be unreachable together.

        Args:
            group: The suspected replicas.
            probed: Replicas that are probed on behalf of the group.
        """
        until_ms = self.clock.now_ms() + 2 * SUSPICION_MS
        for incarnation in group:
            self._suspect_until_ms[incarnation] = until_ms
        for incarnation in probed:
            self.request_probe(incarnation)

    def clear_suspicions(self, group: Iterable[Incarnation]) -> None:
        """Clear the suspicion of replicas."""
        for incarnation in group:
            self._suspect_until_ms.pop(incarnation, None)

    def mark_down(self, incarnation: Incarnation, reason: str) -> None:
        """Give a replica no work until it answers a probe, because this host could not reach it.

        Args:
            incarnation: The replica.
            reason: Reason for the log.
        """
        if incarnation in self._down:
            return
        self._down[incarnation] = _Down(reason, self.clock.now_ms())
        _log.warning("A replica counts as down.", replica=incarnation[0], reason=reason)
        for callback in self._down_subscribers:
            callback(incarnation)
        self._broadcast_down_once(incarnation, reason)
        self.note_silent(incarnation)

    def exclude_for(self, incarnation: Incarnation, duration_ms: float) -> None:
        """Give a replica no new work for a while."""
        until_ms = self.clock.now_ms() + duration_ms
        self._excluded_until_ms[incarnation] = max(
            until_ms, self._excluded_until_ms.get(incarnation, 0.0)
        )

    async def wait_for_probe_request(self, timeout_ms: float) -> bool:
        """Wait until a probe of a replica is requested.

        Args:
            timeout_ms: Longest wait.

        Returns:
            Whether one was requested since the last call.
        """
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._probe_requested.wait(), timeout_ms / MS_PER_S)
        is_requested = self._probe_requested.is_set()
        self._probe_requested.clear()
        return is_requested

    def due_probes(self) -> list[Incarnation]:
        """Return the replicas that are due for a probe, and mark them as probed."""
        now_ms = self.clock.now_ms()
        due = [key for key, down in self._down.items() if down.probe_at_ms <= now_ms]
        due.sort(key=lambda key: self._down[key].probe_at_ms)
        del due[MAX_CONCURRENT_PROBES:]
        interval_ms = max(PROBE_INTERVAL_MS, PROBE_PER_HOST_MS * self.count_hosts())
        for key in due:
            self._down[key].probe_at_ms = now_ms + interval_ms * self.rng.uniform(0.8, 1.2)
        suspects = list(self._pending_probes)[:MAX_CONCURRENT_PROBES]
        self._pending_probes.difference_update(suspects)
        if self._pending_probes:
            self._probe_requested.set()
        return due + suspects

    def note_failed_probe(self, incarnation: Incarnation, reason: str) -> None:
        """Count a probe that a replica did not answer."""
        if incarnation in self._down:
            self.note_silent(incarnation)
        self.mark_down(incarnation, reason)
        self._down[incarnation].failed_probes += 1
        self._down[incarnation].is_peer_reported_up = False

    def mark_up(self, incarnation: Incarnation) -> None:
        """Give a replica work again, because it answered."""
        self.note_answer(incarnation)
        self._answered_ms[incarnation] = self.clock.now_ms()
        self._suspect_until_ms.pop(incarnation, None)
        down = self._down.pop(incarnation, None)
        if down is None:
            return
        _log.info("A replica answers again.", replica=incarnation[0])
        if not down.is_peer_reported_up:
            self.broadcast_up(incarnation)

    def probe_soon(self, incarnation: Incarnation) -> None:
        """Probe a down replica immediately, because another host received an answer from it."""
        down = self._down.get(incarnation)
        if down is not None:
            down.probe_at_ms = self.clock.now_ms()
            down.is_peer_reported_up = True

    def forget(self, incarnation: Incarnation) -> None:
        """Remove all entries of a replica that is gone."""
        self._down.pop(incarnation, None)
        self._pending_probes.discard(incarnation)
        self._excluded_until_ms.pop(incarnation, None)
        self._suspect_until_ms.pop(incarnation, None)
        self._peer_report_ms.pop(incarnation, None)
        self._answered_ms.pop(incarnation, None)
        self._failures.pop(incarnation, None)
        self.hold_offs.forget(incarnation)

    def note_result(self, incarnation: Incarnation, succeeded: bool) -> None:
        """Count the result of a request to a replica."""
        failures = self._decayed_failures(incarnation)
        if succeeded:
            failures.succeeded += 1.0
        else:
            failures.failed += 1.0

    def failure_rate(self, replica: ReplicaRecord) -> float:
        """Return the fraction of a replica's recent requests that failed, 0 to 1."""
        incarnation = incarnation_of(replica)
        if incarnation not in self._failures:
            return 0.0
        failures = self._decayed_failures(incarnation)
        # Two assumed successes keep a single failure from dominating the rate.
        return failures.failed / (failures.failed + failures.succeeded + 2.0)

    def _broadcast_down_once(self, incarnation: Incarnation, reason: str) -> None:
        """Notify the other hosts that a replica is down, unless one has just reported it."""
        now_ms = self.clock.now_ms()
        if now_ms - self._peer_report_ms.get(incarnation, float("-inf")) > PEER_REPORT_TTL_MS:
            self.broadcast(incarnation, reason)

    def _is_active(self, until_ms: dict[Incarnation, float], replica: ReplicaRecord) -> bool:
        """Return whether a replica's entry has not expired yet."""
        return until_ms.get(incarnation_of(replica), 0.0) > self.clock.now_ms()

    def _decayed_failures(self, incarnation: Incarnation) -> _Failures:
        """Return a replica's counts, decayed to the current time."""
        now_ms = self.clock.now_ms()
        failures = self._failures.setdefault(incarnation, _Failures(at_ms=now_ms))
        decay = 0.5 ** ((now_ms - failures.at_ms) / FAILURE_HALF_LIFE_MS)
        failures.failed *= decay
        failures.succeeded *= decay
        failures.at_ms = now_ms
        return failures


def incarnation_of(replica: ReplicaRecord) -> Incarnation:
    """Return the id and start time, which identify one run of a replica."""
    return replica.replica_id, replica.started_ms


def create_replica_health(clock: Clock) -> ReplicaHealth:
    """Return a tracker without entries."""
    return ReplicaHealth(clock)
