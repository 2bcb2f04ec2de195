"""When refused clients are told to come back: one after the other, at the pace at which streams begin.

A crowd that is refused within a second and told the same time comes back as a crowd and is refused again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pimentodale.clock import Clock

LEAST_MS: Final = 1_000.0
"""Shortest time to come back: what waits here already is served first, which takes about as long."""

MOST_MS: Final = 5_000.0
"""Longest time to come back; streams last some 3 s, so who runs then is not known now."""

WINDOW_MS: Final = 3_000.0
"""Time over which the pace is taken: the usual life of a stream."""

RETURN_SHARE: Final = 0.5
"""Part of that pace for clients that come back; the rest is for those that come first."""


@dataclass(slots=True)
class ReturnSlots:
    """The turns that refused clients were given."""

    clock: Clock
    _begun_ms: deque[float] = field(default_factory=deque)
    _last_slot_ms: float = 0.0

    def note_begun(self) -> None:
        """Count a stream that begins at a replica."""
        self._begun_ms.append(self.clock.now_ms())
        self._forget_old()

    def take_ms(self) -> float:
        """Return the time until the next turn, and give that turn away."""
        self._forget_old()
        now_ms = self.clock.now_ms()
        pace_per_ms = RETURN_SHARE * max(1, len(self._begun_ms)) / WINDOW_MS
        slot_ms = max(now_ms + LEAST_MS, self._last_slot_ms + 1.0 / pace_per_ms)
        self._last_slot_ms = min(slot_ms, now_ms + MOST_MS)
        return self._last_slot_ms - now_ms

    def _forget_old(self) -> None:
        """Drop what began before the window."""
        start_ms = self.clock.now_ms() - WINDOW_MS
        while self._begun_ms and self._begun_ms[0] < start_ms:
            self._begun_ms.popleft()


def create_return_slots(clock: Clock) -> ReturnSlots:
    """Return slots of which none is taken."""
    return ReturnSlots(clock)
