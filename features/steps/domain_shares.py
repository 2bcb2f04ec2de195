"""Steps for the shares of streams that leave their failure domain."""

from __future__ import annotations

import random
import statistics
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, Final
from unittest.mock import patch

from behave import given, then, when
from features.steps.placement import create_large_site
from features.support.domain_model import (
    IDLE_TOKEN_MS,
    TARGET_TOKEN_MS,
    LinkModel,
    ModelDomain,
    choose_by_threshold,
    create_model,
)
from features.support.engine_fleet import create_small_engine, replica
from features.support.load_fakes import LoadNetwork

from pimentodale.forwarding import domain_choice, path_selection
from pimentodale.forwarding.domain_choice import MIN_LOGGED_CHANGE, find_closed_links
from pimentodale.forwarding.load_table import ReplicaLoad, entry_key, hosts_key, link_key
from pimentodale.forwarding.path_selection import FULL_SEARCH_REPLICAS, choose_path, domain_of
from pimentodale.placement.domain_shares import (
    SLOT_FILL,
    DomainShare,
    DomainState,
    Pair,
    update_shares,
)
from pimentodale.placement.messages import PathPart
from pimentodale.placement.paths import PathRequirements, StageLoad, find_path
from pimentodale.site.model import LayerRange

SEED: Final = 20261206

DISPERSION: Final = 1.5
"""Variance of the streams in a domain by their mean: 1 for random arrivals without any feedback, and
a tolerance for a sample of 50 s."""

DOMAINS: Final = ("a", "b", "c")


@given("the states of 3,000 sites drawn at random")
def draw_sites(context: Any) -> None:
    rng = random.Random(SEED)
    context.sites = []
    for _ in range(3_000):
        states: dict[str, DomainState] = {}
        capacities: dict[str, float] = {}
        for name in DOMAINS:
            slots = float(rng.choice((96, 192)))
            target_streams = rng.uniform(0.3, 1.5) * slots
            in_use = rng.uniform(0.1, 1.0) * slots
            slope_ms = (TARGET_TOKEN_MS - IDLE_TOKEN_MS) / target_streams
            token_ms: float | None = IDLE_TOKEN_MS + slope_ms * in_use
            demand = rng.uniform(0.0, 1.5) * slots
            capacities[name] = min(target_streams, SLOT_FILL * slots)
            is_lost = rng.random() < 0.1
            if is_lost:
                token_ms, capacities[name] = None, 0.0
            idle_ms = None if is_lost else IDLE_TOKEN_MS
            states[name] = DomainState(idle_ms, token_ms, in_use, slots, demand)
        previous = {
            (home, other): DomainShare(rng.uniform(0.0, 0.5), "drawn")
            for home in DOMAINS
            for other in DOMAINS
            if home != other
        }
        context.sites.append((states, capacities, previous))


@when("the shares of each are updated")
def update_each(context: Any) -> None:
    context.first, context.later = [], []
    for states, _, previous in context.sites:
        context.first.append(update_shares(states, {}, TARGET_TOKEN_MS))
        context.later.append(update_shares(states, previous, TARGET_TOKEN_MS))


@then("domains that serve their demand in time keep all of it")
def check_kept(context: Any) -> None:
    checked = 0
    for (states, capacities, previous), first, later in zip(
        context.sites, context.first, context.later, strict=True
    ):
        for pair, share in first.items():
            if max(1.0, states[pair[0]].demand) > capacities[pair[0]] - 1e-6:
                continue
            checked += 1
            assert share.value == 0.0, (pair, share, states)
            assert later[pair].value < previous[pair].value, (pair, later[pair], states)
    assert checked > 1_000, checked


@then("no share leads to a domain with less free capacity")
def check_less_free(context: Any) -> None:
    for (states, capacities, _), *both in zip(
        context.sites, context.first, context.later, strict=True
    ):
        free = {name: max(0.0, capacities[name] - states[name].demand) for name in states}
        for (home, other), share in (item for shares in both for item in shares.items()):
            if share.value > 0:
                assert free[other] >= free[home] - 1e-6, (home, other, share, states)


