"""Configuration, replicas and hosts of the site, decoded from the mirror."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.clock import whole_ms
from pimentodale.forwarding.route_table import RouteTable
from pimentodale.logs import get_log
from pimentodale.site.departed_replicas import create_departed_replicas
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from pimentodale.addresses import Address
    from pimentodale.clock import Clock
    from pimentodale.leaving.leaving_servers import LeavingServers
    from pimentodale.mirror.mirror import Mirror
    from pimentodale.site.departed_replicas import DepartedReplicas
    from pimentodale.site.model import ReplicaRecord, SiteConfiguration
    from pimentodale.site.replica_health import Incarnation

HOST_PREFIX: Final = "pimentodale/hosts/"
"""Prefix under which hosts register; the host's name follows, the value is its peer address."""

REREGISTRATION_GRACE_MS: Final = 2_000.0
"""How long a replica whose record expired in a store outage may take to register again."""

_log = get_log("site")


@dataclass(slots=True, frozen=True)
class SiteRecords:
    """Keys and decoders of the records that operators and replicas write to the store."""

    configuration_key: str
    """Key of the current configuration."""

    replica_prefix: str
    """Prefix of the replicas' records."""

    decode_configuration: Callable[[bytes], Result[SiteConfiguration, str]]
    """Decodes the configuration."""

    decode_replica: Callable[[str, bytes], Result[ReplicaRecord, str]]
    """Decodes one replica's record, given its key."""


