"""Memory that clients hold in a process: arriving and waiting bodies, and answers nobody reads.

Each body is reserved before it is read. When nothing is left, a body that holds much and arrives
slowly is dropped, otherwise the request that asks for more is refused. Neither has run.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

MB: Final = 1_000_000

PROCESS_MB: Final = 64
"""Memory of the process itself: an idle gateway takes some 40 MB."""

UNKNOWN_LIMIT_BYTES: Final = 64 * MB
"""Size of the account where the memory of the process is not known."""

MIN_LIMIT_BYTES: Final = 16 * MB
"""Smallest account. Two bodies of the largest default size (4 MB) fit, besides the reserved part."""

COPIES: Final = 3
"""A body that is sent on exists up to three times: here, encoded, and in the buffer of the send."""

LOG_INTERVAL_MS: Final = 1_000.0
"""Interval between two log lines on refusals of one kind, as a crowd causes thousands a second."""

SMALL_BYTES: Final = 64 * 1024
"""Largest request that may use the reserved part."""

RESERVED_PART: Final = 8
"""One part in so many is reserved for small requests."""

STEP_BYTES: Final = 64 * 1024
"""Step in which a body without an announced length is reserved."""

SILENT_MS: Final = 300.0
"""A body that has been silent for this long may be dropped when the account is full. Clients within
the limits send 4 MB in a second."""

ANSWER_SILENT_MS: Final = 5_000.0
"""How long an answer is written before it may be dropped when the account is full. Its request has
run, so that this is the last resort."""

SLOW_AFTER_MS: Final = 1_000.0
"""Age from which the average pace of a body counts."""

SLOW_BYTES_PER_S: Final = 64 * 1024
"""A body below this average pace may be dropped when the account is full."""

STALL_MS: Final = 10_000.0
"""How long a body may be silent. Clients within the limits send 4 MB in a second."""

PACE_WINDOW_MS: Final = 20_000.0
"""Time over which a body must not be slower than `MIN_PACE_BYTES_PER_S`."""

MIN_PACE_BYTES_PER_S: Final = 1_024

YIELD_BYTES: Final = 64 * 1024
"""Bytes of a body after which other clients have their turn."""

CHUNK_COST_BYTES: Final = 256
"""Least bytes that a chunk counts as for that: reading one takes some 20 us, whatever its size."""

STALL_CHECK_MS: Final = 1_000.0
"""Interval between checks of arriving bodies."""


class MemoryShare:
    """What one request holds in the account."""

    __slots__ = (
        "_drop",
        "_memory",
        "held_bytes",
        "last_ms",
        "received_bytes",
        "silent_ms",
        "started_ms",
    )

    def __init__(self, memory: ClientMemory, drop: Callable[[], None], now_ms: float) -> None:
        self._memory = memory
        self._drop: Callable[[], None] | None = drop
        self.held_bytes = 0
        """Reserved bytes."""
        self.received_bytes = 0
        """Bytes that have arrived."""
        self.started_ms = now_ms
        self.last_ms = now_ms
        """When the last bytes arrived."""
        self.silent_ms = SILENT_MS
        """Silence from which the request may be dropped."""

    @property
    def can_be_dropped(self) -> bool:
        """Whether the request can still be dropped, as it has not run."""
        return self._drop is not None

    def reserve(self, total_bytes: int) -> bool:
        """Grow to a total size.

        Returns:
            Whether the memory is reserved; otherwise nothing has changed.
        """
        return self._memory.reserve(self, total_bytes)

    def admit_tiny_chunks(self) -> bool:
        """Whether the body may go on with many tiny chunks."""
        return self._memory.admit_tiny_chunks(self)

    def receive(self, count: int, now_ms: float) -> bool:
        """Count bytes that have arrived, and reserve further steps if they need them.

        Returns:
            Whether they are reserved.
        """
        self.received_bytes += count
        self.last_ms = now_ms
        if self.received_bytes <= self.held_bytes:
            return True
        steps = -(-self.received_bytes // STEP_BYTES)
        return self.reserve(steps * STEP_BYTES)

    def keep(self) -> None:
        """Keep the memory until `end`, as the body is whole and the request may run."""
        self._drop = None
        self._memory.end_tiny_chunks(self)
        if self.received_bytes < self.held_bytes:
            self._memory.shrink(self, self.received_bytes)

    def hold_answer(self, answer_bytes: int, drop: Callable[[], None], now_ms: float) -> bool:
        """Hold an answer in place of the body, until the client has read it.

        Args:
            answer_bytes: Size of the answer.
            drop: Closes the connection of a client that doesn't read.
            now_ms: The present time.
        """
        self._memory.shrink(self, 0)
        self.received_bytes = 0
        self.started_ms = self.last_ms = now_ms
        self.silent_ms = ANSWER_SILENT_MS
        is_held = self.reserve(answer_bytes)
        self._drop = drop
        return is_held

    def drop(self) -> None:
        """Give way to another request."""
        drop, self._drop = self._drop, None
        self.end()
        if drop is not None:
            drop()

    def end(self) -> None:
        """Return the memory; may be called repeatedly."""
        self._memory.end(self)


class ClientMemory:
    """The account of a process."""

    __slots__ = (
        "_clock",
        "_logged_ms",
        "_shares",
        "_tiny_chunked",
        "_unlogged",
        "held_bytes",
        "large_bytes",
        "limit_bytes",
        "refusals",
    )

    def __init__(self, clock: Clock, limit_bytes: int) -> None:
        self._clock = clock
        self._shares: set[MemoryShare] = set()
        self._tiny_chunked: MemoryShare | None = None
        self.limit_bytes = limit_bytes
        """Size of the account."""
        self.held_bytes = 0
        """Bytes held by all requests."""
        self.large_bytes = 0
        """Bytes of these held by requests over `SMALL_BYTES`."""
        self.refusals: Counter[str] = Counter()
        """Refused or closed clients, by kind: memory, slow, chunks, connections."""
        self._unlogged: Counter[str] = Counter()
        self._logged_ms: dict[str, float] = {}

    def count_refusal(self, kind: str) -> int:
        """Count a refusal.

        Args:
            kind: The limit that was reached.

        Returns:
            The number of refusals that the next log line stands for; 0 if none is due.
        """
        self.refusals[kind] += 1
        self._unlogged[kind] += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms.get(kind, -LOG_INTERVAL_MS) < LOG_INTERVAL_MS:
            return 0
        self._logged_ms[kind] = now_ms
        return self._unlogged.pop(kind)

    def admit_tiny_chunks(self, share: MemoryShare) -> bool:
        """Whether the body of a share may go on with many tiny chunks.

        A single request is served whatever its chunking, but several at once would use up the
        processor time of the others.
        """
        if self._tiny_chunked not in (None, share):
            return False
        self._tiny_chunked = share
        return True

    def end_tiny_chunks(self, share: MemoryShare) -> None:
        """Note that the body of a share has ended."""
        if self._tiny_chunked is share:
            self._tiny_chunked = None

    def open(self, drop: Callable[[], None]) -> MemoryShare:
        """Begin to count a request.

        Args:
            drop: Refuses the request while its body arrives, and releases the body.

        Returns:
            Its share; call `end` in any case.
        """
        return MemoryShare(self, drop, self._clock.now_ms())

    def reserve(self, share: MemoryShare, total_bytes: int) -> bool:
        """Grow a share to a total size; slow bodies are dropped if that is too much."""
        if total_bytes <= share.held_bytes:
            return True
        while not self._fits(share, total_bytes):
            slowest = self._find_slowest(share)
            if slowest is None:
                return False
            slowest.drop()
        self._set(share, total_bytes)
        return True

    def shrink(self, share: MemoryShare, total_bytes: int) -> None:
        """Return a part of a share."""
        if total_bytes < share.held_bytes:
            self._set(share, total_bytes)

    def end(self, share: MemoryShare) -> None:
        """Return the memory of a share."""
        self.end_tiny_chunks(share)
        self._set(share, 0)

    def _set(self, share: MemoryShare, total_bytes: int) -> None:
        """Set the size of a share."""
        self.held_bytes += total_bytes - share.held_bytes
        self.large_bytes += _large(total_bytes) - _large(share.held_bytes)
        share.held_bytes = total_bytes
        if _large(total_bytes):
            self._shares.add(share)
        else:
            self._shares.discard(share)

    def _fits(self, share: MemoryShare, total_bytes: int) -> bool:
        """Whether a share may grow to a total size."""
        if self.held_bytes - share.held_bytes + total_bytes > self.limit_bytes:
            return False
        if not _large(total_bytes):
            return True
        others_bytes = self.large_bytes - _large(share.held_bytes)
        return others_bytes + total_bytes <= self.limit_bytes - self.limit_bytes // RESERVED_PART

    def _find_slowest(self, asking: MemoryShare) -> MemoryShare | None:
        """Return the large body that arrives slowest, if one is silent or slow."""
        now_ms = self._clock.now_ms()
        slowest, lowest_pace = None, 0.0
        for share in self._shares:
            if share is asking or not share.can_be_dropped:
                continue
            age_ms = max(now_ms - share.started_ms, 1.0)
            pace = share.received_bytes / age_ms * MS_PER_S
            is_slow = age_ms >= SLOW_AFTER_MS and 0 < pace < SLOW_BYTES_PER_S
            if not is_slow and now_ms - share.last_ms < share.silent_ms:
                continue
            if slowest is None or pace < lowest_pace:
                slowest, lowest_pace = share, pace
        return slowest


def create_client_memory(clock: Clock, memory_mb: float) -> ClientMemory:
    """Return an empty account.

    Args:
        clock: Source of time.
        memory_mb: Memory of the process; 0 if unknown.
    """
    return ClientMemory(clock, limit_bytes_of(memory_mb))


def limit_bytes_of(memory_mb: float) -> int:
    """Return the size of the account of a process with so much memory."""
    if memory_mb <= 0:
        return UNKNOWN_LIMIT_BYTES
    return max(MIN_LIMIT_BYTES, int((memory_mb - PROCESS_MB) * MB / COPIES))


def _large(size_bytes: int) -> int:
    """Return the size if it is a large request's, otherwise 0."""
    return size_bytes if size_bytes > SMALL_BYTES else 0
