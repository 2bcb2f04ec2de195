"""Decides which replica holds which layers.

Each failure domain gets a complete copy of the model if its replicas have enough memory. A layer
that no replica of the domain holds has the highest cost. Otherwise, a replica is assigned the
layers where it reduces the time per token most: those held by slow replicas or by few replicas.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.site.model import LayerRange

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pimentodale.site.model import EngineModel

WEIGHTS_FRACTION: Final = 0.65
"""Fraction of a replica's memory for weights; the rest holds the KV cache of requests.

With this fraction, a copy holds about 60 requests of the usual size, about as many as it can
run at its speed.
"""

TIGHT_WEIGHTS_FRACTION: Final = 0.78
"""Fraction used if a failure domain could not hold every layer otherwise."""

GAP_PACE: Final = 1_000.0
"""Pace of a layer that no replica holds. A pace is a relative time per token, so lower is faster;
those of accelerators are about 1 to 20."""

SINGLE_HOLDER_PACE: Final = 200.0
"""Pace that a layer with a single holder counts as having after the loss of that holder, which ends
all paths within the domain. A single holder of the first layer also limits the domain to the
streams that one replica may head."""

REDUNDANT_COPIES: Final = 2.25
"""Copies of the model that a failure domain must have memory for before its layers get a second
holder. Ranges overlap, so memory for exactly two copies leaves some layers with one holder and
takes speed from the others."""

NO_RATE: Final = 1e-9
"""Rate up to which the holders that remain of a layer count as none; sums leave rounding errors."""

MIN_MOVE_GAIN: Final = GAP_PACE / 2
"""Minimum gain for which a replica is moved to close a gap."""

MIN_SPEEDUP_FRACTION: Final = 0.25
"""Fraction of a copy's time per token that a move must save if there is no gap. A move interrupts
the replica's streams and makes it unavailable for about 5 s."""


@dataclass(slots=True)
class LayerHolder:
    """A replica that holds or may hold layers, as the planner sees it."""

    replica_id: str
    """Id of the replica."""

    failure_domain: str
    """Failure domain of the replica."""

    kind: str
    """Accelerator kind of the replica."""

    held: LayerRange | None
    """Layers that the replica holds or has been ordered to hold."""

    is_movable: bool = True
    """Whether the replica may be given an order; False while it is carrying out an earlier one."""

    is_new: bool = False
    """Whether the replica has just joined and it may not be known yet which one it replaces."""


@dataclass(slots=True, frozen=True)
class Assignment:
    """New layer range for a replica."""

    replica_id: str
    """Id of the replica."""

    layers: LayerRange
    """Layers that the replica should hold."""


def plan_placement(
    engine: EngineModel, holders: Sequence[LayerHolder], unstable: Collection[str] = ()
) -> list[Assignment]:
    """Decide the next orders.

    Args:
        engine: Performance figures of the model and the accelerators.
        holders: Every replica that is not leaving, with the layers that it holds.
        unstable: Failure domains that are partitioned or whose replicas are reconnecting. Their
            layers are not moved, because their gaps are expected to close without orders.

    Returns:
        New layer ranges; empty if no change is worthwhile.
    """
    assignments: list[Assignment] = []
    known = [holder for holder in holders if holder.kind in engine.kinds]
    for domain in sorted({holder.failure_domain for holder in known}):
        members = [holder for holder in known if holder.failure_domain == domain]
        ordered = _fill_empty(engine, members)
        if domain not in unstable:
            ordered += _close_domain_gaps(engine, members, known)
            ordered += _rebalance(engine, members) if not ordered else []
        assignments += ordered
    assignments += _close_site_gaps(engine, known, unstable)
    return assignments


def max_layers(engine: EngineModel, kind: str, fraction: float) -> int:
    """Return how many layers fit in a fraction of an accelerator's memory."""
    memory_mb = engine.kinds[kind].memory_mb
    if engine.layer_mb <= 0:
        return engine.layers
    return min(engine.layers, int(memory_mb * fraction / engine.layer_mb))


def find_gaps(engine: EngineModel, holders: Sequence[LayerHolder]) -> list[LayerRange]:
    """Return the layer ranges that no replica holds."""
    paces = _layer_paces(engine, holders)
    gaps: list[LayerRange] = []
    for layer, pace in enumerate(paces):
        if pace < GAP_PACE:
            continue
        if gaps and gaps[-1].end == layer:
            gaps[-1] = LayerRange(gaps[-1].first, layer + 1)
        else:
            gaps.append(LayerRange(layer, layer + 1))
    return gaps


