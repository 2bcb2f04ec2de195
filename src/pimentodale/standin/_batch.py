"""Continuous batching: one step at a time over the jobs that wait, higher priority first."""

from __future__ import annotations

import asyncio
import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:

    from collections.abc import Callable

    from pimentodale.clock import Clock

_LATE_STEPS: Final = 4
"""Steps that a late loop may catch up on, so that its rate holds."""


@dataclass(slots=True, order=True)
class Job:
    """One stream's next token at one stage."""

    rank: tuple[int, int] = field(init=False, default=(0, 0))
    """Order of service: higher priority first, then first come."""

    priority: int = field(compare=False)
    """Higher goes first."""

    prefill_tokens: int = field(compare=False)
    """Tokens to prefill before the job itself."""

    done: Callable[[], None] = field(compare=False)
    """Called at the end of the step that ran the job."""

    cancelled: bool = field(compare=False, default=False)
    """Whether the job is passed over."""


class Batch:
    """The jobs of one engine and the loop that runs them."""

    __slots__ = (
        "_clock",
        "_jobs",
        "_jobs_a_step",
        "_prefill_tokens_a_step",
        "_sequence",
        "_step_ms",
        "_waiting",
    )

    def __init__(
        self,
        clock: Clock,
        jobs_a_step: int,
        prefill_tokens_a_step: int,
        step_ms: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._jobs_a_step = jobs_a_step
        self._prefill_tokens_a_step = prefill_tokens_a_step
        self._step_ms = step_ms
        self._jobs: list[Job] = []
        self._sequence = 0
        self._waiting = asyncio.Event()

    def submit(self, job: Job) -> None:
        """Queue a job."""
        self._sequence += 1
        job.rank = (-job.priority, self._sequence)
        heapq.heappush(self._jobs, job)
        self._waiting.set()

    def clear(self) -> None:
        """Drop every job."""
        self._jobs.clear()

    async def run(self) -> None:
        """Run steps for ever."""
        step_end_ms = 0.0
        while True:
            if not self._jobs:
                self._waiting.clear()
                await self._waiting.wait()
                # Steps that an idle loop did not run are no steps that it is late with.
                step_end_ms = self._clock.now_ms()
            taken = self._take()
            step_ms = self._step_ms()
            earliest_ms = self._clock.now_ms() - _LATE_STEPS * step_ms
            step_end_ms = max(step_end_ms, earliest_ms) + step_ms
            if len(taken) < self._jobs_a_step:
                # Only a full loop may catch up: an idle one has nothing to make good.
                step_end_ms = max(step_end_ms, self._clock.now_ms() + step_ms)
            await self._clock.sleep_ms(step_end_ms - self._clock.now_ms())
            for job in taken:
                if not job.cancelled:
                    job.done()

    def _take(self) -> list[Job]:
        """Take the jobs of the next step and spend its prefill on those in front."""
        taken: list[Job] = []
        unfinished: list[Job] = []
        prefill_left = self._prefill_tokens_a_step
        while self._jobs and len(taken) < self._jobs_a_step:
            job = heapq.heappop(self._jobs)
            if job.cancelled:
                continue
            spent = min(prefill_left, job.prefill_tokens)
            prefill_left -= spent
            job.prefill_tokens -= spent
            if job.prefill_tokens:
                unfinished.append(job)
                continue
            taken.append(job)
        for job in unfinished:
            heapq.heappush(self._jobs, job)
        return taken
