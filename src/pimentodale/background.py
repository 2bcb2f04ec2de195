"""Tasks that outlive whoever started them; none is lost, and each fault is logged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Coroutine

_log = get_log("background")


class BackgroundTasks:
    """A set of running tasks."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        """Return how many still run."""
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run work as a task.

        Args:
            work: What to run.
            name: Named in the log if it fails.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._end)
        return task

    async def drain(self, timeout_ms: float) -> bool:
        """Wait until all tasks have ended; returns whether they did in time."""
        if not self._tasks:
            return True
        _, pending = await asyncio.wait(set(self._tasks), timeout=timeout_ms / MS_PER_S)
        return not pending

    def cancel(self) -> None:
        """Cancel whatever runs."""
        for task in self._tasks:
            task.cancel()

    def _end(self, task: asyncio.Task[Any]) -> None:
        """Forget a task and log its fault."""
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error("A task failed.", task=task.get_name(), exc_info=task.exception())


def create_background_tasks() -> BackgroundTasks:
    """Return an empty set of tasks."""
    return BackgroundTasks()
