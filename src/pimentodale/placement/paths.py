"""Finds the replicas that a request passes through, so that every layer runs once and in order.

A path is the cheapest way from layer 0 to the last one over the ranges that replicas hold. A replica
may run a part of its range, so ranges that overlap let replicas stand in for each other.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
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

CROSSING_COST_MS: Final = 4.0
"""Cost of a step to another failure domain within a path, for each token.

The delay is a tenth of it; the rest keeps paths within one domain, so that a cut between two domains
meets as few streams as possible.
"""

ENTRY_CROSSING_COST_MS: Final = 1.0
"""Cost of a first replica in another failure domain than the request, for each token."""

FULL_FRACTION: Final = 0.97
"""Part of a replica's memory for requests that admission fills."""


@dataclass(slots=True, frozen=True)
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

    head: str = ""
    """Id of the replica that must be the first; empty for any."""


@dataclass(slots=True, frozen=True)
class Path:
    """Replicas that run every layer once and in order."""

    parts: tuple[PathPart, ...]
    """Its parts from layer 0 on."""

    token_ms: float
    """Time of one token, by the engine's figures and the loads known."""


@dataclass(slots=True)
class _Arrival:
    """The cheapest way found to a layer in a failure domain."""

    cost_ms: float
    previous: tuple[int, str] | None
    stage: StageLoad | None
    first: int


def find_path(engine: EngineModel, stages: Sequence[StageLoad], wish: PathWish) -> Path | None:
    """Find the cheapest path.

    Args:
        engine: Figures of the engine.
        stages: Replicas that may be used.
        wish: What the request needs.

    Returns:
        The path, or `None` where the replicas leave a gap or lack memory.
    """
    usable = [stage for stage in stages if stage.record.replica_id not in wish.avoid]
    by_position = _stages_by_position(engine, usable)
    firsts = sorted({stage.record.held.first for stage in usable if stage.record.held})
    arrivals: dict[int, dict[str, _Arrival]] = {
        0: {wish.failure_domain: _Arrival(0.0, None, None, 0)}
    }
    for position in sorted({*firsts, *by_position}):
        here = arrivals.get(position)
        if here is None or position >= engine.layers:
            continue
        for stage in by_position.get(position, ()):
            if position == 0 and not _may_head(stage, wish):
                continue
            _leave(engine, stage, position, firsts, arrivals, here, wish)
    return _read_back(engine, arrivals)


def token_ms(engine: EngineModel, stage: StageLoad) -> float:
    """Return the time of a token in all layers at a replica's pace, with one request more on it."""
    kind = engine.kinds.get(stage.record.kind)
    pace = (kind.pace if kind else 1.0) * stage.slowness
    read_pace = (kind.read_pace if kind else 1.0) * stage.slowness
    context_k = (engine.usual_prompt_tokens + engine.usual_answer_tokens / 2) / 1_000
    each_ms = engine.per_sequence_ms + engine.per_context_k_ms * context_k
    # Reading the prompts of others takes turns with writing, so it counts for each token written.
    read_ms = engine.usual_prompt_tokens / max(1e-9, engine.read_tokens_per_ms)
    read_share_ms = read_ms / max(1.0, engine.usual_answer_tokens)
    batch = stage.streams + 1.0
    return pace * (engine.step_ms + batch * each_ms) + read_pace * read_share_ms * batch


def _stages_by_position(
    engine: EngineModel, stages: Sequence[StageLoad]
) -> dict[int, list[StageLoad]]:
    """Return the stages that can go on from each boundary of any range."""
    held = [(stage, stage.record.held) for stage in stages if stage.record.held]
    boundaries = {0}
    for _, layers in held:
        boundaries.update((layers.first, layers.end))
    positions: dict[int, list[StageLoad]] = {}
    for position in boundaries:
        if position >= engine.layers:
            continue
        positions[position] = [
            stage for stage, layers in held if layers.first <= position < layers.end
        ]
    return positions


def _may_head(stage: StageLoad, wish: PathWish) -> bool:
    """Whether a replica may be the first of the path."""
    if wish.head:
        return stage.record.replica_id == wish.head
    return stage.headed < stage.record.slots


def _leave(
    engine: EngineModel,
    stage: StageLoad,
    position: int,
    firsts: list[int],
    arrivals: dict[int, dict[str, _Arrival]],
    here: dict[str, _Arrival],
    wish: PathWish,
) -> None:
    """Extend the cheapest ways to `position` by a part at one replica."""
    record = stage.record
    if record.held is None:
        return
    domain = record.failure_domain
    step_ms = ENTRY_CROSSING_COST_MS if position == 0 else CROSSING_COST_MS
    start = min(
        here.items(),
        key=lambda item: item[1].cost_ms + (0.0 if item[0] == domain else step_ms),
    )
    crossing_ms = 0.0 if start[0] == domain else step_ms
    base_ms = start[1].cost_ms + crossing_ms + HOP_COST_MS
    layer_ms = token_ms(engine, stage) / engine.layers
    kind = engine.kinds.get(record.kind)
    capacity = engine.kv_capacity(kind, len(record.held)) if kind else math.inf
    room = capacity * FULL_FRACTION - stage.kv_in_use
    ends = [first for first in firsts[bisect_right(firsts, position) :] if first < record.held.end]
    for end in (*ends, record.held.end):
        if wish.tokens * (end - position) > room:
            break
        cost_ms = base_ms + (end - position) * layer_ms
        known = arrivals.setdefault(end, {})
        best = known.get(domain)
        if best is None or cost_ms < best.cost_ms:
            known[domain] = _Arrival(cost_ms, (position, start[0]), stage, position)


def _read_back(engine: EngineModel, arrivals: dict[int, dict[str, _Arrival]]) -> Path | None:
    """Follow the cheapest way back from the last layer."""
    ends = arrivals.get(engine.layers)
    if not ends:
        return None
    arrival = min(ends.values(), key=lambda item: item.cost_ms)
    cost_ms = arrival.cost_ms
    end = engine.layers
    parts: list[PathPart] = []
    while arrival.previous is not None and arrival.stage is not None:
        record = arrival.stage.record
        parts.append(PathPart(record.replica_id, record.address, LayerRange(arrival.first, end)))
        end, domain = arrival.previous
        arrival = arrivals[end][domain]
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
