"""Time in milliseconds.

Every duration and deadline of the project is a float in milliseconds read from a `Clock`, so that
tests can put their own in place of the machine's.
"""

from __future__ import annotations

import asyncio
import math
import time
from typing import Final

MS_PER_S: Final = 1000.0
"""Milliseconds in a second."""


class Clock:
    """The machine's clocks, in milliseconds."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Return monotonic time; only differences between two readings mean anything."""
        return time.monotonic() * MS_PER_S

    def wall_ms(self) -> float:
        """Return time since the Unix epoch, for records that people or other hosts read."""
        return time.time() * MS_PER_S

    async def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the calling task.

        Args:
            duration_ms: How long; zero or less yields once.
        """
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_S)

    async def wait_for(self, task: asyncio.Task[bool], timeout_ms: float) -> bool:
        """Wait for a task, which goes on by itself after the time-out.

        Args:
            task: The task.
            timeout_ms: How long to wait.

        Returns:
            Whether it has ended.
        """
        done, _ = await asyncio.wait({task}, timeout=timeout_ms / MS_PER_S)
        return bool(done)


class ManualClock(Clock):
    """A clock that moves only when told to, for decisions tested without waiting."""

    __slots__ = ("_now_ms",)

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the time that `advance` has reached."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the same reading as `now_ms`."""
        return self._now_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Advance the clock and yield once."""
        self.advance(duration_ms)
        await asyncio.sleep(0)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward.

        Args:
            duration_ms: By how much; negative values are ignored.
        """
        self._now_ms += max(0.0, duration_ms)


def whole_ms(duration_ms: float) -> int | None:
    """Return a duration as a log line shows it; `None` if it is without end."""
    return round(duration_ms) if math.isfinite(duration_ms) else None


def create_clock() -> Clock:
    """Return the clock that programs use."""
    return Clock()
