"""What a failed attempt says about the replicas on its route."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.engine_messages import EngineRefusal

if TYPE_CHECKING:
    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.routes import Route

LOST_PAUSE_MS: Final = 1_000.0
"""How long a replica that was lost gets no new work."""


def suspect_of(route: Route, fault: EngineFault) -> str:
    """Name the replica that a fault speaks of: a stage that it names, else the head.

    Args:
        route: The attempt's route.
        fault: How the attempt failed.
    """
    refused = fault.refused or EngineRefusal()
    named = fault.stage_lost or refused.busy or refused.leaving or refused.stage_lost
    return named or route.hops[0].replica


def note_fault(fleet: Fleet, replica: str, fault: EngineFault) -> None:
    """Let the fleet know what was seen of a replica.

    Args:
        fleet: The backend servers.
        replica: From `suspect_of`.
        fault: How the attempt failed.
    """
    if fault.refused is not None and fault.refused.leaving:
        fleet.mark_leaving(replica)
        return
    if fault.refused is not None and fault.refused.busy:
        fleet.mark_busy(replica)
        return
    fleet.mark_down(replica, LOST_PAUSE_MS)
