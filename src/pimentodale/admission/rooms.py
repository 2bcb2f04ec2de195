"""Room for work: what a request needs to start, taken and given back.

An admission asks its room for a grant before it lets a request start. What a grant is, a place of
a limit or a route with its streams counted, is the room's own matter.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Room(Generic[T]):
    """A way to take and give back grants."""

    acquire: Callable[[str], T | None]
    """Takes a grant for a request with this hint; `None` if there is no room now. Must not wait."""

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

    def acquire(_hint: str) -> Place | None:
        nonlocal taken
        if taken >= limit():
            return None
        taken += 1
        return Place()

    def give_back(_place: Place) -> None:
        nonlocal taken
        taken -= 1

    return Room(acquire, give_back)
