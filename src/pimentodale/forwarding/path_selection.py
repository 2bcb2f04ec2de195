"""Selects the path of a request from the usable replicas of an engine and their loads."""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import pairwise
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.domain_choice import find_closed_links, first_domain
from pimentodale.placement.paths import PathRequirements, StageLoad, find_path, prefill_ms
from pimentodale.site.replica_health import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from pimentodale.forwarding.context import ForwardingContext
    from pimentodale.forwarding.messages import ClientRequest
    from pimentodale.placement.messages import PathPart
    from pimentodale.placement.paths import Path
    from pimentodale.site.model import BackendService, EngineModel

MEAN_ANSWER_FRACTION: Final = 0.6
"""Fraction of the response tokens that a request holds on average while it runs, with a reserve."""

FAILURE_SLOWDOWN: Final = 4.0
"""Slowdown assumed for a replica whose responses all fail."""

FULL_SEARCH_REPLICAS: Final = 60
"""Number of replicas up to which a path is searched among all of them; a search then takes 1 ms."""

CAPACITY_WAIT_MS: Final = 1_300.0
"""Longest wait for capacity; clients disconnect if there is no event within 2 s."""

HOLD_OFF_SPREAD: Final = 1.25
"""Upper bound of the random factor between the end of a hold-off and the Retry-After time."""


def answer_tokens(engine: EngineModel, request: ClientRequest) -> float:
    """Estimate the tokens of a request's whole answer."""
    answer = engine.mean_answer_tokens
    if request.length_hint_tokens is not None:
        answer = request.length_hint_tokens
    if request.max_answer_tokens > 0:
        answer = min(answer, request.max_answer_tokens)
    return answer


def tokens_held(engine: EngineModel, request: ClientRequest) -> float:
    """Estimate the tokens that a request holds on average while it runs."""
    answer = answer_tokens(engine, request)
    prompt = request.prompt_tokens or engine.mean_prompt_tokens
    return prompt + answer * MEAN_ANSWER_FRACTION


def list_candidates(
    ctx: ForwardingContext,
    service: BackendService,
    *,
    include_suspected: bool = False,
    kept: Collection[str] = (),
) -> list[StageLoad]:
    """Return the usable replicas of a service that hold layers.

    Args:
        ctx: State shared by all requests.
        service: The service.
        include_suspected: Whether to include all replicas that have not failed a probe.
        kept: Ids of replicas that already run the request; they may be full for other requests.
    """
    stages = []
    total = ctx.loads.totals()
    for replica in ctx.view.replicas_of(service.name):
        if replica.held is None:
            continue
        slowness = ctx.slow_replicas.slowness(replica)
        if ctx.replica_health.is_tracked(replica):
            if ctx.replica_health.is_confirmed_down(replica):
                continue
            runs_already = replica.replica_id in kept and ctx.replica_health.may_keep_work(replica)
            if (
                not include_suspected
                and not runs_already
                and not ctx.replica_health.is_usable(replica)
            ):
                continue
            slowness *= 1.0 + FAILURE_SLOWDOWN * ctx.replica_health.failure_rate(replica)
        load = total(replica.replica_id)
        kv_in_use = load.kv_in_use + ctx.loads.inferred_kv(replica.replica_id)
        backlog_ms = ctx.loads.backlog_ms(replica.replica_id)
        stages.append(
            StageLoad(replica, load.streams, load.headed, kv_in_use, backlog_ms, slowness)
        )
    return stages


def domain_of(ctx: ForwardingContext, replica_id: str) -> str:
    """Return a replica's failure domain; empty if the replica is no longer known."""
    replica = ctx.view.replicas.get(replica_id)
    return "" if replica is None else replica.failure_domain


def count_crossings(ctx: ForwardingContext, path: Path) -> int:
    """Return the number of hops of a path between failure domains."""
    domains = [domain_of(ctx, part.replica_id) for part in path.parts]
    return sum(before != after for before, after in pairwise(domains))


def note_prefill(
    ctx: ForwardingContext, service: BackendService, parts: Collection[PathPart], tokens: float
) -> None:
    """Add the prefill time of new parts of a path to their replicas' backlogs."""
    if service.engine is None:
        return
    for part in parts:
        replica = ctx.view.replicas.get(part.replica_id)
        if replica is not None:
            work_ms = prefill_ms(service.engine, replica.kind, tokens, len(part.layers))
            ctx.loads.note_prefill(part.replica_id, work_ms)


