"""Decides which changes of the folder are accepted: checks each file, then the merged result.

A file that fails keeps its last accepted text, so that one invalid file does not block the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from pimentodale.configuration.documents import Configuration
from pimentodale.configuration.files import FileProblem
from pimentodale.configuration.merge import CheckedFile, merge_files
from pimentodale.configuration.snapshots import AcceptedFile

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from pimentodale.configuration.documents import ConfigurationFile

    Check = Callable[[str, str], Result[ConfigurationFile, FileProblem]]

Texts = dict[str, str]
"""Text of each file by name."""


class Acceptance(msgspec.Struct, frozen=True):
    """Result of evaluating the folder."""

    files: list[AcceptedFile]
    """Files in force, in the order of their names."""

    problems: list[FileProblem]
    """Changes that were rejected, and why."""

    configuration: Configuration
    """The merged configuration, without its revision."""


class _AcceptedChanges(msgspec.Struct, frozen=True):
    """Accepted texts, their merged configuration, and the problems of rejected changes."""

    texts: Texts
    whole: Configuration
    problems: dict[str, FileProblem]


def accept_folder(
    accepted: Sequence[AcceptedFile], folder: Mapping[str, str], check: Check
) -> Result[Acceptance, FileProblem]:
    """Decide which changes of the folder are accepted.

    The result depends only on the arguments, so that hosts with the same input agree.

    Args:
        accepted: Files in force.
        folder: Texts of the folder's files by name.
        check: Checks a single file.

    Returns:
        The files that are now in force and the problems of the others; or the problem of a file in
        force that this version of the program rejects.
    """
    texts = {file.name: file.text for file in accepted}
    problems: dict[str, FileProblem] = {}
    changes: dict[str, str | None] = {}
    for name in sorted({*texts, *folder}):
        text = folder.get(name)
        if text == texts.get(name):
            continue
        checked = None if text is None else check(name, text)
        if checked is not None and checked.is_error():
            problems[name] = checked.error
            continue
        changes[name] = text
    taken = _accept_valid_changes(texts, changes, check)
    if taken.is_error():
        return Error(taken.error)
    problems.update(taken.ok.problems)
    files = [AcceptedFile(name, text) for name, text in sorted(taken.ok.texts.items())]
    return Ok(Acceptance(files, sorted(problems.values()), taken.ok.whole))


def merge_accepted(
    files: Sequence[AcceptedFile], check: Check
) -> Result[Configuration, FileProblem]:
    """Merge the files of a snapshot.

    Args:
        files: Files in force.
        check: Checks a single file.

    Returns:
        The merged configuration without its revision, or the problem of the file that this version
        of the program rejects.
    """
    return _merge({file.name: file.text for file in files}, check)


def _accept_valid_changes(
    texts: Texts, changes: Mapping[str, str | None], check: Check
) -> Result[_AcceptedChanges, FileProblem]:
    """Accept as many changes as possible such that the merged configuration stays valid."""
    left = dict(changes)
    refused: dict[str, FileProblem] = {}
    whole = _merge(_apply(texts, left), check)
    # Usually the file named in the problem is its cause, so all others are tried together.
    while whole.is_error() and whole.error.name in left:
        refused[whole.error.name] = whole.error
        del left[whole.error.name]
        whole = _merge(_apply(texts, left), check)
    if whole.is_ok():
        texts = _apply(texts, left)
        left = {name: changes[name] for name in refused}
    else:
        whole = _merge(texts, check)
        left = dict(changes)
    if whole.is_error():
        return Error(whole.error)
    return Ok(_accept_individually(_AcceptedChanges(texts, whole.ok, refused), left, check))


def _accept_individually(
    start: _AcceptedChanges, left: dict[str, str | None], check: Check
) -> _AcceptedChanges:
    """Try changes one by one until none is accepted, as one change may make another valid."""
    texts, whole, refused = start.texts, start.whole, start.problems
    again = True
    while again:
        again = False
        for name, text in list(left.items()):
            tried = _merge(_apply(texts, {name: text}), check)
            if tried.is_error():
                refused[name] = _attribute_problem(name, text, tried.error)
                continue
            texts = _apply(texts, {name: text})
            whole = tried.ok
            del left[name]
            again = True
    return _AcceptedChanges(texts, whole, {name: refused[name] for name in left})


def _apply(texts: Texts, changes: Mapping[str, str | None]) -> Texts:
    """Return the texts with changes applied; `None` removes a file."""
    applied = dict(texts)
    for name, text in changes.items():
        if text is None:
            applied.pop(name, None)
        else:
            applied[name] = text
    return applied


def _merge(texts: Texts, check: Check) -> Result[Configuration, FileProblem]:
    """Check and merge texts."""
    files = []
    for name, text in texts.items():
        checked = check(name, text)
        if checked.is_error():
            return Error(checked.error)
        files.append(CheckedFile(name, checked.ok))
    return merge_files(files)


def _attribute_problem(name: str, text: str | None, problem: FileProblem) -> FileProblem:
    """Attribute a problem of the merged configuration to the change that causes it."""
    if problem.name == name:
        return problem
    verb = "removing" if text is None else "changing"
    return FileProblem(name, "whole", f"{verb} it breaks another file: {problem}")
