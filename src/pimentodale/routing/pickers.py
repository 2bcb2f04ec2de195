"""Load-balancing policies: the choice of a route for one request.

A picker is a closure over one route plan, so that policies are interchangeable. Beside the planned
policy there are round robin and join-the-shortest-queue as baselines to compare it with.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate, count
from typing import TYPE_CHECKING, Final, Protocol

from pimentodale.routing.stagewise_route import find_route

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from pimentodale.clients.targets import EngineTarget
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.route_plan import PlannedRoute, RoutePlan
    from pimentodale.routing.routes import Route

_MAX_DRAWS: Final = 6
"""Random draws, weighted by planned rate, before all routes are searched."""

_CHOICES: Final = 2
"""Usable routes to draw and compare (power of two choices)."""

_SAME_FAILURE_DOMAIN_FACTOR: Final = 1.1
"""Factor on a route's score if its first engine is in the host's own failure domain."""

_CACHED_PREFIX_FACTOR: Final = 1.5
"""Factor on a route's score if its first engine holds the prompt's prefix."""


class Picker(Protocol):
    """Chooses a route for one request."""

    def __call__(
        self, excluded: Collection[str], cached_at: Collection[str], require_free_capacity: bool
    ) -> Route | None:
        """Choose a route.

        Args:
            excluded: Replicas that the route must not contain.
            cached_at: Replicas that probably hold the prompt's prefix.
            require_free_capacity: Whether to choose only among routes that have free capacity.

        Returns:
            The route, or `None` if there is none.
        """


class CreatePicker(Protocol):
    """Builds the picker of one plan."""

    def __call__(
        self,
        plan: RoutePlan,
        engines: Sequence[EngineTarget],
        fleet: Fleet,
        free_share: Callable[[Route], float],
    ) -> Picker:
        """Build the picker.

        Args:
            plan: Routes with their weights.
            engines: The engines that the plan was made for.
            fleet: Tells which replicas are usable.
            free_share: Returns the free fraction of a route's capacity; 0 or less if it is full.
        """


def planned_pickers(own_failure_domain: str, rng: random.Random) -> CreatePicker:
    """Pick among planned routes: draw two by weight and take the one with the higher score.

    Args:
        own_failure_domain: Failure domain of this host; routes that start there score higher.
        rng: Random numbers.

    Returns:
        The function that builds pickers.
    """

    def create(
        plan: RoutePlan,
        engines: Sequence[EngineTarget],
        fleet: Fleet,
        free_share: Callable[[Route], float],
    ) -> Picker:
        del engines
        return _create_planned_picker(plan, fleet, free_share, own_failure_domain, rng)

    return create


def round_robin_pickers() -> CreatePicker:
    """Pick each stage's engine by round robin; a baseline for comparison."""
    turns = count()

    def choose(candidates: list[EngineTarget]) -> EngineTarget:
        return candidates[next(turns) % len(candidates)]

    def create(
        plan: RoutePlan,
        engines: Sequence[EngineTarget],
        fleet: Fleet,
        free_share: Callable[[Route], float],
    ) -> Picker:
        del free_share
        return _create_stagewise_picker(plan.layers, engines, fleet, choose)

    return create


def shortest_queue_pickers(rng: random.Random) -> CreatePicker:
    """Pick for each stage the engine with the fewest streams; a baseline for comparison."""

    def create(
        plan: RoutePlan,
        engines: Sequence[EngineTarget],
        fleet: Fleet,
        free_share: Callable[[Route], float],
    ) -> Picker:
        del free_share

        def streams(engine: EngineTarget) -> tuple[float, float]:
            status = fleet.status(engine.replica)
            taken = 0 if status is None else engine.slots - status.free_slots
            return taken, rng.random()

        def choose(candidates: list[EngineTarget]) -> EngineTarget:
            return min(candidates, key=streams)

        return _create_stagewise_picker(plan.layers, engines, fleet, choose)

    return create


def _create_planned_picker(
    plan: RoutePlan,
    fleet: Fleet,
    free_share: Callable[[Route], float],
    own_failure_domain: str,
    rng: random.Random,
) -> Picker:
    """Build the planned policy's picker for one plan."""
    routes = [planned.route for planned in plan.routes]
    sums = list(accumulate(planned.tokens_per_s for planned in plan.routes))
    same_domain = _routes_with_head_in(plan.routes, fleet, own_failure_domain)
    by_head = _group_by_head(routes)

    def score(route: Route, cached_at: Collection[str]) -> float:
        value = free_share(route)
        if value <= 0.0:
            return value
        if route.hops[0].replica in cached_at:
            value *= _CACHED_PREFIX_FACTOR
        return value * _SAME_FAILURE_DOMAIN_FACTOR if route in same_domain else value

    def candidates(excluded: Collection[str], require_free_capacity: bool) -> list[Route]:
        found: list[Route] = []
        for _ in range(_MAX_DRAWS):
            route = routes[min(bisect(sums, rng.random() * sums[-1]), len(routes) - 1)]
            if route in found or not _is_usable(route, fleet, excluded):
                continue
            if require_free_capacity and free_share(route) <= 0.0:
                continue
            found.append(route)
            if len(found) == _CHOICES:
                break
        return found

    def pick(
        excluded: Collection[str], cached_at: Collection[str], require_free_capacity: bool
    ) -> Route | None:
        if not routes:
            return None
        found = candidates(excluded, require_free_capacity)
        for head in cached_at:
            found += [r for r in by_head.get(head, [])[:1] if _is_usable(r, fleet, excluded)]
        if not found:
            found = [route for route in routes if _is_usable(route, fleet, excluded)]
        best: Route | None = None
        best_score = 0.0
        for route in found:
            value = score(route, cached_at)
            if require_free_capacity and value <= 0.0:
                continue
            if best is None or value > best_score:
                best, best_score = route, value
        return best

    return pick


def _create_stagewise_picker(
    layers: int,
    engines: Sequence[EngineTarget],
    fleet: Fleet,
    choose: Callable[[list[EngineTarget]], EngineTarget],
) -> Picker:
    """Build a picker that ignores the plan and checks free slots, but no route limits."""

    def pick(
        excluded: Collection[str], cached_at: Collection[str], require_free_capacity: bool
    ) -> Route | None:
        usable = []
        for engine in engines:
            if engine.replica in excluded or not fleet.is_usable(engine.replica):
                continue
            if require_free_capacity and fleet.free_share(engine.replica) <= 0.0:
                continue
            usable.append(engine)
        if not usable:
            return None
        return find_route(usable[0].model, layers, usable, choose)

    return pick


def _is_usable(route: Route, fleet: Fleet, excluded: Collection[str]) -> bool:
    """Return whether every stage accepts new work and none is excluded."""
    for hop in route.hops:
        if hop.replica in excluded or not fleet.is_usable(hop.replica):
            return False
    return True


def _routes_with_head_in(
    planned_routes: Sequence[PlannedRoute], fleet: Fleet, failure_domain: str
) -> set[Route]:
    """Return the routes whose first engine is in the failure domain."""
    same_domain = set()
    for planned in planned_routes:
        status = fleet.status(planned.route.hops[0].replica)
        if status is not None and status.target.failure_domain == failure_domain:
            same_domain.add(planned.route)
    return same_domain


def _group_by_head(routes: Sequence[Route]) -> dict[str, list[Route]]:
    """Group the routes by the name of their first engine."""
    found: dict[str, list[Route]] = {}
    for route in routes:
        found.setdefault(route.hops[0].replica, []).append(route)
    return found
