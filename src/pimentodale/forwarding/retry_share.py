"""This host's share of the repeats that a service may get within a window.

The bound is on all hosts together: a ratio of the requests for the service plus a fixed part. Each
host spends the ratio of its own requests and an equal part of the fixed one, so that no host has to
ask another before it repeats.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

SAFETY: Final = 0.8
"""Part of the bound that is spent; the rest covers hosts that come and go within a window."""


@dataclass(slots=True)
class _ServiceCounts:
    """Times of requests and repeats within the window."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class RetryShare:
    """Counts requests and repeats for each service."""

    clock: Clock
    ratio: float
    """Repeats allowed for each request."""

    fixed: float
    """Repeats allowed besides, over all hosts."""

    window_ms: float
    """Length of the sliding window."""

    count_hosts: Callable[[], int]
    """Returns how many hosts share the bound."""

    _services: dict[str, _ServiceCounts] = field(default_factory=dict)

    def note_request(self, service: str) -> None:
        """Count a request of a client for a service."""
        self._current(service).requests.append(self.clock.now_ms())

    def try_spend(self, service: str) -> bool:
        """Take one repeat out of the share; False when it is spent."""
        if not self.has_left(service):
            return False
        self._current(service).repeats.append(self.clock.now_ms())
        return True

    def has_left(self, service: str, fraction: float = 1.0) -> bool:
        """Whether some part of the share has one more repeat.

        Args:
            service: Name of the service.
            fraction: The part of the share.
        """
        counts = self._current(service)
        allowed = SAFETY * (
            self.ratio * len(counts.requests) + self.fixed / max(1, self.count_hosts())
        )
        return len(counts.repeats) + 1 <= allowed * fraction

    def _current(self, service: str) -> _ServiceCounts:
        """Return a service's counts without what has left the window."""
        counts = self._services.setdefault(service, _ServiceCounts())
        start_ms = self.clock.now_ms() - self.window_ms
        for times in (counts.requests, counts.repeats):
            while times and times[0] < start_ms:
                times.popleft()
        return counts


def create_retry_share(
    clock: Clock, ratio: float, fixed: float, window_ms: float, count_hosts: Callable[[], int]
) -> RetryShare:
    """Return a share with nothing spent."""
    return RetryShare(clock, ratio, fixed, window_ms, count_hosts)
