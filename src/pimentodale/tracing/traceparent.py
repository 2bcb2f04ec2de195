"""The W3C `traceparent` header."""

from __future__ import annotations

import re
import secrets
from typing import Final

import msgspec

_PATTERN: Final = re.compile(r"^[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?$")
_INVALID_VERSION: Final = "ff"


class TraceContext(msgspec.Struct, frozen=True):
    """Place in a trace that a new span hangs under."""

    trace_id: str
    """32 hexadecimal digits."""

    span_id: str
    """16 hexadecimal digits."""

    flags: str = "01"
    """Two hexadecimal digits; bit 0 says that the trace is sampled."""

    def header(self) -> str:
        """Return the value of `traceparent`."""
        return f"00-{self.trace_id}-{self.span_id}-{self.flags}"


def parse_traceparent(header: str | None) -> TraceContext | None:
    """Parse a header.

    Args:
        header: The header's value, if there was one.

    Returns:
        The context; `None` for a missing or malformed header, as the specification asks.
    """
    if header is None:
        return None
    match = _PATTERN.match(header.strip())
    if match is None or header.startswith(_INVALID_VERSION):
        return None
    trace_id, span_id, flags = match[1], match[2], match[3]
    if set(trace_id) == {"0"} or set(span_id) == {"0"}:
        return None
    return TraceContext(trace_id, span_id, flags)


def create_trace() -> TraceContext:
    """Return the context of a new trace."""
    return TraceContext(secrets.token_hex(16), create_span_id())


def create_span_id() -> str:
    """Return a new span id."""
    return secrets.token_hex(8)
