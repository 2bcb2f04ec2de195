"""Implements the `KeyValueStore` interface on the platform's metadata store."""

from __future__ import annotations

import base64
from collections import Counter
from typing import TYPE_CHECKING, Any, Final, TypeVar
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.clients.key_value import (
    Delete,
    KeyValue,
    Put,
    RangeReply,
    StoreFault,
    TxnReply,
    WatchBatch,
    create_watch_batch,
    prefix_end,
)
from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from pimentodale.addresses import Address
    from pimentodale.clients.http_call import CallReply
    from pimentodale.clients.key_value import Compare

T = TypeVar("T")

CALL_TIMEOUT_MS: Final = 1_500.0
"""Timeout of a call; the store answers within milliseconds, or about 0.4 s while it is slow."""

WATCH_SLACK_MS: Final = 500.0
"""Part of a watch's silence timeout that is left for the answer to its long poll: the store takes
about 0.4 s while it is slow."""

MIN_WATCH_WAIT_MS: Final = 100.0
"""Minimum wait of a watch's long poll."""

OK: Final = 200
NOT_FOUND: Final = 404
HISTORY_GONE: Final = 410
CONDITION_FAILED: Final = 412
ERA: Final = "Store-Era"
"""Header that counts how often the store has returned from an older copy."""

MAX_ERA_DIGITS: Final = 6
"""Maximum length of an era; fencing numbers carry it above the revision."""

ERA_BITS: Final = 20
"""Bits of a lease id, below the store's own, that hold the era in which it was granted."""

MAX_LOGGED_ERAS: Final = 16
"""Maximum number of unusable eras that are logged."""

NOT_APPLIED_STATUSES: Final = (429, 503)
"""Statuses by which the store guarantees that a call had no effect."""


_log = get_log("store")


class _Item(msgspec.Struct):
    """One key in the store's format; `value` is base64 text."""

    key: str
    value: str = ""
    revision: int = 0
    created: int = 0
    lease: int = 0
    deleted: bool = False


class _Page(msgspec.Struct):
    """One page of a range."""

    items: list[_Item]
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    """Events reported by a watch."""

    events: list[_Item]
    at: int


class _TxnApplied(msgspec.Struct):
    """Reply to a transaction that was applied."""

    revision: int


class _TxnConflict(msgspec.Struct):
    """Reply to a transaction whose conditions do not hold."""

    items: list[_Item] = []


class _Lease(msgspec.Struct):
    """Reply to a lease call."""

    ttl_ms: float = 0.0
    lease: int = 0


