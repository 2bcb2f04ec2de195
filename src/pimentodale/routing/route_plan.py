"""Route planning as a maximum-flow problem.

The plan gives the tokens per second that each route should carry, and the upper bound on their sum.
Replicas and links are capacities of a flow network. A token enters a replica at the layer that it
has reached and leaves it at the replica's last layer. Overlapping layer ranges need no further cut
points, as running a replica to its last layer never rules out a route that stopping earlier would
allow. A link is the connection from one failure domain to another at one layer boundary.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, Literal

import msgspec

from pimentodale.clients.engine_messages import Hop
from pimentodale.routing.max_flow import UNLIMITED, FlowGraph, create_flow_graph
from pimentodale.routing.routes import Route

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.clients.targets import EngineTarget

_UNITS_PER_TOKEN: Final = 1000
"""Integer flow units per token per second."""

_SOURCE: Final = 0
_SINK: Final = 1


LinkScope = Literal["shared", "pair"]
"""What a link's rate applies to: all replicas together, or each pair of replicas."""


class Link(msgspec.Struct, frozen=True, kw_only=True):
    """Rate limit of the traffic from one failure domain to another."""

    from_failure_domain: str
    """Failure domain that activations leave."""

    to_failure_domain: str
    """Failure domain that they enter; the same one for traffic within a domain."""

    tokens_per_s: float
    """Tokens per second that the link carries."""

    scope: LinkScope = "shared"
    """Whether the rate is shared by all replicas at one layer boundary, or is that of each pair."""


class PlannedRoute(msgspec.Struct, frozen=True):
    """A route with its share of the flow."""

    route: Route
    """The route."""

    tokens_per_s: float
    """Tokens per second that the route should carry."""


class RoutePlan(msgspec.Struct, frozen=True, kw_only=True):
    """Routes of one model that together carry the maximum flow."""

    model: str
    """The model."""

    layers: int
    """Number of the model's layers; each route runs every one of them once."""

    bound_tokens_per_s: float
    """Upper bound on the tokens per second of any choice of routes."""

    routes: list[PlannedRoute]
    """Routes by descending rate; empty if the engines' ranges don't cover all layers."""


def plan_routes(
    model: str, layers: int, engines: Sequence[EngineTarget], links: Sequence[Link] = ()
) -> RoutePlan:
    """Compute the maximum flow and decompose it into routes.

    Args:
        model: The model; engines that hold another model are ignored.
        layers: Number of the model's layers, 1 or more.
        engines: Engines that may be used.
        links: Link limits; traffic between failure domains without one is unlimited.

    Returns:
        The plan.
    """
    usable = [engine for engine in engines if engine.model == model and _is_usable(engine, layers)]
    network = _build_network(layers, usable, {_domain_pair(link): link for link in links})
    value = network.graph.push_max_flow(_SOURCE, _SINK)
    routes = _split_into_routes(model, usable, network)
    routes.sort(key=lambda planned: -planned.tokens_per_s)
    return RoutePlan(
        model=model,
        layers=layers,
        bound_tokens_per_s=value / _UNITS_PER_TOKEN,
        routes=routes,
    )


class _Network(msgspec.Struct):
    """The flow network and its mapping from nodes to engines."""

    graph: FlowGraph
    entered: dict[int, int]
    """Index of the engine by the node where a token enters it."""


def _build_network(
    layers: int, engines: list[EngineTarget], links: dict[tuple[str, str], Link]
) -> _Network:
    """Build the network, with edges between engines whose layer ranges can follow each other."""
    graph = create_flow_graph(2)
    entries = [graph.add_node() for _ in engines]
    exits = [graph.add_node() for _ in engines]
    for number, engine in enumerate(engines):
        graph.add_edge(entries[number], exits[number], _to_flow_units(engine.tokens_per_s))
        if engine.first_layer == 0:
            graph.add_edge(_SOURCE, entries[number], UNLIMITED)
        if engine.last_layer == layers:
            graph.add_edge(exits[number], _SINK, UNLIMITED)
    boundaries = sorted({engine.last_layer for engine in engines} - {layers})
    for boundary in boundaries:
        _connect_boundary(graph, boundary, engines, entries, exits, links)
    return _Network(graph, {node: number for number, node in enumerate(entries)})


