"""Steps for streams whose replicas leave or are lost, in virtual time with fakes of the replicas."""

from __future__ import annotations

import asyncio
import json
import random
import re
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from behave import given, then, when
from expression import Error, Ok
from features.support.engine_fleet import create_small_engine, replica
from features.support.virtual_time import VirtualClock, VirtualTimeLoop, run_virtually

from pimentodale.addresses import Address
from pimentodale.background import create_background_tasks
from pimentodale.clients.http_call import CallReply
from pimentodale.clients.key_value import KeyValue
from pimentodale.clock import MS_PER_S, ManualClock
from pimentodale.forwarding import overlapping_sends
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.probes import run_probes
from pimentodale.forwarding.stream_state import (
    SendEnd,
    StreamSend,
    StreamState,
    create_shared_stream_state,
)
from pimentodale.gateway.metrics import create_gateway_metrics
from pimentodale.leaving.leaving_servers import create_leaving_servers
from pimentodale.mirror.mirror import create_mirror
from pimentodale.placement.messages import EngineReport, OrderOutcome, PathPart, RepathAnswer
from pimentodale.placement.paths import Path
from pimentodale.platform import engine_client
from pimentodale.platform.configuration import decode_configuration
from pimentodale.platform.replica_records import decode_replica
from pimentodale.site.model import LayerRange
from pimentodale.site.replica_health import create_replica_health, incarnation_of
from pimentodale.site.view import SiteRecords, create_site_view

if TYPE_CHECKING:
    from collections.abc import Callable

DRAIN_MS = 2_000.0
ANNOUNCED_MS = 500.0
EVENT_MS = 50.0
TOKENS = 10.0
HALVES = (LayerRange(0, 4), LayerRange(4, 8))
SEED = 20261203


@given("{count:d} streams over two replicas, the second of which has an alternative")
def make_streams(context: Any, count: int) -> None:
    context.loop = VirtualTimeLoop()
    context.clock = clock = VirtualClock(context.loop)
    context.count, context.length_hint, context.report_ms = count, None, 0.0
    context.orders, context.moves, context.rejecting = [], [], set()
    context.order_ms = []
    context.stop_ms, context.silent_ms, context.examined = 4_000.0, 1e9, 0
    context.replicas = {
        "first": replica("first", "a", "fast", HALVES[0]),
        "second": replica("second", "a", "fast", HALVES[1]),
        "other": replica("other", "a", "fast", HALVES[1]),
    }

    async def report(_record: Any) -> Any:
        await clock.sleep_ms(context.report_ms)
        return Ok(EngineReport(False, 0, 0, 0, 0.0, 1.0, 1.0, 1, HALVES[0], stalled=()))

    async def repath(_record: Any, attempt_id: str, parts: Any, _fence: int) -> Any:
        names = [part.replica_id for part in parts]
        context.orders.append((attempt_id, names))
        context.order_ms.append(clock.now_ms())
        for part in parts:
            if part.replica_id in context.rejecting:
                return Ok(RepathAnswer(OrderOutcome.CONFLICT, str(part.address)))
        context.moves.append((attempt_id, clock.now_ms(), names))
        return Ok(RepathAnswer(OrderOutcome.DONE))

    context.crashes = SimpleNamespace(
        list_alive=lambda _ids: [],
        is_convicted=lambda _routed: False,
        awaits_verdict=lambda _routed: False,
        has_ended=lambda _incarnation: False,
        observe_send=lambda *_, **_named: None,
        note_whole=lambda *_, **_named: None,
    )
    context.metrics = create_gateway_metrics()
    context.health = create_replica_health(clock)
    context.shared = create_shared_stream_state(clock, DRAIN_MS)
    context.shared.running.rng = random.Random(SEED)
    context.health.subscribe_down(context.shared.running.note_lost)
    context.ctx = SimpleNamespace(
        clock=clock,
        replica_health=context.health,
        view=SimpleNamespace(
            replicas=context.replicas,
            find_last=context.replicas.get,
            replicas_of=lambda _service: [
                each for each in context.replicas.values() if not each.is_draining
            ],
            mirror=SimpleNamespace(age_ms=lambda: 0.0),
        ),
        loads=create_load_table(clock),
        slow_replicas=SimpleNamespace(slowness=lambda _record: 1.0, begin_search=lambda _each: []),
        engines=SimpleNamespace(report=report, repath=repath),
        own_pauses=SimpleNamespace(
            silence_ms=lambda since_ms: clock.now_ms() - since_ms,
            ask=lambda question: question(),
        ),
        retries=SimpleNamespace(has_budget=lambda *_: False, try_spend=lambda *_: False),
        crashes=context.crashes,
        metrics=context.metrics,
        background=create_background_tasks(),
        failure_domain="a",
        stall_ms=2_500.0,
        fence=lambda: 7,
    )


