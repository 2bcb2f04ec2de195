"""Finds out why a stream pauses, and moves it past a replica that doesn't answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.stages import choose_path, domain_of
from pimentodale.logs import get_log
from pimentodale.placement.messages import OrderOutcome
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from expression import Result

    from pimentodale.forwarding.means import ForwardingMeans
    from pimentodale.placement.messages import EngineReport, PathPart
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
    """Find out why a stream pauses, and act on it.

    The first replica is asked, unless a later one is known to be down.

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
    down = find_down_part(means, path)
    if down is not None:
        return await _move(means, service, head, path, attempt_id, tokens, str(down.address), avoid)
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


def find_down_part(means: ForwardingMeans, path: Path) -> PathPart | None:
    """Return the first later part of a path whose replica counts as down or is gone."""
    for part in path.parts[1:]:
        replica = means.view.replicas.get(part.replica_id)
        if replica is None or means.beliefs.is_down(replica):
            return part
    return None


def _prompt_crosses(means: ForwardingMeans, path: Path, moved: Path) -> bool:
    """Whether a new part of a moved path gets the prompt from another failure domain."""
    for before, part in pairwise(moved.parts):
        if part in path.parts:
            continue
        if domain_of(means, before.replica_id) != domain_of(means, part.replica_id):
            return True
    return False


def _may_resume(
    means: ForwardingMeans, service: BackendService, tokens: float, avoid: Collection[str]
) -> bool:
    """Whether a stream can be sent anew at once."""
    if not means.retries.has_left(service.name):
        return False
    return choose_path(means, service, tokens, avoid) is not None


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
    kept = tuple(part for part in path.parts if part.replica_id not in lost)
    moved = choose_path(means, service, tokens, {*avoid, *lost}, kept)
    if moved is None or moved.parts[0] != path.parts[0]:
        return StallCheck(Verdict.LOST, f"it stalls on {faulty}, no other path", None, lost)
    if _prompt_crosses(means, path, moved) and _may_resume(means, service, tokens, {*avoid, *lost}):
        # A new send reads the prompt in one domain, which spares the pipe between the two.
        return StallCheck(Verdict.LOST, f"it stalls on {faulty}, moving would cross", None, lost)
    outcome = await means.engines.repath(head, attempt_id, moved.parts, means.fence())
    if outcome.is_error():
        return StallCheck(Verdict.LOST, f"it stalls on {faulty}, no answer", None, lost)
    if outcome.ok not in (OrderOutcome.DONE, OrderOutcome.BEGUN):
        return StallCheck(Verdict.LOST, f"it stalls on {faulty}, {outcome.ok.value}", None, lost)
    _log.info("A stream was moved.", request=attempt_id, past=faulty, parts=len(moved.parts))
    return StallCheck(Verdict.MOVED, f"it was moved past {faulty}", moved, lost)
