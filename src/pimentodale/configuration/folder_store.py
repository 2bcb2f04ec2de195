"""Stores the folder and the accepted snapshot in the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.key_value import Compare, Delete, Put, prefix_end
from pimentodale.configuration.snapshots import Snapshot, decode_snapshot, encode_snapshot
from pimentodale.foreign_bytes import read_whole_number
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from pimentodale.clients.key_value import (
        KeyValue,
        KeyValueStore,
        StoreFault,
        TxnReply,
        WatchBatch,
    )

ACCEPTED_KEY: Final = "pimentodale/accepted"
"""Key of the accepted snapshot."""

ACCEPTED_REVISION_KEY: Final = "pimentodale/accepted-revision"
"""Key of the snapshot's revision, always written with the snapshot, so that polls stay small."""

FOLDER_PREFIX: Final = "pimentodale/folder/"
"""Prefix of the operators' files."""

VIEW_END: Final = prefix_end(FOLDER_PREFIX)
"""Exclusive end of the keys that one read or watch covers: the snapshot, then the folder."""

MAX_SYNC_FILES: Final = 50
"""Maximum number of files in one transaction of a write-back."""

MAX_SYNC_BYTES: Final = 512 * 1024
"""Maximum bytes of text in one transaction of a write-back, unless a single file is larger."""


class FolderFile(msgspec.Struct, frozen=True):
    """A file in the key-value service."""

    name: str
    """Its name."""

    text: str
    """Its text; bytes that are not UTF-8 are replaced, which makes it invalid YAML."""

    mod_revision: int
    """The service's revision of its last change."""


class FolderView(msgspec.Struct):
    """Consistent view of snapshot and folder at one revision of the service."""

    revision: int
    """The service's revision."""

    accepted: Snapshot
    """The snapshot; empty if there is none or it can't be decoded."""

    accepted_mod_revision: int
    """The service's revision of its last change; 0 if there is no snapshot."""

    folder: dict[str, FolderFile]
    """Files by name."""

    def texts(self) -> dict[str, str]:
        """Return the folder's texts by name."""
        return {name: file.text for name, file in self.folder.items()}

    def apply(self, batch: WatchBatch) -> bool:
        """Apply changes reported by a watch; return whether there were any."""
        self.revision = max(self.revision, batch.revision)
        for item in batch.puts:
            self._put(item)
        for key in batch.deletes:
            if key == ACCEPTED_KEY:
                self.accepted, self.accepted_mod_revision = Snapshot(), 0
            self.folder.pop(key.removeprefix(FOLDER_PREFIX), None)
        return bool(batch.puts or batch.deletes)

    def _put(self, item: KeyValue) -> None:
        """Apply one changed key."""
        if item.key == ACCEPTED_KEY:
            self.accepted = read_snapshot(item.value)
            self.accepted_mod_revision = item.mod_revision
        elif item.key.startswith(FOLDER_PREFIX):
            name = item.key.removeprefix(FOLDER_PREFIX)
            text = item.value.decode(errors="replace")
            self.folder[name] = FolderFile(name, text, item.mod_revision)


def read_snapshot(value: bytes) -> Snapshot:
    """Decode a stored snapshot; an invalid one counts as empty, so that it is replaced."""
    decoded = decode_snapshot(value)
    if decoded.is_ok():
        return decoded.ok
    get_log("configuration").error("The stored snapshot is invalid.", problem=decoded.error)
    return Snapshot()


async def read_view(store: KeyValueStore) -> Result[FolderView, StoreFault]:
    """Read snapshot and folder at one revision.

    Args:
        store: The key-value service.

    Returns:
        The view, or the fault.
    """
    reply = await store.read(ACCEPTED_KEY, VIEW_END)
    if reply.is_error():
        return Error(reply.error)
    view = FolderView(reply.ok.revision, Snapshot(), 0, {})
    for item in reply.ok.items:
        view._put(item)
    return Ok(view)


async def is_unchanged(store: KeyValueStore, view: FolderView) -> bool:
    """Check without reading values whether the service still matches the view.

    Args:
        store: The key-value service.
        view: The last view; its revision is updated if nothing changed.

    Returns:
        Whether nothing changed; False also if the service can't be read.
    """
    reply = await store.read(ACCEPTED_KEY, VIEW_END, keys_only=True)
    if reply.is_error() or reply.ok.revision < view.revision:
        return False
    found = {item.key: item.mod_revision for item in reply.ok.items}
    found.pop(ACCEPTED_REVISION_KEY, None)
    known = {FOLDER_PREFIX + name: file.mod_revision for name, file in view.folder.items()}
    if view.accepted_mod_revision:
        known[ACCEPTED_KEY] = view.accepted_mod_revision
    if found != known:
        return False
    view.revision = reply.ok.revision
    return True


