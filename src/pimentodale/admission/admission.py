"""Admission: rate, fair queue and deadline in front of one pool of backend servers.

A refusal is final and comes at once: over the rate, with the queue full, or when the deadline can't
be met by the queue's own pace. What waits is served by weight, and leaves the queue at its deadline.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, Generic, TypeVar

from expression import Error, Ok, Result

from pimentodale.admission.estimate import create_drain_rate, estimate_wait_ms
from pimentodale.admission.fair_queue import FairQueue, Waiting, create_fair_queue
from pimentodale.admission.in_service import create_in_service
from pimentodale.clock import MS_PER_S
from pimentodale.results import Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.admission.rate_shares import RateShares
    from pimentodale.admission.rooms import Room
    from pimentodale.clock import Clock

T = TypeVar("T")

_WAIT_MARGIN: Final = 2.0
"""Factor of an estimated wait. Under lasting overload the queue stands right at what the estimate
allows, so without a margin each dip of the pace makes requests late that wait already."""

_LASTING_WAIT_MARGIN: Final = 4.0
"""The same factor once a queue has stood for long. A lasting queue serves nobody sooner; a short one gives
those in it the time to outlast a pace that falls."""

_LASTING_MS: Final = 1_000.0
"""Time after which a queue counts as lasting. A burst is over by then, and waits for its turn."""

_SERVICE_MARGIN: Final = 2.0
"""Factor of the usual time to serve a request, as slow routes take longer."""

_RESERVED_PART: Final = 0.5
"""Part of a request's patience that is kept for serving it at most, so that a pool which is slow for
a while still takes requests and learns when it is over."""

_CONTENDED_MS: Final = 1_000.0
"""Time after the last queue for which room counts as contended. Under overload a queue is empty for
moments, and what room is left then is mostly on slow routes."""

LONGEST_RETRY_AFTER_MS: Final = 30_000.0
"""Longest time after which a refused caller is asked to come back."""


@dataclass(slots=True, frozen=True)
class AdmissionLimits:
    """What the configuration says, asked anew for each request."""

    queue_requests: Callable[[], int]
    """Returns the requests that may wait."""

    weight_of: Callable[[str], float]
    """Returns a workspace's weight, above 0."""

    rate_per_s_of: Callable[[str], float | None]
    """Returns a workspace's rate over the whole site; `None` for no limit."""


class Permit(Generic[T]):
    """Leave to run one request, with what its room granted."""

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
    """What the room gave."""

    waited_ms: float
    """How long the request waited for it."""

    below_share: bool
    """Whether its workspace had less than its share of what runs; such work may go first."""

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
        """Give the grant back and let the next request start; may be repeated."""
        if self._released:
            return
        self._released = True
        self._admission.finish(self.grant, self._workspace, self._cost, self._started_ms)


@dataclass(slots=True)
class _Waiter(Generic[T]):
    """One request in the queue."""

    granted: asyncio.Future[T]
    hint: str


