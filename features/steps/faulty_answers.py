"""Steps for replicas with faulty answers, on raw connections behind real programs."""

from __future__ import annotations

import asyncio
import base64
import http.client
import json
import socket
import socketserver
import struct
import threading
import time
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from features.support.gateway_site import LAYERS, GatewaySite, create_gateway_site
from features.support.memory_store import MemoryState, MemoryStore
from features.support.odd_answers import list_odd_answers
from features.support.raw_server import CLOSE_DELAY_S, PAUSE, RESET, RawServer, build_answer
from features.support.site import http as call
from features.support.site import wait_until

from pimentodale.background import create_background_tasks
from pimentodale.clients.engine_client import EngineToken, open_stream
from pimentodale.clients.engine_messages import EngineCall, Hop
from pimentodale.clock import create_clock
from pimentodale.configuration.documents import Operation, Service
from pimentodale.quarantine.crash_record import create_crash_record
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.results import Ran
from pimentodale.services.caller import create_service_caller
from pimentodale.services.crash_guard import create_crash_guard
from pimentodale.services.messages import ServiceCall, ServiceReplica

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.addresses import Address

PORT: Final = 8000
EVENTS: Final = 5
HEADS: Final = ("e1", "e2", "e3")
TAILS: Final = ("e4", "e5")
PLAIN_REPLICAS: Final = ("p1", "p2", "p3")

SETTLE_S: Final = 0.3
"""Time between two requests, in which a replica that refused may be used again."""

PLAIN_BODY: Final = b"the whole body of an answer"
OWN: Final = b"Pimentodale-Attempt-Id: ID\r\n"
OTHER: Final = b"Pimentodale-Attempt-Id: an-earlier-one\r\n"
NOT_RUN: Final = b"Pimentodale-Not-Executed: 1\r\n"
SIGNED: Final = OWN + b"Pimentodale-Replica-Stamp: s1\r\n"


def build_chunk(piece: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)


