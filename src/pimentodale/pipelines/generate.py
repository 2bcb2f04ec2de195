"""One generation over one route after another, until the answer is whole or refused.

The caller's side sees each verified token once, in order. A repeatable generation that loses its
route goes on from its last verified token on another one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Protocol

from expression import Error, Ok, Result

from pimentodale.addresses import parse_address
from pimentodale.pipelines.messages import Finished, Token
from pimentodale.pipelines.receipts import receipt_fault
from pimentodale.platform.engine_client import EngineFault, EngineFinish, open_stream
from pimentodale.platform.engine_messages import EngineCall, EngineRefusal, Hop, TokenNote
from pimentodale.results import Ran, Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Limits
    from pimentodale.metrics import Metrics
    from pimentodale.pipelines.messages import Generation
    from pimentodale.platform.engine_client import EngineEvent, EngineStream
    from pimentodale.tracing.tracer import Span, Tracer

MAX_ATTEMPTS: Final = 6
"""Routes that one generation may be sent on."""

ACCEPT_TIMEOUT_MS: Final = 1_500.0
"""How long the head of a route may take to accept or refuse."""

NO_ROUTE_RETRY_MS: Final = 1_000.0
"""When a caller may come back after there was no route."""

GenerationEvent = Token | Finished
"""What a generation yields."""


class RoutePicker(Protocol):
    """What a generation asks of routing."""

    def pick(
        self, model: str, layers: int, prefix_hash: str, excluded: set[str]
    ) -> Sequence[Hop] | None:
        """Choose a route that avoids the excluded replicas; `None` if there is none."""

    def started(self, hops: Sequence[Hop]) -> None:
        """Note that a route holds one more stream."""

    def ended(self, hops: Sequence[Hop]) -> None:
        """Note that it holds one less."""

    def failed(self, replica: str, fault: EngineFault) -> None:
        """Note what was seen of a replica."""


@dataclass(slots=True)
class PipelineMeans:
    """What generations work with."""

    clock: Clock
    tracer: Tracer
    metrics: Metrics
    router: RoutePicker
    limits: Callable[[], Limits]


@dataclass(slots=True)
class _Progress:
    """State of one generation over its attempts."""

    generation: Generation
    means: PipelineMeans
    tokens: list[str] = field(default_factory=list)
    excluded: set[str] = field(default_factory=set)
    attempt: int = 0
    handed_over: bool = False

    @property
    def remaining_ms(self) -> float:
        """Time left until the deadline."""
        return self.generation.deadline_ms - self.means.clock.now_ms()


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
    progress = _Progress(generation, means)
    while True:
        refusal = _refusal_before_attempt(progress)
        hops = None if refusal else _pick(progress)
        if refusal is None and hops is None:
            refusal = _no_route(progress)
        if refusal is not None or hops is None:
            yield Error(refusal or _no_route(progress))
            return
        fault: EngineFault | None = None
        async for event in _attempt(progress, hops):
            if event.is_error():
                fault = event.error
                break
            yield Ok(event.ok)
            if isinstance(event.ok, Finished):
                return
        refusal = _after_fault(progress, hops, fault or EngineFault("the stream ended early"))
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


def _pick(progress: _Progress) -> Sequence[Hop] | None:
    """Choose the route of the next attempt and note the choice."""
    generation, means = progress.generation, progress.means
    hops = means.router.pick(
        generation.model.name,
        generation.model.layers,
        generation.prefix_hash,
        progress.excluded,
    )
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


def describe_route(hops: Sequence[Hop]) -> str:
    """Return a route in one line, such as `e1[0:16] e4[16:32]`."""
    return " ".join(f"{hop.replica}[{hop.first_layer}:{hop.last_layer}]" for hop in hops)


async def _attempt(
    progress: _Progress, hops: Sequence[Hop]
) -> AsyncIterator[Result[GenerationEvent, EngineFault]]:
    """Send the generation on one route and yield what comes back verified."""
    generation, means = progress.generation, progress.means
    span = means.tracer.start(
        "attempt",
        generation.request_id,
        generation.trace,
        attempt=str(progress.attempt),
        route=describe_route(hops),
        resumed_at=str(len(progress.tokens)),
    )
    means.router.started(hops)
    stream: EngineStream | None = None
    end = "dropped"
    try:
        opened = await _open(progress, hops, span)
        if opened.is_error():
            end = opened.error.message
            yield Error(opened.error)
            return
        stream = opened.ok
        async for event in stream.events(means.limits().chunk_timeout_ms):
            checked = event.bind(lambda found: _verify(progress, hops, found))
            end = checked.error.message if checked.is_error() else "whole"
            yield checked
            if checked.is_error():
                return
    finally:
        if stream is not None:
            stream.close()
        means.router.ended(hops)
        means.tracer.end(span, end=end, tokens=str(len(progress.tokens)))
        _note_hops(progress, hops, span)


async def _open(
    progress: _Progress, hops: Sequence[Hop], span: Span
) -> Result[EngineStream, EngineFault]:
    """Open the stream at the head of the route."""
    generation = progress.generation
    call = EngineCall(
        request_id=generation.request_id,
        attempt=progress.attempt,
        workspace=generation.workspace.name,
        priority=generation.priority,
        route=list(hops),
        resume_tokens=list(progress.tokens),
    )
    headers = {"traceparent": span.context().header(), "X-Request-Id": generation.request_id}
    if generation.idempotency_key:
        headers["Idempotency-Key"] = generation.idempotency_key
    path = "/v1/chat/completions" if generation.kind == "chat" else "/v1/completions"
    opened = await open_stream(
        parse_address(hops[0].address),
        path,
        generation.body,
        call,
        headers,
        min(ACCEPT_TIMEOUT_MS, max(1.0, progress.remaining_ms)),
    )
    if opened.is_ok() or (opened.error.sent and opened.error.refused is None):
        progress.handed_over = True
    return opened


def _verify(
    progress: _Progress, hops: Sequence[Hop], event: EngineEvent
) -> Result[GenerationEvent, EngineFault]:
    """Pass on an event only if it is the next one of this very attempt."""
    if isinstance(event, EngineFinish):
        return _verify_finish(progress, event)
    fault = _note_fault(progress, hops, event.note)
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


def _note_fault(progress: _Progress, hops: Sequence[Hop], note: TokenNote) -> str | None:
    """Say what is wrong with a token's note, if anything is."""
    if note.request_id != progress.generation.request_id:
        return f"it answers request {note.request_id}"
    if note.attempt != progress.attempt:
        return f"it answers attempt {note.attempt} of {progress.attempt}"
    if note.index != len(progress.tokens):
        return f"index {note.index} where {len(progress.tokens)} is next"
    return receipt_fault(note.receipt, hops, progress.generation.model.layers)


