"""Steps for overlapping sends of one stream, with fakes of the replicas' answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from behave import given, then, when

from pimentodale.addresses import Address
from pimentodale.clock import create_clock
from pimentodale.forwarding import overlapping_sends
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.path_queue import PathQueue, PathRequest
from pimentodale.forwarding.stream_monitor import Pause
from pimentodale.forwarding.stream_state import (
    SendEnd,
    StreamSend,
    StreamState,
    create_shared_stream_state,
)
from pimentodale.placement.messages import PathPart
from pimentodale.placement.paths import Path
from pimentodale.site.model import LayerRange
from pimentodale.site.replica_health import create_replica_health

if TYPE_CHECKING:
    from collections.abc import Callable

TOKENS = 10.0
SILENT_AFTER_MS = 760.0
REPORT_MS = 500.0
"""How long a replica that pauses leaves the question for its report unanswered."""
LAST_EVENT = 40
EVENT_S = 0.05


def ignore(*_args: object, **_named: object) -> None:
    """Do nothing."""


def path_of(name: str) -> Path:
    """Return a path of one replica."""
    return Path((PathPart(name, Address("127.0.0.1", 1), LayerRange(0, 8)),), 1.0)


def request_path(find: Callable[[], Path | None], *, is_begun: bool) -> PathRequest:
    """Return a request for a path."""
    return PathRequest(
        workspace="w1",
        rank=0 if is_begun else 2,
        tokens=TOKENS,
        usual_tokens=TOKENS,
        is_begun=is_begun,
        find=find,
        is_feasible=lambda: True,
        reserve=ignore,
        release=ignore,
    )


def make_stream(context: Any, relay: Callable[..., Any]) -> None:
    """Keep a stream, begun with three events, whose sends are relayed by a fake."""
    clock = create_clock()
    context.relay, context.began_ms = relay, clock.now_ms()
    context.shared = create_shared_stream_state(clock)
    context.ctx = SimpleNamespace(
        clock=clock,
        loads=create_load_table(clock),
        view=SimpleNamespace(
            replicas={}, find_last=ignore, mirror=SimpleNamespace(age_ms=lambda: 0.0)
        ),
        retries=SimpleNamespace(has_budget=lambda *_: True, try_spend=lambda *_: True),
        crashes=SimpleNamespace(
            list_alive=lambda _ids: [],
            is_convicted=lambda _routed: False,
            awaits_verdict=lambda _routed: False,
            has_ended=lambda _incarnation: False,
            observe_send=ignore,
            note_whole=ignore,
        ),
        metrics=SimpleNamespace(silent_sends=Counter()),
        background=SimpleNamespace(start=ignore),
        stall_ms=2_500.0,
        replica_health=create_replica_health(clock),
    )
    request = SimpleNamespace(attempt_id="attempt-1", received_ms=clock.now_ms(), prompt_parts=())
    context.routed = SimpleNamespace(
        route=SimpleNamespace(is_resumable=True, max_attempts=3),
        service=SimpleNamespace(name="lm", engine=None),
        exchange=SimpleNamespace(is_begun=True, request=request),
        workspace="w1",
        sends=1,
        fingerprint="f",
        has_progressed=True,
        history=[],
        left_ms=lambda _now_ms: 20_000.0,
    )
    context.state = StreamState("3", TOKENS, events=3)
    context.relayed = []


def run(context: Any, find: Callable[[], Path | None], time_s: float) -> None:
    """Run the stream for a while, with a fake search for paths."""

    async def examine(*args: Any) -> Pause:
        send = args[-1]
        pause_ms = context.ctx.clock.now_ms() - send.active_ms
        if pause_ms < SILENT_AFTER_MS:
            return Pause.SHORT
        if pause_ms > SILENT_AFTER_MS + 140.0:
            await asyncio.sleep(REPORT_MS / 1_000.0)
        return Pause.SILENT

    async def play() -> None:
        context.began_ms = now_ms = context.ctx.clock.now_ms()
        first = StreamSend(path_of("first"), sent_ms=now_ms, active_ms=now_ms, events=3)
        stream = asyncio.ensure_future(
            overlapping_sends.run_sends(
                context.ctx, context.shared, context.routed, context.state, first
            )
        )
        await asyncio.wait({stream}, timeout=time_s)
        context.end = stream.result() if stream.done() else None
        context.waiting = len(context.shared.queue)
        with patch.object(PathQueue, "_is_below_share", lambda *_: False):
            new = request_path(lambda: path_of("free"), is_begun=False)
            context.granted = await context.shared.queue.wait(new, 300.0)
        stream.cancel()
        await asyncio.gather(stream, return_exceptions=True)

    with (
        patch.object(overlapping_sends, "relay_stream", context.relay),
        patch.object(overlapping_sends, "note_prefill", ignore),
        patch.object(overlapping_sends, "examine_pause", examine),
        patch.object(
            overlapping_sends,
            "create_path_request",
            lambda *_args: request_path(find, is_begun=True),
        ),
    ):
        asyncio.run(play())


async def relay_events(context: Any, state: StreamState, send: StreamSend, pause_s: float) -> Any:
    """Relay the events after the third one, as a replica that resumes there."""
    await asyncio.sleep(pause_s)
    for number in range(4, LAST_EVENT + 1):
        if not state.claim(send):
            return SendEnd.SUPERSEDED
        if int(state.last_event_id) + 1 != number:
            return SendEnd.BROKEN
        state.last_event_id = str(number)
        send.events += 1
        send.active_ms = context.ctx.clock.now_ms()
        context.relayed.append((send.head_id, number))
        await asyncio.sleep(EVENT_S)
    return SendEnd.WHOLE


@given("a stream whose only send is silent for 900 ms and then goes on")
def make_pausing(context: Any) -> None:
    async def relay(*args: Any) -> Any:
        return await relay_events(context, args[-2], args[-1], 0.9)

    make_stream(context, relay)


@given("a stream whose only send is whole after 1050 ms without a further event")
def make_ending(context: Any) -> None:
    async def relay(*args: Any) -> SendEnd:
        send = args[-1]
        if send.head_id == "first":
            await asyncio.sleep(1.05)
            assert args[-2].claim(send)
        context.relayed.append((send.head_id, "whole"))
        return SendEnd.WHOLE

    make_stream(context, relay)


@given("a stream whose first send pauses for 1950 ms and whose second one has the same event later")
def make_overlapping(context: Any) -> None:
    async def relay(*args: Any) -> Any:
        state, send = args[-2:]
        if send.head_id == "third":
            await asyncio.sleep(9.0)
        at_s = 1.95 if send.head_id == "first" else 2.1
        gone_s = (context.ctx.clock.now_ms() - context.began_ms) / 1_000.0
        return await relay_events(context, state, send, at_s - gone_s)

    make_stream(context, relay)


@when("no path is free for a successor")
def find_none(context: Any) -> None:
    run(context, lambda: None, 1.9)


@when("a path for a successor is free from 1150 ms on")
def find_late(context: Any) -> None:
    run(context, lambda: find_from(context, "second", 1_150.0), 3.0)


@when("a path for a third send is free from 2000 ms on")
def find_third(context: Any) -> None:
    def find() -> Path | None:
        if len(context.state.active) < 2:
            return path_of("second")
        return find_from(context, "third", 2_000.0)

    run(context, find, 6.0)


def find_from(context: Any, name: str, from_ms: float) -> Path | None:
    """Return a path that becomes free at some time."""
    is_free = context.ctx.clock.now_ms() - context.began_ms > from_ms
    return path_of(name) if is_free else None


@then("nothing of the stream waits in the queue once it has gone on")
def check_queue(context: Any) -> None:
    assert context.relayed, "the send goes on"
    assert context.waiting == 0, context.waiting


@then("a new stream gets a path at once")
def check_granted(context: Any) -> None:
    assert context.granted == path_of("free"), context.granted


@then("no successor is sent")
def check_no_successor(context: Any) -> None:
    assert context.end is SendEnd.WHOLE, context.end
    assert context.relayed == [("first", "whole")], context.relayed


@then("the first send finishes the stream")
def check_first(context: Any) -> None:
    wanted = [("first", number) for number in range(4, LAST_EVENT + 1)]
    assert context.relayed == wanted, context.relayed
    assert context.end is SendEnd.WHOLE, context.end
