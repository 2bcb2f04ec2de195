"""Orders to one engine, and what it says it holds."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.engine_messages import EngineOrder, EngineStateReport
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.foreign_bytes import UNREADABLE

if TYPE_CHECKING:
    from pimentodale.addresses import Address
    from pimentodale.clients.http_call import CallReply


class OrderFaultKind(Enum):
    """Why an order has no answer that helps."""

    FENCED = "fenced"
    """The engine has followed a higher fencing number."""

    FAILED = "failed"
    """It could not be reached, or answered nothing of use; the order may have been followed."""


class OrderFault(msgspec.Struct, frozen=True):
    """An order, or a look at the state, that failed."""

    kind: OrderFaultKind
    """Why."""

    message: str
    """What happened."""

    highest_fencing_number: int = 0
    """When fenced: the number that the engine has followed."""


class _Fenced(msgspec.Struct, frozen=True):
    """Body of an engine's 409."""

    highest_fencing_number: int


async def read_engine_state(
    address: Address, timeout_ms: float
) -> Result[EngineStateReport, OrderFault]:
    """Ask an engine what it holds and should hold.

    Args:
        address: Where it listens.
        timeout_ms: Longest time for the answer.

    Returns:
        Its report, or the fault.
    """
    call = CallRequest(method="GET", path="/v1/pimentodale/state")
    reply = await fetch(address, call, timeout_ms)
    if reply.is_error():
        return Error(OrderFault(OrderFaultKind.FAILED, reply.error.message))
    return _read_report(reply.ok)


async def send_order(
    address: Address, order: EngineOrder, timeout_ms: float
) -> Result[EngineStateReport, OrderFault]:
    """Give an engine an order; it names the wished end, so it may be repeated.

    Args:
        address: Where it listens.
        order: The order.
        timeout_ms: Longest time that it is under way.

    Returns:
        The engine's state once it has taken the order, or the fault.
    """
    call = CallRequest(
        method="POST",
        path="/v1/pimentodale/orders",
        headers={"Content-Type": "application/json"},
        body=msgspec.json.encode(order),
    )
    reply = await fetch(address, call, timeout_ms)
    if reply.is_error():
        return Error(OrderFault(OrderFaultKind.FAILED, reply.error.message))
    if reply.ok.status != 409:
        return _read_report(reply.ok)
    try:
        fenced = msgspec.json.decode(reply.ok.body, type=_Fenced)
    except UNREADABLE as error:
        return Error(OrderFault(OrderFaultKind.FAILED, f"its refusal can't be read: {error}"))
    message = f"the engine has followed number {fenced.highest_fencing_number}"
    return Error(OrderFault(OrderFaultKind.FENCED, message, fenced.highest_fencing_number))


def _read_report(reply: CallReply) -> Result[EngineStateReport, OrderFault]:
    """Read an engine's report."""
    if reply.status != 200:
        return Error(OrderFault(OrderFaultKind.FAILED, f"it answered HTTP {reply.status}"))
    try:
        return Ok(msgspec.json.decode(reply.body, type=EngineStateReport))
    except UNREADABLE as error:
        return Error(OrderFault(OrderFaultKind.FAILED, f"its report can't be read: {error}"))
