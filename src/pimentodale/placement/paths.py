"""Finds the replicas that a request passes through, so that every layer runs once and in order.

A path is the cheapest way from layer 0 to the last one over the ranges that replicas hold. A replica
may run a part of its range, so ranges that overlap let replicas stand in for each other.
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
"""Most parts of one path; engines refuse longer ones."""

HOP_COST_MS: Final = 0.05
"""Cost of a further replica for each token: the delay within a failure domain."""

PIPE_SHARERS: Final = 100.0
"""Streams whose next token may wait for a prompt that takes the pipe between two failure domains: as many as
a site of some 40 replicas runs at once."""

CUT_EXPOSURE_MS: Final = 0.5
"""Cost for each token of a step between two failure domains besides: a cut between them ends the stream."""

ENTRY_CROSSING_COST_MS: Final = 1.0
"""Cost of a first replica in another failure domain than the request, for each token."""

MOVED_TOGETHER: Final = 20.0
"""Streams that a lost replica makes move at once, of some 90 that run on a site: new parts of their
paths read all their tokens one stream after the other."""

BACKLOG_WEIGHT: Final = 0.01
"""Cost for each token of a ms of backlog at a part. A request waits for the longest of some seven, and a
wait of 250 ms makes it late, which weighs as much as twice the usual time of a token."""

FULL_FRACTION: Final = 0.97
"""Part of a replica's memory for requests that admission fills."""


@dataclass(slots=True)
class StageLoad:
    """A replica with its load, as far as it is known."""

    record: ReplicaRecord
    """The replica; `held` is set."""

    streams: float = 0.0
    """Requests that pass through it."""

    headed: float = 0.0
    """Requests that it received as the first of their path."""

    kv_in_use: float = 0.0
    """Tokens x layers of these requests."""

    backlog_ms: float = 0.0
    """For how long it is busy reading prompts."""

    slowness: float = 1.0
    """How many times slower than its kind it runs."""


@dataclass(slots=True, frozen=True)
class PathWish:
    """What a request needs of its path."""

    failure_domain: str
    """Where the request came in."""

    tokens: float
    """Tokens that it will hold: prompt and part of the answer."""

    avoid: Collection[str] = ()
    """Ids of replicas that it must not use."""

    kept: tuple[PathPart, ...] = ()
    """Parts that run the request already, from the first replica on, which stays; a new part has to
    read all tokens so far."""

    heads: Collection[str] | None = None
    """Ids of the replicas that may be the first; `None` for any."""


@dataclass(slots=True, frozen=True)
class Path:
    """Replicas that run every layer once and in order."""

    parts: tuple[PathPart, ...]
    """Its parts from layer 0 on."""

    token_ms: float
    """Time of one token, by the engine's figures and the loads known."""


@dataclass(slots=True, eq=False)
class _Run:
    """A range of layers that one replica may run for the request."""

    stage: StageLoad
    first: int
    end: int
    layer_ms: float
    """Cost of each of its layers."""

    entry_ms: float
    """Cost of entering it."""

    crossing_ms: float
    """Cost of entering it from another failure domain."""

    most_layers: float
    """Layers that its memory has room for."""

    is_kept: bool
    """Whether it runs the request already, and then just these layers."""

    may_head: bool
    """Whether the path may begin with it."""

    cost_ms: float = math.inf
    """Cheapest way to the current boundary that ends in it; infinite while it is not entered."""

    entered_at: int = 0
    """Layer at which that way entered it."""

    entered_from: str = ""
    """Failure domain that it came from."""


@dataclass(slots=True)
class _Arrival:
    """The cheapest way found to a boundary that ends in some failure domain."""

    cost_ms: float
    run: _Run | None = None
    entered_at: int = 0
    entered_from: str = ""


def find_path(engine: EngineModel, stages: Sequence[StageLoad], wish: PathWish) -> Path | None:
    """Find the cheapest path.

    Args:
        engine: Figures of the engine.
        stages: Replicas that may be used.
        wish: What the request needs.

    Returns:
        The path, or `None` where the replicas leave a gap or lack memory.
    """
    runs = _list_runs(engine, stages, wish)
    cuts = {0, engine.layers}
    for run in runs:
        cuts.update((run.first, run.end))
    boundaries = sorted(cut for cut in cuts if cut <= engine.layers)
    starting: dict[int, list[_Run]] = {}
    for run in runs:
        starting.setdefault(run.first, []).append(run)
    arrivals = {0: {wish.failure_domain: _Arrival(0.0)}}
    active: list[_Run] = []
    for first, end in pairwise(boundaries):
        active = [run for run in active if run.end > first] + starting.get(first, [])
        _pass_through(active, first, end, arrivals)
    return _read_back(engine, arrivals)


