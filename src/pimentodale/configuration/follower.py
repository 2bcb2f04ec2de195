"""Keeps a host on the newest accepted configuration, from the key-value service or from peers.

A few hosts of each failure domain watch the service; the others poll rarely and hear from peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.configuration.files import FileProblem
from pimentodale.configuration.folder_store import read_accepted, read_accepted_revision
from pimentodale.configuration.in_force import InForce
from pimentodale.configuration.snapshots import decode_snapshot
from pimentodale.configuration.watcher import Watcher
from pimentodale.logs import get_log

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.clients.key_value import KeyValueStore, StoreFault
    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Configuration

POLL_INTERVAL_MS: Final = 30_000.0
"""Mean time between the polls of a host that does not watch."""

ACCEPT_JITTER_MS: Final = 250.0
"""Longest wait of a watcher before it accepts a change."""

RETRY_MIN_MS: Final = 100.0
"""First wait after the service failed; it doubles up to `RETRY_MAX_MS`."""

RETRY_MAX_MS: Final = 1_600.0
"""Longest wait after the service failed."""

TURN_MS: Final = 500.0
"""How soon a host that waits for its next poll notices that it is to watch."""


class FollowerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /admin/configuration`."""

    host: str
    """Name of the host."""

    revision: int
    """Revision in force here."""

    store_revision: int
    """The service's revision that it was accepted from."""

    accepted_by: str
    """Host that accepted it."""

    accepted_wall_ms: float
    """When it was accepted, in ms since the Unix epoch."""

    in_force_wall_ms: float
    """Since when it is in force here, in ms since the Unix epoch."""

    source: str
    """Whence this host has it: `none`, `store`, `peer` or `self`."""

    files: list[str]
    """Names of the files in force."""

    problems: list[FileProblem]
    """Files of the folder that are not in force as they stand, and why."""

    watching: bool
    """Whether this host watches the service."""

    store_fault: str
    """Why the service could not be used last time; empty when it could."""

    refusal: str
    """Why nothing can be accepted at present; empty when it can."""


class Follower:
    """A host's configuration and the task that keeps it new."""

    __slots__ = (
        "_clock",
        "_host",
        "_in_force",
        "_is_watcher",
        "_log",
        "_poll_interval_ms",
        "_rng",
        "_store",
        "_store_fault",
        "_watcher",
    )

    def __init__(
        self,
        store: KeyValueStore,
        in_force: InForce,
        watcher: Watcher,
        clock: Clock,
        rng: random.Random,
        host: str,
        is_watcher: Callable[[], bool],
        poll_interval_ms: float,
    ) -> None:
        self._store = store
        self._in_force = in_force
        self._watcher = watcher
        self._clock = clock
        self._rng = rng
        self._host = host
        self._is_watcher = is_watcher
        self._poll_interval_ms = poll_interval_ms
        self._store_fault = ""
        self._log = get_log("configuration")

    def current(self) -> Configuration:
        """Return what is in force; its revision is 0 before anything was accepted."""
        return self._in_force.configuration

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each new configuration, and now if there is one already."""
        self._in_force.on_change(callback)

    def snapshot(self) -> bytes:
        """Return the encoded snapshot to give to a peer that has a lower revision."""
        return self._in_force.encoded

    async def offer(self, encoded: bytes) -> bool:
        """Take a peer's snapshot if its revision is higher.

        Args:
            encoded: What the peer's `snapshot` returned.

        Returns:
            Whether it is in force now.
        """
        decoded = decode_snapshot(encoded)
        if decoded.is_error():
            self._log.warning("A peer's snapshot is no good.", problem=decoded.error)
            return False
        return await self._in_force.adopt(decoded.ok, "peer")

    def status(self) -> FollowerStatus:
        """Return what operators ask for."""
        snapshot = self._in_force.snapshot
        return FollowerStatus(
            host=self._host,
            revision=snapshot.revision,
            store_revision=snapshot.store_revision,
            accepted_by=snapshot.accepted_by,
            accepted_wall_ms=snapshot.accepted_wall_ms,
            in_force_wall_ms=self._in_force.since_wall_ms,
            source=self._in_force.source,
            files=[file.name for file in snapshot.files],
            problems=snapshot.problems,
            watching=self._watcher.active,
            store_fault=self._store_fault,
            refusal=self._in_force.refusal,
        )

    async def run(self) -> None:
        """Follow for ever; run this as a task."""
        wait_ms = RETRY_MIN_MS
        while True:
            if self._is_watcher():
                fault = await self._watcher.watch(self._note_service_works)
            else:
                fault = await self._poll()
            if fault is None:
                wait_ms = RETRY_MIN_MS
                continue
            if self._store_fault == "":
                self._log.warning("The key-value service fails.", problem=fault.message)
            else:
                wait_ms = min(RETRY_MAX_MS, 2 * wait_ms)
            self._store_fault = fault.message
            await self._clock.sleep_ms(wait_ms * (0.5 + self._rng.random()))

    async def refresh(self) -> StoreFault | None:
        """Look once at the service, and take its snapshot if it is newer.

        Returns:
            Why that could not be done, if it couldn't.
        """
        stored = await read_accepted_revision(self._store)
        if stored.is_error():
            return stored.error
        if stored.ok < self.current().revision:
            return await self._watcher.write_back_if_behind()
        if stored.ok > self.current().revision:
            snapshot = await read_accepted(self._store)
            if snapshot.is_error():
                return snapshot.error
            await self._in_force.adopt(snapshot.ok, "store")
        return None

    def _note_service_works(self) -> None:
        """Note that the service answers."""
        self._store_fault = ""

    async def _poll(self) -> StoreFault | None:
        """Look once whether the service says another revision, then wait for the next time."""
        fault = await self.refresh()
        if fault is not None:
            return fault
        self._note_service_works()
        await self._wait_for_poll()
        return None

    async def _wait_for_poll(self) -> None:
        """Wait for the next poll, or until this host is to watch."""
        end_ms = self._clock.now_ms() + self._poll_interval_ms * (0.5 + self._rng.random())
        while self._clock.now_ms() < end_ms and not self._is_watcher():
            await self._clock.sleep_ms(min(TURN_MS, end_ms - self._clock.now_ms()))


def create_follower(
    store: KeyValueStore,
    clock: Clock,
    rng: random.Random,
    host: str,
    is_watcher: Callable[[], bool],
    poll_interval_ms: float = POLL_INTERVAL_MS,
    accept_jitter_ms: float = ACCEPT_JITTER_MS,
) -> Follower:
    """Create a host's follower; nothing happens before its `run`.

    Args:
        store: The key-value service.
        clock: Waits and dates.
        rng: Spreads the hosts' polls and retries.
        host: Name of this host.
        is_watcher: Whether this host is one of the few that watch; asked again all the time.
        poll_interval_ms: Mean time between polls of a host that does not watch.
        accept_jitter_ms: Longest wait before this host accepts a change.

    Returns:
        The follower.
    """
    in_force = InForce(clock)
    watcher = Watcher(store, in_force, clock, rng, host, is_watcher, accept_jitter_ms)
    return Follower(store, in_force, watcher, clock, rng, host, is_watcher, poll_interval_ms)
