"""Staggers the hosts that compete for a lease that nobody holds.

Hosts learn of an expired lease at almost the same time. If all of them tried to acquire it at once,
each would make several calls to the store although only one host can succeed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

RANK_DELAY_MS: Final = 350.0
"""Additional delay for each rank: time for one call to the store and for other hosts to learn of
its effect."""


@dataclass(slots=True)
class Candidacy:
    """Decides when one host may try to acquire the lease."""

    clock: Clock
    get_rank: Callable[[], int]
    """Returns the number of live hosts ranked ahead of this one."""

    _missing_since_ms: float | None = None

    def is_due(self, *, is_held: bool) -> bool:
        """Return whether this host should try to acquire the lease now.

        Args:
            is_held: Whether any host holds the lease, as far as this host knows.
        """
        if is_held:
            self._missing_since_ms = None
            return False
        now_ms = self.clock.now_ms()
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        return now_ms - self._missing_since_ms >= self.get_rank() * RANK_DELAY_MS


def create_candidacy(clock: Clock, get_rank: Callable[[], int]) -> Candidacy:
    """Return the candidacy of a host that has not yet seen the lease missing."""
    return Candidacy(clock, get_rank)
