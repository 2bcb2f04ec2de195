"""Stand-in for the key-value service: the etcd v3 JSON gateway, with outages and lost answers.

Admin paths, answered on `listen` and on `admin_listen`: `GET /admin/calls`, `GET` and `POST
/admin/faults`, `POST /admin/snapshot`, `POST /admin/restore`.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final, Literal

import msgspec
from tornado.iostream import StreamClosedError

from pimentodale.clock import MS_PER_S, Clock, create_clock
from pimentodale.platform.etcd_messages import (
    DeleteRangeRequest,
    GatewayError,
    Header,
    KeepAliveLine,
    LeaseGrantRequest,
    LeaseRequest,
    PutRequest,
    PutResponse,
    RangeRequest,
    TxnRequest,
    WatchLine,
    WatchRequest,
    WatchResponse,
)
from pimentodale.standin.http_parts import (
    Listener,
    Outage,
    PartHandler,
    RateLimit,
    apply_outage,
    create_application,
    repeat,
    spawn,
)
from pimentodale.standin.key_value_state import KeyValueState, LeaseNotFoundError

if TYPE_CHECKING:
    from tornado.web import Application

LimitMode = Literal["refuse", "delay"]
"""What a call above the rate gets: HTTP 429, or a wait."""

EXPIRY_INTERVAL_MS: Final = 20.0
"""How often leases are looked at."""


class KeyValueFaults(Outage, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of `POST /admin/faults`; it replaces all faults, so `{}` mends everything."""

    lose_replies: int = 0
    """How many of the next writes take effect and then lose their answer."""

    lose_reply_ratio: float = 0.0
    """Share of writes that lose their answer, drawn with `seed`."""

    seed: int = 0
    """Seed of those draws; they start anew with each change of the faults."""

    writes_per_s: float = 0.0
    """Most writes a second; 0 for no limit."""

    reads_per_s: float = 0.0
    """Most reads a second; 0 for no limit."""

    limit_mode: LimitMode = "refuse"
    """What a call above the rate gets."""


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` for callers."""

    admin_listen: str = ""
    """`IP:PORT` for the admin paths alone; stays open when `listen` refuses."""

    latency_ms: float = 0.0
    """Time that each call takes."""

    history_events: int = 10_000
    """Events kept for watches that start in the past."""

    progress_interval_ms: float = 1000.0
    """How often a quiet watch hears the revision."""

    max_request_bytes: int = 1_572_864
    """Largest request."""

    max_txn_ops: int = 128
    """Most steps of a transaction."""

    faults: KeyValueFaults = KeyValueFaults()
    """Faults from the start."""


class CallCounts(msgspec.Struct):
    """Answer of `GET /admin/calls`: calls since the start, those that failed too."""

    range: int = 0
    """Reads."""

    txn: int = 0
    """Transactions, and single puts and removals."""

    lease_grant: int = 0
    """Leases asked for."""

    lease_keepalive: int = 0
    """Renewals."""

    lease_revoke: int = 0
    """Leases ended."""

    watch: int = 0
    """Watches opened."""

    watches_open: int = 0
    """Watches that wait now."""

    refused: int = 0
    """Calls among the above that were above the rate."""

    lost_replies: int = 0
    """Writes among the above that took effect and lost their answer."""

    request_bytes: int = 0
    """Octets of request bodies."""

    reply_bytes: int = 0
    """Octets of answers."""


class KeyValuePart:
    """The running stand-in."""

    __slots__ = (
        "calls",
        "changed",
        "clock",
        "epoch",
        "faults",
        "listener",
        "read_limit",
        "replies_to_lose",
        "rng",
        "settings",
        "snapshot",
        "state",
        "write_limit",
    )

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.set_faults(settings.faults)
        self.state = KeyValueState(settings.history_events)
        self.snapshot = self.state.copy()
        self.calls = CallCounts()
        self.changed = asyncio.Event()
        self.epoch = 0
        self.read_limit = RateLimit(clock)
        self.write_limit = RateLimit(clock)
        self.listener: Listener | None = None

    def set_faults(self, faults: KeyValueFaults) -> None:
        """Replace the faults and start their draws anew."""
        self.faults = faults
        self.replies_to_lose = faults.lose_replies
        self.rng = random.Random(faults.seed)

    def notify(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self) -> None:
        """End leases whose time is over."""
        if self.state.expire(self.clock):
            self.notify()

    def loses_reply(self) -> bool:
        """Whether the write that just took effect loses its answer."""
        lost = self.replies_to_lose > 0 or self.rng.random() < self.faults.lose_reply_ratio
        self.replies_to_lose = max(0, self.replies_to_lose - 1)
        self.calls.lost_replies += lost
        return lost


class KeyValueHandler(PartHandler):
    """What the service's calls share."""

    part: KeyValuePart
    """The running stand-in."""

    def initialize(self, part: KeyValuePart) -> None:
        """Take the part."""
        self.part = part

    async def begin(self, write: bool) -> bool:
        """Meet faults, rates and latency; return whether the call goes on."""
        part = self.part
        part.calls.request_bytes += len(self.request.body)
        if not await self.meet_outage(part.faults):
            return False
        limit = part.write_limit if write else part.read_limit
        rate = part.faults.writes_per_s if write else part.faults.reads_per_s
        wait_ms = limit.wait_ms(rate) if rate else 0.0
        if wait_ms and part.faults.limit_mode == "refuse":
            limit.give_back(rate)
            part.calls.refused += 1
            self.fail(429, 8, "etcdserver: too many requests")
            return False
        wait_ms += part.settings.latency_ms
        if wait_ms:
            await asyncio.sleep(wait_ms / MS_PER_S)
        if part.faults.down:
            self.reset_connection()
            return False
        if len(self.request.body) > part.settings.max_request_bytes:
            self.fail(400, 3, "etcdserver: request is too large")
            return False
        return True

    async def end(self, value: object, write: bool) -> None:
        """Answer, unless the answer is to be lost."""
        part = self.part
        if write:
            part.notify()
            if part.loses_reply():
                self.reset_connection()
                return
        if part.faults.reply_delay_ms:
            await asyncio.sleep(part.faults.reply_delay_ms / MS_PER_S)
        part.calls.reply_bytes += len(msgspec.json.encode(value))
        self.reply(value)

    def fail(self, status: int, code: int, message: str) -> None:
        """Answer as the gateway does when it refuses."""
        self.set_status(status)
        self.reply(GatewayError(message, code, message))


class RangeHandler(KeyValueHandler):
    """`/v3/kv/range`."""

    async def post(self) -> None:
        """Read."""
        self.part.calls.range += 1
        request = self.read(RangeRequest)
        if request is None or not await self.begin(write=False):
            return
        await self.end(self.part.state.range(request), write=False)


class TxnHandler(KeyValueHandler):
    """`/v3/kv/txn`."""

    async def post(self) -> None:
        """Run a transaction."""
        self.part.calls.txn += 1
        request = self.read(TxnRequest)
        if request is None or not await self.begin(write=True):
            return
        most = max(len(request.compare), len(request.success), len(request.failure))
        if most > self.part.settings.max_txn_ops:
            self.fail(400, 3, "etcdserver: too many operations in txn request")
            return
        try:
            answer = self.part.state.txn(request)
        except LeaseNotFoundError:
            self.fail(404, 5, "etcdserver: requested lease not found")
            return
        except ValueError as error:
            self.fail(400, 3, str(error))
            return
        await self.end(answer, write=True)


class PutHandler(KeyValueHandler):
    """`/v3/kv/put`."""

    async def post(self) -> None:
        """Write one key."""
        self.part.calls.txn += 1
        request = self.read(PutRequest)
        if request is None or not await self.begin(write=True):
            return
        try:
            answer = self.part.state.put(request)
        except LeaseNotFoundError:
            self.fail(404, 5, "etcdserver: requested lease not found")
            return
        await self.end(answer, write=True)


class DeleteRangeHandler(KeyValueHandler):
    """`/v3/kv/deleterange`."""

    async def post(self) -> None:
        """Remove a range."""
        self.part.calls.txn += 1
        request = self.read(DeleteRangeRequest)
        if request is None or not await self.begin(write=True):
            return
        await self.end(self.part.state.delete_range(request), write=True)


class LeaseGrantHandler(KeyValueHandler):
    """`/v3/lease/grant`."""

    async def post(self) -> None:
        """Create a lease."""
        self.part.calls.lease_grant += 1
        request = self.read(LeaseGrantRequest)
        if request is None or not await self.begin(write=True):
            return
        ttl_s = max(1, int(request.ttl_s))
        await self.end(self.part.state.grant(ttl_s, self.part.clock), write=True)


class LeaseKeepAliveHandler(KeyValueHandler):
    """`/v3/lease/keepalive`."""

    async def post(self) -> None:
        """Renew a lease."""
        self.part.calls.lease_keepalive += 1
        request = self.read(LeaseRequest)
        if request is None or not await self.begin(write=True):
            return
        answer = self.part.state.keep_alive(int(request.id), self.part.clock)
        await self.end(KeepAliveLine(answer), write=True)


class LeaseRevokeHandler(KeyValueHandler):
    """`/v3/lease/revoke`."""

    async def post(self) -> None:
        """End a lease."""
        self.part.calls.lease_revoke += 1
        request = self.read(LeaseRequest)
        if request is None or not await self.begin(write=True):
            return
        if not self.part.state.revoke(int(request.id)):
            self.fail(404, 5, "etcdserver: requested lease not found")
            return
        await self.end(PutResponse(self.part.state.header()), write=True)


class WatchHandler(KeyValueHandler):
    """`/v3/watch`: newline-delimited JSON until either side closes."""

    _task: asyncio.Task[None] | None = None

    async def post(self) -> None:
        """Report changes for as long as the caller listens."""
        part = self.part
        part.calls.watch += 1
        request = self.read(WatchRequest)
        if request is None or not await self.begin(write=False):
            return
        part.calls.watches_open += 1
        self._task = asyncio.current_task()
        try:
            await self._report(request)
        except (StreamClosedError, asyncio.CancelledError):
            return
        finally:
            part.calls.watches_open -= 1

    def on_connection_close(self) -> None:
        """End the watch as soon as its caller goes."""
        super().on_connection_close()
        if self._task is not None:
            self._task.cancel()

    async def _report(self, request: WatchRequest) -> None:
        """Send the first line, then every change."""
        part = self.part
        wanted = request.create_request
        epoch = part.epoch
        start = int(wanted.start_revision) or part.state.revision + 1
        await self._line(WatchResponse(self._header(), created=True))
        if start <= part.state.compact_revision:
            oldest = str(part.state.compact_revision + 1)
            await self._line(WatchResponse(self._header(), canceled=True, compact_revision=oldest))
            return
        while part.epoch == epoch and not part.faults.down:
            changed = part.changed
            events = part.state.events_from(start, wanted.key, wanted.range_end)
            start = max(start, part.state.revision + 1)
            if events:
                await self._line(WatchResponse(self._header(), events=events))
            if changed is not part.changed:
                continue
            await self._wait(changed, wanted.progress_notify)
        if await self.meet_outage(part.faults):
            self.reset_connection()

    async def _wait(self, changed: asyncio.Event, progress: bool) -> None:
        """Wait for a change; report the revision when the watch has been quiet for long."""
        try:
            interval_s = self.part.settings.progress_interval_ms / MS_PER_S
            await asyncio.wait_for(changed.wait(), interval_s)
        except TimeoutError:
            if progress and not self.part.faults.down:
                await self._line(WatchResponse(self._header()))

    async def _line(self, response: WatchResponse) -> None:
        """Send one line."""
        text = msgspec.json.encode(WatchLine(response)) + b"\n"
        self.part.calls.reply_bytes += len(text)
        self.write(text)
        await self.flush()

    def _header(self) -> Header:
        """Return the header of a line sent now."""
        return self.part.state.header()


class CallsHandler(KeyValueHandler):
    """`GET /admin/calls`."""

    def get(self) -> None:
        """Answer the counts."""
        self.reply(self.part.calls)


class FaultsHandler(KeyValueHandler):
    """`/admin/faults`."""

    def get(self) -> None:
        """Answer the faults as they stand."""
        self.reply(self.part.faults)

    async def post(self) -> None:
        """Replace the faults."""
        faults = self.read(KeyValueFaults)
        if faults is None:
            return
        if faults.down_mode == "refuse" and not self.part.settings.admin_listen:
            self.refuse(400, "down_mode refuse needs admin_listen, or nothing could mend it")
            return
        self.part.set_faults(faults)
        # The answer leaves first, as its own connection may be dropped next.
        await self.reply(faults)
        self.part.notify()
        if self.part.listener is not None:
            await apply_outage(faults, self.part.listener)


class SnapshotHandler(KeyValueHandler):
    """`POST /admin/snapshot`."""

    def post(self) -> None:
        """Keep a copy of all that is stored."""
        self.part.snapshot = self.part.state.copy()
        self.reply(self.part.snapshot.header())


class RestoreHandler(KeyValueHandler):
    """`POST /admin/restore`."""

    def post(self) -> None:
        """Bring the copy back; the revision runs backwards and watches are dropped."""
        self.part.state = self.part.snapshot.copy()
        self.part.epoch += 1
        self.part.notify()
        self.reply(self.part.state.header())


async def start_part(settings: Settings) -> None:
    """Start the stand-in; it runs as long as the process."""
    part = KeyValuePart(settings, create_clock())
    application = _create_application(part)
    part.listener = Listener(settings.listen, application)
    await apply_outage(part.faults, part.listener)
    if settings.admin_listen:
        Listener(settings.admin_listen, application).open()
    spawn(repeat(part.expire_leases, EXPIRY_INTERVAL_MS), "key-value leases")


def _create_application(part: KeyValuePart) -> Application:
    """Return the handlers of every path."""
    handlers: dict[str, type[PartHandler]] = {
        "/v3/kv/range": RangeHandler,
        "/v3/kv/txn": TxnHandler,
        "/v3/kv/put": PutHandler,
        "/v3/kv/deleterange": DeleteRangeHandler,
        "/v3/lease/grant": LeaseGrantHandler,
        "/v3/lease/keepalive": LeaseKeepAliveHandler,
        "/v3/lease/revoke": LeaseRevokeHandler,
        "/v3/watch": WatchHandler,
        "/admin/calls": CallsHandler,
        "/admin/faults": FaultsHandler,
        "/admin/snapshot": SnapshotHandler,
        "/admin/restore": RestoreHandler,
    }
    return create_application(handlers, {"part": part})
