"""Asks entry hosts for what they show to operators."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
from expression import Error, Ok, Result

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.foreign_bytes import UNREADABLE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.addresses import Address

T = TypeVar("T")

ANSWER_TIMEOUT_MS: Final = 3_000.0
"""Longest wait for a host's answer."""

_STATUS_OK: Final = 200


def parse_entries(texts: Sequence[str]) -> Result[list[Address], ExitCode]:
    """Read the values of `--entry`; what is wrong with them is printed.

    Args:
        texts: `IP:PORT` of each host.

    Returns:
        The addresses, or the exit code.
    """
    try:
        addresses = [parse_address(text) for text in texts]
    except BadAddressError as error:
        print(f"--entry: {error}", file=sys.stderr)
        return Error(ExitCode.USAGE)
    if not addresses:
        print("give --entry IP:PORT, once for each host", file=sys.stderr)
        return Error(ExitCode.USAGE)
    return Ok(addresses)


async def ask_hosts(addresses: Sequence[Address], path: str, kind: type[T]) -> list[Result[T, str]]:
    """Ask all hosts at once.

    Args:
        addresses: The hosts.
        path: Path to read, with its query.
        kind: Type of the answer.

    Returns:
        Each host's answer or what went wrong, in the order of the addresses.
    """
    return list(await asyncio.gather(*(_ask(address, path, kind) for address in addresses)))


async def _ask(address: Address, path: str, kind: type[T]) -> Result[T, str]:
    """Ask one host."""
    reply = await fetch(address, CallRequest(method="GET", path=path), ANSWER_TIMEOUT_MS)
    if reply.is_error():
        return Error(reply.error.message)
    if reply.ok.status != _STATUS_OK:
        return Error(f"answered HTTP {reply.ok.status}")
    try:
        return Ok(msgspec.json.decode(reply.ok.body, type=kind))
    except UNREADABLE as error:
        return Error(f"its answer can't be read: {error}")
