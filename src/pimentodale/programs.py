"""What the programs' main functions share."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final, NoReturn, TypeVar

from pimentodale.yaml_files import read_yaml_file

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")

EXIT_BAD_FILE: Final = 2
"""Exit code for a settings file, or another file named by the user, that is not accepted."""


def read_file_or_stop(path: Path, kind: type[T]) -> T:
    """Read a YAML file; if it is not accepted, say why and end the program.

    Args:
        path: The file.
        kind: A msgspec type that says which fields there are.
    """
    result = read_yaml_file(path, kind)
    if result.is_error():
        stop_program(str(result.error))
    return result.ok


def stop_program(message: str) -> NoReturn:
    """Print what is wrong with a file and end the program."""
    print(message, file=sys.stderr)
    sys.exit(EXIT_BAD_FILE)
