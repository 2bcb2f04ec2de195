"""Tracks running and recent cost by workspace and compares it with each workspace's share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pimentodale.clock import Clock

_WINDOW_MS: Final = 5_000.0
"""Time constant for the decay of recent cost, the same as for the drain rate of the queue."""

_RETENTION_MS: Final = 8.0 * _WINDOW_MS
"""Time after its last start during which a workspace counts when shares are computed. After it,
less than a two-thousandth of its recent cost is left."""


class _WorkspaceCost:
    """Running and recent cost of one workspace."""

    __slots__ = ("cost", "recent_at_ms", "recent_cost", "requests", "weight")

    def __init__(self, weight: float, now_ms: float) -> None:
        self.requests = 0
        self.cost = 0.0
        self.recent_cost = 0.0
        self.recent_at_ms = now_ms
        self.weight = weight


class WorkspaceUsage:
    """Running and recent cost by workspace, with running sums so that calls don't scan all."""

    __slots__ = (
        "_clock",
        "_recent_cost",
        "_running_cost",
        "_running_weight",
        "_updated_ms",
        "_usage_by_workspace",
        "_weight",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._updated_ms = clock.now_ms()
        self._usage_by_workspace: dict[str, _WorkspaceCost] = {}
        """By workspace, ordered by the last start or end of a request, the latest at the end."""
        self._weight = 0.0
        self._recent_cost = 0.0
        self._running_cost = 0.0
        self._running_weight = 0.0

    def started(self, workspace: str, weight: float, cost: float) -> None:
        """Add a request that starts."""
        self._decay()
        use = self._usage_by_workspace.pop(workspace, None)
        if use is None:
            use = _WorkspaceCost(weight, self._updated_ms)
            self._weight += weight
        if use.requests == 0:
            self._weight += weight - use.weight
            use.weight = weight
            self._running_weight += weight
        use.recent_cost = self._recent_cost_of(use) + cost
        use.recent_at_ms = self._updated_ms
        use.requests += 1
        use.cost += cost
        self._running_cost += cost
        self._recent_cost += cost
        self._usage_by_workspace[workspace] = use

    def ended(self, workspace: str, cost: float) -> None:
        """Subtract a running request that `started` added."""
        use = self._usage_by_workspace.pop(workspace)
        use.requests -= 1
        use.cost = use.cost - cost if use.requests else 0.0
        self._running_cost -= cost
        if use.requests == 0:
            self._running_weight -= use.weight
        self._usage_by_workspace[workspace] = use

    def is_below_share(self, workspace: str, weight: float, cost: float) -> bool:
        """Tell whether one more request keeps a workspace within its share.

        It suffices that it is within its share of either the running or the recent cost: a
        workspace that rarely sends requests need not wait behind others because it sends two at
        once.

        Args:
            workspace: The workspace.
            weight: Its weight.
            cost: The request's cost.

        Returns:
            Whether it does; False if no other workspace has running or recent requests.
        """
        self._decay()
        use = self._usage_by_workspace.get(workspace)
        own_cost = own_recent_cost = own_weight = own_running_weight = 0.0
        if use is not None:
            own_cost, own_recent_cost = use.cost, self._recent_cost_of(use)
            own_weight = use.weight
            own_running_weight = use.weight if use.requests else 0.0
        running_share = weight / (self._running_weight - own_running_weight + weight)
        if own_cost + cost <= self._running_cost * running_share:
            return True
        recent_share = weight / (self._weight - own_weight + weight)
        return own_recent_cost + cost <= self._recent_cost * recent_share

    def _recent_cost_of(self, use: _WorkspaceCost) -> float:
        """Return the recent cost of a workspace, decayed up to now."""
        return use.recent_cost * math.exp((use.recent_at_ms - self._updated_ms) / _WINDOW_MS)

    def _decay(self) -> None:
        """Decay the recent cost and drop workspaces without a start for `_RETENTION_MS`."""
        now_ms = self._clock.now_ms()
        self._recent_cost *= math.exp((self._updated_ms - now_ms) / _WINDOW_MS)
        self._updated_ms = now_ms
        while self._usage_by_workspace:
            workspace, use = next(iter(self._usage_by_workspace.items()))
            if use.requests or now_ms - use.recent_at_ms < _RETENTION_MS:
                break
            del self._usage_by_workspace[workspace]
            self._weight -= use.weight
        if not self._usage_by_workspace:
            self._weight = self._recent_cost = self._running_cost = self._running_weight = 0.0


def create_workspace_usage(clock: Clock) -> WorkspaceUsage:
    """Create the usage with nothing running."""
    return WorkspaceUsage(clock)
