"""Operators' writes to the folder, conditional on the revision that the operator had read."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.key_value import Compare, Delete, Put
from pimentodale.configuration.folder_store import FOLDER_PREFIX

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.clients.key_value import KeyValueStore, StoreFault, TxnReply
    from pimentodale.clock import Clock

MAX_EDIT_ATTEMPTS: Final = 5
"""Maximum number of attempts of a write that fails or whose outcome is unknown."""

EDIT_RETRY_MS: Final = 300.0
"""Wait between attempts."""

MAX_EDITS_PER_TXN: Final = 60
"""Maximum number of files in one transaction."""

MAX_TXN_TEXT_BYTES: Final = 900_000
"""Maximum bytes of text in one transaction, unless a single file is larger."""


class Edit(msgspec.Struct, frozen=True):
    """One file to write or remove."""

    name: str
    """Its name in the folder."""

    text: str | None
    """Its new text; `None` removes it."""

    read_revision: int
    """Revision of the file that the operator had read; 0 if there was none."""


class EditConflict(msgspec.Struct, frozen=True):
    """The file was changed since the operator read it."""

    name: str
    """The file."""

    read_revision: int
    """Revision on which the write was based."""

    found_revision: int
    """Revision in the service; 0 if the file does not exist."""

    def __str__(self) -> str:
        """Return a one-line message for operators."""
        found = f"is at revision {self.found_revision}" if self.found_revision else "is gone"
        read = f"revision {self.read_revision}" if self.read_revision else "no such file"
        return f"{self.name}: the write is based on {read}, but the file {found}"


class EditsResult(msgspec.Struct, frozen=True):
    """Result of writing edits."""

    revision: int
    """The service's revision after the last write; 0 if there was none."""

    written: list[Edit]
    """Edits that took effect."""

    conflicts: list[EditConflict]
    """Conflicts that stopped the next transaction; it and all later ones had no effect."""


async def write_edits(
    store: KeyValueStore, clock: Clock, edits: Sequence[Edit]
) -> Result[EditsResult, StoreFault]:
    """Write edits, batched into transactions of bounded size.

    A write whose outcome is unknown is retried: its condition lets it take effect only once, and
    an edit whose text is already stored counts as written.

    Args:
        store: The key-value service.
        clock: Waits between attempts.
        edits: The edits to write.

    Returns:
        The result, or the fault; its `may_have_applied` refers to the last transaction.
    """
    written: list[Edit] = []
    revision = 0
    for group in _group(edits):
        reply = await _write_group(store, clock, group)
        if reply.is_error():
            return Error(reply.error)
        conflicts = [] if reply.ok.succeeded else _conflicts(group, reply.ok)
        if conflicts:
            return Ok(EditsResult(revision, written, conflicts))
        revision = max(revision, reply.ok.revision)
        written.extend(group)
    return Ok(EditsResult(revision, written, []))


async def _write_group(
    store: KeyValueStore, clock: Clock, group: Sequence[Edit]
) -> Result[TxnReply, StoreFault]:
    """Write one transaction."""
    compares = [Compare(FOLDER_PREFIX + edit.name, edit.read_revision) for edit in group]
    writes = [_create_write(edit) for edit in group]
    unknown = False
    for attempt in range(MAX_EDIT_ATTEMPTS):
        if attempt:
            await clock.sleep_ms(EDIT_RETRY_MS)
        reply = await store.txn(compares, writes)
        if reply.is_ok():
            return reply
        unknown = unknown or reply.error.may_have_applied
    return Error(msgspec.structs.replace(reply.error, may_have_applied=unknown))


def _conflicts(group: Sequence[Edit], reply: TxnReply) -> list[EditConflict]:
    """Return the files that were changed since they were read, unless all edits are applied."""
    found = {item.key.removeprefix(FOLDER_PREFIX): item for item in reply.items}
    if all(
        _is_applied(edit, found[edit.name].value if edit.name in found else None) for edit in group
    ):
        return []
    conflicts = []
    for edit in group:
        found_revision = found[edit.name].mod_revision if edit.name in found else 0
        if found_revision != edit.read_revision:
            conflicts.append(EditConflict(edit.name, edit.read_revision, found_revision))
    return conflicts


def _is_applied(edit: Edit, value: bytes | None) -> bool:
    """Return whether the service already holds the edit's text."""
    return value == (None if edit.text is None else edit.text.encode())


def _create_write(edit: Edit) -> Put | Delete:
    """Return the edit as a write operation."""
    key = FOLDER_PREFIX + edit.name
    return Delete(key) if edit.text is None else Put(key, edit.text.encode())


def _group(edits: Sequence[Edit]) -> list[list[Edit]]:
    """Split edits into groups of the size of one transaction."""
    groups: list[list[Edit]] = []
    size_bytes = 0
    for edit in edits:
        edit_bytes = len((edit.text or "").encode())
        full = not groups or len(groups[-1]) == MAX_EDITS_PER_TXN
        if full or size_bytes + edit_bytes > MAX_TXN_TEXT_BYTES:
            groups.append([])
            size_bytes = 0
        groups[-1].append(edit)
        size_bytes += edit_bytes
    return groups
