"""Runs the sends of a stream, which overlap: a silent one is listened to until another has an event.

Silence doesn't show that a send is lost: its replicas may pause and go on. So a silent send gets a
successor as soon as the limits allow one and there is a path, and whichever has the next event first
supersedes the other. Without a successor the send goes on until the request's time is over.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.context import log_failed_send, log_kept_send, log_successor
from pimentodale.forwarding.passive_health import (
    faulty_replica_id,
    has_stalled,
    record_send_outcome,
)
from pimentodale.forwarding.path_requests import create_path_request
from pimentodale.forwarding.path_selection import CAPACITY_WAIT_MS, count_crossings, note_prefill
from pimentodale.forwarding.slow_streams import SlowStreamDetector, search_slow_replicas
from pimentodale.forwarding.stalls import find_down_part
from pimentodale.forwarding.stream_monitor import (
    DOWN_PAUSE_MS,
    PAUSE_MS,
    Pause,
    examine_pause,
    leave_departing,
    observe_silent,
)
from pimentodale.forwarding.stream_relay import relay_stream
from pimentodale.forwarding.stream_state import SendEnd, SharedStreamState, StreamSend, StreamState

if TYPE_CHECKING:
    from pimentodale.forwarding.context import ForwardingContext, RoutedRequest
    from pimentodale.forwarding.path_queue import PathRequest
    from pimentodale.placement.paths import Path

CHECK_INTERVAL_MS: Final = 100.0
"""Interval at which a stream is checked."""

MIN_WAIT_MS: Final = 1.0
"""Shortest wait for a check, so that rounding makes no busy loop."""

MAX_SENDS: Final = 6
"""Maximum number of sends for a client's attempt, including refused ones."""


@dataclass(slots=True)
class _Running:
    """A send in progress."""

    send: StreamSend
    relay: asyncio.Task[SendEnd]
    detector: SlowStreamDetector


def create_send(ctx: ForwardingContext, path: Path) -> StreamSend:
    """Return a send that starts now.

    Args:
        ctx: State shared by all requests.
        path: Its path.
    """
    now_ms = ctx.clock.now_ms()
    executed_on = ctx.crashes.list_alive(part.replica_id for part in path.parts)
    head = ctx.view.find_last(path.parts[0].replica_id)
    return StreamSend(
        path,
        head_started_ms=0 if head is None else head.started_ms,
        sent_ms=now_ms,
        active_ms=now_ms,
        executed_on=executed_on,
    )


async def run_sends(
    ctx: ForwardingContext,
    shared_streams: SharedStreamState,
    routed: RoutedRequest,
    state: StreamState,
    first: StreamSend,
) -> SendEnd:
    """Run a send and its successors until one is whole or all have ended.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        routed: The client's request.
        state: The stream.
        first: The send to begin with.

    Returns:
        How the last send ended.

    Raises:
        ClientGoneError: If the client has closed its connection.
    """
    sends = _Sends(ctx, shared_streams, routed, state)
    end: SendEnd | None = None
    try:
        sends.start(first)
        while end is None:
            await sends.wait()
            end = sends.collect_ended()
            if end is not None:
                break
            if routed.left_ms(ctx.clock.now_ms()) <= 0:
                end = SendEnd.TIMED_OUT
                break
            end = await sends.examine_newest_within(routed.left_ms(ctx.clock.now_ms()))
        return end
    finally:
        sends.close(end)


