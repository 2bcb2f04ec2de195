"""Steps for leaving backend servers and graceful shutdown of hosts."""

from __future__ import annotations

import asyncio
import hashlib
import re
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgpack
from behave import given, then, when
from features.support.layout import HOST_LIST_PORT, Layout, headers_of
from features.support.site import Program, http, wait_until
from features.support.steady_load import SteadyLoad
from hypothesis import given as property_of
from hypothesis import settings as property_settings
from hypothesis import strategies
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from pimentodale.callers.app import create_server
from pimentodale.clock import ManualClock, create_clock
from pimentodale.forwarding.client_connections import ClientConnections, max_connections_of
from pimentodale.forwarding.client_memory import create_client_memory
from pimentodale.leaving.leaving_servers import LeavingServers, create_leaving_servers
from pimentodale.logs import configure_logs

REPLICA = "e1"
LARGE_BYTES = 8 * 1024 * 1024
SLOW_READ_LIMIT_BYTES = 4096
CALLERS = 12
LEAST_CALLS = 100
LONG_STREAM_TOKENS = 300
LIST_LAG_MS = 10_000.0
LOAD_AFTER_SIGNAL_S = 6.0
STOP_WAIT_S = 40.0
EXIT_SLACK_S = 0.5


@dataclass
class SignalExchange:
    """Two hosts' leaving signals and the notices sent between them."""

    clock: ManualClock = field(default_factory=ManualClock)
    notices: list[tuple[int, bytes]] = field(default_factory=list)
    hosts: list[LeavingServers] = field(default_factory=list)

    def deliver(self) -> None:
        """Deliver each notice to the other host."""
        while self.notices:
            sender, value = self.notices.pop(0)
            self.hosts[1 - sender].receive_notice(value)


def create_signal_exchange() -> SignalExchange:
    exchange = SignalExchange()
    for number in range(2):
        exchange.hosts.append(
            create_leaving_servers(
                exchange.clock,
                lambda _key, value, _ttl_ms, n=number: exchange.notices.append((n, value)),
                lambda _replica: None,
            )
        )
    return exchange


@given("two hosts that exchange leaving signals")
def create_hosts(context: Any) -> None:
    configure_logs("error", "console")
    context.exchange = create_signal_exchange()


@then(
    "over {count:d} random orders of reports, refusals, list readings and notices"
    " no leaving boot gets work"
)
def check_orders(context: Any, count: int) -> None:
    host = strategies.integers(0, 1)
    step = strategies.one_of(
        strategies.tuples(strategies.just("live report"), host),
        strategies.tuples(strategies.just("leaving report"), host),
        strategies.tuples(strategies.just("refusal"), host),
        strategies.tuples(strategies.just("list leaving"), host),
        strategies.tuples(strategies.just("list live"), host),
        strategies.tuples(strategies.just("deliver notices"), host),
        strategies.tuples(strategies.just("pass"), strategies.integers(0, 50_000)),
    )

    @property_settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @property_of(strategies.lists(step, max_size=30))
    def check(steps: list[tuple[str, int]]) -> None:
        exchange = create_signal_exchange()
        for one in exchange.hosts:
            one.note_report(REPLICA, "boot-1", False)
        signalled = [False, False]
        for kind, number in steps:
            if kind == "pass":
                exchange.clock.advance(number)
                continue
            one = exchange.hosts[number]
            if kind == "live report":
                one.note_report(REPLICA, "boot-1", False)
            elif kind == "leaving report":
                one.note_report(REPLICA, "boot-1", True)
                signalled[number] = True
            elif kind == "refusal":
                one.note_refusal(REPLICA)
                signalled[number] = True
            elif kind == "list leaving":
                one.note_host_list([REPLICA])
            elif kind == "list live":
                one.note_host_list([])
            else:
                exchange.deliver()
                signalled = [any(signalled)] * 2
            for other, has_signal in zip(exchange.hosts, signalled, strict=True):
                assert not has_signal or other.is_leaving(REPLICA)

    check()


@then("a new boot of a backend server that had left gets work immediately")
def check_new_boot(context: Any) -> None:
    exchange = context.exchange
    exchange.hosts[0].note_report(REPLICA, "boot-1", True)
    exchange.deliver()
    for one in exchange.hosts:
        one.note_report(REPLICA, "boot-1", False)
        assert one.is_leaving(REPLICA)
        one.note_report(REPLICA, "boot-2", False)
        assert not one.is_leaving(REPLICA)


@when("a backend server is replaced while the host list still shows its old boot as leaving")
def replace_server(context: Any) -> None:
    exchange = context.exchange
    for one in exchange.hosts:
        one.note_report(REPLICA, "boot-1", True)
        one.note_report(REPLICA, "boot-2", False)
    for _ in range(10):
        exchange.hosts[0].note_host_list([REPLICA])
        exchange.deliver()
        exchange.clock.advance(1_000)


