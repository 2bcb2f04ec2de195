"""Program `pimentodale-steward`: sends orders to the engines of one failure domain."""

from __future__ import annotations

import asyncio
import random
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from pimentodale import VERSION
from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clients.host_list import create_host_list_reader
from pimentodale.clients.weight_store import create_reserver
from pimentodale.clock import create_clock
from pimentodale.configuration.follower import create_follower
from pimentodale.logs import configure_logs
from pimentodale.process_signals import create_stop_event
from pimentodale.programs import read_file_or_stop, stop_program
from pimentodale.steward.settings import StewardSettings
from pimentodale.steward.steward import create_steward


@cappa.command(name="pimentodale-steward", help="Give orders to the engines of a failure domain.")
@dataclass(slots=True)
class StewardCommand:
    """Command line arguments."""

    settings: Annotated[Path, cappa.Arg(help="YAML file with this host's place and addresses.")]


def main() -> None:
    """Run the program."""
    command = cappa.parse(StewardCommand, version=VERSION)
    settings = read_file_or_stop(command.settings, StewardSettings)
    configure_logs(settings.log_level, settings.log_format)
    try:
        sys.exit(asyncio.run(_run(settings)))
    except BadAddressError as error:
        stop_program(f"{command.settings}: {error}")


async def _run(settings: StewardSettings) -> int:
    """Run the steward until it gets SIGTERM or SIGINT."""
    stop = create_stop_event()
    clock = create_clock()
    rng = random.SystemRandom()
    store = create_etcd_gateway([parse_address(text) for text in settings.key_value], clock)
    follower = create_follower(store, clock, rng, settings.host, lambda: False)
    read_targets = create_host_list_reader(parse_address(settings.host_list))
    weight_store = settings.weight_store
    reserve = create_reserver(parse_address(weight_store)) if weight_store else None
    steward = create_steward(settings, store, follower, read_targets, reserve, clock, rng)
    running = asyncio.create_task(steward.run(), name="steward")
    stopping = asyncio.create_task(stop.wait(), name="stop")
    await asyncio.wait({running, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        # `run` only ends by an exception, which this raises again.
        running.result()
    lease = steward.lease
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    if lease is not None:
        await lease.release()
    return 0