@then("no domain is sent more than its free capacity at first")
def check_sent(context: Any) -> None:
    sending = 0
    for (states, capacities, _), shares in zip(context.sites, context.first, strict=True):
        for other in states:
            sent = sum(
                share.value * max(1.0, states[home].demand)
                for (home, target), share in shares.items()
                if target == other
            )
            sending += sent > 0
            assert sent <= max(0.0, capacities[other] - states[other].demand) + 1e-6, states
    assert sending > 500, sending


@given(
    "72 hosts whose reports are 500 ms old, and {a:d}, {b:d} and {c:d} streams a second by domain"
)
def make_model(context: Any, a: int, b: int, c: int) -> None:
    domains = {
        name: ModelDomain(96.0, 80.0, float(rate))
        for name, rate in zip(DOMAINS, (a, b, c), strict=True)
    }
    context.model = create_model(domains, SEED)


@given("they leave their domain whenever a token takes longer than the target")
def leave_at_threshold(context: Any) -> None:
    context.model.choose = choose_by_threshold


@given("domain a has no copy of the model from {start:d} s to {end:d} s")
def lose_copy(context: Any, start: int, end: int) -> None:
    context.model.events = [(start * 1_000.0, "a", True), (end * 1_000.0, "a", False)]


@when("the site runs for {seconds:d} s")
def play_model(context: Any, seconds: int) -> None:
    context.model.play(seconds * 1_000.0)


def dispersion(context: Any) -> float:
    """Return the variance of the streams in domain a by their mean."""
    streams = context.model.in_use("a")
    return statistics.variance(streams) / statistics.mean(streams)


@then("the streams of the busiest domain vary no more than random arrivals make them")
def check_steady(context: Any) -> None:
    assert dispersion(context) <= DISPERSION, dispersion(context)


@then("the streams of the busiest domain vary more than that")
def check_unsteady(context: Any) -> None:
    assert dispersion(context) > DISPERSION, dispersion(context)


@then("the streams that leave are at most 1.1 times the least")
def check_least(context: Any) -> None:
    model = context.model
    assert 0 < model.crossing() <= 1.1 * model.least_crossing(), (
        model.crossing(),
        model.least_crossing(),
    )


@then("all streams of domain a leave it from {start:d} s to {end:d} s")
def check_left(context: Any, start: int, end: int) -> None:
    for time_ms in range(start * 1_000, end * 1_000, 250):
        share = context.model.left_share("a", time_ms + 1.0)
        # The others have room for 80 each and a demand of 45, so at most 70 of about 68 fit.
        assert share >= 0.8, (time_ms, share)


@then("no stream of domain a leaves it from {start:d} s on")
def check_returned(context: Any, start: int) -> None:
    for time_ms in range(start * 1_000, 30_000, 250):
        share = context.model.left_share("a", time_ms + 1.0)
        assert share == 0.0, (time_ms, share)


@given("a domain that sends streams to two others")
def make_sending(context: Any) -> None:
    busy = DomainState(IDLE_TOKEN_MS, 2 * TARGET_TOKEN_MS, 90.0, 96.0, 120.0)
    idle = DomainState(IDLE_TOKEN_MS, IDLE_TOKEN_MS, 0.0, 96.0, 0.0)
    context.states = {"a": busy, "b": idle, "c": idle}
    context.shares: dict[Pair, DomainShare] = {}
    for _ in range(20):
        context.shares = update_shares(context.states, context.shares, TARGET_TOKEN_MS)
    assert context.shares["a", "b"].value > 0.1, context.shares


@when("one of these falls silent and the other has no path")
def fall_silent(context: Any) -> None:
    del context.states["b"]
    context.states["c"] = replace(context.states["c"], token_ms=None)
    context.shares = update_shares(context.states, context.shares, TARGET_TOKEN_MS)


@then("no stream is sent to either")
def check_none_sent(context: Any) -> None:
    assert all(share.value == 0 for share in context.shares.values()), context.shares


@given(
    "a host of a large site of {count:d} failure domains whose own domain is full and all hosts "
    "report"
)
def make_full_site(context: Any, count: int) -> None:
    context.host_state, context.service = create_large_site(count, full=set("a"))
    loads = context.host_state.loads
    loads.home = "a"
    context.full = loads.total_excluding("")
    report_hosts(context, "bc")


def report_hosts(context: Any, domains: str) -> None:
    """Have the hosts of some other domains report."""
    hosts = {hosts_key(domain): ReplicaLoad(24) for domain in domains}
    context.host_state.loads.set_remaining_loads({**context.full, **hosts}, 1e9)


