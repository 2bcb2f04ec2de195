"""The paths that an entry host answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

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
from pimentodale.forwarding.client_stream import ClientStream
from pimentodale.tracking_server import TrackingServer

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from pimentodale.callers.context import CallerContext
    from pimentodale.forwarding.client_connections import ClientConnections

MAX_DRAINED_BYTES: Final = 256 * 1024 * 1024
"""How much of a refused body is read and dropped before its connection is closed."""

BODY_TIMEOUT_MS: Final = 60_000.0
"""How long a caller may take to send its body."""

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


class CallerServer(TrackingServer):
    """Accepts callers' connections."""

    connections: ClientConnections
    """The callers' connections."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        client = self.connections.admit(
            lambda: ClientStream(stream.socket, _awaits_no_header, self.connections.note_closed)
        )
        if client is not None:
            super().handle_stream(client, address)


def _awaits_no_header(_stream: ClientStream) -> bool:
    """Leave the answer to an oversized header to Tornado."""
    return False


def create_server(application: Application, connections: ClientConnections) -> TrackingServer:
    """Return the HTTP server; the handlers bound each body themselves."""
    server = CallerServer(
        application,
        max_body_size=MAX_DRAINED_BYTES,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_MS / MS_PER_S,
    )
    server.connections = connections
    return server
