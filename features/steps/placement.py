"""Steps for layer placement and path selection."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.support.engine_fleet import (
    UNEVEN,
    create_engine,
    create_holders,
    create_small_engine,
    create_trekvast_holders,
    create_trekvast_stages,
    create_uneven_engine,
    place_until_stable,
    replica,
)

from pimentodale.clock import ManualClock
from pimentodale.forwarding.domain_choice import create_domain_choice
from pimentodale.forwarding.load_table import ReplicaLoad, create_load_table
from pimentodale.forwarding.path_selection import choose_path, domain_of
from pimentodale.placement.domain_history import create_domain_history
from pimentodale.placement.lease_candidacy import create_candidacy
from pimentodale.placement.paths import (
    MAX_PARTS,
    PathRequirements,
    StageLoad,
    find_path,
    prefill_ms,
)
from pimentodale.placement.plan_cache import create_plan_cache
from pimentodale.placement.planner import (
    TIGHT_WEIGHTS_FRACTION,
    WEIGHTS_FRACTION,
    LayerHolder,
    _layer_paces,
    find_gaps,
    max_layers,
    plan_placement,
)
from pimentodale.site.model import AcceleratorKind, EngineModel, LayerRange
from pimentodale.site.replica_health import create_replica_health
from pimentodale.site.slow_replicas import create_slow_replicas

if TYPE_CHECKING:
    from pimentodale.placement.messages import PathPart
    from pimentodale.placement.paths import Path


@given("a fleet like Trekvast's with empty replicas")
def empty_fleet(context: Any) -> None:
    context.engine = create_engine()
    context.holders = create_trekvast_holders()


@given("a fleet like Trekvast's with its layers placed")
def placed_fleet(context: Any) -> None:
    empty_fleet(context)
    place_until_stable(context.engine, context.holders)


@when("layers are placed until nothing changes")
def place(context: Any) -> None:
    place_until_stable(context.engine, context.holders)


def domains(holders: list[LayerHolder]) -> set[str]:
    return {holder.failure_domain for holder in holders}


@then("each failure domain holds all layers")
def check_copies(context: Any) -> None:
    for domain in domains(context.holders):
        members = [holder for holder in context.holders if holder.failure_domain == domain]
        assert not find_gaps(context.engine, members), domain


@then("no replica holds more layers than fit in memory together with its requests")
def check_memory(context: Any) -> None:
    for holder in context.holders:
        limit = max_layers(context.engine, holder.kind, TIGHT_WEIGHTS_FRACTION)
        assert holder.held is None or len(holder.held) <= limit, holder


@then("each path stays within one failure domain")
def check_domain_paths(context: Any) -> None:
    stages = create_trekvast_stages(context.holders)
    by_id = {stage.record.replica_id: stage.record for stage in stages}
    for domain in domains(context.holders):
        path = find_path(context.engine, stages, PathRequirements(domain, 900.0))
        assert path is not None
        used = {by_id[part.replica_id].failure_domain for part in path.parts}
        assert len(used) == 1, (domain, used)


@when("each replica in turn is lost and the layers are placed again")
def lose_each(context: Any) -> None:
    context.after_loss = []
    for lost in context.holders:
        rest = [
            LayerHolder(item.replica_id, item.failure_domain, item.kind, item.held)
            for item in context.holders
            if item is not lost
        ]
        place_until_stable(context.engine, rest)
        context.after_loss.append(rest)


@then("each time the fleet holds all layers again")
def check_after_loss(context: Any) -> None:
    for holders in context.after_loss:
        assert not find_gaps(context.engine, holders)


@then("no replica was ordered to hold more than its memory")
def check_after_loss_memory(context: Any) -> None:
    for holders in context.after_loss:
        context.holders = holders
        check_memory(context)


@when("a replica is lost while all others are carrying out orders")
def lose_while_busy(context: Any) -> None:
    rest = context.holders[1:]
    for holder in rest:
        holder.is_movable = False
    context.assignments = plan_placement(context.engine, rest)


@then("no order is given")
def check_no_orders(context: Any) -> None:
    assert context.assignments == []


@when("a replica restarts without layers")
def restart_empty(context: Any) -> None:
    context.restarted = context.holders[5]
    context.restarted.held = None
    context.assignments = plan_placement(context.engine, context.holders)


@then("only that replica is given an order")
def check_only_restarted(context: Any) -> None:
    ordered = [assignment.replica_id for assignment in context.assignments]
    assert ordered == [context.restarted.replica_id], ordered


@when("each replica in turn is replaced, and the new one joins while the old one still serves")
def replace_each(context: Any) -> None:
    context.replaced = []
    for leaving in context.holders:
        holders = [
            LayerHolder(item.replica_id, item.failure_domain, item.kind, item.held)
            for item in context.holders
        ]
        joining = LayerHolder("new", leaving.failure_domain, leaving.kind, None, is_new=True)
        holders.append(joining)
        ordered = [item.replica_id for item in plan_placement(context.engine, holders)]
        # The old one announces its departure while the new one, if already placed, still loads.
        left = [item for item in holders if item.replica_id != leaving.replica_id]
        ordered += [item.replica_id for item in plan_placement(context.engine, left)]
        for item in left:
            item.is_movable = True
            item.is_new = False
        place_until_stable(context.engine, left)
        context.replaced.append((leaving, ordered, left))


@then("each time only the new one is given an order")
def check_takes_over(context: Any) -> None:
    for leaving, ordered, _ in context.replaced:
        assert ordered in ([], ["new"]), (leaving, ordered)


@then("each time a token takes at most 1.25 times as long as before")
def check_replaced_pace(context: Any) -> None:
    for leaving, _, left in context.replaced:
        domain = leaving.failure_domain
        before, after = (
            token_pace(context.engine, [item for item in holders if item.failure_domain == domain])
            for holders in (context.holders, left)
        )
        assert after <= 1.25 * before, (leaving, before, after)


@given(
    "a failure domain whose first layers slow replicas hold, and a fast one with redundant layers"
)
def slow_first_layers(context: Any) -> None:
    context.engine = create_engine()
    ranges = [("a100", 26, 52), ("a100", 52, 78), ("l4", 0, 9), ("l4", 9, 18), ("l4", 17, 26)]
    ranges += [("v100", first, first + 6) for first in (52, 58, 64, 70, 74)]
    context.holders = [
        LayerHolder(f"{kind}-{first}", "a", kind, LayerRange(first, end))
        for kind, first, end in ranges
    ]
    context.held_before = {item.replica_id: item.held for item in context.holders}
    context.pace_before = token_pace(context.engine, context.holders)


@then("only the fast replica was moved")
def check_fast_moved(context: Any) -> None:
    moved = [
        item.replica_id
        for item in context.holders
        if item.held != context.held_before[item.replica_id]
    ]
    assert moved == ["a100-52"], moved


@then("a token takes at most 0.75 times as long as before")
def check_faster(context: Any) -> None:
    pace = token_pace(context.engine, context.holders)
    assert pace <= 0.75 * context.pace_before, (pace, context.pace_before)


@given("a fleet whose kinds of accelerators are spread unevenly over three failure domains")
def uneven_fleet(context: Any) -> None:
    context.engine = create_uneven_engine()
    context.holders = create_holders(UNEVEN)


@then("each layer has at least two holders in each failure domain")
def check_two_holders(context: Any) -> None:
    counts: Counter[tuple[str, int]] = Counter()
    for holder in context.holders:
        for layer in range(holder.held.first, holder.held.end):
            counts[holder.failure_domain, layer] += 1
    layers = range(context.engine.layers)
    single = [key for key in itertools.product(UNEVEN, layers) if counts[key] < 2]
    assert not single, single


@then("after the loss of any replica there is still a path within each failure domain")
def check_paths_after_loss(context: Any) -> None:
    for lost in context.holders:
        stages = [
            stage
            for stage in create_trekvast_stages(context.holders)
            if stage.record.failure_domain == lost.failure_domain
            if stage.record.replica_id != lost.replica_id
        ]
        requirements = PathRequirements(lost.failure_domain, 900.0)
        assert find_path(context.engine, stages, requirements) is not None, lost


@then(
    "each failure domain serves {count:d} streams at once, each event of two tokens within {limit_ms:d} ms",
)
def check_concurrent_streams(context: Any, count: int, limit_ms: int) -> None:
    for domain in UNEVEN:
        stages = [
            stage
            for stage in create_trekvast_stages(context.holders)
            if stage.record.failure_domain == domain
        ]
        by_id = {stage.record.replica_id: stage for stage in stages}
        for _ in range(count):
            path = find_path(context.engine, stages, PathRequirements(domain, 900.0))
            assert path is not None and 2 * path.token_ms <= limit_ms, (domain, path)
            for index, part in enumerate(path.parts):
                stage = by_id[part.replica_id]
                stage.streams += 1
                stage.headed += index == 0
                stage.kv_in_use += 900.0 * len(part.layers)


@when("a fast replica of a failure domain is lost and has just joined again without layers")
def rejoin_fast(context: Any) -> None:
    context.lost = next(each for each in context.holders if each.replica_id == "south-a100s-1")
    context.single = context.lost.held
    context.lost.held = None
    context.lost.is_new = True


@then("it is ordered at once to hold layers that have a single holder")
def check_ordered_at_once(context: Any) -> None:
    orders = plan_placement(context.engine, context.holders)
    assert [order.replica_id for order in orders] == [context.lost.replica_id], orders
    taken = range(orders[0].layers.first, orders[0].layers.end)
    assert any(context.single.first <= layer < context.single.end for layer in taken), orders


@then("a further replica that has just joined there waits")
def check_further_waits(context: Any) -> None:
    context.lost.is_movable = True
    context.holders.append(LayerHolder("south-a100s-9", "south", "a100s", None, is_new=True))
    assert not plan_placement(context.engine, context.holders)


@then("it is planned once while nothing changes, and again after each change")
def check_plan_cache(context: Any) -> None:
    made = []

    def make_plan(engine: Any, holders: Any, unstable: Any) -> Any:
        made.append(len(holders))
        return plan_placement(engine, holders, unstable)

    plans = create_plan_cache(make_plan)

    def plan(holders: list[LayerHolder], unstable: set[str]) -> Any:
        # The placer creates new holders each time.
        copies = [
            LayerHolder(item.replica_id, item.failure_domain, item.kind, item.held, item.is_movable)
            for item in holders
        ]
        return plans.plan("lm", context.engine, copies, unstable)

    for _ in range(3):
        assert plan(context.holders, set()) == []
    assert len(made) == 1, made
    plan(context.holders, {"delft-a"})
    assert len(made) == 2, made
    joining = LayerHolder("new", "delft-a", "v100", None)
    for _ in range(2):
        # The order may be lost, so it is repeated until the replica reports the layers.
        assert [item.replica_id for item in plan([*context.holders, joining], set())] == ["new"]
    assert len(made) == 4, made
    joining.held = LayerRange(0, 5)
    plan([*context.holders, joining], set())
    assert len(made) == 5, made


def token_pace(engine: Any, holders: list[LayerHolder]) -> float:
    return sum(_layer_paces(engine, holders))


def best_pace(engine: Any, kinds: list[str]) -> float:
    choices = []
    for kind in kinds:
        length = max_layers(engine, kind, 0.65)
        choices.append(
            [LayerRange(first, first + length) for first in range(engine.layers - length + 1)]
        )
    best = float("inf")
    for ranges in itertools.product(*choices):
        holders = [
            LayerHolder(str(index), "a", kind, held)
            for index, (kind, held) in enumerate(zip(kinds, ranges, strict=True))
        ]
        best = min(best, token_pace(engine, holders))
    return best


@then(
    "on 40 small random fleets a token takes at most 1.25 times as long as with the best placement"
)
def check_against_search(context: Any) -> None:
    rng = random.Random(context.site.seed)
    engine = create_small_engine()
    for _ in range(40):
        kinds = [rng.choice(["fast", "slow"]) for _ in range(rng.randint(3, 5))]
        holders = [LayerHolder(str(index), "a", kind, None) for index, kind in enumerate(kinds)]
        place_until_stable(engine, holders)
        capacity = sum(max_layers(engine, kind, 0.65) for kind in kinds)
        if capacity < engine.layers:
            continue
        assert token_pace(engine, holders) <= 1.25 * best_pace(engine, kinds), kinds


@then(
    "on 300 random fleets each path covers every layer once, uses no replica twice and assigns "
    "each only layers that it holds"
)
def check_random_paths(context: Any) -> None:
    rng = random.Random(context.site.seed)
    engine = create_engine()
    found = 0
    for _ in range(300):
        stages = []
        for number in range(rng.randint(4, 30)):
            first = max(0, rng.randint(-20, engine.layers - 1))
            end = min(engine.layers, first + rng.randint(1, 45))
            kind = rng.choice(["a100", "v100", "l4"])
            record = replica(str(number), rng.choice("abc"), kind, LayerRange(first, end))
            stages.append(
                StageLoad(record, streams=rng.randint(0, 30), slowness=rng.choice([1.0, 3.0]))
            )
        path = find_path(engine, stages, PathRequirements("a", 0.0))
        is_covered = not find_gaps(
            engine, [LayerHolder("", "", s.record.kind, s.record.held) for s in stages]
        )
        assert (path is not None) == is_covered
        if path is None:
            continue
        found += 1
        held = {stage.record.replica_id: stage.record.held for stage in stages}
        assert [part.layers.first for part in path.parts] == [
            0,
            *(part.layers.end for part in path.parts[:-1]),
        ]
        assert path.parts[-1].layers.end == engine.layers
        ids = [part.replica_id for part in path.parts]
        assert len(ids) == len(set(ids))
        for part in path.parts:
            own = held[part.replica_id]
            assert own is not None
            assert own.first <= part.layers.first < part.layers.end <= own.end
    assert found >= 50, found


@given("two replicas that each hold the whole model, one of them without free memory")
def one_full(context: Any) -> None:
    context.engine = create_small_engine()
    whole = LayerRange(0, context.engine.layers)
    kind = context.engine.kinds["large"]
    capacity = context.engine.kv_capacity(kind, len(whole))
    context.full = [
        StageLoad(replica("full", "a", "large", whole), kv_in_use=capacity),
        StageLoad(replica("free", "a", "large", whole)),
    ]
    context.capacity = capacity


@then("the path for a request goes through the other one")
def check_other(context: Any) -> None:
    path = find_path(context.engine, context.full, PathRequirements("a", 10.0))
    assert path is not None
    assert [part.replica_id for part in path.parts] == ["free"]


@then("there is no path for a request once both have no free memory")
def check_no_room(context: Any) -> None:
    context.full[1] = StageLoad(context.full[1].record, kv_in_use=context.capacity)
    assert find_path(context.engine, context.full, PathRequirements("a", 10.0)) is None


@then("a path from each first replica starts with it and avoids the failed replica")
def check_heads(context: Any) -> None:
    stages = create_trekvast_stages(context.holders)
    paths = paths_from_each_head(context.engine, stages)
    assert paths
    for path in paths:
        faulty = path.parts[1].replica_id
        kept = tuple(part for part in path.parts if part.replica_id != faulty)
        moved = find_path(context.engine, stages, PathRequirements("a", 900.0, {faulty}, kept))
        assert moved is not None
        assert moved.parts[0] == path.parts[0]
        assert faulty not in {part.replica_id for part in moved.parts}


def paths_from_each_head(engine: EngineModel, stages: list[StageLoad]) -> list[Path]:
    """Return a path from each replica that holds the first layer."""
    paths = []
    for head in stages:
        if head.record.held is None or head.record.held.first > 0:
            continue
        others = [stage for stage in stages if stage.record.held and stage.record.held.first > 0]
        path = find_path(
            engine, [head, *others], PathRequirements(head.record.failure_domain, 900.0)
        )
        assert path is not None
        paths.append(path)
    return paths


@given("a failure domain with two replicas for each range of layers")
def double_domain(context: Any) -> None:
    placed_fleet(context)
    own = [
        stage.record
        for stage in create_trekvast_stages(context.holders)
        if stage.record.failure_domain == "delft-a"
    ]
    twins = [replica(f"{r.replica_id}-twin", r.failure_domain, r.kind, r.held) for r in own]
    context.stages = [StageLoad(record) for record in (*own, *twins)]
    context.path = find_path(context.engine, context.stages, PathRequirements("delft-a", 900.0))
    assert context.path is not None


@then("for each lost part of a path only that part's layers are prefilled again")
def check_kept_parts(context: Any) -> None:
    for lost in context.path.parts[1:]:
        check_move(context.engine, context.stages, context.path, lost)


@then("a part without free memory for other requests is kept too")
def check_full_kept(context: Any) -> None:
    used = {part.replica_id for part in context.path.parts}
    stages = [
        StageLoad(stage.record, kv_in_use=1e12) if stage.record.replica_id in used else stage
        for stage in context.stages
    ]
    check_move(context.engine, stages, context.path, context.path.parts[-1])


@when("30 prompts are prefilled on the path chosen first")
def prefill_prompts(context: Any) -> None:
    context.clock = ManualClock()
    context.loads = create_load_table(context.clock)
    kinds = {stage.record.replica_id: stage.record.kind for stage in context.stages}
    for part in context.path.parts * 30:
        work_ms = prefill_ms(context.engine, kinds[part.replica_id], 900.0, len(part.layers))
        context.loads.note_prefill(part.replica_id, work_ms)


@then("the next path uses none of its parts, and a path 200 ms later uses all of them again")
def check_busy_avoided(context: Any) -> None:
    def choose() -> set[str]:
        stages = [
            StageLoad(stage.record, backlog_ms=context.loads.backlog_ms(stage.record.replica_id))
            for stage in context.stages
        ]
        path = find_path(context.engine, stages, PathRequirements("delft-a", 900.0))
        assert path is not None
        return {part.replica_id for part in path.parts}

    first = {part.replica_id for part in context.path.parts}
    assert not choose() & first
    context.clock.advance(200.0)
    assert choose() == first


def check_move(engine: EngineModel, stages: list[StageLoad], path: Path, lost: PathPart) -> None:
    """Check that a path without a lost part prefills only that part's layers again."""
    kept = tuple(part for part in path.parts if part is not lost)
    moved = find_path(engine, stages, PathRequirements("a", 900.0, {lost.replica_id}, kept))
    assert moved is not None
    new = [part for part in moved.parts if part not in kept]
    assert sum(len(part.layers) for part in new) == len(lost.layers), (path, lost, moved)
    assert moved.parts[0] == path.parts[0]


