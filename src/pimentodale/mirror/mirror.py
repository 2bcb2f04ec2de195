"""One host's mirror of the store's keys; its revision never decreases within the store's era."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clients.key_value import KeyValue
from pimentodale.clock import whole_ms
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.clock import Clock

HISTORY_LENGTH: Final = 2_000
"""Number of removals kept for other hosts; a host that is further behind gets a snapshot of all
keys."""

HEARTBEAT_MS: Final = 1_200.0
"""Usual interval at which replicas write their records."""

LAPSE_HEARTBEATS: Final = 2
"""Heartbeats that a record survives at least once none is written: it lapses after three, of which one
may have passed already."""

REWRITE_GRACE_MS: Final = 2_000.0
"""Time in which replicas, operators and hosts write again what the store has lost."""

FIRST_ERA: Final = 1
"""Highest era of a store that has never returned from a copy."""

MAX_LOGGED_KEYS: Final = 4
"""Maximum number of keys in a log line."""

STORE: Final = "store"
"""Source of what this host read from the store itself; other sources are names of hosts."""

_log = get_log("mirror")


class MirrorChanges(msgspec.Struct, array_like=True):
    """Changes that one host sends to another that is behind."""

    revision: int
    """Revision of the receiver's mirror after applying the changes."""

    is_whole: bool
    """Whether `items` contains all keys rather than only changes."""

    items: list[KeyValue]
    """Written keys with their values."""

    deletes: list[str]
    """Removed keys."""

    age_ms: float
    """Time since this content was last confirmed by the store."""

    era: int = 0
    """Era of the store to which the revision belongs."""

    held_ms: float = 0.0
    """Time for which the sender held the receiver's query before it replied."""


@dataclass(slots=True, frozen=True)
class _Removal:
    """A removed key."""

    revision: int
    """Revision at which the removal was reported; it happened then or earlier."""

    key: str


