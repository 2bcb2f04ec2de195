"""Steps for streams that run while a gateway is stopped or its configuration changes."""

from __future__ import annotations

import asyncio
import http.client
import signal
import threading
import time
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from features.support.gateway_site import KEY, PLAIN_REPLICAS
from features.support.site import wait_until
from tornado.netutil import bind_sockets

from pimentodale.clock import create_clock
from pimentodale.forwarding.front_server import create_front_server
from pimentodale.platform import header_codec as exchanges

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange

REQUEST: Final = b"GET /x HTTP/1.1\r\nHost: lab.example\r\nPimentodale-Attempt-Id: a1\r\n\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"
STOP_TIMEOUT_S: Final = 8.0
"""Time that the gateways of a scenario's site have to stop."""

STREAM_S: Final = 0.2
END_S: Final = 0.005
CLOSE_MS: Final = 1_000.0

CONFIGURATION_INTERVAL_S: Final = 0.4

MIN_IN_FORCE: Final = 5
"""Versions that come in force at the gateway, of six; one may be passed over."""

PAUSE_S: Final = 0.9
BETWEEN_PAUSES_S: Final = 0.5


def set_limits(value: dict[str, Any]) -> None:
    """Close idle connections soon."""
    value["limits"] = {"idle_timeout_ms": 200, "header_timeout_ms": 200}


def remove_route(value: dict[str, Any]) -> None:
    """Remove the route of the streams."""
    value["routes"] = [route for route in value["routes"] if route["service"] != "lm"]


def move_route(value: dict[str, Any]) -> None:
    """Lead the route of the streams to another service, and end its requests soon."""
    for route in value["routes"]:
        if route["service"] == "lm":
            route.update(service="plain", kind="idempotent", resumable=False, timeout_ms=300)


def remove_key(value: dict[str, Any]) -> None:
    """Remove the key of the streams."""
    assert value["tenants"][0]["api_keys"] == [KEY]
    value["tenants"] = [{"name": "w2", "api_keys": ["key-2"]}]


def tighten_limits(value: dict[str, Any]) -> None:
    """Allow hardly any header or body."""
    value["limits"] = {"max_header_bytes": 64, "max_body_bytes": 1, "idle_timeout_ms": 100}


def remove_service(value: dict[str, Any]) -> None:
    """Remove the service of the streams with its route."""
    remove_route(value)
    value["services"] = [each for each in value["services"] if each["name"] != "lm"]


CHANGES: Final = (
    set_limits,
    remove_route,
    move_route,
    remove_key,
    tighten_limits,
    remove_service,
)


@when("24 streams of a gateway run on kept connections through {work}")
def run_through(context: Any, work: str) -> None:
    site, gateway = context.gateways, context.site.programs["g1"]
    context.streams = [site.open_stream("g1", is_kept=True) for _ in range(24)]
    wait_until(
        lambda: all(len(stream.events) >= 3 for stream in context.streams), "streams run", 5.0
    )
    in_force = gateway.log.read_text(errors="replace").count("A configuration is in force.")
    if "planned stop" in work:
        gateway.process.send_signal(signal.SIGTERM)
    others = []
    if "restart" in work:
        others.append(threading.Thread(target=restart_other, args=(context,)))
    if "pauses" in work:
        others.append(threading.Thread(target=pause_replicas, args=(context,)))
    for other in others:
        other.start()
    for change in CHANGES:
        site.configure(change=change)
        time.sleep(CONFIGURATION_INTERVAL_S)
    running = sum(not stream.is_over for stream in context.streams)
    in_force = (
        gateway.log.read_text(errors="replace").count("A configuration is in force.") - in_force
    )
    for other in others:
        other.join()
    print(f"{in_force} configurations came in force, {running} streams ran still")
    assert in_force >= MIN_IN_FORCE, in_force
    wait_until(lambda: all(stream.is_over for stream in context.streams), "streams end", 15.0)


def restart_other(context: Any) -> None:
    """Stop the other gateway as planned work does, and start it again."""
    context.site.programs["g2"].terminate()
    context.gateways.start_gateway("g2")


def pause_replicas(context: Any) -> None:
    """Let all replicas pause twice and go on."""
    replicas = context.site.programs["replicas"]
    for _ in range(2):
        replicas.freeze()
        time.sleep(PAUSE_S)
        replicas.wake()
        time.sleep(BETWEEN_PAUSES_S)


@then("the gateway closed no connection of an unfinished answer")
def check_closed(context: Any) -> None:
    log = context.site.programs["g1"].log.read_text(errors="replace")
    for line in (
        "This host closed the connection of an unfinished response.",
        "A client disconnected.",
    ):
        assert line not in log, line