@given("two replicas that each hold the whole model")
def two_copies(context: Any) -> None:
    one_full(context)
    context.loads = create_load_table(ManualClock())


@when("paths are chosen for 40 requests one after the other")
def choose_paths(context: Any) -> None:
    for _ in range(40):
        stages = [
            StageLoad(stage.record, context.loads.total(stage.record.replica_id).streams)
            for stage in context.full
        ]
        path = find_path(context.engine, stages, PathRequirements("a", 1.0))
        assert path is not None
        context.loads.add(path.parts, 1.0)


@then("neither replica gets more than 21 of them")
def check_spread(context: Any) -> None:
    counts = [context.loads.total(stage.record.replica_id).streams for stage in context.full]
    assert sum(counts) == 40
    assert max(counts) <= 21, counts


@given("a fleet like Trekvast's with its layers placed, observed over time")
def watched_fleet(context: Any) -> None:
    placed_fleet(context)
    context.clock = ManualClock(1_000.0)
    context.history = create_domain_history(context.clock)
    context.ordered = []
    observe(context, context.holders)


def observe(context: Any, present: list[LayerHolder], left: set[str] | None = None) -> None:
    holding = {holder.replica_id for holder in present if holder.held}
    domains_by_id = {holder.replica_id: holder.failure_domain for holder in present}
    context.history.note(domains_by_id, holding, left or set())
    copies = [LayerHolder(h.replica_id, h.failure_domain, h.kind, h.held) for h in present]
    context.ordered += plan_placement(context.engine, copies, context.history.unstable())
    context.clock.advance(200.0)


