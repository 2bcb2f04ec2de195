"""A site of virtual hosts that share crash entries, with a flood that has no network."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final
from unittest.mock import patch

from features.support.virtual_time import VirtualClock, VirtualTimeLoop
from pimentodale.background import create_background_tasks
from pimentodale.peers.membership import EntryUpdate
from pimentodale.quarantine import crash_batches, crash_record, crash_sharing
from pimentodale.quarantine.crash_record import create_crash_record, pack_crashes
from pimentodale.quarantine.crash_sharing import (
    BATCH_TOPIC,
    CRASH_TOPIC,
    create_run_later,
    share_crashes,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from pimentodale.quarantine.crash_record import CrashEntry, CrashRecord

FLOOD_MS: Final = 5.0
"""Time until a published value reaches the other hosts."""


class CrashSite:
    """Crash records of virtual hosts, and counts of the work of sharing them."""

    def __init__(self, hosts: int, seed: int, older: frozenset[int] = frozenset()) -> None:
        self.loop = VirtualTimeLoop()
        self.clock = VirtualClock(self.loop)
        self.rng = random.Random(seed)
        self.values: Counter[str] = Counter()
        self.merges = 0
        self.sizes_bytes: list[int] = []
        self.encodings_on_merge = 0
        self.lines: list[Any] = []
        self.partitioned: set[int] = set()
        self.state: dict[tuple[str, str, str], tuple[EntryUpdate, float]] = {}
        self.subscribers: list[dict[str, Callable[[EntryUpdate], None]]] = []
        self.records: list[CrashRecord] = []
        self._background = create_background_tasks()
        self._is_merging = False
        for number in range(hosts):
            self._add_host(number, is_older=number in older)

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine to its end and keep the log lines."""
        # Other steps set the level of all loggers to warnings, before or after these modules' first line.
        log: Any = SimpleNamespace(info=self._log_line, warning=self._log_line)
        with (
            patch.object(crash_record, "_log", log),
            patch.object(crash_sharing, "_log", log),
            patch.object(crash_batches, "_log", log),
            patch.object(crash_sharing, "pack_crashes", self._pack),
            patch.object(crash_batches, "pack_crashes", self._pack),
        ):
            self.loop.run_until_complete(work)

    def publish(self, number: int, topic: str, key: str, value: bytes, ttl_ms: float) -> None:
        """Publish a value of a host; it reaches the others soon, and stays in the shared state."""
        name = f"h{number}"
        update = EntryUpdate(topic, key, name, value, int(ttl_ms))
        self.values[name] += 1
        self.sizes_bytes.append(len(value))
        self.state[topic, key, name] = (update, self.clock.now_ms() + ttl_ms)
        self.loop.call_later(FLOOD_MS / 1_000.0, self._deliver, number, update)

    def list_unexpired(self) -> list[EntryUpdate]:
        """Return the values of the shared state that have not expired."""
        now_ms = self.clock.now_ms()
        return [update for update, expires_ms in self.state.values() if expires_ms > now_ms]

    def receive(self, number: int, update: EntryUpdate) -> None:
        """Let one host receive a value."""
        callback = self.subscribers[number].get(update.topic)
        if callback is None:
            return
        self._is_merging = True
        callback(update)
        self._is_merging = False

    def close(self) -> None:
        """Cancel what still runs."""
        self._background.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.0))
        self.loop.close()

    def _add_host(self, number: int, *, is_older: bool) -> None:
        """Add a host; an older one knows single entries only, and publishes each at once."""
        record = create_crash_record(self.clock)
        receive = record.receive
        subscribers: dict[str, Callable[[EntryUpdate], None]] = {}

        def publish(topic: str, key: str, value: bytes, ttl_ms: float, **_: Any) -> None:
            if is_older and topic == BATCH_TOPIC:
                return
            self.publish(number, topic, key, value, ttl_ms)

        def subscribe(topic: str, callback: Callable[[EntryUpdate], None]) -> None:
            if topic == BATCH_TOPIC and is_older:
                return
            subscribers[topic] = callback

        def count_and_receive(entry: CrashEntry, told_by: str) -> None:
            self.merges += 1
            receive(entry, told_by)

        record_with_counts: Any = SimpleNamespace(
            **{name: getattr(record, name) for name in dir(record) if not name.startswith("_")}
        )
        record_with_counts.receive = count_and_receive
        peers: Any = SimpleNamespace(publish=publish, subscribe=subscribe)
        if is_older:

            def publish_single(entry: CrashEntry) -> None:
                publish(CRASH_TOPIC, entry.fingerprint, pack_crashes(entry), 120_000.0)

            record.subscribe(publish_single)
            subscribe(
                CRASH_TOPIC,
                lambda update: crash_sharing.merge_crashes(
                    record_with_counts, update.value, update.owner
                ),
            )
        else:
            run_later = create_run_later(self.clock, self._background)
            share_crashes(
                record_with_counts, peers, lambda *_: None, f"h{number}", run_later=run_later
            )
        self.records.append(record)
        self.subscribers.append(subscribers)

    def _deliver(self, sender: int, update: EntryUpdate) -> None:
        """Let all other hosts receive a value."""
        for number in range(len(self.records)):
            if number != sender and not self.partitioned & {number, sender}:
                self.receive(number, update)

    def _log_line(self, event: str, **values: Any) -> None:
        """Keep a log line."""
        self.lines.append({"event": event, **values})

    def _pack(self, entry: CrashEntry) -> bytes:
        """Encode an entry, and count the encodings that a received value causes."""
        self.encodings_on_merge += self._is_merging
        return pack_crashes(entry)
