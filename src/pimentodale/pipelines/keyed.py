"""A generation that must not repeat: once, under a claim, its whole answer kept for re-sends."""

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
    from pimentodale.ledger.run_once import LastLook
    from pimentodale.pipelines.generate import GenerationEvent, PipelineMeans
    from pimentodale.pipelines.means import Reservation
    from pimentodale.pipelines.messages import Generation
    from pimentodale.routing.windows import RouteUse

_STATUS_OK: Final = 200


class KeptAnswer(msgspec.Struct, frozen=True):
    """A whole answer as the ledger keeps it."""

    tokens: list[str]
    """The tokens in order."""

    finished: Finished
    """How it ended."""


async def generate_once(
    generation: Generation,
    means: PipelineMeans,
    ledger: Ledger,
    caller_gone: Callable[[], bool],
    on_event: Callable[[GenerationEvent], None],
    reserved: RouteUse | None = None,
) -> Result[None, Refusal]:
    """Run a keyed generation at most once, or replay its answer.

    The work goes on when its caller is gone, so that a re-send finds the whole answer.

    Args:
        generation: What the caller asks for; it has an Idempotency-Key.
        means: What to work with.
        ledger: Where its key is claimed.
        caller_gone: Tells whether the caller has closed its connection.
        on_event: Gets the tokens as they come, then the finish, whether run or replayed.
        reserved: Stream that admission has counted on the route of the first attempt.

    Returns:
        Nothing once the finish was given, or the refusal.
    """
    request = ClaimRequest(
        workspace=generation.workspace.name,
        idempotency_key=generation.idempotency_key,
        digest=digest_request("generation", generation.fingerprint),
        deadline_ms=generation.deadline_ms,
    )

    async def work(look: LastLook) -> Result[Outcome, WorkFault]:
        events = generate(generation, means, FirstByteGate(look.allows), reserved)
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
    """Pass events on and keep the answer."""
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
        kept = KeptAnswer(tokens, event.ok)
        on_event(event.ok)
        return Ok(Outcome(status=_STATUS_OK, headers={}, body=msgspec.json.encode(kept)))
    return Error(WorkFault(sent=True, code=ResultCode.INTERNAL, message="The stream had no end."))


def _replay(outcome: Outcome, on_event: Callable[[GenerationEvent], None]) -> None:
    """Give a kept answer's events again."""
    kept = msgspec.json.decode(outcome.body, type=KeptAnswer)
    for index, text in enumerate(kept.tokens):
        on_event(Token(index, text))
    on_event(kept.finished)


async def keyed_events(
    generation: Generation,
    means: PipelineMeans,
    ledger: Ledger,
    caller_gone: Callable[[], bool],
    background: BackgroundTasks,
    reservation: Reservation | None = None,
) -> AsyncIterator[Result[GenerationEvent, Refusal]]:
    """Yield the events of a keyed generation, like `generate` does of another.

    Args:
        generation: As for `generate_once`.
        means: What to work with.
        ledger: Where its key is claimed.
        caller_gone: Tells whether the caller has closed its connection.
        background: Runs the work, which goes on when the caller is gone.
        reservation: Route that admission has given; it is released when the work ends.

    Yields:
        Tokens in order, then `Finished`; or one refusal.
    """
    queue: asyncio.Queue[Result[GenerationEvent, Refusal] | None] = asyncio.Queue()

    async def run() -> None:
        try:
            ended = await generate_once(
                generation,
                means,
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


def key_required() -> Refusal:
    """Refuse a non-repeatable generation that has no Idempotency-Key."""
    message = "This model or workspace may not repeat work; send an Idempotency-Key."
    return create_refusal(ResultCode.IDEMPOTENCY_KEY_REQUIRED, message)