def read_ms(engine: EngineModel, kind: str, tokens: float, layers: int) -> float:
    """Return how long a replica takes to read tokens through some of the layers.

    Args:
        engine: Figures of the engine.
        kind: Accelerator of the replica.
        tokens: Tokens to read.
        layers: Layers that they pass through.
    """
    known = engine.kinds.get(kind)
    pace = known.read_pace if known else 1.0
    return tokens / max(1e-9, engine.read_tokens_per_ms) * pace * layers / engine.layers


def token_ms(engine: EngineModel, stage: StageLoad) -> float:
    """Return the time of a token in all layers at a replica's pace, with one request more on it."""
    kind = engine.kinds.get(stage.record.kind)
    pace = (kind.pace if kind else 1.0) * stage.slowness
    read_pace = (kind.read_pace if kind else 1.0) * stage.slowness
    context_k = (engine.usual_prompt_tokens + engine.usual_answer_tokens / 2) / 1_000
    each_ms = engine.per_sequence_ms + engine.per_context_k_ms * context_k
    # Reading the prompts of others takes turns with writing, so it counts for each token written.
    prompt_ms = engine.usual_prompt_tokens / max(1e-9, engine.read_tokens_per_ms)
    read_share_ms = prompt_ms / max(1.0, engine.usual_answer_tokens)
    batch = stage.streams + 1.0
    return pace * (engine.step_ms + batch * each_ms) + read_pace * read_share_ms * batch


def fill_capacity(engine: EngineModel, record: ReplicaRecord) -> float:
    """Return the tokens x layers of requests up to which a replica is filled; 0 for an empty one."""
    kind = engine.kinds.get(record.kind)
    if record.held is None or kind is None:
        return math.inf if record.held is not None else 0.0
    return engine.kv_capacity(kind, len(record.held)) * FULL_FRACTION


def crossing_cost_ms(engine: EngineModel) -> float:
    """Return what a step to another failure domain costs for each token, where the prompt goes with it.

    The pipe carries one transfer after the other, so a prompt holds up the tokens of all streams that
    cross there.
    """
    transfer_ms = engine.prompt_transfer_ms(engine.usual_prompt_tokens)
    held_up_ms = PIPE_SHARERS * transfer_ms / max(1.0, engine.usual_answer_tokens)
    return engine.domain_delay_ms + CUT_EXPOSURE_MS + held_up_ms


def _list_runs(engine: EngineModel, stages: Sequence[StageLoad], wish: PathWish) -> list[_Run]:
    """Return what each replica may run: its whole range, and what it runs already."""
    runs: list[_Run] = []
    crossing_ms = crossing_cost_ms(engine)
    capacities: dict[tuple[str, int], float] = {}
    for stage in stages:
        record = stage.record
        if record.held is None or record.replica_id in wish.avoid:
            continue
        size = (record.kind, record.held.end - record.held.first)
        if size not in capacities:
            capacities[size] = fill_capacity(engine, record)
        room = capacities[size] - stage.kv_in_use
        layer_ms = token_ms(engine, stage) / engine.layers
        if wish.kept:
            runs += _kept_runs(stage, wish, layer_ms, engine.domain_delay_ms)
        runs.append(
            _Run(
                stage=stage,
                first=record.held.first,
                end=record.held.end,
                layer_ms=layer_ms + (_reread_ms(engine, stage, wish) if wish.kept else 0.0),
                entry_ms=HOP_COST_MS + stage.backlog_ms * BACKLOG_WEIGHT,
                crossing_ms=crossing_ms,
                most_layers=room / wish.tokens if wish.tokens > 0 else math.inf,
                is_kept=False,
                may_head=_may_head(stage, wish),
            )
        )
    return runs


