"""What runs now and ran lately for each workspace, and who has less of it than its share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pimentodale.clock import Clock

_WINDOW_MS: Final = 5_000.0
"""Time constant over which started work counts, the same as for the pace of the queue."""

_FORGOTTEN_COST: Final = 0.01
"""Decayed cost below which a workspace that runs nothing is forgotten."""


class _Use:
    """Requests of one workspace that run or started lately."""

    __slots__ = ("cost", "recent_cost", "requests", "weight")

    def __init__(self, weight: float) -> None:
        self.requests = 0
        self.cost = 0.0
        self.recent_cost = 0.0
        self.weight = weight


class InService:
    """Running and recent cost by workspace."""

    __slots__ = ("_at_ms", "_clock", "_uses")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at_ms = clock.now_ms()
        self._uses: dict[str, _Use] = {}

    def started(self, workspace: str, weight: float, cost: float) -> None:
        """Count a request that starts."""
        self._decay()
        use = self._uses.get(workspace)
        if use is None:
            use = self._uses[workspace] = _Use(weight)
        use.weight = weight
        use.requests += 1
        use.cost += cost
        use.recent_cost += cost

    def ended(self, workspace: str, cost: float) -> None:
        """Count off a request that `started` counted."""
        use = self._uses[workspace]
        use.requests -= 1
        use.cost = use.cost - cost if use.requests else 0.0

    def is_below_share(self, workspace: str, weight: float, cost: float) -> bool:
        """Tell whether one more request leaves a workspace within its share.

        It is within its share if it is so of what runs, or of what started lately: two requests at
        once of a workspace that mostly sends none are no reason to let it wait behind others.

        Args:
            workspace: The workspace.
            weight: Its weight.
            cost: The request's cost.

        Returns:
            Whether it does; False while it alone runs, as there is nobody to be behind of.
        """
        self._decay()
        own = self._uses.get(workspace) or _Use(weight)
        running_cost = recent_cost = 0.0
        running_weight = recent_weight = weight
        for name, use in self._uses.items():
            running_cost += use.cost
            recent_cost += use.recent_cost
            if name == workspace:
                continue
            recent_weight += use.weight
            running_weight += use.weight if use.requests else 0.0
        if own.cost + cost <= running_cost * weight / running_weight:
            return True
        return own.recent_cost + cost <= recent_cost * weight / recent_weight

    def _decay(self) -> None:
        """Let what started earlier count less, and forget who has nothing left."""
        now_ms = self._clock.now_ms()
        kept = math.exp((self._at_ms - now_ms) / _WINDOW_MS)
        self._at_ms = now_ms
        for workspace, use in list(self._uses.items()):
            use.recent_cost *= kept
            if not use.requests and use.recent_cost < _FORGOTTEN_COST:
                del self._uses[workspace]


def create_in_service(clock: Clock) -> InService:
    """Build the count with nothing running."""
    return InService(clock)
