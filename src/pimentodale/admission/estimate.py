"""How long a request would wait, by the queue's own pace."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from pimentodale.admission.fair_queue import FairQueue
    from pimentodale.clock import Clock

_WINDOW_MS: Final = 5_000.0
"""Time constant over which the pace is averaged."""

_PRIOR_MS: Final = 500.0
"""Time with a backlog that the pace of earlier work counts for."""

_MIN_BUSY_MS: Final = 200.0
"""Time with a backlog before the pace is known without earlier work."""


class DrainRate:
    """Cost that leaves a queue each millisecond while others wait behind it.

    Until a backlog has lasted for a while, the pace is taken from the work that was finished before
    and the number of requests that run.
    """

    __slots__ = (
        "_at_ms",
        "_backlogged",
        "_busy_ms",
        "_clock",
        "_finished_cost",
        "_freed",
        "_granted",
        "_granted_cost",
        "_held_ms",
        "_running",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at_ms = clock.now_ms()
        self._granted_cost = 0.0
        self._busy_ms = 0.0
        self._backlogged = False
        self._running = 0
        self._granted = 0
        self._freed = 0
        self._finished_cost = 0.0
        self._held_ms = 0.0

    @property
    def backlogged(self) -> bool:
        """Whether anybody waits, as it was said last."""
        return self._backlogged

    @property
    def in_use(self) -> int:
        """Requests that run, and room on its way from some that ended to those that wait.

        After a stop of the host all that ran may end at once, before any other has started.
        """
        return self._running + self._granted + self._freed

    def note_backlog(self, backlogged: bool) -> None:
        """Say whether anybody waits from now on."""
        self._advance()
        self._backlogged = backlogged
        if not backlogged:
            self._freed = 0

    def note_granted(self, cost: float) -> None:
        """Count cost that left the queue to be served; `note_taken_up` must follow."""
        self._advance()
        self._granted_cost += cost
        self._granted += 1

    def note_taken_up(self) -> None:
        """Count off a granted request that starts now, or that left without its grant."""
        self._granted -= 1

    def note_handed_out(self) -> None:
        """Say that those who wait have been given all the room that they fit into."""
        self._freed = 0

    def note_started(self) -> None:
        """Count a request that starts, whether it waited or not."""
        self._running += 1

    def note_finished(self, cost: float, held_ms: float) -> None:
        """Count off a request that `note_started` counted.

        Args:
            cost: Its cost.
            held_ms: How long it ran.
        """
        self._running -= 1
        if self._backlogged:
            self._freed += 1
        kept = math.exp(-held_ms / _WINDOW_MS / max(1, self._running + 1))
        self._finished_cost = self._finished_cost * kept + cost
        self._held_ms = self._held_ms * kept + held_ms

    def service_ms(self, cost: float) -> float:
        """Return how long a request of this cost has taken on average; 0 if it is not known."""
        if self._finished_cost <= 0.0:
            return 0.0
        return cost * self._held_ms / self._finished_cost

    def cost_per_ms(self) -> float | None:
        """Return the pace, or `None` if there is nothing to tell it from yet."""
        self._advance()
        if self._held_ms > 0.0:
            prior_per_ms = self.in_use * self._finished_cost / self._held_ms
            granted_cost = self._granted_cost + prior_per_ms * _PRIOR_MS
            return granted_cost / (self._busy_ms + _PRIOR_MS)
        if self._busy_ms < _MIN_BUSY_MS:
            return None
        return self._granted_cost / self._busy_ms

    def _advance(self) -> None:
        """Bring the averages up to now; without a backlog they stay as they are."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._at_ms
        self._at_ms = now_ms
        if not self._backlogged:
            return
        kept = math.exp(-elapsed_ms / _WINDOW_MS)
        self._granted_cost *= kept
        self._busy_ms = self._busy_ms * kept + _WINDOW_MS * (1.0 - kept)


def estimate_wait_ms(
    queue: FairQueue[Any],
    pace_per_ms: float | None,
    workspace: str,
    weight: float,
    cost: float,
) -> float:
    """Estimate how long a new entry would wait.

    A workspace's entry waits for its own backlog at the workspace's share of the pace, but never
    longer than for the whole backlog.

    Args:
        queue: The queue.
        pace_per_ms: Cost that leaves it each millisecond; `None` if it is not known.
        workspace: Whose the entry would be.
        weight: The workspace's weight.
        cost: The entry's cost.

    Returns:
        The wait in ms; 0 while the pace is not known, infinite if nothing leaves the queue.
    """
    if pace_per_ms is None:
        return 0.0
    if pace_per_ms <= 0.0:
        return math.inf
    own_share = pace_per_ms * queue.share_of(workspace, weight)
    own_ms = (queue.cost_of(workspace) + cost) / own_share
    whole_ms = (queue.cost + cost) / pace_per_ms
    return min(own_ms, whole_ms)


def create_drain_rate(clock: Clock) -> DrainRate:
    """Build a pace that is not known yet."""
    return DrainRate(clock)
