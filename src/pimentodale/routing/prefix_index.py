"""Index of the engines that probably hold the KV cache of a prompt's prefix."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.clients.engine_messages import CacheEvent

MAX_PREFIXES: Final = 4096
"""Default capacity of the index."""

_MAX_REPLICAS_PER_PREFIX: Final = 4
"""Engines kept per prefix; the earliest noted is dropped first."""


class PrefixIndex:
    """Engines by prefix hash; the least recently stored prefix is evicted first.

    Engines publish their cache events late and with gaps, so an entry is only a hint: a wrong one
    costs a prefill, but never makes a request fail.
    """

    __slots__ = ("_max_prefixes", "_replicas")

    def __init__(self, max_prefixes: int) -> None:
        self._max_prefixes = max_prefixes
        self._replicas: OrderedDict[str, list[str]] = OrderedDict()

    def note_stored(self, prefix_hash: str, replica: str) -> None:
        """Record that an engine holds a prefix."""
        replicas = self._replicas.setdefault(prefix_hash, [])
        self._replicas.move_to_end(prefix_hash)
        if replica in replicas:
            return
        replicas.append(replica)
        del replicas[:-_MAX_REPLICAS_PER_PREFIX]
        while len(self._replicas) > self._max_prefixes:
            self._replicas.popitem(last=False)

    def note_dropped(self, prefix_hash: str, replica: str) -> None:
        """Record that an engine no longer holds a prefix."""
        replicas = self._replicas.get(prefix_hash, [])
        if replica in replicas:
            replicas.remove(replica)
        if not replicas:
            self._replicas.pop(prefix_hash, None)

    def apply_events(self, replica: str, events: Sequence[CacheEvent]) -> None:
        """Apply an engine's cache events in order."""
        for event in events:
            if event.stored:
                self.note_stored(event.prefix_hash, replica)
                continue
            self.note_dropped(event.prefix_hash, replica)

    def holders(self, prefix_hash: str) -> Sequence[str]:
        """Return the engines that probably hold a prefix; none for an empty hash."""
        return self._replicas.get(prefix_hash, ())


def create_prefix_index(max_prefixes: int = MAX_PREFIXES) -> PrefixIndex:
    """Build an empty index."""
    return PrefixIndex(max_prefixes)
