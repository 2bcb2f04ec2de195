"""Publishes the demand of each rate-limited workspace on this host to the other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgpack
import msgspec

from pimentodale.logs import get_log
from pimentodale.peers.messages import MAX_VALUE_BYTES, MemberState

if TYPE_CHECKING:
    from pimentodale.admission.rate_shares import RateShares
    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.messages import MemberRecord
    from pimentodale.peers.peers import Peers

TOPIC: Final = "demand"
"""Topic of the published demands."""

MIN_PUBLISH_INTERVAL_MS: Final = 2_000.0
"""Minimum time between two updates with up to `HOSTS_AT_MIN_INTERVAL` hosts."""

HOSTS_AT_MIN_INTERVAL: Final = 16
"""Number of hosts up to which each publishes at the minimum interval. With more hosts the interval
grows, so that the total rate stays the same: each update reaches every host."""

DEMAND_TTL_MS: Final = 600_000.0
"""How long a published demand is passed on to hosts that join later."""

MIN_DEMAND_CHANGE: Final = 0.05
"""Relative change of a demand up to which no update is published."""

SHARE_RETENTION_MS: Final = 600_000.0
"""How long the share of an unreachable host is reserved; it may be partitioned but serving."""

_log = get_log("admission")


def share_demand(
    rates: RateShares, peers: Peers, clock: Clock, background: BackgroundTasks
) -> None:
    """Publish this host's demands and apply those of its peers, as long as `background` runs.

    Args:
        rates: This host's rate shares.
        peers: Broadcasts the demands.
        clock: Time source.
        background: Runs the publishing task.
    """

    def receive_demands(update: EntryUpdate) -> None:
        try:
            demands = msgspec.convert(msgpack.unpackb(update.value), dict[str, float])
        except (ValueError, msgpack.UnpackException, msgspec.ValidationError) as error:
            _log.warning("A peer's demand is malformed.", host=update.owner, problem=str(error))
            return
        rates.set_peer_demands(update.owner, demands)

    gone_at_ms: dict[str, float] = {}

    def note_member(member: MemberRecord) -> None:
        if member.state is not MemberState.GONE:
            gone_at_ms.pop(member.host, None)
            return
        gone_at_ms.setdefault(member.host, clock.now_ms())

    def expire_gone_peers() -> None:
        for host, since_ms in list(gone_at_ms.items()):
            if clock.now_ms() - since_ms < SHARE_RETENTION_MS:
                continue
            del gone_at_ms[host]
            rates.forget_peer(host)

    async def publish_demands() -> None:
        published: dict[str, float] = {}
        while True:
            scale = max(1.0, len(peers.live_members()) / HOSTS_AT_MIN_INTERVAL)
            await clock.sleep_ms(MIN_PUBLISH_INTERVAL_MS * scale)
            expire_gone_peers()
            # A leaving host releases its share immediately.
            is_staying = peers.own.state is MemberState.ALIVE
            demands = rates.demands() if is_staying else {}
            if not _differs(demands, published):
                continue
            packed: bytes = msgpack.packb(demands)
            if len(packed) > MAX_VALUE_BYTES:
                _log.warning(
                    "The demands of all workspaces exceed the message size limit.",
                    workspaces=len(demands),
                )
                continue
            published = demands
            peers.publish(TOPIC, "rates", packed, DEMAND_TTL_MS, urgent=False)

    peers.subscribe(TOPIC, receive_demands)
    peers.subscribe_members(note_member)
    background.start(publish_demands(), "demand")


def _differs(demands: dict[str, float], published: dict[str, float]) -> bool:
    """Whether some demand has changed by more than `MIN_DEMAND_CHANGE`."""
    for workspace in demands.keys() | published.keys():
        now, before = demands.get(workspace, 0.0), published.get(workspace, 0.0)
        if abs(now - before) > MIN_DEMAND_CHANGE * max(now, before):
            return True
    return False
