"""A persistent connection to one peer and the replication progress over it."""

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
    """This host's end of a link."""

    stream: MessageStream
    """The underlying connection."""

    host: str
    """The peer's name."""

    boot_id: str
    """The peer's boot id."""

    dialled: bool
    """Whether this host opened the connection."""

    sent_index: int
    """Change index of this host up to which the peer has been sent all changes."""

    opened_ms: float
    """Time at which the link was established."""

    last_received_ms: float
    """Time at which the last message was received."""

    sent_ms: float
    """Time at which the last message was sent."""

    closing: bool = False
    """Whether the link is being closed deliberately by either side."""

    def send_changes(self, state: SharedState, now_ms: float, counters: PeerCounters) -> None:
        """Send the changes that the peer lacks, in messages of bounded size."""
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
        """Send a heartbeat."""
        self.stream.write_packed(HEARTBEAT_FRAME)
        self.sent_ms = now_ms

    def send_accusation(self, member: MemberRecord) -> None:
        """Send the peer a record that claims that it is suspect or gone."""
        self.stream.write(Accusation(member))

    def close_gracefully(self) -> None:
        """Announce the close to the peer and close the connection after sending."""
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
        """Send one message with changes."""
        counters.sent_records += len(members) + len(entries)
        self.stream.write(Delta(index, members, entries))
