"""Merges checked files in the order of their names and checks the result for consistency."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from pimentodale.configuration.documents import (
    Configuration,
    ConfigurationFile,
    Limits,
    Model,
    Service,
    Workspace,
)
from pimentodale.configuration.files import FileProblem

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.configuration.documents import Placement


class CheckedFile(msgspec.Struct, frozen=True):
    """A file that passed its own check."""

    name: str
    """Its name in the folder."""

    content: ConfigurationFile
    """Its parsed content."""


class _Merge:
    """The configuration during the merge, and the file of origin of its entries."""

    __slots__ = ("limits", "models", "origins", "placements", "services", "workspaces")

    def __init__(self) -> None:
        self.models: dict[str, Model] = {}
        self.workspaces: dict[str, Workspace] = {}
        self.services: dict[str, Service] = {}
        self.placements: dict[str, Placement] = {}
        self.limits = Limits()
        self.origins: dict[str, str] = {}

    def add(self, file: CheckedFile) -> FileProblem | None:
        """Apply a file's removals, then its entries."""
        for number, removed in enumerate(file.content.removed):
            kind, _, name = removed.partition("/")
            entries: dict[str, object] = getattr(self, kind)
            if name not in entries:
                problem = f"no earlier file gives {removed}; drop the line or mend the name"
                return FileProblem(file.name, f"removed[{number}]", problem)
            del entries[name]
        for model in file.content.models:
            self.models[model.name] = model
        for workspace in file.content.workspaces:
            self.workspaces[workspace.name] = workspace
            self.origins[f"workspaces/{workspace.name}"] = file.name
        for service in file.content.services:
            self.services[service.name] = service
        for placement in file.content.placements:
            key = f"{placement.model}/{placement.failure_domain}"
            self.placements[key] = placement
            self.origins[f"placements/{key}"] = file.name
        if file.content.limits is not None:
            self.limits = file.content.limits
        return None

    def check(self) -> FileProblem | None:
        """Check for missing models and shared tokens; a shared token is reported for the later file."""
        for key, placement in self.placements.items():
            if placement.model not in self.models:
                problem = f"no file gives the model '{placement.model}'; add it or drop this"
                return FileProblem(self.origins[f"placements/{key}"], f"placements/{key}", problem)
        holders: dict[str, str] = {}
        for name, workspace in self.workspaces.items():
            for token in workspace.token_sha256s:
                holder = holders.setdefault(token, name)
                if holder != name:
                    return self._describe_shared_token(holder, name)
        return None

    def _describe_shared_token(self, first: str, second: str) -> FileProblem:
        """Return the problem of two workspaces that share a token."""
        names = sorted((first, second), key=lambda name: self.origins[f"workspaces/{name}"])
        origin = self.origins[f"workspaces/{names[1]}"]
        problem = f"shares a token with workspace '{names[0]}'; give each its own"
        return FileProblem(origin, f"workspaces/{names[1]}", problem)


def merge_files(files: Sequence[CheckedFile]) -> Result[Configuration, FileProblem]:
    """Merge files in the order of their names; a later entry replaces an earlier one.

    Args:
        files: Files that passed their own check, in any order.

    Returns:
        The merged configuration with revision 0, or the problem that makes it invalid.
    """
    merge = _Merge()
    for file in sorted(files, key=lambda file: file.name):
        problem = merge.add(file)
        if problem is not None:
            return Error(problem)
    problem = merge.check()
    if problem is not None:
        return Error(problem)
    return Ok(
        Configuration(
            models=merge.models,
            workspaces=merge.workspaces,
            services=merge.services,
            placements=list(merge.placements.values()),
            limits=merge.limits,
        )
    )
