"""Program `pimentodale-standin`: runs the parts that a YAML file lists, in one process."""

from __future__ import annotations

import asyncio
import importlib
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any, Final

import cappa
import msgspec

from pimentodale import VERSION
from pimentodale.logs import LogFormat, LogLevel, configure_logs, get_log
from pimentodale.programs import EXIT_BAD_FILE, read_file_or_stop

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PART_MODULES: Final = {
    "engine": "pimentodale.standin.engine",
    "host_list": "pimentodale.standin.host_list",
    "key_value": "pimentodale.standin.key_value",
    "platform_replica": "pimentodale.standin.platform_replica",
    "platform_store": "pimentodale.standin.platform_store",
    "relay": "pimentodale.standin.relay",
    "service": "pimentodale.standin.service",
    "weight_store": "pimentodale.standin.weight_store",
}
"""Module of each kind of part; it has `Settings` and `start_part(settings)`."""


class StandinSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A stand-in process's settings file."""

    parts: list[dict[str, Any]]
    """Each has `kind` and the fields of that kind's `Settings`."""

    log_level: LogLevel = "warning"
    """Least severe level that is logged."""

    log_format: LogFormat = "console"
    """How log lines are written."""


@cappa.command(name="pimentodale-standin", help="Run stand-ins for the outside systems.")
@dataclass(slots=True)
class StandinCommand:
    """Arguments of the program."""

    settings: Annotated[Path, cappa.Arg(help="YAML file that lists the parts to run.")]


def main() -> None:
    """Run the program."""
    command = cappa.parse(StandinCommand, version=VERSION)
    settings = read_file_or_stop(command.settings, StandinSettings)
    configure_logs(settings.log_level, settings.log_format)
    sys.exit(asyncio.run(_run(settings)))


async def _run(settings: StandinSettings) -> int:
    """Start every part and wait for a signal to stop."""
    for number, fields in enumerate(settings.parts):
        fault = await _start_part(fields)
        if fault is not None:
            print(f"parts[{number}]: {fault}", file=sys.stderr)
            return EXIT_BAD_FILE
    get_log("standin").info("All parts run.", parts=len(settings.parts))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    return 0


async def _start_part(fields: dict[str, Any]) -> str | None:
    """Start one part; return what is wrong with its settings, if anything is."""
    kind = fields.get("kind")
    if kind not in PART_MODULES:
        return f"kind: '{kind}' is unknown; use one of {', '.join(sorted(PART_MODULES))}"
    module = importlib.import_module(PART_MODULES[kind])
    rest = {name: value for name, value in fields.items() if name != "kind"}
    try:
        settings = msgspec.convert(rest, module.Settings)
    except msgspec.ValidationError as error:
        return str(error)
    start: Callable[[Any], Awaitable[None]] = module.start_part
    await start(settings)
    return None
