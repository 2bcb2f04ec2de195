"""Steps for HTTP exchanges."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

from behave import given, then, when

from pimentodale.addresses import Address
from pimentodale.clients.http_call import CallRequest, HttpCall, open_call


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
