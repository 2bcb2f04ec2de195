"""One attempt at a generation: one stream over one route, with every token verified."""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.addresses import parse_address
from pimentodale.clients.engine_client import EngineFault, EngineFinish, open_stream
from pimentodale.clients.engine_messages import EngineCall
from pimentodale.clock import MS_PER_S
from pimentodale.pipelines.context import describe_route
from pimentodale.pipelines.messages import Finished, Token
from pimentodale.pipelines.receipts import check_receipt
from pimentodale.pipelines.resume import choose_kv_source
from pimentodale.pipelines.silence_diagnosis import cancel_in_background, diagnose_silence
from pimentodale.pipelines.successors import secure_successor
from pimentodale.routing.routes import RouteOutcome

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from pimentodale.clients.engine_client import EngineEvent, EngineStream
    from pimentodale.clients.engine_messages import TokenNote
    from pimentodale.pipelines.context import Progress
    from pimentodale.routing.route_limits import RouteUse
    from pimentodale.routing.routes import Route
    from pimentodale.tracing.tracer import Span

ACCEPT_TIMEOUT_MS: Final = 1_500.0
"""Silence of the first engine of a route, which neither accepts nor refuses a stream, after which
another route is looked for."""

RECHECK_MS: Final = 300.0
"""Silence after which another route is looked for again."""

CONFIRM_MS: Final = 100.0
"""Silence that confirms a dead connection: tokens that the head has sent arrive sooner."""

GenerationEvent = Token | Finished
"""What a generation yields."""


async def run_attempt(
    progress: Progress, route: Route
) -> AsyncGenerator[Result[GenerationEvent, EngineFault], None]:
    """Run a generation on one route.

    Args:
        progress: The generation's state; verified tokens are added to it.
        route: The route.

    Yields:
        Verified tokens in order, then `Finished`; on failure, one fault as the last event.
    """
    generation, ctx = progress.generation, progress.ctx
    span = ctx.tracer.start(
        "attempt",
        generation.request_id,
        generation.trace,
        attempt=str(progress.attempt),
        route=describe_route(route),
        resumed_at=str(len(progress.tokens)),
    )
    use = _claim_route_use(progress, route)
    progress.use = use
    stream: EngineStream | None = None
    end = "dropped"
    outcome = RouteOutcome.CANCELLED
    try:
        opened = await _open_stream(progress, route, span)
        if opened.is_error():
            end = opened.error.message
            outcome = _outcome_of(opened.error)
            yield Error(opened.error)
            return
        stream = opened.ok
        ctx.fleet.note_accepted(route.replicas)
        async with aclosing(_read_stream(progress, route, stream)) as events:
            async for event in events:
                end = event.error.message if event.is_error() else "whole"
                outcome = RouteOutcome.LOST if event.is_error() else RouteOutcome.SERVED
                yield event
    finally:
        if stream is not None:
            stream.close()
        use.end(outcome)
        ctx.tracer.end(span, end=end, tokens=str(len(progress.tokens)))
        _record_hop_spans(progress, route, span)


def _claim_route_use(progress: Progress, route: Route) -> RouteUse:
    """Return the stream that admission reserved on this route, or count a new one."""
    reserved = progress.reserved
    progress.reserved = None
    if reserved is not None and reserved.route == route:
        return reserved
    if reserved is not None:
        reserved.end(RouteOutcome.CANCELLED)
    return progress.ctx.router.started(route, progress.generation.prefix_hash)


def _outcome_of(fault: EngineFault) -> RouteOutcome:
    """Return the outcome of an attempt that no engine accepted."""
    if fault.refused is not None and fault.refused.busy:
        return RouteOutcome.BUSY
    return RouteOutcome.LOST


async def _open_stream(
    progress: Progress, route: Route, span: Span
) -> Result[EngineStream, EngineFault]:
    """Open the stream at the first engine of the route."""
    generation = progress.generation
    call = EngineCall(
        request_id=generation.request_id,
        attempt=progress.attempt,
        workspace=generation.workspace.name,
        priority=generation.priority,
        route=list(route.hops),
        resume_tokens=list(progress.tokens),
        kv_source=choose_kv_source(progress.last_route, route, progress.lost),
    )
    headers = {"traceparent": span.context().header(), "X-Request-Id": generation.request_id}
    if generation.idempotency_key:
        headers["Idempotency-Key"] = generation.idempotency_key
    path = "/v1/chat/completions" if generation.kind == "chat" else "/v1/completions"
    opening = open_stream(
        parse_address(route.hops[0].address),
        path,
        generation.body,
        call,
        headers,
        max(1.0, progress.remaining_ms),
        None if progress.gate is None else progress.gate.ask,
    )
    opened = await _wait_for_answer(progress, route, asyncio.ensure_future(opening))
    if opened.is_ok() or (opened.error.sent and opened.error.refused is None):
        progress.handed_over = True
    return opened


