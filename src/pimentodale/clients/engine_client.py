"""Client of one engine: a stream of tokens, and the small calls beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.engine_messages import (
    EngineLoad,
    EngineRefusal,
    RequestProgress,
    TokenNote,
)
from pimentodale.clients.http_call import CallFault, CallRequest, collect_body, fetch, open_call
from pimentodale.clients.retry_after import RETRY_AFTER, read_retry_after_ms
from pimentodale.clock import create_clock
from pimentodale.foreign_bytes import UNREADABLE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from pimentodale.addresses import Address
    from pimentodale.clients.engine_messages import EngineCall
    from pimentodale.clients.http_call import HttpCall

HTTP_OK: Final = 200
"""Status of an opened stream."""

_DATA: Final = b"data:"
_DONE: Final = b"[DONE]"
_MAX_LINE_BYTES: Final = 256 * 1024


class EngineToken(msgspec.Struct, frozen=True):
    """A token as an engine gave it, not verified yet."""

    note: TokenNote
    """The extension's field."""


class EngineFinish(msgspec.Struct, frozen=True):
    """An engine's word that the answer is whole."""

    reason: str
    """`stop` or `length`."""

    prompt_tokens: int
    """Tokens of the prompt."""

    completion_tokens: int
    """Tokens of the answer, resumed ones included."""


class EngineFault(msgspec.Struct, frozen=True):
    """Why a stream from an engine can't go on."""

    message: str
    """What happened."""

    sent: bool = True
    """Whether the engine may have got any byte of the request."""

    silent: bool = False
    """Whether nothing came for too long, as against a connection that closed."""

    refused: EngineRefusal | None = None
    """Set when the engine answered that it ran nothing."""

    stage_lost: str = ""
    """A later stage that the head has lost."""

    malformed: bool = False
    """Whether the engine's answer was not in its protocol."""

    connection_lost: bool = False
    """Whether only the connection was lost: the engine answers on another one."""

    hold_off_ms: float | None = None
    """How long the stage that refused for want of room wants nothing; `None` where it did not say."""


EngineEvent = EngineToken | EngineFinish
"""What a stream yields."""


