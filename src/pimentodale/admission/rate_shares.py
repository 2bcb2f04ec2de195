"""Splits each workspace's site-wide rate limit among the entry hosts in proportion to demand.

Each host reports the demand that it sees and takes a part of the rate equal to its part of the
total demand. It uses its own demand as last reported, so that hosts with the same reports never
exceed the rate together. The last known demand of a host that stops reporting is kept: it may be on
the other side of a network partition and still be serving by the same figures.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentodale.clock import Clock

DEMAND_WINDOW_MS: Final = 2_000.0
"""Time constant of the average demand."""

BURST_MS: Final = 1_000.0
"""Time for which an unused share accumulates; it bounds the size of a burst."""

_IDLE_DEMAND_FRACTION: Final = 0.02
"""Fraction of a workspace's rate that is added to the demand of every host, so that a host without
demand still has a share."""

_MIN_REPORTED_DEMAND: Final = 1e-3
"""Requests per second below which a demand is not reported."""


class RateRefusal(msgspec.Struct, frozen=True):
    """The workspace exceeds its rate at this host."""

    retry_after_ms: float
    """Time until the next request is allowed."""


class _Demand:
    """Exponential moving average of one workspace's requests per second."""

    __slots__ = ("at_ms", "rate_per_s")

    def __init__(self, now_ms: float) -> None:
        self.rate_per_s = 0.0
        self.at_ms = now_ms

    def decay(self, now_ms: float) -> float:
        """Decay the average up to now and return it."""
        self.rate_per_s *= math.exp((self.at_ms - now_ms) / DEMAND_WINDOW_MS)
        self.at_ms = now_ms
        return self.rate_per_s


class _TokenBucket:
    """Token bucket of one workspace at this host."""

    __slots__ = ("at_ms", "tokens")

    def __init__(self, now_ms: float) -> None:
        self.tokens = 1.0
        self.at_ms = now_ms


class RateShares:
    """This host's share of each workspace's rate."""

    __slots__ = (
        "_buckets",
        "_clock",
        "_own_demands",
        "_own_host",
        "_peer_demands",
        "_reported_demands",
    )

    def __init__(self, clock: Clock, own_host: str) -> None:
        self._clock = clock
        self._own_host = own_host
        self._own_demands: dict[str, _Demand] = {}
        self._reported_demands: dict[str, float] = {}
        self._peer_demands: dict[str, dict[str, float]] = {}
        self._buckets: dict[str, _TokenBucket] = {}

    def try_take(self, workspace: str, rate_per_s: float | None) -> RateRefusal | None:
        """Take one request from this host's share; rejected requests count as demand too.

        Args:
            workspace: Workspace that the request belongs to.
            rate_per_s: The workspace's site-wide rate limit; `None` for no limit.

        Returns:
            `None` if the request is allowed, else the time until the next one is.
        """
        if rate_per_s is None:
            return None
        now_ms = self._clock.now_ms()
        self._note_demand(workspace, now_ms)
        share_per_ms = self.share_per_s(workspace, rate_per_s) / 1000.0
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _TokenBucket(now_ms)
        largest = max(1.0, share_per_ms * BURST_MS)
        bucket.tokens = min(largest, bucket.tokens + (now_ms - bucket.at_ms) * share_per_ms)
        bucket.at_ms = now_ms
        if bucket.tokens < 1.0:
            return RateRefusal((1.0 - bucket.tokens) / share_per_ms)
        bucket.tokens -= 1.0
        return None

    def share_per_s(self, workspace: str, rate_per_s: float) -> float:
        """Return this host's share of a workspace's rate."""
        idle_per_s = rate_per_s * _IDLE_DEMAND_FRACTION
        own_per_s = self._reported_demands.get(workspace, 0.0) + idle_per_s
        sum_per_s = own_per_s
        for demands in self._peer_demands.values():
            sum_per_s += demands.get(workspace, 0.0) + idle_per_s
        return rate_per_s * own_per_s / sum_per_s

    def demands(self) -> dict[str, float]:
        """Return this host's requests per second by workspace, to be sent to every peer."""
        found: dict[str, float] = {}
        for workspace in list(self._own_demands):
            demand_per_s = self._own_per_s(workspace)
            if demand_per_s < _MIN_REPORTED_DEMAND:
                del self._own_demands[workspace]
                self._buckets.pop(workspace, None)
                continue
            found[workspace] = demand_per_s
        self._reported_demands = found
        return dict(found)

    def set_peer_demands(self, host: str, demands: Mapping[str, float]) -> None:
        """Replace all demands of a peer; they are valid until its next report.

        Args:
            host: The peer.
            demands: Its requests per second by workspace.
        """
        if host != self._own_host:
            self._peer_demands[host] = dict(demands)

    def forget_peer(self, host: str) -> None:
        """Give a peer's share to the others; only for a peer that has certainly stopped."""
        self._peer_demands.pop(host, None)

    def _own_per_s(self, workspace: str) -> float:
        """Return this host's average demand."""
        demand = self._own_demands.get(workspace)
        return 0.0 if demand is None else demand.decay(self._clock.now_ms())

    def _note_demand(self, workspace: str, now_ms: float) -> None:
        """Count one request."""
        demand = self._own_demands.get(workspace)
        if demand is None:
            demand = self._own_demands[workspace] = _Demand(now_ms)
        demand.decay(now_ms)
        demand.rate_per_s += 1000.0 / DEMAND_WINDOW_MS


def create_rate_shares(clock: Clock, own_host: str) -> RateShares:
    """Create the shares of one host, without any peers."""
    return RateShares(clock, own_host)
