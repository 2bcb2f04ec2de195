"""Local settings of a gateway: its place, its addresses and the site's bounds."""

from __future__ import annotations

from typing import Annotated

import msgspec

from pimentodale.logs import LogLevel

Positive = Annotated[float, msgspec.Meta(gt=0)]
"""A duration."""


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """A gateway's settings file; fields that it doesn't know are passed over."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain that it stands in."""

    region: str = "default"
    """Region that it stands in."""

    client_listen: str
    """`IP:PORT` for clients."""

    ready_listen: str
    """`IP:PORT` for the balancer's question whether this host is ready."""

    peer_listen: str
    """`IP:PORT` for other hosts."""

    metrics_listen: str = ""
    """`IP:PORT` for metrics; empty for none."""

    seeds: list[str] = []
    """`IP:PORT` of other hosts' `peer_listen`, tried until the store names them."""

    store: str
    """`IP:PORT` of the store."""

    drain_ms: Positive = 2_000.0
    """How long a replica that leaves still serves."""

    stop_timeout_s: Positive = 8.0
    """How long after SIGTERM the process is ended."""

    stall_ms: Positive = 2_500.0
    """How long engines wait for a replica that doesn't answer."""

    retry_ratio: float = 0.2
    """Repeats that a service may get for each request, over all hosts."""

    retry_fixed: float = 50.0
    """Repeats that it may get besides, over all hosts."""

    retry_window_s: Positive = 10.0
    """Window in which both are counted."""

    log_level: LogLevel = "info"
    """Least severe level that is logged."""
