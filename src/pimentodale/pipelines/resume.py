"""Where a resumed generation gets its KV cache from."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from pimentodale.platform.engine_messages import Hop
    from pimentodale.routing.routes import Route


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
