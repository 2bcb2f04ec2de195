"""One generation over one route after another, until the answer is whole or refused.

The caller's side sees each verified token once, in order. A repeatable generation that loses its
route goes on from its last verified token on another one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.addresses import parse_address
from pimentodale.pipelines.messages import Finished, Token
from pimentodale.pipelines.observations import note_fault, suspect_of
from pimentodale.pipelines.receipts import receipt_fault
from pimentodale.platform.engine_client import EngineFault, EngineFinish, open_stream
from pimentodale.platform.engine_messages import EngineCall
from pimentodale.results import Ran, Refusal, ResultCode, create_refusal
from pimentodale.routing.routes import RouteOutcome

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Limits
    from pimentodale.metrics import Metrics
    from pimentodale.pipelines.messages import Generation
    from pimentodale.platform.engine_client import EngineEvent, EngineStream
    from pimentodale.platform.engine_messages import TokenNote
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.router import Router
    from pimentodale.routing.routes import Route
    from pimentodale.tracing.tracer import Span, Tracer

MAX_ATTEMPTS: Final = 6
"""Routes that one generation may be sent on."""

ACCEPT_TIMEOUT_MS: Final = 1_500.0
"""How long the head of a route may take to accept or refuse."""

NO_ROUTE_RETRY_MS: Final = 1_000.0
"""When a caller may come back after there was no route."""

GenerationEvent = Token | Finished
"""What a generation yields."""


@dataclass(slots=True)
class PipelineMeans:
    """What generations work with."""

    clock: Clock
    tracer: Tracer
    metrics: Metrics
    fleet: Fleet
    router: Router
    limits: Callable[[], Limits]


@dataclass(slots=True)
class FirstByteGate:
    """Asked right before the first byte of each attempt, as non-repeatable work needs."""

    allows: Callable[[], Awaitable[bool]]
    """Returns whether the byte may go out; a False is for good."""

    denied: bool = False
    """Whether it has said no."""

    async def ask(self) -> bool:
        """Ask, and remember a no."""
        allowed = await self.allows()
        self.denied = self.denied or not allowed
        return allowed


@dataclass(slots=True)
class _Progress:
    """State of one generation over its attempts."""

    generation: Generation
    means: PipelineMeans
    gate: FirstByteGate | None
    tokens: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    attempt: int = 0
    handed_over: bool = False

    @property
    def remaining_ms(self) -> float:
        """Time left until the deadline."""
        return self.generation.deadline_ms - self.means.clock.now_ms()


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
    progress = _Progress(generation, means, gate)
    while True:
        refusal = _refusal_before_attempt(progress)
        route = None if refusal else _pick(progress)
        if route is None:
            yield Error(refusal or _no_route(progress))
            return
        fault: EngineFault | None = None
        async for event in _attempt(progress, route):
            if event.is_error():
                fault = event.error
                break
            yield Ok(event.ok)
            if isinstance(event.ok, Finished):
                return
        refusal = _after_fault(progress, route, fault or EngineFault("the stream ended early"))
        if refusal is not None:
            yield Error(refusal)
            return


def _refusal_before_attempt(progress: _Progress) -> Refusal | None:
    """Refuse when time or attempts are spent."""
    if progress.remaining_ms <= 0:
        return _refuse(progress, ResultCode.DEADLINE_EXCEEDED, "The deadline passed.")
    if progress.attempt >= MAX_ATTEMPTS:
        message = f"{MAX_ATTEMPTS} routes were tried without success; come back later."
        return _refuse(progress, ResultCode.BACKEND_SERVER_LOST, message)
    return None


def _pick(progress: _Progress) -> Route | None:
    """Choose the route of the next attempt and note the choice."""
    generation, means = progress.generation, progress.means
    model = generation.model
    route = means.router.pick_route(
        model.name, model.layers, generation.prefix_hash, progress.excluded
    )
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


def describe_route(route: Route) -> str:
    """Return a route in one line, such as `e1[0:16] e4[16:32]`."""
    return " ".join(f"{hop.replica}[{hop.first_layer}:{hop.last_layer}]" for hop in route.hops)


async def _attempt(
    progress: _Progress, route: Route
) -> AsyncIterator[Result[GenerationEvent, EngineFault]]:
    """Send the generation on one route and yield what comes back verified."""
    generation, means = progress.generation, progress.means
    span = means.tracer.start(
        "attempt",
        generation.request_id,
        generation.trace,
        attempt=str(progress.attempt),
        route=describe_route(route),
        resumed_at=str(len(progress.tokens)),
    )
    means.router.started(route, generation.prefix_hash)
    stream: EngineStream | None = None
    end = "dropped"
    outcome = RouteOutcome.CANCELLED
    try:
        opened = await _open(progress, route, span)
        if opened.is_error():
            end = opened.error.message
            outcome = RouteOutcome.LOST
            yield Error(opened.error)
            return
        stream = opened.ok
        async for event in stream.events(means.limits().chunk_timeout_ms):
            checked = event.bind(lambda found: _verify(progress, route, found))
            end = checked.error.message if checked.is_error() else "whole"
            outcome = RouteOutcome.LOST if checked.is_error() else RouteOutcome.SERVED
            yield checked
            if checked.is_error():
                return
    finally:
        if stream is not None:
            stream.close()
        means.router.ended(route, outcome)
        means.tracer.end(span, end=end, tokens=str(len(progress.tokens)))
        _note_hops(progress, route, span)


async def _open(progress: _Progress, route: Route, span: Span) -> Result[EngineStream, EngineFault]:
    """Open the stream at the head of the route."""
    generation = progress.generation
    call = EngineCall(
        request_id=generation.request_id,
        attempt=progress.attempt,
        workspace=generation.workspace.name,
        priority=generation.priority,
        route=list(route.hops),
        resume_tokens=list(progress.tokens),
    )
    headers = {"traceparent": span.context().header(), "X-Request-Id": generation.request_id}
    if generation.idempotency_key:
        headers["Idempotency-Key"] = generation.idempotency_key
    path = "/v1/chat/completions" if generation.kind == "chat" else "/v1/completions"
    opened = await open_stream(
        parse_address(route.hops[0].address),
        path,
        generation.body,
        call,
        headers,
        min(ACCEPT_TIMEOUT_MS, max(1.0, progress.remaining_ms)),
        None if progress.gate is None else progress.gate.ask,
    )
    if opened.is_ok() or (opened.error.sent and opened.error.refused is None):
        progress.handed_over = True
    return opened


def _verify(
    progress: _Progress, route: Route, event: EngineEvent
) -> Result[GenerationEvent, EngineFault]:
    """Pass on an event only if it is the next one of this very attempt."""
    if isinstance(event, EngineFinish):
        return _verify_finish(progress, event)
    fault = _note_fault(progress, route, event.note)
    if fault is not None:
        return Error(EngineFault(f"token refused: {fault}", malformed=True))
    progress.tokens.append(event.note.token)
    return Ok(Token(event.note.index, event.note.token))


def _verify_finish(
    progress: _Progress, event: EngineFinish
) -> Result[GenerationEvent, EngineFault]:
    """Check that the answer's length is what has been passed on."""
    if event.completion_tokens != len(progress.tokens):
        message = f"finish names {event.completion_tokens} tokens of {len(progress.tokens)}"
        return Error(EngineFault(message, malformed=True))
    if event.reason == "length":
        return Ok(Finished("length", event.prompt_tokens, event.completion_tokens))
    if event.reason == "stop":
        return Ok(Finished("stop", event.prompt_tokens, event.completion_tokens))
    return Error(EngineFault(f"unknown finish reason '{event.reason}'", malformed=True))


