"""Index of a host's running sends by replica, to alert their streams when a replica leaves or is lost.

An alert only sets a flag and wakes the stream's own loop, which examines the send. A stream costs two
dictionary updates for each part at its start, at its end and when it is moved, and nothing per token.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

    from pimentodale.clock import Clock
    from pimentodale.placement.messages import PathPart
    from pimentodale.site.replica_health import Incarnation

MOVE_DELAY_FRACTION: Final = 1 / 2
"""Fraction of the drain time after which streams are moved; many end by themselves before."""

MOVE_SPREAD_FRACTION: Final = 1 / 3
"""Fraction of the drain time over which the moves are spread. The new parts read one prompt after
the other, so that moves at the same time would delay each other."""


@dataclass(slots=True)
class Departure:
    """A replica that has announced its departure, as one stream on it sees it."""

    move_at_ms: float
    """When the stream is to be moved."""

    exit_ms: float
    """When the replica is expected to exit."""


@dataclass(slots=True, eq=False)
class StreamAlerts:
    """What the loop of one stream has to react to."""

    departures: dict[Incarnation, Departure] = field(default_factory=dict)
    """Leaving replicas that the stream may have to be moved away from, each once."""

    is_part_lost: bool = False
    """Whether a replica of the stream counts as down or has no record since the last examination."""

    _is_woken: bool = False
    _waiter: asyncio.Future[None] | None = None

    def wait(self) -> asyncio.Future[None]:
        """Return a future that is done if the stream has been woken since `note_awake`."""
        if self._waiter is None:
            self._waiter = asyncio.get_running_loop().create_future()
            if self._is_woken:
                self._waiter.set_result(None)
        return self._waiter

    def note_awake(self) -> None:
        """Note that the stream's loop examines the stream now."""
        self._is_woken = False
        self._waiter = None

    def wake(self) -> None:
        """End the wait of the stream's loop, or its next one if it is not waiting."""
        self._is_woken = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def next_move_ms(self) -> float | None:
        """Return the time of the earliest move that is due or planned; `None` for none."""
        if not self.departures:
            return None
        return min(departure.move_at_ms for departure in self.departures.values())


@dataclass(slots=True)
class RunningSends:
    """Streams with running sends, by the replicas of their paths."""

    clock: Clock
    drain_ms: float
    rng: random.Random = field(default_factory=random.SystemRandom)

    _alerts: dict[str, dict[StreamAlerts, int]] = field(default_factory=dict)
    """Number of sends of each stream, by replica id."""

    def add(self, parts: Collection[PathPart], alerts: StreamAlerts) -> None:
        """Add a send of a stream."""
        for part in parts:
            sends = self._alerts.setdefault(part.replica_id, {})
            sends[alerts] = sends.get(alerts, 0) + 1

    def remove(self, parts: Collection[PathPart], alerts: StreamAlerts) -> None:
        """Remove a send of a stream."""
        for part in parts:
            sends = self._alerts[part.replica_id]
            sends[alerts] -= 1
            if sends[alerts] == 0:
                del sends[alerts]
            if not sends:
                del self._alerts[part.replica_id]

    def count(self, replica_id: str) -> int:
        """Return the number of streams that pass through a replica."""
        return len(self._alerts.get(replica_id, ()))

    def note_lost(self, incarnation: Incarnation) -> None:
        """Alert the streams of a replica that counts as down or whose record is gone."""
        for alerts in self._alerts.get(incarnation[0], ()):
            alerts.departures.pop(incarnation, None)
            alerts.is_part_lost = True
            alerts.wake()

    def note_leaving(self, incarnation: Incarnation) -> None:
        """Plan the moves of the streams of a replica that has announced its departure."""
        now_ms = self.clock.now_ms()
        for alerts in self._alerts.get(incarnation[0], ()):
            if incarnation in alerts.departures:
                continue
            spread_ms = self.rng.uniform(0.0, self.drain_ms * MOVE_SPREAD_FRACTION)
            alerts.departures[incarnation] = Departure(
                move_at_ms=now_ms + self.drain_ms * MOVE_DELAY_FRACTION + spread_ms,
                exit_ms=now_ms + self.drain_ms,
            )
            alerts.wake()


def create_running_sends(clock: Clock, drain_ms: float) -> RunningSends:
    """Return an empty index.

    Args:
        clock: Tells the time.
        drain_ms: How long a replica serves on after it has announced its departure.
    """
    return RunningSends(clock, drain_ms)
