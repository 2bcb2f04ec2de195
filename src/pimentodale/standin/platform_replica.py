"""Stand-in for replicas of the users' platform: plain services, and engines that hold layers.

All replicas of one process know each other, so that a path runs only over those that live and hold
their part. Each writes what it ran into the journal.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import msgspec
from tornado.iostream import StreamClosedError

from pimentodale.addresses import parse_address
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.clock import MS_PER_S, create_clock
from pimentodale.standin.http_parts import (
    DownMode,
    Journal,
    Listener,
    Outage,
    OutageState,
    PartHandler,
    create_application,
    spawn,
)

if TYPE_CHECKING:
    from pimentodale.clock import Clock

HEARTBEAT_MS: Final = 400.0
"""How often a replica looks whether its record is what it should be."""

POISON: Final = b"poison"
"""Body of a request that crashes its first replica: connections are reset and refused."""

SILENT_POISON: Final = b"silent poison"
"""Body of a request under which its first replica falls silent."""

PROMPT_PARTS: Final = "Pimentodale-Prompt-Prefix"
"""Header that lists the parts of a prompt, the request's own as the last."""

DEADLY_PART: Final = re.compile(r"dead(\d*)")
"""Id of a part of a prompt that crashes whoever writes on it, unless it is the last; a number in it
is that of the events of a run before the crash."""

LAST_PART_POISON: Final = b"last part poison"
"""Body of a request that crashes the last replica of its path."""

ENDLESS_FAILURE: Final = b"endless failure"
"""Body of a request that gets a failure whose body goes on until the caller closes."""

ENDLESS_BLOCK: Final = b"x" * 16_384
"""What such a body repeats."""

CRASHED_MS: Final = 1_000.0
"""How long a crashed replica is away."""

STALL_MS: Final = 2_500.0
"""How long a request waits for a replica that doesn't answer."""

