"""Wires the slices of one entry host together and runs them until it is told to stop."""

from __future__ import annotations

from typing import Final

from pimentodale.logs import get_log

HOST_LIST_INTERVAL_MS: Final = 1_000.0
"""Mean time between readings of the host list."""

REPLAN_INTERVAL_MS: Final = 100.0
"""Time between looks at whether routes need another plan."""

NOT_READY_RETRY_MS: Final = 1_000.0
"""When a caller may come back to a host that is starting or stopping."""

_log = get_log("entry")
