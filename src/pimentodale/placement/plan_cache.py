"""Skips planning while the inputs of a plan without orders have not changed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.placement.planner import Assignment, LayerHolder
    from pimentodale.site.model import EngineModel

    PlanFunction = Callable[[EngineModel, list[LayerHolder], set[str]], list[Assignment]]
    """Decides the next orders; updates the holders that it assigns."""


@dataclass(slots=True, frozen=True)
class _PlanInputs:
    """Inputs of a plan."""

    engine: EngineModel
    holders: list[LayerHolder]
    unstable: set[str]


@dataclass(slots=True)
class PlanCache:
    """Caches, for each service, the inputs of the last plan if that plan had no orders."""

    make_plan: PlanFunction
    _without_orders: dict[str, _PlanInputs] = field(default_factory=dict)

    def plan(
        self, service_name: str, engine: EngineModel, holders: list[LayerHolder], unstable: set[str]
    ) -> list[Assignment]:
        """Plan a service, unless its inputs are unchanged since a plan without orders.

        Args:
            service_name: Name of the service.
            engine: Performance figures of its model and accelerators.
            holders: Every replica that is not leaving, with the layers that it holds.
            unstable: Failure domains that are partitioned or whose replicas are reconnecting.

        Returns:
            New layer ranges; empty if no change is worthwhile.
        """
        inputs = _PlanInputs(engine, holders, unstable)
        if self._without_orders.get(service_name) == inputs:
            return []
        assignments = self.make_plan(engine, holders, unstable)
        if assignments:
            self._without_orders.pop(service_name, None)
        else:
            self._without_orders[service_name] = inputs
        return assignments


def create_plan_cache(make_plan: PlanFunction) -> PlanCache:
    """Return an empty plan cache.

    Args:
        make_plan: Plans one service.
    """
    return PlanCache(make_plan)
