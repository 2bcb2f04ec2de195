"""Counts the requests that a host has accepted but not completely answered."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Iterator

from contextlib import contextmanager


class InFlightRequests:
    """A request counter that can be awaited to reach zero."""

    __slots__ = ("_count", "_idle")

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        """Return the number of requests in progress."""
        return self._count

    def enter(self) -> None:
        """Count an accepted request; `exit` must be called once for it."""
        self._count += 1
        self._idle.clear()

    def exit(self) -> None:
        """Uncount a request that was answered or abandoned by its caller."""
        self._count -= 1
        if self._count <= 0:
            self._count = 0
            self._idle.set()

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a request while the block runs."""
        self.enter()
        try:
            yield
        finally:
            self.exit()

    async def wait_idle(self, timeout_ms: float) -> bool:
        """Wait until no request is in progress.

        Args:
            timeout_ms: Longest wait.

        Returns:
            Whether all requests ended in time.
        """
        try:
            await asyncio.wait_for(self._idle.wait(), max(0.0, timeout_ms) / MS_PER_S)
        except TimeoutError:
            return False
        return True


def create_in_flight_requests() -> InFlightRequests:
    """Create a counter at zero."""
    return InFlightRequests()
