"""Where a resumed generation gets its KV cache from."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pimentodale.platform.engine_messages import Hop


def choose_kv_source(last_route: Sequence[Hop], route: Sequence[Hop], lost: Collection[str]) -> str:
    """Choose the engine of the last route that can spare the new route the most prefill.

    Stages that stay in the route have their KV cache already. A stage that is new may import it from
    one that held its layers and still lives.

    Args:
        last_route: Route of the attempt before; empty for none.
        route: The new route.
        lost: Replicas that are gone with their caches.

    Returns:
        Its `IP:PORT`; empty when none can.
    """
    staying = {hop.replica for hop in route}
    best, best_layers = "", 0
    for source in last_route:
        if source.replica in lost or source.replica in staying:
            continue
        layers = sum(_spared_layers(source, hop, last_route) for hop in route)
        if layers > best_layers:
            best, best_layers = source.address, layers
    return best


def _spared_layers(source: Hop, hop: Hop, last_route: Sequence[Hop]) -> int:
    """Return the layers of a new stage whose KV cache a source covers."""
    if any(hop.replica == last.replica for last in last_route):
        return 0
    if source.first_layer > hop.first_layer or source.last_layer < hop.last_layer:
        return 0
    return hop.last_layer - hop.first_layer
