"""One generation over one route after another, until the answer is whole or refused.

The caller's side sees each verified token once, in order. A repeatable generation that loses its
route goes on from its last verified token on another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.pipelines.attempt import GenerationEvent, run_attempt
from pimentodale.pipelines.loss import Loss, examine_loss
from pimentodale.pipelines.means import FirstByteGate, PipelineMeans, Progress, describe_route
from pimentodale.pipelines.messages import Finished
from pimentodale.pipelines.observations import note_fault, suspect_of
from pimentodale.pipelines.resume import keep_stages
from pimentodale.platform.engine_client import EngineFault
from pimentodale.results import Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from pimentodale.pipelines.messages import Generation
    from pimentodale.routing.routes import Route

__all__ = ["FirstByteGate", "GenerationEvent", "PipelineMeans", "describe_route", "generate"]

MAX_ATTEMPTS: Final = 6
"""Routes that one generation may be sent on."""

NO_ROUTE_RETRY_MS: Final = 1_000.0
"""When a caller may come back after there was no route."""


async def generate(
    generation: Generation, means: PipelineMeans, gate: FirstByteGate | None = None
) -> AsyncIterator[Result[GenerationEvent, Refusal]]:
    """Run a generation.

    Args:
        generation: What the caller asks for.
        means: What to work with.
        gate: Asked before the first byte; given for non-repeatable work.

    Yields:
        Verified tokens in order, then `Finished`; or one refusal, after which nothing follows.
    """
    progress = Progress(generation, means, gate)
    while True:
        refusal = _refusal_before_attempt(progress)
        route = None if refusal else _pick(progress)
        if route is None:
            yield Error(refusal or _no_route(progress))
            return
        fault = EngineFault("the stream ended early")
        async for event in run_attempt(progress, route):
            if event.is_error():
                fault = event.error
                break
            yield Ok(event.ok)
            if isinstance(event.ok, Finished):
                return
        refusal = await _after_fault(progress, route, fault)
        if refusal is not None:
            yield Error(refusal)
            return


def _refusal_before_attempt(progress: Progress) -> Refusal | None:
    """Refuse when time or attempts are spent."""
    if progress.remaining_ms <= 0:
        return progress.refuse(ResultCode.DEADLINE_EXCEEDED, "The deadline passed.")
    if progress.attempt >= MAX_ATTEMPTS:
        message = f"{MAX_ATTEMPTS} routes were tried without success; come back later."
        return progress.refuse(ResultCode.BACKEND_SERVER_LOST, message)
    return None


def _pick(progress: Progress) -> Route | None:
    """Choose the route of the next attempt and note the choice."""
    generation, means = progress.generation, progress.means
    model = generation.model
    route = progress.last_route
    if not progress.repeat_route:
        route = means.router.pick_route(
            model.name, model.layers, generation.prefix_hash, progress.excluded
        )
    if route is not None:
        route = keep_stages(progress.last_route, route, lambda name: _may_stay(progress, name))
    progress.repeat_route = False
    progress.attempt += 1
    means.tracer.note(
        "route",
        generation.request_id,
        generation.trace,
        attempt=str(progress.attempt),
        route="none" if route is None else describe_route(route),
        excluded=" ".join(sorted(progress.excluded)),
    )
    return route


def _may_stay(progress: Progress, replica: str) -> bool:
    """Whether a stage of the last route may be used again."""
    return replica not in progress.excluded and progress.means.fleet.is_usable(replica)


async def _after_fault(progress: Progress, route: Route, fault: EngineFault) -> Refusal | None:
    """Note the fault and decide whether another attempt may be made."""
    means = progress.means
    progress.last_route = route
    if progress.gate is not None and progress.gate.denied:
        message = "The work was given up before its first byte."
        return progress.refuse(ResultCode.CLAIM_LOST, message)
    if not fault.connection_lost:
        await _blame(progress, route, fault)
    if not fault.sent or fault.refused is not None:
        means.metrics.retries["refused"] += 1
        return None
    if not progress.generation.repeatable:
        message = f"The work was in progress when {fault.message}; it is not run again."
        return progress.refuse(ResultCode.BACKEND_SERVER_LOST, message)
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
    note_fault(progress.means.fleet, suspect, fault)


def _no_route(progress: Progress) -> Refusal:
    """Refuse for want of a route."""
    model = progress.generation.model.name
    message = f"No live backend servers hold every layer of {model} now; come back later."
    return progress.refuse(ResultCode.NO_ROUTE, message, NO_ROUTE_RETRY_MS)
