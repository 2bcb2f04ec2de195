"""Client for the replicas' reports and for orders to them, in the platform's format."""

from __future__ import annotations

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.placement.messages import (
    EngineReport,
    OrderOutcome,
    RepathAnswer,
    StalledRequest,
)
from pimentodale.platform.leaving_signal import LEAVING, is_leaving_signal
from pimentodale.platform.replica_records import LayersRecord, decode_layers

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clients.http_call import CallReply
    from pimentodale.placement.messages import PathPart
    from pimentodale.site.model import LayerRange, ReplicaRecord

CALL_TIMEOUT_MS: Final = 500.0
"""Timeout of reports and orders; replicas answer both within milliseconds and without a slot."""

MAX_REASON_BYTES: Final = 1_000
"""How much of the body of a rejected move is searched for the address of the part at fault."""

EXPECT_REPLICA: Final = "Pimentodale-Expect-Replica"

FAULTY_ADDRESS: Final = "At-Server"
"""Header with the address of the replica at fault."""

_OUTCOMES: Final = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.BEGUN,
    404: OrderOutcome.UNKNOWN_REQUEST,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.WRONG_REPLICA,
}


_ADDRESS: Final = re.compile(r"[^\s\"',;=(){}]+:\d+")


class _StalledRequest(msgspec.Struct):
    id: str
    # Address of the replica that the request waits for.
    address: str = ""


class _Report(msgspec.Struct):
    busy: bool = False
    # Number of orders accepted since the replica's start.
    sequence: int = 0
    active_requests: int = 0
    queued_requests: int = 0
    kv_used: float = 0.0
    kv_total: float = 0.0
    # Slowdown factor; above 1 when the replica is slow.
    pace: float = 1.0
    # Start time in Unix milliseconds.
    born: int = 0
    layers: LayersRecord | None = None
    stalled: list[_StalledRequest] = []


