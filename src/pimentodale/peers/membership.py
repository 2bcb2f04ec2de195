"""What this host holds of itself, of the other members and of the shared entries.

The rules by which words are taken stand here; who sends them where is the links' matter.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec

from pimentodale.logs import get_log
from pimentodale.peers.messages import EntryRecord, MemberRecord, MemberState
from pimentodale.peers.state import SharedState
from pimentodale.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock
    from pimentodale.peers.counters import PeerCounters
    from pimentodale.peers.settings import PeersSettings

_BOOT_ID_BYTES = 6
_log = get_log("peers")


class EntryUpdate(msgspec.Struct, frozen=True):
    """A published value as subscribers get it."""

    topic: str
    """What kind of state it is."""

    key: str
    """Key within the topic."""

    owner: str
    """Host that published it."""

    value: bytes
    """The value."""

    ttl_ms: int
    """Time that it still has to live."""


class Membership:
    """This host's copy of what all hosts share, and its own place in it."""

    __slots__ = (
        "_clock",
        "_counters",
        "_entry_subscribers",
        "_has_first_hand_word",
        "_member_subscribers",
        "_on_urgent",
        "_settings",
        "_strangers",
        "_version",
        "own",
        "state",
    )

    def __init__(self, settings: PeersSettings, clock: Clock, counters: PeerCounters) -> None:
        advertise = settings.advertise or settings.listen
        self.own = MemberRecord(
            host=settings.host,
            incarnation=int(clock.wall_ms()),
            state=MemberState.ALIVE,
            boot_id=secrets.token_hex(_BOOT_ID_BYTES),
            failure_domain=settings.failure_domain,
            region=settings.region,
            ip=advertise.ip,
            port=advertise.port,
        )
        self.state = SharedState(settings.max_entry_bytes)
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._version = 0
        self._entry_subscribers: dict[str, list[Callable[[EntryUpdate], None]]] = {}
        self._member_subscribers: list[Callable[[MemberRecord], None]] = []
        self._on_urgent: Callable[[], None] = lambda: None
        self._has_first_hand_word: Callable[[MemberRecord], bool] = lambda _: False
        self._strangers: set[str] = set()
        self.state.put_member(self.own, clock.now_ms())

    def connect_links(
        self, on_urgent: Callable[[], None], has_first_hand_word: Callable[[MemberRecord], bool]
    ) -> None:
        """Set what the links give.

        Args:
            on_urgent: Called after a change that must travel at once.
            has_first_hand_word: Whether a link shows that a member lives, whatever others say;
                it passes the word on to the member.
        """
        self._on_urgent = on_urgent
        self._has_first_hand_word = has_first_hand_word

    def subscribe(self, topic: str, callback: Callable[[EntryUpdate], None]) -> None:
        """Have a callback called for each new value that another host published."""
        self._entry_subscribers.setdefault(topic, []).append(callback)

    def subscribe_members(self, callback: Callable[[MemberRecord], None]) -> None:
        """Have a callback called for each change of another member."""
        self._member_subscribers.append(callback)

    def publish(self, topic: str, key: str, value: bytes, ttl_ms: float, urgent: bool) -> None:
        """Publish a value of this host's; it replaces the one under the same topic and key."""
        self._version += 1
        record = EntryRecord(
            topic=topic,
            key=key,
            owner=self.own.host,
            incarnation=self.own.incarnation,
            version=self._version,
            ttl_ms=int(ttl_ms),
            urgent=urgent,
            value=value,
        )
        self.state.put_entry(record, self._clock.now_ms())
        if urgent:
            self._on_urgent()

    def others(self, *states: MemberState) -> list[MemberRecord]:
        """Return the other members that are in one of the states."""
        items = self.state.members.values()
        records = (item.record for item in items if item.record.state in states)
        return [record for record in records if record.host != self.own.host]

    def pace(self) -> float:
        """Return by how much heartbeats are rarer than while all hosts are linked."""
        alive = self.others(MemberState.ALIVE, MemberState.LEAVING)
        if len(alive) < self._settings.full_mesh_hosts:
            return 1.0
        return self._settings.large_mesh_factor

    def set_own_state(self, state: MemberState) -> None:
        """Say of this host that it leaves or is gone; there is no way back."""
        if state <= self.own.state:
            return
        self._replace_own(msgspec.structs.replace(self.own, state=state))

    def say(self, record: MemberRecord, state: MemberState) -> None:
        """Spread this host's own finding about a member."""
        self._take_word(msgspec.structs.replace(record, state=state), "")

    def take_member(self, record: MemberRecord, source: str) -> None:
        """Take a peer's word about a member.

        Args:
            record: The word.
            source: Boot id of the peer.
        """
        if record.host == self.own.host:
            self._take_word_about_own(record)
            return
        told_by_others = source != record.boot_id
        if told_by_others and record.state in (MemberState.SUSPECT, MemberState.GONE):
            if self._has_first_hand_word(record):
                return
            record = self._soften(record)
        if self._take_word(record, source):
            return
        self._counters.useless_records += 1

    def take_entry(self, record: EntryRecord, source: str) -> None:
        """Take an entry that a peer sent.

        Args:
            record: The entry.
            source: Boot id of the peer.
        """
        if record.owner == self.own.host:
            self._take_back_entry(record)
            return
        if not self.state.put_entry(record, self._clock.now_ms(), source):
            self._counters.useless_records += 1
            return
        if record.urgent:
            self._on_urgent()
        update = EntryUpdate(record.topic, record.key, record.owner, record.value, record.ttl_ms)
        for callback in self._entry_subscribers.get(record.topic, ()):
            _call(callback, update)

    def _soften(self, record: MemberRecord) -> MemberRecord:
        """Let a member that was alive here refute before it is held to be gone."""
        held = self.state.members.get(record.host)
        if record.state is not MemberState.GONE or held is None:
            return record
        if held.record.state is not MemberState.ALIVE:
            return record
        return msgspec.structs.replace(record, state=MemberState.SUSPECT)

    def _take_word(self, record: MemberRecord, source: str) -> bool:
        """Take a word, and tell the subscribers if it was new."""
        if not self.state.put_member(record, self._clock.now_ms(), source):
            return False
        self._on_urgent()
        for callback in self._member_subscribers:
            _call(callback, record)
        return True

    def _take_word_about_own(self, record: MemberRecord) -> None:
        """Refute what others say of this host, unless it is what it said itself."""
        same_boot = record.boot_id == self.own.boot_id
        if same_boot and (record.incarnation, record.state) <= (
            self.own.incarnation,
            self.own.state,
        ):
            return
        if not same_boot and record.incarnation < self.own.incarnation:
            return
        if not same_boot and record.state is MemberState.ALIVE:
            self._warn_of_stranger(record)
        self._counters.refutations += 1
        self._replace_own(msgspec.structs.replace(self.own, incarnation=record.incarnation + 1))

    def _warn_of_stranger(self, record: MemberRecord) -> None:
        """Log once that another process has this host's name."""
        if record.boot_id in self._strangers:
            return
        self._strangers = {record.boot_id}
        _log.warning(
            "This host's name was used by another boot; if both run, rename one in its settings.",
            code=int(ResultCode.CONFIGURATION_CONFLICT),
            host=record.host,
            address=f"{record.ip}:{record.port}",
        )

    def _replace_own(self, record: MemberRecord) -> None:
        """Set this host's word about itself."""
        self.own = record
        self.state.put_member(record, self._clock.now_ms())
        self._on_urgent()

    def _take_back_entry(self, record: EntryRecord) -> None:
        """Publish anew over an entry of this host's earlier boot that hides a newer value."""
        for item in list(self.state.entries.values()):
            held = item.record
            if (held.topic, held.key, held.owner) != (record.topic, record.key, record.owner):
                continue
            if (record.incarnation, record.version) <= (held.incarnation, held.version):
                return
            self._version = max(self._version, record.version)
            self.own = msgspec.structs.replace(
                self.own, incarnation=max(self.own.incarnation, record.incarnation)
            )
            ttl_ms = item.expires_ms - self._clock.now_ms()
            self.publish(held.topic, held.key, held.value, ttl_ms, held.urgent)
            return


def _call(callback: Callable[..., None], argument: object) -> None:
    """Call a subscriber; its failure is its own."""
    try:
        callback(argument)
    except Exception:
        _log.exception("A subscriber failed.", code=int(ResultCode.INTERNAL))