@given("{count:d} streams over two replicas, the second of which has two alternatives")
def make_two_alternatives(context: Any, count: int) -> None:
    make_streams(context, count)
    # A slow kind, so that it is the second choice.
    context.replicas["third"] = replica("third", "a", "slow", HALVES[1])


@given("the streams end after {end_ms:d} ms by their length hint")
def end_soon(context: Any, end_ms: int) -> None:
    context.stop_ms = float(end_ms)
    context.length_hint = end_ms / EVENT_MS * create_small_engine().tokens_per_event


@given("the alternative is in another failure domain")
def move_alternative(context: Any) -> None:
    context.replicas["other"] = replica("other", "b", "fast", HALVES[1])


@given("the streams may crash their replicas")
def suspect_streams(context: Any) -> None:
    context.crashes.awaits_verdict = lambda _routed: True


@given("the first replica is leaving too")
def drain_first(context: Any) -> None:
    context.replicas["first"] = replace(context.replicas["first"], is_draining=True)


@given("another replica holds the first layers too")
def add_head(context: Any) -> None:
    context.replicas["spare"] = replica("spare", "a", "fast", HALVES[0])


@given("the alternative is unusable")
def exclude_alternative(context: Any) -> None:
    context.health.exclude_for(incarnation_of(context.replicas["other"]), 60_000.0)


@given("the departure is withdrawn after 500 ms")
def plan_withdrawal(context: Any) -> None:
    context.withdrawn_ms = 500.0


@given("the streams are silent from {silent_ms:d} ms on")
def fall_silent(context: Any, silent_ms: int) -> None:
    context.silent_ms = silent_ms + 1.0


@given("the head replica takes {report_ms:d} ms for a report")
def slow_report(context: Any, report_ms: int) -> None:
    context.report_ms = float(report_ms)


@given("the first alternative rejects every move")
def reject_first(context: Any) -> None:
    context.rejecting = {"other"}


@given("every alternative rejects every move")
def reject_all(context: Any) -> None:
    context.rejecting = {"other", "third", "fourth"}
    context.replicas["fourth"] = replica("fourth", "a", "slow", HALVES[1])


def create_routed(context: Any, name: str) -> Any:
    """Return the request of a stream."""
    request = SimpleNamespace(
        attempt_id=name,
        received_ms=context.clock.now_ms(),
        prompt_parts=(),
        prompt_tokens=0.0,
        length_hint_tokens=context.length_hint,
        max_answer_tokens=0.0,
    )
    if request.length_hint_tokens is None:
        request.length_hint_tokens = 1_000.0
    return SimpleNamespace(
        route=SimpleNamespace(is_resumable=True, max_attempts=2, target_latency_ms=500.0),
        service=SimpleNamespace(name="lm", engine=create_small_engine()),
        exchange=SimpleNamespace(is_begun=True, request=request),
        workspace="w1",
        sends=1,
        fingerprint="f",
        history=[],
        first_event_ms=None,
        last_event_ms=None,
        left_ms=lambda _now_ms: 20_000.0,
    )


async def relay(context: Any, routed: Any, state: StreamState, send: StreamSend) -> SendEnd:
    """Relay an event at intervals until the stream falls silent or ends."""
    clock = context.clock
    while clock.now_ms() + EVENT_MS <= context.stop_ms:
        await clock.sleep_ms(EVENT_MS)
        if clock.now_ms() > context.silent_ms:
            await clock.sleep_ms(1e6)
        assert state.claim(send)
        if routed.first_event_ms is None:
            routed.first_event_ms = clock.now_ms() - routed.exchange.request.received_ms
        send.active_ms = routed.last_event_ms = clock.now_ms()
        send.events += 1
        state.events += 1
    return SendEnd.WHOLE


