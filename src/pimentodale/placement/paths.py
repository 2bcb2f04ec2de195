"""Selects the replicas that a request passes through, so that every layer runs once and in order.

A path is the lowest-cost route from layer 0 to the last layer over the ranges that replicas hold. A
replica may run a part of its range, so replicas with overlapping ranges can replace each other.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING, Final

from pimentodale.placement.messages import PathPart
from pimentodale.site.model import LayerRange

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pimentodale.site.model import EngineModel, ReplicaRecord

MAX_PARTS: Final = 32
"""Maximum number of parts of a path; engines reject longer ones."""

HOP_COST_MS: Final = 0.05
"""Cost per token of each additional replica: the network delay within a failure domain."""

STREAMS_PER_PIPE: Final = 100.0
"""Number of streams whose next token a prompt transfer may delay on the link (pipe) between two
failure domains: as many as a site of about 40 replicas runs at once."""

PARTITION_RISK_COST_MS: Final = 0.5
"""Additional cost per token of a hop between two failure domains, because a network partition
between them ends the stream."""

ENTRY_CROSSING_COST_MS: Final = 1.0
"""Cost per token if the first replica is in another failure domain than the request."""

CONCURRENT_MIGRATIONS: Final = 20.0
"""Number of streams that migrate at once when a replica is lost, of about 90 that run on a site.
The new parts of their paths prefill the tokens of one stream after the other."""

BACKLOG_WEIGHT: Final = 0.01
"""Cost per token of each ms of backlog at a part. A request waits for the longest backlog among its
parts, about seven. A wait of 250 ms makes it late, which costs as much as twice the usual time per
token."""

KV_FILL_FRACTION: Final = 0.97
"""Fraction of a replica's KV cache memory that admission fills."""


@dataclass(slots=True)
class StageLoad:
    """A replica with its known load."""

    record: ReplicaRecord
    """Record of the replica; `held` is set."""

    streams: float = 0.0
    """Number of requests that pass through the replica."""

    headed: float = 0.0
    """Number of requests whose path starts at the replica."""

    kv_in_use: float = 0.0
    """KV cache used by these requests, in tokens x layers."""

    backlog_ms: float = 0.0
    """Time for which the replica is busy with prefill."""

    slowness: float = 1.0
    """Slowdown factor relative to other replicas with the same accelerator."""


@dataclass(slots=True, frozen=True)
class PathRequirements:
    """Constraints of a request on its path."""

    failure_domain: str
    """Failure domain in which the request was received."""

    tokens: float
    """Tokens that the request will hold in the KV cache: the prompt and a part of the answer."""

    avoid: Collection[str] = ()
    """Ids of replicas that the path must not use."""

    kept: tuple[PathPart, ...] = ()
    """Parts that already run the request, including the first replica, which can't change. A new
    part has to prefill all tokens so far."""

    heads: Collection[str] | None = None
    """Ids of the replicas at which the path may start; `None` for any."""

    closed_links: Collection[tuple[str, str]] = ()
    """Pairs of failure domains, sorted, between which no prompt may be transferred."""


@dataclass(slots=True, frozen=True)
class Path:
    """Replicas that together run every layer once and in order."""

    parts: tuple[PathPart, ...]
    """Parts in layer order, starting at layer 0."""

    token_ms: float
    """Estimated time per token, from the engine's performance figures and the known loads."""


@dataclass(slots=True, eq=False)
class _Segment:
    """A range of layers that one replica may run for the request."""

    stage: StageLoad
    first: int
    end: int
    layer_ms: float
    """Cost of each layer of the segment."""

    entry_ms: float
    """Cost of entering the segment."""

    crossing_ms: float
    """Additional cost of entering it from another failure domain."""

    most_layers: float
    """Number of layers for which the replica has free KV cache memory."""

    is_kept: bool
    """Whether the replica already runs exactly these layers for the request."""

    may_be_first: bool
    """Whether the path may start with this segment."""

    cost_ms: float = math.inf
    """Lowest cost of a partial path to the current boundary that ends in this segment; infinite
    while the segment is not entered."""

    entered_at: int = 0
    """Layer at which that partial path entered the segment."""

    entered_from: str = ""
    """Failure domain from which that partial path entered the segment."""


