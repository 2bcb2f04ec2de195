"""Estimates how long a request would wait from the drain rate of its queue."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from pimentodale.admission.fair_queue import FairQueue
    from pimentodale.clock import Clock

_WINDOW_MS: Final = 5_000.0
"""Time constant of the average drain rate."""

_PRIOR_WEIGHT_MS: Final = 500.0
"""Weight of the rate derived from finished requests, as an equivalent of backlogged time."""

_MIN_BUSY_MS: Final = 200.0
"""Backlogged time needed for a drain rate if no request has finished yet."""


class DrainRate:
    """Cost per millisecond that leaves a queue while it has a backlog.

    Until the backlog has lasted for a while, the rate is derived mainly from finished requests and
    the number of running ones.
    """

    __slots__ = (
        "_backlogged",
        "_busy_ms",
        "_clock",
        "_finished_cost",
        "_freed",
        "_granted",
        "_granted_cost",
        "_running",
        "_service_time_ms",
        "_updated_ms",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updated_ms = clock.now_ms()
        self._granted_cost = 0.0
        self._busy_ms = 0.0
        self._backlogged = False
        self._running = 0
        self._granted = 0
        self._freed = 0
        self._finished_cost = 0.0
        self._service_time_ms = 0.0

    @property
    def backlogged(self) -> bool:
        """Whether the queue has entries, as last recorded."""
        return self._backlogged

    @property
    def in_use(self) -> int:
        """Running requests, granted ones not started yet, and freed slots not granted yet.

        Freed slots matter after the host was paused: all running requests may end at once before
        any queued one has started.
        """
        return self._running + self._granted + self._freed

    def note_backlog(self, backlogged: bool) -> None:
        """Record whether the queue has entries from now on."""
        self._advance()
        self._backlogged = backlogged
        if not backlogged:
            self._freed = 0

    def note_granted(self, cost: float) -> None:
        """Count the cost of a granted entry; `note_grant_settled` must follow."""
        self._advance()
        self._granted_cost += cost
        self._granted += 1

    def note_grant_settled(self) -> None:
        """Record that a granted request starts now, or that its caller left without the grant."""
        self._granted -= 1

    def note_freed_slots_granted(self) -> None:
        """Record that freed slots have been granted to as many queued requests as fit."""
        self._freed = 0

    def note_started(self) -> None:
        """Count a request that starts, whether it was queued or not."""
        self._running += 1

    def note_finished(self, cost: float, held_ms: float) -> None:
        """Record the end of a request that `note_started` counted.

        Args:
            cost: Its cost.
            held_ms: How long it ran.
        """
        self._running -= 1
        if self._backlogged:
            self._freed += 1
        kept = math.exp(-held_ms / _WINDOW_MS / max(1, self._running + 1))
        self._finished_cost = self._finished_cost * kept + cost
        self._service_time_ms = self._service_time_ms * kept + held_ms

    def service_ms(self, cost: float) -> float:
        """Return the average service time of a request of this cost; 0 if it is not known."""
        if self._finished_cost <= 0.0:
            return 0.0
        return cost * self._service_time_ms / self._finished_cost

    def cost_per_ms(self) -> float | None:
        """Return the drain rate, or `None` if there is not enough data yet."""
        self._advance()
        if self._service_time_ms > 0.0:
            prior_per_ms = self.in_use * self._finished_cost / self._service_time_ms
            granted_cost = self._granted_cost + prior_per_ms * _PRIOR_WEIGHT_MS
            return granted_cost / (self._busy_ms + _PRIOR_WEIGHT_MS)
        if self._busy_ms < _MIN_BUSY_MS:
            return None
        return self._granted_cost / self._busy_ms

    def _advance(self) -> None:
        """Decay the averages up to now; they do not change while there is no backlog."""
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        if not self._backlogged:
            return
        kept = math.exp(-elapsed_ms / _WINDOW_MS)
        self._granted_cost *= kept
        self._busy_ms = self._busy_ms * kept + _WINDOW_MS * (1.0 - kept)


def estimate_wait_ms(
    queue: FairQueue[Any],
    drain_rate_per_ms: float | None,
    workspace: str,
    weight: float,
    cost: float,
) -> float:
    """Estimate how long a new entry would wait.

    An entry waits for the backlog of its own workspace, which drains at the workspace's share of
    the rate, but never longer than for the whole backlog.

    Args:
        queue: The queue.
        drain_rate_per_ms: Cost per millisecond that leaves the queue; `None` if it is not known.
        workspace: Workspace that the entry would belong to.
        weight: The workspace's weight.
        cost: The entry's cost.

    Returns:
        The wait in ms; 0 while the drain rate is not known, infinite if nothing leaves the queue.
    """
    if drain_rate_per_ms is None:
        return 0.0
    if drain_rate_per_ms <= 0.0:
        return math.inf
    own_share = drain_rate_per_ms * queue.share_of(workspace, weight)
    own_ms = (queue.cost_of(workspace) + cost) / own_share
    whole_ms = (queue.cost + cost) / drain_rate_per_ms
    return min(own_ms, whole_ms)


def create_drain_rate(clock: Clock) -> DrainRate:
    """Create a drain rate without any data."""
    return DrainRate(clock)
