"""One HTTP exchange on a fresh connection of its own.

A call on its own connection can't be caught by another connection that went silent, says exactly
whether any byte left this host, and can be dropped at any moment. Built on Tornado's HTTP/1.1
connection; Tornado's `AsyncHTTPClient` hides the first and can't do the last.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPInputError, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from pimentodale.clients.body_memory import body_memory
from pimentodale.clients.response_head import INTERIM_STATUSES, find_head_problem
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from tornado.httputil import ResponseStartLine
    from tornado.iostream import IOStream

    from pimentodale.addresses import Address

MAX_HEADER_BYTES: Final = 64 * 1024
"""Longest response header that is accepted."""

MAX_BODY_BYTES: Final = 64 * 1024 * 1024
"""Longest response body that is passed on chunk by chunk."""

CONNECT_TIMEOUT_MS: Final = 1000.0
"""How long a connection may take to open."""

MAX_QUEUED_BYTES: Final = 128 * 1024
"""Bytes kept between a connection and its reader before the connection waits. Hundreds of streams may
wait for clients that don't read, on hosts of 200 MB."""

_CHUNK_OVERHEAD_BYTES: Final = 128
"""What a queued chunk takes besides its content."""


class CallFault(msgspec.Struct, frozen=True):
    """Why an exchange failed."""

    sent: bool
    """Whether any byte of the request may have reached the other side."""

    silent: bool
    """Whether it failed by waiting, as against a connection that closed or was refused."""

    message: str
    """What happened, in a short sentence."""

    invalid: bool = False
    """Whether the other side answered with a header that is not valid HTTP."""


class CallRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What to send."""

    method: str
    """HTTP method."""

    path: str
    """Path with its query."""

    headers: dict[str, str] = {}
    """Request headers besides Content-Length; Host is the address unless it is given."""

    body: bytes = b""
    """Request body."""


class CallReply(msgspec.Struct, frozen=True):
    """A whole response."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Response headers, names in their canonical case."""

    body: bytes
    """Response body."""


class HttpCall:
    """An exchange whose response body is read chunk by chunk.

    Use `open_call`, then `chunks`; `close` drops the connection at once and may be repeated.
    """

    __slots__ = ("_connection", "_reader", "_response", "_stream", "address")

    def __init__(self, stream: IOStream, connection: HTTP1Connection, address: Address) -> None:
        self.address = address
        """The server that was called."""
        self._stream = stream
        self._connection = connection
        self._response = _Response(stream)
        self._reader: asyncio.Future[bool] | None = None

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self._response.status

    @property
    def headers(self) -> HTTPHeaders:
        """Headers of the response."""
        return self._response.headers

    async def chunks(self, silence_timeout_ms: float) -> AsyncIterator[Result[bytes, CallFault]]:
        """Read the body.

        Args:
            silence_timeout_ms: Longest wait for a chunk.

        Yields:
            Each chunk as it arrives; at most one fault, after which nothing follows.
        """
        while True:
            chunk = await self.next_chunk(silence_timeout_ms)
            if chunk is None:
                return
            if isinstance(chunk, CallFault):
                yield Error(chunk)
                return
            yield Ok(chunk)

    async def next_chunk(self, silence_timeout_ms: float = math.inf) -> bytes | CallFault | None:
        """Read one chunk of the body.

        Args:
            silence_timeout_ms: Longest wait for it.

        Returns:
            The chunk, `None` at the end of a whole body; or the fault, after which nothing follows.
            No `Result`, as a stream's every event passes here.
        """
        response = self._response
        try:
            if not response.queue.empty():
                chunk = response.queue.get_nowait()
            elif silence_timeout_ms == math.inf:
                chunk = await response.queue.get()
            else:
                # Not wait_for: it loses a cancel that comes in the same turn as a chunk.
                async with asyncio.timeout(silence_timeout_ms / MS_PER_S):
                    chunk = await response.queue.get()
        except TimeoutError:
            return CallFault(True, True, f"no byte for {silence_timeout_ms:.0f} ms")
        if chunk is not None:
            response.note_taken(chunk)
        elif not response.whole:
            return CallFault(True, False, "the connection closed inside the response")
        return chunk

    def close(self) -> None:
        """Drop the connection."""
        self._stream.close()
        # A reader that waits for room goes on and finds its connection closed.
        is_resumed = self._response.drop()
        if self._reader is not None and not self._reader.done() and not is_resumed:
            self._reader.cancel()

    async def _send(self, request: CallRequest) -> None:
        """Write the request and wait for the response's header."""
        headers = HTTPHeaders(request.headers)
        if "Host" not in headers:
            headers["Host"] = str(self.address)
        headers["Content-Length"] = str(len(request.body))
        headers["Connection"] = "close"
        start_line = RequestStartLine(request.method, request.path, "HTTP/1.1")
        await self._connection.write_headers(start_line, headers, request.body)
        self._connection.finish()
        self._reader = asyncio.ensure_future(self._connection.read_response(self._response))
        self._reader.add_done_callback(self._response.end)
        await self._response.header


