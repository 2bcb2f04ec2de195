"""Lease of a steward: which host may send orders in a failure domain, and until when."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.key_value import Compare, Put, StoreFault, fencing_number
from pimentodale.foreign_bytes import read_whole_number

if TYPE_CHECKING:
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

LEASE_PREFIX: Final = "pimentodale/steward/"
"""Prefix of the lease keys, followed by the failure domain."""

FENCING_NUMBER_SUFFIX: Final = "/fencing-number"
"""Suffix of the key that stores a fencing number raised above the store's revision."""


class LeaseHandover(msgspec.Struct, frozen=True, array_like=True):
    """A lease that its holder hands over to another host when it shuts down."""

    lease_id: str
    """Lease id in the key-value store, in decimal: it may be longer than an encoded integer."""

    fencing_number: int
    """Fencing number of the holder's orders."""

    taken_revision: int
    """Store revision at which the lease was acquired."""


class HeldLease:
    """A lease held by this host, as far as the host can know."""

    __slots__ = (
        "_clock",
        "_key",
        "_margin_ms",
        "_store",
        "_taken_revision",
        "_ttl_ms",
        "fencing_number",
        "lease_id",
        "valid_until_ms",
    )

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        key: str,
        lease_id: int,
        taken_revision: int,
        fencing_number: int,
        ttl_ms: float,
        margin_ms: float,
        renewed_ms: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._key = key
        self._ttl_ms = ttl_ms
        self._margin_ms = margin_ms
        self._taken_revision = taken_revision
        self.lease_id = lease_id
        self.fencing_number = fencing_number
        self.valid_until_ms = renewed_ms + ttl_ms - margin_ms

    def is_valid_for(self, duration_ms: float) -> bool:
        """Whether the lease stays valid for a duration, by this host's clock less the margin."""
        return self._clock.now_ms() + duration_ms < self.valid_until_ms

    async def renew(self) -> bool:
        """Renew the lease; return False if it has expired for good.

        If the store is unreachable, nothing changes and the lease expires by the clock.
        """
        asked_ms = self._clock.now_ms()
        reply = await self._store.keep_lease(self.lease_id)
        if reply.is_error():
            return True
        if reply.ok <= 0:
            self.valid_until_ms = float("-inf")
            return False
        # Counted from before the call, as the store may have renewed the lease immediately.
        self.valid_until_ms = asked_ms + min(self._ttl_ms, reply.ok) - self._margin_ms
        return True

    async def raise_fencing_number(self, accepted_number: int) -> bool:
        """Raise the fencing number above one that an engine accepted, if this host holds the lease.

        A store restored from a backup continues from a lower revision, while engines keep the
        highest fencing number. The raised number is stored, so that the next holder's is higher.

        Returns:
            False if another host holds the lease or if that can't be determined; the number then
            stays as it is.
        """
        raised = max(self.fencing_number, accepted_number + 1)
        number = Put(self._key + FENCING_NUMBER_SUFFIX, str(raised).encode())
        reply = await self._store.txn([Compare(self._key, self._taken_revision)], [number])
        if reply.is_error():
            return False
        if not reply.ok.succeeded:
            self.valid_until_ms = float("-inf")
            return False
        self.fencing_number = raised
        return True

    async def release(self) -> None:
        """Release the lease, so that another host need not wait for it to expire."""
        self.valid_until_ms = float("-inf")
        await self._store.revoke_lease(self.lease_id)

    def hand_over(self) -> LeaseHandover:
        """Hand the lease over to another host; this one must send no more orders."""
        self.valid_until_ms = float("-inf")
        return LeaseHandover(str(self.lease_id), self.fencing_number, self._taken_revision)


def take_over_lease(
    store: KeyValueStore,
    clock: Clock,
    failure_domain: str,
    handed: LeaseHandover,
    ttl_ms: float,
    margin_ms: float,
) -> HeldLease:
    """Take over another host's lease; it does not count as valid before it has been renewed.

    Args:
        store: The key-value store.
        clock: Measures the lease's time to live.
        failure_domain: The failure domain.
        handed: The lease as handed over by its holder.
        ttl_ms: Time to live.
        margin_ms: How much earlier than its time to live the lease counts as expired.

    Returns:
        The lease.
    """
    return HeldLease(
        store,
        clock,
        LEASE_PREFIX + failure_domain,
        int(handed.lease_id),
        handed.taken_revision,
        handed.fencing_number,
        ttl_ms,
        margin_ms,
        float("-inf"),
    )


async def acquire_lease(
    store: KeyValueStore,
    clock: Clock,
    failure_domain: str,
    host: str,
    ttl_ms: float,
    margin_ms: float,
    era: int = 0,
) -> Result[HeldLease | None, StoreFault]:
    """Acquire a failure domain's lease if no host holds it.

    A store that has returned from an older copy may lack the lease of a host that relies on it. So
    nothing is acquired in an era that the caller didn't know.

    Args:
        store: The key-value store.
        clock: Measures the lease's time to live.
        failure_domain: The failure domain.
        host: This host's name, stored for operators.
        ttl_ms: Time to live.
        margin_ms: How much earlier than its time to live the lease counts as expired.
        era: The store's era as the caller knows it.

    Returns:
        The lease, `None` if another host holds it or may hold it, or the fault.
    """
    key = LEASE_PREFIX + failure_domain
    held = await store.read(key, keys_only=True)
    if held.is_error():
        return Error(held.error)
    if held.ok.items:
        return Ok(None)
    asked_ms = clock.now_ms()
    granted = await store.grant_lease(ttl_ms)
    if granted.is_error():
        return Error(granted.error)
    taken = await store.txn([Compare(key, 0)], [Put(key, host.encode(), granted.ok)])
    if taken.is_ok() and taken.ok.succeeded and taken.ok.era == era:
        revision = taken.ok.revision
        # Read after acquiring the lease, as no other host can raise the number any more.
        raised = await store.read(key + FENCING_NUMBER_SUFFIX)
        if raised.is_ok():
            digits = raised.ok.items[0].value if raised.ok.items else b""
            highest = read_whole_number(digits) or 0
            number = max(fencing_number(taken.ok.era, revision), highest + 1)
            lease = HeldLease(
                store, clock, key, granted.ok, revision, number, ttl_ms, margin_ms, asked_ms
            )
            return Ok(lease)
        await store.revoke_lease(granted.ok)
        return Error(raised.error)
    # A write that took effect without a reply is removed with its lease, by this or on expiry.
    await store.revoke_lease(granted.ok)
    return Ok(None) if taken.is_ok() else Error(taken.error)
