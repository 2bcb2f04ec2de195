"""Examines pauses of a send: finds out whether it is slow, silent, or no longer run."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.path_selection import answer_tokens, note_prefill
from pimentodale.forwarding.slow_streams import search_slow_replicas
from pimentodale.forwarding.stalls import (
    StallVerdict,
    check_stall,
    find_down_part,
    move_before_exit,
)
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest
    from pimentodale.forwarding.stream_state import SharedStreamState, StreamSend, StreamState
    from pimentodale.placement.messages import PathPart
    from pimentodale.placement.paths import Path
    from pimentodale.site.replica_health import Incarnation

FIRST_EVENT_PAUSE_MS: Final = 380.0
"""Wait for the first event after which the cause is investigated."""

PAUSE_MS: Final = 260.0
"""Pause between events after which the cause is investigated; usual pauses last some 50 ms."""

DOWN_PAUSE_MS: Final = 90.0
"""Pause after which a stream is checked if a replica of its path is known to be down."""

SILENT_MS: Final = 1_300.0
"""Pause after which a send is silent although its replicas answer: its connection may be dead.

Clients abandon a stream after a pause of 2 s.
"""

OVERDUE_RETRY_FRACTION: Final = 0.5
"""Fraction of the retry budget share that streams with an overdue first event may use; the rest is
reserved for streams that have lost a replica."""

LENGTH_MARGIN: Final = 1.1
"""Factor on the expected length of an answer, which is only an estimate of the client or a mean."""

OVERRUN_FACTOR: Final = 1.1
"""Expected length of an answer, relative to what is written, that exceeds the estimate."""

MIN_RATE_EVENTS: Final = 4
"""Number of events from which the rate of a stream is known from its own events."""


class Pause(Enum):
    """What a pause of a send means."""

    SHORT = "short"
    """It has events, was moved, or is merely slow."""

    SILENT = "silent"
    """It may have no further event: another send of the stream should run beside it."""

    LOST = "lost"
    """Its head replica no longer runs it."""


async def examine_pause(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
) -> Pause:
    """Examine the pause since a send's last event, and move the send if a later replica is at fault.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        routed: The client's request.
        state: The stream.
        send: The newest send of the stream.
    """
    pause_ms = ctx.own_pauses.silence_ms(send.active_ms)
    if pause_ms < investigation_pause_ms(ctx, shared_streams, routed, state, send):
        return Pause.SHORT
    if ctx.crashes.is_convicted(routed):
        # Moving the send would crash another replica.
        heads = [each for each in send.executed_on if each[0] == send.head_id]
        is_lost = any(map(ctx.crashes.has_restarted, heads))
        return Pause.LOST if is_lost else Pause.SHORT
    if pause_ms > SILENT_MS:
        send.is_head_at_fault = True
        return Pause.SILENT
    return await _investigate(ctx, shared_streams, routed, state, send)


def investigation_pause_ms(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
) -> float:
    """Return the pause after which the cause is investigated.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        routed: The client's request.
        state: The stream.
        send: The send.
    """
    if find_down_part(ctx, send.path) is not None:
        return DOWN_PAUSE_MS
    if send.events:
        return PAUSE_MS
    if _is_overdue(ctx, shared_streams, routed, state, send):
        return 0.0
    return FIRST_EVENT_PAUSE_MS


def _is_overdue(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
) -> bool:
    """Whether the first event is overdue and the stream should be sent again elsewhere."""
    if state.events or routed.sends != 1 or not routed.route.is_resumable:
        return False
    overdue_ms = shared_streams.first_events.overdue_ms(
        send.head_id, routed.route.target_latency_ms
    )
    if overdue_ms is None or ctx.own_pauses.silence_ms(send.sent_ms) < overdue_ms:
        return False
    return ctx.retries.has_budget(routed.service.name, OVERDUE_RETRY_FRACTION)


def observe_silent(ctx: ForwardingContext, routed: RoutedRequest, send: StreamSend) -> None:
    """Observe the replicas of a silent send for a crash, once for each path of the send.

    Args:
        ctx: State shared by all requests.
        routed: The client's request.
        send: The send.
    """
    if send.is_observed:
        return
    send.is_observed = True
    ctx.crashes.observe_send(routed, send.executed_on, events=send.events)


async def _investigate(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
) -> Pause:
    """Find the cause of a pause."""
    heard_ms = send.active_ms

    def may_move() -> bool:
        """Whether the replica at fault is known not to have crashed because of the request."""
        observe_silent(ctx, routed, send)
        return not ctx.crashes.awaits_verdict(routed)

    check = await check_stall(
        ctx,
        shared_streams.reports,
        routed.service,
        send.path,
        routed.exchange.request.attempt_id,
        state.tokens,
        state.avoid,
        may_move,
    )
    if send.active_ms > heard_ms:
        return Pause.SHORT
    if check.verdict is StallVerdict.WAIT:
        if _is_overdue(ctx, shared_streams, routed, state, send):
            routed.history.append("its first event is overdue")
            return Pause.SILENT
        work = search_slow_replicas(ctx, shared_streams.reports, send.path)
        ctx.background.start(work, "search for slow replicas")
        return Pause.SHORT
    if not routed.history or routed.history[-1] != check.reason:
        routed.history.append(check.reason)
    state.avoid |= check.faulty
    send.is_head_at_fault = not check.faulty or send.head_id in check.faulty
    if check.verdict is StallVerdict.RESTARTED:
        return Pause.LOST
    if check.verdict is StallVerdict.SILENT or check.path is None:
        return Pause.SILENT
    observe_silent(ctx, routed, send)
    _note_moved(ctx, shared_streams, routed, state, send, check.path)
    ctx.metrics.moves["stalled"] += 1
    return Pause.SHORT


async def leave_departing(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
) -> None:
    """Move a stream away from the leaving replicas whose time to do so has come.

    Each departure is examined once, so that no stream is moved twice for it.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        routed: The client's request.
        state: The stream.
        send: The only send of the stream.
    """
    if ctx.own_pauses.silence_ms(send.active_ms) >= DOWN_PAUSE_MS:
        # A move would hide for how long the stream has been silent, so the pause is examined first.
        return
    now_ms = ctx.clock.now_ms()
    departures = state.alerts.departures
    for incarnation in [key for key in departures if departures[key].move_at_ms <= now_ms]:
        left_ms = departures.pop(incarnation).exit_ms - now_ms
        part = find_leaving_part(ctx, send.path, incarnation)
        if part is None or expected_rest_ms(ctx, routed, state, send) <= left_ms:
            continue
        if ctx.crashes.awaits_verdict(routed) or ctx.crashes.is_convicted(routed):
            continue
        check = await move_before_exit(
            ctx,
            routed.service,
            send.path,
            routed.exchange.request.attempt_id,
            state.tokens,
            part,
            state.avoid,
        )
        routed.history.append(check.reason)
        if check.path is None:
            continue
        # The replicas of the old path still ran the stream, so none is observed for a crash.
        _note_moved(ctx, shared_streams, routed, state, send, check.path)
        ctx.metrics.moves["leaving"] += 1


def find_leaving_part(
    ctx: ForwardingContext, path: Path, incarnation: Incarnation
) -> PathPart | None:
    """Return the part behind the head that runs on a replica which still drains."""
    replica = ctx.view.replicas.get(incarnation[0])
    if replica is None or incarnation_of(replica) != incarnation or not replica.is_draining:
        return None
    return next((part for part in path.parts[1:] if part.replica_id == incarnation[0]), None)


def expected_rest_ms(
    ctx: ForwardingContext, routed: RoutedRequest, state: StreamState, send: StreamSend
) -> float:
    """Estimate for how long a stream goes on, rather too long than too short.

    A move that was not needed costs a prefill, while a stream that still runs as its replica exits
    pauses for longer than it may.

    Args:
        ctx: State shared by all requests.
        routed: The client's request.
        state: The stream.
        send: Its send.
    """
    engine = routed.service.engine
    if engine is None:
        return 0.0
    request = routed.exchange.request
    written = float(state.events * engine.tokens_per_event)
    rest = max(answer_tokens(engine, request) * LENGTH_MARGIN, written * OVERRUN_FACTOR) - written
    if request.max_answer_tokens > 0:
        rest = min(rest, request.max_answer_tokens - written)
    token_ms = send.path.token_ms
    if routed.first_event_ms is not None and state.events >= MIN_RATE_EVENTS:
        began_ms = request.received_ms + routed.first_event_ms
        last_ms = routed.last_event_ms or ctx.clock.now_ms()
        token_ms = (last_ms - began_ms) / ((state.events - 1) * engine.tokens_per_event)
    return max(0.0, rest) * token_ms


def _note_moved(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    send: StreamSend,
    moved: Path,
) -> None:
    """Record that a send goes on along another path."""
    path = send.path
    ctx.loads.remove(path.parts, state.tokens)
    send.path = moved
    ctx.loads.add(moved.parts, state.tokens)
    shared_streams.running.remove(path.parts, state.alerts)
    shared_streams.running.add(moved.parts, state.alerts)
    new_parts = [part for part in moved.parts if part not in path.parts]
    send.executed_on = ctx.crashes.list_alive(part.replica_id for part in moved.parts)
    send.is_observed = False
    state.executed_on.update(send.executed_on)
    note_prefill(ctx, routed.service, new_parts, state.tokens)
    send.active_ms = ctx.clock.now_ms()
