"""Stand-in for the users' platform's metadata store: its calls over HTTP, and its outages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec

from pimentodale.clock import create_clock
from pimentodale.standin.http_parts import (
    Listener,
    Outage,
    OutageState,
    PartHandler,
    create_application,
    repeat,
    spawn,
)
from pimentodale.standin.platform_store_state import (
    DEFAULT_HISTORY,
    ERA_HEADER,
    LeaseRequest,
    StoreTxn,
    create_store_state,
)

if TYPE_CHECKING:
    from pimentodale.standin.platform_store_state import StoreAnswer, StoreCopy, StoreState

LEASE_TICK_MS: Final = 50.0
"""How often leases are looked at."""


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` for callers."""

    admin_listen: str = ""
    """`IP:PORT` where faults are set while the part is down."""

    history: int = DEFAULT_HISTORY
    """Changes that watches can go back."""

    faults: Outage = Outage()
    """Faults from the start."""


@dataclass(slots=True)
class PlatformStorePart:
    """The running stand-in."""

    state: StoreState
    outage: OutageState
    saved: StoreCopy | None = None
    """Copy from which the store may return."""

    def check_leases(self) -> None:
        """End leases that have run out; none does while the store is down."""
        if self.outage.faults.down:
            self.state.extend_leases(LEASE_TICK_MS)
            return
        spawn(self.state.end_lapsed_leases(), "lapsed leases")


class StoreHandler(PartHandler):
    """What the paths share."""

    part: PlatformStorePart
    """The running stand-in."""

    def initialize(self, part: PlatformStorePart) -> None:
        """Take the part."""
        self.part = part

    @property
    def state(self) -> StoreState:
        """The store's state."""
        return self.part.state

    def number(self, name: str) -> int:
        """Return a whole number of the query."""
        text = self.get_query_argument(name, "0")
        return int(text) if text.isdigit() else 0

    async def is_up(self) -> bool:
        """Meet the outage; whether the call goes on."""
        return await self.meet_outage(self.part.outage.faults)

    def send(self, answer: StoreAnswer) -> None:
        """Send an answer."""
        self.set_header(ERA_HEADER, str(self.state.era))
        self.set_status(answer.status)
        self.reply(answer.body)


class KeyHandler(StoreHandler):
    """`/api/kv-key`."""

    async def get(self) -> None:
        """Read one key."""
        if await self.is_up():
            self.send(self.state.read_key(self.get_query_argument("key")))


class RangeHandler(StoreHandler):
    """`/api/kv-range`."""

    async def get(self) -> None:
        """Read the keys under a prefix."""
        if not await self.is_up():
            return
        prefix = self.get_query_argument("path_prefix", "")
        self.send(self.state.read_range(prefix, self.get_query_argument("after", "")))


class WatchHandler(StoreHandler):
    """`/api/kv-watch`."""

    async def get(self) -> None:
        """Wait for changes under a prefix."""
        if not await self.is_up():
            return
        prefix = self.get_query_argument("path_prefix", "")
        answer = await self.state.watch(prefix, self.number("after"), self.number("wait_ms"))
        if await self.is_up():
            self.send(answer)


class TxnHandler(StoreHandler):
    """`/api/kv-txn`."""

    async def post(self) -> None:
        """Carry out a transaction."""
        if not await self.is_up():
            return
        txn = self.read(StoreTxn)
        if txn is not None:
            self.send(await self.state.transact(txn))


class LeaseHandler(StoreHandler):
    """`/api/kv-lease`."""

    async def post(self) -> None:
        """Grant a lease."""
        if not await self.is_up():
            return
        request = self.read(LeaseRequest)
        if request is not None:
            self.send(self.state.grant_lease(request.ttl_ms))


class KeepHandler(StoreHandler):
    """`/api/kv-keep/ID`."""

    async def post(self, number: str) -> None:
        """Renew a lease."""
        if await self.is_up():
            self.send(self.state.keep_lease(int(number)))


class LeaseEndHandler(StoreHandler):
    """`/api/kv-lease-end/ID`."""

    async def delete(self, number: str) -> None:
        """End a lease."""
        if await self.is_up():
            self.send(await self.state.end_lease(int(number)))


class ForgetHandler(StoreHandler):
    """`/admin/forget`: drops the history, as the platform's store may."""

    def post(self) -> None:
        """Drop it."""
        self.state.forget_history()
        self.reply({})


class SaveHandler(StoreHandler):
    """`/admin/save`: makes a copy of what the store holds."""

    def post(self) -> None:
        """Make it."""
        self.part.saved = self.state.copy()
        self.reply({})


class RestoreHandler(StoreHandler):
    """`/admin/restore`: returns from the copy."""

    async def post(self) -> None:
        """Return from it."""
        if self.part.saved is None:
            self.refuse(409, "no copy was saved; call /admin/save first")
            return
        await self.state.restore(self.part.saved)
        self.reply({"era": self.state.era})


async def start_part(settings: Settings) -> None:
    """Start the stand-in; it runs as long as the process."""
    outage = OutageState(settings.faults, bool(settings.admin_listen))
    part = PlatformStorePart(create_store_state(create_clock(), settings.history), outage)
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
    admin: dict[str, type[PartHandler]] = {
        "/admin/forget": ForgetHandler,
        "/admin/save": SaveHandler,
        "/admin/restore": RestoreHandler,
    }
    application = create_application({**handlers, **admin}, arguments, outage)
    outage.listeners.append(Listener(settings.listen, application))
    await outage.apply()
    spawn(repeat(part.check_leases, LEASE_TICK_MS), "leases")
    if settings.admin_listen:
        Listener(settings.admin_listen, create_application(admin, arguments, outage)).open()