def _kept_runs(stage: StageLoad, wish: PathWish, layer_ms: float, delay_ms: float) -> list[_Run]:
    """Return the parts of a path that a replica runs already, as far as it still holds them."""
    record = stage.record
    runs: list[_Run] = []
    for part in wish.kept:
        if part.replica_id != record.replica_id or part.address != record.address:
            continue
        if record.held is None or part.layers.first < record.held.first:
            continue
        if part.layers.end > record.held.end:
            continue
        runs.append(
            _Run(
                stage=stage,
                first=part.layers.first,
                end=part.layers.end,
                layer_ms=layer_ms,
                entry_ms=HOP_COST_MS,
                crossing_ms=delay_ms,
                most_layers=math.inf,
                is_kept=True,
                may_head=_may_head(stage, wish),
            )
        )
    return runs


def _may_head(stage: StageLoad, wish: PathWish) -> bool:
    """Whether a replica may be the first of the path."""
    if wish.kept:
        return stage.record.replica_id == wish.kept[0].replica_id
    if wish.heads is not None and stage.record.replica_id not in wish.heads:
        return False
    return stage.headed < stage.record.slots


def _pass_through(
    active: Sequence[_Run], first: int, end: int, arrivals: dict[int, dict[str, _Arrival]]
) -> None:
    """Extend the cheapest ways from one boundary to the next.

    Args:
        active: Runs that hold all layers between the two.
        first: The boundary.
        end: The next one.
        arrivals: Cheapest ways by boundary and failure domain; receives those to `end`.
    """
    here = arrivals.get(first, {})
    nearest = min(here, key=lambda domain: here[domain].cost_ms, default="")
    count = end - first
    there: dict[str, _Arrival] = {}
    for run in active:
        domain = run.stage.record.failure_domain
        if end - run.entered_at > run.most_layers:
            run.cost_ms = math.inf
        if here and count <= run.most_layers and (run.may_head or first > 0):
            _enter(run, domain, first, here, nearest)
        if run.cost_ms == math.inf:
            continue
        run.cost_ms += count * run.layer_ms
        if run.is_kept and end < run.end:
            continue
        best = there.get(domain)
        if best is None or run.cost_ms < best.cost_ms:
            there[domain] = _Arrival(run.cost_ms, run, run.entered_at, run.entered_from)
    if there:
        arrivals[end] = there


def _enter(run: _Run, domain: str, position: int, here: dict[str, _Arrival], nearest: str) -> None:
    """Enter a run at a boundary where that is cheaper than having entered it before."""
    if run.is_kept and position != run.first:
        return
    crossing_ms = run.crossing_ms
    if position == 0 and not run.is_kept:
        crossing_ms = ENTRY_CROSSING_COST_MS
    source = nearest
    cost_ms = here[nearest].cost_ms + (0.0 if nearest == domain else crossing_ms)
    own = here.get(domain)
    if own is not None and own.cost_ms <= cost_ms:
        source, cost_ms = domain, own.cost_ms
    cost_ms += run.entry_ms
    if cost_ms < run.cost_ms:
        run.cost_ms, run.entered_at, run.entered_from = cost_ms, position, source


def _reread_ms(engine: EngineModel, stage: StageLoad, wish: PathWish) -> float:
    """Return what reading a moved request anew costs for each layer and token still to come."""
    layer_ms = read_ms(engine, stage.record.kind, wish.tokens, 1) * stage.slowness
    return layer_ms * MOVED_TOGETHER / max(1.0, engine.usual_answer_tokens / 2)


def _read_back(engine: EngineModel, arrivals: dict[int, dict[str, _Arrival]]) -> Path | None:
    """Follow the cheapest way back from the last layer."""
    ends = arrivals.get(engine.layers)
    if not ends:
        return None
    arrival = min(ends.values(), key=lambda item: item.cost_ms)
    cost_ms = arrival.cost_ms
    end = engine.layers
    parts: list[PathPart] = []
    while arrival.run is not None:
        record = arrival.run.stage.record
        layers = LayerRange(arrival.entered_at, end)
        parts.append(PathPart(record.replica_id, record.address, layers))
        end = arrival.entered_at
        arrival = arrivals[end][arrival.entered_from]
    parts.reverse()
    joined = _join_repeats(parts)
    return None if len(joined) > MAX_PARTS else Path(tuple(joined), cost_ms)


def _join_repeats(parts: list[PathPart]) -> list[PathPart]:
    """Let a replica that comes again run what lies between as well: it holds those layers too."""
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
