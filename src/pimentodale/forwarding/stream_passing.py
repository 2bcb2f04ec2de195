"""Sends a stream's request once and passes whole events on as they come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.http_call import CallFault, CallRequest, open_call
from pimentodale.forwarding.event_stream import EventSplitter, NoEventError, follows
from pimentodale.forwarding.learning import learn_answer
from pimentodale.forwarding.stream_state import AttemptEnd

if TYPE_CHECKING:
    from pimentodale.clients.http_call import HttpCall
    from pimentodale.forwarding.event_stream import StreamEvent
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest
    from pimentodale.forwarding.messages import BackendAnswer
    from pimentodale.forwarding.stream_state import StreamPool, StreamState
    from pimentodale.placement.paths import Path

CONNECT_TIMEOUT_MS: Final = 400.0
"""Longest opening of a connection to a replica, over a hundred times the usual one."""


async def pass_stream_on(
    means: ForwardingMeans,
    pool: StreamPool,
    routed: RoutedRequest,
    state: StreamState,
    path: Path,
) -> AttemptEnd:
    """Send the request on a path and pass its events on.

    Args:
        means: Shared state.
        pool: What streams share.
        routed: The client's request.
        state: Its stream so far.
        path: Replicas that it passes through.

    Returns:
        How the send ended; the answer is ended only when it is whole.
    """
    exchange = routed.exchange
    request = exchange.request
    head = path.parts[0]
    left_ms = routed.left_ms(means.clock.now_ms())
    headers = means.codec.encode_request(
        request, routed.workspace, left_ms, head.replica_id, path.parts, state.last_event_id
    )
    call_request = CallRequest(
        method=request.method, path=request.path, headers=headers, body=request.body
    )
    may_have_run_before = state.may_have_run

    async def note_sent() -> bool:
        # The send may be given up before there is an answer, and has been made all the same.
        routed.sends += 1
        state.may_have_run = True
        return True

    opened = await open_call(
        head.address, call_request, left_ms, CONNECT_TIMEOUT_MS, before_send=note_sent
    )
    if opened.is_error():
        return AttemptEnd.BROKEN if opened.error.sent else AttemptEnd.NOT_SENT
    call = opened.ok
    try:
        answer = means.codec.decode_answer(call.status, call.headers, request.attempt_id)
        replica = means.view.replicas.get(head.replica_id)
        if replica is not None:
            learn_answer(means, replica, answer)
        if answer.refused is not None:
            state.may_have_run = may_have_run_before
            state.refused = answer.refused
            state.faulty_address = answer.faulty_address
            return AttemptEnd.REFUSED
        state.status = answer.status
        if not answer.is_success:
            return await _pass_failure_on(means, routed, call, answer, left_ms)
        if not exchange.is_begun:
            await exchange.begin(answer.status, answer.headers)
        return await _pass_events_on(means, pool, routed, state, path, call)
    finally:
        call.close()


async def _pass_events_on(
    means: ForwardingMeans,
    pool: StreamPool,
    routed: RoutedRequest,
    state: StreamState,
    path: Path,
    call: HttpCall,
) -> AttemptEnd:
    """Pass whole events on until the stream ends."""
    splitter = EventSplitter()
    while True:
        # The watch over the stream ends a wait that is too long.
        chunk = await call.next_chunk()
        if chunk is None:
            break
        if isinstance(chunk, CallFault):
            return AttemptEnd.BROKEN
        try:
            events = splitter.feed(chunk)
        except NoEventError:
            return AttemptEnd.BROKEN
        passed, follows_on = _take_following(routed, state, events)
        if passed:
            pool.note_heard(path.parts[0].replica_id, means.clock.now_ms())
            if state.send_events == 0:
                waited_ms = means.clock.now_ms() - state.sent_ms
                pool.first_events.note(path.parts[0].replica_id, waited_ms)
                pool.returns.note_begun()
            _note_events(means, routed, state, len(passed))
            await routed.exchange.write(b"".join(passed))
        if not follows_on:
            return AttemptEnd.BROKEN
    if splitter.has_partial:
        return AttemptEnd.BROKEN
    routed.exchange.end()
    return AttemptEnd.WHOLE


def _take_following(
    routed: RoutedRequest, state: StreamState, events: list[StreamEvent]
) -> tuple[list[bytes], bool]:
    """Take the events that follow those which the client has.

    Returns:
        The bytes to pass on, and whether all events followed.
    """
    passed: list[bytes] = []
    for event in events:
        if event.event_id is None or not follows(event.event_id, state.last_event_id):
            routed.history.append(f"event {event.event_id} after {state.last_event_id}")
            return passed, False
        state.last_event_id = event.event_id
        passed.append(event.data)
    return passed, True


def _note_events(
    means: ForwardingMeans, routed: RoutedRequest, state: StreamState, count: int
) -> None:
    """Count events and the time that they took."""
    now_ms = means.clock.now_ms()
    if state.events == 0:
        routed.first_event_ms = now_ms - routed.exchange.request.received_ms
        means.metrics.first_event.record(routed.first_event_ms)
    else:
        pause_ms = now_ms - state.last_event_ms
        routed.longest_pause_ms = max(routed.longest_pause_ms, pause_ms)
        means.metrics.between_events.record(pause_ms)
    means.metrics.events += count
    state.active_ms = state.last_event_ms = now_ms
    state.events += count
    state.send_events += count


async def _pass_failure_on(
    means: ForwardingMeans,
    routed: RoutedRequest,
    call: HttpCall,
    answer: BackendAnswer,
    silence_ms: float,
) -> AttemptEnd:
    """Give the client the replica's own failure, if it is one and nothing has been passed on."""
    if not answer.is_genuine or answer.claims_not_run or routed.exchange.is_begun:
        return AttemptEnd.BROKEN
    body = bytearray()
    async for chunk in call.chunks(silence_ms):
        if chunk.is_error():
            return AttemptEnd.BROKEN
        body += chunk.ok
    await routed.exchange.answer(answer.status, answer.headers, bytes(body))
    return AttemptEnd.PASSED_ON
