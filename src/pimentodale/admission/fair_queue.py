"""A bounded queue that shares service among workspaces by weight.

Each workspace has a lane. The first entry of a lane has a finish tag: the virtual time at which the
lane's last service ended, plus cost divided by weight. The smallest tag is served first, so a
workspace that asks for more than its share delays only its own later entries. An entry that is
cancelled or misses its deadline is never charged to its workspace.
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


class QueueEntry(Generic[T]):
    """One entry of the queue; `settled` once it was served, cancelled, evicted or dropped."""

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
        self.waiting: deque[QueueEntry[T]] = deque()
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
        "_sequence",
        "_size",
        "_virtual_time",
        "cost",
    )

    cost: float
    """Summed cost of all entries."""

    def __init__(self) -> None:
        self._lanes: dict[str, _Lane[T]] = {}
        self._heads: list[tuple[float, int, QueueEntry[T]]] = []
        self._sequence = count()
        self._virtual_time = 0.0
        self._size = 0
        self._active_weight = 0.0
        self.cost = 0.0

    def __len__(self) -> int:
        """Return the number of queued entries."""
        return self._size

    def waiting_of(self, workspace: str) -> int:
        """Return the number of queued entries of a workspace."""
        lane = self._lanes.get(workspace)
        return 0 if lane is None else lane.size

    def cost_of(self, workspace: str) -> float:
        """Return the summed cost of a workspace's entries."""
        lane = self._lanes.get(workspace)
        return 0.0 if lane is None else lane.cost

    def share_of(self, workspace: str, weight: float) -> float:
        """Return the fraction of the service, 0 to 1, that a workspace gets while it is queued."""
        lane = self._lanes.get(workspace)
        others = self._active_weight - (lane.weight if lane is not None and lane.size else 0.0)
        return weight / (max(0.0, others) + weight)

    def has_room(self, workspace: str, capacity: int) -> bool:
        """Tell whether a workspace may add an entry.

        A workspace may have as many entries as there are free places, so that no workspace can fill
        the queue on its own; and while there are free places, as many as any other workspace has.
        `evict` frees a place in a full queue.

        Args:
            workspace: The workspace.
            capacity: Entries that the queue may hold.
        """
        places = capacity - self._size
        own = self.waiting_of(workspace)
        if own < places or places <= 0:
            return own < places
        return any(lane.size > own for lane in self._lanes.values())

    def evict(
        self, workspace: str, weight: float, may_evict: Callable[[T], bool]
    ) -> QueueEntry[T] | None:
        """Remove an entry of the workspace with the most entries for its weight, to free a place.

        Args:
            workspace: Workspace of the new entry that needs a place.
            weight: The workspace's weight.
            may_evict: Whether an item may be evicted.

        Returns:
            The newest entry that may be evicted, already removed; `None` if the longest lane would
            then be shorter for its weight than this workspace's lane with its new entry.
        """
        lanes = (lane for lane in self._lanes.values() if lane.size)
        longest = max(lanes, key=lambda lane: lane.size / lane.weight, default=None)
        if longest is None:
            return None
        own = (self.waiting_of(workspace) + 1) / weight
        if (longest.size - 1) / longest.weight < own:
            return None
        for entry in reversed(longest.waiting):
            if entry.settled or not may_evict(entry.item):
                continue
            self.cancel(entry)
            return entry
        return None

    def push(
        self, item: T, workspace: str, weight: float, cost: float, deadline_ms: float
    ) -> QueueEntry[T]:
        """Add an entry.

        Args:
            item: The queued item.
            workspace: Workspace that it belongs to.
            weight: The workspace's weight, above 0.
            cost: Cost of serving it, above 0.
            deadline_ms: Clock reading at which the entry expires.

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
        entry = QueueEntry(item, workspace, cost, deadline_ms)
        lane.waiting.append(entry)
        lane.size += 1
        lane.cost += cost
        self.cost += cost
        self._size += 1
        if lane.waiting[0] is entry:
            self._push_head(lane)
        return entry

    def peek(self, now_ms: float) -> QueueEntry[T] | None:
        """Return the next entry without removing it.

        Args:
            now_ms: Clock reading; entries whose deadline has passed are dropped.

        Returns:
            The entry, or `None` if the queue is empty.
        """
        while self._heads:
            _, _, entry = self._heads[0]
            if not entry.settled and entry.deadline_ms > now_ms:
                return entry
            self._drop_head(entry)
        self._reset_if_empty()
        return None

    def pop(self, now_ms: float) -> QueueEntry[T] | None:
        """Remove and return the next entry.

        Args:
            now_ms: Clock reading; entries whose deadline has passed are dropped.

        Returns:
            The entry, or `None` if the queue is empty.
        """
        entry = self.peek(now_ms)
        if entry is not None:
            self.take(entry)
        return entry

    def next_entries(self, now_ms: float, count: int) -> list[QueueEntry[T]]:
        """Return the first entry of each workspace in service order without removing it.

        Args:
            now_ms: Clock reading; entries whose deadline has passed are left out.
            count: Maximum number of entries to return.
        """
        while True:
            heads = [entry for _, _, entry in sorted(self._heads, key=itemgetter(0, 1))]
            dead = [entry for entry in heads if entry.settled or entry.deadline_ms <= now_ms]
            if not dead:
                self._reset_if_empty()
                return heads[:count]
            for entry in dead:
                self._drop_head(entry)

    def take(self, entry: QueueEntry[T]) -> None:
        """Remove an entry returned by `peek` or `next_entries` and charge its workspace for it."""
        lane = self._remove_head(entry)
        entry.settled = True
        self._subtract(lane, entry)
        self._virtual_time = max(self._virtual_time, lane.start_tag)
        lane.start_tag += entry.cost / lane.weight
        self._push_head(lane)
        self._reset_if_empty()

    def cancel(self, entry: QueueEntry[T]) -> None:
        """Remove an entry; does nothing if it has been cancelled or popped already."""
        lane = self._lanes.get(entry.workspace)
        if entry.settled or lane is None:
            return
        entry.settled = True
        self._subtract(lane, entry)
        self._reset_if_empty()

    def _drop_head(self, entry: QueueEntry[T]) -> None:
        """Remove a workspace's first entry, which was cancelled or has expired."""
        lane = self._remove_head(entry)
        if not entry.settled:
            entry.settled = True
            self._subtract(lane, entry)
        self._push_head(lane)

    def _remove_head(self, entry: QueueEntry[T]) -> _Lane[T]:
        """Remove a workspace's first entry from the heap and from its lane."""
        if self._heads[0][2] is entry:
            heappop(self._heads)
        else:
            self._heads = [head for head in self._heads if head[2] is not entry]
            heapify(self._heads)
        lane = self._lanes[entry.workspace]
        lane.waiting.popleft()
        return lane

    def _push_head(self, lane: _Lane[T]) -> None:
        """Push the first live entry of a lane onto the heap."""
        waiting = lane.waiting
        while waiting and waiting[0].settled:
            waiting.popleft()
        if waiting:
            finish_tag = lane.start_tag + waiting[0].cost / lane.weight
            heappush(self._heads, (finish_tag, next(self._sequence), waiting[0]))

    def _subtract(self, lane: _Lane[T], entry: QueueEntry[T]) -> None:
        """Subtract an entry from the counts and cost sums."""
        lane.size -= 1
        lane.cost = lane.cost - entry.cost if lane.size else 0.0
        self._size -= 1
        self.cost = self.cost - entry.cost if self._size else 0.0
        if lane.size == 0:
            self._active_weight = max(0.0, self._active_weight - lane.weight)

    def _reset_if_empty(self) -> None:
        """Reset an empty queue: without contention, past service does not affect priority."""
        if self._size:
            return
        self._lanes.clear()
        self._heads.clear()
        self._virtual_time = 0.0
        self._active_weight = 0.0


def create_fair_queue() -> FairQueue[T]:
    """Create an empty queue."""
    return FairQueue()
