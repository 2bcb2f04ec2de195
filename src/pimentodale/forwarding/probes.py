"""Probes of replicas that count as down, or of which something asked whether they answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from expression import Result

    from pimentodale.forwarding.context import ForwardingContext
    from pimentodale.site.model import ReplicaRecord
    from pimentodale.site.replica_health import Incarnation


PROBE_TICK_MS: Final = 100.0
"""Interval between checks for replicas that are due for a probe while none is requested."""

MIN_ROUND_MS: Final = 20.0
"""Minimum time between two rounds of requested probes, as many requests may ask for the same ones."""


async def run_probes(ctx: ForwardingContext) -> None:
    """Probe replicas until cancelled: requested ones at once, others when they are due.

    Streams that a lost replica interrupts go on elsewhere only once a probe has shown the loss.

    Args:
        ctx: State shared by all requests.
    """
    while True:
        is_requested = await ctx.replica_health.wait_for_probe_request(PROBE_TICK_MS)
        await probe_due_replicas(ctx)
        if is_requested:
            await ctx.clock.sleep_ms(MIN_ROUND_MS)


async def probe_due_replicas(ctx: ForwardingContext) -> None:
    """Probe the replicas that are due, and update what is known of them.

    Args:
        ctx: State shared by all requests.
    """
    known = {incarnation_of(replica): replica for replica in ctx.view.replicas.values()}
    probes = []
    for incarnation in ctx.replica_health.due_probes():
        if incarnation in known:
            probes.append(_probe_known(ctx, known[incarnation]))
        else:
            probes.append(_probe_departed(ctx, incarnation))
    await asyncio.gather(*probes)


async def _probe_known(ctx: ForwardingContext, replica: ReplicaRecord) -> None:
    """Probe a replica that has a record."""
    incarnation = incarnation_of(replica)
    started_ms = await _probe(ctx, replica)
    if started_ms.is_error():
        ctx.replica_health.note_failed_probe(incarnation, started_ms.error)
        return
    if started_ms.ok in (0, replica.started_ms):
        ctx.replica_health.mark_up(incarnation)
    if replica.started_ms and started_ms.ok == replica.started_ms:
        ctx.crashes.note_alive(incarnation)


async def _probe_departed(ctx: ForwardingContext, incarnation: Incarnation) -> None:
    """Probe a replica whose record is gone, until it is known to have ended."""
    view, health = ctx.view, ctx.replica_health
    replica = view.departed.find(incarnation[0])
    if replica is None or view.departed.gone_since_ms(incarnation) is None:
        health.forget(incarnation)
        return
    if health.is_confirmed_down(replica):
        view.departed.note_ended(incarnation, "it had failed a probe before")
        health.forget(incarnation)
        return
    started_ms = await _probe(ctx, replica)
    if started_ms.is_ok() and started_ms.ok in (0, replica.started_ms):
        health.mark_up(incarnation)
        return
    reason = started_ms.error if started_ms.is_error() else "another one stands at its address"
    view.departed.note_ended(incarnation, reason)
    health.forget(incarnation)


async def _probe(ctx: ForwardingContext, replica: ReplicaRecord) -> Result[int, str]:
    """Probe one replica; a pause of this process is not held against it."""
    return await ctx.own_pauses.ask(lambda: ctx.engines.probe(replica))