async def open_call(
    address: Address,
    request: CallRequest,
    header_timeout_ms: float,
    connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
    before_send: Callable[[], Awaitable[bool]] | None = None,
) -> Result[HttpCall, CallFault]:
    """Connect, send a request and read the response's header.

    Args:
        address: Where to connect.
        request: What to send.
        header_timeout_ms: Longest wait for the header once connected.
        connect_timeout_ms: Longest wait for the connection.
        before_send: Asked once the connection stands, right before the first byte; when it says
            False, nothing is sent.

    Returns:
        The open call, or the fault; `sent` is False only if no byte was handed over.
    """
    try:
        async with asyncio.timeout(connect_timeout_ms / MS_PER_S):
            stream = await TCPClient().connect(address.ip, address.port)
    except TimeoutError:
        return Error(CallFault(False, True, f"no connection to {address} in time"))
    except (OSError, StreamClosedError) as error:
        return Error(CallFault(False, False, f"no connection to {address}: {error}"))
    stream.set_nodelay(True)
    if before_send is not None and not await _may_send(stream, before_send):
        return Error(CallFault(False, False, f"nothing was sent to {address}"))
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_header_size=MAX_HEADER_BYTES, max_body_size=MAX_BODY_BYTES
    )
    call = HttpCall(stream, HTTP1Connection(stream, True, parameters), address)
    try:
        async with asyncio.timeout(header_timeout_ms / MS_PER_S):
            await call._send(request)
    except TimeoutError:
        call.close()
        return Error(CallFault(True, True, f"{address} sent no header in time"))
    except HTTPInputError as error:
        call.close()
        return Error(CallFault(True, False, f"{address} gave no valid response: {error}", True))
    except (OSError, StreamClosedError, EOFError) as error:
        call.close()
        return Error(CallFault(True, False, f"{address} gave no response: {error}"))
    except asyncio.CancelledError:
        call.close()
        raise
    return Ok(call)


async def collect_body(call: HttpCall, silence_timeout_ms: float) -> Result[bytes, CallFault]:
    """Read a response's body until it is whole; the call is closed in any case.

    Args:
        call: The open call.
        silence_timeout_ms: Longest wait for a chunk.

    Returns:
        The body, or the fault; a body that is too long is one.
    """
    share = body_memory.open(call.address, call.close)
    body = bytearray()
    is_whole = False
    try:
        async for chunk in call.chunks(silence_timeout_ms):
            if chunk.is_ok():
                share.grow(len(chunk.ok))
            if share.is_abandoned:
                return Error(CallFault(True, False, f"a response of over {share.body_bytes} bytes"))
            if chunk.is_error():
                return Error(chunk.error)
            body += chunk.ok
        is_whole = not share.is_abandoned
    finally:
        share.end(is_whole=is_whole)
        call.close()
    if not is_whole:
        return Error(CallFault(True, False, f"a response of over {share.body_bytes} bytes"))
    return Ok(bytes(body))


