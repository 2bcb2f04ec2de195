"""Streams from engines: events passed on as they come, and resumed elsewhere within one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.learning import faulty_part, learn
from pimentodale.forwarding.means import log_broken_send, log_end
from pimentodale.forwarding.path_queue import PathSeeker
from pimentodale.forwarding.refusing import fail, refuse
from pimentodale.forwarding.stages import (
    ROOM_WAIT_MS,
    choose_path,
    count_crossings,
    covers_model,
    repair_ms,
    tokens_held,
)
from pimentodale.forwarding.stream_state import AttemptEnd, StreamPool, StreamState
from pimentodale.forwarding.stream_watch import CHECK_INTERVAL_MS, send_watched
from pimentodale.results import ResultCode
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest
    from pimentodale.site.beliefs import Incarnation
    from pimentodale.site.model import ReplicaRecord

RESUME_WAIT_MS: Final = 1_200.0
"""Longest wait for a path by a stream that has begun, before its client gives it up."""

CRASH_CHECK_MS: Final = 800.0
"""When it is looked whether a replica has crashed: a probe has ended by then."""

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
    fingerprint = routed.fingerprint
    if means.crashes.is_convicted(fingerprint):
        log_end(means, routed, ResultCode.QUARANTINED, 502)
        message = "This request crashed the replicas that ran it."
        await fail(routed.exchange, ResultCode.QUARANTINED, message)
        return
    state = StreamState(request.last_event_id, tokens_held(engine, request))
    while True:
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
        if end is AttemptEnd.BROKEN and state.path is not None:
            state.crash_suspects.add(state.path.parts[0].replica_id)
            state.broken_at_start += state.send_events == 0
        _watch_for_crashes(means, state, fingerprint)
        is_over = state.broken_at_start >= routed.route.max_attempts
        if is_over or (state.may_have_run and not routed.route.is_resumable):
            await _give_up(means, pool, routed, state)
            return


def _watch_for_crashes(means: ForwardingMeans, state: StreamState, fingerprint: str) -> None:
    """Hold crashes against a request once probes have told them from lost connections."""
    for replica_id in state.crash_suspects:
        replica = means.view.replicas.get(replica_id)
        if replica is not None:
            work = _strike_if_crashed(means, fingerprint, replica)
            means.background.start(work, "crash check")
    state.crash_suspects.clear()


async def _strike_if_crashed(
    means: ForwardingMeans, fingerprint: str, replica: ReplicaRecord
) -> None:
    """Hold a replica's crash against a request, if it is down or has started anew."""
    await means.clock.sleep_ms(CRASH_CHECK_MS)
    known = means.view.replicas.get(replica.replica_id)
    if known is None or known.started_ms != replica.started_ms or means.beliefs.is_lost(known):
        crash = f"{replica.replica_id}/{replica.started_ms}"
        means.crashes.strike(fingerprint, crash, is_fresh=True)


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
    if routed.sends > 0 and not means.retries.try_spend(routed.service.name):
        routed.history.append("no retry budget")
        return None
    state.path = path
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
        may_come=lambda: covers_model(means, service),
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
    try:
        return await send_watched(means, pool, routed, state)
    finally:
        pool.queue.ended(seeker.workspace, seeker.tokens, means.clock.now_ms() - started_ms)


async def _wait_for_heads(
    means: ForwardingMeans, routed: RoutedRequest, state: StreamState
) -> frozenset[str] | None:
    """Return the first replicas that the next send may use; `None` for any.

    Where there are none, probes may show within a moment that one which ran the stream has ended.
    """
    end_ms = means.clock.now_ms() + min(CRASH_CHECK_MS, routed.left_ms(means.clock.now_ms()))
    while True:
        heads = state.used_heads.allowed(
            routed.route.max_attempts, lambda incarnation: has_ended(means, incarnation)
        )
        if heads is None or heads or means.clock.now_ms() >= end_ms:
            return heads
        await means.clock.sleep_ms(CHECK_INTERVAL_MS)


def has_ended(means: ForwardingMeans, incarnation: Incarnation) -> bool:
    """Whether a replica has ended, restarted or is out of reach."""
    replica = means.view.replicas.get(incarnation[0])
    if replica is None or incarnation_of(replica) != incarnation:
        return True
    return means.beliefs.is_lost(replica)


async def _give_up(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> None:
    """End a stream that can't be sent any more."""
    exchange: ClientExchange = routed.exchange
    if state.may_have_run:
        log_end(means, routed, ResultCode.BACKEND_SERVER_LOST, 0 if exchange.is_begun else 502)
        message = "The stream broke off and could not be resumed."
        await fail(exchange, ResultCode.BACKEND_SERVER_LOST, message)
        return
    engine = routed.service.engine
    if covers_model(means, routed.service) or engine is None:
        log_end(means, routed, ResultCode.QUEUE_FULL, 503)
        message = "All replicas are full; it has not run, come back."
        retry_after_ms = pool.returns.take_ms()
        await refuse(
            exchange, ResultCode.QUEUE_FULL, message, retry_after_ms=retry_after_ms, status=503
        )
        return
    log_end(means, routed, ResultCode.NO_ROUTE, 503)
    message = "Some layers are being loaded anew; it has not run, come back."
    await refuse(exchange, ResultCode.NO_ROUTE, message, retry_after_ms=repair_ms(engine))
