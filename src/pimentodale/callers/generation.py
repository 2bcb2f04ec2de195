"""`/v1/chat/completions` and `/v1/completions`, whole and streamed."""

from __future__ import annotations

import asyncio
import hashlib
from contextlib import aclosing
from typing import TYPE_CHECKING, Any, Final

import msgspec
from expression import Error, Ok, Result
from tornado.iostream import StreamClosedError

from pimentodale.callers.answers import AnswerWriter, create_chat_writer, create_completion_writer
from pimentodale.callers.base import CallerHandler
from pimentodale.callers.openai_messages import (
    ChatRequest,
    CompletionRequest,
    malformed,
    parse_json,
)
from pimentodale.clients.prompt_text import prefix_hash, prompt_text
from pimentodale.pipelines.context import Reservation
from pimentodale.pipelines.generate import generate
from pimentodale.pipelines.idempotent_generation import keyed_events, refuse_missing_key
from pimentodale.pipelines.messages import Finished, Generation, Token
from pimentodale.results import Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from pimentodale.callers.context import CallerContext
    from pimentodale.configuration.documents import Workspace
    from pimentodale.pipelines.generate import GenerationEvent
    from pimentodale.pipelines.messages import GenerationKind

MAX_PRIORITY: Final = 9
"""Highest priority that a caller may ask for."""

BELOW_SHARE_PRIORITY: Final = MAX_PRIORITY + 1
"""Added at the engines for a workspace that has less than its share of what runs, so that its tokens
don't wait behind those of others who have more."""


