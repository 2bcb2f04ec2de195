"""Checks that a token ran through every layer once, in order, along the route it was sent on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.clients.engine_messages import Hop, StageReceipt


class ReceiptFault(msgspec.Struct, frozen=True):
    """Why a receipt was not accepted."""

    problem: str
    """What is wrong."""

    replica: str = ""
    """Stage of the route that it speaks against; empty when that can't be told."""


def receipt_fault(
    receipt: Sequence[StageReceipt], route: Sequence[Hop], layers: int
) -> ReceiptFault | None:
    """Check one token's receipt.

    Args:
        receipt: Stages in the order in which they ran.
        route: The route that the request was sent on.
        layers: Layers of the model.

    Returns:
        What is wrong, or `None` if the receipt tiles 0..layers once, in order, by the route's
        own replicas.
    """
    replicas = {hop.replica for hop in route}
    next_layer = 0
    for stage in receipt:
        blamed = stage.replica if stage.replica in replicas else ""
        if stage.first_layer != next_layer:
            problem = f"layer {next_layer} is followed by {stage.first_layer} at {stage.replica}"
            return ReceiptFault(problem, blamed)
        if stage.last_layer <= stage.first_layer:
            return ReceiptFault(f"{stage.replica} ran no layer", blamed)
        next_layer = stage.last_layer
    if next_layer != layers:
        return ReceiptFault(f"ends at layer {next_layer} of {layers}")
    if [stage.replica for stage in receipt] != [hop.replica for hop in route]:
        return ReceiptFault("names other replicas than the route")
    return None


def route_fault(route: Sequence[Hop], layers: int) -> str | None:
    """Check that a route tiles 0..layers; returns what is wrong, if anything is."""
    next_layer = 0
    for hop in route:
        if hop.first_layer != next_layer or hop.last_layer <= hop.first_layer:
            return f"{hop.replica} runs {hop.first_layer}..{hop.last_layer} after {next_layer}"
        next_layer = hop.last_layer
    return None if next_layer == layers else f"ends at layer {next_layer} of {layers}"
