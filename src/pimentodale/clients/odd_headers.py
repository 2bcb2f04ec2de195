"""Headers of backend servers that can't be understood: logged once each, and ignored."""

from __future__ import annotations

from functools import lru_cache
from typing import Final

from pimentodale.logs import get_log

LOGGED_CHARS: Final = 80
"""Characters of a value that are logged."""

REMEMBERED: Final = 64
"""Values that are remembered as logged."""

_log = get_log("wire")


def log_odd_header(name: str, value: str) -> None:
    """Log a header that can't be understood, each value once in a long while."""
    _log_once(name, value[:LOGGED_CHARS])


@lru_cache(maxsize=REMEMBERED)
def _log_once(name: str, value: str) -> None:
    """Log a value that is not remembered."""
    _log.warning("A header can't be understood; it is ignored.", name=name, value=value)
