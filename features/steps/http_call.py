"""Steps for HTTP exchanges."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from features.support.odd_answers import (
    ODD_BYTES,
    ODD_STATUSES,
    ODD_VALUE_BYTES,
    list_odd_answers,
)

from pimentodale.addresses import Address
from pimentodale.clients.http_call import CallRequest, HttpCall, collect_body, fetch, open_call
from pimentodale.clients.response_head import find_head_problem

if TYPE_CHECKING:
    from collections.abc import Iterable

BODY: Final = b"the whole body of an answer"
FIELD: Final = b"X-Host: a\r\n"
LENGTH: Final = b"Content-Length: 27\r\n"
REST: Final = FIELD + LENGTH + b"\r\n" + BODY
SOUND: Final = b"HTTP/1.1 200 OK\r\n" + REST
NAME_MARKS: Final = "!#$%&'*+-.^_`|~"
"""Characters of a field's name besides letters and digits."""

UNUSUAL_ANSWERS: Final = {
    "status 204": b"HTTP/1.1 204 None\r\n" + FIELD + b"\r\n",
    "a status line without a reason": b"HTTP/1.1 200 \r\n" + REST,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + REST,
    "interim heads ahead of it": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + SOUND
    ),
    "a name of all characters that it may have": (
        b"HTTP/1.1 200 OK\r\nX9" + NAME_MARKS.encode() + b": b\r\n" + REST
    ),
    "a value with a tab and bytes over 0x7f": (
        b"HTTP/1.1 200 OK\r\nX-Region: \xe9\t\x85\xff\r\n" + REST
    ),
    "an empty value": b"HTTP/1.1 200 OK\r\nX-Region:\r\n" + REST,
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + FIELD + b"\r\n"
        b"1b\r\n" + BODY + b"\r\n0\r\n\r\n"
    ),
    "no length": b"HTTP/1.1 200 OK\r\n" + FIELD + b"\r\n" + BODY,
}
"""Valid answers by their description; others are a status."""

ANSWER_TIMEOUT_MS: Final = 5_000.0


@given("a server that sends a chunk of a response and then waits")
def choose_address(context: Any) -> None:
    context.address = Address(context.site.ip(7), 9000)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n")
    await writer.drain()
    await reader.read()
    writer.close()


async def read(call: HttpCall, first_came: asyncio.Event) -> None:
    async for _ in call.chunks(5_000.0):
        first_came.set()


@when("a reader of the response is cancelled in the very turn in which a chunk arrives")
def cancel_reader(context: Any) -> None:
    async def run() -> None:
        server = await asyncio.start_server(serve, context.address.ip, context.address.port)
        opened = await open_call(context.address, CallRequest(method="GET", path="/"), 5_000.0)
        call = opened.ok
        first_came = asyncio.Event()
        reader = asyncio.create_task(read(call, first_came))
        await first_came.wait()
        assert call._response.data_received(b"two") is None, "the connection waits for room"
        # One turn later the reader's wait is over, but the reader itself has not run yet.
        await asyncio.sleep(0)
        reader.cancel()
        await asyncio.wait({reader}, timeout=2.0)
        context.cancelled = reader.cancelled()
        reader.cancel()
        call.close()
        server.close()

    asyncio.run(run())


@then("the reader ends as cancelled")
def check_cancelled(context: Any) -> None:
    assert context.cancelled


