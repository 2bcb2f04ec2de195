"""Finds out whether replicas ended under a request, and holds that against it.

How a send ends says little: connections are reset by sound replicas too, a replica that has crashed may just
be silent, and a first replica may give up on a later one that did. So every send that brings no whole answer
is followed by a look at all the replicas that it passed through.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.forwarding.means import RoutedRequest
    from pimentodale.quarantine.crashes import CrashRecord
    from pimentodale.quarantine.retrials import Retrials
    from pimentodale.site.beliefs import Incarnation, ReplicaBeliefs
    from pimentodale.site.view import SiteView

LOOK_INTERVAL_MS: Final = 50.0
"""Pause between two looks at the replicas of a send while requests may wait for its verdict."""

LATE_LOOK_INTERVAL_MS: Final = 500.0
"""The same afterwards."""

VERDICT_MS: Final = 1_500.0
"""Longest wait of a request for the verdict on its last send, where one more crash convicts it: a silent
replica is known to be lost after two probes of 0.5 s."""

LOOK_MS: Final = 6_000.0
"""How long after a send its replicas are looked at: the record of one that crashed lapses after three
heartbeats of 1.2 s, and one that starts anew is back within seconds."""

TAKEN_BACK_MS: Final = 1_500.0
"""Time after a send within which a record that goes was taken back by its replica, which then left as planned:
that of one that crashed lapses after two heartbeats at the soonest."""

PROVING_EVENTS: Final = 3
"""Events of one send after which its replicas have more than begun to run the request."""


@dataclass(slots=True)
class CrashWatch:
    """Sends whose replicas are looked at."""

    clock: Clock
    record: CrashRecord
    """What is held against requests."""

    view: SiteView
    beliefs: ReplicaBeliefs
    background: BackgroundTasks
    retrials: Retrials
    """Lets refused requests run once more."""

    _pending: Counter[str] = field(default_factory=Counter)
    """Sends without a verdict, by fingerprint of the request."""

    def list_living(self, replica_ids: Iterable[str]) -> list[Incarnation]:
        """Return the replicas that live as far as is known; call it as a request is sent to them."""
        known = (self.view.replicas.get(replica_id) for replica_id in replica_ids)
        living = [incarnation_of(replica) for replica in known if replica is not None]
        return [incarnation for incarnation in living if not self.has_ended(incarnation)]

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Whether a replica has ended, restarted or is out of reach."""
        replica = self.view.replicas.get(incarnation[0])
        if replica is None or incarnation_of(replica) != incarnation:
            return True
        return self.beliefs.is_lost(replica)

    def follow(self, fingerprint: str, ran_at: Sequence[Incarnation], *, is_fresh: bool) -> None:
        """Look in the background whether a send that brought no whole answer ended a replica.

        Args:
            fingerprint: The request.
            ran_at: Replicas that it passed through and that lived before.
            is_fresh: Whether they had only begun to run it.
        """
        if not ran_at:
            return
        # A first replica that has fallen silent is found out by nobody else where the caller leaves.
        self.beliefs.suspect_unless_heard(ran_at[0])
        self._pending[fingerprint] += 1
        work = self._look(fingerprint, ran_at, is_fresh=is_fresh)
        self.background.start(work, "crash watch")

    async def is_refused(self, routed: RoutedRequest) -> bool:
        """Whether a request must not be sent, once the verdicts that may decide it are known.

        Args:
            routed: The request; one that was refused before may be put on trial.
        """
        fingerprint = routed.fingerprint
        end_ms = self.clock.now_ms() + VERDICT_MS
        while self._awaits_verdict(routed) and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(LOOK_INTERVAL_MS)
        if not self.record.is_convicted(fingerprint):
            return False
        if routed.sends == 0 and not routed.is_on_trial:
            routed.is_on_trial = await self.retrials.take(fingerprint)
        return routed.sends > 0 or not routed.is_on_trial

    def note_ended(self, routed: RoutedRequest) -> None:
        """Note that a request has its answer; one that has reached no replica gives its trial back.

        Operators count what reaches replicas, whether those turn it away or run it.
        """
        if routed.is_on_trial and routed.sends == 0:
            self.background.start(self.retrials.give_back(routed.fingerprint), "trial given back")

    def _awaits_verdict(self, routed: RoutedRequest) -> bool:
        """Whether the sends without a verdict may convict a request.

        Many requests may be alike, and slow replicas leave many of them without an answer. So one that
        comes anew waits only if a crash is held against it already.
        """
        pending = self._pending.get(routed.fingerprint, 0)
        if pending == 0 or not self.record.may_convict(routed.fingerprint, pending):
            return False
        return routed.sends > 0 or self.record.has_open_crash(routed.fingerprint)

    async def _look(
        self, fingerprint: str, ran_at: Sequence[Incarnation], *, is_fresh: bool
    ) -> None:
        """Look until a replica has ended or it is too late to tell; one crash counts for a send."""
        started_ms = self.clock.now_ms()
        left: set[Incarnation] = set()
        is_pending = True
        try:
            while True:
                waited_ms = self.clock.now_ms() - started_ms
                ended = self._find_crashed(ran_at, left, waited_ms)
                if ended is not None:
                    self.record.strike(fingerprint, f"{ended[0]}/{ended[1]}", is_fresh=is_fresh)
                    return
                if is_pending and waited_ms >= VERDICT_MS:
                    is_pending = False
                    self._settle(fingerprint)
                if waited_ms >= LOOK_MS:
                    return
                await self.clock.sleep_ms(LOOK_INTERVAL_MS if is_pending else LATE_LOOK_INTERVAL_MS)
        finally:
            if is_pending:
                self._settle(fingerprint)

    def _find_crashed(
        self, ran_at: Sequence[Incarnation], left: set[Incarnation], waited_ms: float
    ) -> Incarnation | None:
        """Return the first replica that has crashed; note in `left` those that left as planned."""
        for incarnation in ran_at:
            if incarnation in left or not self.has_ended(incarnation):
                continue
            is_taken_back = incarnation[0] not in self.view.replicas and waited_ms < TAKEN_BACK_MS
            if not is_taken_back and not self.view.leaves_as_announced(incarnation):
                return incarnation
            left.add(incarnation)
        return None

    def _settle(self, fingerprint: str) -> None:
        """Count a send off that has its verdict."""
        self._pending[fingerprint] -= 1
        if self._pending[fingerprint] <= 0:
            del self._pending[fingerprint]


def create_crash_watch(
    clock: Clock,
    record: CrashRecord,
    view: SiteView,
    beliefs: ReplicaBeliefs,
    background: BackgroundTasks,
    retrials: Retrials,
) -> CrashWatch:
    """Return a watch over no sends yet."""
    return CrashWatch(clock, record, view, beliefs, background, retrials)
