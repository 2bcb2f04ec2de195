"""The choice of a route for one request.

A picker is a closure over its plan, so that the ways of choosing are interchangeable: the planned
one, and round robin and join-the-shortest-queue to measure it against.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate, count
from typing import TYPE_CHECKING, Final, Protocol

from pimentodale.platform.engine_messages import Hop
from pimentodale.routing.routes import Route

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Sequence

    from pimentodale.platform.targets import EngineTarget
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.route_plan import PlannedRoute, RoutePlan

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

    def __call__(self, excluded: Collection[str], cached_at: Collection[str]) -> Route | None:
        """Choose.

        Args:
            excluded: Replicas that the route may not have.
            cached_at: Replicas that are thought to hold the prompt's prefix.

        Returns:
            The route, or `None` if none is left.
        """


def create_planned_picker(
    plan: RoutePlan, fleet: Fleet, own_failure_domain: str, rng: random.Random
) -> Picker:
    """Pick among planned routes: drawn by weight, the one with the most free slots of two.

    Args:
        plan: The routes with their weights.
        fleet: Tells which replicas are usable and how many slots they have left.
        own_failure_domain: Failure domain of this host, preferred where routes are as good.
        rng: Random numbers.

    Returns:
        The picker.
    """
    routes = [planned.route for planned in plan.routes]
    sums = list(accumulate(planned.tokens_per_s for planned in plan.routes))
    near = _routes_from(plan.routes, fleet, own_failure_domain)
    by_head = _by_head(routes)

    def score(route: Route, cached_at: Collection[str]) -> float:
        value = _free_share(route, fleet)
        if value <= 0.0:
            return value
        if route.hops[0].replica in cached_at:
            value *= _CACHED_PREFIX_FACTOR
        return value * _SAME_FAILURE_DOMAIN_FACTOR if route in near else value

    def draw(excluded: Collection[str]) -> list[Route]:
        found: list[Route] = []
        for _ in range(_DRAWS):
            route = routes[min(bisect(sums, rng.random() * sums[-1]), len(routes) - 1)]
            if route in found or not _is_usable(route, fleet, excluded):
                continue
            found.append(route)
            if len(found) == _CHOICES:
                break
        return found

    def pick(excluded: Collection[str], cached_at: Collection[str]) -> Route | None:
        if not routes:
            return None
        found = draw(excluded)
        for head in cached_at:
            found += [r for r in by_head.get(head, [])[:1] if _is_usable(r, fleet, excluded)]
        if not found:
            found = [route for route in routes if _is_usable(route, fleet, excluded)]
        if not found:
            return None
        return max(found, key=lambda route: score(route, cached_at))

    return pick


def create_round_robin_picker(layers: int, engines: Sequence[EngineTarget], fleet: Fleet) -> Picker:
    """Pick each stage in turn among the engines that can go on; for comparison."""
    turns = count()

    def choose(candidates: list[EngineTarget]) -> EngineTarget:
        return candidates[next(turns) % len(candidates)]

    return _create_stagewise_picker(layers, engines, fleet, choose)


def create_shortest_queue_picker(
    layers: int, engines: Sequence[EngineTarget], fleet: Fleet, rng: random.Random
) -> Picker:
    """Pick for each stage the engine with the fewest streams; for comparison."""

    def streams(engine: EngineTarget) -> tuple[float, float]:
        status = fleet.status(engine.replica)
        taken = 0 if status is None else engine.slots - status.free_slots
        return taken, rng.random()

    return _create_stagewise_picker(layers, engines, fleet, lambda c: min(c, key=streams))


def find_route(
    model: str,
    layers: int,
    engines: Sequence[EngineTarget],
    choose: Callable[[list[EngineTarget]], EngineTarget],
) -> Route | None:
    """Build a route stage by stage among engines from which the last layer can be reached.

    Args:
        model: The model.
        layers: Its layers.
        engines: Engines that may be used.
        choose: Chooses one of the engines that can go on from the layer reached.

    Returns:
        The route, or `None` if the layers can't be tiled.
    """
    ending = _engines_that_reach(layers, engines)
    hops: list[Hop] = []
    reached = 0
    while reached < layers:
        candidates = [e for e in ending if e.first_layer <= reached < e.last_layer]
        if not candidates:
            return None
        engine = choose(candidates)
        hops.append(Hop(engine.replica, str(engine.address), reached, engine.last_layer))
        reached = engine.last_layer
    return Route(model, tuple(hops))


def _create_stagewise_picker(
    layers: int,
    engines: Sequence[EngineTarget],
    fleet: Fleet,
    choose: Callable[[list[EngineTarget]], EngineTarget],
) -> Picker:
    """Build a picker that knows no plan."""

    def pick(excluded: Collection[str], cached_at: Collection[str]) -> Route | None:
        usable = [
            engine
            for engine in engines
            if engine.replica not in excluded and fleet.is_usable(engine.replica)
        ]
        if not usable:
            return None
        return find_route(usable[0].model, layers, usable, choose)

    return pick


def _engines_that_reach(layers: int, engines: Sequence[EngineTarget]) -> list[EngineTarget]:
    """Return the engines from whose last layer the rest can be tiled."""
    found: list[EngineTarget] = []
    for engine in sorted(engines, key=lambda engine: -engine.last_layer):
        end = engine.last_layer
        if end == layers or any(e.first_layer <= end < e.last_layer for e in found):
            found.append(engine)
    return found


def _free_share(route: Route, fleet: Fleet) -> float:
    """Return the share of free slots at the route's fullest stage; 0 or less when it is full."""
    smallest = 1.0
    for hop in route.hops:
        status = fleet.status(hop.replica)
        if status is None:
            return 0.0
        smallest = min(smallest, status.free_slots / max(1, status.target.slots))
    return smallest


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
