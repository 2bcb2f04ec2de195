"""Steps for route planning and route selection."""

from __future__ import annotations

import itertools
import time
from statistics import median
from typing import TYPE_CHECKING, Any, Final

import msgspec
import networkx
from behave import given, then, when
from hypothesis import given as property_given
from hypothesis import settings as property_settings
from hypothesis import strategies as st

from pimentodale.addresses import Address
from pimentodale.clients.engine_messages import EngineLoad
from pimentodale.clients.targets import EngineTarget, Targets
from pimentodale.clock import ManualClock
from pimentodale.routing.fleet import create_fleet
from pimentodale.routing.max_flow import create_flow_graph
from pimentodale.routing.route_plan import Link, RoutePlan, plan_routes
from pimentodale.routing.router import create_router
from pimentodale.routing.routes import RouteOutcome, tiles
from pimentodale.routing.subsets import choose_subset, subset_engines

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

LAYERS: Final = 32
UNIT: Final = 0.001


def make_engine(name: str, domain: str, first: int, last: int, rate: float) -> EngineTarget:
    return EngineTarget(
        replica=name,
        address=Address("127.0.0.1", 9000),
        failure_domain=domain,
        model="m",
        first_layer=first,
        last_layer=last,
        tokens_per_s=rate,
        slots=8,
    )


