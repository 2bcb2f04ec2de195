"""Concurrency limits of routes, and the streams that are counted against them.

A token's latency is that of its whole route, not of one engine. Limits are therefore kept per
route: those of routes through a congested engine decrease, and the others don't.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clock import MS_PER_S
from pimentodale.routing.concurrency import (
    ConcurrencyLimit,
    LimitSettings,
    create_concurrency_limit,
)
from pimentodale.routing.routes import Route, RouteOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.clock import Clock
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.route_plan import PlannedRoute

ROUTE_LIMITS: Final = LimitSettings(
    congested_ratio=4.0, decrease=0.9, probe=0.7, window_ms=60_000.0
)
"""Limit parameters of routes.

Equally fast stages keep each other busy only if each has a queue. At full load, a latency of several
times the one without a queue is therefore not yet congestion.
"""

NARROW_ROUTE_LIMITS: Final = LimitSettings(
    congested_ratio=1.6, decrease=0.9, probe=0.7, window_ms=60_000.0
)
"""Limit parameters of routes that a link limits to far less than their engines' rates.

Two streams keep such a link busy. More would only occupy engine slots that other routes need.
"""

NARROW_ROUTE_MAX_STREAMS: Final = 0.5
"""A route is narrow if this many streams, or fewer, use its planned rate at default latency."""

_DEFAULT_TOKEN_LATENCY_MS: Final = 60.0
"""Assumed latency between tokens of a route without measurements."""

_TOKENS_PER_SAMPLE: Final = 8
"""Tokens per latency sample; a single token's latency depends on its timing in the batch step."""


_RESERVED_SHARE: Final = 0.06
"""Fraction of an engine's slots reserved for workspaces that use less than their share.

At least one slot of an engine with 17 or more is reserved: with all fast engines full, only slow
ones would be left for these workspaces.
"""


class RouteUse:
    """One stream on a route, counted against the route's limit until it ends."""

    __slots__ = (
        "_clock",
        "_ended",
        "_limit",
        "_route_limits",
        "_sample_started_ms",
        "_tokens",
        "route",
    )

    route: Route
    """The route."""

    def __init__(
        self, route: Route, route_limits: RouteLimits, clock: Clock, limit: ConcurrencyLimit
    ) -> None:
        self.route = route
        self._route_limits = route_limits
        self._clock = clock
        self._limit = limit
        self._tokens = -1
        self._sample_started_ms = 0.0
        self._ended = False

    def note_token(self) -> None:
        """Count a token and sample its latency.

        The time to the first token is left out, as it includes the prefill.
        """
        self._tokens += 1
        if self._tokens == 0:
            self._sample_started_ms = self._clock.now_ms()
            return
        if self._tokens % _TOKENS_PER_SAMPLE:
            return
        now_ms = self._clock.now_ms()
        self._limit.observe((now_ms - self._sample_started_ms) / _TOKENS_PER_SAMPLE)
        self._sample_started_ms = now_ms

    def end(self, outcome: RouteOutcome) -> None:
        """Uncount the stream; only the first call has an effect."""
        if self._ended:
            return
        self._ended = True
        self._route_limits.ended(self.route, outcome)


class RouteLimits:
    """Concurrency limits by route."""

    __slots__ = ("_clock", "_fleet", "_limits")

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._limits: dict[Route, ConcurrencyLimit] = {}

    def limit_of(self, route: Route) -> ConcurrencyLimit:
        """Return a route's limit; create the smallest one for an unknown route."""
        limit = self._limits.get(route)
        return self._create_limit(route, 0.0) if limit is None else limit

    def apply_plan(self, routes: Sequence[PlannedRoute]) -> None:
        """Create a limit that fits its planned rate for each planned route without one."""
        for planned in routes:
            if planned.route not in self._limits:
                self._create_limit(planned.route, planned.tokens_per_s)

    def _create_limit(self, route: Route, tokens_per_s: float) -> ConcurrencyLimit:
        """Create a limit that starts at the concurrency of the planned rate at default latency."""
        streams = tokens_per_s * _DEFAULT_TOKEN_LATENCY_MS / MS_PER_S
        base = NARROW_ROUTE_LIMITS if streams <= NARROW_ROUTE_MAX_STREAMS else ROUTE_LIMITS
        settings = msgspec.structs.replace(base, initial=max(1.0, streams))
        limit = self._limits[route] = create_concurrency_limit(self._clock, settings)
        return limit

    def free_share(self, route: Route) -> float:
        """Return the free fraction of a route: of its limit or its fullest engine, if that is less.

        Slots reserved by `_RESERVED_SHARE` count as taken.
        """
        smallest = self.limit_of(route).free_share()
        for hop in route.hops:
            smallest = min(smallest, self._fleet.free_share(hop.replica) - _RESERVED_SHARE)
        return smallest

    def baseline_latency_ms(self, route: Route) -> float:
        """Return a route's latency between tokens without a queue, or the default if unknown."""
        limit = self._limits.get(route)
        seen_ms = None if limit is None else limit.baseline_latency_ms
        return _DEFAULT_TOKEN_LATENCY_MS if seen_ms is None else seen_ms

    def use(self, route: Route) -> RouteUse:
        """Count a stream that starts on a route."""
        limit = self.limit_of(route)
        limit.started()
        for hop in route.hops:
            status = self._fleet.status(hop.replica)
            if status is not None:
                status.in_flight += 1
        return RouteUse(route, self, self._clock, limit)

    def ended(self, route: Route, outcome: RouteOutcome) -> None:
        """Uncount a stream that `use` counted."""
        limit = self.limit_of(route)
        limit.ended()
        if outcome is RouteOutcome.BUSY:
            limit.refused()
        for hop in route.hops:
            status = self._fleet.status(hop.replica)
            if status is not None:
                status.in_flight = max(0, status.in_flight - 1)

    def forget_unused(self, kept: set[Route]) -> None:
        """Delete the limits of routes that carry no streams and are not in `kept`."""
        for route, limit in list(self._limits.items()):
            if route not in kept and limit.in_flight == 0:
                del self._limits[route]


def create_route_limits(fleet: Fleet, clock: Clock) -> RouteLimits:
    """Build an empty set of route limits for one host."""
    return RouteLimits(fleet, clock)
