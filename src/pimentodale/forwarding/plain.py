"""Requests to plain services: one replica each, repeated elsewhere only where that is allowed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from pimentodale.clients.http_call import CallRequest, collect_body, open_call
from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.learning import learn_answer
from pimentodale.forwarding.means import log_broken_send, log_end
from pimentodale.forwarding.refusing import fail, refuse, refuse_convicted
from pimentodale.forwarding.stages import HELD_SPREAD, held_back_ms
from pimentodale.forwarding.stream_passing import CONNECT_TIMEOUT_MS
from pimentodale.placement.messages import PathPart
from pimentodale.results import ResultCode
from pimentodale.site.beliefs import incarnation_of
from pimentodale.site.model import LayerRange, Repeatability

if TYPE_CHECKING:
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest
    from pimentodale.forwarding.messages import BackendAnswer
    from pimentodale.site.model import ReplicaRecord

PATIENCE: Final = 4.0
"""Multiple of the target latency after which a repeatable request goes to another replica too."""

CROSSING_PENALTY: Final = 2.0
"""Requests in progress that a replica in another failure domain counts as having besides."""

FAILURE_PENALTY: Final = 12.0
"""Requests in progress that a replica whose answers all fail counts as having besides."""

RETRY_AFTER_MS: Final = 500.0
"""When a client may come back after all replicas refused; a queue of requests drains in less."""

PASS_OVER_MS: Final = 250.0
"""How long a replica that refused gets no new requests."""

_WHOLE = LayerRange(0, 1)


class SendResult(Enum):
    """What became of one send."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"


@dataclass(slots=True)
class PlainReply:
    """A replica's reply to one send."""

    result: SendResult
    answer: BackendAnswer | None = None
    body: bytes = b""


async def serve_plain(means: ForwardingMeans, routed: RoutedRequest) -> None:
    """Answer a request from a replica of a plain service."""
    is_repeatable = routed.route.repeatability is Repeatability.IDEMPOTENT
    tried: set[str] = set()
    may_have_run = False
    failure: PlainReply | None = None
    while True:
        if await means.crashes.is_refused(routed):
            await refuse_convicted(means, routed)
            return
        left_ms = routed.left_ms(means.clock.now_ms())
        replica = choose_replica(means, routed.service.name, tried)
        if left_ms <= 0 or replica is None or routed.sends >= routed.route.max_attempts:
            break
        if routed.sends > 0 and not means.retries.try_spend(routed.service.name):
            routed.history.append("no retry budget")
            break
        tried.add(replica.replica_id)
        reply = await _send_judged(means, routed, replica, left_ms, is_repeatable)
        _note(means, routed, replica, reply)
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
                await _pass_on(means, routed, reply)
                return
        may_have_run = True
        if not is_repeatable:
            break
    if failure is not None:
        await _pass_on(means, routed, failure)
        return
    await _give_up(means, routed, may_have_run)


def choose_replica(means: ForwardingMeans, service: str, tried: set[str]) -> ReplicaRecord | None:
    """Choose the replica with the least work, own failure domain first.

    Args:
        means: Shared state.
        service: Name of the service.
        tried: Ids of replicas that had their turn.
    """
    best: tuple[float, ReplicaRecord] | None = None
    for replica in means.view.replicas_of(service):
        if replica.replica_id in tried or not means.beliefs.is_usable(replica):
            continue
        work = float(means.loads.total(replica.replica_id).streams)
        if replica.failure_domain != means.failure_domain:
            work += CROSSING_PENALTY
        work += FAILURE_PENALTY * means.beliefs.failure_rate(replica)
        work += means.rng.random()
        if best is None or work < best[0]:
            best = (work, replica)
    return None if best is None else best[1]


