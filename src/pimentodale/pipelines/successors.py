"""Determines whether a silent generation can go on elsewhere, before its attempt is given up.

Silence doesn't show that an attempt is lost: its engines may pause and go on. So a silent attempt is
given up only once the next one is certain: an attempt is left, a route is free whose engines answer,
and the retry budget has paid for it. Otherwise the attempt is listened to until the deadline.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import parse_address
from pimentodale.clients.engine_client import read_load
from pimentodale.pipelines.fault_attribution import attribute_fault
from pimentodale.pipelines.quarantine_tracking import refuse_if_convicted
from pimentodale.pipelines.resume import reuse_stages

if TYPE_CHECKING:
    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.clients.engine_messages import Hop
    from pimentodale.pipelines.context import PipelineContext, Progress
    from pimentodale.routing.routes import Route

MAX_ATTEMPTS: Final = 6
"""Maximum failed attempts of one generation."""

PROBE_TIMEOUT_MS: Final = 300.0
"""Timeout of the check whether an engine of the next route answers."""


async def secure_successor(progress: Progress, route: Route, fault: EngineFault) -> bool:
    """Make sure that a generation can go on after its silent attempt is given up.

    If it can, its retry is paid for and the next route is set in `progress`.

    Args:
        progress: The generation.
        route: Route of the silent attempt.
        fault: Why the attempt would be given up.

    Returns:
        Whether the attempt may be given up.
    """
    if refuse_if_convicted(progress) is not None:
        # It is refused for the crashes that it caused, not for silence.
        return True
    if not progress.generation.repeatable or progress.failed_attempts + 1 >= MAX_ATTEMPTS:
        return False
    next_route: Route | None = None
    if not fault.connection_lost:
        next_route = _find_route(progress, route, attribute_fault(route, fault))
        if next_route is None or not await _answers(progress.ctx, next_route):
            return False
    if not _pay_for_resume(progress):
        return False
    if not progress.on_trial:
        progress.next_route = next_route
    return True


def _find_route(progress: Progress, last: Route, faulty: str) -> Route | None:
    """Find a route without a faulty replica; it keeps the other stages of the last one."""
    generation, ctx = progress.generation, progress.ctx
    model, quarantine = generation.model, ctx.quarantine
    unusable = progress.excluded.union(progress.busy, [faulty])
    on_trial = set() if quarantine is None else set(quarantine.trials.trial_replicas)
    for avoided in (unusable | on_trial, unusable):
        found = ctx.router.pick_route(model.name, model.layers, generation.prefix_hash, avoided)
        if found is None:
            continue
        usable = {
            name for name in last.replicas if name not in avoided and ctx.fleet.is_usable(name)
        }
        return reuse_stages(last, found, usable.__contains__)
    return None


async def _answers(ctx: PipelineContext, route: Route) -> bool:
    """Return whether all engines of a route answer now."""
    return all(await asyncio.gather(*[_probe_once(ctx, hop) for hop in route.hops]))


async def _probe_once(ctx: PipelineContext, hop: Hop) -> bool:
    """Probe one engine, or wait for the result of another stream's probe in progress."""
    probe = ctx.pending_answers.get(hop.address)
    if probe is None:
        probe = asyncio.create_task(_probe(hop))
        ctx.pending_answers[hop.address] = probe
        probe.add_done_callback(lambda _task: ctx.pending_answers.pop(hop.address, None))
    # Other streams may still wait for the probe when one caller disconnects.
    return await asyncio.shield(probe)


async def _probe(hop: Hop) -> bool:
    """Return whether an engine answers over a new connection."""
    return (await read_load(parse_address(hop.address), PROBE_TIMEOUT_MS)).is_ok()


def _pay_for_resume(progress: Progress) -> bool:
    """Take the retry of a resume from the budget; the first resume costs nothing."""
    if progress.resumed and not progress.is_resume_paid:
        progress.is_resume_paid = progress.ctx.spend_retry()
        return progress.is_resume_paid
    return True
