"""A client request and the connection on which its response is written."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.httputil import HTTPConnection

    from pimentodale.forwarding.messages import ClientRequest

_REASONS: Final = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


PIECE_BYTES: Final = 64 * 1024
"""Most of a long response that is copied at once."""


class ClientGoneError(Exception):
    """The client has closed its connection."""


class ClientExchange:
    """A client request and the connection on which its response is written."""

    __slots__ = (
        "_connection",
        "hold_answer",
        "is_begun",
        "is_closed_by_host",
        "is_ended",
        "is_last",
        "request",
    )

    def __init__(
        self,
        connection: HTTPConnection,
        request: ClientRequest,
        hold_answer: Callable[[int], bool] = lambda _size: True,
    ) -> None:
        self._connection = connection
        self.request = request
        self.hold_answer = hold_answer
        """Reserves the memory of a complete response of this size; returns whether there is some."""
        self.is_begun = False
        """Whether the response header has been written."""
        self.is_ended = False
        """Whether the response is complete or was aborted."""
        self.is_closed_by_host = False
        """Whether this host closed the connection before the response was complete."""
        self.is_last = False
        """Whether the connection closes after this response."""

    async def answer(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Write a complete response; the connection is closed instead if there is no memory for it.

        Raises:
            ClientGoneError: If the connection was closed.
        """
        if not self.hold_answer(len(body)):
            # The request may have run, so that no status could say that it has not.
            self.abort()
            raise ClientGoneError
        fields = self._headers(headers)
        fields["Content-Length"] = str(len(body))
        self.is_begun = True
        # A long body is written piece by piece, as Tornado would copy the whole of it.
        first = body if len(body) <= PIECE_BYTES else b""
        self.is_ended = len(first) == len(body)
        header = self._connection.write_headers(_start_line(status), fields, first or None)
        await self._write(header)
        for start in range(len(first), len(body), PIECE_BYTES):
            await self._write(self._connection.write(body[start : start + PIECE_BYTES]))
        self.is_ended = True
        self._finish()

    async def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Write the header of a response whose body is streamed."""
        self.is_begun = True
        await self._write(
            self._connection.write_headers(_start_line(status), self._headers(headers))
        )

    async def write(self, piece: bytes) -> None:
        """Write a chunk of the body; waits while the client does not read."""
        await self._write(self._connection.write(piece))

    def end(self) -> None:
        """Finish a complete response."""
        self.is_ended = True
        self._finish()

    def abort(self) -> None:
        """Close the connection, so that an incomplete response is not taken for a complete one."""
        self.is_ended = True
        if isinstance(self._connection, HTTP1Connection):
            self._connection.stream.close()

    def _headers(self, headers: list[tuple[str, str]]) -> HTTPHeaders:
        """Build the header fields."""
        fields = HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self.is_last:
            fields["Connection"] = "close"
        return fields

    async def _write(self, written: Awaitable[None]) -> None:
        """Wait for a write.

        Raises:
            ClientGoneError: If the client has closed the connection.
        """
        try:
            await written
        except StreamClosedError:
            self.is_ended = True
            raise ClientGoneError from None

    def _finish(self) -> None:
        """Release the connection for its next request."""
        with contextlib.suppress(StreamClosedError):
            self._connection.finish()


def _start_line(status: int) -> ResponseStartLine:
    """Return the status line of a response."""
    return ResponseStartLine("HTTP/1.1", status, _REASONS.get(status, "Unknown"))