def build_chunks(pieces: Iterable[bytes], headers: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    """Return an answer in chunks; without `end` it is cut before the last one."""
    chunks = b"".join(build_chunk(piece) for piece in pieces)
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\n" + headers + chunked + chunks + end


LAST_CHUNK: Final = b"0\r\n\r\n"
EVENT_TYPE: Final = b"Content-Type: text/event-stream\r\n"


def build_events(first: int, last: int, end: bytes = b"0\r\n\r\n") -> bytes:
    """Return a stream with the events of a range."""
    numbers = range(first, last + 1)
    pieces = [b"id: %d\ndata: d%d\n\n" % (number, number) for number in numbers]
    return build_chunks(pieces, SIGNED + EVENT_TYPE, end)


EVENT_BODY: Final = b"".join(b"id: %d\ndata: d%d\n\n" % (n, n) for n in range(1, EVENTS + 1))


HEAD: Final = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 27\r\n\r\n"
INTERIM: Final = b"HTTP/1.1 102 Processing\r\n\r\n"
FAULT_TEXT: Final = b"error: the replica failed"

ANSWERS: Final = {
    "503 of another request": build_answer("503 Full", OTHER + NOT_RUN, FAULT_TEXT),
    "421 of another request": build_answer("421 Wrong", OTHER + NOT_RUN, FAULT_TEXT),
    "429 of another request": build_answer("429 Busy", OTHER + NOT_RUN, FAULT_TEXT),
    "400 of another request": build_answer("400 Bad", OTHER + NOT_RUN, FAULT_TEXT),
    "503 ahead of the request": build_answer("503 Full", OTHER + NOT_RUN, FAULT_TEXT),
    "own 503": build_answer("503 Full", OWN + NOT_RUN, FAULT_TEXT),
    "own 421": build_answer("421 Wrong", OWN + NOT_RUN, FAULT_TEXT),
    "503 without an id": build_answer("503 Full", NOT_RUN, FAULT_TEXT),
    "own 500": build_answer("500 Error", SIGNED, FAULT_TEXT),
    "own 404": build_answer("404 Unknown", SIGNED, FAULT_TEXT),
    "unsigned 502": build_answer("502 Bad", b"", FAULT_TEXT),
    "200 with a text": build_answer("200 OK", SIGNED, FAULT_TEXT),
    "200 with a text and a gap": build_answer("200 OK", SIGNED, FAULT_TEXT + b"\n\n"),
    "200 with a body of no bytes": build_answer("200 OK", SIGNED),
    "204": b"HTTP/1.1 204 No Content\r\n" + SIGNED + b"\r\n",
    "half a head": HEAD[:40],
    "no further event": build_events(1, 0),
    "in the status": HEAD[:11],
    "after the status line": HEAD[:17],
    "in a header's name": HEAD[:25],
    "in the length": HEAD[:-5],
    "before the blank line": HEAD[:-2],
    "in the blank line": HEAD[:-1],
    "after the head": HEAD,
    "in the body": HEAD + PLAIN_BODY[:9],
    "before the last chunk": build_chunks([PLAIN_BODY], SIGNED, b""),
    "in the last chunk": build_chunks([PLAIN_BODY], SIGNED, b"0\r\n"),
    "by a reset without a length": b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\n" + PLAIN_BODY + RESET,
    "after an interim head": INTERIM,
    "in the head after an interim one": INTERIM + HEAD[:30],
    "with 204 and a body": build_answer("204 No Content", SIGNED, PLAIN_BODY),
}
"""Faulty answers by name; `ID` stands for the request's attempt id."""


@dataclass
class Plan:
    """What the replicas do with the next request of the client."""

    first: bytes | None = None
    """Answer of the first replica that gets it; `None` for a sound one."""

    later: bytes | None = None
    """Answer of the other ones."""

    is_early: bool = False
    """Whether the first answer goes out before the request is read."""

    arrivals: int = 0
    """How often it was sent to a replica."""

    lock: threading.Lock = field(default_factory=threading.Lock)


@dataclass
class Received:
    """What a client got."""

    name: str
    status: int
    body: bytes
    is_whole: bool
    arrivals: int


class RawReplica(socketserver.ThreadingTCPServer):
    """A replica that answers as planned; reports and orders are sound."""

    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, ip: str, replica_id: str, *, is_engine: bool, site: FaultySite) -> None:
        super().__init__((ip, PORT), RawHandler)
        self.replica_id = replica_id
        self.is_engine = is_engine
        self.site = site
        self.started_ms = int(time.time() * 1_000)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Pass over connections that the caller has closed."""

    def record(self) -> dict[str, Any]:
        """Return its record in the store."""
        record = {
            "service": "lm" if self.is_engine else "plain",
            "address": f"{self.server_address[0]}:{PORT}",
            "zone": "a",
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 0,
            "born": self.started_ms,
        }
        return record | (self.layers() if self.is_engine else {})

    def layers(self) -> dict[str, Any]:
        """Return what an engine says of its part; only heads, in the first half, get requests."""
        half = LAYERS // 2
        first = half if self.replica_id in TAILS else 0
        return {"kind": "card", "layers": {"from": first, "to": first + half, "version": 1}}

    def report(self) -> bytes:
        """Return the report."""
        report = {"busy": False, "sequence": 0, "queued_requests": 0, "active_requests": 0}
        report |= {"kv_used": 0, "kv_total": 1_000_000, "pace": 1.0, "born": self.started_ms}
        return build_answer("200 OK", b"", json.dumps(report | self.layers()).encode())


class RawHandler(socketserver.BaseRequestHandler):
    """Serves one connection."""

    server: RawReplica

    def handle(self) -> None:
        """Read a request and answer it."""
        plan = self.server.site.plan
        if plan.is_early and not plan.arrivals and not self.server.is_engine:
            self.request.sendall(plan.first)
        head, body = b"", b""
        while b"\r\n\r\n" not in head:
            if not (piece := self.request.recv(65_536)):
                return
            head += piece
        head, _, body = head.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        while len(body) < int(headers.get("content-length", "0")):
            body += self.request.recv(65_536)
        path = lines[0].split(" ")[1]
        self.answer(path, headers, plan)

    def answer(self, path: str, headers: dict[str, str], plan: Plan) -> None:
        """Write the answer to a request that was read."""
        if path == "/api/order":
            self.request.sendall(build_answer("200 OK", b""))
            return
        if path == "/api/report":
            is_engine = self.server.is_engine
            unrun = build_answer("400 Bad", NOT_RUN)
            self.request.sendall(self.server.report() if is_engine else unrun)
            return
        answer: bytes | None = None
        if not path.endswith("/probe"):
            with plan.lock:
                plan.arrivals += 1
                answer = plan.first if plan.arrivals == 1 else plan.later
                if plan.is_early and plan.arrivals == 1:
                    return
        if answer is None:
            last = int(headers.get("last-event-id", "0"))
            events = build_events(last + 1, EVENTS)
            plain = build_answer("200 OK", SIGNED, PLAIN_BODY)
            answer = events if self.server.is_engine else plain
        answer = answer.replace(b"ID\r\n", headers["pimentodale-attempt-id"].encode() + b"\r\n")
        self.request.sendall(answer.removesuffix(RESET))
        # What was sent is read before the connection ends.
        time.sleep(CLOSE_DELAY_S)
        if answer.endswith(RESET):
            linger = struct.pack("ii", 1, 0)
            self.request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.request.close()


@dataclass
class FaultySite:
    """A gateway, its store and raw replicas."""

    gateways: GatewaySite
    plan: Plan = field(default_factory=Plan)
    replicas: list[RawReplica] = field(default_factory=list)
    received: list[Received] = field(default_factory=list)

    def start(self) -> None:
        """Start everything, and wait until each route is served."""
        site = self.gateways.site
        ip = site.ip(2)
        store = {"kind": "platform_store", "listen": f"{ip}:9000", "admin_listen": f"{ip}:9001"}
        site.start(
            "store", "pimentodale-standin", str(site.write("store.yaml", {"parts": [store]}))
        )
        site.wait_ready(f"{self.gateways.store}/healthz")
        for name in (*HEADS, *TAILS, *PLAIN_REPLICAS):
            is_engine = name not in PLAIN_REPLICAS
            replica = RawReplica(self.gateways.ip(name), name, is_engine=is_engine, site=self)
            self.replicas.append(replica)
            value = base64.b64encode(json.dumps(replica.record()).encode()).decode()
            put = {"puts": [{"key": f"servers/{name}", "value": value, "lease": 0}]}
            assert call(f"{self.gateways.store}/api/kv-txn", put).status == 200
        once = {"path_prefix": "/once/", "kind": "streaming", "service": "lm", "resumable": False}
        once |= {"timeout_ms": 20_000, "gap_target_ms": 250}
        note = {"path_prefix": "/note/", "kind": "non_idempotent", "service": "plain"}
        self.gateways.configure([once, note])
        self.gateways.start_gateway("g1")
        for prefix in ("/lm/", "/once/", "/read/", "/note/"):
            wait_until(lambda prefix=prefix: self.serves(prefix), f"{prefix} is served", 20.0)

    def serves(self, prefix: str) -> bool:
        """Whether a request is served."""
        try:
            return bool(self.gateways.request("g1", f"{prefix}probe").status == 200)
        except OSError:
            return False

    def ask(self, prefix: str, name: str, plan: Plan) -> None:
        """Send one request under a plan and keep what the client gets."""
        # Which replicas are thought to be sound must not depend on the row before.
        wait_until(lambda: self.serves(prefix), f"{prefix} is served", 5.0)
        time.sleep(SETTLE_S)
        self.plan = plan
        connection = http.client.HTTPConnection(self.gateways.ip("g1"), 7000, timeout=12.0)
        status, body, is_whole = 0, b"", False
        try:
            connection.request("POST", f"{prefix}x", b"body", self.gateways.headers())
            response = connection.getresponse()
            status = response.status
            while piece := response.read1():
                body += piece
            is_whole = response.length in (0, None)
        except (OSError, http.client.HTTPException, ValueError):
            is_whole = False
        finally:
            connection.close()
        self.plan = Plan()
        received = Received(f"{prefix} {name}", status, body, is_whole, plan.arrivals)
        print(f"{received.name}: {status} whole={is_whole} sends={plan.arrivals} {body[:60]!r}")
        self.received.append(received)

    def close(self) -> None:
        """Stop the replicas."""
        for replica in self.replicas:
            replica.shutdown()
            replica.server_close()


def check_each(site: FaultySite, is_right: Any) -> None:
    """Assert that all answers since the last check are right."""
    wrong = [received for received in site.received if not is_right(received)]
    count = len(site.received)
    site.received.clear()
    assert count, "nothing was asked"
    assert not wrong, "\n".join([f"{len(wrong)} of {count} wrong:", *map(str, wrong)])


@given("a gateway before raw replicas")
def start_site(context: Any) -> None:
    context.faulty = FaultySite(create_gateway_site(context.site))
    context.add_cleanup(context.faulty.close)
    context.faulty.start()


@when(
    "each of these requests gets an answer from the first replica that reads it, and the next one "
    "is sound"
)
def ask_refused(context: Any) -> None:
    for row in context.table:
        name = row["first answer"]
        plan = Plan(first=ANSWERS[name], is_early=name.endswith("ahead of the request"))
        context.faulty.ask(row["request"], name, plan)


@then("each is answered 502 and was sent once")
def check_once(context: Any) -> None:
    check_each(context.faulty, lambda got: got.status == 502 and got.arrivals == 1)


@then("each is answered 200 in full and was sent twice")
def check_twice(context: Any) -> None:
    check_each(context.faulty, lambda got: got.status == 200 and got.is_whole and got.arrivals == 2)


@when("streams begin with {count:d} of 5 events, break off, and each further replica answers")
def ask_begun(context: Any, count: int) -> None:
    for row in context.table:
        later = ANSWERS[row["next answer"]]
        context.faulty.ask("/lm/", row["next answer"], Plan(build_events(1, count, b""), later))


def events_to(last: int) -> bytes:
    """Return the events up to one, as a client gets them."""
    numbers = range(1, last + 1)
    return b"".join(b"id: %d\ndata: d%d\n\n" % (number, number) for number in numbers)


@then("each client has events 1 and 2, nothing else, and sees the stream break off")
def check_broken(context: Any) -> None:
    check_each(
        context.faulty,
        lambda got: got.body == events_to(2) and not got.is_whole and got.arrivals > 1,
    )


@then("each client has events 1 to 5 and sees the stream end")
def check_ended(context: Any) -> None:
    check_each(
        context.faulty,
        lambda got: got.body == events_to(EVENTS) and got.is_whole and got.arrivals > 1,
    )


@when("every replica gives each of these odd answers to these requests")
def ask_odd(context: Any) -> None:
    ask_odd_rows(context, lambda answer: Plan(answer, answer))


@when("the first replica gives each of these odd answers, and the next one is sound")
def ask_odd_first(context: Any) -> None:
    ask_odd_rows(context, lambda answer: Plan(first=answer))


def ask_odd_rows(context: Any, build_plan: Callable[[bytes], Plan]) -> None:
    """Send the requests of each row of the table while replicas give its odd answer."""
    for row in context.table:
        name = row["odd answer"]
        for prefix in row["requests"].split():
            # A stream's sound answer has events, so that only the oddity spoils it.
            is_stream = prefix in ("/lm/", "/once/")
            body = EVENT_BODY if is_stream else PLAIN_BODY
            fields = SIGNED + (EVENT_TYPE if is_stream else b"")
            odd = dict(list_odd_answers(fields, body, build_answer("200 OK", fields, body)))
            context.faulty.ask(prefix, name, build_plan(odd[name]))


ODD_EVENT_IDS: Final = {
    "a superscript two": b"\xb2",
    "5,000 digits": b"3" * 5_000,
    "a word": b"three",
    "the fifth number": b"5",
}
"""Ids that don't follow the second event."""


