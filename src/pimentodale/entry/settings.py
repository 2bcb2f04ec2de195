"""Local settings of an entry host: location, addresses and limits that don't change at run time."""

from __future__ import annotations

from typing import Annotated

import msgspec

from pimentodale.logs import LogFormat, LogLevel


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Contents of an entry host's settings file; unknown fields are rejected."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain that this host belongs to."""

    region: str = "default"
    """Region that this host belongs to."""

    listen: str
    """`IP:PORT` for callers."""

    peer_listen: str
    """`IP:PORT` for other entry hosts."""

    peer_advertise: str = ""
    """`IP:PORT` at which other entry hosts reach this one; empty means `peer_listen`."""

    key_value: list[str]
    """`IP:PORT` of the endpoints of the key-value store, tried in order."""

    host_list: str
    """`IP:PORT` of the service that lists entry hosts and backend servers."""

    weight_store: str = ""
    """`IP:PORT` of the weight store; empty if there is none."""

    subset_replicas: int = 0
    """Replicas of each model that this host keeps load state for; 0 means all."""

    max_body_bytes: int = 8 * 1024 * 1024
    """Maximum size of a request body."""

    memory_mb: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    """Memory of the process; 0 if unknown. Callers may hold a third of what it leaves beyond 64 MB."""

    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0
    """File descriptors of the process, three quarters of them for callers; 0 for the system's
    limit."""

    stop_timeout_ms: float = 600_000.0
    """How long a graceful shutdown waits for work in progress."""

    trace_spans: int = 20_000
    """Number of trace spans that are kept for `explain`."""

    log_level: LogLevel = "info"
    """Minimum severity of log messages."""

    log_format: LogFormat = "json"
    """Format of log lines."""
