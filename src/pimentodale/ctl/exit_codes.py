"""Exit codes of `pimentodale-ctl`; docs/reference/ctl.md lists them."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    """It did what was asked."""

    FAILED = 1
    """Something that no other code names, such as a folder that can't be written."""

    USAGE = 2
    """The command line is wrong."""

    INVALID = 3
    """A file is not accepted; nothing of it is in force."""

    CONFLICT = 4
    """Another operator changed a file meanwhile; nothing of it was written."""

    UNREACHABLE = 5
    """The key-value service or a host can't be reached; nothing was written."""

    UNKNOWN_OUTCOME = 6
    """A write was sent and its outcome can't be learned; look with `config list`."""

    DISAGREEMENT = 7
    """Hosts have different revisions in force."""
