"""Assigns routes to requests, by one route plan per model that is updated as the fleet changes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.routing.pickers import planned_pickers
from pimentodale.routing.prefix_index import create_prefix_index
from pimentodale.routing.route_limits import create_route_limits
from pimentodale.routing.route_plan import plan_routes
from pimentodale.routing.stagewise_route import find_route

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from pimentodale.clients.targets import EngineTarget
    from pimentodale.clock import Clock
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.pickers import CreatePicker, Picker
    from pimentodale.routing.prefix_index import PrefixIndex
    from pimentodale.routing.route_limits import RouteLimits, RouteUse
    from pimentodale.routing.route_plan import Link, PlannedRoute, RoutePlan
    from pimentodale.routing.routes import Route, RouteOutcome

PLAN_INTERVAL_MS: Final = 200.0
"""Shortest time between two plans of a model."""

_OVER_LIMIT_DRAWS: Final = 6
"""Routes drawn for a stream over the routes' limits.

If fast routes carry a third of the fleet's rate, nine in ten such streams draw one of them.
"""

_log = get_log("routing")


class _ModelState:
    """One model's route plan and its picker."""

    __slots__ = ("fleet_revision", "layers", "pick", "plan", "planned_at_ms")

    def __init__(
        self, layers: int, plan: RoutePlan, pick: Picker, fleet_revision: int, now_ms: float
    ) -> None:
        self.layers = layers
        self.plan = plan
        self.pick = pick
        self.fleet_revision = fleet_revision
        self.planned_at_ms = now_ms


