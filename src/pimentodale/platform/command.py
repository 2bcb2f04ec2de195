"""Arguments of `pimentodale-gateway`."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from pimentodale import VERSION


@cappa.command(name="pimentodale-gateway", help="Run one gateway.")
@dataclass(slots=True)
class GatewayCommand:
    """Arguments of the program."""

    settings: Annotated[
        Path | None,
        cappa.Arg(default=None, help="YAML settings file; PIMENTODALE_SETTINGS where left out."),
    ] = None


def parse_command() -> GatewayCommand:
    """Parse the arguments; exits on --help, --version and invalid arguments."""
    return cappa.parse(GatewayCommand, version=VERSION)
