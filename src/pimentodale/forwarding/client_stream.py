"""A client connection that answers 431 before it closes over an oversized request header."""

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
"""Most bytes that are read and discarded before a close.

Closing a socket with unread bytes resets the connection, and the client may lose the response.
"""


class ClientStream(IOStream):
    """A connection that answers 431 when a request header exceeds the size limit.

    Tornado closes such a connection without a response.
    """

    def __init__(self, connection: socket.socket, awaits_header: Callable[[ClientStream], bool]):
        self._awaits_header = awaits_header
        super().__init__(connection)

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
