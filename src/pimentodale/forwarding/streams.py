"""Streams from engines: relayed to the client, and resumed elsewhere within the same response."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.context import log_end
from pimentodale.forwarding.error_responses import refuse_quarantined, send_failure, send_refusal
from pimentodale.forwarding.overlapping_sends import (
    CHECK_INTERVAL_MS,
    MAX_SENDS,
    create_send,
    run_sends,
)
from pimentodale.forwarding.path_requests import create_path_request
from pimentodale.forwarding.path_selection import (
    CAPACITY_WAIT_MS,
    HOLD_OFF_SPREAD,
    covers_model,
    model_hold_off_ms,
    reload_estimate_ms,
    tokens_held,
)
from pimentodale.forwarding.stream_state import SendEnd, SharedStreamState, StreamState
from pimentodale.results import ResultCode

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest

RESUME_WAIT_MS: Final = 1_200.0
"""Longest wait for a path by a stream with relayed events; its client would abandon it later on."""

ENDED_WAIT_MS: Final = 800.0
"""Longest wait until a stopped replica that ran a stream is detected: a probe takes less."""


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
    if ctx.crashes.may_be_cleared(routed) and not covers_model(ctx, routed.service):
        # A trial needs a path.
        await refuse_quarantined(ctx, routed)
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
    path_request = create_path_request(ctx, routed, state, heads)
    path = await shared_streams.queue.wait(path_request, min(wait_ms, left_ms))
    if path is None:
        return None
    if ctx.crashes.is_convicted(routed) and not routed.is_on_trial:
        routed.history.append("quarantined while it waited")
        return SendEnd.NOT_SENT
    if routed.sends > 0 and not ctx.retries.try_spend(routed.service.name):
        routed.history.append("no retry budget")
        return None
    return await run_sends(ctx, shared_streams, routed, state, create_send(ctx, path))


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
    if ctx.crashes.is_convicted(routed) and not is_trial_unused:
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
