"""Cuts a stream into whole events and reads their ids."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_EVENT_BYTES: Final = 256 * 1024
"""Longest event that is waited for, and most bytes that may come without one; a token takes a few."""


_EVENT_END: Final = b"\n\n"


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One whole event."""

    data: bytes
    """Its bytes, the blank line included."""

    event_id: str | None
    """Its id, where it has one."""


class NoEventError(ValueError):
    """Bytes come that are no events, or more than any event takes."""


class EventSplitter:
    """Collects bytes and gives whole events back; a part of an event is kept."""

    __slots__ = ("_buffer", "_idle_bytes", "_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Bytes of the buffer in which no end of an event begins."""
        self._idle_bytes = 0
        """Bytes of comments since the last event."""

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an unfinished event are kept."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Take bytes.

        Args:
            chunk: Bytes as they arrived.

        Returns:
            The events that are whole now; comments between them are dropped.

        Raises:
            NoEventError: If too much has come since the last event.
        """
        self._buffer += chunk
        events: list[StreamEvent] = []
        while (end := self._buffer.find(_EVENT_END, self._searched)) >= 0:
            data = bytes(self._buffer[: end + len(_EVENT_END)])
            del self._buffer[: len(data)]
            self._searched = 0
            if _is_comment(data):
                self._idle_bytes += len(data)
                continue
            self._idle_bytes = 0
            events.append(StreamEvent(data, _read_id(data)))
        self._searched = max(0, len(self._buffer) - len(_EVENT_END) + 1)
        if len(self._buffer) + self._idle_bytes > MAX_EVENT_BYTES:
            raise NoEventError(f"no event in {MAX_EVENT_BYTES} bytes")
        return events


def follows(event_id: str, last_event_id: str | None) -> bool:
    """Whether an event comes right after another one.

    Args:
        event_id: Id of the event.
        last_event_id: Id of the event before; `None` at a stream's start, which any event may follow.
    """
    if last_event_id is None or not (event_id.isdigit() and last_event_id.isdigit()):
        return event_id != last_event_id
    return int(event_id) == int(last_event_id) + 1


def _is_comment(data: bytes) -> bool:
    """Whether a block between blank lines has comments alone, as servers send to keep a connection."""
    return all(not line or line.startswith(b":") for line in data.split(b"\n"))


def _read_id(data: bytes) -> str | None:
    """Return an event's id."""
    for line in data.split(b"\n"):
        if not line.startswith(b"id:"):
            continue
        return line[3:].strip().decode("latin-1")
    return None
