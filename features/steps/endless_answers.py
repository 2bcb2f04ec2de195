"""Steps for servers that respond without end, on raw connections."""

from __future__ import annotations

import asyncio
import contextlib
import time
from itertools import repeat
from typing import TYPE_CHECKING, Any, Final

import psutil
from behave import given, then, when

from pimentodale.addresses import Address
from pimentodale.clients.engine_client import EngineStream
from pimentodale.clients.http_call import CallRequest, fetch, open_call
from pimentodale.forwarding.event_stream import EventSplitter, InvalidEventStreamError

if TYPE_CHECKING:
    from collections.abc import Iterable

TIMEOUT_MS: Final = 6_000.0
BLOCK: Final = b"x" * 16_384
OK_HEADER: Final = b"HTTP/1.1 200 OK\r\n"
CHUNKED: Final = OK_HEADER + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT: Final = OK_HEADER + b"Content-Length: 5\r\n\r\nshort"

PAYLOADS: Final = {
    "a header": (OK_HEADER, b"X-More: " + b"y" * 200 + b"\r\n"),
    "a header line": (OK_HEADER + b"X-More: ", BLOCK),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "a body without a length": (OK_HEADER + b"\r\n", BLOCK),
    "chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "a chunk size": (CHUNKED, b"0" * 512),
}
"""Bytes sent first and bytes sent repeatedly, by name."""


@given("a server that sends {form} without end")
def choose_payload(context: Any, form: str) -> None:
    context.payload = PAYLOADS[form]
    context.address = Address(context.site.ip(8), 9001)
    context.opened = context.closed = 0
    context.short = []
    context.wants_short = False