@when("a failure domain is partitioned and its replicas return one by one")
def partition_domain(context: Any) -> None:
    others = [h for h in context.holders if h.failure_domain != "delft-b"]
    members = [h for h in context.holders if h.failure_domain == "delft-b"]
    # Probes of a whole failure domain end within the same observation.
    for _ in range(20):
        observe(context, others)
    for count in range(1, len(members) + 1):
        observe(context, others + members[:count])
    for _ in range(15):
        observe(context, context.holders)


@then("no order is given at any time")
def check_nothing_ordered(context: Any) -> None:
    assert context.ordered == [], context.ordered


@when("one replica of a failure domain is lost")
def lose_one(context: Any) -> None:
    context.lost = [next(h for h in context.holders if h.kind == "a100")]
    observe(context, [h for h in context.holders if h not in context.lost])


@when("four replicas of a failure domain announce their departure")
def leave_four(context: Any) -> None:
    context.lost = [h for h in context.holders if h.failure_domain == "rotterdam-c"][:4]
    left = {holder.replica_id for holder in context.lost}
    observe(context, [h for h in context.holders if h not in context.lost], left)


@then("other replicas are immediately ordered to hold its layers")
@then("other replicas are immediately ordered to hold their layers")
def check_layers_ordered(context: Any) -> None:
    assert context.ordered


