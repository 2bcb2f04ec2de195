"""Decides which replica holds which layers.

Each failure domain gets a whole copy of its own where its replicas allow that. A layer that no
replica of the domain holds costs most; beyond that, a replica goes where it takes the most time off
a token: layers that slow replicas hold, or that few hold.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.site.model import LayerRange

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pimentodale.site.model import EngineModel

WEIGHTS_FRACTION: Final = 0.65
"""Part of a replica's memory that weights take; the rest holds requests.

At this figure a copy holds some 60 requests of the usual size, about as many as its pace allows.
"""

TIGHT_WEIGHTS_FRACTION: Final = 0.78
"""The same where a failure domain could not hold every layer otherwise."""

GAP_PACE: Final = 1_000.0
"""Cost of a layer that nobody holds, against paces of about 1 to 20."""

MOVE_GAIN: Final = GAP_PACE / 2
"""Least gain for which a replica gives layers up to close a gap."""

SPEED_GAIN_FRACTION: Final = 0.25
"""Part of a copy's time for a token that must be saved for a replica to be moved without a gap: its
streams break off, and it is away for some 5 s."""


@dataclass(slots=True)
class Holder:
    """A replica to plan for."""

    replica_id: str
    """The replica."""

    failure_domain: str
    """Where it stands."""

    kind: str
    """Its accelerator."""

    held: LayerRange | None
    """Layers that it holds or has been ordered to hold."""

    is_movable: bool = True
    """Whether it may be ordered; False while an order is under way, and what it holds is being loaded."""

    is_new: bool = False
    """Whether it has just joined, so that whom it replaces may not be known yet."""


@dataclass(slots=True, frozen=True)
class Assignment:
    """A replica's new range."""

    replica_id: str
    """The replica."""

    layers: LayerRange
    """Layers that it is to hold."""


def plan_placement(
    engine: EngineModel, holders: Sequence[Holder], unsettled: Collection[str] = ()
) -> list[Assignment]:
    """Decide the next orders.

    Args:
        engine: Figures of the model and of the accelerators.
        holders: Every replica that stays, with what it holds.
        unsettled: Failure domains whose replicas are coming back or are cut off: what they hold is
            left as it is, since their gaps are about to close by themselves.

    Returns:
        New ranges; empty when nothing is worth changing.
    """
    assignments: list[Assignment] = []
    known = [holder for holder in holders if holder.kind in engine.kinds]
    for domain in sorted({holder.failure_domain for holder in known}):
        members = [holder for holder in known if holder.failure_domain == domain]
        ordered = _fill_empty(engine, members)
        if domain not in unsettled:
            ordered += _close_gaps(engine, members, known)
            ordered += _speed_up(engine, members) if not ordered else []
        assignments += ordered
    assignments += _lend(engine, known, unsettled)
    return assignments


def max_layers(engine: EngineModel, kind: str, fraction: float) -> int:
    """Return how many layers fit in a part of an accelerator's memory."""
    memory_mb = engine.kinds[kind].memory_mb
    if engine.layer_mb <= 0:
        return engine.layers
    return min(engine.layers, int(memory_mb * fraction / engine.layer_mb))


def find_gaps(engine: EngineModel, holders: Sequence[Holder]) -> list[LayerRange]:
    """Return the ranges that none of the replicas holds."""
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


def _fill_empty(engine: EngineModel, members: list[Holder]) -> list[Assignment]:
    """Give every empty replica of a failure domain its layers, the fastest first."""
    fraction = _weights_fraction(engine, members)
    assignments = []
    settled = [holder for holder in members if holder.held is not None]
    is_covered = not find_gaps(engine, settled)
    empty = [holder for holder in members if holder.held is None and holder.is_movable]
    empty.sort(key=lambda holder: (engine.kinds[holder.kind].pace, holder.replica_id))
    for holder in empty:
        peers = [peer for peer in settled if is_covered and peer.kind == holder.kind]
        if len(peers) > 1 and holder.is_new:
            # Which one it replaces is about to show.
            continue
        others = [other for other in members if other not in peers] if len(peers) == 1 else members
        best, _ = _best_range(engine, holder.kind, _layer_paces(engine, others), fraction)
        if best is None:
            continue
        _assign(holder, best)
        assignments.append(Assignment(holder.replica_id, best))
    return assignments


def _assign(holder: Holder, layers: LayerRange) -> None:
    """Note that a replica is about to load a range."""
    holder.held = layers
    holder.is_movable = False


def _close_gaps(
    engine: EngineModel, members: list[Holder], site: Sequence[Holder]
) -> list[Assignment]:
    """Close gaps of a failure domain with replicas that aren't needed where they are."""
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


