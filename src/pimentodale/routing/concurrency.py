"""How many streams or calls a route or backend server gets from this host at once.

The limit is found from latency. It doubles until the first congestion; from then on it grows by one
for each limit's worth of answers at normal latency, and shrinks by a factor when latency rises above
normal. Normal is the smallest latency seen lately. As a limit above the knee would in time make its own queue the normal,
it is lowered below the knee once in each window, which shows the latency without a queue.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from pimentodale.clock import Clock


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How limits move."""

    initial: float = 4.0
    """Limit before the first answer."""

    smallest: float = 1.0
    """Lower end of the limit."""

    congested_ratio: float = 1.5
    """Latency over normal latency from which there is congestion."""

    decrease: float = 0.9
    """Factor of the limit on congestion, at most once for each normal latency."""

    probe: float = 0.7
    """Factor of the limit once in each window, to see the latency without a queue."""

    window_ms: float = 30_000.0
    """How long a smallest latency counts as normal, and the next window after it."""


_DEFAULT_SETTINGS: Final = LimitSettings()


class ConcurrencyLimit:
    """The limit of one route or backend server."""

    __slots__ = (
        "_clock",
        "_decreased_at_ms",
        "_earlier_smallest_ms",
        "_limit",
        "_settings",
        "_smallest_ms",
        "_starting",
        "_window_started_ms",
        "in_flight",
    )

    in_flight: int
    """Streams or calls that this host has there now."""

    def __init__(self, clock: Clock, settings: LimitSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._limit = settings.initial
        self._smallest_ms: float | None = None
        self._earlier_smallest_ms: float | None = None
        self._window_started_ms = clock.now_ms()
        self._decreased_at_ms = float("-inf")
        self._starting = True
        self.in_flight = 0

    @property
    def usual_ms(self) -> float | None:
        """Smallest latency seen lately; `None` before the first."""
        seen = [ms for ms in (self._smallest_ms, self._earlier_smallest_ms) if ms is not None]
        return min(seen) if seen else None

    def limit(self, slots: int | None = None) -> int:
        """Return the limit, capped by the backend server's slots if they are known."""
        whole = max(1, int(self._limit))
        return whole if slots is None else max(0, min(whole, slots))

    def has_room(self, slots: int | None = None) -> bool:
        """Tell whether one more may start."""
        return self.in_flight < self.limit(slots)

    def free_share(self) -> float:
        """Return the free part of the limit; 0 or less when it is reached."""
        return 1.0 - self.in_flight / max(1, int(self._limit))

    def started(self) -> None:
        """Count one that starts."""
        self.in_flight += 1

    def ended(self) -> None:
        """Count one off."""
        self.in_flight = max(0, self.in_flight - 1)

    def observe(self, latency_ms: float) -> None:
        """Take one latency of the backend server.

        Args:
            latency_ms: Time for one unit of work: a token of a stream, or a call.
        """
        now_ms = self._clock.now_ms()
        normal_ms = self._note_normal(latency_ms, now_ms)
        if latency_ms > normal_ms * self._settings.congested_ratio:
            self._decrease(now_ms, normal_ms)
            return
        # A limit that is not used says nothing about whether a higher one would hold.
        if self.in_flight >= int(self._limit) - 1:
            self._limit += 1.0 if self._starting else 1.0 / self._limit

    def refused(self) -> None:
        """Take the backend server's word that it is full."""
        self._decrease(self._clock.now_ms(), self._smallest_ms or 0.0)

    def cap(self, slots: int) -> None:
        """Keep the limit from growing past the backend server's slots."""
        self._limit = max(self._settings.smallest, min(self._limit, float(slots)))

    def _note_normal(self, latency_ms: float, now_ms: float) -> float:
        """Return the smallest latency of this window and the one before."""
        if now_ms - self._window_started_ms > self._settings.window_ms:
            self._earlier_smallest_ms = self._smallest_ms
            self._smallest_ms = None
            self._window_started_ms = now_ms
            self._limit = max(self._settings.smallest, self._limit * self._settings.probe)
        if self._smallest_ms is None or latency_ms < self._smallest_ms:
            self._smallest_ms = latency_ms
        if self._earlier_smallest_ms is None:
            return self._smallest_ms
        return min(self._smallest_ms, self._earlier_smallest_ms)

    def _decrease(self, now_ms: float, interval_ms: float) -> None:
        """Shrink the limit, once for each interval."""
        if now_ms - self._decreased_at_ms < interval_ms:
            return
        self._decreased_at_ms = now_ms
        self._starting = False
        self._limit = max(self._settings.smallest, self._limit * self._settings.decrease)


def create_concurrency_limit(
    clock: Clock, settings: LimitSettings = _DEFAULT_SETTINGS
) -> ConcurrencyLimit:
    """Build the limit of one route or backend server."""
    return ConcurrencyLimit(clock, settings)
