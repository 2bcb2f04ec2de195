"""Queue of streams that wait for a path with free capacity, by priority and fairly by workspace.

A stream that does not fit now may be overtaken for a while, so that one large request does not
block many small ones; after that, free capacity is reserved for it. A stream that cannot be served
in time is refused immediately.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.admission.fair_queue import FairQueue, QueueEntry, create_fair_queue
from pimentodale.admission.wait_estimate import DrainRate, create_drain_rate, estimate_wait_ms
from pimentodale.admission.workspace_usage import WorkspaceUsage, create_workspace_usage
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock
    from pimentodale.placement.paths import Path

MIN_SERVE_INTERVAL_MS: Final = 20.0
"""Minimum interval between two rounds of path searches."""

RECHECK_MS: Final = 150.0
"""Interval after which paths are searched although no load has changed: replicas that were skipped
after a refusal may be eligible again."""

MAX_FAILED_SEARCHES: Final = 4
"""Number of failed path searches that end a round; each search takes some ms on a large site."""

OVERTAKING_MS: Final = 300.0
"""How long a stream that does not fit may be overtaken: a quarter of the longest wait."""

QUEUE_FRACTION: Final = 1.0
"""Ratio of waiting to running requests; half of that for one workspace, about a second of work."""

MIN_QUEUE: Final = 8
"""Number of requests that may wait regardless of how few run."""

WAIT_MARGIN: Final = 2.0
"""Factor on an estimated wait, so that waiting streams stay in time if the drain rate halves."""

LARGE_FACTOR: Final = 4.0
"""Multiple of the usual size above which requests of a workspace have a queue lane of their own."""


@dataclass(slots=True, frozen=True)
class PathRequest:
    """A stream's request for a path."""

    workspace: str
    """The workspace of the stream."""

    rank: int
    """Priority; 0 is served first."""

    tokens: float
    """Tokens that the stream holds."""

    usual_tokens: float
    """Tokens that a request of the usual size holds."""

    is_begun: bool
    """Whether its client has received events, so that it is not refused because of the queue."""

    find: Callable[[], Path | None]
    """Searches a path with what is known now."""

    is_feasible: Callable[[], bool]
    """Returns whether there can be a path once capacity becomes free."""

    reserve: Callable[[Path], None]
    """Adds the stream's load to its path until `release`."""

    release: Callable[[Path], None]

    @property
    def lane(self) -> str:
        """Key of the queue lane: the workspace, with a separate lane for its large requests."""
        is_large = self.tokens > LARGE_FACTOR * self.usual_tokens
        return f"{self.workspace}\0large" if is_large else self.workspace


@dataclass(slots=True)
class _Waiter:
    """A stream in the queue."""

    path_request: PathRequest
    granted: asyncio.Future[Path | None]
    """The granted path; `None` if the stream was evicted in favor of another workspace."""

    entered_ms: float


