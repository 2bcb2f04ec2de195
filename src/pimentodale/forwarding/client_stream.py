"""A client connection that answers oversized headers, and counts the chunks of bodies."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any, Final

from tornado.iostream import IOStream, UnsatisfiableReadError

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Awaitable, Callable

_HEADER_TOO_LONG: Final = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

_MAX_DRAINED_BYTES: Final = 1024 * 1024
"""Most bytes that are read and discarded before a close.

Closing a socket with unread bytes resets the connection, and the client may lose the response.
"""


FREE_CHUNKS: Final = 4_096
"""Chunks that a body may have whatever their size."""

MIN_CHUNK_BYTES: Final = 16
"""Smallest average size of more chunks. Each costs some 20 us of processor time, as much as copying
64 KB."""


class ClientStream(IOStream):
    """A connection that answers 431 when a request header exceeds the size limit.

    Tornado closes such a connection without a response.
    """

    def __init__(
        self,
        connection: socket.socket,
        awaits_header: Callable[[ClientStream], bool],
        note_closed: Callable[[ClientStream], None] = lambda _stream: None,
    ) -> None:
        self._awaits_header = awaits_header
        self._note_closed = note_closed
        self._chunks = 0
        self._chunk_bytes = 0
        self._refuse_chunks: Callable[[], None] | None = None
        super().__init__(connection)

    def close_fd(self) -> None:
        """Close the socket; called once."""
        super().close_fd()
        self._refuse_chunks = None
        self._note_closed(self)

    def count_chunks(self, refuse: Callable[[], None]) -> None:
        """Begin to count the chunks of a body.

        Args:
            refuse: Called once when the body has many chunks that are tiny on average.
        """
        self._chunks = self._chunk_bytes = 0
        self._refuse_chunks = refuse

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read a line; those of a request with a chunked body are the sizes of its chunks."""
        is_tiny = self._chunk_bytes < MIN_CHUNK_BYTES * self._chunks
        if self._chunks > FREE_CHUNKS and is_tiny and self._refuse_chunks is not None:
            refuse, self._refuse_chunks = self._refuse_chunks, None
            refuse()
        self._chunks += 1
        return super().read_until(delimiter, max_bytes)

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Awaitable[bytes]:
        """Read bytes; partial reads are those of a body."""
        future: Future[bytes] = super().read_bytes(num_bytes, partial)  # type: ignore[assignment]
        if partial and self._refuse_chunks is not None:
            if future.done():
                self._count_bytes(future)
            else:
                future.add_done_callback(self._count_bytes)
        return future

    def _count_bytes(self, read: Future[bytes]) -> None:
        """Count the bytes of a part of a chunk."""
        if not read.cancelled() and read.exception() is None:
            self._chunk_bytes += len(read.result())

    def close(self, exc_info: Any = False) -> None:
        """Close the connection.

        Args:
            exc_info: As in Tornado: the error that causes the close.
        """
        is_too_long = isinstance(exc_info, UnsatisfiableReadError)
        if is_too_long and not self.closed() and self._awaits_header(self):
            # The socket is non-blocking, and a response this short fits into its send buffer.
            with contextlib.suppress(OSError):
                self.socket.send(_HEADER_TOO_LONG)
                self.socket.shutdown(socket.SHUT_WR)
                self._drain()
        super().close(exc_info)

    def _drain(self) -> None:
        """Read and discard the bytes that have already arrived."""
        drained_bytes = 0
        while drained_bytes < _MAX_DRAINED_BYTES:
            count = len(self.socket.recv(65_536))
            if count == 0:
                return
            drained_bytes += count