class Router:
    """Picks routes for requests and counts the streams on them."""

    __slots__ = (
        "_clock",
        "_create_picker",
        "_fleet",
        "_links",
        "_models",
        "prefixes",
        "route_limits",
    )

    prefixes: PrefixIndex
    """Which engines probably hold which prompt prefixes."""

    route_limits: RouteLimits
    """Concurrency limit and streams of each route."""

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        create_picker: CreatePicker,
        links: Callable[[], Sequence[Link]],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._create_picker = create_picker
        self._links = links
        self._models: dict[str, _ModelState] = {}
        self.prefixes = create_prefix_index()
        self.route_limits = create_route_limits(fleet, clock)

    def pick_route(
        self,
        model: str,
        layers: int,
        prompt_prefix_hash: str = "",
        excluded: Collection[str] = (),
    ) -> Route | None:
        """Choose a route, whether it has free capacity or not.

        Args:
            model: The model.
            layers: Number of its layers.
            prompt_prefix_hash: Hash of the prompt's prefix; empty if it has none.
            excluded: Replicas that the route must not contain.

        Returns:
            The route, or `None` if the usable engines don't cover all layers.
        """
        pick = self._state_of(model, layers).pick
        route = pick(excluded, self.prefixes.holders(prompt_prefix_hash), False)
        if route is not None:
            return route
        return self._find_unplanned(model, layers, excluded)

    def acquire(self, model: str, layers: int, prompt_prefix_hash: str = "") -> RouteUse | None:
        """Choose a route that has free capacity and count a stream on it.

        Args:
            model: The model.
            layers: Number of its layers.
            prompt_prefix_hash: Hash of the prompt's prefix; empty if it has none.

        Returns:
            The counted stream, whose `end` must be called; `None` if no route has free capacity.
        """
        pick = self._state_of(model, layers).pick
        route = pick((), self.prefixes.holders(prompt_prefix_hash), True)
        if route is None:
            return None
        return self.started(route, prompt_prefix_hash)

    def acquire_over_limit(
        self, model: str, layers: int, prompt_prefix_hash: str = ""
    ) -> RouteUse | None:
        """Like `acquire`, but ignore the routes' limits as long as engines have free slots.

        Engines schedule such a stream ahead of others, but it waits for the batch step in progress,
        so routes with a low latency per step are preferred.
        """
        best: Route | None = None
        best_ms = 0.0
        for _ in range(_OVER_LIMIT_DRAWS):
            route = self.pick_route(model, layers, prompt_prefix_hash)
            if route is None:
                break
            free_share = min(self._fleet.free_share(hop.replica) for hop in route.hops)
            if free_share <= 0.0:
                continue
            # The stream waits only for the batch step in progress, half a step on average.
            expected_ms = self.route_limits.baseline_latency_ms(route) * (1.5 - 0.5 * free_share)
            if best is None or expected_ms < best_ms:
                best, best_ms = route, expected_ms
        return None if best is None else self.started(best, prompt_prefix_hash)

    def started(self, route: Route, prompt_prefix_hash: str = "") -> RouteUse:
        """Count a stream that starts on a route; the caller must call `end` on the result."""
        if prompt_prefix_hash:
            self.prefixes.note_stored(prompt_prefix_hash, route.hops[0].replica)
        self._fleet.note_sent(route.replicas)
        return self.route_limits.use(route)

    def ended(self, route: Route, outcome: RouteOutcome) -> None:
        """Uncount a stream that `started` counted, as an alternative to `RouteUse.end`."""
        self.route_limits.ended(route, outcome)

    def has_route(self, model: str, layers: int) -> bool:
        """Return whether the usable engines cover all layers, with free capacity or without."""
        return self.pick_route(model, layers) is not None

    def held_off_ms(self, model: str) -> float:
        """Return the ms until the first held-off engine of a model accepts work; 0 if none is."""
        return self._fleet.held_off_ms(model)

    def replan(self) -> None:
        """Recompute the plan of each model whose engines changed.

        Call it regularly, outside of the request path.
        """
        self._fleet.refresh_availability()
        now_ms = self._clock.now_ms()
        for model, state in list(self._models.items()):
            if state.fleet_revision == self._fleet.revision:
                continue
            if now_ms - state.planned_at_ms < PLAN_INTERVAL_MS:
                continue
            self._plan(model, state.layers)

    def bound_tokens_per_s(self, model: str) -> float:
        """Return the plan's bound on the model's rate; 0 before the first request for the model."""
        state = self._models.get(model)
        return 0.0 if state is None else state.plan.bound_tokens_per_s

    def plan_of(self, model: str) -> Sequence[PlannedRoute]:
        """Return a model's planned routes; none before the first request for it."""
        state = self._models.get(model)
        return () if state is None else state.plan.routes

    def _state_of(self, model: str, layers: int) -> _ModelState:
        """Return a model's state; plan its routes if there is none yet."""
        state = self._models.get(model)
        if state is None or state.layers != layers:
            return self._plan(model, layers)
        return state

    def _plan(self, model: str, layers: int) -> _ModelState:
        """Plan the routes of one model now."""
        revision = self._fleet.revision
        engines = self._fleet.engines(model)
        plan = plan_routes(model, layers, engines, self._links())
        pick = self._create_picker(plan, engines, self._fleet, self.route_limits.free_share)
        state = _ModelState(layers, plan, pick, revision, self._clock.now_ms())
        self._models[model] = state
        self.route_limits.apply_plan(plan.routes)
        planned = {p.route for kept in self._models.values() for p in kept.plan.routes}
        self.route_limits.forget_unused(planned)
        _log.info(
            "Routes were planned.",
            model=model,
            routes=len(plan.routes),
            bound_tokens_per_s=plan.bound_tokens_per_s,
        )
        return state

    def _find_unplanned(self, model: str, layers: int, excluded: Collection[str]) -> Route | None:
        """Find a route outside the plan.

        The plan may have none left after the loss of a replica that it doesn't reflect yet.
        """
        usable = [e for e in self._fleet.engines(model) if e.replica not in excluded]

        def free_share(engine: EngineTarget) -> float:
            return self._fleet.free_share(engine.replica)

        return find_route(model, layers, usable, lambda found: max(found, key=free_share))


def create_router(
    fleet: Fleet,
    clock: Clock,
    own_failure_domain: str,
    seed: int,
    links: Callable[[], Sequence[Link]] = lambda: (),
    create_picker: CreatePicker | None = None,
) -> Router:
    """Build a router over a fleet.

    Args:
        fleet: The backend servers.
        clock: Source of time.
        own_failure_domain: Failure domain of this host.
        seed: Seed of the random choices.
        links: Returns the limits of the links between failure domains.
        create_picker: Builds the picker of a plan; `None` for the planned policy.

    Returns:
        The router.
    """
    pickers = create_picker or planned_pickers(own_failure_domain, random.Random(seed))
    return Router(fleet, clock, pickers, links)
