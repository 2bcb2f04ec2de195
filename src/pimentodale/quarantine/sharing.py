"""Entries between hosts: kept in the key-value service, and read from there by a few.

Peers carry entries at once. The service keeps them for hosts that start later or are cut off from
the others.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import Put, prefix_end
from pimentodale.logs import get_log
from pimentodale.quarantine.entries import pack_entry, unpack_entry
from pimentodale.quarantine.register import STRIKE_RETENTION_MS
from pimentodale.quarantine.trials import CONVICTED_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.clients.key_value import KeyValue, KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.quarantine.entries import QuarantineEntry
    from pimentodale.quarantine.register import QuarantineRegister

STRUCK_PREFIX: Final = "pimentodale/quarantine/struck/"
"""Key prefix of entries with strikes."""

_QUARANTINE_PREFIX: Final = "pimentodale/quarantine/"
_WATCH_SILENCE_MS: Final = 30_000.0
_RETRY_MS: Final = 1_000.0
_LINGER_MS: Final = 20.0
_MAX_WRITES: Final = 64
"""Entries in one transaction."""

_log = get_log("quarantine")


class EntryWriter:
    """Writes this host's changes to the service, many in one transaction."""

    __slots__ = ("_changed", "_clock", "_pending", "_store")

    def __init__(self, clock: Clock, store: KeyValueStore) -> None:
        self._clock = clock
        self._store = store
        self._pending: dict[str, QuarantineEntry] = {}
        self._changed = asyncio.Event()

    def put(self, entry: QuarantineEntry) -> None:
        """Queue an entry; a later one of the same request replaces it."""
        self._pending[entry.fingerprint] = entry
        self._changed.set()

    async def run(self) -> None:
        """Write for ever; what fails is written again with the next."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._clock.sleep_ms(_LINGER_MS)
            batch = dict(list(self._pending.items())[:_MAX_WRITES])
            if batch and not await self._write(list(batch.values())):
                await self._clock.sleep_ms(_RETRY_MS)
            else:
                for fingerprint, entry in batch.items():
                    if self._pending.get(fingerprint) is entry:
                        del self._pending[fingerprint]
            if self._pending:
                self._changed.set()

    async def _write(self, entries: Sequence[QuarantineEntry]) -> bool:
        """Write entries under one lease; returns whether the service took them."""
        lease = await self._store.grant_lease(STRIKE_RETENTION_MS)
        if lease.is_error():
            return False
        # A conviction is written by the end of its trial too; this covers those without one.
        puts = [
            Put(
                (CONVICTED_PREFIX if entry.convicted else STRUCK_PREFIX) + entry.fingerprint,
                pack_entry(entry),
                lease.ok,
            )
            for entry in entries
        ]
        reply = await self._store.txn([], puts)
        return reply.is_ok()


async def follow_entries(
    register: QuarantineRegister,
    clock: Clock,
    store: KeyValueStore,
    is_watcher: Callable[[], bool],
) -> None:
    """Take in the service's entries for ever: all at the start, then changes at watchers.

    Args:
        register: Where they go.
        clock: Tells the time.
        store: The key-value service.
        is_watcher: Whether this host watches the service for its failure domain.
    """
    revision = 0
    while True:
        if revision == 0:
            revision = await _read_all(register, store)
        if revision and is_watcher():
            revision = await _watch(register, store, revision)
        await clock.sleep_ms(_RETRY_MS)


async def _read_all(register: QuarantineRegister, store: KeyValueStore) -> int:
    """Take in every entry; returns the revision read, 0 when there was no answer."""
    reply = await store.read(_QUARANTINE_PREFIX, prefix_end(_QUARANTINE_PREFIX))
    if reply.is_error():
        return 0
    _take(register, reply.ok.items)
    return reply.ok.revision


async def _watch(register: QuarantineRegister, store: KeyValueStore, revision: int) -> int:
    """Take in changes until the watch ends; returns the revision reached, 0 to read anew."""
    async for batch in store.watch(_QUARANTINE_PREFIX, revision + 1, _WATCH_SILENCE_MS):
        if batch.is_error():
            _log.info("The watch on quarantine ended.", reason=batch.error.message)
            return 0
        _take(register, batch.ok.puts)
        revision = max(revision, batch.ok.revision)
    return 0


def _take(register: QuarantineRegister, items: Sequence[KeyValue]) -> None:
    """Offer the entries among stored keys."""
    for item in items:
        if not item.key.startswith((STRUCK_PREFIX, CONVICTED_PREFIX)):
            continue
        entry = unpack_entry(item.value)
        if entry is None:
            _log.warning("A stored entry is malformed.", key=item.key)
            continue
        register.offer(entry)
