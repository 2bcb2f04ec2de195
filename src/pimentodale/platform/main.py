"""Runs `pimentodale-gateway` on the users' platform."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.gateway.settings import GatewaySettings
from pimentodale.logs import configure_bounded_logs
from pimentodale.programs import read_file_or_stop, stop_program

SETTINGS_VARIABLE = "PIMENTODALE_SETTINGS"
"""Environment variable with the settings file's path, used when no argument gives it."""


def main() -> None:
    """Run the program."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    if len(sys.argv) > 1:
        # The parser takes a fifth of the start-up time, and a site starts all hosts at once.
        from pimentodale.platform.command import parse_command

        path = parse_command().settings or path
    settings = read_file_or_stop(path, GatewaySettings)
    configure_bounded_logs(settings.log_level)
    # Imported here so that --help and an invalid settings file don't load the whole program.
    from pimentodale.gateway.host import PlatformAdapter, run_gateway
    from pimentodale.platform import header_codec
    from pimentodale.platform.configuration import CONFIGURATION_KEY, decode_configuration
    from pimentodale.platform.engine_client import create_platform_engine_client
    from pimentodale.platform.replica_records import REPLICA_PREFIX, decode_replica
    from pimentodale.platform.store import create_platform_store
    from pimentodale.site.view import SiteRecords

    try:
        store = create_platform_store(parse_address(settings.store))
        platform = PlatformAdapter(
            store=store,
            store_calls=store.calls,
            records=SiteRecords(
                CONFIGURATION_KEY, REPLICA_PREFIX, decode_configuration, decode_replica
            ),
            codec=header_codec,
            engines=create_platform_engine_client(),
        )
        exit_code = asyncio.run(run_gateway(settings, platform))
    except BadAddressError as error:
        stop_program(f"{path}: {error}")
    except OSError as error:
        stop_program(f"{path}: {error}; choose addresses that this host can bind")
    sys.exit(exit_code)


if __name__ == "__main__":
    main()
