"""Quarantine entries that hosts exchange: the strikes of a request and whether it is convicted."""

from __future__ import annotations

from typing import Final

import msgpack
import msgspec

from pimentodale.foreign_bytes import UNREADABLE

SAME_CRASH_MS: Final = 5_000.0
"""Strikes of one replica within this time count as one crash when a boot id is missing."""

MAX_STRIKES: Final = 8
"""Maximum number of strikes kept for a request; the oldest are dropped first."""


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a backend server that was running the request."""

    replica: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the server process that crashed; empty when unknown."""

    at_ms: float
    """Wall-clock time of the crash."""

    fresh: bool = False
    """Whether the request had just started there."""

    alone: bool = False
    """Whether it ran there in a trial, without any other request that has strikes."""


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """Strikes and conviction of one request; entries merge to the same result in any order."""

    fingerprint: str
    """SHA-256 (hex) of workspace and body."""

    strikes: list[Strike] = []
    """Strikes, oldest first."""

    closed_at_ms: float = 0.0
    """Wall-clock time up to which strikes are closed: the request has since run without a crash."""

    convicted: bool = False
    """Whether the request is refused on every host."""

    expires_at_ms: float = 0.0
    """Wall-clock time at which the entry expires."""

    @property
    def open_strikes(self) -> list[Strike]:
        """Strikes since the request last ran without a crash."""
        return [strike for strike in self.strikes if strike.at_ms > self.closed_at_ms]


def is_same_crash(one: Strike, other: Strike) -> bool:
    """Whether two strikes refer to the same crash."""
    if one.replica != other.replica:
        return False
    if one.boot_id and other.boot_id:
        return one.boot_id == other.boot_id
    return abs(one.at_ms - other.at_ms) < SAME_CRASH_MS


def add_strike(strikes: list[Strike], strike: Strike) -> list[Strike]:
    """Return the strikes with one added; strikes of the same crash are merged into one."""
    others = [known for known in strikes if not is_same_crash(strike, known)]
    for known in strikes:
        if known not in others:
            strike = _merge_strikes(known, strike)
    merged = sorted([*others, strike], key=lambda known: (known.at_ms, known.replica))
    return merged[-MAX_STRIKES:]


def merge_entries(one: QuarantineEntry, other: QuarantineEntry) -> QuarantineEntry:
    """Return the merge of two entries of a request."""
    strikes = one.strikes
    for strike in other.strikes:
        strikes = add_strike(strikes, strike)
    return QuarantineEntry(
        one.fingerprint,
        strikes,
        max(one.closed_at_ms, other.closed_at_ms),
        one.convicted or other.convicted,
        max(one.expires_at_ms, other.expires_at_ms),
    )


def _merge_strikes(one: Strike, other: Strike) -> Strike:
    """Return the merge of two strikes of the same crash."""
    return Strike(
        one.replica,
        max(one.boot_id, other.boot_id),
        min(one.at_ms, other.at_ms),
        one.fresh or other.fresh,
        one.alone or other.alone,
    )


def pack_entry(entry: QuarantineEntry) -> bytes:
    """Encode an entry as MessagePack."""
    octets: bytes = msgpack.packb(msgspec.to_builtins(entry))
    return octets


def unpack_entry(octets: bytes) -> QuarantineEntry | None:
    """Decode an entry, or return `None` when the data is malformed."""
    try:
        return msgspec.convert(msgpack.unpackb(octets), QuarantineEntry)
    except (*UNREADABLE, msgpack.UnpackException):
        return None
