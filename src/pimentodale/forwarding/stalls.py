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
    from pimentodale.placement.messages import EngineReport, PathPart, RepathAnswer
    from pimentodale.placement.paths import Path
    from pimentodale.site.model import BackendService, ReplicaRecord

REPORT_INTERVAL_MS: Final = 200.0
"""How long a replica's report is reused for all its streams; reports lag by as much."""

MAX_ORDERS: Final = 2
"""Maximum number of orders for one move. All streams of a lost replica choose new parts by loads
that lag by some 500 ms, so that the first choice may be full by then."""

REJECTED_BACKOFF_MS: Final = 150.0
"""How long a replica that rejected a move gets no new requests, as after a refusal."""

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
    moved, reason, lost = await _repath(
        ctx, service, head, path, attempt_id, tokens, {*avoid}, lost, is_precaution=False
    )
    if moved is None:
        return StallCheck(StallVerdict.SILENT, f"it stalls on {faulty}, {reason}", None, lost)
    _log.info(
        "A stream was moved.",
        kind="stalled",
        request=attempt_id,
        past=faulty,
        parts=len(moved.parts),
    )
    return StallCheck(StallVerdict.MOVED, f"it was moved past {faulty}", moved, lost)


async def move_before_exit(
    ctx: ForwardingContext,
    service: BackendService,
    path: Path,
    attempt_id: str,
    tokens: float,
    leaving: PathPart,
    avoid: Collection[str],
) -> StallCheck:
    """Move a stream away from a replica that is leaving but still runs it.

    The stream stays if there is no other path with the same head in its failure domains.

    Args:
        ctx: State shared by all requests.
        service: The stream's service.
        path: The stream's path.
        attempt_id: Id of the client's attempt.
        tokens: Tokens that the stream holds.
        leaving: The part on the leaving replica; not the head.
        avoid: Ids of replicas that must not be used.
    """
    head = ctx.view.replicas.get(path.parts[0].replica_id)
    if head is None:
        return StallCheck(StallVerdict.WAIT, "its head replica has no record")
    lost = frozenset({leaving.replica_id})
    moved, reason, _ = await _repath(
        ctx, service, head, path, attempt_id, tokens, {*avoid}, lost, is_precaution=True
    )
    if moved is None:
        _log.info(
            "A stream stays on a leaving replica.",
            request=attempt_id,
            replica=leaving.replica_id,
            reason=reason,
        )
        return StallCheck(StallVerdict.WAIT, reason)
    _log.info(
        "A stream was moved.",
        kind="leaving",
        request=attempt_id,
        past=str(leaving.address),
        parts=len(moved.parts),
    )
    reason = f"it was moved past {leaving.address}, which is leaving"
    return StallCheck(StallVerdict.MOVED, reason, moved)


async def _repath(
    ctx: ForwardingContext,
    service: BackendService,
    head: ReplicaRecord,
    path: Path,
    attempt_id: str,
    tokens: float,
    avoid: set[str],
    lost: frozenset[str],
    *,
    is_precaution: bool,
) -> tuple[Path | None, str, frozenset[str]]:
    """Order a head replica to move a stream, twice if a part of the first path rejects it.

    Args:
        ctx: State shared by all requests.
        service: The stream's service.
        head: The stream's head replica.
        path: The stream's path.
        attempt_id: Id of the client's attempt.
        tokens: Tokens that the stream holds.
        avoid: Ids of replicas that must not be used.
        lost: Ids of the replicas that the stream is moved away from.
        is_precaution: Whether the stream runs on, so that no prompt is carried to another domain.

    Returns:
        The new path, or `None`; the reason if there is none; the lost replicas, with one that
        rejected the stream.
    """
    reason = ""
    for _ in range(MAX_ORDERS):
        kept = tuple(part for part in path.parts if part.replica_id not in lost)
        excluded = avoid | lost
        moved = choose_path(ctx, service, tokens, excluded, kept)
        if moved is None or moved.parts[0] != path.parts[0]:
            return None, reason or "no other path", lost
        if _prompt_crosses_domains(ctx, path, moved) and (
            is_precaution or _may_resume(ctx, service, tokens, excluded)
        ):
            # A new send prefills within one domain, which saves bandwidth between the two.
            return None, reason or "moving would cross failure domains", lost
        answer = await ctx.engines.repath(head, attempt_id, moved.parts, ctx.fence())
        if answer.is_error():
            return None, "no answer", lost
        if answer.ok.outcome in (OrderOutcome.DONE, OrderOutcome.BEGUN):
            return moved, "", lost
        reason = answer.ok.outcome.value
        rejecting = _find_rejecting(ctx, moved, answer.ok)
        if rejecting is None:
            break
        reason = f"{reason} at {answer.ok.faulty_address}"
        ctx.replica_health.exclude_for(incarnation_of(rejecting), REJECTED_BACKOFF_MS)
        ctx.replica_health.request_probe_unless_answered(incarnation_of(rejecting))
        lost |= {rejecting.replica_id}
    return None, reason, lost


def _find_rejecting(
    ctx: ForwardingContext, moved: Path, answer: RepathAnswer
) -> ReplicaRecord | None:
    """Return the replica behind the head that a rejected move names."""
    if answer.outcome is not OrderOutcome.CONFLICT:
        return None
    for part in moved.parts[1:]:
        if str(part.address) == answer.faulty_address:
            return ctx.view.replicas.get(part.replica_id)
    return None
