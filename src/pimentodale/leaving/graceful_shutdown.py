"""Graceful shutdown of a host, step by step."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.results import ResultCode

if TYPE_CHECKING:

    from collections.abc import Awaitable, Callable

    from pimentodale.clock import Clock
    from pimentodale.leaving.in_flight_requests import InFlightRequests

READINESS_GRACE_MS: Final = 2_000.0
"""How long a host that no longer reports ready still accepts requests."""

FLUSH_TIMEOUT_MS: Final = 10_000.0
"""Timeout for writing outcomes to the platform and for sending the last bytes to callers."""

_log = get_log("leaving")


@dataclass(slots=True)
class ShutdownSteps:
    """Callbacks of the program for each step."""

    announce_leaving: Callable[[], None]
    """Announces to the other hosts that this one is leaving."""

    reject_new_requests: Callable[[], None]
    """Makes the host refuse new requests from now on."""

    drain_background: Callable[[float], Awaitable[bool]]
    """Waits up to a timeout in ms for background work that outlives its callers; returns whether it
    ended."""

    flush_outcomes: Callable[[float], Awaitable[bool]]
    """Waits up to a timeout in ms for outcomes to be written; returns whether all were."""

    close_connections: Callable[[float], Awaitable[None]]
    """Waits up to a timeout in ms for the last bytes to be sent, then closes the connections."""

    leave_membership: Callable[[], Awaitable[None]]
    """Removes this host from the membership."""


class GracefulShutdown:
    """Graceful shutdown of this host and its state."""

    __slots__ = (
        "_clock",
        "_readiness_grace_ms",
        "_stop_timeout_ms",
        "_work",
        "is_refusing",
        "is_stopping",
    )

    is_stopping: bool
    """Whether the host is shutting down: it is not ready and closes connections after an answer."""

    is_refusing: bool
    """Whether new requests are refused."""

    def __init__(
        self,
        clock: Clock,
        work: InFlightRequests,
        stop_timeout_ms: float,
        readiness_grace_ms: float,
    ) -> None:
        self._clock = clock
        self._work = work
        self._stop_timeout_ms = stop_timeout_ms
        self._readiness_grace_ms = readiness_grace_ms
        self.is_stopping = False
        self.is_refusing = False

    async def run(self, steps: ShutdownSteps) -> bool:
        """Shut down: announce it, serve accepted requests, flush, and leave the membership.

        Args:
            steps: Callbacks of the program for each step.

        Returns:
            Whether all accepted work was completed and all outcomes were written.
        """
        deadline_ms = self._clock.now_ms() + self._stop_timeout_ms
        self.is_stopping = True
        _log.info("Host is shutting down.", in_progress=len(self._work))
        steps.announce_leaving()
        # A load balancer keeps sending requests until it has seen that the host is not ready.
        await self._clock.sleep_ms(min(self._readiness_grace_ms, self._stop_timeout_ms))
        self.is_refusing = True
        steps.reject_new_requests()
        served = await self._work.wait_idle(deadline_ms - self._clock.now_ms())
        remaining_ms = max(0.0, deadline_ms - self._clock.now_ms())
        served = await steps.drain_background(remaining_ms) and served
        if not served:
            _log.error(
                "Shutdown timed out with work in progress; raise stop_timeout_ms.",
                code=int(ResultCode.LEAVING),
                in_progress=len(self._work),
            )
        flushed = await steps.flush_outcomes(FLUSH_TIMEOUT_MS)
        if not flushed:
            _log.error(
                "Outcomes could not be written; requests with their keys get may_have_run.",
                code=int(ResultCode.EARLIER_ATTEMPT_UNRESOLVED),
            )
        await steps.close_connections(FLUSH_TIMEOUT_MS)
        await steps.leave_membership()
        _log.info("Host has shut down.", served=served, flushed=flushed)
        return served and flushed


def create_graceful_shutdown(
    clock: Clock,
    work: InFlightRequests,
    stop_timeout_ms: float,
    readiness_grace_ms: float = READINESS_GRACE_MS,
) -> GracefulShutdown:
    """Create the graceful shutdown of one host.

    Args:
        clock: Tells the time.
        work: Counts the requests in progress.
        stop_timeout_ms: Longest wait for them.
        readiness_grace_ms: How long requests are still accepted after the host stopped being ready.

    Returns:
        The shutdown, not started.
    """
    return GracefulShutdown(clock, work, stop_timeout_ms, readiness_grace_ms)
