"""The signals by which the platform stops a running program, or tells it of new settings."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def create_stop_event(note_hangup: Callable[[], None] | None = None) -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set; call this before anything is taken.

    Args:
        note_hangup: Called at SIGHUP, which is ignored otherwise.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if note_hangup is not None:
        loop.add_signal_handler(signal.SIGHUP, note_hangup)
    return stop
