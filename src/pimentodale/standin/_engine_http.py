"""A stand-in engine's HTTP paths."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from pimentodale.clients.engine_messages import (
    EngineCall,
    EngineOrder,
    EngineRefusal,
    RequestProgress,
    TokenNote,
)
from pimentodale.clients.prompt_text import prompt_text
from pimentodale.standin._answer import AnswerChunks, ChunkIds, answer_chunks
from pimentodale.standin._faults import FaultOrder
from pimentodale.standin._head import HeadStream, StageLostError, StreamCancelledError
from pimentodale.standin._journal import StreamCancelled
from pimentodale.standin._kv_cache import pack_entry
from pimentodale.standin.reference_text import answer_end, run_layers

if TYPE_CHECKING:
    from pimentodale.standin._engine_core import Engine

_DEFAULT_MAX_TOKENS: Final = 1024
_HEX_DIGITS: Final = 16


class CompletionBody(msgspec.Struct, kw_only=True):
    """The part of an OpenAI request that the engine looks at."""

    model: str
    pimentodale: EngineCall
    stream: bool = False
    messages: list[Any] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class RefusalBody(msgspec.Struct):
    """Body of a refusal."""

    pimentodale: EngineRefusal


class NoteBody(msgspec.Struct):
    """An event without an OpenAI chunk."""

    pimentodale: TokenNote


class CancelBody(msgspec.Struct):
    """Body of a cancel call."""

    request_id: str
    attempt: int


class CancelReply(msgspec.Struct):
    """Answer of a cancel call."""

    cancelled: bool


class StageBody(msgspec.Struct):
    """Body of a call that drives one hop."""

    request_id: str
    attempt: int
    index: int
    position: int
    activation: str
    """The state before the layers, 16 hexadecimal digits."""

    first_layer: int
    last_layer: int


class StageReply(msgspec.Struct):
    """Answer of a call that drives one hop."""

    activation: str


class _EngineHandler(RequestHandler):
    """What all paths share."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine."""
        self.engine = engine
        self.gone = asyncio.Event()

    async def prepare(self) -> None:
        """Note the connection; a silent one never gets an answer."""
        stream = self.stream()
        self.engine.callers.add(stream)
        while self.is_silent():
            await asyncio.Event().wait()

    def stream(self) -> Any:
        """Return the caller's connection."""
        connection: Any = self.request.connection
        return connection.stream

    def is_silent(self) -> bool:
        """Whether the connection drops all bytes."""
        return self.stream() in self.engine.silent

    def on_connection_close(self) -> None:
        """Note that the caller went away; over a silent connection that is not seen."""
        if not self.is_silent():
            self.gone.set()

    def answer(self, value: msgspec.Struct, status: int = 200) -> None:
        """Answer with a message as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def refuse(self, refusal: EngineRefusal) -> None:
        """Answer that nothing was run."""
        status = 503
        if refusal.mismatch:
            status = 409
        elif refusal.busy:
            status = 429
            if self.engine.faults.retry_after:
                self.set_header("Retry-After", self.engine.faults.retry_after)
        elif refusal.stage_lost:
            status = 502
        self.answer(RefusalBody(refusal), status)


class CompletionHandler(_EngineHandler):
    """`POST /v1/chat/completions` and `/v1/completions`."""

    async def post(self) -> None:
        """Stream an answer."""
        engine = self.engine
        try:
            body = msgspec.json.decode(self.request.body, type=CompletionBody)
        except msgspec.MsgspecError as error:
            self.refuse(EngineRefusal(mismatch=str(error)))
            return
        if engine.faults.no_header:
            await self.gone.wait()
            return
        if body.model != engine.orders.reached.model and engine.takes_work():
            mismatch = f"{engine.settings.replica} has no {body.model}"
            self._refuse_call(body.pimentodale, EngineRefusal(mismatch=mismatch))
            return
        prompt = prompt_text(msgspec.json.decode(self.request.body))
        key = self.request.headers.get("Idempotency-Key", "")
        opened = await engine.heads.open(body.pimentodale, prompt, key)
        if opened.is_error():
            self._refuse_call(body.pimentodale, opened.error)
            return
        stream = opened.ok
        watch = asyncio.create_task(self._cancel_when_gone(stream))
        try:
            await self._answer(body, prompt, stream)
        except (StreamClosedError, StreamCancelledError):
            engine.heads.close(stream, "cancelled")
            self.stream().close()
        finally:
            watch.cancel()

    def _refuse_call(self, call: EngineCall, refusal: EngineRefusal) -> None:
        """Answer that nothing of this call was run."""
        self.refuse(
            msgspec.structs.replace(refusal, request_id=call.request_id, attempt=call.attempt)
        )

    async def _cancel_when_gone(self, stream: HeadStream) -> None:
        """Cancel the stream once its caller went away."""
        await self.gone.wait()
        stream.fail(StreamCancelledError())
        self.engine.heads.close(stream, "cancelled")

    async def _answer(self, body: CompletionBody, prompt: str, stream: HeadStream) -> None:
        """Write the answer's events."""
        max_tokens = body.max_completion_tokens or body.max_tokens or _DEFAULT_MAX_TOKENS
        end = answer_end(prompt, max_tokens)
        self.set_header("Content-Type", "text/event-stream")
        await self._send(b"")
        ids = ChunkIds(
            stream.call.request_id, stream.call.attempt, body.model, body.messages is not None
        )
        chunks = answer_chunks(self.engine, stream, ids)
        try:
            while len(stream.tokens) < end.tokens:
                token = await self.engine.heads.next_token(stream)
                for chunk in chunks.token(token):
                    await self._send(chunk)
                if chunks.cut:
                    self.engine.heads.close(stream, "done")
                    self.stream().close()
                    return
        except StageLostError as error:
            self.engine.heads.close(stream, "stage_lost")
            call = stream.call
            note = TokenNote(
                request_id=call.request_id, attempt=call.attempt, stage_lost=str(error)
            )
            await self._send(b"data: " + msgspec.json.encode(NoteBody(note)) + b"\n\n")
            await self._end()
            return
        self.engine.heads.close(stream, "done")
        await self._finish(chunks, prompt, stream, end.finish_reason)

    async def _finish(
        self, chunks: AnswerChunks, prompt: str, stream: HeadStream, finish_reason: str
    ) -> None:
        """Write the last chunk and the end mark."""
        for chunk in chunks.finish(prompt, len(stream.tokens), finish_reason):
            await self._send(chunk)
        await self._end()

    async def _send(self, data: bytes) -> None:
        """Send octets, unless the connection drops them."""
        if self.is_silent():
            return
        if data:
            self.write(data)
        await self.flush()

    async def _end(self) -> None:
        """End the response; a silent connection stays open without an end."""
        if self.is_silent():
            await self.gone.wait()
            return
        self.finish()


