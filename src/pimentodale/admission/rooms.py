"""Room for work: what a request needs to start, taken and given back.

An admission asks its room for a grant before it lets a request start. What a grant is, a place of
a limit or a route with its streams counted, is the room's own matter.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Room(Generic[T]):
    """A way to take and give back grants."""

    acquire: Callable[[], T | None]
    """Takes a grant; `None` if there is no room now. It must not wait."""

    give_back: Callable[[T], None]
    """Gives back a grant."""


class Place:
    """A grant of a counted room."""

    __slots__ = ()


def create_counted_room(limit: Callable[[], int]) -> Room[Place]:
    """Build a room for a number of requests at once.

    Args:
        limit: Returns how many may run now.

    Returns:
        The room.
    """
    taken = 0

    def acquire() -> Place | None:
        nonlocal taken
        if taken >= limit():
            return None
        taken += 1
        return Place()

    def give_back(_place: Place) -> None:
        nonlocal taken
        taken -= 1

    return Room(acquire, give_back)