@dataclass(slots=True)
class PathQueue:
    """Waiting streams, and the running ones by workspace."""

    clock: Clock
    _by_rank: dict[int, FairQueue[_Waiter]] = field(default_factory=dict)
    _workspace_usage: WorkspaceUsage = field(init=False)
    _drain_rate: DrainRate = field(init=False)
    _served_ms: float = 0.0
    _timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        """Start with no running streams."""
        self._workspace_usage = create_workspace_usage(self.clock)
        self._drain_rate = create_drain_rate(self.clock)

    def __len__(self) -> int:
        """Return the number of waiting streams."""
        return sum(len(queue) for queue in self._by_rank.values())

    async def wait(self, path_request: PathRequest, wait_ms: float) -> Path | None:
        """Return a path; wait in the queue if there is none now but may be later.

        Args:
            path_request: The stream's request.
            wait_ms: Longest wait.

        Returns:
            The path; `None` if there is none in time or waiting is pointless.
        """
        path = path_request.find() if not len(self) or self._is_below_share(path_request) else None
        if path is not None:
            return path
        if not path_request.is_begun and not self._should_queue(path_request, wait_ms):
            return None
        now_ms = self.clock.now_ms()
        waiter = _Waiter(path_request, asyncio.get_running_loop().create_future(), now_ms)
        queue = self._by_rank.setdefault(path_request.rank, create_fair_queue())
        entry = queue.push(waiter, path_request.lane, 1.0, path_request.tokens, now_ms + wait_ms)
        self._drain_rate.note_backlog(True)
        self.wake(RECHECK_MS)
        try:
            await asyncio.wait({waiter.granted}, timeout=wait_ms / MS_PER_S)
        finally:
            queue.cancel(entry)
            self._drain_rate.note_backlog(bool(len(self)))
            path = waiter.granted.result() if waiter.granted.done() else None
            if path is not None:
                # The caller adds the stream's load itself before the event loop runs anything else.
                self._drain_rate.note_grant_settled()
                path_request.release(path)
        return path

    def wake(self, pause_ms: float = 0.0) -> None:
        """Schedule a path search; call it when capacity may have become free."""
        if not len(self):
            return
        due_ms = max(pause_ms, self._served_ms + MIN_SERVE_INTERVAL_MS - self.clock.now_ms(), 0.0)
        loop = asyncio.get_running_loop()
        due_s = loop.time() + due_ms / MS_PER_S
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_s, self._serve_and_recheck)

    def serve(self) -> None:
        """Grant paths to the streams that are next in the queue."""
        self._grant_paths()
        self._drain_rate.note_freed_slots_granted()

    def _grant_paths(self) -> None:
        """Grant paths until no stream fits or too many searches have failed."""
        now_ms = self._served_ms = self.clock.now_ms()
        searches_left = MAX_FAILED_SEARCHES
        for rank in sorted(self._by_rank):
            queue = self._by_rank[rank]
            while searches_left > 0:
                waiting, failed_searches, may_serve_lower = _grant_first(
                    queue, now_ms, searches_left
                )
                searches_left -= failed_searches
                if waiting is not None:
                    self._drain_rate.note_granted(waiting.cost)
                    continue
                if not may_serve_lower:
                    return
                break

    def started(self, workspace: str, tokens: float) -> None:
        """Record the start of a stream."""
        self._workspace_usage.started(workspace, 1.0, tokens)
        self._drain_rate.note_started()

    def ended(self, workspace: str, tokens: float, held_ms: float) -> None:
        """Record the end of a stream that was passed to `started`.

        Args:
            workspace: The workspace of the stream.
            tokens: Tokens that the stream held.
            held_ms: How long it ran.
        """
        self._workspace_usage.ended(workspace, tokens)
        self._drain_rate.note_finished(tokens, held_ms)

    def _serve_and_recheck(self) -> None:
        """Grant paths, and schedule a recheck if streams are still waiting."""
        self._timer = None
        self.serve()
        self.wake(RECHECK_MS)

    def _is_below_share(self, path_request: PathRequest) -> bool:
        """Whether a stream may skip the queue because its workspace uses less than its share."""
        queue = self._by_rank.get(path_request.rank)
        if queue is not None and queue.waiting_of(path_request.lane):
            return False
        return self._workspace_usage.is_below_share(
            path_request.workspace, 1.0, path_request.tokens
        )

    def _should_queue(self, path_request: PathRequest, wait_ms: float) -> bool:
        """Whether to queue a stream; may evict another one to make room in the queue."""
        if not path_request.is_feasible():
            return False
        queue = self._by_rank.get(path_request.rank) or create_fair_queue()
        ahead = [other for rank, other in self._by_rank.items() if rank < path_request.rank]
        if not self._comes_in_time(queue, ahead, path_request, wait_ms):
            return False
        capacity = max(MIN_QUEUE, int(self._drain_rate.in_use * QUEUE_FRACTION))
        if queue.has_room(path_request.lane, capacity - sum(len(other) for other in ahead)):
            return True
        waiting = queue.evict(
            path_request.lane, 1.0, lambda waiter: not waiter.path_request.is_begun
        )
        if waiting is None:
            return False
        waiting.item.granted.set_result(None)
        return True

    def _comes_in_time(
        self,
        queue: FairQueue[_Waiter],
        ahead: list[FairQueue[_Waiter]],
        path_request: PathRequest,
        wait_ms: float,
    ) -> bool:
        """Whether a stream is expected to be served in time at the current drain rate."""
        drained_per_ms = self._drain_rate.cost_per_ms()
        if drained_per_ms is None:
            return True
        if drained_per_ms <= 0.0:
            return not len(self)
        ahead_ms = sum(other.cost for other in ahead) / drained_per_ms
        own_ms = estimate_wait_ms(
            queue, drained_per_ms, path_request.lane, 1.0, path_request.tokens
        )
        return (ahead_ms + own_ms) * WAIT_MARGIN <= wait_ms


def create_path_queue(clock: Clock) -> PathQueue:
    """Return an empty queue."""
    return PathQueue(clock)


def _grant_first(
    queue: FairQueue[_Waiter], now_ms: float, searches_left: int
) -> tuple[QueueEntry[_Waiter] | None, int, bool]:
    """Grant a path to the first stream in queue order that fits.

    Returns:
        The stream, if there is one; the number of unsuccessful searches; and whether streams of
        lower priority may be served.
    """
    failed_searches = 0
    for waiting in queue.next_entries(now_ms, searches_left):
        waiter = waiting.item
        path = waiter.path_request.find()
        if path is not None:
            queue.take(waiting)
            waiter.path_request.reserve(path)
            waiter.granted.set_result(path)
            return waiting, failed_searches, True
        failed_searches += 1
        if now_ms - waiter.entered_ms > OVERTAKING_MS:
            return None, failed_searches, False
    return None, failed_searches, True
