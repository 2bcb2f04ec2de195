"""Limited memory of an engine: KV caches of requests, and prompt prefixes with their events."""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

import msgpack
import msgspec

from pimentodale.clients.engine_messages import PREFIX_CHARS, CacheEvent, CacheEvents

if TYPE_CHECKING:
    from pimentodale.clock import Clock

_KEPT_EVENTS: Final = 4096
"""Cache events that an engine remembers."""


class KvEntry(msgspec.Struct, frozen=True):
    """What an engine's KV cache of one request covers."""

    request_id: str
    """The request."""

    prompt_sha256: str
    """Digest of its prompt."""

    first_layer: int
    """First layer covered."""

    last_layer: int
    """Layer after the last one covered."""

    tokens: int
    """Prompt and answer tokens covered."""


class KvCache:
    """KV caches of the latest requests."""

    __slots__ = ("_entries", "_max_entries")

    def __init__(self, max_entries: int) -> None:
        self._entries: OrderedDict[str, KvEntry] = OrderedDict()
        self._max_entries = max_entries

    def keep(self, entry: KvEntry) -> None:
        """Store an entry in place of an older one, and let go of the oldest over the limit."""
        self._entries[entry.request_id] = entry
        self._entries.move_to_end(entry.request_id)
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def find(self, request_id: str) -> KvEntry | None:
        """Return a request's entry, if it is still there."""
        return self._entries.get(request_id)

    def clear(self) -> None:
        """Forget everything, as a crash does."""
        self._entries.clear()


class PrefixCache:
    """Prompt prefixes that need no prefill, with events that come late and with gaps."""

    __slots__ = (
        "_clock",
        "_event_lag_ms",
        "_events",
        "_gap_probability",
        "_hashes",
        "_max_entries",
        "_rng",
        "_sequence",
    )

    def __init__(
        self,
        clock: Clock,
        max_entries: int,
        event_lag_ms: float,
        gap_probability: float,
        seed: int,
    ) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._event_lag_ms = event_lag_ms
        self._gap_probability = gap_probability
        self._rng = random.Random(seed)
        self._hashes: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._sequence = 0

    def use(self, prompt: str) -> bool:
        """Store a prompt's prefix and return whether it was there already."""
        if self._max_entries == 0 or len(prompt) < PREFIX_CHARS:
            return False
        prefix_hash = hash_prefix(prompt)
        known = prefix_hash in self._hashes
        self._hashes[prefix_hash] = None
        self._hashes.move_to_end(prefix_hash)
        if not known:
            self._tell(prefix_hash, stored=True)
        while len(self._hashes) > self._max_entries:
            oldest, _ = self._hashes.popitem(last=False)
            self._tell(oldest, stored=False)
        return known

    def events_after(self, sequence: int) -> CacheEvents:
        """Return the events after a sequence number that are old enough to be told."""
        told_ms = self._clock.now_ms() - self._event_lag_ms
        events = [
            event for at_ms, event in self._events if event.sequence > sequence and at_ms <= told_ms
        ]
        return CacheEvents(events, events[-1].sequence if events else sequence)

    def clear(self) -> None:
        """Forget everything, as a crash does."""
        self._hashes.clear()
        self._events.clear()

    def _tell(self, prefix_hash: str, *, stored: bool) -> None:
        """Note an event, or lose it."""
        self._sequence += 1
        if self._rng.random() < self._gap_probability:
            return
        event = CacheEvent(self._sequence, prefix_hash, stored)
        self._events.append((self._clock.now_ms(), event))
        del self._events[:-_KEPT_EVENTS]


def hash_prefix(prompt: str) -> str:
    """Return the SHA-256 (hex) of a prompt's first characters."""
    return hashlib.sha256(prompt[:PREFIX_CHARS].encode()).hexdigest()


def pack_entry(entry: KvEntry) -> bytes:
    """Return an entry in the form that engines export."""
    return msgpack.packb(msgspec.to_builtins(entry))


def unpack_entry(body: bytes) -> KvEntry | None:
    """Return an exported entry, or `None` when it is not one."""
    try:
        return msgspec.convert(msgpack.unpackb(body), KvEntry)
    except (ValueError, msgpack.UnpackException, msgspec.ValidationError):
        return None
