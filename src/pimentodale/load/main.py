"""Program `pimentodale-load`: load, experiments, reports and journal checks."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import cappa
import msgspec

from pimentodale import VERSION
from pimentodale.clock import create_clock
from pimentodale.load.experiment import Experiment, ExperimentResult, run_experiment
from pimentodale.load.journal import check_journal, read_runs
from pimentodale.load.plan import RunPlan
from pimentodale.load.records import Record, figures_of
from pimentodale.load.run import check_plan, run_load
from pimentodale.programs import read_file_or_stop, stop_program

EXIT_FOUND: Final = 1
"""Exit code when a journal check found something."""


@cappa.command(name="run", help="Send one run of load and print its figures as JSON.")
@dataclass(slots=True)
class RunCommand:
    """Arguments of `run`."""

    plan: Annotated[Path, cappa.Arg(help="YAML file of the run.")]
    records: Annotated[
        Path | None, cappa.Arg(long=True, help="Also write a JSON line for each request here.")
    ] = None

    def __call__(self) -> None:
        """Run it."""
        plan = read_file_or_stop(self.plan, RunPlan)
        checked = check_plan(plan)
        if checked.is_error():
            stop_program(f"{self.plan}: {checked.error}")
        records = asyncio.run(run_load(plan, checked.ok, create_clock(), _report))
        if self.records is not None:
            lines = b"".join(msgspec.json.encode(record) + b"\n" for record in records)
            self.records.write_bytes(lines)
        print(msgspec.json.format(msgspec.json.encode(figures_of(records))).decode())


@cappa.command(name="experiment", help="Run variants and faults in turns.")
@dataclass(slots=True)
class ExperimentCommand:
    """Arguments of `experiment`."""

    experiment: Annotated[Path, cappa.Arg(help="YAML file of the experiment.")]
    output: Annotated[Path, cappa.Arg(long=True, help="Where to write the JSON result.")] = Path(
        "experiment.json"
    )

    def __call__(self) -> None:
        """Run it."""
        experiment = read_file_or_stop(self.experiment, Experiment)
        result = asyncio.run(run_experiment(experiment, create_clock(), _report))
        if result.is_error():
            stop_program(f"{self.experiment}: {result.error}")
        self.output.write_bytes(msgspec.json.format(msgspec.json.encode(result.ok)))
        print(self.output)


@cappa.command(name="report", help="Write an experiment's result as Markdown and plots.")
@dataclass(slots=True)
class ReportCommand:
    """Arguments of `report`."""

    result: Annotated[Path, cappa.Arg(help="JSON result of an experiment.")]
    folder: Annotated[Path, cappa.Arg(long=True, help="Where to write.")] = Path("report")

    def __call__(self) -> None:
        """Write it."""
        from pimentodale.load.report import write_report

        try:
            result = msgspec.json.decode(self.result.read_bytes(), type=ExperimentResult)
        except (OSError, msgspec.DecodeError) as error:
            stop_program(f"{self.result}: {error}")
        print(write_report(result, self.folder))


@cappa.command(name="journal", help="Check services' journals against what callers were told.")
@dataclass(slots=True)
class JournalCommand:
    """Arguments of `journal`."""

    records: Annotated[Path, cappa.Arg(help="Records file of `run`.")]
    journals: Annotated[list[Path], cappa.Arg(help="Journals of plain services.")]

    def __call__(self) -> None:
        """Check and print the findings; exits with 1 if there are any."""
        try:
            lines = self.records.read_bytes().splitlines()
            records = [msgspec.json.decode(line, type=Record) for line in lines]
            findings = check_journal(read_runs(self.journals), records)
        except (OSError, msgspec.DecodeError) as error:
            stop_program(str(error))
        print(msgspec.json.format(msgspec.json.encode(findings)).decode())
        if not findings.clean:
            sys.exit(EXIT_FOUND)


@cappa.command(name="pimentodale-load", help="Load and measure a site.")
@dataclass(slots=True)
class LoadCommand:
    """Arguments of the program."""

    command: cappa.Subcommands[RunCommand | ExperimentCommand | ReportCommand | JournalCommand]


def main() -> None:
    """Run the program."""
    cappa.invoke(LoadCommand, version=VERSION)


def _report(line: str) -> None:
    """Print a progress line beside the results."""
    print(line, file=sys.stderr, flush=True)
