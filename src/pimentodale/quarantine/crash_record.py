"""Crashes attributed to requests, from all hosts; a request with too many is refused.

Entries of one request merge to the same result in any order, so they can be exchanged both between
peers and through the store, which serves hosts that start later or are partitioned from the others.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.logs import get_log
from pimentodale.quarantine.prompt_parts import is_part_key

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from pimentodale.clock import Clock

CONVICTING_CRASHES: Final = 3
"""Crashes shortly after the start of a request after which it is refused. A harmless request may
be hit by two unrelated crashes."""

CONVICTING_LATE_CRASHES: Final = 5
"""Total crashes after which a request is refused when some of the replicas had run it for longer.
The limit is higher because a long-running request is present at more crashes by chance."""

REPEATED_CRASHES: Final = 2
"""Crashes from which on a request that is not refused may be the cause of another one's: a host that
has started anew may lack its further crashes. Every request on a crashing replica has one."""

CRASH_RETENTION_MS: Final = 600_000.0
"""How long crashes are kept after the last one; the maximum lease of the platform's store."""

MAX_REQUESTS: Final = 5_000
"""Maximum number of entries; the oldest are evicted first."""

MAX_REQUESTS_OF_PART: Final = 2
"""Maximum number of requests kept for a part of prompts."""

MAX_CRASHES: Final = 32
"""Maximum number of crashes of each kind kept for a request; the oldest are dropped first."""

MAX_LOGGED_CRASHES: Final = 8
"""Maximum number of crashes named in the line on entries that other hosts published."""

_log = get_log("crashes")


