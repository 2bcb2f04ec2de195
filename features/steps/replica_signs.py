"""Steps for departure notices and hold-offs in the answers of replicas."""

from __future__ import annotations

import asyncio
import itertools
import json
import threading
import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.support.engine_fleet import replica
from features.support.engines import (
    EngineSpec,
    engine_journal,
    set_engine_fault,
    start_engines,
)
from features.support.gateway_site import ENGINE_REPLICAS, GATEWAYS, PLAIN_REPLICAS
from features.support.generation_hosts import create_host, run_generation
from features.support.site import http, wait_until
from tornado.httputil import HTTPHeaders

from pimentodale.admission.hold_offs import create_hold_offs
from pimentodale.clients.key_value import KeyValue
from pimentodale.clock import ManualClock
from pimentodale.forwarding.passive_health import record_answer
from pimentodale.forwarding.path_selection import service_hold_off_ms
from pimentodale.leaving.leaving_servers import create_leaving_servers
from pimentodale.mirror.mirror import create_mirror
from pimentodale.platform.configuration import CONFIGURATION_KEY, decode_configuration
from pimentodale.platform.header_codec import decode_answer
from pimentodale.platform.replica_records import REPLICA_PREFIX, decode_replica
from pimentodale.results import Ran
from pimentodale.site.replica_health import create_replica_health, incarnation_of
from pimentodale.site.view import SiteRecords, create_site_view

if TYPE_CHECKING:
    from collections.abc import Callable

PATHS = {"a plain replica": "/read/x", "the first replica of streams": "/lm/stream"}
ENGINE_LAYERS = 12

DEPARTURE_INTERVAL_S = 4.0
"""Time between the departures of two replicas."""


def send(context: Any, gateway: str) -> Any:
    """Send one request to the URL path of the scenario."""
    return context.gateways.request(gateway, context.path)


@when("the store is {state}, and {what} announces its departure in its answers")
def announce(context: Any, state: str, what: str) -> None:
    site = context.gateways
    context.path = PATHS[what]
    if state == "down":
        site.store_fault(down=True, down_mode="silent")
    # Choose the replica that gets the work now, which may differ from those of the first requests.
    replies = [send(context, name) for name in GATEWAYS]
    context.announcer = replies[-1].headers["Pimentodale-Replica-Stamp"].removeprefix("stamp.i-")
    site.admin(context.announcer, "announce")


@when("requests are sent until one of its answers is forwarded")
def send_until_announced(context: Any) -> None:
    def is_announced() -> bool:
        replies = [send(context, name) for name in GATEWAYS]
        return any(reply.headers.get("Server-Leaving") == "1" for reply in replies)

    wait_until(is_announced, "an answer with the announcement is forwarded", 10.0)
    context.forwarded_s = time.monotonic()


@when("the first gateway is killed and restarted")
def restart_first(context: Any) -> None:
    site = context.gateways
    site.site.programs[GATEWAYS[0]].kill()
    site.start_gateway(GATEWAYS[0])
    wait_until(lambda: site.serves(GATEWAYS[0]), "the gateway serves streams", 20.0)
    context.forwarded_s = time.monotonic()


@then("no request reaches it from 2 s to 4 s after that, and all requests are served")
def check_none_reaches(context: Any) -> None:
    while time.monotonic() < context.forwarded_s + 2.0:
        assert all(send(context, name).status == 200 for name in GATEWAYS)
    before = count_arrivals(context)
    while time.monotonic() < context.forwarded_s + 4.0:
        assert all(send(context, name).status == 200 for name in GATEWAYS)
    assert count_arrivals(context) == before, (before, count_arrivals(context))


@then("both gateways count {what}")
def check_counted(context: Any, what: str) -> None:
    for name in GATEWAYS:
        text = http(f"http://{context.gateways.ip(name)}:7001/metrics").body.decode()
        lines = [line for line in text.splitlines() if line.startswith(f"pimentodale_{what}_total")]
        assert lines, text
        assert all(float(line.split()[-1]) > 0 for line in lines), lines


@when(
    "{count:d} clients send requests without a pause while the store is down and the plain "
    "replicas announce their departure in turn"
)
def leave_in_turn(context: Any, count: int) -> None:
    site = context.gateways
    context.path = PATHS["a plain replica"]
    site.store_fault(down=True, down_mode="silent")
    context.left_s, context.last_s, context.refused = {}, {}, []

    def take(_attempt: str, reply: Any) -> None:
        now_s = time.monotonic()
        if reply.status != 200:
            context.refused.append((now_s, reply))
            return
        stamp = reply.headers["Pimentodale-Replica-Stamp"]
        context.last_s[stamp] = now_s
        if reply.headers.get("Server-Leaving") == "1":
            context.left_s.setdefault(stamp, now_s)

    def announce_in_turn() -> None:
        for name in PLAIN_REPLICAS:
            site.admin(name, "announce")
            time.sleep(DEPARTURE_INTERVAL_S)
        time.sleep(DEPARTURE_INTERVAL_S)

    send_without_pause(context, count, take, announce_in_turn)


