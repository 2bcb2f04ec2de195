"""The paths that an entry host answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from weakref import WeakSet

from tornado.httpserver import HTTPServer
from tornado.web import Application

from pimentodale.callers.generation import GenerationHandler
from pimentodale.callers.reads import (
    HealthHandler,
    MetricsHandler,
    ModelsHandler,
    ReadinessHandler,
    TraceHandler,
    UnknownPathHandler,
)
from pimentodale.callers.services import ServiceHandler
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from pimentodale.callers.context import CallerContext
    from pimentodale.clock import Clock

MAX_DRAINED_BYTES: Final = 256 * 1024 * 1024
"""How much of a refused body is read and dropped before its connection is closed."""

BODY_TIMEOUT_MS: Final = 60_000.0
"""How long a caller may take to send its body."""

SEND_POLL_MS: Final = 10.0
"""Time between two looks at whether the last bytes have left."""

IDLE_CONNECTION_TIMEOUT_MS: Final = 600_000.0
"""How long a caller's idle connection is kept."""


def create_application(context: CallerContext, extra_handlers: list[Any]) -> Application:
    """Return the application of one entry host.

    Args:
        context: State shared by its handlers.
        extra_handlers: Tornado rules of other slices.
    """
    shared = {"context": context}
    handlers = [
        (r"/v1/chat/completions", GenerationHandler, {**shared, "kind": "chat"}),
        (r"/v1/completions", GenerationHandler, {**shared, "kind": "completion"}),
        (r"/v1/models", ModelsHandler, shared),
        (r"/services/.*", ServiceHandler, shared),
        (r"/healthz", HealthHandler, shared),
        (r"/readyz", ReadinessHandler, shared),
        (r"/metrics", MetricsHandler, shared),
        (r"/admin/trace", TraceHandler, shared),
        *extra_handlers,
    ]
    return Application(
        handlers,
        default_handler_class=UnknownPathHandler,
        default_handler_args=shared,
        log_function=lambda _handler: None,
    )


class CallerServer(HTTPServer):
    """The HTTP server, which knows when the last bytes have left."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Take Tornado's own arguments."""
        super().initialize(*args, **kwargs)
        self._streams: WeakSet[IOStream] = WeakSet()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        self._streams.add(stream)
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
        while any(stream.writing() for stream in self._streams) and clock.now_ms() < end_ms:
            await clock.sleep_ms(SEND_POLL_MS)
        await self.close_all_connections()


def create_server(application: Application) -> CallerServer:
    """Return the HTTP server; the handlers bound each body themselves."""
    return CallerServer(
        application,
        max_body_size=MAX_DRAINED_BYTES,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_MS / MS_PER_S,
    )
