"""Requests to plain services: sent to one replica, and to others only if they may be repeated."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Final

from pimentodale.clients.http_call import CallRequest, collect_body, open_call
from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.context import log_end, log_failed_send
from pimentodale.forwarding.error_responses import refuse_quarantined, send_failure, send_refusal
from pimentodale.forwarding.passive_health import record_answer, record_unreachable
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
    from pimentodale.site.replica_health import Incarnation

SILENT_FACTOR: Final = 4.0
"""Multiple of the target latency after which a repeatable request is sent to another replica too."""

MAX_PATIENCE_FRACTION: Final = 0.6
"""Fraction of the time left after which that happens at the latest."""

RECHECK_MS: Final = 100.0
"""Interval at which another replica is looked for while all sends are silent."""

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
    if ctx.crashes.may_be_cleared(routed) and not choose_replica(ctx, routed.service.name, set()):
        # A trial needs a replica.
        await refuse_quarantined(ctx, routed)
        return
    sends = _PlainSends(ctx, routed)
    try:
        while True:
            if not sends.running and await ctx.crashes.is_refused(routed):
                await refuse_quarantined(ctx, routed)
                return
            if not sends.start_next() and (not sends.running or sends.is_failure_due()):
                break
            reply = await sends.wait()
            if reply is not None:
                await _relay_reply(ctx, routed, reply)
                return
    finally:
        sends.close()
    if sends.failure is not None:
        await _relay_reply(ctx, routed, sends.failure)
        return
    await _give_up(ctx, routed, sends.may_have_run)


@dataclass(slots=True, eq=False)
class _PlainSend:
    """A send in progress."""

    replica: ReplicaRecord
    exchange: asyncio.Task[PlainReply]
    executed_on: list[Incarnation]
    started_ms: float
    is_silent: bool = False
    """Whether it was silent for longer than replicas usually need."""

    is_observed: bool = False
    """Whether its replica is observed for a crash."""


class _PlainSends:
    """The sends of a plain request.

    A silent send of a repeatable request goes on beside the next one, as its replica may only have
    paused. The first good response is the answer.
    """

    __slots__ = (
        "_ctx",
        "_failed_ms",
        "_is_repeatable",
        "_routed",
        "_tried",
        "failure",
        "may_have_run",
        "running",
    )

    def __init__(self, ctx: ForwardingContext, routed: RoutedRequest) -> None:
        self._ctx = ctx
        self._routed = routed
        self._is_repeatable = routed.route.repeatability is Repeatability.IDEMPOTENT
        self._tried: set[str] = set()
        self.running: list[_PlainSend] = []
        """Sends in progress, oldest first."""
        self.failure: PlainReply | None = None
        """The last response of a replica that failed."""
        self._failed_ms: float | None = None
        self.may_have_run = False
        """Whether a replica may have run the request."""

    def start_next(self) -> bool:
        """Start the first send, or one beside those in progress once all of them are silent.

        Returns:
            Whether one was started.
        """
        ctx, routed = self._ctx, self._routed
        left_ms = routed.left_ms(ctx.clock.now_ms())
        if self.may_have_run and not self._is_repeatable:
            return False
        if left_ms <= 0 or routed.sends >= routed.route.max_attempts or self._patience_ms() > 0:
            return False
        for silent in self.running:
            self._note_silent(silent)
        if self.running and not self._may_repeat():
            return False
        replica = choose_replica(ctx, routed.service.name, self._tried)
        if replica is None:
            return False
        if routed.sends > 0 and not ctx.retries.try_spend(routed.service.name):
            self._note_no_budget()
            return False
        self._tried.add(replica.replica_id)
        executed_on = ctx.crashes.list_alive([replica.replica_id])
        ctx.replica_health.hold_offs.note_sent(incarnation_of(replica))
        # Counted now, as the client may leave before there is a response.
        routed.sends += 1
        exchange = asyncio.ensure_future(_send(ctx, routed, replica, left_ms))
        now_ms = ctx.clock.now_ms()
        self.running.append(_PlainSend(replica, exchange, executed_on, now_ms))
        return True

    async def wait(self) -> PlainReply | None:
        """Wait until a send ends or a further one may start; return the final response, if any."""
        exchanges = {send.exchange for send in self.running}
        timeout_ms = max(self._patience_ms(), RECHECK_MS) if self._is_repeatable else None
        timeout_s = None if timeout_ms is None else timeout_ms / MS_PER_S
        await asyncio.wait(exchanges, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        self._drop_restarted()
        for send in [each for each in self.running if each.exchange.done()]:
            self.running.remove(send)
            reply = send.exchange.result()
            self._note_end(send, reply)
            if self._is_final(reply):
                return reply
        return None

    def close(self) -> None:
        """End the sends that are still in progress."""
        for send in self.running:
            send.exchange.cancel()
            self._observe(send)
            self._routed.history.append(f"{send.replica.replica_id}: unfinished")

    def _note_end(self, send: _PlainSend, reply: PlainReply) -> None:
        """Record how a send ended."""
        ctx, routed = self._ctx, self._routed
        _record_outcome(ctx, routed, send, reply)
        if reply.result is SendResult.NOT_SENT:
            routed.sends -= 1
        elif reply.result is SendResult.ANSWERED:
            ctx.crashes.record.clear(routed.fingerprint)
            self.failure = reply
            self._failed_ms = ctx.clock.now_ms()
        elif reply.result is SendResult.REFUSED:
            routed.rejections += 1
        else:
            self._observe(send)
        if reply.result not in (SendResult.NOT_SENT, SendResult.REFUSED):
            self.may_have_run = True

    def _is_final(self, reply: PlainReply) -> bool:
        """Whether a response is the answer; a failure is, if the request may not be sent again."""
        if reply.answer is None or reply.result is not SendResult.ANSWERED:
            return False
        if not self._is_repeatable or reply.answer.status < 500:
            return True
        return not self.running and self._routed.sends >= self._routed.route.max_attempts

    def _drop_restarted(self) -> None:
        """End silent sends whose replica has started anew and no longer runs them.

        Others go on: the replica may have started before they were sent, and its record come later.
        """
        restarted = self._ctx.crashes.has_restarted
        for send in list(self.running):
            if send.exchange.done() or not send.is_silent:
                continue
            if not any(map(restarted, send.executed_on)):
                continue
            send.exchange.cancel()
            self.running.remove(send)
            self._note_end(send, PlainReply(SendResult.BROKEN))

    def is_failure_due(self) -> bool:
        """Whether to answer with the failure that a replica gave, as the other sends stay silent."""
        if self.failure is None or self._failed_ms is None or not self.running:
            return False
        waited_ms = self._ctx.clock.now_ms() - self._failed_ms
        return waited_ms >= SILENT_FACTOR * self._routed.route.target_latency_ms

    def _patience_ms(self) -> float:
        """Return how long to wait until the newest send in progress is silent; 0 if it is."""
        if not self.running:
            return 0.0
        if not self._is_repeatable:
            return math.inf
        ctx, routed, newest = self._ctx, self._routed, self.running[-1]
        given_ms = routed.left_ms(newest.started_ms) * MAX_PATIENCE_FRACTION
        given_ms = min(given_ms, SILENT_FACTOR * routed.route.target_latency_ms)
        return max(0.0, given_ms - ctx.own_pauses.silence_ms(newest.started_ms))

    def _may_repeat(self) -> bool:
        """Whether the request is known not to have crashed the replicas that are silent."""
        crashes, routed = self._ctx.crashes, self._routed
        return not crashes.awaits_verdict(routed) and not crashes.is_convicted(routed)

    def _note_no_budget(self) -> None:
        """Note for the log that the budget allowed no further send."""
        if "no retry budget" not in self._routed.history:
            self._routed.history.append("no retry budget")

    def _note_silent(self, send: _PlainSend) -> None:
        """Count a silent send against its replica, once."""
        self._observe(send)
        if not send.is_silent:
            send.is_silent = True
            self._ctx.replica_health.note_result(incarnation_of(send.replica), False)

    def _observe(self, send: _PlainSend) -> None:
        """Observe a send's replica for a crash, once."""
        if send.is_observed:
            return
        send.is_observed = True
        self._ctx.crashes.observe_send(self._routed, send.executed_on)


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


async def _send(
    ctx: ForwardingContext, routed: RoutedRequest, replica: ReplicaRecord, left_ms: float
) -> PlainReply:
    """Send a request to a replica and read the complete response, with a time limit."""
    parts = (PathPart(replica.replica_id, replica.address, _SINGLE_LAYER),)
    ctx.loads.add(parts, 0.0)
    try:
        async with asyncio.timeout(left_ms / MS_PER_S):
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
        routed.history.append(opened.error.message)
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
    ctx: ForwardingContext, routed: RoutedRequest, send: _PlainSend, reply: PlainReply
) -> None:
    """Update the beliefs about a replica from the outcome of a send, and log a failed one."""
    replica = send.replica
    status = "" if reply.answer is None else f" {reply.answer.status}"
    routed.history.append(f"{replica.replica_id}: {reply.result.value}{status}")
    if reply.result is not SendResult.ANSWERED:
        log_failed_send(ctx, routed, [replica.replica_id], reply.result.value)
    incarnation = incarnation_of(replica)
    if reply.result is SendResult.NOT_SENT:
        record_unreachable(ctx, incarnation, send.started_ms)
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
