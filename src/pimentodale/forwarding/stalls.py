"""Finds out why a stream pauses, and moves it past a replica that doesn't answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.stages import choose_path
from pimentodale.logs import get_log
from pimentodale.placement.messages import OrderOutcome
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from expression import Result

    from pimentodale.forwarding.means import ForwardingMeans
    from pimentodale.placement.messages import EngineReport
    from pimentodale.placement.paths import Path
    from pimentodale.site.model import BackendService, ReplicaRecord

REPORT_INTERVAL_MS: Final = 200.0
"""How long one report of a replica serves all its streams; reports lag by as much."""

_log = get_log("stall")


class Verdict(Enum):
    """What is to become of a stream that pauses."""

    WAIT = "wait"
    """Its replicas answer; it is just slow."""

    MOVED = "moved"
    """It goes on, on another path behind the same first replica."""

    LOST = "lost"
    """It has to go on elsewhere."""


@dataclass(slots=True)
class StallReports:
    """Reports of first replicas, shared by the streams that they head."""

    _asked: dict[str, tuple[float, asyncio.Future[Result[EngineReport, str]]]] = field(
        default_factory=dict
    )

    async def ask(
        self, means: ForwardingMeans, replica: ReplicaRecord
    ) -> Result[EngineReport, str]:
        """Return a report that is at most `REPORT_INTERVAL_MS` old."""
        now_ms = means.clock.now_ms()
        known = self._asked.get(replica.replica_id)
        if known is None or now_ms - known[0] > REPORT_INTERVAL_MS:
            asked = asyncio.ensure_future(means.engines.report(replica))
            known = (now_ms, asked)
            self._asked[replica.replica_id] = known
        return await asyncio.shield(known[1])


@dataclass(slots=True)
class StallCheck:
    """The outcome for one stream."""

    verdict: Verdict
    reason: str
    path: Path | None = None
    """The new path, when it was moved."""

    faulty: frozenset[str] = frozenset()
    """Ids of the replicas that it waited for."""


async def check_stall(
    means: ForwardingMeans,
    reports: StallReports,
    service: BackendService,
    path: Path,
    attempt_id: str,
    tokens: float,
    avoid: Collection[str],
) -> StallCheck:
    """Ask the first replica why a stream pauses, and act on it.

    Args:
        means: Shared state.
        reports: Reports of the last moments.
        service: The stream's service.
        path: Its path.
        attempt_id: The client's attempt.
        tokens: Tokens that it holds by now.
        avoid: Ids of replicas that it must not use.
    """
    head = means.view.replicas.get(path.parts[0].replica_id)
    if head is None:
        return StallCheck(Verdict.LOST, "its first replica is gone")
    report = await reports.ask(means, head)
    if report.is_error():
        means.beliefs.mark_down(incarnation_of(head), f"no report: {report.error}")
        return StallCheck(Verdict.LOST, "its first replica gives no report")
    if head.started_ms and report.ok.started_ms not in (0, head.started_ms):
        return StallCheck(Verdict.LOST, "its first replica has started again")
    faulty = next(
        (item.address for item in report.ok.stalled if item.attempt_id == attempt_id), None
    )
    if faulty is None:
        return StallCheck(Verdict.WAIT, "its replicas answer")
    for part in path.parts:
        if str(part.address) != faulty:
            continue
        lost = means.view.replicas.get(part.replica_id)
        if lost is not None:
            means.beliefs.doubt(incarnation_of(lost), "requests stall on it")
    return await _move(means, service, head, path, attempt_id, tokens, faulty, avoid)


async def _move(
    means: ForwardingMeans,
    service: BackendService,
    head: ReplicaRecord,
    path: Path,
    attempt_id: str,
    tokens: float,
    faulty: str,
    avoid: Collection[str],
) -> StallCheck:
    """Send a stalled stream past the replica at fault."""
    lost = frozenset(part.replica_id for part in path.parts if str(part.address) == faulty)
    moved = choose_path(means, service, tokens, {*avoid, *lost}, head.replica_id)
    if moved is None or moved.parts[0].layers != path.parts[0].layers:
        return StallCheck(Verdict.LOST, f"it stalls on {faulty}, no other path", None, lost)
    outcome = await means.engines.repath(head, attempt_id, moved.parts, means.fence())
    if outcome.is_error():
        return StallCheck(Verdict.LOST, f"it stalls on {faulty}, no answer", None, lost)
    if outcome.ok not in (OrderOutcome.DONE, OrderOutcome.BEGUN):
        return StallCheck(Verdict.LOST, f"it stalls on {faulty}, {outcome.ok.value}", None, lost)
    _log.info("A stream was moved.", request=attempt_id, past=faulty, parts=len(moved.parts))
    return StallCheck(Verdict.MOVED, f"it was moved past {faulty}", moved, lost)