class _Choice(msgspec.Struct):
    """The part of a chunk's choice that is read."""

    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    """Token counts of the last chunk."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    """The part of a chunk that is read."""

    pimentodale: TokenNote | None = None
    choices: list[_Choice] = []
    usage: _Usage | None = None


class _CancelBody(msgspec.Struct):
    """Body of a cancel call."""

    request_id: str
    attempt: int


class _RefusalBody(msgspec.Struct):
    """Body of a 4xx or 5xx answer."""

    pimentodale: EngineRefusal


_chunk_decoder: Final = msgspec.json.Decoder(_Chunk)
_refusal_decoder: Final = msgspec.json.Decoder(_RefusalBody)


class EngineStream:
    """An accepted completion; iterate `events`, and `close` it in any case."""

    __slots__ = ("_call", "_clock", "_rest")

    def __init__(self, call: HttpCall) -> None:
        self._call = call
        self._clock = create_clock()
        self._rest = b""

    async def events(
        self, silence_timeout_ms: float, first_timeout_ms: float | None = None
    ) -> AsyncIterator[Result[EngineEvent, EngineFault]]:
        """Read the stream.

        Args:
            silence_timeout_ms: Longest wait for the next event; bytes that are none don't count.
            first_timeout_ms: Longest wait for the first event; `None` if it is the same.

        Yields:
            Tokens, then one finish; or one fault, after which nothing follows. After a silent
            fault the stream may be read on by another call.
        """
        finish: EngineFinish | None = None
        first_ms = silence_timeout_ms if first_timeout_ms is None else first_timeout_ms
        async for line in self._lines(silence_timeout_ms, first_ms):
            if line.is_error():
                yield Error(line.error)
                return
            if line.ok == _DONE:
                break
            event = _parse_chunk(line.ok)
            if event.is_error():
                yield event
                return
            if isinstance(event.ok, EngineToken):
                yield event
                continue
            finish = event.ok
        if finish is None:
            yield Error(EngineFault("the stream ended without its finish", malformed=True))
            return
        yield Ok(finish)

    def close(self) -> None:
        """Drop the connection, which cancels the work at all stages."""
        self._call.close()

    async def _lines(
        self, silence_timeout_ms: float, first_timeout_ms: float
    ) -> AsyncIterator[Result[bytes, EngineFault]]:
        """Split the stream into the contents of its `data:` lines."""
        heard_ms = self._clock.now_ms()
        limit_ms = left_ms = first_timeout_ms
        while True:
            chunk = await self._call.next_chunk(left_ms)
            if chunk is None:
                return
            if isinstance(chunk, CallFault):
                yield Error(_fault_of(chunk))
                return
            *lines, self._rest = (self._rest + chunk).split(b"\n")
            for line in lines:
                if line.startswith(_DATA):
                    yield Ok(line[len(_DATA) :].strip())
                    heard_ms = self._clock.now_ms()
                    limit_ms = silence_timeout_ms
            if len(self._rest) > _MAX_LINE_BYTES:
                yield Error(EngineFault("a line of the stream is too long", malformed=True))
                return
            left_ms = limit_ms - (self._clock.now_ms() - heard_ms)
            if left_ms <= 0:
                message = f"no event for {limit_ms:.0f} ms"
                yield Error(EngineFault(message, sent=True, silent=True))
                return


async def open_stream(
    address: Address,
    path: str,
    body: dict[str, Any],
    call: EngineCall,
    headers: dict[str, str],
    header_timeout_ms: float,
    before_send: Callable[[], Awaitable[bool]] | None = None,
) -> Result[EngineStream, EngineFault]:
    """Ask the head of a route for a completion.

    Args:
        address: The head engine.
        path: `/v1/chat/completions` or `/v1/completions`.
        body: The caller's request.
        call: The extension's field.
        headers: Such as `traceparent`.
        header_timeout_ms: Longest wait for the engine to accept.
        before_send: Asked right before the first byte; when it says False, nothing is sent.

    Returns:
        The open stream, or why there is none.
    """
    payload = {**body, "stream": True, "pimentodale": call}
    payload.pop("stream_options", None)
    request = CallRequest(
        method="POST",
        path=path,
        headers={"Content-Type": "application/json", **headers},
        body=msgspec.json.encode(payload),
    )
    opened = await open_call(address, request, header_timeout_ms, before_send=before_send)
    if opened.is_error():
        return Error(_fault_of(opened.error))
    if opened.ok.status == HTTP_OK:
        return Ok(EngineStream(opened.ok))
    return Error(await _read_refusal(opened.ok, call, header_timeout_ms))


async def read_load(address: Address, timeout_ms: float) -> Result[EngineLoad, EngineFault]:
    """Read an engine's load report; also proves that the engine answers.

    Args:
        address: The engine.
        timeout_ms: Longest time for the call.
    """
    request = CallRequest(method="GET", path="/v1/pimentodale/load")
    reply = await fetch(address, request, timeout_ms)
    if reply.is_error():
        return Error(_fault_of(reply.error))
    if reply.ok.status != HTTP_OK:
        return Error(EngineFault(f"answered HTTP {reply.ok.status}", malformed=True))
    try:
        return Ok(msgspec.json.decode(reply.ok.body, type=EngineLoad))
    except UNREADABLE as error:
        return Error(EngineFault(f"load report not in its form: {error}", malformed=True))


async def read_progress(
    address: Address, request_id: str, attempt: int, timeout_ms: float
) -> Result[RequestProgress | None, EngineFault]:
    """Ask a head over a fresh connection how far it is with a request.

    Args:
        address: The head engine.
        request_id: The request.
        attempt: The attempt.
        timeout_ms: Longest time for the call.

    Returns:
        How far it is; `None` when it answers but does not hold the request (or can't say).
    """
    query = urlencode({"request_id": request_id, "attempt": attempt})
    request = CallRequest(method="GET", path=f"/v1/pimentodale/progress?{query}")
    reply = await fetch(address, request, timeout_ms)
    if reply.is_error():
        return Error(_fault_of(reply.error))
    if reply.ok.status != HTTP_OK:
        return Ok(None)
    try:
        return Ok(msgspec.json.decode(reply.ok.body, type=RequestProgress))
    except UNREADABLE:
        return Ok(None)


async def cancel_request(
    address: Address, request_id: str, attempt: int, timeout_ms: float
) -> Result[None, EngineFault]:
    """Cancel a request over a fresh connection, where closing the old one may not be seen.

    Args:
        address: The head engine.
        request_id: The request.
        attempt: The attempt.
        timeout_ms: Longest time for the call.

    Returns:
        Nothing once the engine answered.
    """
    body = msgspec.json.encode(_CancelBody(request_id, attempt))
    request = CallRequest(
        method="POST",
        path="/v1/pimentodale/cancel",
        headers={"Content-Type": "application/json"},
        body=body,
    )
    reply = await fetch(address, request, timeout_ms)
    if reply.is_error():
        return Error(_fault_of(reply.error))
    return Ok(None)


def _parse_chunk(data: bytes) -> Result[EngineEvent, EngineFault]:
    """Read one chunk."""
    try:
        chunk = _chunk_decoder.decode(data)
    except UNREADABLE as error:
        return Error(EngineFault(f"a chunk is not in its form: {error}", malformed=True))
    note = chunk.pimentodale
    if note is not None and note.stage_lost:
        return Error(EngineFault(f"stage {note.stage_lost} lost", stage_lost=note.stage_lost))
    reason = next((choice.finish_reason for choice in chunk.choices), None)
    if reason is not None:
        usage = chunk.usage or _Usage()
        return Ok(EngineFinish(reason, usage.prompt_tokens, usage.completion_tokens))
    if note is None:
        return Error(EngineFault("a chunk carries no token", malformed=True))
    return Ok(EngineToken(note))


async def _read_refusal(answer: HttpCall, call: EngineCall, timeout_ms: float) -> EngineFault:
    """Read why an engine did not accept; only its word on this call makes it 'ran nothing'."""
    status = answer.status
    body = await collect_body(answer, timeout_ms)
    if body.is_error():
        return _fault_of(body.error)
    try:
        refusal = _refusal_decoder.decode(body.ok).pimentodale
    except UNREADABLE:
        return EngineFault(f"answered HTTP {status}", malformed=True)
    if not refusal.concerns(call):
        message = f"it refused attempt {refusal.attempt} of request {refusal.request_id}"
        return EngineFault(message, malformed=True)
    hold_off_ms = None
    if refusal.busy:
        hold_off_ms = read_retry_after_ms(answer.headers.get(RETRY_AFTER))
    return EngineFault(
        f"answered HTTP {status}",
        refused=refusal,
        stage_lost=refusal.stage_lost,
        hold_off_ms=hold_off_ms,
    )


def _fault_of(fault: CallFault) -> EngineFault:
    """Turn a connection's fault into a stream's."""
    return EngineFault(fault.message, sent=fault.sent, silent=fault.silent, malformed=fault.invalid)
