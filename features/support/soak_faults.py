"""What a soak records of its faults and clients, its pauses of replicas, and how it judges cuts."""

from __future__ import annotations

import math
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from features.support.site import Program

PATIENCE_S: Final = 2.0
"""Time without an event after which a client leaves its stream."""

EXCUSED_S: Final = 1.7
"""Time of these that the replicas were paused, from which on the gateway is not to blame."""

AFTER_S: Final = 2.0
"""Time after the end of an unplanned fault that it may still be felt, as replicas load layers."""

GRACE_S: Final = 6.6
"""Time of a stop in which requests are finished: five sixths of the gateways' `stop_timeout_s`."""

LONGEST_S: Final = 9.5
"""Length from which on a request may have used up its deadline of 10 s."""

FAILED: Final = (0, 502, 504)
"""Statuses of a request that was taken and has no answer; 0 stands for no status at all."""

REPLICA_PAUSE_S: Final = (0.3, 1.6)
"""Length of a pause of replicas."""

BETWEEN_S: Final = (0.1, 1.6)
"""Time between two pauses of a series."""

MAX_SERIES: Final = 3
"""Most pauses of one series."""


@dataclass(slots=True)
class Span:
    """Time in which something was brought about."""

    what: str
    begin_s: float
    gateway: str = ""
    """Gateway whose requests it meets; empty for all."""

    end_s: float = math.inf

    def overlap_s(self, begin_s: float, end_s: float) -> float:
        """Return how long it lasted within a time."""
        return min(self.end_s, end_s) - max(self.begin_s, begin_s)


@dataclass(slots=True)
class Ending:
    """How a client's stream or read ended."""

    kind: str
    gateway: str
    attempt: str
    begin_s: float
    end_s: float
    status: int
    is_whole: bool

    is_sent: bool
    """Whether the request was written to the connection."""

    has_left: bool = False
    """Whether the client gave up, as it waited for `PATIENCE_S`."""


@dataclass(slots=True)
class FaultLog:
    """Times of the faults of one soak, and the endings of its requests."""

    unplanned: list[Span] = field(default_factory=list)
    """Faults that may cut requests."""

    pauses: list[Span] = field(default_factory=list)
    """Pauses of processes of replicas."""

    stops: list[Span] = field(default_factory=list)
    """Planned stops of gateways, from SIGTERM to their end."""

    losses_s: list[float] = field(default_factory=list)
    """When a replica ended."""

    endings: list[Ending] = field(default_factory=list)

    def describe(self) -> list[str]:
        """Return a line for each fault, in order of time."""
        spans = sorted([*self.unplanned, *self.pauses, *self.stops], key=lambda span: span.begin_s)
        return [f"{span.begin_s:.3f} to {span.end_s:.3f}: {span.what}" for span in spans]

    def judge(self, passed_on: Collection[str]) -> Iterable[str]:
        """Yield a line for each request that has no whole answer without an excuse.

        Args:
            passed_on: Attempts that a replica ran.
        """
        for ending in self.endings:
            if ending.is_whole or not ending.is_sent:
                continue
            # Another status than these refuses the request.
            if ending.status not in (200, *FAILED) or not self.is_calm(ending):
                continue
            stop = self._stop_during(ending)
            if stop is not None and ending.end_s > stop.begin_s + GRACE_S:
                continue
            if ending.status == 0 and stop is not None and ending.attempt not in passed_on:
                continue
            paused_s = self._paused_s(ending.end_s - PATIENCE_S, ending.end_s)
            if ending.has_left and paused_s >= EXCUSED_S:
                continue
            after = "" if stop is None else f" {ending.end_s - stop.begin_s:.2f} s after SIGTERM"
            yield (
                f"a {ending.kind} without a whole answer: {ending.gateway} {ending.attempt}, "
                f"{'run' if ending.attempt in passed_on else 'never run'}, "
                f"status {ending.status}, {ending.end_s - ending.begin_s:.2f} s long{after}, "
                f"{'left by its client' if ending.has_left else 'ended by the gateway'}, replicas "
                f"paused for {paused_s:.2f} of the last {PATIENCE_S} s"
            )

    def is_calm(self, ending: Ending) -> bool:
        """Whether no unplanned fault can have met a request."""
        for span in self.unplanned:
            if span.gateway not in ("", ending.gateway):
                continue
            if span.overlap_s(ending.begin_s - AFTER_S, ending.end_s) >= 0:
                return False
        return ending.end_s - ending.begin_s < LONGEST_S

    def _stop_during(self, ending: Ending) -> Span | None:
        """Return the stop of a request's gateway during it."""
        for span in self.stops:
            if span.gateway == ending.gateway and span.overlap_s(ending.begin_s, ending.end_s) >= 0:
                return span
        return None

    def _paused_s(self, begin_s: float, end_s: float) -> float:
        """Return how long any replicas were paused within a time."""
        paused_s, counted_s = 0.0, begin_s
        for span in sorted(self.pauses, key=lambda span: span.begin_s):
            paused_s += max(0.0, span.overlap_s(counted_s, end_s))
            counted_s = max(counted_s, span.end_s)
        return paused_s


class ReplicaPauses:
    """Pauses processes of replicas, one or all of them, once or in series."""

    __slots__ = ("_log", "_programs", "_rng", "_threads")

    def __init__(self, programs: list[Program], rng: random.Random, log: FaultLog) -> None:
        self._programs = programs
        self._rng = rng
        self._log = log
        self._threads: dict[str, threading.Thread] = {}

    def start(self) -> None:
        """Begin to pause some processes; one that has a series already keeps it."""
        together = self._draw_series()
        chosen = self._rng.choice(("one", "together", "apart"))
        single = self._rng.choice(self._programs)
        for program in self._programs:
            series = self._draw_series() if chosen == "apart" else together
            running = self._threads.get(program.name)
            if (chosen == "one" and program is not single) or (running and running.is_alive()):
                continue
            thread = threading.Thread(target=self._pause, args=(program, series))
            self._threads[program.name] = thread
            thread.start()

    def join(self) -> None:
        """Wait until all series are over."""
        for thread in self._threads.values():
            thread.join()

    def _draw_series(self) -> list[tuple[float, float]]:
        """Draw the times that pauses last, each with the time until the next."""
        count = self._rng.randint(1, MAX_SERIES)
        uniform: Callable[[float, float], float] = self._rng.uniform
        return [(uniform(*REPLICA_PAUSE_S), uniform(*BETWEEN_S)) for _ in range(count)]

    def _pause(self, program: Program, series: list[tuple[float, float]]) -> None:
        """Pause one process."""
        for pause_s, between_s in series:
            span = Span(f"pause {program.name}", time.monotonic())
            self._log.pauses.append(span)
            program.freeze()
            time.sleep(pause_s)
            program.wake()
            span.end_s = time.monotonic()
            time.sleep(between_s)
