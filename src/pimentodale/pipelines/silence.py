"""What a silent stream means: a dead stage, a dead connection, or only a slow engine.

The connection is suspected first. Every stage is asked over a fresh connection of its own, and the
head how far it is. A stage that does not answer is lost. A head that has more tokens than came here
has a dead connection to this host. A head that has just as many is slow, and is waited for.
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
    from pimentodale.pipelines.means import Progress
    from pimentodale.routing.routes import Route

PROBE_TIMEOUT_MS: Final = 300.0
"""Longest wait for a stage that is asked whether it lives."""

CANCEL_TIMEOUT_MS: Final = 2_000.0
"""Longest time for cancelling an attempt behind a dead connection."""

MAX_STALLED_CHECKS: Final = 4
"""Chunk time-outs without a new token after which a route is given up though all of it answers."""

_log = get_log("pipelines")


class SilenceVerdict(msgspec.Struct, frozen=True):
    """What to make of a silent stream."""

    wait: bool = False
    """Whether the stream is only slow and is read on."""

    lost_replica: str = ""
    """A stage that does not answer; empty when it is the connection."""


async def examine_silence(progress: Progress, route: Route, stalled_checks: int) -> SilenceVerdict:
    """Find out why a stream went silent.

    Args:
        progress: The generation.
        route: Route of the silent attempt.
        stalled_checks: Chunk time-outs before this one with no new token.

    Returns:
        Whether to wait, or what was lost.
    """
    head = route.hops[0]
    request_id = progress.generation.request_id
    asked_head = read_progress(
        parse_address(head.address), request_id, progress.attempt, PROBE_TIMEOUT_MS
    )
    # A later stage that a partition hides from this host alone still serves the head, so its
    # silence is weighed only when the head has no news.
    asked_stages = asyncio.gather(*[_answers(hop) for hop in route.hops[1:]])
    answer, stages = await asyncio.gather(asked_head, asked_stages)
    if answer.is_error():
        return SilenceVerdict(lost_replica=head.replica)
    if _is_ahead(progress, answer):
        return SilenceVerdict()
    for hop, answers in zip(route.hops[1:], stages, strict=True):
        if not answers:
            return SilenceVerdict(lost_replica=hop.replica)
    if stalled_checks >= MAX_STALLED_CHECKS:
        return SilenceVerdict(lost_replica=head.replica)
    return SilenceVerdict(wait=True)


def cancel_in_background(progress: Progress, head: Hop) -> None:
    """Cancel the latest attempt at its head, which may not see that the connection was closed."""
    work = _cancel(head, progress.generation.request_id, progress.attempt)
    task = asyncio.ensure_future(work)
    _cancelling.add(task)
    task.add_done_callback(_cancelling.discard)


def _is_ahead(progress: Progress, answer: Result[RequestProgress | None, EngineFault]) -> bool:
    """Whether the head has gone on (or ended) without its bytes coming here."""
    return answer.ok is None or answer.ok.tokens > len(progress.tokens)


async def _answers(hop: Hop) -> bool:
    """Whether a stage answers over a fresh connection."""
    return (await read_load(parse_address(hop.address), PROBE_TIMEOUT_MS)).is_ok()


async def _cancel(head: Hop, request_id: str, attempt: int) -> None:
    """Cancel one attempt and log where that fails."""
    address = parse_address(head.address)
    result = await cancel_request(address, request_id, attempt, CANCEL_TIMEOUT_MS)
    if result != Ok(None):
        _log.info("A cancel call had no answer.", replica=head.replica, request_id=request_id)


_cancelling: set[asyncio.Task[None]] = set()
"""Cancel calls under way, kept so that they are not collected."""
