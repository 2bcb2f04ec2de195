"""What hosts tell each other of a request that was running when a backend server crashed."""

from __future__ import annotations

from typing import Final

import msgpack
import msgspec

SAME_CRASH_MS: Final = 5_000.0
"""Two strikes by one replica this close are one crash when no boot id tells them apart."""

MAX_STRIKES: Final = 8
"""Strikes that are kept of one request; the oldest go first."""


class Strike(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a backend server with the request running on it."""

    replica: str
    """The backend server."""

    boot_id: str
    """Its life that ended; empty when it is not known."""

    at_ms: float
    """Wall time of the crash."""

    fresh: bool = False
    """Whether the request had only begun there."""

    alone: bool = False
    """Whether it was there on trial, where no other struck request ran."""


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one request; two hosts' entries merge into the same one in any order."""

    fingerprint: str
    """SHA-256 (hex) of workspace and body."""

    strikes: list[Strike] = []
    """Crashes, oldest first."""

    closed_at_ms: float = 0.0
    """Wall time up to which strikes are closed, as the request has run well since."""

    convicted: bool = False
    """Whether the request is refused everywhere."""

    expires_at_ms: float = 0.0
    """Wall time at which the entry is forgotten."""

    @property
    def open_strikes(self) -> list[Strike]:
        """Strikes since the request last ran well."""
        return [strike for strike in self.strikes if strike.at_ms > self.closed_at_ms]


def is_same_crash(one: Strike, other: Strike) -> bool:
    """Whether two hosts' strikes speak of one crash."""
    if one.replica != other.replica:
        return False
    if one.boot_id and other.boot_id:
        return one.boot_id == other.boot_id
    return abs(one.at_ms - other.at_ms) < SAME_CRASH_MS


def add_strike(strikes: list[Strike], strike: Strike) -> list[Strike]:
    """Return the strikes with one more, joined with the one of the same crash if there is one."""
    others = [known for known in strikes if not is_same_crash(strike, known)]
    for known in strikes:
        if known not in others:
            strike = _join(known, strike)
    together = sorted([*others, strike], key=lambda known: (known.at_ms, known.replica))
    return together[-MAX_STRIKES:]


def merge_entries(one: QuarantineEntry, other: QuarantineEntry) -> QuarantineEntry:
    """Return what both entries of a request say together."""
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


def _join(one: Strike, other: Strike) -> Strike:
    """Return what two hosts say of one crash together."""
    return Strike(
        one.replica,
        max(one.boot_id, other.boot_id),
        min(one.at_ms, other.at_ms),
        one.fresh or other.fresh,
        one.alone or other.alone,
    )


def pack_entry(entry: QuarantineEntry) -> bytes:
    """Return an entry's octets."""
    octets: bytes = msgpack.packb(msgspec.to_builtins(entry))
    return octets


def unpack_entry(octets: bytes) -> QuarantineEntry | None:
    """Return the entry, or `None` when the octets are not one."""
    try:
        return msgspec.convert(msgpack.unpackb(octets), QuarantineEntry)
    except (ValueError, msgpack.UnpackException, msgspec.ValidationError):
        return None
