"""Steps for slow replicas and overdue first events."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from features.support.engine_fleet import create_engine, replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.first_events import FirstEventTimes
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.path_selection import choose_path
from pimentodale.forwarding.retry_budget_share import create_retry_budget_share
from pimentodale.forwarding.slow_streams import SlowStreamDetector
from pimentodale.forwarding.stream_monitor import OVERDUE_RETRY_FRACTION
from pimentodale.placement.paths import Path
from pimentodale.site.model import BackendService, LayerRange
from pimentodale.site.replica_health import create_replica_health, incarnation_of
from pimentodale.site.slow_replicas import create_slow_replicas

TICK_MS = 100
"""Interval at which a stream is checked."""


@given("a path whose tokens take {token_ms:d} ms, four of them in an event")
def make_path(context: Any, token_ms: int) -> None:
    context.engine = create_engine()
    assert context.engine.tokens_per_event == 4
    context.path = Path((), float(token_ms))
    context.slow_ms = []


def check_events(context: Any, times_ms: list[float], end_ms: int) -> None:
    """Check a stream whose events arrive at the given times."""
    detector = SlowStreamDetector(0.0)
    for now_ms in range(TICK_MS, end_ms, TICK_MS):
        events = sum(time_ms <= now_ms for time_ms in times_ms)
        if detector.is_slow(context.engine, context.path, float(now_ms), events):
            context.slow_ms.append(now_ms - times_ms[0])


@when("its stream gets an event every {pause_ms:d} ms for 5 s")
def time_events(context: Any, pause_ms: int) -> None:
    check_events(context, [float(at) for at in range(50, 5_000, pause_ms)], 5_000)


@when("its stream gets its first event after 3 s and then one every 56 ms")
def time_late_events(context: Any) -> None:
    check_events(context, [float(at) for at in range(3_000, 6_000, 56)], 6_000)


@then("it is never slow")
def check_never_slow(context: Any) -> None:
    assert context.slow_ms == [], context.slow_ms


@then("it is slow within {limit_ms:d} ms")
def check_slow(context: Any, limit_ms: int) -> None:
    assert context.slow_ms, "it was never slow"
    assert context.slow_ms[0] <= limit_ms, context.slow_ms


@given("a host that knows no slow replica")
def make_host(context: Any) -> None:
    context.clock = ManualClock()
    context.slow_replicas = create_slow_replicas(context.clock)


@when(
    "a stream on a path of {count:d} replicas is slow every 100 ms for 10 s and none reports to be slow"
)
def report_slow_stream(context: Any, count: int) -> None:
    members = [replica(f"r{number}", "a", "l4", LayerRange(0, 8)) for number in range(count)]
    context.asked = {known.replica_id: 0 for known in members}
    for _ in range(100):
        for known in context.slow_replicas.begin_search(members):
            context.asked[known.replica_id] += 1
            context.slow_replicas.note(incarnation_of(known), 1.0)
        context.clock.advance(100.0)


@then("each of them was asked {count:d} times")
def check_asked(context: Any, count: int) -> None:
    assert set(context.asked.values()) == {count}, context.asked


@given("two replicas of one kind that hold all layers, and a host that sends streams to them")
def make_pair(context: Any) -> None:
    context.clock = ManualClock()
    engine = create_engine()
    whole = LayerRange(0, engine.layers)
    context.replicas = [replica(name, "a", "unknown", whole) for name in ("first", "second")]
    context.service = BackendService("s", "/health", 0, engine)
    context.ctx = SimpleNamespace(
        clock=context.clock,
        view=SimpleNamespace(replicas_of=lambda _service: context.replicas),
        replica_health=create_replica_health(context.clock),
        slow_replicas=create_slow_replicas(context.clock),
        loads=create_load_table(context.clock),
        failure_domain="a",
    )


def send_streams(context: Any, count: int) -> dict[str, int]:
    """Send streams that do not end, one after the other; return how many each replica got."""
    sent = dict.fromkeys(("first", "second"), 0)
    for _ in range(count):
        path = choose_path(context.ctx, context.service, 900.0, ())
        assert path is not None
        context.ctx.loads.add(path.parts, 900.0)
        sent[path.parts[0].replica_id] += 1
    return sent


@when("one of them reports a pace of {pace:d}")
@when("it reports a pace of {pace:d} again")
def report_pace(context: Any, pace: int) -> None:
    context.ctx.slow_replicas.note(incarnation_of(context.replicas[0]), float(pace))


@then("all of {count:d} streams go to the other one")
def check_other(context: Any, count: int) -> None:
    assert send_streams(context, count) == {"first": 0, "second": count}


@then("both get some of {count:d} streams")
def check_both(context: Any, count: int) -> None:
    assert min(send_streams(context, count).values()) > 0


@given("two hosts that report slow replicas to each other")
def make_two_hosts(context: Any) -> None:
    context.clock = ManualClock()
    context.slow = replica("slow", "a", "l4", LayerRange(0, 8))
    context.hosts = [create_slow_replicas(context.clock) for _ in range(2)]
    for number, host in enumerate(context.hosts):
        other = context.hosts[1 - number]
        host.broadcast = lambda key, pace, other=other: other.note_peer_report(key, pace, "host")


@when("the first one finds a replica slow")
def find_slow(context: Any) -> None:
    context.hosts[0].note(incarnation_of(context.slow), 5.0)


@when("both find a replica slow before they receive each other's report")
def find_slow_together(context: Any) -> None:
    broadcasts = [host.broadcast for host in context.hosts]
    key = incarnation_of(context.slow)
    for host in context.hosts:
        host.broadcast = lambda _key, _pace: None
        host.note(key, 5.0)
    for host, broadcast in zip(context.hosts, broadcasts, strict=True):
        host.broadcast = broadcast
        broadcast(key, 5.0)


@then("both consider it slow for 10 s, and the two ask it {most:d} times at most")
def check_shared_rechecks(context: Any, most: int) -> None:
    asked = recheck_for_10_s(context)
    assert 8 <= sum(asked) <= most, asked


@then("both consider it slow for 10 s, and only the first one asks it, {few:d} or {many:d} times")
def check_rechecks(context: Any, few: int, many: int) -> None:
    asked = recheck_for_10_s(context)
    assert asked[1] == 0
    assert few <= asked[0] <= many, asked


def recheck_for_10_s(context: Any) -> list[int]:
    """Return how often each host rechecks a replica that stays slow."""
    asked = [0, 0]
    for _ in range(100):
        context.clock.advance(100.0)
        for number, host in enumerate(context.hosts):
            for key in host.due_rechecks():
                asked[number] += 1
                host.note(key, 5.0)
            assert host.slowness(context.slow) == 5.0
    return asked


@then("neither considers it slow as soon as it reports a pace of 1")
def check_pace_again(context: Any) -> None:
    context.hosts[0].note(incarnation_of(context.slow), 1.0)
    assert [host.slowness(context.slow) for host in context.hosts] == [1.0, 1.0]


@then("the second one drops the report 2.5 s after the last one from the first")
def check_forgotten(context: Any) -> None:
    context.hosts[0].note(incarnation_of(context.slow), 5.0)
    context.clock.advance(2_400.0)
    assert context.hosts[1].slowness(context.slow) == 5.0
    context.clock.advance(200.0)
    assert context.hosts[1].slowness(context.slow) == 1.0


@given("a head replica whose last {count:d} first events took {usual_ms:d} ms")
def make_times(context: Any, count: int, usual_ms: int) -> None:
    context.times = FirstEventTimes()
    for _ in range(count):
        context.times.note("head", float(usual_ms))
        context.times.note("another", 1.0)


@when("a stream has waited {waited_ms:d} ms for its first event, at a target of {target_ms:d} ms")
def wait_for_event(context: Any, waited_ms: int, target_ms: int) -> None:
    overdue_ms = context.times.overdue_ms("head", float(target_ms))
    context.is_overdue = overdue_ms is not None and waited_ms >= overdue_ms


@then("it is overdue")
def check_overdue(context: Any) -> None:
    assert context.is_overdue


@then("it is not overdue")
def check_not_overdue(context: Any) -> None:
    assert not context.is_overdue


@given("a host whose share of the retry budget is 40")
def make_share(context: Any) -> None:
    context.share = create_retry_budget_share(ManualClock(), 0.0, 50.0, 10_000.0, lambda: 1)


@when("overdue streams are sent again as long as the budget allows")
def spend_half(context: Any) -> None:
    context.resent = 0
    while context.share.has_budget("s", OVERDUE_RETRY_FRACTION):
        assert context.share.try_spend("s")
        context.resent += 1


@then("{count:d} of them were sent again")
def check_resent(context: Any, count: int) -> None:
    assert context.resent == count, context.resent


@then("{count:d} streams that lost a replica can still be sent again")
def check_left(context: Any, count: int) -> None:
    left = 0
    while context.share.try_spend("s"):
        left += 1
    assert left == count, left
