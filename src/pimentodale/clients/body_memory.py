"""Memory for response bodies that are collected until they are whole, shared by a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_COLLECTED_BYTES: Final = 16 * 1024 * 1024
"""Longest response body that is kept until it is whole."""

MAX_ALL_COLLECTED_BYTES: Final = 24 * 1024 * 1024
"""All such bodies together, so that servers which answer without end can't take a host's memory."""

FREE_BYTES: Final = 64 * 1024
"""Part of each body that doesn't count there: short answers pass whatever the others do."""


class BodyMemory:
    """Counts what all bodies take that are being collected."""

    __slots__ = ("abandoned", "taken_bytes")

    def __init__(self) -> None:
        self.taken_bytes = 0
        """Bytes held beyond the free part of each body."""
        self.abandoned = 0
        """Bodies that were abandoned because they were too long."""

    def try_take(self, count: int) -> bool:
        """Take memory for some more bytes; False if there is none left."""
        if self.taken_bytes + count > MAX_ALL_COLLECTED_BYTES:
            return False
        self.taken_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Give memory back."""
        self.taken_bytes -= count


body_memory: Final = BodyMemory()
"""Of all calls of this process, since they share its memory."""


def add_body_gauges(add_gauge: Callable[[str, Callable[[], float]], None]) -> None:
    """Show the memory of collected bodies among a program's metrics.

    Args:
        add_gauge: Adds a gauge by its name.
    """
    add_gauge("collected_bytes", lambda: body_memory.taken_bytes)
    add_gauge("abandoned_bodies", lambda: body_memory.abandoned)
