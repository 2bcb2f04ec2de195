"""`pimentodale-ctl check`: checks the gateway's configuration record before it is written."""

from __future__ import annotations

import json
import math
import sys
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Final

import cappa

from pimentodale.ctl.configuration_differences import Difference, compare_configurations
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.platform.configuration import decode_configuration
from pimentodale.platform.configuration_check import (
    Finding,
    Section,
    check_configuration,
    quote_name,
)
from pimentodale.platform.json_positions import locate_values

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_LISTED: Final = 5
"""Maximum number of affected routes or workspaces that a line of text names."""


@cappa.command(name="check", help="Check a gateway's configuration, without any service.")
@dataclass(slots=True)
class GatewayCheckCommand:
    """Arguments of `check`."""

    file: Annotated[Path, cappa.Arg(help="JSON file, as it is written to the store.")]
    against: Annotated[
        Path | None, cappa.Arg(long="--against", help="The version in force, to compare with.")
    ] = None
    memory_mb: Annotated[
        float | None, cappa.Arg(long="--memory-mb", help="Memory of a gateway's process.")
    ] = None
    as_json: Annotated[bool, cappa.Arg(long="--json", help="Print one JSON document.")] = False


def run_gateway_check(command: GatewayCheckCommand) -> ExitCode:
    """Check a file and print the findings.

    Args:
        command: The arguments.

    Returns:
        `INVALID` if hosts would not take the configuration into force.
    """
    memory_mb = command.memory_mb
    if memory_mb is not None and not (math.isfinite(memory_mb) and memory_mb > 0):
        print("--memory-mb: give a number over 0", file=sys.stderr)
        return ExitCode.USAGE
    try:
        value = command.file.read_bytes()
        before = None if command.against is None else command.against.read_bytes()
    except OSError as error:
        print(f"{error.filename}: {error.strerror}", file=sys.stderr)
        return ExitCode.FAILED
    result = check_configuration(value, memory_mb)
    findings = list(result.findings)
    differences: list[Difference] = []
    if before is not None:
        known = decode_configuration(before)
        if known.is_error():
            print(f"{command.against}: {known.error}", file=sys.stderr)
            return ExitCode.FAILED
        if result.configuration is not None:
            findings = _check_version(result.configuration.version, known.ok.version, value)
            findings += result.findings
            differences = compare_configurations(known.ok, result.configuration)
    if command.as_json:
        _print_json(command, findings, differences)
    else:
        _print_text(command, findings, differences)
    has_errors = any(one.section is Section.ERROR for one in findings)
    return ExitCode.INVALID if has_errors else ExitCode.OK


def _check_version(version: int, known: int, value: bytes) -> list[Finding]:
    """Return the error of a version that hosts ignore, as it isn't above the one in force."""
    if version > known:
        return []
    message = f"version {version} isn't over version {known} in force; hosts ignore it"
    return [Finding(Section.ERROR, "$.version", locate_values(value).line_of("$.version"), message)]


def _print_text(
    command: GatewayCheckCommand, findings: Sequence[Finding], differences: Sequence[Difference]
) -> None:
    """Print a line for each finding and difference, and a summary."""
    for one in findings:
        place = f"{command.file}:{one.line}" if one.line is not None else str(command.file)
        is_error = one.section is Section.ERROR
        kind = one.severity if is_error else f"{one.severity} ({one.section.value})"
        print(f"{place}: {kind}: {one.message} [{one.path}]")
    for other in differences:
        affected = f"routes: {_list(other.routes)}; workspaces: {_list(other.workspaces)}"
        print(f"{command.file}: difference: {other.subject}: {other.change} ({affected})")
    counts = Counter(one.severity for one in findings)
    accepted = "don't take" if counts["error"] else "take"
    print(
        f"errors: {counts['error']}, warnings: {counts['warning']},"
        f" differences: {len(differences)}; hosts {accepted} this configuration into force"
    )


def _print_json(
    command: GatewayCheckCommand, findings: Sequence[Finding], differences: Sequence[Difference]
) -> None:
    """Print one document."""
    document: dict[str, Any] = {
        "file": str(command.file),
        "accepted": all(one.section is not Section.ERROR for one in findings),
        "findings": [
            {"severity": one.severity, "section": one.section.value, "path": one.path}
            | {"line": one.line, "message": one.message}
            for one in findings
        ],
        "differences": [asdict(one) for one in differences],
    }
    print(json.dumps(document, indent=2))


def _list(names: Sequence[str]) -> str:
    """Return names for a line of text, not too many."""
    if not names:
        return "none"
    shown = ", ".join(quote_name(name) for name in names[:MAX_LISTED])
    more = len(names) - MAX_LISTED
    return f"{shown} and {more} more" if more > 0 else shown
