"""Requests to plain services: sent to one replica, and to others only if they may be repeated."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from pimentodale.clients.http_call import CallRequest, collect_body, open_call
from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.context import log_end, log_failed_send
from pimentodale.forwarding.error_responses import refuse_quarantined, send_failure, send_refusal
from pimentodale.forwarding.passive_health import record_answer
from pimentodale.forwarding.path_selection import HOLD_OFF_SPREAD, service_hold_off_ms
from pimentodale.forwarding.stream_relay import CONNECT_TIMEOUT_MS
from pimentodale.placement.messages import PathPart
from pimentodale.results import ResultCode
from pimentodale.site.model import LayerRange, Repeatability
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest
    from pimentodale.forwarding.messages import BackendAnswer
    from pimentodale.site.model import ReplicaRecord

SEND_TIMEOUT_FACTOR: Final = 4.0
"""Multiple of the target latency after which a repeatable request is sent to another replica."""

CROSSING_PENALTY: Final = 2.0
"""Requests in progress added to the count of a replica in another failure domain."""

FAILURE_PENALTY: Final = 12.0
"""Requests in progress added to the count of a replica whose responses all fail."""

RETRY_AFTER_MS: Final = 500.0
"""Retry-After time once all replicas have refused; a queue of requests drains in less."""

REFUSAL_BACKOFF_MS: Final = 250.0
"""How long a replica gets no new requests after a refusal."""

_SINGLE_LAYER = LayerRange(0, 1)


class SendResult(Enum):
    """Outcome of one send of a plain request."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(slots=True)
class PlainReply:
    """Result of one send, with the replica's response if there is one."""

    result: SendResult
    answer: BackendAnswer | None = None
    body: bytes = b""


async def serve_plain(ctx: ForwardingContext, routed: RoutedRequest) -> None:
    """Answer a request with the response of a replica of a plain service."""
    is_repeatable = routed.route.repeatability is Repeatability.IDEMPOTENT
    tried: set[str] = set()
    may_have_run = False
    failure: PlainReply | None = None
    while True:
        if await ctx.crashes.is_refused(routed):
            await refuse_quarantined(ctx, routed)
            return
        left_ms = routed.left_ms(ctx.clock.now_ms())
        replica = choose_replica(ctx, routed.service.name, tried)
        if left_ms <= 0 or replica is None or routed.sends >= routed.route.max_attempts:
            break
        if routed.sends > 0 and not ctx.retries.try_spend(routed.service.name):
            routed.history.append("no retry budget")
            break
        tried.add(replica.replica_id)
        reply = await _send_tracked(ctx, routed, replica, left_ms, is_repeatable)
        _record_outcome(ctx, routed, replica, reply)
        if reply.result is SendResult.NOT_SENT:
            continue
        routed.sends += 1
        if reply.result is SendResult.REFUSED:
            continue
        answer = reply.answer
        if answer is not None and reply.result is SendResult.ANSWERED:
            failure = reply
            may_repeat = is_repeatable and answer.status >= 500
            if not may_repeat or routed.sends >= routed.route.max_attempts:
                await _relay_reply(ctx, routed, reply)
                return
        may_have_run = True
        if not is_repeatable:
            break
    if failure is not None:
        await _relay_reply(ctx, routed, failure)
        return
    await _give_up(ctx, routed, may_have_run)


def choose_replica(ctx: ForwardingContext, service: str, tried: set[str]) -> ReplicaRecord | None:
    """Choose the least loaded replica, with a preference for this host's failure domain.

    Args:
        ctx: State shared by all requests.
        service: Name of the service.
        tried: Ids of replicas that were tried already.
    """
    best: tuple[float, ReplicaRecord] | None = None
    for replica in ctx.view.replicas_of(service):
        if replica.replica_id in tried or not ctx.replica_health.is_usable(replica):
            continue
        work = float(ctx.loads.total(replica.replica_id).streams)
        if replica.failure_domain != ctx.failure_domain:
            work += CROSSING_PENALTY
        work += FAILURE_PENALTY * ctx.replica_health.failure_rate(replica)
        work += ctx.rng.random()
        if best is None or work < best[0]:
            best = (work, replica)
    return None if best is None else best[1]


async def _send_tracked(
    ctx: ForwardingContext,
    routed: RoutedRequest,
    replica: ReplicaRecord,
    left_ms: float,
    is_repeatable: bool,
) -> PlainReply:
    """Send a request, and have the crash detector check the replica if the send fails."""
    executed_on = ctx.crashes.list_alive([replica.replica_id])
    ctx.replica_health.hold_offs.note_sent(incarnation_of(replica))
    reply: PlainReply | None = None
    try:
        reply = await _send(ctx, routed, replica, left_ms, is_repeatable)
        return reply
    finally:
        if reply is not None and reply.result is SendResult.ANSWERED:
            ctx.crashes.record.clear(routed.fingerprint)
        elif reply is None or reply.result in (SendResult.BROKEN, SendResult.SILENT):
            ctx.crashes.observe_send(routed.fingerprint, executed_on, is_fresh=True)


