"""Routes for requests, from a plan for each model that follows the fleet."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.routing.pick import create_planned_picker, find_route
from pimentodale.routing.prefix_index import create_prefix_index
from pimentodale.routing.route_plan import plan_routes
from pimentodale.routing.routes import Route, RouteOutcome

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pimentodale.clock import Clock
    from pimentodale.platform.targets import EngineTarget
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.pick import Picker
    from pimentodale.routing.prefix_index import PrefixIndex
    from pimentodale.routing.route_plan import Link, RoutePlan

PLAN_INTERVAL_MS: Final = 200.0
"""Shortest time between two plans of a model."""

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

    __slots__ = (
        "_clock",
        "_fleet",
        "_links",
        "_models",
        "_own_failure_domain",
        "_prefixes",
        "_rng",
    )

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        own_failure_domain: str,
        rng: random.Random,
        links: Sequence[Link],
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._own_failure_domain = own_failure_domain
        self._rng = rng
        self._links = links
        self._models: dict[str, _ModelState] = {}
        self._prefixes = create_prefix_index()

    @property
    def prefixes(self) -> PrefixIndex:
        """Which engines are thought to hold which prefixes."""
        return self._prefixes

    def pick_route(
        self,
        model: str,
        layers: int,
        prompt_prefix_hash: str = "",
        excluded: Collection[str] = (),
    ) -> Route | None:
        """Choose a route for one attempt.

        Args:
            model: The model.
            layers: Its layers.
            prompt_prefix_hash: Hash of the prompt's prefix; empty if it has none.
            excluded: Replicas that the route may not have.

        Returns:
            The route, or `None` if no usable engines tile the layers.
        """
        state = self._models.get(model)
        if state is None or state.layers != layers:
            state = self._plan(model, layers)
        route = state.pick(excluded, self._prefixes.holders(prompt_prefix_hash))
        if route is not None:
            return route
        return self._find_unplanned(model, layers, excluded)

    def started(self, route: Route, prompt_prefix_hash: str = "") -> None:
        """Count a stream that starts on a route."""
        for hop in route.hops:
            status = self._fleet.status(hop.replica)
            if status is not None:
                status.in_flight += 1
        if prompt_prefix_hash:
            self._prefixes.note_stored(prompt_prefix_hash, route.hops[0].replica)

    def ended(self, route: Route, outcome: RouteOutcome) -> None:
        """Count off a stream that `started` counted."""
        for hop in route.hops:
            status = self._fleet.status(hop.replica)
            if status is not None:
                status.in_flight = max(0, status.in_flight - 1)
        if outcome is RouteOutcome.LOST:
            _log.info("A route was lost.", replicas=route.replicas)

    def replan(self) -> None:
        """Plan anew each model whose engines changed; call it regularly off the request path."""
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

    def _plan(self, model: str, layers: int) -> _ModelState:
        """Plan one model now."""
        revision = self._fleet.revision
        plan = plan_routes(model, layers, self._fleet.engines(model), self._links)
        pick = create_planned_picker(plan, self._fleet, self._own_failure_domain, self._rng)
        state = _ModelState(layers, plan, pick, revision, self._clock.now_ms())
        self._models[model] = state
        return state

    def _find_unplanned(self, model: str, layers: int, excluded: Collection[str]) -> Route | None:
        """Find any route where the plan has none left, as after a loss that it doesn't know yet."""
        usable = [e for e in self._fleet.engines(model) if e.replica not in excluded]

        def free_slots(engine: EngineTarget) -> int:
            status = self._fleet.status(engine.replica)
            return 0 if status is None else status.free_slots

        return find_route(model, layers, usable, lambda found: max(found, key=free_slots))


def create_router(
    fleet: Fleet,
    clock: Clock,
    own_failure_domain: str,
    seed: int,
    links: Sequence[Link] = (),
) -> Router:
    """Build a router over a fleet.

    Args:
        fleet: The backend servers.
        clock: Tells the time.
        own_failure_domain: Failure domain of this host.
        seed: Seed of its random choices.
        links: Limits of the links between failure domains.

    Returns:
        The router.
    """
    return Router(fleet, clock, own_failure_domain, random.Random(seed), links)
