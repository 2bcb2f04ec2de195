"""Local settings of a steward."""

from __future__ import annotations

import msgspec

from pimentodale.logs import LogFormat, LogLevel


class StewardSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A steward's settings file."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain whose engines get orders."""

    key_value: list[str]
    """`IP:PORT` of the key-value service's end points, tried in order."""

    host_list: str
    """`IP:PORT` of the host list."""

    weight_store: str = ""
    """`IP:PORT` of the weight store; empty when loads need not be paced."""

    lease_ttl_ms: float = 6_000.0
    """Time to live of the lease; whole seconds."""

    order_timeout_ms: float = 1_500.0
    """Longest time that one order may be under way."""

    clock_margin_ms: float = 500.0
    """How much sooner than its time to live the lease counts as over."""

    round_interval_ms: float = 1_000.0
    """Time between looks at the engines."""

    log_level: LogLevel = "info"
    """Least severe level that is logged."""

    log_format: LogFormat = "json"
    """How log lines are written."""
