"""What the configuration wishes of each engine, and which change may begin now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pimentodale.clients.engine_messages import EngineOrder, EngineStateReport

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pimentodale.configuration.documents import PlacedReplica, Placement


class WishedChange(msgspec.Struct, frozen=True):
    """An order that an engine still needs."""

    order: EngineOrder
    """The order."""

    load_bytes: int
    """Octets that it makes the engine read from the weight store; 0 for none."""

    takes_out: bool
    """Whether the engine stops serving while it follows."""


def find_change(
    report: EngineStateReport, placements: Iterable[Placement], fencing_number: int
) -> WishedChange | None:
    """Compare what an engine was last ordered with what the configuration wishes.

    Args:
        report: The engine's own word.
        placements: Placements of its failure domain; the first that speaks of it decides.
        fencing_number: Number that the order carries.

    Returns:
        The next order; `None` if the engine is as wished, or leaving.
    """
    wished = report.wished
    if wished.state == "leaving":
        return None
    for placement in placements:
        placed = _find_placed(placement, report.replica)
        if placed is not None:
            return _change_placed(report, placement, placed, fencing_number)
        if wished.model != placement.model:
            continue
        if report.replica in placement.unloaded:
            order = EngineOrder(fencing_number=fencing_number, order="unload")
            return WishedChange(order, 0, True)
        return _change_held(report, placement, fencing_number)
    return None


def keeps_minimum(
    report: EngineStateReport, reports: Sequence[EngineStateReport], placements: Iterable[Placement]
) -> bool:
    """Whether enough engines serve each layer of this engine's range without it.

    Args:
        report: The engine that is to change.
        reports: All engines of the failure domain that answer.
        placements: Placements of the failure domain, which name the minimum.

    Returns:
        True also for an engine that does not serve now.
    """
    if not _serves(report):
        return True
    held = report.reached
    minimum = max(
        (place.min_serving_replicas for place in placements if place.model == held.model), default=0
    )
    others = [
        other.reached
        for other in reports
        if other.replica != report.replica and _serves(other) and other.reached.model == held.model
    ]
    for layer in range(held.first_layer, held.last_layer):
        serving = sum(other.first_layer <= layer < other.last_layer for other in others)
        if serving < minimum:
            return False
    return True


def _serves(report: EngineStateReport) -> bool:
    """Whether an engine serves and goes on doing so."""
    return (
        report.reached.state == "live"
        and report.wished.state == "live"
        and report.reached.model != ""
    )


def _find_placed(placement: Placement, replica: str) -> PlacedReplica | None:
    """Return the line that puts an engine under a placement."""
    for placed in placement.replicas:
        if placed.replica == replica:
            return placed
    return None


def _change_placed(
    report: EngineStateReport, placement: Placement, placed: PlacedReplica, fencing_number: int
) -> WishedChange | None:
    """Return the order for an engine that the configuration names."""
    wished = report.wished
    now = (wished.model, wished.first_layer, wished.last_layer)
    if now == (placement.model, placed.first_layer, placed.last_layer):
        return _change_held(report, placement, fencing_number)
    order = EngineOrder(
        fencing_number=fencing_number,
        order="load",
        model=placement.model,
        version=placement.version,
        adapters=placement.adapters,
        role=placement.role,
        first_layer=placed.first_layer,
        last_layer=placed.last_layer,
    )
    return WishedChange(order, placement.load_bytes, True)


def _change_held(
    report: EngineStateReport, placement: Placement, fencing_number: int
) -> WishedChange | None:
    """Return the order for an engine that holds the right layers."""
    wished = report.wished
    if placement.version and wished.version != placement.version:
        order = EngineOrder(
            fencing_number=fencing_number, order="version", version=placement.version
        )
        return WishedChange(order, placement.load_bytes, True)
    if placement.adapters and sorted(wished.adapters) != sorted(placement.adapters):
        order = EngineOrder(
            fencing_number=fencing_number, order="adapter", adapters=placement.adapters
        )
        return WishedChange(order, placement.load_bytes, True)
    if placement.role and wished.role != placement.role:
        order = EngineOrder(fencing_number=fencing_number, order="role", role=placement.role)
        return WishedChange(order, 0, False)
    return None