class PlatformStore:
    """Implements `KeyValueStore` with the platform's HTTP calls."""

    __slots__ = ("_address", "_logged_eras", "calls", "era")

    def __init__(self, address: Address) -> None:
        self._address = address
        self.era = 0
        """Highest era seen; 0 before the first."""
        self._logged_eras: set[str] = set()
        self.calls: Counter[str] = Counter()
        """Number of calls so far by kind, including failed ones."""

    async def read(
        self, key: str, range_end: str = "", limit: int = 0, keys_only: bool = False
    ) -> Result[RangeReply, StoreFault]:
        """Read one key, or all keys under a prefix when `range_end` is the prefix's end."""
        if not range_end:
            return await self._read_one(key)
        if key and range_end != prefix_end(key):
            return Error(StoreFault(False, "only whole prefixes can be read; ask for one"))
        items: list[KeyValue] = []
        revision = 0
        era = -1
        after = ""
        while True:
            query = f"path_prefix={quote(key, safe='/')}&after={quote(after, safe='/')}"
            read = await self._get("page", f"/api/kv-range?{query}", _Page)
            if read.is_error():
                return Error(read.error)
            page, page_era = read.ok
            if era not in (-1, page_era):
                return Error(StoreFault(False, "the store returned from a copy between two pages"))
            era = page_era
            # Pages are not a snapshot: changes are watched from the revision of the first page.
            revision = revision or page.at
            items += [_key_value(item) for item in page.items]
            if not page.has_more or not page.items or 0 < limit <= len(items):
                return Ok(RangeReply(revision, items, era))
            after = page.items[-1].key

    async def txn(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> Result[TxnReply, StoreFault]:
        """Apply the writes atomically if every condition holds."""
        puts: list[dict[str, Any]] = []
        leases = {write.lease_id for write in writes if isinstance(write, Put)} - {0}
        if any(_lease_era(lease) < self.era for lease in leases):
            return Error(StoreFault(False, "the lease ended as the store returned from a copy"))
        removals: list[str] = []
        for write in writes:
            if isinstance(write, Delete):
                removals.append(write.key)
                continue
            value = base64.b64encode(write.value).decode()
            puts.append({"key": write.key, "value": value, "lease": _lease_number(write.lease_id)})
        expected = [{"key": item.key, "revision": item.mod_revision} for item in compares]
        body = {"expected": expected, "puts": puts, "remove": removals}
        reply = await self._call("transaction", "POST", "/api/kv-txn", body)
        if reply.is_error():
            return Error(reply.error)
        era = self._note_era(reply.ok)
        if reply.ok.status == OK:
            applied = _decode(reply.ok, _TxnApplied)
            if applied.is_ok() and any(_lease_era(lease) < era for lease in leases):
                return await self._take_back(puts, applied.ok.revision)
            return applied.map(lambda done: TxnReply(done.revision, True, era=era))
        if reply.ok.status == CONDITION_FAILED:
            return _parse(reply.ok, _TxnConflict).map(
                lambda conflict: TxnReply(
                    0,
                    False,
                    [_key_value(item) for item in conflict.items if item.revision],
                    era,
                )
            )
        return Error(_status_fault(reply.ok))

    async def _take_back(
        self, puts: Sequence[dict[str, Any]], revision: int
    ) -> Result[TxnReply, StoreFault]:
        """Remove leased keys that a transaction wrote as the store had just returned from a copy.

        Their lease ended with the return, and its id may belong to another host's lease by now.
        """
        written = [put["key"] for put in puts if put["lease"]]
        expected = [{"key": key, "revision": revision} for key in written]
        body = {"expected": expected, "puts": [], "remove": written}
        reply = await self._call("transaction", "POST", "/api/kv-txn", body)
        is_removed = reply.is_ok() and reply.ok.status == OK
        _log.warning(
            "A transaction was under way as the store returned from a copy.",
            keys=written,
            revision=revision,
            removed=is_removed,
        )
        return Error(StoreFault(True, "the lease ended as the store returned from a copy"))

    async def grant_lease(self, ttl_ms: float) -> Result[int, StoreFault]:
        """Create a lease and return its id, which is not given out again in a later era."""
        reply = await self._call("lease", "POST", "/api/kv-lease", {"ttl_ms": int(ttl_ms)})
        if reply.is_error():
            return Error(reply.error)
        era = self._note_era(reply.ok)
        return _decode(reply.ok, _Lease).map(lambda lease: (lease.lease << ERA_BITS) + era)

    async def keep_lease(self, lease_id: int) -> Result[float, StoreFault]:
        """Renew a lease and return its remaining time in ms, 0 if it has expired.

        A lease of an earlier era counts as expired: its id may belong to another one by now.
        """
        if _lease_era(lease_id) < self.era:
            return Ok(0.0)
        path = f"/api/kv-keep/{_lease_number(lease_id)}"
        reply = await self._call("renewal", "POST", path, None)
        if reply.is_error():
            return Error(reply.error)
        if reply.ok.status == NOT_FOUND or _lease_era(lease_id) < self._note_era(reply.ok):
            return Ok(0.0)
        return _decode(reply.ok, _Lease).map(lambda lease: lease.ttl_ms)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFault]:
        """End a lease and remove its keys; one that has expired is left alone."""
        # The answer tells the era, in which the id may be another host's.
        kept = await self.keep_lease(lease_id)
        if kept.is_error():
            return Error(kept.error)
        if kept.ok <= 0.0:
            return Ok(None)
        path = f"/api/kv-lease-end/{_lease_number(lease_id)}"
        reply = await self._call("lease end", "DELETE", path, None)
        return reply.map(lambda _: None)

    async def watch(
        self, prefix: str, from_revision: int, silence_timeout_ms: float, range_end: str = ""
    ) -> AsyncIterator[Result[WatchBatch, StoreFault]]:
        """Yield changes under a prefix from a revision on; ends after the first fault."""
        after = from_revision - 1
        wait_ms = int(max(MIN_WATCH_WAIT_MS, silence_timeout_ms - WATCH_SLACK_MS))
        while True:
            query = f"path_prefix={quote(prefix, safe='/')}&after={after}&wait_ms={wait_ms}"
            reply = await self._get("watch", f"/api/kv-watch?{query}", _Events, silence_timeout_ms)
            if reply.is_error():
                yield Error(reply.error)
                return
            events, era = reply.ok
            after = max(after, events.at)
            changes = [(_key_value(item), item.deleted) for item in events.events]
            yield Ok(create_watch_batch(after, changes, era))

    async def _read_one(self, key: str) -> Result[RangeReply, StoreFault]:
        """Read one key."""
        reply = await self._call("key", "GET", f"/api/kv-key?key={quote(key, safe='/')}", None)
        if reply.is_error():
            return Error(reply.error)
        if reply.ok.status == NOT_FOUND:
            return Ok(RangeReply(0, []))
        era = self._note_era(reply.ok)
        return _decode(reply.ok, _Item).map(
            lambda item: RangeReply(item.revision, [_key_value(item)], era)
        )

    async def _get(
        self, call: str, path: str, kind: type[T], timeout_ms: float = CALL_TIMEOUT_MS
    ) -> Result[tuple[T, int], StoreFault]:
        """Make a GET call; return its decoded reply and the era of the store."""
        reply = await self._call(call, "GET", path, None, timeout_ms)
        if reply.is_error():
            return Error(reply.error)
        era = self._note_era(reply.ok)
        if era < self.era:
            return Error(StoreFault(False, f"the store's answer is of its earlier era {era}"))
        return _decode(reply.ok, kind).map(lambda body: (body, era))

    def _note_era(self, reply: CallReply) -> int:
        """Return the era of a reply; that of earlier ones if it tells none that can be understood."""
        text = reply.headers.get(ERA, "")
        is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
        era = int(text) if is_number else self.era
        if (not is_number and (text or self.era)) or era < self.era:
            self._log_odd_era(text)
        self.era = max(self.era, era)
        return era

    def _log_odd_era(self, text: str) -> None:
        """Log an era that is missing, no number, or lower than an earlier one, once each."""
        if text in self._logged_eras or len(self._logged_eras) >= MAX_LOGGED_ERAS:
            return
        self._logged_eras.add(text)
        _log.warning("The store's era can't be used.", value=text[:MAX_ERA_DIGITS], era=self.era)

    async def _call(
        self, call: str, method: str, path: str, body: object, timeout_ms: float = CALL_TIMEOUT_MS
    ) -> Result[CallReply, StoreFault]:
        """Make one call on a new connection."""
        self.calls[call] += 1
        payload = b"" if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if payload else {}
        request = CallRequest(method=method, path=path, headers=headers, body=payload)
        reply = await fetch(self._address, request, timeout_ms)
        if reply.is_ok():
            return Ok(reply.ok)
        fault = reply.error
        return Error(StoreFault(fault.sent, fault.message, fault.silent))