def _fill_empty(engine: EngineModel, members: list[LayerHolder]) -> list[Assignment]:
    """Assign layers to every empty replica of a failure domain, fastest replicas first."""
    fraction = _weights_fraction(engine, members)
    is_redundant = _holds_copies(engine, members, REDUNDANT_COPIES)
    assignments = []
    placed = [holder for holder in members if holder.held is not None]
    is_covered = not find_gaps(engine, placed)
    empty = [holder for holder in members if holder.held is None and holder.is_movable]
    empty.sort(key=lambda holder: (engine.kinds[holder.kind].pace, holder.replica_id))
    for holder in empty:
        peers = [peer for peer in placed if is_covered and peer.kind == holder.kind]
        others = [other for other in members if other not in peers] if len(peers) == 1 else members
        pace = engine.kinds[holder.kind].pace
        gains = _joining_gains(_layer_paces(engine, others), pace)
        if is_redundant:
            after_loss = _joining_gains(_layer_paces(engine, others, without_fastest=True), pace)
            gains = [(gain + lost) / 2 for gain, lost in zip(gains, after_loss, strict=True)]
        best, _ = _best_range(engine, holder.kind, gains, fraction)
        if len(peers) > 1 and holder.is_new and not (is_redundant and _has_single(others, best)):
            # Wait until it is known which peer it replaces.
            continue
        if best is None:
            continue
        _assign(holder, best)
        assignments.append(Assignment(holder.replica_id, best))
    return assignments


def _assign(holder: LayerHolder, layers: LayerRange) -> None:
    """Mark a replica as loading a range."""
    holder.held = layers
    holder.is_movable = False


def _close_domain_gaps(
    engine: EngineModel, members: list[LayerHolder], site: Sequence[LayerHolder]
) -> list[Assignment]:
    """Close gaps of a failure domain with replicas whose current layers are also held elsewhere."""
    assignments: list[Assignment] = []
    for _ in members:
        if not find_gaps(engine, members):
            break
        movers = _spare_holders(engine, members, site)
        move = _best_move(engine, movers, members) or _best_extension(engine, members)
        if move is None:
            break
        assignments.append(move)
    return assignments


def _rebalance(engine: EngineModel, members: list[LayerHolder]) -> list[Assignment]:
    """Move a replica with redundant layers to where it reduces the time per token considerably.

    When a large replica leaves, slow ones take over its layers and would otherwise keep them
    permanently.
    """
    if find_gaps(engine, members) or not all(holder.is_movable for holder in members):
        return []
    paces = _layer_paces(engine, members)
    least_gain = MIN_SPEEDUP_FRACTION * sum(paces)
    # Moving a replica never gains more than adding one of the same kind.
    kinds = {
        kind
        for kind in {holder.kind for holder in members}
        if _best_range(
            engine, kind, _joining_gains(paces, engine.kinds[kind].pace), WEIGHTS_FRACTION
        )[1]
        >= least_gain
    }
    movers = [holder for holder in members if holder.kind in kinds]
    move = _best_move(engine, movers, members, WEIGHTS_FRACTION, least_gain)
    return [] if move is None else [move]


def _close_site_gaps(
    engine: EngineModel, holders: list[LayerHolder], unstable: Collection[str]
) -> list[Assignment]:
    """Close gaps of the whole site with replicas of any stable failure domain."""
    assignments: list[Assignment] = []
    movers = [holder for holder in holders if holder.failure_domain not in unstable]
    for _ in movers:
        if not find_gaps(engine, holders):
            break
        move = _best_move(engine, movers, holders)
        if move is None:
            break
        assignments.append(move)
    return assignments


def _best_move(
    engine: EngineModel,
    movers: Sequence[LayerHolder],
    members: Sequence[LayerHolder],
    fraction: float = TIGHT_WEIGHTS_FRACTION,
    least_gain: float = MIN_MOVE_GAIN,
) -> Assignment | None:
    """Find the replica with redundant layers for which a move gains most.

    Args:
        engine: Performance figures of the model.
        movers: Replicas that may be moved.
        members: All replicas whose layers are taken into account.
        fraction: Fraction of the replica's memory that its new layers may take.
        least_gain: Minimum gain in pace, summed over layers, that justifies a move.
    """
    best: tuple[float, LayerHolder, LayerRange] | None = None
    for holder in movers:
        if not holder.is_movable or holder.held is None:
            continue
        others = [other for other in members if other is not holder]
        pace = engine.kinds[holder.kind].pace
        gains = _joining_gains(_layer_paces(engine, others), pace)
        wanted, gain = _best_range(engine, holder.kind, gains, fraction)
        # The replica must keep its layers until the others that will hold them have loaded them.
        loaded = [other for other in others if other.is_movable]
        staying_gain = _pace_gain(_layer_paces(engine, loaded), pace, holder.held)
        if wanted is None or gain - staying_gain < least_gain:
            continue
        if best is None or gain - staying_gain > best[0]:
            best = (gain - staying_gain, holder, wanted)
    if best is None:
        return None
    _assign(best[1], best[2])
    return Assignment(best[1].replica_id, best[2])


