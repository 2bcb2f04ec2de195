"""The HTTP server that clients connect to; each request is handled in its own task."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final
from weakref import WeakKeyDictionary, WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.client_exchange import ClientExchange, ClientGoneError
from pimentodale.forwarding.client_stream import ClientStream
from pimentodale.forwarding.error_responses import refusal_parts
from pimentodale.logs import get_log
from pimentodale.results import Ran, ResultCode, create_refusal
from pimentodale.site.model import ClientLimits
from pimentodale.tracking_server import TrackingServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httputil import HTTPConnection
    from tornado.iostream import IOStream

    from pimentodale.clock import Clock
    from pimentodale.forwarding.messages import ClientRequest, ExchangeCodec

LINGER_MS: Final = 1_000.0
"""How long the rest of a refused body is read and discarded. Closing a connection with unread bytes
resets it, and the client may lose the response. Clients on the site's network send 4 MB in less."""

_NO_BODY_LIMIT_BYTES: Final = 2**62
"""Body size limit given to Tornado, which would answer 400; the limit is enforced here instead."""

_log = get_log("request")


class FrontServer(TrackingServer):
    """Accepts client connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize with the arguments of Tornado's server."""
        super().initialize(*args, **kwargs)
        self.shared = SharedServerState()
        """State shared by the connections of this server."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        busy = self.shared.busy_streams
        client = ClientStream(stream.socket, lambda waiting: waiting not in busy)
        client.set_nodelay(True)
        super().handle_stream(client, address)

    def apply_limits(self, limits: ClientLimits) -> None:
        """Set the limits of new connections."""
        self.conn_params.max_header_size = limits.max_header_bytes
        self.conn_params.max_body_size = _NO_BODY_LIMIT_BYTES
        self.shared.limits = limits
        # Tornado has one timeout for idle connections and slow headers; the longer limit applies.
        self.conn_params.header_timeout = limits.idle_timeout_ms / MS_PER_S

    def stop_accepting(self) -> None:
        """Stop listening and close the connections that are idle between two requests.

        Connections with a request in progress, or without one so far, close after its response.
        """
        self.stop()
        for stream in list(self.streams):
            had_request = stream in self.shared.used_streams
            if had_request and not self.awaits(stream) and not stream.writing():
                stream.close()

    async def close_all_connections(self) -> None:
        """Close all connections, whatever they wait for."""
        self.shared.is_closing = True
        await super().close_all_connections()

    def awaits(self, stream: IOStream) -> bool:
        """Whether a connection has a request that must be answered before it closes."""
        return stream in self.shared.busy_streams or super().awaits(stream)


class SharedServerState:
    """State shared by all connections of a server."""

    __slots__ = ("busy_streams", "is_closing", "limits", "used_streams")

    def __init__(self) -> None:
        self.used_streams: WeakSet[IOStream] = WeakSet()
        """Connections that have received a request."""
        self.busy_streams: WeakKeyDictionary[IOStream, _Receiver] = WeakKeyDictionary()
        """Connections with a request that has started to arrive and is not fully answered yet, with
        the newest one. It may come before the end of the one before it is noted."""
        self.limits = ClientLimits()
        """Limits on client requests."""
        self.is_closing = False
        """Whether the server closes all connections, as the host's time to stop is over."""