@when("it chooses {count:d} paths")
def choose_several(context: Any, count: int) -> None:
    for _ in range(count):
        assert choose_path(context.host_state, context.service, 900.0, ()) is not None


@then("both other domains have a share")
def check_both(context: Any) -> None:
    shares = context.host_state.domain_choice.list_shares()
    assert shares["a", "b"] >= MIN_LOGGED_CHANGE, shares
    assert shares["a", "c"] >= MIN_LOGGED_CHANGE, shares


@when("domain b reports no longer and 250 ms pass")
def stop_reports(context: Any) -> None:
    report_hosts(context, "c")
    context.host_state.clock.advance(250.0)
    # Loggers that were used before may be cached, so that capturing the lines misses them.
    with patch.object(domain_choice, "_log") as log:
        choose_several(context, 1)
    context.lines = [call.kwargs for call in log.info.call_args_list]


@then("only domain c has a share, which is logged")
def check_one(context: Any) -> None:
    shares = context.host_state.domain_choice.list_shares()
    assert shares.get(("a", "b"), 0.0) == 0.0, shares
    assert shares["a", "c"] > 0, shares
    lines = [line for line in context.lines if line.get("to") == "b"]
    assert [(line["share"], line["reason"]) for line in lines] == [
        (0.0, "no reports from there")
    ], context.lines


@given("one of 72 hosts that knows only its own streams, and whose domain has no path")
def make_lone_host(context: Any) -> None:
    idle = DomainState(IDLE_TOKEN_MS, IDLE_TOKEN_MS, 0.0, 96.0, 0.0)
    lost = DomainState(None, None, 0.0, 96.0, 40.0)
    context.states = {"a": lost, "b": idle, "c": idle}


@when("its shares are updated")
def update_lone(context: Any) -> None:
    context.shares = update_shares(context.states, {}, TARGET_TOKEN_MS, 0.0, 1 / 72)


@then("it sends at most a 72nd of the free capacity")
def check_part(context: Any) -> None:
    sent = sum(share.value for share in context.shares.values()) * context.states["a"].demand
    assert 0 < sent <= 2 * 96 / 72, sent


@given("72 hosts with {rate:d} streams a second that would cross a link for {transfer:d} ms each")
def make_link(context: Any, rate: int, transfer: int) -> None:
    context.link = LinkModel(float(transfer), 0.0, float(rate), random.Random(SEED))


@when("they fill it to {fill:f} for 60 s with reports that are 500 ms old")
def fill_link(context: Any, fill: float) -> None:
    context.link.fill = fill
    context.link.play(60_000.0)


@then("it is never busy for over 0.9 of its time, and some streams cross")
def check_link(context: Any) -> None:
    assert context.link.busiest <= 0.9, context.link.busiest
    assert context.link.crossed > 50, context.link.crossed


@given(
    "{count:d} failure domains of {hosts:d} hosts, each with one stream that crosses from d0 to d1"
)
def make_crossing_hosts(context: Any, count: int, hosts: int) -> None:
    context.network = LoadNetwork()
    context.parts = tuple(
        PathPart(name, replica(name, "", "fast", None).address, LayerRange(first, first + 4))
        for name, first in (("r0", 0), ("r1", 4))
    )
    context.domains = {"r0": "d0", "r1": "d1"}
    for domain in range(count):
        for number in range(hosts):
            host = f"d{domain}-h{number}"
            context.network.add_host(host)
            board = context.network.exchanges[host].board
            board.home = f"d{domain}"
            board.domain_of = lambda replica_id: context.domains.get(replica_id, "")
            board.add(context.parts, 10.0)


def counts(context: Any) -> set[tuple[int, ...]]:
    """Return the counts of streams by domain that hosts know."""
    keys = (
        link_key("d0", "d1"),
        entry_key("d1", "d0"),
        entry_key("d2", "d0"),
        link_key("d0", "d2"),
    )
    boards = [exchange.board for exchange in context.network.exchanges.values()]
    return {tuple(board.total(key).streams for key in keys) for board in boards}


@then("every host counts 24 streams on that link, and 8 each that entered d0 from d1 and d2")
def check_counts(context: Any) -> None:
    assert counts(context) == {(24, 8, 8, 0)}, counts(context)


