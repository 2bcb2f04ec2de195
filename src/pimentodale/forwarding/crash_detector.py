"""Detects replicas that crash while they run a request, and records the crash for that request.

The outcome of a send is weak evidence: healthy replicas reset connections too, a crashed replica
may just stop responding, and a head replica may time out on a crashed one behind it. So after every
send without a complete response, all replicas on its path are observed for a while.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, NamedTuple

from pimentodale.logs import get_log
from pimentodale.quarantine.crash_record import MAX_REQUESTS_OF_PART, crash_name
from pimentodale.quarantine.prompt_parts import create_sound_parts, is_part_key
from pimentodale.quarantine.retrials import EARLY_TRIAL_AFTER_MS
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.forwarding.context import RoutedRequest
    from pimentodale.forwarding.stream_state import StreamSend
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

SURVIVAL_MS: Final = 1_500.0
"""How long the replicas of a whole request have to live on before it vindicates the parts of its
prompt: one that crashes under it is known by then, as a probe of an unresponsive replica takes less."""

MIN_SHARED_FRACTION: Final = 0.8
"""Fraction of a part's crashes at which a rarer part has to be present to be blamed for them."""

MIN_SURVIVED_FRACTION: Final = 0.5
"""A whole send with a larger fraction of the events of the longest one that crashed survives."""

_log = get_log("crashes")


