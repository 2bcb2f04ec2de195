"""Logging set-up shared by the programs.

Each part logs through `get_log("prefix")`; its sentences start with that prefix.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import TYPE_CHECKING, Final, Literal

import structlog

if TYPE_CHECKING:
    from collections.abc import MutableMapping
    from typing import Any

LogFormat = Literal["console", "json"]
"""How log lines are written."""

MAX_LINES_PER_S: Final = 400
"""Lines that a bounded log writes in a second; further ones are counted and dropped."""

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


class BoundedLines:
    """Writes lines to a descriptor without ever waiting; lines in excess are counted."""

    __slots__ = ("_descriptor", "_dropped", "_left", "_second", "_tail")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._second = 0
        self._left = MAX_LINES_PER_S
        self._dropped = 0
        self._tail = b""

    def write_line(self, line: str) -> None:
        """Write one line, or drop it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._left = second, MAX_LINES_PER_S
            if self._dropped and self._put(f'{{"event":"log: dropped","lines":{self._dropped}}}'):
                self._dropped = 0
        if self._left <= 0 or not self._put(line):
            self._dropped += 1
            return
        self._left -= 1

    def _put(self, line: str) -> bool:
        """Write without waiting; False if there is no room for a new line."""
        data = self._tail
        is_free = not data
        if is_free:
            data = line.encode(errors="replace") + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; there is no other place to say so.
            self._tail = b""
            return False
        if is_free and written == 0:
            return False
        self._tail = data[written:]
        return is_free


def configure_bounded_logs(level: LogLevel) -> None:
    """Send JSON lines to standard output, bounded in number and never waiting for a reader.

    Args:
        level: Least severe level to write.
    """
    number = logging.getLevelNamesMapping()[level.upper()]
    os.set_blocking(sys.stdout.fileno(), False)
    lines = BoundedLines(sys.stdout.fileno())

    class LineHandler(logging.Handler):
        """Takes the lines of libraries."""

        def emit(self, record: logging.LogRecord) -> None:
            """Write one line."""
            event = {"event": record.getMessage(), "level": record.levelname.lower()}
            lines.write_line(str(structlog.processors.JSONRenderer()(None, "", event)))

    logging.basicConfig(handlers=[LineHandler()], level=max(number, logging.WARNING))
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            _put_prefix_first,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=lambda *_arguments: _LineLogger(lines),
        cache_logger_on_first_use=True,
    )


class _LineLogger:
    """What structlog hands its rendered lines to."""

    __slots__ = ("_lines",)

    def __init__(self, lines: BoundedLines) -> None:
        self._lines = lines

    def msg(self, message: str) -> None:
        """Write one line."""
        self._lines.write_line(message)

    log = debug = info = warning = error = critical = exception = msg


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