@when(
    "streams have {count:d} of 5 events and then one with each of these ids, and the next replica"
    " is sound"
)
def ask_odd_ids(context: Any, count: int) -> None:
    for row in context.table:
        odd = build_chunk(b"id: %s\ndata: odd\n\n" % ODD_EVENT_IDS[row["id"]])
        first = build_events(1, count, odd + LAST_CHUNK)
        context.faulty.ask("/lm/", row["id"], Plan(first=first))


@when("every replica cuts its answers to each of these requests")
def ask_cut(context: Any) -> None:
    for row in context.table:
        answer = ANSWERS[row["cut"]]
        context.faulty.ask(row["request"], row["cut"], Plan(answer, answer))


@then("each is answered 502")
def check_failed(context: Any) -> None:
    check_each(context.faulty, lambda got: got.status == 502 and got.is_whole)


# The entry host's callers, on connections to servers in this process.

CUT_TIMEOUT_MS: Final = 3_000.0
HOPS: Final = [Hop(replica="e1", address="127.0.0.1:1", first_layer=0, last_layer=8)]
CALL: Final = EngineCall(request_id="job-1", attempt=2, route=HOPS)
STREAM_HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FURTHER_BYTES: Final = {
    "a text": build_chunk(FAULT_TEXT + b"\n\n") + LAST_CHUNK,
    "a whole error answer": build_answer("500 Error", b"", FAULT_TEXT),
    "an error as an event": build_chunk(b'data: {"error": "it failed"}\n\n') + LAST_CHUNK,
    "its end": LAST_CHUNK,
    "its end mark without a finish": build_chunk(b"data: [DONE]\n\n") + LAST_CHUNK,
    "half a chunk": b"40\r\ndata: {",
}
"""What follows the tokens of an engine's stream, by name."""


