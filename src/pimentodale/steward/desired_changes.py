"""Compares each engine's state with the configured placements and finds the next order."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pimentodale.clients.engine_messages import EngineOrder, EngineStateReport

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pimentodale.configuration.documents import PlacedReplica, Placement


class DesiredChange(msgspec.Struct, frozen=True):
    """An order that an engine still needs."""

    order: EngineOrder
    """The order to send."""

    load_bytes: int
    """Bytes that the engine reads from the weight store for it; 0 for none."""

    takes_out: bool
    """Whether the engine stops serving while it executes the order."""


def find_change(
    report: EngineStateReport, placements: Iterable[Placement], fencing_number: int
) -> DesiredChange | None:
    """Compare an engine's last ordered state with the configured placements.

    Args:
        report: The engine's own state report.
        placements: Placements of its failure domain; the first that applies to the engine is used.
        fencing_number: Fencing number of the order.

    Returns:
        The next order; `None` if the engine needs none or is leaving.
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
            return DesiredChange(order, 0, True)
        return _change_loaded(report, placement, fencing_number)
    return None


def keeps_minimum(
    report: EngineStateReport, reports: Sequence[EngineStateReport], placements: Iterable[Placement]
) -> bool:
    """Whether enough other engines serve each layer of this engine's range.

    Args:
        report: State of the engine that is to be changed.
        reports: States of all engines of the failure domain that answered.
        placements: Placements of the failure domain, which define the minimum.

    Returns:
        Whether they do; also True if the engine itself is not serving.
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
    """Whether an engine is serving and was not ordered to stop."""
    return (
        report.reached.state == "live"
        and report.wished.state == "live"
        and report.reached.model != ""
    )


def _find_placed(placement: Placement, replica: str) -> PlacedReplica | None:
    """Return a placement's entry for an engine."""
    for placed in placement.replicas:
        if placed.replica == replica:
            return placed
    return None


def _change_placed(
    report: EngineStateReport, placement: Placement, placed: PlacedReplica, fencing_number: int
) -> DesiredChange | None:
    """Return the order for an engine that a placement names."""
    wished = report.wished
    now = (wished.model, wished.first_layer, wished.last_layer)
    if now == (placement.model, placed.first_layer, placed.last_layer):
        return _change_loaded(report, placement, fencing_number)
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
    return DesiredChange(order, placement.load_bytes, True)


def _change_loaded(
    report: EngineStateReport, placement: Placement, fencing_number: int
) -> DesiredChange | None:
    """Return the order for an engine that holds the configured layers."""
    wished = report.wished
    if placement.version and wished.version != placement.version:
        order = EngineOrder(
            fencing_number=fencing_number, order="version", version=placement.version
        )
        return DesiredChange(order, placement.load_bytes, True)
    if placement.adapters and sorted(wished.adapters) != sorted(placement.adapters):
        order = EngineOrder(
            fencing_number=fencing_number, order="adapter", adapters=placement.adapters
        )
        return DesiredChange(order, placement.load_bytes, True)
    if placement.role and wished.role != placement.role:
        order = EngineOrder(fencing_number=fencing_number, order="role", role=placement.role)
        return DesiredChange(order, 0, False)
    return None
