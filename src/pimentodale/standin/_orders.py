"""Orders to a stand-in engine: load, adapter, version, role, drain; with or without fencing."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from pimentodale.standin._journal import OrderSeen

if TYPE_CHECKING:
    from pimentodale.clients.engine_messages import EngineOrder
    from pimentodale.standin._engine_core import Engine

from pimentodale.clients.engine_messages import EngineHolding, EngineStateReport


class Fenced(msgspec.Struct, frozen=True):
    """Body of the 409 for an order with an old number."""

    highest_fencing_number: int
    """The highest number that the engine has followed."""


class Orders:
    """What the engine is wished to hold and what it holds."""

    __slots__ = ("_engine", "_loading", "highest_fencing_number", "reached", "wished")

    def __init__(self, engine: Engine, holding: EngineHolding) -> None:
        self._engine = engine
        self._loading: asyncio.Task[None] | None = None
        self.wished = holding
        """The wished state."""
        self.reached = holding
        """The reached state."""
        self.highest_fencing_number = 0
        """Highest number of an order that was followed."""

    def take(self, order: EngineOrder) -> Result[EngineStateReport, Fenced]:
        """Follow an order, or refuse it for its number.

        Args:
            order: The order; it names the wished end, so a repeat changes nothing.

        Returns:
            The state once the order is taken (a load goes on after that).
        """
        old = order.fencing_number < self.highest_fencing_number
        taken = not (old and self._engine.settings.honours_fencing)
        line = OrderSeen(
            replica=self._engine.settings.replica,
            fencing_number=order.fencing_number,
            order=order.order,
            detail=msgspec.json.encode(order).decode(),
            taken=taken,
        )
        self._engine.journal.write(line)
        if not taken:
            return Error(Fenced(self.highest_fencing_number))
        self.highest_fencing_number = max(self.highest_fencing_number, order.fencing_number)
        self._wish(_holding_after(self.wished, order))
        return Ok(self.report())

    def report(self) -> EngineStateReport:
        """Return the wished and the reached state."""
        return EngineStateReport(
            replica=self._engine.settings.replica,
            wished=self.wished,
            reached=self.reached,
            highest_fencing_number=self.highest_fencing_number,
        )

    def stop(self) -> None:
        """Drop a load in progress, as a crash does."""
        if self._loading is not None:
            self._loading.cancel()

    def _wish(self, holding: EngineHolding) -> None:
        """Set the wished state and start moving to it."""
        if holding == self.wished and self._loading is not None and not self._loading.done():
            return
        self.wished = holding
        self.stop()
        if not _needs_load(self.reached, holding):
            self.reached = holding
            return
        self.reached = msgspec.structs.replace(self.reached, state="loading")
        self._loading = asyncio.create_task(self._load(holding))

    async def _load(self, holding: EngineHolding) -> None:
        """Take as long as a load takes, then hold what was wished."""
        await self._engine.clock.sleep_ms(self._engine.settings.load_ms)
        self.reached = holding


def _holding_after(wished: EngineHolding, order: EngineOrder) -> EngineHolding:
    """Return the wished state once an order is taken in."""
    replace = msgspec.structs.replace
    if order.order == "drain":
        return replace(wished, state="leaving")
    if order.order == "unload":
        return replace(wished, model="", version="", adapters=[], first_layer=0, last_layer=0)
    if order.order == "adapter":
        return replace(wished, adapters=order.adapters)
    if order.order == "version":
        return replace(wished, version=order.version)
    if order.order == "role":
        return replace(wished, role=order.role)
    return EngineHolding(
        model=order.model,
        version=order.version,
        adapters=order.adapters,
        role=order.role or wished.role,
        first_layer=order.first_layer,
        last_layer=order.last_layer,
        state="live",
    )


def _needs_load(reached: EngineHolding, wished: EngineHolding) -> bool:
    """Return whether weights must be fetched to get from one state to the other."""
    if not wished.model:
        return False
    now = (reached.model, reached.version, reached.adapters, reached.first_layer)
    then = (wished.model, wished.version, wished.adapters, wished.first_layer)
    return now != then or reached.last_layer != wished.last_layer or reached.state == "loading"
