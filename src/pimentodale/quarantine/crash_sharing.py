"""Crashes between hosts: told to peers at once, and kept in the store once they may convict.

Hosts that start later, or that other hosts can't reach, learn of them from the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.quarantine.crashes import CRASH_RETENTION_MS, pack_crashes, unpack_crashes

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.peers import Peers
    from pimentodale.quarantine.crashes import CrashEntry, CrashRecord

CRASH_TOPIC: Final = "crashes"

CRASH_PREFIX: Final = "pimentodale/quarantine/crashes/"
"""Key prefix of stored entries; the fingerprint and the host that wrote it follow."""

STORED_CRASHES: Final = 2
"""Crashes from which an entry is stored. A single one befalls each request that runs at a replica which ends;
stored, they would be most of the store's writes."""

SINGLE_CRASH_TTL_MS: Final = 120_000.0
"""How long peers pass on what holds a single crash against a request, for the same reason."""

_log = get_log("crashes")


def share_crashes(
    record: CrashRecord, peers: Peers, put: Callable[[str, bytes], None], host: str
) -> None:
    """Tell peers and the store what this host adds to the record, and take in what peers tell.

    Args:
        record: What is held against requests.
        peers: The other hosts.
        put: Stores a key's value, sooner or later.
        host: Name of this host.
    """

    def tell(entry: CrashEntry) -> None:
        octets = pack_crashes(entry)
        # All that was ever held counts: an entry that was stored is replaced once it is cleared.
        is_stored = len({*entry.fresh, *entry.late}) >= STORED_CRASHES
        ttl_ms = CRASH_RETENTION_MS if is_stored else SINGLE_CRASH_TTL_MS
        is_urgent = bool(entry.open_crashes)
        peers.publish(CRASH_TOPIC, entry.fingerprint, octets, ttl_ms, urgent=is_urgent)
        if is_stored:
            put(f"{CRASH_PREFIX}{entry.fingerprint}/{host}", octets)

    def take(update: EntryUpdate) -> None:
        take_crashes(record, update.value, update.owner)

    record.subscribe(tell)
    peers.subscribe(CRASH_TOPIC, take)


def take_crashes(record: CrashRecord, octets: bytes, told_by: str) -> None:
    """Take in what another host or the store tells.

    Args:
        record: What is held against requests.
        octets: A packed entry.
        told_by: Who told, for the log.
    """
    entry = unpack_crashes(octets)
    if entry is None:
        _log.warning("An entry of crashes can't be read.", told_by=told_by)
        return
    record.offer(entry, told_by)
