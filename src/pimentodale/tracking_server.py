"""An HTTP server that knows its connections, for stops that lose no request and no answer."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Final
from weakref import WeakSet

from tornado.httpserver import HTTPServer

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from pimentodale.clock import Clock

SEND_POLL_MS: Final = 10.0
"""Time between two looks at whether the last bytes have left."""

FIRST_REQUEST_MS: Final = 100.0
"""How long a connection that was just accepted may take for its first request, as its client has begun to
send it by then."""

MAX_WAITING: Final = 4_096
"""Most connections that are accepted at the end; the system queues fewer."""


class TrackingServer(HTTPServer):
    """The HTTP server, which knows what is unread and when the last bytes have left."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Take Tornado's own arguments."""
        super().initialize(*args, **kwargs)
        self.streams: WeakSet[IOStream] = WeakSet()
        """Open connections."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        self.streams.add(stream)
        super().handle_stream(stream, address)

    def end_connections_when_answered(self) -> None:
        """Close each connection after the answer to its next request."""
        self.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Stop listening; connections that wait to be accepted are accepted first, not reset."""
        for listening in list(self._sockets.values()):
            self._accept_waiting(listening)
        super().stop()

    async def close_when_sent(self, clock: Clock, timeout_ms: float) -> None:
        """Stop listening, and close the connections once what came is answered and has left.

        Args:
            clock: Tells the time.
            timeout_ms: Longest wait.
        """
        known = set(self.streams)
        self.stop()
        now_ms = clock.now_ms()
        end_ms = now_ms + timeout_ms
        has_new = any(stream not in known for stream in self.streams)
        quiet_ms = now_ms + (min(FIRST_REQUEST_MS, timeout_ms) if has_new else 0.0)
        while clock.now_ms() < end_ms:
            is_busy = any(stream.writing() or self.awaits(stream) for stream in self.streams)
            if not is_busy and clock.now_ms() >= quiet_ms:
                break
            await clock.sleep_ms(SEND_POLL_MS)
        await self.close_all_connections()

    def awaits(self, stream: IOStream) -> bool:
        """Whether a connection has a request that is to be answered before it closes."""
        return has_unread(stream)

    def _accept_waiting(self, listening: socket.socket) -> None:
        """Accept what the system has queued."""
        for _ in range(MAX_WAITING):
            try:
                connection, address = listening.accept()
            except OSError:
                # Nothing waits any more, or the socket is closed already.
                return
            self._handle_connection(connection, address)


def has_unread(stream: IOStream) -> bool:
    """Whether bytes have come on a connection that its reader hasn't seen yet."""
    if stream.closed() or stream.socket is None:
        return False
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
