"""Batches of crash entries, each published as one value.

The keys of the values are used in turn, so that a host has a bounded number of values in the shared
state. A value that is replaced passes on what no later value holds, as a host that joins or that was
partitioned reads only the values that are left.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.logs import get_log
from pimentodale.peers.messages import MAX_VALUE_BYTES
from pimentodale.quarantine.crash_record import (
    MAX_REQUESTS,
    CrashEntry,
    has_all_of,
    pack_crashes,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_BATCHES: Final = 16
"""Number of values that a host uses in turn. Together they hold `MAX_REQUESTS` entries of 200 bytes,
twice the usual size. A value carries a 16th of the unexpired entries of its host on."""

_HEADER_BYTES: Final = 5
_RUN_ID_BYTES: Final = 6

_log = get_log("crashes")
_decoder = msgspec.msgpack.Decoder(list[CrashEntry])


class CrashBatch(msgspec.Struct, frozen=True):
    """A value to be published."""

    key: str
    """Key under which it replaces an earlier one."""

    value: bytes
    """The encoded entries."""

    ttl_ms: float
    """The longest time for which one of the entries has to be kept."""

    is_urgent: bool
    """Whether a changed entry has open crashes, which other hosts must know soon."""


class CrashBatches:
    """Entries of one host that wait to be published, and where the published ones are."""

    __slots__ = (
        "_find",
        "_is_scheduled",
        "_next",
        "_remaining_ms",
        "_run_id",
        "_slot_of",
        "_slots",
        "_waiting",
    )

    def __init__(
        self,
        find: Callable[[str], CrashEntry | None],
        remaining_ms: Callable[[CrashEntry], float],
    ) -> None:
        self._find = find
        self._remaining_ms = remaining_ms
        # Values of an earlier run of this host stay until they expire: this run may not know them.
        self._run_id = secrets.token_hex(_RUN_ID_BYTES)
        self._waiting: dict[str, None] = {}
        self._is_scheduled = False
        self._slots: list[dict[str, None]] = [{} for _ in range(MAX_BATCHES)]
        self._slot_of: dict[str, int] = {}
        self._next = 0

    def add(self, entry: CrashEntry) -> bool:
        """Add a changed entry to the next batch; returns whether it is the first one."""
        is_first, self._is_scheduled = not self._is_scheduled, True
        self._waiting[entry.fingerprint] = None
        if len(self._waiting) > MAX_REQUESTS:
            del self._waiting[next(iter(self._waiting))]
        return is_first

    def note_received(self, entry: CrashEntry) -> None:
        """Leave an entry out of the next batch if another host has published as much of it.

        Hosts see the crashes of a shared part of prompts at the same time, and this host passes the
        other one's value on.
        """
        if entry.fingerprint not in self._waiting:
            return
        own = self._find(entry.fingerprint)
        is_known = own is None or (entry.most_events >= own.most_events and has_all_of(entry, own))
        if is_known:
            del self._waiting[entry.fingerprint]

    def take(self) -> list[CrashBatch]:
        """Return the batches that hold what is waiting, as it is now."""
        waiting, self._waiting = self._waiting, {}
        self._is_scheduled = False
        packed = self._pack(waiting)
        batches = []
        while packed:
            batches.append(self._fill_slot(packed, waiting))
        return batches

    def _fill_slot(
        self, packed: dict[str, tuple[CrashEntry, bytes]], waiting: dict[str, None]
    ) -> CrashBatch:
        """Move entries into the next value, followed by those of the value that it replaces."""
        slot = self._next
        self._next = (slot + 1) % MAX_BATCHES
        kept = [name for name in self._slots[slot] if name not in waiting]
        for name in self._slots[slot]:
            self._slot_of.pop(name, None)
        self._slots[slot] = {}
        values: list[msgspec.Raw] = []
        ttl_ms, room, is_urgent = 0.0, MAX_VALUE_BYTES - _HEADER_BYTES, False
        carried = self._pack(kept)
        for source in (packed, carried):
            for name, (entry, octets) in list(source.items()):
                if len(octets) > room:
                    break
                del source[name]
                values.append(msgspec.Raw(octets))
                room -= len(octets)
                ttl_ms = max(ttl_ms, self._remaining_ms(entry))
                is_urgent = is_urgent or (source is packed and bool(entry.open_crashes))
                self._put(name, slot)
        value = msgspec.msgpack.encode(values)
        return CrashBatch(f"{self._run_id}/{slot}", value, ttl_ms, is_urgent)

    def _put(self, name: str, slot: int) -> None:
        """Note in which value an entry is."""
        earlier = self._slot_of.get(name)
        if earlier is not None:
            self._slots[earlier].pop(name, None)
        self._slot_of[name] = slot
        self._slots[slot][name] = None

    def _pack(self, names: Iterable[str]) -> dict[str, tuple[CrashEntry, bytes]]:
        """Return the unexpired entries with their encoding; an entry larger than a value is left out."""
        packed = {}
        for name in names:
            entry = self._find(name)
            if entry is None or self._remaining_ms(entry) <= 0:
                continue
            octets = pack_crashes(entry)
            if len(octets) > MAX_VALUE_BYTES - _HEADER_BYTES:
                _log.warning("A crash entry is too large to be published.", bytes=len(octets))
                continue
            packed[name] = (entry, octets)
        return packed


def create_crash_batches(
    find: Callable[[str], CrashEntry | None], remaining_ms: Callable[[CrashEntry], float]
) -> CrashBatches:
    """Create batches without entries.

    Args:
        find: Returns the unexpired entry of a request, if there is one.
        remaining_ms: Returns for how long an entry still has to be published.
    """
    return CrashBatches(find, remaining_ms)


def unpack_batch(octets: bytes) -> list[CrashEntry] | None:
    """Decode a batch, or return `None` when the data is malformed."""
    try:
        return _decoder.decode(octets)
    except UNREADABLE:
        return None
