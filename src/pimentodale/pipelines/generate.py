"""One generation over one route after another, until the answer is whole or refused.

The caller's side sees each verified token once, in order. A repeatable generation that loses its
route goes on from its last verified token on another one.
"""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.clients.engine_client import EngineFault
from pimentodale.pipelines.attempt import GenerationEvent, run_attempt
from pimentodale.pipelines.loss import Loss, examine_loss
from pimentodale.pipelines.means import FirstByteGate, PipelineMeans, Progress, describe_route
from pimentodale.pipelines.messages import Finished
from pimentodale.pipelines.observations import note_fault, suspect_of
from pimentodale.pipelines.resume import keep_stages
from pimentodale.pipelines.suspicion import (
    begin,
    choose_trial_route,
    conviction_of,
    no_route,
    note_caller_gone,
    note_crash,
    note_cut_off,
    note_end,
    note_event,
    note_start,
)
from pimentodale.results import Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Collection

    from pimentodale.pipelines.messages import Generation
    from pimentodale.routing.routes import Route
    from pimentodale.routing.windows import RouteUse

__all__ = ["FirstByteGate", "GenerationEvent", "PipelineMeans", "describe_route", "generate"]

MAX_ATTEMPTS: Final = 6
"""Routes that one generation may be sent on."""

BUSY_PAUSE_MS: Final = 20.0
"""First pause before replicas that were busy are asked again; it doubles with each round."""

MAX_BUSY_ROUNDS: Final = 3
"""How often busy replicas are asked again before the generation is given up, which is then at once."""

MAX_WAYS: Final = 8
"""Disjoint routes that are counted; with as many, all suspects of a crash are tried alone."""

BUDGET_RETRY_MS: Final = 1_000.0
"""When a caller may come back after the retry budget was spent."""


async def generate(
    generation: Generation,
    means: PipelineMeans,
    gate: FirstByteGate | None = None,
    reserved: RouteUse | None = None,
) -> AsyncGenerator[Result[GenerationEvent, Refusal], None]:
    """Run a generation.

    Args:
        generation: What the caller asks for.
        means: What to work with.
        gate: Asked before the first byte; given for non-repeatable work.
        reserved: Stream that admission has counted on the route of the first attempt.

    Yields:
        Verified tokens in order, then `Finished`; or one refusal, after which nothing follows.
    """
    progress = Progress(generation, means, gate, reserved=reserved)
    await begin(progress)
    while True:
        refusal = _refusal_before_attempt(progress)
        chosen = Error(refusal) if refusal else await _choose(progress)
        if chosen.is_error():
            yield Error(chosen.error)
            return
        route = chosen.ok
        note_start(progress, route)
        try:
            fault = EngineFault("the stream ended early")
            async with aclosing(run_attempt(progress, route)) as events:
                async for event in events:
                    if event.is_error():
                        fault = event.error
                        note_cut_off(progress, fault)
                        break
                    note_event(progress, event.ok)
                    yield Ok(event.ok)
                    if isinstance(event.ok, Finished):
                        means.note_success()
                        return
            refusal = await _after_fault(progress, route, fault)
        except (GeneratorExit, asyncio.CancelledError):
            note_caller_gone(progress, route)
            raise
        finally:
            note_end(progress)
        if refusal is not None:
            yield Error(refusal)
            return


def _refusal_before_attempt(progress: Progress) -> Refusal | None:
    """Refuse when time or attempts are spent, or the request crashes backend servers."""
    conviction = conviction_of(progress)
    if conviction is not None:
        return conviction
    if progress.remaining_ms <= 0:
        return progress.refuse_late()
    if progress.failed_attempts >= MAX_ATTEMPTS:
        message = f"{MAX_ATTEMPTS} routes were tried without success; come back later."
        return progress.refuse(ResultCode.BACKEND_SERVER_LOST, message)
    return None


async def _choose(progress: Progress) -> Result[Route, Refusal]:
    """Choose the route of the next attempt and note the choice."""
    generation = progress.generation
    if progress.on_trial:
        chosen = await choose_trial_route(
            progress, lambda taken: _pick(progress, taken), lambda: _count_ways(progress)
        )
    else:
        # What is on trial is kept out of where others go, as long as there is another way.
        route = await _pick_or_wait(progress)
        chosen = Error(no_route(progress)) if route is None else Ok(route)
    progress.attempt += 1
    progress.means.tracer.note(
        "route",
        generation.request_id,
        generation.trace,
        attempt=str(progress.attempt),
        route=chosen.error.name if chosen.is_error() else describe_route(chosen.ok),
        excluded=" ".join(sorted(progress.excluded)),
    )
    return chosen


