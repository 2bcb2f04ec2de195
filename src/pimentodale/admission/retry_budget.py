"""Retry budget: limits retries to a fraction of recent successes.

When backend servers fail, retries add load just when the capacity is lowest. The budget bounds that
load whatever the number of callers.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

WINDOW_MS: Final = 10_000.0
"""How long a success counts as recent."""

MIN_RETRIES: Final = 10
"""Retries allowed in a window regardless of successes, so that a host with little traffic can
retry."""

_BUCKETS: Final = 10


class _Bucket:
    """Counts for one part of the window."""

    __slots__ = ("number", "retries", "successes")

    def __init__(self, number: int) -> None:
        self.number = number
        self.successes = 0
        self.retries = 0


class RetryBudget:
    """Counts successes and retries over a sliding window."""

    __slots__ = ("_buckets", "_clock", "_min_retries", "_ratio")

    def __init__(self, clock: Clock, ratio: Callable[[], float], min_retries: int) -> None:
        self._clock = clock
        self._ratio = ratio
        self._min_retries = min_retries
        self._buckets: deque[_Bucket] = deque()

    def note_success(self) -> None:
        """Count a successful request."""
        self._current().successes += 1

    def try_spend(self) -> bool:
        """Take one retry from the budget; False if it is exhausted."""
        bucket = self._current()
        if self.remaining() < 1:
            return False
        bucket.retries += 1
        return True

    def remaining(self) -> int:
        """Return the number of retries left."""
        self._current()
        successes = sum(bucket.successes for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        return max(self._min_retries, int(successes * self._ratio())) - retries

    def _current(self) -> _Bucket:
        """Return the current bucket and drop those that are no longer in the window."""
        number = int(self._clock.now_ms() // (WINDOW_MS / _BUCKETS))
        while self._buckets and self._buckets[0].number <= number - _BUCKETS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]


def create_retry_budget(
    clock: Clock, ratio: Callable[[], float], min_retries: int = MIN_RETRIES
) -> RetryBudget:
    """Create a budget.

    Args:
        clock: Tells the time.
        ratio: Returns the retries allowed per recent success.
        min_retries: Retries allowed in a window regardless of successes.

    Returns:
        The budget.
    """
    return RetryBudget(clock, ratio, min_retries)
