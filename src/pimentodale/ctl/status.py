"""`pimentodale-ctl status`: what entry hosts hold of each other and of leaving backend servers."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Final

import cappa
import msgspec
from expression import Error, Ok, Result

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.entry.status import HostStatus
from pimentodale.platform.http_call import CallRequest, fetch

if TYPE_CHECKING:
    from pimentodale.addresses import Address

STATUS_TIMEOUT_MS: Final = 3_000.0
"""Longest wait for a host's answer."""


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
    try:
        addresses = [parse_address(text) for text in command.entry]
    except BadAddressError as error:
        print(f"--entry: {error}", file=sys.stderr)
        return ExitCode.USAGE
    if not addresses:
        print("give --entry IP:PORT, once for each host", file=sys.stderr)
        return ExitCode.USAGE
    answers = asyncio.run(_ask_all(addresses))
    for address, answer in zip(addresses, answers, strict=True):
        if answer.is_error():
            print(f"{address}\t{answer.error}")
            continue
        _print_status(address, answer.ok)
    return ExitCode.UNREACHABLE if any(one.is_error() for one in answers) else ExitCode.OK


async def _ask_all(addresses: list[Address]) -> list[Result[HostStatus, str]]:
    """Ask all hosts at once."""
    return await asyncio.gather(*(_ask(address) for address in addresses))


async def _ask(address: Address) -> Result[HostStatus, str]:
    """Ask one host."""
    request = CallRequest(method="GET", path="/admin/status")
    reply = await fetch(address, request, STATUS_TIMEOUT_MS)
    if reply.is_error():
        return Error(f"can't be read: {reply.error.message}")
    try:
        return Ok(msgspec.json.decode(reply.ok.body, type=HostStatus))
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        return Error(f"is no entry host's answer: {error}")


def _print_status(address: Address, status: HostStatus) -> None:
    """Print one host's answer."""
    state = "stopping" if status.stopping else "serving"
    watcher = ", watcher" if status.watcher else ""
    print(f"{address}\t{status.host}\t{state}{watcher}, {status.in_progress} in progress")
    for member in status.members:
        print(f"  host {member.host}\t{member.failure_domain}\t{member.state}")
    for replica in status.leaving:
        print(f"  leaving {replica}")
