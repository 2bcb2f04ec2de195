"""Retry-After times for refused clients, spaced by the rate at which streams start.

Many clients that are refused within a second with the same Retry-After time would return together
and be refused again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pimentodale.clock import Clock

MIN_RETRY_AFTER_MS: Final = 1_000.0
"""Shortest Retry-After time: streams already in the queue go first, which takes about as long."""

MAX_RETRY_AFTER_MS: Final = 5_000.0
"""Longest Retry-After time; streams last some 3 s, so the load beyond that cannot be predicted."""

WINDOW_MS: Final = 3_000.0
"""Time over which the rate is measured: the usual duration of a stream."""

RETURNING_FRACTION: Final = 0.5
"""Fraction of that rate for returning clients; the rest is for new ones."""


@dataclass(slots=True)
class RetrySchedule:
    """Assigns return times to refused clients."""

    clock: Clock
    _begun_ms: deque[float] = field(default_factory=deque)
    _last_slot_ms: float = 0.0

    def note_begun(self) -> None:
        """Record that a stream has started at a replica."""
        self._begun_ms.append(self.clock.now_ms())
        self._forget_old()

    def take_retry_after_ms(self) -> float:
        """Reserve the next return time; return the time until then."""
        self._forget_old()
        now_ms = self.clock.now_ms()
        rate_per_ms = RETURNING_FRACTION * max(1, len(self._begun_ms)) / WINDOW_MS
        slot_ms = max(now_ms + MIN_RETRY_AFTER_MS, self._last_slot_ms + 1.0 / rate_per_ms)
        self._last_slot_ms = min(slot_ms, now_ms + MAX_RETRY_AFTER_MS)
        return self._last_slot_ms - now_ms

    def _forget_old(self) -> None:
        """Drop the starts before the window."""
        start_ms = self.clock.now_ms() - WINDOW_MS
        while self._begun_ms and self._begun_ms[0] < start_ms:
            self._begun_ms.popleft()


def create_retry_schedule(clock: Clock) -> RetrySchedule:
    """Return a schedule without reservations."""
    return RetrySchedule(clock)