async def _pick_or_wait(progress: Progress) -> Route | None:
    """Choose a route; where all ways were busy, wait a little and ask the busy ones again."""
    while True:
        # What is on trial is kept out of where others go, as long as there is another way.
        route = _pick(progress, _on_trial(progress)) or _pick(progress, set())
        if route is not None or not progress.busy:
            return route
        pause_ms = BUSY_PAUSE_MS * 2**progress.busy_rounds
        if progress.busy_rounds == MAX_BUSY_ROUNDS or pause_ms >= progress.remaining_ms:
            return None
        progress.busy_rounds += 1
        progress.busy.clear()
        await progress.means.clock.sleep_ms(pause_ms)


def _on_trial(progress: Progress) -> Collection[str]:
    """Return the replicas where this host tries a struck request."""
    quarantine = progress.means.quarantine
    return () if quarantine is None else quarantine.trials.taken_replicas


def _pick(progress: Progress, taken: Collection[str]) -> Route | None:
    """Choose a route that avoids what the generation avoids and what is taken."""
    generation, means = progress.generation, progress.means
    last, model = progress.last_route, generation.model
    if progress.repeat_route and last is not None and not set(taken).intersection(last.replicas):
        progress.repeat_route = False
        return last
    reserved = progress.reserved
    barred = progress.excluded.union(taken, progress.busy)
    if reserved is not None and barred.isdisjoint(reserved.route.replicas):
        return reserved.route
    route = means.router.pick_route(model.name, model.layers, generation.prefix_hash, barred)
    if route is None:
        return None
    return keep_stages(last, route, lambda name: name not in taken and _may_stay(progress, name))


def _count_ways(progress: Progress) -> int:
    """Return how many disjoint routes the generation may take, up to a few."""
    generation, router = progress.generation, progress.means.router
    model, barred = generation.model, set(progress.excluded)
    for ways in range(MAX_WAYS):
        route = router.pick_route(model.name, model.layers, generation.prefix_hash, barred)
        if route is None:
            return ways
        barred.update(route.replicas)
    return MAX_WAYS


def _may_stay(progress: Progress, replica: str) -> bool:
    """Whether a stage of the last route may be used again."""
    avoided = replica in progress.excluded or replica in progress.busy
    return not avoided and progress.means.fleet.is_usable(replica)


async def _after_fault(progress: Progress, route: Route, fault: EngineFault) -> Refusal | None:
    """Note the fault and decide whether another attempt may be made."""
    means = progress.means
    progress.last_route = route
    if progress.gate is not None and progress.gate.denied:
        message = "The work was given up before its first byte."
        return progress.refuse(ResultCode.CLAIM_LOST, message)
    if fault.refused is not None and fault.refused.busy:
        progress.busy.add(fault.refused.busy)
        if fault.hold_off_ms is not None:
            means.fleet.hold_off(fault.refused.busy, fault.hold_off_ms)
        means.metrics.retries["busy"] += 1
        return None
    progress.failed_attempts += 1
    if not fault.connection_lost:
        await _blame(progress, route, fault)
    if not fault.sent or fault.refused is not None:
        means.metrics.retries["refused"] += 1
        return None
    if not progress.generation.repeatable:
        message = f"The work was in progress when {fault.message}; it is not run again."
        return progress.refuse(ResultCode.BACKEND_SERVER_LOST, message)
    # The first resume takes the place of the load that was lost with the stage, and adds none.
    first_resume, progress.resumed = not progress.resumed, True
    if not first_resume and not means.spend_retry():
        message = "The retry budget is spent, as too much work was lost lately; come back later."
        return progress.refuse(ResultCode.RETRY_BUDGET_SPENT, message, BUDGET_RETRY_MS)
    means.metrics.retries["lost"] += 1
    progress.repeat_route = fault.connection_lost
    return None


async def _blame(progress: Progress, route: Route, fault: EngineFault) -> None:
    """Avoid the replica that a fault speaks of from now on."""
    suspect = suspect_of(route, fault)
    progress.excluded.add(suspect)
    loss = await examine_loss(progress, route, suspect, fault)
    if loss is not Loss.NONE:
        progress.lost.add(suspect)
    if loss is Loss.CRASHED:
        note_crash(progress, suspect)
    note_fault(progress.means.fleet, suspect, fault)
