"""Operators' writes to the folder: each carries the revision that the operator had read."""

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

EDIT_TRIES: Final = 5
"""How often a write is tried whose outcome is not known."""

EDIT_RETRY_MS: Final = 300.0
"""Wait between those tries."""

EDITS_TOGETHER: Final = 60
"""Files that one transaction covers."""

EDIT_BYTES: Final = 900_000
"""Octets of text that one transaction covers, unless a single file has more."""


class Edit(msgspec.Struct, frozen=True):
    """One file to write or remove."""

    name: str
    """Its name in the folder."""

    text: str | None
    """Its new text; `None` removes it."""

    read_revision: int
    """Revision of the file that the operator had read; 0 if there was none."""


class EditConflict(msgspec.Struct, frozen=True):
    """Another operator changed the file meanwhile."""

    name: str
    """The file."""

    read_revision: int
    """Revision that the write carried."""

    found_revision: int
    """Revision that the service holds; 0 when the file is gone."""

    def __str__(self) -> str:
        """Return the one-line message for people."""
        found = f"is at revision {self.found_revision}" if self.found_revision else "is gone"
        read = f"revision {self.read_revision}" if self.read_revision else "no such file"
        return f"{self.name}: the write is based on {read}, but the file {found}"


class EditsDone(msgspec.Struct, frozen=True):
    """How far the edits came."""

    revision: int
    """The service's revision after the last write; 0 when there was none."""

    written: list[Edit]
    """Edits that took effect."""

    conflicts: list[EditConflict]
    """Why the next ones did not; these and all after them changed nothing."""


async def write_edits(
    store: KeyValueStore, clock: Clock, edits: Sequence[Edit]
) -> Result[EditsDone, StoreFault]:
    """Write edits, as many together as one transaction holds.

    A write whose outcome is not known is tried again: its condition lets it take effect only once,
    and a service that already says what the edit says counts as written.

    Args:
        store: The key-value service.
        clock: Waits between tries.
        edits: What to write.

    Returns:
        How far it came, or the fault; its `may_have_applied` speaks of the last transaction.
    """
    written: list[Edit] = []
    revision = 0
    for group in _group(edits):
        reply = await _write_group(store, clock, group)
        if reply.is_error():
            return Error(reply.error)
        conflicts = [] if reply.ok.succeeded else _conflicts(group, reply.ok)
        if conflicts:
            return Ok(EditsDone(revision, written, conflicts))
        revision = max(revision, reply.ok.revision)
        written.extend(group)
    return Ok(EditsDone(revision, written, []))


async def _write_group(
    store: KeyValueStore, clock: Clock, group: Sequence[Edit]
) -> Result[TxnReply, StoreFault]:
    """Write one transaction."""
    compares = [Compare(FOLDER_PREFIX + edit.name, edit.read_revision) for edit in group]
    writes = [_write_of(edit) for edit in group]
    unknown = False
    for attempt in range(EDIT_TRIES):
        if attempt:
            await clock.sleep_ms(EDIT_RETRY_MS)
        reply = await store.txn(compares, writes)
        if reply.is_ok():
            return reply
        unknown = unknown or reply.error.may_have_applied
    return Error(msgspec.structs.replace(reply.error, may_have_applied=unknown))


def _conflicts(group: Sequence[Edit], reply: TxnReply) -> list[EditConflict]:
    """Return the files that are neither as they were read nor as the edits want them."""
    found = {item.key.removeprefix(FOLDER_PREFIX): item for item in reply.items}
    if all(
        _is_done(edit, found[edit.name].value if edit.name in found else None) for edit in group
    ):
        return []
    conflicts = []
    for edit in group:
        found_revision = found[edit.name].mod_revision if edit.name in found else 0
        if found_revision != edit.read_revision:
            conflicts.append(EditConflict(edit.name, edit.read_revision, found_revision))
    return conflicts


def _is_done(edit: Edit, value: bytes | None) -> bool:
    """Whether the service already says what the edit says."""
    return value == (None if edit.text is None else edit.text.encode())


def _write_of(edit: Edit) -> Put | Delete:
    """Return the edit as a write."""
    key = FOLDER_PREFIX + edit.name
    return Delete(key) if edit.text is None else Put(key, edit.text.encode())


def _group(edits: Sequence[Edit]) -> list[list[Edit]]:
    """Split edits into what one transaction holds."""
    groups: list[list[Edit]] = []
    size_bytes = 0
    for edit in edits:
        edit_bytes = len((edit.text or "").encode())
        full = not groups or len(groups[-1]) == EDITS_TOGETHER
        if full or size_bytes + edit_bytes > EDIT_BYTES:
            groups.append([])
            size_bytes = 0
        groups[-1].append(edit)
        size_bytes += edit_bytes
    return groups