async def answer(context: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer a connection; without end unless a short response is requested."""
    request = await reader.readuntil(b"\r\n\r\n")
    with contextlib.suppress(OSError, asyncio.CancelledError):
        if request.startswith(b"GET /short"):
            writer.write(SHORT)
            await writer.drain()
        else:
            context.opened += 1
            first, again = context.payload
            writer.write(first)
            # Writing short blocks one by one would starve the callers in the same process.
            with contextlib.suppress(OSError):
                for block in repeat(again * max(1, len(BLOCK) // len(again))):
                    writer.write(block)
                    await writer.drain()
                    await asyncio.sleep(0)
            context.closed += 1
    writer.close()


@when("{count:d} concurrent calls wait for a complete response")
def make_calls(context: Any, count: int) -> None:
    context.count = count


@when("short responses are requested repeatedly meanwhile")
def ask_short(context: Any) -> None:
    context.wants_short = True


def run_calls(context: Any) -> None:
    """Make the calls; record their results, times and the memory growth of this process."""

    async def call_endless() -> tuple[Any, float]:
        started_s = time.monotonic()
        reply = await fetch(context.address, CallRequest(method="GET", path="/endless"), TIMEOUT_MS)
        return reply, time.monotonic() - started_s

    async def watch_memory(process: psutil.Process) -> None:
        while True:
            context.most_bytes = max(context.most_bytes, process.memory_info().rss)
            await asyncio.sleep(0.02)

    async def call_short() -> None:
        while True:
            request = CallRequest(method="GET", path="/short")
            context.short.append(await fetch(context.address, request, TIMEOUT_MS))
            await asyncio.sleep(0.02)

    async def run() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await answer(context, reader, writer)

        server = await asyncio.start_server(serve, context.address.ip, context.address.port)
        process = psutil.Process()
        before_bytes = context.most_bytes = process.memory_info().rss
        beside = [asyncio.create_task(watch_memory(process))]
        if context.wants_short:
            beside.append(asyncio.create_task(call_short()))
        context.calls = await asyncio.gather(*(call_endless() for _ in range(context.count)))
        context.grown_bytes = context.most_bytes - before_bytes
        for _ in range(100):
            if context.closed == context.opened:
                break
            await asyncio.sleep(0.02)
        for task in beside:
            task.cancel()
        server.close()

    asyncio.run(run())


@then("each call fails within {limit_s:d} s as one that may have run")
def check_failed(context: Any, limit_s: int) -> None:
    run_calls(context)
    for reply, took_s in context.calls:
        assert reply.is_error(), reply
        assert reply.error.sent, reply.error
        assert took_s <= limit_s, took_s
    slowest_s = max(took_s for _, took_s in context.calls)
    print(f"{context.calls[0][0].error.message}; at most {slowest_s:.2f} s")


@then("the process grew by less than {limit_mb:d} MB")
def check_growth(context: Any, limit_mb: int) -> None:
    print(f"grew by {context.grown_bytes / 1e6:.0f} MB at most")
    assert context.grown_bytes < limit_mb * 1e6, context.grown_bytes


@then("the server saw each connection close")
def check_closed(context: Any) -> None:
    assert context.opened == context.count, context.opened
    assert context.closed == context.count, context.closed


@then("each short response was complete")
def check_short(context: Any) -> None:
    run_calls(context)
    assert len(context.short) > 3, len(context.short)
    for reply in context.short:
        assert reply.is_ok(), reply
        assert reply.ok.body == b"short", reply


@when("{size:d} bytes of {form} arrive repeatedly")
def feed_invalid(context: Any, size: int, form: str) -> None:
    block = b": " + b"c" * (size - 4) + b"\n\n" if form == "comments" else b"e" * size
    splitter = EventSplitter()
    context.events, context.taken_bytes = [], 0
    started_s = time.process_time()
    with contextlib.suppress(InvalidEventStreamError):
        while context.taken_bytes < 4 * 1024 * 1024:
            context.taken_bytes += len(block)
            context.events += splitter.feed(block)
    context.spent_s = time.process_time() - started_s


@then("no event is returned, and the stream is aborted before {limit_kb:d} KB have arrived")
def check_aborted(context: Any, limit_kb: int) -> None:
    assert not context.events
    assert context.taken_bytes < limit_kb * 1024, context.taken_bytes


@then("that took less than {limit_s:d} s of CPU time")
def check_spent(context: Any, limit_s: int) -> None:
    assert context.spent_s < limit_s, context.spent_s


@when("a stream has a comment after each of {count:d} events")
def feed_commented(context: Any, count: int) -> None:
    splitter = EventSplitter()
    numbers: Iterable[int] = range(1, count + 1)
    text = b"".join(b"id: %d\ndata: d%d\n\n: still here\n\n" % (n, n) for n in numbers)
    context.events = []
    for start in range(0, len(text), 37):
        context.events += splitter.feed(text[start : start + 37])
    context.has_partial = splitter.has_partial
    context.count = count


@then("its events are returned complete and without comments")
def check_events(context: Any) -> None:
    numbers = range(1, context.count + 1)
    assert [event.data for event in context.events] == [
        b"id: %d\ndata: d%d\n\n" % (n, n) for n in numbers
    ]
    assert [event.event_id for event in context.events] == [str(n) for n in numbers]
    assert not context.has_partial


@given("an engine whose stream has comments every {pause_ms:d} ms and no event")
def plan_comments(context: Any, pause_ms: int) -> None:
    context.pause_s = pause_ms / 1000.0
    context.address = Address(context.site.ip(8), 9002)


@when("its events are read with a silence timeout of {timeout_ms:d} ms")
def read_comments(context: Any, timeout_ms: int) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(CHUNKED)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            for _ in range(int(10.0 / context.pause_s)):
                writer.write(b"4\r\n: c\n\r\n")
                await writer.drain()
                await asyncio.sleep(context.pause_s)
        writer.close()

    async def run() -> None:
        server = await asyncio.start_server(serve, context.address.ip, context.address.port)
        opened = await open_call(context.address, CallRequest(method="GET", path="/"), TIMEOUT_MS)
        stream = EngineStream(opened.ok)
        started_s = time.monotonic()
        context.read = [event async for event in stream.events(float(timeout_ms))]
        context.took_s = time.monotonic() - started_s
        stream.close()
        server.close()

    asyncio.run(run())


@then("the stream is silent after {least_s:g} to {most_s:g} s")
def check_silent(context: Any, least_s: float, most_s: float) -> None:
    assert len(context.read) == 1, context.read
    assert context.read[0].is_error(), context.read
    assert context.read[0].error.silent, context.read
    assert least_s <= context.took_s <= most_s, context.took_s
