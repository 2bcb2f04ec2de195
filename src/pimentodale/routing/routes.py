"""Routes: ordered hops that run every layer of a model once."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from pimentodale.clients.engine_messages import Hop


class RouteOutcome(StrEnum):
    """How a stream on a route ended."""

    SERVED = "served"
    """The complete answer was received."""

    BUSY = "busy"
    """A stage had no free slot; nothing was run."""

    LEAVING = "leaving"
    """A stage accepts no new work; nothing was run."""

    LOST = "lost"
    """A stage or its connection was lost."""

    CANCELLED = "cancelled"
    """The caller disconnected, or the work was abandoned."""


class Route(msgspec.Struct, frozen=True):
    """A model and the hops that run its layers in order."""

    model: str
    """Model that the route runs."""

    hops: tuple[Hop, ...]
    """Stages; the first is the engine that is called."""

    @property
    def replicas(self) -> list[str]:
        """Names of the stages' engines, in order."""
        return [hop.replica for hop in self.hops]


def tiles(route: Route, layers: int) -> bool:
    """Return whether a route runs each of the layers 0 to `layers` - 1 once, in order."""
    reached = 0
    for hop in route.hops:
        if hop.first_layer != reached or hop.last_layer <= hop.first_layer:
            return False
        reached = hop.last_layer
    return reached == layers
