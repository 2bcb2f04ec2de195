"""Local settings of an entry host: its place and addresses, and nothing that operators change."""

from __future__ import annotations

import msgspec

from pimentodale.logs import LogFormat, LogLevel


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An entry host's settings file."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain that it stands in."""

    region: str = "default"
    """Region that it stands in."""

    listen: str
    """`IP:PORT` for callers."""

    peer_listen: str
    """`IP:PORT` for other entry hosts."""

    peer_advertise: str = ""
    """`IP:PORT` where other entry hosts reach it; empty when that is `peer_listen`."""

    key_value: list[str]
    """`IP:PORT` of the key-value service's end points, tried in order."""

    host_list: str
    """`IP:PORT` of the host list."""

    weight_store: str = ""
    """`IP:PORT` of the weight store; empty when there is none."""

    subset_replicas: int = 0
    """Replicas of each model that this host keeps load state for; 0 means all."""

    max_body_bytes: int = 8 * 1024 * 1024
    """Largest request body that is accepted."""

    stop_timeout_ms: float = 600_000.0
    """Longest time that a planned stop waits for work in progress."""

    trace_spans: int = 20_000
    """Spans that are kept for `explain`."""

    log_level: LogLevel = "info"
    """Least severe level that is logged."""

    log_format: LogFormat = "json"
    """How log lines are written."""