@given("a front server whose streams end 5 ms before their requests do")
def plan_server(context: Any) -> None:
    context.begun = 0

    async def handle(exchange: ClientExchange) -> None:
        context.begun += 1
        await exchange.begin(200, [])
        await exchange.write(b"piece")
        context.is_begun[context.begun].set()
        await asyncio.sleep(STREAM_S)
        exchange.end()
        await asyncio.sleep(END_S)

    context.handle = handle


@when(
    "a client sends two requests at once on one connection, and the server stops accepting during "
    "the second"
)
def send_two(context: Any) -> None:
    context.answer = asyncio.run(run_two(context))


async def run_two(context: Any) -> bytes:
    """Send two requests at once, stop during the second, and return all that came."""
    context.is_begun = {1: asyncio.Event(), 2: asyncio.Event()}
    clock = create_clock()
    server = create_front_server(exchanges, clock, context.handle)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    reader, writer = await asyncio.open_connection(*sockets[0].getsockname())
    writer.write(REQUEST + REQUEST)
    await asyncio.wait_for(context.is_begun[2].wait(), 5.0)
    # The first request has ended by then, too.
    await asyncio.sleep(STREAM_S / 2)
    server.end_connections_when_answered()
    server.stop_accepting()
    await server.close_when_sent(clock, CLOSE_MS)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    return answer


@then("both requests have whole answers")
def check_both(context: Any) -> None:
    assert context.answer.count(b"HTTP/1.1 200 ") == 2, context.answer
    assert context.answer.count(LAST_CHUNK) == 2, context.answer


@given("every replica takes {delay_s:d} s for an answer")
def delay_replicas(context: Any, delay_s: int) -> None:
    for name in PLAIN_REPLICAS:
        context.gateways.fault(name, delay_ms=delay_s * 1_000.0)


@when(
    "a gateway stops, and requests that may not be repeated come each {gap_s:g} s on connections of"
    " before and on new ones"
)
def send_during_stop(context: Any, gap_s: float) -> None:
    site = context.gateways
    count = int(STOP_TIMEOUT_S / gap_s)
    context.outcomes = []
    kept = []
    for _ in range(count):
        connection = http.client.HTTPConnection(site.ip("g1"), 7000, timeout=15.0)
        connection.request("GET", "/lm/unknown-kind", headers=site.headers("no key"))
        connection.getresponse().read()
        kept.append(connection)
    headers = [(site.headers(), site.headers()) for _ in range(count)]
    site.site.programs["g1"].process.terminate()
    started_s = time.monotonic()
    threads = []
    for number, connection in enumerate(kept):
        time.sleep(max(0.0, started_s + number * gap_s - time.monotonic()))
        fresh = http.client.HTTPConnection(site.ip("g1"), 7000, timeout=15.0)
        for each, is_kept in ((connection, True), (fresh, False)):
            arguments = (context, each, headers[number][is_kept], is_kept, started_s)
            threads.append(threading.Thread(target=send_one, args=arguments, daemon=True))
            threads[-1].start()
    for thread in threads:
        thread.join()
    site.site.programs["g1"].process.wait(10.0)


def send_one(
    context: Any,
    connection: http.client.HTTPConnection,
    headers: dict[str, str],
    is_kept: bool,
    started_s: float,
) -> None:
    """Send one request and record its outcome."""
    sent_s = time.monotonic() - started_s
    status = 0
    try:
        connection.auto_open = not is_kept
        connection.request("POST", "/book/x", b"body", headers)
    except (OSError, http.client.HTTPException):
        # The connection was closed before the request was sent.
        return
    try:
        status = connection.getresponse().status
    except (ConnectionResetError, http.client.RemoteDisconnected):
        status = 0
    context.outcomes.append((round(sent_s, 2), is_kept, status, time.monotonic() - started_s))


@then(
    "each that was sent on an open connection has an answer, and those after {late_s:d} s a promise"
    " that they have not run"
)
def check_answered(context: Any, late_s: int) -> None:
    print(sorted(context.outcomes))
    assert len(context.outcomes) >= 8, context.outcomes
    unanswered = [each for each in context.outcomes if each[2] == 0 and each[0] < late_s]
    assert not unanswered, unanswered
    late = [each for each in context.outcomes if each[0] >= late_s]
    assert all(status in (0, 503) for _, _, status, _ in late), late


@then("no answer came later than the stop allows")
def check_in_time(context: Any) -> None:
    assert max(ended_s for *_, ended_s in context.outcomes) <= STOP_TIMEOUT_S + 0.5