async def read_accepted_revision(store: KeyValueStore) -> Result[int, StoreFault]:
    """Read only the stored snapshot's revision; 0 if there is none."""
    reply = await store.read(ACCEPTED_REVISION_KEY)
    if reply.is_error():
        return Error(reply.error)
    return Ok(read_whole_number(reply.ok.items[0].value if reply.ok.items else b"") or 0)


async def read_accepted(store: KeyValueStore) -> Result[Snapshot, StoreFault]:
    """Read the stored snapshot; empty if there is none."""
    reply = await store.read(ACCEPTED_KEY)
    if reply.is_error():
        return Error(reply.error)
    return Ok(read_snapshot(reply.ok.items[0].value) if reply.ok.items else Snapshot())


async def write_snapshot(
    store: KeyValueStore, snapshot: Snapshot, encoded: bytes, mod_revision: int
) -> Result[TxnReply, StoreFault]:
    """Write the snapshot if the stored one has not changed since it was read.

    Args:
        store: The key-value service.
        snapshot: The new snapshot.
        encoded: Its encoded form.
        mod_revision: Revision of the stored snapshot that it replaces; 0 if there was none.

    Returns:
        The transaction's reply, or the fault.
    """
    revision = Put(ACCEPTED_REVISION_KEY, str(snapshot.revision).encode())
    writes = [Put(ACCEPTED_KEY, encoded), revision]
    return await store.txn([Compare(ACCEPTED_KEY, mod_revision)], writes)


async def write_back(
    store: KeyValueStore, view: FolderView, snapshot: Snapshot
) -> Result[bool, StoreFault]:
    """Write the configuration in force back to a service that was restored to an older state.

    First the snapshot is written, marked as pending; from then on no host treats the folder's
    differences as edits. Then the folder is written in transactions of bounded size, and last the
    mark is cleared. Files that an operator changed after the mark are newer and are kept. Any
    host may resume where another stopped.

    Args:
        store: The key-value service.
        view: The state of the service.
        snapshot: The snapshot in force.

    Returns:
        Whether everything was written; False if another host changed the snapshot meanwhile.
    """
    marked_revision = view.accepted_mod_revision
    if not (view.accepted.folder_pending and view.accepted.revision == snapshot.revision):
        marked = msgspec.structs.replace(snapshot, folder_pending=True)
        reply = await write_snapshot(store, marked, encode_snapshot(marked), marked_revision)
        if reply.is_error():
            return Error(reply.error)
        if not reply.ok.succeeded:
            return Ok(False)
        marked_revision = reply.ok.revision
    synced = await _sync_folder(store, view, snapshot, marked_revision)
    if synced.is_error() or not synced.ok:
        return synced
    clear = msgspec.structs.replace(snapshot, folder_pending=False, store_revision=marked_revision)
    last = await write_snapshot(store, clear, encode_snapshot(clear), marked_revision)
    return last.map(lambda reply: reply.succeeded)


async def _sync_folder(
    store: KeyValueStore, view: FolderView, snapshot: Snapshot, marked_revision: int
) -> Result[bool, StoreFault]:
    """Write the files that differ from the snapshot while it remains marked as pending."""
    writes: list[Put | Delete] = []
    compares = [Compare(ACCEPTED_KEY, marked_revision)]
    size_bytes = 0
    for write in _differences(view, snapshot, marked_revision):
        name = write.key.removeprefix(FOLDER_PREFIX)
        file_bytes = len(write.value) if isinstance(write, Put) else 0
        if writes and (len(writes) == MAX_SYNC_FILES or size_bytes + file_bytes > MAX_SYNC_BYTES):
            reply = await store.txn(compares, writes)
            if reply.is_error() or not reply.ok.succeeded:
                return reply.map(lambda _reply: False)
            writes, compares, size_bytes = [], compares[:1], 0
        known = view.folder.get(name)
        writes.append(write)
        compares.append(Compare(write.key, 0 if known is None else known.mod_revision))
        size_bytes += file_bytes
    if not writes:
        return Ok(True)
    last = await store.txn(compares, writes)
    return last.map(lambda reply: reply.succeeded)


def _differences(view: FolderView, snapshot: Snapshot, marked_revision: int) -> list[Put | Delete]:
    """Return the writes that make the folder match the snapshot."""
    writes: list[Put | Delete] = []
    texts = {file.name: file.text for file in snapshot.files}
    for name, text in texts.items():
        known = view.folder.get(name)
        if known is not None and (known.text == text or known.mod_revision > marked_revision):
            continue
        writes.append(Put(FOLDER_PREFIX + name, text.encode()))
    for name, known in view.folder.items():
        if name not in texts and known.mod_revision <= marked_revision:
            writes.append(Delete(FOLDER_PREFIX + name))
    return writes
