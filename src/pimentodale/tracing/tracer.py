"""Spans of recent requests, bounded in number."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from pimentodale.tracing.traceparent import TraceContext, create_span_id

if TYPE_CHECKING:
    from pimentodale.clock import Clock


class Span(msgspec.Struct, kw_only=True):
    """One hop or decision of a request."""

    request_id: str
    """The request."""

    trace_id: str
    """Trace that it belongs to."""

    span_id: str
    """Its own id."""

    parent_id: str
    """Span that it hangs under."""

    name: str
    """What was done, such as `route` or `attempt`."""

    start_ms: float
    """Wall time of its start."""

    duration_ms: float = -1.0
    """How long it took; negative while it is open."""

    attributes: dict[str, str] = {}
    """What was decided and why."""

    def context(self) -> TraceContext:
        """Return the context for spans under this one."""
        return TraceContext(self.trace_id, self.span_id)


class Tracer:
    """Keeps the newest spans, grouped by request."""

    __slots__ = ("_by_request", "_clock", "_host", "_kept", "_max_spans")

    def __init__(self, clock: Clock, host: str, max_spans: int) -> None:
        self._clock = clock
        self._host = host
        self._max_spans = max_spans
        self._kept = 0
        self._by_request: OrderedDict[str, list[Span]] = OrderedDict()

    def start(self, name: str, request_id: str, parent: TraceContext, **attributes: str) -> Span:
        """Open a span.

        Args:
            name: What is done.
            request_id: The request that it belongs to.
            parent: Place in the trace.
            **attributes: What is known at the start.

        Returns:
            The open span; pass it to `end`.
        """
        span = Span(
            request_id=request_id,
            trace_id=parent.trace_id,
            span_id=create_span_id(),
            parent_id=parent.span_id,
            name=name,
            start_ms=self._clock.wall_ms(),
            attributes={"host": self._host, **attributes},
        )
        self._by_request.setdefault(request_id, []).append(span)
        self._kept += 1
        while self._kept > self._max_spans:
            _, dropped = self._by_request.popitem(last=False)
            self._kept -= len(dropped)
        return span

    def end(self, span: Span, **attributes: str) -> None:
        """Close a span.

        Args:
            span: From `start`.
            **attributes: How it ended.
        """
        span.duration_ms = self._clock.wall_ms() - span.start_ms
        span.attributes.update(attributes)

    def note(self, name: str, request_id: str, parent: TraceContext, **attributes: str) -> None:
        """Keep a decision that takes no time of its own."""
        self.end(self.start(name, request_id, parent, **attributes))

    def spans(self, request_id: str) -> list[Span]:
        """Return the kept spans of a request, oldest first."""
        return list(self._by_request.get(request_id, ()))


def create_tracer(clock: Clock, host: str, max_spans: int) -> Tracer:
    """Return a tracer.

    Args:
        clock: Source of span times.
        host: Name of this host, put on each span.
        max_spans: Spans kept; the oldest requests go first.
    """
    return Tracer(clock, host, max_spans)
