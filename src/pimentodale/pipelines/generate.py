"""Runs one generation, with retries on other routes, until it is complete or refused.

The caller receives each verified token once, in order. A repeatable generation that loses its route
resumes on another one after its last verified token.
"""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.clients.engine_client import EngineFault
from pimentodale.pipelines.attempt import GenerationEvent, run_attempt
from pimentodale.pipelines.context import FirstByteGate, PipelineContext, Progress, describe_route
from pimentodale.pipelines.fault_attribution import attribute_fault, record_fault
from pimentodale.pipelines.loss_diagnosis import Loss, diagnose_loss
from pimentodale.pipelines.messages import Finished
from pimentodale.pipelines.quarantine_tracking import (
    check_for_trial,
    choose_trial_route,
    note_attempt_end,
    note_attempt_start,
    note_crash,
    note_disconnect,
    note_event,
    note_interrupted_stream,
    refuse_if_convicted,
    refuse_no_route,
)
from pimentodale.pipelines.resume import reuse_stages
from pimentodale.pipelines.successors import MAX_ATTEMPTS
from pimentodale.results import Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Collection

    from pimentodale.pipelines.messages import Generation
    from pimentodale.routing.route_limits import RouteUse
    from pimentodale.routing.routes import Route

__all__ = ["FirstByteGate", "GenerationEvent", "PipelineContext", "describe_route", "generate"]

BUSY_INITIAL_BACKOFF_MS: Final = 20.0
"""Initial backoff before busy replicas are tried again; it doubles with each round."""

MAX_BUSY_ROUNDS: Final = 3
"""Retry rounds over busy replicas, after which the generation is refused at once."""

MAX_DISJOINT_ROUTES: Final = 8
"""Disjoint routes to count at most; with that many, each suspect of a crash is tried alone."""

BUDGET_RETRY_AFTER_MS: Final = 1_000.0
"""Retry-After time of a refusal because the retry budget is spent."""


async def generate(
    generation: Generation,
    ctx: PipelineContext,
    gate: FirstByteGate | None = None,
    reserved: RouteUse | None = None,
) -> AsyncGenerator[Result[GenerationEvent, Refusal], None]:
    """Run a generation.

    Args:
        generation: The caller's request.
        ctx: Shared dependencies of generations.
        gate: Asked before the first byte is sent; required for non-repeatable work.
        reserved: Stream that admission has counted on the route of the first attempt.

    Yields:
        Verified tokens in order, then `Finished`; on failure, one refusal as the last event.
    """
    progress = Progress(generation, ctx, gate, reserved=reserved)
    await check_for_trial(progress)
    while True:
        refusal = _refusal_before_attempt(progress)
        chosen = Error(refusal) if refusal else await _choose_route(progress)
        if chosen.is_error():
            yield Error(chosen.error)
            return
        route = chosen.ok
        note_attempt_start(progress, route)
        try:
            fault = EngineFault("the stream ended early")
            async with aclosing(run_attempt(progress, route)) as events:
                async for event in events:
                    if event.is_error():
                        fault = event.error
                        note_interrupted_stream(progress, fault)
                        break
                    note_event(progress, event.ok)
                    yield Ok(event.ok)
                    if isinstance(event.ok, Finished):
                        ctx.note_success()
                        return
            refusal = await _handle_fault(progress, route, fault)
        except (GeneratorExit, asyncio.CancelledError):
            note_disconnect(progress, route)
            raise
        finally:
            note_attempt_end(progress)
        if refusal is not None:
            yield Error(refusal)
            return


def _refusal_before_attempt(progress: Progress) -> Refusal | None:
    """Return a refusal if time or attempts are used up, or the request is quarantined."""
    conviction = refuse_if_convicted(progress)
    if conviction is not None:
        return conviction
    if progress.remaining_ms <= 0:
        return progress.refuse_deadline_exceeded()
    if progress.failed_attempts >= MAX_ATTEMPTS:
        message = f"{MAX_ATTEMPTS} routes were tried without success; come back later."
        return progress.refuse(ResultCode.BACKEND_SERVER_LOST, message)
    return None


async def _choose_route(progress: Progress) -> Result[Route, Refusal]:
    """Choose the route of the next attempt and record the choice in the trace."""
    generation = progress.generation
    if progress.on_trial:
        chosen = await choose_trial_route(
            progress,
            lambda avoided: _pick(progress, avoided),
            lambda: _count_disjoint_routes(progress),
        )
    else:
        route = await _pick_or_wait(progress)
        chosen = Error(refuse_no_route(progress)) if route is None else Ok(route)
    progress.attempt += 1
    progress.ctx.tracer.note(
        "route",
        generation.request_id,
        generation.trace,
        attempt=str(progress.attempt),
        route=chosen.error.name if chosen.is_error() else describe_route(chosen.ok),
        excluded=" ".join(sorted(progress.excluded)),
    )
    return chosen


