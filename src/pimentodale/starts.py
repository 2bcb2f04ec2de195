"""Starts the programs that the platform stops and sends signals to."""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType

# The programs are imported once signals are handled, as the imports take most of the start.


def start_gateway() -> None:
    """Run `pimentodale-gateway`."""
    _hold_signals()
    from pimentodale.platform.main import main

    main()


def start_entry() -> None:
    """Run `pimentodale-entry`."""
    _hold_signals()
    from pimentodale.entry.main import main

    main()


def start_steward() -> None:
    """Run `pimentodale-steward`."""
    _hold_signals()
    from pimentodale.steward.main import main

    main()


def _hold_signals() -> None:
    """Handle signals until the program is set up.

    The default action of SIGHUP would end the program. A program that is asked to stop has taken
    nothing yet, so it ends at once.
    """
    signal.signal(signal.SIGTERM, _end_start)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _end_start(_number: int, _frame: FrameType | None) -> None:
    """End a program that is still starting."""
    os._exit(0)
