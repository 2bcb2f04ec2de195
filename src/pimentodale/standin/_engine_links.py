"""Links between stand-in engines: msgpack over TCP, one task for each connection.

An engine listens for links on the port after its HTTP port. A link carries messages one way; answers
come back on the other engine's own link. A link has the delay and rate of the two failure domains.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgpack
import msgspec
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from pimentodale.addresses import Address, parse_address
from pimentodale.clients.engine_messages import EngineRefusal, Hop, StageReceipt
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.iostream import IOStream

    from pimentodale.clock import Clock

LINK_PORT_OFFSET: Final = 1
"""An engine's links come to its HTTP port plus this."""

_CONNECT_TIMEOUT_MS: Final = 1000.0
_READ_BYTES: Final = 256 * 1024
_MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024

_log = get_log("engine links")


class LinkRate(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How links to one failure domain are."""

    delay_ms: float = 0.0
    """One-way delay."""

    bytes_per_s: float = 0.0
    """Rate of each link; 0 for no limit."""


class Hello(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """First message from the engine that accepted a link; the only one that way."""

    replica: str
    failure_domain: str


class OpenStream(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks a later stage to hold a stream."""

    stream_id: str
    request_id: str
    attempt: int
    workspace: str
    idempotency_key: str
    priority: int
    prompt: str
    route: list[Hop]
    position: int
    """Place of the asked engine in the route."""

    first_index: int
    kv_source: str


class StreamOpened(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tells the head that a stage holds the stream, or refuses it."""

    stream_id: str
    position: int
    refusal: EngineRefusal | None


class Activation(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Hands a token's state to the next stage."""

    stream_id: str
    index: int
    activation: int
    receipts: list[StageReceipt]
    """Stages before, in order."""

    octets: bytes
    """Filler as large as real activations."""


class TokenDone(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Gives the state after the last layer back to the head."""

    stream_id: str
    index: int
    activation: int
    receipts: list[StageReceipt]


class CloseStream(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tells a stage that the stream is over."""

    stream_id: str
    reason: str


LinkMessage = Hello | OpenStream | StreamOpened | Activation | TokenDone | CloseStream
"""Every message of a link."""


def link_address(http_address: str) -> Address:
    """Return where the engine with this HTTP address takes links.

    Raises:
        BadAddressError: If the text is not `IP:PORT`.
    """
    address = parse_address(http_address)
    return Address(address.ip, address.port + LINK_PORT_OFFSET)


class Links:
    """The links from one engine to others, opened when first used."""

    __slots__ = ("_clock", "_lost", "_queues", "_rates", "_tasks")

    def __init__(
        self, clock: Clock, rates: dict[str, LinkRate], lost: Callable[[Address], None]
    ) -> None:
        self._clock = clock
        self._rates = rates
        self._lost = lost
        self._queues: dict[Address, asyncio.Queue[tuple[LinkMessage, int]]] = {}
        self._tasks: dict[Address, asyncio.Task[None]] = {}

    def send(self, address: Address, message: LinkMessage, charged_bytes: int = 0) -> None:
        """Queue a message.

        Args:
            address: The other engine's link address.
            message: What to send.
            charged_bytes: Size that the link's rate is charged with.
        """
        if address not in self._tasks:
            self._queues[address] = asyncio.Queue()
            self._tasks[address] = asyncio.create_task(self._run(address))
        self._queues[address].put_nowait((message, charged_bytes))

    def close(self) -> None:
        """Drop every link without telling anyone."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._queues.clear()

    async def _run(self, address: Address) -> None:
        """Hold one link until it is lost."""
        queue = self._queues[address]
        stream: IOStream | None = None
        try:
            stream = await asyncio.wait_for(
                TCPClient().connect(address.ip, address.port), _CONNECT_TIMEOUT_MS / MS_PER_S
            )
            stream.set_nodelay(True)
            await self._use(stream, queue)
        except (TimeoutError, OSError, StreamClosedError) as error:
            _log.info("A link was lost.", address=str(address), reason=str(error))
        finally:
            if stream is not None:
                stream.close()
            if self._tasks.get(address) is asyncio.current_task():
                del self._tasks[address], self._queues[address]
        self._lost(address)

    async def _use(self, stream: IOStream, queue: asyncio.Queue[tuple[LinkMessage, int]]) -> None:
        """Send what is queued until the other side closes."""
        unpacker = msgpack.Unpacker(max_buffer_size=_MAX_MESSAGE_BYTES)
        hello = await asyncio.wait_for(
            _read_message(stream, unpacker), _CONNECT_TIMEOUT_MS / MS_PER_S
        )
        domain = hello.failure_domain if isinstance(hello, Hello) else ""
        sender = asyncio.create_task(self._send_queued(stream, queue, self._rates.get(domain)))
        reader = asyncio.create_task(_read_message(stream, unpacker))
        try:
            done, _ = await asyncio.wait((sender, reader), return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            sender.cancel()
            reader.cancel()

    async def _send_queued(
        self,
        stream: IOStream,
        queue: asyncio.Queue[tuple[LinkMessage, int]],
        rate: LinkRate | None,
    ) -> None:
        """Write messages in order, each when its delay and the rate allow."""
        free_ms = 0.0
        while True:
            message, charged_bytes = await queue.get()
            data = _pack(message)
            if rate is not None:
                free_ms = max(free_ms, self._clock.now_ms())
                if rate.bytes_per_s > 0:
                    free_ms += charged_bytes / rate.bytes_per_s * MS_PER_S
                asyncio.get_running_loop().call_later(
                    max(0.0, free_ms + rate.delay_ms - self._clock.now_ms()) / MS_PER_S,
                    _write,
                    stream,
                    data,
                )
                continue
            await stream.write(data)


class LinkServer(TCPServer):
    """Accepts other engines' links."""

    def __init__(
        self,
        hello: Hello,
        receive: Callable[[LinkMessage, int], None],
        ended: Callable[[int], None],
    ) -> None:
        super().__init__()
        self._hello = hello
        self._receive = receive
        self._ended = ended
        self._next_number = 0
        self._streams: dict[int, IOStream] = {}

    async def handle_stream(self, stream: IOStream, _address: object) -> None:
        """Read one link until it closes; its number tells links apart."""
        self._next_number += 1
        number = self._next_number
        self._streams[number] = stream
        unpacker = msgpack.Unpacker(max_buffer_size=_MAX_MESSAGE_BYTES)
        try:
            stream.set_nodelay(True)
            await stream.write(_pack(self._hello))
            while True:
                self._receive(await _read_message(stream, unpacker), number)
        except (StreamClosedError, OSError):
            pass
        finally:
            stream.close()
            if self._streams.pop(number, None) is not None:
                self._ended(number)

    def drop(self) -> None:
        """Stop listening and close every link."""
        self.stop()
        streams = list(self._streams.values())
        self._streams.clear()
        for stream in streams:
            stream.close()


def _write(stream: IOStream, data: bytes) -> None:
    """Write delayed data if the link still stands; its reader reports the loss."""
    if not stream.closed():
        stream.write(data).add_done_callback(_ignore_closed)


def _ignore_closed(future: asyncio.Future[None]) -> None:
    """Take up a write's failure."""
    if not future.cancelled():
        future.exception()


def _pack(message: LinkMessage) -> bytes:
    """Return a message's octets."""
    return msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)))


async def _read_message(stream: IOStream, unpacker: msgpack.Unpacker) -> LinkMessage:
    """Return the next message.

    Raises:
        StreamClosedError: If the link closed or sent what is not a message.
    """
    while True:
        for raw in unpacker:
            try:
                message: LinkMessage = msgspec.convert(raw, LinkMessage)
            except msgspec.ValidationError as error:
                raise StreamClosedError(error) from error
            return message
        unpacker.feed(await stream.read_bytes(_READ_BYTES, partial=True))