@dataclass(slots=True)
class PlatformEngineClient:
    """Implements `EngineClient` over HTTP."""

    _note_leaving: Callable[[ReplicaRecord], None] = lambda _replica: None

    def subscribe_leaving(self, callback: Callable[[ReplicaRecord], None]) -> None:
        """Set the callback for replicas whose answers signal that they are leaving."""
        self._note_leaving = callback

    async def report(self, replica: ReplicaRecord) -> Result[EngineReport, str]:
        """Fetch the state report of a replica."""
        reply = await self._ask_report(replica)
        if reply.is_error():
            return Error(reply.error)
        if reply.ok.status != HTTPStatus.OK:
            return Error(f"{replica.address} answered {reply.ok.status}")
        read = _read_report(replica, reply.ok.body)
        if read.is_error():
            return Error(read.error)
        raw = read.ok
        return Ok(
            EngineReport(
                is_busy=raw.busy,
                orders_accepted=raw.sequence,
                running=raw.active_requests,
                waiting=raw.queued_requests,
                kv_used=raw.kv_used,
                kv_total=raw.kv_total,
                pace=raw.pace,
                started_ms=raw.born,
                held=decode_layers(raw.layers),
                stalled=tuple(StalledRequest(item.id, item.address) for item in raw.stalled),
            )
        )

    async def probe(self, replica: ReplicaRecord) -> Result[int, str]:
        """Check whether a replica of any service is alive.

        A plain service has no reports: it refuses the request because the attempt id is missing.
        Unlike its health check, that takes no slot.

        Returns:
            Start time of the replica, 0 when unknown, or the reason why the probe failed.
        """
        reply = await self._ask_report(replica)
        if reply.is_error():
            return Error(reply.error)
        if reply.ok.status == HTTPStatus.MISDIRECTED_REQUEST:
            return Error(f"another replica stands at {replica.address}")
        if reply.ok.status != HTTPStatus.OK:
            return Ok(0)
        return _read_report(replica, reply.ok.body).map(lambda raw: raw.born)

    async def place(
        self, replica: ReplicaRecord, wanted: LayerRange, fence: int, orders_accepted: int
    ) -> Result[OrderOutcome, str]:
        """Order a replica to load a range of layers."""
        order = {"operation": "place", "from": wanted.first, "to": wanted.end, "strategy": "queue"}
        return await self._order(replica, {**order, "fence": fence, "expected": orders_accepted})

    async def repath(
        self, head: ReplicaRecord, attempt_id: str, parts: tuple[PathPart, ...], fence: int
    ) -> Result[RepathAnswer, str]:
        """Move a running request to other replicas while keeping its first stage."""
        order = {"operation": "repath", "id": attempt_id, "path": format_path(parts)}
        reply = await self._send_order(head, {**order, "fence": fence})
        if reply.is_error():
            return Error(reply.error)
        outcome = _read_outcome(head, reply.ok)
        if outcome.is_error():
            return Error(outcome.error)
        faulty = (
            _find_faulty_address(reply.ok, parts) if outcome.ok is OrderOutcome.CONFLICT else ""
        )
        return Ok(RepathAnswer(outcome.ok, faulty))

    async def _order(
        self, replica: ReplicaRecord, order: dict[str, Any]
    ) -> Result[OrderOutcome, str]:
        """Send one order; without a reply it is unknown whether the order is carried out."""
        reply = await self._send_order(replica, order)
        if reply.is_error():
            return Error(reply.error)
        return _read_outcome(replica, reply.ok)

    async def _send_order(
        self, replica: ReplicaRecord, order: dict[str, Any]
    ) -> Result[CallReply, str]:
        """Send one order and return the answer, whatever its status."""
        headers = {"Content-Type": "application/json", EXPECT_REPLICA: replica.replica_id}
        request = CallRequest(
            method="POST", path="/api/order", headers=headers, body=msgspec.json.encode(order)
        )
        reply = await fetch(replica.address, request, CALL_TIMEOUT_MS)
        if reply.is_error():
            return Error(reply.error.message)
        self._check_leaving(replica, reply.ok)
        return Ok(reply.ok)

    async def _ask_report(self, replica: ReplicaRecord) -> Result[CallReply, str]:
        """Request a report and return the answer, whatever its status."""
        headers = {EXPECT_REPLICA: replica.replica_id}
        request = CallRequest(method="GET", path="/api/report", headers=headers)
        reply = await fetch(replica.address, request, CALL_TIMEOUT_MS)
        if reply.is_error():
            return Error(reply.error.message)
        self._check_leaving(replica, reply.ok)
        return Ok(reply.ok)

    def _check_leaving(self, replica: ReplicaRecord, reply: CallReply) -> None:
        """Notify the callback of a leaving replica, unless another replica has its address now."""
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        if is_leaving_signal(reply.headers.get(LEAVING)):
            self._note_leaving(replica)


def _read_outcome(replica: ReplicaRecord, reply: CallReply) -> Result[OrderOutcome, str]:
    """Return the outcome that the status of an answer to an order stands for."""
    outcome = _OUTCOMES.get(reply.status)
    if outcome is None:
        return Error(f"{replica.address} answered {reply.status}: {reply.body[:200]!r}")
    return Ok(outcome)


def _find_faulty_address(reply: CallReply, parts: tuple[PathPart, ...]) -> str:
    """Return the address of the part that a rejected move names, in its header or its body."""
    named = reply.headers.get(FAULTY_ADDRESS) or ""
    text = f"{named} {reply.body[:MAX_REASON_BYTES].decode('utf-8', 'replace')}"
    mentioned = set(_ADDRESS.findall(text))
    return next((str(part.address) for part in parts if str(part.address) in mentioned), "")


def _read_report(replica: ReplicaRecord, body: bytes) -> Result[_Report, str]:
    """Decode the body of a report."""
    try:
        return Ok(msgspec.json.decode(body, type=_Report))
    except UNREADABLE as error:
        return Error(f"the report of {replica.address} can't be read: {error}")


def create_platform_engine_client() -> PlatformEngineClient:
    """Create the client."""
    return PlatformEngineClient()


def format_path(parts: tuple[PathPart, ...]) -> str:
    """Format a path as used in the platform's header and order."""
    return ",".join(f"{part.address}={part.layers.first}-{part.layers.end}" for part in parts)
