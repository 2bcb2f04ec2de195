"""Polls the engines for the fleet's load reports and for the index of cached prefixes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clients.engine_client import HTTP_OK, read_load
from pimentodale.clients.engine_messages import CacheEvents
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.clock import MS_PER_S
from pimentodale.foreign_bytes import UNREADABLE

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.clients.targets import EngineTarget
    from pimentodale.clock import Clock
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.prefix_index import PrefixIndex

MAX_POLLS_PER_S: Final = 10.0
"""Upper bound on load reports read per second, whatever the number of engines."""

MIN_ROUND_MS: Final = 500.0
"""Shortest time between two load reports of the same engine."""

READ_TIMEOUT_MS: Final = 500.0
"""Timeout of one read."""

ROUNDS_PER_EVENT_POLL: Final = 4
"""Cache events are read once in this many rounds of load reports."""


class LoadPoller:
    """Polls the engines one after the other in endless rounds."""

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
        """Poll until cancelled."""
        number = 0
        while True:
            started_ms = self._clock.now_ms()
            engines = self._engines()
            self._rng.shuffle(engines)
            with_events = number % ROUNDS_PER_EVENT_POLL == 0
            for engine in engines:
                await self._read(engine, with_events)
                await self._clock.sleep_ms(MS_PER_S / MAX_POLLS_PER_S / 2)
            self._on_round()
            number += 1
            shortest_ms = max(MIN_ROUND_MS, len(engines) * MS_PER_S / MAX_POLLS_PER_S)
            await self._clock.sleep_ms(started_ms + shortest_ms - self._clock.now_ms())

    async def _read(self, engine: EngineTarget, with_events: bool) -> None:
        """Read one engine's load, and its cache events if requested; ignore failures."""
        report = await read_load(engine.address, READ_TIMEOUT_MS)
        if report.is_error() or report.ok.replica != engine.replica:
            return
        self._fleet.apply_load(report.ok)
        if with_events:
            await self._read_events(engine)

    async def _read_events(self, engine: EngineTarget) -> None:
        """Read an engine's cache events since the last read."""
        after = self._next_events.get(engine.replica, 0)
        path = f"/v1/pimentodale/cache_events?after={after}"
        request = CallRequest(method="GET", path=path)
        reply = await fetch(engine.address, request, READ_TIMEOUT_MS)
        if reply.is_error() or reply.ok.status != HTTP_OK:
            return
        try:
            found = msgspec.json.decode(reply.ok.body, type=CacheEvents)
        except UNREADABLE:
            return
        self._prefixes.apply_events(engine.replica, found.events)
        self._next_events[engine.replica] = found.next


def create_load_poller(
    fleet: Fleet,
    prefixes: PrefixIndex,
    engines: Callable[[], list[EngineTarget]],
    on_round: Callable[[], None],
    clock: Clock,
    rng: random.Random,
) -> LoadPoller:
    """Build the poller of one host.

    Args:
        fleet: Receives the load reports.
        prefixes: Receives the cache events.
        engines: Returns the engines to poll, such as this host's subset.
        on_round: Called after each round.
        clock: Source of time.
        rng: Random numbers that determine the order within a round.

    Returns:
        The poller; start its `run` as a task.
    """
    return LoadPoller(fleet, prefixes, engines, on_round, clock, rng)
