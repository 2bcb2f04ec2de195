"""A host that watches the folder: it accepts the operators' changes and mends a restored service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clients.key_value import StoreFault
from pimentodale.configuration.folder_store import (
    ACCEPTED_KEY,
    VIEW_END,
    FolderView,
    is_unchanged,
    read_view,
    write_back,
    write_snapshot,
)
from pimentodale.configuration.snapshots import MAX_SNAPSHOT_BYTES, Snapshot, encode_snapshot
from pimentodale.logs import get_log

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.configuration.in_force import InForce

WATCH_SILENCE_MS: Final = 6_000.0
"""A watch without any octet for so long is opened anew."""

BEHIND_GRACE_MS: Final = 500.0
"""A peer's news may be ahead of the watch; a service that is behind for longer was restored."""


class Watcher:
    """Follows snapshot and folder in the key-value service."""

    __slots__ = (
        "_accept_jitter_ms",
        "_clock",
        "_host",
        "_in_force",
        "_is_watcher",
        "_log",
        "_rng",
        "_store",
        "active",
    )

    def __init__(
        self,
        store: KeyValueStore,
        in_force: InForce,
        clock: Clock,
        rng: random.Random,
        host: str,
        is_watcher: Callable[[], bool],
        accept_jitter_ms: float,
    ) -> None:
        self._store = store
        self._in_force = in_force
        self._clock = clock
        self._rng = rng
        self._host = host
        self._is_watcher = is_watcher
        self._accept_jitter_ms = accept_jitter_ms
        self._log = get_log("configuration")
        self.active = False

    async def watch(self, on_open: Callable[[], None]) -> StoreFault | None:
        """Read everything, then follow the changes and accept the operators'.

        Args:
            on_open: Called once the service has answered.

        Returns:
            Why it ended; `None` if this host watches no more.
        """
        read = await read_view(self._store)
        if read.is_error():
            return read.error
        on_open()
        view = read.ok
        await self._in_force.adopt(view.accepted, "store")
        changed = asyncio.Event()
        changed.set()
        accepting = asyncio.create_task(self._accept_changes(view, changed), name="accept")
        reading = asyncio.create_task(self._read_changes(view, changed), name="watch")
        self.active = True
        try:
            done, _ = await asyncio.wait({accepting, reading}, return_when=asyncio.FIRST_COMPLETED)
            ends = [task.result() for task in done]
            return next((fault for fault in ends if fault is not None), None)
        finally:
            self.active = False
            accepting.cancel()
            reading.cancel()
            await asyncio.gather(accepting, reading, return_exceptions=True)

    async def write_back_if_behind(self) -> StoreFault | None:
        """Look whether the service was restored to an old state, and mend it."""
        read = await read_view(self._store)
        if read.is_error():
            return read.error
        if not self._in_force.is_ahead_of(read.ok.accepted):
            return None
        return await self._write_back(read.ok)

    async def _read_changes(self, view: FolderView, changed: asyncio.Event) -> StoreFault | None:
        """Keep the view as new as the service; a watch that went silent is opened anew."""
        while True:
            fault = await self._read_one_watch(view, changed)
            if fault is None or not fault.silent:
                return fault
            # A quiet service looks like a silent connection, so this has to be cheap.
            if not await is_unchanged(self._store, view):
                return fault

    async def _read_one_watch(self, view: FolderView, changed: asyncio.Event) -> StoreFault | None:
        """Follow one watch; put a new snapshot in force at once."""
        start = view.revision + 1
        async for batch in self._store.watch(ACCEPTED_KEY, start, WATCH_SILENCE_MS, VIEW_END):
            if batch.is_error():
                return batch.error
            if batch.ok.revision < view.revision:
                return StoreFault(False, "the service's revision ran backwards; reading anew")
            mod_revision = view.accepted_mod_revision
            if view.apply(batch.ok):
                changed.set()
            if view.accepted_mod_revision != mod_revision:
                await self._in_force.adopt(view.accepted, "store")
            if not self._is_watcher():
                return None
        return None

    async def _accept_changes(self, view: FolderView, changed: asyncio.Event) -> StoreFault | None:
        """Bring snapshot and folder together whenever the view has changed."""
        while True:
            await changed.wait()
            # Spread, so that mostly one watcher writes and the others see that it did.
            await self._clock.sleep_ms(self._accept_jitter_ms * self._rng.random())
            changed.clear()
            if not self._in_force.is_ahead_of(view.accepted):
                fault = await self._accept(view)
            else:
                await self._clock.sleep_ms(BEHIND_GRACE_MS)
                fault = await self._mend(view)
            if fault is not None:
                return fault

    async def _mend(self, view: FolderView) -> StoreFault | None:
        """Write back if the service is still behind."""
        if not self._in_force.is_ahead_of(view.accepted):
            return await self._accept(view)
        # A copy, as the watch goes on and the write-back must compare with what it looked at.
        seen = msgspec.structs.replace(view, folder=dict(view.folder))
        return await self._write_back(seen)

    async def _write_back(self, view: FolderView) -> StoreFault | None:
        """Make the service say what is in force."""
        snapshot = self._in_force.snapshot
        stored = view.accepted
        if stored.revision == snapshot.revision and not stored.says_the_same(snapshot):
            # Two histories came to the same number; a higher one settles it for every host.
            snapshot = msgspec.structs.replace(snapshot, revision=snapshot.revision + 1)
        self._log.warning(
            "The key-value service is behind; writing back what is in force.",
            stored=stored.revision,
            revision=snapshot.revision,
        )
        written = await write_back(self._store, view, snapshot)
        return written.error if written.is_error() else None

    async def _accept(self, view: FolderView) -> StoreFault | None:
        """Take the folder's changes, if there are any."""
        snapshot, mod_revision = view.accepted, view.accepted_mod_revision
        store_revision = view.revision
        accepted = await self._in_force.evaluate(snapshot, view.texts())
        if accepted is None or view.accepted_mod_revision != mod_revision:
            # Another watcher accepted meanwhile; the change that told so is looked at next.
            return None
        following = Snapshot(
            revision=snapshot.revision + 1,
            store_revision=store_revision,
            files=accepted.files,
            problems=accepted.problems,
            accepted_by=self._host,
            accepted_wall_ms=self._clock.wall_ms(),
        )
        if following.says_the_same(snapshot):
            self._in_force.refusal = ""
            return None
        encoded = encode_snapshot(following)
        if len(encoded) > MAX_SNAPSHOT_BYTES:
            self._in_force.refuse(
                f"the folder comes to {len(encoded)} octets compressed, more than the"
                f" {MAX_SNAPSHOT_BYTES} that the key-value service holds; remove files"
            )
            return None
        self._in_force.refusal = ""
        reply = await write_snapshot(self._store, following, encoded, mod_revision)
        if reply.is_error():
            return reply.error
        if reply.ok.succeeded:
            await self._in_force.put_in_force(following, accepted.configuration)
        return None