@dataclass(slots=True)
class _BestPrefix:
    """Lowest-cost partial path to a layer boundary that ends in a given failure domain."""

    cost_ms: float
    segment: _Segment | None = None
    entered_at: int = 0
    entered_from: str = ""


def find_path(
    engine: EngineModel, stages: Sequence[StageLoad], requirements: PathRequirements
) -> Path | None:
    """Find the path with the lowest cost.

    Args:
        engine: Performance figures of the engine.
        stages: Replicas that the path may use.
        requirements: Constraints of the request.

    Returns:
        The path, or `None` if the replicas don't cover all layers or lack memory.
    """
    segments = _list_segments(engine, stages, requirements)
    cuts = {0, engine.layers}
    for segment in segments:
        cuts.update((segment.first, segment.end))
    boundaries = sorted(cut for cut in cuts if cut <= engine.layers)
    starting: dict[int, list[_Segment]] = {}
    for segment in segments:
        starting.setdefault(segment.first, []).append(segment)
    prefixes = {0: {requirements.failure_domain: _BestPrefix(0.0)}}
    active: list[_Segment] = []
    for first, end in pairwise(boundaries):
        active = [segment for segment in active if segment.end > first] + starting.get(first, [])
        _extend_to_boundary(active, first, end, prefixes, requirements.closed_links)
    return _reconstruct_path(engine, prefixes)


def prefill_ms(engine: EngineModel, kind: str, tokens: float, layers: int) -> float:
    """Return how long a replica takes to prefill tokens through some of the layers.

    Args:
        engine: Performance figures of the engine.
        kind: Accelerator kind of the replica.
        tokens: Number of tokens to prefill.
        layers: Number of layers that the tokens pass through.
    """
    known = engine.kinds.get(kind)
    pace = known.prefill_pace if known else 1.0
    return tokens / max(1e-9, engine.prefill_tokens_per_ms) * pace * layers / engine.layers


def token_ms(engine: EngineModel, stage: StageLoad) -> float:
    """Return a replica's time per token in all layers, with one additional request."""
    kind = engine.kinds.get(stage.record.kind)
    pace = (kind.pace if kind else 1.0) * stage.slowness
    prefill_pace = (kind.prefill_pace if kind else 1.0) * stage.slowness
    context_k = (engine.mean_prompt_tokens + engine.mean_answer_tokens / 2) / 1_000
    each_ms = engine.per_sequence_ms + engine.per_context_k_ms * context_k
    # Prefill of other requests alternates with decoding, so it adds to the time of each decoded
    # token.
    prompt_ms = engine.mean_prompt_tokens / max(1e-9, engine.prefill_tokens_per_ms)
    prefill_share_ms = prompt_ms / max(1.0, engine.mean_answer_tokens)
    batch = stage.streams + 1.0
    return pace * (engine.step_ms + batch * each_ms) + prefill_pace * prefill_share_ms * batch


def kv_fill_capacity(engine: EngineModel, record: ReplicaRecord) -> float:
    """Return the KV cache that requests may fill, in tokens x layers; 0 without any layers."""
    kind = engine.kinds.get(record.kind)
    if record.held is None or kind is None:
        return math.inf if record.held is not None else 0.0
    return engine.kv_capacity(kind, len(record.held)) * KV_FILL_FRACTION


def crossing_cost_ms(engine: EngineModel) -> float:
    """Return the cost per token of a hop to another failure domain, including the prompt transfer.

    The link carries one transfer after the other, so a prompt delays the tokens of all streams that
    cross it.
    """
    transfer_ms = engine.prompt_transfer_ms(engine.mean_prompt_tokens)
    blocking_ms = STREAMS_PER_PIPE * transfer_ms / max(1.0, engine.mean_answer_tokens)
    return engine.domain_delay_ms + PARTITION_RISK_COST_MS + blocking_ms


