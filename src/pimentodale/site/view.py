"""Configuration, replicas and hosts of the site as the mirror shows them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.forwarding.route_table import RouteTable
from pimentodale.logs import get_log
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from pimentodale.addresses import Address
    from pimentodale.clock import Clock
    from pimentodale.leaving.servers import LeavingServers
    from pimentodale.mirror.mirror import Mirror
    from pimentodale.site.beliefs import Incarnation
    from pimentodale.site.model import ReplicaRecord, SiteConfiguration

HOST_PREFIX: Final = "pimentodale/hosts/"
"""Prefix under which hosts register; the host's name follows, the value is its peer address."""

LAPSE_HOLD_MS: Final = 2_000.0
"""How long a replica that is missing after an outage of the store may take to register anew."""

MAX_DEPARTED: Final = 1_024
"""Replicas that are remembered of those that left as they had announced."""

_log = get_log("site")


@dataclass(slots=True, frozen=True)
class SiteRecords:
    """Where the store keeps what operators and replicas write, and how it is decoded."""

    configuration_key: str
    """Key of the newest configuration."""

    replica_prefix: str
    """Prefix of the replicas' records."""

    decode_configuration: Callable[[bytes], Result[SiteConfiguration, str]]
    """Decodes the configuration."""

    decode_replica: Callable[[str, bytes], Result[ReplicaRecord, str]]
    """Decodes one replica's record, given its key."""


