"""Memory for response bodies that are collected until they are whole, shared by a process.

A few servers that send without end may fill it. Then a body of the server that is furthest beyond what
it usually sends gives way, not whichever body grows next.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.addresses import Address

MAX_COLLECTED_BYTES: Final = 16 * 1024 * 1024
"""Longest response body that is kept until it is whole."""

MAX_ALL_COLLECTED_BYTES: Final = 24 * 1024 * 1024
"""All such bodies together, so that servers which answer without end can't take a host's memory."""

FREE_BYTES: Final = 64 * 1024
"""Part of each body that doesn't count there: short answers pass whatever the others do."""

USUAL_DECAY: Final = 0.9
"""Factor by which each shorter body lowers what a server usually sends."""

MAX_SERVERS: Final = 4_096
"""Maximum number of servers whose usual length is remembered; the least recently used go first."""

_log = get_log("http")


class CollectedBody:
    """The share of one body that is being collected."""

    __slots__ = ("_abandon", "_memory", "address", "body_bytes", "is_abandoned")

    def __init__(self, memory: BodyMemory, address: Address, abandon: Callable[[], None]) -> None:
        self._memory = memory
        self._abandon = abandon
        self.address = address
        """The server that sends it."""
        self.body_bytes = 0
        """Bytes collected so far."""
        self.is_abandoned = False
        """Whether it gave way because it is too long."""

    @property
    def counted_bytes(self) -> int:
        """Bytes beyond the free part."""
        return max(0, self.body_bytes - FREE_BYTES)

    def grow(self, count: int) -> None:
        """Count some more bytes; this body or another one gives way if that is too much."""
        self._memory.grow(self, count)

    def end(self, *, is_whole: bool) -> None:
        """Give the memory back.

        Args:
            is_whole: Whether the body has come to its end.
        """
        self._memory.end(self, is_whole=is_whole)

    def abandon(self) -> None:
        """Give way: drop the connection, and return no body."""
        self.is_abandoned = True
        self._abandon()


class BodyMemory:
    """Counts what all bodies take that are being collected."""

    __slots__ = ("_bodies", "_usual_bytes", "abandoned", "taken_bytes")

    def __init__(self) -> None:
        self._bodies: set[CollectedBody] = set()
        self._usual_bytes: OrderedDict[Address, float] = OrderedDict()
        self.taken_bytes = 0
        """Bytes held beyond the free part of each body."""
        self.abandoned = 0
        """Bodies that were abandoned because they were too long."""

    def open(self, address: Address, abandon: Callable[[], None]) -> CollectedBody:
        """Begin to count a body.

        Args:
            address: The server that sends it.
            abandon: Drops the connection.

        Returns:
            Its share; call `end` in any case.
        """
        body = CollectedBody(self, address, abandon)
        self._bodies.add(body)
        return body

    def grow(self, body: CollectedBody, count: int) -> None:
        """Count some more bytes of a body; the longest ones give way if that is too much."""
        if body.is_abandoned:
            return
        before = body.counted_bytes
        body.body_bytes += count
        self.taken_bytes += body.counted_bytes - before
        if body.body_bytes > MAX_COLLECTED_BYTES:
            self._abandon(body)
        while self.taken_bytes > MAX_ALL_COLLECTED_BYTES:
            self._abandon(self._find_furthest())

    def end(self, body: CollectedBody, *, is_whole: bool) -> None:
        """Give back the memory of a body; a whole one shows what its server usually sends."""
        if body in self._bodies:
            self._bodies.discard(body)
            self.taken_bytes -= body.counted_bytes
        if not is_whole:
            return
        usual_bytes = self._usual_bytes.pop(body.address, 0.0) * USUAL_DECAY
        self._usual_bytes[body.address] = max(float(body.body_bytes), usual_bytes)
        if len(self._usual_bytes) > MAX_SERVERS:
            self._usual_bytes.popitem(last=False)

    def _find_furthest(self) -> CollectedBody:
        """Return the longest body of the server furthest beyond what it usually sends in all.

        While all servers are within it, that is the one that holds most.
        """
        beyond: Counter[Address] = Counter()
        held: Counter[Address] = Counter()
        for body in self._bodies:
            usual_bytes = max(FREE_BYTES, round(self._usual_bytes.get(body.address, 0.0)))
            beyond[body.address] += max(0, body.body_bytes - usual_bytes)
            held[body.address] += body.counted_bytes
        furthest = max(held, key=lambda address: (beyond[address], held[address]))
        bodies = [body for body in self._bodies if body.address == furthest]
        return max(bodies, key=lambda body: body.body_bytes)

    def _abandon(self, body: CollectedBody) -> None:
        """Let a body give way."""
        self._bodies.discard(body)
        self.taken_bytes -= body.counted_bytes
        self.abandoned += 1
        _log.warning(
            "A response body was abandoned because it is too long.",
            address=str(body.address),
            body_bytes=body.body_bytes,
            usual_bytes=round(self._usual_bytes.get(body.address, 0.0)),
            collected_bytes=self.taken_bytes,
            bodies=len(self._bodies),
        )
        body.abandon()


body_memory: Final = BodyMemory()
"""Of all calls of this process, since they share its memory."""


def add_body_gauges(add_gauge: Callable[[str, Callable[[], float]], None]) -> None:
    """Show the memory of collected bodies among a program's metrics.

    Args:
        add_gauge: Adds a gauge by its name.
    """
    add_gauge("collected_bytes", lambda: body_memory.taken_bytes)
    add_gauge("abandoned_bodies", lambda: body_memory.abandoned)
