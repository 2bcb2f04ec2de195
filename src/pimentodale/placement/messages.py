"""Requests that placement and forwarding send to engines, and the engines' replies."""

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
    """The layers that one replica of a path runs."""

    replica_id: str
    """Id of the replica."""

    address: Address
    """Address that the replica listens on."""

    layers: LayerRange
    """Layers that the replica runs for the request."""


@dataclass(slots=True, frozen=True)
class StalledRequest:
    """A request that is blocked on a replica that doesn't respond."""

    attempt_id: str
    """Attempt id of the request."""

    address: str
    """`IP:PORT` of the replica that blocks the request."""


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State of a replica, a few hundred milliseconds old."""

    is_busy: bool
    """Whether the replica is carrying out an order."""

    orders_accepted: int
    """Number of orders accepted since the replica started."""

    running: int
    """Number of running requests."""

    waiting: int
    """Number of queued requests."""

    kv_used: float
    """KV cache in use, in tokens x layers."""

    kv_total: float
    """KV cache capacity, in tokens x layers."""

    pace: float
    """Slowdown factor; above 1 when the replica runs slowly."""

    started_ms: int
    """Unix time of the replica's start."""

    held: LayerRange | None
    """Layers that the replica holds."""

    stalled: tuple[StalledRequest, ...]
    """Requests whose path starts at this replica and that are blocked on another one."""


class OrderOutcome(Enum):
    """Result of an order, as reported by the replica."""

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    """The order doesn't match the replica's state, or other orders were accepted in between."""

    FENCED = "fenced"
    """The replica has already accepted an order with a higher fencing number."""

    WRONG_REPLICA = "wrong replica"
    UNKNOWN_REQUEST = "unknown request"


@dataclass(slots=True, frozen=True)
class RepathAnswer:
    """Answer of a head replica to the order to move a request."""

    outcome: OrderOutcome

    faulty_address: str = ""
    """`IP:PORT` of the part that is not there or has no memory; empty if none is named."""


class EngineClient(Protocol):
    """Client for engine reports and orders; an error describes why there is no reply."""

    def subscribe_leaving(self, callback: Callable[[ReplicaRecord], None]) -> None:
        """Register a callback for each replica whose reply announces that it is leaving."""

    async def report(self, replica: ReplicaRecord) -> Result[EngineReport, str]:
        """Fetch the state of a replica."""

    async def probe(self, replica: ReplicaRecord) -> Result[int, str]:
        """Check whether a replica of any service is alive; return its start time, 0 if unknown."""

    async def place(
        self, replica: ReplicaRecord, wanted: LayerRange, fence: int, orders_accepted: int
    ) -> Result[OrderOutcome, str]:
        """Order a replica to load and hold a range of layers."""

    async def repath(
        self, head: ReplicaRecord, attempt_id: str, parts: tuple[PathPart, ...], fence: int
    ) -> Result[RepathAnswer, str]:
        """Move a running request to other replicas, keeping the first one."""
