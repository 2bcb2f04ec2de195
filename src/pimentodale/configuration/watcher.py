"""Watches the folder, accepts the operators' changes and writes back to a restored service."""

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
    from pimentodale.configuration.active_configuration import ActiveConfiguration

WATCH_SILENCE_TIMEOUT_MS: Final = 6_000.0
"""Time without any received byte after which a watch is reopened."""

BEHIND_GRACE_MS: Final = 500.0
"""How long the service may appear to be behind: a peer's update may arrive before the watch's.

A service that is behind for longer was restored."""


class Watcher:
    """Watches snapshot and folder in the key-value service."""

    __slots__ = (
        "_accept_jitter_ms",
        "_active_configuration",
        "_clock",
        "_host",
        "_is_watcher",
        "_log",
        "_rng",
        "_store",
        "active",
    )

    def __init__(
        self,
        store: KeyValueStore,
        active_configuration: ActiveConfiguration,
        clock: Clock,
        rng: random.Random,
        host: str,
        is_watcher: Callable[[], bool],
        accept_jitter_ms: float,
    ) -> None:
        self._store = store
        self._active_configuration = active_configuration
        self._clock = clock
        self._rng = rng
        self._host = host
        self._is_watcher = is_watcher
        self._accept_jitter_ms = accept_jitter_ms
        self._log = get_log("configuration")
        self.active = False

    async def watch(self, on_open: Callable[[], None]) -> StoreFault | None:
        """Read snapshot and folder, then follow changes and accept those of operators.

        Args:
            on_open: Called once the service has answered.

        Returns:
            Why it ended; `None` if this host is no longer a watcher.
        """
        read = await read_view(self._store)
        if read.is_error():
            return read.error
        on_open()
        view = read.ok
        await self._active_configuration.adopt(view.accepted, "store")
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
        """Check whether the service was restored to an older state, and write back if so."""
        read = await read_view(self._store)
        if read.is_error():
            return read.error
        if not self._active_configuration.is_ahead_of(read.ok.accepted):
            return None
        return await self._write_back(read.ok)

    async def _read_changes(self, view: FolderView, changed: asyncio.Event) -> StoreFault | None:
        """Keep the view up to date; reopen a watch that became silent."""
        while True:
            fault = await self._read_one_watch(view, changed)
            if fault is None or not fault.silent:
                return fault
            # An idle service looks like a silent connection, so this check must be cheap.
            if not await is_unchanged(self._store, view):
                return fault

    async def _read_one_watch(self, view: FolderView, changed: asyncio.Event) -> StoreFault | None:
        """Process one watch; activate a new snapshot at once."""
        start = view.revision + 1
        async for batch in self._store.watch(
            ACCEPTED_KEY, start, WATCH_SILENCE_TIMEOUT_MS, VIEW_END
        ):
            if batch.is_error():
                return batch.error
            if batch.ok.revision < view.revision:
                return StoreFault(False, "the service's revision ran backwards; reading anew")
            mod_revision = view.accepted_mod_revision
            if view.apply(batch.ok):
                changed.set()
            if view.accepted_mod_revision != mod_revision:
                await self._active_configuration.adopt(view.accepted, "store")
            if not self._is_watcher():
                return None
        return None

    async def _accept_changes(self, view: FolderView, changed: asyncio.Event) -> StoreFault | None:
        """Accept changes or write back whenever the view has changed."""
        while True:
            await changed.wait()
            # The random delay lets one watcher usually write first and the others see its write.
            await self._clock.sleep_ms(self._accept_jitter_ms * self._rng.random())
            changed.clear()
            if not self._active_configuration.is_ahead_of(view.accepted):
                fault = await self._accept(view)
            else:
                await self._clock.sleep_ms(BEHIND_GRACE_MS)
                fault = await self._write_back_or_accept(view)
            if fault is not None:
                return fault

    async def _write_back_or_accept(self, view: FolderView) -> StoreFault | None:
        """Write back if the service is still behind; accept changes otherwise."""
        if not self._active_configuration.is_ahead_of(view.accepted):
            return await self._accept(view)
        # A copy, as the watch keeps updating the view and the write-back must compare with the state
        # that it read.
        seen = msgspec.structs.replace(view, folder=dict(view.folder))
        return await self._write_back(seen)

    async def _write_back(self, view: FolderView) -> StoreFault | None:
        """Write the configuration in force back to the service."""
        snapshot = self._active_configuration.snapshot
        stored = view.accepted
        if stored.revision == snapshot.revision and not stored.has_same_content(snapshot):
            # Two diverged histories have the same revision; a higher one resolves it for every host.
            snapshot = msgspec.structs.replace(snapshot, revision=snapshot.revision + 1)
        self._log.warning(
            "The key-value service is behind; writing back the configuration in force.",
            stored=stored.revision,
            revision=snapshot.revision,
        )
        written = await write_back(self._store, view, snapshot)
        return written.error if written.is_error() else None

    async def _accept(self, view: FolderView) -> StoreFault | None:
        """Accept the folder's changes, if there are any."""
        snapshot, mod_revision = view.accepted, view.accepted_mod_revision
        store_revision = view.revision
        accepted = await self._active_configuration.evaluate(snapshot, view.texts())
        if accepted is None or view.accepted_mod_revision != mod_revision:
            # Another watcher accepted a change meanwhile; its update is processed next.
            return None
        following = Snapshot(
            revision=snapshot.revision + 1,
            store_revision=store_revision,
            files=accepted.files,
            problems=accepted.problems,
            accepted_by=self._host,
            accepted_wall_ms=self._clock.wall_ms(),
        )
        if following.has_same_content(snapshot):
            self._active_configuration.refusal = ""
            return None
        encoded = encode_snapshot(following)
        if len(encoded) > MAX_SNAPSHOT_BYTES:
            self._active_configuration.refuse(
                f"the folder comes to {len(encoded)} octets compressed, more than the"
                f" {MAX_SNAPSHOT_BYTES} that the key-value service holds; remove files"
            )
            return None
        self._active_configuration.refusal = ""
        reply = await write_snapshot(self._store, following, encoded, mod_revision)
        if reply.is_error():
            return reply.error
        if reply.ok.succeeded:
            await self._active_configuration.activate_accepted(following, accepted.configuration)
        return None
