"""Stages and KV caches that a resumed generation keeps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.routing.routes import Route

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pimentodale.clients.engine_messages import Hop


def choose_kv_source(last_route: Route | None, route: Route, lost: Collection[str]) -> str:
    """Choose the engine of the last route that can spare the new route the most prefill.

    Stages that stay in the route have their KV cache already. A stage that is new may import it from
    one that held its layers and still lives.

    Args:
        last_route: Route of the attempt before, if there was one.
        route: The new route.
        lost: Replicas that are gone with their caches.

    Returns:
        Its `IP:PORT`; empty when none can.
    """
    if last_route is None:
        return ""
    staying = set(route.replicas)
    new_hops = [hop for hop in route.hops if hop.replica not in last_route.replicas]
    best, best_layers = "", 0
    for source in last_route.hops:
        if source.replica in lost or source.replica in staying:
            continue
        layers = sum(_spared_layers(source, hop) for hop in new_hops)
        if layers > best_layers:
            best, best_layers = source.address, layers
    return best


def _spared_layers(source: Hop, hop: Hop) -> int:
    """Return the layers of a new stage whose KV cache a source covers."""
    if source.first_layer > hop.first_layer or source.last_layer < hop.last_layer:
        return 0
    return hop.last_layer - hop.first_layer


def keep_stages(last_route: Route | None, route: Route, is_usable: Callable[[str], bool]) -> Route:
    """Put stages of the last route back into a new one, as they have the KV cache already.

    Args:
        last_route: Route of the attempt before, if there was one.
        route: The new route.
        is_usable: Tells whether a replica may be used again.

    Returns:
        The new route with each stage that an old one of the same layers can stand for.
    """
    if last_route is None:
        return route
    old_hops = {
        (hop.first_layer, hop.last_layer): hop for hop in last_route.hops if is_usable(hop.replica)
    }
    hops = tuple(old_hops.get((hop.first_layer, hop.last_layer), hop) for hop in route.hops)
    return Route(route.model, hops)
