"""YAML files read into typed settings, with errors that name the file, the field and the mending."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, TypeVar

import msgspec
import yaml
from expression import Error, Ok, Result

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")


class InvalidYaml(msgspec.Struct, frozen=True):
    """Why a YAML text was not accepted."""

    source: str
    """Name of the file, or of whatever the text came from."""

    field: str
    """Path of the field, or the line for a syntax error."""

    problem: str
    """What was wrong and how to mend it."""

    def __str__(self) -> str:
        """Return the one-line message for people."""
        return f"{self.source}: {self.field}: {self.problem}"


def read_yaml_file(path: Path, kind: type[T]) -> Result[T, InvalidYaml]:
    """Read one file into `kind`.

    Args:
        path: The file.
        kind: A msgspec type that says which fields there are.

    Returns:
        The settings, or what is wrong with the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        problem = f"{error.strerror}; name a file that can be read"
        return Error(InvalidYaml(str(path), "file", problem))
    except UnicodeDecodeError as error:
        return Error(InvalidYaml(str(path), f"byte {error.start}", "not UTF-8; save it as UTF-8"))
    return parse_yaml(text, kind, str(path))


def parse_yaml(text: str, kind: type[T], source: str) -> Result[T, InvalidYaml]:
    """Parse YAML text into `kind`.

    Args:
        text: The YAML text.
        kind: A msgspec type that says which fields there are.
        source: Named in errors.

    Returns:
        The typed value, or what is wrong with the text.
    """
    try:
        raw = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = "text" if mark is None else f"line {mark.line + 1}"
        return Error(InvalidYaml(source, line, f"not YAML: {error.problem}"))
    except yaml.YAMLError as error:
        return Error(InvalidYaml(source, "text", f"not YAML: {error}"))
    except RecursionError:
        return Error(InvalidYaml(source, "text", "nested too deeply; flatten it"))
    try:
        return Ok(msgspec.convert({} if raw is None else raw, kind))
    except msgspec.ValidationError as error:
        return Error(_explain(str(error), source))


def _explain(message: str, source: str) -> InvalidYaml:
    """Split msgspec's message into the field's path and the problem."""
    match = re.match(r"(?P<problem>.*?) - at `(?:key in )?\$\.?(?P<path>.*)`$", message)
    if match is None:
        return InvalidYaml(source, "top level", message)
    return InvalidYaml(source, match["path"] or "top level", match["problem"])
