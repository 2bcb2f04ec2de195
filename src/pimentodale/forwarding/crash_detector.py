"""Detects replicas that crash while they run a request, and records the crash for that request.

The outcome of a send is weak evidence: healthy replicas reset connections too, a crashed replica
may just stop responding, and a head replica may time out on a crashed one behind it. So after every
send without a complete response, all replicas on its path are observed for a while.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.quarantine.crash_record import crash_name
from pimentodale.quarantine.prompt_parts import create_sound_parts
from pimentodale.quarantine.retrials import EARLY_TRIAL_AFTER_MS
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.forwarding.context import RoutedRequest
    from pimentodale.quarantine.crash_record import CrashEntry, CrashRecord
    from pimentodale.quarantine.prompt_parts import SoundParts
    from pimentodale.quarantine.retrials import Retrials
    from pimentodale.site.replica_health import Incarnation, ReplicaHealth
    from pimentodale.site.view import SiteView

POLL_INTERVAL_MS: Final = 50.0
"""Interval at which the replicas of a send are checked while requests may wait for the result."""

LATE_POLL_INTERVAL_MS: Final = 500.0
"""Interval of the checks after `VERDICT_TIMEOUT_MS`, when no request waits for them any more."""

VERDICT_TIMEOUT_MS: Final = 1_500.0
"""Longest time for which a request that one more crash would quarantine waits for the result of its
last send: an unresponsive replica is known to be lost after two probes of 0.5 s."""

DOUBT_MS: Final = EARLY_TRIAL_AFTER_MS + VERDICT_TIMEOUT_MS
"""Time since the last crash in which a conviction may soon be withdrawn: by the result of a trial, or
as replicas answer that only paused."""

OBSERVATION_MS: Final = 6_000.0
"""How long the replicas of a send are observed: the record of a crashed replica expires after three
heartbeats of 1.2 s, and a restarted replica registers again within seconds."""

WITHDRAWAL_MS: Final = 1_500.0
"""Time after a send within which a record that disappears was withdrawn by the replica itself, in a
planned shutdown: the record of a crashed replica expires after two heartbeats at the earliest."""

MAX_PRESUMED: Final = 256
"""Maximum number of replicas whose crash may still turn out to be a pause."""

MIN_PROGRESS_EVENTS: Final = 3
"""Number of events of one send from which its replicas are past the start of the request."""


@dataclass(slots=True)
class CrashDetector:
    """Observes the replicas of sends that ended without a complete response."""

    clock: Clock
    record: CrashRecord
    """Crashes recorded by request fingerprint."""

    view: SiteView
    replica_health: ReplicaHealth
    background: BackgroundTasks
    retrials: Retrials
    """Grants quarantined requests one further run."""

    sound_parts: SoundParts = field(init=False)
    """Parts of prompts on which requests have written events."""

    _pending: Counter[str] = field(default_factory=Counter)
    """Number of sends without a result yet, by suspect: a request's fingerprint or a part's key."""

    _presumed: dict[Incarnation, set[str]] = field(default_factory=dict)
    """Suspects to which crashes were attributed because a replica answered no probe, by replica;
    the oldest first."""

    def __post_init__(self) -> None:
        """Create the empty record of sound parts."""
        self.sound_parts = create_sound_parts(self.clock)
        self.record.subscribe_received(self._vindicate)

    def list_alive(self, replica_ids: Iterable[str]) -> list[Incarnation]:
        """Return the replicas believed to be alive; call it as a request is sent to them."""
        known = (self.view.replicas.get(replica_id) for replica_id in replica_ids)
        alive = [incarnation_of(replica) for replica in known if replica is not None]
        return [incarnation for incarnation in alive if not self.has_ended(incarnation)]

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Whether a replica has stopped, restarted or become unreachable."""
        replica = self.view.replicas.get(incarnation[0])
        if replica is None or incarnation_of(replica) != incarnation:
            return True
        return self.replica_health.is_confirmed_down(replica)

    def has_restarted(self, incarnation: Incarnation) -> bool:
        """Whether a replica is registered with another start time, so that its work is lost.

        Unlike a failed probe or a record that is gone, that doesn't happen to one that goes on.
        """
        replica = self.view.replicas.get(incarnation[0])
        return replica is not None and incarnation_of(replica) != incarnation

    def note_whole(self, routed: RoutedRequest, executed_on: Iterable[Incarnation]) -> None:
        """Clear the crashes of a request that has completed, except those of this attempt.

        Args:
            routed: The request.
            executed_on: Replicas of all sends of the attempt.
        """
        kept = [crash_name(*incarnation) for incarnation in executed_on]
        self.record.clear(routed.fingerprint, kept)
        self.note_progress(routed)

    def is_convicted(self, routed: RoutedRequest) -> bool:
        """Whether a request, or a part of its prompt, has crashed too many replicas."""
        return self._convicted_suspect(routed) is not None

    def note_progress(self, routed: RoutedRequest) -> None:
        """Vindicate the parts of a request's prompt: a replica has written on all of them."""
        routed.has_progressed = True
        self.sound_parts.note(routed.part_keys)
        for key in routed.part_keys:
            if self.record.has_open_crash(key):
                self.record.clear(key)

    def observe_send(
        self, routed: RoutedRequest, executed_on: Sequence[Incarnation], *, is_fresh: bool
    ) -> None:
        """Check in the background whether a send without a complete response crashed a replica.

        Args:
            routed: The request.
            executed_on: Replicas on the path that were alive when the request was sent.
            is_fresh: Whether they had only started to run the request.
        """
        if not executed_on:
            return
        # If the caller disconnects, nothing else detects a head replica that has become
        # unresponsive.
        self.replica_health.request_probe_unless_answered(executed_on[0])
        suspects = self._suspects(routed)
        if routed.has_progressed or not is_fresh:
            suspects = [routed.fingerprint]
        self._pending.update(suspects)
        work = self._observe(suspects, executed_on, is_fresh=is_fresh)
        self.background.start(work, "crash detector")

    async def is_refused(self, routed: RoutedRequest) -> bool:
        """Whether a request must not be sent; waits for pending crash checks that may decide it.

        Args:
            routed: The request; a quarantined one may be granted a trial run.
        """
        end_ms = self.clock.now_ms() + VERDICT_TIMEOUT_MS
        is_granted = await self._acquire_trial(routed)
        while not is_granted and self._is_undecided(routed) and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(POLL_INTERVAL_MS)
            is_granted = await self._acquire_trial(routed)
        suspect = self._convicted_suspect(routed)
        if suspect is None:
            return False
        is_refused = routed.sends > 0 or not routed.is_on_trial
        if is_refused:
            routed.history.append(f"in quarantine: {suspect}")
        return is_refused

    def awaits_verdict(self, routed: RoutedRequest) -> bool:
        """Whether the sends without a result yet may put a request into quarantine.

        Many requests may share a fingerprint, and slow replicas leave many of them without a
        response. So a new request waits only if a crash is already recorded for its fingerprint.
        """
        return any(self._awaits_verdict_on(key, routed.sends) for key in self._suspects(routed))

    def note_alive(self, incarnation: Incarnation) -> None:
        """Withdraw the crash of a replica that answers again as the same run: it only paused."""
        for suspect in self._presumed.pop(incarnation, ()):
            self.record.withdraw(suspect, crash_name(*incarnation))

    def note_ended(self, routed: RoutedRequest) -> None:
        """Record the end of a request; one that has reached no replica returns its trial run.

        A trial run counts as used once the request reaches a replica, whether that refuses or runs
        it.
        """
        if routed.is_on_trial and routed.sends == 0:
            self.background.start(self.retrials.release(routed.trial_of), "return of a trial run")

    def _convicted_suspect(self, routed: RoutedRequest) -> str | None:
        """Return the fingerprint of a convicted request, or the key of a convicted part of it."""
        return next((key for key in self._suspects(routed) if self.record.is_convicted(key)), None)

    async def _acquire_trial(self, routed: RoutedRequest) -> bool:
        """Acquire a trial run of a convicted request that has not been sent, if one is due."""
        suspect = self._convicted_suspect(routed)
        if suspect is None or routed.sends > 0 or routed.is_on_trial:
            return False
        if not await self.retrials.acquire(suspect):
            return False
        routed.trial_of = suspect
        return True

    def _is_undecided(self, routed: RoutedRequest) -> bool:
        """Whether a request may soon be convicted, or its conviction withdrawn."""
        if self.awaits_verdict(routed):
            return True
        suspect = self._convicted_suspect(routed)
        if suspect is None or self.record.ms_since_change(suspect) > DOUBT_MS:
            return False
        # A replica that is silent but still registered may only pause.
        unproved = filter(self._is_registered, self.record.open_crashes(suspect))
        return self.record.is_doubtful(suspect, unproved)

    def _is_registered(self, crash: str) -> bool:
        """Whether the run of a replica that has crashed by its name is still registered."""
        replica = self.view.replicas.get(crash.rpartition("/")[0])
        return replica is not None and crash_name(*incarnation_of(replica)) == crash

    def _suspects(self, routed: RoutedRequest) -> list[str]:
        """Return what may crash a request's replicas: itself, and the parts not known as sound."""
        parts = [key for key in routed.part_keys if not self.sound_parts.has(key)]
        return [routed.fingerprint, *parts]

    def _vindicate(self, entry: CrashEntry) -> None:
        """Clear a part that another host convicts, if requests write on it through this one."""
        if entry.is_convicted and self.sound_parts.has(entry.fingerprint):
            self.record.clear(entry.fingerprint)

    def _awaits_verdict_on(self, suspect: str, sends: int) -> bool:
        """Whether sends without a result yet may convict a suspect."""
        pending = self._pending.get(suspect, 0)
        if pending == 0 or not self.record.may_convict(suspect, pending):
            return False
        return sends > 0 or self.record.has_open_crash(suspect)

    async def _observe(
        self, suspects: Sequence[str], executed_on: Sequence[Incarnation], *, is_fresh: bool
    ) -> None:
        """Check until a replica has crashed or time is up; a send counts at most one crash."""
        started_ms = self.clock.now_ms()
        departed: set[Incarnation] = set()
        is_pending = True
        try:
            while True:
                waited_ms = self.clock.now_ms() - started_ms
                ended = self._find_crashed(executed_on, departed, waited_ms)
                if ended is not None:
                    for suspect in suspects:
                        self.record.strike(suspect, crash_name(*ended), is_fresh=is_fresh)
                        self._note_presumed(ended, suspect)
                    return
                if is_pending and waited_ms >= VERDICT_TIMEOUT_MS:
                    is_pending = False
                    self._settle(suspects)
                if waited_ms >= OBSERVATION_MS:
                    return
                await self.clock.sleep_ms(POLL_INTERVAL_MS if is_pending else LATE_POLL_INTERVAL_MS)
        finally:
            if is_pending:
                self._settle(suspects)

    def _note_presumed(self, incarnation: Incarnation, suspect: str) -> None:
        """Remember a crash that only failed probes show, in case the replica answers again."""
        replica = self.view.replicas.get(incarnation[0])
        if replica is None or incarnation_of(replica) != incarnation:
            return
        if incarnation not in self._presumed and len(self._presumed) >= MAX_PRESUMED:
            del self._presumed[next(iter(self._presumed))]
        self._presumed.setdefault(incarnation, set()).add(suspect)

    def _find_crashed(
        self, executed_on: Sequence[Incarnation], departed: set[Incarnation], waited_ms: float
    ) -> Incarnation | None:
        """Return the first replica that has crashed; add planned shutdowns to `departed`."""
        for incarnation in executed_on:
            if incarnation in departed or not self.has_ended(incarnation):
                continue
            is_withdrawn = incarnation[0] not in self.view.replicas and waited_ms < WITHDRAWAL_MS
            if not is_withdrawn and not self.view.has_announced_departure(incarnation):
                return incarnation
            departed.add(incarnation)
        return None

    def _settle(self, suspects: Iterable[str]) -> None:
        """Remove a send from the pending counts."""
        for suspect in suspects:
            self._pending[suspect] -= 1
            if self._pending[suspect] <= 0:
                del self._pending[suspect]


def create_crash_detector(
    clock: Clock,
    record: CrashRecord,
    view: SiteView,
    replica_health: ReplicaHealth,
    background: BackgroundTasks,
    retrials: Retrials,
) -> CrashDetector:
    """Return a detector without pending sends."""
    return CrashDetector(clock, record, view, replica_health, background, retrials)