@given("76 hosts that learn of a change of the lease 50 to 300 ms later")
def make_candidates(context: Any) -> None:
    rng = random.Random(context.site.seed)
    context.clock = ManualClock()
    context.news_delays_ms = [rng.uniform(50.0, 300.0) for _ in range(76)]
    context.candidates = [
        create_candidacy(context.clock, lambda number=number: number) for number in range(76)
    ]


@when("the lease expires")
def expire_lease(context: Any) -> None:
    compete(context, 0)


@when("the lease expires and the first {count:d} in rank can't reach the store")
def expire_unreachable(context: Any, count: int) -> None:
    compete(context, count)


def compete(context: Any, unreachable: int) -> None:
    """Let every host check the lease each 200 ms, at different times, for 5 s."""
    context.tried = set()
    context.taken_ms = None
    context.unreachable = set(range(unreachable))
    for tick in range(500):
        now_ms = context.clock.now_ms()
        for number in range(tick % 20, 76, 20):
            has_news = now_ms >= context.news_delays_ms[number]
            taken_ms = context.taken_ms
            is_told = taken_ms is not None and now_ms >= taken_ms + context.news_delays_ms[number]
            is_held = not has_news or is_told
            if not context.candidates[number].is_due(is_held=is_held):
                continue
            context.tried.add(number)
            if taken_ms is None and number not in context.unreachable:
                context.taken_ms = now_ms
        context.clock.advance(10.0)


