"""Tells the other hosts how much each rate-limited workspace asks of this one."""

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
"""Topic of demands."""

TELL_INTERVAL_MS: Final = 2_000.0
"""Shortest time between two tellings while hosts are few."""

FEW_HOSTS: Final = 16
"""Up to so many hosts tell at the shortest interval; more of them share the same rate of tellings,
since each telling reaches every host."""

TELL_TTL_MS: Final = 600_000.0
"""How long a demand is told to hosts that come later."""

SAME_DEMAND: Final = 0.05
"""Relative change of a demand that is not worth telling."""

FORGET_MS: Final = 600_000.0
"""How long the share of a host that is out of reach is kept for it: it may be cut off and serving."""

_log = get_log("admission")


def share_demand(
    rates: RateShares, peers: Peers, clock: Clock, background: BackgroundTasks
) -> None:
    """Have demands told and taken, for as long as the tasks run.

    Args:
        rates: This host's shares.
        peers: Spreads the demands.
        clock: Paces the tellings.
        background: Runs the telling.
    """

    def take(update: EntryUpdate) -> None:
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

    def forget_the_gone() -> None:
        for host, since_ms in list(gone_at_ms.items()):
            if clock.now_ms() - since_ms < FORGET_MS:
                continue
            del gone_at_ms[host]
            rates.forget_peer(host)

    async def tell() -> None:
        told: dict[str, float] = {}
        while True:
            crowd = max(1.0, len(peers.live_members()) / FEW_HOSTS)
            await clock.sleep_ms(TELL_INTERVAL_MS * crowd)
            forget_the_gone()
            # A host that leaves gives its share back at once.
            stays = peers.own.state is MemberState.ALIVE
            demands = rates.demands() if stays else {}
            if not _differs(demands, told):
                continue
            octets: bytes = msgpack.packb(demands)
            if len(octets) > MAX_VALUE_BYTES:
                _log.warning("Too many workspaces have demand to tell.", workspaces=len(demands))
                continue
            told = demands
            peers.publish(TOPIC, "rates", octets, TELL_TTL_MS, urgent=False)

    peers.subscribe(TOPIC, take)
    peers.subscribe_members(note_member)
    background.start(tell(), "demand")


def _differs(demands: dict[str, float], told: dict[str, float]) -> bool:
    """Whether some demand has changed by more than is worth passing over."""
    for workspace in demands.keys() | told.keys():
        now, before = demands.get(workspace, 0.0), told.get(workspace, 0.0)
        if abs(now - before) > SAME_DEMAND * max(now, before):
            return True
    return False
