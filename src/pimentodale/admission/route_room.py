"""Room on a model's routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.admission.rooms import Room
from pimentodale.routing.routes import RouteOutcome

if TYPE_CHECKING:
    from pimentodale.routing.router import Router
    from pimentodale.routing.windows import RouteUse


def create_route_room(router: Router, model: str, layers: int) -> Room[RouteUse]:
    """Build the room of one model; a grant is a stream counted on a route that had room.

    Args:
        router: Chooses the routes.
        model: The model.
        layers: Its layers.

    Returns:
        The room; its hint is the hash of a prompt's prefix.
    """

    def acquire(prompt_prefix_hash: str) -> RouteUse | None:
        return router.acquire(model, layers, prompt_prefix_hash)

    def acquire_beyond(prompt_prefix_hash: str) -> RouteUse | None:
        return router.acquire_beyond(model, layers, prompt_prefix_hash)

    def give_back(use: RouteUse) -> None:
        # Whoever ran the stream has ended its use already, with the true outcome.
        use.end(RouteOutcome.CANCELLED)

    return Room(acquire, acquire_beyond, give_back)
