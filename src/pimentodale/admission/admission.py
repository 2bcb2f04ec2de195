"""Admission control for one pool of backend servers: rate limit, fair queue and deadline check.

A request is rejected immediately if its workspace exceeds its rate, if the queue is
full, or if the queue drains too slowly to meet the deadline. Queued requests are served by weight
and are removed from the queue at their deadline.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, Generic, TypeVar

from expression import Error, Ok, Result

from pimentodale.admission.fair_queue import FairQueue, QueueEntry, create_fair_queue
from pimentodale.admission.wait_estimate import create_drain_rate, estimate_wait_ms
from pimentodale.admission.workspace_usage import create_workspace_usage
from pimentodale.clock import MS_PER_S
from pimentodale.results import Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.admission.grant_pools import GrantPool
    from pimentodale.admission.rate_shares import RateShares
    from pimentodale.clock import Clock

T = TypeVar("T")

_WAIT_ESTIMATE_FACTOR: Final = 2.0
"""Factor applied to an estimated wait. Under sustained overload the queue stays as long as the
estimate allows, so without a margin every drop in the drain rate makes requests late that are
already queued."""

_SUSTAINED_WAIT_FACTOR: Final = 4.0
"""The same factor for a queue that has existed for long. A long queue serves no request sooner, and
a short one leaves the requests in it enough time to tolerate a falling drain rate."""

_SUSTAINED_QUEUE_MS: Final = 1_000.0
"""Time after which a queue counts as sustained. A burst, which may simply wait, is over by then."""

_SERVICE_TIME_FACTOR: Final = 2.0
"""Factor applied to the average service time, as slow routes take longer."""

_MAX_SERVICE_RESERVE: Final = 0.5
"""Largest fraction of the time until a request's deadline that is reserved for serving it. The
bound lets a temporarily slow pool keep accepting requests, so that it notices when it is fast
again."""

_CONTENTION_WINDOW_MS: Final = 1_000.0
"""Time after the queue was last non-empty during which the pool still counts as contended. Under
overload the queue is empty for short moments, and the capacity free then is mostly on slow
routes."""

MAX_RETRY_AFTER_MS: Final = 30_000.0
"""Longest retry delay that a rejected caller is given."""


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """Configured limits, read again for each request."""

    queue_requests: Callable[[], int]
    """Returns the maximum number of queued requests."""

    weight_of: Callable[[str], float]
    """Returns a workspace's weight, above 0."""

    rate_per_s_of: Callable[[str], float | None]
    """Returns a workspace's site-wide rate limit; `None` for no limit."""


class Permit(Generic[T]):
    """Permission to run one request, with the grant from the pool."""

    __slots__ = (
        "_admission",
        "_cost",
        "_released",
        "_started_ms",
        "_workspace",
        "below_share",
        "grant",
        "waited_ms",
    )

    grant: T
    """The grant from the pool."""

    waited_ms: float
    """How long the request was queued."""

    below_share: bool
    """Whether its workspace used less than its share; such requests may be prioritised."""

    def __init__(
        self,
        admission: Admission[T],
        grant: T,
        workspace: str,
        cost: float,
        started_ms: float,
        waited_ms: float,
        below_share: bool,
    ) -> None:
        self._admission = admission
        self._workspace = workspace
        self._cost = cost
        self.below_share = below_share
        self._started_ms = started_ms
        self._released = False
        self.grant = grant
        self.waited_ms = waited_ms

    def release(self) -> None:
        """Return the grant and let the next request start; further calls do nothing."""
        if self._released:
            return
        self._released = True
        self._admission.finish(self.grant, self._workspace, self._cost, self._started_ms)


@dataclass(slots=True)
class _Waiter(Generic[T]):
    """One queued request."""

    granted: asyncio.Future[T]
    hint: str


