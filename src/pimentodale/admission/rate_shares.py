"""A workspace's rate over the whole site, split among the entry hosts by demand.

Each host reports the demand that it sees, and takes the part of the rate that its demand is of the
sum. It counts its own demand as last reported, so that hosts which know the same reports never take
more than the rate together. A host that is not heard any more keeps the demand last known of it: it may be cut off rather
than gone, and be serving by the same figures on the other side.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentodale.clock import Clock

DEMAND_WINDOW_MS: Final = 2_000.0
"""Time constant over which demand is averaged."""

BURST_MS: Final = 1_000.0
"""Time for which an unused share is kept for later."""

_IDLE_DEMAND_PART: Final = 0.02
"""Part of a workspace's rate that a host without demand counts as asking for."""

_FORGOTTEN_DEMAND: Final = 1e-3
"""Requests a second below which a demand isn't reported."""


class RateRefusal(msgspec.Struct, frozen=True):
    """The workspace is over its rate at this host."""

    retry_after_ms: float
    """When the next request fits."""


class _Demand:
    """Requests a second of one workspace, averaged exponentially."""

    __slots__ = ("at_ms", "rate_per_s")

    def __init__(self, now_ms: float) -> None:
        self.rate_per_s = 0.0
        self.at_ms = now_ms

    def decay(self, now_ms: float) -> float:
        """Bring the average up to now and return it."""
        self.rate_per_s *= math.exp((self.at_ms - now_ms) / DEMAND_WINDOW_MS)
        self.at_ms = now_ms
        return self.rate_per_s


class _Bucket:
    """Tokens of one workspace at this host."""

    __slots__ = ("at_ms", "tokens")

    def __init__(self, now_ms: float) -> None:
        self.tokens = 1.0
        self.at_ms = now_ms


class RateShares:
    """This host's share of each workspace's rate."""

    __slots__ = ("_buckets", "_clock", "_own", "_own_host", "_peers", "_reported")

    def __init__(self, clock: Clock, own_host: str) -> None:
        self._clock = clock
        self._own_host = own_host
        self._own: dict[str, _Demand] = {}
        self._reported: dict[str, float] = {}
        self._peers: dict[str, dict[str, float]] = {}
        self._buckets: dict[str, _Bucket] = {}

    def try_take(self, workspace: str, rate_per_s: float | None) -> RateRefusal | None:
        """Take one request out of this host's share; refused ones count as demand too.

        Args:
            workspace: Whose request it is.
            rate_per_s: The workspace's rate over the whole site; `None` for no limit.

        Returns:
            `None` if it fits, else when the next one does.
        """
        if rate_per_s is None:
            return None
        now_ms = self._clock.now_ms()
        self._note_demand(workspace, now_ms)
        share_per_ms = self.share_per_s(workspace, rate_per_s) / 1000.0
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(now_ms)
        largest = max(1.0, share_per_ms * BURST_MS)
        bucket.tokens = min(largest, bucket.tokens + (now_ms - bucket.at_ms) * share_per_ms)
        bucket.at_ms = now_ms
        if bucket.tokens < 1.0:
            return RateRefusal((1.0 - bucket.tokens) / share_per_ms)
        bucket.tokens -= 1.0
        return None

    def share_per_s(self, workspace: str, rate_per_s: float) -> float:
        """Return this host's part of a workspace's rate."""
        idle_per_s = rate_per_s * _IDLE_DEMAND_PART
        own_per_s = self._reported.get(workspace, 0.0) + idle_per_s
        sum_per_s = own_per_s
        for demands in self._peers.values():
            sum_per_s += demands.get(workspace, 0.0) + idle_per_s
        return rate_per_s * own_per_s / sum_per_s

    def demands(self) -> dict[str, float]:
        """Return this host's demand by workspace, in requests a second, to tell every peer."""
        found: dict[str, float] = {}
        for workspace in list(self._own):
            demand_per_s = self._own_per_s(workspace)
            if demand_per_s < _FORGOTTEN_DEMAND:
                del self._own[workspace]
                self._buckets.pop(workspace, None)
                continue
            found[workspace] = demand_per_s
        self._reported = found
        return dict(found)

    def set_peer_demands(self, host: str, demands: Mapping[str, float]) -> None:
        """Take the whole of a peer's demands; they hold until its next report.

        Args:
            host: The peer.
            demands: Its requests a second by workspace.
        """
        if host != self._own_host:
            self._peers[host] = dict(demands)

    def forget_peer(self, host: str) -> None:
        """Give a peer's share to the others; only for one that has stopped for certain."""
        self._peers.pop(host, None)

    def _own_per_s(self, workspace: str) -> float:
        """Return this host's averaged demand."""
        demand = self._own.get(workspace)
        return 0.0 if demand is None else demand.decay(self._clock.now_ms())

    def _note_demand(self, workspace: str, now_ms: float) -> None:
        """Count one request."""
        demand = self._own.get(workspace)
        if demand is None:
            demand = self._own[workspace] = _Demand(now_ms)
        demand.decay(now_ms)
        demand.rate_per_s += 1000.0 / DEMAND_WINDOW_MS


def create_rate_shares(clock: Clock, own_host: str) -> RateShares:
    """Build the shares of one host, without peers yet."""
    return RateShares(clock, own_host)
