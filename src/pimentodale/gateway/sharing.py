"""What gateways tell each other at once: replicas that are down or slow, crashes, a lease handed on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

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
"""How long the word that a replica is down travels; each host probes for itself."""

LEASE_HANDED_TTL_MS: Final = 3_000.0
"""How long a handed lease travels; hosts hear of it within some 100 ms."""

_log = get_log("sharing")

_down = msgspec.msgpack.Decoder(tuple[str, int, str])
_pace = msgspec.msgpack.Decoder(tuple[str, int, float])
_handed = msgspec.msgpack.Decoder(tuple[str, LeaseHandover])


def share_replica_health(replica_health: ReplicaHealth, peers: Peers) -> None:
    """Have hosts tell each other of replicas that are down, and of those that answer again."""

    def broadcast(incarnation: Incarnation, reason: str) -> None:
        value = msgspec.msgpack.encode((*incarnation, reason))
        peers.publish(DOWN_TOPIC, incarnation[0], value, DOWN_TTL_MS)

    def take(update: EntryUpdate) -> None:
        try:
            replica_id, started_ms, reason = _down.decode(update.value)
        except msgspec.MsgspecError as error:
            _log.warning("A host's word can't be read.", host=update.owner, problem=str(error))
            return
        replica_health.mark_suspect((replica_id, started_ms), reason, by_peer=update.owner)

    def broadcast_up(incarnation: Incarnation) -> None:
        value = msgspec.msgpack.encode((*incarnation, ""))
        peers.publish(UP_TOPIC, incarnation[0], value, DOWN_TTL_MS)

    def take_up(update: EntryUpdate) -> None:
        try:
            replica_id, started_ms, _ = _down.decode(update.value)
        except msgspec.MsgspecError as error:
            _log.warning("A host's word can't be read.", host=update.owner, problem=str(error))
            return
        replica_health.probe_soon((replica_id, started_ms))

    replica_health.broadcast = broadcast
    replica_health.broadcast_up = broadcast_up
    replica_health.count_hosts = lambda: len(peers.live_members())
    peers.subscribe(DOWN_TOPIC, take)
    peers.subscribe(UP_TOPIC, take_up)


def share_slow_replicas(slow_replicas: SlowReplicas, peers: Peers) -> None:
    """Have hosts tell each other of replicas that run slowly, and of those that no longer do."""

    def broadcast(incarnation: Incarnation, pace: float) -> None:
        value = msgspec.msgpack.encode((*incarnation, pace))
        peers.publish(PACE_TOPIC, incarnation[0], value, REPORT_TTL_MS)

    def take(update: EntryUpdate) -> None:
        try:
            replica_id, started_ms, pace = _pace.decode(update.value)
        except msgspec.MsgspecError as error:
            _log.warning("A host's word can't be read.", host=update.owner, problem=str(error))
            return
        slow_replicas.note_peer_report((replica_id, started_ms), pace, update.owner)

    slow_replicas.broadcast = broadcast
    peers.subscribe(PACE_TOPIC, take)


def follow_stored_crashes(record: CrashRecord, mirror: Mirror) -> None:
    """Have a host learn from the store of crashes that no peer has told it of."""

    def take(keys: set[str]) -> None:
        for key in keys:
            item = mirror.items.get(key) if key.startswith(CRASH_PREFIX) else None
            if item is not None:
                merge_crashes(record, item.value, key)

    mirror.subscribe(take)


def share_lease(placer: Placer, peers: Peers, rank_hosts: Callable[[], list[str]]) -> None:
    """Have a host that stops hand the lease of placement to the next in rank.

    Args:
        placer: This host's placer.
        peers: The other hosts.
        rank_hosts: Returns the live hosts, first in rank first.
    """

    def broadcast(handed: LeaseHandover) -> bool:
        others = [host for host in rank_hosts() if host != peers.own.host]
        if not others:
            return False
        value = msgspec.msgpack.encode((others[0], handed))
        peers.publish(LEASE_TOPIC, peers.own.host, value, LEASE_HANDED_TTL_MS)
        return True

    def take(update: EntryUpdate) -> None:
        try:
            receiver, handed = _handed.decode(update.value)
        except msgspec.MsgspecError as error:
            _log.warning("A host's word can't be read.", host=update.owner, problem=str(error))
            return
        if receiver == peers.own.host:
            placer.take_over(handed)

    placer.hand_over = broadcast
    peers.subscribe(LEASE_TOPIC, take)
