"""Steps that run the ledger's state machine."""

from __future__ import annotations

from typing import Any

from behave import then, when
from features.support.gated_machine import run_machine
from features.support.ledger_machine import LedgerMachine


@when("{runs:d} runs of the ledger machine are made with {rules:d} rules each")
def run_ledger_machine(context: Any, runs: int, rules: int) -> None:
    context.machine_fault = run_machine(LedgerMachine, runs, rules)


@when(
    "{runs:d} runs of the ledger machine are made with {rules:d} rules each, drawn by seed {seed:d}"
)
def run_drawn(context: Any, runs: int, rules: int, seed: int) -> None:
    context.machine_fault = run_machine(LedgerMachine, runs, rules, seed)


@then("no run of the ledger machine broke a rule")
def check_machine(context: Any) -> None:
    if context.machine_fault is not None:
        raise context.machine_fault
