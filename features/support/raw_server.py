"""A server in this process that answers with given bytes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import Address

if TYPE_CHECKING:
    from collections.abc import Callable

CLOSE_DELAY_S: Final = 0.03
"""Time from an answer to the end of its connection."""

RESET: Final = b"RESET"
"""At the end of an answer: the connection is reset instead of closed."""

PAUSE: Final = b"PAUSE"
"""Within an answer: what follows is sent a little later."""


def build_answer(status: str, headers: bytes, body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status.encode() + b"\r\n" + headers + length + b"\r\n" + body


@dataclass
class RawServer:
    """A server in this process that counts the requests it reads."""

    answers: Callable[[int], bytes]
    """Returns what to write to the request of a number, from 0."""

    arrivals: int = 0
    connections: list[asyncio.Task[None]] = field(default_factory=list)
    server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return Address("127.0.0.1", self.server.sockets[0].getsockname()[1])

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Begin to serve a connection."""
        self.connections.append(asyncio.ensure_future(self._serve(reader, writer)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            number, self.arrivals = self.arrivals, self.arrivals + 1
            answer = self.answers(number)
            for piece in answer.removesuffix(RESET).split(PAUSE):
                writer.write(piece)
                await writer.drain()
                # What was sent is read before the next piece or the end of the connection.
                await asyncio.sleep(CLOSE_DELAY_S)
            if answer.endswith(RESET):
                linger = struct.pack("ii", 1, 0)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()

    async def close(self) -> None:
        """Stop listening, once all connections have ended."""
        await asyncio.gather(*self.connections)
        if self.server is not None:
            self.server.close()
