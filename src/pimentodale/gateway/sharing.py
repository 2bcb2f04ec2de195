"""What gateways tell each other: loads, replicas that are down, crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from zlib import crc32

import msgspec

from pimentodale.forwarding.loads import TELL_INTERVAL_MS, TOLD_TTL_MS, ReplicaLoad
from pimentodale.forwarding.poison import STRIKE_RETENTION_MS
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentodale.clock import Clock
    from pimentodale.forwarding.loads import LoadBoard
    from pimentodale.forwarding.poison import PoisonStrikes
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.peers import Peers
    from pimentodale.site.beliefs import Incarnation, ReplicaBeliefs
    from pimentodale.site.view import SiteView

LOAD_TOPIC: Final = "load"
DOWN_TOPIC: Final = "replica-down"
CRASH_TOPIC: Final = "crash"

DOWN_TTL_MS: Final = 3_000.0
"""How long the word that a replica is down travels; each host probes for itself."""

_log = get_log("sharing")
TELL_PER_HOST_MS: Final = 10.0
"""Least interval for each host of the site, so that their words together stay as many a second."""

TOLD_INTERVALS: Final = 3.0
"""Intervals for which a host's word holds."""

KV_UNIT: Final = 1_000.0
"""Tokens x layers that a told load counts by."""

_loads = msgspec.msgpack.Decoder(dict[int, tuple[int, int, int]])
_down = msgspec.msgpack.Decoder(tuple[str, int, str])
_crash = msgspec.msgpack.Decoder(tuple[str, str])


def pack_loads(loads: dict[str, ReplicaLoad]) -> bytes:
    """Encode loads in a few bytes a replica, named by a checksum of its id."""
    return msgspec.msgpack.encode(
        {
            crc32(replica_id.encode()): (load.streams, load.headed, round(load.kv_in_use / KV_UNIT))
            for replica_id, load in loads.items()
        }
    )


def unpack_loads(value: bytes, replica_ids: Iterable[str]) -> dict[str, ReplicaLoad]:
    """Decode loads; those of replicas that this host doesn't know are left out.

    Raises:
        msgspec.MsgspecError: If the bytes are no loads.
    """
    told = _loads.decode(value)
    loads = {}
    for replica_id in replica_ids:
        load = told.get(crc32(replica_id.encode()))
        if load is not None:
            loads[replica_id] = ReplicaLoad(load[0], load[1], load[2] * KV_UNIT)
    return loads


async def share_loads(board: LoadBoard, view: SiteView, peers: Peers, clock: Clock) -> None:
    """Tell the other hosts this host's loads, for ever, and take theirs."""

    def take(update: EntryUpdate) -> None:
        try:
            ttl_ms = max(TOLD_TTL_MS, TOLD_INTERVALS * TELL_PER_HOST_MS * len(peers.live_members()))
            board.take_told(update.owner, unpack_loads(update.value, view.replicas), ttl_ms)
        except msgspec.MsgspecError as error:
            _log.warning("A host's loads can't be read.", host=update.owner, problem=str(error))

    peers.subscribe(LOAD_TOPIC, take)
    told: bytes = b""
    told_ms = 0.0
    while True:
        hosts = len(peers.live_members())
        interval_ms = max(TELL_INTERVAL_MS, TELL_PER_HOST_MS * hosts)
        await clock.sleep_ms(interval_ms)
        value = pack_loads(board.own)
        now_ms = clock.now_ms()
        ttl_ms = max(TOLD_TTL_MS, TOLD_INTERVALS * interval_ms)
        if value == told and now_ms - told_ms < ttl_ms / 2:
            continue
        told, told_ms = value, now_ms
        peers.publish(LOAD_TOPIC, "", value, ttl_ms)


def share_beliefs(beliefs: ReplicaBeliefs, peers: Peers) -> None:
    """Have hosts tell each other of replicas that are down."""

    def tell(incarnation: Incarnation, reason: str) -> None:
        value = msgspec.msgpack.encode((*incarnation, reason))
        peers.publish(DOWN_TOPIC, incarnation[0], value, DOWN_TTL_MS)

    def take(update: EntryUpdate) -> None:
        try:
            replica_id, started_ms, reason = _down.decode(update.value)
        except msgspec.MsgspecError as error:
            _log.warning("A host's word can't be read.", host=update.owner, problem=str(error))
            return
        beliefs.doubt((replica_id, started_ms), reason, by_peer=update.owner)

    beliefs.tell = tell
    peers.subscribe(DOWN_TOPIC, take)


def share_crashes(strikes: PoisonStrikes, peers: Peers) -> None:
    """Have hosts tell each other which requests ran when a replica crashed."""

    def tell(fingerprint: str, crash: str) -> None:
        value = msgspec.msgpack.encode((fingerprint, crash))
        peers.publish(CRASH_TOPIC, f"{fingerprint}/{crash}"[:120], value, STRIKE_RETENTION_MS)

    def take(update: EntryUpdate) -> None:
        try:
            fingerprint, crash = _crash.decode(update.value)
        except msgspec.MsgspecError as error:
            _log.warning("A host's word can't be read.", host=update.owner, problem=str(error))
            return
        strikes.strike(fingerprint, crash, by_peer=True)

    strikes.tell = tell
    peers.subscribe(CRASH_TOPIC, take)