async def _send_judged(
    means: ForwardingMeans,
    routed: RoutedRequest,
    replica: ReplicaRecord,
    left_ms: float,
    is_repeatable: bool,
) -> PlainReply:
    """Send a request, and hold it against the request if its replica ends meanwhile."""
    ran_at = means.crashes.list_living([replica.replica_id])
    means.beliefs.hold_offs.note_sent(incarnation_of(replica))
    reply: PlainReply | None = None
    try:
        reply = await _send(means, routed, replica, left_ms, is_repeatable)
        return reply
    finally:
        if reply is not None and reply.result is SendResult.ANSWERED:
            means.crashes.record.clear(routed.fingerprint)
        elif reply is None or reply.result in (SendResult.BROKEN, SendResult.SILENT):
            means.crashes.follow(routed.fingerprint, ran_at, is_fresh=True)


async def _send(
    means: ForwardingMeans,
    routed: RoutedRequest,
    replica: ReplicaRecord,
    left_ms: float,
    is_repeatable: bool,
) -> PlainReply:
    """Send a request to a replica and read its whole answer."""
    wait_ms = left_ms
    if is_repeatable and routed.sends + 1 < routed.route.max_attempts:
        wait_ms = min(left_ms * 0.6, PATIENCE * routed.route.target_latency_ms)
    parts = (PathPart(replica.replica_id, replica.address, _WHOLE),)
    means.loads.add(parts, 0.0)
    try:
        async with asyncio.timeout(wait_ms / MS_PER_S):
            return await _exchange(means, routed, replica, left_ms)
    except TimeoutError:
        return PlainReply(SendResult.SILENT)
    finally:
        means.loads.remove(parts, 0.0)


async def _exchange(
    means: ForwardingMeans, routed: RoutedRequest, replica: ReplicaRecord, left_ms: float
) -> PlainReply:
    """Make one exchange on a connection of its own."""
    request = routed.exchange.request
    # The deadline says what is left by now; opening the connection takes some more of it.
    headers = means.codec.encode_request(
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
        answer = means.codec.decode_answer(call.status, call.headers, request.attempt_id)
        learn_answer(means, replica, answer)
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


def _note(
    means: ForwardingMeans, routed: RoutedRequest, replica: ReplicaRecord, reply: PlainReply
) -> None:
    """Keep what a send showed of its replica."""
    status = "" if reply.answer is None else f" {reply.answer.status}"
    routed.history.append(f"{replica.replica_id}: {reply.result.value}{status}")
    if reply.result is not SendResult.ANSWERED:
        log_broken_send(means, routed, [replica.replica_id], reply.result.value)
    incarnation = incarnation_of(replica)
    if reply.result is SendResult.NOT_SENT:
        means.beliefs.mark_down(incarnation, "it can't be connected to")
    elif reply.result is SendResult.REFUSED:
        means.beliefs.pass_over(incarnation, PASS_OVER_MS)
    else:
        means.beliefs.note_result(incarnation, reply.result is SendResult.ANSWERED)


async def _pass_on(means: ForwardingMeans, routed: RoutedRequest, reply: PlainReply) -> None:
    """Give the client the replica's answer unchanged."""
    answer = reply.answer
    if answer is None:
        return
    log_end(means, routed, ResultCode.OK, answer.status)
    await routed.exchange.answer(answer.status, answer.headers, reply.body)


async def _give_up(means: ForwardingMeans, routed: RoutedRequest, may_have_run: bool) -> None:
    """Answer a request that no replica answered."""
    exchange = routed.exchange
    is_late = routed.left_ms(means.clock.now_ms()) <= 0
    if may_have_run:
        code = ResultCode.DEADLINE_EXCEEDED if is_late else ResultCode.BACKEND_SERVER_LOST
        log_end(means, routed, code, 504 if is_late else 502)
        await fail(exchange, code, "No replica gave a whole answer; it may have run.")
        return
    code = ResultCode.BACKEND_SERVER_UNREACHABLE
    log_end(means, routed, code, 503)
    message = "No replica takes requests now; it has not run, come back."
    held_ms = held_back_ms(means, routed.service.name)
    # Clients that come back to replicas that were held back come one by one over some time.
    retry_after_ms = max(RETRY_AFTER_MS, held_ms * means.rng.uniform(1.0, HELD_SPREAD))
    await refuse(exchange, code, message, retry_after_ms=retry_after_ms)
