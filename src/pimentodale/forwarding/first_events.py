"""How long streams wait for their first events, and when one waits for too long.

An answer can be lost while the replica that gave it lives and says so. Only the wait gives that away,
against what other streams wait at the same first replica.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import Final

REMEMBERED: Final = 16
"""First events of a replica that a host judges by: some seconds' worth."""

MIN_REMEMBERED: Final = 5
"""First events without which nothing is judged."""

MAX_HEADS: Final = 256
"""Replicas that are remembered; a site has a few that are the first of paths."""

OVERDUE_FRACTION: Final = 0.55
"""Part of the target after which a first event is overdue: a second send has the rest of it."""

TYPICAL_FRACTION: Final = 0.3
"""Part of the target that first events may typically take for one to be overdue. Where all wait, a
second send only adds work."""


@dataclass(slots=True)
class FirstEventTimes:
    """Waits of the latest first events by first replica, from the send to the event."""

    _latest_ms: dict[str, deque[float]] = field(default_factory=dict)

    def note(self, replica_id: str, waited_ms: float) -> None:
        """Take the wait of one more first event."""
        if replica_id not in self._latest_ms and len(self._latest_ms) >= MAX_HEADS:
            del self._latest_ms[next(iter(self._latest_ms))]
        self._latest_ms.setdefault(replica_id, deque(maxlen=REMEMBERED)).append(waited_ms)

    def overdue_ms(self, replica_id: str, target_ms: float) -> float | None:
        """Return the wait from which a first event is overdue; `None` where none is.

        Args:
            replica_id: The first replica of the stream's path.
            target_ms: Time to the first event that operators aim at.
        """
        latest_ms = self._latest_ms.get(replica_id, ())
        if len(latest_ms) < MIN_REMEMBERED or median(latest_ms) > TYPICAL_FRACTION * target_ms:
            return None
        return OVERDUE_FRACTION * target_ms
