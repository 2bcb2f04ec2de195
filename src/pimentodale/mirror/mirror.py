"""The store's keys as one host knows them; its revision only rises."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clients.key_value import KeyValue

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.clock import Clock

HISTORY_CHANGES: Final = 2_000
"""Changes kept for other hosts; one that is further behind gets everything."""


class MirrorChanges(msgspec.Struct, array_like=True):
    """What one host tells another that is behind."""

    revision: int
    """Revision that the receiver reaches with it."""

    is_whole: bool
    """Whether `items` are all keys there are, not just changes."""

    items: list[KeyValue]
    """Keys written."""

    deletes: list[str]
    """Keys removed."""

    age_ms: float
    """How long ago the store was last known to hold just this."""


@dataclass(slots=True, frozen=True)
class _Change:
    """One change of the history."""

    revision: int
    key: str


@dataclass(slots=True)
class Mirror:
    """Keys of the store up to a revision."""

    clock: Clock
    """Tells the time."""

    items: dict[str, KeyValue] = field(default_factory=dict)
    """Keys that exist."""

    revision: int = 0
    """The store's revision up to which changes are here; 0 before the first reading."""

    verified_ms: float = float("-inf")
    """When the store was last known to hold just this."""

    outage_ended_ms: float = float("-inf")
    """When this host last reached the store again after an outage."""

    _history: deque[_Change] = field(default_factory=lambda: deque(maxlen=HISTORY_CHANGES))
    _history_start: int = 0
    _subscribers: list[Callable[[set[str]], None]] = field(default_factory=list)

    def subscribe(self, callback: Callable[[set[str]], None]) -> None:
        """Have a callback called with the keys that changed, after each change."""
        self._subscribers.append(callback)

    def age_ms(self) -> float:
        """Return how long ago the store was known to hold just this."""
        return self.clock.now_ms() - self.verified_ms

    def apply_whole(self, revision: int, items: Sequence[KeyValue], age_ms: float = 0.0) -> None:
        """Take a reading of all keys; one that is older than what is here is passed over."""
        if revision < self.revision:
            return
        present = {item.key for item in items}
        gone = [
            key
            for key, item in self.items.items()
            if key not in present and item.mod_revision <= revision
        ]
        if revision > self.revision:
            # What happened in between is not known one by one.
            self._history.clear()
            self._history_start = revision
        self._apply(revision, items, gone, age_ms)

    def apply_changes(
        self, revision: int, puts: Sequence[KeyValue], deletes: Sequence[str], age_ms: float = 0.0
    ) -> None:
        """Take changes that follow this mirror's revision."""
        if revision < self.revision:
            return
        self._apply(revision, puts, deletes, age_ms)

    def changes_since(self, revision: int) -> MirrorChanges:
        """Return what a host at some revision lacks."""
        if revision < self._history_start or revision > self.revision:
            return MirrorChanges(
                self.revision, True, list(self.items.values()), [], max(0.0, self.age_ms())
            )
        keys = {change.key for change in self._history if change.revision > revision}
        items = [self.items[key] for key in keys if key in self.items]
        deletes = [key for key in keys if key not in self.items]
        return MirrorChanges(self.revision, False, items, deletes, max(0.0, self.age_ms()))

    def take(self, changes: MirrorChanges) -> None:
        """Take what another host told."""
        if changes.is_whole:
            self.apply_whole(changes.revision, changes.items, changes.age_ms)
        else:
            self.apply_changes(changes.revision, changes.items, changes.deletes, changes.age_ms)

    def _apply(
        self, revision: int, puts: Sequence[KeyValue], deletes: Sequence[str], age_ms: float
    ) -> None:
        """Apply changes, remember them, and tell the subscribers."""
        changed: set[str] = set()
        for item in puts:
            known = self.items.get(item.key)
            if known is not None and known.mod_revision >= item.mod_revision:
                continue
            self.items[item.key] = item
            changed.add(item.key)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                changed.add(key)
        self.revision = revision
        self.verified_ms = max(self.verified_ms, self.clock.now_ms() - age_ms)
        for key in changed:
            if len(self._history) == HISTORY_CHANGES:
                self._history_start = self._history[0].revision
            self._history.append(_Change(revision, key))
        if not changed:
            return
        for callback in self._subscribers:
            callback(changed)


def create_mirror(clock: Clock) -> Mirror:
    """Return an empty mirror."""
    return Mirror(clock)
