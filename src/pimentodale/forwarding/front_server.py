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

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.client_exchange import ClientExchange, ClientGoneError
from pimentodale.forwarding.client_stream import ClientStream
from pimentodale.forwarding.refusing import refusal_parts
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
"""How long the rest of a body is read and dropped after its refusal, as a connection that closes over
unread bytes is reset and may lose the answer. Clients on the site's network send 4 MB in less."""

_LONGEST_LENGTH: Final = 2**62
"""Tornado's own limit of a body, out of reach: it would answer 400."""

_log = get_log("request")


class FrontServer(TrackingServer):
    """Accepts clients' connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Take Tornado's own arguments."""
        super().initialize(*args, **kwargs)
        self.intake = Intake()
        """What this server's connections share."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        busy = self.intake.busy_streams
        client = ClientStream(stream.socket, lambda waiting: waiting not in busy)
        client.set_nodelay(True)
        super().handle_stream(client, address)

    def apply_limits(self, limits: ClientLimits) -> None:
        """Hold new connections to other limits."""
        self.conn_params.max_header_size = limits.max_header_bytes
        self.conn_params.max_body_size = _LONGEST_LENGTH
        self.intake.limits = limits
        # The same time-out bounds an idle connection and a slow header; the longer one holds.
        self.conn_params.header_timeout = limits.idle_timeout_ms / MS_PER_S

    def take_no_more(self) -> None:
        """Stop listening and close the connections that wait for a client's next request.

        Those on which one has come, or which had none yet, close after its answer.
        """
        self.stop()
        for stream in list(self.streams):
            had_request = stream in self.intake.used_streams
            if had_request and not self.awaits(stream) and not stream.writing():
                stream.close()

    def awaits(self, stream: IOStream) -> bool:
        """Whether a connection has a request that is to be answered before it closes."""
        return stream in self.intake.busy_streams or super().awaits(stream)


class Intake:
    """What all connections of a server share."""

    __slots__ = ("busy_streams", "limits", "used_streams")

    def __init__(self) -> None:
        self.used_streams: WeakSet[IOStream] = WeakSet()
        """Connections that have had a request."""
        self.busy_streams: WeakSet[IOStream] = WeakSet()
        """Connections whose request has begun to arrive and has no whole answer yet."""
        self.limits = ClientLimits()
        """What clients may send."""


class _Connections(HTTPServerConnectionDelegate):
    """Creates the receiver of each request."""

    def __init__(
        self,
        codec: ExchangeCodec,
        clock: Clock,
        handle: Callable[[ClientExchange], Awaitable[None]],
        intake: Intake,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._handle = handle
        self._intake = intake

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Receive one request."""
        return _Receiver(request_conn, self._codec, self._clock, self._handle, self._intake)


class _Receiver(HTTPMessageDelegate):
    """Collects one request and starts its task."""

    def __init__(
        self,
        connection: HTTPConnection,
        codec: ExchangeCodec,
        clock: Clock,
        handle: Callable[[ClientExchange], Awaitable[None]],
        intake: Intake,
    ) -> None:
        self._connection = connection
        self._intake = intake
        self._codec = codec
        self._clock = clock
        self._handle = handle
        self._request: ClientRequest | None = None
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._body_ended = asyncio.Event()
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
            self._intake.busy_streams.add(self._connection.stream)
            self._intake.used_streams.add(self._connection.stream)
        length = headers.get("Content-Length", "")
        if length.isdecimal() and int(length) > self._intake.limits.max_body_bytes:
            self._start(self._refuse_body)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self._task is not None:
            return
        self._body_bytes += len(chunk)
        self._parts.append(chunk)
        if self._body_bytes > self._intake.limits.max_body_bytes:
            self._start(self._refuse_body)

    def finish(self) -> None:
        """Start the task that answers."""
        self._body_ended.set()
        if self._request is None or self._task is not None:
            return
        self._request.body = b"".join(self._parts)
        self._start(self._handle)
        if isinstance(self._connection, HTTP1Connection):
            self._connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """The client left before its request was whole."""
        if self._task is not None:
            self._task.cancel()

    def _start(self, handle: Callable[[ClientExchange], Awaitable[None]]) -> None:
        """Start the task that answers."""
        assert self._request is not None
        self._parts.clear()
        exchange = ClientExchange(self._connection, self._request)
        self._task = asyncio.ensure_future(self._run(exchange, handle))

    async def _refuse_body(self, exchange: ClientExchange) -> None:
        """Refuse a request whose body is too long, while it is still coming in."""
        limit_bytes = self._intake.limits.max_body_bytes
        message = f"The body is over {limit_bytes} bytes; send a smaller one."
        refusal = create_refusal(ResultCode.BODY_TOO_LARGE, message, ran=Ran.NOT_RUN)
        _log.info(
            "A request's body is too long.",
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
        """Answer; whatever happens, the connection doesn't stay open without an answer."""
        try:
            await handle(exchange)
        except ClientGoneError:
            return
        except Exception:
            # Else it would show only once the task is collected.
            _log.exception(
                "A request failed within this host.", request=exchange.request.attempt_id
            )
        finally:
            if not exchange.is_ended:
                exchange.abort()
            if isinstance(self._connection, HTTP1Connection):
                self._intake.busy_streams.discard(self._connection.stream)


def create_front_server(
    codec: ExchangeCodec, clock: Clock, handle: Callable[[ClientExchange], Awaitable[None]]
) -> FrontServer:
    """Return the server, not listening yet.

    Args:
        codec: Translates headers.
        clock: Tells the time.
        handle: Answers one request; cancelled when the client leaves.
    """
    intake = Intake()
    server = FrontServer(_Connections(codec, clock, handle, intake))
    server.intake = intake
    return server
