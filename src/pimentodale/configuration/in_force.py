"""What is in force on this host; it only ever moves to a higher revision."""

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


class InForce:
    """The newest snapshot that this host knows, merged."""

    __slots__ = (
        "_callbacks",
        "_check",
        "_clock",
        "_log",
        "_turn",
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
        # Checking runs in a thread so that streams go on meanwhile; one at a time.
        self._turn = asyncio.Lock()
        self._log = get_log("configuration")
        self.configuration = Configuration()
        self.snapshot = Snapshot()
        self.encoded = encode_snapshot(self.snapshot)
        self.since_wall_ms = 0.0
        self.source = "none"
        self.refusal = ""

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call `callback` with each new configuration, and now if there is one already."""
        self._callbacks.append(callback)
        if self.configuration.revision:
            callback(self.configuration)

    def is_ahead_of(self, stored: Snapshot) -> bool:
        """Whether the service says less than what is in force, as after it was restored."""
        if stored.revision != self.snapshot.revision:
            return stored.revision < self.snapshot.revision
        return stored.folder_pending or not stored.says_the_same(self.snapshot)

    async def adopt(self, snapshot: Snapshot, source: str) -> bool:
        """Move to a snapshot if its revision is higher.

        Args:
            snapshot: From the service or a peer.
            source: Which of them.

        Returns:
            Whether it is in force now.
        """
        if snapshot.revision <= self.snapshot.revision:
            return False
        async with self._turn:
            merged = await asyncio.to_thread(merge_accepted, snapshot.files, self._check)
            if merged.is_error():
                self.refuse(f"this version can't take the files in force: {merged.error}")
                return False
            return self._move(snapshot, merged.ok, source)

    async def put_in_force(self, snapshot: Snapshot, whole: Configuration) -> None:
        """Move to a snapshot that this host accepted itself, if nothing higher came meanwhile."""
        async with self._turn:
            self._move(snapshot, whole, "self")

    async def evaluate(self, snapshot: Snapshot, texts: Mapping[str, str]) -> Acceptance | None:
        """Decide which of the folder's changes are taken; `None` if that can't be decided."""
        async with self._turn:
            result = await asyncio.to_thread(accept_folder, snapshot.files, texts, self._check)
        if result.is_error():
            self.refuse(f"this version can't take the files in force: {result.error}")
            return None
        return result.ok

    def refuse(self, reason: str) -> None:
        """Note why nothing can be accepted."""
        if reason != self.refusal:
            self._log.error("Changes can't be accepted.", reason=reason)
        self.refusal = reason

    def _move(self, snapshot: Snapshot, whole: Configuration, source: str) -> bool:
        """Replace what is in force, and only by a higher revision."""
        if snapshot.revision <= self.snapshot.revision:
            return False
        self.snapshot = msgspec.structs.replace(snapshot, folder_pending=False)
        self.encoded = encode_snapshot(self.snapshot)
        self.configuration = msgspec.structs.replace(whole, revision=snapshot.revision)
        self.since_wall_ms = self._clock.wall_ms()
        self.source = source
        self._log.info("A revision is in force.", revision=snapshot.revision, source=source)
        for problem in snapshot.problems:
            self._log.warning("A file is not in force as it stands.", problem=str(problem))
        for callback in self._callbacks:
            self._tell(callback)
        return True

    def _tell(self, callback: Callable[[Configuration], None]) -> None:
        """Call one callback; its failure doesn't keep the others from the news."""
        try:
            callback(self.configuration)
        except Exception:
            self._log.exception("A part failed on the new configuration.")
