"""Builds a route stage by stage, without a plan."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.clients.engine_messages import Hop
from pimentodale.routing.routes import Route

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.clients.targets import EngineTarget


def find_route(
    model: str,
    layers: int,
    engines: Sequence[EngineTarget],
    choose: Callable[[list[EngineTarget]], EngineTarget],
) -> Route | None:
    """Build a route from engines, skipping those that lead to a dead end.

    Args:
        model: The model.
        layers: Number of its layers.
        engines: Engines that may be used.
        choose: Chooses one of the engines that can continue from the layer reached.

    Returns:
        The route, or `None` if the engines don't cover all layers.
    """
    viable = _engines_that_can_reach_end(layers, engines)
    hops: list[Hop] = []
    reached = 0
    while reached < layers:
        candidates = [e for e in viable if e.first_layer <= reached < e.last_layer]
        if not candidates:
            return None
        engine = choose(candidates)
        hops.append(Hop(engine.replica, str(engine.address), reached, engine.last_layer))
        reached = engine.last_layer
    return Route(model, tuple(hops))


def _engines_that_can_reach_end(layers: int, engines: Sequence[EngineTarget]) -> list[EngineTarget]:
    """Return the engines after whose last layer the remaining layers can be covered."""
    found: list[EngineTarget] = []
    for engine in sorted(engines, key=lambda engine: -engine.last_layer):
        end = engine.last_layer
        if end == layers or any(e.first_layer <= end < e.last_layer for e in found):
            found.append(engine)
    return found
