"""Generations with an Idempotency-Key: run at most once, with the answer stored for re-sends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.ledger.records import ClaimRequest, Outcome, digest_request
from pimentodale.ledger.run_once import REPLAYED_HEADER, WorkFault, run_once
from pimentodale.pipelines.generate import FirstByteGate, generate
from pimentodale.pipelines.messages import Finished, Token
from pimentodale.results import Ran, Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from pimentodale.background import BackgroundTasks
    from pimentodale.ledger.interface import Ledger
    from pimentodale.ledger.run_once import FirstByteCheck
    from pimentodale.pipelines.context import Reservation
    from pimentodale.pipelines.generate import GenerationEvent, PipelineContext
    from pimentodale.pipelines.messages import Generation
    from pimentodale.routing.route_limits import RouteUse

_STATUS_OK: Final = 200


class StoredAnswer(msgspec.Struct, frozen=True):
    """A complete answer as the ledger stores it."""

    tokens: list[str]
    """The tokens in order."""

    finished: Finished
    """The final event."""


async def generate_once(
    generation: Generation,
    ctx: PipelineContext,
    ledger: Ledger,
    caller_gone: Callable[[], bool],
    on_event: Callable[[GenerationEvent], None],
    reserved: RouteUse | None = None,
) -> Result[None, Refusal]:
    """Run a generation with an Idempotency-Key at most once, or replay its answer.

    The work continues after its caller disconnects, so that a re-send gets the complete answer.

    Args:
        generation: The caller's request; it has an Idempotency-Key.
        ctx: Shared dependencies of generations.
        ledger: Ledger in which the key is claimed.
        caller_gone: Returns whether the caller has closed its connection.
        on_event: Called with each token, then the final event, whether run or replayed.
        reserved: Stream that admission has counted on the route of the first attempt.

    Returns:
        `None` after the final event was delivered, or the refusal.
    """
    request = ClaimRequest(
        workspace=generation.workspace.name,
        idempotency_key=generation.idempotency_key,
        digest=digest_request("generation", generation.fingerprint),
        deadline_ms=generation.deadline_ms,
    )

    async def work(first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
        events = generate(generation, ctx, FirstByteGate(first_byte_check.allows), reserved)
        return await _collect(events, on_event)

    ended = await run_once(ledger, request, work, caller_gone)
    if ended.is_error():
        return Error(ended.error)
    if REPLAYED_HEADER in ended.ok.headers:
        _replay(ended.ok, on_event)
    return Ok(None)


async def _collect(
    events: AsyncIterator[Result[GenerationEvent, Refusal]],
    on_event: Callable[[GenerationEvent], None],
) -> Result[Outcome, WorkFault]:
    """Deliver events to the callback and return the complete answer for the ledger."""
    tokens: list[str] = []
    async for event in events:
        if event.is_error():
            refusal = event.error
            return Error(
                WorkFault(
                    sent=refusal.ran is Ran.MAY_HAVE_RUN,
                    code=refusal.code,
                    message=refusal.message,
                    retry_after_ms=refusal.retry_after_ms,
                )
            )
        if isinstance(event.ok, Token):
            tokens.append(event.ok.text)
            on_event(event.ok)
            continue
        kept = StoredAnswer(tokens, event.ok)
        on_event(event.ok)
        return Ok(Outcome(status=_STATUS_OK, headers={}, body=msgspec.json.encode(kept)))
    return Error(WorkFault(sent=True, code=ResultCode.INTERNAL, message="The stream had no end."))


def _replay(outcome: Outcome, on_event: Callable[[GenerationEvent], None]) -> None:
    """Deliver a stored answer's events."""
    kept = msgspec.json.decode(outcome.body, type=StoredAnswer)
    for index, text in enumerate(kept.tokens):
        on_event(Token(index, text))
    on_event(kept.finished)


async def keyed_events(
    generation: Generation,
    ctx: PipelineContext,
    ledger: Ledger,
    caller_gone: Callable[[], bool],
    background: BackgroundTasks,
    reservation: Reservation | None = None,
) -> AsyncIterator[Result[GenerationEvent, Refusal]]:
    """Run a generation with an Idempotency-Key in the background and yield its events.

    Args:
        generation: The caller's request; it has an Idempotency-Key.
        ctx: Shared dependencies of generations.
        ledger: Ledger in which the key is claimed.
        caller_gone: Returns whether the caller has closed its connection.
        background: Runs the work, which continues after the caller disconnects.
        reservation: Route granted by admission; it is released when the work ends.

    Yields:
        Tokens in order, then `Finished`; or one refusal.
    """
    queue: asyncio.Queue[Result[GenerationEvent, Refusal] | None] = asyncio.Queue()

    async def run() -> None:
        try:
            ended = await generate_once(
                generation,
                ctx,
                ledger,
                caller_gone,
                lambda event: queue.put_nowait(Ok(event)),
                None if reservation is None else reservation.use,
            )
            if ended.is_error():
                queue.put_nowait(Error(ended.error))
        finally:
            if reservation is not None:
                reservation.release()
            queue.put_nowait(None)

    background.start(run(), f"keyed generation {generation.request_id}")
    while (event := await queue.get()) is not None:
        yield event


def refuse_missing_key() -> Refusal:
    """Refuse a non-repeatable generation that has no Idempotency-Key."""
    message = "This model or workspace may not repeat work; send an Idempotency-Key."
    return create_refusal(ResultCode.IDEMPOTENCY_KEY_REQUIRED, message)
