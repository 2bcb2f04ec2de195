"""Checks that a token ran through every layer once, in order, on the route it was sent on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.clients.engine_messages import Hop, StageReceipt


class ReceiptFault(msgspec.Struct, frozen=True):
    """Why a receipt was rejected."""

    problem: str
    """Description of the problem."""

    replica: str = ""
    """Replica on the route that is at fault; empty if it can't be determined."""


def check_receipt(
    receipt: Sequence[StageReceipt], route: Sequence[Hop], layers: int
) -> ReceiptFault | None:
    """Check one token's receipt.

    Args:
        receipt: Stages in the order in which they ran.
        route: The route that the request was sent on.
        layers: Layers of the model.

    Returns:
        The fault, or `None` if the route's replicas ran layers 0 to `layers` - 1 once, in order.
    """
    replicas = {hop.replica for hop in route}
    next_layer = 0
    for stage in receipt:
        at_fault = stage.replica if stage.replica in replicas else ""
        if stage.first_layer != next_layer:
            problem = f"layer {next_layer} is followed by {stage.first_layer} at {stage.replica}"
            return ReceiptFault(problem, at_fault)
        if stage.last_layer <= stage.first_layer:
            return ReceiptFault(f"{stage.replica} ran no layer", at_fault)
        next_layer = stage.last_layer
    if next_layer != layers:
        return ReceiptFault(f"ends at layer {next_layer} of {layers}")
    if [stage.replica for stage in receipt] != [hop.replica for hop in route]:
        return ReceiptFault("names other replicas than the route")
    return None


def check_route(route: Sequence[Hop], layers: int) -> str | None:
    """Check that a route runs every layer once, in order; return the problem, or `None`."""
    next_layer = 0
    for hop in route:
        if hop.first_layer != next_layer or hop.last_layer <= hop.first_layer:
            return f"{hop.replica} runs {hop.first_layer}..{hop.last_layer} after {next_layer}"
        next_layer = hop.last_layer
    return None if next_layer == layers else f"ends at layer {next_layer} of {layers}"
