"""Keeps a host on the newest accepted configuration, obtained from the key-value service or peers.

A few hosts of each failure domain watch the service; the others poll it rarely and learn of
changes from peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.configuration.active_configuration import ActiveConfiguration
from pimentodale.configuration.files import FileProblem
from pimentodale.configuration.folder_store import read_accepted, read_accepted_revision
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
"""Mean time between polls of a host that is not a watcher."""

ACCEPT_JITTER_MS: Final = 250.0
"""Maximum random delay before a watcher accepts a change."""

RETRY_MIN_MS: Final = 100.0
"""Initial wait after a failure of the service; it doubles up to `RETRY_MAX_MS`."""

RETRY_MAX_MS: Final = 1_600.0
"""Maximum wait after a failure of the service."""

WATCHER_CHECK_INTERVAL_MS: Final = 500.0
"""Interval at which a host that waits for its next poll checks whether it became a watcher."""


class FollowerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /admin/configuration`."""

    host: str
    """Name of the host."""

    revision: int
    """Revision in force on this host."""

    store_revision: int
    """The service's revision at which the folder was read for it."""

    accepted_by: str
    """Host that accepted it."""

    accepted_wall_ms: float
    """When it was accepted, in ms since the Unix epoch."""

    in_force_wall_ms: float
    """When it came into force on this host, in ms since the Unix epoch."""

    source: str
    """Where this host obtained it: `none`, `store`, `peer` or `self`."""

    files: list[str]
    """Names of the files in force."""

    problems: list[FileProblem]
    """Files of the folder whose current text is not in force, and why."""

    watching: bool
    """Whether this host watches the service."""

    store_fault: str
    """Why the last use of the service failed; empty if it succeeded."""

    refusal: str
    """Why no change can be accepted at present; empty if changes can be accepted."""


class Follower:
    """Holds a host's configuration and keeps it up to date."""

    __slots__ = (
        "_active_configuration",
        "_clock",
        "_host",
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
        active_configuration: ActiveConfiguration,
        watcher: Watcher,
        clock: Clock,
        rng: random.Random,
        host: str,
        is_watcher: Callable[[], bool],
        poll_interval_ms: float,
    ) -> None:
        self._store = store
        self._active_configuration = active_configuration
        self._watcher = watcher
        self._clock = clock
        self._rng = rng
        self._host = host
        self._is_watcher = is_watcher
        self._poll_interval_ms = poll_interval_ms
        self._store_fault = ""
        self._log = get_log("configuration")

    def current(self) -> Configuration:
        """Return the configuration in force; its revision is 0 until one is accepted."""
        return self._active_configuration.configuration

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each new configuration, and immediately if one is in force."""
        self._active_configuration.on_change(callback)

    def snapshot(self) -> bytes:
        """Return the encoded snapshot for a peer that has a lower revision."""
        return self._active_configuration.encoded

    async def offer(self, encoded: bytes) -> bool:
        """Adopt a peer's snapshot if its revision is higher.

        Args:
            encoded: Encoded snapshot of the peer, as returned by its `snapshot`.

        Returns:
            Whether it is in force now.
        """
        decoded = decode_snapshot(encoded)
        if decoded.is_error():
            self._log.warning("A peer's snapshot is invalid.", problem=decoded.error)
            return False
        return await self._active_configuration.adopt(decoded.ok, "peer")

    def status(self) -> FollowerStatus:
        """Return the status for operators."""
        snapshot = self._active_configuration.snapshot
        return FollowerStatus(
            host=self._host,
            revision=snapshot.revision,
            store_revision=snapshot.store_revision,
            accepted_by=snapshot.accepted_by,
            accepted_wall_ms=snapshot.accepted_wall_ms,
            in_force_wall_ms=self._active_configuration.since_wall_ms,
            source=self._active_configuration.source,
            files=[file.name for file in snapshot.files],
            problems=snapshot.problems,
            watching=self._watcher.active,
            store_fault=self._store_fault,
            refusal=self._active_configuration.refusal,
        )

    async def run(self) -> None:
        """Follow the configuration until cancelled; run this as a task."""
        wait_ms = RETRY_MIN_MS
        while True:
            if self._is_watcher():
                fault = await self._watcher.watch(self._clear_store_fault)
            else:
                fault = await self._poll()
            if fault is None:
                wait_ms = RETRY_MIN_MS
                continue
            if self._store_fault == "":
                self._log.warning("The key-value service failed.", problem=fault.message)
            else:
                wait_ms = min(RETRY_MAX_MS, 2 * wait_ms)
            self._store_fault = fault.message
            await self._clock.sleep_ms(wait_ms * (0.5 + self._rng.random()))

    async def refresh(self) -> StoreFault | None:
        """Poll the service once, and adopt its snapshot if it is newer.

        Returns:
            The fault, or `None` on success.
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
            await self._active_configuration.adopt(snapshot.ok, "store")
        return None

    def _clear_store_fault(self) -> None:
        """Record that the service is reachable."""
        self._store_fault = ""

    async def _poll(self) -> StoreFault | None:
        """Poll the service once, then wait for the next poll."""
        fault = await self.refresh()
        if fault is not None:
            return fault
        self._clear_store_fault()
        await self._wait_for_poll()
        return None

    async def _wait_for_poll(self) -> None:
        """Wait for the next poll, or until this host becomes a watcher."""
        end_ms = self._clock.now_ms() + self._poll_interval_ms * (0.5 + self._rng.random())
        while self._clock.now_ms() < end_ms and not self._is_watcher():
            await self._clock.sleep_ms(
                min(WATCHER_CHECK_INTERVAL_MS, end_ms - self._clock.now_ms())
            )


def create_follower(
    store: KeyValueStore,
    clock: Clock,
    rng: random.Random,
    host: str,
    is_watcher: Callable[[], bool],
    poll_interval_ms: float = POLL_INTERVAL_MS,
    accept_jitter_ms: float = ACCEPT_JITTER_MS,
) -> Follower:
    """Create a host's follower; it is inactive until `run`.

    Args:
        store: The key-value service.
        clock: Source of time and delays.
        rng: Randomises the times of polls and retries.
        host: Name of this host.
        is_watcher: Returns whether this host is a watcher; evaluated repeatedly.
        poll_interval_ms: Mean time between polls of a host that is not a watcher.
        accept_jitter_ms: Maximum random delay before this host accepts a change.

    Returns:
        The follower.
    """
    active_configuration = ActiveConfiguration(clock)
    watcher = Watcher(store, active_configuration, clock, rng, host, is_watcher, accept_jitter_ms)
    return Follower(
        store, active_configuration, watcher, clock, rng, host, is_watcher, poll_interval_ms
    )