@dataclass(slots=True)
class SiteView:
    """This host's view of its site."""

    records: SiteRecords
    mirror: Mirror
    clock: Clock
    configuration: SiteConfiguration | None = None
    """Current configuration; `None` until the first one is read."""

    configuration_since_ms: float = float("-inf")
    """Time at which the current configuration came into force on this host."""

    routes: RouteTable = field(default_factory=lambda: RouteTable(()))
    """Routes of the current configuration."""

    replicas: dict[str, ReplicaRecord] = field(default_factory=dict)
    """Replicas by id, draining ones included."""

    peer_addresses: dict[str, Address] = field(default_factory=dict)
    """Peer addresses of other hosts, by host name."""

    missing_since_outage: dict[str, float] = field(default_factory=dict)
    """Replicas whose records expired in a store outage or are older in the store's copy, with the
    time until which what this host knows of them is kept."""

    changed_ms: float = 0.0
    """Time of the last change to the replicas."""

    leaving: LeavingServers | None = None
    """Departure notices outside the records: from answers and from other hosts."""

    departed: DepartedReplicas = field(init=False)
    """Replicas whose record is gone."""

    _subscribers: list[Callable[[], None]] = field(default_factory=list)
    _leaving_subscribers: list[Callable[[Incarnation], None]] = field(default_factory=list)
    _gone_subscribers: list[Callable[[Incarnation], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the empty memory of departed replicas."""
        self.departed = create_departed_replicas(self.clock)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called after each change."""
        self._subscribers.append(callback)

    def subscribe_departures(
        self,
        note_leaving: Callable[[Incarnation], None],
        note_gone: Callable[[Incarnation], None],
    ) -> None:
        """Register callbacks for departures.

        Args:
            note_leaving: Called with each replica that begins to drain.
            note_gone: Called with each replica whose record is gone.
        """
        self._leaving_subscribers.append(note_leaving)
        self._gone_subscribers.append(note_gone)

    def replicas_of(self, service: str) -> list[ReplicaRecord]:
        """Return the replicas of a service that accept new work."""
        self._drop_expired()
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service and not replica.is_draining
        ]

    def has_announced_departure(self, incarnation: Incarnation) -> bool:
        """Return whether a replica has announced its departure, even if it is gone already."""
        replica = self.replicas.get(incarnation[0])
        if replica is not None and incarnation_of(replica) == incarnation:
            return replica.is_draining
        return self.departed.has_announced(incarnation)

    def find_last(self, replica_id: str) -> ReplicaRecord | None:
        """Return a replica's record, or the last one if it is gone: the replica may serve on."""
        return self.replicas.get(replica_id) or self.departed.find(replica_id)

    def note_leaving(self, replica: ReplicaRecord) -> None:
        """Record that a replica announced its own departure."""
        if self.leaving is not None:
            self.leaving.note_report(replica.replica_id, _boot_id(replica), leaving=True)

    def note_leaving_changed(self, replica_id: str) -> None:
        """Update a replica whose departure notices have changed."""
        known = self.replicas.get(replica_id)
        if known is None:
            return
        key = self.records.replica_prefix + replica_id
        if key in self.mirror.items:
            self.apply_keys({key})
            return
        # Its record has expired and the replica is kept for now; a new record would be applied as
        # usual.
        record = self.replicas[replica_id] = self._with_departure_notice(known)
        self._notify_leaving(known, record)
        self.changed_ms = self.clock.now_ms()
        self._notify_subscribers()

    def apply_keys(self, keys: set[str]) -> None:
        """Decode the mirror's changed keys."""
        for key in keys:
            if key == self.records.configuration_key:
                self._apply_configuration()
            elif key.startswith(self.records.replica_prefix):
                self._apply_replica(key)
            elif key.startswith(HOST_PREFIX):
                self._apply_host(key)
        self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        """Call all subscribers of this view."""
        for callback in self._subscribers:
            callback()

    def _notify_leaving(self, known: ReplicaRecord | None, record: ReplicaRecord) -> None:
        """Call the subscribers if a replica has begun to drain."""
        if not record.is_draining:
            return
        incarnation = incarnation_of(record)
        if known is not None and known.is_draining and incarnation_of(known) == incarnation:
            return
        for callback in self._leaving_subscribers:
            callback(incarnation)

    def _apply_configuration(self) -> None:
        """Apply a new configuration."""
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
        self.configuration_since_ms = self.clock.now_ms()
        _log.info(
            "A configuration is in force.",
            version=decoded.ok.version,
            revision=item.mod_revision,
            routes=len(decoded.ok.routes),
            age_ms=whole_ms(self.mirror.age_ms()),
            source=self.mirror.source,
        )

    def _apply_replica(self, key: str) -> None:
        """Apply a replica's new record, or its removal."""
        self.changed_ms = self.clock.now_ms()
        replica_id = key.removeprefix(self.records.replica_prefix)
        item = self.mirror.items.get(key)
        if item is None:
            self._remove_replica(replica_id)
            return
        decoded = self.records.decode_replica(key, item.value)
        if self.mirror.is_unsettled(key) and not (decoded.is_ok() and decoded.ok.is_draining):
            # The store's copy is older than what this host knows of the replica.
            self.missing_since_outage[replica_id] = self.mirror.unsettled_until_ms[key]
            return
        if decoded.is_error():
            _log.warning("A replica's record can't be used.", key=key, reason=decoded.error)
            self._forget_replica(replica_id)
            return
        self.missing_since_outage.pop(replica_id, None)
        known = self.replicas.get(replica_id)
        record = self.replicas[replica_id] = self._with_departure_notice(decoded.ok)
        self.departed.note_registered(record)
        if known is not None and incarnation_of(known) != incarnation_of(record):
            self._remember_departed(known)
        self._notify_leaving(known, record)
        if known is None or known.is_draining != record.is_draining:
            _log.info(
                "A replica is registered.",
                replica=replica_id,
                draining=record.is_draining,
                failure_domain=record.failure_domain,
                revision=item.mod_revision,
                mirror_revision=self.mirror.revision,
                source=self.mirror.source,
            )
        elif known.started_ms != record.started_ms:
            _log.info(
                "A replica has started again.",
                replica=replica_id,
                started_ms=record.started_ms,
                before_ms=known.started_ms,
                revision=item.mod_revision,
            )

    def _with_departure_notice(self, record: ReplicaRecord) -> ReplicaRecord:
        """Return a record, marked as draining if a departure notice exists for the replica."""
        if self.leaving is None:
            return record
        self.leaving.note_report(record.replica_id, _boot_id(record), leaving=False)
        is_draining = record.is_draining or self.leaving.is_leaving(record.replica_id)
        return replace(record, is_draining=is_draining)

    def _remove_replica(self, replica_id: str) -> None:
        """Remove a replica whose record is gone, or keep it for a while after a store outage."""
        now_ms = self.clock.now_ms()
        until_ms = self.mirror.outage_ended_ms + REREGISTRATION_GRACE_MS
        if replica_id in self.replicas and now_ms < until_ms:
            self.missing_since_outage[replica_id] = until_ms
            _log.info(
                "A replica's record expired in a store outage; it is kept.",
                replica=replica_id,
                left_ms=whole_ms(until_ms - now_ms),
                gap_ms=whole_ms(self.mirror.gap_ms),
                revision=self.mirror.revision,
            )
            return
        if self._forget_replica(replica_id):
            _log.info(
                "A replica is gone.",
                replica=replica_id,
                gap_ms=whole_ms(self.mirror.gap_ms),
                revision=self.mirror.revision,
            )

    def _remember_departed(self, replica: ReplicaRecord) -> None:
        """Remember a departed replica if it had announced its departure."""
        if replica.is_draining:
            self.departed.note_announced(incarnation_of(replica))

    def _forget_replica(self, replica_id: str) -> bool:
        """Move a replica to the departed ones; return whether it was known."""
        known = self.replicas.pop(replica_id, None)
        if known is None:
            return False
        self._remember_departed(known)
        self.departed.note_gone(known)
        for callback in self._gone_subscribers:
            callback(incarnation_of(known))
        return True

    def _drop_expired(self) -> None:
        """Remove replicas that did not register again in time."""
        now_ms = self.clock.now_ms()
        for replica_id, until_ms in list(self.missing_since_outage.items()):
            if now_ms < until_ms:
                continue
            del self.missing_since_outage[replica_id]
            key = self.records.replica_prefix + replica_id
            if key in self.mirror.items:
                self._apply_replica(key)
                continue
            self._forget_replica(replica_id)
            _log.info("A replica did not register again; it is gone.", replica=replica_id)

    def _apply_host(self, key: str) -> None:
        """Apply another host's address, or its removal."""
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
    """Return the boot id used in departure notices; empty if the start time is unknown."""
    return str(replica.started_ms) if replica.started_ms else ""


def create_site_view(records: SiteRecords, mirror: Mirror, clock: Clock) -> SiteView:
    """Return a view that follows a mirror."""
    view = SiteView(records, mirror, clock)
    mirror.subscribe(view.apply_keys)
    return view