@dataclass(slots=True)
class Mirror:
    """Keys of the store as of a revision.

    The mirror has every change up to its revision. It may also have later ones, as the store is read
    in pages: each item tells by its own revision when it was written.
    """

    clock: Clock
    """Source of the current time."""

    items: dict[str, KeyValue] = field(default_factory=dict)
    """Existing keys with their values."""

    era: int = 0
    """Era of the store; it rises as the store returns from an older copy."""

    revision: int = 0
    """Store revision up to which changes have been applied; 0 before the first read."""

    verified_ms: float = float("-inf")
    """Time at which this content was last confirmed by the store."""

    source: str = ""
    """Who confirmed this content last: `STORE`, or the host that this one follows."""

    ignored_answers: int = 0
    """Number of answers that were ignored because they are older than this mirror."""

    early_items: int = 0
    """Number of items that snapshots contained at a later revision than their own."""

    era_entered_ms: float = float("-inf")
    """Time at which this host saw that the store had returned from an older copy, or may have."""

    unsettled_until_ms: dict[str, float] = field(default_factory=dict)
    """Keys of which the store's copy may lack the newest state, and the time until which their
    writers may write them again."""

    heartbeat_ms: float = HEARTBEAT_MS
    """Interval at which replicas write their records."""

    gap_ms: float = 0.0
    """Time between the last two confirmations of this content by the store."""

    outage_ended_ms: float = float("-inf")
    """Time at which the store last confirmed this content after an outage so long that records may
    have lapsed in it. The end of a watch by itself shows no outage."""

    _removals: deque[_Removal] = field(default_factory=lambda: deque(maxlen=HISTORY_LENGTH))
    _removals_start: int = 0
    """Revision after which all removals are kept."""

    _subscribers: list[Callable[[set[str]], None]] = field(default_factory=list)
    _return_subscribers: list[Callable[[], None]] = field(default_factory=list)

    def subscribe(self, callback: Callable[[set[str]], None]) -> None:
        """Register a callback that is called with the changed keys after each change."""
        self._subscribers.append(callback)

    def subscribe_return(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called after the store has returned from an older copy."""
        self._return_subscribers.append(callback)

    def has_settled(self) -> bool:
        """Return whether writers have had time to write again what a returned store has lost."""
        return self.clock.now_ms() >= self.era_entered_ms + REWRITE_GRACE_MS

    def age_ms(self) -> float:
        """Return the time since this content was last confirmed by the store."""
        return self.clock.now_ms() - self.verified_ms

    def apply_snapshot(
        self,
        revision: int,
        items: Sequence[KeyValue],
        age_ms: float = 0.0,
        source: str = STORE,
        era: int = 0,
    ) -> None:
        """Apply a snapshot of all keys; one of an older era or revision is ignored."""
        if era > self.era and self.revision > 0:
            self._enter_era(era, revision, items, age_ms, source)
            return
        if (era, revision) < (self.era, self.revision):
            self._note_ignored(era, revision, source)
            return
        self._note_early(revision, items, source)
        if self.revision == 0 and era > FIRST_ERA:
            # The store may have returned from a copy just before this host started.
            self.era_entered_ms = self.clock.now_ms()
        self.era = era
        present = {item.key for item in items}
        gone = [
            key
            for key, item in self.items.items()
            if key not in present and item.mod_revision <= revision
        ]
        if revision > self.revision:
            # Keys may have been written and removed in between.
            self._forget_removals(revision)
        self._apply(revision, items, gone, age_ms, source)

    def apply_changes(
        self,
        revision: int,
        puts: Sequence[KeyValue],
        deletes: Sequence[str],
        age_ms: float = 0.0,
        source: str = STORE,
        era: int = 0,
    ) -> None:
        """Apply changes that follow this mirror's revision; those of another era are ignored."""
        if era != self.era or revision < self.revision:
            self._note_ignored(era, revision, source)
            return
        self._apply(revision, puts, deletes, age_ms, source)

    def changes_since(self, revision: int, era: int = 0) -> MirrorChanges:
        """Return the changes that a host at the given revision of an era is missing."""
        age_ms = max(0.0, self.age_ms())
        if era != self.era or not self._removals_start <= revision <= self.revision:
            items = list(self.items.values())
            return MirrorChanges(self.revision, True, items, [], age_ms, self.era)
        # The items' own revisions count, not those at which this host received them.
        items = [item for item in self.items.values() if item.mod_revision > revision]
        removed = {removal.key for removal in self._removals if removal.revision > revision}
        deletes = [key for key in removed if key not in self.items]
        return MirrorChanges(self.revision, False, items, deletes, age_ms, self.era)

    def apply(self, changes: MirrorChanges, host: str) -> None:
        """Apply changes received from another host."""
        revision, items, age_ms = changes.revision, changes.items, changes.age_ms
        if changes.is_whole:
            self.apply_snapshot(revision, items, age_ms, host, changes.era)
        else:
            self.apply_changes(revision, items, changes.deletes, age_ms, host, changes.era)

    def is_unsettled(self, key: str) -> bool:
        """Return whether the newest state of a key may be lost and written again soon."""
        return self.unsettled_until_ms.get(key, 0.0) > self.clock.now_ms()

    def _enter_era(
        self, era: int, revision: int, items: Sequence[KeyValue], age_ms: float, source: str
    ) -> None:
        """Take the content of a store that has returned from an older copy."""
        now_ms = self.clock.now_ms()
        restored = {item.key: item for item in items}
        until_ms = now_ms + REWRITE_GRACE_MS
        changed = {
            key
            for key in self.items.keys() | restored.keys()
            if self.items.get(key) != restored.get(key)
        }
        self.unsettled_until_ms = {
            key: until_ms for key in changed if self._may_be_newer(key, restored.get(key))
        }
        _log.warning(
            "The store returned from an older copy.",
            old_era=self.era,
            era=era,
            old_revision=self.revision,
            revision=revision,
            missing=len(self.items.keys() - restored.keys()),
            unsettled=len(self.unsettled_until_ms),
            source=source,
        )
        self.items = restored
        self.era, self.revision = era, revision
        self._forget_removals(revision)
        self.verified_ms, self.source = now_ms - age_ms, source
        self.outage_ended_ms = self.era_entered_ms = now_ms
        for callback in self._subscribers:
            callback(changed)
        for notify in self._return_subscribers:
            notify()

    def _may_be_newer(self, key: str, restored: KeyValue | None) -> bool:
        """Return whether this mirror's state of a key is later than the restored one."""
        known = self.items.get(key)
        if restored is None:
            return True
        if known is None:
            # A removal that this host had seen; an item beyond its revision is new to it.
            return restored.mod_revision <= self.revision
        return restored.mod_revision < known.mod_revision

    def _note_ignored(self, era: int, revision: int, source: str) -> None:
        """Count an answer that is older than this mirror, and log it."""
        self.ignored_answers += 1
        _log.info(
            "An older answer was ignored.",
            source=source,
            answer_era=era,
            answer_revision=revision,
            era=self.era,
            revision=self.revision,
            age_ms=whole_ms(self.age_ms()),
        )

    def _note_early(self, revision: int, items: Sequence[KeyValue], source: str) -> None:
        """Count and log items that were written while a snapshot was read in pages."""
        early = [item for item in items if item.mod_revision > revision]
        if not early:
            return
        self.early_items += len(early)
        _log.info(
            "A snapshot contains changes after its revision.",
            keys=[item.key for item in early[:MAX_LOGGED_KEYS]],
            count=len(early),
            newest=max(item.mod_revision for item in early),
            snapshot_revision=revision,
            revision=self.revision,
            source=source,
        )

    def _apply(
        self,
        revision: int,
        puts: Sequence[KeyValue],
        deletes: Sequence[str],
        age_ms: float,
        source: str,
    ) -> None:
        """Apply changes and notify the subscribers."""
        self._note_gap(self.clock.now_ms() - age_ms, revision, source)
        changed: set[str] = set()
        for item in puts:
            known = self.items.get(item.key)
            if known is not None and known.mod_revision >= item.mod_revision:
                continue
            self.items[item.key] = item
            changed.add(item.key)
        for key in deletes:
            known = self.items.get(key)
            if known is not None and known.mod_revision > revision:
                continue
            # Other hosts may still have a key that is already missing here.
            self._note_removal(revision, key)
            if self.items.pop(key, None) is not None:
                changed.add(key)
        for key in changed:
            self.unsettled_until_ms.pop(key, None)
        self.revision = revision
        confirmed_ms = self.clock.now_ms() - age_ms
        if confirmed_ms >= self.verified_ms:
            self.verified_ms = confirmed_ms
            self.source = source
        if not changed:
            return
        for callback in self._subscribers:
            callback(changed)

    def _note_removal(self, revision: int, key: str) -> None:
        """Keep a removal for hosts that are behind."""
        if len(self._removals) == self._removals.maxlen:
            self._removals_start = self._removals[0].revision
        self._removals.append(_Removal(revision, key))

    def _forget_removals(self, revision: int) -> None:
        """Drop all removals; a host behind the given revision gets a snapshot of all keys."""
        self._removals.clear()
        self._removals_start = revision

    def _note_gap(self, confirmed_ms: float, revision: int, source: str) -> None:
        """Note for how long the store had confirmed nothing, and whether records may have lapsed."""
        if self.revision == 0 or confirmed_ms < self.verified_ms:
            return
        self.gap_ms = confirmed_ms - self.verified_ms
        if self.gap_ms < LAPSE_HEARTBEATS * self.heartbeat_ms:
            return
        self.outage_ended_ms = self.clock.now_ms()
        _log.info(
            "The store confirms this mirror again after an outage.",
            gap_ms=whole_ms(self.gap_ms),
            revision=revision,
            source=source,
        )


def create_mirror(clock: Clock, heartbeat_ms: float = HEARTBEAT_MS) -> Mirror:
    """Return an empty mirror.

    Args:
        clock: Source of time.
        heartbeat_ms: Interval at which replicas write their records.
    """
    return Mirror(clock, heartbeat_ms=heartbeat_ms)
