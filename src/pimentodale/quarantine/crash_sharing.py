"""Shares crash entries between hosts: broadcast to peers, and stored from the second crash on.

Each request on a crashing replica gets an entry, so the entries that a host changes within
`LINGER_MS` are broadcast as one value. Only entries that convict are broadcast at once.
Hosts that start later, or that are partitioned from their peers, read them from the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.peers.messages import MAX_VALUE_BYTES
from pimentodale.quarantine.crash_batches import create_crash_batches, unpack_batch
from pimentodale.quarantine.crash_record import (
    CRASH_RETENTION_MS,
    MAX_REQUESTS,
    has_all_crashes,
    pack_crashes,
    unpack_crashes,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.peers import Peers
    from pimentodale.quarantine.crash_record import CrashEntry, CrashRecord

    RunLater = Callable[[float, Callable[[], None]], None]
    """Calls a function after a delay in milliseconds."""

CRASH_TOPIC: Final = "crashes"
"""Topic of single entries: those that convict, and all those of hosts that send no batches."""

BATCH_TOPIC: Final = "crash-batches"
"""Topic of batches; hosts that do not know it ignore them, and hear of convictions by themselves."""

LINGER_MS: Final = 50.0
"""Time for which changes are collected into a batch, the interval at which crashes are looked for. A
request waits up to 1,500 ms for the result of its last send, so other hosts know it by then."""

RECEIVED_LOG_INTERVAL_MS: Final = 1_000.0
"""Interval of the log lines on entries with a single crash that other hosts published."""

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


def run_at_once(_delay_ms: float, callback: Callable[[], None]) -> None:
    """Call a function without delay."""
    callback()


def create_run_later(clock: Clock, background: BackgroundTasks) -> RunLater:
    """Return a function that calls another one after a delay."""

    async def wait_and_call(delay_ms: float, callback: Callable[[], None]) -> None:
        await clock.sleep_ms(delay_ms)
        callback()

    def run_later(delay_ms: float, callback: Callable[[], None]) -> None:
        background.start(wait_and_call(delay_ms, callback), "crash sharing")

    return run_later


def share_crashes(
    record: CrashRecord,
    peers: Peers,
    put: Callable[[str, bytes], None],
    host: str,
    *,
    schedule: Callable[[str, Callable[[str], None]], None] = write_at_once,
    find_stored: Callable[[str], Iterable[bytes]] = lambda _: (),
    run_later: RunLater = run_at_once,
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
        run_later: Calls a function after a delay, to publish a batch or to write a log line.

    Returns:
        Writes this host's entries to the store again, in case it has lost them.
    """
    stored: dict[str, None] = {}
    alone: dict[str, None] = {}
    batches = create_crash_batches(record.find, _remaining_ms(record))

    def write(fingerprint: str) -> None:
        entry = record.find(fingerprint)
        if entry is None or has_all_crashes(find_stored(fingerprint), entry):
            return
        put(f"{CRASH_PREFIX}{fingerprint}/{host}", pack_crashes(entry))

    def publish_batches() -> None:
        for batch in batches.take():
            peers.publish(BATCH_TOPIC, batch.key, batch.value, batch.ttl_ms, urgent=batch.is_urgent)

    def publish_alone(entry: CrashEntry) -> None:
        octets = pack_crashes(entry)
        if len(octets) > MAX_VALUE_BYTES:
            _log.warning("A crash entry is too large to be published.", bytes=len(octets))
            return
        ttl_ms = CRASH_RETENTION_MS
        peers.publish(
            CRASH_TOPIC, entry.fingerprint, octets, ttl_ms, urgent=bool(entry.open_crashes)
        )

    def publish(entry: CrashEntry) -> None:
        if entry.is_convicted:
            _put_newest(alone, entry.fingerprint)
        # A change of an entry that was published by itself replaces that value, so that hosts that
        # know no batches hear of it too.
        if entry.fingerprint in alone:
            publish_alone(entry)
        elif batches.add(entry):
            run_later(LINGER_MS, publish_batches)
        if not _is_stored(entry):
            return
        _put_newest(stored, entry.fingerprint)
        if entry.is_convicted:
            write(entry.fingerprint)
        else:
            schedule(entry.fingerprint, write)

    def merge_update(update: EntryUpdate) -> None:
        merge_crashes(record, update.value, update.owner)

    def merge_batch(update: EntryUpdate) -> None:
        entries = unpack_batch(update.value)
        if entries is None:
            _log.warning("Ignored a malformed batch of crash entries.", told_by=update.owner)
            return
        for entry in entries:
            record.receive(entry, update.owner)
            batches.note_received(entry)

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
    record.aggregate_log(lambda write_line: run_later(RECEIVED_LOG_INTERVAL_MS, write_line))
    peers.subscribe(CRASH_TOPIC, merge_update)
    peers.subscribe(BATCH_TOPIC, merge_batch)
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


def _is_stored(entry: CrashEntry) -> bool:
    """Whether an entry belongs in the store.

    Cleared crashes are counted too, so that a stored entry is overwritten once it is cleared.
    """
    return len({*entry.fresh, *entry.late}) >= MIN_STORED_CRASHES


def _remaining_ms(record: CrashRecord) -> Callable[[CrashEntry], float]:
    """Return a function that tells how long peers still have to gossip an entry of the record."""

    def remaining_ms(entry: CrashEntry) -> float:
        ttl_ms = CRASH_RETENTION_MS if _is_stored(entry) else SINGLE_CRASH_TTL_MS
        return ttl_ms - record.ms_since_change(entry.fingerprint)

    return remaining_ms


def _put_newest(fingerprints: dict[str, None], fingerprint: str) -> None:
    """Add a fingerprint as the newest one; the oldest is dropped beyond `MAX_REQUESTS`."""
    fingerprints.pop(fingerprint, None)
    fingerprints[fingerprint] = None
    if len(fingerprints) > MAX_REQUESTS:
        del fingerprints[next(iter(fingerprints))]
