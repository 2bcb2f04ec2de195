"""Replicated state of every host: members and entries, in order of change.

Each change gets the next index, so that a peer is sent only the changes that it lacks.
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
"""Maximum number of members that are retained."""

_ENTRY_OVERHEAD_BYTES: Final = 400
_EVICTED_SHARE: Final = 0.1


@dataclass(slots=True)
class MemberItem:
    """A member in this host's replica."""

    record: MemberRecord
    """The current record."""

    index: int
    """Index of the change on this host."""

    changed_ms: float
    """Time of the change on this host."""

    known_by: set[str] = field(default_factory=set)
    """Boot ids of peers that sent the same record."""


@dataclass(slots=True)
class EntryItem:
    """An entry in this host's replica."""

    record: EntryRecord
    """The current version."""

    index: int
    """Index of the change on this host."""

    expires_ms: float
    """Time at which it expires on this host."""

    known_by: set[str] = field(default_factory=set)
    """Boot ids of peers that sent the same version."""


class EntryName(msgspec.Struct, frozen=True):
    """Unique key of an entry."""

    topic: str
    """Kind of state."""

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
        """Store a member record if it supersedes the current one.

        Args:
            record: The record.
            now_ms: The current time.
            source: Boot id of the peer that sent it; empty for this host itself.

        Returns:
            Whether the record was stored.
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
        self._append_change(record.host, item)
        return True

    def put_entry(self, record: EntryRecord, now_ms: float, source: str = "") -> bool:
        """Store a version of an entry if it is newer than the current one.

        Args:
            record: The version.
            now_ms: The current time.
            source: Boot id of the peer that sent it; empty for this host itself.

        Returns:
            Whether the record was stored.
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
        self._append_change(name, item)
        if self.entry_bytes > self._max_entry_bytes:
            self._evict()
        return True

    def forget_member(self, host: str) -> None:
        """Remove a member."""
        if self.members.pop(host, None) is not None:
            self._changes.pop(host, None)

    def expire(self, now_ms: float) -> None:
        """Remove expired entries."""
        lapsed = [name for name, item in self.entries.items() if item.expires_ms <= now_ms]
        for name in lapsed:
            self._drop_entry(name)

    def changes_after(self, index: int, peer_boot_id: str) -> Iterator[MemberItem | EntryItem]:
        """Yield the changes that a peer lacks, newest first.

        Args:
            index: Change index of this host that the peer has reached.
            peer_boot_id: Boot id of the peer; records that it sent itself are omitted.

        Yields:
            Members and entries.
        """
        for item in reversed(self._changes.values()):
            if item.index <= index:
                return
            if peer_boot_id not in item.known_by:
                yield item

    def remaining(self, item: EntryItem, now_ms: float) -> EntryRecord:
        """Return an entry's record with its remaining time to live."""
        ttl_ms = max(0, round(item.expires_ms - now_ms))
        return msgspec.structs.replace(item.record, ttl_ms=ttl_ms)

    def _append_change(self, name: str | EntryName, item: MemberItem | EntryItem) -> None:
        """Move an item to the end of the changes."""
        self._changes[name] = item
        self._changes.move_to_end(name)

    def _drop_entry(self, name: EntryName) -> None:
        """Remove one entry."""
        item = self.entries.pop(name)
        self.entry_bytes -= _size(item.record)
        self._changes.pop(name, None)

    def _evict(self) -> None:
        """Remove a share of the entries at once, those that expire soonest."""
        soonest = sorted(self.entries, key=lambda name: self.entries[name].expires_ms)
        for name in soonest[: max(1, int(len(soonest) * _EVICTED_SHARE))]:
            self._drop_entry(name)


def next_incarnation(record: MemberRecord) -> Counter:
    """Return the incarnation that refutes a record."""
    return record.incarnation + 1


def _supersedes(new: MemberRecord, held: MemberRecord) -> bool:
    """Return whether a record supersedes the current one."""
    if new.boot_id == held.boot_id and held.state is MemberState.LEAVING:
        # A leaving host never becomes alive again under the same boot id.
        return new.state > held.state or (
            new.state is MemberState.LEAVING and new.incarnation > held.incarnation
        )
    return (new.incarnation, new.state) > (held.incarnation, held.state)


def _stamp(record: EntryRecord) -> tuple[int, int]:
    """Return the sort key of the versions of one entry."""
    return (record.incarnation, record.version)


def _size(record: EntryRecord) -> int:
    """Return the estimated memory size of an entry."""
    return _ENTRY_OVERHEAD_BYTES + len(record.key) + len(record.value)
