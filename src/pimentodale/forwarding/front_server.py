"""The HTTP server that clients connect to; each request is handled by a task of its own."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final
from weakref import WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from pimentodale.clock import MS_PER_S
from pimentodale.tracking_server import TrackingServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httputil import HTTPConnection
    from tornado.iostream import IOStream

    from pimentodale.clock import Clock
    from pimentodale.forwarding.messages import ClientRequest, ExchangeCodec
    from pimentodale.site.model import ClientLimits

_REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class ClientGoneError(Exception):
    """The client has closed its connection."""


class ClientExchange:
    """A client's request and the way back to the client."""

    __slots__ = ("_connection", "is_begun", "is_ended", "is_last", "request")

    def __init__(self, connection: HTTPConnection, request: ClientRequest) -> None:
        self._connection = connection
        self.request = request
        self.is_begun = False
        """Whether the answer's header has been written."""
        self.is_ended = False
        """Whether the answer is whole, or was broken off."""
        self.is_last = False
        """Whether the connection closes after this answer."""

    async def answer(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Write a whole answer."""
        fields = self._headers(headers)
        fields["Content-Length"] = str(len(body))
        self.is_begun = self.is_ended = True
        await self._write(self._connection.write_headers(_start_line(status), fields, body or None))
        self._finish()

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Write the header of an answer whose body follows in pieces."""
        self.is_begun = True
        await self._write(
            self._connection.write_headers(_start_line(status), self._headers(headers))
        )

    async def write(self, piece: bytes) -> None:
        """Write a piece of the body; waits while the client doesn't read."""
        await self._write(self._connection.write(piece))

    def end(self) -> None:
        """End an answer that is whole."""
        self.is_ended = True
        self._finish()

    def abort(self) -> None:
        """Close the connection, so that an unfinished answer doesn't look complete."""
        self.is_ended = True
        if isinstance(self._connection, HTTP1Connection):
            self._connection.stream.close()

    def _headers(self, headers: list[tuple[str, str]]) -> HTTPHeaders:
        """Build the header fields."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self.is_last:
            fields["Connection"] = "close"
        return fields

    async def _write(self, written: Awaitable[None]) -> None:
        """Wait for a write."""
        try:
            await written
        except StreamClosedError:
            self.is_ended = True
            raise ClientGoneError from None

    def _finish(self) -> None:
        """Let the connection go on to its next request."""
        with contextlib.suppress(StreamClosedError):
            self._connection.finish()


class FrontServer(TrackingServer):
    """Accepts clients' connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Take Tornado's own arguments."""
        super().initialize(*args, **kwargs)
        self.busy_streams: WeakSet[IOStream] = WeakSet()
        """Connections whose request has begun to arrive and has no whole answer yet."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        stream.set_nodelay(True)
        super().handle_stream(stream, address)

    def apply_limits(self, limits: ClientLimits) -> None:
        """Hold new connections to other limits."""
        self.conn_params.max_header_size = limits.max_header_bytes
        self.conn_params.max_body_size = limits.max_body_bytes
        # The same time-out bounds an idle connection and a slow header; the longer one holds.
        self.conn_params.header_timeout = limits.idle_timeout_ms / MS_PER_S

    def take_no_more(self) -> None:
        """Stop listening and close the connections that wait for a client's next request."""
        self.stop()
        for stream in list(self.streams):
            if stream not in self.busy_streams and not stream.writing():
                stream.close()


class _Connections(HTTPServerConnectionDelegate):
    """Creates the receiver of each request."""

    def __init__(
        self,
        codec: ExchangeCodec,
        clock: Clock,
        handle: Callable[[ClientExchange], Awaitable[None]],
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._handle = handle
        self.busy_streams: WeakSet[IOStream] = WeakSet()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Receive one request."""
        return _Receiver(request_conn, self._codec, self._clock, self._handle, self.busy_streams)


class _Receiver(HTTPMessageDelegate):
    """Collects one request and starts its task."""

    def __init__(
        self,
        connection: HTTPConnection,
        codec: ExchangeCodec,
        clock: Clock,
        handle: Callable[[ClientExchange], Awaitable[None]],
        busy_streams: WeakSet[IOStream],
    ) -> None:
        self._connection = connection
        self._busy_streams = busy_streams
        self._codec = codec
        self._clock = clock
        self._handle = handle
        self._request: ClientRequest | None = None
        self._parts: list[bytes] = []
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Take the header."""
        if not isinstance(start_line, RequestStartLine):
            return
        self._request = self._codec.decode_request(start_line.method, start_line.path, headers)
        self._request.received_ms = self._clock.now_ms()
        if isinstance(self._connection, HTTP1Connection):
            self._busy_streams.add(self._connection.stream)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(chunk)

    def finish(self) -> None:
        """Start the task that answers."""
        if self._request is None:
            return
        self._request.body = b"".join(self._parts)
        exchange = ClientExchange(self._connection, self._request)
        self._task = asyncio.ensure_future(self._run(exchange))
        if isinstance(self._connection, HTTP1Connection):
            self._connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """The client left before its request was whole."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, exchange: ClientExchange) -> None:
        """Answer; whatever happens, the connection doesn't stay open without an answer."""
        try:
            await self._handle(exchange)
        except ClientGoneError:
            return
        finally:
            if not exchange.is_ended:
                exchange.abort()
            if isinstance(self._connection, HTTP1Connection):
                self._busy_streams.discard(self._connection.stream)


def create_front_server(
    codec: ExchangeCodec, clock: Clock, handle: Callable[[ClientExchange], Awaitable[None]]
) -> FrontServer:
    """Return the server, not listening yet.

    Args:
        codec: Translates headers.
        clock: Tells the time.
        handle: Answers one request; cancelled when the client leaves.
    """
    connections = _Connections(codec, clock, handle)
    server = FrontServer(connections)
    server.busy_streams = connections.busy_streams
    return server


def _start_line(status: int) -> ResponseStartLine:
    """Return the first line of an answer."""
    return ResponseStartLine("HTTP/1.1", status, _REASONS.get(status, "Unknown"))
