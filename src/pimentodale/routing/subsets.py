"""Deterministic subsetting: which replicas an entry host keeps load state and connections for.

Replicas are placed on a ring in a fixed order. The hosts' subsets start at evenly spaced positions
on it, so that the numbers of hosts of any two replicas differ by one at most.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from pimentodale.clients.targets import EngineTarget

_MIN_PER_LAYER_RANGE: Final = 2
"""Minimum replicas of each layer range in a subset, so that the loss of one leaves a route."""


def choose_subset(
    names: Collection[str], hosts: Collection[str], own_host: str, size: int
) -> list[str]:
    """Choose one host's subset.

    Args:
        names: All replicas.
        hosts: All entry hosts; `own_host` counts as one of them even if it is not listed.
        own_host: The host whose subset is computed.
        size: Replicas in the subset; 0 or less means all.

    Returns:
        The subset. It is the same for the same arguments, wherever it is computed.
    """
    ordered = sorted(names, key=_hash_sort_key)
    if size <= 0 or size >= len(ordered):
        return ordered
    members = sorted({*hosts, own_host}, key=_hash_sort_key)
    start = members.index(own_host) * len(ordered) // len(members)
    wrapped = ordered + ordered
    return wrapped[start : start + size]


def subset_engines(
    engines: Sequence[EngineTarget], hosts: Collection[str], own_host: str, size: int
) -> list[EngineTarget]:
    """Choose one host's subset of each model's engines, with layer ranges in proportion.

    Args:
        engines: All engines.
        hosts: All entry hosts.
        own_host: The host whose subset is computed.
        size: Engines per model; 0 or less means all.

    Returns:
        The engines of the subset.
    """
    if size <= 0:
        return list(engines)
    chosen: list[EngineTarget] = []
    for model in sorted({engine.model for engine in engines}):
        of_model = [engine for engine in engines if engine.model == model]
        for group in _group_by_range(of_model):
            share = max(_MIN_PER_LAYER_RANGE, -(-size * len(group) // len(of_model)))
            names = {engine.replica for engine in group}
            kept = set(choose_subset(names, hosts, own_host, share))
            chosen += [engine for engine in group if engine.replica in kept]
    return chosen


def _group_by_range(engines: Iterable[EngineTarget]) -> list[list[EngineTarget]]:
    """Group engines that hold the same layers."""
    groups: dict[tuple[int, int], list[EngineTarget]] = {}
    for engine in engines:
        groups.setdefault((engine.first_layer, engine.last_layer), []).append(engine)
    return list(groups.values())


def _hash_sort_key(name: str) -> bytes:
    """Return a sort key that spreads names which are adjacent by name or failure domain."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
