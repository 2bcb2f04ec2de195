"""Tasks that end on their own, kept until they do; none ends with an unseen exception."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pimentodale.logs import get_log
from pimentodale.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Coroutine

_log = get_log("peers")


class Tasks:
    """A set of running tasks."""

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return how many run."""
        return len(self._running)

    def start(self, work: Coroutine[None, None, None], name: str) -> None:
        """Run a coroutine as a task.

        Args:
            work: The coroutine.
            name: Named in the log if it fails.
        """
        task = asyncio.ensure_future(work)
        task.set_name(name)
        self._running.add(task)
        task.add_done_callback(self._end)

    async def cancel(self) -> None:
        """Cancel every task and wait for their ends."""
        running = list(self._running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _end(self, task: asyncio.Task[None]) -> None:
        """Drop a task that ended; log why if it failed."""
        self._running.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error(
            "A task failed; report this with the log.",
            code=int(ResultCode.INTERNAL),
            task=task.get_name(),
            exc_info=task.exception(),
        )
