"""Streams from engines: events passed on as they come, and resumed elsewhere within one answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.means import log_end
from pimentodale.forwarding.poison import fingerprint_of
from pimentodale.forwarding.refusing import fail, refuse
from pimentodale.forwarding.stages import (
    ROOM_WAIT_MS,
    covers_model,
    repair_ms,
    tokens_held,
    wait_for_path,
)
from pimentodale.forwarding.stalls import Verdict, check_stall
from pimentodale.forwarding.stream_passing import pass_stream_on
from pimentodale.forwarding.stream_state import AttemptEnd, StreamPool, StreamState
from pimentodale.results import ResultCode
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.front_server import ClientExchange
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest
    from pimentodale.site.model import ReplicaRecord

CHECK_INTERVAL_MS: Final = 100.0
"""How often a stream is looked at."""

FIRST_EVENT_PAUSE_MS: Final = 380.0
"""Wait for the first event after which its cause is looked for."""

PAUSE_MS: Final = 260.0
"""Pause between events after which its cause is looked for; usual ones last some 50 ms."""

SILENT_MS: Final = 1_300.0
"""Pause after which a stream is resumed although its replicas answer: its connection may be dead.

Clients give a stream up after a pause of 2 s.
"""

RESUME_WAIT_MS: Final = 1_200.0
"""Longest wait for a path by a stream that has begun, before its client gives it up."""

NO_ROOM_PASS_OVER_MS: Final = 150.0
"""How long a replica that had no room gets no new requests."""

CRASH_CHECK_MS: Final = 800.0
"""When it is looked whether a replica has crashed: a probe has ended by then."""

MAX_SENDS: Final = 6
"""Most sends of one attempt, refused ones included."""

RETRY_AFTER_MS: Final = 1_000.0
"""When a client may come back after a refusal for lack of room; streams last some 3 s."""


async def serve_stream(means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest) -> None:
    """Answer a request with a stream of events."""
    request = routed.exchange.request
    engine = routed.service.engine
    if engine is None:
        log_end(means, routed, ResultCode.UNKNOWN_MODEL, 502)
        await fail(routed.exchange, ResultCode.UNKNOWN_MODEL, "The service runs no engine.")
        return
    fingerprint = fingerprint_of(request.path, routed.workspace, request.body)
    if means.poison.is_convicted(fingerprint):
        log_end(means, routed, ResultCode.QUARANTINED, 502)
        message = "This request crashed the replicas that ran it."
        await fail(routed.exchange, ResultCode.QUARANTINED, message)
        return
    state = StreamState(request.last_event_id, tokens_held(engine, request))
    while True:
        end = await _next_send(means, pool, routed, state)
        if end is None:
            await _give_up(means, routed, state)
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
            await _give_up(means, routed, state)
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
        means.poison.strike(fingerprint, f"{replica.replica_id}/{replica.started_ms}")


async def _next_send(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> AttemptEnd | None:
    """Send the stream once more; `None` if it can't be."""
    if routed.sends >= MAX_SENDS:
        return None
    left_ms = routed.left_ms(means.clock.now_ms())
    wait_ms = RESUME_WAIT_MS if routed.exchange.is_begun else ROOM_WAIT_MS
    if not routed.exchange.is_begun and not covers_model(means, routed.service):
        return None
    path = await wait_for_path(
        means,
        pool.queue,
        routed.service,
        state.tokens,
        state.avoid,
        0 if routed.exchange.is_begun else routed.priority + 1,
        min(wait_ms, left_ms),
        is_begun=routed.exchange.is_begun,
    )
    if path is None:
        return None
    if routed.sends > 0 and not means.retries.try_spend(routed.service.name):
        routed.history.append("no retry budget")
        return None
    state.path = path
    state.active_ms = means.clock.now_ms()
    state.send_events = 0
    state.faulty_address = ""
    end = await _watched_send(means, pool, routed, state)
    head = path.parts[0].replica_id
    routed.history.append(f"{head}+{len(path.parts) - 1}: {end.value}, {state.send_events} events")
    _learn(means, routed, state, end)
    return end


