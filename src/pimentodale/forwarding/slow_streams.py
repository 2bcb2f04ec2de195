"""Detects streams with a low event rate, and the slow replicas on their paths."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.context import ForwardingContext
    from pimentodale.forwarding.stalls import StallReports
    from pimentodale.placement.paths import Path
    from pimentodale.site.model import EngineModel

WINDOW_MS: Final = 400.0
"""Time over which the events of a stream are counted; about seven at the usual rate."""

SLOW_STREAM_FACTOR: Final = 2.0
"""Ratio of expected to received events above which a stream is slow."""


@dataclass(slots=True)
class SlowStreamDetector:
    """Compares the event rate of one send with the expected one."""

    window_start_ms: float
    """Start of the window."""

    events_at_window_start: int = 0
    """Number of events before the window."""

    def is_slow(self, engine: EngineModel, path: Path, now_ms: float, events: int) -> bool:
        """Whether a window has ended with far fewer events than expected.

        Args:
            engine: Performance figures of the engine.
            path: The path of the send.
            now_ms: Current time.
            events: Number of events of the send so far.
        """
        if events == 0:
            # The first event includes the prefill, so the window starts with that event.
            self.window_start_ms = now_ms
            return False
        elapsed_ms = now_ms - self.window_start_ms
        if elapsed_ms < WINDOW_MS:
            return False
        seen = events - self.events_at_window_start
        expected = elapsed_ms / max(1.0, path.token_ms * engine.tokens_per_event)
        self.window_start_ms = now_ms
        self.events_at_window_start = events
        return seen * SLOW_STREAM_FACTOR < expected


async def search_slow_replicas(ctx: ForwardingContext, reports: StallReports, path: Path) -> None:
    """Ask the replicas of a slow stream's path for their pace.

    Args:
        ctx: State shared by all requests.
        reports: Cache of recent reports.
        path: The path.
    """
    replicas = [ctx.view.replicas.get(part.replica_id) for part in path.parts]
    asked = ctx.slow_replicas.begin_search([replica for replica in replicas if replica is not None])
    answers = await asyncio.gather(*(reports.ask(ctx, replica) for replica in asked))
    for replica, report in zip(asked, answers, strict=True):
        if report.is_error():
            ctx.replica_health.request_probe(incarnation_of(replica))
            continue
        ctx.slow_replicas.note(incarnation_of(replica), report.ok.pace)


async def recheck_slow_replicas(ctx: ForwardingContext, reports: StallReports) -> None:
    """Ask the slow replicas that this host has found for their pace again.

    Args:
        ctx: State shared by all requests.
        reports: Cache of recent reports.
    """
    for incarnation in ctx.slow_replicas.due_rechecks():
        replica = ctx.view.replicas.get(incarnation[0])
        if replica is None or incarnation_of(replica) != incarnation:
            ctx.slow_replicas.forget(incarnation)
            continue
        report = await reports.ask(ctx, replica)
        if report.is_ok():
            ctx.slow_replicas.note(incarnation, report.ok.pace)
