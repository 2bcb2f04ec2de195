"""Program `pimentodale-ctl`: what operators drive the system with."""

from __future__ import annotations

import sys
from dataclasses import dataclass

import cappa

from pimentodale import VERSION
from pimentodale.ctl.check import GatewayCheckCommand, run_gateway_check
from pimentodale.ctl.config import run_config
from pimentodale.ctl.config_commands import ConfigCommand
from pimentodale.ctl.explain import ExplainCommand, run_explain
from pimentodale.ctl.status import HostStatusCommand, run_status
from pimentodale.ctl.token import TokenCommand, run_token
from pimentodale.logs import configure_logs


@cappa.command(name="pimentodale-ctl", help="Drive pimentodale.")
@dataclass(slots=True)
class CtlCommand:
    """Arguments of the program; a new group joins the union here and `main` below."""

    command: cappa.Subcommands[
        ConfigCommand | GatewayCheckCommand | HostStatusCommand | TokenCommand | ExplainCommand
    ]


def main() -> None:
    """Run the program."""
    configure_logs("error", "console")
    command = cappa.parse(CtlCommand, version=VERSION).command
    if isinstance(command, ConfigCommand):
        sys.exit(run_config(command))
    if isinstance(command, GatewayCheckCommand):
        sys.exit(run_gateway_check(command))
    if isinstance(command, HostStatusCommand):
        sys.exit(run_status(command))
    if isinstance(command, ExplainCommand):
        sys.exit(run_explain(command))
    sys.exit(run_token(command))