@then("one host holds it within {time_s:d} s, and at most {most:d} have tried to acquire it")
@then("one host holds it within {time_s:d} s, and at most {most:d} others have tried to acquire it")
def check_competition(context: Any, time_s: int, most: int) -> None:
    assert context.taken_ms is not None
    assert context.taken_ms <= time_s * 1_000.0, context.taken_ms
    assert len(context.tried - context.unreachable) <= most, context.tried


@given("two failure domains, of which the local one runs the last layers on slow replicas")
def two_domains(context: Any) -> None:
    engine = create_engine()
    context.stages = [
        StageLoad(replica("own-first", "a", "a100", LayerRange(0, 60))),
        StageLoad(replica("own-last", "a", "l4", LayerRange(60, 80))),
        StageLoad(replica("other-last", "b", "a100", LayerRange(60, 80))),
    ]
    # Enough memory, so that it doesn't affect the path.
    kinds = {name: replace(kind, memory_mb=400_000.0) for name, kind in engine.kinds.items()}
    context.engine = replace(engine, kinds=kinds)


@when("the link between them carries {pipe_mbps:d} Mbit a second")
def set_pipe(context: Any, pipe_mbps: int) -> None:
    context.engine = replace(context.engine, pipe_mbps=float(pipe_mbps))


@then("a path crosses the boundary between them")
def check_crosses(context: Any) -> None:
    assert last_replica(context) == "other-last"


