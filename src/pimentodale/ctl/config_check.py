"""`config check`, and the checks that come before every write."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from pimentodale.configuration.acceptance import accept_folder
from pimentodale.configuration.files import check_file, create_file_check
from pimentodale.configuration.snapshots import MAX_SNAPSHOT_BYTES, Snapshot, encode_snapshot
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.ctl.local_folder import read_files, read_folder

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pimentodale.configuration.folder_store import FolderView
    from pimentodale.ctl.config_commands import CheckCommand


def run_check(command: CheckCommand) -> ExitCode:
    """Check files alone, or a folder whole."""
    whole = len(command.paths) == 1 and command.paths[0].is_dir()
    read = read_folder(command.paths[0]) if whole else read_files(command.paths)
    if read.is_error():
        print(read.error.message, file=sys.stderr)
        return ExitCode.FAILED
    texts = read.ok
    problems = check_alone(texts)
    if whole and not problems:
        problems = check_whole(Snapshot(), texts, list(texts))
    report_problems(problems)
    if problems:
        return ExitCode.INVALID
    print(f"{len(texts)} files are good" + (" together." if whole else ", each alone."))
    return ExitCode.OK


def check_alone(texts: Mapping[str, str]) -> list[str]:
    """Return what is wrong with files, each alone."""
    checks = [check_file(name, text) for name, text in texts.items()]
    return [str(check.error) for check in checks if check.is_error()]


def check_whole(accepted: Snapshot, texts: Mapping[str, str], edited: Sequence[str]) -> list[str]:
    """Return why the folder, with the edited files in it, would not be accepted.

    Args:
        accepted: What is in force.
        texts: Texts of the whole folder by name, as they would be.
        edited: Names of the files to be written or removed.

    Returns:
        A sentence for each problem of an edited file.
    """
    result = accept_folder(accepted.files, texts, create_file_check())
    if result.is_error():
        return [f"what is in force can't be read by this version: {result.error}"]
    size_bytes = len(encode_snapshot(Snapshot(files=result.ok.files)))
    if size_bytes > MAX_SNAPSHOT_BYTES:
        most = f"{MAX_SNAPSHOT_BYTES} that the key-value service holds"
        return [f"the folder comes to {size_bytes} octets compressed, more than the {most}"]
    return [str(problem) for problem in result.ok.problems if problem.name in edited]


def check_edits(view: FolderView, changes: Mapping[str, str | None]) -> list[str]:
    """Return why changes to the service's folder would not be accepted; `None` removes a file."""
    problems = check_alone({name: text for name, text in changes.items() if text is not None})
    if problems:
        return problems
    texts = view.texts()
    for name, text in changes.items():
        if text is None:
            texts.pop(name, None)
        else:
            texts[name] = text
    return check_whole(view.accepted, texts, list(changes))


def report_problems(problems: Sequence[str]) -> None:
    """Print problems."""
    for problem in problems:
        print(problem, file=sys.stderr)
