"""Program `pimentodale-entry`: one entry host."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import cappa

from pimentodale import VERSION
from pimentodale.entry.settings import EntrySettings
from pimentodale.logs import configure_logs
from pimentodale.yaml_files import read_yaml_file

EXIT_BAD_SETTINGS: Final = 2
"""Exit code for a settings file that is not accepted."""


@cappa.command(name="pimentodale-entry", help="Run one entry host.")
@dataclass(slots=True)
class EntryCommand:
    """Arguments of the program."""

    settings: Annotated[Path, cappa.Arg(help="YAML file with this host's place and addresses.")]


def main() -> None:
    """Run the program."""
    command = cappa.parse(EntryCommand, version=VERSION)
    result = read_yaml_file(command.settings, EntrySettings)
    if result.is_error():
        _stop(str(result.error))
    settings = result.ok
    configure_logs(settings.log_level, settings.log_format)
    # Imported here, so that --help and a bad file don't pay for the whole program.
    from pimentodale.addresses import BadAddressError
    from pimentodale.entry.host import run_entry_host

    try:
        exit_code = asyncio.run(run_entry_host(settings))
    except BadAddressError as error:
        _stop(f"{command.settings}: {error}")
    except OSError as error:
        _stop(f"{command.settings}: listen: {error}; choose addresses that this host can bind")
    sys.exit(exit_code)


def _stop(message: str) -> None:
    """Print what is wrong and end the program."""
    print(message, file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)