class _Survivor(NamedTuple):
    """A whole request whose replicas may yet crash."""

    due_ms: float
    part_keys: tuple[str, ...]
    executed_on: tuple[Incarnation, ...]


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
    """Parts of prompts whose requests crash nothing."""

    _pending: Counter[str] = field(default_factory=Counter)
    """Number of sends without a result yet, by suspect: a request's fingerprint or a part's key."""

    _presumed: dict[Incarnation, set[str]] = field(default_factory=dict)
    """Suspects to which crashes were attributed because a replica answered no probe, by replica;
    the oldest first."""

    _writing: dict[str, list[StreamSend]] = field(default_factory=dict)
    """Sends that are past the start of their request, by key of a part."""

    _survivors: deque[_Survivor] = field(default_factory=deque)
    """Whole requests that vindicate their parts once their replicas have lived on; oldest first."""

    def __post_init__(self) -> None:
        """Create the empty record of sound parts."""
        self.sound_parts = create_sound_parts(self.clock)
        self.record.subscribe_received(self._vindicate)

    def list_alive(self, replica_ids: Iterable[str]) -> list[Incarnation]:
        """Return the replicas believed to be alive; call it as a request is sent to them."""
        known = map(self.view.find_last, replica_ids)
        alive = [incarnation_of(replica) for replica in known if replica is not None]
        return [incarnation for incarnation in alive if not self.has_ended(incarnation)]

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Whether a replica has stopped, restarted or become unreachable.

        That its record is gone doesn't show it, as it may serve on: a probe is requested then.
        """
        departed = self.view.departed
        replica = self.view.find_last(incarnation[0])
        if replica is None:
            return departed.has_ended(incarnation)
        if incarnation_of(replica) != incarnation or self.replica_health.is_confirmed_down(replica):
            return True
        if departed.gone_since_ms(incarnation) is None:
            return False
        if departed.has_ended(incarnation):
            return True
        self.replica_health.request_probe_unless_answered(incarnation)
        return False

    def has_restarted(self, incarnation: Incarnation) -> bool:
        """Whether a replica is registered with another start time, so that its work is lost.

        Unlike a failed probe or a record that is gone, that doesn't happen to one that goes on.
        """
        replica = self.view.replicas.get(incarnation[0])
        return replica is not None and incarnation_of(replica) != incarnation

    def note_whole(
        self, routed: RoutedRequest, executed_on: Collection[Incarnation], *, events: int, runs: int
    ) -> None:
        """Clear the crashes of a request that has completed, except those of this attempt.

        Args:
            routed: The request.
            executed_on: Replicas of all sends of the attempt.
            events: Number of events of the last send; 0 unless it wrote the answer to its end.
            runs: Number of sends of the attempt that may have run. Only a single run vindicates the
                parts of the prompt: the last of several may have been too short for a crash.
        """
        kept = [crash_name(*incarnation) for incarnation in executed_on]
        self.record.clear(routed.fingerprint, kept)
        for key in routed.part_keys:
            if events > MIN_SURVIVED_FRACTION * self.record.most_events(key):
                self.sound_parts.note_survival(key)
        if events == 0 or runs != 1 or not executed_on or not routed.part_keys:
            return
        due_ms = self.clock.now_ms() + SURVIVAL_MS
        self._survivors.append(_Survivor(due_ms, routed.part_keys, tuple(executed_on)))
        self._settle_survivors()
        if any(map(self.record.has_open_crash, routed.part_keys)):
            self.background.start(self._settle_later(), "vindication of a part")

    def is_convicted(self, routed: RoutedRequest) -> bool:
        """Whether a request, or a part of its prompt, has crashed too many replicas."""
        return self._convicted_suspect(routed) is not None

    def may_be_cleared(self, routed: RoutedRequest) -> bool:
        """Whether a request is refused for crashes that may not be its own, and a trial may show it."""
        if not self.retrials.may_clear(routed.fingerprint):
            return False
        return not self._convicted_parts(routed)

    def note_writing(self, routed: RoutedRequest, send: StreamSend) -> None:
        """Note that a send is past the start of its request; call `note_writing_ended` at its end."""
        routed.has_progressed = True
        for key in routed.part_keys:
            self._writing.setdefault(key, []).append(send)

    def note_writing_ended(self, routed: RoutedRequest, send: StreamSend) -> None:
        """Note the end of a send that `note_writing` was called for."""
        for key in routed.part_keys:
            sends = self._writing[key]
            sends.remove(send)
            if not sends:
                del self._writing[key]

    def observe_send(
        self, routed: RoutedRequest, executed_on: Sequence[Incarnation], *, events: int = 0
    ) -> None:
        """Check in the background whether a send without a complete response crashed a replica.

        Args:
            routed: The request.
            executed_on: Replicas on the path that were alive when the request was sent.
            events: Number of events that the send had.
        """
        if not executed_on:
            return
        # If the caller disconnects, nothing else detects a head replica that has become
        # unresponsive.
        self.replica_health.request_probe_unless_answered(executed_on[0])
        is_fresh = events < MIN_PROGRESS_EVENTS
        suspects = {routed.fingerprint: is_fresh}
        for key in self._doubted_parts(routed):
            # A stream that had been writing tells less of the parts that it shares with others.
            suspects[key] = is_fresh and not routed.has_progressed
        self._pending.update(suspects.keys())
        work = self._observe(routed.fingerprint, suspects, executed_on, events)
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
            if routed.sends == 0:
                self.sound_parts.note_request(routed.part_keys)
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
        if self._awaits_verdict_on(routed.fingerprint, routed.sends):
            return True
        return any(
            self._awaits_verdict_on(key, routed.sends) and not self._is_survived(key)
            for key in self._doubted_parts(routed)
        )

    def note_alive(self, incarnation: Incarnation) -> None:
        """Withdraw the crash of a replica that answers again as the same run: it only paused."""
        for suspect in self._presumed.pop(incarnation, ()):
            self.record.withdraw(suspect, crash_name(*incarnation))

    def note_ended(self, routed: RoutedRequest) -> None:
        """Record the end of a request; one that has reached no replica returns its trial run.

        A trial run counts as used once the request reaches a replica, whether that refuses or runs
        it.
        """
        if not routed.is_on_trial:
            return
        if routed.sends == 0:
            self.background.start(self.retrials.release(routed.trial_of), "return of a trial run")
        elif routed.rejections == routed.sends:
            self.retrials.note_rejected(routed.trial_of)

    def _convicted_suspect(self, routed: RoutedRequest) -> str | None:
        """Return the fingerprint of a convicted request, or the key of a convicted part of it."""
        if self.record.is_convicted(routed.fingerprint):
            return routed.fingerprint
        return next(iter(self._convicted_parts(routed)), None)

    def _convicted_parts(self, routed: RoutedRequest) -> list[str]:
        """Return the keys of the convicted parts of a request's prompt."""
        return list(filter(self._is_refused_part, self._doubted_parts(routed)))

    def _is_refused_part(self, key: str) -> bool:
        """Whether requests with a part have to be refused.

        Requests with a deadly part have common parts too, with the same crashes. Of these the rarer
        part is refused first: if the common one is the cause, more crashes follow without the other.
        """
        if not self.record.is_convicted(key) or self._is_survived(key):
            return False
        return not any(self._is_blamed_for(other, key) for other in self.record.list_convicted())

    def _is_blamed_for(self, other: str, key: str) -> bool:
        """Whether a rarer part is the likelier cause of the crashes under another one.

        A part of a single stream that crashed beside a deadly one is rarer still, so the crashes have
        to be under several requests.
        """
        entry, own = self.record.find(other), self.record.find(key)
        if entry is None or own is None or not is_part_key(other):
            return False
        if len(entry.requests) < MAX_REQUESTS_OF_PART or self.sound_parts.has(other):
            return False
        if not self.sound_parts.is_rarer(other, key):
            return False
        # Streams that had been writing when a replica crashed at the start of another request are
        # not the cause.
        later = set(entry.late).difference(own.late)
        crashes = own.open_crashes
        shared = crashes.intersection(entry.open_crashes) - later
        return len(shared) >= MIN_SHARED_FRACTION * len(crashes)

    async def _acquire_trial(self, routed: RoutedRequest) -> bool:
        """Acquire a trial run of a convicted request that has not been sent, if one is due."""
        suspect = self._convicted_suspect(routed)
        if suspect is None or routed.sends > 0 or routed.is_on_trial:
            return False
        parts = self._convicted_parts(routed)
        if len(parts) > 1:
            # A common part is tried by requests without the deadly one, not the other way round.
            return False
        suspect = next(iter(parts), suspect)
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

    def _doubted_parts(self, routed: RoutedRequest) -> list[str]:
        """Return the parts of a request's prompt that are not known as sound."""
        self._settle_survivors()
        return [key for key in routed.part_keys if not self.sound_parts.has(key)]

    def _is_survived(self, key: str) -> bool:
        """Whether at least as many sends survive on a part as replicas have crashed under it.

        After a start of this host no request has vindicated any part for a while. Until then this
        tells a part that all requests share from one that each of its requests crashes a replica on.
        """
        writing = self._writing.get(key, ())
        crashes = len(self.record.open_crashes(key)) + self._pending[key]
        if len(writing) + self.sound_parts.survivals(key) >= max(1, crashes):
            return True
        outlived = self.record.most_events(key) + MIN_PROGRESS_EVENTS
        return any(send.events >= outlived for send in writing)

    def _lives_on(self, survivor: _Survivor) -> bool:
        """Whether no replica of a whole request has ended since."""
        return not any(map(self.has_ended, survivor.executed_on))

    def _settle_survivors(self) -> None:
        """Vindicate the parts of whole requests whose replicas have lived on."""
        now_ms = self.clock.now_ms()
        while self._survivors and self._survivors[0].due_ms <= now_ms:
            survivor = self._survivors.popleft()
            if not self._lives_on(survivor):
                continue
            self.sound_parts.note(survivor.part_keys)
            for key in survivor.part_keys:
                if not self.record.has_open_crash(key):
                    continue
                _log.info(
                    "A whole request vindicates a part of prompts.",
                    fingerprint=key,
                    crashes=sorted(self.record.open_crashes(key)),
                    replicas=[crash_name(*each) for each in survivor.executed_on],
                )
                self.record.clear(key)

    async def _settle_later(self) -> None:
        """Settle what is due after `SURVIVAL_MS`, so that other hosts hear of it without delay."""
        await self.clock.sleep_ms(SURVIVAL_MS)
        self._settle_survivors()

    def _vindicate(self, entry: CrashEntry) -> None:
        """Clear a part that another host convicts, if requests run to their end on it through this one."""
        if entry.is_convicted and self.sound_parts.has(entry.fingerprint):
            self.record.clear(entry.fingerprint)

    def _awaits_verdict_on(self, suspect: str, sends: int) -> bool:
        """Whether sends without a result yet may convict a suspect."""
        pending = self._pending.get(suspect, 0)
        if pending == 0 or not self.record.may_convict(suspect, pending):
            return False
        return sends > 0 or self.record.has_open_crash(suspect)

    async def _observe(
        self,
        fingerprint: str,
        suspects: Mapping[str, bool],
        executed_on: Sequence[Incarnation],
        events: int,
    ) -> None:
        """Check until a replica has crashed or time is up; a send counts at most one crash.

        Args:
            fingerprint: Fingerprint of the request.
            suspects: The request's fingerprint and the keys of parts, each with whether a crash
                counts as one shortly after the start.
            executed_on: Replicas on the path.
            events: Number of events that the send had.
        """
        started_ms = self.clock.now_ms()
        departed: set[Incarnation] = set()
        is_pending = True
        try:
            while True:
                waited_ms = self.clock.now_ms() - started_ms
                ended = self._find_crashed(executed_on, departed, waited_ms)
                if ended is not None:
                    for suspect, is_fresh in suspects.items():
                        crash = crash_name(*ended)
                        request = "" if suspect == fingerprint else fingerprint
                        self.record.strike(
                            suspect, crash, is_fresh=is_fresh, events=events, request=request
                        )
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
            if incarnation in departed:
                continue
            if self._has_withdrawn(incarnation, waited_ms):
                departed.add(incarnation)
                continue
            if not self.has_ended(incarnation):
                continue
            if not self.view.has_announced_departure(incarnation):
                return incarnation
            departed.add(incarnation)
        return None

    def _has_withdrawn(self, incarnation: Incarnation, waited_ms: float) -> bool:
        """Whether a replica's record is gone without a crash: too soon for one, or it answers still."""
        if incarnation[0] in self.view.replicas:
            return False
        since_ms = self.view.departed.gone_since_ms(incarnation)
        if waited_ms < WITHDRAWAL_MS or since_ms is None:
            return waited_ms < WITHDRAWAL_MS
        return self.replica_health.has_answered_since(incarnation, since_ms)

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
