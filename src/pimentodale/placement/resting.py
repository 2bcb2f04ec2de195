"""Spares a placement that is at rest from being planned again and again."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.placement.planner import Assignment, Holder
    from pimentodale.site.model import EngineModel

    PlanFunction = Callable[[EngineModel, list[Holder], set[str]], list[Assignment]]
    """Decides the next orders; changes the holders that it gives orders."""


@dataclass(slots=True, frozen=True)
class _Situation:
    """What a plan goes by."""

    engine: EngineModel
    holders: list[Holder]
    unsettled: set[str]


@dataclass(slots=True)
class RestingPlans:
    """The situations in which the last plans had nothing to order, by service."""

    make_plan: PlanFunction
    _at_rest: dict[str, _Situation] = field(default_factory=dict)

    def plan(
        self, service_name: str, engine: EngineModel, holders: list[Holder], unsettled: set[str]
    ) -> list[Assignment]:
        """Plan a service, unless nothing has changed since a plan without orders.

        Args:
            service_name: The service.
            engine: Figures of its model and accelerators.
            holders: Every replica that stays, with what it holds.
            unsettled: Failure domains whose replicas are coming back or are cut off.

        Returns:
            New ranges; empty when nothing is worth changing.
        """
        situation = _Situation(engine, holders, unsettled)
        if self._at_rest.get(service_name) == situation:
            return []
        assignments = self.make_plan(engine, holders, unsettled)
        if assignments:
            self._at_rest.pop(service_name, None)
        else:
            self._at_rest[service_name] = situation
        return assignments


def create_resting_plans(make_plan: PlanFunction) -> RestingPlans:
    """Return plans of which none is at rest yet.

    Args:
        make_plan: Decides the orders of one service.
    """
    return RestingPlans(make_plan)
