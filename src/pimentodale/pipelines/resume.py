"""Reuse of stages and KV caches when a generation is resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.routing.routes import Route

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pimentodale.clients.engine_messages import Hop


def choose_kv_source(last_route: Route | None, route: Route, lost: Collection[str]) -> str:
    """Choose the engine of the last route from which the most KV cache can be imported.

    Stages that stay in the route have their KV cache already. A new stage may import it, and so
    avoid the prefill, from a live replica of the last route that held all of the stage's layers.

    Args:
        last_route: Route of the previous attempt, if there was one.
        route: The new route.
        lost: Replicas that were lost together with their caches.

    Returns:
        The engine's `IP:PORT`; empty if there is none.
    """
    if last_route is None:
        return ""
    staying = set(route.replicas)
    new_hops = [hop for hop in route.hops if hop.replica not in last_route.replicas]
    best, best_layers = "", 0
    for source in last_route.hops:
        if source.replica in lost or source.replica in staying:
            continue
        layers = sum(_importable_layers(source, hop) for hop in new_hops)
        if layers > best_layers:
            best, best_layers = source.address, layers
    return best


def _importable_layers(source: Hop, hop: Hop) -> int:
    """Return how many layers' KV cache a new stage can import from a source: all or none."""
    if source.first_layer > hop.first_layer or source.last_layer < hop.last_layer:
        return 0
    return hop.last_layer - hop.first_layer


def reuse_stages(last_route: Route | None, route: Route, is_usable: Callable[[str], bool]) -> Route:
    """Replace stages of a new route by those of the last one, which have the KV cache already.

    Args:
        last_route: Route of the previous attempt, if there was one.
        route: The new route.
        is_usable: Returns whether a replica may be used again.

    Returns:
        The new route, with each stage replaced for which the last route has a usable one of the
        same layers.
    """
    if last_route is None:
        return route
    old_hops = {
        (hop.first_layer, hop.last_layer): hop for hop in last_route.hops if is_usable(hop.replica)
    }
    hops = tuple(old_hops.get((hop.first_layer, hop.last_layer), hop) for hop in route.hops)
    return Route(route.model, hops)