async def _send(
    ctx: ForwardingContext,
    routed: RoutedRequest,
    replica: ReplicaRecord,
    left_ms: float,
    is_repeatable: bool,
) -> PlainReply:
    """Send a request to a replica and read the complete response, with a time limit."""
    wait_ms = left_ms
    if is_repeatable and routed.sends + 1 < routed.route.max_attempts:
        wait_ms = min(left_ms * 0.6, SEND_TIMEOUT_FACTOR * routed.route.target_latency_ms)
    parts = (PathPart(replica.replica_id, replica.address, _SINGLE_LAYER),)
    ctx.loads.add(parts, 0.0)
    try:
        async with asyncio.timeout(wait_ms / MS_PER_S):
            return await _exchange(ctx, routed, replica, left_ms)
    except TimeoutError:
        return PlainReply(SendResult.SILENT)
    finally:
        ctx.loads.remove(parts, 0.0)


async def _exchange(
    ctx: ForwardingContext, routed: RoutedRequest, replica: ReplicaRecord, left_ms: float
) -> PlainReply:
    """Make one exchange on a new connection."""
    request = routed.exchange.request
    # The deadline header has the time left now; connecting takes a little more of it.
    headers = ctx.codec.encode_request(
        request, routed.workspace, left_ms, replica.replica_id, (), None
    )
    call_request = CallRequest(
        method=request.method, path=request.path, headers=headers, body=request.body
    )
    opened = await open_call(replica.address, call_request, left_ms, CONNECT_TIMEOUT_MS)
    if opened.is_error():
        return PlainReply(SendResult.BROKEN if opened.error.sent else SendResult.NOT_SENT)
    call = opened.ok
    try:
        answer = ctx.codec.decode_answer(call.status, call.headers, request.attempt_id)
        record_answer(ctx, replica, answer)
        if answer.refused is not None:
            return PlainReply(SendResult.REFUSED, answer)
        if not answer.is_genuine or answer.claims_not_run:
            return PlainReply(SendResult.BROKEN, answer)
        body = await collect_body(call, left_ms)
    finally:
        call.close()
    if body.is_error():
        routed.history.append(body.error.message)
        return PlainReply(SendResult.BROKEN, answer)
    return PlainReply(SendResult.ANSWERED, answer, body.ok)


def _record_outcome(
    ctx: ForwardingContext, routed: RoutedRequest, replica: ReplicaRecord, reply: PlainReply
) -> None:
    """Update the beliefs about a replica from the outcome of a send, and log a failed one."""
    status = "" if reply.answer is None else f" {reply.answer.status}"
    routed.history.append(f"{replica.replica_id}: {reply.result.value}{status}")
    if reply.result is not SendResult.ANSWERED:
        log_failed_send(ctx, routed, [replica.replica_id], reply.result.value)
    incarnation = incarnation_of(replica)
    if reply.result is SendResult.NOT_SENT:
        ctx.replica_health.mark_down(incarnation, "it can't be connected to")
    elif reply.result is SendResult.REFUSED:
        ctx.replica_health.exclude_for(incarnation, REFUSAL_BACKOFF_MS)
    else:
        ctx.replica_health.note_result(incarnation, reply.result is SendResult.ANSWERED)


async def _relay_reply(ctx: ForwardingContext, routed: RoutedRequest, reply: PlainReply) -> None:
    """Forward the replica's response to the client unchanged."""
    answer = reply.answer
    if answer is None:
        return
    log_end(ctx, routed, ResultCode.OK, answer.status)
    await routed.exchange.answer(answer.status, answer.headers, reply.body)


async def _give_up(ctx: ForwardingContext, routed: RoutedRequest, may_have_run: bool) -> None:
    """Send the error response for a request that no replica answered."""
    exchange = routed.exchange
    is_late = routed.left_ms(ctx.clock.now_ms()) <= 0
    if may_have_run:
        code = ResultCode.DEADLINE_EXCEEDED if is_late else ResultCode.BACKEND_SERVER_LOST
        log_end(ctx, routed, code, 504 if is_late else 502)
        await send_failure(exchange, code, "No replica gave a whole answer; it may have run.")
        return
    code = ResultCode.BACKEND_SERVER_UNREACHABLE
    log_end(ctx, routed, code, 503)
    message = "No replica takes requests now; it has not run, come back."
    held_ms = service_hold_off_ms(ctx, routed.service.name)
    # The random factor spreads the clients' retries over some time after the hold-off ends.
    retry_after_ms = max(RETRY_AFTER_MS, held_ms * ctx.rng.uniform(1.0, HOLD_OFF_SPREAD))
    await send_refusal(exchange, code, message, retry_after_ms=retry_after_ms)
