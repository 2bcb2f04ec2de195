"""Maximum flow by Dinic's algorithm over integer capacities.

Integers keep the flow exact, so that it decomposes into paths without a remainder.
"""

from __future__ import annotations

from collections import deque
from typing import Final

UNLIMITED: Final = 1 << 60
"""Capacity of an edge that never limits the flow."""


class FlowGraph:
    """A directed graph with capacities; after `push_max_flow`, also with a flow.

    Each edge is stored next to its reverse: the reverse of edge `e` is edge `e ^ 1`.
    """

    __slots__ = ("_capacities", "_edges_from", "_heads", "_levels", "_next_edges")

    def __init__(self) -> None:
        self._edges_from: list[list[int]] = []
        self._heads: list[int] = []
        self._capacities: list[int] = []
        self._levels: list[int] = []
        self._next_edges: list[int] = []

    def add_node(self) -> int:
        """Add a node and return its number."""
        self._edges_from.append([])
        return len(self._edges_from) - 1

    def add_edge(self, tail: int, head: int, capacity: int) -> int:
        """Add an edge.

        Args:
            tail: Node that the edge leaves.
            head: Node that the edge enters.
            capacity: Largest flow, 0 or more.

        Returns:
            The edge's number, as `flow` and `head` take it.
        """
        edge = len(self._heads)
        self._heads += (head, tail)
        self._capacities += (capacity, 0)
        self._edges_from[tail].append(edge)
        self._edges_from[head].append(edge + 1)
        return edge

    def edges_from(self, node: int) -> list[int]:
        """Return the edges that leave a node, without the reverse ones."""
        return [edge for edge in self._edges_from[node] if not edge & 1]

    def head(self, edge: int) -> int:
        """Return the node that an edge enters."""
        return self._heads[edge]

    def flow(self, edge: int) -> int:
        """Return an edge's flow, which is its reverse's residual capacity."""
        return self._capacities[edge ^ 1]

    def push_max_flow(self, source: int, sink: int) -> int:
        """Compute the maximum flow from source to sink.

        Args:
            source: Node that the flow leaves.
            sink: Node that the flow enters.

        Returns:
            The flow's value.
        """
        total = 0
        while self._set_levels(source, sink):
            self._next_edges = [0] * len(self._edges_from)
            while pushed := self._push_augmenting_path(source, sink):
                total += pushed
        return total

    def _set_levels(self, source: int, sink: int) -> bool:
        """Set each node's distance in the residual graph; return whether the sink is reachable."""
        levels = [-1] * len(self._edges_from)
        levels[source] = 0
        queue = deque([source])
        heads, capacities = self._heads, self._capacities
        while queue:
            node = queue.popleft()
            for edge in self._edges_from[node]:
                head = heads[edge]
                if capacities[edge] <= 0 or levels[head] >= 0:
                    continue
                levels[head] = levels[node] + 1
                queue.append(head)
        self._levels = levels
        return levels[sink] >= 0

    def _push_augmenting_path(self, source: int, sink: int) -> int:
        """Push flow along one augmenting path of the level graph; return 0 if none is left."""
        levels, next_edges = self._levels, self._next_edges
        heads, capacities, edges_from = self._heads, self._capacities, self._edges_from
        path: list[int] = []
        node = source
        while node != sink:
            edges = edges_from[node]
            position = next_edges[node]
            while position < len(edges):
                edge = edges[position]
                if capacities[edge] > 0 and levels[heads[edge]] == levels[node] + 1:
                    break
                position += 1
            next_edges[node] = position
            if position < len(edges):
                path.append(edges[position])
                node = heads[edges[position]]
                continue
            if not path:
                return 0
            # Dead end: backtrack and take the previous node's next edge.
            node = heads[path.pop() ^ 1]
            next_edges[node] += 1
        return self._augment(path)

    def _augment(self, path: list[int]) -> int:
        """Push the path's bottleneck capacity along it and return the amount."""
        amount = min(self._capacities[edge] for edge in path)
        for edge in path:
            self._capacities[edge] -= amount
            self._capacities[edge ^ 1] += amount
        return amount


def create_flow_graph(nodes: int) -> FlowGraph:
    """Build a graph with `nodes` nodes, numbered from 0, and no edges."""
    graph = FlowGraph()
    for _ in range(nodes):
        graph.add_node()
    return graph
