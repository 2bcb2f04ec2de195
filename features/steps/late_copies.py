"""Steps for responses that arrive late or twice."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from behave import given, then, when

from pimentodale.addresses import Address
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.clock import create_clock
from pimentodale.peers.counters import PeerCounters
from pimentodale.peers.message_stream import MessageStream
from pimentodale.peers.messages import MemberRecord, MemberState, Reply, Request
from pimentodale.peers.peers import create_peers
from pimentodale.peers.settings import PeersSettings

TIMEOUT_MS = 5_000.0


@given("a server that sends each response again {late_ms:d} ms later")
def plan_copies(context: Any, late_ms: int) -> None:
    context.late_s = late_ms / 1_000.0
    context.connections = 0


@when("{count:d} requests are made one after the other, {together:d} at a time")
def make_requests(context: Any, count: int, together: int) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        context.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1]
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(path), path)
                writer.write(answer)
                await writer.drain()
                await asyncio.sleep(context.late_s)
                writer.write(answer)
                await writer.drain()
        writer.close()

    async def one(address: Address, number: int) -> tuple[str, Any]:
        path = f"/{number}"
        return path, await fetch(address, CallRequest(method="GET", path=path), TIMEOUT_MS)

    async def run() -> list[tuple[str, Any]]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        answers = []
        for start in range(0, count, together):
            numbers = range(start, start + together)
            answers += await asyncio.gather(*(one(address, number) for number in numbers))
        server.close()
        return answers

    context.answers = asyncio.run(run())


@then("each has its own response, on its own connection")
def check_own(context: Any) -> None:
    for path, reply in context.answers:
        assert reply.is_ok(), reply
        assert reply.ok.body.decode() == path, (path, reply)
    assert context.connections == len(context.answers), context.connections


@given("a host that answers its first request {late_ms:d} ms late and all others at once")
def plan_late_host(context: Any, late_ms: int) -> None:
    context.late_s = late_ms / 1_000.0


@when("it gets a request with a timeout of {timeout_ms:d} ms on kept connections, {count:d} times")
def ask_host(context: Any, timeout_ms: int, count: int) -> None:
    asked = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal asked
        stream = MessageStream(reader, writer, PeerCounters())
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while isinstance(question := await stream.read(), Request):
                asked += 1
                if asked == 1:
                    await asyncio.sleep(context.late_s)
                stream.write(Reply(True, b"answer to " + question.body))

    async def run() -> list[tuple[bytes, Any]]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        settings = PeersSettings(host="h1", failure_domain="a", listen=Address("127.0.0.1", 0))
        peers = create_peers(settings, create_clock(), list)
        record = MemberRecord("h2", 1, MemberState.ALIVE, "boot", "a", "r", "127.0.0.1", port)
        peers._membership.apply_member(record, "boot")
        answers = []
        for number in range(count):
            body = b"question %d" % number
            reply = await peers.request(
                "h2", "topic", body, float(timeout_ms), reuse_connection=True
            )
            answers.append((body, reply))
            # By the third request, the late response to the first one has arrived.
            await asyncio.sleep(context.late_s / 2)
        server.close()
        return answers

    context.answers = asyncio.run(run())


@then("the first request has no response, and each other one has its own")
def check_late(context: Any) -> None:
    (_, first), *others = context.answers
    assert first.is_error(), first
    for body, reply in others:
        assert reply.is_ok(), reply
        assert reply.ok == b"answer to " + body, (body, reply)