class Admission(Generic[T]):
    """Admits requests as the grants of a pool allow."""

    __slots__ = (
        "_clock",
        "_drain_rate",
        "_last_queued_ms",
        "_limits",
        "_pool",
        "_queue",
        "_queue_started_ms",
        "_rates",
        "_workspace_usage",
    )

    def __init__(
        self, clock: Clock, pool: GrantPool[T], limits: AdmissionLimits, rates: RateShares
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._limits = limits
        self._rates = rates
        self._queue: FairQueue[_Waiter[T]] = create_fair_queue()
        self._drain_rate = create_drain_rate(clock)
        self._workspace_usage = create_workspace_usage(clock)
        self._last_queued_ms = -_CONTENTION_WINDOW_MS
        self._queue_started_ms = 0.0

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    async def admit(
        self,
        workspace: str,
        cost: float,
        deadline_ms: float,
        service_ms: float = 0.0,
        hint: str = "",
    ) -> Result[Permit[T], Refusal]:
        """Wait for a permit to start a request.

        Args:
            workspace: Workspace that the request belongs to.
            cost: Cost of serving it, such as tokens to generate; above 0.
            deadline_ms: Clock reading by which it must be answered.
            service_ms: Minimum time that serving it is known to take.
            hint: Passed to the pool, such as the hash of a prompt's prefix.

        Returns:
            The permit, which must be released; or a refusal, in which case nothing has run.
        """
        rate_refusal = self._rates.try_take(workspace, self._limits.rate_per_s_of(workspace))
        if rate_refusal is not None:
            return Error(_refuse_rate(workspace, rate_refusal.retry_after_ms))
        arrived_ms = self._clock.now_ms()
        estimated_service_ms = _SERVICE_TIME_FACTOR * self._drain_rate.service_ms(cost)
        max_reserve_ms = _MAX_SERVICE_RESERVE * (deadline_ms - arrived_ms)
        latest_start_ms = deadline_ms - max(service_ms, min(estimated_service_ms, max_reserve_ms))
        if latest_start_ms <= arrived_ms:
            return Error(_refuse_too_short())
        grant = self._try_acquire(workspace, cost, hint)
        if grant is not None:
            return Ok(self._permit(grant, workspace, cost, arrived_ms))
        refusal = self._check_wait(workspace, cost, latest_start_ms - arrived_ms)
        if refusal is not None:
            return Error(refusal)
        waiter = _Waiter(asyncio.get_running_loop().create_future(), hint)
        return await self._wait(waiter, workspace, cost, arrived_ms, latest_start_ms)

    def wake(self) -> None:
        """Start queued requests while grants are free; call it when capacity may be free again."""
        now_ms = self._clock.now_ms()
        while (entry := self._queue.peek(now_ms)) is not None:
            grant = self._pool.acquire(entry.item.hint)
            if grant is None:
                break
            self._queue.pop(now_ms)
            self._drain_rate.note_granted(entry.cost)
            entry.item.granted.set_result(grant)
        self._drain_rate.note_freed_slots_granted()
        self._note_backlog()

    def finish(self, grant: T, workspace: str, cost: float, started_ms: float) -> None:
        """Record the end of a request and return its grant; called by `Permit.release`."""
        self._workspace_usage.ended(workspace, cost)
        self._drain_rate.note_finished(cost, self._clock.now_ms() - started_ms)
        self._release_grant(grant)

    def _release_grant(self, grant: T) -> None:
        """Return a grant to the pool and offer it to the next queued request."""
        self._pool.give_back(grant)
        self.wake()

    async def _wait(
        self,
        waiter: _Waiter[T],
        workspace: str,
        cost: float,
        arrived_ms: float,
        latest_start_ms: float,
    ) -> Result[Permit[T], Refusal]:
        """Queue until a grant is available or the latest start time has passed."""
        granted = waiter.granted
        weight = self._limits.weight_of(workspace)
        entry = self._queue.push(waiter, workspace, weight, cost, latest_start_ms)
        self._note_backlog()
        try:
            await asyncio.wait({granted}, timeout=(latest_start_ms - arrived_ms) / MS_PER_S)
        except asyncio.CancelledError:
            self._abandon(entry)
            raise
        if granted.cancelled():
            # The entry was evicted for a request of another workspace.
            return Error(_refuse_full(workspace, self._clock.now_ms() - arrived_ms))
        if not granted.done():
            self._abandon(entry)
            return Error(_refuse_late())
        self._drain_rate.note_grant_settled()
        return Ok(self._permit(granted.result(), workspace, cost, arrived_ms))

    def _try_acquire(self, workspace: str, cost: float, hint: str) -> T | None:
        """Take a grant without queueing if none is queued or the workspace is below its share."""
        is_queue = len(self._queue) > 0
        is_contended = (
            is_queue or self._clock.now_ms() - self._last_queued_ms < _CONTENTION_WINDOW_MS
        )
        if not is_contended:
            return self._pool.acquire(hint) or self._try_acquire_over_limit(workspace, cost, hint)
        grant = self._try_acquire_over_limit(workspace, cost, hint)
        if grant is None and not is_queue:
            return self._pool.acquire(hint)
        return grant

    def _try_acquire_over_limit(self, workspace: str, cost: float, hint: str) -> T | None:
        """Take a grant over the limit if the workspace is below its share and has none queued."""
        if self._queue.waiting_of(workspace):
            return None
        weight = self._limits.weight_of(workspace)
        if not self._workspace_usage.is_below_share(workspace, weight, cost):
            return None
        return self._pool.acquire_over_limit(hint)

    def _note_backlog(self) -> None:
        """Record whether the queue has entries."""
        is_backlogged = bool(len(self._queue))
        if is_backlogged or self._drain_rate.backlogged:
            now_ms = self._clock.now_ms()
            if now_ms - self._last_queued_ms >= _CONTENTION_WINDOW_MS:
                self._queue_started_ms = now_ms
            self._last_queued_ms = now_ms
        self._drain_rate.note_backlog(is_backlogged)

    def _is_queue_sustained(self) -> bool:
        """Whether the queue has existed, apart from short gaps, for longer than a burst takes."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_queued_ms >= _CONTENTION_WINDOW_MS:
            return False
        return now_ms - self._queue_started_ms >= _SUSTAINED_QUEUE_MS

    def _permit(self, grant: T, workspace: str, cost: float, arrived_ms: float) -> Permit[T]:
        """Create the permit for a request that starts now."""
        now_ms = self._clock.now_ms()
        weight = self._limits.weight_of(workspace)
        below_share = self._workspace_usage.is_below_share(workspace, weight, cost)
        self._workspace_usage.started(workspace, weight, cost)
        self._drain_rate.note_started()
        return Permit(self, grant, workspace, cost, now_ms, now_ms - arrived_ms, below_share)

    def _abandon(self, entry: QueueEntry[_Waiter[T]]) -> None:
        """Remove an entry whose caller stopped waiting, even if its grant has just arrived."""
        self._queue.cancel(entry)
        self._note_backlog()
        if entry.item.granted.cancelled():
            return
        if entry.item.granted.done():
            self._drain_rate.note_grant_settled()
            self._release_grant(entry.item.granted.result())
            return
        entry.item.granted.cancel()

    def _check_wait(self, workspace: str, cost: float, max_wait_ms: float) -> Refusal | None:
        """Return a refusal if the queue is full or the estimated wait is too long."""
        weight = self._limits.weight_of(workspace)
        queue: FairQueue[Any] = self._queue
        drain_rate_per_ms = self._drain_rate.cost_per_ms()
        wait_ms = estimate_wait_ms(queue, drain_rate_per_ms, workspace, weight, cost)
        wait_ms *= _SUSTAINED_WAIT_FACTOR if self._is_queue_sustained() else _WAIT_ESTIMATE_FACTOR
        if wait_ms > max_wait_ms:
            return _refuse_unreachable(wait_ms, wait_ms - max_wait_ms)
        if queue.has_room(workspace, self._limits.queue_requests()):
            return None
        evicted = self._queue.evict(workspace, weight, lambda _: True)
        if evicted is None:
            return _refuse_full(workspace, wait_ms)
        evicted.item.granted.cancel()
        return None


def create_admission(
    clock: Clock, pool: GrantPool[T], limits: AdmissionLimits, rates: RateShares
) -> Admission[T]:
    """Create the admission control of one pool.

    Args:
        clock: Tells the time.
        pool: Provides the grants that requests need to start.
        limits: Configured limits.
        rates: This host's shares of the workspaces' rates; common to all pools.

    Returns:
        The admission.
    """
    return Admission(clock, pool, limits, rates)


def _refuse_rate(workspace: str, retry_after_ms: float) -> Refusal:
    message = f"Workspace {workspace} is over its rate. Send fewer requests, or come back later."
    return create_refusal(
        ResultCode.WORKSPACE_LIMIT, message, retry_after_ms=_clamp_delay(retry_after_ms)
    )


def _refuse_too_short() -> Refusal:
    message = "The deadline is too short to serve the request at all. Allow more time."
    return create_refusal(ResultCode.DEADLINE_UNREACHABLE, message)


def _refuse_unreachable(wait_ms: float, excess_ms: float) -> Refusal:
    message = (
        f"The queue takes about {_clamp_delay(wait_ms):.0f} ms, longer than the deadline allows."
    )
    return create_refusal(
        ResultCode.DEADLINE_UNREACHABLE, message, retry_after_ms=_clamp_delay(excess_ms)
    )


def _refuse_full(workspace: str, wait_ms: float) -> Refusal:
    message = f"Workspace {workspace} has too many requests waiting here. Come back later."
    return create_refusal(ResultCode.QUEUE_FULL, message, retry_after_ms=_clamp_delay(wait_ms))


def _refuse_late() -> Refusal:
    message = "The deadline passed in the queue; the request was not started."
    return create_refusal(ResultCode.DEADLINE_EXCEEDED, message, retry_after_ms=MS_PER_S)


def _clamp_delay(duration_ms: float) -> float:
    """Clamp a retry delay to between 1 ms and the maximum."""
    return max(1.0, min(duration_ms, MAX_RETRY_AFTER_MS))
