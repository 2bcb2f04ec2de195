"""Streams from engines: events passed on as they come, and resumed elsewhere within one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.crash_watch import PROVING_EVENTS
from pimentodale.forwarding.learning import faulty_part, has_stalled, learn
from pimentodale.forwarding.means import log_broken_send, log_end
from pimentodale.forwarding.path_queue import PathSeeker
from pimentodale.forwarding.refusing import fail, refuse, refuse_convicted
from pimentodale.forwarding.stages import (
    HELD_SPREAD,
    ROOM_WAIT_MS,
    choose_path,
    count_crossings,
    covers_model,
    held_model_ms,
    repair_ms,
    tokens_held,
)
from pimentodale.forwarding.stream_state import AttemptEnd, StreamPool, StreamState
from pimentodale.forwarding.stream_watch import CHECK_INTERVAL_MS, PAUSE_MS, send_watched
from pimentodale.results import ResultCode
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest

RESUME_WAIT_MS: Final = 1_200.0
"""Longest wait for a path by a stream that has begun, before its client gives it up."""

HELD_WAIT_MS: Final = 300.0
"""Longest wait for replicas that want nothing from this host: the first request afterwards goes alone, so
that most who wait would be refused all the same."""

ENDED_WAIT_MS: Final = 800.0
"""Longest wait until it shows that a replica has ended that ran a stream: a probe has ended by then."""

MAX_SENDS: Final = 6
"""Most sends of one attempt, refused ones included."""


async def serve_stream(means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest) -> None:
    """Answer a request with a stream of events."""
    request = routed.exchange.request
    engine = routed.service.engine
    if engine is None:
        log_end(means, routed, ResultCode.UNKNOWN_MODEL, 502)
        await fail(routed.exchange, ResultCode.UNKNOWN_MODEL, "The service runs no engine.")
        return
    state = StreamState(request.last_event_id, tokens_held(engine, request))
    while True:
        if await means.crashes.is_refused(routed):
            await refuse_convicted(means, routed)
            return
        end = await _next_send(means, pool, routed, state)
        if end is None:
            await _give_up(means, pool, routed, state)
            return
        if end in (AttemptEnd.WHOLE, AttemptEnd.PASSED_ON):
            log_end(means, routed, ResultCode.OK, state.status)
            return
        if end is AttemptEnd.TIMED_OUT:
            log_end(means, routed, ResultCode.DEADLINE_EXCEEDED, 504)
            message = "The time was over before the answer was whole."
            await fail(routed.exchange, ResultCode.DEADLINE_EXCEEDED, message)
            return
        if end is AttemptEnd.BROKEN:
            state.broken_at_start += state.send_events == 0
        is_over = state.broken_at_start >= routed.route.max_attempts
        if is_over or (state.may_have_run and not routed.route.is_resumable):
            await _give_up(means, pool, routed, state)
            return


async def _next_send(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> AttemptEnd | None:
    """Send the stream once more; `None` if it can't be."""
    if routed.sends >= MAX_SENDS:
        return None
    left_ms = routed.left_ms(means.clock.now_ms())
    wait_ms = RESUME_WAIT_MS if routed.exchange.is_begun else ROOM_WAIT_MS
    heads = await _wait_for_heads(means, routed, state)
    if heads is not None and not heads:
        routed.history.append("it may have run at as many replicas as it may")
        return None
    seeker = _create_seeker(means, routed, state, heads)
    path = await pool.queue.wait(seeker, min(wait_ms, left_ms))
    if path is None:
        return None
    if means.crashes.record.is_convicted(routed.fingerprint) and not routed.is_on_trial:
        routed.history.append("convicted while it waited")
        return None
    if routed.sends > 0 and not means.retries.try_spend(routed.service.name):
        routed.history.append("no retry budget")
        return None
    state.path = path
    head_record = means.view.replicas.get(path.parts[0].replica_id)
    if head_record is not None:
        means.beliefs.hold_offs.note_sent(incarnation_of(head_record))
    state.ran_at = means.crashes.list_living(part.replica_id for part in path.parts)
    state.sent_ms = state.active_ms = means.clock.now_ms()
    state.send_events = 0
    state.blames_head = True
    state.refused = None
    state.faulty_address = ""
    end = await _send_counted(means, pool, routed, state, seeker)
    head = path.parts[0].replica_id
    outcome = f"{end.value}, {state.send_events} events"
    if state.refused is not None:
        outcome = f"refused, {state.refused.value} at {faulty_part(state) or head}"
    crossings = count_crossings(means, path)
    crossed = f" over {crossings} domain borders" if crossings else ""
    routed.history.append(f"{head}+{len(path.parts) - 1}{crossed}: {outcome}")
    if end not in (AttemptEnd.WHOLE, AttemptEnd.PASSED_ON):
        log_broken_send(means, routed, [part.replica_id for part in path.parts], end.value)
    learn(means, routed.service, state, end)
    return end


