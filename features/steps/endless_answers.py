"""Steps for servers that respond without end, on raw connections."""

from __future__ import annotations

import asyncio
import contextlib
import http.client
import threading
import time
from collections import Counter
from itertools import repeat
from typing import TYPE_CHECKING, Any, Final

import psutil
from behave import given, then, when

from pimentodale.addresses import Address
from pimentodale.clients.engine_client import EngineStream, open_stream
from pimentodale.clients.engine_messages import EngineCall
from pimentodale.clients.http_call import CallRequest, fetch, open_call
from pimentodale.forwarding.event_stream import EventSplitter, InvalidEventStreamError
from pimentodale.standin.platform_replica import ENDLESS_FAILURE

if TYPE_CHECKING:
    from collections.abc import Iterable

TIMEOUT_MS: Final = 6_000.0
SOUND_S: Final = 0.16
SOUND_PIECES: Final = 8
BLOCK: Final = b"x" * 16_384
OK_HEADER: Final = b"HTTP/1.1 200 OK\r\n"
CHUNKED: Final = OK_HEADER + b"Transfer-Encoding: chunked\r\n\r\n"
FAILED: Final = b"HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n"
SHORT: Final = OK_HEADER + b"Content-Length: 5\r\n\r\nshort"

PAYLOADS: Final = {
    "a header": (OK_HEADER, b"X-More: " + b"y" * 200 + b"\r\n"),
    "a header line": (OK_HEADER + b"X-More: ", BLOCK),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "a body without a length": (OK_HEADER + b"\r\n", BLOCK),
    "a failure": (FAILED, b"4000\r\n" + BLOCK + b"\r\n"),
    "chunks": (CHUNKED, b"4000\r\n" + BLOCK + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
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
    context.call_endless = fetch_endless


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


@when("{count:d} responses are opened and none is read for 1 s")
def open_unread(context: Any, count: int) -> None:
    context.count = count
    context.call_endless = open_without_reading
    run_calls(context)


async def open_without_reading(address: Address) -> None:
    """Open a response, and don't read it."""
    opened = await open_call(address, CallRequest(method="GET", path="/endless"), TIMEOUT_MS)
    await asyncio.sleep(1.0)
    opened.ok.close()


@given("four sound servers, and one that sends chunks without end")
def choose_servers(context: Any) -> None:
    context.payload = PAYLOADS["chunks"]
    context.address = Address(context.site.ip(8), 9001)
    context.sound_addresses = [Address(context.site.ip(10 + n), 9001) for n in range(4)]
    context.opened = context.closed = 0


@when(
    "{count:d} callers read sound responses of 0.1 to 4 MB for {seconds:d} s, beside {faulty:d} of the"
    " faulty server"
)
def read_beside(context: Any, count: int, seconds: int, faulty: int) -> None:
    context.sound, context.lost = 0, []
    rng = context.site.rng

    async def serve_sound(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await reader.readuntil(b"\r\n\r\n")
        left = int(request.split(b" ")[1][1:])
        piece = b"s" * (left // SOUND_PIECES)
        with contextlib.suppress(OSError):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % left)
            while left:
                writer.write(piece[:left])
                left -= min(left, len(piece))
                await writer.drain()
                await asyncio.sleep(SOUND_S / SOUND_PIECES)
        writer.close()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await answer(context, reader, writer)

    async def read_sound(end_s: float) -> None:
        while time.monotonic() < end_s:
            length = rng.randrange(100_000, 4_000_000)
            request = CallRequest(method="GET", path=f"/{length}")
            reply = await fetch(rng.choice(context.sound_addresses), request, TIMEOUT_MS)
            if reply.is_ok() and len(reply.ok.body) == length:
                context.sound += 1
            else:
                context.lost.append(reply)

    async def read_faulty(end_s: float) -> None:
        while time.monotonic() < end_s:
            reply = await fetch_endless(context.address)
            assert reply.is_error(), "a response without end was whole"

    async def watch(process: psutil.Process) -> None:
        while True:
            context.most_bytes = max(context.most_bytes, process.memory_info().rss)
            await asyncio.sleep(0.02)

    async def run() -> None:
        servers = [await asyncio.start_server(serve, context.address.ip, context.address.port)]
        for address in context.sound_addresses:
            servers.append(await asyncio.start_server(serve_sound, address.ip, address.port))
        process = psutil.Process()
        before_bytes = context.most_bytes = process.memory_info().rss
        watching = asyncio.create_task(watch(process))
        end_s = time.monotonic() + seconds
        work = [read_sound(end_s) for _ in range(count)]
        await asyncio.gather(*work, *(read_faulty(end_s) for _ in range(faulty)))
        context.grown_bytes = context.most_bytes - before_bytes
        watching.cancel()
        for server in servers:
            server.close()

    asyncio.run(run())


@then("every sound response was whole, and there were at least {least:d}")
def check_all_sound(context: Any, least: int) -> None:
    print(f"{context.sound} whole, {len(context.lost)} failed")
    assert not context.lost, context.lost[0]
    assert context.sound >= least, context.sound


@when("{count:d} streams are opened at it as at an engine")
def open_streams(context: Any, count: int) -> None:
    context.count = count
    context.call_endless = open_endless


async def fetch_endless(address: Address) -> Any:
    """Wait for a complete response."""
    return await fetch(address, CallRequest(method="GET", path="/endless"), TIMEOUT_MS)


async def open_endless(address: Address) -> Any:
    """Open an engine's stream."""
    call = EngineCall(request_id="r", attempt=1, route=[])
    return await open_stream(address, "/v1/completions", {}, call, {}, TIMEOUT_MS)


@when("short responses are requested repeatedly meanwhile")
def ask_short(context: Any) -> None:
    context.wants_short = True


def run_calls(context: Any) -> None:
    """Make the calls; record their results, times and the memory growth of this process."""

    async def call_endless() -> tuple[Any, float]:
        started_s = time.monotonic()
        reply = await context.call_endless(context.address)
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


@when("{count:d} clients ask a gateway for nothing but failures without end for {seconds:g} s")
def ask_for_failures(context: Any, count: int, seconds: float) -> None:
    site = context.gateways
    gateway = psutil.Process(context.site.programs["g1"].process.pid)
    end_s = time.monotonic() + seconds
    context.failures, context.sound, context.most_bytes = [], [], 0

    def ask(path: str, body: bytes, statuses: list[int]) -> None:
        while time.monotonic() < end_s:
            with context.number_lock:
                headers = site.headers()
            try:
                reply = site.request("g1", path, headers=headers, body=body)
                is_whole = reply.status != 200 or bool(reply.body)
                statuses.append(reply.status if is_whole else 0)
            except (OSError, http.client.HTTPException):
                statuses.append(0)

    context.number_lock = threading.Lock()
    calls = [("/lm/x", ENDLESS_FAILURE, context.failures)] * (count - 5)
    calls += [("/read/x", ENDLESS_FAILURE, context.failures)] * 5
    calls += [("/lm/x", b"sound", context.sound), ("/read/x", b"sound", context.sound)] * 3
    threads = [threading.Thread(target=ask, args=each) for each in calls]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        with contextlib.suppress(psutil.Error):
            context.most_bytes = max(context.most_bytes, gateway.memory_info().rss)
        time.sleep(0.01)


@then("the gateway takes at most {limit_mb:d} MB, and answers each of those clients with a failure")
def check_memory(context: Any, limit_mb: int) -> None:
    print(f"{context.most_bytes / 1e6:.0f} MB; {Counter(context.failures)}")
    assert context.most_bytes <= limit_mb * 1e6, context.most_bytes
    assert len(context.failures) >= 25, context.failures
    assert all(status >= 500 for status in context.failures), Counter(context.failures)


@then("each sound stream and read beside them was whole")
def check_sound(context: Any) -> None:
    print(Counter(context.sound))
    assert len(context.sound) >= 6, context.sound
    assert set(context.sound) == {200}, Counter(context.sound)


@then("the gateway counts the bodies that it abandoned")
def check_abandoned(context: Any) -> None:
    assert context.gateways.read_gauge("g1", "abandoned_bodies") > 0


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
