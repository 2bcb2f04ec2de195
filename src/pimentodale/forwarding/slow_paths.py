"""Finds streams that crawl, and the replicas of their paths that are the cause."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.means import ForwardingMeans
    from pimentodale.forwarding.stalls import StallReports
    from pimentodale.placement.paths import Path
    from pimentodale.site.model import EngineModel

WINDOW_MS: Final = 400.0
"""Time over which the events of a stream are counted; some seven at the usual pace."""

CRAWL_FACTOR: Final = 2.0
"""How many times fewer events than the engine's figures say make a stream crawl."""


@dataclass(slots=True)
class CrawlWatch:
    """Counts the events of one send."""

    window_ms: float
    """Start of the window."""

    window_events: int = 0
    """Events before it."""

    def crawls(self, engine: EngineModel, path: Path, now_ms: float, events: int) -> bool:
        """Whether a window has ended in which far too few events came.

        Args:
            engine: Figures of the engine.
            path: The path of the send.
            now_ms: Clock reading.
            events: Events of the send so far.
        """
        if events == 0:
            # The first event waits for the prompt too; the window begins with it.
            self.window_ms = now_ms
            return False
        elapsed_ms = now_ms - self.window_ms
        if elapsed_ms < WINDOW_MS:
            return False
        seen = events - self.window_events
        expected = elapsed_ms / max(1.0, path.token_ms * engine.tokens_per_event)
        self.window_ms = now_ms
        self.window_events = events
        return seen * CRAWL_FACTOR < expected


async def search_slow_replicas(means: ForwardingMeans, reports: StallReports, path: Path) -> None:
    """Ask the replicas of a path that crawls how fast they run.

    Args:
        means: Shared state.
        reports: Reports of the last moments.
        path: The path.
    """
    replicas = [means.view.replicas.get(part.replica_id) for part in path.parts]
    asked = means.paces.begin_search([replica for replica in replicas if replica is not None])
    answers = await asyncio.gather(*(reports.ask(means, replica) for replica in asked))
    for replica, report in zip(asked, answers, strict=True):
        if report.is_error():
            means.beliefs.suspect(incarnation_of(replica))
            continue
        means.paces.note(incarnation_of(replica), report.ok.pace)


async def recheck_slow_replicas(means: ForwardingMeans, reports: StallReports) -> None:
    """Ask the slow replicas again that this host found.

    Args:
        means: Shared state.
        reports: Reports of the last moments.
    """
    for incarnation in means.paces.due_rechecks():
        replica = means.view.replicas.get(incarnation[0])
        if replica is None or incarnation_of(replica) != incarnation:
            means.paces.forget(incarnation)
            continue
        report = await reports.ask(means, replica)
        if report.is_ok():
            means.paces.note(incarnation, report.ok.pace)