def send_without_pause(
    context: Any, count: int, take: Callable[[str, Any], None], meanwhile: Callable[[], None]
) -> None:
    """Send requests from several clients through both gateways while another function runs.

    Args:
        context: Holds the site and the path.
        count: Number of clients; they alternate between the gateways.
        take: Called with the id of each attempt and its reply.
        meanwhile: Runs concurrently; the clients stop when it returns.
    """
    site = context.gateways
    is_over = threading.Event()

    def send_on(number: int) -> None:
        name = GATEWAYS[number % len(GATEWAYS)]
        for request in itertools.count():
            if is_over.is_set():
                return
            attempt = f"attempt-{name}-{number}-{request}"
            headers = site.headers() | {"Pimentodale-Attempt-Id": attempt}
            take(attempt, site.request(name, context.path, headers=headers))

    clients = [threading.Thread(target=send_on, args=(each,)) for each in range(count)]
    for client in clients:
        client.start()
    meanwhile()
    is_over.set()
    for client in clients:
        client.join()


@then("no request reaches a replica later than 2 s after its answer was forwarded")
def check_none_late(context: Any) -> None:
    assert len(context.left_s) == len(PLAIN_REPLICAS), context.left_s
    for stamp, left_s in context.left_s.items():
        assert context.last_s[stamp] <= left_s + 2.0, (stamp, left_s, context.last_s)


@then("requests are refused immediately as not run once all have left")
def check_refused_at_once(context: Any) -> None:
    all_left_s = max(context.left_s.values()) + 2.0
    refused = [reply for at_s, reply in context.refused if at_s > all_left_s]
    assert len(refused) > 20, len(refused)
    for reply in refused:
        assert reply.status == 503, reply
        assert reply.json()["ran"] == "not_run", reply
        assert float(reply.headers["Retry-After"]) > 0.0, reply


@when("the plain replicas restart and the store is available again")
def restart_all(context: Any) -> None:
    for name in PLAIN_REPLICAS:
        context.gateways.admin(name, "restart")
    context.gateways.store_fault(down=False)


def arrivals(context: Any) -> list[dict[str, Any]]:
    """Return the requests that replicas ran: plain ones, and the first event of each stream."""
    site = context.gateways
    events = [entry for entry in site.journal("event") if entry["detail"].startswith("1 ")]
    return list(site.journal("run")) + events


def count_arrivals(context: Any) -> int:
    return sum(entry["replica"] == f"i-{context.announcer}" for entry in arrivals(context))


@when("it restarts")
def restart_announcer(context: Any) -> None:
    context.gateways.admin(context.announcer, "restart")
    context.before = count_arrivals(context)


@then("requests reach it again within {bound_s:d} s")
def check_reaches(context: Any, bound_s: int) -> None:
    def reaches() -> bool:
        for name in GATEWAYS:
            assert send(context, name).status == 200
        return count_arrivals(context) > context.before

    wait_until(reaches, "requests reach it", bound_s)


@given("a replica that the host knows")
def make_host(context: Any) -> None:
    clock = ManualClock(1_000.0)
    view = create_site_view(
        SiteRecords(CONFIGURATION_KEY, REPLICA_PREFIX, decode_configuration, decode_replica),
        create_mirror(clock),
        clock,
    )
    view.leaving = create_leaving_servers(clock, lambda *_: None, view.note_leaving_changed)
    context.host_state = SimpleNamespace(
        clock=clock, view=view, replica_health=create_replica_health(clock)
    )
    context.revision = 0
    register(context, 1)


def register(context: Any, born: int) -> None:
    """Write a replica's record to the mirror of the store."""
    context.revision += 1
    record = {
        "service": "plain",
        "address": "127.0.0.1:8000",
        "zone": "a",
        "state": "ready",
        "born": born,
    }
    item = KeyValue("servers/r1", json.dumps(record).encode(), 1, context.revision)
    context.host_state.view.mirror.apply_changes(context.revision, [item], [])


def has_work(context: Any) -> bool:
    """Return whether the replica may get new requests."""
    return bool(context.host_state.view.replicas_of("plain"))


