"""Streams of this host that wait for a path with room: the most urgent first, then fairly by workspace.

A stream that can't fit now lets those behind it pass for a while, so that one large request doesn't hold
back many small ones; then room is kept for it. One whose turn can't come in time is refused at once.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.admission.estimate import DrainRate, create_drain_rate, estimate_wait_ms
from pimentodale.admission.fair_queue import FairQueue, Waiting, create_fair_queue
from pimentodale.admission.in_service import InService, create_in_service
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock
    from pimentodale.placement.paths import Path

SERVE_PAUSE_MS: Final = 20.0
"""Least pause between two rounds in which paths are looked for."""

RECHECK_MS: Final = 150.0
"""Pause after which paths are looked for although no load has changed: replicas that were passed over may
be back."""

MAX_LOOKS: Final = 4
"""Streams for which a path is looked for in vain in one round; each look takes some ms on a large site."""

PASSING_MS: Final = 300.0
"""How long a stream that doesn't fit lets others pass: a quarter of the longest wait."""

QUEUE_FRACTION: Final = 1.0
"""Requests that may wait for each one that runs; of one workspace half as many, about a second of work."""

MIN_QUEUE: Final = 8
"""Requests that may wait however few run."""

WAIT_MARGIN: Final = 2.0
"""Factor of an estimated wait, so that a pace that falls to a half makes nobody late that waits."""

LARGE_FACTOR: Final = 4.0
"""Multiple of the usual size from which requests of a workspace queue apart from its smaller ones."""


@dataclass(slots=True, frozen=True)
class PathSeeker:
    """A stream that wants a path."""

    workspace: str
    """Whose it is."""

    rank: int
    """0 goes first."""

    tokens: float
    """Tokens that it holds."""

    usual_tokens: float
    """Tokens that a request of the usual size holds."""

    is_begun: bool
    """Whether its client has events already, so that it is not refused for the queue."""

    find: Callable[[], Path | None]
    """Looks for a path by what is known now."""

    may_come: Callable[[], bool]
    """Returns whether there can be a path once there is room."""

    reserve: Callable[[Path], None]
    """Counts the stream on its path until `give_back`."""

    give_back: Callable[[Path], None]

    @property
    def lane(self) -> str:
        """Whom it queues with."""
        is_large = self.tokens > LARGE_FACTOR * self.usual_tokens
        return f"{self.workspace}\0large" if is_large else self.workspace


@dataclass(slots=True)
class _Waiter:
    """One stream in the queue."""

    seeker: PathSeeker
    granted: asyncio.Future[Path | None]
    """Its path; `None` once it has given way to a stream of another workspace."""

    entered_ms: float


