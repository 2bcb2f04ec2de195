"""Framing, size limits and validation of messages on one TCP stream."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

import msgpack
import msgspec

from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log
from pimentodale.peers.messages import Message

if TYPE_CHECKING:
    from pimentodale.addresses import Address
    from pimentodale.peers.counters import PeerCounters

MAX_MESSAGE_BYTES: Final = 2 * 1024 * 1024
"""Maximum size of a received message."""

MAX_WRITE_BUFFER_BYTES: Final = 4 * 1024 * 1024
"""Maximum number of unsent bytes for a peer before its connection is dropped."""

MAX_RECEIVED_BYTES: Final = 8 * 1024 * 1024
"""Maximum number of bytes of unfinished messages on all accepted connections."""

FREE_RECEIVED_BYTES: Final = 64 * 1024
"""Unfinished messages up to this size are not counted; the usual messages are shorter."""

_LENGTH_BYTES: Final = 4
_READ_BYTES: Final = 64 * 1024


_log = get_log("peers")


class BadMessageError(Exception):
    """The other side sent bytes that are not a valid message."""


class ReceiveBudget:
    """Bounds the bytes of unfinished messages on all accepted connections.

    Four bytes announce a message of up to 2 MB, and connections may stop just short of its end. When
    the budget is used up, the connection that has been silent for longest is closed.
    """

    __slots__ = ("_unfinished", "closed", "held_bytes")

    def __init__(self) -> None:
        self._unfinished: OrderedDict[MessageStream, int] = OrderedDict()
        self.held_bytes = 0
        """Bytes of unfinished messages beyond `FREE_RECEIVED_BYTES`."""
        self.closed = 0
        """Connections that were closed as the budget was used up."""

    def note(self, stream: MessageStream, unfinished_bytes: int) -> None:
        """Note how much of a message a connection holds after a read."""
        self.held_bytes -= self._unfinished.pop(stream, 0)
        if unfinished_bytes > FREE_RECEIVED_BYTES:
            self._unfinished[stream] = unfinished_bytes
            self.held_bytes += unfinished_bytes
        while self.held_bytes > MAX_RECEIVED_BYTES:
            silent, count = self._unfinished.popitem(last=False)
            self.held_bytes -= count
            self.closed += 1
            _log.warning(
                "A connection was closed, as unfinished messages fill the memory for peers.",
                unfinished_bytes=count,
                connections=len(self._unfinished),
            )
            silent.close()


class MessageStream:
    """Reads and writes messages; `close` may be called repeatedly."""

    __slots__ = ("_budget", "_buffer", "_counters", "_reader", "_writer")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        counters: PeerCounters,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._budget = budget
        self._reader = reader
        self._writer = writer
        self._buffer = bytearray()
        self._counters = counters

    async def read(self) -> Message:
        """Read the next message.

        Returns:
            The message.

        Raises:
            BadMessageError: If the bytes are not a valid message.
            OSError: If the connection ended.
        """
        while True:
            message = self._take_message()
            if message is not None:
                return message
            chunk = await self._reader.read(_READ_BYTES)
            if not chunk:
                raise ConnectionResetError("the connection ended")
            self._counters.received_bytes += len(chunk)
            self._buffer += chunk
            if self._budget is not None:
                self._budget.note(self, len(self._buffer))

    async def read_within(self, timeout_ms: float) -> Message:
        """Read the next message within a time limit.

        Args:
            timeout_ms: Maximum wait.

        Returns:
            The message.

        Raises:
            BadMessageError: If the bytes are not a valid message.
            OSError: If the connection ended or no message arrived in time.
        """
        return await asyncio.wait_for(self.read(), timeout_ms / MS_PER_S)

    def write(self, message: Message) -> None:
        """Queue a message; does nothing on a closed connection and drops one that is too far behind."""
        self.write_packed(pack(message))

    def write_packed(self, frame: bytes) -> None:
        """Queue a message that `pack` encoded."""
        transport = self._writer.transport
        if transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            transport.abort()
            return
        self._writer.write(frame)
        self._counters.sent_messages += 1
        self._counters.sent_bytes += len(frame)

    async def drain(self, timeout_ms: float) -> None:
        """Close after sending what is queued, or drop the connection after the time-out."""
        self._writer.close()
        try:
            await asyncio.wait_for(self._writer.wait_closed(), timeout_ms / MS_PER_S)
        except OSError:
            self.close()

    def close_when_sent(self) -> None:
        """Close the connection after sending what is queued."""
        self._discard()
        self._writer.close()

    def close(self) -> None:
        """Abort the connection and discard unsent data."""
        self._discard()
        self._writer.transport.abort()

    def _discard(self) -> None:
        """Discard an unfinished message."""
        self._buffer.clear()
        if self._budget is not None:
            self._budget.note(self, 0)

    def _take_message(self) -> Message | None:
        """Remove and decode the next complete message of the buffer, if there is one."""
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
        if self._budget is not None:
            self._budget.note(self, len(self._buffer))
        self._counters.received_messages += 1
        return unpack(body)


async def connect(
    address: Address, source_ip: str, timeout_ms: float, counters: PeerCounters
) -> MessageStream:
    """Open a connection to a peer.

    Args:
        address: Peer address to connect to.
        source_ip: Local IP address of the connection.
        timeout_ms: Maximum wait.
        counters: Count the traffic of the stream.

    Returns:
        The open stream.

    Raises:
        OSError: If the connection fails or is not established in time.
    """
    opening = asyncio.open_connection(address.ip, address.port, local_addr=(source_ip, 0))
    reader, writer = await asyncio.wait_for(opening, timeout_ms / MS_PER_S)
    return MessageStream(reader, writer, counters)


def pack(message: Message) -> bytes:
    """Encode a message with its length prefix."""
    body: bytes = msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)))
    return len(body).to_bytes(_LENGTH_BYTES) + body


def unpack(body: bytes) -> Message:
    """Decode and validate one message.

    Args:
        body: The message without its length.

    Returns:
        The message.

    Raises:
        BadMessageError: If the bytes are not a valid message.
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