@then("a path does not cross the boundary between them")
def check_stays(context: Any) -> None:
    assert last_replica(context) == "own-last"


def last_replica(context: Any) -> str:
    """Return the replica that runs the last layers of a request from the first failure domain."""
    path = find_path(context.engine, context.stages, PathRequirements("a", 900.0))
    assert path is not None
    return path.parts[-1].replica_id


@given(
    "{count:d} failure domains of 41 replicas each with a complete copy, the local one without "
    "free memory"
)
def large_site_full_at_home(context: Any, count: int) -> None:
    context.host_state, context.service = create_large_site(count, full={"a"})


@given(
    "{count:d} failure domains of 41 replicas each with a complete copy, of which one remote one "
    "has free memory"
)
def large_site_one_free(context: Any, count: int) -> None:
    context.host_state, context.service = create_large_site(count, full=set("abce"))


def create_large_site(count: int, full: set[str]) -> tuple[Any, Any]:
    """Return the state of a host in domain "a" of a site; domains in `full` have no free memory."""
    engine = create_engine()
    holders = [
        LayerHolder(f"{domain}-{kind}-{number}", domain, kind, None)
        for domain in "abcdefgh"[:count]
        for kind, many in (("a100", 4), ("v100", 21), ("l4", 16))
        for number in range(many)
    ]
    place_until_stable(engine, holders)
    replicas = {
        holder.replica_id: replica(
            holder.replica_id, holder.failure_domain, holder.kind, holder.held
        )
        for holder in holders
    }
    clock = ManualClock()
    loads = create_load_table(clock)
    taken = {
        name: ReplicaLoad(1, 0, 1e12)
        for name, record in replicas.items()
        if record.failure_domain in full
    }
    loads.set_remaining_loads(taken, 1e9)
    host_state = SimpleNamespace(
        clock=clock,
        rng=random.Random(7),
        replica_health=create_replica_health(clock),
        slow_replicas=create_slow_replicas(clock),
        loads=loads,
        failure_domain="a",
        domain_choice=create_domain_choice(),
        view=SimpleNamespace(
            replicas=replicas, replicas_of=lambda _service: list(replicas.values())
        ),
    )
    return host_state, SimpleNamespace(name="lm", engine=engine)


