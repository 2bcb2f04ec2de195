"""When requests are sent: seeded arrival processes, fixed before the run."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Literal

import msgspec

from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator


class Arrivals(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An arrival process; the rate is its mean over time."""

    rate_requests_per_s: float
    """Mean requests a second."""

    shape: Literal["poisson", "bursts", "rush"] = "poisson"
    """Even Poisson, on-off bursts, or one swell in the middle of the run."""

    burst_period_ms: float = 1_000.0
    """Time from one burst to the next."""

    burst_share: float = 0.2
    """Part of a period in which all of its requests come."""


def arrival_times_ms(arrivals: Arrivals, duration_ms: float, rng: random.Random) -> Iterator[float]:
    """Yield send times from 0 up to the run's end, in order.

    Args:
        arrivals: The process.
        duration_ms: Length of the run.
        rng: Source of random numbers; the same state gives the same times.

    Yields:
        Milliseconds from the start of the run.
    """
    peak_per_ms = arrivals.rate_requests_per_s * _peak_factor(arrivals) / MS_PER_S
    time_ms = 0.0
    while True:
        time_ms += rng.expovariate(peak_per_ms)
        if time_ms >= duration_ms:
            return
        # Thinning turns the even process at peak rate into the shaped one.
        if rng.random() < _intensity(arrivals, time_ms, duration_ms) / _peak_factor(arrivals):
            yield time_ms


def _peak_factor(arrivals: Arrivals) -> float:
    """Return the highest rate as a multiple of the mean."""
    if arrivals.shape == "bursts":
        return 1.0 / arrivals.burst_share
    return 2.0 if arrivals.shape == "rush" else 1.0


def _intensity(arrivals: Arrivals, time_ms: float, duration_ms: float) -> float:
    """Return the rate at a time as a multiple of the mean."""
    if arrivals.shape == "bursts":
        phase = time_ms % arrivals.burst_period_ms / arrivals.burst_period_ms
        return _peak_factor(arrivals) if phase < arrivals.burst_share else 0.0
    if arrivals.shape == "rush":
        return 1.0 - math.cos(2 * math.pi * time_ms / duration_ms)
    return 1.0