async def _pick_or_wait(progress: Progress) -> Route | None:
    """Choose a route; if all routes were busy, back off and try the busy replicas again."""
    while True:
        # Avoid replicas on which a request is on trial as long as there is another route.
        route = _pick(progress, _trial_replicas(progress)) or _pick(progress, set())
        if route is not None or not progress.busy:
            return route
        pause_ms = BUSY_INITIAL_BACKOFF_MS * 2**progress.busy_rounds
        if progress.busy_rounds == MAX_BUSY_ROUNDS or pause_ms >= progress.remaining_ms:
            return None
        progress.busy_rounds += 1
        progress.busy.clear()
        await progress.ctx.clock.sleep_ms(pause_ms)


def _trial_replicas(progress: Progress) -> Collection[str]:
    """Return the replicas on which this host has a request with strikes on trial."""
    quarantine = progress.ctx.quarantine
    return () if quarantine is None else quarantine.trials.trial_replicas


def _pick(progress: Progress, avoided: Collection[str]) -> Route | None:
    """Choose a route without the replicas that the generation excludes and those in `avoided`."""
    generation, ctx = progress.generation, progress.ctx
    last, model = progress.last_route, generation.model
    if progress.repeat_route and last is not None and not set(avoided).intersection(last.replicas):
        progress.repeat_route = False
        return last
    reserved, secured = progress.reserved, progress.next_route
    progress.next_route = None
    unusable = progress.excluded.union(avoided, progress.busy)
    if secured is not None and unusable.isdisjoint(secured.replicas):
        return secured
    if reserved is not None and unusable.isdisjoint(reserved.route.replicas):
        return reserved.route
    route = ctx.router.pick_route(model.name, model.layers, generation.prefix_hash, unusable)
    if route is None:
        return None
    return reuse_stages(
        last, route, lambda name: name not in avoided and _may_reuse(progress, name)
    )


def _count_disjoint_routes(progress: Progress) -> int:
    """Return how many disjoint routes the generation may take, up to the upper bound."""
    generation, router = progress.generation, progress.ctx.router
    model, unusable = generation.model, set(progress.excluded)
    for count in range(MAX_DISJOINT_ROUTES):
        route = router.pick_route(model.name, model.layers, generation.prefix_hash, unusable)
        if route is None:
            return count
        unusable.update(route.replicas)
    return MAX_DISJOINT_ROUTES


def _may_reuse(progress: Progress, replica: str) -> bool:
    """Return whether a stage of the last route may be used again."""
    is_avoided = replica in progress.excluded or replica in progress.busy
    return not is_avoided and progress.ctx.fleet.is_usable(replica)


async def _handle_fault(progress: Progress, route: Route, fault: EngineFault) -> Refusal | None:
    """Record a failed attempt; return a refusal if no other attempt may follow."""
    ctx = progress.ctx
    progress.last_route = route
    if progress.gate is not None and progress.gate.denied:
        message = "The work was given up before its first byte."
        return progress.refuse(ResultCode.CLAIM_LOST, message)
    if fault.refused is not None and fault.refused.busy:
        progress.busy.add(fault.refused.busy)
        if fault.hold_off_ms is not None:
            ctx.fleet.hold_off(fault.refused.busy, fault.hold_off_ms)
        ctx.metrics.retries["busy"] += 1
        return None
    progress.failed_attempts += 1
    if not fault.connection_lost:
        await _exclude_faulty_replica(progress, route, fault)
    if not fault.sent or fault.refused is not None:
        ctx.metrics.retries["refused"] += 1
        return None
    if not progress.generation.repeatable:
        message = f"The work was in progress when {fault.message}; it is not run again."
        return progress.refuse(ResultCode.BACKEND_SERVER_LOST, message)
    if progress.remaining_ms <= 0:
        return progress.refuse_deadline_exceeded()
    # The first resume replaces load that was lost with the stage, so it costs no retry budget.
    is_free, progress.resumed = progress.is_resume_paid or not progress.resumed, True
    progress.is_resume_paid = False
    if not is_free and not ctx.spend_retry():
        message = "The retry budget is spent, as too much work was lost lately; come back later."
        return progress.refuse(ResultCode.RETRY_BUDGET_SPENT, message, BUDGET_RETRY_AFTER_MS)
    ctx.metrics.retries["lost"] += 1
    progress.repeat_route = fault.connection_lost
    return None


async def _exclude_faulty_replica(progress: Progress, route: Route, fault: EngineFault) -> None:
    """Exclude the replica that a fault is attributed to and record what happened to it."""
    faulty_replica = attribute_fault(route, fault)
    progress.excluded.add(faulty_replica)
    loss = await diagnose_loss(progress, route, faulty_replica, fault)
    if loss is not Loss.NONE:
        progress.lost.add(faulty_replica)
    if loss is Loss.CRASHED:
        note_crash(progress, faulty_replica)
    record_fault(progress.ctx.fleet, faulty_replica, fault)
