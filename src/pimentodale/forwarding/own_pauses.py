"""Notices when this process itself didn't run, so that the time isn't held against replicas.

The clock goes on while a process is stopped or its machine has no processor for it. When it runs
again, everything seems to have been silent, although answers wait in its sockets.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final, TypeVar

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from expression import Result

    from pimentodale.clock import Clock

TICK_MS: Final = 50.0
"""Interval at which the process notes that it runs."""

MIN_PAUSE_MS: Final = 100.0
"""Delay of such a note from which the process counts as not having run."""

MAX_ASKS: Final = 3
"""Maximum number of times that a question is asked whose time-out passed in a pause."""

MAX_PAUSES: Final = 64
"""Number of pauses kept; no wait that is measured spans more."""

Answer = TypeVar("Answer")

_log = get_log("gateway")


class OwnPauses:
    """The recent times in which this process didn't run."""

    __slots__ = ("_clock", "_noted_ms", "_pauses", "count", "total_ms")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted_ms = clock.now_ms()
        self._pauses: deque[tuple[float, float]] = deque(maxlen=MAX_PAUSES)
        self.count = 0
        """Number of pauses."""
        self.total_ms = 0.0
        """Duration of all of them."""

    async def run(self) -> None:
        """Note that the process runs, until cancelled."""
        self._noted_ms = self._clock.now_ms()
        while True:
            await self._clock.sleep_ms(TICK_MS)
            self.note_running()

    def note_running(self) -> None:
        """Note that the process runs, and that it didn't since the last note if that is long ago.

        Whoever asks notes it too: right after a pause, time-outs are handled before the task that
        notes it at intervals.
        """
        since_ms, now_ms = self._noted_ms, self._clock.now_ms()
        self._noted_ms = now_ms
        pause_ms = now_ms - since_ms - TICK_MS
        if pause_ms < MIN_PAUSE_MS:
            return
        self._pauses.append((now_ms - pause_ms, now_ms))
        self.count += 1
        self.total_ms += pause_ms
        _log.warning("This process did not run.", duration_ms=round(pause_ms))

    def silence_ms(self, since_ms: float) -> float:
        """Return for how long nothing has come since a time, while this process ran.

        Only the pauses themselves are left out, as a process that pauses often must still notice a
        lost replica.

        Args:
            since_ms: Time of the last sign of life.
        """
        self.note_running()
        paused_ms = 0.0
        for start_ms, end_ms in self._pauses:
            paused_ms += max(0.0, end_ms - max(start_ms, since_ms))
        return max(0.0, self._clock.now_ms() - since_ms - paused_ms)

    def has_paused_since(self, since_ms: float) -> bool:
        """Whether this process didn't run for some time after a given one.

        Args:
            since_ms: The time.
        """
        self.note_running()
        return bool(self._pauses) and self._pauses[-1][1] > since_ms

    async def ask(
        self, question: Callable[[], Awaitable[Result[Answer, str]]]
    ) -> Result[Answer, str]:
        """Ask a replica, and ask again if there is no answer because this process didn't run.

        Args:
            question: Asks once, with a time-out; asking twice must do no harm.
        """
        asks = 0
        while True:
            asked_ms = self._clock.now_ms()
            answer = await question()
            asks += 1
            if answer.is_ok() or asks >= MAX_ASKS or not self.has_paused_since(asked_ms):
                return answer


def create_own_pauses(clock: Clock) -> OwnPauses:
    """Return an observer that has seen no pause; start its `run` as a task.

    Args:
        clock: Source of time.
    """
    return OwnPauses(clock)
