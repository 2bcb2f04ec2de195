"""The weight store: places in its rate-limited line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.foreign_bytes import UNREADABLE

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pimentodale.addresses import Address

RESERVE_TIMEOUT_MS: Final = 2_000.0
"""Longest time for a reservation."""


class ReservationRequest(msgspec.Struct, frozen=True):
    """Body of `POST /v1/reservations`."""

    bytes: int
    """Size of the load."""

    holder: str
    """Who will load."""


class Reservation(msgspec.Struct, frozen=True):
    """Answer of `POST /v1/reservations`."""

    start_after_ms: float
    """When the load may start, from now."""


class WeightStoreFault(msgspec.Struct, frozen=True):
    """Why there is no reservation."""

    message: str
    """What happened."""


def create_reserver(
    address: Address,
) -> Callable[[ReservationRequest], Awaitable[Result[Reservation, WeightStoreFault]]]:
    """Create a closure that asks for a place in the line.

    Args:
        address: Where the weight store answers.

    Returns:
        The closure.
    """

    async def reserve(request: ReservationRequest) -> Result[Reservation, WeightStoreFault]:
        call = CallRequest(
            method="POST",
            path="/v1/reservations",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(request),
        )
        reply = await fetch(address, call, RESERVE_TIMEOUT_MS)
        if reply.is_error():
            return Error(WeightStoreFault(reply.error.message))
        if reply.ok.status != 200:
            return Error(WeightStoreFault(f"the weight store answered HTTP {reply.ok.status}"))
        try:
            return Ok(msgspec.json.decode(reply.ok.body, type=Reservation))
        except UNREADABLE as error:
            return Error(WeightStoreFault(f"the weight store's answer can't be read: {error}"))

    return reserve
