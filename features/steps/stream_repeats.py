"""Steps for the replicas at which an attempt of a stream may run."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from expression import Error, Ok
from features.support.engine_fleet import create_small_engine, replica
from features.support.memory_store import MemoryState, MemoryStore
from features.support.replica_view import create_replica_view

from pimentodale.addresses import Address
from pimentodale.background import create_background_tasks
from pimentodale.clock import ManualClock
from pimentodale.forwarding.context import RoutedRequest
from pimentodale.forwarding.crash_detector import create_crash_detector
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.messages import RefusalReason
from pimentodale.forwarding.overlapping_sends import create_send, plan_successor
from pimentodale.forwarding.passive_health import record_send_outcome
from pimentodale.forwarding.probes import probe_due_replicas
from pimentodale.forwarding.stream_relay import relay_stream
from pimentodale.forwarding.stream_state import (
    SendEnd,
    StreamSend,
    StreamState,
    create_shared_stream_state,
)
from pimentodale.gateway.metrics import create_gateway_metrics
from pimentodale.placement.messages import PathPart
from pimentodale.placement.paths import Path, PathRequirements, StageLoad, find_path
from pimentodale.quarantine.crash_record import create_crash_record
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.site.model import LayerRange
from pimentodale.site.replica_health import create_replica_health, incarnation_of

STALL_MS = 2_500.0


@given("a stream whose route allows {most:d} replicas")
def make_stream(context: Any, most: int) -> None:
    clock = ManualClock()
    replicas = {
        name: replica(name, "a", "fast", LayerRange(0, 4)) for name in ("h1", "h2", "stage")
    }
    context.ctx = SimpleNamespace(
        clock=clock,
        stall_ms=STALL_MS,
        replica_health=create_replica_health(clock),
        view=create_replica_view(clock, replicas),
        loads=create_load_table(clock),
    )
    record = create_crash_record(clock)
    context.ctx.crashes = create_crash_detector(
        clock,
        record,
        context.ctx.view,
        context.ctx.replica_health,
        create_background_tasks(),
        create_retrials("g1", clock, record, MemoryStore(MemoryState(clock))),
    )
    context.service = SimpleNamespace(engine=create_small_engine())
    context.state = StreamState(None, 100.0)
    context.most = most


def end_send(context: Any, head: str, end: SendEnd, *, is_head_at_fault: bool = True) -> None:
    """Record the end of a send at a head replica."""
    known = context.ctx.view.find_last(head)
    part = PathPart(head, known.address, LayerRange(0, 8))
    send = StreamSend(
        Path((part,), 1.0), head_started_ms=known.started_ms, is_head_at_fault=is_head_at_fault
    )
    record_send_outcome(context.ctx, context.service, context.state, send, end)


@when(
    'its head replica "{first}" is unresponsive, and then a stage behind "{second}" becomes unresponsive'
)
def hang_and_stall(context: Any, first: str, second: str) -> None:
    end_send(context, first, SendEnd.LOST)
    end_send(context, second, SendEnd.LOST, is_head_at_fault=False)


@when('its head replica "{first}" is unresponsive, and then "{second}" is unresponsive as well')
def hang_twice(context: Any, first: str, second: str) -> None:
    end_send(context, first, SendEnd.LOST)
    end_send(context, second, SendEnd.LOST)


@when('its head replica "{first}" is unresponsive, and then "{second}" refuses it')
def hang_and_refuse(context: Any, first: str, second: str) -> None:
    end_send(context, first, SendEnd.LOST)
    end_send(context, second, SendEnd.REFUSED)


@when('"{name}" is removed from the store')
def remove(context: Any, name: str) -> None:
    context.ctx.view.remove(name)


@when('its head replica "{first}" is removed from the store, and then its connection breaks')
def remove_and_break(context: Any, first: str) -> None:
    remove(context, first)
    end_send(context, first, SendEnd.BROKEN)


@when('the connection to its head replica "{name}" breaks')
def break_connection(context: Any, name: str) -> None:
    end_send(context, name, SendEnd.BROKEN)


@when("a probe of it {ends}")
def probe_departed(context: Any, ends: str) -> None:
    answers = {
        "is answered": Ok(context.ctx.view.find_last("h1").started_ms),
        "is answered by another replica": Ok(99),
        "fails": Error("no answer"),
    }

    async def probe(_replica: object) -> Any:
        return answers[ends]

    async def ask(question: Any) -> Any:
        return await question()

    context.ctx.engines = SimpleNamespace(probe=probe)
    context.ctx.own_pauses = SimpleNamespace(ask=ask)
    # The limit of attempts asks for the probe.
    allowed_heads(context)
    asyncio.run(probe_due_replicas(context.ctx))


@when('a silent send goes on at "{name}"')
def go_on_silent(context: Any, name: str) -> None:
    known = context.ctx.view.replicas[name]
    path = Path((PathPart(name, known.address, LayerRange(0, 8)),), 1.0)
    send = create_send(context.ctx, path)
    context.state.active.append(send)


@then("its successor may go nowhere")
def check_no_successor(context: Any) -> None:
    route = SimpleNamespace(is_resumable=True, max_attempts=context.most)
    crashes = context.ctx.crashes
    context.ctx.retries = SimpleNamespace(has_budget=lambda _service: True)
    routed = SimpleNamespace(
        route=route, sends=1, service=SimpleNamespace(name="lm"), fingerprint="f", part_keys=()
    )
    assert not crashes.is_convicted(routed)
    plan = plan_successor(context.ctx, routed, context.state)
    assert plan == "it may have run at as many replicas as the route allows", plan


@when('"{name}" fails a probe')
def fail_probe(context: Any, name: str) -> None:
    known = context.ctx.view.replicas[name]
    context.ctx.replica_health.note_failed_probe(incarnation_of(known), "no answer")


@when('"{name}" restarts')
def restart(context: Any, name: str) -> None:
    replicas = context.ctx.view.replicas
    started_ms = replicas[name].started_ms + 1
    replicas[name] = replica(name, "a", "fast", None, started_ms=started_ms)


def allowed_heads(context: Any) -> frozenset[str] | None:
    """Return the head replicas that the next send may use."""
    return context.state.used_heads.allowed(context.most, context.ctx.crashes.has_ended)


@then('its next send may only go to "{name}"')
def check_only(context: Any, name: str) -> None:
    assert allowed_heads(context) == {name}, allowed_heads(context)


@then("its next send may go nowhere")
def check_nowhere(context: Any) -> None:
    assert allowed_heads(context) == frozenset(), allowed_heads(context)


@then("its next send may go anywhere")
def check_anywhere(context: Any) -> None:
    assert allowed_heads(context) is None, allowed_heads(context)


@given("two failure domains with a complete copy of the model each")
def make_copies(context: Any) -> None:
    context.engine = create_small_engine()
    context.stages = [
        StageLoad(replica(f"{domain}{index}", domain, "fast", layers))
        for domain in "ab"
        for index, layers in enumerate((LayerRange(0, 4), LayerRange(4, 8)))
    ]


def find(context: Any, avoid: tuple[str, ...]) -> Path | None:
    """Return the path of a request that may only begin at one replica of the second domain."""
    requirements = PathRequirements("a", 100.0, avoid, heads=("b0",))
    return find_path(context.engine, context.stages, requirements)


@when("a request of the first domain may only begin at the first replica of the second")
def find_restricted(context: Any) -> None:
    context.found = find(context, ())


@then("its path begins there and runs every layer once")
def check_begins(context: Any) -> None:
    parts = context.found.parts
    assert parts[0].replica_id == "b0"
    bounds = [(part.layers.first, part.layers.end) for part in parts]
    assert [first for first, _ in bounds] == [0, *(end for _, end in bounds[:-1])]
    assert bounds[-1][1] == context.engine.layers


@when("that replica must not be used")
def find_avoiding(context: Any) -> None:
    context.found = find(context, ("b0",))


@then("there is no path")
def check_no_path(context: Any) -> None:
    assert context.found is None


@given("a replica that {does} each request")
def choose_replica(context: Any, does: str) -> None:
    context.does = does


async def serve_failing(does: str, reader: Any, writer: Any) -> None:
    """Read a request, then fail as the scenario requires."""
    await reader.readuntil(b"\r\n\r\n")
    if does == "refuses for want of room":
        writer.write(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
    elif does == "keeps without an answer":
        await reader.read()
    else:
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.close()


@when("a stream is sent to it, and the send is cancelled after {wait_ms:d} ms if it has not ended")
def send_and_give_up(context: Any, wait_ms: int) -> None:
    context.state = StreamState(None, 100.0)
    asyncio.run(send_for(context, wait_ms))


async def send_for(context: Any, wait_ms: int) -> None:
    """Send the stream to a server in this process."""
    server = await asyncio.start_server(
        lambda reader, writer: serve_failing(context.does, reader, writer), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    if context.does.startswith("does not listen"):
        server.close()
        await server.wait_closed()
    answer = SimpleNamespace(refused=RefusalReason.NO_ROOM, faulty_address="")
    codec = SimpleNamespace(encode_request=lambda *_: {}, decode_answer=lambda *_: answer)
    request = SimpleNamespace(method="POST", path="/x", body=b"", attempt_id="attempt-1")
    context.routed = SimpleNamespace(
        exchange=SimpleNamespace(request=request),
        workspace="w1",
        sends=0,
        rejections=0,
        history=[],
        left_ms=lambda _now_ms: 5_000.0,
    )
    view = SimpleNamespace(replicas={})
    ctx = SimpleNamespace(clock=ManualClock(), codec=codec, view=view)
    path = Path((PathPart("h1", Address("127.0.0.1", port), LayerRange(0, 8)),), 1.0)
    work = relay_stream(
        ctx, create_shared_stream_state(ctx.clock), context.routed, context.state, StreamSend(path)
    )
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(work, wait_ms / 1_000.0)
    server.close()


@then("{sends:d} sends are counted and the stream {may} have run")
def check_counted(context: Any, sends: int, may: str) -> None:
    assert context.routed.sends == sends, context.routed.sends
    assert context.state.may_have_run == (may == "may"), context.state.may_have_run


EXTRA_BYTES = {
    "event 9": b"id: 9\ndata: d9\n\n",
    "an event without an id": b"data: none\n\n",
    "half an event": b"id: 3\ndata",
    "nothing": b"",
}


@given("a replica that sends events 1 and 2 together with {extra}, and then {end}")
def choose_events(context: Any, extra: str, end: str) -> None:
    context.body = b"id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n" + EXTRA_BYTES[extra]
    context.is_ended = end == "ends its answer"


@when("a stream is sent to it and relayed")
def relay(context: Any) -> None:
    context.written = []
    context.state = StreamState(None, 100.0)
    asyncio.run(relay_events(context))


async def relay_events(context: Any) -> None:
    """Relay what a server in this process sends."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        chunk = b"%x\r\n%s\r\n" % (len(context.body), context.body)
        header = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(header + chunk + (b"0\r\n\r\n" if context.is_ended else b""))
        await writer.drain()
        writer.close()

    async def write(piece: bytes) -> None:
        context.written.append(piece)

    async def begin(_status: int, _headers: Any) -> None:
        exchange.is_begun = True

    def end() -> None:
        context.written.append("ended")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    answer = SimpleNamespace(refused=None, is_success=True, status=200, headers=[])
    codec = SimpleNamespace(encode_request=lambda *_: {}, decode_answer=lambda *_: answer)
    request = SimpleNamespace(
        method="POST", path="/x", body=b"", attempt_id="attempt-1", received_ms=0.0
    )
    request.prompt_parts, request.last_event_id = (), None
    exchange = SimpleNamespace(request=request, is_begun=False, begin=begin, write=write, end=end)
    route = SimpleNamespace(timeout_ms=5_000.0)
    routed = RoutedRequest(exchange, route, SimpleNamespace(), "w1", 1)
    request.deadline_ms = 5_000.0
    ctx = SimpleNamespace(
        clock=ManualClock(),
        codec=codec,
        metrics=create_gateway_metrics(),
        view=SimpleNamespace(replicas={}),
        crashes=SimpleNamespace(note_writing=lambda *_: None),
    )
    path = Path((PathPart("h1", Address("127.0.0.1", port), LayerRange(0, 8)),), 1.0)
    shared_streams = create_shared_stream_state(ctx.clock)
    context.end = await asyncio.wait_for(
        relay_stream(ctx, shared_streams, routed, context.state, StreamSend(path)), 5.0
    )
    server.close()


@then("its client has events 1 and 2, and the stream resumes after event 2")
def check_relayed(context: Any) -> None:
    assert context.end is SendEnd.BROKEN, context.end
    assert "ended" not in context.written, context.written
    assert b"".join(context.written) == b"id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n", context.written
    assert context.state.last_event_id == "2", context.state.last_event_id
    assert context.state.events == 2, context.state.events


@then("the stream resumes after the last event that its client has")
def check_resumes(context: Any) -> None:
    assert context.end is SendEnd.BROKEN, context.end
    text = b"".join(context.written).decode()
    ids = [line.removeprefix("id: ") for line in text.split("\n") if line.startswith("id: ")]
    assert ids == ["1", "2"][: len(ids)], ids
    assert context.state.last_event_id == (ids[-1] if ids else None), (ids, context.state)