async def open_attempt(address: Address) -> Any:
    """Send an attempt to an engine."""
    path = "/v1/chat/completions"
    return await open_stream(address, path, {"model": "m"}, CALL, {}, CUT_TIMEOUT_MS)


async def read_events(address: Address) -> list[Any]:
    """Send an attempt to an engine and read its stream, or the fault in its place."""
    opened = await open_attempt(address)
    if opened.is_error():
        return [opened]
    events = [event async for event in opened.ok.events(CUT_TIMEOUT_MS)]
    opened.ok.close()
    return events


async def call_service(address: Address) -> Any:
    """Make a call that may not repeat."""
    clock = create_clock()
    replica = ServiceReplica("r1", address)
    operation = Operation(method="POST", path="/*", repeatable=False, keyless=True)
    call = ServiceCall(
        workspace="w1",
        service=Service(name="rigs", operations=[operation]),
        operation=operation,
        method="POST",
        path="/note",
        deadline_ms=clock.now_ms() + CUT_TIMEOUT_MS,
        request_id="call-1",
    )
    record = create_crash_record(clock)
    retrials = create_retrials("e1", clock, record, MemoryStore(MemoryState(clock)))
    caller = create_service_caller(
        SimpleNamespace(),
        lambda _name, excluded: None if replica.name in excluded else replica,
        clock,
        lambda: True,
        lambda _replica, _is_whole: None,
        create_crash_guard(record, retrials, clock, create_background_tasks()),
    )
    return await caller(call, lambda: False)


