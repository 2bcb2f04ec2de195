"""This host's view of itself, the other members and the shared entries.

Holds the rules by which received records are applied; `Links` sends and receives them.
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
    """A published value as it is passed to subscribers."""

    topic: str
    """Kind of state."""

    key: str
    """Key within the topic."""

    owner: str
    """Host that published it."""

    value: bytes
    """The value."""

    ttl_ms: int
    """Remaining time to live, in milliseconds."""


class Membership:
    """This host's replica of the shared state, and its own member record."""

    __slots__ = (
        "_clock",
        "_counters",
        "_duplicate_boot_ids",
        "_entry_subscribers",
        "_has_live_link",
        "_member_subscribers",
        "_on_urgent",
        "_settings",
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
        self._has_live_link: Callable[[MemberRecord], bool] = lambda _: False
        self._duplicate_boot_ids: set[str] = set()
        self.state.put_member(self.own, clock.now_ms())

    def connect_links(
        self, on_urgent: Callable[[], None], has_live_link: Callable[[MemberRecord], bool]
    ) -> None:
        """Set the callbacks of the links.

        Args:
            on_urgent: Called after a change that must be sent without waiting for a heartbeat.
            has_live_link: Returns whether a link shows that a member is alive, contrary to a
                peer's record; it sends the record to the member.
        """
        self._on_urgent = on_urgent
        self._has_live_link = has_live_link

    def subscribe(self, topic: str, callback: Callable[[EntryUpdate], None]) -> None:
        """Register a callback for each new value that another host publishes."""
        self._entry_subscribers.setdefault(topic, []).append(callback)

    def subscribe_members(self, callback: Callable[[MemberRecord], None]) -> None:
        """Register a callback for each change of another member's record."""
        self._member_subscribers.append(callback)

    def publish(self, topic: str, key: str, value: bytes, ttl_ms: float, urgent: bool) -> None:
        """Publish a value of this host; replaces its value under the same topic and key."""
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

    def heartbeat_factor(self) -> float:
        """Return the factor on heartbeat and silence intervals; 1 while all hosts are linked."""
        alive = self.others(MemberState.ALIVE, MemberState.LEAVING)
        if len(alive) < self._settings.full_mesh_hosts:
            return 1.0
        return self._settings.large_mesh_factor

    def set_own_state(self, state: MemberState) -> None:
        """Announce that this host is leaving or gone; this can't be reversed."""
        if state <= self.own.state:
            return
        self._replace_own(msgspec.structs.replace(self.own, state=state))

    def set_member_state(self, record: MemberRecord, state: MemberState) -> None:
        """Record and publish a member's state as this host itself determined it."""
        self._apply_record(msgspec.structs.replace(record, state=state), "")

    def apply_member(self, record: MemberRecord, source: str) -> None:
        """Apply a member record received from a peer.

        Args:
            record: The record.
            source: Boot id of the peer.
        """
        if record.host == self.own.host:
            self._refute_own_record(record)
            return
        told_by_others = source != record.boot_id
        if told_by_others and record.state in (MemberState.SUSPECT, MemberState.GONE):
            if self._has_live_link(record):
                return
            record = self._downgrade_to_suspect(record)
        if self._apply_record(record, source):
            return
        self._counters.redundant_records += 1

    def apply_entry(self, record: EntryRecord, source: str) -> None:
        """Apply an entry received from a peer.

        Args:
            record: The entry.
            source: Boot id of the peer.
        """
        if record.owner == self.own.host:
            self._republish_over_stale_entry(record)
            return
        if not self.state.put_entry(record, self._clock.now_ms(), source):
            self._counters.redundant_records += 1
            return
        if record.urgent:
            self._on_urgent()
        update = EntryUpdate(record.topic, record.key, record.owner, record.value, record.ttl_ms)
        for callback in self._entry_subscribers.get(record.topic, ()):
            _call(callback, update)

    def _downgrade_to_suspect(self, record: MemberRecord) -> MemberRecord:
        """Treat a member that is alive here as suspect, not gone, so that it can refute first."""
        held = self.state.members.get(record.host)
        if record.state is not MemberState.GONE or held is None:
            return record
        if held.record.state is not MemberState.ALIVE:
            return record
        return msgspec.structs.replace(record, state=MemberState.SUSPECT)

    def _apply_record(self, record: MemberRecord, source: str) -> bool:
        """Store a record, and notify the subscribers if it was newer."""
        if not self.state.put_member(record, self._clock.now_ms(), source):
            return False
        self._on_urgent()
        for callback in self._member_subscribers:
            _call(callback, record)
        return True

    def _refute_own_record(self, record: MemberRecord) -> None:
        """Refute others' records of this host that are newer than or conflict with its own."""
        same_boot = record.boot_id == self.own.boot_id
        if same_boot and (record.incarnation, record.state) <= (
            self.own.incarnation,
            self.own.state,
        ):
            return
        if not same_boot and record.incarnation < self.own.incarnation:
            return
        if not same_boot and record.state is MemberState.ALIVE:
            self._warn_of_duplicate_host(record)
        self._counters.refutations += 1
        self._replace_own(msgspec.structs.replace(self.own, incarnation=record.incarnation + 1))

    def _warn_of_duplicate_host(self, record: MemberRecord) -> None:
        """Log once that another process uses this host's name."""
        if record.boot_id in self._duplicate_boot_ids:
            return
        self._duplicate_boot_ids = {record.boot_id}
        _log.warning(
            "This host's name is used by another boot; if both are running, rename one in its settings.",
            code=int(ResultCode.CONFIGURATION_CONFLICT),
            host=record.host,
            address=f"{record.ip}:{record.port}",
        )

    def _replace_own(self, record: MemberRecord) -> None:
        """Replace this host's record of itself and publish it."""
        self.own = record
        self.state.put_member(record, self._clock.now_ms())
        self._on_urgent()

    def _republish_over_stale_entry(self, record: EntryRecord) -> None:
        """Republish a value that a higher-versioned entry of this host's earlier boot overrides."""
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
    """Call a subscriber and log its exception, so that other subscribers are still called."""
    try:
        callback(argument)
    except Exception:
        _log.exception("A subscriber raised an exception.", code=int(ResultCode.INTERNAL))