async def fetch(
    address: Address,
    request: CallRequest,
    timeout_ms: float,
    before_send: Callable[[], Awaitable[bool]] | None = None,
) -> Result[CallReply, CallFault]:
    """Make a whole exchange.

    Args:
        address: Where to connect.
        request: What to send.
        timeout_ms: Longest time for all of it.
        before_send: As in `open_call`.

    Returns:
        The whole response, or the fault.
    """
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_S):
            return await _fetch_unbounded(address, request, timeout_ms, before_send)
    except TimeoutError:
        return Error(CallFault(True, True, f"{address} gave no whole response in time"))


async def _fetch_unbounded(
    address: Address,
    request: CallRequest,
    timeout_ms: float,
    before_send: Callable[[], Awaitable[bool]] | None,
) -> Result[CallReply, CallFault]:
    """Read a whole response, each wait bounded by the same time-out."""
    connect_timeout_ms = min(timeout_ms, CONNECT_TIMEOUT_MS)
    opened = await open_call(address, request, timeout_ms, connect_timeout_ms, before_send)
    if opened.is_error():
        return Error(opened.error)
    call = opened.ok
    body = await collect_body(call, timeout_ms)
    if body.is_error():
        return Error(body.error)
    return Ok(CallReply(call.status, dict(call.headers.get_all()), body.ok))


async def _may_send(stream: IOStream, before_send: Callable[[], Awaitable[bool]]) -> bool:
    """Ask whether the first byte may go out; drop the connection if it may not."""
    allowed = False
    try:
        allowed = await before_send()
    finally:
        if not allowed:
            stream.close()
    return allowed


class _Response(HTTPMessageDelegate):
    """Receives one response and queues its chunks; `None` marks the end."""

    __slots__ = (
        "_is_dropped",
        "_queued_bytes",
        "_room",
        "_stream",
        "header",
        "headers",
        "queue",
        "status",
        "whole",
    )

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._queued_bytes = 0
        self._is_dropped = False
        self._room: asyncio.Future[None] | None = None
        """Resolved once there is room in the queue; `None` while there is."""
        self.header: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.headers = HTTPHeaders()
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.status = 0
        self.whole = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the header; an interim response is passed over, an invalid one ends the exchange."""
        code = getattr(start_line, "code", 0)
        problem = find_head_problem(code, headers.get_all())
        if problem is not None:
            self._refuse(problem)
            return
        if code in INTERIM_STATUSES:
            return
        self.status = code
        self.headers = headers
        if not self.header.done():
            self.header.set_result(None)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Queue a chunk; the connection waits while the queue is full."""
        if self._is_dropped:
            return None
        self.queue.put_nowait(chunk)
        self._queued_bytes += len(chunk) + _CHUNK_OVERHEAD_BYTES
        if self._queued_bytes < MAX_QUEUED_BYTES:
            return None
        self._room = asyncio.get_running_loop().create_future()
        return self._room

    def note_taken(self, chunk: bytes) -> None:
        """Note that a chunk was taken from the queue."""
        self._queued_bytes -= len(chunk) + _CHUNK_OVERHEAD_BYTES
        if self._queued_bytes < MAX_QUEUED_BYTES:
            self._resume()

    def drop(self) -> bool:
        """Drop what comes from now on; return whether the connection waited for room."""
        self._is_dropped = True
        return self._resume()

    def _refuse(self, problem: str) -> None:
        """End the exchange; what follows on the connection can't be told apart from the header."""
        if not self.header.done():
            self.header.set_exception(HTTPInputError(problem))
        self.drop()
        self._stream.close()

    def _resume(self) -> bool:
        """Let the connection go on if it waits for room; return whether it did."""
        room, self._room = self._room, None
        if room is None or room.done():
            return False
        room.set_result(None)
        return True

    def finish(self) -> None:
        """Note that the body is whole.

        One without a length ends with its connection, which a reset must not pass for.
        """
        self.whole = self._stream.error is None and not self._is_dropped

    def end(self, reader: asyncio.Future[bool]) -> None:
        """Mark the end once the connection's reader is done, however it ended."""
        error = StreamClosedError() if reader.cancelled() else reader.exception()
        if not self.header.done():
            # The connection's reader ends without an exception if it has refused the header.
            self.header.set_exception(error or HTTPInputError("its header can't be parsed"))
            # Nobody may be waiting any more after a time-out.
            self.header.exception()
        self.queue.put_nowait(None)
