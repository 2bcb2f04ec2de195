"""Messages over one TCP stream, each bounded in length and checked into its type."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgpack
import msgspec
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from pimentodale.clock import MS_PER_S
from pimentodale.peers.messages import Message

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from pimentodale.addresses import Address
    from pimentodale.peers.counters import PeerCounters

MAX_MESSAGE_BYTES: Final = 2 * 1024 * 1024
"""Longest message that is read."""

MAX_WRITE_BUFFER_BYTES: Final = 4 * 1024 * 1024
"""Bytes that may wait for a peer before its connection is dropped."""

_LENGTH_BYTES: Final = 4
_READ_BYTES: Final = 64 * 1024


class BadMessageError(Exception):
    """The other side sent bytes that are no message."""


class MessageStream:
    """Reads and writes messages; `close` may be repeated."""

    __slots__ = ("_buffer", "_counters", "_last_write", "_stream")

    def __init__(self, stream: IOStream, counters: PeerCounters) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._counters = counters
        self._last_write: asyncio.Future[None] | None = None
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_WRITE_BUFFER_BYTES

    async def read(self) -> Message:
        """Read the next message.

        Returns:
            The message.

        Raises:
            BadMessageError: If the bytes are no message.
            StreamClosedError: If the connection ended.
        """
        while True:
            message = self._take()
            if message is not None:
                return message
            chunk = await self._stream.read_bytes(_READ_BYTES, partial=True)
            self._counters.received_bytes += len(chunk)
            self._buffer += chunk

    async def read_within(self, timeout_ms: float) -> Message:
        """Read the next message in bounded time.

        Args:
            timeout_ms: Longest wait.

        Returns:
            The message.

        Raises:
            BadMessageError: If the bytes are no message.
            StreamClosedError: If the connection ended.
            TimeoutError: If none came in time.
        """
        return await asyncio.wait_for(self.read(), timeout_ms / MS_PER_S)

    def write(self, message: Message) -> None:
        """Queue a message; a connection that is closed or too far behind is dropped."""
        self.write_packed(pack(message))

    def write_packed(self, frame: bytes) -> None:
        """Queue a message that `pack` has made."""
        try:
            waiting = self._stream.write(frame)
        except (StreamClosedError, OSError, ValueError):
            # Tornado raises its own error (an OSError or ValueError kin) once the buffer is full.
            self.close()
            return
        # The future only says when the buffer drained; the reader sees a loss.
        waiting.add_done_callback(_ignore_loss)
        self._last_write = waiting
        self._counters.sent_messages += 1
        self._counters.sent_bytes += len(frame)

    async def drain(self, timeout_ms: float) -> None:
        """Wait until what was written has left, or the time is over."""
        if self._last_write is None:
            return
        await asyncio.wait([self._last_write], timeout=timeout_ms / MS_PER_S)

    def close_when_sent(self) -> None:
        """Drop the connection once what was written has left."""
        if self._last_write is None:
            self.close()
            return
        self._last_write.add_done_callback(lambda _: self.close())

    def close(self) -> None:
        """Drop the connection."""
        self._stream.close()

    def _take(self) -> Message | None:
        """Take a whole message out of the buffer, if there is one."""
        if len(self._buffer) < _LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:_LENGTH_BYTES])
        if length > MAX_MESSAGE_BYTES:
            raise BadMessageError(f"a message of {length} bytes was announced")
        end = _LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[_LENGTH_BYTES:end])
        del self._buffer[:end]
        self._counters.received_messages += 1
        return unpack(body)


async def connect(
    address: Address, source_ip: str, timeout_ms: float, counters: PeerCounters
) -> MessageStream:
    """Open a connection to a peer.

    Args:
        address: Where it listens.
        source_ip: IP number that the connection leaves from.
        timeout_ms: Longest wait.
        counters: Receive what passes.

    Returns:
        The open stream.

    Raises:
        OSError: If there is no connection; a `TimeoutError` is one.
        StreamClosedError: If it was closed while it opened.
    """
    opening = TCPClient().connect(address.ip, address.port, source_ip=source_ip)
    return MessageStream(await asyncio.wait_for(opening, timeout_ms / MS_PER_S), counters)


def pack(message: Message) -> bytes:
    """Return a message with its length in front."""
    body: bytes = msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)))
    return len(body).to_bytes(_LENGTH_BYTES) + body


def unpack(body: bytes) -> Message:
    """Check one message into its type.

    Args:
        body: The message without its length.

    Returns:
        The message.

    Raises:
        BadMessageError: If the bytes are no message.
    """
    try:
        raw = msgpack.unpackb(body)
        message: Message = msgspec.convert(raw, Message)
    except (
        msgpack.UnpackException,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        RecursionError,
    ) as error:
        raise BadMessageError(f"not a message: {error}") from None
    return message


def _ignore_loss(waiting: asyncio.Future[None]) -> None:
    """Mark the future's exception as seen."""
    if not waiting.cancelled():
        waiting.exception()
