"""Validates single configuration files."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

import msgspec
import yaml
from expression import Error, Ok, Result

from pimentodale.configuration.documents import ConfigurationFile
from pimentodale.yaml_files import parse_yaml

if TYPE_CHECKING:
    from collections.abc import Callable

FILE_NAME: Final = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,120}\.ya?ml$")
"""Pattern of a file's name."""

MAX_FILE_BYTES: Final = 900_000
"""Maximum file size; the key-value service limits values to a megabyte."""

MAX_CACHED_FILES: Final = 8192
"""Number of cached check results, so that a change requires only changed files to be checked."""

_REMOVED: Final = re.compile(r"^(models|workspaces|services)/[^/]+$|^placements/[^/]+/[^/]+$")


class FileProblem(msgspec.Struct, frozen=True, order=True):
    """Why a file, or its effect on the merged configuration, was not accepted."""

    name: str
    """Name of the file."""

    field: str
    """Path of the field, or the line."""

    problem: str
    """What is wrong and how to fix it."""

    def __str__(self) -> str:
        """Return a one-line message for operators."""
        return f"{self.name}: {self.field}: {self.problem}"


def check_file(name: str, text: str) -> Result[ConfigurationFile, FileProblem]:
    """Check one file on its own.

    Args:
        name: Its name in the folder.
        text: Its YAML text.

    Returns:
        The typed file, or the first problem found in it.
    """
    if not FILE_NAME.match(name):
        return Error(FileProblem(name, "name", "not like 10-models.yaml; rename it"))
    size_bytes = len(text.encode())
    if size_bytes > MAX_FILE_BYTES:
        problem = f"{size_bytes} octets; split it into files of up to {MAX_FILE_BYTES}"
        return Error(FileProblem(name, "size", problem))
    if "*" in text and _has_alias(text):
        return Error(FileProblem(name, "text", "YAML aliases are not taken; write it out"))
    parsed = parse_yaml(text, ConfigurationFile, name)
    if parsed.is_error():
        return Error(FileProblem(name, parsed.error.field, parsed.error.problem))
    found = _find_problem(name, parsed.ok)
    return Ok(parsed.ok) if found is None else Error(found)


def create_file_check() -> Callable[[str, str], Result[ConfigurationFile, FileProblem]]:
    """Create a caching `check_file`; it may run in a thread, but not concurrently."""
    checked: dict[str, tuple[str, Result[ConfigurationFile, FileProblem]]] = {}

    def check(name: str, text: str) -> Result[ConfigurationFile, FileProblem]:
        known = checked.pop(name, None)
        if known is None or known[0] != text:
            known = (text, check_file(name, text))
        # Inserted last, so that the first entry is the least recently used one.
        checked[name] = known
        if len(checked) > MAX_CACHED_FILES:
            del checked[next(iter(checked))]
        return known[1]

    return check


def _has_alias(text: str) -> bool:
    """Return whether the YAML uses aliases, which can expand a short text enormously."""
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        return any(isinstance(event, yaml.AliasEvent) for event in yaml.parse(text, Loader=loader))
    except yaml.YAMLError:
        # Invalid YAML is reported by the parser afterwards.
        return False


def _find_problem(name: str, file: ConfigurationFile) -> FileProblem | None:
    """Check constraints that the types don't express."""
    for kind in ("models", "workspaces", "services"):
        names: set[str] = set()
        for number, entry in enumerate(getattr(file, kind)):
            if entry.name in names:
                problem = f"'{entry.name}' is there twice; keep one"
                return FileProblem(name, f"{kind}[{number}]", problem)
            names.add(entry.name)
    for number, workspace in enumerate(file.workspaces):
        if not workspace.token_sha256s:
            problem = "no token; make one with pimentodale-ctl token"
            return FileProblem(name, f"workspaces[{number}].token_sha256s", problem)
    for number, service in enumerate(file.services):
        for step, operation in enumerate(service.operations):
            place = f"services[{number}].operations[{step}]"
            if not operation.path.startswith("/"):
                return FileProblem(name, f"{place}.path", "has to start with /")
            if operation.keyless and operation.repeatable:
                problem = "only a call that is not repeatable can be keyless; drop one of the two"
                return FileProblem(name, f"{place}.keyless", problem)
    for number, removed in enumerate(file.removed):
        if not _REMOVED.match(removed):
            problem = f"'{removed}' is not like models/NAME or placements/MODEL/FAILURE_DOMAIN"
            return FileProblem(name, f"removed[{number}]", problem)
    return None
