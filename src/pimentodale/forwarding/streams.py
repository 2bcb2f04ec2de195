"""Streams from engines: relayed to the client, and resumed elsewhere within the same response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.context import log_end, log_failed_send
from pimentodale.forwarding.crash_detector import MIN_PROGRESS_EVENTS
from pimentodale.forwarding.error_responses import refuse_quarantined, send_failure, send_refusal
from pimentodale.forwarding.passive_health import (
    faulty_replica_id,
    has_stalled,
    record_send_outcome,
)
from pimentodale.forwarding.path_queue import PathRequest
from pimentodale.forwarding.path_selection import (
    CAPACITY_WAIT_MS,
    HOLD_OFF_SPREAD,
    choose_path,
    count_crossings,
    covers_model,
    model_hold_off_ms,
    reload_estimate_ms,
    tokens_held,
)
from pimentodale.forwarding.stream_monitor import CHECK_INTERVAL_MS, PAUSE_MS, send_monitored
from pimentodale.forwarding.stream_state import SendEnd, SharedStreamState, StreamState
from pimentodale.results import ResultCode
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest

RESUME_WAIT_MS: Final = 1_200.0
"""Longest wait for a path by a stream with relayed events; its client would abandon it later on."""

HOLD_OFF_WAIT_MS: Final = 300.0
"""Longest wait for the end of the replicas' hold-offs: only one request is sent after a hold-off at
first, so most waiting requests would be refused anyway."""

ENDED_WAIT_MS: Final = 800.0
"""Longest wait until a stopped replica that ran a stream is detected: a probe takes less."""

MAX_SENDS: Final = 6
"""Maximum number of sends for a client's attempt, including refused ones."""


async def serve_stream(
    ctx: ForwardingContext, shared_streams: SharedStreamState, routed: RoutedRequest
) -> None:
    """Answer a request with a stream of events."""
    request = routed.exchange.request
    engine = routed.service.engine
    if engine is None:
        log_end(ctx, routed, ResultCode.UNKNOWN_MODEL, 502)
        await send_failure(routed.exchange, ResultCode.UNKNOWN_MODEL, "The service runs no engine.")
        return
    state = StreamState(request.last_event_id, tokens_held(engine, request))
    while True:
        if await ctx.crashes.is_refused(routed):
            await refuse_quarantined(ctx, routed)
            return
        end = await _next_send(ctx, shared_streams, routed, state)
        if end is None:
            await _give_up(ctx, shared_streams, routed, state)
            return
        if end in (SendEnd.WHOLE, SendEnd.PASSED_ON):
            log_end(ctx, routed, ResultCode.OK, state.status)
            return
        if end is SendEnd.TIMED_OUT:
            log_end(ctx, routed, ResultCode.DEADLINE_EXCEEDED, 504)
            message = "The time was over before the answer was whole."
            await send_failure(routed.exchange, ResultCode.DEADLINE_EXCEEDED, message)
            return
        if end is SendEnd.BROKEN:
            state.broken_at_start += state.send_events == 0
        is_over = state.broken_at_start >= routed.route.max_attempts
        if is_over or (state.may_have_run and not routed.route.is_resumable):
            await _give_up(ctx, shared_streams, routed, state)
            return


async def _next_send(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
) -> SendEnd | None:
    """Send the stream again; return `None` if that is not possible."""
    if routed.sends >= MAX_SENDS:
        return None
    left_ms = routed.left_ms(ctx.clock.now_ms())
    wait_ms = RESUME_WAIT_MS if routed.exchange.is_begun else CAPACITY_WAIT_MS
    heads = await _wait_for_heads(ctx, routed, state)
    if heads is not None and not heads:
        routed.history.append("it may have run at as many replicas as the route allows")
        return None
    path_request = _create_path_request(ctx, routed, state, heads)
    path = await shared_streams.queue.wait(path_request, min(wait_ms, left_ms))
    if path is None:
        return None
    if ctx.crashes.record.is_convicted(routed.fingerprint) and not routed.is_on_trial:
        routed.history.append("quarantined while it waited")
        return None
    if routed.sends > 0 and not ctx.retries.try_spend(routed.service.name):
        routed.history.append("no retry budget")
        return None
    state.path = path
    head_record = ctx.view.replicas.get(path.parts[0].replica_id)
    if head_record is not None:
        ctx.replica_health.hold_offs.note_sent(incarnation_of(head_record))
    state.executed_on = ctx.crashes.list_alive(part.replica_id for part in path.parts)
    state.sent_ms = state.active_ms = ctx.clock.now_ms()
    state.send_events = 0
    state.is_head_at_fault = True
    state.refused = None
    state.faulty_address = ""
    end = await _send_counted(ctx, shared_streams, routed, state, path_request)
    head = path.parts[0].replica_id
    outcome = f"{end.value}, {state.send_events} events"
    if state.refused is not None:
        outcome = f"refused, {state.refused.value} at {faulty_replica_id(state) or head}"
    crossings = count_crossings(ctx, path)
    crossed = f" crossing {crossings} domain borders" if crossings else ""
    routed.history.append(f"{head}+{len(path.parts) - 1}{crossed}: {outcome}")
    if end not in (SendEnd.WHOLE, SendEnd.PASSED_ON):
        log_failed_send(ctx, routed, [part.replica_id for part in path.parts], end.value)
    record_send_outcome(ctx, routed.service, state, end)
    return end