@when("its record expires in an outage of the store")
def expire_record(context: Any) -> None:
    context.revision += 1
    mirror = context.host_state.view.mirror
    mirror.outage_ended_ms = context.host_state.clock.now_ms()
    mirror.apply_changes(context.revision, [], ["servers/r1"])


@when("the replica registers again")
def register_again(context: Any) -> None:
    register(context, 1)


@when("an answer with status {status:d} of {whose} replica announces its departure")
def take_answer(context: Any, status: int, whose: str) -> None:
    attempt = "attempt-0" if whose == "an earlier attempt's" else "attempt-1"
    headers = HTTPHeaders({"Server-Leaving": "1", "Pimentodale-Attempt-Id": attempt})
    if status in (421, 503):
        headers["Pimentodale-Not-Executed"] = "1"
    replica = context.host_state.view.replicas["r1"]
    record_answer(context.host_state, replica, decode_answer(status, headers, "attempt-1"))


@then("the replica {gets} work")
def check_work(context: Any, gets: str) -> None:
    assert has_work(context) == (gets == "gets"), gets


@when("notices and records of two incarnations arrive in any order from several hosts")
def mix_notices(context: Any) -> None:
    context.outcomes = []
    steps = ["record 1", "notice 1", "record 1 again", "record 2", "notice 2"]
    for order in itertools.permutations(steps):
        make_host(context)
        announced, newest = set(), 1
        for step in order:
            kind, born = step.split()[:2]
            if kind == "record":
                # The store never shows an older incarnation after a newer one.
                newest = max(newest, int(born))
                register(context, newest)
            elif int(born) in (newest, newest + 1):
                announced.add(int(born))
                notice = create_departure_notice("r1", born)
                context.host_state.view.leaving.receive_notice(notice)
        context.outcomes.append((order, has_work(context), newest not in announced))


def create_departure_notice(replica: str, born: str) -> bytes:
    """Return another host's departure notice in its encoded form."""
    told: list[bytes] = []
    other = create_leaving_servers(
        ManualClock(1_000.0), lambda _key, value, _ttl_ms: told.append(value), lambda _: None
    )
    other.note_report(replica, born, leaving=True)
    return told[0]


@then(
    "it gets no work if its newest known incarnation has announced its departure, and gets work "
    "otherwise"
)
def check_outcomes(context: Any) -> None:
    for order, got, wanted in context.outcomes:
        assert got == wanted, order


REJECTING = {
    "all plain replicas": ("/read/x", PLAIN_REPLICAS),
    "all engine replicas": ("/lm/stream", ENGINE_REPLICAS),
    "one plain replica": ("/read/x", PLAIN_REPLICAS[:1]),
}


@when("{what} reject requests for 5 s, while requests are sent through both gateways")
@when("{what} rejects requests for 5 s, while requests are sent through both gateways")
def reject_while_sending(context: Any, what: str) -> None:
    site = context.gateways
    context.path, context.rejecting = REJECTING[what]
    for name in context.rejecting:
        site.turn_away(name, "5")
    end_s = time.monotonic() + 4.0
    context.replies = []
    while time.monotonic() < end_s:
        for name in GATEWAYS:
            headers = site.headers()
            attempt = headers["Pimentodale-Attempt-Id"]
            started_s = time.monotonic()
            reply = site.request(name, context.path, headers=headers)
            context.replies.append((started_s, attempt, reply))
    for name in context.rejecting:
        site.turn_away(name, "")
    context.accepting_s = time.monotonic()


@when(
    "{what} reject requests for {hold_s:d} s, and {count:d} clients send requests without a "
    "pause for {span_s:d} s"
)
def reject_crowd(context: Any, what: str, hold_s: int, count: int, span_s: int) -> None:
    context.path, context.rejecting = REJECTING[what]
    context.hold_ms = hold_s * 1000.0
    context.refused = []
    for name in context.rejecting:
        context.gateways.turn_away(name, str(hold_s))
    send_without_pause(
        context,
        count,
        lambda _attempt, reply: context.refused.append(reply),
        lambda: time.sleep(span_s),
    )


@then(
    "no replica got more than two requests of a gateway from 0.5 s after an answer to the end of "
    "the hold-off"
)
def check_held_off(context: Any) -> None:
    arrived_ms: dict[tuple[str, str], list[float]] = {}
    for entry in context.gateways.journal("turned away"):
        gateway = entry["attempt"].split("-")[1]
        arrived_ms.setdefault((entry["replica"], gateway), []).append(entry["at_ms"])
    assert {gateway for _, gateway in arrived_ms} == set(GATEWAYS), arrived_ms.keys()
    for key, times_ms in arrived_ms.items():
        for at_ms in times_ms:
            late = [ms for ms in times_ms if at_ms + 500.0 < ms < at_ms + context.hold_ms]
            assert len(late) <= 2, (key, at_ms, late)


