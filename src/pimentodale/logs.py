"""Logging set-up shared by the programs.

Each part logs through `get_log("prefix")`; its sentences start with that prefix.
"""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Literal

import structlog

if TYPE_CHECKING:
    from collections.abc import MutableMapping
    from typing import Any

LogFormat = Literal["console", "json"]
"""How log lines are written."""

LogLevel = Literal["debug", "info", "warning", "error"]
"""The least severe level that is written."""


def configure_logs(level: LogLevel, log_format: LogFormat) -> None:
    """Send structlog's and Tornado's lines to standard error.

    Args:
        level: Least severe level to write.
        log_format: One JSON object a line, or text for a terminal.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    logging.basicConfig(stream=sys.stderr, level=max(number, logging.WARNING), format="%(message)s")
    renderer: structlog.typing.Processor
    if log_format == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            _put_prefix_first,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_log(prefix: str) -> structlog.typing.FilteringBoundLogger:
    """Return the log of one part.

    Args:
        prefix: Fixed word that starts each of its sentences, such as "ledger".
    """
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=prefix)
    return log


def _put_prefix_first(
    _logger: object, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Write the part's name in front of the sentence."""
    part = event.pop("part", None)
    if part is not None:
        event["event"] = f"{part}: {event['event']}"
    return event
