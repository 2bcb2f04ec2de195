"""Counters and latency histograms of a gateway, shown as Prometheus text."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pimentodale.metrics import QUANTILES, Latency

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from prometheus_client.metrics_core import Metric

    from pimentodale.results import ResultCode


class GatewayMetrics:
    """What a gateway counts."""

    __slots__ = ("_gauges", "between_events", "events", "first_event", "request", "results")

    def __init__(self) -> None:
        self.results: Counter[ResultCode] = Counter()
        """Ended requests by result code."""
        self.events = 0
        """Events passed on to clients."""
        self.request = Latency()
        """Whole requests."""
        self.first_event = Latency()
        """From a request to its first event."""
        self.between_events = Latency()
        """From an event to the next."""
        self._gauges: dict[str, Callable[[], float]] = {}

    def note_end(self, code: ResultCode, elapsed_ms: float) -> None:
        """Count a request that ended."""
        self.results[code] += 1
        self.request.record(elapsed_ms)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show a value that is read whenever metrics are asked for."""
        self._gauges[name] = read

    def exposition(self) -> bytes:
        """Return all metrics as Prometheus text."""
        # Imported here: it costs memory that only hosts whose metrics are read should pay.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families, as prometheus_client asks of a collector."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        results = CounterMetricFamily(
            "pimentodale_requests", "Requests ended, by result code.", labels=["code", "name"]
        )
        for code, count in sorted(self.results.items()):
            results.add_metric([str(int(code)), code.name.lower()], count)
        yield results
        yield CounterMetricFamily("pimentodale_events", "Events passed on.", value=self.events)
        latencies = (
            ("request_ms", self.request),
            ("first_event_ms", self.first_event),
            ("between_events_ms", self.between_events),
        )
        for name, latency in latencies:
            quantiles = GaugeMetricFamily(f"pimentodale_{name}", name, labels=["quantile"])
            for percentile in QUANTILES:
                quantiles.add_metric([f"{percentile / 100:g}"], latency.percentile_ms(percentile))
            yield quantiles
            yield CounterMetricFamily(f"pimentodale_{name}_count", name, value=latency.count)
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(f"pimentodale_{name}", name, value=read())


def create_gateway_metrics() -> GatewayMetrics:
    """Return empty metrics."""
    return GatewayMetrics()
