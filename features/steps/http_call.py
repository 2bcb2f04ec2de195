"""Steps for HTTP exchanges."""

from __future__ import annotations

import asyncio
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