def _note_hops(progress: _Progress, hops: Sequence[Hop], attempt: Span) -> None:
    """Keep a span for each hop, over the time of its attempt."""
    for hop in hops:
        span = progress.means.tracer.start(
            "hop",
            attempt.request_id,
            attempt.context(),
            replica=hop.replica,
            layers=f"{hop.first_layer}:{hop.last_layer}",
        )
        span.start_ms = attempt.start_ms
        span.duration_ms = attempt.duration_ms


def _after_fault(progress: _Progress, hops: Sequence[Hop], fault: EngineFault) -> Refusal | None:
    """Note the fault and decide whether another route may be tried."""
    suspect = _suspect(hops, fault)
    progress.excluded.add(suspect)
    progress.means.router.failed(suspect, fault)
    if not fault.sent or fault.refused is not None:
        progress.means.metrics.retries["refused"] += 1
        return None
    if not progress.generation.repeatable:
        message = f"{suspect} was lost with the work in progress: {fault.message}."
        return _refuse(progress, ResultCode.BACKEND_SERVER_LOST, message)
    progress.means.metrics.retries["lost"] += 1
    return None


def _suspect(hops: Sequence[Hop], fault: EngineFault) -> str:
    """Name the replica that a fault speaks of: a stage that it names, else the head."""
    refused = fault.refused or EngineRefusal()
    named = fault.stage_lost or refused.busy or refused.leaving or refused.stage_lost
    return named or hops[0].replica


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