def _speed_up(engine: EngineModel, members: list[Holder]) -> list[Assignment]:
    """Move a replica whose layers others hold too to where it makes a token much faster.

    A large replica that leaves has its layers taken by slow ones, which would keep them for good.
    """
    if find_gaps(engine, members) or not all(holder.is_movable for holder in members):
        return []
    paces = _layer_paces(engine, members)
    least_gain = SPEED_GAIN_FRACTION * sum(paces)
    # No replica gains more by a move than one more of its kind would.
    kinds = {
        kind
        for kind in {holder.kind for holder in members}
        if _best_range(engine, kind, paces, WEIGHTS_FRACTION)[1] >= least_gain
    }
    movers = [holder for holder in members if holder.kind in kinds]
    move = _best_move(engine, movers, members, WEIGHTS_FRACTION, least_gain)
    return [] if move is None else [move]


def _lend(
    engine: EngineModel, holders: list[Holder], unsettled: Collection[str]
) -> list[Assignment]:
    """Close gaps that no failure domain covers, with replicas of any settled one."""
    assignments: list[Assignment] = []
    movers = [holder for holder in holders if holder.failure_domain not in unsettled]
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
    movers: Sequence[Holder],
    members: Sequence[Holder],
    fraction: float = TIGHT_WEIGHTS_FRACTION,
    least_gain: float = MOVE_GAIN,
) -> Assignment | None:
    """Find the replica whose layers others hold too and that gains the most elsewhere.

    Args:
        engine: Figures of the model.
        movers: Replicas that may be moved.
        members: All replicas that count.
        fraction: Part of its memory that its new layers may take.
        least_gain: Least gain in pace, summed over layers, that is worth a move.
    """
    best: tuple[float, Holder, LayerRange] | None = None
    for holder in movers:
        if not holder.is_movable or holder.held is None:
            continue
        others = [other for other in members if other is not holder]
        wanted, gain = _best_range(engine, holder.kind, _layer_paces(engine, others), fraction)
        # It is needed where it is until those have loaded that are to hold the same layers.
        loaded = [other for other in others if other.is_movable]
        pace = engine.kinds[holder.kind].pace
        stay = _gain(_layer_paces(engine, loaded), pace, holder.held)
        if wanted is None or gain - stay < least_gain:
            continue
        if best is None or gain - stay > best[0]:
            best = (gain - stay, holder, wanted)
    if best is None:
        return None
    _assign(best[1], best[2])
    return Assignment(best[1].replica_id, best[2])


def _best_extension(engine: EngineModel, members: Sequence[Holder]) -> Assignment | None:
    """Find a replica beside a gap that has memory for some more layers."""
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
    engine: EngineModel, members: Sequence[Holder], site: Sequence[Holder]
) -> list[Holder]:
    """Return the replicas that hold no layer which no other one of the site holds.

    A domain that can't hold every layer would else take such a layer away, and the site bring it back, for
    ever.
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


def _weights_fraction(engine: EngineModel, members: Sequence[Holder]) -> float:
    """Return the part of memory for weights: more where the usual one can't hold every layer."""
    usual = sum(max_layers(engine, holder.kind, WEIGHTS_FRACTION) for holder in members)
    return WEIGHTS_FRACTION if usual >= engine.layers else TIGHT_WEIGHTS_FRACTION


def _layer_paces(engine: EngineModel, holders: Sequence[Holder]) -> list[float]:
    """Return for each layer the pace of its holders together."""
    rates = [0.0] * engine.layers
    for holder in holders:
        if holder.held is None:
            continue
        rate = 1.0 / engine.kinds[holder.kind].pace
        for layer in range(holder.held.first, min(holder.held.end, engine.layers)):
            rates[layer] += rate
    return [1.0 / rate if rate > 0 else GAP_PACE for rate in rates]


def _best_range(
    engine: EngineModel, kind: str, paces: Sequence[float], fraction: float
) -> tuple[LayerRange | None, float]:
    """Return where a replica takes the most off a token, and how much."""
    length = max_layers(engine, kind, fraction)
    if length < 1:
        return None, 0.0
    pace = engine.kinds[kind].pace
    best: LayerRange | None = None
    best_gain = 0.0
    for first in range(engine.layers - length + 1):
        candidate = LayerRange(first, first + length)
        gain = _gain(paces, pace, candidate)
        if best is None or gain > best_gain + 1e-9:
            best, best_gain = candidate, gain
    return best, best_gain


def _gain(paces: Sequence[float], pace: float, layers: LayerRange) -> float:
    """Return how much a replica of some pace takes off the layers' paces."""
    gain = 0.0
    for layer in range(layers.first, min(layers.end, len(paces))):
        joined = 1.0 / (1.0 / paces[layer] + 1.0 / pace)
        gain += paces[layer] - joined
    return gain