@when('an entry host sends attempt 2 of "job-1" to an engine that refuses in each of these ways')
def refuse_attempts(context: Any) -> None:
    async def run(row: Any) -> str:
        refusal: dict[str, Any] = {"busy": "e1"}
        if row["refused request"] != "none":
            refusal |= {
                "request_id": row["refused request"],
                "attempt": int(row["refused attempt"]),
            }
        body = json.dumps({"pimentodale": refusal}).encode()
        server = RawServer(lambda _number: build_answer("429 Full", b"", body))
        opened = await open_attempt(await server.start())
        await server.close()
        assert opened.is_error(), opened
        assert opened.error.sent, opened
        return "may have run" if opened.error.refused is None else "not run"

    context.counted = [(row["counts as"], asyncio.run(run(row))) for row in context.table]


@then("the attempt counts as that")
def check_counted(context: Any) -> None:
    assert all(expected == found for expected, found in context.counted), context.counted


@when("an entry host calls a service that writes each answer twice, 503 to every second call")
def call_repeating(context: Any) -> None:
    def answer(number: int) -> bytes:
        status = "503 Busy" if number % 2 else "200 OK"
        return build_answer(status, b"", b"call %d" % number) * 2

    async def run() -> list[Any]:
        context.server = RawServer(answer)
        address = await context.server.start()
        replies = [await call_service(address) for _ in range(20)]
        await context.server.close()
        return replies

    context.replies = asyncio.run(run())


