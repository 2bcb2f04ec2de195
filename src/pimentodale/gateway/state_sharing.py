"""Shares state between gateways: down or slow replicas, crashes and the placement lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.logs import get_log
from pimentodale.quarantine.crash_sharing import CRASH_PREFIX, merge_crashes
from pimentodale.site.slow_replicas import REPORT_TTL_MS
from pimentodale.steward.lease import LeaseHandover

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.mirror.mirror import Mirror
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.peers import Peers
    from pimentodale.placement.placer import Placer
    from pimentodale.quarantine.crash_record import CrashRecord
    from pimentodale.site.replica_health import Incarnation, ReplicaHealth
    from pimentodale.site.slow_replicas import SlowReplicas

DOWN_TOPIC: Final = "replica-down"
UP_TOPIC: Final = "replica-up"
PACE_TOPIC: Final = "replica-pace"
LEASE_TOPIC: Final = "placement-lease"

DOWN_TTL_MS: Final = 3_000.0
"""Lifetime of a broadcast that a replica is down or up again; each host then probes for itself."""

LEASE_HANDOVER_TTL_MS: Final = 3_000.0
"""Lifetime of a broadcast lease handover; it reaches all hosts within about 100 ms."""

_log = get_log("sharing")

_health_decoder = msgspec.msgpack.Decoder(tuple[str, int, str])
_pace_decoder = msgspec.msgpack.Decoder(tuple[str, int, float])
_handover_decoder = msgspec.msgpack.Decoder(tuple[str, LeaseHandover])


def share_replica_health(replica_health: ReplicaHealth, peers: Peers) -> None:
    """Broadcast replicas that go down or come up again, and apply the broadcasts of peers."""

    def publish_down(incarnation: Incarnation, reason: str) -> None:
        value = msgspec.msgpack.encode((*incarnation, reason))
        peers.publish(DOWN_TOPIC, incarnation[0], value, DOWN_TTL_MS)

    def receive_down(update: EntryUpdate) -> None:
        try:
            replica_id, started_ms, reason = _health_decoder.decode(update.value)
        except UNREADABLE as error:
            _log.warning(
                "A message from a peer can't be decoded.", host=update.owner, problem=str(error)
            )
            return
        replica_health.mark_suspect((replica_id, started_ms), reason, by_peer=update.owner)

    def publish_up(incarnation: Incarnation) -> None:
        value = msgspec.msgpack.encode((*incarnation, ""))
        peers.publish(UP_TOPIC, incarnation[0], value, DOWN_TTL_MS)

    def receive_up(update: EntryUpdate) -> None:
        try:
            replica_id, started_ms, _ = _health_decoder.decode(update.value)
        except UNREADABLE as error:
            _log.warning(
                "A message from a peer can't be decoded.", host=update.owner, problem=str(error)
            )
            return
        replica_health.probe_soon((replica_id, started_ms))

    replica_health.broadcast = publish_down
    replica_health.broadcast_up = publish_up
    replica_health.count_hosts = lambda: len(peers.live_members())
    peers.subscribe(DOWN_TOPIC, receive_down)
    peers.subscribe(UP_TOPIC, receive_up)


def share_slow_replicas(slow_replicas: SlowReplicas, peers: Peers) -> None:
    """Broadcast changes in the pace of slow replicas, and apply the broadcasts of peers."""

    def publish_pace(incarnation: Incarnation, pace: float) -> None:
        value = msgspec.msgpack.encode((*incarnation, pace))
        peers.publish(PACE_TOPIC, incarnation[0], value, REPORT_TTL_MS)

    def receive_pace(update: EntryUpdate) -> None:
        try:
            replica_id, started_ms, pace = _pace_decoder.decode(update.value)
        except UNREADABLE as error:
            _log.warning(
                "A message from a peer can't be decoded.", host=update.owner, problem=str(error)
            )
            return
        slow_replicas.note_peer_report((replica_id, started_ms), pace, update.owner)

    slow_replicas.broadcast = publish_pace
    peers.subscribe(PACE_TOPIC, receive_pace)


def find_stored_crashes(mirror: Mirror, fingerprint: str) -> list[bytes]:
    """Return the crash entries of a request in the mirror of the store, one for each host that wrote it."""
    prefix = f"{CRASH_PREFIX}{fingerprint}/"
    return [item.value for key, item in mirror.items.items() if key.startswith(prefix)]


def follow_stored_crashes(record: CrashRecord, mirror: Mirror) -> None:
    """Record crashes found in the mirror of the store, in case no peer has reported them."""

    def merge_stored(keys: set[str]) -> None:
        for key in keys:
            item = mirror.items.get(key) if key.startswith(CRASH_PREFIX) else None
            if item is not None:
                merge_crashes(record, item.value, key)

    mirror.subscribe(merge_stored)


def share_lease(placer: Placer, peers: Peers, rank_hosts: Callable[[], list[str]]) -> None:
    """Hand the placement lease to the host next in rank when this host stops, and accept handovers.

    Args:
        placer: This host's placer.
        peers: Connection to the other hosts.
        rank_hosts: Returns the live hosts in order of rank.
    """

    def publish_handover(handover: LeaseHandover) -> bool:
        others = [host for host in rank_hosts() if host != peers.own.host]
        if not others:
            return False
        value = msgspec.msgpack.encode((others[0], handover))
        peers.publish(LEASE_TOPIC, peers.own.host, value, LEASE_HANDOVER_TTL_MS)
        return True

    def receive_handover(update: EntryUpdate) -> None:
        try:
            receiver, handover = _handover_decoder.decode(update.value)
        except UNREADABLE as error:
            _log.warning(
                "A message from a peer can't be decoded.", host=update.owner, problem=str(error)
            )
            return
        if receiver == peers.own.host:
            placer.take_over(handover)

    placer.hand_over = publish_handover
    peers.subscribe(LEASE_TOPIC, receive_handover)
