"""`config put`, `push` and `remove`: writes that carry the revision which the operator had read."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Final

from pimentodale.clock import Clock, create_clock
from pimentodale.configuration.edits import Edit, EditsResult, write_edits
from pimentodale.configuration.folder_store import read_accepted
from pimentodale.ctl.config_check import check_edits, report_problems
from pimentodale.ctl.exit_codes import ExitCode
from pimentodale.ctl.key_value_option import load_view, open_store
from pimentodale.ctl.local_folder import (
    RevisionRecord,
    read_files,
    read_folder,
    read_record,
    write_record,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.configuration.folder_store import FolderView
    from pimentodale.ctl.config_commands import PushCommand, PutCommand, RemoveCommand

ACCEPT_POLL_MS: Final = 200.0
"""Wait between looks for acceptance."""


async def run_put(command: PutCommand) -> ExitCode:
    """Write files."""
    read = read_files(command.files)
    if read.is_error():
        print(read.error.message, file=sys.stderr)
        return ExitCode.FAILED
    revisions: dict[str, int] = {}
    for path in command.files:
        record = read_record(path.parent)
        if record.is_error():
            print(record.error.message, file=sys.stderr)
            return ExitCode.FAILED
        revisions[path.name] = record.ok.revision_of(path.name)
        if command.revision is not None:
            revisions[path.name] = command.revision
    folders = {path.name: path.parent for path in command.files}
    if len(folders) < len(command.files):
        print("two of the files have one name; write them one after the other", file=sys.stderr)
        return ExitCode.USAGE
    return await _write(command.key_value, command.wait_ms, read.ok, revisions, folders)


async def run_push(command: PushCommand) -> ExitCode:
    """Write all changes of a folder; files that were pulled and are gone here are removed."""
    read = read_folder(command.folder)
    record = read_record(command.folder)
    if read.is_error() or record.is_error():
        problem = read.error if read.is_error() else record.error
        print(problem.message, file=sys.stderr)
        return ExitCode.FAILED
    changes: dict[str, str | None] = {}
    for name, text in read.ok.items():
        # What was not edited here stays as it is there, also if another operator changed it.
        if record.ok.is_edited(name, text):
            changes[name] = text
    for name in record.ok.files:
        if name not in read.ok:
            changes[name] = None
    revisions = {name: record.ok.revision_of(name) for name in changes}
    folders = dict.fromkeys(changes, command.folder)
    return await _write(command.key_value, command.wait_ms, changes, revisions, folders)


async def run_remove(command: RemoveCommand) -> ExitCode:
    """Remove a file at the revision given, or at the one recorded in the current folder."""
    here = Path()
    record = read_record(here)
    if record.is_error():
        print(record.error.message, file=sys.stderr)
        return ExitCode.FAILED
    known = record.ok.revision_of(command.name)
    revision = known if command.revision is None else command.revision
    if not revision:
        print("give --revision as `config list` shows it", file=sys.stderr)
        return ExitCode.USAGE
    folders = {command.name: here} if known else {}
    revisions = {command.name: revision}
    changes: dict[str, str | None] = {command.name: None}
    return await _write(command.key_value, command.wait_ms, changes, revisions, folders)


async def _write(
    key_value: Sequence[str],
    wait_ms: float,
    changes: Mapping[str, str | None],
    revisions: Mapping[str, int],
    folders: Mapping[str, Path],
) -> ExitCode:
    """Check changes against the service's folder, write them, record them, await acceptance."""
    store = open_store(key_value)
    if store.is_error():
        return store.error
    loaded = await load_view(store.ok)
    if loaded.is_error():
        return loaded.error
    view = loaded.ok
    if view.accepted.folder_pending:
        print("the folder is being written back after a restore; try again soon", file=sys.stderr)
        return ExitCode.CONFLICT
    edits = _edits_of(view, changes, revisions)
    problems = check_edits(view, {edit.name: edit.text for edit in edits})
    if problems:
        report_problems(problems)
        return ExitCode.INVALID
    clock = create_clock()
    result = await write_edits(store.ok, clock, edits)
    if result.is_error():
        print(f"the key-value service failed: {result.error.message}", file=sys.stderr)
        unknown = result.error.may_have_applied
        return ExitCode.UNKNOWN_OUTCOME if unknown else ExitCode.UNREACHABLE
    done = result.ok
    revisions_now = await _revisions_now(store.ok, [*done.written, *_same(view, changes)])
    _record(revisions_now, changes, folders)
    if done.conflicts:
        report_problems([str(conflict) for conflict in done.conflicts])
        print("pull the folder, merge and write again", file=sys.stderr)
        return ExitCode.CONFLICT
    if not done.written:
        print("Nothing differs; nothing was written.")
        return ExitCode.OK
    for edit in done.written:
        print(f"{edit.name}: {'removed' if edit.text is None else 'written'}")
    return await _await_acceptance(store.ok, clock, done, wait_ms)


def _edits_of(
    view: FolderView, changes: Mapping[str, str | None], revisions: Mapping[str, int]
) -> list[Edit]:
    """Return the changes that the service does not say already."""
    edits = []
    for name, text in sorted(changes.items()):
        known = view.folder.get(name)
        if text == (None if known is None else known.text):
            continue
        edits.append(Edit(name, text, revisions[name]))
    return edits


def _same(view: FolderView, changes: Mapping[str, str | None]) -> list[Edit]:
    """Return the changes that the service says already, so that their revision gets recorded."""
    return [
        Edit(name, text, 0)
        for name, text in changes.items()
        if text == (view.folder[name].text if name in view.folder else None)
    ]


async def _revisions_now(store: KeyValueStore, edits: Sequence[Edit]) -> dict[str, int]:
    """Return the revision of each file that still says what was written; 0 for a removed one."""
    loaded = await load_view(store)
    if loaded.is_error():
        return {}
    now: dict[str, int] = {}
    for edit in edits:
        known = loaded.ok.folder.get(edit.name)
        if edit.text is None:
            now[edit.name] = 0
        elif known is not None and known.text == edit.text:
            now[edit.name] = known.mod_revision
    return now


def _record(
    revisions: Mapping[str, int], changes: Mapping[str, str | None], folders: Mapping[str, Path]
) -> None:
    """Note revisions beside the local files."""
    for folder in sorted(set(folders.values())):
        record = read_record(folder).default_value(RevisionRecord({}))
        for name, revision in revisions.items():
            if folders.get(name) != folder:
                continue
            text = changes[name]
            if text is None:
                record.files.pop(name, None)
            else:
                record.note(name, text, revision)
        write_record(folder, record)


async def _await_acceptance(
    store: KeyValueStore, clock: Clock, done: EditsResult, wait_ms: float
) -> ExitCode:
    """Wait until a host has accepted or refused what was written."""
    end_ms = clock.now_ms() + wait_ms
    while clock.now_ms() < end_ms:
        accepted = await read_accepted(store)
        if accepted.is_ok() and accepted.ok.store_revision >= done.revision:
            snapshot = accepted.ok
            names = {edit.name for edit in done.written}
            problems = [str(problem) for problem in snapshot.problems if problem.name in names]
            report_problems(problems)
            if problems:
                return ExitCode.INVALID
            print(f"Accepted in revision {snapshot.revision}.")
            return ExitCode.OK
        await clock.sleep_ms(ACCEPT_POLL_MS)
    print(f"Written at the service's revision {done.revision}; no host has accepted it yet.")
    return ExitCode.OK
