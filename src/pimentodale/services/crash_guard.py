"""Refuses calls that crash the service replicas that run them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S
from pimentodale.quarantine.crash_record import fingerprint_of

if TYPE_CHECKING:
    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.quarantine.crash_record import CrashRecord
    from pimentodale.quarantine.retrials import Retrials
    from pimentodale.services.messages import ServiceCall, ServiceReplica

QUARANTINED_MESSAGE: Final = (
    "This call crashed the replicas that ran it; change it before sending it."
)
"""Error message for the caller of a refused call."""

DIAL_TIMEOUT_MS: Final = 300.0
"""Connect timeout of the check whether a replica is alive."""

RECHECK_DELAY_MS: Final = 300.0
"""Delay before a replica that accepted a connection is checked again, as it may be exiting."""

CRASH_NAME_PERIOD_MS: Final = 5_000.0
"""Crashes of one replica within the same period of wall time have the same name on all hosts, as a
replica of a plain service has no start time that distinguishes them."""


class CrashGuard:
    """Attributes crashes of service replicas, as seen by one host, to calls."""

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
        """Whether a new call may run; a quarantined one may get a trial run."""
        fingerprint = _fingerprint(call)
        if not self._record.is_convicted(fingerprint):
            return True
        if not await self._retrials.acquire(fingerprint):
            return False
        self._on_trial.add(fingerprint)
        return True

    async def note_not_sent(self, call: ServiceCall) -> None:
        """Record that a call reached no replica, which frees its trial run for the next call."""
        fingerprint = _fingerprint(call)
        if fingerprint in self._on_trial:
            await self._retrials.release(fingerprint)

    def note_rejected(self, call: ServiceCall) -> None:
        """Record that replicas have rejected a call without running it."""
        fingerprint = _fingerprint(call)
        if fingerprint in self._on_trial:
            self._retrials.note_rejected(fingerprint)

    def note_call_ended(self, call: ServiceCall) -> None:
        """Record that an admitted call has ended, whatever its result."""
        self._on_trial.discard(_fingerprint(call))

    def may_repeat(self, call: ServiceCall) -> bool:
        """Whether a call may be attempted again."""
        return not self._record.is_convicted(_fingerprint(call))

    def note_complete_reply(self, call: ServiceCall) -> None:
        """Record that a call got a complete reply."""
        self._record.clear(_fingerprint(call))

    async def note_lost_reply(self, call: ServiceCall, replica: ServiceReplica) -> None:
        """Record a crash for a sent call without a complete reply if its replica has exited."""
        if await self._has_exited(replica):
            self._strike(call, replica)
            return
        self._background.start(self._recheck(call, replica), "crash guard")

    async def _recheck(self, call: ServiceCall, replica: ServiceReplica) -> None:
        """Check again a replica that may have been about to exit."""
        await self._clock.sleep_ms(RECHECK_DELAY_MS)
        if await self._has_exited(replica):
            self._strike(call, replica)

    def _strike(self, call: ServiceCall, replica: ServiceReplica) -> None:
        """Record a crash for a call."""
        crash = f"{replica.name}/{int(self._clock.wall_ms() // CRASH_NAME_PERIOD_MS)}"
        self._record.strike(_fingerprint(call), crash, is_fresh=True)

    async def _has_exited(self, replica: ServiceReplica) -> bool:
        """Whether a replica refuses connections, so that it counts as exited."""
        dial = asyncio.open_connection(replica.address.ip, replica.address.port)
        try:
            _, writer = await asyncio.wait_for(dial, DIAL_TIMEOUT_MS / MS_PER_S)
        except TimeoutError:
            # An `OSError` too, but a replica that only pauses, or can't be reached, has not exited.
            return False
        except OSError:
            return True
        writer.close()
        return False


def create_crash_guard(
    record: CrashRecord, retrials: Retrials, clock: Clock, background: BackgroundTasks
) -> CrashGuard:
    """Create a guard.

    Args:
        record: Crashes by request, for the whole site.
        retrials: Allows trial runs of quarantined calls.
        clock: Tells the time.
        background: Runs checks that outlive a call.
    """
    return CrashGuard(record, retrials, clock, background)


def _fingerprint(call: ServiceCall) -> str:
    """Return a fingerprint that stays the same when a caller sends a call again."""
    path = f"{call.service.name} {call.method} {call.path}"
    return fingerprint_of(path, call.workspace, call.body)
