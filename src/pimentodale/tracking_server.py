"""An HTTP server that knows its connections, for stops that lose no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from weakref import WeakSet

from tornado.httpserver import HTTPServer

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from pimentodale.clock import Clock

SEND_POLL_MS: Final = 10.0
"""Time between two looks at whether the last bytes have left."""


class TrackingServer(HTTPServer):
    """The HTTP server, which knows when the last bytes have left."""

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

    async def close_when_sent(self, clock: Clock, timeout_ms: float) -> None:
        """Stop listening, and close the connections once what was written has left.

        Args:
            clock: Tells the time.
            timeout_ms: Longest wait.
        """
        self.stop()
        end_ms = clock.now_ms() + timeout_ms
        while any(stream.writing() for stream in self.streams) and clock.now_ms() < end_ms:
            await clock.sleep_ms(SEND_POLL_MS)
        await self.close_all_connections()
