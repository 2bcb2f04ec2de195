"""One generation over one route after another, until the answer is whole or refused.

The caller's side sees each verified token once, in order. A repeatable generation that loses its
route goes on from its last verified token on another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.pipelines.attempt import GenerationEvent, run_attempt
from pimentodale.pipelines.means import PipelineMeans, Progress, RoutePicker, describe_route
from pimentodale.pipelines.messages import Finished
from pimentodale.platform.engine_client import EngineFault
from pimentodale.platform.engine_messages import EngineRefusal, Hop
from pimentodale.results import Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from pimentodale.pipelines.messages import Generation

__all__ = ["GenerationEvent", "PipelineMeans", "RoutePicker", "generate"]

MAX_ATTEMPTS: Final = 6
"""Routes that one generation may be sent on without a new token."""

NO_ROUTE_RETRY_MS: Final = 1_000.0
"""When a caller may come back after there was no route."""


async def generate(
    generation: Generation, means: PipelineMeans
) -> AsyncIterator[Result[GenerationEvent, Refusal]]:
    """Run a generation.

    Args:
        generation: What the caller asks for.
        means: What to work with.

    Yields:
        Verified tokens in order, then `Finished`; or one refusal, after which nothing follows.
    """
    progress = Progress(generation, means)
    while True:
        refusal = _refusal_before_attempt(progress)
        hops = None if refusal else _pick(progress)
        if refusal is not None or hops is None:
            yield Error(refusal or _no_route(progress))
            return
        fault = EngineFault("the stream ended early")
        async for event in run_attempt(progress, hops):
            if event.is_error():
                fault = event.error
                break
            yield Ok(event.ok)
            if isinstance(event.ok, Finished):
                return
        refusal = _after_fault(progress, hops, fault)
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


def _pick(progress: Progress) -> Sequence[Hop] | None:
    """Choose the route of the next attempt and note the choice."""
    generation, means = progress.generation, progress.means
    hops: Sequence[Hop] | None = progress.last_route
    if not progress.repeat_route:
        hops = means.router.pick(
            generation.model.name,
            generation.model.layers,
            generation.prefix_hash,
            progress.excluded,
        )
    progress.repeat_route = False
    progress.attempt += 1
    means.tracer.note(
        "route",
        generation.request_id,
        generation.trace,
        attempt=str(progress.attempt),
        route="none" if hops is None else describe_route(hops),
        excluded=" ".join(sorted(progress.excluded)),
    )
    return hops


def _after_fault(progress: Progress, hops: Sequence[Hop], fault: EngineFault) -> Refusal | None:
    """Note the fault and decide whether another attempt may be made."""
    means = progress.means
    progress.last_route = hops
    if not fault.connection_lost:
        _blame(progress, hops, fault)
    if not fault.sent or fault.refused is not None:
        means.metrics.retries["refused"] += 1
        return None
    if not progress.generation.repeatable:
        message = f"The work was in progress when {fault.message}; it is not run again."
        return progress.refuse(ResultCode.BACKEND_SERVER_LOST, message)
    means.metrics.retries["lost"] += 1
    progress.repeat_route = fault.connection_lost
    return None


def _blame(progress: Progress, hops: Sequence[Hop], fault: EngineFault) -> None:
    """Avoid the replica that a fault speaks of from now on."""
    suspect = _suspect(hops, fault)
    progress.excluded.add(suspect)
    if fault.refused is None and not fault.malformed:
        progress.lost.add(suspect)
    progress.means.router.failed(suspect, fault)


def _suspect(hops: Sequence[Hop], fault: EngineFault) -> str:
    """Name the replica that a fault speaks of: a stage that it names, else the head."""
    refused = fault.refused or EngineRefusal()
    named = fault.stage_lost or refused.busy or refused.leaving or refused.stage_lost
    return named or hops[0].replica


def _no_route(progress: Progress) -> Refusal:
    """Refuse for want of a route."""
    model = progress.generation.model.name
    message = f"No live backend servers hold every layer of {model} now; come back later."
    return progress.refuse(ResultCode.NO_ROUTE, message, NO_ROUTE_RETRY_MS)