class GenerationHandler(CallerHandler):
    """Answers a completion request of one kind."""

    def initialize(self, context: CallerContext, kind: GenerationKind) -> None:  # type: ignore[override]
        """Take the shared state and the kind of call."""
        super().initialize(context)
        self._kind = kind
        self._work: asyncio.Task[None] | None = None
        self._caller_gone = False

    async def post(self) -> None:
        """Check the request and answer it."""
        try:
            await self._post()
        finally:
            self.count_off()

    async def _post(self) -> None:
        """Check the request and answer it in a task of its own."""
        if self.ended_early():
            return
        checked = self._check()
        if checked.is_error():
            self.refuse(checked.error)
            return
        self.handed_over = True
        # A task of its own, so that a caller who goes away can cancel it.
        self._work = asyncio.ensure_future(self._answer(checked.ok))
        try:
            await self._work
        except asyncio.CancelledError:
            self.span.attributes["end"] = "caller gone"
        except StreamClosedError:
            self.span.attributes["end"] = "caller gone"

    def on_connection_close(self) -> None:
        """Cancel the work of a caller who is gone."""
        super().on_connection_close()
        self._caller_gone = True
        if self._work is not None:
            self._work.cancel()

    def _check(self) -> Result[_Asked, Refusal]:
        """Check who calls, the body and the headers."""
        workspace = self.check_caller()
        if workspace.is_error():
            return Error(workspace.error)
        return self._check_body(workspace.ok)

    def _check_body(self, workspace: Workspace) -> Result[_Asked, Refusal]:
        """Check the body against the API and the configuration."""
        parsed = parse_json(bytes(self.body), self.request.path)
        if parsed.is_error():
            return Error(parsed.error)
        body = parsed.ok
        try:
            typed = self._convert(body)
        except msgspec.ValidationError as error:
            return Error(malformed(f"{error}."))
        model = self.context.configuration().models.get(typed.model)
        if model is None:
            message = f"No model '{typed.model}'; GET /v1/models lists them."
            return Error(create_refusal(ResultCode.UNKNOWN_MODEL, message))
        key = self.read_idempotency_key()
        if key.is_error():
            return Error(key.error)
        deadline = self.read_deadline_ms(self.context.configuration().limits.default_timeout_ms)
        if deadline.is_error():
            return Error(deadline.error)
        limit = typed.max_tokens
        if isinstance(typed, ChatRequest):
            limit = typed.max_completion_tokens or limit
        max_tokens = min(limit or model.max_output_tokens, model.max_output_tokens)
        repeatable = model.repeatable and workspace.repeatable and not key.ok
        if not repeatable and not key.ok:
            return Error(refuse_missing_key())
        body["max_tokens"] = max_tokens
        generation = Generation(
            request_id=self.request_id,
            kind=self._kind,
            model=model,
            workspace=workspace,
            body=body,
            fingerprint=_fingerprint(workspace.name, bytes(self.body)),
            prefix_hash=prefix_hash(prompt_text(body)),
            max_tokens=max_tokens,
            idempotency_key=key.ok,
            repeatable=repeatable,
            priority=_priority(body),
            deadline_ms=deadline.ok,
            trace=self.span.context(),
        )
        options = typed.stream_options
        usage = options is not None and options.include_usage
        return Ok(_Asked(generation, typed.stream, usage))

    def _convert(self, body: dict[str, Any]) -> ChatRequest | CompletionRequest:
        """Read the body in the form of this kind of call."""
        if self._kind == "chat":
            return msgspec.convert(body, ChatRequest)
        return msgspec.convert(body, CompletionRequest)

    async def _answer(self, asked: _Asked) -> None:
        """Generate and write, token by token or whole."""
        generation = asked.generation
        create_writer = create_chat_writer if self._kind == "chat" else create_completion_writer
        writer = create_writer(generation, self.context.clock)
        events = self._events(generation)
        try:
            if asked.stream:
                await self._stream(asked, writer, events)
            else:
                await self._collect(writer, events)
        finally:
            await events.aclose()  # type: ignore[attr-defined]

    async def _events(
        self, generation: Generation
    ) -> AsyncIterator[Result[GenerationEvent, Refusal]]:
        """Wait for a route with room, then generate, through the ledger if it must not repeat."""
        admitted = await self.context.gate.admit(
            generation.model,
            generation.workspace.name,
            generation.max_tokens,
            generation.deadline_ms,
            generation.prefix_hash,
        )
        if admitted.is_error():
            yield Error(admitted.error)
            return
        permit = admitted.ok
        if permit.below_share:
            priority = generation.priority + BELOW_SHARE_PRIORITY
            generation = msgspec.structs.replace(generation, priority=priority)
        reservation = Reservation(permit.grant, permit.release)
        if generation.idempotency_key:
            async for event in self._keyed(generation, reservation):
                yield event
            return
        try:
            events = generate(generation, self.context.pipelines, reserved=permit.grant)
            async with aclosing(events):
                async for event in events:
                    yield event
        finally:
            permit.release()

    def _keyed(
        self, generation: Generation, reservation: Reservation
    ) -> AsyncIterator[Result[GenerationEvent, Refusal]]:
        """Generate through the ledger; the work goes on when the caller is gone."""
        context = self.context
        return keyed_events(
            generation,
            context.pipelines,
            context.ledger,
            lambda: self._caller_gone,
            context.background,
            reservation,
        )

    async def _collect(
        self, writer: AnswerWriter, events: AsyncIterator[Result[GenerationEvent, Refusal]]
    ) -> None:
        """Answer in one piece."""
        last_ms = self.accepted_ms
        async for event in events:
            if event.is_error():
                self.refuse(event.error)
                return
            if isinstance(event.ok, Token):
                last_ms = self._count_token(event.ok, last_ms)
                writer.add(event.ok)
                continue
            self.context.metrics.results[ResultCode.OK] += 1
            self.answer(writer.whole(event.ok))

    async def _stream(
        self,
        asked: _Asked,
        writer: AnswerWriter,
        events: AsyncIterator[Result[GenerationEvent, Refusal]],
    ) -> None:
        """Answer as server-sent events; the header waits for the first token."""
        last_ms = self.accepted_ms
        started = False
        async for event in events:
            if event.is_error() and not started:
                self.refuse(event.error)
                return
            if not started:
                self.set_header("Content-Type", "text/event-stream")
                self.set_header("Cache-Control", "no-cache")
                started = True
                self.write(writer.opening())
            if event.is_error():
                await self._break_off(event.error)
                return
            if isinstance(event.ok, Token):
                last_ms = self._count_token(event.ok, last_ms)
                self.write(writer.piece(event.ok))
                await self.flush()
                continue
            await self._end_stream(asked, writer, event.ok)

    async def _end_stream(self, asked: _Asked, writer: AnswerWriter, finished: Finished) -> None:
        """Write the finish, the counts if asked for, and the end mark."""
        self.context.metrics.results[ResultCode.OK] += 1
        self.write(writer.ending(finished, asked.include_usage))
        await self.finish()

    async def _break_off(self, refusal: Refusal) -> None:
        """End a stream that can't go on, with the refusal and without the end mark."""
        self.context.metrics.results[refusal.code] += 1
        self.span.attributes["refused"] = refusal.name
        self.write(b'data: {"error": ' + msgspec.json.encode(refusal) + b"}\n\n")
        await self.finish()

    def _count_token(self, token: Token, last_ms: float) -> float:
        """Record a token's latency and return its time."""
        now_ms = self.context.clock.now_ms()
        metrics = self.context.metrics
        metrics.tokens += 1
        latency = metrics.first_token if token.index == 0 else metrics.between_tokens
        latency.record(now_ms - last_ms)
        return now_ms


class _Asked(msgspec.Struct, frozen=True):
    """A checked request and the form of its answer."""

    generation: Generation
    """What to generate."""

    stream: bool
    """Whether to answer token by token."""

    include_usage: bool
    """Whether a stream ends with token counts."""


def _fingerprint(workspace: str, body: bytes) -> str:
    """Name a request by its workspace and body."""
    return hashlib.sha256(workspace.encode() + b"\0" + body).hexdigest()


def _priority(body: dict[str, Any]) -> int:
    """Return the caller's priority within bounds; 0 when it gave none."""
    priority = body.get("priority", 0)
    if not isinstance(priority, int):
        return 0
    return max(0, min(MAX_PRIORITY, priority))
