"""Diagnoses stalled streams, and moves them to a path without the unresponsive replica."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.path_selection import choose_path, domain_of
from pimentodale.logs import get_log
from pimentodale.placement.messages import OrderOutcome
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from expression import Result

    from pimentodale.forwarding.context import ForwardingContext
    from pimentodale.placement.messages import EngineReport, PathPart
    from pimentodale.placement.paths import Path
    from pimentodale.site.model import BackendService, ReplicaRecord

REPORT_INTERVAL_MS: Final = 200.0
"""How long a replica's report is reused for all its streams; reports lag by as much."""

_log = get_log("stall")


class StallVerdict(Enum):
    """What happens to a stalled stream."""

    WAIT = "wait"
    """Its replicas answer; the stream is merely slow."""

    MOVED = "moved"
    """It continues on another path with the same head replica."""

    SILENT = "silent"
    """It can't be helped on its path; another head replica may go on with the stream."""

    RESTARTED = "restarted"
    """Its head replica has restarted and knows nothing of it."""


@dataclass(slots=True)
class StallReports:
    """Cache of replica reports, shared by the streams of each head replica."""

    _asked: dict[str, tuple[float, asyncio.Future[Result[EngineReport, str]]]] = field(
        default_factory=dict
    )

    async def ask(
        self, ctx: ForwardingContext, replica: ReplicaRecord
    ) -> Result[EngineReport, str]:
        """Return a report that is at most `REPORT_INTERVAL_MS` old."""
        now_ms = ctx.clock.now_ms()
        known = self._asked.get(replica.replica_id)
        if known is None or now_ms - known[0] > REPORT_INTERVAL_MS:
            asked = asyncio.ensure_future(ctx.own_pauses.ask(lambda: ctx.engines.report(replica)))
            known = (now_ms, asked)
            self._asked[replica.replica_id] = known
        return await asyncio.shield(known[1])


@dataclass(slots=True)
class StallCheck:
    """Result of the check of one stream."""

    verdict: StallVerdict
    reason: str
    path: Path | None = None
    """The new path, if the stream was moved."""

    faulty: frozenset[str] = frozenset()
    """Ids of the replicas that stalled the stream."""


async def check_stall(
    ctx: ForwardingContext,
    reports: StallReports,
    service: BackendService,
    path: Path,
    attempt_id: str,
    tokens: float,
    avoid: Collection[str],
    may_move: Callable[[], bool] = lambda: True,
) -> StallCheck:
    """Find out why a stream is stalled, and move it if possible.

    The head replica is asked, unless a later one is known to be down.

    Args:
        ctx: State shared by all requests.
        reports: Cache of recent reports.
        service: The stream's service.
        path: The stream's path.
        attempt_id: Id of the client's attempt.
        tokens: Tokens that the stream holds.
        avoid: Ids of replicas that must not be used.
        may_move: Returns whether the stream may be moved to other replicas now.
    """
    head = ctx.view.replicas.get(path.parts[0].replica_id)
    if head is None:
        return StallCheck(StallVerdict.SILENT, "its head replica has no record")
    down = find_down_part(ctx, path)
    if down is not None:
        return await _move(
            ctx, service, head, path, attempt_id, tokens, str(down.address), avoid, may_move
        )
    report = await reports.ask(ctx, head)
    if report.is_error():
        ctx.replica_health.mark_down(incarnation_of(head), f"no report: {report.error}")
        return StallCheck(StallVerdict.SILENT, "its head replica sent no report")
    if head.started_ms and report.ok.started_ms not in (0, head.started_ms):
        return StallCheck(StallVerdict.RESTARTED, "its head replica has restarted")
    faulty = next(
        (item.address for item in report.ok.stalled if item.attempt_id == attempt_id), None
    )
    if faulty is None:
        return StallCheck(StallVerdict.WAIT, "its replicas answer")
    for part in path.parts:
        if str(part.address) != faulty:
            continue
        lost = ctx.view.replicas.get(part.replica_id)
        if lost is not None:
            ctx.replica_health.mark_suspect(incarnation_of(lost), "requests stall on it")
    return await _move(ctx, service, head, path, attempt_id, tokens, faulty, avoid, may_move)


def find_down_part(ctx: ForwardingContext, path: Path) -> PathPart | None:
    """Return the first part behind the head whose replica is down or has no record."""
    for part in path.parts[1:]:
        replica = ctx.view.replicas.get(part.replica_id)
        if replica is None or ctx.replica_health.is_down(replica):
            return part
    return None


def _prompt_crosses_domains(ctx: ForwardingContext, path: Path, moved: Path) -> bool:
    """Whether a new part of a path would get the prompt from another failure domain."""
    for before, part in pairwise(moved.parts):
        if part in path.parts:
            continue
        if domain_of(ctx, before.replica_id) != domain_of(ctx, part.replica_id):
            return True
    return False


def _may_resume(
    ctx: ForwardingContext, service: BackendService, tokens: float, avoid: Collection[str]
) -> bool:
    """Whether a stream could be sent again immediately."""
    if not ctx.retries.has_budget(service.name):
        return False
    return choose_path(ctx, service, tokens, avoid) is not None


async def _move(
    ctx: ForwardingContext,
    service: BackendService,
    head: ReplicaRecord,
    path: Path,
    attempt_id: str,
    tokens: float,
    faulty: str,
    avoid: Collection[str],
    may_move: Callable[[], bool],
) -> StallCheck:
    """Move a stalled stream to a path without the replica at fault."""
    if not may_move():
        return StallCheck(StallVerdict.WAIT, "it may crash another replica")
    lost = frozenset(part.replica_id for part in path.parts if str(part.address) == faulty)
    kept = tuple(part for part in path.parts if part.replica_id not in lost)
    moved = choose_path(ctx, service, tokens, {*avoid, *lost}, kept)
    if moved is None or moved.parts[0] != path.parts[0]:
        return StallCheck(StallVerdict.SILENT, f"it stalls on {faulty}, no other path", None, lost)
    if _prompt_crosses_domains(ctx, path, moved) and _may_resume(
        ctx, service, tokens, {*avoid, *lost}
    ):
        # A new send prefills within one domain, which saves bandwidth between the two.
        return StallCheck(
            StallVerdict.SILENT,
            f"it stalls on {faulty}, moving would cross failure domains",
            None,
            lost,
        )
    outcome = await ctx.engines.repath(head, attempt_id, moved.parts, ctx.fence())
    if outcome.is_error():
        return StallCheck(StallVerdict.SILENT, f"it stalls on {faulty}, no answer", None, lost)
    if outcome.ok not in (OrderOutcome.DONE, OrderOutcome.BEGUN):
        return StallCheck(
            StallVerdict.SILENT, f"it stalls on {faulty}, {outcome.ok.value}", None, lost
        )
    _log.info("A stream was moved.", request=attempt_id, past=faulty, parts=len(moved.parts))
    return StallCheck(StallVerdict.MOVED, f"it was moved past {faulty}", moved, lost)
