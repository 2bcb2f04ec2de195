"""Attributes the fault of an attempt to a replica on its route."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.engine_messages import EngineRefusal

if TYPE_CHECKING:
    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.routes import Route

LOST_BACKOFF_MS: Final = 1_000.0
"""How long no new work is sent to a lost replica."""


def attribute_fault(route: Route, fault: EngineFault) -> str:
    """Return the replica that a fault is attributed to: a stage that it names, else the first one.

    Args:
        route: The attempt's route.
        fault: How the attempt failed.
    """
    refused = fault.refused or EngineRefusal()
    named = fault.stage_lost or refused.busy or refused.leaving or refused.stage_lost
    return named or route.hops[0].replica


def record_fault(fleet: Fleet, replica: str, fault: EngineFault) -> None:
    """Mark a replica as leaving, busy or down in the fleet.

    Args:
        fleet: The backend servers.
        replica: The replica, from `attribute_fault`.
        fault: How the attempt failed.
    """
    if fault.refused is not None and fault.refused.leaving:
        fleet.mark_leaving(replica)
        return
    if fault.refused is not None and fault.refused.busy:
        fleet.mark_busy(replica)
        return
    fleet.mark_down(replica, LOST_BACKOFF_MS)
