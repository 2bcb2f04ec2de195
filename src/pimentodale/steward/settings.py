"""Settings file of a steward."""

from __future__ import annotations

import msgspec

from pimentodale.logs import LogFormat, LogLevel


class StewardSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A steward's settings file."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain whose engines the steward controls."""

    key_value: list[str]
    """`IP:PORT` of the key-value store's endpoints, tried in order."""

    host_list: str
    """`IP:PORT` of the host list."""

    weight_store: str = ""
    """`IP:PORT` of the weight store; empty if loads need no rate limit."""

    lease_ttl_ms: float = 6_000.0
    """Time to live of the lease, a whole number of seconds."""

    order_timeout_ms: float = 1_500.0
    """Timeout of one order."""

    clock_margin_ms: float = 500.0
    """How much earlier than its time to live the lease counts as expired."""

    round_interval_ms: float = 1_000.0
    """Interval between reconciliation rounds."""

    log_level: LogLevel = "info"
    """Minimum level that is logged."""

    log_format: LogFormat = "json"
    """Format of log lines."""
