"""Retention of claims by leases of the key-value service, one per host and time slice.

The service expires claims by its own clock, so retention does not depend on the clocks of hosts and
needs no cleanup task. A lease costs one call per slice rather than one per claim.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from expression import Ok, Result

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clients.key_value import KeyValueStore, StoreFault
    from pimentodale.clock import Clock

SLICES_PER_RETENTION: Final = 8
"""Slices of the retention. A lease is used for claims during one slice, and its time to live is two
slices longer than the retention."""

LEASE_NOT_FOUND: Final = "lease not found"
"""Part of the error message of the service for a write with an expired lease."""

MIN_RETENTION_MS: Final = 60_000.0
"""Lower limit of the configured retention."""


class RetentionLease:
    """The lease for new claims and outcomes of this host."""

    __slots__ = (
        "_clock",
        "_granted_for_ms",
        "_granted_ms",
        "_lease_id",
        "_lock",
        "_retention_ms",
        "_store",
    )

    def __init__(
        self, store: KeyValueStore, clock: Clock, retention_ms: Callable[[], float]
    ) -> None:
        self._store = store
        self._clock = clock
        self._retention_ms = retention_ms
        self._lease_id = 0
        self._granted_ms = 0.0
        self._granted_for_ms = 0.0
        self._lock = asyncio.Lock()

    @property
    def retention_ms(self) -> float:
        """Minimum time that a claim is kept."""
        return max(MIN_RETENTION_MS, self._retention_ms())

    async def lease_id(self) -> Result[int, StoreFault]:
        """Return a lease that lasts for at least `retention_ms` from now.

        Returns:
            The id of the lease, or why the service granted none.
        """
        async with self._lock:
            now_ms = self._clock.now_ms()
            retention_ms = self.retention_ms
            slice_ms = retention_ms / SLICES_PER_RETENTION
            in_slice = now_ms - self._granted_ms < slice_ms
            # A lease granted for a shorter retention would expire claims too early.
            if self._lease_id and in_slice and self._granted_for_ms == retention_ms:
                return Ok(self._lease_id)
            granted = await self._store.grant_lease(retention_ms + 2 * slice_ms)
            if granted.is_ok():
                self._lease_id = granted.ok
                self._granted_ms = now_ms
                self._granted_for_ms = retention_ms
            return granted

    def note_fault(self, fault: StoreFault) -> None:
        """Discard the lease if a fault shows that the service no longer knows it."""
        if LEASE_NOT_FOUND in fault.message:
            self._lease_id = 0
