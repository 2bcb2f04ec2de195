"""Program `pimentodale-entry`: runs one entry host."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from pimentodale import VERSION
from pimentodale.entry.settings import EntrySettings
from pimentodale.logs import configure_logs
from pimentodale.programs import read_file_or_stop, stop_program


@cappa.command(name="pimentodale-entry", help="Run one entry host.")
@dataclass(slots=True)
class EntryCommand:
    """Arguments of the program."""

    settings: Annotated[Path, cappa.Arg(help="YAML file with this host's place and addresses.")]


def main() -> None:
    """Run the program."""
    command = cappa.parse(EntryCommand, version=VERSION)
    settings = read_file_or_stop(command.settings, EntrySettings)
    configure_logs(settings.log_level, settings.log_format)
    # Imported here so that --help and an invalid settings file don't load the whole program.
    from pimentodale.addresses import BadAddressError
    from pimentodale.entry.host import run_entry_host

    try:
        exit_code = asyncio.run(run_entry_host(settings))
    except BadAddressError as error:
        stop_program(f"{command.settings}: {error}")
    except OSError as error:
        stop_program(
            f"{command.settings}: listen: {error}; choose addresses that this host can bind"
        )
    sys.exit(exit_code)
