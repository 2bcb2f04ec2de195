"""Counters and latency histograms of an entry host, shown as Prometheus text."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from prometheus_client.metrics_core import Metric

    from pimentodale.results import ResultCode

MAX_LATENCY_MS: Final = 3_600_000
"""Longest latency that a histogram tells apart."""

SIGNIFICANT_DIGITS: Final = 2
"""Precision of the histograms."""

QUANTILES: Final = (50.0, 90.0, 95.0, 99.0, 99.9)
"""Percentiles that are shown."""

_MICROSECONDS: Final = 1000
"""Histograms count whole microseconds."""


class Latency:
    """A histogram of latencies in milliseconds."""

    __slots__ = ("_histogram", "sum_ms")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_MS * _MICROSECONDS, SIGNIFICANT_DIGITS)
        self.sum_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """Count one latency; negative ones count as zero."""
        self.sum_ms += max(0.0, latency_ms)
        self._histogram.record_value(max(1, int(latency_ms * _MICROSECONDS)))

    def percentile_ms(self, percentile: float) -> float:
        """Return the latency at a percentile from 0 to 100."""
        return float(self._histogram.get_value_at_percentile(percentile)) / _MICROSECONDS

    @property
    def count(self) -> int:
        """Number of latencies recorded."""
        return int(self._histogram.get_total_count())


class Metrics:
    """What an entry host counts."""

    __slots__ = (
        "_gauges",
        "between_tokens",
        "client_refusals",
        "first_token",
        "request",
        "results",
        "retries",
        "tokens",
    )

    def __init__(self) -> None:
        self.results: Counter[ResultCode] = Counter()
        """Ended requests by result code."""
        self.retries: Counter[str] = Counter()
        """Attempts after the first, by cause."""
        self.tokens = 0
        """Tokens passed on to callers."""
        self.request = Latency()
        """Whole requests."""
        self.first_token = Latency()
        """From accepting a request to its first token."""
        self.between_tokens = Latency()
        """From a token to the next."""
        self.client_refusals: Mapping[str, int] = {}
        """Number of callers refused or closed to bound their memory and connections, by kind."""
        self._gauges: dict[str, Callable[[], float]] = {}

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show a value that is read whenever metrics are asked for.

        Args:
            name: Metric name without the `pimentodale_` prefix.
            read: Returns the value now.
        """
        self._gauges[name] = read

    def exposition(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return render_metrics(self)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families, as prometheus_client asks of a collector."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        yield result_family(self.results)
        retries = CounterMetricFamily("pimentodale_retries", "Retries by cause.", labels=["cause"])
        for cause, count in sorted(self.retries.items()):
            retries.add_metric([cause], count)
        yield retries
        refusals = CounterMetricFamily(
            "pimentodale_client_refusals", "Refused callers, by limit.", labels=["kind"]
        )
        for kind, count in sorted(self.client_refusals.items()):
            refusals.add_metric([kind], count)
        yield refusals
        yield CounterMetricFamily("pimentodale_tokens", "Tokens passed on.", value=self.tokens)
        for name, latency in self._latencies():
            yield from latency_families(name, latency)
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(f"pimentodale_{name}", name, value=read())

    def _latencies(self) -> tuple[tuple[str, Latency], ...]:
        """Return the histograms by metric name."""
        return (
            ("request_ms", self.request),
            ("first_token_ms", self.first_token),
            ("between_tokens_ms", self.between_tokens),
        )


def create_metrics() -> Metrics:
    """Return empty metrics."""
    return Metrics()


def render_metrics(collector: Any) -> bytes:
    """Return a collector's metrics as Prometheus text."""
    # Imported here: it costs memory that only hosts whose metrics are read should pay.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(collector)
    return generate_latest(registry)


def result_family(results: Counter[ResultCode]) -> Metric:
    """Return ended requests by result code."""
    from prometheus_client.core import CounterMetricFamily

    family = CounterMetricFamily(
        "pimentodale_requests", "Requests ended, by result code.", labels=["code", "name"]
    )
    for code, count in sorted(results.items()):
        family.add_metric([str(int(code)), code.name.lower()], count)
    return family


def latency_families(name: str, latency: Latency) -> Iterator[Metric]:
    """Yield a histogram's quantiles and its count."""
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    quantiles = GaugeMetricFamily(f"pimentodale_{name}", name, labels=["quantile"])
    for percentile in QUANTILES:
        quantiles.add_metric([f"{percentile / 100:g}"], latency.percentile_ms(percentile))
    yield quantiles
    yield CounterMetricFamily(f"pimentodale_{name}_count", name, value=latency.count)
