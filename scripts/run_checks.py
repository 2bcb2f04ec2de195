"""Runs formatter, linter, types and behave, and prints one verdict line at the end.

Entries of KNOWN-RED.txt are printed; a failure of just those does not fail the run.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
BIN: Final = ROOT / ".venv" / "bin"
STATIC_CHECKS: Final = (
    ("black", [str(BIN / "black"), "--check", "--quiet", "src", "features", "scripts"]),
    ("ruff", [str(BIN / "ruff"), "check", "--quiet", "src", "features", "scripts"]),
    ("mypy", [str(BIN / "mypy"), "--no-error-summary"]),
)


@dataclass(slots=True)
class KnownRed:
    """One accepted failure, as KNOWN-RED.txt states it."""

    test: str
    """Name of the scenario or static check."""

    line: str
    """The whole entry, printed with the verdict."""


def main(arguments: list[str]) -> int:
    """Run every check and print the verdict.

    Args:
        arguments: Passed on to behave; all features when empty.

    Returns:
        0 when everything passed or failed only as KNOWN-RED.txt says, else 1.
    """
    known = read_known_red(ROOT / "KNOWN-RED.txt")
    passed: list[str] = []
    failed: list[str] = []
    for name, command in STATIC_CHECKS:
        ok = subprocess.run(command, cwd=ROOT, check=False).returncode == 0
        (passed if ok else failed).append(name)
    behave_ok = run_behave(arguments, passed, failed)
    for entry in known:
        print(f"KNOWN-RED: {entry.line}")
    for name in failed:
        print(f"failed: {name}")
    unexpected = [name for name in failed if name not in {entry.test for entry in known}]
    if not behave_ok and not failed:
        print("behave ended with an error outside of any scenario")
        failed.append("behave")
        unexpected.append("behave")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if unexpected else 0


def run_behave(arguments: list[str], passed: list[str], failed: list[str]) -> bool:
    """Run behave and sort its scenarios into `passed` and `failed`.

    Args:
        arguments: Passed on to behave.
        passed: Receives the names of scenarios that passed.
        failed: Receives the names of those that did not, undefined steps included.

    Returns:
        Whether behave itself ended with success.
    """
    with tempfile.TemporaryDirectory() as folder:
        results = Path(folder) / "results.json"
        command = [str(BIN / "behave"), "--no-capture", "--no-color"]
        command += ["--format", "progress3", "--outfile", "/dev/stdout"]
        command += ["--format", "json", "--outfile", str(results), *arguments]
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        status = subprocess.run(command, cwd=ROOT, env=environment, check=False).returncode
        features = json.loads(results.read_text() or "[]") if results.exists() else []
    for feature in features:
        for element in feature.get("elements", []):
            if element.get("type") != "scenario":
                continue
            # behave ends the name of an outline's row with a blank.
            label = f"{feature['name']}: {element['name']}".strip()
            (passed if element.get("status") == "passed" else failed).append(label)
    return status == 0


def read_known_red(path: Path) -> list[KnownRed]:
    """Read the accepted failures.

    Args:
        path: The file KNOWN-RED.txt.

    Returns:
        Its entries in file order.
    """
    entries = []
    for line in path.read_text().splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        entries.append(KnownRed(test=line.split("|")[0].strip(), line=line))
    return entries


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
