"""`config pull`, `list`, `diff` and `status`."""

from __future__ import annotations

import difflib
import sys
from typing import TYPE_CHECKING

from expression import Error, Result

from pimentodale.configuration.follower import FollowerStatus
from pimentodale.ctl.ask_hosts import ask_hosts, parse_entries
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.ctl.key_value_option import load_view, open_store
from pimentodale.ctl.local_folder import RevisionRecord, read_folder, write_record

if TYPE_CHECKING:
    from pimentodale.configuration.folder_store import FolderView
    from pimentodale.ctl.config_commands import (
        DiffCommand,
        ListCommand,
        PullCommand,
        StatusCommand,
    )


async def run_pull(command: PullCommand) -> ExitCode:
    """Copy the folder here."""
    loaded = await _load(command.key_value)
    if loaded.is_error():
        return loaded.error
    files = loaded.ok.folder.values()
    try:
        command.folder.mkdir(parents=True, exist_ok=True)
        for file in files:
            (command.folder / file.name).write_bytes(file.text.encode())
        record = RevisionRecord({})
        for file in files:
            record.note(file.name, file.text, file.mod_revision)
        write_record(command.folder, record)
    except OSError as error:
        print(f"{command.folder}: {error.strerror}", file=sys.stderr)
        return ExitCode.FAILED
    print(f"{len(files)} files of revision {loaded.ok.revision}")
    return ExitCode.OK


async def run_list(command: ListCommand) -> ExitCode:
    """List files."""
    loaded = await _load(command.key_value)
    if loaded.is_error():
        return loaded.error
    view = loaded.ok
    accepted = {file.name: file.text for file in view.accepted.files}
    problems = {problem.name: problem for problem in view.accepted.problems}
    print(
        f"in force: revision {view.accepted.revision}, by {view.accepted.accepted_by or 'nobody'}"
    )
    for name in sorted({*view.folder, *accepted}):
        file = view.folder.get(name)
        place = "removed" if file is None else f"revision {file.mod_revision}"
        if name in problems:
            state = f"not in force as it stands: {problems[name]}"
        elif accepted.get(name) == (None if file is None else file.text):
            state = "in force"
        else:
            state = "not accepted yet"
        print(f"{name}\t{place}\t{state}")
    return ExitCode.OK


async def run_diff(command: DiffCommand) -> ExitCode:
    """Show differences, the service's side first."""
    read = read_folder(command.folder)
    if read.is_error():
        print(read.error.message, file=sys.stderr)
        return ExitCode.FAILED
    loaded = await _load(command.key_value)
    if loaded.is_error():
        return loaded.error
    theirs = loaded.ok.texts()
    for name in sorted({*theirs, *read.ok}):
        lines = difflib.unified_diff(
            theirs.get(name, "").splitlines(),
            read.ok.get(name, "").splitlines(),
            f"service/{name}",
            f"local/{name}",
            lineterm="",
        )
        for line in lines:
            print(line)
    return ExitCode.OK


async def run_status(command: StatusCommand) -> ExitCode:
    """Ask hosts for their revisions."""
    addresses = parse_entries(command.entry)
    if addresses.is_error():
        return addresses.error
    answers = await ask_hosts(addresses.ok, "/admin/configuration", FollowerStatus)
    for address, answer in zip(addresses.ok, answers, strict=True):
        print(f"{address}\t{_describe(answer.ok) if answer.is_ok() else answer.error}")
    statuses = [answer.ok for answer in answers if answer.is_ok()]
    for problem in sorted({problem for status in statuses for problem in status.problems}):
        print(f"not in force as it stands: {problem}")
    if len(statuses) < len(answers):
        return ExitCode.UNREACHABLE
    agreed = len({status.revision for status in statuses}) == 1
    return ExitCode.OK if agreed else ExitCode.DISAGREEMENT


async def _load(key_value: list[str]) -> Result[FolderView, ExitCode]:
    """Read snapshot and folder."""
    store = open_store(key_value)
    if store.is_error():
        return Error(store.error)
    return await load_view(store.ok)


def _describe(status: FollowerStatus) -> str:
    """Return a host's line."""
    parts = [f"{status.host}\trevision {status.revision} (from {status.source})"]
    if status.watching:
        parts.append("watching")
    if status.store_fault:
        parts.append(f"key-value service: {status.store_fault}")
    if status.refusal:
        parts.append(status.refusal)
    return "; ".join(parts)
