"""The steps of a planned stop, in their order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.results import ResultCode

if TYPE_CHECKING:

    from collections.abc import Awaitable, Callable

    from pimentodale.clock import Clock
    from pimentodale.leaving.work_in_progress import WorkInProgress

NOTICE_MS: Final = 2_000.0
"""How long a host that is not ready any more still serves what reaches it."""

FLUSH_TIMEOUT_MS: Final = 10_000.0
"""Longest time for outcomes to reach the platform and last bytes to reach callers."""

_log = get_log("leaving")


@dataclass(slots=True)
class StopSteps:
    """What the program does at each step."""

    tell_peers: Callable[[], None]
    """Tells the other hosts that this one is leaving."""

    refuse_new: Callable[[], None]
    """Has new requests refused from here on."""

    drain_background: Callable[[float], Awaitable[bool]]
    """Waits so many ms for work that outlives its callers; returns whether it ended."""

    flush_outcomes: Callable[[float], Awaitable[bool]]
    """Waits so many ms for outcomes to be written; returns whether they were."""

    close_connections: Callable[[float], Awaitable[None]]
    """Waits so many ms for the last bytes to leave, then closes callers' connections."""

    leave_peers: Callable[[], Awaitable[None]]
    """Tells the other hosts that this one is gone."""


class PlannedStop:
    """Whether this host is stopping, and how far it is."""

    __slots__ = ("_clock", "_notice_ms", "_stop_timeout_ms", "_work", "is_refusing", "is_stopping")

    is_stopping: bool
    """Whether the host is to be taken out of service: not ready, connections end with an answer."""

    is_refusing: bool
    """Whether new requests are refused."""

    def __init__(
        self, clock: Clock, work: WorkInProgress, stop_timeout_ms: float, notice_ms: float
    ) -> None:
        self._clock = clock
        self._work = work
        self._stop_timeout_ms = stop_timeout_ms
        self._notice_ms = notice_ms
        self.is_stopping = False
        self.is_refusing = False

    async def run(self, steps: StopSteps) -> bool:
        """Stop: tell everyone, serve what was accepted, flush, and leave.

        Args:
            steps: What the program does at each step.

        Returns:
            Whether nothing was cut.
        """
        deadline_ms = self._clock.now_ms() + self._stop_timeout_ms
        self.is_stopping = True
        _log.info("The host is stopping.", in_progress=len(self._work))
        steps.tell_peers()
        # A balancer goes on sending until it has seen that the host is not ready.
        await self._clock.sleep_ms(min(self._notice_ms, self._stop_timeout_ms))
        self.is_refusing = True
        steps.refuse_new()
        served = await self._work.wait_idle(deadline_ms - self._clock.now_ms())
        remaining_ms = max(0.0, deadline_ms - self._clock.now_ms())
        served = await steps.drain_background(remaining_ms) and served
        if not served:
            _log.error(
                "The time for the stop is over with work in progress; raise stop_timeout_ms.",
                code=int(ResultCode.LEAVING),
                in_progress=len(self._work),
            )
        flushed = await steps.flush_outcomes(FLUSH_TIMEOUT_MS)
        if not flushed:
            _log.error(
                "Outcomes could not be written; their keys answer may_have_run.",
                code=int(ResultCode.EARLIER_ATTEMPT_UNRESOLVED),
            )
        await steps.close_connections(FLUSH_TIMEOUT_MS)
        await steps.leave_peers()
        _log.info("The host has stopped.", served=served, flushed=flushed)
        return served and flushed


def create_planned_stop(
    clock: Clock,
    work: WorkInProgress,
    stop_timeout_ms: float,
    notice_ms: float = NOTICE_MS,
) -> PlannedStop:
    """Create the stop of one host.

    Args:
        clock: Tells the time.
        work: Counts what is in progress.
        stop_timeout_ms: Longest wait for it.
        notice_ms: How long requests are still served after the host stopped being ready.

    Returns:
        The stop, not begun.
    """
    return PlannedStop(clock, work, stop_timeout_ms, notice_ms)