@then("all were refused as not run, with a retry time")
def check_all_refused(context: Any) -> None:
    assert len(context.refused) > 100, len(context.refused)
    for reply in context.refused:
        assert reply.status == 503, reply
        assert reply.json()["ran"] == "not_run", reply
        assert 0.0 < float(reply.headers["Retry-After"]) * 1000.0 <= context.hold_ms * 1.25 + 100.0


@then("each of them got at most two requests from each gateway")
def check_few_rejected(context: Any) -> None:
    got = [entry["replica"] for entry in context.gateways.journal("turned away")]
    assert got, "none was rejected"
    for name in context.rejecting:
        assert got.count(f"i-{name}") <= 2 * len(GATEWAYS), (name, len(got))


@then("refused clients were told immediately to retry at the end of the 5 s")
def check_told(context: Any) -> None:
    refused = [entry for entry in context.replies if entry[2].status == 503]
    assert len(refused) > 20, len(refused)
    first_s = context.replies[0][0]
    took_ms = read_times(context)
    is_logged = [attempt in took_ms for _, attempt, _ in refused]
    # The log writes a bounded number of lines a second.
    assert sum(is_logged) > 20, (sum(is_logged), len(refused))
    # The first ones reveal which replicas reject requests; later ones are refused immediately.
    for started_s, attempt, reply in refused[10:]:
        assert took_ms.get(attempt, 0.0) < 250.0, (attempt, took_ms[attempt])
        left_s = first_s + 5.0 - started_s
        assert reply.json()["ran"] == "not_run", reply
        assert left_s - 0.5 <= float(reply.headers["Retry-After"]) <= 5.0 * 1.25 + 0.1, reply


def read_times(context: Any) -> dict[str, float]:
    """Return the durations of requests from the gateways' logs, in ms, by attempt."""
    times_ms = {}
    for name in GATEWAYS:
        for line in context.site.programs[name].log.read_text().splitlines():
            if "A request ended." in line:
                entry = json.loads(line)
                times_ms[entry["request"]] = entry["elapsed_ms"]
    return times_ms


@then("requests are served again within {bound_s:d} s")
def check_served_again(context: Any, bound_s: int) -> None:
    for name in GATEWAYS:
        wait_until(lambda name=name: send(context, name).status == 200, "served", bound_s)


@then("all the requests were served")
def check_all_served(context: Any) -> None:
    statuses = [reply.status for _, _, reply in context.replies]
    assert set(statuses) == {200}, statuses


@given("a replica that has asked to hold off for 5 s")
def make_hold(context: Any) -> None:
    context.clock = ManualClock(1_000.0)
    context.holds = create_hold_offs(context.clock)
    context.holds.hold("r1", 5_000.0)


@then("no request may go to it for {length_s:d} s")
def check_held(context: Any, length_s: int) -> None:
    for _ in range(length_s * 10):
        assert not context.holds.allows("r1")
        context.clock.advance(100.0)


@then("then one request may go to it, and no other before that one is accepted or 2 s have passed")
def check_alone(context: Any) -> None:
    holds = context.holds
    assert holds.allows("r1")
    holds.note_sent("r1")
    assert not holds.allows("r1")
    context.clock.advance(2_000.0)
    assert holds.allows("r1")
    holds.note_sent("r1")
    assert not holds.allows("r1")


@when("it asks to hold off for another 3 s in its answer to the first")
def ask_again(context: Any) -> None:
    context.holds.hold("r1", 3_000.0)


@then('a 503 with Retry-After "{value}" asks for {asked}')
def check_parsed(context: Any, value: str, asked: str) -> None:
    answer = decode_answer(503, HTTPHeaders({"Retry-After": value}), "attempt-1")
    if asked == "nothing":
        assert answer.hold_off_ms is None, answer
        return
    holds = create_hold_offs(ManualClock(1_000.0))
    holds.hold("r1", answer.hold_off_ms)
    assert holds.left_ms("r1") == float(asked.split()[0]), holds.left_ms("r1")


