"""When a host competes for the lease that nobody holds.

Hosts learn of a lapsed lease within a moment of each other. If all of them took it up at once, each would
make several calls to the store for one that succeeds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

STEP_MS: Final = 350.0
"""Time by which a host waits longer than the one above it in rank: a call to the store, and the time in
which other hosts learn of its effect."""


@dataclass(slots=True)
class Candidacy:
    """One host's turn."""

    clock: Clock
    read_rank: Callable[[], int]
    """Returns how many live hosts go before this one."""

    _missing_since_ms: float | None = None

    def is_due(self, *, is_held: bool) -> bool:
        """Whether this host is to try for the lease now.

        Args:
            is_held: Whether somebody holds it, as far as this host knows.
        """
        if is_held:
            self._missing_since_ms = None
            return False
        now_ms = self.clock.now_ms()
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        return now_ms - self._missing_since_ms >= self.read_rank() * STEP_MS


def create_candidacy(clock: Clock, read_rank: Callable[[], int]) -> Candidacy:
    """Return the turn of a host that has not seen the lease missing."""
    return Candidacy(clock, read_rank)
