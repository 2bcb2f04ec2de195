"""Steps for forwarding decisions."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import msgspec
from behave import given, then, when
from features.support.engine_fleet import replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.event_stream import EventSplitter, follows
from pimentodale.forwarding.load_table import KV_UNIT, ReplicaLoad, create_load_table
from pimentodale.forwarding.passive_health import record_refusal
from pimentodale.forwarding.plain_requests import choose_replica
from pimentodale.forwarding.retry_budget_share import create_retry_budget_share
from pimentodale.forwarding.route_table import RouteTable
from pimentodale.gateway.load_exchange import EncodedLoads, decode_loads, encode_loads
from pimentodale.placement.messages import PathPart
from pimentodale.site.domain_outages import detect_domain_outages
from pimentodale.site.model import LayerRange, Repeatability, RouteRule, ServiceShare
from pimentodale.site.replica_health import create_replica_health, incarnation_of

HOST = "shop.example"


def route(prefix: str) -> RouteRule:
    shares = (ServiceShare("s", 1.0),)
    return RouteRule(
        prefix, HOST, prefix, Repeatability.IDEMPOTENT, 1e9, 100.0, 1, shares, 2, True, False, 0.0
    )


@given('routes for "/", "/a/" and "/a/b/" of one host')
def make_routes(context: Any) -> None:
    context.route_table = RouteTable([route("/"), route("/a/"), route("/a/b/")])


@then('the path "{path}" leads to the route "{name}"')
def check_route(context: Any, path: str, name: str) -> None:
    found = context.route_table.find(HOST, path)
    assert found is not None
    assert found.name == name, found.name


@then("another host name has no route")
def check_other_host(context: Any) -> None:
    assert context.route_table.find("other.example", "/a/") is None


@then("200 random splits of a stream give the same events, and an incomplete event is held back")
def check_splits(context: Any) -> None:
    rng = random.Random(context.site.seed)
    whole = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 30))
    for _ in range(200):
        cut = rng.randint(1, len(whole) - 1)
        splitter = EventSplitter()
        events = []
        position = 0
        while position < cut:
            size = rng.randint(1, 40)
            events += splitter.feed(whole[position : min(cut, position + size)])
            position += size
        assert [event.event_id for event in events] == [str(n + 1) for n in range(len(events))]
        passed = b"".join(event.data for event in events)
        assert whole.startswith(passed)
        assert splitter.has_partial == (len(passed) < cut)


@then('event "4" directly follows "3", but neither "3" nor "5" does')
def check_follows(context: Any) -> None:
    assert follows("4", "3")
    assert not follows("3", "3")
    assert not follows("5", "3")
    assert follows("b", "a")
    assert not follows("a", "a")
    assert not follows("\xb2", "1")
    assert not follows("a", "3")
    assert not follows("4" * 5_000, "3")


@given("6 hosts with a retry budget of 0.2 for each request plus 196 in 10 s")
def make_shares(context: Any) -> None:
    context.clock = ManualClock()
    context.shares = [
        create_retry_budget_share(context.clock, 0.2, 196, 10_000.0, lambda: 6) for _ in range(6)
    ]


@when("each gets 50 requests and retries as often as it may for 30 s")
def spend(context: Any) -> None:
    context.retries = []
    for step in range(300):
        for share in context.shares:
            if step % 30 == 0:
                for _ in range(5):
                    share.note_request("s")
            for _ in range(5):
                if share.try_spend("s"):
                    context.retries.append(context.clock.now_ms())
        context.clock.advance(100.0)


@then("in no period of 10 s does the service get more retries than the budget allows")
def check_bound(context: Any) -> None:
    for start_ms in context.retries:
        count = sum(1 for at_ms in context.retries if start_ms <= at_ms < start_ms + 10_000.0)
        # Any window contains at most 6 x 20 requests.
        assert count <= 0.2 * 120 + 196, count


@given("a host that has a report of 5 requests at a replica and has 2 of its own")
def make_load_table(context: Any) -> None:
    context.clock = ManualClock()
    context.load_table = create_load_table(context.clock)
    part = PathPart("r", replica("r", "a", "l4", None).address, LayerRange(0, 1))
    context.load_table.set_host_loads("other", {"r": ReplicaLoad(streams=5)})
    for _ in range(2):
        context.load_table.add((part,), 1.0)


@then("the replica counts 7 requests now and 2 after 2 s")
def check_load_table(context: Any) -> None:
    assert context.load_table.total("r").streams == 7
    context.clock.advance(2_000.0)
    assert context.load_table.total("r").streams == 2


@given("a replica that another host has reported")
def make_reported(context: Any) -> None:
    context.clock = ManualClock()
    context.replica_health = create_replica_health(context.clock)
    context.reports = []
    context.replica_health.broadcast = lambda incarnation, reason: context.reports.append(
        (incarnation, reason)
    )
    context.replica_health.mark_suspect(("r", 1), "requests stall on it", by_peer="h2")


@when("this host finds it unresponsive 100 ms later")
def find_unresponsive(context: Any) -> None:
    context.clock.advance(100.0)
    context.replica_health.note_failed_probe(("r", 1), "no answer")


@then("this host does not report it")
def check_not_reported(context: Any) -> None:
    assert context.reports == []
    assert context.replica_health.due_probes()


@then("this host reports it when it finds it unresponsive again 3 s later")
def check_reported_later(context: Any) -> None:
    context.replica_health.mark_up(("r", 1))
    context.clock.advance(3_000.0)
    context.replica_health.mark_down(("r", 1), "it can't be connected to")
    assert len(context.reports) == 1


@given("{hosts:d} hosts that report to each other a replica that is down for {seconds:d} s")
def make_probing_hosts(context: Any, hosts: int, seconds: int) -> None:
    clock = ManualClock()
    key = ("r", 1)
    everyone = [create_replica_health(clock) for _ in range(hosts)]
    rng = random.Random(context.site.seed)

    def broadcast_up(_incarnation: Any) -> None:
        for other in everyone:
            other.probe_soon(key)

    for replica_health in everyone:
        replica_health.count_hosts = lambda: hosts
        replica_health.broadcast_up = broadcast_up
        replica_health.rng = rng
        replica_health.mark_down(key, "no answer")
    context.probes = []
    context.back_ms = []
    while len(context.back_ms) < hosts and clock.now_ms() < 2_000.0 * seconds:
        clock.advance(100.0)
        for replica_health in everyone:
            if key not in replica_health.due_probes():
                continue
            context.probes.append(clock.now_ms())
            if clock.now_ms() < 1_000.0 * seconds:
                replica_health.note_failed_probe(key, "no answer")
            else:
                replica_health.mark_up(key)
                context.back_ms.append(clock.now_ms() - 1_000.0 * seconds)


@then("the replica is probed at most {most:d} times a second")
def check_probe_rate(context: Any, most: int) -> None:
    # In the first second, each host that found the replica unresponsive itself sends a probe.
    for second in range(1, 19):
        count = sum(second * 1_000.0 <= at < (second + 1) * 1_000.0 for at in context.probes)
        assert count <= most, (second, count)


@then("all hosts send it requests again within 1 s of its recovery")
def check_probe_return(context: Any) -> None:
    assert len(context.back_ms) == 80
    assert max(context.back_ms) <= 1_000.0, max(context.back_ms)


@given("{domains:d} failure domains of {count:d} replicas, seen from the first one")
def make_domains_of_replicas(context: Any, domains: int, count: int) -> None:
    context.clock = ManualClock()
    context.replica_health = create_replica_health(context.clock)
    context.replicas = [
        replica(f"{'abc'[domain]}{number}", "abc"[domain], "l4", LayerRange(0, 8))
        for domain in range(domains)
        for number in range(count)
    ]
    detect_domain_outages(context.replica_health, lambda: context.replicas, "a", context.clock)


def usable(context: Any, domain: str) -> list[str]:
    """Return the ids of the replicas of a failure domain that get requests."""
    members = [known for known in context.replicas if known.failure_domain == domain]
    return [known.replica_id for known in members if context.replica_health.is_usable(known)]


def named(context: Any, name: str) -> Any:
    """Return the incarnation of the replica with an id."""
    return incarnation_of(next(known for known in context.replicas if known.replica_id == name))


@when("a request stalls on one replica of the second domain")
def stall_one(context: Any) -> None:
    context.replica_health.mark_suspect(named(context, "b0"), "requests stall on it")


@then("the other replicas of that domain get requests")
def check_others_work(context: Any) -> None:
    assert len(usable(context, "b")) == 8


@when("another replica of it can't be connected to 300 ms later")
def lose_another(context: Any) -> None:
    context.clock.advance(300.0)
    context.replica_health.mark_down(named(context, "b1"), "it can't be connected to")


@then("no replica of that domain gets requests, and {count:d} are probed besides the two")
def check_few_probed(context: Any, count: int) -> None:
    assert usable(context, "b") == []
    due = {key[0] for key in context.replica_health.due_probes()}
    assert {"b0", "b1"} <= due
    assert len(due - {"b0", "b1"}) == count, due
    context.probed = sorted(due - {"b0", "b1"})


@then("the replicas of the first and the third domain get requests")
def check_spared(context: Any) -> None:
    assert len(usable(context, "a")) == len(usable(context, "c")) == 9


@then("all of the second domain but the unresponsive ones get requests again once one answers")
def check_answering(context: Any) -> None:
    context.replica_health.note_failed_probe(named(context, "b0"), "no answer")
    context.replica_health.mark_up(named(context, context.probed[0]))
    assert usable(context, "b") == [f"b{number}" for number in range(2, 9)]


def refuse(context: Any, head: str, name: str) -> None:
    """Record a refusal that came without delay."""
    replicas = {known.replica_id: known for known in context.replicas}
    record_refusal(context.replica_health, replicas[head], replicas[name], has_stalled=False)


@when(
    "a head replica of the host's own domain refuses a request at once and names a replica of the second"
)
def refuse_once(context: Any) -> None:
    refuse(context, "a0", "b0")
    assert len(usable(context, "b")) == 8


@when("it refuses another and names one more of them 50 ms later")
def refuse_again(context: Any) -> None:
    context.clock.advance(50.0)
    refuse(context, "a0", "b1")


@then("the whole second domain gets requests again once one answers and 150 ms have passed")
def check_whole_domain(context: Any) -> None:
    context.replica_health.mark_up(named(context, context.probed[0]))
    context.clock.advance(150.0)
    assert len(usable(context, "b")) == 9


@when(
    "a replica of the host's own domain is named in a refusal every 50 ms for 3 s and answers each probe"
)
def refuse_for_a_while(context: Any) -> None:
    context.probes = 0
    context.worked = []
    context.others = []
    for _ in range(60):
        refuse(context, "a0", "a1")
        for key in context.replica_health.due_probes():
            assert key == named(context, "a1")
            context.probes += 1
            context.replica_health.mark_up(key)
        context.clock.advance(50.0)
        context.worked += [name for name in usable(context, "a") if name == "a1"]
        context.others.append(sum(len(usable(context, domain)) for domain in "abc"))


@then("it was probed {count:d} times")
def check_probe_count(context: Any, count: int) -> None:
    assert context.probes == count, context.probes


@then("it got no requests in the 150 ms after each refusal")
def check_passed_over(context: Any) -> None:
    assert context.worked == []


@then("all other replicas got requests all the time")
def check_others_worked(context: Any) -> None:
    assert set(context.others) == {26}, context.others


@when("all replicas of the second and the third domain are unresponsive")
def silence_two(context: Any) -> None:
    for known in context.replicas:
        if known.failure_domain != "a":
            context.replica_health.mark_down(incarnation_of(known), "it can't be connected to")


@then("each of them is probed at least once in 2.5 s")
def check_in_turn(context: Any) -> None:
    probed = set()
    for _ in range(4):
        due = context.replica_health.due_probes()
        probed.update(due)
        for key in due:
            context.replica_health.note_failed_probe(key, "no answer")
        # Unresponsive replicas delay the round by the probe timeout.
        context.clock.advance(600.0)
    assert len(probed) == 18, len(probed)


@when("two replicas of the second domain can't be connected to")
def lose_two(context: Any) -> None:
    for name in ("b0", "b1"):
        context.replica_health.mark_down(named(context, name), "it can't be connected to")


@when("no probe of that domain is answered for 3 s")
def leave_unanswered(context: Any) -> None:
    context.worked = []
    for _ in range(30):
        for key in context.replica_health.due_probes():
            context.replica_health.note_failed_probe(key, "no answer")
        context.clock.advance(100.0)
        context.worked += usable(context, "b")


@then("no replica of that domain has got requests meanwhile")
def check_no_work(context: Any) -> None:
    assert context.worked == [], sorted(set(context.worked))


@then("the other {count:d} of the second domain get requests")
def check_second_work(context: Any, count: int) -> None:
    assert len(usable(context, "b")) == count


@when("all replicas of the third domain are suspected at once")
def suspect_all(context: Any) -> None:
    for known in context.replicas:
        if known.failure_domain == "c":
            context.replica_health.request_probe(incarnation_of(known))


@then("no more than {most:d} are probed in each round until all have been")
def check_rounds(context: Any, most: int) -> None:
    rounds = []
    while due := context.replica_health.due_probes():
        rounds.append(due)
    assert max(len(due) for due in rounds) <= most
    assert sum(len(due) for due in rounds) == 40


@when("two replicas of the first domain can't be connected to")
def lose_own(context: Any) -> None:
    for name in ("a0", "a1"):
        context.replica_health.mark_down(named(context, name), "it can't be connected to")


@then("the other {count:d} of that domain get requests")
def check_own_work(context: Any, count: int) -> None:
    assert len(usable(context, "a")) == count


@then("the loads of 40 replicas take at most 600 bytes and decode to the same within rounding")
def check_packed(context: Any) -> None:
    loads = {f"i-{n:010x}": ReplicaLoad(n, n // 2, n * 12_345.0) for n in range(40)}
    packed = msgspec.msgpack.encode(encode_loads(loads))
    assert len(packed) <= 600, len(packed)
    back = decode_loads(msgspec.msgpack.decode(packed, type=EncodedLoads), loads)
    for name, load in loads.items():
        assert back[name].streams == load.streams
        assert abs(back[name].kv_in_use - load.kv_in_use) <= KV_UNIT / 2


@given("a healthy replica")
def make_beliefs(context: Any) -> None:
    context.clock = ManualClock()
    context.replica_health = create_replica_health(context.clock)
    context.replica = replica("r", "a", "l4", LayerRange(0, 8))


@when("a stream to it breaks")
def break_stream(context: Any) -> None:
    context.replica_health.request_probe(incarnation_of(context.replica))


@then("it is probed and still gets requests")
def check_probed(context: Any) -> None:
    assert context.replica_health.due_probes() == [incarnation_of(context.replica)]
    assert context.replica_health.is_usable(context.replica)
    assert not context.replica_health.is_confirmed_down(context.replica)


@then("it gets no requests once a probe has failed")
def check_silent(context: Any) -> None:
    context.replica_health.note_failed_probe(incarnation_of(context.replica), "no answer")
    assert not context.replica_health.is_usable(context.replica)


@then("its layers count as lost only after that")
def check_lost(context: Any) -> None:
    assert context.replica_health.is_confirmed_down(context.replica)
    other = replica("other", "a", "l4", LayerRange(0, 8))
    context.replica_health.mark_suspect(incarnation_of(other), "requests stall on it")
    assert not context.replica_health.is_usable(other)
    assert not context.replica_health.is_confirmed_down(other)
    context.replica_health.mark_down(incarnation_of(other), "it can't be connected to")
    assert not context.replica_health.is_usable(other)
    assert not context.replica_health.is_confirmed_down(other)


@then("it gets requests again once it answers")
def check_up(context: Any) -> None:
    context.replica_health.mark_up(incarnation_of(context.replica))
    assert context.replica_health.is_usable(context.replica)
    assert not context.replica_health.is_confirmed_down(context.replica)


def make_choice(context: Any, replicas: list[Any]) -> None:
    context.clock = ManualClock()
    replica_health = create_replica_health(context.clock)
    context.ctx = SimpleNamespace(
        view=SimpleNamespace(replicas_of=lambda _service: replicas),
        replica_health=replica_health,
        loads=create_load_table(context.clock),
        failure_domain="a",
        rng=random.Random(context.site.seed),
    )


@given("two replicas of a plain service, one of which fails half of its requests")
def make_failing(context: Any) -> None:
    sound, failing = replica("sound", "a", "", None), replica("failing", "a", "", None)
    make_choice(context, [sound, failing])
    for _ in range(10):
        context.ctx.replica_health.note_result(incarnation_of(failing), False)
        context.ctx.replica_health.note_result(incarnation_of(failing), True)
        context.ctx.replica_health.note_result(incarnation_of(sound), True)


@when("200 requests choose one of them")
def choose_many(context: Any) -> None:
    context.chosen = [choose_replica(context.ctx, "s", set()).replica_id for _ in range(200)]


@then("the failing one gets fewer than 40")
def check_failing(context: Any) -> None:
    assert context.chosen.count("failing") < 40, context.chosen.count("failing")


@given("one replica of a plain service in this failure domain and one in another")
def make_domains(context: Any) -> None:
    make_choice(context, [replica("own", "a", "", None), replica("other", "b", "", None)])


@when("40 requests choose one of them, each ending before the next")
def choose_in_turn(context: Any) -> None:
    context.chosen = [choose_replica(context.ctx, "s", set()).replica_id for _ in range(40)]


@then("all go to the replica in the host's own domain")
def check_own(context: Any) -> None:
    assert set(context.chosen) == {"own"}


@then("of 8 concurrent requests some go to the other replica")
def check_spill(context: Any) -> None:
    chosen = []
    for _ in range(8):
        picked = choose_replica(context.ctx, "s", set())
        chosen.append(picked.replica_id)
        part = PathPart(picked.replica_id, picked.address, LayerRange(0, 1))
        context.ctx.loads.add((part,), 0.0)
    assert "other" in chosen


@when("another host reports that requests stall on it")
def receive_report(context: Any) -> None:
    context.forwarded = []
    context.replica_health.broadcast = lambda incarnation, reason: context.forwarded.append(
        incarnation
    )
    context.replica_health.mark_suspect(
        incarnation_of(context.replica), "requests stall on it", by_peer="other"
    )


@then("it is probed at once and gets no requests until the probe has ended")
def check_suspected(context: Any) -> None:
    assert context.replica_health.due_probes() == [incarnation_of(context.replica)]
    assert not context.replica_health.is_usable(context.replica)
    assert not context.replica_health.is_confirmed_down(context.replica)


@then("the report is not passed on to other hosts")
def check_not_forwarded(context: Any) -> None:
    assert context.forwarded == []


@given("a host that gets expiring load reports from three others in turn")
def make_reported_load_table(context: Any) -> None:
    context.clock = ManualClock()
    context.load_table = create_load_table(context.clock)


@then("after each of 200 reports and pauses the sum is that of the reports that are still valid")
def check_sums(context: Any) -> None:
    rng = random.Random(context.site.seed)
    reports: dict[str, tuple[float, int]] = {}
    for _ in range(200):
        context.clock.advance(rng.choice([0.0, 50.0, 400.0]))
        now_ms = context.clock.now_ms()
        source = rng.choice(["told", "foreign", "rest"])
        streams, ttl_ms = rng.randint(0, 9), rng.choice([100.0, 600.0])
        loads = {"r": ReplicaLoad(streams=streams)}
        if source == "told":
            context.load_table.set_host_loads("h1", loads, ttl_ms)
        elif source == "foreign":
            context.load_table.set_domain_loads("h2", loads, ttl_ms)
        elif rng.random() < 0.3:
            context.load_table.clear_remaining_loads()
            streams = 0
        else:
            context.load_table.set_remaining_loads(loads, ttl_ms)
        reports[source] = (now_ms + ttl_ms, streams)
        for pause_ms in (0.0, 99.0, 2.0):
            context.clock.advance(pause_ms)
            now_ms = context.clock.now_ms()
            expected = sum(count for until_ms, count in reports.values() if until_ms >= now_ms)
            assert context.load_table.total("r").streams == expected, (reports, now_ms)
