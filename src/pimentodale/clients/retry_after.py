"""The time that a backend server asks for with `Retry-After`."""

from __future__ import annotations

import math
import time
from email.utils import parsedate_to_datetime
from typing import Final

from pimentodale.clients.odd_headers import log_odd_header
from pimentodale.clock import MS_PER_S

RETRY_AFTER: Final = "Retry-After"


def read_retry_after_ms(value: str | None) -> float | None:
    """Return the time that `Retry-After` asks for in ms; `None` where it asks for none.

    Args:
        value: Seconds, whole or fractional, or an HTTP date (RFC 9110, section 10.2.3).
    """
    if value is None:
        return None
    wait_s = _read_seconds(value)
    if wait_s is None or not 0.0 <= wait_s < math.inf:
        log_odd_header(RETRY_AFTER, value)
        return None
    return wait_s * MS_PER_S


def _read_seconds(value: str) -> float | None:
    """Read seconds or a date; `None` for anything else."""
    try:
        return float(value)
    except ValueError:
        pass
    try:
        # The date's own wall time is all there is to go by.
        return max(0.0, parsedate_to_datetime(value).timestamp() - time.time())
    except (ValueError, OverflowError):
        return None
