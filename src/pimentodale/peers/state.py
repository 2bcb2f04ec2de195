"""State that every host keeps a copy of: members and entries, with what changed when.

Each change gets the next index, so that a peer is sent just what it does not have.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.peers.messages import Counter, EntryRecord, MemberRecord, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_MEMBERS: Final = 4096
"""Most members that are remembered."""

_ENTRY_OVERHEAD_BYTES: Final = 400
_EVICTED_SHARE: Final = 0.1


@dataclass(slots=True)
class MemberItem:
    """A member as this host holds it."""

    record: MemberRecord
    """The word that holds."""

    index: int
    """This host's index of the change."""

    changed_ms: float
    """When it changed here."""

    known_by: set[str] = field(default_factory=set)
    """Boot ids of peers that sent the same word."""


@dataclass(slots=True)
class EntryItem:
    """An entry as this host holds it."""

    record: EntryRecord
    """The version that holds."""

    index: int
    """This host's index of the change."""

    expires_ms: float
    """When it lapses here."""

    known_by: set[str] = field(default_factory=set)
    """Boot ids of peers that sent the same version."""


class EntryName(msgspec.Struct, frozen=True):
    """What tells one entry from all others."""

    topic: str
    """What kind of state it is."""

    key: str
    """Key within the topic."""

    owner: str
    """Host that published it."""


class SharedState:
    """Members and entries in the order in which they changed."""

    __slots__ = ("_changes", "_max_entry_bytes", "entries", "entry_bytes", "index", "members")

    def __init__(self, max_entry_bytes: int) -> None:
        self.members: dict[str, MemberItem] = {}
        self.entries: dict[EntryName, EntryItem] = {}
        self.index = 0
        self.entry_bytes = 0
        self._max_entry_bytes = max_entry_bytes
        self._changes: OrderedDict[str | EntryName, MemberItem | EntryItem] = OrderedDict()

    def put_member(self, record: MemberRecord, now_ms: float, source: str = "") -> bool:
        """Take a word about a member if it goes before the one held.

        Args:
            record: The word.
            now_ms: The time.
            source: Boot id of the peer that sent it; empty for this host itself.

        Returns:
            Whether it was new.
        """
        held = self.members.get(record.host)
        if held is not None and not _supersedes(record, held.record):
            if source and record == held.record:
                held.known_by.add(source)
            return False
        if held is None and len(self.members) >= MAX_MEMBERS:
            return False
        self.index += 1
        item = MemberItem(record, self.index, now_ms, {source} if source else set())
        self.members[record.host] = item
        self._note_change(record.host, item)
        return True

    def put_entry(self, record: EntryRecord, now_ms: float, source: str = "") -> bool:
        """Take a version of an entry if it is newer than the one held.

        Args:
            record: The version.
            now_ms: The time.
            source: Boot id of the peer that sent it; empty for this host itself.

        Returns:
            Whether it was new.
        """
        name = EntryName(record.topic, record.key, record.owner)
        held = self.entries.get(name)
        if held is not None and _stamp(record) <= _stamp(held.record):
            if source and _stamp(record) == _stamp(held.record):
                held.known_by.add(source)
            return False
        if record.ttl_ms <= 0:
            return False
        if held is not None:
            self.entry_bytes -= _size(held.record)
        self.index += 1
        item = EntryItem(record, self.index, now_ms + record.ttl_ms, {source} if source else set())
        self.entries[name] = item
        self.entry_bytes += _size(record)
        self._note_change(name, item)
        if self.entry_bytes > self._max_entry_bytes:
            self._evict()
        return True

    def forget_member(self, host: str) -> None:
        """Drop a member from memory."""
        if self.members.pop(host, None) is not None:
            self._changes.pop(host, None)

    def expire(self, now_ms: float) -> None:
        """Drop the entries whose time is over."""
        lapsed = [name for name, item in self.entries.items() if item.expires_ms <= now_ms]
        for name in lapsed:
            self._drop_entry(name)

    def changes_after(self, index: int, peer_boot_id: str) -> Iterator[MemberItem | EntryItem]:
        """Yield what a peer lacks, newest first.

        Args:
            index: This host's index that the peer has reached.
            peer_boot_id: The peer; what it sent itself is left out.

        Yields:
            Members and entries.
        """
        for item in reversed(self._changes.values()):
            if item.index <= index:
                return
            if peer_boot_id not in item.known_by:
                yield item

    def remaining(self, item: EntryItem, now_ms: float) -> EntryRecord:
        """Return an entry with the time that it still has to live."""
        ttl_ms = max(0, round(item.expires_ms - now_ms))
        return msgspec.structs.replace(item.record, ttl_ms=ttl_ms)

    def _note_change(self, name: str | EntryName, item: MemberItem | EntryItem) -> None:
        """Move a record to the end of the changes."""
        self._changes[name] = item
        self._changes.move_to_end(name)

    def _drop_entry(self, name: EntryName) -> None:
        """Remove one entry."""
        item = self.entries.pop(name)
        self.entry_bytes -= _size(item.record)
        self._changes.pop(name, None)

    def _evict(self) -> None:
        """Drop the entries that lapse soonest, a share of all at once."""
        soonest = sorted(self.entries, key=lambda name: self.entries[name].expires_ms)
        for name in soonest[: max(1, int(len(soonest) * _EVICTED_SHARE))]:
            self._drop_entry(name)


def next_incarnation(record: MemberRecord) -> Counter:
    """Return the incarnation that refutes a word."""
    return record.incarnation + 1


def _supersedes(new: MemberRecord, held: MemberRecord) -> bool:
    """Whether a word goes before the one held."""
    if new.boot_id == held.boot_id and held.state is MemberState.LEAVING:
        # A host that leaves never comes back under the same boot id.
        return new.state > held.state or (
            new.state is MemberState.LEAVING and new.incarnation > held.incarnation
        )
    return (new.incarnation, new.state) > (held.incarnation, held.state)


def _stamp(record: EntryRecord) -> tuple[int, int]:
    """Return what orders versions of one entry."""
    return (record.incarnation, record.version)


def _size(record: EntryRecord) -> int:
    """Return about how many bytes an entry takes."""
    return _ENTRY_OVERHEAD_BYTES + len(record.key) + len(record.value)
