"""Pools of the grants that requests need to start.

An admission acquires a grant from its pool before it starts a request. The pool defines what a
grant is, such as a slot of a concurrency limit or a stream counted on a route.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class GrantPool(Generic[T]):
    """Functions that acquire and return grants."""

    acquire: Callable[[str], T | None]
    """Acquires a grant for a request with this hint; `None` if none is free. Must not block."""

    acquire_over_limit: Callable[[str], T | None]
    """Like `acquire`, for a request whose workspace is below its share: limits that only keep
    queues short may be exceeded. `None` if no grant is free even so."""

    give_back: Callable[[T], None]
    """Returns a grant to the pool."""


class Slot:
    """A grant of a counted pool."""

    __slots__ = ()


def create_counted_pool(
    limit: Callable[[], int], extra_limit: Callable[[], int] = lambda: 0
) -> GrantPool[Slot]:
    """Create a pool with a limited number of slots.

    Args:
        limit: Returns how many requests may run at once.
        extra_limit: Returns how many more may run for workspaces that are below their share.

    Returns:
        The pool.
    """
    taken = 0

    def take(most: int) -> Slot | None:
        nonlocal taken
        if taken >= most:
            return None
        taken += 1
        return Slot()

    def acquire(_hint: str) -> Slot | None:
        return take(limit())

    def acquire_over_limit(_hint: str) -> Slot | None:
        return take(limit() + extra_limit())

    def give_back(_slot: Slot) -> None:
        nonlocal taken
        taken -= 1

    return GrantPool(acquire, acquire_over_limit, give_back)
