"""Cuts a stream into whole events and reads their ids."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_EVENT_BYTES: Final = 1024 * 1024
"""Longest event that is waited for."""


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One whole event."""

    data: bytes
    """Its bytes, the blank line included."""

    event_id: str | None
    """Its id, where it has one."""


class EventTooLongError(ValueError):
    """An event is longer than any that is waited for."""


class EventSplitter:
    """Collects bytes and gives whole events back; a part of an event is kept."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an unfinished event are kept."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Take bytes.

        Args:
            chunk: Bytes as they arrived.

        Returns:
            The events that are whole now.

        Raises:
            EventTooLongError: If the unfinished event is too long.
        """
        self._buffer += chunk
        events: list[StreamEvent] = []
        while True:
            end = self._buffer.find(b"\n\n")
            if end < 0:
                break
            data = self._buffer[: end + 2]
            self._buffer = self._buffer[end + 2 :]
            events.append(StreamEvent(data, _read_id(data)))
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event of over {MAX_EVENT_BYTES} bytes")
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


def _read_id(data: bytes) -> str | None:
    """Return an event's id."""
    for line in data.split(b"\n"):
        if not line.startswith(b"id:"):
            continue
        return line[3:].strip().decode("latin-1")
    return None