def run_streams(context: Any, happen: Callable[[], Any], until_ms: float) -> None:
    """Run the streams beside something that happens."""
    examine = overlapping_sends.examine_pause

    async def count_examined(*args: Any) -> Any:
        context.examined += 1
        return await examine(*args)

    async def relay_fake(_ctx: Any, _shared: Any, routed: Any, state: Any, send: Any) -> SendEnd:
        return await relay(context, routed, state, send)

    async def play() -> None:
        records = [context.replicas[name] for name in ("first", "second")]
        parts = tuple(
            PathPart(record.replica_id, record.address, half)
            for record, half in zip(records, HALVES, strict=True)
        )
        streams = []
        context.states = []
        for number in range(context.count):
            routed = create_routed(context, f"attempt-{number}")
            state = StreamState(None, TOKENS)
            context.states.append(state)
            send = overlapping_sends.create_send(context.ctx, Path(parts, 12.5))
            work = overlapping_sends.run_sends(context.ctx, context.shared, routed, state, send)
            streams.append(asyncio.ensure_future(work))
        event = asyncio.ensure_future(happen())
        await asyncio.wait(streams, timeout=until_ms / MS_PER_S)
        for stream in streams:
            stream.cancel()
        results = await asyncio.gather(*streams, return_exceptions=True)
        await event
        faults = [
            each
            for each in results
            if isinstance(each, BaseException) and not isinstance(each, asyncio.CancelledError)
        ]
        assert not faults, faults

    with (
        patch.object(overlapping_sends, "relay_stream", relay_fake),
        patch.object(overlapping_sends, "examine_pause", count_examined),
    ):
        run_virtually(context.loop, play())
    left = {name: context.shared.running.count(name) for name in context.replicas}
    assert not any(left.values()), left


def announce(context: Any, name: str) -> None:
    """Let a replica announce its departure."""
    leaving = context.replicas[name] = replace(context.replicas[name], is_draining=True)
    context.shared.running.note_leaving(incarnation_of(leaving))


@when("the {name} replica announces its departure")
def announce_once(context: Any, name: str) -> None:
    withdrawn_ms = getattr(context, "withdrawn_ms", None)

    async def happen() -> None:
        await context.clock.sleep_ms(ANNOUNCED_MS)
        announce(context, name)
        if withdrawn_ms is not None:
            await context.clock.sleep_ms(withdrawn_ms)
            second = context.replicas["second"]
            context.replicas["second"] = replace(second, is_draining=False)

    run_streams(context, happen, min(3_500.0, context.silent_ms + 1_200.0))


@when("the second replica announces its departure again after 900 ms")
def announce_twice(context: Any) -> None:
    async def happen() -> None:
        await context.clock.sleep_ms(ANNOUNCED_MS)
        announce(context, "second")
        await context.clock.sleep_ms(900.0)
        announce(context, "second")

    run_streams(context, happen, 3_500.0)


@when(
    "the streams fall silent after {silent_ms:d} ms and the second replica counts as down"
    " {after_ms:d} ms later"
)
def lose_second(context: Any, silent_ms: int, after_ms: int) -> None:
    # The last event is the last multiple of the interval before that.
    context.silent_ms = silent_ms // EVENT_MS * EVENT_MS + 1.0
    context.last_event_ms = context.silent_ms - 1.0

    async def happen() -> None:
        await context.clock.sleep_ms(context.last_event_ms + after_ms)
        context.examined = 0
        second = incarnation_of(context.replicas["second"])
        context.health.mark_down(second, "it can't be connected to")

    run_streams(context, happen, context.last_event_ms + after_ms + 300.0)


@when("the second replica counts as down and the stream goes on for {time_ms:d} ms")
def suspect_wrongly(context: Any, time_ms: int) -> None:
    async def happen() -> None:
        await context.clock.sleep_ms(ANNOUNCED_MS)
        context.examined = 0
        second = incarnation_of(context.replicas["second"])
        context.health.mark_down(second, "it can't be connected to")

    run_streams(context, happen, ANNOUNCED_MS + time_ms)


def check_each_once(context: Any) -> list[float]:
    """Check that each stream was moved once to the alternative; return the times."""
    names = sorted(move[0] for move in context.moves)
    assert names == sorted(f"attempt-{number}" for number in range(context.count)), names
    assert all(move[2] == ["first", "other"] for move in context.moves), context.moves
    return [move[1] for move in context.moves]


@then("each stream is moved once, between {from_ms:d} and {to_ms:d} ms after the announcement")
def check_moved_early(context: Any, from_ms: int, to_ms: int) -> None:
    times_ms = [at_ms - ANNOUNCED_MS for at_ms in check_each_once(context)]
    assert all(from_ms <= at_ms <= to_ms for at_ms in times_ms), times_ms


