"""An event loop whose time passes only while nothing is due, so that minutes run in a moment."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

from structlog.testing import capture_logs

from pimentodale.clock import MS_PER_S, Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class _SkippingSelector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return at once; the time that the loop would have waited has passed then."""
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers in order, without waiting for any of them."""

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the time that has passed, in seconds."""
        return self._skipping.now_s


class VirtualClock(Clock):
    """Reads the time of a `VirtualTimeLoop`."""

    __slots__ = ("_loop",)

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Return the loop's time."""
        return self._loop.time() * MS_PER_S

    def wall_ms(self) -> float:
        """Return the same reading as `now_ms`."""
        return self.now_ms()


def run_virtually(loop: VirtualTimeLoop, work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a loop, which can be used again; its log lines are dropped."""
    with capture_logs():
        return loop.run_until_complete(work)