def _list_segments(
    engine: EngineModel, stages: Sequence[StageLoad], requirements: PathRequirements
) -> list[_Segment]:
    """Return the segments that each replica may run: its whole range, and any kept parts."""
    segments: list[_Segment] = []
    crossing_ms = crossing_cost_ms(engine)
    capacities: dict[tuple[str, int], float] = {}
    for stage in stages:
        record = stage.record
        if record.held is None or record.replica_id in requirements.avoid:
            continue
        size = (record.kind, record.held.end - record.held.first)
        if size not in capacities:
            capacities[size] = kv_fill_capacity(engine, record)
        free_kv = capacities[size] - stage.kv_in_use
        layer_ms = token_ms(engine, stage) / engine.layers
        if requirements.kept:
            segments += _kept_segments(stage, requirements, layer_ms, engine.domain_delay_ms)
        segments.append(
            _Segment(
                stage=stage,
                first=record.held.first,
                end=record.held.end,
                layer_ms=layer_ms
                + (_migration_cost_ms(engine, stage, requirements) if requirements.kept else 0.0),
                entry_ms=HOP_COST_MS + stage.backlog_ms * BACKLOG_WEIGHT,
                crossing_ms=crossing_ms,
                most_layers=free_kv / requirements.tokens if requirements.tokens > 0 else math.inf,
                is_kept=False,
                may_be_first=_may_be_first(stage, requirements),
            )
        )
    return segments


def _kept_segments(
    stage: StageLoad, requirements: PathRequirements, layer_ms: float, delay_ms: float
) -> list[_Segment]:
    """Return the kept parts of the path that a replica runs and still holds completely."""
    record = stage.record
    segments: list[_Segment] = []
    for part in requirements.kept:
        if part.replica_id != record.replica_id or part.address != record.address:
            continue
        if record.held is None or part.layers.first < record.held.first:
            continue
        if part.layers.end > record.held.end:
            continue
        segments.append(
            _Segment(
                stage=stage,
                first=part.layers.first,
                end=part.layers.end,
                layer_ms=layer_ms,
                entry_ms=HOP_COST_MS,
                crossing_ms=delay_ms,
                most_layers=math.inf,
                is_kept=True,
                may_be_first=_may_be_first(stage, requirements),
            )
        )
    return segments


def _may_be_first(stage: StageLoad, requirements: PathRequirements) -> bool:
    """Return whether the path may start at a replica."""
    if requirements.kept:
        return stage.record.replica_id == requirements.kept[0].replica_id
    if requirements.heads is not None and stage.record.replica_id not in requirements.heads:
        return False
    return stage.headed < stage.record.slots


def _extend_to_boundary(
    active: Sequence[_Segment],
    first: int,
    end: int,
    prefixes: dict[int, dict[str, _BestPrefix]],
    closed_links: Collection[tuple[str, str]],
) -> None:
    """Extend the lowest-cost partial paths from one layer boundary to the next.

    Args:
        active: Segments that cover all layers between the two boundaries.
        first: Boundary at which the partial paths end.
        end: Next boundary.
        prefixes: Lowest-cost partial paths by boundary and failure domain; receives those to
            `end`.
        closed_links: Pairs of failure domains that the paths may not cross.
    """
    prefixes_here = prefixes.get(first, {})
    cheapest_domain = min(
        prefixes_here, key=lambda domain: prefixes_here[domain].cost_ms, default=""
    )
    count = end - first
    prefixes_there: dict[str, _BestPrefix] = {}
    for segment in active:
        domain = segment.stage.record.failure_domain
        if end - segment.entered_at > segment.most_layers:
            segment.cost_ms = math.inf
        if prefixes_here and count <= segment.most_layers and (segment.may_be_first or first > 0):
            source: str | None = cheapest_domain
            # A kept segment has the prompt already, and a path's head gets it as text.
            if closed_links and first > 0 and not segment.is_kept:
                source = _cheapest_open(domain, prefixes_here, closed_links)
            if source is not None:
                _enter_segment(segment, domain, first, prefixes_here, source)
        if segment.cost_ms == math.inf:
            continue
        segment.cost_ms += count * segment.layer_ms
        if segment.is_kept and end < segment.end:
            continue
        best = prefixes_there.get(domain)
        if best is None or segment.cost_ms < best.cost_ms:
            prefixes_there[domain] = _BestPrefix(
                segment.cost_ms, segment, segment.entered_at, segment.entered_from
            )
    if prefixes_there:
        prefixes[end] = prefixes_there


