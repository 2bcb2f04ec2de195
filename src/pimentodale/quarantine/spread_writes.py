"""Writes of what many hosts observe at once, spread over time so that few of them have to write it.

When a failure domain goes down, replicas crash under requests of every host. Each host waits for a
random time before it writes such crashes, and by then the store may hold them already. The delays have
an exponential distribution, so that few hosts draw a short one whatever their number.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock

WRITE_SPREAD_MS: Final = 2_000.0
"""Maximum delay of a write. Hosts hear of another one's write within half a second or so."""

SPREAD_RATE: Final = 6.0
"""Rate of the distribution: of e^6, or 400, hosts about one writes without any delay."""


class SpreadWrites:
    """Writes of one host that wait for the same random time."""

    __slots__ = ("_background", "_clock", "_rng", "_waiting")

    def __init__(self, clock: Clock, background: BackgroundTasks, rng: random.Random) -> None:
        self._clock = clock
        self._background = background
        self._rng = rng
        self._waiting: dict[str, Callable[[str], None]] = {}

    def schedule(self, name: str, write: Callable[[str], None]) -> None:
        """Write something after a random delay, together with what is waiting already.

        Args:
            name: Name of what is written.
            write: Called with the name; decides whether it still has to be written.
        """
        if not self._waiting:
            self._background.start(self._write_later(), "spread writes")
        self._waiting[name] = write

    async def _write_later(self) -> None:
        """Wait, and write all that is waiting by then."""
        share = 1.0 + math.log(1.0 - self._rng.random()) / SPREAD_RATE
        await self._clock.sleep_ms(WRITE_SPREAD_MS * max(0.0, share))
        waiting, self._waiting = self._waiting, {}
        for name, write in waiting.items():
            write(name)


def create_spread_writes(
    clock: Clock, background: BackgroundTasks, rng: random.Random
) -> SpreadWrites:
    """Create spread writes, none of them waiting."""
    return SpreadWrites(clock, background, rng)
