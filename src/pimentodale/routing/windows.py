"""How many streams each route carries at once, and the streams that are counted on it.

A token's latency tells of its whole route, not of one engine. So the limit belongs to the route: the
routes through a congested engine shrink, and the others don't.
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
"""How the limits of routes move. Stages that are equally fast keep each other busy only with a queue
at each, so a multiple of the latency without any queue is still normal at full load."""

NARROW_ROUTE_LIMITS: Final = LimitSettings(
    congested_ratio=1.6, decrease=0.9, probe=0.7, window_ms=60_000.0
)
"""Likewise for routes that a link holds far below their engines' rates: two streams keep the link
busy, and more would just take slots of engines that other routes need."""

NARROW_STREAMS: Final = 0.5
"""Streams at the usual latency up to which a route is a narrow one."""

_USUAL_TOKEN_MS: Final = 60.0
"""Latency between tokens that a new route is expected to have."""

_TOKENS_AVERAGED: Final = 8
"""Tokens over which latency is averaged, as a single token's depends on where a batch step stood."""


_KEPT_SHARE: Final = 0.06
"""Part of an engine's slots that is kept for workspaces below their share: one of 17 at least, as a fast
engine that is full leaves them just the slow ones."""


class RouteUse:
    """One stream on a route, counted until it ends."""

    __slots__ = ("_clock", "_ended", "_limit", "_marked_ms", "_tokens", "_windows", "route")

    route: Route
    """The route."""

    def __init__(
        self, route: Route, windows: Windows, clock: Clock, limit: ConcurrencyLimit
    ) -> None:
        self.route = route
        self._windows = windows
        self._clock = clock
        self._limit = limit
        self._tokens = -1
        self._marked_ms = 0.0
        self._ended = False

    def note_token(self) -> None:
        """Take a token that came; the first one's time is not counted, as it has the prefill."""
        self._tokens += 1
        if self._tokens == 0:
            self._marked_ms = self._clock.now_ms()
            return
        if self._tokens % _TOKENS_AVERAGED:
            return
        now_ms = self._clock.now_ms()
        self._limit.observe((now_ms - self._marked_ms) / _TOKENS_AVERAGED)
        self._marked_ms = now_ms

    def end(self, outcome: RouteOutcome) -> None:
        """Count the stream off; only the first call does anything."""
        if self._ended:
            return
        self._ended = True
        self._windows.ended(self.route, outcome)


class Windows:
    """Limits by route."""

    __slots__ = ("_clock", "_fleet", "_limits")

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._limits: dict[Route, ConcurrencyLimit] = {}

    def limit_of(self, route: Route) -> ConcurrencyLimit:
        """Return a route's limit, a small new one for an unknown route."""
        limit = self._limits.get(route)
        return self._create_limit(route, 0.0) if limit is None else limit

    def apply_plan(self, routes: Sequence[PlannedRoute]) -> None:
        """Give each planned route that has no limit yet one that fits its share."""
        for planned in routes:
            if planned.route not in self._limits:
                self._create_limit(planned.route, planned.tokens_per_s)

    def _create_limit(self, route: Route, tokens_per_s: float) -> ConcurrencyLimit:
        """Start with the streams that the rate keeps busy at a usual latency."""
        streams = tokens_per_s * _USUAL_TOKEN_MS / MS_PER_S
        kind = NARROW_ROUTE_LIMITS if streams <= NARROW_STREAMS else ROUTE_LIMITS
        settings = msgspec.structs.replace(kind, initial=max(1.0, streams))
        limit = self._limits[route] = create_concurrency_limit(self._clock, settings)
        return limit

    def free_share(self, route: Route) -> float:
        """Return the free part of a route's room: of its limit, or of its fullest engine.

        Slots that are kept for workspaces below their share count as taken.
        """
        smallest = self.limit_of(route).free_share()
        for hop in route.hops:
            smallest = min(smallest, self._fleet.free_share(hop.replica) - _KEPT_SHARE)
        return smallest

    def usual_ms(self, route: Route) -> float:
        """Return the latency between tokens that a route has without a queue."""
        limit = self._limits.get(route)
        seen_ms = None if limit is None else limit.usual_ms
        return _USUAL_TOKEN_MS if seen_ms is None else seen_ms

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
        """Count off a stream that `use` counted."""
        limit = self.limit_of(route)
        limit.ended()
        if outcome is RouteOutcome.BUSY:
            limit.refused()
        for hop in route.hops:
            status = self._fleet.status(hop.replica)
            if status is not None:
                status.in_flight = max(0, status.in_flight - 1)

    def forget_unused(self, kept: set[Route]) -> None:
        """Forget the limits of routes that carry nothing and aren't planned."""
        for route, limit in list(self._limits.items()):
            if route not in kept and limit.in_flight == 0:
                del self._limits[route]


def create_windows(fleet: Fleet, clock: Clock) -> Windows:
    """Build the limits of one host's routes."""
    return Windows(fleet, clock)
