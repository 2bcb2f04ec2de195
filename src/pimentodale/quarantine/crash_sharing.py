"""Shares crash entries between hosts: broadcast to peers, and stored from the second crash on.

Hosts that start later, or that are partitioned from their peers, read them from the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.quarantine.crash_record import (
    CRASH_RETENTION_MS,
    MAX_REQUESTS,
    has_all_crashes,
    pack_crashes,
    unpack_crashes,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.peers import Peers
    from pimentodale.quarantine.crash_record import CrashEntry, CrashRecord

CRASH_TOPIC: Final = "crashes"

CRASH_PREFIX: Final = "pimentodale/quarantine/crashes/"
"""Key prefix of stored entries, followed by the fingerprint and the name of the writing host."""

MIN_STORED_CRASHES: Final = 2
"""Minimum number of crashes of a stored entry. Every request on a crashing replica gets an entry
with one crash; storing those would make up most of the writes to the store."""

SINGLE_CRASH_TTL_MS: Final = 120_000.0
"""How long peers gossip an entry with a single crash; short because such entries are frequent."""

_log = get_log("crashes")


def write_at_once(fingerprint: str, write: Callable[[str], None]) -> None:
    """Write an entry without delay."""
    write(fingerprint)


def share_crashes(
    record: CrashRecord,
    peers: Peers,
    put: Callable[[str, bytes], None],
    host: str,
    *,
    schedule: Callable[[str, Callable[[str], None]], None] = write_at_once,
    find_stored: Callable[[str], Iterable[bytes]] = lambda _: (),
) -> Callable[[], None]:
    """Publish local changes of the record to peers and the store, and merge the updates of peers.

    Args:
        record: The crash record of this host.
        peers: The peer network.
        put: Queues a key and its value for writing to the store.
        host: Name of this host.
        schedule: Calls a function with a fingerprint to write an entry that convicts nobody, which
            may be later.
        find_stored: Returns the entries of a request that the store is known to hold, of all hosts.

    Returns:
        Writes this host's entries to the store again, in case it has lost them.
    """
    stored: dict[str, None] = {}

    def write(fingerprint: str) -> None:
        entry = record.find(fingerprint)
        if entry is None or has_all_crashes(find_stored(fingerprint), entry):
            return
        put(f"{CRASH_PREFIX}{fingerprint}/{host}", pack_crashes(entry))

    def publish(entry: CrashEntry) -> None:
        octets = pack_crashes(entry)
        # Cleared crashes are counted too, so that a stored entry is overwritten once it is cleared.
        is_stored = len({*entry.fresh, *entry.late}) >= MIN_STORED_CRASHES
        ttl_ms = CRASH_RETENTION_MS if is_stored else SINGLE_CRASH_TTL_MS
        is_urgent = bool(entry.open_crashes)
        peers.publish(CRASH_TOPIC, entry.fingerprint, octets, ttl_ms, urgent=is_urgent)
        if not is_stored:
            return
        stored.pop(entry.fingerprint, None)
        stored[entry.fingerprint] = None
        if len(stored) > MAX_REQUESTS:
            del stored[next(iter(stored))]
        if entry.is_convicted:
            write(entry.fingerprint)
        else:
            schedule(entry.fingerprint, write)

    def merge_update(update: EntryUpdate) -> None:
        merge_crashes(record, update.value, update.owner)

    def rewrite() -> None:
        for fingerprint in list(stored):
            entry = record.find(fingerprint)
            if entry is None:
                del stored[fingerprint]
                continue
            put(f"{CRASH_PREFIX}{fingerprint}/{host}", pack_crashes(entry))
        if stored:
            _log.info("Crash entries are written to the store again.", entries=len(stored))

    record.subscribe(publish)
    peers.subscribe(CRASH_TOPIC, merge_update)
    return rewrite


def merge_crashes(record: CrashRecord, octets: bytes, told_by: str) -> None:
    """Merge an encoded entry from another host or the store into the record.

    Args:
        record: The crash record of this host.
        octets: The encoded entry.
        told_by: Source of the entry, for the log.
    """
    entry = unpack_crashes(octets)
    if entry is None:
        _log.warning("Ignored a malformed crash entry.", told_by=told_by)
        return
    record.receive(entry, told_by)
