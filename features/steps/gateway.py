"""Steps for gateways on the stand-ins of the users' platform."""

from __future__ import annotations

import contextlib
import http.client
import json
import re
import signal
import socket
import time
from typing import Any

from behave import given, then, when
from features.support.gateway_site import (
    ENGINE_REPLICAS,
    GATEWAYS,
    LAYERS,
    PLAIN_REPLICAS,
    create_gateway_site,
)
from features.support.site import http as call
from features.support.site import wait_until

STREAMS = 6
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
MAX_BODY_BYTES = 4 * 1024 * 1024


@given("a site of two gateways, eight replicas and a store")
def start_site(context: Any) -> None:
    context.gateways = create_gateway_site(context.site)
    context.gateways.start_all(events=40, event_ms=25.0)


@given("a store without a configuration and one gateway")
def start_unconfigured(context: Any) -> None:
    context.gateways = create_gateway_site(context.site)
    context.gateways.start_platform()
    start_one(context)


@given("one gateway whose store does not answer")
def start_without_store(context: Any) -> None:
    context.gateways = create_gateway_site(context.site)
    start_one(context)


def start_one(context: Any) -> None:
    """Start one gateway and wait until its ready address answers."""
    context.gateways.start_gateway("g1")
    ready = f"http://{context.gateways.ip('g1')}:7001/api/ready"
    wait_until(lambda: answers(ready), "the gateway answers", 20.0)


def answers(url: str) -> bool:
    try:
        call(url, timeout_s=2.0)
    except OSError:
        return False
    return True


@given(
    "a site of two gateways, eight replicas and a store whose second gateway reaches it through a "
    "relay"
)
def start_relayed(context: Any) -> None:
    site = create_gateway_site(context.site)
    context.gateways = site
    site.start_platform()
    site.configure()
    site.start_gateway("g1")
    site.start_gateway("g2", store=f"{context.site.ip(2)}:9002")
    site.wait_serving()


@then("reads, bookings and streams are served completely through both gateways")
def check_served(context: Any) -> None:
    site = context.gateways
    context.bookings = []
    for name in GATEWAYS:
        for number in range(5):
            read = site.request(name, f"/read/{number}", method="GET")
            assert read.status == 200, read
            assert read.body == f"body of /read/{number} ".encode()
            booking = site.request(name, "/book/rig")
            assert booking.status == 200, booking
            assert booking.body == b"body of /book/rig body"
            context.bookings.append(booking.headers["Pimentodale-Attempt-Id"])
        stream = site.open_stream(name)
        wait_until(lambda stream=stream: stream.is_over, "the stream ends", 12.0)
        assert stream.is_whole
        assert stream.events == [str(number) for number in range(1, 41)]


@then("every event ran every layer once and in order")
def check_layers(context: Any) -> None:
    events = context.gateways.journal("event")
    assert events
    for event in events:
        ranges = [tuple(map(int, text.split("-"))) for text in event["detail"].split()[1:]]
        position = 0
        for first, end in ranges:
            assert first == position, event
            position = end
        assert position == LAYERS, event


@then("each booking ran once")
def check_bookings(context: Any) -> None:
    runs = [run["attempt"] for run in context.gateways.journal("run")]
    for attempt in context.bookings:
        assert runs.count(attempt) == 1, attempt


@then("requests reached the replicas with the workspace instead of the API key")
def check_workspace(context: Any) -> None:
    for run in context.gateways.journal("run"):
        headers = json.loads(run["detail"].partition(" ")[2])
        assert headers["Pimentodale-Tenant"] == "w1"
        assert "Authorization" not in headers
        assert 0 < int(headers["Pimentodale-Deadline-Ms"]) <= 10_000


@then(
    "an unknown path gets 404, an unknown key 401, and bytes that are not HTTP close only their "
    "own connection"
)
def check_unknown(context: Any) -> None:
    site = context.gateways
    assert site.request("g1", "/nowhere/x").status == 404
    assert site.request("g1", "/read/x", key="forged", method="GET").status == 401
    with socket.create_connection((site.ip("g1"), 7000), timeout=5.0) as stream:
        stream.sendall(b"\x00\xff\r\n no http \r\n\r\n")
        while stream.recv(1000):
            continue
    assert site.request("g1", "/read/x", method="GET").status == 200