class LoadHandler(_EngineHandler):
    """`GET /v1/pimentodale/load`."""

    def get(self) -> None:
        """Report the load."""
        self.answer(self.engine.load_report())


class ProgressHandler(_EngineHandler):
    """`GET /v1/pimentodale/progress`."""

    def get(self) -> None:
        """Tell how far the head is with a request."""
        request_id = self.get_query_argument("request_id")
        attempt = int(self.get_query_argument("attempt", "0"))
        for stream in self.engine.heads.streams.values():
            call = stream.call
            if call.request_id != request_id or call.attempt != attempt:
                continue
            self.answer(
                RequestProgress(request_id=request_id, attempt=attempt, tokens=len(stream.tokens))
            )
            return
        self.answer(RefusalBody(EngineRefusal(mismatch="no such request here")), 404)


class StateHandler(_EngineHandler):
    """`GET /v1/pimentodale/state`."""

    def get(self) -> None:
        """Report what is held and wished."""
        self.answer(self.engine.orders.report())


class OrderHandler(_EngineHandler):
    """`POST /v1/pimentodale/orders`."""

    def post(self) -> None:
        """Take an order."""
        try:
            order = msgspec.json.decode(self.request.body, type=EngineOrder)
        except msgspec.MsgspecError as error:
            self.answer(RefusalBody(EngineRefusal(mismatch=str(error))), 400)
            return
        result = self.engine.orders.take(order)
        if result.is_error():
            self.answer(result.error, 409)
            return
        self.answer(result.ok)


