"""Adaptive limit on the concurrent streams or calls from this host to a route or backend server.

The limit follows latency (AIMD with slow start). A round is as many answers as the limit. Until the
first congestion, each round without congestion doubles the limit; after that, each adds one to it.
Congestion, which is latency well above the baseline, multiplies the limit by a decrease factor. The
baseline is the smallest latency of the current and the previous window. A limit above the knee of
the latency curve keeps a standing queue, and its delay would in time become the baseline. The limit
is therefore lowered once per window, so that the latency without a queue can be measured.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from pimentodale.clock import Clock


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the limit's adaptation to latency."""

    initial: float = 4.0
    """Limit before the first answer."""

    smallest: float = 1.0
    """Lower end of the limit."""

    congested_ratio: float = 1.5
    """Ratio of latency to baseline latency above which there is congestion."""

    decrease: float = 0.9
    """Factor applied to the limit on congestion, at most once per baseline latency."""

    probe: float = 0.7
    """Factor applied to the limit once per window, to measure the latency without a queue."""

    window_ms: float = 30_000.0
    """Window of the minimum latency, which stays in the baseline for the next window too."""


_DEFAULT_SETTINGS: Final = LimitSettings()


class ConcurrencyLimit:
    """The adaptive concurrency limit of one route or backend server."""

    __slots__ = (
        "_clock",
        "_decreased_at_ms",
        "_in_slow_start",
        "_limit",
        "_previous_window_min_ms",
        "_settings",
        "_window_min_ms",
        "_window_started_ms",
        "in_flight",
    )

    in_flight: int
    """Streams or calls that this host has open there."""

    def __init__(self, clock: Clock, settings: LimitSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._limit = settings.initial
        self._window_min_ms: float | None = None
        self._previous_window_min_ms: float | None = None
        self._window_started_ms = clock.now_ms()
        self._decreased_at_ms = float("-inf")
        self._in_slow_start = True
        self.in_flight = 0

    @property
    def baseline_latency_ms(self) -> float | None:
        """Minimum latency of this window and the previous one; `None` without samples."""
        seen = [ms for ms in (self._window_min_ms, self._previous_window_min_ms) if ms is not None]
        return min(seen) if seen else None

    def limit(self, slots: int | None = None) -> int:
        """Return the limit, capped by the backend server's slots if they are known."""
        rounded = max(1, int(self._limit))
        return rounded if slots is None else max(0, min(rounded, slots))

    def has_room(self, slots: int | None = None) -> bool:
        """Return whether one more stream or call may start."""
        return self.in_flight < self.limit(slots)

    def free_share(self) -> float:
        """Return the free fraction of the limit; 0 or less when the limit is reached."""
        return 1.0 - self.in_flight / max(1, int(self._limit))

    def started(self) -> None:
        """Count a stream or call that starts."""
        self.in_flight += 1

    def ended(self) -> None:
        """Uncount a stream or call that ended."""
        self.in_flight = max(0, self.in_flight - 1)

    def observe(self, latency_ms: float) -> None:
        """Update the limit from one latency sample.

        Args:
            latency_ms: Time for one unit of work: a token of a stream, or a call.
        """
        now_ms = self._clock.now_ms()
        baseline_ms = self._update_baseline(latency_ms, now_ms)
        if latency_ms > baseline_ms * self._settings.congested_ratio:
            self._decrease(now_ms, baseline_ms)
            return
        # While the limit isn't used up, latency doesn't show whether a higher one would congest.
        if self.in_flight >= int(self._limit) - 1:
            self._limit += 1.0 if self._in_slow_start else 1.0 / self._limit

    def refused(self) -> None:
        """Lower the limit after the backend server refused work because it is full."""
        self._decrease(self._clock.now_ms(), self._window_min_ms or 0.0)

    def cap(self, slots: int) -> None:
        """Lower the limit to the backend server's number of slots if it exceeds them."""
        self._limit = max(self._settings.smallest, min(self._limit, float(slots)))

    def _update_baseline(self, latency_ms: float, now_ms: float) -> float:
        """Add a sample and return the minimum latency of this window and the previous one."""
        if now_ms - self._window_started_ms > self._settings.window_ms:
            self._previous_window_min_ms = self._window_min_ms
            self._window_min_ms = None
            self._window_started_ms = now_ms
            self._limit = max(self._settings.smallest, self._limit * self._settings.probe)
        if self._window_min_ms is None or latency_ms < self._window_min_ms:
            self._window_min_ms = latency_ms
        if self._previous_window_min_ms is None:
            return self._window_min_ms
        return min(self._window_min_ms, self._previous_window_min_ms)

    def _decrease(self, now_ms: float, interval_ms: float) -> None:
        """Apply the decrease factor, at most once per interval."""
        if now_ms - self._decreased_at_ms < interval_ms:
            return
        self._decreased_at_ms = now_ms
        self._in_slow_start = False
        self._limit = max(self._settings.smallest, self._limit * self._settings.decrease)


def create_concurrency_limit(
    clock: Clock, settings: LimitSettings = _DEFAULT_SETTINGS
) -> ConcurrencyLimit:
    """Build the limit of one route or backend server."""
    return ConcurrencyLimit(clock, settings)
