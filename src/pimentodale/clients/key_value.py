"""Interface to the platform's key-value service.

`etcd_gateway` speaks the published protocol; everything else of the project knows only this.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

import msgspec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from expression import Result


REVISION_BITS: Final = 32
"""Bits of a fencing number below the era; with eras of six digits it fits into JSON's 53 bits."""


class KeyValue(msgspec.Struct, frozen=True):
    """One stored key."""

    key: str
    """The key."""

    value: bytes
    """Its value."""

    create_revision: int
    """The service's revision at which the key was created."""

    mod_revision: int
    """The service's revision of its last change."""

    lease_id: int = 0
    """The lease that the key goes with; 0 for none."""


class StoreFault(msgspec.Struct, frozen=True):
    """Why a call to the service gave no answer."""

    may_have_applied: bool
    """Whether a write may have taken effect all the same."""

    message: str
    """What happened."""

    silent: bool = False
    """Whether a watch ended because nothing was heard, as on a connection that went silent."""


class RangeReply(msgspec.Struct, frozen=True):
    """Keys of a range."""

    revision: int
    """The service's revision when the read began: every change up to it is included. A service that
    answers in pages may also include later changes, each at its own `mod_revision`."""

    items: list[KeyValue]
    """The keys in order."""

    era: int = 0
    """How often the service has returned from an older copy, 0 if it doesn't tell; revisions are
    comparable only within an era."""


class Compare(msgspec.Struct, frozen=True):
    """A condition on one key of a transaction."""

    key: str
    """The key."""

    mod_revision: int
    """Required revision of its last change; 0 means that the key must not exist."""


class Put(msgspec.Struct, frozen=True):
    """A write within a transaction."""

    key: str
    """The key."""

    value: bytes
    """Its new value."""

    lease_id: int = 0
    """The lease that it goes with; 0 for none."""


class Delete(msgspec.Struct, frozen=True):
    """A removal within a transaction."""

    key: str
    """The key, or the first key when `range_end` is given."""

    range_end: str = ""
    """Exclusive end of the range of keys; empty for just one."""


class TxnReply(msgspec.Struct, frozen=True):
    """How a transaction ended."""

    revision: int
    """The service's revision after it."""

    succeeded: bool
    """Whether all conditions held and the writes took effect."""

    items: list[KeyValue] = []
    """When they did not hold: the compared keys as they were (absent ones left out)."""

    era: int = 0
    """The service's era, as in `RangeReply`."""


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes that a watch reports together."""

    revision: int
    """The service's revision up to which changes have been reported."""

    puts: list[KeyValue]
    """Keys written, in order."""

    deletes: list[str]
    """Keys that were removed, and not written again since."""

    era: int = 0
    """The service's era, as in `RangeReply`."""


def create_watch_batch(
    revision: int, changes: Sequence[tuple[KeyValue, bool]], era: int = 0
) -> WatchBatch:
    """Return changes reported together as a batch.

    A key counts as removed if that is its last change by revision, in whatever order they come.

    Args:
        revision: The service's revision up to which changes have been reported.
        changes: The keys as changed, each with whether it was removed.
        era: The service's era.
    """
    last: dict[str, tuple[int, bool]] = {}
    for item, is_removed in changes:
        if item.mod_revision >= last.get(item.key, (0, False))[0]:
            last[item.key] = (item.mod_revision, is_removed)
    puts = [item for item, is_removed in changes if not is_removed]
    deletes = [key for key, (_, is_removed) in last.items() if is_removed]
    return WatchBatch(revision, puts, deletes, era)


class KeyValueStore(Protocol):
    """What the project asks of the key-value service. Every call is bounded in time."""

    async def read(
        self, key: str, range_end: str = "", limit: int = 0, keys_only: bool = False
    ) -> Result[RangeReply, StoreFault]:
        """Read one key, or the keys from `key` up to before `range_end`; `limit` 0 reads all.

        With `keys_only` the values stay empty, for callers that just look for a change.
        """

    async def txn(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> Result[TxnReply, StoreFault]:
        """Apply the writes if every condition holds."""

    async def grant_lease(self, ttl_ms: float) -> Result[int, StoreFault]:
        """Create a lease; returns its id."""

    async def keep_lease(self, lease_id: int) -> Result[float, StoreFault]:
        """Renew a lease; returns its remaining time in ms, 0 or less when it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFault]:
        """End a lease and remove its keys."""

    def watch(
        self, prefix: str, from_revision: int, silence_timeout_ms: float, range_end: str = ""
    ) -> AsyncIterator[Result[WatchBatch, StoreFault]]:
        """Report changes under a prefix from a revision on; ends after one fault.

        With `range_end` the keys from `prefix` up to before it are watched instead. The first batch
        says the service's revision at the start; one below `from_revision` - 1 tells that the
        service was restored to an old state. A quiet watch yields empty batches too. Each batch is
        an answer of the service, which thereby confirms that nothing else has changed.
        """


def fencing_number(era: int, revision: int) -> int:
    """Return a number that rises with each change of the service, also after its restoration.

    Args:
        era: The service's era.
        revision: Its revision within that era.
    """
    return (era << REVISION_BITS) + revision


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the range of keys that start with `prefix`."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
