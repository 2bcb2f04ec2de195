"""Stand-in for a plain service: any method and path, each run in its journal."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING, Any, Final, Literal

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from pimentodale.addresses import parse_address
from pimentodale.clock import create_clock
from pimentodale.standin._journal import ServiceRefused, ServiceRun, create_journal

if TYPE_CHECKING:
    from tornado.iostream import IOStream

    from pimentodale.clock import Clock
    from pimentodale.standin._journal import Journal

ServiceFault = Literal["", "down", "slow", "reply_lost", "silent", "refuse"]
"""`reply_lost` closes the connection after the effect; `refuse` answers 503 before any."""

_SLOW_FACTOR: Final = 20.0
_ECHO_CHARS: Final = 2000

CRASHED_MS: Final = 1_000.0
"""How long a crashed service is away."""


SILENT_MS: Final = 4_000.0
"""How long a crashed service is silent, if it crashes that way."""

SILENT_MARK: Final = "silent"
"""Text in a call's path beside the crash mark with which the service crashes silently."""


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A plain service's settings."""

    service: str
    """Name of the service."""

    replica: str
    """Name of this backend server."""

    listen: str
    """`IP:PORT` for calls."""

    admin_listen: str = ""
    """`IP:PORT` of an admin path that a `down` service still answers; empty for none."""

    failure_domain: str = "default"
    """Its failure domain."""

    journal: str = ""
    """Path of its journal; empty for none."""

    latency_ms: float = 2.0
    """Time from a call to its effect."""

    fault: ServiceFault = ""
    """Fault that is on from the start."""

    fault_calls: int = 1_000_000
    """How many calls the fault meets."""

    crash_mark: str = ""
    """Text in a call's path that crashes the service as the call runs; empty for none."""


class ServiceFaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /admin/faults`."""

    fault: ServiceFault
    """The fault from now on; empty for none."""

    calls: int = 1_000_000
    """How many calls it meets."""

    retry_after: str = ""
    """`Retry-After` of refusals; empty for none."""


class ServiceReply(msgspec.Struct):
    """Answer of every call."""

    service: str
    replica: str
    run: int
    method: str
    path: str
    echo: str


class PlainService:
    """State of one plain service."""

    __slots__ = (
        "clock",
        "fault",
        "fault_calls",
        "is_silent",
        "journal",
        "retry_after",
        "runs",
        "server",
        "settings",
        "silent",
    )

    def __init__(self, settings: Settings, clock: Clock, journal: Journal) -> None:
        self.settings = settings
        self.clock = clock
        self.journal = journal
        self.fault: ServiceFault = settings.fault
        self.fault_calls = settings.fault_calls
        self.retry_after = ""
        self.runs = 0
        self.server: HTTPServer | None = None
        self.silent: set[IOStream] = set()
        self.is_silent = False

    def take_fault(self) -> ServiceFault:
        """Return the fault that meets the next call, and count it."""
        if not self.fault or self.fault_calls <= 0:
            return ""
        self.fault_calls -= 1
        return self.fault

    def apply(self, order: ServiceFaultOrder, handler: Any) -> None:
        """Switch the fault."""
        was_down = self.fault == "down"
        self.fault = order.fault
        self.fault_calls = order.calls
        self.retry_after = order.retry_after
        if order.fault == "down" and self.server is not None:
            self.server.stop()
            self.server = None
        elif was_down and order.fault != "down":
            self.listen(handler)

    async def crash_silently(self) -> None:
        """Take connections and answer nothing for a while."""
        self.is_silent = True
        await self.clock.sleep_ms(SILENT_MS)
        self.is_silent = False

    async def crash(self, application: Any) -> None:
        """Take no connections for a while."""
        if self.server is None:
            return
        self.server.stop()
        self.server = None
        await self.clock.sleep_ms(CRASHED_MS)
        self.listen(application)

    def listen(self, application: Any) -> None:
        """Open the port."""
        address = parse_address(self.settings.listen)
        self.server = HTTPServer(application)
        self.server.add_sockets(bind_sockets(address.port, address.ip))


class CallHandler(RequestHandler):
    """Any method and path."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    def initialize(self, service: PlainService) -> None:
        """Take the service."""
        self.service = service

    async def prepare(self) -> None:
        """Leave every request without an answer that comes after a silent crash."""
        if self.service.is_silent:
            await asyncio.Event().wait()

    async def _run(self) -> None:
        """Run a call."""
        service = self.service
        connection: Any = self.request.connection
        fault = service.take_fault()
        if connection.stream in service.silent or fault == "silent":
            service.silent.add(connection.stream)
            await asyncio.Event().wait()
        request_id = self.request.headers.get("X-Request-Id", "")
        key = self.request.headers.get("Idempotency-Key", "")
        method, path = str(self.request.method), str(self.request.uri)
        if fault == "refuse":
            refused = ServiceRefused(
                replica=service.settings.replica,
                service=service.settings.service,
                method=method,
                path=path,
                request_id=request_id,
                idempotency_key=key,
            )
            service.journal.write(refused)
            self.set_status(503)
            if service.retry_after:
                self.set_header("Retry-After", service.retry_after)
            self.finish()
            return
        factor = _SLOW_FACTOR if fault == "slow" else 1.0
        await service.clock.sleep_ms(service.settings.latency_ms * factor)
        service.runs += 1
        run = ServiceRun(
            replica=service.settings.replica,
            service=service.settings.service,
            run=service.runs,
            method=method,
            path=path,
            request_id=request_id,
            workspace=self.request.headers.get("X-Workspace", ""),
            idempotency_key=key,
            body_sha256=hashlib.sha256(self.request.body).hexdigest(),
        )
        service.journal.write(run)
        if service.settings.crash_mark and service.settings.crash_mark in path:
            if SILENT_MARK in path:
                await service.crash_silently()
                await asyncio.Event().wait()
            connection.stream.close()
            await service.crash(self.application)
            return
        if fault == "reply_lost":
            connection.stream.close()
            return
        echo = self.request.body[:_ECHO_CHARS].decode(errors="replace")
        reply = ServiceReply(run.service, run.replica, run.run, method, path, echo)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(reply))

    get = head = post = put = patch = delete = _run


class AdminHandler(RequestHandler):
    """`POST /admin/faults`."""

    def initialize(self, service: PlainService) -> None:
        """Take the service."""
        self.service = service

    def post(self) -> None:
        """Switch the fault."""
        try:
            order = msgspec.json.decode(self.request.body, type=ServiceFaultOrder)
        except msgspec.MsgspecError as error:
            self.set_status(400)
            self.finish(str(error))
            return
        self.service.apply(order, create_application(self.service))
        self.finish()


def create_application(service: PlainService) -> Application:
    """Return the service's paths."""
    arguments = {"service": service}
    return Application(
        [("/admin/faults", AdminHandler, arguments), ("/.*", CallHandler, arguments)],
        log_function=lambda _handler: None,
    )


async def start_part(settings: Settings) -> None:
    """Start a plain service in this process."""
    clock = create_clock()
    service = PlainService(settings, clock, create_journal(settings.journal, clock))
    if settings.fault != "down":
        service.listen(create_application(service))
    if settings.admin_listen:
        address = parse_address(settings.admin_listen)
        admin = HTTPServer(Application([("/admin/faults", AdminHandler, {"service": service})]))
        admin.add_sockets(bind_sockets(address.port, address.ip))
