"""Steps for the placement of layers and for paths."""

from __future__ import annotations

import itertools
import random
from typing import Any

from behave import given, then, when
from features.support.engine_fleet import (
    create_engine,
    create_small_engine,
    create_trekvast_holders,
    create_trekvast_stages,
    place_until_stable,
    replica,
)

from pimentodale.clock import ManualClock
from pimentodale.forwarding.loads import create_load_board
from pimentodale.placement.paths import PathWish, StageLoad, find_path
from pimentodale.placement.planner import (
    TIGHT_WEIGHTS_FRACTION,
    Holder,
    _layer_paces,
    find_gaps,
    max_layers,
    plan_placement,
)
from pimentodale.placement.settling import create_domain_history
from pimentodale.site.model import LayerRange


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


def domains(holders: list[Holder]) -> set[str]:
    return {holder.failure_domain for holder in holders}


@then("each failure domain holds every layer")
def check_copies(context: Any) -> None:
    for domain in domains(context.holders):
        members = [holder for holder in context.holders if holder.failure_domain == domain]
        assert not find_gaps(context.engine, members), domain


@then("no replica holds more layers than fit beside its requests")
def check_memory(context: Any) -> None:
    for holder in context.holders:
        limit = max_layers(context.engine, holder.kind, TIGHT_WEIGHTS_FRACTION)
        assert holder.held is None or len(holder.held) <= limit, holder


@then("each path stays within one failure domain")
def check_domain_paths(context: Any) -> None:
    stages = create_trekvast_stages(context.holders)
    by_id = {stage.record.replica_id: stage.record for stage in stages}
    for domain in domains(context.holders):
        path = find_path(context.engine, stages, PathWish(domain, 900.0))
        assert path is not None
        used = {by_id[part.replica_id].failure_domain for part in path.parts}
        assert len(used) == 1, (domain, used)


@when("each replica in turn is lost and layers are placed anew")
def lose_each(context: Any) -> None:
    context.after_loss = []
    for lost in context.holders:
        rest = [
            Holder(item.replica_id, item.failure_domain, item.kind, item.held)
            for item in context.holders
            if item is not lost
        ]
        place_until_stable(context.engine, rest)
        context.after_loss.append(rest)


@then("every time the fleet holds every layer again")
def check_after_loss(context: Any) -> None:
    for holders in context.after_loss:
        assert not find_gaps(context.engine, holders)


@then("no replica was ordered to hold more than its memory")
def check_after_loss_memory(context: Any) -> None:
    for holders in context.after_loss:
        context.holders = holders
        check_memory(context)


@when("a replica is lost while all others carry out orders")
def lose_while_busy(context: Any) -> None:
    rest = context.holders[1:]
    for holder in rest:
        holder.is_movable = False
    context.assignments = plan_placement(context.engine, rest)


@then("nothing is ordered")
def check_no_orders(context: Any) -> None:
    assert context.assignments == []


@when("a replica starts again empty")
def restart_empty(context: Any) -> None:
    context.restarted = context.holders[5]
    context.restarted.held = None
    context.assignments = plan_placement(context.engine, context.holders)


@then("only that replica is ordered")
def check_only_restarted(context: Any) -> None:
    ordered = [assignment.replica_id for assignment in context.assignments]
    assert ordered == [context.restarted.replica_id], ordered


def token_pace(engine: Any, holders: list[Holder]) -> float:
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
            Holder(str(index), "a", kind, held)
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
        holders = [Holder(str(index), "a", kind, None) for index, kind in enumerate(kinds)]
        place_until_stable(engine, holders)
        capacity = sum(max_layers(engine, kind, 0.65) for kind in kinds)
        if capacity < engine.layers:
            continue
        assert token_pace(engine, holders) <= 1.25 * best_pace(engine, kinds), kinds