async def _wait_for_answer(
    progress: Progress, route: Route, opening: asyncio.Future[Result[EngineStream, EngineFault]]
) -> Result[EngineStream, EngineFault]:
    """Wait until the first engine answers, or until a silent one can be replaced."""
    silence = EngineFault(f"{route.hops[0].replica} sent no header in time", silent=True)
    timeout_ms = ACCEPT_TIMEOUT_MS
    try:
        while True:
            await asyncio.wait({opening}, timeout=timeout_ms / MS_PER_S)
            if not opening.done() and await secure_successor(progress, route, silence):
                break
            if opening.done():
                break
            timeout_ms = RECHECK_MS
        return opening.result() if opening.done() else Error(silence)
    finally:
        opening.cancel()


async def _read_stream(
    progress: Progress, route: Route, stream: EngineStream
) -> AsyncGenerator[Result[GenerationEvent, EngineFault], None]:
    """Read a stream's events; diagnose the cause whenever it goes silent.

    It is given up only once the generation can go on elsewhere, or its time is over.
    """
    stalled_checks = 0
    suspected: EngineFault | None = None
    wait_ms = progress.ctx.limits().chunk_timeout_ms
    while True:
        silence: EngineFault | None = None
        left_ms = max(1.0, progress.remaining_ms)
        timeout_ms = min(progress.ctx.limits().chunk_timeout_ms, left_ms)
        async for event in stream.events(timeout_ms, min(wait_ms, left_ms)):
            checked = event.bind(lambda found: _verify(progress, route, found))
            if checked.is_error() and checked.error.silent:
                silence = checked.error
                break
            stalled_checks = 0
            suspected = None
            yield checked
            if checked.is_error() or isinstance(checked.ok, Finished):
                return
        if silence is None:
            yield Error(EngineFault("the stream ended early", malformed=True))
            return
        fault = suspected or await _diagnose(progress, route, silence, stalled_checks)
        if fault is None:
            stalled_checks += 1
            wait_ms = progress.ctx.limits().chunk_timeout_ms
            continue
        if fault.connection_lost and suspected is None:
            suspected = fault
            wait_ms = CONFIRM_MS
            continue
        if progress.remaining_ms <= 0 or await secure_successor(progress, route, fault):
            cancel_in_background(progress, route.hops[0])
            yield Error(fault)
            return
        suspected = None
        wait_ms = RECHECK_MS


async def _diagnose(
    progress: Progress, route: Route, silence: EngineFault, stalled_checks: int
) -> EngineFault | None:
    """Return the fault that caused a silence, or `None` if the stream is only slow."""
    if progress.remaining_ms <= 0:
        return silence
    diagnosis = await diagnose_silence(progress, route, stalled_checks)
    if diagnosis.wait:
        return None
    if diagnosis.lost_replica:
        message = f"{diagnosis.lost_replica} does not answer"
        return EngineFault(message, silent=True, stage_lost=diagnosis.lost_replica)
    return EngineFault("the connection went silent", silent=True, connection_lost=True)


def _verify(
    progress: Progress, route: Route, event: EngineEvent
) -> Result[GenerationEvent, EngineFault]:
    """Check that an event is the next one of this attempt, and record its token."""
    if isinstance(event, EngineFinish):
        return _verify_finish(progress, event)
    fault = _check_token(progress, route, event.note)
    if fault is not None:
        return Error(fault)
    progress.tokens.append(event.note.token)
    if progress.use is not None:
        progress.use.note_token()
    return Ok(Token(event.note.index, event.note.token))


def _verify_finish(progress: Progress, event: EngineFinish) -> Result[GenerationEvent, EngineFault]:
    """Check that the reported length of the answer equals the number of verified tokens."""
    if event.completion_tokens != len(progress.tokens):
        message = f"finish names {event.completion_tokens} tokens of {len(progress.tokens)}"
        return Error(EngineFault(message, malformed=True))
    if event.reason == "length":
        return Ok(Finished("length", event.prompt_tokens, event.completion_tokens))
    if event.reason == "stop":
        return Ok(Finished("stop", event.prompt_tokens, event.completion_tokens))
    return Error(EngineFault(f"unknown finish reason '{event.reason}'", malformed=True))


def _check_token(progress: Progress, route: Route, note: TokenNote) -> EngineFault | None:
    """Check a token's note and receipt; return the fault, or `None` if they are valid."""
    problem = ""
    if note.request_id != progress.generation.request_id:
        problem = f"it answers request {note.request_id}"
    elif note.attempt != progress.attempt:
        problem = f"it answers attempt {note.attempt} of {progress.attempt}"
    elif note.index != len(progress.tokens):
        problem = f"index {note.index} where {len(progress.tokens)} is next"
    if problem:
        return EngineFault(f"token refused: {problem}", malformed=True)
    fault = check_receipt(note.receipt, route.hops, progress.generation.model.layers)
    if fault is None:
        return None
    message = f"token refused: {fault.problem}"
    return EngineFault(message, malformed=True, stage_lost=fault.replica)


def _record_hop_spans(progress: Progress, route: Route, attempt: Span) -> None:
    """Record a span for each hop with the start and duration of the attempt."""
    for hop in route.hops:
        span = progress.ctx.tracer.start(
            "hop",
            attempt.request_id,
            attempt.context(),
            replica=hop.replica,
            layers=f"{hop.first_layer}:{hop.last_layer}",
        )
        span.start_ms = attempt.start_ms
        span.duration_ms = attempt.duration_ms
