"""Writes a host's changes to the store, many in one transaction, until the store has taken them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import Put

if TYPE_CHECKING:
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

RETRY_MS: Final = 1_000.0
"""Pause after a write that the store did not take."""

LINGER_MS: Final = 20.0
"""Pause after a change in which further ones gather."""

MAX_WRITES: Final = 32
"""Keys in one transaction; the platform's store takes no more."""


class StoreWriter:
    """Keys that are yet to be written."""

    __slots__ = ("_changed", "_clock", "_pending", "_store", "_ttl_ms")

    def __init__(self, clock: Clock, store: KeyValueStore, ttl_ms: float) -> None:
        self._clock = clock
        self._store = store
        self._ttl_ms = ttl_ms
        self._pending: dict[str, bytes] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Queue a key's value; a later one replaces it."""
        self._pending[key] = value
        self._changed.set()

    async def run(self) -> None:
        """Write for ever; what fails is written again with the next."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._clock.sleep_ms(LINGER_MS)
            batch = dict(list(self._pending.items())[:MAX_WRITES])
            if batch and not await self._write(batch):
                await self._clock.sleep_ms(RETRY_MS)
            else:
                for key, value in batch.items():
                    if self._pending.get(key) is value:
                        del self._pending[key]
            if self._pending:
                self._changed.set()

    async def _write(self, values: dict[str, bytes]) -> bool:
        """Write values under one lease; returns whether the store took them."""
        lease = await self._store.grant_lease(self._ttl_ms)
        if lease.is_error():
            return False
        puts = [Put(key, value, lease.ok) for key, value in values.items()]
        reply = await self._store.txn([], puts)
        return reply.is_ok()


def create_store_writer(clock: Clock, store: KeyValueStore, ttl_ms: float) -> StoreWriter:
    """Return a writer with nothing to write.

    Args:
        clock: Tells the time.
        store: Where it writes.
        ttl_ms: How long the keys stay.
    """
    return StoreWriter(clock, store, ttl_ms)
