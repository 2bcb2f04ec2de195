"""The choice of a route for one request.

A picker is a closure over its plan, so that the ways of choosing are interchangeable: the planned
one, and round robin and join-the-shortest-queue to measure it against.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate, count
from typing import TYPE_CHECKING, Final, Protocol

from pimentodale.routing.stages import find_route

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from pimentodale.clients.targets import EngineTarget
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.route_plan import PlannedRoute, RoutePlan
    from pimentodale.routing.routes import Route

_DRAWS: Final = 6
"""Routes drawn at random before all of them are looked at."""

_CHOICES: Final = 2
"""Usable routes that are compared."""

_SAME_FAILURE_DOMAIN_FACTOR: Final = 1.1
"""What a head in the host's own failure domain adds to a route's score."""

_CACHED_PREFIX_FACTOR: Final = 1.5
"""What a head that holds the prompt's prefix adds to a route's score."""


class Picker(Protocol):
    """Chooses a route, or finds none."""

    def __call__(
        self, excluded: Collection[str], cached_at: Collection[str], only_with_room: bool
    ) -> Route | None:
        """Choose.

        Args:
            excluded: Replicas that the route may not have.
            cached_at: Replicas that are thought to hold the prompt's prefix.
            only_with_room: Whether a route without room is none.

        Returns:
            The route, or `None` if none is left.
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
        """Build it.

        Args:
            plan: Routes with their weights.
            engines: The engines that were planned with.
            fleet: Tells which replicas are usable.
            free_share: Returns the free part of a route's room; 0 or less when there is none.
        """


def planned_pickers(own_failure_domain: str, rng: random.Random) -> CreatePicker:
    """Pick among planned routes: drawn by weight, the one with the most room of two.

    Args:
        own_failure_domain: Failure domain of this host, preferred where routes are as good.
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
    """Pick each stage in turn among the engines that can go on; for comparison."""
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
    """Pick for each stage the engine with the fewest streams; for comparison."""

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
    """Build the picker of one plan."""
    routes = [planned.route for planned in plan.routes]
    sums = list(accumulate(planned.tokens_per_s for planned in plan.routes))
    near = _routes_from(plan.routes, fleet, own_failure_domain)
    by_head = _by_head(routes)

    def score(route: Route, cached_at: Collection[str]) -> float:
        value = free_share(route)
        if value <= 0.0:
            return value
        if route.hops[0].replica in cached_at:
            value *= _CACHED_PREFIX_FACTOR
        return value * _SAME_FAILURE_DOMAIN_FACTOR if route in near else value

    def candidates(excluded: Collection[str], only_with_room: bool) -> list[Route]:
        found: list[Route] = []
        for _ in range(_DRAWS):
            route = routes[min(bisect(sums, rng.random() * sums[-1]), len(routes) - 1)]
            if route in found or not _is_usable(route, fleet, excluded):
                continue
            if only_with_room and free_share(route) <= 0.0:
                continue
            found.append(route)
            if len(found) == _CHOICES:
                break
        return found

    def pick(
        excluded: Collection[str], cached_at: Collection[str], only_with_room: bool
    ) -> Route | None:
        if not routes:
            return None
        found = candidates(excluded, only_with_room)
        for head in cached_at:
            found += [r for r in by_head.get(head, [])[:1] if _is_usable(r, fleet, excluded)]
        if not found:
            found = [route for route in routes if _is_usable(route, fleet, excluded)]
        best: Route | None = None
        best_score = 0.0
        for route in found:
            value = score(route, cached_at)
            if only_with_room and value <= 0.0:
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
    """Build a picker that knows no plan, and no room but slots."""

    def pick(
        excluded: Collection[str], cached_at: Collection[str], only_with_room: bool
    ) -> Route | None:
        usable = []
        for engine in engines:
            if engine.replica in excluded or not fleet.is_usable(engine.replica):
                continue
            if only_with_room and fleet.free_share(engine.replica) <= 0.0:
                continue
            usable.append(engine)
        if not usable:
            return None
        return find_route(usable[0].model, layers, usable, choose)

    return pick


def _is_usable(route: Route, fleet: Fleet, excluded: Collection[str]) -> bool:
    """Whether every stage takes new work."""
    for hop in route.hops:
        if hop.replica in excluded or not fleet.is_usable(hop.replica):
            return False
    return True


def _routes_from(
    planned_routes: Sequence[PlannedRoute], fleet: Fleet, failure_domain: str
) -> set[Route]:
    """Return the routes whose head stands in the failure domain."""
    near = set()
    for planned in planned_routes:
        status = fleet.status(planned.route.hops[0].replica)
        if status is not None and status.target.failure_domain == failure_domain:
            near.add(planned.route)
    return near


def _by_head(routes: Sequence[Route]) -> dict[str, list[Route]]:
    """Return the routes by the name of their first engine."""
    found: dict[str, list[Route]] = {}
    for route in routes:
        found.setdefault(route.hops[0].replica, []).append(route)
    return found
