"""What replicas say of themselves in the headers of their answers."""

from __future__ import annotations

from typing import Final

from pimentodale.clients.odd_headers import log_odd_header

LEAVING: Final = "Server-Leaving"
"""Header by which a replica says that it leaves."""

_LEAVING_VALUE: Final = "1"


def says_leaving(value: str | None) -> bool:
    """Whether a replica's answer says that it leaves; any value but the one agreed on says nothing."""
    if value is not None and value != _LEAVING_VALUE:
        log_odd_header(LEAVING, value)
    return value == _LEAVING_VALUE