class CancelHandler(_EngineHandler):
    """`POST /v1/pimentodale/cancel`."""

    def post(self) -> None:
        """Cancel a request."""
        try:
            body = msgspec.json.decode(self.request.body, type=CancelBody)
        except msgspec.MsgspecError as error:
            self.answer(RefusalBody(EngineRefusal(mismatch=str(error))), 400)
            return
        found = self.engine.heads.cancel(body.request_id, body.attempt)
        line = StreamCancelled(
            replica=self.engine.settings.replica,
            request_id=body.request_id,
            attempt=body.attempt,
            found=found,
        )
        self.engine.journal.write(line)
        self.answer(CancelReply(found))


class CacheEventsHandler(_EngineHandler):
    """`GET /v1/pimentodale/cache_events`."""

    def get(self) -> None:
        """List events."""
        after = int(self.get_query_argument("after", "0"))
        self.answer(self.engine.prefix_cache.events_after(after))


class KvHandler(_EngineHandler):
    """`GET /v1/pimentodale/kv`."""

    def get(self) -> None:
        """Export the KV cache of a request."""
        entry = self.engine.stage.export(self.get_query_argument("request_id"))
        if entry is None:
            self.answer(RefusalBody(EngineRefusal(mismatch="no KV cache of this request")), 404)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(pack_entry(entry))


class StageHandler(_EngineHandler):
    """`POST /v1/pimentodale/stage`."""

    async def post(self) -> None:
        """Run one hop's layers for one token."""
        try:
            body = msgspec.json.decode(self.request.body, type=StageBody)
            before = int(body.activation, 16)
        except (msgspec.MsgspecError, ValueError) as error:
            self.refuse(EngineRefusal(mismatch=str(error)))
            return
        await self.engine.clock.sleep_ms(self.engine.settings.step_ms)
        after = run_layers(before, body.first_layer, body.last_layer)
        self.answer(StageReply(f"{after:0{_HEX_DIGITS}x}"))


class FaultHandler(RequestHandler):
    """`POST /admin/faults`."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine."""
        self.engine = engine

    def post(self) -> None:
        """Switch faults."""
        try:
            order = msgspec.json.decode(self.request.body, type=FaultOrder)
        except msgspec.MsgspecError as error:
            self.set_status(400)
            self.finish(str(error))
            return
        self.engine.apply(order)
        self.finish()


def create_application(engine: Engine) -> Application:
    """Return the paths that callers and operators use."""
    arguments = {"engine": engine}
    return Application(
        [
            ("/v1/chat/completions", CompletionHandler, arguments),
            ("/v1/completions", CompletionHandler, arguments),
            ("/v1/pimentodale/load", LoadHandler, arguments),
            ("/v1/pimentodale/progress", ProgressHandler, arguments),
            ("/v1/pimentodale/state", StateHandler, arguments),
            ("/v1/pimentodale/orders", OrderHandler, arguments),
            ("/v1/pimentodale/cancel", CancelHandler, arguments),
            ("/v1/pimentodale/cache_events", CacheEventsHandler, arguments),
            ("/v1/pimentodale/kv", KvHandler, arguments),
            ("/v1/pimentodale/stage", StageHandler, arguments),
            ("/admin/faults", FaultHandler, arguments),
        ],
        log_function=_log_nothing,
    )


def create_admin_application(engine: Engine) -> Application:
    """Return the admin path alone, for a listener that outlives a crash."""
    return Application([("/admin/faults", FaultHandler, {"engine": engine})])


def _log_nothing(_handler: RequestHandler) -> None:
    """Leave access logs out: the journal says what was done."""
