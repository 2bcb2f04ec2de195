"""A client's connection, which says why it closes when a header breaks the limits."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any, Final

from tornado.iostream import IOStream, UnsatisfiableReadError

if TYPE_CHECKING:
    from collections.abc import Callable

_HEADER_TOO_LONG: Final = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

_MAX_DRAINED_BYTES: Final = 1024 * 1024
"""Bytes that are read and dropped before a close; unread ones would have the answer reset."""


class ClientStream(IOStream):
    """A connection that answers 431 when a request's header is too long to be read.

    Tornado closes such a connection without an answer.
    """

    def __init__(self, connection: socket.socket, awaits_header: Callable[[ClientStream], bool]):
        self._awaits_header = awaits_header
        super().__init__(connection)

    def close(self, exc_info: Any = False) -> None:
        """Close the connection.

        Args:
            exc_info: As Tornado's; the error behind the close.
        """
        is_too_long = isinstance(exc_info, UnsatisfiableReadError)
        if is_too_long and not self.closed() and self._awaits_header(self):
            # The socket doesn't block, and an answer this short fits into its buffer.
            with contextlib.suppress(OSError):
                self.socket.send(_HEADER_TOO_LONG)
                self.socket.shutdown(socket.SHUT_WR)
                self._drain()
        super().close(exc_info)

    def _drain(self) -> None:
        """Drop what has already come in."""
        drained_bytes = 0
        while drained_bytes < _MAX_DRAINED_BYTES:
            count = len(self.socket.recv(65_536))
            if count == 0:
                return
            drained_bytes += count
