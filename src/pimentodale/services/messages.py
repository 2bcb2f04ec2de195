"""Calls to plain services and their replies."""

from __future__ import annotations

import msgspec

from pimentodale.addresses import Address
from pimentodale.configuration.documents import Operation, Service


class ServiceReplica(msgspec.Struct, frozen=True):
    """One backend server that offers a service."""

    name: str
    """Name of the replica."""

    address: Address
    """Address that it accepts calls at."""


class ServiceCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a plain service."""

    workspace: str
    """Name of the caller's workspace."""

    service: Service
    """The service, as configured."""

    operation: Operation
    """The operation, as configured."""

    method: str
    """HTTP method."""

    path: str
    """Path at the service, including the query."""

    body: bytes = b""
    """Request body."""

    headers: dict[str, str] = {}
    """Request headers that are forwarded."""

    idempotency_key: str = ""
    """Idempotency key of the caller; empty for none."""

    deadline_ms: float
    """Monotonic time by which the caller expects the reply."""

    request_id: str
    """Identifies the call in logs, traces and journals."""

    traceparent: str = ""
    """W3C trace context to forward; empty for none."""


class ServiceReply(msgspec.Struct, frozen=True, kw_only=True):
    """Complete reply of a service."""

    status: int
    """HTTP status."""

    headers: dict[str, str]
    """Response headers that are forwarded."""

    body: bytes
    """Response body."""