class _Connections(HTTPServerConnectionDelegate):
    """Creates a receiver for each request."""

    def __init__(
        self,
        codec: ExchangeCodec,
        clock: Clock,
        handle: Callable[[ClientExchange], Awaitable[None]],
        shared: SharedServerState,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._handle = handle
        self._shared = shared

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Receive one request."""
        return _Receiver(request_conn, self._codec, self._clock, self._handle, self._shared)


class _Receiver(HTTPMessageDelegate):
    """Collects one request and starts its task."""

    def __init__(
        self,
        connection: HTTPConnection,
        codec: ExchangeCodec,
        clock: Clock,
        handle: Callable[[ClientExchange], Awaitable[None]],
        shared: SharedServerState,
    ) -> None:
        self._connection = connection
        self._shared = shared
        self._codec = codec
        self._clock = clock
        self._handle = handle
        self._request: ClientRequest | None = None
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._body_ended = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._exchange: ClientExchange | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Decode the request header; refuse a declared body length over the limit."""
        if not isinstance(start_line, RequestStartLine):
            return
        self._request = self._codec.decode_request(start_line.method, start_line.path, headers)
        self._request.received_ms = self._clock.now_ms()
        if isinstance(self._connection, HTTP1Connection):
            self._shared.busy_streams[self._connection.stream] = self
            self._shared.used_streams.add(self._connection.stream)
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._shared.limits.max_body_bytes:
            self._start(self._refuse_body)

    def data_received(self, chunk: bytes) -> None:
        """Collect a chunk of the body; refuse the request once it exceeds the limit."""
        if self._task is not None:
            return
        self._body_bytes += len(chunk)
        self._parts.append(chunk)
        if self._body_bytes > self._shared.limits.max_body_bytes:
            self._start(self._refuse_body)

    def finish(self) -> None:
        """Handle the complete request in a task."""
        self._body_ended.set()
        if self._request is None or self._task is not None:
            return
        self._request.body = b"".join(self._parts)
        self._start(self._handle)
        if isinstance(self._connection, HTTP1Connection):
            self._connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """Cancel the request of a connection that has closed."""
        if self._exchange is not None:
            self._exchange.is_closed_by_host = self._shared.is_closing
        if self._task is not None:
            self._task.cancel()

    def _start(self, handle: Callable[[ClientExchange], Awaitable[None]]) -> None:
        """Start the task that answers the request."""
        assert self._request is not None
        self._parts.clear()
        exchange = self._exchange = ClientExchange(self._connection, self._request)
        self._task = asyncio.ensure_future(self._run(exchange, handle))

    async def _refuse_body(self, exchange: ClientExchange) -> None:
        """Refuse a request with a body over the limit, while the body is still arriving."""
        limit_bytes = self._shared.limits.max_body_bytes
        message = f"The body is over {limit_bytes} bytes; send a smaller one."
        refusal = create_refusal(ResultCode.BODY_TOO_LARGE, message, ran=Ran.NOT_RUN)
        _log.info(
            "A request body exceeds the limit.",
            request=exchange.request.attempt_id,
            limit_bytes=limit_bytes,
        )
        status, headers, body = refusal_parts(refusal)
        exchange.is_last = True
        await exchange.begin(status, [*headers, ("Content-Length", str(len(body)))])
        await exchange.write(body)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._body_ended.wait(), LINGER_MS / MS_PER_S)
        exchange.end()

    async def _run(
        self, exchange: ClientExchange, handle: Callable[[ClientExchange], Awaitable[None]]
    ) -> None:
        """Answer a request; if that fails, close the connection rather than leave it pending."""
        try:
            await handle(exchange)
        except ClientGoneError:
            return
        except Exception:
            # Otherwise the exception would be reported only when the task is garbage collected.
            _log.exception(
                "A request failed within this host.", request=exchange.request.attempt_id
            )
        finally:
            if not exchange.is_ended:
                exchange.abort()
            self._note_answered()

    def _note_answered(self) -> None:
        """Note that the connection is idle, unless its next request has come already."""
        if not isinstance(self._connection, HTTP1Connection):
            return
        busy = self._shared.busy_streams
        if busy.get(self._connection.stream) is self:
            del busy[self._connection.stream]


def create_front_server(
    codec: ExchangeCodec, clock: Clock, handle: Callable[[ClientExchange], Awaitable[None]]
) -> FrontServer:
    """Return a server that does not listen yet.

    Args:
        codec: Translates headers.
        clock: Source of time.
        handle: Answers one request; cancelled when the client disconnects.
    """
    shared = SharedServerState()
    server = FrontServer(_Connections(codec, clock, handle, shared))
    server.shared = shared
    return server