@given(
    "a host that knows a replica that asked to hold off for 5 s, one for 3 s and one that is down"
)
def make_mixed(context: Any) -> None:
    replica_health = create_replica_health(ManualClock(1_000.0))
    replicas = [replica(name, "a", "", None) for name in ("five", "three", "down")]
    replica_health.hold_offs.hold(incarnation_of(replicas[0]), 5_000.0)
    replica_health.hold_offs.hold(incarnation_of(replicas[1]), 3_000.0)
    replica_health.mark_down(incarnation_of(replicas[2]), "it can't be connected to")
    view = SimpleNamespace(replicas_of=lambda _service: replicas)
    context.host_state = SimpleNamespace(replica_health=replica_health, view=view)


@then("clients of their service are told to retry after 3 s")
def check_soonest(context: Any) -> None:
    assert service_hold_off_ms(context.host_state, "plain") == 3_000.0


@given("an entry host over {count:d} stand-in engines that each hold all layers")
def start_engine_site(context: Any, count: int) -> None:
    context.engines = [
        EngineSpec(f"e{number}", context.site.ip(10 + number), 0, ENGINE_LAYERS)
        for number in range(count)
    ]
    start_engines(context.site, context.engines, shared=True)


@when(
    "{what} reject streams for {hold_s:d} s, and {count:d} clients send streams without a pause "
    "for {span_s:d} s"
)
@when(
    "{what} rejects streams for {hold_s:d} s, and {count:d} clients send streams without a pause "
    "for {span_s:d} s"
)
def reject_streams(context: Any, what: str, hold_s: int, count: int, span_s: int) -> None:
    context.rejecting = context.engines[:1] if what == "one of the engines" else context.engines
    for spec in context.rejecting:
        set_engine_fault(context.site, spec.name, busy=True, retry_after=str(hold_s))
    context.loop = asyncio.new_event_loop()
    context.results = []

    async def run() -> None:
        context.host = create_host("h1", context.engines, seed=context.site.seed)
        context.started_ms = context.host.clock.now_ms()

        async def send_on(number: int) -> None:
            for request in itertools.count():
                sent_ms = context.host.clock.now_ms()
                if sent_ms > context.started_ms + span_s * 1000.0:
                    return
                name = f"q{number}-{request}"
                result = await run_generation(context.host, f"{name} [tokens=3]", name)
                context.results.append((sent_ms, context.host.clock.now_ms(), result))
                # A refusal may return without yielding to the event loop, which the other clients
                # need.
                await asyncio.sleep(0.001)

        await asyncio.gather(*(send_on(number) for number in range(count)))

    context.loop.run_until_complete(run())


@then("none of them rejected a stream later than 0.5 s after its first answer")
def check_streams_rejected(context: Any) -> None:
    lines = [engine_journal(context.site, spec.name, "refused") for spec in context.rejecting]
    assert any(lines), "none was rejected"
    for times_ms in ([line["at_ms"] for line in own] for own in lines):
        assert not times_ms or max(times_ms) <= min(times_ms) + 500.0, times_ms


@then("callers were refused as not run, with a retry time at the end of the {hold_s:d} s")
def check_told_time(context: Any, hold_s: int) -> None:
    assert len(context.results) > 100, len(context.results)
    for sent_ms, ended_ms, result in context.results[10:]:
        assert result.refusal is not None, result
        assert result.refusal.ran is Ran.NOT_RUN, result.refusal
        assert ended_ms - sent_ms < 250.0, (sent_ms, ended_ms)
        back_ms = ended_ms + result.refusal.retry_after_ms
        assert abs(back_ms - context.started_ms - hold_s * 1000.0) < 500.0, result.refusal


@when("the engines accept streams again, and the hold-off has expired")
def accept_streams(context: Any) -> None:
    for spec in context.engines:
        set_engine_fault(context.site, spec.name)
    left_ms = max(result.refusal.retry_after_ms for _, _, result in context.results[-1:])
    time.sleep(left_ms / 1000.0 + 0.1)


@then("streams complete through both again within {bound_s:d} s")
def check_streams_accepted(context: Any, bound_s: int) -> None:
    async def send() -> bool:
        context.host.ctx.router.replan()
        names = [f"back{number}" for number in range(8)]
        await asyncio.gather(
            *(run_generation(context.host, f"{name} [tokens=3]", name) for name in names)
        )
        return all(engine_journal(context.site, s.name, "end") for s in context.engines)

    def are_back() -> bool:
        return context.loop.run_until_complete(send())

    wait_until(are_back, "both engines run streams", bound_s)
    context.loop.close()


@then("all the streams completed")
def check_streams_completed(context: Any) -> None:
    context.loop.close()
    assert len(context.results) > 20, len(context.results)
    for _, _, result in context.results:
        assert result.finished is not None, result
        assert len(result.tokens) == 3, result