@then("the moves are spread over more than {spread_ms:d} ms")
def check_spread(context: Any, spread_ms: int) -> None:
    times_ms = [move[1] for move in context.moves]
    assert max(times_ms) - min(times_ms) > spread_ms, times_ms


@then("{count:d} moves are counted as {kind}")
def check_counted(context: Any, count: int, kind: str) -> None:
    assert dict(context.metrics.moves) == {kind: count}, context.metrics.moves
    line = f'pimentodale_moves_total{{kind="{kind}"}} {float(count)}'
    assert line in context.metrics.exposition().decode(), line


@then("no stream is moved")
def check_unmoved(context: Any) -> None:
    assert context.orders == [], context.orders
    assert all(state.events > 0 for state in context.states)


@then("each stream is moved once, after a pause of {from_ms:d} to {to_ms:d} ms")
def check_moved_at(context: Any, from_ms: int, to_ms: int) -> None:
    pauses_ms = [at_ms - context.last_event_ms for at_ms in check_each_once(context)]
    assert all(from_ms - 0.01 <= pause_ms <= to_ms for pause_ms in pauses_ms), pauses_ms


@then("the stream was examined at most {count:d} times")
def check_examined(context: Any, count: int) -> None:
    assert 0 < context.examined <= count, context.examined


@then("the streams are moved to the other alternative by the second order")
def check_second_order(context: Any) -> None:
    wanted = [("attempt-0", ["first", "other"]), ("attempt-0", ["first", "third"])]
    assert context.orders == wanted, context.orders


@then("the first alternative gets no new requests for 150 ms")
def check_excluded(context: Any) -> None:
    until_ms = context.health._excluded_until_ms[incarnation_of(context.replicas["other"])]
    assert abs(until_ms - context.moves[0][1] - 150.0) < 0.01, until_ms


@then("{count:d} orders are sent before the move is given up")
def check_orders(context: Any, count: int) -> None:
    first = [at_ms for at_ms in context.order_ms if at_ms < context.order_ms[0] + 50.0]
    assert len(first) == count, context.order_ms
    assert context.moves == [], context.moves


@then("{count:d} orders are sent in all")
def check_all_orders(context: Any, count: int) -> None:
    assert len(context.orders) == count, context.orders
    assert context.moves == [], context.moves


@given("a head replica that answers an order with 409, {answer}")
def make_rejecting(context: Any, answer: str) -> None:
    quoted = re.fullmatch(r'header "(.*)" and body "(.*)"', answer)
    assert quoted is not None, answer
    header, body = quoted.groups()
    headers = {"At-Server": header} if header else {}
    context.reply = CallReply(409, headers, body.replace("'", '"').encode())


@when("it is ordered to move a stream to a path over 127.0.0.1:41 and 127.0.0.1:4102")
def order_move(context: Any) -> None:
    async def fetch(*_args: Any) -> Any:
        return Ok(context.reply)

    parts = tuple(
        PathPart(str(port), Address("127.0.0.1", port), half)
        for port, half in zip((41, 4102), HALVES, strict=True)
    )
    client = engine_client.create_platform_engine_client()
    with patch.object(engine_client, "fetch", fetch):
        head = replica("first", "a", "fast", HALVES[0])
        context.answer = asyncio.run(client.repath(head, "attempt-1", parts, 7)).ok


@then("the part at fault is {quoted}")
def check_fault(context: Any, quoted: str) -> None:
    fault = quoted.strip('"')
    assert context.answer == RepathAnswer(OrderOutcome.CONFLICT, fault), context.answer


@given("a view of a site that reports departures")
def make_view(context: Any) -> None:
    clock = ManualClock(10_000.0)
    context.mirror = create_mirror(clock)
    view = context.view = create_site_view(
        SiteRecords("configuration", "servers/", decode_configuration, decode_replica),
        context.mirror,
        clock,
    )
    view.leaving = create_leaving_servers(clock, lambda *_: None, view.note_leaving_changed)
    context.left, context.gone, context.revision = [], [], 0
    view.subscribe_departures(context.left.append, context.gone.append)
    write_record(context, "ready", 1)


def write_record(context: Any, state: str, born: int) -> None:
    """Write the replica's record to the mirror."""
    context.revision += 1
    record = {"service": "lm", "address": "127.0.0.1:8000", "zone": "a"}
    value = json.dumps({**record, "state": state, "born": born}).encode()
    item = KeyValue("servers/r1", value, 1, context.revision)
    context.mirror.apply_changes(context.revision, [item], [])


