"""Sends a stream's request to a replica and relays complete events to the client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.http_call import CallFault, CallRequest, collect_body, open_call
from pimentodale.forwarding.crash_detector import MIN_PROGRESS_EVENTS
from pimentodale.forwarding.event_stream import EventSplitter, InvalidEventStreamError, follows
from pimentodale.forwarding.passive_health import record_answer
from pimentodale.forwarding.stream_state import SendEnd

if TYPE_CHECKING:
    from pimentodale.clients.http_call import HttpCall
    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest
    from pimentodale.forwarding.event_stream import StreamEvent
    from pimentodale.forwarding.messages import BackendAnswer
    from pimentodale.forwarding.stream_state import SharedStreamState, StreamSend, StreamState

CONNECT_TIMEOUT_MS: Final = 400.0
"""Connect timeout for replicas, over a hundred times the usual connect time."""


async def relay_stream(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
) -> SendEnd:
    """Send the request on a path and relay its events to the client.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        routed: The client's request.
        state: The stream so far.
        send: The send; other ones of the stream may be in progress.

    Returns:
        How the send ended; the response is finished only if it is complete.
    """
    exchange = routed.exchange
    request = exchange.request
    head, parts = send.path.parts[0], send.path.parts
    left_ms = routed.left_ms(ctx.clock.now_ms())
    headers = ctx.codec.encode_request(
        request, routed.workspace, left_ms, head.replica_id, parts, state.last_event_id
    )
    call_request = CallRequest(
        method=request.method, path=request.path, headers=headers, body=request.body
    )

    async def note_sent() -> bool:
        # Count the send now: it may be cancelled before there is a response.
        routed.sends += 1
        state.possible_runs += 1
        return True

    opened = await open_call(
        head.address, call_request, left_ms, CONNECT_TIMEOUT_MS, before_send=note_sent
    )
    if opened.is_error():
        routed.history.append(opened.error.message)
        return SendEnd.BROKEN if opened.error.sent else SendEnd.NOT_SENT
    call = opened.ok
    try:
        answer = ctx.codec.decode_answer(call.status, call.headers, request.attempt_id)
        replica = ctx.view.replicas.get(head.replica_id)
        if replica is not None:
            record_answer(ctx, replica, answer)
        if answer.refused is not None:
            state.possible_runs -= 1
            routed.rejections += 1
            send.refused = answer.refused
            send.faulty_address = answer.faulty_address
            return SendEnd.REFUSED
        if not answer.is_success:
            return await _relay_failure(routed, state, send, call, answer, left_ms)
        # Without any event, only its type shows that an answer goes on with the stream.
        may_be_empty = not exchange.is_begun or answer.is_event_stream
        if not exchange.is_begun:
            state.status = answer.status
            await exchange.begin(answer.status, answer.headers)
        if answer.status != state.status:
            return SendEnd.BROKEN
        return await _relay_events(
            ctx, shared_streams, routed, state, send, call, may_be_empty=may_be_empty
        )
    finally:
        call.close()


async def _relay_events(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
    call: HttpCall,
    *,
    may_be_empty: bool,
) -> SendEnd:
    """Relay complete events until the stream ends."""
    splitter = EventSplitter()
    while True:
        # No timeout here: silence ends no send; the request's time or another send does.
        chunk = await call.next_chunk()
        if chunk is None:
            break
        if isinstance(chunk, CallFault):
            return SendEnd.BROKEN
        try:
            events = splitter.feed(chunk)
        except InvalidEventStreamError:
            return SendEnd.BROKEN
        if events and not state.claim(send):
            return SendEnd.SUPERSEDED
        passed, follows_on = _accept_consecutive(routed, state, events)
        if passed:
            if send.events == 0:
                waited_ms = ctx.clock.now_ms() - send.sent_ms
                shared_streams.first_events.note(send.head_id, waited_ms)
                shared_streams.retry_schedule.note_begun()
            _note_events(ctx, routed, state, send, len(passed))
            await _write(ctx, routed, send, b"".join(passed))
        if not follows_on:
            return SendEnd.BROKEN
    if splitter.has_partial or (send.events == 0 and not may_be_empty):
        return SendEnd.BROKEN
    if not state.claim(send):
        return SendEnd.SUPERSEDED
    state.is_over = True
    routed.exchange.end()
    return SendEnd.WHOLE


async def _write(
    ctx: ForwardingContext, routed: RoutedRequest, send: StreamSend, piece: bytes
) -> None:
    """Write to the client; a client that reads slowly makes the replica neither silent nor slow."""
    send.is_writing = True
    try:
        await routed.exchange.write(piece)
    finally:
        send.is_writing = False
        send.active_ms = ctx.clock.now_ms()


def _accept_consecutive(
    routed: RoutedRequest, state: StreamState, events: list[StreamEvent]
) -> tuple[list[bytes], bool]:
    """Accept the events that directly follow those the client has.

    Returns:
        The bytes to relay, and whether all events were consecutive.
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
    ctx: ForwardingContext,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
    count: int,
) -> None:
    """Count relayed events and record their timing."""
    now_ms = ctx.clock.now_ms()
    if state.events == 0:
        routed.first_event_ms = now_ms - routed.exchange.request.received_ms
        ctx.metrics.first_event.record(routed.first_event_ms)
    else:
        pause_ms = now_ms - (routed.last_event_ms or now_ms)
        routed.longest_pause_ms = max(routed.longest_pause_ms, pause_ms)
        ctx.metrics.between_events.record(pause_ms)
    ctx.metrics.events += count
    send.active_ms = routed.last_event_ms = now_ms
    state.events += count
    send.events += count
    if not send.is_past_start and send.events >= MIN_PROGRESS_EVENTS:
        send.is_past_start = True
        ctx.crashes.note_writing(routed, send)


async def _relay_failure(
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
    call: HttpCall,
    answer: BackendAnswer,
    silence_ms: float,
) -> SendEnd:
    """Relay the replica's own error response, unless another send may still answer the request."""
    if not answer.is_genuine or answer.claims_not_run:
        return SendEnd.BROKEN
    body = await collect_body(call, silence_ms)
    if body.is_error():
        routed.history.append(body.error.message)
        return SendEnd.BROKEN
    if routed.exchange.is_begun or len(state.active) > 1 or not state.claim(send):
        return SendEnd.BROKEN
    state.status = answer.status
    send.is_writing = state.is_over = True
    await routed.exchange.answer(answer.status, answer.headers, body.ok)
    return SendEnd.PASSED_ON