@then("each of {count:d} calls has its own answer and ran once")
def check_own_answers(context: Any, count: int) -> None:
    got = [(reply.ok.status, reply.ok.body) for reply in context.replies]
    assert got == [(503 if n % 2 else 200, b"call %d" % n) for n in range(count)], got
    assert context.server.arrivals == count, context.server.arrivals


@when("an engine's stream has 2 tokens and then each of these")
def read_faulty_streams(context: Any) -> None:
    tokens = b""
    for index in range(2):
        note = {"request_id": "job-1", "attempt": 2, "index": index, "token": "t"}
        tokens += build_chunk(b"data: " + json.dumps({"pimentodale": note}).encode() + b"\n\n")

    async def run(further: bytes) -> list[Any]:
        server = RawServer(lambda _number: STREAM_HEAD + tokens + PAUSE + further)
        events = await read_events(await server.start())
        await server.close()
        return events

    names = [row["further bytes"] for row in context.table]
    context.read = {name: asyncio.run(run(FURTHER_BYTES[name])) for name in names}


@then("the entry host has read 2 tokens and a fault each time")
def check_faults(context: Any) -> None:
    for name, events in context.read.items():
        assert [event.is_ok() for event in events] == [True, True, False], (name, events)
        assert all(isinstance(event.ok, EngineToken) for event in events[:2]), (name, events)
        assert events[2].error.refused is None, (name, events)


@when("an entry host calls a service and an engine that cut their answers")
def call_cutting(context: Any) -> None:
    async def run(answer: bytes, ask: Callable[[Address], Any]) -> tuple[Any, int]:
        server = RawServer(lambda _number: answer)
        end = await ask(await server.start())
        await server.close()
        return end, server.arrivals

    names = [row["cut"] for row in context.table]
    context.calls = {name: asyncio.run(run(ANSWERS[name], call_service)) for name in names}
    context.streams = {name: asyncio.run(run(ANSWERS[name], read_events)) for name in names}


@when("an entry host calls a service and an engine that give each odd answer")
def call_odd(context: Any) -> None:
    body = json.dumps({"pimentodale": {"busy": "e1"}}).encode()
    odd = list(list_odd_answers(b"X-Host: a\r\n", body, build_answer("200 OK", b"", body)))

    async def run(ask: Callable[[Address], Any]) -> dict[str, tuple[Any, int]]:
        server = RawServer(lambda number: odd[number][1])
        address = await server.start()
        ends = {}
        for name, _ in odd:
            before = server.arrivals
            ends[name] = (await ask(address), server.arrivals - before)
        await server.close()
        return ends

    context.calls, context.streams = asyncio.run(run(call_service)), asyncio.run(run(read_events))


@then("each call failed as one that may have run, and was sent once")
def check_cut_calls(context: Any) -> None:
    for name, (end, arrivals) in context.calls.items():
        assert end.is_error(), (name, end)
        assert (end.error.ran, arrivals) == (Ran.MAY_HAVE_RUN, 1), (name, end, arrivals)
    for name, (events, arrivals) in context.streams.items():
        (end,) = events
        assert end.is_error(), (name, end)
        assert end.error.sent, (name, end)
        assert (end.error.refused, arrivals) == (None, 1), (name, end, arrivals)