def _cheapest_open(
    domain: str,
    prefixes_here: dict[str, _BestPrefix],
    closed_links: Collection[tuple[str, str]],
) -> str | None:
    """Return the domain of the cheapest partial path that may be continued in a domain."""
    cheapest: str | None = None
    for source, prefix in prefixes_here.items():
        if (min(source, domain), max(source, domain)) in closed_links:
            continue
        if cheapest is None or prefix.cost_ms < prefixes_here[cheapest].cost_ms:
            cheapest = source
    return cheapest


def _enter_segment(
    segment: _Segment,
    domain: str,
    position: int,
    prefixes_here: dict[str, _BestPrefix],
    cheapest_domain: str,
) -> None:
    """Enter a segment at a boundary if that costs less than having entered it earlier."""
    if segment.is_kept and position != segment.first:
        return
    crossing_ms = segment.crossing_ms
    if position == 0 and not segment.is_kept:
        crossing_ms = ENTRY_CROSSING_COST_MS
    source = cheapest_domain
    cost_ms = prefixes_here[cheapest_domain].cost_ms + (
        0.0 if cheapest_domain == domain else crossing_ms
    )
    own = prefixes_here.get(domain)
    if own is not None and own.cost_ms <= cost_ms:
        source, cost_ms = domain, own.cost_ms
    cost_ms += segment.entry_ms
    if cost_ms < segment.cost_ms:
        segment.cost_ms, segment.entered_at, segment.entered_from = cost_ms, position, source


def _migration_cost_ms(
    engine: EngineModel, stage: StageLoad, requirements: PathRequirements
) -> float:
    """Return the prefill cost of a migrated request, per layer and remaining token."""
    layer_ms = prefill_ms(engine, stage.record.kind, requirements.tokens, 1) * stage.slowness
    return layer_ms * CONCURRENT_MIGRATIONS / max(1.0, engine.mean_answer_tokens / 2)


def _reconstruct_path(
    engine: EngineModel, prefixes: dict[int, dict[str, _BestPrefix]]
) -> Path | None:
    """Trace the lowest-cost path back from the last layer."""
    ends = prefixes.get(engine.layers)
    if not ends:
        return None
    prefix = min(ends.values(), key=lambda item: item.cost_ms)
    cost_ms = prefix.cost_ms
    end = engine.layers
    parts: list[PathPart] = []
    while prefix.segment is not None:
        record = prefix.segment.stage.record
        layers = LayerRange(prefix.entered_at, end)
        parts.append(PathPart(record.replica_id, record.address, layers))
        end = prefix.entered_at
        prefix = prefixes[end][prefix.entered_from]
    parts.reverse()
    joined = _merge_repeated_replicas(parts)
    return None if len(joined) > MAX_PARTS else Path(tuple(joined), cost_ms)


def _merge_repeated_replicas(parts: list[PathPart]) -> list[PathPart]:
    """Merge parts of the same replica; it also runs the layers in between, which it holds too."""
    joined: list[PathPart] = []
    for part in parts:
        seen = next(
            (index for index, old in enumerate(joined) if old.replica_id == part.replica_id), None
        )
        if seen is None:
            joined.append(part)
            continue
        whole = LayerRange(joined[seen].layers.first, part.layers.end)
        del joined[seen:]
        joined.append(PathPart(part.replica_id, part.address, whole))
    return joined
