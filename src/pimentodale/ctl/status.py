"""`pimentodale-ctl status`: what entry hosts hold of each other and of leaving backend servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated

import cappa

from pimentodale.ctl.ask_hosts import ask_hosts, parse_entries
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.entry.status import HostStatus

if TYPE_CHECKING:
    from pimentodale.addresses import Address


@cappa.command(name="status", help="Show what entry hosts hold of each other.")
@dataclass(slots=True)
class HostStatusCommand:
    """Arguments of `status`."""

    entry: Annotated[
        list[str], cappa.Arg(long="--entry", help="IP:PORT of an entry host; give it for each.")
    ] = field(default_factory=list)


def run_status(command: HostStatusCommand) -> ExitCode:
    """Ask each host and print what it holds.

    Args:
        command: The arguments.

    Returns:
        `UNREACHABLE` if any host gave no answer.
    """
    addresses = parse_entries(command.entry)
    if addresses.is_error():
        return addresses.error
    answers = asyncio.run(ask_hosts(addresses.ok, "/admin/status", HostStatus))
    for address, answer in zip(addresses.ok, answers, strict=True):
        if answer.is_error():
            print(f"{address}\t{answer.error}")
            continue
        _print_status(address, answer.ok)
    return ExitCode.UNREACHABLE if any(one.is_error() for one in answers) else ExitCode.OK


def _print_status(address: Address, status: HostStatus) -> None:
    """Print one host's answer."""
    state = "stopping" if status.stopping else "serving"
    watcher = ", watcher" if status.watcher else ""
    print(f"{address}\t{status.host}\t{state}{watcher}, {status.in_progress} in progress")
    for member in status.members:
        print(f"  host {member.host}\t{member.failure_domain}\t{member.state}")
    for replica in status.leaving:
        print(f"  leaving {replica}")
