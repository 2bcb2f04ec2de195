"""Steps for the decisions of forwarding."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from features.support.engine_fleet import replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.event_stream import EventSplitter, follows
from pimentodale.forwarding.loads import ReplicaLoad, create_load_board
from pimentodale.forwarding.plain import choose_replica
from pimentodale.forwarding.poison import create_poison_strikes, fingerprint_of
from pimentodale.forwarding.retry_share import create_retry_share
from pimentodale.forwarding.route_table import RouteTable
from pimentodale.gateway.sharing import KV_UNIT, pack_loads, unpack_loads
from pimentodale.placement.messages import PathPart
from pimentodale.site.beliefs import create_replica_beliefs, incarnation_of
from pimentodale.site.model import LayerRange, Repeatability, RouteRule, ServiceShare

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


@then("200 random cuts of a stream give the same events, and a part of an event is kept back")
def check_cuts(context: Any) -> None:
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


@then('event "4" follows "3", and neither "3" nor "5" does')
def check_follows(context: Any) -> None:
    assert follows("4", "3")
    assert not follows("3", "3")
    assert not follows("5", "3")


@given("6 hosts with the bound of 0.2 for each request and 196 besides in 10 s")
def make_shares(context: Any) -> None:
    context.clock = ManualClock()
    context.shares = [
        create_retry_share(context.clock, 0.2, 196, 10_000.0, lambda: 6) for _ in range(6)
    ]


@when("each gets 50 requests and wants to repeat without end for 30 s")
def spend(context: Any) -> None:
    context.repeats = []
    for step in range(300):
        for share in context.shares:
            if step % 30 == 0:
                for _ in range(5):
                    share.note_request("s")
            for _ in range(5):
                if share.try_spend("s"):
                    context.repeats.append(context.clock.now_ms())
        context.clock.advance(100.0)


@then("in no 10 s the service gets more repeats than the bound allows")
def check_bound(context: Any) -> None:
    for start_ms in context.repeats:
        count = sum(1 for at_ms in context.repeats if start_ms <= at_ms < start_ms + 10_000.0)
        # At most 6 x 20 requests fall in any window.
        assert count <= 0.2 * 120 + 196, count


@given("two hosts that tell each other of crashes")
def make_strikes(context: Any) -> None:
    clock = ManualClock(1_000.0)
    context.strikes = [create_poison_strikes(clock), create_poison_strikes(clock)]
    first, second = context.strikes
    first.tell = lambda request, crash: second.strike(request, crash, by_peer=True)
    second.tell = lambda request, crash: first.strike(request, crash, by_peer=True)
    context.poison = fingerprint_of("/p", "w", b"poison")
    context.innocent = fingerprint_of("/p", "w", b"innocent")


@when("a request is running at three crashes, seen by either host")
def crash_three(context: Any) -> None:
    for number in range(3):
        host = context.strikes[number % 2]
        host.strike(context.poison, f"replica-{number}")
        if number < 2:
            host.strike(context.innocent, f"replica-{number}")


@then("both hosts refuse it")
def check_refused(context: Any) -> None:
    assert all(host.is_convicted(context.poison) for host in context.strikes)


@then("a request that was running at two of them is still served")
def check_innocent(context: Any) -> None:
    assert not any(host.is_convicted(context.innocent) for host in context.strikes)


@when("both hosts see the same crash three times")
def crash_same(context: Any) -> None:
    for _ in range(3):
        for host in context.strikes:
            host.strike(context.poison, "replica-0")


@then("neither refuses the request")
def check_not_refused(context: Any) -> None:
    assert not any(host.is_convicted(context.poison) for host in context.strikes)


@given("a host that was told of 5 requests at a replica and has 2 of its own")
def make_board(context: Any) -> None:
    context.clock = ManualClock()
    context.board = create_load_board(context.clock)
    part = PathPart("r", replica("r", "a", "l4", None).address, LayerRange(0, 1))
    context.board.take_told("other", {"r": ReplicaLoad(streams=5)})
    for _ in range(2):
        context.board.add((part,), 1.0)


@then("the replica counts 7 requests at once and 2 after 2 s")
def check_board(context: Any) -> None:
    assert context.board.total("r").streams == 7
    context.clock.advance(2_000.0)
    assert context.board.total("r").streams == 2


@then("the loads of 40 replicas take at most 600 bytes and decode to the same within rounding")
def check_packed(context: Any) -> None:
    loads = {f"i-{n:010x}": ReplicaLoad(n, n // 2, n * 12_345.0) for n in range(40)}
    packed = pack_loads(loads)
    assert len(packed) <= 600, len(packed)
    back = unpack_loads(packed, loads)
    for name, load in loads.items():
        assert back[name].streams == load.streams
        assert abs(back[name].kv_in_use - load.kv_in_use) <= KV_UNIT / 2


@given("a replica that is thought well of")
def make_beliefs(context: Any) -> None:
    context.clock = ManualClock()
    context.beliefs = create_replica_beliefs(context.clock)
    context.replica = replica("r", "a", "l4", LayerRange(0, 8))


@when("a stream breaks off at it")
def break_stream(context: Any) -> None:
    context.beliefs.suspect(incarnation_of(context.replica))


@then("it is probed and keeps its work")
def check_probed(context: Any) -> None:
    assert context.beliefs.due_probes() == [incarnation_of(context.replica)]
    assert context.beliefs.is_usable(context.replica)
    assert not context.beliefs.is_lost(context.replica)


@then("it gets none once a probe went without an answer")
def check_silent(context: Any) -> None:
    context.beliefs.note_silent_probe(incarnation_of(context.replica), "no answer")
    assert not context.beliefs.is_usable(context.replica)


@then("its layers count as lost only then")
def check_lost(context: Any) -> None:
    assert context.beliefs.is_lost(context.replica)
    other = replica("other", "a", "l4", LayerRange(0, 8))
    context.beliefs.doubt(incarnation_of(other), "requests stall on it")
    assert not context.beliefs.is_usable(other)
    assert not context.beliefs.is_lost(other)
    context.beliefs.mark_down(incarnation_of(other), "it can't be connected to")
    assert not context.beliefs.is_usable(other)
    assert not context.beliefs.is_lost(other)


@then("it gets work again once it answers")
def check_up(context: Any) -> None:
    context.beliefs.mark_up(incarnation_of(context.replica))
    assert context.beliefs.is_usable(context.replica)
    assert not context.beliefs.is_lost(context.replica)


def make_choice(context: Any, replicas: list[Any]) -> None:
    context.clock = ManualClock()
    beliefs = create_replica_beliefs(context.clock)
    context.means = SimpleNamespace(
        view=SimpleNamespace(replicas_of=lambda _service: replicas),
        beliefs=beliefs,
        loads=create_load_board(context.clock),
        failure_domain="a",
        rng=random.Random(context.site.seed),
    )


@given("two replicas of a plain service, one of which fails half of its answers")
def make_failing(context: Any) -> None:
    sound, failing = replica("sound", "a", "", None), replica("failing", "a", "", None)
    make_choice(context, [sound, failing])
    for _ in range(10):
        context.means.beliefs.note_result(incarnation_of(failing), False)
        context.means.beliefs.note_result(incarnation_of(failing), True)
        context.means.beliefs.note_result(incarnation_of(sound), True)


@when("200 requests choose one of them")
def choose_many(context: Any) -> None:
    context.chosen = [choose_replica(context.means, "s", set()).replica_id for _ in range(200)]


@then("the failing one gets fewer than 40")
def check_failing(context: Any) -> None:
    assert context.chosen.count("failing") < 40, context.chosen.count("failing")


@given("one replica of a plain service in this failure domain and one in another")
def make_domains(context: Any) -> None:
    make_choice(context, [replica("own", "a", "", None), replica("other", "b", "", None)])


@when("40 requests choose one of them, each ending before the next")
def choose_in_turn(context: Any) -> None:
    context.chosen = [choose_replica(context.means, "s", set()).replica_id for _ in range(40)]


@then("all go to the own one")
def check_own(context: Any) -> None:
    assert set(context.chosen) == {"own"}


@then("of 8 at once some go to the other one")
def check_spill(context: Any) -> None:
    chosen = []
    for _ in range(8):
        picked = choose_replica(context.means, "s", set())
        chosen.append(picked.replica_id)
        part = PathPart(picked.replica_id, picked.address, LayerRange(0, 1))
        context.means.loads.add((part,), 0.0)
    assert "other" in chosen


@when("another host tells that requests stall on it")
def be_told(context: Any) -> None:
    context.told = []
    context.beliefs.tell = lambda incarnation, reason: context.told.append(incarnation)
    context.beliefs.doubt(incarnation_of(context.replica), "requests stall on it", by_peer="other")


@then("it is probed at once and gets no work until the probe has ended")
def check_doubted(context: Any) -> None:
    assert context.beliefs.due_probes() == [incarnation_of(context.replica)]
    assert not context.beliefs.is_usable(context.replica)
    assert not context.beliefs.is_lost(context.replica)


@then("the word is not told on")
def check_not_told(context: Any) -> None:
    assert context.told == []
