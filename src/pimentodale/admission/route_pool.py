"""Grant pool over the routes of a model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.admission.grant_pools import GrantPool
from pimentodale.routing.routes import RouteOutcome

if TYPE_CHECKING:
    from pimentodale.routing.route_limits import RouteUse
    from pimentodale.routing.router import Router


def create_route_pool(router: Router, model: str, layers: int) -> GrantPool[RouteUse]:
    """Create the pool of one model; a grant is a stream counted on a route with free capacity.

    Args:
        router: Chooses the routes.
        model: The model.
        layers: Number of its layers.

    Returns:
        The pool; its hint is the hash of a prompt's prefix.
    """

    def acquire(prompt_prefix_hash: str) -> RouteUse | None:
        return router.acquire(model, layers, prompt_prefix_hash)

    def acquire_over_limit(prompt_prefix_hash: str) -> RouteUse | None:
        return router.acquire_over_limit(model, layers, prompt_prefix_hash)

    def give_back(use: RouteUse) -> None:
        # A stream that ran has ended its use already, with its actual outcome.
        use.end(RouteOutcome.CANCELLED)

    return GrantPool(acquire, acquire_over_limit, give_back)
