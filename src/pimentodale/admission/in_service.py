"""What runs now and ran lately for each workspace, and who has less of it than its share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pimentodale.clock import Clock

_WINDOW_MS: Final = 5_000.0
"""Time constant over which started work counts, the same as for the pace of the queue."""

_KEPT_MS: Final = 8.0 * _WINDOW_MS
"""Time after the last start in which a workspace counts as one that others share with; by then less than a
two-thousandth of what it started is left."""


class _Use:
    """Requests of one workspace that run or started lately."""

    __slots__ = ("cost", "recent_at_ms", "recent_cost", "requests", "weight")

    def __init__(self, weight: float, now_ms: float) -> None:
        self.requests = 0
        self.cost = 0.0
        self.recent_cost = 0.0
        self.recent_at_ms = now_ms
        self.weight = weight


class InService:
    """Running and recent cost by workspace; each call looks at few of them, however many there are."""

    __slots__ = (
        "_at_ms",
        "_clock",
        "_recent_cost",
        "_running_cost",
        "_running_weight",
        "_uses",
        "_weight",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at_ms = clock.now_ms()
        self._uses: dict[str, _Use] = {}
        """By workspace, the one that started or ended a request last at the end."""
        self._weight = 0.0
        self._recent_cost = 0.0
        self._running_cost = 0.0
        self._running_weight = 0.0

    def started(self, workspace: str, weight: float, cost: float) -> None:
        """Count a request that starts."""
        self._pass_time()
        use = self._uses.pop(workspace, None)
        if use is None:
            use = _Use(weight, self._at_ms)
            self._weight += weight
        if use.requests == 0:
            self._weight += weight - use.weight
            use.weight = weight
            self._running_weight += weight
        use.recent_cost = self._recent_cost_of(use) + cost
        use.recent_at_ms = self._at_ms
        use.requests += 1
        use.cost += cost
        self._running_cost += cost
        self._recent_cost += cost
        self._uses[workspace] = use

    def ended(self, workspace: str, cost: float) -> None:
        """Count off a request that `started` counted."""
        use = self._uses.pop(workspace)
        use.requests -= 1
        use.cost = use.cost - cost if use.requests else 0.0
        self._running_cost -= cost
        if use.requests == 0:
            self._running_weight -= use.weight
        self._uses[workspace] = use

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
        self._pass_time()
        use = self._uses.get(workspace)
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

    def _recent_cost_of(self, use: _Use) -> float:
        """Return what a workspace started lately, as it counts now."""
        return use.recent_cost * math.exp((use.recent_at_ms - self._at_ms) / _WINDOW_MS)

    def _pass_time(self) -> None:
        """Let what started earlier count less, and forget who started nothing for long."""
        now_ms = self._clock.now_ms()
        self._recent_cost *= math.exp((self._at_ms - now_ms) / _WINDOW_MS)
        self._at_ms = now_ms
        while self._uses:
            workspace, use = next(iter(self._uses.items()))
            if use.requests or now_ms - use.recent_at_ms < _KEPT_MS:
                break
            del self._uses[workspace]
            self._weight -= use.weight
        if not self._uses:
            self._weight = self._recent_cost = self._running_cost = self._running_weight = 0.0


def create_in_service(clock: Clock) -> InService:
    """Build the count with nothing running."""
    return InService(clock)
