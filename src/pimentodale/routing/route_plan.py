"""The plan: how many tokens a second each route should carry, and the bound on their sum.

Replicas and links are capacities of a flow network. A replica enters the network at the layer that
the token has reached and leaves it at its own last layer, so that overlapping ranges need no cut
points of their own: going on to the last layer held never costs a route that stopping short would
have. A link is the way from one failure domain to another at one layer boundary.
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
"""Flow units in one token a second."""

_SOURCE: Final = 0
_SINK: Final = 1


LinkScope = Literal["shared", "pair"]
"""What a link's rate holds for."""


class Link(msgspec.Struct, frozen=True, kw_only=True):
    """What the way from one failure domain to another carries."""

    from_failure_domain: str
    """Failure domain that activations leave."""

    to_failure_domain: str
    """Failure domain that they enter; the same for links within it."""

    tokens_per_s: float
    """Tokens a second that it carries."""

    scope: LinkScope = "shared"
    """Whether that holds for all replicas together at one layer boundary, or for each pair."""


class PlannedRoute(msgspec.Struct, frozen=True):
    """A route with its share of the flow."""

    route: Route
    """The route."""

    tokens_per_s: float
    """Tokens a second that it should carry."""


class RoutePlan(msgspec.Struct, frozen=True, kw_only=True):
    """Routes of one model that together carry the maximum flow."""

    model: str
    """The model."""

    layers: int
    """Layers that each route tiles."""

    bound_tokens_per_s: float
    """Largest number of tokens a second that any choice of routes can carry."""

    routes: list[PlannedRoute]
    """Routes, the largest first; empty when the layers can't be tiled."""


def plan_routes(
    model: str, layers: int, engines: Sequence[EngineTarget], links: Sequence[Link] = ()
) -> RoutePlan:
    """Find the maximum flow and split it into routes.

    Args:
        model: The model; engines that hold another are passed over.
        layers: Layers of the model, 1 or more.
        engines: Engines that may be used.
        links: Limits of links; a pair of failure domains without one is not limited.

    Returns:
        The plan.
    """
    held = [engine for engine in engines if engine.model == model and _is_usable(engine, layers)]
    network = _build_network(layers, held, {_pair(link): link for link in links})
    value = network.graph.push_max_flow(_SOURCE, _SINK)
    routes = _split_into_routes(model, held, network)
    routes.sort(key=lambda planned: -planned.tokens_per_s)
    return RoutePlan(
        model=model,
        layers=layers,
        bound_tokens_per_s=value / _UNITS_PER_TOKEN,
        routes=routes,
    )


class _Network(msgspec.Struct):
    """The flow network, and which of its nodes stand for which engine."""

    graph: FlowGraph
    entered: dict[int, int]
    """Number of the engine by the node where a token enters it."""


def _build_network(
    layers: int, engines: list[EngineTarget], links: dict[tuple[str, str], Link]
) -> _Network:
    """Join engines whose ranges follow each other, through the links between them."""
    graph = create_flow_graph(2)
    entries = [graph.add_node() for _ in engines]
    exits = [graph.add_node() for _ in engines]
    for number, engine in enumerate(engines):
        graph.add_edge(entries[number], exits[number], _units(engine.tokens_per_s))
        if engine.first_layer == 0:
            graph.add_edge(_SOURCE, entries[number], UNLIMITED)
        if engine.last_layer == layers:
            graph.add_edge(exits[number], _SINK, UNLIMITED)
    boundaries = sorted({engine.last_layer for engine in engines} - {layers})
    for boundary in boundaries:
        _join_at(graph, boundary, engines, entries, exits, links)
    return _Network(graph, {node: number for number, node in enumerate(entries)})


def _join_at(
    graph: FlowGraph,
    boundary: int,
    engines: list[EngineTarget],
    entries: list[int],
    exits: list[int],
    links: dict[tuple[str, str], Link],
) -> None:
    """Add the edges that a token takes which has run the layers before `boundary`."""
    nexts: dict[str, list[int]] = {}
    for number, engine in enumerate(engines):
        if engine.first_layer <= boundary < engine.last_layer:
            nexts.setdefault(engine.failure_domain, []).append(entries[number])
    arrivals: dict[str, int] = {}
    for failure_domain, following in nexts.items():
        arrivals[failure_domain] = graph.add_node()
        for entry in following:
            graph.add_edge(arrivals[failure_domain], entry, UNLIMITED)
    crossings: dict[tuple[str, str], int] = {}
    for number, engine in enumerate(engines):
        if engine.last_layer != boundary:
            continue
        for failure_domain, arrival in arrivals.items():
            pair = (engine.failure_domain, failure_domain)
            link = links.get(pair)
            if link is None:
                graph.add_edge(exits[number], arrival, UNLIMITED)
                continue
            if link.scope == "pair":
                for entry in nexts[failure_domain]:
                    graph.add_edge(exits[number], entry, _units(link.tokens_per_s))
                continue
            crossing = crossings.get(pair)
            if crossing is None:
                crossing = crossings[pair] = graph.add_node()
                graph.add_edge(crossing, arrival, _units(link.tokens_per_s))
            graph.add_edge(exits[number], crossing, UNLIMITED)


def _split_into_routes(
    model: str, engines: list[EngineTarget], network: _Network
) -> list[PlannedRoute]:
    """Take paths out of the flow until none is left; equal routes are added up."""
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
            _route_of(model, [engines[stage] for stage in stages]), amount / _UNITS_PER_TOKEN
        )
        for stages, amount in carried.items()
    ]


def _find_path(
    graph: FlowGraph, remaining: dict[int, int], carrying: dict[int, list[int]]
) -> tuple[list[int], int]:
    """Follow edges that still carry flow from source to sink; the network has no cycles."""
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


def _route_of(model: str, stages: list[EngineTarget]) -> Route:
    """Let each engine run from the layer reached to the end of its range."""
    hops: list[Hop] = []
    reached = 0
    for engine in stages:
        hops.append(Hop(engine.replica, str(engine.address), reached, engine.last_layer))
        reached = engine.last_layer
    return Route(model, tuple(hops))


def _is_usable(engine: EngineTarget, layers: int) -> bool:
    """Whether an engine can carry flow at all."""
    if engine.leaving or not engine.tokens_per_s > 0:
        return False
    return 0 <= engine.first_layer < engine.last_layer <= layers


def _pair(link: Link) -> tuple[str, str]:
    """Return the failure domains that a link joins."""
    return link.from_failure_domain, link.to_failure_domain


def _units(tokens_per_s: float) -> int:
    """Return a rate in flow units."""
    if math.isinf(tokens_per_s):
        return UNLIMITED
    return max(0, math.floor(tokens_per_s * _UNITS_PER_TOKEN))