def _is_sound_end(
    means: ForwardingMeans, state: StreamState, end: AttemptEnd | None, waited_ms: float
) -> bool:
    """Whether a send ended while its replicas answered: for want of room, of time or of a caller."""
    if end is AttemptEnd.REFUSED:
        return not has_stalled(means, waited_ms)
    return end in (None, AttemptEnd.TIMED_OUT) and state.send_events > 0 and waited_ms < PAUSE_MS


def _create_seeker(
    means: ForwardingMeans,
    routed: RoutedRequest,
    state: StreamState,
    heads: frozenset[str] | None,
) -> PathSeeker:
    """Say what path the next send needs."""
    service, tokens = routed.service, state.tokens
    avoid = state.avoid.difference(heads or ())
    engine = service.engine
    usual = tokens if engine is None else engine.usual_prompt_tokens + engine.usual_answer_tokens
    return PathSeeker(
        workspace=routed.workspace or "",
        rank=0 if routed.exchange.is_begun else routed.priority + 1,
        tokens=tokens,
        usual_tokens=usual,
        is_begun=routed.exchange.is_begun,
        find=lambda: choose_path(means, service, tokens, avoid, heads=heads),
        may_come=lambda: covers_model(means, service, held_within_ms=HELD_WAIT_MS),
        reserve=lambda path: means.loads.add(path.parts, tokens),
        give_back=lambda path: means.loads.remove(path.parts, tokens),
    )


async def _send_counted(
    means: ForwardingMeans,
    pool: StreamPool,
    routed: RoutedRequest,
    state: StreamState,
    seeker: PathSeeker,
) -> AttemptEnd:
    """Send a stream, counted among what runs for its workspace."""
    pool.queue.started(seeker.workspace, seeker.tokens)
    started_ms = means.clock.now_ms()
    end: AttemptEnd | None = None
    try:
        end = await send_watched(means, pool, routed, state)
        return end
    finally:
        pool.queue.ended(seeker.workspace, seeker.tokens, means.clock.now_ms() - started_ms)
        _judge_send(means, routed, state, end)


def _judge_send(
    means: ForwardingMeans, routed: RoutedRequest, state: StreamState, end: AttemptEnd | None
) -> None:
    """Clear a request that ran to its end, or follow the replicas of a send that did not.

    Args:
        means: Shared state.
        routed: The request.
        state: Its stream.
        end: How the send ended; `None` where the caller has left.
    """
    if end in (AttemptEnd.WHOLE, AttemptEnd.PASSED_ON):
        means.crashes.record.clear(routed.fingerprint)
        return
    waited_ms = means.clock.now_ms() - state.active_ms
    if end is AttemptEnd.NOT_SENT or _is_sound_end(means, state, end, waited_ms):
        return
    is_fresh = state.send_events < PROVING_EVENTS
    means.crashes.follow(routed.fingerprint, state.ran_at, is_fresh=is_fresh)


async def _wait_for_heads(
    means: ForwardingMeans, routed: RoutedRequest, state: StreamState
) -> frozenset[str] | None:
    """Return the first replicas that the next send may use; `None` for any.

    Where there are none, probes may show within a moment that one which ran the stream has ended.
    """
    end_ms = means.clock.now_ms() + min(ENDED_WAIT_MS, routed.left_ms(means.clock.now_ms()))
    while True:
        heads = state.used_heads.allowed(routed.route.max_attempts, means.crashes.has_ended)
        if heads is None or heads or means.clock.now_ms() >= end_ms:
            return heads
        await means.clock.sleep_ms(CHECK_INTERVAL_MS)


async def _give_up(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> None:
    """End a stream that can't be sent any more."""
    exchange: ClientExchange = routed.exchange
    is_tried_in_vain = routed.is_on_trial and routed.sends == 0
    if means.crashes.record.is_convicted(routed.fingerprint) and not is_tried_in_vain:
        await refuse_convicted(means, routed)
        return
    if state.may_have_run:
        log_end(means, routed, ResultCode.BACKEND_SERVER_LOST, 0 if exchange.is_begun else 502)
        message = "The stream broke off and could not be resumed."
        await fail(exchange, ResultCode.BACKEND_SERVER_LOST, message)
        return
    engine = routed.service.engine
    if covers_model(means, routed.service) or engine is None:
        log_end(means, routed, ResultCode.QUEUE_FULL, 503)
        message = "All replicas are full; it has not run, come back."
        held_ms = held_model_ms(means, routed.service) * means.rng.uniform(1.0, HELD_SPREAD)
        retry_after_ms = max(pool.returns.take_ms(), held_ms)
        await refuse(
            exchange, ResultCode.QUEUE_FULL, message, retry_after_ms=retry_after_ms, status=503
        )
        return
    log_end(means, routed, ResultCode.NO_ROUTE, 503)
    message = "Some layers are being loaded anew; it has not run, come back."
    await refuse(exchange, ResultCode.NO_ROUTE, message, retry_after_ms=repair_ms(engine))
