"""Writes changes of a host to the store in batches, retrying until they are stored."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import Put

if TYPE_CHECKING:
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

RETRY_MS: Final = 1_000.0
"""Delay after a failed write."""

BATCH_DELAY_MS: Final = 20.0
"""Delay after a change, to collect further ones into the same batch."""

MAX_KEYS_PER_TRANSACTION: Final = 32
"""Maximum number of keys in a transaction; a limit of the platform's store."""


class StoreWriter:
    """Queue of keys to be written."""

    __slots__ = ("_changed", "_clock", "_pending", "_store", "_ttl_ms")

    def __init__(self, clock: Clock, store: KeyValueStore, ttl_ms: float) -> None:
        self._clock = clock
        self._store = store
        self._ttl_ms = ttl_ms
        self._pending: dict[str, bytes] = {}
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Queue a value for a key, replacing a queued one."""
        self._pending[key] = value
        self._changed.set()

    async def run(self) -> None:
        """Write queued keys until cancelled; failed writes are retried with the next batch."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._clock.sleep_ms(BATCH_DELAY_MS)
            batch = dict(list(self._pending.items())[:MAX_KEYS_PER_TRANSACTION])
            if batch and not await self._write(batch):
                await self._clock.sleep_ms(RETRY_MS)
            else:
                for key, value in batch.items():
                    if self._pending.get(key) is value:
                        del self._pending[key]
            if self._pending:
                self._changed.set()

    async def _write(self, values: dict[str, bytes]) -> bool:
        """Write values under one lease; returns whether they were stored."""
        lease = await self._store.grant_lease(self._ttl_ms)
        if lease.is_error():
            return False
        puts = [Put(key, value, lease.ok) for key, value in values.items()]
        reply = await self._store.txn([], puts)
        return reply.is_ok()


def create_store_writer(clock: Clock, store: KeyValueStore, ttl_ms: float) -> StoreWriter:
    """Create a store writer with an empty queue.

    Args:
        clock: Clock of this host.
        store: The store to write to.
        ttl_ms: Time to live of the keys.
    """
    return StoreWriter(clock, store, ttl_ms)
