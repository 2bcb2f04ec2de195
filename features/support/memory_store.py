"""A key-value store in memory, whose every call passes gates at which a test may hold or fail it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from pimentodale.clients.key_value import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeReply,
    StoreFault,
    TxnReply,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from pimentodale.clients.key_value import WatchBatch
    from pimentodale.clock import Clock

ERA_STEP = 1
"""By how much the era rises as the service returns from a copy."""

Gate = Callable[[str], Awaitable[StoreFault | None]]
"""Awaited with "request" before a call takes effect and with "reply" after it."""


async def open_gate(_stage: str) -> StoreFault | None:
    """Let every call pass."""
    await asyncio.sleep(0)
    return None


class MemoryState:
    """What the service holds; shared by the stores of several hosts."""

    __slots__ = (
        "clock",
        "era",
        "items",
        "late_effects",
        "lease_eras",
        "leases",
        "next_lease",
        "revision",
        "saved",
        "ttls_ms",
    )

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.items: dict[str, KeyValue] = {}
        self.late_effects: list[Callable[[], object]] = []
        """Calls that were given up while on their way; a test may let them take effect."""
        self.leases: dict[int, float] = {}
        """Ends of the leases that live."""
        self.ttls_ms: dict[int, float] = {}
        """Times to live that leases were granted for."""
        self.next_lease = 1
        self.revision = 1
        self.era = 0
        self.lease_eras: dict[int, int] = {}
        """Era in which each lease was granted."""
        self.saved: tuple[dict[str, KeyValue], dict[int, float], int] | None = None
        """Items, leases and revision of the copy from which the service may return."""

    def save(self) -> None:
        """Copy what the service holds."""
        self.saved = (dict(self.items), dict(self.leases), self.revision)

    def restore(self) -> None:
        """Return from the copy: revisions are given out again, ids of leases too.

        A platform's adapter tells leases of different eras apart, so that their ids differ here.
        """
        assert self.saved is not None
        items, leases, self.revision = self.saved
        self.items, self.leases = dict(items), dict(leases)
        self.era += ERA_STEP

    def is_of_this_era(self, lease_id: int) -> bool:
        """Whether a lease was granted since the service last returned from a copy."""
        return self.lease_eras.get(lease_id, 0) == self.era

    def expire(self) -> None:
        """Remove lapsed leases and their keys."""
        now_ms = self.clock.now_ms()
        for lease_id, end_ms in list(self.leases.items()):
            if end_ms > now_ms:
                continue
            del self.leases[lease_id]
            for key in [k for k, item in self.items.items() if item.lease_id == lease_id]:
                del self.items[key]

    def apply(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> Result[TxnReply, StoreFault]:
        """Run one transaction."""
        self.expire()
        found = [self.items[c.key] for c in compares if c.key in self.items]
        for compare in compares:
            item = self.items.get(compare.key)
            if (item.mod_revision if item else 0) != compare.mod_revision:
                return Ok(TxnReply(self.revision, False, found, self.era))
        for write in writes:
            if not isinstance(write, Put) or not write.lease_id:
                continue
            if write.lease_id not in self.leases or not self.is_of_this_era(write.lease_id):
                return Error(StoreFault(False, "requested lease not found"))
        self.revision += 1
        for write in writes:
            if isinstance(write, Delete):
                self.items.pop(write.key, None)
                continue
            old = self.items.get(write.key)
            created = old.create_revision if old else self.revision
            self.items[write.key] = KeyValue(
                write.key, write.value, created, self.revision, write.lease_id
            )
        return Ok(TxnReply(self.revision, True, era=self.era))


class MemoryStore:
    """One host's way to the shared state."""

    __slots__ = ("_gate", "_state")

    def __init__(self, state: MemoryState, gate: Gate = open_gate) -> None:
        self._state = state
        self._gate = gate

    async def read(
        self, key: str, range_end: str = "", limit: int = 0, *, keys_only: bool = False
    ) -> Result[RangeReply, StoreFault]:
        """Read one key."""
        del range_end, limit, keys_only

        def read_now() -> Result[RangeReply, StoreFault]:
            self._state.expire()
            item = self._state.items.get(key)
            found = [] if item is None else [item]
            return Ok(RangeReply(self._state.revision, found, self._state.era))

        return await self._through_gates(read_now)

    async def txn(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> Result[TxnReply, StoreFault]:
        """Run a transaction."""
        return await self._through_gates(lambda: self._state.apply(compares, writes))

    async def grant_lease(self, ttl_ms: float) -> Result[int, StoreFault]:
        """Create a lease."""

        def grant_now() -> Result[int, StoreFault]:
            lease_id = self._state.next_lease
            self._state.next_lease += 1
            self._state.leases[lease_id] = self._state.clock.now_ms() + ttl_ms
            self._state.ttls_ms[lease_id] = ttl_ms
            self._state.lease_eras[lease_id] = self._state.era
            return Ok(lease_id)

        return await self._through_gates(grant_now)

    async def keep_lease(self, lease_id: int) -> Result[float, StoreFault]:
        """Renew a lease that has not lapsed."""

        def keep_now() -> Result[float, StoreFault]:
            self._state.expire()
            if lease_id not in self._state.leases or not self._state.is_of_this_era(lease_id):
                return Ok(0.0)
            ttl_ms = self._state.ttls_ms[lease_id]
            self._state.leases[lease_id] = self._state.clock.now_ms() + ttl_ms
            return Ok(ttl_ms)

        return await self._through_gates(keep_now)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFault]:
        """End a lease."""
        if not self._state.is_of_this_era(lease_id):
            return Ok(None)
        self._state.leases[lease_id] = 0.0
        self._state.expire()
        return Ok(None)

    def watch(
        self, prefix: str, from_revision: int, silence_timeout_ms: float
    ) -> AsyncIterator[Result[WatchBatch, StoreFault]]:
        """Refuse: the ledger holds no watch."""
        raise NotImplementedError

    async def _through_gates(self, act: Callable[[], Result[Any, StoreFault]]) -> Any:
        """Pass the gate before the effect and the one after it."""
        fault = await self._gate("request")
        if fault is not None:
            if fault.may_have_applied:
                self._state.late_effects.append(act)
            return Error(fault)
        answer = act()
        fault = await self._gate("reply")
        return answer if fault is None else Error(fault)
