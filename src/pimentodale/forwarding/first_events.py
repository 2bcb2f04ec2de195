"""Tracks the time to the first event of streams, and detects streams whose first event is overdue.

A response can be lost although the replica that sent it is alive and answers probes. The only
symptom is a wait that is long compared to those of other streams with the same head replica.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from statistics import median
from typing import Final

MAX_SAMPLES: Final = 16
"""Number of first events kept for each replica: those of a few seconds."""

MIN_SAMPLES: Final = 5
"""Number of first events below which no stream counts as overdue."""

MAX_HEADS: Final = 256
"""Maximum number of replicas with samples; only a few replicas of a site are heads of paths."""

OVERDUE_FRACTION: Final = 0.55
"""Fraction of the target after which a first event is overdue; a second send has the rest."""

TYPICAL_FRACTION: Final = 0.3
"""Fraction of the target up to which the median wait may be for a first event to count as overdue.
If all streams wait, a second send only adds load."""


@dataclass(slots=True)
class FirstEventTimes:
    """The latest times from a send to its first event, by head replica."""

    _latest_ms: dict[str, deque[float]] = field(default_factory=dict)

    def note(self, replica_id: str, waited_ms: float) -> None:
        """Record the wait for a first event."""
        if replica_id not in self._latest_ms and len(self._latest_ms) >= MAX_HEADS:
            del self._latest_ms[next(iter(self._latest_ms))]
        self._latest_ms.setdefault(replica_id, deque(maxlen=MAX_SAMPLES)).append(waited_ms)

    def overdue_ms(self, replica_id: str, target_ms: float) -> float | None:
        """Return the wait from which a first event is overdue; `None` if none counts as overdue.

        Args:
            replica_id: The head replica of the stream's path.
            target_ms: The configured target for the time to the first event.
        """
        latest_ms = self._latest_ms.get(replica_id, ())
        if len(latest_ms) < MIN_SAMPLES or median(latest_ms) > TYPICAL_FRACTION * target_ms:
            return None
        return OVERDUE_FRACTION * target_ms
