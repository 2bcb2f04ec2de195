"""What a run saw, request by request, and the figures made of it."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from pimentodale.clock import MS_PER_S
from pimentodale.metrics import Latency

if TYPE_CHECKING:
    from collections.abc import Iterable


class Record(msgspec.Struct, kw_only=True):
    """One request as its caller saw it."""

    number: int
    """Its place in the run."""

    shape: str
    """Name of its shape."""

    workspace: str
    """Who sent it."""

    intended_ms: float
    """When it was to be sent, from the start of the run."""

    key: str = ""
    """Its Idempotency-Key."""

    request_id: str = ""
    """Its request id."""

    prompt: str = ""
    """Its prompt; kept only where texts are checked."""

    text: str = ""
    """What came back; kept only where texts are checked."""

    status: int = 0
    """HTTP status; 0 when there was no answer."""

    result: str = ""
    """`ok`, a refusal's name, or `lost`."""

    ran: str = ""
    """The refusal's word on whether it ran."""

    retry_after_ms: float = 0.0
    """The refusal's word on when to come back."""

    first_token_ms: float = -1.0
    """From the intended time to the first token; negative for none."""

    token_times_ms: list[float] = []
    """Times of tokens from the start of the run."""

    ended_ms: float = -1.0
    """When it ended, from the start of the run."""


class LatencyFigures(msgspec.Struct, frozen=True):
    """Percentiles of one latency."""

    count: int
    """Latencies counted."""

    p50_ms: float
    """Half are at most this."""

    p95_ms: float
    """95 in 100 are at most this."""

    p99_ms: float
    """99 in 100 are at most this."""

    max_ms: float
    """The longest."""


class RunFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run."""

    requests: int
    """Requests sent."""

    results: dict[str, int]
    """Requests by how they ended."""

    duration_ms: float
    """From the first intended time to the last end."""

    goodput_tokens_per_s: float
    """Tokens of whole answers a second."""

    goodput_requests_per_s: float
    """Whole answers a second."""

    first_token: LatencyFigures
    """From intended time to first token."""

    between_tokens: LatencyFigures
    """From a token to the next."""

    whole: LatencyFigures
    """From intended time to the end of whole answers."""

    refused: LatencyFigures
    """From intended time to refusals."""

    tokens_timeline: list[int]
    """Tokens that came in each tenth of a second of the run."""


def figures_of(records: list[Record]) -> RunFigures:
    """Work out a run's figures.

    Args:
        records: All requests of the run.
    """
    good = [record for record in records if record.result == "ok"]
    refused = [record for record in records if record.status and record.result != "ok"]
    ended_ms = max((record.ended_ms for record in records), default=0.0)
    started_ms = min((record.intended_ms for record in records), default=0.0)
    duration_ms = max(1.0, ended_ms - started_ms)
    tokens = sum(len(record.token_times_ms) for record in good)
    return RunFigures(
        requests=len(records),
        results=dict(Counter(record.result for record in records)),
        duration_ms=duration_ms,
        goodput_tokens_per_s=tokens / duration_ms * MS_PER_S,
        goodput_requests_per_s=len(good) / duration_ms * MS_PER_S,
        first_token=latency_figures(r.first_token_ms for r in records if r.first_token_ms >= 0),
        between_tokens=latency_figures(_gaps(records)),
        whole=latency_figures(r.ended_ms - r.intended_ms for r in good),
        refused=latency_figures(r.ended_ms - r.intended_ms for r in refused),
        tokens_timeline=_timeline(records),
    )


def latency_figures(latencies_ms: Iterable[float]) -> LatencyFigures:
    """Return the percentiles of latencies."""
    latency = Latency()
    for latency_ms in latencies_ms:
        latency.record(latency_ms)
    points = (latency.percentile_ms(percentile) for percentile in (50, 95, 99, 100))
    return LatencyFigures(latency.count, *(round(point, 3) for point in points))


def _gaps(records: list[Record]) -> Iterable[float]:
    """Yield the times from each token to the next of its answer."""
    for record in records:
        times = record.token_times_ms
        for earlier, later in itertools.pairwise(times):
            yield later - earlier


def _timeline(records: list[Record]) -> list[int]:
    """Count tokens in each tenth of a second."""
    bins: Counter[int] = Counter()
    for record in records:
        for time_ms in record.token_times_ms:
            bins[int(time_ms // 100)] += 1
    return [bins[place] for place in range(max(bins, default=-1) + 1)]
