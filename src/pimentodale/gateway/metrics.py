"""Counters and latency histograms of a gateway, shown as Prometheus text."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pimentodale.metrics import Latency, latency_families, render_metrics, result_family

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from prometheus_client.metrics_core import Metric

    from pimentodale.results import ResultCode


class GatewayMetrics:
    """Counters, latencies and gauges of one gateway."""

    __slots__ = (
        "_gauges",
        "between_events",
        "client_refusals",
        "count_crossing_streams",
        "count_hold_offs",
        "events",
        "first_event",
        "leaving_signs",
        "list_domain_shares",
        "moves",
        "request",
        "results",
        "silent_sends",
        "store_calls",
        "unfinished",
    )

    def __init__(self) -> None:
        self.results: Counter[ResultCode] = Counter()
        """Finished requests by result code."""
        self.events = 0
        """Number of stream events relayed to clients."""
        self.silent_sends: Counter[str] = Counter()
        """Silent sends of streams: kept without a successor, succeeded by one, and superseded."""
        self.moves: Counter[str] = Counter()
        """Moves of streams to another path with the same head replica, by reason."""
        self.unfinished: Counter[str] = Counter()
        """Connections that closed before their response was complete, by who closed them."""
        self.request = Latency()
        """Duration of whole requests."""
        self.first_event = Latency()
        """Time from a request to its first event."""
        self.between_events = Latency()
        """Time between consecutive events."""
        self.store_calls: Mapping[str, int] = {}
        """Number of calls to the store by kind."""
        self.leaving_signs: Mapping[str, int] = {}
        """Number of signals that a replica is leaving, by source."""
        self.client_refusals: Mapping[str, int] = {}
        """Number of clients refused or closed to bound their memory and connections, by kind."""
        self.count_hold_offs: Callable[[], int] = lambda: 0
        """Returns the number of answers that carried Retry-After."""
        self.list_domain_shares: Callable[[], Mapping[tuple[str, str], float]] = dict
        """Returns the shares of new streams that begin in another domain, by pair of domains."""
        self.count_crossing_streams: Callable[[], Mapping[tuple[str, str], float]] = dict
        """Returns the number of streams that began in another domain, by pair of domains."""
        self._gauges: dict[str, Callable[[], float]] = {}

    def note_end(self, code: ResultCode, elapsed_ms: float) -> None:
        """Record a finished request."""
        self.results[code] += 1
        self.request.record(elapsed_ms)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read on each scrape."""
        self._gauges[name] = read

    def exposition(self) -> bytes:
        """Return all metrics as Prometheus text."""
        return render_metrics(self)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families; part of the collector interface of prometheus_client."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        yield result_family(self.results)
        yield CounterMetricFamily("pimentodale_events", "Events passed on.", value=self.events)
        counted = (
            ("pimentodale_store_calls", "Calls to the store, by kind.", self.store_calls),
            ("pimentodale_leaving_signs", "Signs of leaving, by their source.", self.leaving_signs),
            ("pimentodale_silent_sends", "Silent sends, by what followed.", self.silent_sends),
            ("pimentodale_moves", "Moved streams, by reason.", self.moves),
            ("pimentodale_unfinished", "Unfinished answers, by who left.", self.unfinished),
            ("pimentodale_client_refusals", "Refused clients, by limit.", self.client_refusals),
        )
        for name, text, counts in counted:
            family = CounterMetricFamily(name, text, labels=["kind"])
            for kind, count in sorted(counts.items()):
                family.add_metric([kind], count)
            yield family
        text = "Answers with Retry-After."
        yield CounterMetricFamily("pimentodale_hold_offs", text, value=self.count_hold_offs())
        latencies = (
            ("request_ms", self.request),
            ("first_event_ms", self.first_event),
            ("between_events_ms", self.between_events),
        )
        for name, latency in latencies:
            yield from latency_families(name, latency)
        by_pair = (
            ("domain_share", self.list_domain_shares()),
            ("crossing_streams", self.count_crossing_streams()),
        )
        for name, values in by_pair:
            gauge = GaugeMetricFamily(f"pimentodale_{name}", name, labels=["from", "to"])
            for pair, value in sorted(values.items()):
                gauge.add_metric(list(pair), value)
            yield gauge
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(f"pimentodale_{name}", name, value=read())


def create_gateway_metrics() -> GatewayMetrics:
    """Return empty metrics."""
    return GatewayMetrics()
