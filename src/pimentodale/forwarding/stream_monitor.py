"""Monitors a stream while it is relayed: investigates pauses, and ends a send that is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.crash_detector import MIN_PROGRESS_EVENTS
from pimentodale.forwarding.path_selection import choose_path, note_prefill
from pimentodale.forwarding.slow_streams import SlowStreamDetector, search_slow_replicas
from pimentodale.forwarding.stalls import StallVerdict, check_stall, find_down_part
from pimentodale.forwarding.stream_relay import relay_stream
from pimentodale.forwarding.stream_state import SendEnd, SharedStreamState, StreamState

if TYPE_CHECKING:
    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest

CHECK_INTERVAL_MS: Final = 100.0
"""Interval at which a stream is checked."""

FIRST_EVENT_PAUSE_MS: Final = 380.0
"""Wait for the first event after which the cause is investigated."""

PAUSE_MS: Final = 260.0
"""Pause between events after which the cause is investigated; usual pauses last some 50 ms."""

DOWN_PAUSE_MS: Final = 90.0
"""Pause after which a stream is checked if a replica of its path is known to be down."""

SILENT_MS: Final = 1_300.0
"""Pause after which a stream is resumed although its replicas answer: its connection may be dead.

Clients abandon a stream after a pause of 2 s.
"""

OVERDUE_RETRY_FRACTION: Final = 0.5
"""Fraction of the retry budget share that streams with an overdue first event may use; the rest is
reserved for streams that have lost a replica."""


async def send_monitored(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
) -> SendEnd:
    """Send a stream on its path, and monitor it while it is relayed."""
    path, engine = state.path, routed.service.engine
    if path is None or engine is None:
        return SendEnd.NOT_SENT
    ctx.loads.add(path.parts, state.tokens)
    note_prefill(ctx, routed.service, path.parts, state.tokens)
    relay_task = asyncio.ensure_future(relay_stream(ctx, shared_streams, routed, state, path))
    detector = SlowStreamDetector(ctx.clock.now_ms())
    try:
        while True:
            await asyncio.wait({relay_task}, timeout=CHECK_INTERVAL_MS / MS_PER_S)
            if relay_task.done():
                return relay_task.result()
            now_ms = ctx.clock.now_ms()
            if routed.left_ms(now_ms) <= 0:
                return SendEnd.TIMED_OUT
            if state.path is not None and detector.is_slow(
                engine, state.path, now_ms, state.send_events
            ):
                work = search_slow_replicas(ctx, shared_streams.reports, state.path)
                ctx.background.start(work, "search for slow replicas")
            pause_ms = now_ms - state.active_ms
            if pause_ms < investigation_pause_ms(ctx, shared_streams, routed, state):
                continue
            if pause_ms > SILENT_MS and should_abandon(ctx, shared_streams, routed, state):
                state.is_head_at_fault = True
                return SendEnd.LOST
            if not await _can_continue(ctx, shared_streams, routed, state):
                return SendEnd.LOST
    finally:
        relay_task.cancel()
        if state.path is not None:
            ctx.loads.remove(state.path.parts, state.tokens)


def should_abandon(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
) -> bool:
    """Whether to abandon a silent send although its head replica answers.

    The replica may be healthy but slow, and a stream that cannot be resumed elsewhere would end. In
    that case the send is abandoned only if other streams of the replica have had events since,
    which shows that the connection is dead.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        routed: The client's request.
        state: The stream.
    """
    if not routed.route.is_resumable or state.path is None:
        return False
    head_id = state.path.parts[0].replica_id
    avoid = {*state.avoid, head_id}
    has_share = ctx.retries.has_budget(routed.service.name)
    if has_share and choose_path(ctx, routed.service, state.tokens, avoid) is not None:
        return True
    return shared_streams.heard_ms.get(head_id, 0.0) > state.active_ms + PAUSE_MS


def investigation_pause_ms(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
) -> float:
    """Return the pause after which the cause is investigated.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        routed: The client's request.
        state: The stream.
    """
    if state.path is not None and find_down_part(ctx, state.path) is not None:
        return DOWN_PAUSE_MS
    if state.send_events:
        return PAUSE_MS
    if _is_overdue(ctx, shared_streams, routed, state):
        return 0.0
    return FIRST_EVENT_PAUSE_MS


def _is_overdue(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
) -> bool:
    """Whether the first event is overdue and the stream should be sent again elsewhere."""
    if state.events or state.path is None or routed.sends != 1 or not routed.route.is_resumable:
        return False
    head_id = state.path.parts[0].replica_id
    overdue_ms = shared_streams.first_events.overdue_ms(head_id, routed.route.target_latency_ms)
    if overdue_ms is None or ctx.clock.now_ms() - state.sent_ms < overdue_ms:
        return False
    if not ctx.retries.has_budget(routed.service.name, OVERDUE_RETRY_FRACTION):
        return False
    avoid = {*state.avoid, head_id}
    return choose_path(ctx, routed.service, state.tokens, avoid) is not None


async def _can_continue(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
) -> bool:
    """Investigate a pause; return False if the send is lost and the stream has to be resumed."""
    path = state.path
    if path is None:
        return False
    if ctx.crashes.record.is_convicted(routed.fingerprint):
        # Moving the stream would crash another replica.
        return False
    heard_ms = state.active_ms
    request = routed.exchange.request
    check = await check_stall(
        ctx,
        shared_streams.reports,
        routed.service,
        path,
        request.attempt_id,
        state.tokens,
        state.avoid,
    )
    if check.verdict is StallVerdict.WAIT:
        if _is_overdue(ctx, shared_streams, routed, state):
            routed.history.append("its first event is overdue")
            return False
        work = search_slow_replicas(ctx, shared_streams.reports, path)
        ctx.background.start(work, "search for slow replicas")
        return True
    if state.active_ms > heard_ms:
        return True
    routed.history.append(check.reason)
    state.avoid |= check.faulty
    state.is_head_at_fault = not check.faulty or path.parts[0].replica_id in check.faulty
    if check.verdict is StallVerdict.LOST or check.path is None:
        return not routed.route.is_resumable
    ctx.loads.remove(path.parts, state.tokens)
    state.path = check.path
    ctx.loads.add(check.path.parts, state.tokens)
    new_parts = [part for part in check.path.parts if part not in path.parts]
    is_fresh = state.send_events < MIN_PROGRESS_EVENTS
    ctx.crashes.observe_send(routed.fingerprint, state.executed_on, is_fresh=is_fresh)
    state.executed_on = ctx.crashes.list_alive(part.replica_id for part in check.path.parts)
    note_prefill(ctx, routed.service, new_parts, state.tokens)
    state.active_ms = ctx.clock.now_ms()
    return True