def _is_healthy_end(
    ctx: ForwardingContext, state: StreamState, end: SendEnd | None, waited_ms: float
) -> bool:
    """Whether a send ended on healthy replicas: no capacity, timeout or client disconnect."""
    if end is SendEnd.REFUSED:
        return not has_stalled(ctx, waited_ms)
    return end in (None, SendEnd.TIMED_OUT) and state.send_events > 0 and waited_ms < PAUSE_MS


def _create_path_request(
    ctx: ForwardingContext,
    routed: RoutedRequest,
    state: StreamState,
    heads: frozenset[str] | None,
) -> PathRequest:
    """Return the path request of the next send."""
    service, tokens = routed.service, state.tokens
    avoid = state.avoid.difference(heads or ())
    engine = service.engine
    usual = tokens if engine is None else engine.mean_prompt_tokens + engine.mean_answer_tokens
    return PathRequest(
        workspace=routed.workspace or "",
        rank=0 if routed.exchange.is_begun else routed.priority + 1,
        tokens=tokens,
        usual_tokens=usual,
        is_begun=routed.exchange.is_begun,
        find=lambda: choose_path(ctx, service, tokens, avoid, heads=heads),
        is_feasible=lambda: covers_model(ctx, service, max_hold_off_ms=HOLD_OFF_WAIT_MS),
        reserve=lambda path: ctx.loads.add(path.parts, tokens),
        release=lambda path: ctx.loads.remove(path.parts, tokens),
    )


async def _send_counted(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    path_request: PathRequest,
) -> SendEnd:
    """Send a stream, and count it as running for its workspace meanwhile."""
    shared_streams.queue.started(path_request.workspace, path_request.tokens)
    started_ms = ctx.clock.now_ms()
    end: SendEnd | None = None
    try:
        end = await send_monitored(ctx, shared_streams, routed, state)
        return end
    finally:
        shared_streams.queue.ended(
            path_request.workspace, path_request.tokens, ctx.clock.now_ms() - started_ms
        )
        _record_crash_evidence(ctx, routed, state, end)


def _record_crash_evidence(
    ctx: ForwardingContext, routed: RoutedRequest, state: StreamState, end: SendEnd | None
) -> None:
    """Clear the crash record of a complete request; otherwise observe the replicas of its send.

    Args:
        ctx: State shared by all requests.
        routed: The request.
        state: The stream.
        end: How the send ended; `None` if the client has disconnected.
    """
    if end in (SendEnd.WHOLE, SendEnd.PASSED_ON):
        ctx.crashes.record.clear(routed.fingerprint)
        return
    waited_ms = ctx.clock.now_ms() - state.active_ms
    if end is SendEnd.NOT_SENT or _is_healthy_end(ctx, state, end, waited_ms):
        return
    is_fresh = state.send_events < MIN_PROGRESS_EVENTS
    ctx.crashes.observe_send(routed.fingerprint, state.executed_on, is_fresh=is_fresh)


async def _wait_for_heads(
    ctx: ForwardingContext, routed: RoutedRequest, state: StreamState
) -> frozenset[str] | None:
    """Return the head replicas that the next send may use; `None` for any.

    If there are none, wait shortly: a probe may show that a replica which ran the stream has
    stopped.
    """
    end_ms = ctx.clock.now_ms() + min(ENDED_WAIT_MS, routed.left_ms(ctx.clock.now_ms()))
    while True:
        heads = state.used_heads.allowed(routed.route.max_attempts, ctx.crashes.has_ended)
        if heads is None or heads or ctx.clock.now_ms() >= end_ms:
            return heads
        await ctx.clock.sleep_ms(CHECK_INTERVAL_MS)


async def _give_up(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
) -> None:
    """Send the error response for a stream that cannot be sent again."""
    exchange: ClientExchange = routed.exchange
    is_trial_unused = routed.is_on_trial and routed.sends == 0
    if ctx.crashes.record.is_convicted(routed.fingerprint) and not is_trial_unused:
        await refuse_quarantined(ctx, routed)
        return
    if state.may_have_run:
        log_end(ctx, routed, ResultCode.BACKEND_SERVER_LOST, 0 if exchange.is_begun else 502)
        message = "The stream broke off and could not be resumed."
        await send_failure(exchange, ResultCode.BACKEND_SERVER_LOST, message)
        return
    engine = routed.service.engine
    if covers_model(ctx, routed.service) or engine is None:
        log_end(ctx, routed, ResultCode.QUEUE_FULL, 503)
        message = "All replicas are full; it has not run, come back."
        held_ms = model_hold_off_ms(ctx, routed.service) * ctx.rng.uniform(1.0, HOLD_OFF_SPREAD)
        retry_after_ms = max(shared_streams.retry_schedule.take_retry_after_ms(), held_ms)
        await send_refusal(
            exchange, ResultCode.QUEUE_FULL, message, retry_after_ms=retry_after_ms, status=503
        )
        return
    log_end(ctx, routed, ResultCode.NO_ROUTE, 503)
    message = "Some layers are being loaded anew; it has not run, come back."
    await send_refusal(
        exchange, ResultCode.NO_ROUTE, message, retry_after_ms=reload_estimate_ms(engine)
    )
