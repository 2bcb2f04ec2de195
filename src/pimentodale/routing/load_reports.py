"""Keeps the fleet's load reports and the index of cached prefixes fresh."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clients.engine_client import read_load
from pimentodale.clients.engine_messages import CacheEvents
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.clients.targets import EngineTarget
    from pimentodale.clock import Clock
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.prefix_index import PrefixIndex

READINGS_PER_S: Final = 10.0
"""Reports read each second at most, whatever the number of engines."""

SHORTEST_ROUND_MS: Final = 500.0
"""Shortest time between two reports of the same engine."""

READ_TIMEOUT_MS: Final = 500.0
"""Longest time for one report."""

ROUNDS_PER_EVENTS: Final = 4
"""Rounds of load reports for each round of cache events."""


class LoadWatcher:
    """Reads one engine after the other, for ever."""

    __slots__ = ("_clock", "_engines", "_fleet", "_next_events", "_on_round", "_prefixes", "_rng")

    def __init__(
        self,
        fleet: Fleet,
        prefixes: PrefixIndex,
        engines: Callable[[], list[EngineTarget]],
        on_round: Callable[[], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._prefixes = prefixes
        self._engines = engines
        self._on_round = on_round
        self._clock = clock
        self._rng = rng
        self._next_events: dict[str, int] = {}

    async def run(self) -> None:
        """Read reports until cancelled."""
        number = 0
        while True:
            started_ms = self._clock.now_ms()
            engines = self._engines()
            self._rng.shuffle(engines)
            with_events = number % ROUNDS_PER_EVENTS == 0
            for engine in engines:
                await self._read(engine, with_events)
                await self._clock.sleep_ms(MS_PER_S / READINGS_PER_S / 2)
            self._on_round()
            number += 1
            shortest_ms = max(SHORTEST_ROUND_MS, len(engines) * MS_PER_S / READINGS_PER_S)
            await self._clock.sleep_ms(started_ms + shortest_ms - self._clock.now_ms())

    async def _read(self, engine: EngineTarget, with_events: bool) -> None:
        """Read one engine's load, and its cache events if wanted; a failure changes nothing."""
        report = await read_load(engine.address, READ_TIMEOUT_MS)
        if report.is_error() or report.ok.replica != engine.replica:
            return
        self._fleet.apply_load(report.ok)
        if with_events:
            await self._read_events(engine)

    async def _read_events(self, engine: EngineTarget) -> None:
        """Read the cache events since the last reading."""
        after = self._next_events.get(engine.replica, 0)
        path = f"/v1/pimentodale/cache_events?after={after}"
        request = CallRequest(method="GET", path=path)
        reply = await fetch(engine.address, request, READ_TIMEOUT_MS)
        if reply.is_error():
            return
        try:
            found = msgspec.json.decode(reply.ok.body, type=CacheEvents)
        except msgspec.DecodeError:
            return
        self._prefixes.apply_events(engine.replica, found.events)
        self._next_events[engine.replica] = found.next


def create_load_watcher(
    fleet: Fleet,
    prefixes: PrefixIndex,
    engines: Callable[[], list[EngineTarget]],
    on_round: Callable[[], None],
    clock: Clock,
    rng: random.Random,
) -> LoadWatcher:
    """Build the watcher of one host.

    Args:
        fleet: Gets the reports.
        prefixes: Gets the cache events.
        engines: Returns the engines to read, such as this host's subset.
        on_round: Called after each round.
        clock: Tells the time.
        rng: Source of the order in which engines are read.

    Returns:
        The watcher; start its `run` as a task.
    """
    return LoadWatcher(fleet, prefixes, engines, on_round, clock, rng)
