"""Shares quarantine entries through the key-value service, which only some hosts watch.

Entries also travel directly between peers. The service keeps them for hosts that start later or are
partitioned from the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import prefix_end
from pimentodale.logs import get_log
from pimentodale.quarantine.crash_sharing import CRASH_PREFIX, merge_crashes
from pimentodale.quarantine.entries import pack_entry, unpack_entry
from pimentodale.quarantine.trials import CONVICTED_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.clients.key_value import KeyValue, KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.quarantine.crash_record import CrashRecord
    from pimentodale.quarantine.entries import QuarantineEntry
    from pimentodale.quarantine.register import QuarantineRegister
    from pimentodale.quarantine.store_writer import StoreWriter

STRUCK_PREFIX: Final = "pimentodale/quarantine/struck/"
"""Key prefix of entries that are not convicted."""

_QUARANTINE_PREFIX: Final = "pimentodale/quarantine/"
_WATCH_SILENCE_MS: Final = 30_000.0
_RETRY_MS: Final = 1_000.0

_log = get_log("quarantine")


def share_entries(register: QuarantineRegister, writer: StoreWriter) -> None:
    """Write each entry that this host changes to the key-value service."""

    def put(entry: QuarantineEntry) -> None:
        # The end of a trial also writes its conviction; this covers convictions without a trial.
        prefix = CONVICTED_PREFIX if entry.convicted else STRUCK_PREFIX
        writer.put(prefix + entry.fingerprint, pack_entry(entry))

    register.subscribe(put)


async def follow_entries(
    register: QuarantineRegister,
    crashes: CrashRecord,
    clock: Clock,
    store: KeyValueStore,
    is_watcher: Callable[[], bool],
) -> None:
    """Follow the entries of the key-value service: read all once, then watch if this host watches.

    Args:
        register: Receives the entries of generations.
        crashes: Receives the crash entries of calls.
        clock: Clock of this host.
        store: The key-value service.
        is_watcher: Whether this host watches the service for its failure domain.
    """
    revision = 0
    while True:
        if revision == 0:
            revision = await _read_all(register, crashes, store)
        if revision and is_watcher():
            revision = await _watch(register, crashes, store, revision)
        await clock.sleep_ms(_RETRY_MS)


async def _read_all(
    register: QuarantineRegister, crashes: CrashRecord, store: KeyValueStore
) -> int:
    """Read and merge all entries; returns the revision, or 0 if the service did not answer."""
    reply = await store.read(_QUARANTINE_PREFIX, prefix_end(_QUARANTINE_PREFIX))
    if reply.is_error():
        return 0
    _apply(register, crashes, reply.ok.items)
    return reply.ok.revision


async def _watch(
    register: QuarantineRegister, crashes: CrashRecord, store: KeyValueStore, revision: int
) -> int:
    """Merge changes until the watch ends; returns 0, so that the caller reads all entries again."""
    async for batch in store.watch(_QUARANTINE_PREFIX, revision + 1, _WATCH_SILENCE_MS):
        if batch.is_error():
            _log.info("The watch on quarantine entries ended.", reason=batch.error.message)
            return 0
        _apply(register, crashes, batch.ok.puts)
        revision = max(revision, batch.ok.revision)
    return 0


def _apply(register: QuarantineRegister, crashes: CrashRecord, items: Sequence[KeyValue]) -> None:
    """Merge the entries among stored items."""
    for item in items:
        if item.key.startswith(CRASH_PREFIX):
            merge_crashes(crashes, item.value, item.key)
            continue
        if not item.key.startswith((STRUCK_PREFIX, CONVICTED_PREFIX)):
            continue
        entry = unpack_entry(item.value)
        if entry is None:
            _log.warning("Ignored a malformed quarantine entry.", key=item.key)
            continue
        register.receive(entry)