def make_fleet(rng: random.Random, size: int, layers: int) -> list[EngineTarget]:
    """Return engines with aligned and overlapping layer ranges on four kinds of accelerators."""
    engines = []
    for number in range(size):
        length = rng.choice([8, 16, 32])
        first = rng.randrange(0, layers - length + 1, 4)
        if rng.random() < 0.5:
            first = number % (layers // length) * length
        rate = rng.choice([50.0, 100.0, 200.0, 400.0])
        domain = f"d{number % 4}"
        engines.append(make_engine(f"e{number}", domain, first, first + length, rate))
    return engines


def make_links() -> list[Link]:
    return [
        Link(
            from_failure_domain=f"d{a}",
            to_failure_domain=f"d{b}",
            tokens_per_s=2000.0 if a == b else 20.0 * (1 + a + b),
            scope="shared" if (a + b) % 2 else "pair",
        )
        for a in range(4)
        for b in range(4)
    ]


def run_property(count: int, strategy: st.SearchStrategy[Any], check: Callable[[Any], None]) -> int:
    """Check a property on generated examples and return how many were tried."""
    tried = 0

    @property_settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @property_given(strategy)
    def examine(value: Any) -> None:
        nonlocal tried
        tried += 1
        check(value)

    examine()
    return tried


@when("{count:d} random flow graphs are solved")
def solve_graphs(context: Any, count: int) -> None:
    edges = st.tuples(st.integers(0, 8), st.integers(0, 8), st.integers(0, 20))
    context.tried = run_property(count, st.lists(edges, max_size=40), check_flow)


def check_flow(edges: list[tuple[int, int, int]]) -> None:
    graph = create_flow_graph(9)
    oracle: networkx.DiGraph[int] = networkx.DiGraph()
    oracle.add_nodes_from(range(9))
    numbers = []
    for tail, head, capacity in edges:
        if tail == head:
            continue
        numbers.append((graph.add_edge(tail, head, capacity), tail, head, capacity))
        known = oracle.get_edge_data(tail, head, {"capacity": 0})["capacity"]
        oracle.add_edge(tail, head, capacity=known + capacity)
    value = graph.push_max_flow(0, 8)
    assert value == networkx.maximum_flow_value(oracle, 0, 8)
    net_inflow = [0] * 9
    for number, tail, head, capacity in numbers:
        flow = graph.flow(number)
        assert 0 <= flow <= capacity, (flow, capacity)
        net_inflow[tail] -= flow
        net_inflow[head] += flow
    assert net_inflow == [-value, *[0] * 7, value], net_inflow


@then("each flow has the reference value and respects the capacities")
def check_graphs_tried(context: Any) -> None:
    assert context.tried >= 100, context.tried


@when("routes are planned for {count:d} random fleets")
def plan_fleets(context: Any, count: int) -> None:
    context.plans = []
    for _ in range(count):
        engines = make_fleet(context.site.rng, context.site.rng.randint(1, 60), LAYERS)
        links = make_links() if context.site.rng.random() < 0.7 else []
        context.plans.append((plan_routes("m", LAYERS, engines, links), engines, links))


@then("each route tiles the layers with ranges that its replicas hold")
def check_tiling(context: Any) -> None:
    checked = 0
    for plan, engines, _ in context.plans:
        by_name = {engine.replica: engine for engine in engines}
        for planned in plan.routes:
            checked += 1
            assert tiles(planned.route, LAYERS), planned
            for hop in planned.route.hops:
                held = by_name[hop.replica]
                assert held.first_layer <= hop.first_layer < hop.last_layer <= held.last_layer
    assert checked > 100, checked


@then("the routes together carry the bound within every replica's and link's capacity")
def check_capacities(context: Any) -> None:
    for plan, engines, links in context.plans:
        check_plan(plan, engines, links)


def check_plan(plan: RoutePlan, engines: list[EngineTarget], links: list[Link]) -> None:
    domains = {engine.replica: engine.failure_domain for engine in engines}
    used: dict[Any, float] = {}
    for planned in plan.routes:
        hops = planned.route.hops
        for hop in hops:
            used[hop.replica] = used.get(hop.replica, 0.0) + planned.tokens_per_s
        for hop, following in itertools.pairwise(hops):
            pair = domains[hop.replica], domains[following.replica]
            for key in ((hop.last_layer, *pair), (hop.replica, following.replica, *pair)):
                used[key] = used.get(key, 0.0) + planned.tokens_per_s
    total = sum(planned.tokens_per_s for planned in plan.routes)
    assert abs(total - plan.bound_tokens_per_s) <= UNIT, (total, plan.bound_tokens_per_s)
    limits: dict[Any, float] = {engine.replica: engine.tokens_per_s for engine in engines}
    for link in links:
        pair = link.from_failure_domain, link.to_failure_domain
        for key in used:
            if not isinstance(key, tuple) or key[-2:] != pair:
                continue
            if len(key) == (3 if link.scope == "shared" else 4):
                limits[key] = link.tokens_per_s
    for key, limit in limits.items():
        assert used.get(key, 0.0) <= limit + UNIT, (key, used[key], limit)


@when(
    "routes are planned {count:d} times for 150 replicas of 4 kinds over links whose rates differ 100-fold"
)
def time_plans(context: Any, count: int) -> None:
    engines = make_fleet(context.site.rng, 150, LAYERS)
    context.plan_ms = []
    for _ in range(count):
        start_s = time.perf_counter()
        plan_routes("m", LAYERS, engines, make_links())
        context.plan_ms.append((time.perf_counter() - start_s) * 1000)
    fleet = create_fleet(ManualClock())
    fleet.apply_targets(Targets(engines=engines))
    router = create_router(fleet, ManualClock(), "d0", context.site.seed)
    context.pick_us = []
    for _ in range(5000):
        start_s = time.perf_counter()
        route = router.pick_route("m", LAYERS, "prefix", ("e1",))
        context.pick_us.append((time.perf_counter() - start_s) * 1e6)
        assert route is not None
        use = router.started(route, "prefix")
        if len(context.pick_us) % 3:
            use.end(RouteOutcome.SERVED)


@then("the fastest plan takes at most {limit_ms:d} ms")
def check_plan_time(context: Any, limit_ms: int) -> None:
    print(f"plan {min(context.plan_ms):.1f} ms of {context.plan_ms}")
    assert min(context.plan_ms) <= limit_ms, context.plan_ms


@then("picking a route takes at most {limit_us:d} us at the median")
def check_pick_time(context: Any, limit_us: int) -> None:
    print(f"pick {median(context.pick_us):.1f} us at the median")
    assert median(context.pick_us) <= limit_us, median(context.pick_us)


@given("a fast, a slow and a full route of one model whose latencies are known")
def create_known_routes(context: Any) -> None:
    clock = ManualClock()
    fleet = create_fleet(clock)
    rates = {"fast": 300.0, "slow": 200.0, "full": 300.0}
    engines = [make_engine(name, "d0", 0, LAYERS, rate) for name, rate in rates.items()]
    fleet.apply_targets(Targets(engines=engines))
    context.router = create_router(fleet, clock, "d0", context.site.seed)
    context.router.pick_route("m", LAYERS)
    for planned in context.router.plan_of("m"):
        name = planned.route.hops[0].replica
        use = context.router.started(planned.route)
        for _ in range(9):
            use.note_token()
            clock.advance(80.0 if name == "slow" else 20.0)
        if name != "full":
            use.end(RouteOutcome.SERVED)
    fleet.mark_busy("full")


@when("{count:d} streams over the limits are started one after the other, each ending at once")
def start_over_limit(context: Any, count: int) -> None:
    context.granted = []
    for _ in range(count):
        use = context.router.acquire_over_limit("m", LAYERS)
        context.granted.append(use.route.hops[0].replica)
        use.end(RouteOutcome.SERVED)


@then("at least {count:d} of them get the fast route and none the full one")
def check_over_limit(context: Any, count: int) -> None:
    assert context.granted.count("fast") >= count, context.granted
    assert "full" not in context.granted


@given("a router with one engine of {slots:d} slots for the whole model, whose limit does not bind")
def create_single_router(context: Any, slots: int) -> None:
    clock = ManualClock()
    fleet = create_fleet(clock)
    engine = msgspec.structs.replace(make_engine("e", "d0", 0, LAYERS, 10_000.0), slots=slots)
    fleet.apply_targets(Targets(engines=[engine]))
    context.router = create_router(fleet, clock, "d0", context.site.seed)


@when("streams are started until there is no free capacity")
def start_all(context: Any) -> None:
    context.count = 0
    while context.router.acquire("m", LAYERS) is not None:
        context.count += 1


@then("{count:d} of them run")
def check_started(context: Any, count: int) -> None:
    assert context.count == count, context.count


@then("one more is started over the limits")
def check_one_over_limit(context: Any) -> None:
    assert context.router.acquire_over_limit("m", LAYERS) is not None


@given("a router over {domains:d} failure domains with {count:d} engines")
def create_small_router(context: Any, domains: int, count: int) -> None:
    context.clock = ManualClock()
    context.fleet = create_fleet(context.clock)
    context.engines = [
        make_engine(f"e{n}", f"d{n % domains}", n % 2 * 16, n % 2 * 16 + 16, 100.0)
        for n in range(count)
    ]
    context.fleet.apply_targets(Targets(engines=context.engines))
    context.router = create_router(context.fleet, context.clock, "d0", context.site.seed)


@when("replicas are marked leaving or down or are excluded while {count:d} routes are picked")
def pick_under_change(context: Any, count: int) -> None:
    rng = context.site.rng
    context.picked = []
    context.violations = []
    down_until_ms: dict[str, float] = {}
    leaving: set[str] = set()
    for number in range(count):
        name = f"e{rng.randrange(len(context.engines))}"
        if number % 50 == 0:
            context.fleet.mark_down(name, 1000.0)
            down_until_ms[name] = context.clock.now_ms() + 1000.0
        if number % 200 == 0 and len(leaving) < 8:
            context.fleet.mark_leaving(name)
            leaving.add(name)
        if number % 7 == 0:
            context.router.replan()
        context.clock.advance(rng.random() * 20.0)
        excluded = {f"e{rng.randrange(len(context.engines))}" for _ in range(3)}
        route = context.router.pick_route("m", LAYERS, "", excluded)
        if route is None:
            continue
        context.picked.append(route)
        unavailable = excluded | leaving
        unavailable |= {n for n, end in down_until_ms.items() if end > context.clock.now_ms()}
        if unavailable & set(route.replicas):
            context.violations.append((number, route))


@then("no picked route contains an unavailable replica")
def check_no_violation(context: Any) -> None:
    assert len(context.picked) > 1000, len(context.picked)
    assert not context.violations, context.violations[:3]


@then("every picked route tiles the layers")
def check_picked_tile(context: Any) -> None:
    assert all(tiles(route, LAYERS) for route in context.picked)


@when("one engine is marked leaving and the host list still reports it live")
def mark_one_leaving(context: Any) -> None:
    context.fleet.mark_leaving("e0")
    context.fleet.apply_targets(Targets(engines=context.engines))


@then(
    "it gets no work, even after it leaves the host list and returns, until 30 s without a notice"
)
def check_stays_leaving(context: Any) -> None:
    assert not context.fleet.is_usable("e0")
    context.fleet.apply_targets(Targets(engines=context.engines[1:]))
    assert not context.fleet.is_usable("e0")
    context.fleet.apply_targets(Targets(engines=context.engines))
    assert not context.fleet.is_usable("e0")
    context.clock.advance(29_000.0)
    context.fleet.apply_targets(Targets(engines=context.engines))
    assert not context.fleet.is_usable("e0")
    context.clock.advance(2_000.0)
    context.fleet.apply_targets(Targets(engines=context.engines))
    assert context.fleet.is_usable("e0")


@then("it gets work again after a restart with another boot id")
def check_new_boot(context: Any) -> None:
    context.fleet.apply_load(make_load_report("leaving", "boot-1"))
    assert not context.fleet.is_usable("e0")
    context.fleet.apply_load(make_load_report("live", "boot-1"))
    assert not context.fleet.is_usable("e0")
    context.fleet.apply_load(make_load_report("live", "boot-2"))
    assert context.fleet.is_usable("e0")


@when("one engine asks for a hold-off of {length_s:d} s")
def ask_for_hold_off(context: Any, length_s: int) -> None:
    context.fleet.apply_load(make_load_report("live", "boot-1"))
    context.fleet.hold_off("e0", length_s * 1000.0)


@then("it gets no work while it reports the same boot id")
def check_held_off(context: Any) -> None:
    context.fleet.apply_load(make_load_report("live", "boot-1"))
    assert not context.fleet.is_usable("e0")


@then("it gets work once it reports another one")
def check_available_after_restart(context: Any) -> None:
    context.fleet.apply_load(make_load_report("live", "boot-2"))
    assert context.fleet.is_usable("e0")


def make_load_report(state: Any, boot_id: str) -> EngineLoad:
    return EngineLoad(
        replica="e0",
        model="m",
        first_layer=0,
        last_layer=16,
        slots=8,
        active=0,
        tokens_per_s=100.0,
        state=state,
        boot_id=boot_id,
    )


@when("the engines are missing from the host list for a while during {count:d} streams")
def drop_host_list(context: Any, count: int) -> None:
    routes = [context.router.pick_route("m", LAYERS) for _ in range(count)]
    uses = [context.router.started(route) for route in routes]
    context.fleet.apply_targets(Targets())
    assert context.router.pick_route("m", LAYERS) is None
    context.fleet.apply_targets(Targets(engines=context.engines))
    streams = sum(status.in_flight for status in context.fleet.statuses())
    assert streams == 2 * count, streams
    for use in uses:
        use.end(RouteOutcome.SERVED)
        use.end(RouteOutcome.SERVED)


@then("every engine's stream count returns to zero")
def check_streams_uncounted(context: Any) -> None:
    assert [status.in_flight for status in context.fleet.statuses()] == [0] * len(context.engines)


@when("{count:d} random sites are split into subsets")
def split_sites(context: Any, count: int) -> None:
    context.sites = []
    sizes = st.tuples(st.integers(1, 60), st.integers(1, 12), st.integers(1, 60))

    def split(site: tuple[int, int, int]) -> None:
        replicas, host_count, size = site
        hosts = [f"h{number}" for number in range(host_count)]
        names = [f"e{number}" for number in range(replicas)]
        before = {host: choose_subset(names, hosts, host, size) for host in hosts}
        after = {host: choose_subset([*names, "new"], hosts, host, size) for host in hosts}
        context.sites.append((names, before, after))

    run_property(count, sizes, split)


@then("the numbers of hosts of any two replicas differ by one at most")
def check_balance(context: Any) -> None:
    for names, before, _ in context.sites:
        held = [name for subset in before.values() for name in subset]
        counts = {held.count(name) for name in names}
        assert max(counts) - min(counts) <= 1, counts


@then("a replica that joins changes at most {most:d} names of each subset")
def check_churn(context: Any, most: int) -> None:
    for _, before, after in context.sites:
        for host, subset in before.items():
            changed = set(subset) ^ set(after[host])
            assert len(changed) <= 2 * most, (host, changed)


@then("the engines of each subset of a model tile its layers")
def check_subset_tiles(context: Any) -> None:
    hosts = [f"h{number}" for number in range(7)]
    engines = [
        make_engine(f"e{n}", f"d{n % 4}", n % 4 * 8, n % 4 * 8 + 8, 100.0) for n in range(40)
    ]
    for host in hosts:
        subset = subset_engines(engines, hosts, host, 8)
        assert 8 <= len(subset) <= 10, len(subset)
        assert plan_routes("m", LAYERS, subset).bound_tokens_per_s > 0.0