@then("it gets no work while the list shows it as leaving and for up to {bound:d} s after")
def check_blocked(context: Any, bound: int) -> None:
    exchange = context.exchange
    assert all(one.is_leaving(REPLICA) for one in exchange.hosts)
    exchange.clock.advance(bound * 1_000)


@then("both hosts give it work after that")
def check_unblocked(context: Any) -> None:
    for one in context.exchange.hosts:
        one.note_host_list([])
        assert not one.is_leaving(REPLICA)


@then("random bytes as a notice raise no error and block no server")
def check_random_notices(context: Any) -> None:
    one = context.exchange.hosts[0]

    @property_settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @property_of(strategies.binary(max_size=60))
    def send(value: bytes) -> None:
        one.receive_notice(value)

    send()
    one.receive_notice(msgpack.packb(["e9", 7]))
    assert not one.is_leaving(REPLICA)
    assert not one.is_leaving("e9")


@given("six entry hosts under steady load behind a load balancer with readiness checks")
def start_hosts_under_load(context: Any) -> None:
    context.layout = Layout(context.site, entries=6)
    context.layout.start()
    start_load(context)


@given("{count:d} long streams accepted by all hosts")
def start_long_streams(context: Any, count: int) -> None:
    layout = context.layout
    for number in range(count):
        context.load.start_stream(number % layout.entries, f"long-{number}", LONG_STREAM_TOKENS)
    wait_until(lambda: started_streams(layout, "long-") >= count, "all streams have started")


@given("six entry hosts, of which only host 0 reads a host list that does not lag by 10 s")
def start_hosts_with_lag(context: Any) -> None:
    context.layout = layout = Layout(context.site, entries=6, host_list={"lag_ms": LIST_LAG_MS})
    layout.start_platform()
    layout.start_backend_servers()
    layout.put_folder(layout.folder)
    prompt = f"{context.site.ip(2)}:{HOST_LIST_PORT}"
    part = {"kind": "host_list", "listen": prompt, "targets": layout.targets()}
    path = context.site.write("prompt_list.yaml", {"parts": [part]})
    context.site.start("prompt_list", "pimentodale-standin", str(path))
    context.prompt_list = f"http://{prompt}/admin/targets"
    context.site.wait_ready(f"http://{prompt}/targets")
    for number in range(layout.entries):
        layout.entry = {"host_list": prompt} if number == 0 else {}
        layout.start_entry(number)
    for number in range(layout.entries):
        context.site.wait_ready(layout.entry_url(number, "/readyz"))


@given("steady load on all hosts")
def start_plain_load(context: Any) -> None:
    start_load(context)


@when(
    "entry hosts {first:d} and {second:d} get SIGTERM, and a second one when the first has taken "
    "effect"
)
def stop_two(context: Any, first: int, second: int) -> None:
    context.stopped = [first, second]
    programs = [context.site.programs[f"entry-{number}"] for number in context.stopped]
    for program in programs:
        program.process.send_signal(signal.SIGTERM)
    context.ended_s = {}
    context.waiting = [
        threading.Thread(target=record_exit, args=(context, program)) for program in programs
    ]
    for thread in context.waiting:
        thread.start()
    for number in context.stopped:
        url = context.layout.entry_url(number, "/readyz")
        wait_until(lambda url=url: http(url).status != 200, "the first signal has taken effect")
    for program in programs:
        program.process.send_signal(signal.SIGTERM)


@when('the engine "{replica}" is marked as leaving in both host lists')
def mark_leaving(context: Any, replica: str) -> None:
    layout = context.layout
    wait_until(lambda: starts_at(layout, replica), "the engine has work")
    groups = layout.targets()
    for group in groups:
        if group["labels"]["replica"] == replica:
            group["labels"]["state"] = "leaving"
    context.told_ms = time.monotonic() * 1000
    assert http(context.prompt_list, groups).status == 200
    layout.set_targets(groups)
    # The load continues for the measured time; this does not wait for a condition.
    time.sleep(LOAD_AFTER_SIGNAL_S)
    context.load.stop()


@then("both report not ready and close connections after each answer")
def check_not_ready(context: Any) -> None:
    for number in context.stopped:
        ready = http(context.layout.entry_url(number, "/readyz"))
        assert ready.status == 503 and ready.json()["code"] == 1602, ready
        assert ready.headers["Connection"] == "close", ready
        models = context.layout.entry_url(number, "/v1/models")
        reply = http(models, headers=headers_of("lab"))
        assert reply.status == 200 and reply.headers["Connection"] == "close", reply


