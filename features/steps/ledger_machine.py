"""Steps that run the ledger's state machine."""

from __future__ import annotations

from typing import Any

from behave import then, when
from features.support.ledger_machine import LedgerMachine
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from structlog.testing import capture_logs


@when("{runs:d} runs of the ledger machine are made with {rules:d} rules each")
def run_machine(context: Any, runs: int, rules: int) -> None:
    limits = settings(
        max_examples=runs,
        stateful_step_count=rules,
        derandomize=True,
        deadline=None,
        database=None,
        # A failure is shown as found; making it smaller takes minutes.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    context.machine_fault = None
    with capture_logs():
        try:
            run_state_machine_as_test(LedgerMachine, settings=limits)
        except Exception as fault:
            context.machine_fault = fault


@then("no run of the ledger machine broke a rule")
def check_machine(context: Any) -> None:
    if context.machine_fault is not None:
        raise context.machine_fault
