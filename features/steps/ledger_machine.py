"""Steps for the state machine tests of the ledger."""

from __future__ import annotations

from typing import Any

from behave import then, when
from features.support.gated_machine import run_machine
from features.support.ledger_machine import LedgerMachine


@when("{runs:d} runs of the ledger machine are made with {rules:d} rules each")
def run_ledger_machine(context: Any, runs: int, rules: int) -> None:
    context.machine_fault = run_machine(LedgerMachine, runs, rules)


@when(
    "{runs:d} runs of the ledger machine are made with {rules:d} rules each, "
    "generated with seed {seed:d}"
)
def run_with_seed(context: Any, runs: int, rules: int, seed: int) -> None:
    context.machine_fault = run_machine(LedgerMachine, runs, rules, seed)


@then("no run of the ledger machine violated an invariant")
def check_machine(context: Any) -> None:
    if context.machine_fault is not None:
        raise context.machine_fault
