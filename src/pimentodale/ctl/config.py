"""The group `pimentodale-ctl config`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pimentodale.ctl import config_commands as commands
from pimentodale.ctl.config_check import run_check
from pimentodale.ctl.config_edit import run_push, run_put, run_remove
from pimentodale.ctl.config_show import run_diff, run_list, run_pull, run_status

if TYPE_CHECKING:
    from pimentodale.ctl.exit_codes import ExitCode


def run_config(group: commands.ConfigCommand) -> ExitCode:
    """Run a command of the group."""
    command = group.command
    if isinstance(command, commands.CheckCommand):
        return run_check(command)
    if isinstance(command, commands.PullCommand):
        return asyncio.run(run_pull(command))
    if isinstance(command, commands.PutCommand):
        return asyncio.run(run_put(command))
    if isinstance(command, commands.PushCommand):
        return asyncio.run(run_push(command))
    if isinstance(command, commands.RemoveCommand):
        return asyncio.run(run_remove(command))
    if isinstance(command, commands.ListCommand):
        return asyncio.run(run_list(command))
    if isinstance(command, commands.DiffCommand):
        return asyncio.run(run_diff(command))
    return asyncio.run(run_status(command))
