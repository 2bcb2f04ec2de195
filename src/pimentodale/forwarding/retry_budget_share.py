"""This host's share of the retry budget that a service has within a sliding window.

The budget covers all hosts together: a ratio of the requests for the service plus a fixed part.
Each host spends the ratio of its own requests and an equal part of the fixed one, so that no host
has to coordinate with others before a retry.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

SAFETY_FACTOR: Final = 0.8
"""Fraction of the budget that is used; the rest covers hosts that join or leave within a window."""


@dataclass(slots=True)
class _ServiceCounts:
    """Times of requests and retries within the window."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryBudgetShare:
    """Counts requests and retries for each service."""

    clock: Clock
    ratio: float
    """Retries allowed per request."""

    fixed: float
    """Retries allowed in addition, over all hosts."""

    window_ms: float
    """Length of the sliding window."""

    count_hosts: Callable[[], int]
    """Returns the number of hosts that share the budget."""

    _services: dict[str, _ServiceCounts] = field(default_factory=dict)

    def note_request(self, service: str) -> None:
        """Count a client request for a service."""
        self._current(service).requests.append(self.clock.now_ms())

    def try_spend(self, service: str) -> bool:
        """Take one retry from the share; return False if none is left."""
        if not self.has_budget(service):
            return False
        self._current(service).retries.append(self.clock.now_ms())
        return True

    def has_budget(self, service: str, fraction: float = 1.0) -> bool:
        """Whether a fraction of the share allows one more retry.

        Args:
            service: Name of the service.
            fraction: The fraction of the share that may be used.
        """
        counts = self._current(service)
        allowed = SAFETY_FACTOR * (
            self.ratio * len(counts.requests) + self.fixed / max(1, self.count_hosts())
        )
        return len(counts.retries) + 1 <= allowed * fraction

    def _current(self, service: str) -> _ServiceCounts:
        """Return a service's counts, without entries older than the window."""
        counts = self._services.setdefault(service, _ServiceCounts())
        start_ms = self.clock.now_ms() - self.window_ms
        for times in (counts.requests, counts.retries):
            while times and times[0] < start_ms:
                times.popleft()
        return counts


def create_retry_budget_share(
    clock: Clock, ratio: float, fixed: float, window_ms: float, count_hosts: Callable[[], int]
) -> RetryBudgetShare:
    """Return an unused share."""
    return RetryBudgetShare(clock, ratio, fixed, window_ms, count_hosts)
