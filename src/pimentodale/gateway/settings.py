"""Local settings of a gateway: its location, its addresses and the limits of the site."""

from __future__ import annotations

from typing import Annotated

import msgspec

from pimentodale.logs import LogLevel

Positive = Annotated[float, msgspec.Meta(gt=0)]
"""A duration; must be greater than 0."""


NotNegative = Annotated[float, msgspec.Meta(ge=0)]
"""A number that must not be less than 0."""


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of a gateway's settings file; unknown fields are ignored."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain that this host belongs to."""

    region: str = "default"
    """Region that this host belongs to."""

    client_listen: str
    """`IP:PORT` for clients."""

    ready_listen: str
    """`IP:PORT` for the load balancer's readiness checks."""

    peer_listen: str
    """`IP:PORT` for other hosts."""

    metrics_listen: str = ""
    """`IP:PORT` for metrics; empty for none."""

    seeds: list[str] = []
    """`peer_listen` addresses (`IP:PORT`) of other hosts, used until the store lists them."""

    store: str
    """`IP:PORT` of the store."""

    drain_ms: Positive = 2_000.0
    """How long a leaving replica still serves requests."""

    replica_heartbeat_ms: Positive = 1_200.0
    """Interval at which replicas write their records to the store."""

    stop_timeout_s: Positive = 8.0
    """Time from SIGTERM until the process is killed."""

    stall_ms: Positive = 2_500.0
    """How long engines wait for an unresponsive replica."""

    retry_ratio: float = 0.2
    """Retry budget of a service as a ratio of its requests, across all hosts."""

    retry_fixed: float = 50.0
    """Number of retries per window that a service is allowed in addition, across all hosts."""

    retry_window_s: Positive = 10.0
    """Length of the window over which both retry limits apply."""

    memory_mb: NotNegative = 0.0
    """Memory of the process; 0 if unknown. Clients may hold a third of what it leaves beyond 64 MB."""

    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0
    """File descriptors of the process, three quarters of them for clients; 0 for the system's
    limit."""

    log_level: LogLevel = "info"
    """Minimum severity of log messages."""