REPLICA_ID: Final = "Pimentodale-Replica-Id"
NOT_RUN: Final = "Pimentodale-Not-Executed"


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` for requests and orders."""

    admin_listen: str
    """`IP:PORT` where faults are set."""

    advertise: str = ""
    """`IP:PORT` that it registers, such as a relay's; empty when that is `listen`."""

    replica_id: str
    """Its identity."""

    service: str
    """Its service."""

    failure_domain: str = "a"
    """Where it stands."""

    store: str
    """`IP:PORT` of the store that it registers in."""

    accelerator: str = ""
    """Its accelerator; empty for a plain service."""

    memory_layers: int = 0
    """Layers that fit in its memory; an order for more crashes it."""

    model_layers: int = 0
    """Layers of the whole model."""

    layer_load_ms: float = 5.0
    """Time to load one layer."""

    event_ms: float = 10.0
    """Time from an event of a stream to the next."""

    events: int = 20
    """Events of a stream."""

    work_ms: float = 5.0
    """Time of a plain request."""

    journal: str = ""
    """File that records each run; empty for none."""

    faults: Outage = Outage()
    """Faults from the start."""


class RunEntry(msgspec.Struct):
    """A journal's line: one request that ran, or one event's path."""

    what: str
    replica: str
    attempt: str
    detail: str = ""
    at_ms: float = 0.0
    """Clock reading at which it was written."""


class Order(msgspec.Struct):
    """An order."""

    operation: str
    from_: int = msgspec.field(name="from", default=0)
    to: int = 0
    fence: int = 0
    expected: int | None = None
    id: str = ""
    path: str = ""


@dataclass(slots=True)
class PathStep:
    """One part of a path."""

    address: str
    first: int
    end: int


@dataclass(slots=True)
class Run:
    """One run of a request; a request that is sent again has a run of its own."""

    path: list[PathStep]
    """Replicas that it passes through."""

    crashes_last: bool = False
    """Whether it crashes the last of them."""

    stalled_on: str = ""
    """Address of the replica that it waits for; empty for none."""


@dataclass(slots=True)
class PlatformReplicaPart:
    """State of one running replica."""

    settings: Settings
    clock: Clock
    outage: OutageState
    journal: Journal
    started_ms: int
    held: tuple[int, int] | None = None
    orders: int = 0
    highest_fence: int = 0
    is_busy: bool = False
    is_draining: bool = False
    loses_answers: bool = False
    """Whether connections are reset once their request has run."""

    is_announcing: bool = False
    """Whether its answers say that it leaves, while its record does not."""

    turned_away_s: str = ""
    """Value of `Retry-After` with which it turns requests away; empty while it does not."""

    goes_on: asyncio.Event = field(default_factory=asyncio.Event)
    """Unset while it holds back the events of its streams."""

    is_cured: bool = False
    """Whether no request crashes it any more."""

    running: dict[str, Run] = field(default_factory=dict)
    """The latest run of each attempt."""

    def serves(self, step: PathStep) -> bool:
        """Whether it lives and holds a part."""
        held = self.held
        return held is not None and held[0] <= step.first and step.end <= held[1]

    def restart(self) -> None:
        """Start again under its id, empty."""
        self.held = None
        self.orders = self.highest_fence = 0
        self.started_ms = int(self.clock.wall_ms())
        self.is_announcing = False
        self.turned_away_s = ""
        self.outage.faults = Outage()

    async def crash(self, down_mode: DownMode) -> None:
        """Crash, and be back empty after a while."""
        self.outage.faults = Outage(down=True, down_mode=down_mode)
        await self.outage.apply()
        await asyncio.sleep(CRASHED_MS / MS_PER_S)
        self.restart()
        await self.outage.apply()

    def record(self) -> dict[str, Any]:
        """Return what it says of itself in the store."""
        record: dict[str, Any] = {
            "service": self.settings.service,
            "address": self.settings.advertise or self.settings.listen,
            "zone": self.settings.failure_domain,
            "version": "v1",
            "slots": 96,
            "state": "draining" if self.is_draining else "ready",
            "cold_left_ms": 0,
            "sequence": self.orders,
            "born": self.started_ms,
        }
        if self.settings.accelerator:
            layers = {"from": self.held[0], "to": self.held[1], "version": 1} if self.held else None
            record |= {"kind": self.settings.accelerator, "layers": layers}
        return record

    async def register(self) -> None:
        """Keep its record in the store while it is up."""
        told: bytes = b""
        while True:
            record = msgspec.json.encode(self.record())
            if not self.outage.faults.down and record != told:
                value = base64.b64encode(record).decode()
                key = f"servers/{self.settings.replica_id}"
                body = msgspec.json.encode({"puts": [{"key": key, "value": value, "lease": 0}]})
                request = CallRequest(method="POST", path="/api/kv-txn", body=body)
                reply = await fetch(parse_address(self.settings.store), request, MS_PER_S)
                told = record if reply.is_ok() and reply.ok.status == 200 else b""
            await asyncio.sleep(HEARTBEAT_MS / MS_PER_S / 4)


_replicas: dict[str, PlatformReplicaPart] = {}
"""Replicas of this process by address."""


class ReplicaHandler(PartHandler):
    """What the paths share."""

    part: PlatformReplicaPart
    """The running replica."""

    def initialize(self, part: PlatformReplicaPart) -> None:
        """Take the part."""
        self.part = part
        if part.is_announcing:
            self.set_header("Server-Leaving", "1")

    async def is_up(self) -> bool:
        """Meet the outage, and a request for another replica."""
        if not await self.meet_outage(self.part.outage.faults):
            return False
        meant = self.request.headers.get("Pimentodale-Expect-Replica")
        if meant in (None, self.part.settings.replica_id):
            return True
        self.set_status(421)
        self.set_header(REPLICA_ID, self.part.settings.replica_id)
        self.finish(b"")
        return False


class ReportHandler(ReplicaHandler):
    """`/api/report`."""

    async def get(self) -> None:
        """Tell the replica's state."""
        if not await self.is_up():
            return
        part = self.part
        if not part.settings.accelerator:
            # A plain service knows no reports, and refuses requests without an id.
            self.set_status(400)
            self.set_header(NOT_RUN, "1")
            self.finish(b"")
            return
        layers = {"from": part.held[0], "to": part.held[1], "version": 1} if part.held else None
        stalled = [
            {"id": attempt, "address": run.stalled_on}
            for attempt, run in part.running.items()
            if run.stalled_on
        ]
        self.reply(
            {
                "busy": part.is_busy,
                "sequence": part.orders,
                "queued_requests": 0,
                "active_requests": len(part.running),
                "kv_used": 0,
                "kv_total": 1_000_000,
                "pace": 1.0,
                "born": part.started_ms,
                "layers": layers,
                "stalled": stalled,
            }
        )


class OrderHandler(ReplicaHandler):
    """`/api/order`."""

    async def post(self) -> None:
        """Carry out an order, or say why not."""
        if not await self.is_up():
            return
        order = self.read(Order)
        if order is None:
            return
        part = self.part
        if order.fence < part.highest_fence:
            self.refuse(412, "a higher fence was seen")
            return
        part.highest_fence = order.fence
        if order.operation == "repath":
            self._move(order)
            return
        if part.is_busy or (order.expected is not None and order.expected != part.orders):
            self.refuse(409, "the order does not fit")
            return
        part.journal.write(
            RunEntry("place", part.settings.replica_id, "", f"{order.from_}-{order.to}")
        )
        if order.to - order.from_ > part.settings.memory_layers:
            part.outage.faults = Outage(down=True)
            self.refuse(400, "over its memory")
            return
        part.orders += 1
        part.is_busy = True
        spawn(self._load(order), "load")
        self.set_status(202)
        self.reply({})

    def _move(self, order: Order) -> None:
        """Put a running request on another path."""
        part = self.part
        if order.id not in part.running:
            self.refuse(404, "no such request")
            return
        path = parse_path(order.path)
        fault = find_fault(path)
        if fault:
            self.set_header("At-Server", fault)
            self.refuse(409, "a part is not there")
            return
        run = part.running[order.id]
        run.path = path
        crash_last(run, order.id)
        self.reply({})

    async def _load(self, order: Order) -> None:
        """Take the new range once its layers are loaded."""
        part = self.part
        held = part.held or (0, 0)
        new = sum(1 for layer in range(order.from_, order.to) if not held[0] <= layer < held[1])
        await asyncio.sleep(new * part.settings.layer_load_ms / MS_PER_S)
        part.held = (order.from_, order.to)
        part.is_busy = False


class WorkHandler(ReplicaHandler):
    """Every other path: a plain request or a stream."""

    async def get(self) -> None:
        """Serve a request without a body."""
        await self.post()

    async def post(self) -> None:
        """Serve a request."""
        if not await self.is_up():
            return
        attempt = self.request.headers.get("Pimentodale-Attempt-Id", "")
        if not attempt or self.part.is_draining:
            self._refuse_unrun(503 if attempt else 400)
            return
        if self.part.turned_away_s:
            self._journal("turned away", attempt, "")
            self.set_header("Retry-After", self.part.turned_away_s)
            self._refuse_unrun(503)
            return
        self.set_header("Pimentodale-Attempt-Id", attempt)
        self.set_header("Pimentodale-Replica-Stamp", f"stamp.{self.part.settings.replica_id}")
        if self.request.body == ENDLESS_FAILURE:
            await self._fail_without_end(attempt)
            return
        hops = self.request.headers.get("Pimentodale-Hop-Count")
        if hops is not None:
            await self._stream(attempt, parse_path(hops))
            return
        headers = msgspec.json.encode(dict(self.request.headers)).decode()
        self._journal("run", attempt, f"{self.request.uri} {headers}")
        if await self._crashes(attempt):
            return
        await asyncio.sleep(self.part.settings.work_ms / MS_PER_S)
        if self.part.loses_answers:
            self.reset_connection()
            return
        # Whoever asked may have left; the traceback of that would hold up all replicas of the process.
        with contextlib.suppress(StreamClosedError):
            await self.finish(b"body of " + self.request.uri.encode() + b" " + self.request.body)

    async def _fail_without_end(self, attempt: str) -> None:
        """Answer with a failure whose body goes on until the caller closes."""
        self._journal("endless failure", attempt, "")
        self.set_status(500)
        with contextlib.suppress(StreamClosedError):
            while True:
                self.write(ENDLESS_BLOCK)
                await self.flush()

    async def _stream(self, attempt: str, path: list[PathStep]) -> None:
        """Write the events of a stream; each needs every part of the path."""
        part = self.part
        if await self._crashes(attempt):
            return
        self._journal("begin", attempt, "")
        run = Run(path, self.request.body == LAST_PART_POISON)
        part.running[attempt] = run
        crash_last(run, attempt)
        try:
            await self._write_events(attempt, run)
        except StreamClosedError:
            return
        finally:
            if part.running.get(attempt) is run:
                del part.running[attempt]

    async def _write_events(self, attempt: str, run: Run) -> None:
        """Write the events of one run until the last one, or until its path fails."""
        # A replica that is dead keeps its work waiting; one that lacks its part refuses at once.
        if is_down(find_fault(run.path)):
            await self._wait_for_path(run)
        fault = find_fault(run.path)
        if fault:
            self._refuse_unrun(503, fault)
            return
        self.set_header("Content-Type", "text/event-stream")
        last = int(self.request.headers.get("Last-Event-Id", "0"))
        crash_before = last + 1 + (self._events_before_crash() or self.part.settings.events)
        for number in range(last + 1, self.part.settings.events + 1):
            if number == crash_before and not self.part.outage.faults.down:
                self._journal("crash", attempt, "")
                spawn(self.part.crash("refuse"), "crash")
                self.reset_connection()
                return
            if not await self._wait_for_path(run):
                self.reset_connection()
                return
            await self.part.goes_on.wait()
            steps = [f"{step.first}-{step.end}" for step in run.path]
            self._journal("event", attempt, f"{number} {' '.join(steps)}")
            await self._write_event(number)
            await asyncio.sleep(self.part.settings.event_ms / MS_PER_S)
        await self.finish()

    async def _crashes(self, attempt: str) -> bool:
        """Crash if the request brings that about."""
        has_deadly_part = self._events_before_crash() == 0
        is_poison = self.request.body in (POISON, SILENT_POISON) or has_deadly_part
        if self.part.is_cured or not is_poison:
            return False
        is_silent = self.request.body == SILENT_POISON
        self._journal("crash", attempt, "")
        spawn(self.part.crash("silent" if is_silent else "refuse"), "crash")
        if is_silent:
            await self.closed.wait()
        else:
            self.reset_connection()
        return True

    def _events_before_crash(self) -> int | None:
        """Return after how many events a part of the prompt crashes the replica, if one does."""
        if self.part.is_cured:
            return None
        parts = self.request.headers.get(PROMPT_PARTS, "").split(",")[:-1]
        deadly = (DEADLY_PART.fullmatch(part.partition(":")[0]) for part in parts)
        return next((int(found[1] or 0) for found in deadly if found), None)

    async def _write_event(self, number: int) -> None:
        """Write one event."""
        self.write(f"id: {number}\ndata: piece {number}\n\n")
        await self.flush()

    async def _wait_for_path(self, run: Run) -> bool:
        """Wait until all parts of the path answer; False after the stall time."""
        part = self.part
        end_ms = part.clock.now_ms() + STALL_MS
        while (fault := find_fault(run.path)) and part.clock.now_ms() < end_ms:
            run.stalled_on = fault
            await asyncio.sleep(0.01)
        run.stalled_on = ""
        return not fault and not part.outage.faults.down

    def _refuse_unrun(self, status: int, fault: str = "") -> None:
        """Say that the request was not run."""
        self.set_status(status)
        self.set_header(NOT_RUN, "1")
        if fault:
            self.set_header("At-Server", fault)
        self.finish(b"")

    def _journal(self, what: str, attempt: str, detail: str) -> None:
        """Record what ran."""
        part = self.part
        at_ms = part.clock.now_ms()
        part.journal.write(RunEntry(what, part.settings.replica_id, attempt, detail, at_ms))


class DrainHandler(ReplicaHandler):
    """`/admin/drain`: the replica announces that it leaves, and serves on."""

    def post(self) -> None:
        """Announce it."""
        self.part.is_draining = True
        self.reply({})


class LoseAnswersHandler(ReplicaHandler):
    """`/admin/lose-answers`: from now on requests run and their answers are lost."""

    def post(self) -> None:
        """Lose them."""
        self.part.loses_answers = True
        self.reply({})


class AnnounceHandler(ReplicaHandler):
    """`/admin/announce`: its answers say that it leaves; its record does not, and it serves on."""

    def post(self) -> None:
        """Announce it."""
        self.part.is_announcing = True
        self.reply({})


class TurnAway(msgspec.Struct):
    """Body of `/admin/turn-away`."""

    retry_after: str
    """Value of the header, as it is sent; empty to take requests again."""


class TurnAwayHandler(ReplicaHandler):
    """`/admin/turn-away`: requests get 503 with `Retry-After`."""

    def post(self) -> None:
        """Turn requests away from now on."""
        order = self.read(TurnAway)
        if order is not None:
            self.part.turned_away_s = order.retry_after
            self.reply({})


class HoldHandler(ReplicaHandler):
    """`/admin/hold`: it gives no event of a stream, but answers all else."""

    def post(self) -> None:
        """Hold events back."""
        self.part.goes_on.clear()
        self.reply({})


class GoOnHandler(ReplicaHandler):
    """`/admin/go-on`: it gives events again."""

    def post(self) -> None:
        """Go on."""
        self.part.goes_on.set()
        self.reply({})


class CureHandler(ReplicaHandler):
    """`/admin/cure`: from now on no request crashes the replica."""

    def post(self) -> None:
        """Be cured."""
        self.part.is_cured = True
        self.reply({})


class RestartHandler(ReplicaHandler):
    """`/admin/restart`: the replica starts again under its id, empty."""

    def post(self) -> None:
        """Forget everything."""
        self.part.restart()
        self.reply({})


def crash_last(run: Run, attempt: str) -> None:
    """Crash the last replica of a run's path if the request brings that about."""
    last = _replicas.get(run.path[-1].address)
    if run.crashes_last and last is not None and not last.outage.faults.down:
        last.journal.write(RunEntry("crash", last.settings.replica_id, attempt))
        spawn(last.crash("refuse"), "crash")


def parse_path(text: str) -> list[PathStep]:
    """Read a path."""
    steps = []
    for entry in text.split(","):
        address, _, layers = entry.partition("=")
        first, _, end = layers.partition("-")
        steps.append(PathStep(address, int(first), int(end)))
    return steps


def find_fault(path: list[PathStep]) -> str:
    """Return the address of the first replica that is down or lacks its part; empty for none."""
    for step in path:
        replica = _replicas.get(step.address)
        if replica is None or replica.outage.faults.down or not replica.serves(step):
            return step.address
    return ""


def is_down(address: str) -> bool:
    """Whether the replica at an address is down."""
    replica = _replicas.get(address)
    return replica is not None and replica.outage.faults.down


async def start_part(settings: Settings) -> None:
    """Start the stand-in; it runs as long as the process."""
    clock = create_clock()
    outage = OutageState(settings.faults, has_admin_port=True)
    part = PlatformReplicaPart(
        settings, clock, outage, Journal(settings.journal), int(clock.wall_ms())
    )
    part.goes_on.set()
    _replicas[settings.advertise or settings.listen] = part
    arguments: dict[str, Any] = {"part": part}
    handlers: dict[str, type[PartHandler]] = {
        "/api/report": ReportHandler,
        "/api/order": OrderHandler,
        "/.*": WorkHandler,
    }
    outage.listeners.append(Listener(settings.listen, create_application(handlers, arguments)))
    await outage.apply()
    spawn(part.register(), "registration")
    admin: dict[str, type[PartHandler]] = {
        "/admin/drain": DrainHandler,
        "/admin/announce": AnnounceHandler,
        "/admin/turn-away": TurnAwayHandler,
        "/admin/cure": CureHandler,
        "/admin/hold": HoldHandler,
        "/admin/go-on": GoOnHandler,
        "/admin/lose-answers": LoseAnswersHandler,
        "/admin/restart": RestartHandler,
    }
    Listener(settings.admin_listen, create_application(admin, arguments, outage)).open()
