"""Calls of plain services and their replies."""

from __future__ import annotations

import msgspec

from pimentodale.addresses import Address
from pimentodale.configuration.documents import Operation, Service


class ServiceReplica(msgspec.Struct, frozen=True):
    """One backend server that offers a service."""

    name: str
    """Name of the replica."""

    address: Address
    """Where it takes calls."""


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """One caller's call of a plain service."""

    workspace: str
    """Name of the caller's workspace."""

    service: Service
    """The service, as configured."""

    operation: Operation
    """The operation, as configured."""

    method: str
    """HTTP method."""

    path: str
    """Path at the service, with its query."""

    body: bytes = b""
    """Request body."""

    headers: dict[str, str] = {}
    """Request headers that are passed on."""

    idempotency_key: str = ""
    """The caller's key; empty for none."""

    deadline_ms: float
    """Monotonic time by which the caller wants its answer."""

    request_id: str
    """Names the call in logs, traces and journals."""

    traceparent: str = ""
    """W3C trace context to pass on; empty for none."""


class ServiceReply(msgspec.Struct, frozen=True, kw_only=True):
    """A service's whole answer."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Response headers that are passed on."""

    body: bytes
    """Response body."""
