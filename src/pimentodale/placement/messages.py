"""What placement and forwarding say to engines, and what engines answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from pimentodale.addresses import Address
    from pimentodale.site.model import LayerRange, ReplicaRecord


@dataclass(slots=True, frozen=True)
class PathPart:
    """One replica's part of a path."""

    replica_id: str
    """The replica."""

    address: Address
    """Where it listens."""

    layers: LayerRange
    """Layers that it runs for the request."""


@dataclass(slots=True, frozen=True)
class StalledRequest:
    """A request that waits for a replica that doesn't answer."""

    attempt_id: str
    """The request."""

    address: str
    """`IP:PORT` of the replica that it waits for."""


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State of a replica, some hundred milliseconds old."""

    is_busy: bool
    """Whether an order is being carried out."""

    orders_accepted: int
    """Orders accepted since its start."""

    running: int
    """Requests that run."""

    waiting: int
    """Requests in its queue."""

    kv_used: float
    """Tokens x layers in use."""

    kv_total: float
    """Tokens x layers that fit."""

    pace: float
    """Over 1 when it runs slowly."""

    started_ms: int
    """Unix time of its start."""

    held: LayerRange | None
    """Layers that it holds."""

    stalled: tuple[StalledRequest, ...]
    """Requests that it heads and that wait for another replica."""


class OrderOutcome(Enum):
    """How a replica answered an order."""

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    """The order doesn't fit the replica's state, or others came in between."""

    FENCED = "fenced"
    """A holder with a higher fencing number has given orders."""

    WRONG_REPLICA = "wrong replica"
    UNKNOWN_REQUEST = "unknown request"


class EngineCalls(Protocol):
    """Reports and orders; an error says in words why there is no answer."""

    def tell_leaving(self, callback: Callable[[ReplicaRecord], None]) -> None:
        """Have a callback called with each replica whose answer says that it leaves."""

    async def report(self, replica: ReplicaRecord) -> Result[EngineReport, str]:
        """Ask a replica for its state."""

    async def probe(self, replica: ReplicaRecord) -> Result[int, str]:
        """Ask whether a replica lives, whatever its service; return its start, 0 for unknown."""

    async def place(
        self, replica: ReplicaRecord, wanted: LayerRange, fence: int, orders_accepted: int
    ) -> Result[OrderOutcome, str]:
        """Order a replica to hold a range of layers."""

    async def repath(
        self, head: ReplicaRecord, attempt_id: str, parts: tuple[PathPart, ...], fence: int
    ) -> Result[OrderOutcome, str]:
        """Move a running request to other replicas behind the same first one."""
