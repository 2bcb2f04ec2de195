"""Splits a server-sent event stream into events and reads their ids."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from pimentodale.foreign_bytes import read_whole_number

MAX_EVENT_BYTES: Final = 256 * 1024
"""Maximum size of an event, and maximum number of bytes accepted without a complete one; a token
takes a few bytes."""

_EVENT_END: Final = b"\n\n"


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One complete event."""

    data: bytes
    """The raw bytes, including the terminating blank line."""

    event_id: str | None
    """The id field; `None` if the event has none."""


class InvalidEventStreamError(ValueError):
    """The stream has delivered more bytes without an event than any event may take."""


class EventSplitter:
    """Buffers bytes and returns complete events; an incomplete event stays in the buffer."""

    __slots__ = ("_buffer", "_comment_bytes", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Offset in the buffer at which the next search for the end of an event starts."""
        self._comment_bytes = 0
        """Number of comment bytes since the last event."""

    @property
    def has_partial(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add received bytes.

        Args:
            chunk: The bytes as received.

        Returns:
            The events that are complete now; comments between them are dropped.

        Raises:
            InvalidEventStreamError: If too many bytes have arrived since the last event.
        """
        self._buffer += chunk
        events: list[StreamEvent] = []
        while (end := self._buffer.find(_EVENT_END, self._searched)) >= 0:
            data = bytes(self._buffer[: end + len(_EVENT_END)])
            del self._buffer[: len(data)]
            self._searched = 0
            if _is_comment(data):
                self._comment_bytes += len(data)
                continue
            self._comment_bytes = 0
            events.append(StreamEvent(data, _read_id(data)))
        self._searched = max(0, len(self._buffer) - len(_EVENT_END) + 1)
        if len(self._buffer) + self._comment_bytes > MAX_EVENT_BYTES:
            raise InvalidEventStreamError(f"no event in {MAX_EVENT_BYTES} bytes")
        return events


def follows(event_id: str, last_event_id: str | None) -> bool:
    """Whether an event directly follows another one.

    Args:
        event_id: Id of the event.
        last_event_id: Id of the preceding event; `None` at the start of a stream, where any id is
            valid.

    Returns:
        After a number, whether the event has the next one; after another id, whether it differs.
    """
    last_number = None if last_event_id is None else read_whole_number(last_event_id)
    if last_number is None:
        return event_id != last_event_id
    return read_whole_number(event_id) == last_number + 1


def _is_comment(data: bytes) -> bool:
    """Whether a block consists of comments only, which servers send as keep-alives."""
    return all(not line or line.startswith(b":") for line in data.split(b"\n"))


def _read_id(data: bytes) -> str | None:
    """Return the id of an event, if it has one."""
    for line in data.split(b"\n"):
        if not line.startswith(b"id:"):
            continue
        return line[3:].strip().decode("latin-1")
    return None