@then("a header over the limit gets 431")
def check_long_header(context: Any) -> None:
    for size in (20_000, 300_000):
        head = f"GET /read/x HTTP/1.1\r\nHost: lab.example\r\nX-Long: {'y' * size}\r\n\r\n".encode()
        answer = exchange_bytes(context.gateways.ip("g1"), [head])
        assert answer.startswith(b"HTTP/1.1 431 "), answer
        assert b"\r\nConnection: close\r\n" in answer, answer
    assert context.gateways.request("g1", "/read/x", method="GET").status == 200


@then("a body over the limit gets 413, with a length or in chunks, while it is still being sent")
def check_long_body(context: Any) -> None:
    site = context.gateways
    fields = [f"{name}: {value}" for name, value in site.headers().items()]
    for framing in (f"Content-Length: {MAX_BODY_BYTES + 1}", "Transfer-Encoding: chunked"):
        head = "\r\n".join(["POST /book/rig HTTP/1.1", *fields, framing, "", ""]).encode()
        block = b"x" * 65_536
        if framing.endswith("chunked"):
            block = b"10000\r\n" + block + b"\r\n"
        # One block is always missing, so the body never completes.
        blocks = [head] + [block] * (MAX_BODY_BYTES // 65_536 + (framing.endswith("chunked")))
        started_s = time.monotonic()
        answer = exchange_bytes(site.ip("g1"), blocks)
        assert answer.startswith(b"HTTP/1.1 413 "), answer
        assert b'"ran":"not_run"' in answer, answer
        assert time.monotonic() - started_s < 3.0
    assert site.request("g1", "/read/x", method="GET").status == 200


@then("a body exactly at the limit reaches its replica unchanged")
def check_longest_body(context: Any) -> None:
    body = b"z" * MAX_BODY_BYTES
    reply = context.gateways.request("g1", "/book/rig", body=body)
    assert reply.status == 200
    assert reply.body == b"body of /book/rig " + body


def exchange_bytes(ip: str, blocks: list[bytes]) -> bytes:
    """Send blocks on a connection until the gateway closes it, and return what it sent."""
    answer = b""
    with socket.create_connection((ip, 7000), timeout=5.0) as stream:
        with contextlib.suppress(OSError):
            for block in blocks:
                stream.sendall(block)
        with contextlib.suppress(ConnectionResetError):
            while piece := stream.recv(65_536):
                answer += piece
    return answer


@then("the gateway is not ready and answers 503 with Retry-After")
def check_not_ready(context: Any) -> None:
    assert not context.gateways.is_ready("g1")
    reply = context.gateways.request("g1", "/read/x", method="GET")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0
    assert reply.json()["ran"] == "not_run"


@then("it is ready once the operator has written a configuration")
def check_ready(context: Any) -> None:
    context.gateways.configure()
    wait_until(lambda: context.gateways.is_ready("g1"), "the gateway is ready", 3.0)


@when("the operator adds a route and then removes it")
def change_routes(context: Any) -> None:
    site = context.gateways
    route = {"path_prefix": "/new/", "kind": "idempotent", "service": "plain"}
    context.took_s = []
    for routes, status in (([route], 200), ([], 404)):
        started = time.monotonic()
        site.configure(routes)
        for name in GATEWAYS:
            wait_until(
                lambda name=name, status=status: site.request(name, "/new/x").status == status,
                f"{name} answers {status}",
                5.0,
            )
        context.took_s.append(time.monotonic() - started)


@then("each change is in force on both gateways within 2 s")
def check_in_force(context: Any) -> None:
    assert max(context.took_s) <= CONFIGURATION_BOUND_S, context.took_s


def open_streams(context: Any) -> None:
    context.streams = [
        context.gateways.open_stream(GATEWAYS[number % 2]) for number in range(STREAMS)
    ]
    wait_until(
        lambda: all(len(stream.events) >= 3 for stream in context.streams), "streams run", 5.0
    )


def path_replicas(context: Any) -> tuple[set[str], set[str]]:
    """Return the replicas that run the first stage of streams, and those that run later stages."""
    heads = {event["replica"].removeprefix("i-") for event in context.gateways.journal("event")}
    held = {}
    for name in ENGINE_REPLICAS:
        url = f"http://{context.gateways.ip(name)}:8000/api/report"
        held[name] = call(url).json()["layers"]
    later = {name for name, layers in held.items() if layers and layers["to"] == LAYERS}
    return heads, later - heads


@when("a later stage of running streams stops responding")
def hang_later_stage(context: Any) -> None:
    open_streams(context)
    heads, later = path_replicas(context)
    own = sorted(name for name in later if name[0] in {head[0] for head in heads})
    context.gateways.fault(own[0], down=True, down_mode="silent")


@when("the first stage of running streams is killed")
def kill_head(context: Any) -> None:
    open_streams(context)
    heads, _ = path_replicas(context)
    context.gateways.fault(sorted(heads)[0], down=True, down_mode="refuse")


@then("all streams complete with each event exactly once")
def check_streams(context: Any) -> None:
    wait_until(lambda: all(stream.is_over for stream in context.streams), "streams end", 12.0)
    for stream in context.streams:
        assert stream.is_whole, (stream.status, stream.events)
        assert stream.events == [str(number) for number in range(1, 41)], stream.events


@when("a failure domain loses a replica permanently")
def lose_permanently(context: Any) -> None:
    site = context.gateways
    _, later = path_replicas(context)
    context.lost = sorted(name for name in later if name[0] == "a")[0] if later else "a1"
    site.fault(context.lost, down=True, down_mode="refuse")
    remove = {"remove": [f"servers/i-{context.lost}"]}
    call(f"{site.store}/api/kv-txn", remove)


@when("the gateway that places layers gets SIGTERM")
def stop_placing_gateway(context: Any) -> None:
    context.placing = next(
        name for name in GATEWAYS if "places layers now" in read_log(context, name)
    )
    context.serving = next(name for name in GATEWAYS if name != context.placing)
    context.site.programs[context.placing].process.send_signal(signal.SIGTERM)


@then("the other one takes over its lease within {time_s:d} s")
def check_handed_over(context: Any, time_s: int) -> None:
    def has_taken_over() -> bool:
        return "This host goes on with a lease" in read_log(context, context.serving)

    wait_until(has_taken_over, "the other gateway takes over the lease", time_s)


@when("a failure domain loses a replica while the store cannot report it")
def lose_unreported(context: Any) -> None:
    _, later = path_replicas(context)
    context.lost = sorted(name for name in later if name[0] == "a")[0]
    context.gateways.fault(context.lost, down=True, down_mode="refuse")
    # With the store down, the loss is detected only through requests.
    serving = getattr(context, "serving", GATEWAYS[0])
    context.streams = [context.gateways.open_stream(serving) for _ in range(4)]


def is_covered(context: Any) -> bool:
    layers: set[int] = set()
    for name in ENGINE_REPLICAS:
        if name[0] != "a" or name == context.lost:
            continue
        held = call(f"http://{context.gateways.ip(name)}:8000/api/report").json()["layers"]
        if held:
            layers.update(range(held["from"], held["to"]))
    return layers == set(range(LAYERS))


@then("its layers are held in that failure domain again within {bound_s:d} s")
def check_covered(context: Any, bound_s: int) -> None:
    wait_until(lambda: is_covered(context), "the failure domain holds every layer", bound_s)


@then("no replica was ordered to hold more layers than fit")
def check_orders(context: Any) -> None:
    for order in context.gateways.journal("place"):
        first, end = map(int, order["detail"].split("-"))
        assert end - first <= 8, order


@when("the replicas of the plain service reset every connection after running its request")
def lose_answers(context: Any) -> None:
    for name in PLAIN_REPLICAS:
        call(f"http://{context.gateways.ip(name)}:8001/admin/lose-answers", {})


@then("a booking gets 502 and ran at most once")
def check_not_retried(context: Any) -> None:
    reply = context.gateways.request("g1", "/book/rig")
    assert reply.status == 502, reply
    assert reply.json()["ran"] == "may_have_run"
    attempt = f"attempt-{context.gateways.next_attempt}"
    runs = [run["attempt"] for run in context.gateways.journal("run")]
    assert runs.count(attempt) == 1


@when("a replica of the plain service announces that it is leaving")
def drain(context: Any) -> None:
    context.gateways.admin("pa", "drain")
    wait_until(lambda: "draining" in store_text(context, "servers/i-pa"), "it is announced", 5.0)
    context.drained_s = time.monotonic()


def store_text(context: Any, key: str) -> str:
    import base64

    item = call(f"{context.gateways.store}/api/kv-key?key={key}").json()
    return base64.b64decode(item["value"]).decode()


@then("after 2 s no request reaches it, and all are served")
def check_drained(context: Any) -> None:
    site = context.gateways
    time.sleep(max(0.0, context.drained_s + DRAIN_BOUND_S - time.monotonic()))
    before = sum(1 for run in site.journal("run") if run["replica"] == "i-pa")
    for _ in range(10):
        for name in GATEWAYS:
            assert site.request(name, "/read/x", method="GET").status == 200
    assert sum(1 for run in site.journal("run") if run["replica"] == "i-pa") == before


@when("a client disconnects in the middle of its stream")
def disconnect_client(context: Any) -> None:
    site = context.gateways
    context.left = site.open_stream("g1")
    wait_until(lambda: len(context.left.events) >= 5, "the stream runs", 5.0)
    attempt = f"attempt-{site.next_attempt}"
    context.left.connection.sock.shutdown(socket.SHUT_RDWR)
    time.sleep(0.5)
    context.made = [event for event in site.journal("event") if event["attempt"] == attempt]
    context.left_attempt = attempt


@then("the replicas produce no more events for it 0.5 s later")
def check_generation_stopped(context: Any) -> None:
    time.sleep(0.3)
    made = [e for e in context.gateways.journal("event") if e["attempt"] == context.left_attempt]
    assert len(made) == len(context.made), (len(made), len(context.made))
    assert len(made) < 40


@when("a gateway gets SIGTERM while it has streams and keep-alive connections")
def stop_gateway(context: Any) -> None:
    site = context.gateways
    kept = http.client.HTTPConnection(site.ip("g1"), 7000, timeout=5.0)
    kept.request("GET", "/read/x", headers=site.headers())
    assert kept.getresponse().read()
    open_streams(context)
    site.site.programs["g1"].process.send_signal(signal.SIGTERM)
    context.kept = kept


@then("it reports not ready within 0.5 s")
def check_not_ready_soon(context: Any) -> None:
    wait_until(lambda: not context.gateways.is_ready("g1"), "it is not ready", 0.5)


@then("it exits with 0 and accepts no new connections")
def check_exit(context: Any) -> None:
    assert context.gateways.site.programs["g1"].process.wait(9.0) == 0
    assert not answers(f"http://{context.gateways.ip('g1')}:7000/")
    context.kept.close()


@when("the relay is cut and the operator adds a route")
def cut_relay(context: Any) -> None:
    call(f"http://{context.site.ip(2)}:9003/admin/faults", {"cut": True})
    context.gateways.configure([{"path_prefix": "/new/", "kind": "idempotent", "service": "plain"}])


@then("the route is in force on the gateway that is cut off within 3 s")
def check_cut_off(context: Any) -> None:
    wait_until(lambda: context.gateways.request("g2", "/new/x").status == 200, "in force", 3.0)


@when("all gateways are killed and started")
def restart_gateways(context: Any) -> None:
    context.orders_before = len(context.gateways.journal("place"))
    for name in GATEWAYS:
        context.site.programs[name].kill()
    for name in GATEWAYS:
        context.gateways.start_gateway(name)


@then("streams are served again within 6 s, without any new order")
def check_restarted(context: Any) -> None:
    for name in GATEWAYS:
        wait_until(lambda name=name: context.gateways.serves(name), f"{name} serves", 6.0)
    # The next lease holder plans once the old lease has expired.
    wait_until(lambda: re.search("places layers now", gateway_logs(context)), "a holder", 6.0)
    time.sleep(0.5)
    assert len(context.gateways.journal("place")) == context.orders_before


def gateway_logs(context: Any) -> str:
    texts = [read_log(context, name) for name in GATEWAYS]
    # Skips the log lines of the first start.
    return "".join(text.rpartition("The gateway listens.")[2] for text in texts)


def read_log(context: Any, name: str) -> str:
    log: str = context.site.programs[name].log.read_text()
    return log


@when("the store is down")
def store_down(context: Any) -> None:
    down = {"down": True, "down_mode": "silent"}
    call(f"http://{context.site.ip(2)}:9001/admin/faults", down)


@when("a request that crashes its first replica is sent repeatedly through both gateways")
def send_crashing_request(context: Any) -> None:
    context.statuses = []
    for number in range(8):
        reply = context.gateways.request(GATEWAYS[number % 2], "/lm/stream", body=b"poison")
        context.statuses.append((reply.status, reply.json()["name"]))
        # Retries once the crash is known; replicas are back after 1 s.
        time.sleep(1.2)


@then("at most 4 replicas crash and the request is refused from then on")
def check_crashes_bounded(context: Any) -> None:
    crashes = context.gateways.journal("crash")
    assert len(crashes) <= 4, (len(crashes), context.statuses)
    assert context.statuses[-1] == (502, "quarantined"), context.statuses


@then("other streams are served again within 8 s")
def check_served_again(context: Any) -> None:
    for name in GATEWAYS:
        wait_until(lambda name=name: context.gateways.serves(name), f"{name} serves", 8.0)
