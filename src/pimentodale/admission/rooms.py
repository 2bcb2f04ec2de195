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

    acquire_beyond: Callable[[str], T | None]
    """Likewise, for a request whose workspace has less than its share: it may go beyond limits that
    only keep queues short. `None` if even so there is no room."""

    give_back: Callable[[T], None]
    """Gives back a grant."""


class Place:
    """A grant of a counted room."""

    __slots__ = ()


def create_counted_room(
    limit: Callable[[], int], beyond: Callable[[], int] = lambda: 0
) -> Room[Place]:
    """Build a room for a number of requests at once.

    Args:
        limit: Returns how many may run now.
        beyond: Returns how many more may run of workspaces that have less than their share.

    Returns:
        The room.
    """
    taken = 0

    def take(most: int) -> Place | None:
        nonlocal taken
        if taken >= most:
            return None
        taken += 1
        return Place()

    def acquire(_hint: str) -> Place | None:
        return take(limit())

    def acquire_beyond(_hint: str) -> Place | None:
        return take(limit() + beyond())

    def give_back(_place: Place) -> None:
        nonlocal taken
        taken -= 1

    return Room(acquire, acquire_beyond, give_back)