def _note_fault(progress: _Progress, route: Route, note: TokenNote) -> str | None:
    """Say what is wrong with a token's note, if anything is."""
    if note.request_id != progress.generation.request_id:
        return f"it answers request {note.request_id}"
    if note.attempt != progress.attempt:
        return f"it answers attempt {note.attempt} of {progress.attempt}"
    if note.index != len(progress.tokens):
        return f"index {note.index} where {len(progress.tokens)} is next"
    return receipt_fault(note.receipt, route.hops, progress.generation.model.layers)


def _note_hops(progress: _Progress, route: Route, attempt: Span) -> None:
    """Keep a span for each hop, over the time of its attempt."""
    for hop in route.hops:
        span = progress.means.tracer.start(
            "hop",
            attempt.request_id,
            attempt.context(),
            replica=hop.replica,
            layers=f"{hop.first_layer}:{hop.last_layer}",
        )
        span.start_ms = attempt.start_ms
        span.duration_ms = attempt.duration_ms


def _after_fault(progress: _Progress, route: Route, fault: EngineFault) -> Refusal | None:
    """Note the fault and decide whether another route may be tried."""
    suspect = suspect_of(route, fault)
    progress.excluded.add(suspect)
    if progress.gate is not None and progress.gate.denied:
        message = "The work was given up before its first byte."
        return _refuse(progress, ResultCode.CLAIM_LOST, message)
    note_fault(progress.means.fleet, suspect, fault)
    if not fault.sent or fault.refused is not None:
        progress.means.metrics.retries["refused"] += 1
        return None
    if not progress.generation.repeatable:
        message = f"{suspect} was lost with the work in progress: {fault.message}."
        return _refuse(progress, ResultCode.BACKEND_SERVER_LOST, message)
    progress.means.metrics.retries["lost"] += 1
    return None


def _no_route(progress: _Progress) -> Refusal:
    """Refuse for want of a route."""
    model = progress.generation.model.name
    message = f"No live backend servers hold every layer of {model} now; come back later."
    return _refuse(progress, ResultCode.NO_ROUTE, message, NO_ROUTE_RETRY_MS)


def _refuse(
    progress: _Progress, code: ResultCode, message: str, retry_after_ms: float | None = None
) -> Refusal:
    """Refuse, in words that fit whether any engine may have run the work."""
    ran = Ran.MAY_HAVE_RUN if progress.handed_over else Ran.NOT_RUN
    return create_refusal(code, message, ran=ran, retry_after_ms=retry_after_ms)