@when("a host looks for {count:d} paths")
def look_for_paths(context: Any, count: int) -> None:
    found = [choose_path(context.host_state, context.service, 900.0, ()) for _ in range(count)]
    context.found_domains = []
    for path in found:
        assert path is not None
        domains = {domain_of(context.host_state, part.replica_id) for part in path.parts}
        context.found_domains.append(domains)


@then(
    "each other failure domain gets at least {least:d} of them, and no path crosses a domain "
    "boundary"
)
def check_domain_spread(context: Any, least: int) -> None:
    assert all(len(domains) == 1 for domains in context.found_domains), context.found_domains
    counts = Counter(next(iter(domains)) for domains in context.found_domains)
    assert set(counts) == set("bcde"), counts
    assert min(counts.values()) >= least, counts


@then("each of them stays in that failure domain")
def check_only_free(context: Any) -> None:
    assert context.found_domains == [{"d"}] * len(context.found_domains), context.found_domains


MODELS = ((16, 200.0), (32, 500.0), (48, 900.0), (80, 1_750.0), (96, 2_600.0), (126, 2_600.0))
"""Number of layers, and size of a layer in MB."""

MEMORIES_MB = (8_000.0, 14_400.0, 21_600.0, 36_000.0, 72_000.0, 141_000.0)


