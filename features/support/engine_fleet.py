"""Fleets of engine replicas that hold layers, for decisions tested without a network."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from pimentodale.addresses import Address
from pimentodale.placement.paths import StageLoad
from pimentodale.placement.planner import LayerHolder, plan_placement
from pimentodale.site.model import AcceleratorKind, EngineModel, LayerRange, ReplicaRecord

TREKVAST: Final = {
    "delft-a": {"a100": 2, "v100": 4, "l4": 4},
    "delft-b": {"a100": 1, "v100": 6, "l4": 6},
    "rotterdam-c": {"a100": 1, "v100": 10, "l4": 4},
}
"""Replicas by failure domain and kind."""

UNEVEN: Final = {
    "north": {"a100s": 1, "l4": 22, "t4": 12},
    "south": {"a100s": 4, "l4": 9, "t4": 14},
    "east": {"a100s": 2, "l4": 13, "t4": 22},
}
"""Replicas of a larger fleet whose kinds are spread unevenly over its failure domains."""

MAX_ROUNDS: Final = 20
"""Plans after which a placement must have come to rest."""


def create_engine() -> EngineModel:
    """Return an engine with the figures of a 70-billion model on three kinds of accelerators."""
    return EngineModel(
        layers=80,
        layer_mb=1_750.0,
        load_ms=14_000.0,
        concurrent_loads=6,
        step_ms=1.02,
        per_sequence_ms=0.0092,
        per_context_k_ms=0.0123,
        prefill_tokens_per_ms=164.0,
        tokens_per_event=4,
        kv_bytes_per_token=1_180_000.0,
        slots=96,
        mean_prompt_tokens=775.0,
        mean_answer_tokens=220.0,
        kinds={
            "a100": AcceleratorKind(72_000.0, 2.4, 3.2),
            "v100": AcceleratorKind(14_400.0, 5.3, 7.9),
            "l4": AcceleratorKind(21_600.0, 16.0, 8.2),
        },
        activation_bytes=59_000.0,
        pipe_mbps=16_000.0,
        domain_delay_ms=0.3,
    )


def create_small_engine() -> EngineModel:
    """Return an engine of eight layers, small enough to search all placements."""
    return EngineModel(
        layers=8,
        layer_mb=100.0,
        load_ms=800.0,
        concurrent_loads=0,
        step_ms=1.0,
        per_sequence_ms=0.1,
        per_context_k_ms=0.0,
        prefill_tokens_per_ms=100.0,
        tokens_per_event=4,
        kv_bytes_per_token=8_000.0,
        slots=96,
        mean_prompt_tokens=100.0,
        mean_answer_tokens=100.0,
        kinds={
            "fast": AcceleratorKind(630.0, 1.0, 1.0),
            "slow": AcceleratorKind(470.0, 4.0, 4.0),
            "large": AcceleratorKind(2_000.0, 1.0, 1.0),
        },
    )


def replica(
    name: str, domain: str, kind: str, held: LayerRange | None, started_ms: int = 1
) -> ReplicaRecord:
    """Return a replica's record."""
    address = Address("127.0.0.1", 10_000 + sum(name.encode()) % 50_000)
    return ReplicaRecord(name, "lm", address, domain, False, started_ms, kind, held, 96)


def create_uneven_engine() -> EngineModel:
    """Return the engine of a larger fleet whose kinds differ five times in pace."""
    return replace(
        create_engine(),
        step_ms=0.85,
        per_sequence_ms=0.00234,
        per_context_k_ms=0.00313,
        prefill_tokens_per_ms=321.0,
        tokens_per_event=2,
        kv_bytes_per_token=360_000.0,
        mean_answer_tokens=138.0,
        kinds={
            "a100s": AcceleratorKind(36_000.0, 3.1, 3.2),
            "l4": AcceleratorKind(21_600.0, 16.0, 8.2),
            "t4": AcceleratorKind(14_400.0, 15.0, 15.0),
        },
        activation_bytes=18_000.0,
        pipe_mbps=2_720.0,
    )


def create_holders(fleet: dict[str, dict[str, int]]) -> list[LayerHolder]:
    """Return the replicas of a fleet, all empty.

    Args:
        fleet: Number of replicas by failure domain and kind.
    """
    holders = []
    for domain, kinds in fleet.items():
        for kind, count in kinds.items():
            for number in range(count):
                holders.append(LayerHolder(f"{domain}-{kind}-{number}", domain, kind, None))
    return holders


def create_trekvast_holders() -> list[LayerHolder]:
    """Return the replicas of a fleet like Trekvast's, all empty."""
    return create_holders(TREKVAST)


def create_trekvast_stages(holders: list[LayerHolder]) -> list[StageLoad]:
    """Return the holders as replicas without load."""
    return [
        StageLoad(replica(holder.replica_id, holder.failure_domain, holder.kind, holder.held))
        for holder in holders
        if holder.held is not None
    ]


def place_until_stable(engine: EngineModel, holders: list[LayerHolder]) -> None:
    """Plan again and again, as if each order were carried out at once.

    Raises:
        AssertionError: If the placement does not come to rest.
    """
    for _ in range(MAX_ROUNDS):
        if not plan_placement(engine, holders):
            return
        for holder in holders:
            holder.is_movable = True
    raise AssertionError("the placement does not come to rest")
