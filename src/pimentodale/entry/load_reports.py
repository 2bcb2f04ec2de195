"""Reads the engines' load reports in turn, at a bounded rate."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.platform.engine_client import read_load

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from pimentodale.clock import Clock
    from pimentodale.platform.targets import EngineTarget
    from pimentodale.routing.fleet import Fleet

READ_PAUSE_MS: Final = 150.0
"""Time between two reads, whatever the number of engines."""

READ_TIMEOUT_MS: Final = 500.0
"""Longest time for a read."""

ROUND_PAUSE_MS: Final = 500.0
"""Shortest time between two rounds over all engines."""


def create_load_reader(fleet: Fleet, clock: Clock) -> Callable[[], Coroutine[Any, Any, None]]:
    """Create a closure that reads for ever; run it as a task.

    Args:
        fleet: Gets the reports.
        clock: Waits between reads.

    Returns:
        The closure.
    """

    async def read_all() -> None:
        while True:
            for target in [status.target for status in fleet.statuses() if status.listed]:
                await _read_one(fleet, target)
                await clock.sleep_ms(READ_PAUSE_MS)
            await clock.sleep_ms(ROUND_PAUSE_MS)

    return read_all


async def _read_one(fleet: Fleet, target: EngineTarget) -> None:
    """Read one report; an engine that gives none is judged by its streams alone."""
    report = await read_load(target.address, READ_TIMEOUT_MS)
    if report.is_ok() and report.ok.replica == target.replica:
        fleet.apply_load(report.ok)