@then("both exit with code 0 after their long streams have ended")
def check_exits(context: Any) -> None:
    for thread in context.waiting:
        thread.join(STOP_WAIT_S)
    context.load.stop()
    for number in context.stopped:
        name = f"entry-{number}"
        assert context.site.programs[name].process.returncode == 0, name
        ends = [call.ended_s for call in context.load.calls if call.host == number]
        assert max(ends) < context.ended_s[name] + EXIT_SLACK_S, (max(ends), context.ended_s)


@then("every stream and call under load was complete and none was refused")
def check_all_whole(context: Any) -> None:
    calls = context.load.calls
    broken = [call for call in calls if not call.whole]
    print(f"{len(calls)} calls, {len(broken)} not whole")
    assert len(calls) > LEAST_CALLS, len(calls)
    assert not broken, broken[:5]


@then("each reservation ran once and got an answer")
def check_reservations(context: Any) -> None:
    runs = Counter(run["idempotency_key"] for run in context.layout.service_runs())
    answered = {call.name for call in context.load.calls if call.kind == "reservation"}
    assert set(runs) == answered, set(runs) ^ answered
    assert set(runs.values()) == {1}, runs


@then('the last new work at "{replica}" started at most {bound:d} s later while the load continued')
def check_last_work(context: Any, replica: str, bound: int) -> None:
    last_ms = max(starts_at(context.layout, replica)) - context.told_ms
    others_ms = max(
        at_ms
        for engine in context.layout.engines
        if engine.replica != replica
        for at_ms in starts_at(context.layout, engine.replica)
    )
    print(f"last new work {last_ms:.0f} ms after the signal")
    assert others_ms - context.told_ms > 1000 * (LOAD_AFTER_SIGNAL_S - 1)
    assert last_ms <= 1000 * bound, last_ms


@then(
    'the operator status of host {number:d} lists all six hosts as alive and "{replica}" as leaving'
)
def check_status(context: Any, number: int, replica: str) -> None:
    address = context.layout.entry_address(number)
    program = context.site.start("status", "pimentodale-ctl", "status", f"--entry={address}")
    code = program.process.wait(30)
    output = program.log.read_text()
    assert code == 0, output
    for host in range(6):
        assert re.search(rf"host entry-{host}\t\S+\talive", output), output
    assert f"leaving {replica}" in output, output


def start_load(context: Any) -> None:
    context.load = SteadyLoad(context.layout, context.site.seed)
    context.add_cleanup(context.load.stop)
    context.load.start(CALLERS)


def started_streams(layout: Layout, prefix: str) -> int:
    hashes = {
        hashlib.sha256(f"user: {prefix}{number} [tokens={LONG_STREAM_TOKENS}]".encode()).hexdigest()
        for number in range(100)
    }
    return len(
        {
            line["prompt_sha256"]
            for lines in layout.engine_runs().values()
            for line in lines
            if line["event"] == "start" and line["prompt_sha256"] in hashes
        }
    )


def starts_at(layout: Layout, replica: str) -> list[float]:
    lines = layout.engine_runs()[replica]
    return [line["at_ms"] for line in lines if line["event"] == "start"]


def record_exit(context: Any, program: Program) -> None:
    program.process.wait(STOP_WAIT_S)
    context.ended_s[program.name] = time.monotonic()


class LargeHandler(RequestHandler):
    """Answers with more bytes than socket buffers hold."""

    def get(self) -> None:
        """Finish the answer without waiting."""
        self.finish(bytes(LARGE_BYTES))


async def read_slowly(ip: str) -> int:
    memory = create_client_memory(create_clock(), 0.0)
    connections = ClientConnections(memory, max_connections_of(0))
    server = create_server(Application([("/", LargeHandler)]), connections)
    server.add_sockets(bind_sockets(8080, ip))
    reader, writer = await asyncio.open_connection(ip, 8080, limit=SLOW_READ_LIMIT_BYTES)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    header = await reader.readuntil(b"\r\n\r\n")
    assert b"200 OK" in header, header
    closing = asyncio.ensure_future(server.close_when_sent(create_clock(), 10_000.0))
    # Lets the server start to close before the caller continues to read.
    await asyncio.sleep(0.1)
    body = await reader.read(-1)
    await closing
    writer.close()
    return len(body)


@given("a server that has finished an answer of 8 MB to a caller")
def prepare_large_answer(context: Any) -> None:
    context.ip = context.site.ip(1)


@when("it is closed before the caller has read")
def close_server(context: Any) -> None:
    context.read_bytes = asyncio.run(read_slowly(context.ip))


@then("the caller reads the complete answer")
def check_read(context: Any) -> None:
    assert context.read_bytes == LARGE_BYTES, context.read_bytes