@dataclass(slots=True)
class PathQueue:
    """Streams that wait, and what runs by workspace."""

    clock: Clock
    _by_rank: dict[int, FairQueue[_Waiter]] = field(default_factory=dict)
    _in_service: InService = field(init=False)
    _pace: DrainRate = field(init=False)
    _served_ms: float = 0.0
    _timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        """Begin with nothing running."""
        self._in_service = create_in_service(self.clock)
        self._pace = create_drain_rate(self.clock)

    def __len__(self) -> int:
        """Return how many streams wait."""
        return sum(len(queue) for queue in self._by_rank.values())

    async def wait(self, seeker: PathSeeker, wait_ms: float) -> Path | None:
        """Return a path, waiting in turn for room where there is none but may come to be.

        Args:
            seeker: The stream.
            wait_ms: Longest wait.

        Returns:
            The path; `None` if there is none in time, or if waiting has no prospect.
        """
        path = seeker.find() if not len(self) or self._is_below_share(seeker) else None
        if path is not None:
            return path
        if not seeker.is_begun and not self._has_prospect(seeker, wait_ms):
            return None
        now_ms = self.clock.now_ms()
        waiter = _Waiter(seeker, asyncio.get_running_loop().create_future(), now_ms)
        queue = self._by_rank.setdefault(seeker.rank, create_fair_queue())
        entry = queue.push(waiter, seeker.lane, 1.0, seeker.tokens, now_ms + wait_ms)
        self._pace.note_backlog(True)
        self.wake(RECHECK_MS)
        try:
            await asyncio.wait({waiter.granted}, timeout=wait_ms / MS_PER_S)
        finally:
            queue.cancel(entry)
            self._pace.note_backlog(bool(len(self)))
            path = waiter.granted.result() if waiter.granted.done() else None
            if path is not None:
                # The caller counts the stream itself, in the same turn.
                self._pace.note_taken_up()
                seeker.give_back(path)
        return path

    def wake(self, pause_ms: float = 0.0) -> None:
        """Look for paths soon; call it when room may have appeared."""
        if not len(self):
            return
        due_ms = max(pause_ms, self._served_ms + SERVE_PAUSE_MS - self.clock.now_ms(), 0.0)
        loop = asyncio.get_running_loop()
        due_s = loop.time() + due_ms / MS_PER_S
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
        self._timer = loop.call_at(due_s, self._serve_and_recheck)

    def serve(self) -> None:
        """Give paths to those that are next."""
        self._give_out()
        self._pace.note_handed_out()

    def _give_out(self) -> None:
        """Give paths until nobody fits, or paths were looked for in vain too often."""
        now_ms = self._served_ms = self.clock.now_ms()
        looks = MAX_LOOKS
        for rank in sorted(self._by_rank):
            queue = self._by_rank[rank]
            while looks > 0:
                waiting, missed, may_pass = _grant_first(queue, now_ms, looks)
                looks -= missed
                if waiting is not None:
                    self._pace.note_granted(waiting.cost)
                    continue
                if not may_pass:
                    return
                break

    def started(self, workspace: str, tokens: float) -> None:
        """Count a stream that is sent."""
        self._in_service.started(workspace, 1.0, tokens)
        self._pace.note_started()

    def ended(self, workspace: str, tokens: float, held_ms: float) -> None:
        """Count off a stream that `started` counted.

        Args:
            workspace: Whose it is.
            tokens: Tokens that it held.
            held_ms: How long it ran.
        """
        self._in_service.ended(workspace, tokens)
        self._pace.note_finished(tokens, held_ms)

    def _serve_and_recheck(self) -> None:
        """Serve, and look again after a while if some still wait."""
        self._timer = None
        self.serve()
        self.wake(RECHECK_MS)

    def _is_below_share(self, seeker: PathSeeker) -> bool:
        """Whether a stream goes before those that wait: its workspace has less than its share."""
        queue = self._by_rank.get(seeker.rank)
        if queue is not None and queue.waiting_of(seeker.lane):
            return False
        return self._in_service.is_below_share(seeker.workspace, 1.0, seeker.tokens)

    def _has_prospect(self, seeker: PathSeeker, wait_ms: float) -> bool:
        """Whether a stream's turn can come in time."""
        if not seeker.may_come():
            return False
        queue = self._by_rank.get(seeker.rank) or create_fair_queue()
        ahead = [other for rank, other in self._by_rank.items() if rank < seeker.rank]
        if not self._comes_in_time(queue, ahead, seeker, wait_ms):
            return False
        capacity = max(MIN_QUEUE, int(self._pace.in_use * QUEUE_FRACTION))
        if queue.has_room(seeker.lane, capacity - sum(len(other) for other in ahead)):
            return True
        waiting = queue.give_way(seeker.lane, 1.0, lambda waiter: not waiter.seeker.is_begun)
        if waiting is None:
            return False
        waiting.item.granted.set_result(None)
        return True

    def _comes_in_time(
        self,
        queue: FairQueue[_Waiter],
        ahead: list[FairQueue[_Waiter]],
        seeker: PathSeeker,
        wait_ms: float,
    ) -> bool:
        """Whether the pace of the queue promises a stream's turn in time."""
        pace_per_ms = self._pace.cost_per_ms()
        if pace_per_ms is None:
            return True
        if pace_per_ms <= 0.0:
            return not len(self)
        ahead_ms = sum(other.cost for other in ahead) / pace_per_ms
        own_ms = estimate_wait_ms(queue, pace_per_ms, seeker.lane, 1.0, seeker.tokens)
        return (ahead_ms + own_ms) * WAIT_MARGIN <= wait_ms


def create_path_queue(clock: Clock) -> PathQueue:
    """Return a queue in which nobody waits."""
    return PathQueue(clock)


def _grant_first(
    queue: FairQueue[_Waiter], now_ms: float, looks: int
) -> tuple[Waiting[_Waiter] | None, int, bool]:
    """Give a path to the first stream in turn that fits.

    Returns:
        The stream, if there is one; for how many a path was looked for in vain; and whether less urgent
        ones may be looked at.
    """
    missed = 0
    for waiting in queue.next_entries(now_ms, looks):
        waiter = waiting.item
        path = waiter.seeker.find()
        if path is not None:
            queue.take(waiting)
            waiter.seeker.reserve(path)
            waiter.granted.set_result(path)
            return waiting, missed, True
        missed += 1
        if now_ms - waiter.entered_ms > PASSING_MS:
            return None, missed, False
    return None, missed, True