class _Sends:
    """The sends in progress of one stream."""

    __slots__ = ("_ctx", "_routed", "_running", "_search", "_shared", "_sought", "_state")

    def __init__(
        self,
        ctx: ForwardingContext,
        shared_streams: SharedStreamState,
        routed: RoutedRequest,
        state: StreamState,
    ) -> None:
        self._ctx = ctx
        self._shared = shared_streams
        self._routed = routed
        self._state = state
        self._running: list[_Running] = []
        self._search: asyncio.Task[None] | None = None
        """Waits for the path of a successor."""
        self._sought: tuple[StreamSend, float] | None = None
        """The silent send of the search, and the time of its last event."""

    def start(self, send: StreamSend) -> None:
        """Start a send; the first of those in progress to have the next event relays it."""
        ctx, routed, state = self._ctx, self._routed, self._state
        ctx.replica_health.hold_offs.note_sent(send.head)
        self._shared.queue.started(routed.workspace or "", state.tokens)
        ctx.loads.add(send.path.parts, state.tokens)
        self._shared.running.add(send.path.parts, state.alerts)
        note_prefill(ctx, routed.service, send.path.parts, state.tokens)
        state.relayed_from = None
        state.active.append(send)
        state.executed_on.update(send.executed_on)
        relay = asyncio.ensure_future(relay_stream(ctx, self._shared, routed, state, send))
        self._running.append(_Running(send, relay, SlowStreamDetector(send.sent_ms)))

    async def wait(self) -> None:
        """Wait until a send ends, a replica of the stream leaves or is lost, or a check is due."""
        relays: set[asyncio.Future[Any]] = {running.relay for running in self._running}
        await asyncio.wait(
            relays | {self._state.alerts.wait()},
            timeout=self._check_after_ms() / MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._state.alerts.note_awake()

    def _check_after_ms(self) -> float:
        """Return the time until the next check; a lost or leaving replica makes it shorter."""
        alerts, now_ms = self._state.alerts, self._ctx.clock.now_ms()
        wait_ms = CHECK_INTERVAL_MS
        move_at_ms = alerts.next_move_ms()
        if move_at_ms is not None and move_at_ms > now_ms:
            wait_ms = min(wait_ms, move_at_ms - now_ms)
        if alerts.is_part_lost:
            send = self._running[-1].send
            left_ms = DOWN_PAUSE_MS - self._ctx.own_pauses.silence_ms(send.active_ms)
            if left_ms <= 0 or find_down_part(self._ctx, send.path) is None:
                # An examination has just been made, or the stream doesn't pass there any more.
                alerts.is_part_lost = False
            else:
                wait_ms = min(wait_ms, left_ms)
        return max(MIN_WAIT_MS, wait_ms)

    def collect_ended(self) -> SendEnd | None:
        """Remove the sends that have ended or are superseded.

        Returns:
            How the last send ended, or that one is whole; `None` if the stream goes on.
        """
        for running in list(self._running):
            if not running.relay.done():
                continue
            end = running.relay.result()
            self._finish(running, end)
            if end in (SendEnd.WHOLE, SendEnd.PASSED_ON) or not self._running:
                return end
        winner = self._state.relayed_from
        if self._search is not None and not self._is_still_silent():
            # A search holds its place in the queue, ahead of new requests.
            self._search.cancel()
            self._search = None
        if winner is not None:
            for running in [each for each in self._running if each.send is not winner]:
                self._finish(running, SendEnd.SUPERSEDED)
        return None

    async def examine_newest_within(self, time_ms: float) -> SendEnd | None:
        """Examine the newest send as `examine_newest`, for no longer than the request's time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(time_ms / MS_PER_S):
                return await self.examine_newest()
        return None

    async def examine_newest(self) -> SendEnd | None:
        """Examine the newest send, and start a successor if it is silent.

        Returns:
            How the last send ended, if its replica no longer runs it; `None` if the stream goes on.
        """
        ctx, routed, state = self._ctx, self._routed, self._state
        running = self._running[-1]
        send = running.send
        if send.is_writing:
            return None
        self._search_if_slow(running)
        if state.alerts.departures and len(self._running) == 1 and self._search is None:
            await leave_departing(ctx, self._shared, routed, state, send)
        pause = await examine_pause(ctx, self._shared, routed, state, send)
        if pause is Pause.LOST:
            if running in self._running and not running.relay.done():
                self._finish(running, SendEnd.LOST)
            return None if self._running else SendEnd.LOST
        if pause is Pause.SILENT and not running.relay.done():
            self._seek_successor(send)
        return None

    def close(self, end: SendEnd | None) -> None:
        """End the sends that are still in progress.

        Args:
            end: How the stream ended; `None` if its client has left.
        """
        if self._search is not None:
            self._search.cancel()
        for running in list(self._running):
            is_over = end in (SendEnd.WHOLE, SendEnd.PASSED_ON)
            self._finish(running, SendEnd.SUPERSEDED if is_over else end)

    def _seek_successor(self, silent: StreamSend) -> None:
        """Wait for the path of a successor of a silent send, or log why there can be none."""
        if self._search is not None and not self._search.done():
            return
        ctx, routed, state = self._ctx, self._routed, self._state
        observe_silent(ctx, routed, silent)
        request = plan_successor(ctx, routed, state)
        if isinstance(request, str):
            self._note_kept(silent, request)
            return
        self._sought = (silent, silent.active_ms)
        work = self._start_successor(silent, request)
        self._search = ctx.background.start(work, "search for a successor")

    def _is_still_silent(self) -> bool:
        """Whether the send that a successor is sought for is silent still, and no other one goes on."""
        if (
            self._sought is None
            or self._state.is_over
            or any(running.relay.done() for running in self._running)
        ):
            return False
        silent, active_ms = self._sought
        state = self._state
        is_passed = state.relayed_from is not None and state.relayed_from is not silent
        return silent in state.active and silent.active_ms <= active_ms and not is_passed

    async def _start_successor(self, silent: StreamSend, request: PathRequest) -> None:
        """Start a successor of a silent send once there is a path and it is silent still."""
        ctx, routed, state = self._ctx, self._routed, self._state
        wait_ms = routed.left_ms(ctx.clock.now_ms())
        if not request.is_begun:
            wait_ms = min(wait_ms, CAPACITY_WAIT_MS)
        path = await self._shared.queue.wait(request, wait_ms)
        if not self._is_still_silent():
            return
        if path is None:
            self._note_kept(silent, "no path is free")
            return
        if not ctx.retries.try_spend(routed.service.name):
            self._note_kept(silent, "no retry budget")
            return
        log_successor(ctx, routed, silent.head_id, path.parts[0].replica_id, silent.active_ms)
        state.used_heads.note(silent.head, may_run_again=not silent.is_head_at_fault)
        self.start(create_send(ctx, path))

    def _note_kept(self, silent: StreamSend, reason: str) -> None:
        """Log why a silent send has no successor, once for each reason."""
        if reason == silent.kept_reason:
            return
        silent.kept_reason = reason
        log_kept_send(self._ctx, self._routed, silent.head_id, reason, silent.active_ms)

    def _search_if_slow(self, running: _Running) -> None:
        """Search for slow replicas if a send has too few events."""
        ctx, send, engine = self._ctx, running.send, self._routed.service.engine
        if engine is None:
            return
        if running.detector.is_slow(engine, send.path, ctx.clock.now_ms(), send.events):
            work = search_slow_replicas(ctx, self._shared.reports, send.path)
            ctx.background.start(work, "search for slow replicas")

    def _finish(self, running: _Running, end: SendEnd | None) -> None:
        """Remove a send and record how it ended.

        Args:
            running: The send.
            end: How it ended; `None` if the client has left.
        """
        ctx, routed, state, send = self._ctx, self._routed, self._state, running.send
        if not running.relay.cancel() and not running.relay.cancelled():
            # Marks a fault as seen; that of the send that ends the stream is raised already.
            running.relay.exception()
        self._running.remove(running)
        state.active.remove(send)
        ctx.loads.remove(send.path.parts, state.tokens)
        self._shared.running.remove(send.path.parts, state.alerts)
        held_ms = ctx.clock.now_ms() - send.sent_ms
        self._shared.queue.ended(routed.workspace or "", state.tokens, held_ms)
        routed.history.append(describe_send(ctx, send, end))
        self._note_crash_evidence(send, end)
        if end is not None:
            if end is SendEnd.SUPERSEDED:
                ctx.metrics.silent_sends["superseded"] += 1
            if end not in (SendEnd.WHOLE, SendEnd.PASSED_ON):
                replicas = [part.replica_id for part in send.path.parts]
                log_failed_send(ctx, routed, replicas, end.value, send.events)
            if end is SendEnd.BROKEN:
                state.broken_at_start += send.events == 0
            record_send_outcome(ctx, routed.service, state, send, end)
        if state.relayed_from is send:
            state.relayed_from = None

    def _note_crash_evidence(self, send: StreamSend, end: SendEnd | None) -> None:
        """Clear the crash record of a complete request; otherwise observe the replicas of a send."""
        ctx, state = self._ctx, self._state
        if send.is_past_start:
            ctx.crashes.note_writing_ended(self._routed, send)
        if end in (SendEnd.WHOLE, SendEnd.PASSED_ON):
            events = send.events if end is SendEnd.WHOLE else 0
            ctx.crashes.note_whole(
                self._routed, state.executed_on, events=events, runs=state.possible_runs
            )
            return
        waited_ms = ctx.clock.now_ms() - send.active_ms
        if end is SendEnd.NOT_SENT or _is_healthy_end(ctx, send, end, waited_ms):
            return
        observe_silent(ctx, self._routed, send)


def plan_successor(
    ctx: ForwardingContext, routed: RoutedRequest, state: StreamState
) -> PathRequest | str:
    """Plan a successor of a silent send.

    Args:
        ctx: State shared by all requests.
        routed: The client's request.
        state: The stream.

    Returns:
        The request for its path, or why there can be no successor now.
    """
    if not routed.route.is_resumable:
        return "its route allows no resumption"
    if routed.sends >= MAX_SENDS:
        return "it was sent as often as a stream may be"
    if ctx.crashes.awaits_verdict(routed) or ctx.crashes.is_convicted(routed):
        return "it may crash its replicas"
    running_on = {send.head_id for send in state.active}
    heads = state.used_heads.allowed_beside(
        routed.route.max_attempts, ctx.crashes.has_ended, {send.head for send in state.active}
    )
    if heads is not None:
        heads -= running_on
        if not heads:
            return "it may have run at as many replicas as the route allows"
    if not ctx.retries.has_budget(routed.service.name):
        return "no retry budget"
    return create_path_request(ctx, routed, state, heads, running_on)


def describe_send(ctx: ForwardingContext, send: StreamSend, end: SendEnd | None) -> str:
    """Return a send's path and outcome, as they are logged.

    Args:
        ctx: State shared by all requests.
        send: The send.
        end: How it ended; `None` if the client has left.
    """
    outcome = f"{'unfinished' if end is None else end.value}, {send.events} events"
    if send.refused is not None:
        outcome = f"refused, {send.refused.value} at {faulty_replica_id(send) or send.head_id}"
    crossings = count_crossings(ctx, send.path)
    crossed = f" crossing {crossings} domain borders" if crossings else ""
    return f"{send.head_id}+{len(send.path.parts) - 1}{crossed}: {outcome}"


def _is_healthy_end(
    ctx: ForwardingContext, send: StreamSend, end: SendEnd | None, waited_ms: float
) -> bool:
    """Whether a send ended on healthy replicas: no capacity, timeout or client disconnect."""
    if end is SendEnd.REFUSED:
        return not has_stalled(ctx, waited_ms)
    if end is SendEnd.SUPERSEDED:
        return waited_ms < PAUSE_MS
    return end in (None, SendEnd.TIMED_OUT) and send.events > 0 and waited_ms < PAUSE_MS
