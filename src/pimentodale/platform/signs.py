"""What replicas say of themselves in the headers of their answers."""

from __future__ import annotations

from functools import lru_cache
from typing import Final

from pimentodale.logs import get_log

LEAVING: Final = "Server-Leaving"
"""Header by which a replica says that it leaves."""

_LEAVING_VALUE: Final = "1"

_LOGGED_CHARS: Final = 80
"""Characters of an odd header that are logged."""

_log = get_log("wire")


def says_leaving(value: str | None) -> bool:
    """Whether a replica's answer says that it leaves; any value but the one agreed on says nothing."""
    if value is not None and value != _LEAVING_VALUE:
        _log_odd_header(LEAVING, value[:_LOGGED_CHARS])
    return value == _LEAVING_VALUE


@lru_cache(maxsize=64)
def _log_odd_header(name: str, value: str) -> None:
    """Log a header that can't be understood, each value once in a long while."""
    _log.warning("A replica's header can't be understood; it is ignored.", name=name, value=value)
