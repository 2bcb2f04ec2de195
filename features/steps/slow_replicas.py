"""Steps for slow replicas and overdue first events."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from features.support.engine_fleet import create_engine, replica

from pimentodale.clock import ManualClock
from pimentodale.forwarding.first_events import FirstEventTimes
from pimentodale.forwarding.loads import create_load_board
from pimentodale.forwarding.retry_share import create_retry_share
from pimentodale.forwarding.slow_paths import CrawlWatch
from pimentodale.forwarding.stages import choose_path
from pimentodale.forwarding.stream_watch import RESENDS_FRACTION
from pimentodale.placement.paths import Path
from pimentodale.site.beliefs import create_replica_beliefs, incarnation_of
from pimentodale.site.model import BackendService, LayerRange
from pimentodale.site.paces import create_replica_paces

TICK_MS = 100
"""How often a stream is looked at."""


@given("a path whose tokens take {token_ms:d} ms, four of them in an event")
def make_path(context: Any, token_ms: int) -> None:
    context.engine = create_engine()
    assert context.engine.tokens_per_event == 4
    context.path = Path((), float(token_ms))
    context.crawled_ms = []


def watch_events(context: Any, times_ms: list[float], end_ms: int) -> None:
    """Look at a stream whose events come at the given times."""
    watch = CrawlWatch(0.0)
    for now_ms in range(TICK_MS, end_ms, TICK_MS):
        events = sum(time_ms <= now_ms for time_ms in times_ms)
        if watch.crawls(context.engine, context.path, float(now_ms), events):
            context.crawled_ms.append(now_ms - times_ms[0])


@when("its stream gets an event every {pause_ms:d} ms for 5 s")
def pass_events(context: Any, pause_ms: int) -> None:
    watch_events(context, [float(at) for at in range(50, 5_000, pause_ms)], 5_000)


@when("its stream gets its first event after 3 s and then one every 56 ms")
def pass_late_events(context: Any) -> None:
    watch_events(context, [float(at) for at in range(3_000, 6_000, 56)], 6_000)


@then("it never crawls")
def check_no_crawl(context: Any) -> None:
    assert context.crawled_ms == [], context.crawled_ms


@then("it crawls within {limit_ms:d} ms")
def check_crawl(context: Any, limit_ms: int) -> None:
    assert context.crawled_ms, "it never crawled"
    assert context.crawled_ms[0] <= limit_ms, context.crawled_ms


@given("a host that knows of no slow replica")
def make_host(context: Any) -> None:
    context.clock = ManualClock()
    context.paces = create_replica_paces(context.clock)


@when(
    "a stream on a path of {count:d} replicas crawls every 100 ms for 10 s and none reports to be slow"
)
def crawl(context: Any, count: int) -> None:
    members = [replica(f"r{number}", "a", "l4", LayerRange(0, 8)) for number in range(count)]
    context.asked = {known.replica_id: 0 for known in members}
    for _ in range(100):
        for known in context.paces.begin_search(members):
            context.asked[known.replica_id] += 1
            context.paces.note(incarnation_of(known), 1.0)
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
    context.means = SimpleNamespace(
        clock=context.clock,
        view=SimpleNamespace(replicas_of=lambda _service: context.replicas),
        beliefs=create_replica_beliefs(context.clock),
        paces=create_replica_paces(context.clock),
        loads=create_load_board(context.clock),
        failure_domain="a",
    )


def send_streams(context: Any, count: int) -> dict[str, int]:
    """Send streams one after the other, all of which last; return how many each replica got."""
    sent = dict.fromkeys(("first", "second"), 0)
    for _ in range(count):
        path = choose_path(context.means, context.service, 900.0, ())
        assert path is not None
        context.means.loads.add(path.parts, 900.0)
        sent[path.parts[0].replica_id] += 1
    return sent


@when("one of them reports a pace of {pace:d}")
@when("it reports a pace of {pace:d} again")
def report_pace(context: Any, pace: int) -> None:
    context.means.paces.note(incarnation_of(context.replicas[0]), float(pace))


@then("all of {count:d} streams go to the other one")
def check_other(context: Any, count: int) -> None:
    assert send_streams(context, count) == {"first": 0, "second": count}


@then("both get some of {count:d} streams")
def check_both(context: Any, count: int) -> None:
    assert min(send_streams(context, count).values()) > 0


@given("two hosts that tell each other of slow replicas")
def make_two_hosts(context: Any) -> None:
    context.clock = ManualClock()
    context.slow = replica("slow", "a", "l4", LayerRange(0, 8))
    context.hosts = [create_replica_paces(context.clock) for _ in range(2)]
    for number, host in enumerate(context.hosts):
        other = context.hosts[1 - number]
        host.tell = lambda key, pace, other=other: other.take_told(key, pace, "host")


@when("the first one finds a replica slow")
def find_slow(context: Any) -> None:
    context.hosts[0].note(incarnation_of(context.slow), 5.0)


@when("both find a replica slow before they hear of each other")
def find_slow_together(context: Any) -> None:
    tells = [host.tell for host in context.hosts]
    key = incarnation_of(context.slow)
    for host in context.hosts:
        host.tell = lambda _key, _pace: None
        host.note(key, 5.0)
    for host, tell in zip(context.hosts, tells, strict=True):
        host.tell = tell
        tell(key, 5.0)


@then("both hold it for slow for 10 s, and the two ask it {most:d} times at most")
def check_shared_rechecks(context: Any, most: int) -> None:
    asked = recheck_for_10_s(context)
    assert 8 <= sum(asked) <= most, asked


@then("both hold it for slow for 10 s, and only the first one asks it, {few:d} or {many:d} times")
def check_rechecks(context: Any, few: int, many: int) -> None:
    asked = recheck_for_10_s(context)
    assert asked[1] == 0
    assert few <= asked[0] <= many, asked


def recheck_for_10_s(context: Any) -> list[int]:
    """Return how often each host asked a replica that stays slow."""
    asked = [0, 0]
    for _ in range(100):
        context.clock.advance(100.0)
        for number, host in enumerate(context.hosts):
            for key in host.due_rechecks():
                asked[number] += 1
                host.note(key, 5.0)
            assert host.slowness(context.slow) == 5.0
    return asked


@then("neither holds it for slow at once when it reports a pace of 1")
def check_pace_again(context: Any) -> None:
    context.hosts[0].note(incarnation_of(context.slow), 1.0)
    assert [host.slowness(context.slow) for host in context.hosts] == [1.0, 1.0]


@then("the second one forgets the word 2.5 s after the first one fell silent")
def check_forgotten(context: Any) -> None:
    context.hosts[0].note(incarnation_of(context.slow), 5.0)
    context.clock.advance(2_400.0)
    assert context.hosts[1].slowness(context.slow) == 5.0
    context.clock.advance(200.0)
    assert context.hosts[1].slowness(context.slow) == 1.0


@given("a first replica whose last {count:d} first events took {usual_ms:d} ms")
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


@given("a host whose share of repeats is 40")
def make_share(context: Any) -> None:
    context.share = create_retry_share(ManualClock(), 0.0, 50.0, 10_000.0, lambda: 1)


@when("overdue streams are sent once more as long as they may")
def spend_half(context: Any) -> None:
    context.resent = 0
    while context.share.has_left("s", RESENDS_FRACTION):
        assert context.share.try_spend("s")
        context.resent += 1


@then("{count:d} of them were")
def check_resent(context: Any, count: int) -> None:
    assert context.resent == count, context.resent


@then("{count:d} streams that lost a replica can still be sent once more")
def check_left(context: Any, count: int) -> None:
    left = 0
    while context.share.try_spend("s"):
        left += 1
    assert left == count, left
