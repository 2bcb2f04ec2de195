"""Option `--key-value`, shared by the commands that use the service."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clock import create_clock
from pimentodale.configuration.folder_store import FolderView, read_view
from pimentodale.ctl.exit_codes import ExitCode

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.clients.key_value import KeyValueStore


def open_store(addresses: Sequence[str]) -> Result[KeyValueStore, ExitCode]:
    """Create the client; prints why if it can't be done."""
    if not addresses:
        print("give --key-value IP:PORT", file=sys.stderr)
        return Error(ExitCode.USAGE)
    try:
        parsed = [parse_address(address) for address in addresses]
    except BadAddressError as error:
        print(f"--key-value: {error}", file=sys.stderr)
        return Error(ExitCode.USAGE)
    return Ok(create_etcd_gateway(parsed, create_clock()))


async def load_view(store: KeyValueStore) -> Result[FolderView, ExitCode]:
    """Read snapshot and folder; prints why if it can't be done."""
    view = await read_view(store)
    if view.is_error():
        print(f"the key-value service can't be read: {view.error.message}", file=sys.stderr)
        return Error(ExitCode.UNREACHABLE)
    return Ok(view.ok)