def _connect_boundary(
    graph: FlowGraph,
    boundary: int,
    engines: list[EngineTarget],
    entries: list[int],
    exits: list[int],
    links: dict[tuple[str, str], Link],
) -> None:
    """Add the edges from engines that end at `boundary` to engines that can continue there."""
    entries_by_domain: dict[str, list[int]] = {}
    for number, engine in enumerate(engines):
        if engine.first_layer <= boundary < engine.last_layer:
            entries_by_domain.setdefault(engine.failure_domain, []).append(entries[number])
    arrival_nodes: dict[str, int] = {}
    for failure_domain, following in entries_by_domain.items():
        arrival_nodes[failure_domain] = graph.add_node()
        for entry in following:
            graph.add_edge(arrival_nodes[failure_domain], entry, UNLIMITED)
    link_nodes: dict[tuple[str, str], int] = {}
    for number, engine in enumerate(engines):
        if engine.last_layer != boundary:
            continue
        for failure_domain, arrival in arrival_nodes.items():
            pair = (engine.failure_domain, failure_domain)
            link = links.get(pair)
            if link is None:
                graph.add_edge(exits[number], arrival, UNLIMITED)
                continue
            if link.scope == "pair":
                for entry in entries_by_domain[failure_domain]:
                    graph.add_edge(exits[number], entry, _to_flow_units(link.tokens_per_s))
                continue
            link_node = link_nodes.get(pair)
            if link_node is None:
                link_node = link_nodes[pair] = graph.add_node()
                graph.add_edge(link_node, arrival, _to_flow_units(link.tokens_per_s))
            graph.add_edge(exits[number], link_node, UNLIMITED)


def _split_into_routes(
    model: str, engines: list[EngineTarget], network: _Network
) -> list[PlannedRoute]:
    """Decompose the flow into paths, and merge the paths over the same engines into one route."""
    graph = network.graph
    remaining: dict[int, int] = {}
    carrying: dict[int, list[int]] = {}
    carried: dict[tuple[int, ...], int] = {}
    while True:
        path, amount = _find_path(graph, remaining, carrying)
        if amount == 0:
            break
        for edge in path:
            remaining[edge] -= amount
        heads = [graph.head(edge) for edge in path]
        stages = tuple(network.entered[node] for node in heads if node in network.entered)
        carried[stages] = carried.get(stages, 0) + amount
    return [
        PlannedRoute(
            _build_route(model, [engines[stage] for stage in stages]), amount / _UNITS_PER_TOKEN
        )
        for stages, amount in carried.items()
    ]


def _find_path(
    graph: FlowGraph, remaining: dict[int, int], carrying: dict[int, list[int]]
) -> tuple[list[int], int]:
    """Find a path of remaining flow from source to sink; return it and the amount on it.

    The network is acyclic. The amount is 0 when no flow is left.
    """
    path: list[int] = []
    node = _SOURCE
    while node != _SINK:
        edges = carrying.get(node)
        if edges is None:
            edges = carrying[node] = [e for e in graph.edges_from(node) if graph.flow(e) > 0]
            for edge in edges:
                remaining[edge] = graph.flow(edge)
        while edges and remaining[edges[-1]] == 0:
            edges.pop()
        if not edges:
            return path, 0
        path.append(edges[-1])
        node = graph.head(edges[-1])
    return path, min(remaining[edge] for edge in path)


def _build_route(model: str, stages: list[EngineTarget]) -> Route:
    """Build a route on which each engine runs from the layer reached to its last layer."""
    hops: list[Hop] = []
    reached = 0
    for engine in stages:
        hops.append(Hop(engine.replica, str(engine.address), reached, engine.last_layer))
        reached = engine.last_layer
    return Route(model, tuple(hops))


def _is_usable(engine: EngineTarget, layers: int) -> bool:
    """Return whether an engine can carry flow."""
    if engine.leaving or not engine.tokens_per_s > 0:
        return False
    return 0 <= engine.first_layer < engine.last_layer <= layers


def _domain_pair(link: Link) -> tuple[str, str]:
    """Return a link's origin and destination failure domains."""
    return link.from_failure_domain, link.to_failure_domain


def _to_flow_units(tokens_per_s: float) -> int:
    """Convert a rate to flow units."""
    if math.isinf(tokens_per_s):
        return UNLIMITED
    return max(0, math.floor(tokens_per_s * _UNITS_PER_TOKEN))