@when("its record is written as draining, twice, and then removed")
def drain_by_record(context: Any) -> None:
    write_record(context, "draining", 1)
    write_record(context, "draining", 1)
    context.mirror.apply_changes(context.revision + 1, [], ["servers/r1"])
    context.revision += 1


@then("its departure is notified once, and its removal once")
def check_notified(context: Any) -> None:
    assert (context.left, context.gone) == ([("r1", 1)], [("r1", 1)]), (context.left, context.gone)


@when("it has started again and another host reports that it is leaving")
def report_leaving(context: Any) -> None:
    write_record(context, "ready", 2)
    context.view.note_leaving(context.view.replicas["r1"])
    context.view.note_leaving(context.view.replicas["r1"])


@then("the departure of the new run is notified once")
def check_new_run(context: Any) -> None:
    assert context.left == [("r1", 1), ("r1", 2)], context.left


@given("a host that probes replicas, of which {count:d} are known")
def make_probing_host(context: Any, count: int) -> None:
    context.loop = VirtualTimeLoop()
    context.clock = VirtualClock(context.loop)
    records = [replica(f"r{number}", "a", "fast", HALVES[0]) for number in range(count)]
    context.records = records
    context.probed_ms, context.down_ms = [], {}
    context.probing = context.most_probing = 0

    async def probe(_record: Any) -> Any:
        context.probed_ms.append(context.clock.now_ms())
        context.probing += 1
        context.most_probing = max(context.most_probing, context.probing)
        await context.clock.sleep_ms(context.probe_ms)
        context.probing -= 1
        return Error("no connection")

    async def ask(question: Any) -> Any:
        return await question()

    health = create_replica_health(context.clock)
    health.subscribe_down(
        lambda incarnation: context.down_ms.update({incarnation: context.clock.now_ms()})
    )
    context.host = SimpleNamespace(
        clock=context.clock,
        replica_health=health,
        view=SimpleNamespace(replicas={record.replica_id: record for record in records}),
        engines=SimpleNamespace(probe=probe),
        own_pauses=SimpleNamespace(ask=ask),
    )


@when("1 replica is suspected {after:d} ms after the start, and each probe fails after {time:d} ms")
def suspect_one(context: Any, after: int, time: int) -> None:
    context.probe_ms = float(time)
    suspect_each(context, 1, float(after), 0.0)


@when(
    "{count:d} replicas are suspected one each {gap:d} ms, and each probe fails after {time:d} ms"
)
def suspect_many(context: Any, count: int, gap: int, time: int) -> None:
    context.probe_ms = float(time)
    suspect_each(context, count, 35.0, float(gap))


def suspect_each(context: Any, count: int, after_ms: float, gap_ms: float) -> None:
    """Suspect replicas one after the other while the host probes, as other hosts report them."""
    context.suspected_ms = {}

    async def play() -> None:
        work = asyncio.ensure_future(run_probes(context.host))
        await context.clock.sleep_ms(after_ms)
        for record in context.records[:count]:
            incarnation = incarnation_of(record)
            context.suspected_ms[incarnation] = context.clock.now_ms()
            context.host.replica_health.mark_suspect(incarnation, "told", by_peer="h2")
            await context.clock.sleep_ms(gap_ms)
        await context.clock.sleep_ms(200.0)
        work.cancel()

    run_virtually(context.loop, play())


@then("it counts as down within {limit_ms:d} ms, and was probed once")
def check_down_at_once(context: Any, limit_ms: int) -> None:
    ((incarnation, suspected_ms),) = context.suspected_ms.items()
    assert context.down_ms[incarnation] - suspected_ms <= limit_ms, context.down_ms
    early = [at_ms for at_ms in context.probed_ms if at_ms <= suspected_ms + limit_ms]
    assert len(early) == 1, context.probed_ms


@then("all count as down within {limit_ms:d} ms, and at most {most:d} were probed at once")
def check_bounded_rounds(context: Any, limit_ms: int, most: int) -> None:
    assert set(context.down_ms) == set(context.suspected_ms)
    first_ms = min(context.suspected_ms.values())
    assert max(context.down_ms.values()) - first_ms <= limit_ms, context.down_ms
    # 8 that are suspected and 8 that are down already.
    assert context.most_probing <= most, context.most_probing
