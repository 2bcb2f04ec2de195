"""Replicas of an engine with their loads, and the path for a request."""

from __future__ import annotations

import math
from itertools import pairwise
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S
from pimentodale.placement.paths import PathWish, StageLoad, find_path, read_ms
from pimentodale.site.beliefs import incarnation_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from pimentodale.forwarding.means import ForwardingMeans
    from pimentodale.forwarding.messages import ClientRequest
    from pimentodale.placement.messages import PathPart
    from pimentodale.placement.paths import Path
    from pimentodale.site.model import BackendService, EngineModel

HELD_ANSWER_FRACTION: Final = 0.6
"""Part of an answer's tokens that a request holds on average while it runs, with some reserve."""

FAILURE_SLOWNESS: Final = 4.0
"""How many times slower a replica counts whose answers all fail."""

WHOLE_SEARCH_REPLICAS: Final = 60
"""Replicas up to which a path is looked for among all of them; a look takes 1 ms then."""

ROOM_WAIT_MS: Final = 1_300.0
"""Longest wait for room; clients leave when no event comes within 2 s."""


HELD_SPREAD: Final = 1.25
"""Factor up to which clients are told to come back later than replicas take requests again."""


def tokens_held(engine: EngineModel, request: ClientRequest) -> float:
    """Estimate the tokens that a request holds on average while it runs."""
    answer = engine.usual_answer_tokens
    if request.length_hint_tokens is not None:
        answer = request.length_hint_tokens
    if request.max_answer_tokens > 0:
        answer = min(answer, request.max_answer_tokens)
    prompt = request.prompt_tokens or engine.usual_prompt_tokens
    return prompt + answer * HELD_ANSWER_FRACTION


def list_stages(
    means: ForwardingMeans,
    service: BackendService,
    *,
    and_doubted: bool = False,
    kept: Collection[str] = (),
) -> list[StageLoad]:
    """Return a service's usable replicas that hold layers.

    Args:
        means: Shared state.
        service: The service.
        and_doubted: Whether to return all that have not left a probe without an answer.
        kept: Ids of replicas that run the request already; they may be full for others.
    """
    stages = []
    total = means.loads.totals()
    for replica in means.view.replicas_of(service.name):
        if replica.held is None:
            continue
        slowness = means.paces.slowness(replica)
        if means.beliefs.has_word_of(replica):
            if means.beliefs.is_lost(replica):
                continue
            runs_already = replica.replica_id in kept and means.beliefs.keeps_work(replica)
            if not and_doubted and not runs_already and not means.beliefs.is_usable(replica):
                continue
            slowness *= 1.0 + FAILURE_SLOWNESS * means.beliefs.failure_rate(replica)
        load = total(replica.replica_id)
        kv_in_use = load.kv_in_use + means.loads.hidden_kv(replica.replica_id)
        backlog_ms = means.loads.backlog_ms(replica.replica_id)
        stages.append(
            StageLoad(replica, load.streams, load.headed, kv_in_use, backlog_ms, slowness)
        )
    return stages


def domain_of(means: ForwardingMeans, replica_id: str) -> str:
    """Return a replica's failure domain; empty when it is not known any more."""
    replica = means.view.replicas.get(replica_id)
    return "" if replica is None else replica.failure_domain


def count_crossings(means: ForwardingMeans, path: Path) -> int:
    """Return how many steps of a path lead to another failure domain."""
    domains = [domain_of(means, part.replica_id) for part in path.parts]
    return sum(before != after for before, after in pairwise(domains))


def note_reading(
    means: ForwardingMeans, service: BackendService, parts: Collection[PathPart], tokens: float
) -> None:
    """Count the prompt that new parts of a path have to read."""
    if service.engine is None:
        return
    for part in parts:
        replica = means.view.replicas.get(part.replica_id)
        if replica is not None:
            work_ms = read_ms(service.engine, replica.kind, tokens, len(part.layers))
            means.loads.note_reading(part.replica_id, work_ms)


def choose_path(
    means: ForwardingMeans,
    service: BackendService,
    tokens: float,
    avoid: Collection[str],
    kept: tuple[PathPart, ...] = (),
    heads: Collection[str] | None = None,
) -> Path | None:
    """Choose a path by the loads known now.

    Args:
        means: Shared state.
        service: The service.
        tokens: Tokens that the request holds.
        avoid: Ids of replicas that it must not use.
        kept: Parts that run the request already.
        heads: Ids of the replicas that may be the first; `None` for any.
    """
    if service.engine is None:
        return None
    wish = PathWish(means.failure_domain, tokens, avoid, kept, heads)
    stages = list_stages(means, service, kept=[part.replica_id for part in kept])
    if not kept and len(stages) > WHOLE_SEARCH_REPLICAS:
        path = find_path(service.engine, _sample_domains(means, stages), wish)
        if path is not None:
            return path
    return find_path(service.engine, stages, wish)


def _sample_domains(means: ForwardingMeans, stages: list[StageLoad]) -> list[StageLoad]:
    """Return the replicas of this host's failure domain and of another one, chosen anew each time.

    Whichever hosts look elsewhere then spread over all domains in place of the best one.
    """
    others = sorted({stage.record.failure_domain for stage in stages} - {means.failure_domain})
    searched = {means.failure_domain, *others[:1]}
    if len(others) > 1:
        searched = {means.failure_domain, means.rng.choice(others)}
    return [stage for stage in stages if stage.record.failure_domain in searched]


def held_back_ms(means: ForwardingMeans, service: str) -> float:
    """Return how long all replicas of a service that live want nothing from this host; else 0."""
    replicas = [each for each in means.view.replicas_of(service) if means.beliefs.keeps_work(each)]
    return means.beliefs.hold_offs.soonest_ms(map(incarnation_of, replicas))


def covers_model(
    means: ForwardingMeans, service: BackendService, held_within_ms: float = math.inf
) -> bool:
    """Whether replicas that are not lost hold every layer, room or not.

    Args:
        means: Shared state.
        service: The service.
        held_within_ms: Longest time for which replicas may want nothing from this host.
    """
    if service.engine is None:
        return False
    covered = 0
    stages = list_stages(means, service, and_doubted=True)
    left_ms = means.beliefs.hold_offs.left_ms
    ranges = sorted(
        (held.first, held.end)
        for stage in stages
        if (held := stage.record.held) and left_ms(incarnation_of(stage.record)) <= held_within_ms
    )
    for first, end in ranges:
        if first > covered:
            return False
        covered = max(covered, end)
    return covered >= service.engine.layers


def held_model_ms(means: ForwardingMeans, service: BackendService) -> float:
    """Return how long some layers are held by replicas alone that want nothing from this host."""
    left_ms = means.beliefs.hold_offs.left_ms
    times_ms = {left_ms(incarnation_of(each)) for each in means.view.replicas_of(service.name)}
    covering = (time_ms for time_ms in sorted(times_ms) if covers_model(means, service, time_ms))
    return next(covering, 0.0)


def repair_ms(engine: EngineModel) -> float:
    """Estimate how long lost layers take to be loaded elsewhere."""
    return MS_PER_S + engine.load_ms * 0.1
