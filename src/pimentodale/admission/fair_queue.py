"""A bounded queue that shares service among workspaces by weight.

Each workspace has a lane. The first entry of a lane has a finish tag: where the lane's last service
ended in virtual time, plus cost over weight. The smallest tag is served first, so that a workspace
which asks for more than its share waits behind its own earlier entries, and nobody else does. An
entry that is cancelled or too late is never charged.
"""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush
from itertools import count
from operator import itemgetter
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class Waiting(Generic[T]):
    """One entry of the queue."""

    __slots__ = ("cost", "deadline_ms", "item", "settled", "workspace")

    def __init__(self, item: T, workspace: str, cost: float, deadline_ms: float) -> None:
        self.item = item
        self.workspace = workspace
        self.cost = cost
        self.deadline_ms = deadline_ms
        self.settled = False


class _Lane(Generic[T]):
    """Entries of one workspace, and the virtual time at which its last service ended."""

    __slots__ = ("cost", "size", "start_tag", "waiting", "weight")

    def __init__(self) -> None:
        self.waiting: deque[Waiting[T]] = deque()
        self.start_tag = 0.0
        self.weight = 1.0
        self.size = 0
        self.cost = 0.0


class FairQueue(Generic[T]):
    """Weighted fair queue over workspaces; each operation takes O(log workspaces)."""

    __slots__ = (
        "_active_weight",
        "_heads",
        "_lanes",
        "_order",
        "_size",
        "_virtual_time",
        "cost",
    )

    cost: float
    """Summed cost of all entries."""

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane[T]] = {}
        self._heads: list[tuple[float, int, Waiting[T]]] = []
        self._order = count()
        self._virtual_time = 0.0
        self._size = 0
        self._active_weight = 0.0
        self.cost = 0.0

    def __len__(self) -> int:
        """Return the number of entries that wait."""
        return self._size

    def waiting_of(self, workspace: str) -> int:
        """Return the number of a workspace's entries."""
        lane = self._lanes.get(workspace)
        return 0 if lane is None else lane.size

    def cost_of(self, workspace: str) -> float:
        """Return the summed cost of a workspace's entries."""
        lane = self._lanes.get(workspace)
        return 0.0 if lane is None else lane.cost

    def share_of(self, workspace: str, weight: float) -> float:
        """Return the part of the service that a workspace gets while it waits, from 0 to 1."""
        lane = self._lanes.get(workspace)
        others = self._active_weight - (lane.weight if lane is not None and lane.size else 0.0)
        return weight / (max(0.0, others) + weight)

    def has_room(self, workspace: str, capacity: int) -> bool:
        """Tell whether a workspace may add an entry.

        A workspace may hold as many entries as there are places left, so that some always are left
        for the others, however many one of them sends; and while there are places, as many as another
        one holds. `give_way` makes room in a full queue.

        Args:
            workspace: The workspace.
            capacity: Entries that the queue may hold.
        """
        places = capacity - self._size
        own = self.waiting_of(workspace)
        if own < places or places <= 0:
            return own < places
        return any(lane.size > own for lane in self._lanes.values())

    def give_way(
        self, workspace: str, weight: float, may_leave: Callable[[T], bool]
    ) -> Waiting[T] | None:
        """Take out an entry of the workspace with the most for its weight, to make room for another.

        Args:
            workspace: Whose new entry needs a place.
            weight: The workspace's weight.
            may_leave: Whether an entry may be taken out.

        Returns:
            The newest such entry, taken out; `None` if no workspace would still have as much for its
            weight as this one with its new entry.
        """
        lanes = (lane for lane in self._lanes.values() if lane.size)
        longest = max(lanes, key=lambda lane: lane.size / lane.weight, default=None)
        if longest is None:
            return None
        own = (self.waiting_of(workspace) + 1) / weight
        if (longest.size - 1) / longest.weight < own:
            return None
        for entry in reversed(longest.waiting):
            if entry.settled or not may_leave(entry.item):
                continue
            self.cancel(entry)
            return entry
        return None

    def push(
        self, item: T, workspace: str, weight: float, cost: float, deadline_ms: float
    ) -> Waiting[T]:
        """Add an entry.

        Args:
            item: What waits.
            workspace: Whose it is.
            weight: The workspace's weight, above 0.
            cost: What serving it takes, above 0.
            deadline_ms: Clock reading after which it is of no use.

        Returns:
            The entry, for `cancel`.
        """
        lane = self._lanes.get(workspace)
        if lane is None:
            lane = self._lanes[workspace] = _Lane()
        if lane.size == 0:
            self._active_weight += weight
            lane.start_tag = max(self._virtual_time, lane.start_tag)
        else:
            self._active_weight += weight - lane.weight
        lane.weight = weight
        entry = Waiting(item, workspace, cost, deadline_ms)
        lane.waiting.append(entry)
        lane.size += 1
        lane.cost += cost
        self.cost += cost
        self._size += 1
        if lane.waiting[0] is entry:
            self._offer_head(lane)
        return entry

    def peek(self, now_ms: float) -> Waiting[T] | None:
        """Return the entry that is next without taking it.

        Args:
            now_ms: Clock reading; entries whose deadline has come are dropped.

        Returns:
            The entry, or `None` if none waits.
        """
        while self._heads:
            _, _, entry = self._heads[0]
            if not entry.settled and entry.deadline_ms > now_ms:
                return entry
            self._drop_head(entry)
        self._forget_if_empty()
        return None

    def pop(self, now_ms: float) -> Waiting[T] | None:
        """Take the entry that is next.

        Args:
            now_ms: Clock reading; entries whose deadline has come are dropped.

        Returns:
            The entry, or `None` if none waits.
        """
        entry = self.peek(now_ms)
        if entry is not None:
            self.take(entry)
        return entry

    def next_entries(self, now_ms: float, count: int) -> list[Waiting[T]]:
        """Return the first entry of each workspace without taking it, those that are next first.

        Args:
            now_ms: Clock reading; entries whose deadline has come are left out.
            count: Most entries to return.
        """
        while True:
            heads = [entry for _, _, entry in sorted(self._heads, key=itemgetter(0, 1))]
            dead = [entry for entry in heads if entry.settled or entry.deadline_ms <= now_ms]
            if not dead:
                self._forget_if_empty()
                return heads[:count]
            for entry in dead:
                self._drop_head(entry)

    def take(self, entry: Waiting[T]) -> None:
        """Take an entry that `peek` or `next_entries` returned; its workspace is charged for it."""
        lane = self._remove_head(entry)
        entry.settled = True
        self._count_off(lane, entry)
        self._virtual_time = max(self._virtual_time, lane.start_tag)
        lane.start_tag += entry.cost / lane.weight
        self._offer_head(lane)
        self._forget_if_empty()

    def cancel(self, entry: Waiting[T]) -> None:
        """Take an entry out; it may have been cancelled or popped already."""
        lane = self._lanes.get(entry.workspace)
        if entry.settled or lane is None:
            return
        entry.settled = True
        self._count_off(lane, entry)
        self._forget_if_empty()

    def _drop_head(self, entry: Waiting[T]) -> None:
        """Take out a workspace's first entry that was cancelled or is too late."""
        lane = self._remove_head(entry)
        if not entry.settled:
            entry.settled = True
            self._count_off(lane, entry)
        self._offer_head(lane)

    def _remove_head(self, entry: Waiting[T]) -> _Lane[T]:
        """Take a workspace's first entry out of the heap and its lane."""
        if self._heads[0][2] is entry:
            heappop(self._heads)
        else:
            self._heads = [head for head in self._heads if head[2] is not entry]
            heapify(self._heads)
        lane = self._lanes[entry.workspace]
        lane.waiting.popleft()
        return lane

    def _offer_head(self, lane: _Lane[T]) -> None:
        """Enter a lane's first live entry into the heap."""
        waiting = lane.waiting
        while waiting and waiting[0].settled:
            waiting.popleft()
        if waiting:
            finish_tag = lane.start_tag + waiting[0].cost / lane.weight
            heappush(self._heads, (finish_tag, next(self._order), waiting[0]))

    def _count_off(self, lane: _Lane[T], entry: Waiting[T]) -> None:
        """Take an entry out of the sums."""
        lane.size -= 1
        lane.cost = lane.cost - entry.cost if lane.size else 0.0
        self._size -= 1
        self.cost = self.cost - entry.cost if self._size else 0.0
        if lane.size == 0:
            self._active_weight = max(0.0, self._active_weight - lane.weight)

    def _forget_if_empty(self) -> None:
        """Start anew once nobody waits: without contention nobody is ahead of anybody."""
        if self._size:
            return
        self._lanes.clear()
        self._heads.clear()
        self._virtual_time = 0.0
        self._active_weight = 0.0


def create_fair_queue() -> FairQueue[T]:
    """Build an empty queue."""
    return FairQueue()