def choose_path(
    ctx: ForwardingContext,
    service: BackendService,
    tokens: float,
    avoid: Collection[str],
    kept: tuple[PathPart, ...] = (),
    heads: Collection[str] | None = None,
    *,
    is_begun: bool = False,
) -> Path | None:
    """Choose a path by the currently known loads.

    Args:
        ctx: State shared by all requests.
        service: The service.
        tokens: Tokens that the request holds.
        avoid: Ids of replicas that must not be used.
        kept: Parts that already run the request.
        heads: Ids of the replicas that may be the head; `None` for any.
        is_begun: Whether the stream has begun and is resumed.
    """
    engine = service.engine
    if engine is None:
        return None
    requirements = PathRequirements(ctx.failure_domain, tokens, avoid, kept, heads)
    stages = list_candidates(ctx, service, kept=[part.replica_id for part in kept])
    if len(stages) <= FULL_SEARCH_REPLICAS:
        return find_path(engine, stages, requirements)
    if not kept and heads is None:
        domain = first_domain(ctx, service.name, engine, stages)
        # A domain without a path at the last update is searched together with another one.
        if domain is not None:
            path = find_path(engine, _in_domains(stages, {domain}), requirements)
            if path is not None:
                return path
    closed = find_closed_links(ctx, service.name, engine, is_begun=is_begun or bool(kept))
    requirements = replace(requirements, closed_links=closed)
    if not kept:
        path = find_path(engine, _sample_domains(ctx, stages), requirements)
        if path is not None:
            return path
    return find_path(engine, stages, requirements)


def _sample_domains(ctx: ForwardingContext, stages: list[StageLoad]) -> list[StageLoad]:
    """Return the replicas of this host's failure domain and of another one, chosen at random.

    The random choice spreads the requests of many hosts over all domains instead of the best one.
    """
    others = sorted({stage.record.failure_domain for stage in stages} - {ctx.failure_domain})
    searched = {ctx.failure_domain, *others[:1]}
    if len(others) > 1:
        searched = {ctx.failure_domain, ctx.rng.choice(others)}
    return _in_domains(stages, searched)


def _in_domains(stages: list[StageLoad], domains: Collection[str]) -> list[StageLoad]:
    """Return the replicas of some failure domains."""
    return [stage for stage in stages if stage.record.failure_domain in domains]


def service_hold_off_ms(ctx: ForwardingContext, service: str) -> float:
    """Return the time until one of a service's live replicas takes requests; 0 if one does now."""
    replicas = [
        each for each in ctx.view.replicas_of(service) if ctx.replica_health.may_keep_work(each)
    ]
    return ctx.replica_health.hold_offs.shortest_hold_ms(map(incarnation_of, replicas))


def covers_model(
    ctx: ForwardingContext, service: BackendService, max_hold_off_ms: float = math.inf
) -> bool:
    """Whether replicas that are not lost hold every layer, regardless of free capacity.

    Args:
        ctx: State shared by all requests.
        service: The service.
        max_hold_off_ms: Longest remaining hold-off of the replicas that count.
    """
    if service.engine is None:
        return False
    covered = 0
    stages = list_candidates(ctx, service, include_suspected=True)
    left_ms = ctx.replica_health.hold_offs.left_ms
    ranges = sorted(
        (held.first, held.end)
        for stage in stages
        if (held := stage.record.held) and left_ms(incarnation_of(stage.record)) <= max_hold_off_ms
    )
    for first, end in ranges:
        if first > covered:
            return False
        covered = max(covered, end)
    return covered >= service.engine.layers


def model_hold_off_ms(ctx: ForwardingContext, service: BackendService) -> float:
    """Return the time until every layer is held by a replica without a hold-off."""
    left_ms = ctx.replica_health.hold_offs.left_ms
    times_ms = {left_ms(incarnation_of(each)) for each in ctx.view.replicas_of(service.name)}
    covering = (time_ms for time_ms in sorted(times_ms) if covers_model(ctx, service, time_ms))
    return next(covering, 0.0)


def reload_estimate_ms(engine: EngineModel) -> float:
    """Estimate how long it takes to load lost layers elsewhere."""
    return MS_PER_S + engine.load_ms * 0.1
