"""What the stand-ins of the platform share: typed HTTP handlers, outages, rate limits, journals."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, Literal, TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.routing import PathMatches, Rule
from tornado.web import Application, RequestHandler

from pimentodale.addresses import parse_address
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Callable, Coroutine

    from tornado.iostream import IOStream

    from pimentodale.clock import Clock

T = TypeVar("T")

DownMode = Literal["reset", "refuse", "silent"]
"""How a part that is down meets its callers: a reset, a closed port, or never an answer."""

RESET_LINGER: Final = struct.pack("ii", 1, 0)
"""Makes closing a socket send a reset."""

REFUSE_NEEDS_ADMIN: Final = "down_mode refuse needs admin_listen, or nothing could mend it"
"""Why a part without an admin address can't refuse connections."""

_tasks: set[asyncio.Task[None]] = set()
"""Background tasks, kept so that they are not collected."""


class Outage(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults that every part of the platform has."""

    down: bool = False
    """Whether callers get nothing."""

    down_mode: DownMode = "reset"
    """How; `refuse` needs an admin address of its own."""

    delay_ms: float = 0.0
    """Wait before a call takes effect."""

    reply_delay_ms: float = 0.0
    """Wait between the effect and the answer."""


class Journal:
    """One JSON line for each thing that a part did; keeps nothing when there is no path."""

    __slots__ = ("_path",)

    def __init__(self, path: str) -> None:
        self._path = Path(path) if path else None

    def write(self, entry: msgspec.Struct) -> None:
        """Append one entry."""
        if self._path is None:
            return
        with self._path.open("ab") as journal:
            journal.write(msgspec.json.encode(entry) + b"\n")


class RateLimit:
    """Spaces calls evenly, with a tenth of a second's worth of them at once."""

    __slots__ = ("_clock", "_next_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_ms = 0.0

    def wait_ms(self, calls_per_s: float) -> float:
        """Take the next place and return how long the call has to wait for it."""
        self._next_ms = max(self._next_ms, self._clock.now_ms() - MS_PER_S / 10)
        wait_ms = self._next_ms - self._clock.now_ms()
        self._next_ms += MS_PER_S / calls_per_s
        return max(0.0, wait_ms)

    def give_back(self, calls_per_s: float) -> None:
        """Return a place whose call was refused."""
        self._next_ms -= MS_PER_S / calls_per_s


class PartHandler(RequestHandler):
    """Reads and writes typed JSON."""

    closed: asyncio.Event
    """Set once the caller has closed its connection."""

    def prepare(self) -> None:
        """Get ready to notice that the caller goes."""
        self.closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """Note that the caller has gone."""
        self.closed.set()

    def read(self, kind: type[T]) -> T | None:
        """Return the request's body as `kind`; answers 400 and returns `None` if it is not one."""
        try:
            return msgspec.json.decode(self.request.body or b"{}", type=kind)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            self.refuse(400, str(error))
            return None

    def refuse(self, status: int, message: str) -> None:
        """Answer an error."""
        self.set_status(status)
        self.reply({"error": message})

    def reply(self, value: object) -> Future[None]:
        """Answer JSON; what is returned ends once the answer has left."""
        self.set_header("Content-Type", "application/json")
        return self.finish(msgspec.json.encode(value))

    def reset_connection(self) -> None:
        """Drop the caller's connection with a reset and answer nothing."""
        stream: IOStream = self.detach()
        if stream.socket is not None:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        stream.close()

    async def meet_outage(self, outage: Outage) -> bool:
        """Do what the outage asks for; return whether the call goes on."""
        if outage.down and outage.down_mode == "silent":
            await self.closed.wait()
            return False
        if outage.down:
            self.reset_connection()
            return False
        if outage.delay_ms:
            await asyncio.sleep(outage.delay_ms / MS_PER_S)
        return True

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log what a handler let through."""
        get_log("standin").error(
            "Handler failed.", path=self.request.path, exc_info=(typ, value, tb)
        )


class OutageState:
    """The faults of a part and the ports that they close."""

    __slots__ = ("faults", "has_admin_port", "listeners")

    def __init__(self, faults: Outage, has_admin_port: bool) -> None:
        self.faults = faults
        self.has_admin_port = has_admin_port
        self.listeners: list[Listener] = []

    async def apply(self) -> None:
        """Open or close the ports as the faults say."""
        for listener in self.listeners:
            await apply_outage(self.faults, listener)


class OutageHandler(PartHandler):
    """`/admin/faults` of parts that have no faults besides outages."""

    outage: OutageState
    """The part's faults."""

    def initialize(self, outage: OutageState) -> None:
        """Take the part's faults."""
        self.outage = outage

    def get(self) -> None:
        """Answer the faults as they stand."""
        self.reply(self.outage.faults)

    async def post(self) -> None:
        """Replace the faults."""
        faults = self.read(Outage)
        if faults is None:
            return
        if faults.down_mode == "refuse" and not self.outage.has_admin_port:
            self.refuse(400, REFUSE_NEEDS_ADMIN)
            return
        self.outage.faults = faults
        # The answer leaves first, as its own connection may be dropped next.
        await self.reply(faults)
        await self.outage.apply()


class HealthHandler(PartHandler):
    """`GET /healthz`."""

    def get(self) -> None:
        """Say that the part runs."""
        self.reply({"status": "ok"})


class Listener:
    """A listening HTTP server that can be closed and opened again."""

    __slots__ = ("_address", "_application", "_server")

    def __init__(self, address: str, application: Application) -> None:
        self._address = parse_address(address)
        self._application = application
        self._server: HTTPServer | None = None

    def open(self) -> None:
        """Listen, unless it does already."""
        if self._server is not None:
            return
        server = HTTPServer(self._application, max_buffer_size=64 * 1024 * 1024)
        server.add_sockets(bind_sockets(self._address.port, self._address.ip))
        self._server = server

    async def close(self) -> None:
        """Refuse new connections and drop the open ones."""
        if self._server is None:
            return
        server = self._server
        self._server = None
        server.stop()
        await server.close_all_connections()

    async def drop_connections(self) -> None:
        """Drop the open connections and go on listening."""
        if self._server is not None:
            await self._server.close_all_connections()


def create_application(
    handlers: dict[str, type[PartHandler]],
    arguments: dict[str, object],
    outage: OutageState | None = None,
) -> Application:
    """Return the application of a listener, `/healthz` included.

    Args:
        handlers: Handler of each path.
        arguments: Given to the `initialize` of each.
        outage: Makes `/admin/faults` set these faults.
    """
    rules: list[Rule] = [Rule(PathMatches("/healthz"), HealthHandler)]
    for path, handler in handlers.items():
        rules.append(Rule(PathMatches(path), handler, arguments))
    if outage is not None:
        rules.append(Rule(PathMatches("/admin/faults"), OutageHandler, {"outage": outage}))
    return Application(rules, log_function=lambda _handler: None)


def spawn(work: Coroutine[Any, Any, None], name: str) -> None:
    """Run a part's background task; a failure is logged."""
    task = asyncio.get_running_loop().create_task(work, name=name)
    _tasks.add(task)
    task.add_done_callback(_forget)


async def apply_outage(outage: Outage, listener: Listener) -> None:
    """Open or close a part's port as the outage says."""
    if outage.down and outage.down_mode == "refuse":
        await listener.close()
        return
    listener.open()
    if outage.down and outage.down_mode == "reset":
        await listener.drop_connections()


async def repeat(step: Callable[[], object], interval_ms: float) -> None:
    """Call `step` for ever."""
    while True:
        await asyncio.sleep(interval_ms / MS_PER_S)
        step()


def _forget(task: asyncio.Task[None]) -> None:
    """Drop an ended task and log how it failed."""
    _tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        get_log("standin").error("Task failed.", task=task.get_name(), error=repr(task.exception()))
