"""A lasting connection to one peer and what has been sent over it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.peers.message_stream import MessageStream, pack
from pimentodale.peers.messages import Accusation, Bye, Delta, EntryRecord, Heartbeat, MemberRecord
from pimentodale.peers.state import MemberItem

if TYPE_CHECKING:
    from pimentodale.peers.counters import PeerCounters
    from pimentodale.peers.state import SharedState

HEARTBEAT_FRAME: Final = pack(Heartbeat())
"""The packed heartbeat; it is the same for every peer."""

_DELTA_BYTES: Final = 256 * 1024
_RECORD_BYTES: Final = 100


@dataclass(slots=True)
class Link:
    """One side of a link."""

    stream: MessageStream
    """The connection."""

    host: str
    """The peer's name."""

    boot_id: str
    """The peer's boot id."""

    dialled: bool
    """Whether this host opened it."""

    sent_index: int
    """This host's index that the peer has reached."""

    opened_ms: float
    """When the link came up."""

    heard_ms: float
    """When the last message came."""

    sent_ms: float
    """When the last message left."""

    closing: bool = False
    """Whether either side closes it on purpose."""

    def send_changes(self, state: SharedState, now_ms: float, counters: PeerCounters) -> None:
        """Send what the peer lacks, in messages of bounded length."""
        if self.sent_index == state.index:
            return
        items = list(state.changes_after(self.sent_index, self.boot_id))
        items.reverse()
        self.sent_index = state.index
        members: list[MemberRecord] = []
        entries: list[EntryRecord] = []
        size_bytes = 0
        for item in items:
            if isinstance(item, MemberItem):
                members.append(item.record)
                size_bytes += _RECORD_BYTES
            else:
                entries.append(state.remaining(item, now_ms))
                size_bytes += _RECORD_BYTES + len(item.record.value)
            if size_bytes < _DELTA_BYTES:
                continue
            self._send_delta(item.index, members, entries, counters)
            members, entries, size_bytes = [], [], 0
        if not members and not entries:
            return
        self._send_delta(state.index, members, entries, counters)
        self.sent_ms = now_ms

    def send_heartbeat(self, now_ms: float) -> None:
        """Say that this host lives."""
        self.stream.write_packed(HEARTBEAT_FRAME)
        self.sent_ms = now_ms

    def accuse(self, member: MemberRecord) -> None:
        """Tell the peer what is said of it."""
        self.stream.write(Accusation(member))

    def say_bye(self) -> None:
        """Close the link on purpose."""
        self.closing = True
        self.stream.write(Bye())
        self.stream.close_when_sent()

    def _send_delta(
        self,
        index: int,
        members: list[MemberRecord],
        entries: list[EntryRecord],
        counters: PeerCounters,
    ) -> None:
        """Send one message of changes."""
        counters.sent_records += len(members) + len(entries)
        self.stream.write(Delta(index, members, entries))
