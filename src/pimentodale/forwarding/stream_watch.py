"""Looks after a stream while it is passed on: why it pauses, and whether it has to go on elsewhere."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.crash_watch import PROVING_EVENTS
from pimentodale.forwarding.slow_paths import CrawlWatch, search_slow_replicas
from pimentodale.forwarding.stages import choose_path, note_reading
from pimentodale.forwarding.stalls import Verdict, check_stall, find_down_part
from pimentodale.forwarding.stream_passing import pass_stream_on
from pimentodale.forwarding.stream_state import AttemptEnd, StreamPool, StreamState

if TYPE_CHECKING:
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest

CHECK_INTERVAL_MS: Final = 100.0
"""How often a stream is looked at."""

FIRST_EVENT_PAUSE_MS: Final = 380.0
"""Wait for the first event after which its cause is looked for."""

PAUSE_MS: Final = 260.0
"""Pause between events after which its cause is looked for; usual ones last some 50 ms."""

DOWN_PAUSE_MS: Final = 90.0
"""The same while a replica of its path is known to be down."""

SILENT_MS: Final = 1_300.0
"""Pause after which a stream is resumed although its replicas answer: its connection may be dead.

Clients give a stream up after a pause of 2 s.
"""

RESENDS_FRACTION: Final = 0.5
"""Part of the share of repeats that streams may take whose first event is overdue; the rest is for those
that have lost a replica."""


async def send_watched(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> AttemptEnd:
    """Send a stream on its path and pass it on while looking for the cause of its pauses."""
    path, engine = state.path, routed.service.engine
    if path is None or engine is None:
        return AttemptEnd.NOT_SENT
    means.loads.add(path.parts, state.tokens)
    note_reading(means, routed.service, path.parts, state.tokens)
    pump = asyncio.ensure_future(pass_stream_on(means, pool, routed, state, path))
    watch = CrawlWatch(means.clock.now_ms())
    try:
        while True:
            await asyncio.wait({pump}, timeout=CHECK_INTERVAL_MS / MS_PER_S)
            if pump.done():
                return pump.result()
            now_ms = means.clock.now_ms()
            if routed.left_ms(now_ms) <= 0:
                return AttemptEnd.TIMED_OUT
            if state.path is not None and watch.crawls(
                engine, state.path, now_ms, state.send_events
            ):
                work = search_slow_replicas(means, pool.reports, state.path)
                means.background.start(work, "search for slow replicas")
            pause_ms = now_ms - state.active_ms
            if pause_ms < patience_ms(means, pool, routed, state):
                continue
            if pause_ms > SILENT_MS and gives_up(means, pool, routed, state):
                state.blames_head = True
                return AttemptEnd.LOST
            if not await _keep_going(means, pool, routed, state):
                return AttemptEnd.LOST
    finally:
        pump.cancel()
        if state.path is not None:
            means.loads.remove(state.path.parts, state.tokens)


def gives_up(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> bool:
    """Whether a silent stream is taken from a first replica that answers.

    A slow one is sound, and where the stream can't go on elsewhere, taking it away would end it. Then only
    events on other streams of that replica show that it is the connection that is dead.

    Args:
        means: Shared state.
        pool: What streams share.
        routed: The client's request.
        state: Its stream.
    """
    if not routed.route.is_resumable or state.path is None:
        return False
    head_id = state.path.parts[0].replica_id
    avoid = {*state.avoid, head_id}
    has_share = means.retries.has_left(routed.service.name)
    if has_share and choose_path(means, routed.service, state.tokens, avoid) is not None:
        return True
    return pool.heard_ms.get(head_id, 0.0) > state.active_ms + PAUSE_MS


def patience_ms(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> float:
    """Return the pause after which the cause is looked for.

    Args:
        means: Shared state.
        pool: What streams share.
        routed: The client's request.
        state: Its stream.
    """
    if state.path is not None and find_down_part(means, state.path) is not None:
        return DOWN_PAUSE_MS
    if state.send_events:
        return PAUSE_MS
    if _is_overdue(means, pool, routed, state):
        return 0.0
    return FIRST_EVENT_PAUSE_MS


def _is_overdue(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> bool:
    """Whether a stream is better sent once more than waited for: its answer may be lost."""
    if state.events or state.path is None or routed.sends != 1 or not routed.route.is_resumable:
        return False
    head_id = state.path.parts[0].replica_id
    overdue_ms = pool.first_events.overdue_ms(head_id, routed.route.target_latency_ms)
    if overdue_ms is None or means.clock.now_ms() - state.sent_ms < overdue_ms:
        return False
    if not means.retries.has_left(routed.service.name, RESENDS_FRACTION):
        return False
    avoid = {*state.avoid, head_id}
    return choose_path(means, routed.service, state.tokens, avoid) is not None


async def _keep_going(
    means: ForwardingMeans, pool: StreamPool, routed: RoutedRequest, state: StreamState
) -> bool:
    """Look for the cause of a pause; False if the stream has to go on elsewhere."""
    path = state.path
    if path is None:
        return False
    if means.crashes.record.is_convicted(routed.fingerprint):
        # A move would have it crash yet another replica.
        return False
    heard_ms = state.active_ms
    request = routed.exchange.request
    check = await check_stall(
        means, pool.reports, routed.service, path, request.attempt_id, state.tokens, state.avoid
    )
    if check.verdict is Verdict.WAIT:
        if _is_overdue(means, pool, routed, state):
            routed.history.append("its first event is overdue")
            return False
        work = search_slow_replicas(means, pool.reports, path)
        means.background.start(work, "search for slow replicas")
        return True
    if state.active_ms > heard_ms:
        return True
    routed.history.append(check.reason)
    state.avoid |= check.faulty
    state.blames_head = not check.faulty or path.parts[0].replica_id in check.faulty
    if check.verdict is Verdict.LOST or check.path is None:
        return not routed.route.is_resumable
    means.loads.remove(path.parts, state.tokens)
    state.path = check.path
    means.loads.add(check.path.parts, state.tokens)
    new_parts = [part for part in check.path.parts if part not in path.parts]
    is_fresh = state.send_events < PROVING_EVENTS
    means.crashes.follow(routed.fingerprint, state.ran_at, is_fresh=is_fresh)
    state.ran_at = means.crashes.list_living(part.replica_id for part in check.path.parts)
    note_reading(means, routed.service, new_parts, state.tokens)
    state.active_ms = means.clock.now_ms()
    return True
