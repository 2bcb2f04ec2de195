"""State of the platform's metadata store in its stand-in, and its answers, without any transport."""

from __future__ import annotations

import asyncio
import base64
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from pimentodale.clock import Clock

OK: Final = 200
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404
HISTORY_GONE: Final = 410
CONDITION_FAILED: Final = 412

ERA_HEADER: Final = "Store-Era"
"""Header of every answer: how often the store has returned from a copy, from 1 on."""

DEFAULT_HISTORY: Final = 1_000
"""Number of changes that watches can go back."""

DEFAULT_PAGE_ITEMS: Final = 500
"""Maximum number of items in a page of a range."""


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


class StoreAnswer(msgspec.Struct):
    """Answer to one call."""

    status: int
    """HTTP status."""

    body: object
    """Encoded as JSON."""


@dataclass(slots=True)
class HeldLease:
    """One lease."""

    ttl_ms: float
    until_ms: float


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """What a copy of the store holds."""

    items: dict[str, StoreItem]
    leases: dict[int, HeldLease]
    revision: int
    next_lease: int
    era: int
    """Era in which the copy was made."""


@dataclass(slots=True)
class StoreState:
    """Keys, revisions, leases and the history for watches."""

    clock: Clock
    history_length: int = DEFAULT_HISTORY
    items: dict[str, StoreItem] = field(default_factory=dict)
    history: deque[StoreItem] = field(default_factory=deque)
    leases: dict[int, HeldLease] = field(default_factory=dict)
    revision: int = 1
    era: int = 1
    """Rises each time that the store returns from a copy."""

    page_items: int = DEFAULT_PAGE_ITEMS
    """Maximum number of items in a page of a range."""

    dropped: int = 0
    """Changes up to this revision are no longer in the history."""

    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    next_lease: int = 2**62

    def read_key(self, key: str) -> StoreAnswer:
        """Read one key."""
        item = self.items.get(key)
        return _error(NOT_FOUND, "no such key") if item is None else StoreAnswer(OK, item)

    def read_range(self, prefix: str, after: str) -> StoreAnswer:
        """Read one page of the keys under a prefix."""
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after
        ]
        page, has_more = items[: self.page_items], len(items) > self.page_items
        return StoreAnswer(OK, {"items": page, "has_more": has_more, "at": self.revision})

    async def watch(self, prefix: str, after: int, wait_ms: float) -> StoreAnswer:
        """Wait for changes under a prefix."""
        if not self.dropped <= after <= self.revision:
            return _error(HISTORY_GONE, "this history is gone")

        def events() -> list[StoreItem]:
            return [
                item
                for item in self.history
                if item.revision > after and item.key.startswith(prefix)
            ]

        era = self.era
        try:
            async with asyncio.timeout(wait_ms / MS_PER_S), self.changed:
                await self.changed.wait_for(lambda: events() or self.era != era)
        except TimeoutError:
            pass
        if self.era != era:
            return _error(HISTORY_GONE, "this history is gone")
        return StoreAnswer(OK, {"events": events(), "at": self.revision})

    async def transact(self, txn: StoreTxn) -> StoreAnswer:
        """Carry out a transaction."""
        current = [self.items.get(row.key, StoreItem(row.key)) for row in txn.expected]
        if any(
            item.revision != row.revision for item, row in zip(current, txn.expected, strict=True)
        ):
            items = [item for item in current if item.revision]
            return StoreAnswer(CONDITION_FAILED, {"items": items})
        if any(put.lease and put.lease not in self.leases for put in txn.puts):
            return _error(NOT_FOUND, "no such lease")
        try:
            for put in txn.puts:
                base64.b64decode(put.value, validate=True)
        except ValueError:
            return _error(BAD_REQUEST, "a value is not base64")
        self.revision += 1
        for put in txn.puts:
            self._put(put.key, put.value, put.lease)
        for key in txn.remove:
            self._remove(key)
        await self._tell()
        return StoreAnswer(OK, {"revision": self.revision})

    def grant_lease(self, ttl_ms: float) -> StoreAnswer:
        """Grant a lease."""
        self.next_lease += 1
        self.leases[self.next_lease] = HeldLease(ttl_ms, self.clock.now_ms() + ttl_ms)
        return StoreAnswer(OK, {"lease": self.next_lease, "ttl_ms": ttl_ms})

    def keep_lease(self, number: int) -> StoreAnswer:
        """Renew a lease."""
        lease = self.leases.get(number)
        if lease is None:
            return _error(NOT_FOUND, "no such lease")
        lease.until_ms = self.clock.now_ms() + lease.ttl_ms
        return StoreAnswer(OK, {"ttl_ms": lease.ttl_ms})

    async def end_lease(self, number: int) -> StoreAnswer:
        """End a lease and remove its keys."""
        if self.leases.pop(number, None) is not None:
            self.revision += 1
            for key in [key for key, item in self.items.items() if item.lease == number]:
                self._remove(key)
            await self._tell()
        return StoreAnswer(OK, {})

    async def end_lapsed_leases(self) -> None:
        """Remove the keys of leases that have run out."""
        now_ms = self.clock.now_ms()
        for number, lease in list(self.leases.items()):
            if lease.until_ms < now_ms:
                await self.end_lease(number)

    def extend_leases(self, duration_ms: float) -> None:
        """Let every lease run for longer, as while the store is down."""
        for lease in self.leases.values():
            lease.until_ms += duration_ms

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds."""
        leases = {number: replace(lease) for number, lease in self.leases.items()}
        return StoreCopy(dict(self.items), leases, self.revision, self.next_lease, self.era)

    async def restore(self, copy: StoreCopy) -> None:
        """Return from a copy: what was written since is gone, its revisions are given out again."""
        self.era += 1
        self.items = dict(copy.items)
        self.leases = {number: replace(lease) for number, lease in copy.leases.items()}
        self.revision = copy.revision
        self.next_lease = copy.next_lease
        self.forget_history()
        await self._tell()

    def forget_history(self) -> None:
        """Drop the history, as the platform's store may."""
        self.dropped = self.revision
        self.history.clear()

    def _put(self, key: str, value: str, lease: int) -> None:
        """Write one key at the revision of now."""
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = StoreItem(key, value, self.revision, created, lease)
        self._remember(self.items[key])

    def _remove(self, key: str) -> None:
        """Remove one key at the revision of now."""
        if self.items.pop(key, None) is not None:
            self._remember(StoreItem(key, "", self.revision, deleted=True))

    async def _tell(self) -> None:
        """Wake the watches."""
        async with self.changed:
            self.changed.notify_all()

    def _remember(self, item: StoreItem) -> None:
        """Keep a change for watches."""
        self.history.append(item)
        while len(self.history) > self.history_length:
            self.dropped = self.history.popleft().revision


def create_store_state(clock: Clock, history_length: int = DEFAULT_HISTORY) -> StoreState:
    """Return an empty store."""
    return StoreState(clock, history_length)


def _error(status: int, message: str) -> StoreAnswer:
    """Return an answer that says why a call failed."""
    return StoreAnswer(status, {"error": message})