async def _watched_send(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> AttemptEnd:
    """Pass a stream on while looking for the cause of its pauses."""
    path = state.path
    if path is None:
        return AttemptEnd.NOT_SENT
    means.loads.add(path.parts, state.tokens)
    pump = asyncio.ensure_future(pass_stream_on(means, routed, state, path))
    try:
        while True:
            await asyncio.wait({pump}, timeout=CHECK_INTERVAL_MS / MS_PER_S)
            if pump.done():
                return pump.result()
            now_ms = means.clock.now_ms()
            if routed.left_ms(now_ms) <= 0:
                return AttemptEnd.TIMED_OUT
            pause_ms = now_ms - state.active_ms
            if pause_ms < (PAUSE_MS if state.send_events else FIRST_EVENT_PAUSE_MS):
                continue
            if pause_ms > SILENT_MS and routed.route.is_resumable:
                return AttemptEnd.LOST
            if not await _keep_going(means, pool, routed, state):
                return AttemptEnd.LOST
    finally:
        pump.cancel()
        if state.path is not None:
            means.loads.remove(state.path.parts, state.tokens)


async def _keep_going(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> bool:
    """Look for the cause of a pause; False if the stream has to go on elsewhere."""
    path = state.path
    if path is None:
        return False
    heard_ms = state.active_ms
    request = routed.exchange.request
    check = await check_stall(
        means, pool.reports, routed.service, path, request.attempt_id, state.tokens, state.avoid
    )
    if check.verdict is Verdict.WAIT or state.active_ms > heard_ms:
        return True
    routed.history.append(check.reason)
    state.avoid |= check.faulty
    state.crash_suspects |= check.faulty
    if check.verdict is Verdict.LOST or check.path is None:
        return not routed.route.is_resumable
    means.loads.remove(path.parts, state.tokens)
    state.path = check.path
    means.loads.add(check.path.parts, state.tokens)
    state.active_ms = means.clock.now_ms()
    return True


def _learn(
    means: ForwardingMeans, routed: RoutedRequest, state: StreamState, end: AttemptEnd
) -> None:
    """Keep what a send showed of its replicas."""
    if state.path is None or end is AttemptEnd.TIMED_OUT:
        return
    head = means.view.replicas.get(state.path.parts[0].replica_id)
    if head is None:
        return
    incarnation = incarnation_of(head)
    if end is AttemptEnd.NOT_SENT:
        means.beliefs.mark_down(incarnation, "it can't be connected to")
        state.avoid.add(head.replica_id)
    elif end is AttemptEnd.BROKEN:
        means.beliefs.note_result(incarnation, False)
        means.beliefs.suspect(incarnation)
        state.avoid.add(head.replica_id)
    elif end is AttemptEnd.REFUSED:
        _pass_over(means, state, head.replica_id)
    elif end is AttemptEnd.LOST:
        state.avoid.add(head.replica_id)
    else:
        means.beliefs.note_result(incarnation, True)


def _pass_over(means: ForwardingMeans, state: StreamState, head_id: str) -> None:
    """Pass the replica over that a refusal names; the first one where it names none."""
    parts = state.path.parts if state.path else ()
    waited_ms = means.clock.now_ms() - state.active_ms
    for part in parts:
        named = str(part.address) == state.faulty_address
        if not named and (state.faulty_address or part.replica_id != head_id):
            continue
        replica = means.view.replicas.get(part.replica_id)
        if replica is None:
            continue
        state.avoid.add(part.replica_id)
        if waited_ms >= means.stall_ms * 0.8:
            means.beliefs.doubt(incarnation_of(replica), "requests stalled on it")
        else:
            means.beliefs.pass_over(incarnation_of(replica), NO_ROOM_PASS_OVER_MS)


async def _give_up(means: ForwardingMeans, routed: RoutedRequest, state: StreamState) -> None:
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
        await refuse(
            exchange, ResultCode.QUEUE_FULL, message, retry_after_ms=RETRY_AFTER_MS, status=503
        )
        return
    log_end(means, routed, ResultCode.NO_ROUTE, 503)
    message = "Some layers are being loaded anew; it has not run, come back."
    await refuse(exchange, ResultCode.NO_ROUTE, message, retry_after_ms=repair_ms(engine))
