"""Steps for requests that cross a planned stop, on servers of this process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from pimentodale.clock import create_clock
from pimentodale.forwarding.front_server import create_front_server
from pimentodale.platform import header_codec as exchanges
from pimentodale.tracking_server import TrackingServer

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange

REQUEST: Final = b"GET /x HTTP/1.1\r\nHost: lab.example\r\nPimentodale-Attempt-Id: a1\r\n\r\n"
WHOLE: Final = b"answer"
CLOSE_MS: Final = 200.0


class AnswerHandler(RequestHandler):
    """Answers each request."""

    def get(self) -> None:
        """Answer."""
        self.finish(WHOLE)


@given("a gateway with {count:d} connections that {state}")
def plan_gateway(context: Any, count: int, state: str) -> None:
    context.is_gateway, context.count, context.state = True, count, state


@given("an entry host with {count:d} connections that {state}")
def plan_entry(context: Any, count: int, state: str) -> None:
    context.is_gateway, context.count, context.state = False, count, state


def create_server(context: Any) -> Any:
    """Return the server, not listening yet."""
    if not context.is_gateway:
        return TrackingServer(Application([("/x", AnswerHandler)], log_function=lambda _: None))

    async def handle(exchange: ClientExchange) -> None:
        await exchange.answer(200, [], WHOLE)

    return create_front_server(exchanges, create_clock(), handle)


async def close(context: Any, server: Any) -> None:
    """Close the server as its program does at the end of a planned stop."""
    server.end_connections_when_answered()
    if context.is_gateway:
        server.stop_accepting()
    await server.close_when_sent(create_clock(), CLOSE_MS)


@when("each sends a request while the host is busy, and the host closes right after")
def send_and_close(context: Any) -> None:
    context.answers = asyncio.run(run(context, sends=True))


@when("the host closes")
def close_idle(context: Any) -> None:
    context.answers = asyncio.run(run(context, sends=False))


async def run(context: Any, sends: bool) -> list[bytes]:
    """Open the connections, close the server, and return what each connection got since."""
    server = create_server(context)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    address = ("127.0.0.1", sockets[0].getsockname()[1])
    clients = []
    if context.state != "wait to be accepted":
        for _ in range(context.count):
            clients.append(socket.create_connection(address))
        await asyncio.sleep(0.1)
    if context.state == "have had an answer":
        for client in clients:
            client.sendall(REQUEST)
        await asyncio.sleep(0.2)
        for client in clients:
            assert client.recv(65_536).endswith(WHOLE)
    # Nothing else runs in this process meanwhile, so what is sent waits unread.
    while len(clients) < context.count:
        clients.append(socket.create_connection(address))
    if sends:
        for client in clients:
            client.sendall(REQUEST)
    started_s = time.monotonic()
    await close(context, server)
    context.took_ms = (time.monotonic() - started_s) * 1_000.0
    return [await asyncio.to_thread(read_all, client) for client in clients]


def read_all(client: socket.socket) -> bytes:
    """Read until the connection closes."""
    client.settimeout(5.0)
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while piece := client.recv(65_536):
            received += piece
    client.close()
    return received


@then("each request has one whole answer, and its connection closes after it")
def check_answers(context: Any) -> None:
    lacking = [answer for answer in context.answers if not answer.endswith(WHOLE)]
    assert not lacking, f"{len(lacking)} of {len(context.answers)} had none"
    for answer in context.answers:
        assert answer.count(b"HTTP/1.1 200 ") == 1, answer


@then("it has closed all of them within {limit_ms:d} ms")
def check_quick(context: Any, limit_ms: int) -> None:
    assert context.answers == [b""] * context.count, context.answers
    assert context.took_ms <= limit_ms, context.took_ms
