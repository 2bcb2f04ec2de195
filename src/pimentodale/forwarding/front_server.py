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
from pimentodale.forwarding.client_connections import ClientConnections, max_connections_of
from pimentodale.forwarding.client_exchange import ClientExchange, ClientGoneError
from pimentodale.forwarding.client_memory import (
    CHUNK_COST_BYTES,
    MIN_PACE_BYTES_PER_S,
    PACE_WINDOW_MS,
    SMALL_BYTES,
    STALL_CHECK_MS,
    STALL_MS,
    YIELD_BYTES,
    ClientMemory,
    create_client_memory,
)
from pimentodale.forwarding.client_stream import MIN_CHUNK_BYTES, ClientStream
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
    from pimentodale.results import Refusal

LINGER_MS: Final = 1_000.0
"""How long the rest of a refused body is read and discarded. Closing a connection with unread bytes
resets it, and the client may lose the response. Clients on the site's network send 4 MB in less."""

MEMORY_RETRY_AFTER_MS: Final = 1_000.0
"""When a client may come back that was refused as the account is full."""

_NO_BODY_LIMIT_BYTES: Final = 2**62
"""Body size limit given to Tornado, which would answer 400; the limit is enforced here instead."""

_log = get_log("request")


class FrontServer(TrackingServer):
    """Accepts client connections."""

    shared: SharedServerState
    """State shared by the connections of this server."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        busy = self.shared.busy_streams
        connections = self.shared.connections
        client = connections.admit(
            lambda: ClientStream(
                stream.socket, lambda waiting: waiting not in busy, connections.note_closed
            )
        )
        if client is None:
            return
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

    __slots__ = (
        "_checking",
        "arriving",
        "busy_streams",
        "clock",
        "connections",
        "is_closing",
        "limits",
        "memory",
        "used_streams",
    )

    def __init__(self, clock: Clock, memory: ClientMemory, connections: ClientConnections) -> None:
        self.clock = clock
        """Source of time."""
        self.memory = memory
        """Account of the memory that clients hold."""
        self.connections = connections
        """The client connections."""
        self.arriving: set[_Receiver] = set()
        """Requests whose bodies are arriving."""
        self._checking: asyncio.TimerHandle | None = None
        self.used_streams: WeakSet[IOStream] = WeakSet()
        """Connections that have received a request."""
        self.busy_streams: WeakKeyDictionary[IOStream, _Receiver] = WeakKeyDictionary()
        """Connections with a request that has started to arrive and is not fully answered yet, with
        the newest one. It may come before the end of the one before it is noted."""
        self.limits = ClientLimits()
        """Limits on client requests."""
        self.is_closing = False
        """Whether the server closes all connections, as the host's time to stop is over."""

    def find_slowest(self) -> ClientStream | None:
        """Return the connection of the body that has been silent for longest."""
        slowest = min(self.arriving, key=_last_byte_ms, default=None)
        return None if slowest is None else slowest.stream

    def note_arriving(self, receiver: _Receiver) -> None:
        """Check a body for stalls until it has arrived."""
        self.arriving.add(receiver)
        if self._checking is None:
            self._check_later()

    def _check_later(self) -> None:
        """Schedule the next check."""
        loop = asyncio.get_running_loop()
        self._checking = loop.call_later(STALL_CHECK_MS / MS_PER_S, self._check)

    def _check(self) -> None:
        """End bodies that have stalled or are too slow."""
        now_ms = self.clock.now_ms()
        for receiver in list(self.arriving):
            receiver.check_pace(now_ms)
        self._checking = None
        if self.arriving:
            self._check_later()


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
        self._body = bytearray()
        self._share = shared.memory.open(self._drop)
        self._window_ms = clock.now_ms()
        self._window_bytes = 0
        self._unyielded_bytes = 0
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
        if self.stream is not None:
            self._shared.connections.note_busy(self.stream)
            if not length and "Transfer-Encoding" in headers:
                self.stream.count_chunks(self._refuse_chunks)
        if length.isdecimal() and int(length) > self._shared.limits.max_body_bytes:
            self._start(self._refuse_body)
            return
        if length.isdecimal() and not self._share.reserve(int(length)):
            self._start(self._refuse_for_memory)
            return
        self._shared.note_arriving(self)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect a chunk of the body; refuse the request once it exceeds a limit.

        Other clients have their turn after each `YIELD_BYTES`.
        """
        self._unyielded_bytes += max(len(chunk), CHUNK_COST_BYTES)
        turn: Awaitable[None] | None = None
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            turn = asyncio.sleep(0)
        if self._task is not None:
            return turn
        total_bytes = len(self._body) + len(chunk)
        if total_bytes > self._shared.limits.max_body_bytes:
            self._start(self._refuse_body)
        elif not self._share.receive(len(chunk), self._clock.now_ms()):
            self._start(self._refuse_for_memory)
        else:
            self._body += chunk
        return turn

    def finish(self) -> None:
        """Handle the complete request in a task."""
        self._body_ended.set()
        if self._request is None or self._task is not None:
            return
        self._share.keep()
        self._request.body = bytes(self._body)
        self._start(self._handle)
        if isinstance(self._connection, HTTP1Connection):
            self._connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        """Cancel the request of a connection that has closed."""
        self._shared.arriving.discard(self)
        self._body_ended.set()
        if self._exchange is not None:
            self._exchange.is_closed_by_host = self._shared.is_closing
        if self._task is not None:
            self._task.cancel()
        else:
            self._share.end()

    @property
    def stream(self) -> ClientStream | None:
        """The client's connection."""
        if not isinstance(self._connection, HTTP1Connection):
            return None
        stream = self._connection.stream
        return stream if isinstance(stream, ClientStream) else None

    @property
    def last_ms(self) -> float:
        """When the last bytes of the body arrived."""
        return self._share.last_ms

    def check_pace(self, now_ms: float) -> None:
        """Refuse the request if its body has stalled or is too slow."""
        received_bytes = self._share.received_bytes
        window_ms = now_ms - self._window_ms
        is_slow = now_ms - self._share.last_ms >= STALL_MS
        if window_ms >= PACE_WINDOW_MS:
            pace = (received_bytes - self._window_bytes) * MS_PER_S / window_ms
            is_slow = is_slow or pace < MIN_PACE_BYTES_PER_S
            self._window_ms, self._window_bytes = now_ms, received_bytes
        if is_slow and self._task is None:
            self._start(self._refuse_slow)

    def _drop(self) -> None:
        """Refuse a slow request, as another one needs its memory."""
        if self._task is None and self._request is not None:
            self._start(self._refuse_for_memory)

    def _refuse_chunks(self) -> None:
        """Refuse a request whose chunks are tiny, unless it is the only one."""
        if self._task is not None or self._request is None or self._share.admit_tiny_chunks():
            return
        self._start(self._refuse_for_chunks)

    def _hold_answer(self, answer_bytes: int) -> bool:
        """Reserve the memory of an answer in place of the body; short ones are not counted."""
        exchange = self._exchange
        if exchange is None or answer_bytes <= SMALL_BYTES:
            return True
        # The whole answer is here, so that the body isn't sent again.
        exchange.request.body = b""
        is_held = self._share.hold_answer(answer_bytes, exchange.abort, self._clock.now_ms())
        if not is_held:
            refusals = self._shared.memory.count_refusal("memory")
            if refusals:
                _log.info(
                    "A response was dropped, as unread responses fill the memory for clients.",
                    request=exchange.request.attempt_id,
                    refusals=refusals,
                    answer_bytes=answer_bytes,
                )
        return is_held

    def _start(self, handle: Callable[[ClientExchange], Awaitable[None]]) -> None:
        """Start the task that answers the request."""
        assert self._request is not None
        self._shared.arriving.discard(self)
        self._body = bytearray()
        if not self._body_ended.is_set():
            self._share.end()
        exchange = ClientExchange(self._connection, self._request, self._hold_answer)
        self._exchange = exchange
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
        await self._refuse(exchange, refusal)

    async def _refuse_for_memory(self, exchange: ClientExchange) -> None:
        """Refuse a request as the memory for clients is full."""
        message = "The memory for requests is full; this one has not run, come back."
        refusal = create_refusal(
            ResultCode.MEMORY_FULL, message, retry_after_ms=MEMORY_RETRY_AFTER_MS
        )
        await self._refuse_crowd(exchange, refusal, "memory")

    async def _refuse_for_chunks(self, exchange: ClientExchange) -> None:
        """Refuse a request with many tiny chunks."""
        message = f"Send chunks of at least {MIN_CHUNK_BYTES} bytes on average; it has not run."
        refusal = create_refusal(ResultCode.MALFORMED_REQUEST, message)
        await self._refuse_crowd(exchange, refusal, "chunks")

    async def _refuse_slow(self, exchange: ClientExchange) -> None:
        """Refuse a request whose body has stalled."""
        message = "The body came too slowly; the request has not run."
        refusal = create_refusal(ResultCode.BODY_TOO_SLOW, message)
        await self._refuse_crowd(exchange, refusal, "slow")

    async def _refuse_crowd(self, exchange: ClientExchange, refusal: Refusal, kind: str) -> None:
        """Count and log a refusal, and send it."""
        memory = self._shared.memory
        refusals = memory.count_refusal(kind)
        if refusals:
            _log.info(
                "A request was refused while its body arrived.",
                request=exchange.request.attempt_id,
                kind=kind,
                refusals=refusals,
                received_bytes=self._share.received_bytes,
                held_bytes=memory.held_bytes,
                limit_bytes=memory.limit_bytes,
            )
        await self._refuse(exchange, refusal)

    async def _refuse(self, exchange: ClientExchange, refusal: Refusal) -> None:
        """Send a refusal while the body arrives, and read the rest of it for a while."""
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
            self._share.end()
            self._note_answered()

    def _note_answered(self) -> None:
        """Note that the connection is idle, unless its next request has come already."""
        if not isinstance(self._connection, HTTP1Connection):
            return
        busy = self._shared.busy_streams
        if busy.get(self._connection.stream) is self:
            del busy[self._connection.stream]
            if self.stream is not None:
                self._shared.connections.note_idle(self.stream)


def _last_byte_ms(receiver: _Receiver) -> float:
    """Return when the last bytes of a body arrived."""
    return receiver.last_ms


def create_front_server(
    codec: ExchangeCodec,
    clock: Clock,
    handle: Callable[[ClientExchange], Awaitable[None]],
    memory: ClientMemory | None = None,
    max_fds: int = 0,
) -> FrontServer:
    """Return a server that does not listen yet.

    Args:
        codec: Translates headers.
        clock: Source of time.
        handle: Answers one request; cancelled when the client disconnects.
        memory: Account of the memory that clients hold; one of its own by default.
        max_fds: Descriptors of the process; 0 for the system's limit.
    """
    if memory is None:
        memory = create_client_memory(clock, 0)
    connections = ClientConnections(memory, max_connections_of(max_fds))
    shared = SharedServerState(clock, memory, connections)
    connections.find_slowest = shared.find_slowest
    server = FrontServer(_Connections(codec, clock, handle, shared))
    server.shared = shared
    return server