@then("none are left when all of them have ended, even if the replicas were removed before")
def check_ended(context: Any) -> None:
    context.domains.clear()
    for exchange in context.network.exchanges.values():
        exchange.board.remove(context.parts, 10.0)
    context.network.pass_rounds(4)
    assert counts(context) == {(0, 0, 0, 0)}, counts(context)


@given("a model whose halves are held in two failure domains")
def make_halves(context: Any) -> None:
    context.engine = create_small_engine()
    context.stages = [
        StageLoad(replica("first", "a", "large", LayerRange(0, 4))),
        StageLoad(replica("second", "b", "large", LayerRange(4, 8))),
        StageLoad(replica("spare", "a", "large", LayerRange(0, 4))),
    ]


@then("a new path exists while the link is open and none while it is closed")
def check_closed(context: Any) -> None:
    for closed, has_path in (((), True), ((("a", "b"),), False), ((("a", "c"),), True)):
        requirements = PathRequirements("a", 10.0, closed_links=frozenset(closed))
        found = find_path(context.engine, context.stages, requirements)
        assert (found is not None) == has_path, (closed, found)


@then("a path that is moved keeps its part beyond the closed link")
def check_kept_part(context: Any) -> None:
    kept = tuple(
        PathPart(stage.record.replica_id, stage.record.address, stage.record.held)
        for stage in context.stages[:2]
        if stage.record.held is not None
    )
    requirements = PathRequirements("a", 10.0, (), kept, None, frozenset({("a", "b")}))
    found = find_path(context.engine, context.stages, requirements)
    assert found is not None
    assert found.parts == kept, found


@given("a host of a large site of {count:d} failure domains that are idle")
def make_large_site(context: Any, count: int) -> None:
    context.host_state, context.service = create_large_site(count, full=set())


@when("it chooses {count:d} paths within one update interval")
def choose_paths(context: Any, count: int) -> None:
    with (
        patch.object(path_selection, "find_path", wraps=find_path) as searches,
        patch.object(domain_choice, "find_path", wraps=find_path) as update_searches,
    ):
        context.paths = [
            choose_path(context.host_state, context.service, 900.0, ()) for _ in range(count)
        ]
    context.searches = (searches.call_count, update_searches.call_count)


@then("all of them stay at home, with {count:d} searches and {more:d} more for the update")
def check_home(context: Any, count: int, more: int) -> None:
    for path in context.paths:
        assert path is not None
        domains = {domain_of(context.host_state, part.replica_id) for part in path.parts}
        assert domains == {"a"}, path
    assert context.searches == (count, more), context.searches


@then("no link is closed without a stated bandwidth, and links are closed when they are slow")
def check_stated(context: Any) -> None:
    ctx, engine = context.host_state, context.service.engine
    unstated = replace(engine, pipe_mbps=0.0)
    assert find_closed_links(ctx, "lm", unstated, is_begun=False) == frozenset()
    slow = replace(engine, pipe_mbps=1.0)
    closed = find_closed_links(ctx, "lm", slow, is_begun=False)
    assert closed == {("a", "b"), ("a", "c"), ("b", "c")}, closed
    assert ctx.domain_choice.refused == 1


@then("a site of 60 replicas is searched once, among all its replicas")
def check_small(context: Any) -> None:
    ctx = context.host_state
    records = sorted(ctx.view.replicas.values(), key=lambda record: record.replica_id)
    records = [record for record in records if record.held is not None][:FULL_SEARCH_REPLICAS]
    assert len(records) == FULL_SEARCH_REPLICAS
    ctx.view = SimpleNamespace(
        replicas={record.replica_id: record for record in records},
        replicas_of=lambda _service: records,
    )
    context.service.engine = replace(context.service.engine, pipe_mbps=1.0)
    state = ctx.rng.getstate()
    with (
        patch.object(path_selection, "find_path", wraps=find_path) as searches,
        patch.object(domain_choice, "find_path", wraps=find_path) as update_searches,
    ):
        choose_path(ctx, context.service, 900.0, ())
    assert update_searches.call_count == 0
    assert searches.call_count == 1
    _, stages, requirements = searches.call_args.args
    assert len(stages) == FULL_SEARCH_REPLICAS
    assert requirements.closed_links == ()
    assert ctx.rng.getstate() == state
