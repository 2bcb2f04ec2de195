"""Whether a replica whose stream broke off has crashed, or only the connection."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import parse_address
from pimentodale.clients.engine_client import read_load

if TYPE_CHECKING:
    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.clients.engine_messages import Hop
    from pimentodale.pipelines.means import PipelineMeans, Progress
    from pimentodale.routing.routes import Route

PROBE_TIMEOUT_MS: Final = 300.0
"""Longest wait for a replica that is asked whether it lives."""


class Loss(StrEnum):
    """What became of a replica."""

    NONE = "none"
    """It refused, answered wrongly or lost only a connection."""

    CRASHED = "crashed"
    """Its process ended with the work in progress."""

    UNKNOWN = "unknown"
    """It does not answer: frozen, cut off, or its host is gone."""


async def examine_loss(progress: Progress, route: Route, replica: str, fault: EngineFault) -> Loss:
    """Ask a suspect over a fresh connection whether it lives.

    Args:
        progress: The generation.
        route: Route of the attempt.
        replica: The suspect.
        fault: How the attempt failed.

    Returns:
        What became of the suspect.
    """
    if fault.malformed:
        return Loss.NONE
    if fault.refused is not None:
        # It ran nothing, so a stage that it could not reach did not crash of it.
        return Loss.UNKNOWN if fault.refused.stage_lost else Loss.NONE
    if fault.silent or not fault.sent:
        return Loss.UNKNOWN
    hop = next((hop for hop in route.hops if hop.replica == replica), None)
    if hop is None:
        return Loss.UNKNOWN
    return await _look(progress.means, hop)


async def crashed_replicas(means: PipelineMeans, route: Route) -> list[str]:
    """Ask every stage of a route whether it lives, and return those that crashed."""
    losses = await asyncio.gather(*[_look(means, hop) for hop in route.hops])
    return [
        hop.replica for hop, loss in zip(route.hops, losses, strict=True) if loss is Loss.CRASHED
    ]


async def _look(means: PipelineMeans, hop: Hop) -> Loss:
    """Ask one replica, or wait for the answer that another stream asks for at this moment."""
    look = means.looks.get(hop.address)
    if look is None:
        look = asyncio.create_task(_ask(means, hop))
        means.looks[hop.address] = look
        look.add_done_callback(lambda _look: means.looks.pop(hop.address, None))
    # The others still wait when one caller goes away.
    return await asyncio.shield(look)


async def _ask(means: PipelineMeans, hop: Hop) -> Loss:
    """Ask one replica over a fresh connection."""
    boot_id = means.boot_id_of(hop.replica)
    report = await read_load(parse_address(hop.address), PROBE_TIMEOUT_MS)
    if report.is_ok():
        started_anew = bool(boot_id) and report.ok.boot_id != boot_id
        return Loss.CRASHED if started_anew else Loss.NONE
    return Loss.UNKNOWN if report.error.silent else Loss.CRASHED