@when(
    "{rate:d} calls a second go for {length_s:d} s to an address that swallows packets, and {what}"
    " after {after_ms:d} ms"
)
def call_in_vain(context: Any, rate: int, length_s: int, what: str, after_ms: int) -> None:
    # A listener whose backlog is full drops what else arrives.
    listener = socket.create_server((context.site.ip(7), 9000), backlog=0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    try:
        timeout_ms = 60_000.0 if "left" in what else float(after_ms)
        asyncio.run(call_for(context, rate, length_s, after_ms, timeout_ms))
    finally:
        for each in (listener, *fillers):
            each.close()


async def call_for(
    context: Any, rate: int, length_s: int, after_ms: int, timeout_ms: float
) -> None:
    """Start calls at a rate, cancel each after a time, and note the most descriptors in use."""
    address, request = Address(context.site.ip(7), 9000), CallRequest(method="GET", path="/")
    running: set[asyncio.Task[Any]] = set()
    loop = asyncio.get_running_loop()
    before = count_descriptors()
    context.most = 0
    for _ in range(rate * length_s):
        call = asyncio.create_task(open_call(address, request, 60_000.0, timeout_ms))
        running.add(call)
        call.add_done_callback(running.discard)
        loop.call_later(1.5 * after_ms / 1_000.0, call.cancel)
        await asyncio.sleep(1.0 / rate)
        context.most = max(context.most, count_descriptors() - before)
    assert running, "the calls have ended at once"
    await asyncio.wait(running)


def count_descriptors() -> int:
    return len(list(Path("/proc/self/fd").iterdir()))


@then("the process never had more than {most:d} descriptors beyond those of before")
def check_descriptors(context: Any, most: int) -> None:
    print(f"at most {context.most} descriptors")
    assert 0 < context.most <= most, context.most


@when("a server sends each kind of odd answer to a call and to a stream")
def send_odd_answers(context: Any) -> None:
    context.ended = asyncio.run(call_each(list_odd_answers(FIELD, BODY, SOUND)))
    print(f"{len(context.ended)} answers")


@when("a server sends each of these answers to a call and to a stream")
def send_valid_answers(context: Any) -> None:
    answers = []
    for row in context.table:
        name = row["answer"]
        status = name.removeprefix("status ").encode()
        answers.append((name, UNUSUAL_ANSWERS.get(name, b"HTTP/1.1 %s X\r\n" % status + REST)))
    context.ended = asyncio.run(call_each(answers))


async def call_each(answers: Iterable[tuple[str, bytes]]) -> list[tuple[str, Any, Any]]:
    """Return how a call and a stream ended for each answer, by its name."""
    answer = b""
    connections: list[asyncio.Task[Any] | None] = []

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(asyncio.current_task())
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        # The end of the connection comes after what was sent is read.
        await asyncio.sleep(0.01)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
    request = CallRequest(method="GET", path="/")
    ended = []
    for name, answer in answers:  # noqa: B007
        reply = await fetch(address, request, ANSWER_TIMEOUT_MS)
        opened = await open_call(address, request, ANSWER_TIMEOUT_MS)
        body = opened
        if opened.is_ok():
            body = await collect_body(opened.ok, ANSWER_TIMEOUT_MS)
        ended.append((name, reply, body))
    await asyncio.gather(*filter(None, connections))
    server.close()
    return ended


@then("each failed at once as a call that was sent")
def check_odd_failed(context: Any) -> None:
    for name, *ends in context.ended:
        for end in ends:
            assert end.is_error(), (name, end)
            assert end.error.sent, (name, end)
            assert not end.error.silent, (name, end)
            is_body_odd = "chunk" in name or "trailer" in name
            is_framing_odd = name.startswith(("the length ", "the coding ", "a length"))
            assert end.error.invalid != (is_body_odd or is_framing_odd), (name, end)


@then("each was taken whole")
def check_taken(context: Any) -> None:
    assert context.ended
    for name, reply, body in context.ended:
        expected = b"" if "204" in name else BODY
        assert reply.is_ok(), (name, reply)
        assert reply.ok.headers["X-Host"] == "a", (name, reply)
        assert (reply.ok.body, body.ok) == (expected, expected), (name, reply, body)


@then("the check of heads finds each odd status, name and value, and nothing in sound heads")
def check_heads_alone(context: Any) -> None:
    sound = [("Content-Length", "27"), (f"X9{NAME_MARKS}", "\xe9\t\x85\xff"), ("Empty", "")]
    for status in (100, 103, 200, 204, 304, 404, 599):
        assert find_head_problem(status, sound) is None, status
    for status in (*map(int, ODD_STATUSES), -1, 1_000):
        assert find_head_problem(status, sound) is not None, status
    names = [f"X{odd.decode('latin-1')}" for odd in ODD_BYTES.values()]
    for name in ("", "\n", "X\n", *names):
        assert find_head_problem(200, [*sound, (name, "b")]) is not None, name
    for value in ("\n", "b\n", *(ODD_BYTES[name].decode("latin-1") for name in ODD_VALUE_BYTES)):
        assert find_head_problem(200, [*sound, ("X-Region", value)]) is not None, value
