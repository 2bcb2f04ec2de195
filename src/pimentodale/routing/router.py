"""Routes for requests, from a plan for each model that follows the fleet."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.routing.pick import planned_pickers
from pimentodale.routing.prefix_index import create_prefix_index
from pimentodale.routing.route_plan import plan_routes
from pimentodale.routing.stages import find_route
from pimentodale.routing.windows import create_windows

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from pimentodale.clients.targets import EngineTarget
    from pimentodale.clock import Clock
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.pick import CreatePicker, Picker
    from pimentodale.routing.prefix_index import PrefixIndex
    from pimentodale.routing.route_plan import Link, PlannedRoute, RoutePlan
    from pimentodale.routing.routes import Route, RouteOutcome
    from pimentodale.routing.windows import RouteUse, Windows

PLAN_INTERVAL_MS: Final = 200.0
"""Shortest time between two plans of a model."""

_BEYOND_DRAWS: Final = 6
"""Routes that are drawn for a stream beyond the routes' limits: nine in ten such streams see a fast one
where a third of the fleet's rate is."""

_log = get_log("routing")


class _ModelState:
    """The plan of one model and how it is picked from."""

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
    """Picks routes and counts the streams on them."""

    __slots__ = ("_clock", "_create_picker", "_fleet", "_links", "_models", "prefixes", "windows")

    prefixes: PrefixIndex
    """Which engines are thought to hold which prefixes."""

    windows: Windows
    """How many streams each route carries at once."""

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
        self.windows = create_windows(fleet, clock)

    def pick_route(
        self,
        model: str,
        layers: int,
        prompt_prefix_hash: str = "",
        excluded: Collection[str] = (),
    ) -> Route | None:
        """Choose a route, whether it has room or not.

        Args:
            model: The model.
            layers: Its layers.
            prompt_prefix_hash: Hash of the prompt's prefix; empty if it has none.
            excluded: Replicas that the route may not have.

        Returns:
            The route, or `None` if no usable engines tile the layers.
        """
        pick = self._state_of(model, layers).pick
        route = pick(excluded, self.prefixes.holders(prompt_prefix_hash), False)
        if route is not None:
            return route
        return self._find_unplanned(model, layers, excluded)

    def acquire(self, model: str, layers: int, prompt_prefix_hash: str = "") -> RouteUse | None:
        """Choose a route that has room and count a stream on it.

        Args:
            model: The model.
            layers: Its layers.
            prompt_prefix_hash: Hash of the prompt's prefix; empty if it has none.

        Returns:
            The stream's use of the route, which must be ended; `None` if there is no room now.
        """
        pick = self._state_of(model, layers).pick
        route = pick((), self.prefixes.holders(prompt_prefix_hash), True)
        if route is None:
            return None
        return self.started(route, prompt_prefix_hash)

    def acquire_beyond(
        self, model: str, layers: int, prompt_prefix_hash: str = ""
    ) -> RouteUse | None:
        """Likewise, with no regard to the routes' limits, as long as engines have free slots.

        Such a stream goes before others in an engine's batch, but waits for the step under way, so
        that fast routes are taken first.
        """
        best: Route | None = None
        best_ms = 0.0
        for _ in range(_BEYOND_DRAWS):
            route = self.pick_route(model, layers, prompt_prefix_hash)
            if route is None:
                break
            free_share = min(self._fleet.free_share(hop.replica) for hop in route.hops)
            if free_share <= 0.0:
                continue
            # Such a stream waits for the step under way alone, half a step on average.
            expected_ms = self.windows.usual_ms(route) * (1.5 - 0.5 * free_share)
            if best is None or expected_ms < best_ms:
                best, best_ms = route, expected_ms
        return None if best is None else self.started(best, prompt_prefix_hash)

    def started(self, route: Route, prompt_prefix_hash: str = "") -> RouteUse:
        """Count a stream that starts on a route; it must be ended."""
        if prompt_prefix_hash:
            self.prefixes.note_stored(prompt_prefix_hash, route.hops[0].replica)
        self._fleet.note_sent(route.replicas)
        return self.windows.use(route)

    def ended(self, route: Route, outcome: RouteOutcome) -> None:
        """Count off a stream that `started` counted, in place of ending its use."""
        self.windows.ended(route, outcome)

    def has_route(self, model: str, layers: int) -> bool:
        """Whether usable engines tile the layers, with room or without."""
        return self.pick_route(model, layers) is not None

    def held_off_ms(self, model: str) -> float:
        """Return when an engine of a model that asked for time takes work again, in ms; 0 if none did."""
        return self._fleet.held_off_ms(model)

    def replan(self) -> None:
        """Plan anew each model whose engines changed; call it regularly off the request path."""
        self._fleet.note_recovered()
        now_ms = self._clock.now_ms()
        for model, state in list(self._models.items()):
            if state.fleet_revision == self._fleet.revision:
                continue
            if now_ms - state.planned_at_ms < PLAN_INTERVAL_MS:
                continue
            self._plan(model, state.layers)

    def bound_tokens_per_s(self, model: str) -> float:
        """Return the plan's bound; 0 before the first request for the model."""
        state = self._models.get(model)
        return 0.0 if state is None else state.plan.bound_tokens_per_s

    def plan_of(self, model: str) -> Sequence[PlannedRoute]:
        """Return a model's planned routes; none before the first request for it."""
        state = self._models.get(model)
        return () if state is None else state.plan.routes

    def _state_of(self, model: str, layers: int) -> _ModelState:
        """Return a model's plan; plan it if there is none yet."""
        state = self._models.get(model)
        if state is None or state.layers != layers:
            return self._plan(model, layers)
        return state

    def _plan(self, model: str, layers: int) -> _ModelState:
        """Plan one model now."""
        revision = self._fleet.revision
        engines = self._fleet.engines(model)
        plan = plan_routes(model, layers, engines, self._links())
        pick = self._create_picker(plan, engines, self._fleet, self.windows.free_share)
        state = _ModelState(layers, plan, pick, revision, self._clock.now_ms())
        self._models[model] = state
        self.windows.apply_plan(plan.routes)
        planned = {p.route for kept in self._models.values() for p in kept.plan.routes}
        self.windows.forget_unused(planned)
        _log.info(
            "Routes were planned.",
            model=model,
            routes=len(plan.routes),
            bound_tokens_per_s=plan.bound_tokens_per_s,
        )
        return state

    def _find_unplanned(self, model: str, layers: int, excluded: Collection[str]) -> Route | None:
        """Find any route where the plan has none left, as after a loss that it doesn't know yet."""
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
        clock: Tells the time.
        own_failure_domain: Failure domain of this host.
        seed: Seed of its random choices.
        links: Returns the limits of the links between failure domains.
        create_picker: Builds the picker of a plan; `None` for the planned one.

    Returns:
        The router.
    """
    pickers = create_picker or planned_pickers(own_failure_domain, random.Random(seed))
    return Router(fleet, clock, pickers, links)
