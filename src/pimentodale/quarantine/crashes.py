"""Crashes held against requests, whoever saw them: after a few the request is refused.

What hosts know of one request merges into the same entry in any order, so it may travel by any way: between
peers at once, and through the store for hosts that start later or that other hosts can't reach.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock

CONVICTING_CRASHES: Final = 3
"""Crashes of replicas that had only begun to run a request after which it is refused: two may befall an
innocent one on a bad day."""

CONVICTING_LATE_CRASHES: Final = 5
"""The same where some of the replicas had run it for a while, as a lasting request is at more crashes by
chance."""

CRASH_RETENTION_MS: Final = 600_000.0
"""How long crashes are held against a request after the last one; the longest lease of the platform's store."""

MAX_REQUESTS: Final = 5_000
"""Requests that are remembered; the oldest go first."""

MAX_CRASHES: Final = 32
"""Crashes of each sort that are remembered of a request; the oldest go first."""

_log = get_log("crashes")


class CrashEntry(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one request; crashes are named alike by all hosts that saw them."""

    fingerprint: str
    """The request."""

    fresh: list[str] = []
    """Crashes of replicas that had only begun to run it."""

    late: list[str] = []
    """Crashes of replicas that had run it for a while."""

    cleared: list[str] = []
    """Crashes before the request ran to its end elsewhere; they count no more."""

    @property
    def open_crashes(self) -> set[str]:
        """Crashes that count."""
        return {*self.fresh, *self.late}.difference(self.cleared)

    @property
    def is_convicted(self) -> bool:
        """Whether the request is refused."""
        fresh = set(self.fresh).difference(self.cleared)
        enough_late = len(self.open_crashes) >= CONVICTING_LATE_CRASHES
        return len(fresh) >= CONVICTING_CRASHES or enough_late


class CrashRecord:
    """Entries by fingerprint."""

    __slots__ = ("_clock", "_entries", "_expire_ms", "_subscribers")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, CrashEntry] = {}
        self._expire_ms: dict[str, float] = {}
        self._subscribers: list[Callable[[CrashEntry], None]] = []

    def subscribe(self, callback: Callable[[CrashEntry], None]) -> None:
        """Have a callback called with each entry that this host added to, or convicted by joining others'."""
        self._subscribers.append(callback)

    def find(self, fingerprint: str) -> CrashEntry | None:
        """Return what is known of a request, if anything is."""
        if self._expire_ms.get(fingerprint, 0.0) > self._clock.now_ms():
            return self._entries[fingerprint]
        self._entries.pop(fingerprint, None)
        self._expire_ms.pop(fingerprint, None)
        return None

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether a request is refused."""
        entry = self.find(fingerprint)
        return entry is not None and entry.is_convicted

    def has_open_crash(self, fingerprint: str) -> bool:
        """Whether a crash counts against a request."""
        entry = self.find(fingerprint)
        return entry is not None and bool(entry.open_crashes)

    def may_convict(self, fingerprint: str, further: int) -> bool:
        """Whether some further crashes would have a request refused that is not refused yet."""
        entry = self.find(fingerprint)
        if entry is None:
            return further >= CONVICTING_CRASHES
        return not entry.is_convicted and len(entry.open_crashes) + further >= CONVICTING_CRASHES

    def quiet_ms(self, fingerprint: str) -> float:
        """Return how long nothing new has been heard of a request; 0 when nothing is known of it."""
        if self.find(fingerprint) is None:
            return 0.0
        return self._clock.now_ms() - self._expire_ms[fingerprint] + CRASH_RETENTION_MS

    def count_convicted(self) -> int:
        """Return how many requests are refused."""
        return sum(1 for fingerprint in list(self._entries) if self.is_convicted(fingerprint))

    def strike(self, fingerprint: str, crash: str, *, is_fresh: bool) -> None:
        """Hold a crash against a request.

        Args:
            fingerprint: The request.
            crash: Names the crash, alike on every host.
            is_fresh: Whether the replica had only begun to run the request.
        """
        struck = CrashEntry(fingerprint, [crash] if is_fresh else [], [] if is_fresh else [crash])
        self._take(struck, told_by="")

    def clear(self, fingerprint: str) -> None:
        """Note that a request ran to its end: the crashes so far were not its doing."""
        entry = self.find(fingerprint)
        if entry is None or not entry.open_crashes:
            return
        cleared = sorted(entry.open_crashes)
        self._take(CrashEntry(fingerprint, cleared=cleared), told_by="")

    def offer(self, entry: CrashEntry, told_by: str) -> None:
        """Take in what another host knows.

        Args:
            entry: What it knows of a request.
            told_by: Who told, for the log.
        """
        self._take(entry, told_by)

    def _take(self, entry: CrashEntry, told_by: str) -> None:
        """Merge an entry; tell the subscribers of what only this host may know."""
        known = self.find(entry.fingerprint)
        merged = entry if known is None else _merge(known, entry)
        if merged == known:
            return
        if known is None and len(self._entries) >= MAX_REQUESTS:
            oldest = next(iter(self._entries))
            del self._entries[oldest], self._expire_ms[oldest]
        self._entries[entry.fingerprint] = merged
        self._expire_ms[entry.fingerprint] = self._clock.now_ms() + CRASH_RETENTION_MS
        _log.info(
            "What is held against a request has changed.",
            fingerprint=entry.fingerprint,
            crashes=sorted(merged.open_crashes),
            cleared=len(merged.cleared),
            convicted=merged.is_convicted,
            told_by=told_by,
        )
        was_convicted = known is not None and known.is_convicted
        # Several hosts' words may convict together; who told them does not know that.
        is_news = merged.is_convicted and not was_convicted and not entry.is_convicted
        if told_by and not is_news:
            return
        for callback in self._subscribers:
            callback(merged)


def create_crash_record(clock: Clock) -> CrashRecord:
    """Return a record in which nothing is held against any request."""
    return CrashRecord(clock)


def fingerprint_of(path: str, workspace: str | None, body: bytes) -> str:
    """Return what stays the same when a client sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (path.encode(), (workspace or "").encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def pack_crashes(entry: CrashEntry) -> bytes:
    """Return an entry's octets."""
    return msgspec.msgpack.encode(entry)


def unpack_crashes(octets: bytes) -> CrashEntry | None:
    """Return the entry, or `None` when the octets are not one."""
    try:
        return msgspec.msgpack.decode(octets, type=CrashEntry)
    except (msgspec.MsgspecError, ValueError):
        return None


def _merge(one: CrashEntry, other: CrashEntry) -> CrashEntry:
    """Return what both entries of a request say together; what `one` has keeps its order."""
    return CrashEntry(
        one.fingerprint,
        _join(one.fresh, other.fresh),
        _join(one.late, other.late),
        _join(one.cleared, other.cleared),
    )


def _join(known: list[str], others: Iterable[str]) -> list[str]:
    """Return the names of both, without repeats and within the bound."""
    return list(dict.fromkeys([*known, *others]))[-MAX_CRASHES:]