@dataclass(slots=True)
class SiteView:
    """What this host knows of its site."""

    records: SiteRecords
    mirror: Mirror
    clock: Clock
    configuration: SiteConfiguration | None = None
    """The newest version; `None` before the first."""

    routes: RouteTable = field(default_factory=lambda: RouteTable(()))
    """Its routes."""

    replicas: dict[str, ReplicaRecord] = field(default_factory=dict)
    """Replicas by id, draining ones included."""

    peer_addresses: dict[str, Address] = field(default_factory=dict)
    """Where other hosts are reached, by host."""

    missing_since_outage: dict[str, float] = field(default_factory=dict)
    """Replicas that lapsed with an outage of the store, with the time until which they are kept."""

    changed_ms: float = 0.0
    """When replicas last came, went or changed."""

    leaving: LeavingServers | None = None
    """Signs of leaving beyond the records: from answers, and from other hosts."""

    _departed: OrderedDict[Incarnation, None] = field(default_factory=OrderedDict)
    """Replicas that left as they had announced."""

    _subscribers: list[Callable[[], None]] = field(default_factory=list)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have a callback called after each change."""
        self._subscribers.append(callback)

    def replicas_of(self, service: str) -> list[ReplicaRecord]:
        """Return a service's replicas that take new work."""
        self._drop_lapsed()
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service and not replica.is_draining
        ]

    def leaves_as_announced(self, incarnation: Incarnation) -> bool:
        """Whether a replica has announced that it leaves, and leaves or has left."""
        replica = self.replicas.get(incarnation[0])
        if replica is not None and incarnation_of(replica) == incarnation:
            return replica.is_draining
        return incarnation in self._departed

    def note_leaving(self, replica: ReplicaRecord) -> None:
        """Take a replica's own word that it leaves."""
        if self.leaving is not None:
            self.leaving.note_report(replica.replica_id, _boot_id(replica), leaving=True)

    def note_leaving_changed(self, replica_id: str) -> None:
        """Take the record anew of a replica that signs speak of otherwise than before."""
        known = self.replicas.get(replica_id)
        if known is None:
            return
        key = self.records.replica_prefix + replica_id
        if key in self.mirror.items:
            self.take({key})
            return
        # Its record has lapsed and it is kept for now; a new record will speak for itself.
        self.replicas[replica_id] = self._join_signs(known)
        self.changed_ms = self.clock.now_ms()
        self._tell_subscribers()

    def take(self, keys: set[str]) -> None:
        """Decode what changed in the mirror."""
        for key in keys:
            if key == self.records.configuration_key:
                self._take_configuration()
            elif key.startswith(self.records.replica_prefix):
                self._take_replica(key)
            elif key.startswith(HOST_PREFIX):
                self._take_host(key)
        self._tell_subscribers()

    def _tell_subscribers(self) -> None:
        """Call everyone who follows this view."""
        for callback in self._subscribers:
            callback()

    def _take_configuration(self) -> None:
        """Put a new configuration in force."""
        item = self.mirror.items.get(self.records.configuration_key)
        if item is None:
            return
        decoded = self.records.decode_configuration(item.value)
        if decoded.is_error():
            _log.error("The configuration was not accepted.", reason=decoded.error)
            return
        known = self.configuration
        if known is not None and decoded.ok.version <= known.version:
            return
        self.configuration = decoded.ok
        self.routes = RouteTable(decoded.ok.routes)
        _log.info(
            "A configuration is in force.",
            version=decoded.ok.version,
            revision=item.mod_revision,
            routes=len(decoded.ok.routes),
            age_ms=round(self.mirror.age_ms()),
        )

    def _take_replica(self, key: str) -> None:
        """Take a replica's new record, or its removal."""
        self.changed_ms = self.clock.now_ms()
        replica_id = key.removeprefix(self.records.replica_prefix)
        item = self.mirror.items.get(key)
        if item is None:
            self._lose(replica_id)
            return
        decoded = self.records.decode_replica(key, item.value)
        if decoded.is_error():
            _log.warning("A replica's record can't be used.", key=key, reason=decoded.error)
            self.replicas.pop(replica_id, None)
            return
        self.missing_since_outage.pop(replica_id, None)
        known = self.replicas.get(replica_id)
        record = self.replicas[replica_id] = self._join_signs(decoded.ok)
        if known is not None and incarnation_of(known) != incarnation_of(record):
            self._note_gone(known)
        if known is None or known.is_draining != record.is_draining:
            _log.info(
                "A replica is registered.",
                replica=replica_id,
                draining=record.is_draining,
                failure_domain=record.failure_domain,
                revision=item.mod_revision,
            )
        elif known.started_ms != record.started_ms:
            _log.info(
                "A replica has started again.",
                replica=replica_id,
                started_ms=record.started_ms,
                before_ms=known.started_ms,
                revision=item.mod_revision,
            )

    def _join_signs(self, record: ReplicaRecord) -> ReplicaRecord:
        """Return a record as draining if the replica has said otherwise that it leaves."""
        if self.leaving is None:
            return record
        self.leaving.note_report(record.replica_id, _boot_id(record), leaving=False)
        is_draining = record.is_draining or self.leaving.is_leaving(record.replica_id)
        return replace(record, is_draining=is_draining)

    def _lose(self, replica_id: str) -> None:
        """Drop a replica whose record is gone, or keep it a while after an outage."""
        now_ms = self.clock.now_ms()
        until_ms = self.mirror.outage_ended_ms + LAPSE_HOLD_MS
        if replica_id in self.replicas and now_ms < until_ms:
            self.missing_since_outage[replica_id] = until_ms
            _log.info("A replica's record lapsed in an outage; it is kept.", replica=replica_id)
            return
        known = self.replicas.pop(replica_id, None)
        if known is not None:
            self._note_gone(known)
            _log.info("A replica is gone.", replica=replica_id, revision=self.mirror.revision)

    def _note_gone(self, replica: ReplicaRecord) -> None:
        """Remember a replica that is gone if it had announced that."""
        if not replica.is_draining:
            return
        self._departed[incarnation_of(replica)] = None
        if len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)

    def _drop_lapsed(self) -> None:
        """Drop replicas that did not register anew in time."""
        now_ms = self.clock.now_ms()
        for replica_id, until_ms in list(self.missing_since_outage.items()):
            if now_ms < until_ms:
                continue
            del self.missing_since_outage[replica_id]
            known = self.replicas.pop(replica_id, None)
            if known is not None:
                self._note_gone(known)
            _log.info("A replica did not register again; it is gone.", replica=replica_id)

    def _take_host(self, key: str) -> None:
        """Take another host's address, or its removal."""
        host = key.removeprefix(HOST_PREFIX)
        item = self.mirror.items.get(key)
        if item is None:
            self.peer_addresses.pop(host, None)
            return
        try:
            self.peer_addresses[host] = parse_address(item.value.decode("ascii", "replace"))
        except BadAddressError as error:
            _log.warning("A host's record can't be used.", key=key, reason=str(error))


def _boot_id(replica: ReplicaRecord) -> str:
    """Return what names a replica's start in signs; empty where it is not known."""
    return str(replica.started_ms) if replica.started_ms else ""


def create_site_view(records: SiteRecords, mirror: Mirror, clock: Clock) -> SiteView:
    """Return a view that follows a mirror."""
    view = SiteView(records, mirror, clock)
    mirror.subscribe(view.take)
    return view
