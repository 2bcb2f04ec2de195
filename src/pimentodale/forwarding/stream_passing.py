"""Sends a stream's request once and passes whole events on as they come."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.http_call import CallRequest, open_call
from pimentodale.forwarding.event_stream import EventSplitter, EventTooLongError, follows
from pimentodale.forwarding.stream_state import AttemptEnd

if TYPE_CHECKING:
    from pimentodale.clients.http_call import HttpCall
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest
    from pimentodale.forwarding.messages import BackendAnswer
    from pimentodale.forwarding.stream_state import StreamState
    from pimentodale.placement.paths import Path

CONNECT_TIMEOUT_MS: Final = 400.0
"""Longest opening of a connection to a replica, over a hundred times the usual one."""


async def pass_stream_on(
    means: ForwardingMeans, routed: RoutedRequest, state: StreamState, path: Path
) -> AttemptEnd:
    """Send the request on a path and pass its events on.

    Args:
        means: Shared state.
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
    opened = await open_call(head.address, call_request, left_ms, CONNECT_TIMEOUT_MS)
    if opened.is_error() and not opened.error.sent:
        return AttemptEnd.NOT_SENT
    routed.sends += 1
    if opened.is_error():
        state.may_have_run = True
        return AttemptEnd.BROKEN
    call = opened.ok
    try:
        answer = means.codec.decode_answer(call.status, call.headers, request.attempt_id)
        if answer.refused is not None:
            state.faulty_address = answer.faulty_address
            return AttemptEnd.REFUSED
        state.may_have_run = True
        state.status = answer.status
        if not answer.is_success:
            return await _pass_failure_on(means, routed, call, answer, left_ms)
        if not exchange.is_begun:
            await exchange.begin(answer.status, answer.headers)
        return await _pass_events_on(means, routed, state, call, left_ms)
    finally:
        call.close()


async def _pass_events_on(
    means: ForwardingMeans,
    routed: RoutedRequest,
    state: StreamState,
    call: HttpCall,
    silence_ms: float,
) -> AttemptEnd:
    """Pass whole events on until the stream ends."""
    splitter = EventSplitter()
    async for chunk in call.chunks(silence_ms):
        if chunk.is_error():
            return AttemptEnd.BROKEN
        try:
            events = splitter.feed(chunk.ok)
        except EventTooLongError:
            return AttemptEnd.BROKEN
        passed: list[bytes] = []
        for event in events:
            if event.event_id is not None:
                if not follows(event.event_id, state.last_event_id):
                    routed.history.append(f"event {event.event_id} after {state.last_event_id}")
                    return AttemptEnd.BROKEN
                state.last_event_id = event.event_id
            passed.append(event.data)
        if not passed:
            continue
        _note_events(means, routed, state, len(passed))
        await routed.exchange.write(b"".join(passed))
    if splitter.has_partial:
        return AttemptEnd.BROKEN
    routed.exchange.end()
    return AttemptEnd.WHOLE


def _note_events(
    means: ForwardingMeans, routed: RoutedRequest, state: StreamState, count: int
) -> None:
    """Count events and the time that they took."""
    now_ms = means.clock.now_ms()
    if state.events == 0:
        means.metrics.first_event.record(now_ms - routed.exchange.request.received_ms)
    else:
        means.metrics.between_events.record(now_ms - state.active_ms)
    means.metrics.events += count
    state.active_ms = now_ms
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