def create_platform_store(address: Address) -> PlatformStore:
    """Return the store at an address."""
    return PlatformStore(address)


def _decode(reply: CallReply, kind: type[T]) -> Result[T, StoreFault]:
    """Decode the body of a reply; an unsuccessful status is a fault."""
    if reply.status != OK:
        return Error(_status_fault(reply))
    return _parse(reply, kind)


def _parse(reply: CallReply, kind: type[T]) -> Result[T, StoreFault]:
    """Decode a body regardless of the status."""
    try:
        return Ok(msgspec.json.decode(reply.body, type=kind))
    except UNREADABLE as error:
        return Error(StoreFault(True, f"the store's reply can't be read: {error}"))


def _status_fault(reply: CallReply) -> StoreFault:
    """Return the fault for an unsuccessful status."""
    return StoreFault(
        reply.status not in NOT_APPLIED_STATUSES, f"the store answered {reply.status}"
    )


def _lease_era(lease_id: int) -> int:
    """Return the era in which a lease was granted."""
    return lease_id & ((1 << ERA_BITS) - 1)


def _lease_number(lease_id: int) -> int:
    """Return the store's own id of a lease."""
    return lease_id >> ERA_BITS


def _key_value(item: _Item) -> KeyValue:
    """Translate one item; an invalid base64 value becomes empty bytes."""
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        value = b""
    return KeyValue(item.key, value, item.created, item.revision, item.lease)
