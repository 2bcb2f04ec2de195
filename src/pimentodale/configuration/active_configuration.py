"""The configuration in force on this host; its revision only increases."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from pimentodale.configuration.acceptance import Acceptance, accept_folder, merge_accepted
from pimentodale.configuration.documents import Configuration
from pimentodale.configuration.files import create_file_check
from pimentodale.configuration.snapshots import Snapshot, encode_snapshot
from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pimentodale.clock import Clock


class ActiveConfiguration:
    """Holds the newest accepted snapshot on this host and its merged configuration."""

    __slots__ = (
        "_callbacks",
        "_check",
        "_check_lock",
        "_clock",
        "_log",
        "configuration",
        "encoded",
        "refusal",
        "since_wall_ms",
        "snapshot",
        "source",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._check = create_file_check()
        # Checks run in a thread so that they don't block streams, one at a time.
        self._check_lock = asyncio.Lock()
        self._log = get_log("configuration")
        self.configuration = Configuration()
        self.snapshot = Snapshot()
        self.encoded = encode_snapshot(self.snapshot)
        self.since_wall_ms = 0.0
        self.source = "none"
        self.refusal = ""

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each new configuration, and immediately if one is in force."""
        self._callbacks.append(callback)
        if self.configuration.revision:
            callback(self.configuration)

    def is_ahead_of(self, stored: Snapshot) -> bool:
        """Return whether the stored snapshot is older, pending, or different at the same revision."""
        if stored.revision != self.snapshot.revision:
            return stored.revision < self.snapshot.revision
        return stored.folder_pending or not stored.has_same_content(self.snapshot)

    async def adopt(self, snapshot: Snapshot, source: str) -> bool:
        """Activate a snapshot if its revision is higher.

        Args:
            snapshot: Snapshot from the service or a peer.
            source: `store` or `peer`.

        Returns:
            Whether it is in force now.
        """
        if snapshot.revision <= self.snapshot.revision:
            return False
        async with self._check_lock:
            merged = await asyncio.to_thread(merge_accepted, snapshot.files, self._check)
            if merged.is_error():
                self.refuse(f"this version can't take the files in force: {merged.error}")
                return False
            return self._activate(snapshot, merged.ok, source)

    async def activate_accepted(self, snapshot: Snapshot, whole: Configuration) -> None:
        """Activate a snapshot accepted by this host, unless a higher revision is in force."""
        async with self._check_lock:
            self._activate(snapshot, whole, "self")

    async def evaluate(self, snapshot: Snapshot, texts: Mapping[str, str]) -> Acceptance | None:
        """Decide which of the folder's changes are accepted; `None` if a file in force is rejected."""
        async with self._check_lock:
            result = await asyncio.to_thread(accept_folder, snapshot.files, texts, self._check)
        if result.is_error():
            self.refuse(f"this version can't take the files in force: {result.error}")
            return None
        return result.ok

    def refuse(self, reason: str) -> None:
        """Record and log why no change can be accepted."""
        if reason != self.refusal:
            self._log.error("Configuration changes can't be accepted.", reason=reason)
        self.refusal = reason

    def _activate(self, snapshot: Snapshot, whole: Configuration, source: str) -> bool:
        """Replace the configuration in force if the revision is higher."""
        if snapshot.revision <= self.snapshot.revision:
            return False
        self.snapshot = msgspec.structs.replace(snapshot, folder_pending=False)
        self.encoded = encode_snapshot(self.snapshot)
        self.configuration = msgspec.structs.replace(whole, revision=snapshot.revision)
        self.since_wall_ms = self._clock.wall_ms()
        self.source = source
        self._log.info(
            "A configuration revision is now in force.", revision=snapshot.revision, source=source
        )
        for problem in snapshot.problems:
            self._log.warning("The current text of a file is not in force.", problem=str(problem))
        for callback in self._callbacks:
            self._notify(callback)
        return True

    def _notify(self, callback: Callable[[Configuration], None]) -> None:
        """Call one callback and log its exception, so that the others are still called."""
        try:
            callback(self.configuration)
        except Exception:
            self._log.exception("A callback failed on the new configuration.")
