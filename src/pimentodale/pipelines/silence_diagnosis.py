"""Determines why a stream went silent: a lost stage, a dead connection, or a slow engine.

The head (the first engine of the route) is asked for its progress and every later stage is probed,
all over new connections. The answers are judged in this order:

1. If the head does not answer, it is lost.
2. If it has generated more tokens than arrived here, or has ended, its connection to this host is
   dead.
3. If a later stage does not answer, that stage is lost.
4. Otherwise the stream is slow and reading continues. After `MAX_STALLED_CHECKS` such diagnoses in a
   row, the head counts as lost.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Ok

from pimentodale.addresses import parse_address
from pimentodale.clients.engine_client import cancel_request, read_load, read_progress
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from expression import Result

    from pimentodale.clients.engine_client import EngineFault
    from pimentodale.clients.engine_messages import Hop, RequestProgress
    from pimentodale.pipelines.context import Progress
    from pimentodale.routing.routes import Route

PROBE_TIMEOUT_MS: Final = 300.0
"""Timeout of a liveness probe."""

CANCEL_TIMEOUT_MS: Final = 2_000.0
"""Timeout for cancelling an attempt whose connection is dead."""

MAX_STALLED_CHECKS: Final = 4
"""Chunk timeouts without a new token after which a route is abandoned though all stages answer."""

_log = get_log("pipelines")


class SilenceDiagnosis(msgspec.Struct, frozen=True):
    """Why a stream went silent."""

    wait: bool = False
    """Whether the stream is only slow, so that reading continues."""

    lost_replica: str = ""
    """A stage that does not answer; empty if the connection is dead or the stream is slow."""


async def diagnose_silence(
    progress: Progress, route: Route, stalled_checks: int
) -> SilenceDiagnosis:
    """Determine why a stream went silent.

    Args:
        progress: The generation.
        route: Route of the silent attempt.
        stalled_checks: Earlier chunk timeouts since the last token.

    Returns:
        Whether to wait, or what was lost.
    """
    head = route.hops[0]
    request_id = progress.generation.request_id
    asked_head = read_progress(
        parse_address(head.address), request_id, progress.attempt, PROBE_TIMEOUT_MS
    )
    # A partition may hide a later stage from this host alone while it still serves the head. Its
    # probe therefore counts only if the head has made no progress.
    asked_stages = asyncio.gather(*[_responds(hop) for hop in route.hops[1:]])
    answer, stages = await asyncio.gather(asked_head, asked_stages)
    if answer.is_error():
        return SilenceDiagnosis(lost_replica=head.replica)
    if _is_ahead(progress, answer):
        return SilenceDiagnosis()
    for hop, answers in zip(route.hops[1:], stages, strict=True):
        if not answers:
            return SilenceDiagnosis(lost_replica=hop.replica)
    if stalled_checks >= MAX_STALLED_CHECKS:
        return SilenceDiagnosis(lost_replica=head.replica)
    return SilenceDiagnosis(wait=True)


def cancel_in_background(progress: Progress, head: Hop) -> None:
    """Cancel the latest attempt at its head, which may not notice that the connection closed."""
    work = _cancel(head, progress.generation.request_id, progress.attempt)
    task = asyncio.ensure_future(work)
    _cancel_tasks.add(task)
    task.add_done_callback(_cancel_tasks.discard)


def _is_ahead(progress: Progress, answer: Result[RequestProgress | None, EngineFault]) -> bool:
    """Return whether the head has made progress (or ended) that did not arrive here."""
    return answer.ok is None or answer.ok.tokens > len(progress.tokens)


async def _responds(hop: Hop) -> bool:
    """Return whether a stage answers over a new connection."""
    return (await read_load(parse_address(hop.address), PROBE_TIMEOUT_MS)).is_ok()


async def _cancel(head: Hop, request_id: str, attempt: int) -> None:
    """Cancel one attempt, and log a failure to do so."""
    address = parse_address(head.address)
    result = await cancel_request(address, request_id, attempt, CANCEL_TIMEOUT_MS)
    if result != Ok(None):
        _log.info("A cancel request failed.", replica=head.replica, request_id=request_id)


_cancel_tasks: set[asyncio.Task[None]] = set()
"""Cancel requests in progress; the references protect the tasks from garbage collection."""
