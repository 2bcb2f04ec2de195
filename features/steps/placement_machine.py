"""Steps that run the state machine test of layer placement, in random order of its rules."""

from __future__ import annotations

from typing import Any
from unittest.mock import patch

from behave import then, when
from features.support import memory_store
from features.support.gated_machine import run_machine
from features.support.placement_machine import PlacementMachine

from pimentodale.steward.lease import HeldLease


@when("{runs:d} runs of the placement machine are made with {rules:d} rules each")
def run_placement_machine(context: Any, runs: int, rules: int) -> None:
    context.machine_fault = run_machine(PlacementMachine, runs, rules)


@then("no run of the placement machine violated an invariant")
def check_machine(context: Any) -> None:
    if context.machine_fault is not None:
        raise context.machine_fault


@when(
    "{runs:d} runs of {rules:d} rules each are made with leases that never expire for their holder"
)
def run_unbounded(context: Any, runs: int, rules: int) -> None:
    # Simulates a holder that ignores the expiry of its lease.
    with patch.object(HeldLease, "is_valid_for", lambda _lease, _duration_ms: True):
        context.machine_fault = run_machine(PlacementMachine, runs, rules)


@when("{runs:d} runs of {rules:d} rules each are made with a store that doesn't tell of its return")
def run_without_era(context: Any, runs: int, rules: int) -> None:
    with patch.object(memory_store, "ERA_STEP", 0):
        context.machine_fault = run_machine(PlacementMachine, runs, rules)


@then("the placement machine detects a violated invariant")
def check_found(context: Any) -> None:
    assert isinstance(context.machine_fault, AssertionError), context.machine_fault