@then(
    "on 300 random fleets each path covers every layer once, names no replica twice and lies within "
    "what they hold"
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
        path = find_path(engine, stages, PathWish("a", 0.0))
        is_covered = not find_gaps(
            engine, [Holder("", "", s.record.kind, s.record.held) for s in stages]
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


@given("two replicas that each hold the whole model, one of them full")
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
    path = find_path(context.engine, context.full, PathWish("a", 10.0))
    assert path is not None
    assert [part.replica_id for part in path.parts] == ["free"]


@then("there is no path for a request once both are full")
def check_no_room(context: Any) -> None:
    context.full[1] = StageLoad(context.full[1].record, kv_in_use=context.capacity)
    assert find_path(context.engine, context.full, PathWish("a", 10.0)) is None


@then("a path behind each first replica starts with it and avoids the replica at fault")
def check_heads(context: Any) -> None:
    stages = create_trekvast_stages(context.holders)
    heads = [stage.record for stage in stages if stage.record.held and stage.record.held.first == 0]
    assert heads
    for head in heads:
        first = find_path(context.engine, stages, PathWish("a", 900.0, head=head.replica_id))
        assert first is not None
        faulty = first.parts[1].replica_id
        wish = PathWish("a", 900.0, avoid={faulty}, head=head.replica_id)
        moved = find_path(context.engine, stages, wish)
        assert moved is not None
        assert moved.parts[0].replica_id == head.replica_id
        assert faulty not in {part.replica_id for part in moved.parts}


@given("two replicas that each hold the whole model")
def two_copies(context: Any) -> None:
    one_full(context)
    context.board = create_load_board(ManualClock())


@when("40 requests choose their paths one after the other")
def choose_paths(context: Any) -> None:
    for _ in range(40):
        stages = [
            StageLoad(stage.record, context.board.total(stage.record.replica_id).streams)
            for stage in context.full
        ]
        path = find_path(context.engine, stages, PathWish("a", 1.0))
        assert path is not None
        context.board.add(path.parts, 1.0)


@then("neither replica has more than 21 of them")
def check_spread(context: Any) -> None:
    counts = [context.board.total(stage.record.replica_id).streams for stage in context.full]
    assert sum(counts) == 40
    assert max(counts) <= 21, counts


@given("a fleet like Trekvast's with its layers placed, watched over time")
def watched_fleet(context: Any) -> None:
    placed_fleet(context)
    context.clock = ManualClock(1_000.0)
    context.history = create_domain_history(context.clock)
    context.ordered = []
    look(context, context.holders)


def look(context: Any, present: list[Holder], left: set[str] | None = None) -> None:
    holding = {holder.replica_id for holder in present if holder.held}
    domains_by_id = {holder.replica_id: holder.failure_domain for holder in present}
    context.history.note(domains_by_id, holding, left or set())
    copies = [Holder(h.replica_id, h.failure_domain, h.kind, h.held) for h in present]
    context.ordered += plan_placement(context.engine, copies, context.history.unsettled())
    context.clock.advance(200.0)


@when("a failure domain is cut off and its replicas come back one by one")
def cut_domain(context: Any) -> None:
    others = [h for h in context.holders if h.failure_domain != "delft-b"]
    members = [h for h in context.holders if h.failure_domain == "delft-b"]
    # Probes of a whole failure domain end within the same look.
    for _ in range(20):
        look(context, others)
    for count in range(1, len(members) + 1):
        look(context, others + members[:count])
    for _ in range(15):
        look(context, context.holders)


@then("nothing is ordered at any moment")
def check_nothing_ordered(context: Any) -> None:
    assert context.ordered == [], context.ordered


@when("one replica of a failure domain is lost")
def lose_one(context: Any) -> None:
    context.lost = [next(h for h in context.holders if h.kind == "a100")]
    look(context, [h for h in context.holders if h not in context.lost])


@when("four replicas of a failure domain announce that they leave")
def leave_four(context: Any) -> None:
    context.lost = [h for h in context.holders if h.failure_domain == "rotterdam-c"][:4]
    left = {holder.replica_id for holder in context.lost}
    look(context, [h for h in context.holders if h not in context.lost], left)


@then("its layers are ordered elsewhere at once")
@then("their layers are ordered elsewhere at once")
def check_made_up(context: Any) -> None:
    assert context.ordered