class CrashEntry(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of one request, by name. All hosts that observe a crash give it the same name."""

    fingerprint: str
    """Fingerprint of the request."""

    fresh: list[str] = []
    """Crashes of replicas that had just started to run the request."""

    late: list[str] = []
    """Crashes of replicas that had been running the request for longer."""

    cleared: list[str] = []
    """Crashes that no longer count because the request has since completed elsewhere."""

    most_events: int = 0
    """Most events of a send under which a replica crashed."""

    requests: list[str] = []
    """For a part of prompts, fingerprints of some requests under which replicas crashed."""

    @property
    def open_crashes(self) -> set[str]:
        """Crashes that have not been cleared."""
        return {*self.fresh, *self.late}.difference(self.cleared)

    @property
    def is_convicted(self) -> bool:
        """Whether the request has enough crashes to be refused."""
        fresh = set(self.fresh).difference(self.cleared)
        enough_late = len(self.open_crashes) >= CONVICTING_LATE_CRASHES
        return len(fresh) >= CONVICTING_CRASHES or enough_late


@dataclass(slots=True)
class _ReceivedChanges:
    """Changes by merges that are not logged yet."""

    entries: int = 0
    """Number of changed entries."""

    crashes: set[str] = field(default_factory=set)
    """Names of some of their crashes."""


class CrashRecord:
    """Crash entries of one host, by fingerprint."""

    __slots__ = (
        "_clock",
        "_convicted",
        "_entries",
        "_expire_ms",
        "_log_later",
        "_received",
        "_receivers",
        "_repeated",
        "_subscribers",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, CrashEntry] = {}
        self._convicted: set[str] = set()
        self._repeated: set[str] = set()
        self._expire_ms: dict[str, float] = {}
        self._subscribers: list[Callable[[CrashEntry], None]] = []
        self._receivers: list[Callable[[CrashEntry], None]] = []
        self._received = _ReceivedChanges()
        self._log_later: Callable[[Callable[[], None]], None] | None = None

    def aggregate_log(self, log_later: Callable[[Callable[[], None]], None]) -> None:
        """Log entries with a single crash that other hosts published in one line for all.

        Args:
            log_later: Calls the function that writes the line after the interval of the lines.
        """
        self._log_later = log_later

    def subscribe(self, callback: Callable[[CrashEntry], None]) -> None:
        """Register a callback for entries that this host changed, or convicted by a merge."""
        self._subscribers.append(callback)

    def subscribe_received(self, callback: Callable[[CrashEntry], None]) -> None:
        """Register a callback for entries that have changed by a merge with another host's."""
        self._receivers.append(callback)

    def find(self, fingerprint: str) -> CrashEntry | None:
        """Return the unexpired entry of a request, if there is one."""
        if self._expire_ms.get(fingerprint, 0.0) > self._clock.now_ms():
            return self._entries[fingerprint]
        self._remove(fingerprint)
        return None

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether a request has to be refused."""
        entry = self.find(fingerprint)
        return entry is not None and entry.is_convicted

    def list_convicted(self) -> list[str]:
        """Return the fingerprints of the convicted requests, and the keys of the convicted parts."""
        return [fingerprint for fingerprint in list(self._convicted) if self.find(fingerprint)]

    def open_crashes(self, fingerprint: str) -> set[str]:
        """Return the names of a request's crashes that have not been cleared."""
        entry = self.find(fingerprint)
        return set() if entry is None else entry.open_crashes

    def is_doubtful(self, fingerprint: str, unproved: Iterable[str] = ()) -> bool:
        """Whether a request is refused for crashes that may not be its own.

        Args:
            fingerprint: Fingerprint of the request.
            unproved: Names of crashes that may not have happened.
        """
        if not self.is_convicted(fingerprint):
            return False
        doubtful = set(unproved)
        others = self._convicted if is_part_key(fingerprint) else self._convicted | self._repeated
        for other in map(self.find, others - {fingerprint}):
            if other is not None:
                doubtful |= other.open_crashes
        entry = self._entries[fingerprint]
        cleared = [*entry.cleared, *doubtful]
        return not CrashEntry(fingerprint, entry.fresh, entry.late, cleared).is_convicted

    def has_open_crash(self, fingerprint: str) -> bool:
        """Whether a request has a crash that has not been cleared."""
        entry = self.find(fingerprint)
        return entry is not None and bool(entry.open_crashes)

    def may_convict(self, fingerprint: str, additional: int) -> bool:
        """Whether additional crashes could convict a request that is not convicted yet."""
        entry = self.find(fingerprint)
        if entry is None:
            return additional >= CONVICTING_CRASHES
        return not entry.is_convicted and len(entry.open_crashes) + additional >= CONVICTING_CRASHES

    def ms_since_change(self, fingerprint: str) -> float:
        """Return the time since the entry of a request last changed; 0 when there is none."""
        if self.find(fingerprint) is None:
            return 0.0
        return self._clock.now_ms() - self._expire_ms[fingerprint] + CRASH_RETENTION_MS

    def count_convicted(self) -> int:
        """Return the number of convicted requests."""
        return sum(1 for fingerprint in list(self._entries) if self.is_convicted(fingerprint))

    def most_events(self, fingerprint: str) -> int:
        """Return the most events of a send of a request under which a replica crashed."""
        entry = self.find(fingerprint)
        return 0 if entry is None else entry.most_events

    def strike(
        self, fingerprint: str, crash: str, *, is_fresh: bool, events: int = 0, request: str = ""
    ) -> None:
        """Attribute a crash to a request.

        Args:
            fingerprint: Fingerprint of the request, or the key of a part of its prompt.
            crash: Name of the crash, the same on every host.
            is_fresh: Whether the replica had just started to run the request.
            events: Number of events that it had written.
            request: For a part, the fingerprint of the request.
        """
        fresh, late = ([crash], []) if is_fresh else ([], [crash])
        requests = [request] if request else []
        self._apply(CrashEntry(fingerprint, fresh, late, [], events, requests), told_by="")

    def clear(self, fingerprint: str, kept: Collection[str] = ()) -> None:
        """Clear the crashes of a request that has completed: it did not cause them.

        Args:
            fingerprint: Fingerprint of the request.
            kept: Names of crashes that still count, as they occurred in the attempt that has
                completed.
        """
        entry = self.find(fingerprint)
        if entry is None or not entry.open_crashes.difference(kept):
            return
        cleared = sorted(entry.open_crashes.difference(kept))
        self._apply(CrashEntry(fingerprint, cleared=cleared), told_by="")

    def withdraw(self, fingerprint: str, crash: str) -> None:
        """Withdraw a crash that did not happen.

        Args:
            fingerprint: Fingerprint of the request.
            crash: Name of the crash.
        """
        entry = self.find(fingerprint)
        if entry is None or crash not in entry.open_crashes:
            return
        self._apply(CrashEntry(fingerprint, cleared=[crash]), told_by="")

    def receive(self, entry: CrashEntry, told_by: str) -> None:
        """Merge an entry from another host.

        Args:
            entry: The entry.
            told_by: Source of the entry, for the log.
        """
        self._apply(entry, told_by)

    def _apply(self, entry: CrashEntry, told_by: str) -> None:
        """Merge an entry; notify the subscribers of changes that other hosts may not know."""
        known = self.find(entry.fingerprint)
        if known is not None and has_all_of(known, entry):
            # No other host has to know `most_events` before the next crash.
            if entry.most_events > known.most_events:
                self._entries[entry.fingerprint] = msgspec.structs.replace(
                    known, most_events=entry.most_events
                )
            return
        merged = entry if known is None else _merge(known, entry)
        if merged == known:
            return
        if known is not None and merged == msgspec.structs.replace(
            known, most_events=merged.most_events
        ):
            # No other host has to know it before the next crash.
            self._entries[entry.fingerprint] = merged
            return
        if known is None and len(self._entries) >= MAX_REQUESTS:
            self._remove(next(iter(self._entries)))
        self._entries[entry.fingerprint] = merged
        if merged.is_convicted:
            self._convicted.add(entry.fingerprint)
        else:
            self._convicted.discard(entry.fingerprint)
        if len(merged.open_crashes) >= REPEATED_CRASHES and not is_part_key(entry.fingerprint):
            self._repeated.add(entry.fingerprint)
        else:
            self._repeated.discard(entry.fingerprint)
        self._expire_ms[entry.fingerprint] = self._clock.now_ms() + CRASH_RETENTION_MS
        self._log_change(merged, told_by)
        was_convicted = known is not None and known.is_convicted
        # Entries of several hosts may convict only together, which the sender does not know.
        is_news = merged.is_convicted and not was_convicted and not entry.is_convicted
        if is_news or not told_by:
            for callback in self._subscribers:
                callback(merged)
        if told_by:
            for callback in self._receivers:
                callback(merged)

    def _log_change(self, entry: CrashEntry, told_by: str) -> None:
        """Log a changed entry, or count it if it has a single crash and another host published it."""
        crashes = {*entry.fresh, *entry.late}
        if told_by and len(crashes) < REPEATED_CRASHES and self._log_later is not None:
            received = self._received
            received.entries += 1
            if len(received.crashes) < MAX_LOGGED_CRASHES:
                received.crashes |= crashes
            if received.entries == 1:
                self._log_later(self._log_received)
            return
        _log.info(
            "The crash entry of a request has changed.",
            fingerprint=entry.fingerprint,
            crashes=sorted(entry.open_crashes),
            late=len(entry.late),
            most_events=entry.most_events,
            cleared=len(entry.cleared),
            convicted=entry.is_convicted,
            told_by=told_by,
        )

    def _log_received(self) -> None:
        """Log the changes by merges since the last such line."""
        received, self._received = self._received, _ReceivedChanges()
        _log.info(
            "Crash entries with a single crash have changed by other hosts' word.",
            entries=received.entries,
            crashes=sorted(received.crashes),
        )

    def _remove(self, fingerprint: str) -> None:
        """Remove the entry of a request, if there is one."""
        self._entries.pop(fingerprint, None)
        self._expire_ms.pop(fingerprint, None)
        self._convicted.discard(fingerprint)
        self._repeated.discard(fingerprint)


def crash_name(replica_id: str, started_ms: int) -> str:
    """Return the name of the crash that ends one run of a replica."""
    return f"{replica_id}/{started_ms}"


def create_crash_record(clock: Clock) -> CrashRecord:
    """Return an empty crash record."""
    return CrashRecord(clock)


def fingerprint_of(path: str, workspace: str | None, body: bytes) -> str:
    """Return a fingerprint that is the same when a client sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (path.encode(), (workspace or "").encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def pack_crashes(entry: CrashEntry) -> bytes:
    """Encode an entry as MessagePack."""
    return msgspec.msgpack.encode(entry)


def unpack_crashes(octets: bytes) -> CrashEntry | None:
    """Decode an entry, or return `None` when the data is malformed."""
    try:
        return msgspec.msgpack.decode(octets, type=CrashEntry)
    except UNREADABLE:
        return None


def has_all_crashes(entries: Iterable[bytes], entry: CrashEntry) -> bool:
    """Return whether encoded entries of a request together hold all that another one tells of crashes."""
    known = CrashEntry(entry.fingerprint)
    for each in map(unpack_crashes, entries):
        if each is not None:
            known = _merge(known, each)
    return not any(
        (
            set(entry.fresh).difference(known.fresh),
            set(entry.late).difference(known.late),
            set(entry.cleared).difference(known.cleared),
        )
    )


def has_all_of(entry: CrashEntry, other: CrashEntry) -> bool:
    """Return whether a merge with another entry of the request would change at most `most_events`."""
    pairs = (
        (entry.fresh, other.fresh),
        (entry.late, other.late),
        (entry.cleared, other.cleared),
        (entry.requests, other.requests),
    )
    return all(name in names for names, others in pairs for name in others)


def _merge(one: CrashEntry, other: CrashEntry) -> CrashEntry:
    """Return the union of two entries of a request; items of `one` keep their order."""
    return CrashEntry(
        one.fingerprint,
        _union(one.fresh, other.fresh),
        _union(one.late, other.late),
        _union(one.cleared, other.cleared),
        max(one.most_events, other.most_events),
        sorted({*one.requests, *other.requests})[:MAX_REQUESTS_OF_PART],
    )


def _union(known: list[str], others: Iterable[str]) -> list[str]:
    """Return the names of both without duplicates, limited to the newest `MAX_CRASHES`."""
    return list(dict.fromkeys([*known, *others]))[-MAX_CRASHES:]
