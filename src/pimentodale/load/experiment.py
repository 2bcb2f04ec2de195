"""Several variants under the same load and faults, in turns, so that noise hits all alike."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import TYPE_CHECKING, Any, Final, Literal

import msgspec
from expression import Error, Ok, Result

from pimentodale.addresses import parse_address
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.load.plan import RunPlan
from pimentodale.load.records import RunFigures, figures_of
from pimentodale.load.run import check_plan, run_load

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

FAULT_TIMEOUT_MS: Final = 5_000.0
"""Longest time for switching a fault."""

SignalName = Literal["SIGKILL", "SIGSTOP", "SIGCONT", "SIGTERM"]
"""Signals that a fault may send."""


class Fault(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Something that goes wrong during a run: an admin call or a signal."""

    at_ms: float
    """When, from the start of the run."""

    name: str = "fault"
    """Its name in the report."""

    address: str = ""
    """`IP:PORT` of an admin call."""

    path: str = "/admin/faults"
    """Path of an admin call."""

    body: dict[str, Any] = {}
    """JSON body of an admin call."""

    pid: int = 0
    """Process that gets the signal; 0 for an admin call."""

    signal: SignalName = "SIGKILL"
    """The signal."""


class Variant(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One thing that is compared; what it leaves out is as in the experiment's `load`."""

    name: str
    """Its name in the report."""

    load: dict[str, Any] = {}
    """Fields of the load that differ."""

    faults: list[Fault] = []
    """What goes wrong during each of its runs."""


class Experiment(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An experiment's file."""

    name: str
    """Title of the report."""

    load: dict[str, Any]
    """Load of every run, as for `pimentodale-load run`."""

    variants: list[Variant]
    """What is compared."""

    rounds: int = 3
    """How often each variant runs; each round has its own seed."""

    bound_tokens_per_s: float | None = None
    """What no router could pass, drawn in the report."""

    settle_ms: float = 1_000.0
    """Pause between runs."""


class VariantRun(msgspec.Struct, frozen=True, kw_only=True):
    """One run of one variant."""

    variant: str
    """The variant's name."""

    round: int
    """Which round, from 1."""

    seed: int
    """Seed of the run."""

    faults: list[Fault] = []
    """What went wrong."""

    figures: RunFigures
    """What came of it."""


class ExperimentResult(msgspec.Struct, frozen=True, kw_only=True):
    """All runs of an experiment, as JSON on disk."""

    name: str
    """The experiment's name."""

    bound_tokens_per_s: float | None = None
    """What no router could pass."""

    runs: list[VariantRun]
    """The runs in the order in which they were made."""


def plan_variant(
    experiment: Experiment, variant: Variant, round_number: int
) -> Result[RunPlan, str]:
    """Return the plan of one run.

    Args:
        experiment: Gives the common load.
        variant: Gives what differs.
        round_number: Added to the seed.
    """
    fields = {**experiment.load, **variant.load}
    fields["seed"] = int(fields.get("seed", 1)) + round_number
    try:
        return Ok(msgspec.convert(fields, RunPlan))
    except msgspec.ValidationError as error:
        return Error(f"variant {variant.name}: load: {error}")


async def run_experiment(
    experiment: Experiment, clock: Clock, report: Callable[[str], None]
) -> Result[ExperimentResult, str]:
    """Run every variant once in each round.

    Args:
        experiment: What to run.
        clock: Source of time.
        report: Takes progress lines.

    Returns:
        All figures, or what is wrong with the file.
    """
    runs = []
    for round_number in range(1, experiment.rounds + 1):
        for variant in experiment.variants:
            planned = plan_variant(experiment, variant, round_number)
            checked = planned.bind(check_plan)
            if checked.is_error():
                return Error(checked.error)
            report(f"round {round_number}: {variant.name}")
            faults = asyncio.ensure_future(_bring_about(variant.faults, clock))
            records = await run_load(planned.ok, checked.ok, clock, report)
            await faults
            runs.append(
                VariantRun(
                    variant=variant.name,
                    round=round_number,
                    seed=planned.ok.seed,
                    faults=variant.faults,
                    figures=figures_of(records),
                )
            )
            await clock.sleep_ms(experiment.settle_ms)
    return Ok(
        ExperimentResult(
            name=experiment.name, bound_tokens_per_s=experiment.bound_tokens_per_s, runs=runs
        )
    )


async def _bring_about(faults: list[Fault], clock: Clock) -> None:
    """Bring about the faults at their times."""
    start_ms = clock.now_ms()
    for fault in sorted(faults, key=lambda one: one.at_ms):
        await clock.sleep_ms(fault.at_ms - (clock.now_ms() - start_ms))
        if fault.pid:
            os.kill(fault.pid, getattr(signal, fault.signal))
            continue
        request = CallRequest(
            method="POST",
            path=fault.path,
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(fault.body),
        )
        await fetch(parse_address(fault.address), request, FAULT_TIMEOUT_MS)
