"""Determines whether a replica has crashed or only a connection to it was lost."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import parse_address
from pimentodale.clients.engine_client import read_load

if TYPE_CHECKING:
    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.clients.engine_messages import Hop
    from pimentodale.pipelines.context import PipelineContext, Progress
    from pimentodale.routing.routes import Route

PROBE_TIMEOUT_MS: Final = 300.0
"""Timeout of a liveness probe."""


class Loss(StrEnum):
    """What happened to a replica."""

    NONE = "none"
    """It refused, gave an invalid answer or lost only a connection."""

    CRASHED = "crashed"
    """Its process ended with the work in progress."""

    UNKNOWN = "unknown"
    """It does not answer: frozen, partitioned, or its host is down."""


async def diagnose_loss(progress: Progress, route: Route, replica: str, fault: EngineFault) -> Loss:
    """Probe a replica over a new connection after a fault that was attributed to it.

    Args:
        progress: The generation.
        route: Route of the attempt.
        replica: The replica.
        fault: How the attempt failed.

    Returns:
        What happened to the replica.
    """
    if fault.malformed:
        return Loss.NONE
    if fault.refused is not None:
        # The request was not run, so it can't have crashed a stage that the engine couldn't reach.
        return Loss.UNKNOWN if fault.refused.stage_lost else Loss.NONE
    if fault.silent or not fault.sent:
        return Loss.UNKNOWN
    hop = next((hop for hop in route.hops if hop.replica == replica), None)
    if hop is None:
        return Loss.UNKNOWN
    return await _probe_once(progress.ctx, hop)


async def crashed_replicas(ctx: PipelineContext, route: Route) -> list[str]:
    """Probe every stage of a route and return the replicas that crashed."""
    losses = await asyncio.gather(*[_probe_once(ctx, hop) for hop in route.hops])
    return [
        hop.replica for hop, loss in zip(route.hops, losses, strict=True) if loss is Loss.CRASHED
    ]


async def _probe_once(ctx: PipelineContext, hop: Hop) -> Loss:
    """Probe one replica, or wait for the result of another stream's probe in progress."""
    probe = ctx.pending_probes.get(hop.address)
    if probe is None:
        probe = asyncio.create_task(_probe(ctx, hop))
        ctx.pending_probes[hop.address] = probe
        probe.add_done_callback(lambda _task: ctx.pending_probes.pop(hop.address, None))
    # Other streams may still wait for the probe when one caller disconnects.
    return await asyncio.shield(probe)


async def _probe(ctx: PipelineContext, hop: Hop) -> Loss:
    """Probe one replica over a new connection."""
    boot_id = ctx.boot_id_of(hop.replica)
    report = await read_load(parse_address(hop.address), PROBE_TIMEOUT_MS)
    if report.is_ok():
        restarted = bool(boot_id) and report.ok.boot_id != boot_id
        return Loss.CRASHED if restarted else Loss.NONE
    if report.error.malformed:
        # Its process runs, as it has answered.
        return Loss.NONE
    return Loss.UNKNOWN if report.error.silent else Loss.CRASHED