class Admission(Generic[T]):
    """Lets requests start as their room allows."""

    __slots__ = (
        "_clock",
        "_in_service",
        "_limits",
        "_pace",
        "_queue",
        "_queue_began_ms",
        "_queued_ms",
        "_rates",
        "_room",
    )

    def __init__(
        self, clock: Clock, room: Room[T], limits: AdmissionLimits, rates: RateShares
    ) -> None:
        self._clock = clock
        self._room = room
        self._limits = limits
        self._rates = rates
        self._queue: FairQueue[_Waiter[T]] = create_fair_queue()
        self._pace = create_drain_rate(clock)
        self._in_service = create_in_service(clock)
        self._queued_ms = -_CONTENDED_MS
        self._queue_began_ms = 0.0

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    async def admit(
        self,
        workspace: str,
        cost: float,
        deadline_ms: float,
        service_ms: float = 0.0,
        hint: str = "",
    ) -> Result[Permit[T], Refusal]:
        """Wait for leave to start.

        Args:
            workspace: Whose request it is.
            cost: What serving it takes, such as tokens to generate; above 0.
            deadline_ms: Clock reading by which it must be answered.
            service_ms: Time that serving it is known to take at least.
            hint: Passed to the room, such as the hash of a prompt's prefix.

        Returns:
            The permit, which must be released; or a refusal, and nothing was run.
        """
        over = self._rates.try_take(workspace, self._limits.rate_per_s_of(workspace))
        if over is not None:
            return Error(_refuse_rate(workspace, over.retry_after_ms))
        arrived_ms = self._clock.now_ms()
        usual_ms = _SERVICE_MARGIN * self._pace.service_ms(cost)
        most_ms = _RESERVED_PART * (deadline_ms - arrived_ms)
        latest_start_ms = deadline_ms - max(service_ms, min(usual_ms, most_ms))
        if latest_start_ms <= arrived_ms:
            return Error(_refuse_too_short())
        grant = self._take_now(workspace, cost, hint)
        if grant is not None:
            return Ok(self._permit(grant, workspace, cost, arrived_ms))
        refusal = self._check_wait(workspace, cost, latest_start_ms - arrived_ms)
        if refusal is not None:
            return Error(refusal)
        waiter = _Waiter(asyncio.get_running_loop().create_future(), hint)
        return await self._wait(waiter, workspace, cost, arrived_ms, latest_start_ms)

    def wake(self) -> None:
        """Let requests start that there is room for; call it when room may have appeared."""
        now_ms = self._clock.now_ms()
        while (entry := self._queue.peek(now_ms)) is not None:
            grant = self._room.acquire(entry.item.hint)
            if grant is None:
                break
            self._queue.pop(now_ms)
            self._pace.note_granted(entry.cost)
            entry.item.granted.set_result(grant)
        self._pace.note_handed_out()
        self._note_queue()

    def finish(self, grant: T, workspace: str, cost: float, started_ms: float) -> None:
        """Count off a request and give its grant back; `Permit.release` calls it."""
        self._in_service.ended(workspace, cost)
        self._pace.note_finished(cost, self._clock.now_ms() - started_ms)
        self._take_back(grant)

    def _take_back(self, grant: T) -> None:
        """Give a grant back to the room and let the next request have it."""
        self._room.give_back(grant)
        self.wake()

    async def _wait(
        self,
        waiter: _Waiter[T],
        workspace: str,
        cost: float,
        arrived_ms: float,
        latest_start_ms: float,
    ) -> Result[Permit[T], Refusal]:
        """Queue until a grant comes or the latest start passes."""
        granted = waiter.granted
        weight = self._limits.weight_of(workspace)
        entry = self._queue.push(waiter, workspace, weight, cost, latest_start_ms)
        self._note_queue()
        try:
            await asyncio.wait({granted}, timeout=(latest_start_ms - arrived_ms) / MS_PER_S)
        except asyncio.CancelledError:
            self._leave(entry)
            raise
        if granted.cancelled():
            # It has given way to a request of another workspace.
            return Error(_refuse_full(workspace, self._clock.now_ms() - arrived_ms))
        if not granted.done():
            self._leave(entry)
            return Error(_refuse_late())
        self._pace.note_taken_up()
        return Ok(self._permit(granted.result(), workspace, cost, arrived_ms))

    def _take_now(self, workspace: str, cost: float, hint: str) -> T | None:
        """Take a grant without waiting, if nobody waits or the workspace is behind its share."""
        is_queue = len(self._queue) > 0
        is_contended = is_queue or self._clock.now_ms() - self._queued_ms < _CONTENDED_MS
        if not is_contended:
            return self._room.acquire(hint) or self._take_beyond(workspace, cost, hint)
        grant = self._take_beyond(workspace, cost, hint)
        if grant is None and not is_queue:
            return self._room.acquire(hint)
        return grant

    def _take_beyond(self, workspace: str, cost: float, hint: str) -> T | None:
        """Take a grant past the limits, if the workspace is behind its share and none of it waits."""
        if self._queue.waiting_of(workspace):
            return None
        weight = self._limits.weight_of(workspace)
        if not self._in_service.is_below_share(workspace, weight, cost):
            return None
        return self._room.acquire_beyond(hint)

    def _note_queue(self) -> None:
        """Take note of whether anybody waits."""
        is_backlogged = bool(len(self._queue))
        if is_backlogged or self._pace.backlogged:
            now_ms = self._clock.now_ms()
            if now_ms - self._queued_ms >= _CONTENDED_MS:
                self._queue_began_ms = now_ms
            self._queued_ms = now_ms
        self._pace.note_backlog(is_backlogged)

    def _is_queue_lasting(self) -> bool:
        """Whether there has been a queue, but for moments, for longer than a burst takes."""
        now_ms = self._clock.now_ms()
        if now_ms - self._queued_ms >= _CONTENDED_MS:
            return False
        return now_ms - self._queue_began_ms >= _LASTING_MS

    def _permit(self, grant: T, workspace: str, cost: float, arrived_ms: float) -> Permit[T]:
        """Wrap a grant for a request that starts now."""
        now_ms = self._clock.now_ms()
        weight = self._limits.weight_of(workspace)
        below_share = self._in_service.is_below_share(workspace, weight, cost)
        self._in_service.started(workspace, weight, cost)
        self._pace.note_started()
        return Permit(self, grant, workspace, cost, now_ms, now_ms - arrived_ms, below_share)

    def _leave(self, entry: Waiting[_Waiter[T]]) -> None:
        """Take an entry out whose caller stopped waiting, even if its grant just came."""
        self._queue.cancel(entry)
        self._note_queue()
        if entry.item.granted.cancelled():
            return
        if entry.item.granted.done():
            self._pace.note_taken_up()
            self._take_back(entry.item.granted.result())
            return
        entry.item.granted.cancel()

    def _check_wait(self, workspace: str, cost: float, patience_ms: float) -> Refusal | None:
        """Return a refusal if the queue is full or would take too long."""
        weight = self._limits.weight_of(workspace)
        queue: FairQueue[Any] = self._queue
        pace_per_ms = self._pace.cost_per_ms()
        wait_ms = estimate_wait_ms(queue, pace_per_ms, workspace, weight, cost)
        wait_ms *= _LASTING_WAIT_MARGIN if self._is_queue_lasting() else _WAIT_MARGIN
        if wait_ms > patience_ms:
            return _refuse_unreachable(wait_ms, wait_ms - patience_ms)
        if queue.has_room(workspace, self._limits.queue_requests()):
            return None
        given_way = self._queue.give_way(workspace, weight, lambda _: True)
        if given_way is None:
            return _refuse_full(workspace, wait_ms)
        given_way.item.granted.cancel()
        return None


