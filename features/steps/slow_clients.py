"""Steps for clients that read slowly, with a replica on a socket and a fake client."""

from __future__ import annotations

import asyncio
import contextlib
from types import SimpleNamespace
from typing import Any, Final

from behave import given, then, when
from features.support.engine_fleet import replica

from pimentodale.addresses import Address
from pimentodale.clock import create_clock
from pimentodale.forwarding.context import RoutedRequest
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.messages import ClientRequest
from pimentodale.forwarding.overlapping_sends import create_send, run_sends
from pimentodale.forwarding.own_pauses import create_own_pauses
from pimentodale.forwarding.stream_state import (
    SendEnd,
    StreamState,
    create_shared_stream_state,
)
from pimentodale.gateway.metrics import create_gateway_metrics
from pimentodale.placement.messages import PathPart
from pimentodale.placement.paths import Path
from pimentodale.platform import header_codec
from pimentodale.site.model import BackendService, LayerRange, Repeatability, RouteRule
from pimentodale.site.replica_health import create_replica_health

LAYERS: Final = LayerRange(0, 8)
REST_S: Final = 0.1
"""Time from the first event to the others, which wait for the client to read."""

FIRST_EVENT: Final = b"id: 1\n"
HEADER: Final = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
    b"Pimentodale-Replica-Stamp: a1\r\n"
    b"Content-Length: %d\r\n\r\n"
)


class SlowClient:
    """A client that doesn't read for a while after the first event."""

    def __init__(self, pause_s: float) -> None:
        self.pause_s = pause_s
        self.received = b""
        self.is_begun = False
        self.is_whole = False
        self.request = ClientRequest(
            "POST", "/lm/x", "lab.example", "a1", "", None, 0.0, 0.0, None, None, [], b"body"
        )

    async def begin(self, _status: int, _headers: list[tuple[str, str]]) -> None:
        """Read the header."""
        self.is_begun = True

    async def write(self, piece: bytes) -> None:
        """Read a piece, after a while if it has the first event."""
        self.received += piece
        if FIRST_EVENT in piece:
            await asyncio.sleep(self.pause_s)

    def end(self) -> None:
        """Read the end."""
        self.is_whole = True


@given("a replica that sends a stream of {count:d} events within 0.1 s")
def plan_stream(context: Any, count: int) -> None:
    events = (b"id: %d\ndata: piece\n\n" % number for number in range(1, count + 1))
    context.body = b"".join(events)


@when("a gateway relays it to a client that doesn't read for {pause_s:d} s after the first event")
def relay(context: Any, pause_s: int) -> None:
    context.client = SlowClient(float(pause_s))
    context.end = asyncio.run(relay_slowly(context))


async def relay_slowly(context: Any) -> SendEnd:
    """Relay the replica's stream to the client."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await reader.readuntil(b"\r\n\r\n")
            first, rest = context.body.split(b"\n\n", 1)
            writer.write(HEADER % len(context.body) + first + b"\n\n")
            await asyncio.sleep(REST_S)
            writer.write(rest)
            await writer.drain()
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    clock = create_clock()
    own_pauses = create_own_pauses(clock)
    ticks = asyncio.ensure_future(own_pauses.run())
    context.metrics = create_gateway_metrics()
    mirror = SimpleNamespace(age_ms=lambda: 0.0)
    ctx: Any = SimpleNamespace(
        clock=clock,
        codec=header_codec,
        own_pauses=own_pauses,
        metrics=context.metrics,
        loads=create_load_table(clock),
        replica_health=create_replica_health(clock),
        view=SimpleNamespace(replicas={}, find_last=lambda _id: None, mirror=mirror),
        crashes=SimpleNamespace(
            is_convicted=lambda _routed: False,
            note_writing=lambda *_: None,
            note_writing_ended=lambda *_: None,
            list_alive=list,
            note_whole=lambda *_, **_named: None,
            observe_send=lambda *_, **_named: None,
        ),
        failure_domain="a",
    )
    address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    path = Path((PathPart(replica("a1", "a", "card", LAYERS).replica_id, address, LAYERS),), 1.0)
    # Its route allows no resumption, so that a silent send is kept, and counted as such.
    route = RouteRule(
        "lm", "h", "/lm/", Repeatability.STREAM, 1e4, 100.0, 1, (), 2, True, False, 0.0
    )
    context.client.request.received_ms = clock.now_ms()
    service = BackendService("lm", "/health", 0, None)
    context.routed = RoutedRequest(context.client, route, service, None, 1)
    shared_streams = create_shared_stream_state(clock)
    state = StreamState(None, 10.0)
    end = await run_sends(ctx, shared_streams, context.routed, state, create_send(ctx, path))
    ticks.cancel()
    server.close()
    return end


@then("the client has {count:d} events of one send, none of which counted as silent")
def check_relayed(context: Any, count: int) -> None:
    assert context.end is SendEnd.WHOLE, (context.end, context.routed.history)
    assert context.client.is_whole
    assert context.client.received.count(b"id: ") == count, context.client.received
    assert context.routed.sends == 1, context.routed.history
    assert not context.metrics.silent_sends, context.metrics.silent_sends
