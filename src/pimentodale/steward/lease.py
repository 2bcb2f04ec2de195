"""The steward's lease: who gives orders in a failure domain, and for how long that is sure."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.key_value import Compare, Put, StoreFault

if TYPE_CHECKING:
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

LEASE_PREFIX: Final = "pimentodale/steward/"
"""Prefix of the lease keys; the failure domain follows."""

NUMBER_SUFFIX: Final = "/fencing-number"
"""Ends the key of a fencing number that had to be raised above the service's revision."""


class HandedLease(msgspec.Struct, frozen=True, array_like=True):
    """A lease that its holder gives to another host as it stops."""

    lease_id: int
    """The service's number of the lease."""

    fencing_number: int
    """Number that the holder's orders bore."""

    taken_revision: int
    """The service's revision at which the lease was taken."""


class HeldLease:
    """A lease that this host holds, as far as it can know."""

    __slots__ = (
        "_clock",
        "_key",
        "_margin_ms",
        "_store",
        "_taken_revision",
        "_ttl_ms",
        "fencing_number",
        "lease_id",
        "sure_until_ms",
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
        self.sure_until_ms = renewed_ms + ttl_ms - margin_ms

    def is_sure_for(self, duration_ms: float) -> bool:
        """Whether the lease lasts for so long from now, by this host's clock less the margin."""
        return self._clock.now_ms() + duration_ms < self.sure_until_ms

    async def renew(self) -> bool:
        """Renew the lease; return False if it has lapsed for good.

        A service that can't be reached changes nothing: the lease then runs out by the clock.
        """
        asked_ms = self._clock.now_ms()
        reply = await self._store.keep_lease(self.lease_id)
        if reply.is_error():
            return True
        if reply.ok <= 0:
            self.sure_until_ms = float("-inf")
            return False
        # Counted from before the call, as the service may have renewed at once.
        self.sure_until_ms = asked_ms + min(self._ttl_ms, reply.ok) - self._margin_ms
        return True

    async def raise_above(self, followed: int) -> bool:
        """Go above a number that an engine has followed, if the service says we hold the lease.

        A service that was restored counts its revisions from lower down, while engines remember.
        The raised number is kept, so that the next holder's is higher still.

        Returns:
            False if the lease is another's, or if that can't be learned; nothing is raised then.
        """
        raised = max(self.fencing_number, followed + 1)
        number = Put(self._key + NUMBER_SUFFIX, str(raised).encode())
        reply = await self._store.txn([Compare(self._key, self._taken_revision)], [number])
        if reply.is_error():
            return False
        if not reply.ok.succeeded:
            self.sure_until_ms = float("-inf")
            return False
        self.fencing_number = raised
        return True

    async def release(self) -> None:
        """Give the lease up, so that another host need not wait for it to lapse."""
        self.sure_until_ms = float("-inf")
        await self._store.revoke_lease(self.lease_id)

    def hand_over(self) -> HandedLease:
        """Return what another host needs to go on with the lease; this one must give no more orders."""
        self.sure_until_ms = float("-inf")
        return HandedLease(self.lease_id, self.fencing_number, self._taken_revision)


def take_over_lease(
    store: KeyValueStore,
    clock: Clock,
    failure_domain: str,
    handed: HandedLease,
    ttl_ms: float,
    margin_ms: float,
) -> HeldLease:
    """Go on with another host's lease; nothing is sure of it before it has been renewed.

    Args:
        store: The key-value service.
        clock: Counts the lease's time.
        failure_domain: The failure domain.
        handed: What its holder gave.
        ttl_ms: Time to live.
        margin_ms: How much sooner the lease counts as over.

    Returns:
        The lease.
    """
    return HeldLease(
        store,
        clock,
        LEASE_PREFIX + failure_domain,
        handed.lease_id,
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
) -> Result[HeldLease | None, StoreFault]:
    """Take a failure domain's lease if nobody has it.

    Args:
        store: The key-value service.
        clock: Counts the lease's time.
        failure_domain: The failure domain.
        host: This host's name, for people who look.
        ttl_ms: Time to live.
        margin_ms: How much sooner the lease counts as over.

    Returns:
        The lease, `None` if another host has it, or the fault.
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
    if taken.is_ok() and taken.ok.succeeded:
        revision = taken.ok.revision
        # Read after the lease is ours, as nobody else can raise the number any more.
        raised = await store.read(key + NUMBER_SUFFIX)
        if raised.is_ok():
            digits = raised.ok.items[0].value if raised.ok.items else b""
            number = max(revision, int(digits) + 1 if digits.isdigit() else 0)
            lease = HeldLease(
                store, clock, key, granted.ok, revision, number, ttl_ms, margin_ms, asked_ms
            )
            return Ok(lease)
        await store.revoke_lease(granted.ok)
        return Error(raised.error)
    # A write that took effect unseen goes with its lease, by this or by its lapse.
    await store.revoke_lease(granted.ok)
    return Ok(None) if taken.is_ok() else Error(taken.error)
