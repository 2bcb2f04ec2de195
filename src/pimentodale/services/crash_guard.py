"""Refuses calls that crash the replicas which run them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S
from pimentodale.quarantine.crashes import fingerprint_of

if TYPE_CHECKING:
    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.quarantine.crashes import CrashRecord
    from pimentodale.quarantine.retrials import Retrials
    from pimentodale.services.messages import ServiceCall, ServiceReplica

CONVICTED: Final = "This call crashed the replicas that ran it; change it before sending it."
"""What the caller of a refused call is told."""

DIAL_TIMEOUT_MS: Final = 300.0
"""Longest wait for a connection that shows that a replica lives."""

SECOND_LOOK_MS: Final = 300.0
"""When a replica that still took a connection is dialled again: it may be about to end."""

SAME_CRASH_MS: Final = 5_000.0
"""Crashes of one replica within as much wall time have one name on all hosts; it has no start time to tell
them apart by."""


class CrashGuard:
    """Crashes of services' replicas as one host sees them."""

    __slots__ = ("_background", "_clock", "_on_trial", "_record", "_retrials")

    def __init__(
        self, record: CrashRecord, retrials: Retrials, clock: Clock, background: BackgroundTasks
    ) -> None:
        self._record = record
        self._retrials = retrials
        self._clock = clock
        self._background = background
        self._on_trial: set[str] = set()

    async def admits(self, call: ServiceCall) -> bool:
        """Whether a call that comes may run; one that was refused before may be put on trial."""
        fingerprint = _fingerprint(call)
        if not self._record.is_convicted(fingerprint):
            return True
        if not await self._retrials.take(fingerprint):
            return False
        self._on_trial.add(fingerprint)
        return True

    async def note_not_sent(self, call: ServiceCall) -> None:
        """Note that a call has reached no replica: its trial is left to whoever asks next."""
        fingerprint = _fingerprint(call)
        if fingerprint in self._on_trial:
            await self._retrials.give_back(fingerprint)

    def note_over(self, call: ServiceCall) -> None:
        """Note that a call that was admitted is over, whatever became of it."""
        self._on_trial.discard(_fingerprint(call))

    def may_repeat(self, call: ServiceCall) -> bool:
        """Whether a call may run once more."""
        return not self._record.is_convicted(_fingerprint(call))

    def note_whole(self, call: ServiceCall) -> None:
        """Note that a call got a whole answer."""
        self._record.clear(_fingerprint(call))

    async def note_broken(self, call: ServiceCall, replica: ServiceReplica) -> None:
        """Hold it against a call that went out and got no whole answer if its replica has ended."""
        if await self._has_ended(replica):
            self._strike(call, replica)
            return
        self._background.start(self._look_again(call, replica), "crash guard")

    async def _look_again(self, call: ServiceCall, replica: ServiceReplica) -> None:
        """Look at a replica that may have been about to end."""
        await self._clock.sleep_ms(SECOND_LOOK_MS)
        if await self._has_ended(replica):
            self._strike(call, replica)

    def _strike(self, call: ServiceCall, replica: ServiceReplica) -> None:
        """Hold a crash against a call."""
        crash = f"{replica.name}/{int(self._clock.wall_ms() // SAME_CRASH_MS)}"
        self._record.strike(_fingerprint(call), crash, is_fresh=True)

    async def _has_ended(self, replica: ServiceReplica) -> bool:
        """Whether a replica takes no connection."""
        dial = asyncio.open_connection(replica.address.ip, replica.address.port)
        try:
            _, writer = await asyncio.wait_for(dial, DIAL_TIMEOUT_MS / MS_PER_S)
        except OSError:
            return True
        writer.close()
        return False


def create_crash_guard(
    record: CrashRecord, retrials: Retrials, clock: Clock, background: BackgroundTasks
) -> CrashGuard:
    """Return a guard.

    Args:
        record: What is held against requests on the whole site.
        retrials: Lets refused calls run once more.
        clock: Tells the time.
        background: Runs looks that outlive a call.
    """
    return CrashGuard(record, retrials, clock, background)


def _fingerprint(call: ServiceCall) -> str:
    """Return what stays the same when a caller sends a call again."""
    path = f"{call.service.name} {call.method} {call.path}"
    return fingerprint_of(path, call.workspace, call.body)
