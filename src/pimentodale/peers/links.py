"""Opens, accepts, reads and closes the links to peers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import Address
from pimentodale.logs import get_log
from pimentodale.peers.link import Link
from pimentodale.peers.message_stream import BadMessageError, connect
from pimentodale.peers.messages import (
    PROTOCOL,
    Accusation,
    Bye,
    Delta,
    Hello,
    IndirectProbe,
    IndirectReply,
    LinkRefused,
    MemberRecord,
    MemberState,
)
from pimentodale.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.peers.counters import PeerCounters
    from pimentodale.peers.membership import Membership
    from pimentodale.peers.message_stream import MessageStream
    from pimentodale.peers.messages import Message
    from pimentodale.peers.settings import PeersSettings

NS_PER_MS: Final = 1e6
"""Nanoseconds in a millisecond."""

_log = get_log("peers")


class Links:
    """The links of this host, by the peer's name."""

    __slots__ = (
        "_clock",
        "_counters",
        "_dialling",
        "_membership",
        "_on_indirect_probe",
        "_on_indirect_reply",
        "_on_lost",
        "_received_index",
        "_settings",
        "_tasks",
        "by_host",
        "closing",
    )

    def __init__(
        self,
        settings: PeersSettings,
        clock: Clock,
        counters: PeerCounters,
        membership: Membership,
        tasks: BackgroundTasks,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._membership = membership
        self._tasks = tasks
        self._dialling: set[str] = set()
        self._received_index: dict[str, int] = {}
        self._on_lost: Callable[[str], None] = lambda _: None
        self._on_indirect_probe: Callable[[Link, IndirectProbe], None] = lambda _link, _probe: None
        self._on_indirect_reply: Callable[[IndirectReply], None] = lambda _: None
        self.by_host: dict[str, Link] = {}
        self.closing = False

    def connect_detector(
        self,
        on_lost: Callable[[str], None],
        on_indirect_probe: Callable[[Link, IndirectProbe], None],
        on_indirect_reply: Callable[[IndirectReply], None],
    ) -> None:
        """Set the callbacks of the failure detector.

        Args:
            on_lost: Called with the peer's name when a link ends that neither side closed deliberately.
            on_indirect_probe: Called with a peer's request for an indirect probe.
            on_indirect_reply: Called with a peer's answer to an indirect probe.
        """
        self._on_lost = on_lost
        self._on_indirect_probe = on_indirect_probe
        self._on_indirect_reply = on_indirect_reply

    def is_dialling(self, host: str) -> bool:
        """Return whether a link to the host is being opened."""
        return host in self._dialling

    def has_live_link(self, record: MemberRecord) -> bool:
        """Return whether a live link contradicts a record; the member is sent the record."""
        link = self.by_host.get(record.host)
        if link is None or link.boot_id != record.boot_id:
            return False
        if self._clock.now_ms() - link.last_received_ms > self._settings.silence_timeout_ms:
            return False
        link.send_accusation(record)
        return True

    def send_changes(self) -> None:
        """Send each peer the changes that it lacks."""
        now_ms = self._clock.now_ms()
        for link in self.by_host.values():
            link.send_changes(self._membership.state, now_ms, self._counters)

    async def dial(self, host: str, address: Address) -> bool:
        """Open a link.

        Args:
            host: Name of the peer.
            address: Peer address of the host.

        Returns:
            Whether a link to the peer exists or is already being opened.
        """
        if host in self._dialling or host in self.by_host:
            return True
        self._dialling.add(host)
        try:
            return await self._dial(host, address)
        finally:
            self._dialling.discard(host)

    def accept(self, stream: MessageStream, hello: Hello) -> None:
        """Accept or refuse a peer's link; takes ownership of the stream."""
        host = hello.member.host
        existing = self.by_host.get(host)
        if self.closing or host == self._settings.host or self._must_refuse(host, existing):
            stream.write(LinkRefused())
            stream.close_when_sent()
            # The refused peer is still recorded, so that other hosts learn of it from here and some
            # of them choose it as a neighbour.
            self._membership.apply_member(hello.member, hello.member.boot_id)
            return
        if existing is not None:
            # A peer that opens a new link has dropped the old one or has been restarted.
            existing.closing = True
            existing.stream.close()
        stream.write(self._create_hello(hello.member.boot_id))
        self._adopt(stream, hello, dialled=False)

    def close(self, link: Link) -> None:
        """Close a link deliberately and notify the peer."""
        link.close_gracefully()
        self._remove(link)

    def forget_boot(self, boot_id: str) -> None:
        """Forget the replication progress of a boot that is gone."""
        self._received_index.pop(boot_id, None)

    async def _dial(self, host: str, address: Address) -> bool:
        """Open a connection and exchange `Hello` messages."""
        timeout_ms = self._settings.probe_timeout_ms
        self._counters.dials += 1
        try:
            stream = await connect(address, self._settings.listen.ip, timeout_ms, self._counters)
        except OSError:
            return False
        held = self._membership.state.members.get(host)
        stream.write(self._create_hello("" if held is None else held.record.boot_id))
        try:
            answer = await stream.read_within(timeout_ms)
        except (OSError, BadMessageError):
            stream.close()
            return False
        if not isinstance(answer, Hello) or self.closing or answer.member.host in self.by_host:
            stream.close()
            return host in self.by_host
        self._adopt(stream, answer, dialled=True)
        return True

    def _must_refuse(self, host: str, existing: Link | None) -> bool:
        """Return whether a link duplicates a dial in progress or exceeds the accepted links."""
        if host in self._dialling and self._settings.host < host:
            return True
        if existing is not None:
            return False
        alive = self._membership.others(MemberState.ALIVE, MemberState.LEAVING)
        if len(alive) < self._settings.full_mesh_hosts:
            return False
        accepted = sum(not link.dialled for link in self.by_host.values())
        return accepted >= self._settings.accepted_links

    def _create_hello(self, peer_boot_id: str) -> Hello:
        """Return the `Hello` that tells the peer which of its changes this host has."""
        index = self._received_index.get(peer_boot_id, 0)
        return Hello(PROTOCOL, self._membership.own, peer_boot_id, index)

    def _adopt(self, stream: MessageStream, hello: Hello, dialled: bool) -> None:
        """Create a link from a stream on which `Hello` messages were exchanged."""
        own = self._membership.own
        state = self._membership.state
        known = hello.have_boot_id == own.boot_id
        now_ms = self._clock.now_ms()
        link = Link(
            stream=stream,
            host=hello.member.host,
            boot_id=hello.member.boot_id,
            dialled=dialled,
            sent_index=min(hello.have_index, state.index) if known else 0,
            opened_ms=now_ms,
            last_received_ms=now_ms,
            sent_ms=now_ms,
        )
        self.by_host[link.host] = link
        self._membership.apply_member(hello.member, link.boot_id)
        link.send_changes(state, now_ms, self._counters)
        self._tasks.start(self._read(link), f"link {link.host}")

    async def _read(self, link: Link) -> None:
        """Process the messages of a link until it ends."""
        try:
            while True:
                message = await link.stream.read()
                started_ns = time.thread_time_ns()
                link.last_received_ms = self._clock.now_ms()
                self._handle_message(link, message)
                self._counters.cpu_ms += (time.thread_time_ns() - started_ns) / NS_PER_MS
        except OSError:
            pass
        except BadMessageError as error:
            self._counters.malformed_messages += 1
            _log.warning(
                "A peer sent an invalid message; its link was closed.",
                code=int(ResultCode.MALFORMED_REQUEST),
                peer=link.host,
                problem=str(error),
            )
        finally:
            link.stream.close()
            self._remove(link)
        if not link.closing and not self.closing:
            self._on_lost(link.host)

    def _handle_message(self, link: Link, message: Message) -> None:
        """Dispatch one message by its type."""
        if isinstance(message, Delta):
            self._apply_delta(link, message)
        elif isinstance(message, Accusation):
            self._membership.apply_member(message.member, link.boot_id)
        elif isinstance(message, IndirectProbe):
            self._on_indirect_probe(link, message)
        elif isinstance(message, IndirectReply):
            self._on_indirect_reply(message)
        elif isinstance(message, Bye):
            link.closing = True
            link.stream.close()

    def _apply_delta(self, link: Link, delta: Delta) -> None:
        """Apply a peer's changes and record its change index."""
        for member in delta.members:
            self._membership.apply_member(member, link.boot_id)
        for entry in delta.entries:
            self._membership.apply_entry(entry, link.boot_id)
        self._received_index[link.boot_id] = delta.index

    def _remove(self, link: Link) -> None:
        """Remove a link, unless another one to the same host has replaced it."""
        if self.by_host.get(link.host) is link:
            del self.by_host[link.host]


def address_of(member: MemberRecord) -> Address:
    """Return the peer address of a member."""
    return Address(member.ip, member.port)


def is_same_boot(member: MemberRecord, other: MemberRecord) -> bool:
    """Return whether two records describe the same boot of the same host."""
    return member.host == other.host and member.boot_id == other.boot_id
