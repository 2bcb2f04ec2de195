"""What runs now for each workspace, and who has less of it than its share."""

from __future__ import annotations


class _Use:
    """Requests of one workspace that run."""

    __slots__ = ("cost", "requests", "weight")

    def __init__(self, weight: float) -> None:
        self.requests = 0
        self.cost = 0.0
        self.weight = weight


class InService:
    """Running cost by workspace."""

    __slots__ = ("_cost", "_uses", "_weight")

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._cost = 0.0
        self._weight = 0.0

    def started(self, workspace: str, weight: float, cost: float) -> None:
        """Count a request that starts."""
        use = self._uses.get(workspace)
        if use is None:
            use = self._uses[workspace] = _Use(weight)
            self._weight += weight
        use.requests += 1
        use.cost += cost
        self._cost += cost

    def ended(self, workspace: str, cost: float) -> None:
        """Count off a request that `started` counted."""
        use = self._uses[workspace]
        use.requests -= 1
        use.cost -= cost
        self._cost -= cost
        if use.requests == 0:
            del self._uses[workspace]
            self._weight -= use.weight
        if not self._uses:
            self._cost = self._weight = 0.0

    def is_below_share(self, workspace: str, weight: float, cost: float) -> bool:
        """Tell whether one more request leaves a workspace within its share of what runs.

        Args:
            workspace: The workspace.
            weight: Its weight.
            cost: The request's cost.

        Returns:
            Whether it does; False while it alone runs, as there is nobody to be behind of.
        """
        use = self._uses.get(workspace)
        others = self._weight - (0.0 if use is None else use.weight)
        own_cost = cost if use is None else use.cost + cost
        return own_cost <= self._cost * weight / (others + weight)


def create_in_service() -> InService:
    """Build the count with nothing running."""
    return InService()
