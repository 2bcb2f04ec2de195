"""Which of the folder's changes are taken: each file alone, then the merge whole.

A file that fails keeps its last accepted form, so that one bad file holds up none of the others.
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
    """What the folder comes to."""

    files: list[AcceptedFile]
    """Files in force, in the order of their names."""

    problems: list[FileProblem]
    """Changes that were not taken, and why."""

    configuration: Configuration
    """The merged whole, without its revision."""


class _Taken(msgspec.Struct, frozen=True):
    """Texts in force, their merge, and the problems of changes that were not taken."""

    texts: Texts
    whole: Configuration
    problems: dict[str, FileProblem]


def accept_folder(
    accepted: Sequence[AcceptedFile], folder: Mapping[str, str], check: Check
) -> Result[Acceptance, FileProblem]:
    """Decide which changes of the folder are taken.

    The answer depends on the arguments alone, so that hosts which see the same come to the same.

    Args:
        accepted: Files in force.
        folder: Texts of the folder's files by name.
        check: Checks a file alone.

    Returns:
        Files in force from now on and the problems of the others; or what this version of the
        program can't take of the files in force.
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
    taken = _take(texts, changes, check)
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
        check: Checks a file alone.

    Returns:
        The whole without its revision, or the file that this version of the program can't take.
    """
    return _merge({file.name: file.text for file in files}, check)


def _take(
    texts: Texts, changes: Mapping[str, str | None], check: Check
) -> Result[_Taken, FileProblem]:
    """Take as many changes as leave the whole right."""
    left = dict(changes)
    refused: dict[str, FileProblem] = {}
    whole = _merge(_apply(texts, left), check)
    # Mostly the file that is named is the one to blame, so all the others go in together.
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
    return Ok(_take_singly(_Taken(texts, whole.ok, refused), left, check))


def _take_singly(start: _Taken, left: dict[str, str | None], check: Check) -> _Taken:
    """Try changes one by one, again and again, as each that is taken may make room for another."""
    texts, whole, refused = start.texts, start.whole, start.problems
    again = True
    while again:
        again = False
        for name, text in list(left.items()):
            tried = _merge(_apply(texts, {name: text}), check)
            if tried.is_error():
                refused[name] = _blame(name, text, tried.error)
                continue
            texts = _apply(texts, {name: text})
            whole = tried.ok
            del left[name]
            again = True
    return _Taken(texts, whole, {name: refused[name] for name in left})


def _apply(texts: Texts, changes: Mapping[str, str | None]) -> Texts:
    """Return the texts with changes; `None` removes."""
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


def _blame(name: str, text: str | None, problem: FileProblem) -> FileProblem:
    """Turn the whole's problem into that of the change which brings it about."""
    if problem.name == name:
        return problem
    verb = "removing" if text is None else "changing"
    return FileProblem(name, "whole", f"{verb} it breaks another file: {problem}")
