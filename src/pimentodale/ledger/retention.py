"""How long claims are kept: leases of the service, one for each host and slice of time.

The service removes claims by its own clock, so no host's clock decides, nothing has to sweep, and
a lease costs one call for each slice rather than one for each claim.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from expression import Ok, Result

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clients.key_value import KeyValueStore, StoreFault
    from pimentodale.clock import Clock

SLICES: Final = 8
"""A lease takes claims for one in so many parts of the retention, and lives that much longer."""

LEASE_NOT_FOUND: Final = "lease not found"
"""Part of the service's answer to a write that names a lease that has lapsed."""

MIN_RETENTION_MS: Final = 60_000.0
"""Shortest time that a claim is kept, whatever the configuration says."""


class RetentionLease:
    """The lease that new claims and outcomes of this host go with."""

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
        """How long a claim is kept at least."""
        return max(MIN_RETENTION_MS, self._retention_ms())

    async def lease_id(self) -> Result[int, StoreFault]:
        """Return a lease that outlives the retention, counted from now.

        Returns:
            The lease's id, or why the service gave none.
        """
        async with self._lock:
            now_ms = self._clock.now_ms()
            retention_ms = self.retention_ms
            slice_ms = retention_ms / SLICES
            fresh = now_ms - self._granted_ms < slice_ms
            # A longer retention must not go with a lease that was granted for a shorter one.
            if self._lease_id and fresh and self._granted_for_ms == retention_ms:
                return Ok(self._lease_id)
            granted = await self._store.grant_lease(retention_ms + 2 * slice_ms)
            if granted.is_ok():
                self._lease_id = granted.ok
                self._granted_ms = now_ms
                self._granted_for_ms = retention_ms
            return granted

    def note_fault(self, fault: StoreFault) -> None:
        """Ask for a new lease next time if the service no longer knows this one."""
        if LEASE_NOT_FOUND in fault.message:
            self._lease_id = 0