def create_admission(
    clock: Clock, room: Room[T], limits: AdmissionLimits, rates: RateShares
) -> Admission[T]:
    """Build the admission of one pool.

    Args:
        clock: Tells the time.
        room: What requests need to start.
        limits: What the configuration says.
        rates: This host's shares of the workspaces' rates; common to all pools.

    Returns:
        The admission.
    """
    return Admission(clock, room, limits, rates)


def _refuse_rate(workspace: str, retry_after_ms: float) -> Refusal:
    message = f"Workspace {workspace} is over its rate. Send fewer requests, or come back later."
    return create_refusal(
        ResultCode.WORKSPACE_LIMIT, message, retry_after_ms=_bounded(retry_after_ms)
    )


def _refuse_too_short() -> Refusal:
    message = "The deadline is too short to serve the request at all. Allow more time."
    return create_refusal(ResultCode.DEADLINE_UNREACHABLE, message)


def _refuse_unreachable(wait_ms: float, excess_ms: float) -> Refusal:
    message = f"The queue takes about {_bounded(wait_ms):.0f} ms, longer than the deadline allows."
    return create_refusal(
        ResultCode.DEADLINE_UNREACHABLE, message, retry_after_ms=_bounded(excess_ms)
    )


def _refuse_full(workspace: str, wait_ms: float) -> Refusal:
    message = f"Workspace {workspace} has too many requests waiting here. Come back later."
    return create_refusal(ResultCode.QUEUE_FULL, message, retry_after_ms=_bounded(wait_ms))


def _refuse_late() -> Refusal:
    message = "The deadline passed in the queue; the request was not started."
    return create_refusal(ResultCode.DEADLINE_EXCEEDED, message, retry_after_ms=MS_PER_S)


def _bounded(duration_ms: float) -> float:
    """Keep a time to come back between 1 ms and the longest."""
    return max(1.0, min(duration_ms, LONGEST_RETRY_AFTER_MS))