def random_deployment(rng: random.Random) -> tuple[EngineModel, list[LayerHolder]]:
    """Return random engine figures and replicas without layers."""
    layers, layer_mb = rng.choice(MODELS)
    kinds = {
        f"k{number}": AcceleratorKind(
            rng.choice(MEMORIES_MB), rng.uniform(1.0, 20.0), rng.uniform(1.0, 16.0)
        )
        for number in range(rng.randint(1, 4))
    }
    engine = EngineModel(
        layers=layers,
        layer_mb=layer_mb,
        load_ms=14_000.0,
        concurrent_loads=6,
        step_ms=rng.uniform(0.4, 3.0),
        per_sequence_ms=rng.uniform(0.001, 0.02),
        per_context_k_ms=rng.uniform(0.0, 0.02),
        prefill_tokens_per_ms=rng.uniform(50.0, 400.0),
        tokens_per_event=rng.randint(1, 6),
        kv_bytes_per_token=rng.uniform(1e5, 1.5e6),
        slots=96,
        mean_prompt_tokens=rng.uniform(100.0, 2_000.0),
        mean_answer_tokens=rng.uniform(30.0, 400.0),
        kinds=kinds,
        activation_bytes=rng.uniform(8e3, 8e4),
        pipe_mbps=rng.choice((0.0, 600.0, 2_720.0, 6_500.0, 16_000.0, 100_000.0)),
        domain_delay_ms=rng.uniform(0.0, 3.0),
    )
    holders = [
        LayerHolder(f"{domain}-{kind}-{number}", domain, kind, None)
        for domain in "abcdef"[: rng.randint(2, 6)]
        for kind in kinds
        for number in range(rng.randint(0, 12))
    ]
    return engine, holders


@when(
    "layers are placed on {count:d} random deployments of 2 to 6 failure domains and 1 to 4 kinds"
)
def place_random(context: Any, count: int) -> None:
    context.placed = []
    for seed in range(count):
        engine, holders = random_deployment(random.Random(seed))
        most = sum(max_layers(engine, holder.kind, TIGHT_WEIGHTS_FRACTION) for holder in holders)
        fewest = min(max_layers(engine, kind, WEIGHTS_FRACTION) for kind in engine.kinds)
        # Engines reject longer paths.
        if most < engine.layers or fewest * MAX_PARTS < engine.layers:
            continue
        try:
            place_until_stable(engine, holders)
        except AssertionError as error:
            raise AssertionError(f"deployment {seed}: {error}") from error
        context.placed.append((seed, engine, holders))


@then("each with enough memory for the model reaches a stable placement without gaps")
def check_random_gaps(context: Any) -> None:
    assert len(context.placed) > 100, len(context.placed)
    for seed, engine, holders in context.placed:
        assert not find_gaps(engine, holders), (seed, find_gaps(engine, holders))


@then("each of these has a path from every failure domain that runs every layer once and in order")
def check_random_deployment_paths(context: Any) -> None:
    for seed, engine, holders in context.placed:
        stages = create_trekvast_stages(holders)
        for domain in sorted(domains(holders)):
            path = find_path(engine, stages, PathRequirements(domain, 1.0))
            assert path is not None, (seed, domain)
            bounds = [(part.layers.first, part.layers.end) for part in path.parts]
            assert [first for first, _ in bounds] == [0, *(end for _, end in bounds[:-1])], seed
            assert bounds[-1][1] == engine.layers, seed
