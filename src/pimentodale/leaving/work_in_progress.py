"""Counts the requests that a host has accepted and not yet answered whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterator

from contextlib import contextmanager


class WorkInProgress:
    """A count that can be waited on."""

    __slots__ = ("_count", "_idle")

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        """Return how many requests are in progress."""
        return self._count

    def enter(self) -> None:
        """Count a request that was accepted; `exit` has to follow once."""
        self._count += 1
        self._idle.clear()

    def exit(self) -> None:
        """Count off a request that was answered or given up by its caller."""
        self._count -= 1
        if self._count <= 0:
            self._count = 0
            self._idle.set()

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request for as long as the block runs."""
        self.enter()
        try:
            yield
        finally:
            self.exit()

    async def wait_idle(self, timeout_ms: float) -> bool:
        """Wait until nothing is in progress.

        Args:
            timeout_ms: Longest wait.

        Returns:
            Whether nothing was left in time.
        """
        try:
            await asyncio.wait_for(self._idle.wait(), max(0.0, timeout_ms) / MS_PER_S)
        except TimeoutError:
            return False
        return True


def create_work_in_progress() -> WorkInProgress:
    """Create a count at zero."""
    return WorkInProgress()
