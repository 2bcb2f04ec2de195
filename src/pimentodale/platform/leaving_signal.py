"""Detects the header by which replicas signal that they are leaving."""

from __future__ import annotations

from typing import Final

from pimentodale.clients.odd_headers import log_odd_header

LEAVING: Final = "Server-Leaving"
"""Header by which a replica signals that it is leaving."""

_LEAVING_VALUE: Final = "1"


def is_leaving_signal(value: str | None) -> bool:
    """Whether a header value signals leaving; unexpected values are logged and ignored."""
    if value is not None and value != _LEAVING_VALUE:
        log_odd_header(LEAVING, value)
    return value == _LEAVING_VALUE