def _best_extension(engine: EngineModel, members: Sequence[LayerHolder]) -> Assignment | None:
    """Find a replica whose range is adjacent to a gap and that has memory for more layers."""
    for gap in find_gaps(engine, members):
        for holder in members:
            if not holder.is_movable or holder.held is None:
                continue
            spare = max_layers(engine, holder.kind, TIGHT_WEIGHTS_FRACTION) - len(holder.held)
            grown = holder.held
            if spare > 0 and grown.end == gap.first:
                grown = LayerRange(grown.first, min(gap.end, grown.end + spare))
            elif spare > 0 and grown.first == gap.end:
                grown = LayerRange(max(gap.first, grown.first - spare), grown.end)
            if grown != holder.held:
                _assign(holder, grown)
                return Assignment(holder.replica_id, grown)
    return None


def _spare_holders(
    engine: EngineModel, members: Sequence[LayerHolder], site: Sequence[LayerHolder]
) -> list[LayerHolder]:
    """Return the replicas all of whose layers are also held by another replica of the site.

    Otherwise, a domain that can't hold every layer would give up the only copy of a layer and the
    site would restore it, in an endless loop.
    """
    counts = [0] * engine.layers
    for holder in site:
        if holder.held is None:
            continue
        for layer in range(holder.held.first, min(holder.held.end, engine.layers)):
            counts[layer] += 1
    spare = []
    for holder in members:
        if holder.held is None:
            continue
        if min(counts[holder.held.first : holder.held.end], default=2) > 1:
            spare.append(holder)
    return spare


def _weights_fraction(engine: EngineModel, members: Sequence[LayerHolder]) -> float:
    """Return the memory fraction for weights; larger if the usual one can't hold every layer."""
    holds_copy = _holds_copies(engine, members, 1)
    return WEIGHTS_FRACTION if holds_copy else TIGHT_WEIGHTS_FRACTION


def _holds_copies(engine: EngineModel, members: Sequence[LayerHolder], copies: float) -> bool:
    """Whether the usual memory fraction of a failure domain's replicas holds complete copies."""
    usual = sum(max_layers(engine, holder.kind, WEIGHTS_FRACTION) for holder in members)
    return usual >= copies * engine.layers


def _has_single(holders: Sequence[LayerHolder], layers: LayerRange | None) -> bool:
    """Whether some of the layers have a single holder."""
    if layers is None:
        return False
    held = [holder.held for holder in holders if holder.held is not None]
    for layer in range(layers.first, layers.end):
        if sum(each.first <= layer < each.end for each in held) == 1:
            return True
    return False


def _layer_paces(
    engine: EngineModel, holders: Sequence[LayerHolder], *, without_fastest: bool = False
) -> list[float]:
    """Return the combined pace of the holders of each layer; `GAP_PACE` if there are none.

    Args:
        engine: Performance figures of the model.
        holders: The replicas that count.
        without_fastest: Whether each layer is taken without its fastest holder. A layer that has no
            other one then has `SINGLE_HOLDER_PACE`.
    """
    rates = [0.0] * engine.layers
    fastest = [0.0] * engine.layers
    for holder in holders:
        if holder.held is None:
            continue
        rate = 1.0 / engine.kinds[holder.kind].pace
        for layer in range(holder.held.first, min(holder.held.end, engine.layers)):
            rates[layer] += rate
            fastest[layer] = max(fastest[layer], rate)
    paces = [1.0 / rate if rate > 0 else GAP_PACE for rate in rates]
    if not without_fastest:
        return paces
    remaining = [rate - top for rate, top in zip(rates, fastest, strict=True)]
    return [
        pace if pace >= GAP_PACE else 1.0 / rate if rate > NO_RATE else SINGLE_HOLDER_PACE
        for pace, rate in zip(paces, remaining, strict=True)
    ]


def _joining_gains(paces: Sequence[float], pace: float) -> list[float]:
    """Return by how much a further holder with the given pace lowers the pace of each layer."""
    return [each - 1.0 / (1.0 / each + 1.0 / pace) for each in paces]


def _best_range(
    engine: EngineModel, kind: str, gains: Sequence[float], fraction: float
) -> tuple[LayerRange | None, float]:
    """Return the range where a replica gains most, and the gain.

    Args:
        engine: Performance figures of the model.
        kind: Accelerator kind of the replica.
        gains: What the replica gains at each layer.
        fraction: Fraction of its memory for weights.
    """
    length = max_layers(engine, kind, fraction)
    if length < 1:
        return None, 0.0
    best: LayerRange | None = None
    best_gain = 0.0
    for first in range(engine.layers - length + 1):
        gain = sum(gains[first : first + length])
        if best is None or gain > best_gain + 1e-9:
            best, best_gain = LayerRange(first, first + length), gain
    return best, best_gain


def _pace_gain(paces: Sequence[float], pace: float, layers: LayerRange) -> float:
    """Return by how much a replica with the given pace lowers the paces of the layers."""
    return sum(_joining_gains(paces[layers.first : layers.end], pace))
