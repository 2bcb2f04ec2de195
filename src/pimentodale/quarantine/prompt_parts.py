"""Parts of prompts as suspects of crashes, and the parts that sound requests have vindicated.

A part that crashes replicas comes in requests that are all different, beside parts that sound
requests have too. Its requests may write for a while before they crash a replica, and may be whole
by the sends that resume them. So what vindicates a part is a request that a single run brought to
its end, and whose replicas live on.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentodale.clock import Clock

SOUND_MS: Final = 600_000.0
"""How long a part counts as sound after the last request that vindicated it."""

MAX_SOUND_PARTS: Final = 20_000
"""Maximum number of sound parts that are remembered; the least recently used go first."""

MAX_COUNTED_PARTS: Final = 20_000
"""Maximum number of parts whose requests, and survivals, are counted; the least recently used go first."""

PREFIX: Final = "part-"
"""Prefix of the keys under which crashes of parts are recorded, beside those of requests."""

MAX_ID_LENGTH: Final = 32
"""Length up to which a part's id is used as it is; of longer ones a hash is used."""


class SoundParts:
    """Parts on which requests have run to their end through this host."""

    __slots__ = ("_clock", "_requests", "_survivals", "_until_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests: OrderedDict[str, int] = OrderedDict()
        self._survivals: OrderedDict[str, int] = OrderedDict()
        self._until_ms: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of parts that are remembered."""
        return len(self._until_ms)

    def note(self, keys: Iterable[str]) -> None:
        """Record that a request with these parts ran to its end, and its replicas live on."""
        until_ms = self._clock.now_ms() + SOUND_MS
        for key in keys:
            self._until_ms[key] = until_ms
            self._until_ms.move_to_end(key)
        while len(self._until_ms) > MAX_SOUND_PARTS:
            self._until_ms.popitem(last=False)

    def has(self, key: str) -> bool:
        """Return whether a request with a part has run to its end lately."""
        return self._until_ms.get(key, 0.0) > self._clock.now_ms()

    def note_request(self, keys: Iterable[str]) -> None:
        """Count a request with these parts that may be sent."""
        for key in keys:
            _count(self._requests, key)

    def is_rarer(self, key: str, other: str) -> bool:
        """Return whether fewer requests had a part than another one."""
        return self._requests.get(key, 0) < self._requests.get(other, 0)

    def note_survival(self, key: str) -> None:
        """Count a send with a part that brought its request to the end."""
        _count(self._survivals, key)

    def survivals(self, key: str) -> int:
        """Return the number of sends with a part that brought their request to the end."""
        return self._survivals.get(key, 0)


def create_sound_parts(clock: Clock) -> SoundParts:
    """Return an empty record of sound parts."""
    return SoundParts(clock)


def part_keys(part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the keys under which crashes of a prompt's parts are recorded."""
    return tuple(PREFIX + _shorten(part_id) for part_id in part_ids)


def is_part_key(suspect: str) -> bool:
    """Return whether a suspect of crashes is a part of prompts, not a request."""
    return suspect.startswith(PREFIX)


def _count(counts: OrderedDict[str, int], key: str) -> None:
    """Add one to a part's count, and drop the least recently used one if there are too many."""
    counts[key] = counts.get(key, 0) + 1
    counts.move_to_end(key)
    if len(counts) > MAX_COUNTED_PARTS:
        counts.popitem(last=False)


def _shorten(part_id: str) -> str:
    """Return a part's id, or a hash of it if it is long."""
    if len(part_id) <= MAX_ID_LENGTH and part_id.isascii() and part_id.isalnum():
        return part_id
    return hashlib.blake2b(part_id.encode(), digest_size=MAX_ID_LENGTH // 2).hexdigest()
