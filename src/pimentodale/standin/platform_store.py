"""Stand-in for the users' platform's metadata store: keys, revisions, leases and watches."""

from __future__ import annotations

import asyncio
import base64
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import msgspec

from pimentodale.clock import MS_PER_S, create_clock
from pimentodale.standin.http_parts import (
    Listener,
    Outage,
    OutageState,
    PartHandler,
    create_application,
    repeat,
    spawn,
)

if TYPE_CHECKING:
    from pimentodale.clock import Clock

LEASE_TICK_MS: Final = 50.0
"""How often leases are looked at."""


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` for callers."""

    admin_listen: str = ""
    """`IP:PORT` where faults are set while the part is down."""

    history: int = 1_000
    """Changes that watches can go back."""

    faults: Outage = Outage()
    """Faults from the start."""


class StoreItem(msgspec.Struct):
    """One key on the wire."""

    key: str
    value: str = ""
    revision: int = 0
    created: int = 0
    lease: int = 0
    deleted: bool = False


class ExpectedRow(msgspec.Struct):
    """A condition of a transaction."""

    key: str
    revision: int


class StorePut(msgspec.Struct):
    """A write of a transaction."""

    key: str
    value: str
    lease: int = 0


class StoreTxn(msgspec.Struct):
    """A transaction."""

    expected: list[ExpectedRow] = []
    puts: list[StorePut] = []
    remove: list[str] = []


class LeaseRequest(msgspec.Struct):
    """A call for a lease."""

    ttl_ms: int


@dataclass(slots=True)
class HeldLease:
    """One lease."""

    ttl_ms: float
    until_ms: float


@dataclass(slots=True)
class PlatformStorePart:
    """State of the running stand-in."""

    settings: Settings
    clock: Clock
    outage: OutageState
    items: dict[str, StoreItem] = field(default_factory=dict)
    history: deque[StoreItem] = field(default_factory=deque)
    leases: dict[int, HeldLease] = field(default_factory=dict)
    revision: int = 1
    dropped: int = 0
    """Changes up to this revision are no longer in the history."""

    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    next_lease: int = 70_000

    def put(self, key: str, value: str, lease: int) -> None:
        """Write one key at the revision of now."""
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = StoreItem(key, value, self.revision, created, lease)
        self._remember(self.items[key])

    def remove(self, key: str) -> None:
        """Remove one key at the revision of now."""
        if self.items.pop(key, None) is not None:
            self._remember(StoreItem(key, "", self.revision, deleted=True))

    async def tell(self) -> None:
        """Wake the watches."""
        async with self.changed:
            self.changed.notify_all()

    def lapse(self) -> None:
        """Remove the keys of leases that have run out; none does while the store is down."""
        now_ms = self.clock.now_ms()
        for number, lease in list(self.leases.items()):
            if self.outage.faults.down:
                lease.until_ms += LEASE_TICK_MS
            elif lease.until_ms < now_ms:
                self.end_lease(number)

    def end_lease(self, number: int) -> None:
        """End a lease and remove its keys."""
        if self.leases.pop(number, None) is None:
            return
        self.revision += 1
        for key in [key for key, item in self.items.items() if item.lease == number]:
            self.remove(key)
        spawn(self.tell(), "tell watches")

    def _remember(self, item: StoreItem) -> None:
        """Keep a change for watches."""
        self.history.append(item)
        while len(self.history) > self.settings.history:
            self.dropped = self.history.popleft().revision


class StoreHandler(PartHandler):
    """What the paths share."""

    part: PlatformStorePart
    """The running stand-in."""

    def initialize(self, part: PlatformStorePart) -> None:
        """Take the part."""
        self.part = part

    def number(self, name: str) -> int:
        """Return a whole number of the query."""
        text = self.get_query_argument(name, "0")
        return int(text) if text.isdigit() else 0

    async def is_up(self) -> bool:
        """Meet the outage; whether the call goes on."""
        return await self.meet_outage(self.part.outage.faults)


class KeyHandler(StoreHandler):
    """`/api/kv-key`."""

    async def get(self) -> None:
        """Read one key."""
        if not await self.is_up():
            return
        item = self.part.items.get(self.get_query_argument("key"))
        if item is None:
            self.refuse(404, "no such key")
            return
        self.reply(item)


class RangeHandler(StoreHandler):
    """`/api/kv-range`."""

    async def get(self) -> None:
        """Read the keys under a prefix."""
        if not await self.is_up():
            return
        prefix = self.get_query_argument("path_prefix", "")
        after = self.get_query_argument("after", "")
        items = [
            item
            for key, item in sorted(self.part.items.items())
            if key.startswith(prefix) and key > after
        ]
        self.reply({"items": items, "has_more": False, "at": self.part.revision})


class WatchHandler(StoreHandler):
    """`/api/kv-watch`."""

    async def get(self) -> None:
        """Wait for changes under a prefix."""
        if not await self.is_up():
            return
        prefix = self.get_query_argument("path_prefix", "")
        after = self.number("after")
        if after < self.part.dropped:
            self.refuse(410, "this history is gone")
            return

        def events() -> list[StoreItem]:
            changes = self.part.history
            return [
                item for item in changes if item.revision > after and item.key.startswith(prefix)
            ]

        try:
            async with asyncio.timeout(self.number("wait_ms") / MS_PER_S), self.part.changed:
                await self.part.changed.wait_for(events)
        except TimeoutError:
            pass
        if await self.is_up():
            self.reply({"events": events(), "at": self.part.revision})


class TxnHandler(StoreHandler):
    """`/api/kv-txn`."""

    async def post(self) -> None:
        """Carry out a transaction."""
        if not await self.is_up():
            return
        txn = self.read(StoreTxn)
        if txn is None:
            return
        part = self.part
        current = [part.items.get(row.key, StoreItem(row.key)) for row in txn.expected]
        if any(
            item.revision != row.revision for item, row in zip(current, txn.expected, strict=True)
        ):
            self.set_status(412)
            self.reply({"items": [item for item in current if item.revision]})
            return
        if any(put.lease and put.lease not in part.leases for put in txn.puts):
            self.refuse(404, "no such lease")
            return
        part.revision += 1
        for put in txn.puts:
            base64.b64decode(put.value, validate=True)
            part.put(put.key, put.value, put.lease)
        for key in txn.remove:
            part.remove(key)
        await part.tell()
        self.reply({"revision": part.revision})


class LeaseHandler(StoreHandler):
    """`/api/kv-lease`."""

    async def post(self) -> None:
        """Grant a lease."""
        if not await self.is_up():
            return
        request = self.read(LeaseRequest)
        if request is None:
            return
        part = self.part
        part.next_lease += 1
        until_ms = part.clock.now_ms() + request.ttl_ms
        part.leases[part.next_lease] = HeldLease(request.ttl_ms, until_ms)
        self.reply({"lease": part.next_lease, "ttl_ms": request.ttl_ms})


class KeepHandler(StoreHandler):
    """`/api/kv-keep/ID`."""

    async def post(self, number: str) -> None:
        """Renew a lease."""
        if not await self.is_up():
            return
        lease = self.part.leases.get(int(number))
        if lease is None:
            self.refuse(404, "no such lease")
            return
        lease.until_ms = self.part.clock.now_ms() + lease.ttl_ms
        self.reply({"ttl_ms": lease.ttl_ms})


class LeaseEndHandler(StoreHandler):
    """`/api/kv-lease-end/ID`."""

    async def delete(self, number: str) -> None:
        """End a lease."""
        if not await self.is_up():
            return
        self.part.end_lease(int(number))
        self.reply({})


class ForgetHandler(StoreHandler):
    """`/admin/forget`: drops the history, as the platform's store may."""

    def post(self) -> None:
        """Drop it."""
        self.part.dropped = self.part.revision
        self.part.history.clear()
        self.reply({})


async def start_part(settings: Settings) -> None:
    """Start the stand-in; it runs as long as the process."""
    outage = OutageState(settings.faults, bool(settings.admin_listen))
    part = PlatformStorePart(settings, create_clock(), outage)
    handlers: dict[str, type[PartHandler]] = {
        "/api/kv-key": KeyHandler,
        "/api/kv-range": RangeHandler,
        "/api/kv-watch": WatchHandler,
        "/api/kv-txn": TxnHandler,
        "/api/kv-lease": LeaseHandler,
        "/api/kv-keep/([0-9]+)": KeepHandler,
        "/api/kv-lease-end/([0-9]+)": LeaseEndHandler,
    }
    arguments: dict[str, Any] = {"part": part}
    admin: dict[str, type[PartHandler]] = {"/admin/forget": ForgetHandler}
    application = create_application({**handlers, **admin}, arguments, outage)
    outage.listeners.append(Listener(settings.listen, application))
    await outage.apply()
    spawn(repeat(part.lapse, LEASE_TICK_MS), "leases")
    if settings.admin_listen:
        Listener(settings.admin_listen, create_application(admin, arguments, outage)).open()
