"""Strikes and convictions known to one host.

A request that is running when a backend server crashes gets a strike. A second strike convicts it
if either crash happened in a trial, isolated from other requests with strikes. Two crashes shortly
after its start convict it too, provided that the strikes of other hosts have arrived and no other
request shares both crashes: then no other request explains both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.logs import get_log
from pimentodale.quarantine.entries import (
    QuarantineEntry,
    Strike,
    add_strike,
    is_same_crash,
    merge_entries,
)
from pimentodale.results import Ran, Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock

STRIKE_RETENTION_MS: Final = 600_000.0
"""How long a strike is kept."""

CONVICTION_RETENTION_MS: Final = 3_600_000.0
"""How long a convicted request is refused."""

MAX_ENTRIES: Final = 2_000
"""Maximum number of entries; those that expire soonest are evicted first."""

CONVICTING_STRIKES: Final = 2
"""Open strikes required to convict a request."""

LESS_LIKELY_SUSPECTS_WAIT_MS: Final = 3_000.0
"""Maximum wait for the trials of less likely suspects, which may last as long as a stream."""

STRIKE_PROPAGATION_MS: Final = 150.0
"""Upper bound on the delivery time of strikes from other hosts."""

_log = get_log("quarantine")


class QuarantineRegister:
    """Quarantine entries of one host, by fingerprint."""

    __slots__ = ("_clock", "_entries", "_subscribers")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, QuarantineEntry] = {}
        self._subscribers: list[Callable[[QuarantineEntry], None]] = []

    def subscribe(self, callback: Callable[[QuarantineEntry], None]) -> None:
        """Register a callback for entries that this host changed, or convicted by a merge."""
        self._subscribers.append(callback)

    def find(self, fingerprint: str) -> QuarantineEntry | None:
        """Return the unexpired entry of a request, if there is one."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.expires_at_ms > self._clock.wall_ms():
            return entry
        del self._entries[fingerprint]
        return None

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether a request has to be refused."""
        entry = self.find(fingerprint)
        return entry is not None and entry.convicted

    def open_strikes(self, fingerprint: str) -> int:
        """Return the number of strikes since a request last ran without a crash."""
        entry = self.find(fingerprint)
        return 0 if entry is None else len(entry.open_strikes)

    def total_strikes(self, fingerprint: str) -> int:
        """Return the number of strikes kept for a request, open or closed."""
        entry = self.find(fingerprint)
        return 0 if entry is None else len(entry.strikes)

    def count_suspects(self, fingerprint: str) -> int:
        """Return how many requests, itself included, share a crash where both had just started."""
        entry = self.find(fingerprint)
        if entry is None:
            return 0
        strikes = _fresh_strikes(entry)
        return sum(_shares_any_strike(other, strikes) for other in self._entries.values())

    def strike(self, fingerprint: str, strike: Strike) -> None:
        """Add a strike to a request.

        Args:
            fingerprint: Fingerprint of the request.
            strike: The strike.
        """
        known = self.find(fingerprint) or QuarantineEntry(fingerprint)
        strikes = add_strike(known.strikes, strike)
        expires_at_ms = max(known.expires_at_ms, strike.at_ms + STRIKE_RETENTION_MS)
        updated = msgspec.structs.replace(known, strikes=strikes, expires_at_ms=expires_at_ms)
        self._notify(self._put(_convict_after_trial(updated, self._clock.wall_ms())))

    def strike_wait_ms(self, fingerprint: str) -> float:
        """Return how long to wait until other hosts' strikes for the same crashes have arrived."""
        entry = self.find(fingerprint)
        if entry is None or not entry.open_strikes:
            return 0.0
        # Wait even with a single strike: a caller that retried at once may have caused another
        # crash through a different host.
        last_ms = max(strike.at_ms for strike in entry.open_strikes)
        return max(0.0, last_ms + STRIKE_PROPAGATION_MS - self._clock.wall_ms())

    def convict_if_unexplained(self, fingerprint: str) -> None:
        """Convict a request if no other request explains the crashes shortly after its start.

        Args:
            fingerprint: The request; the strikes of other hosts have arrived.
        """
        entry = self.find(fingerprint)
        if entry is None or entry.convicted:
            return
        strikes = _fresh_strikes(entry)
        if len(strikes) < CONVICTING_STRIKES:
            return
        for other in self._entries.values():
            if other.fingerprint != fingerprint and _shares_enough_strikes(other, strikes):
                return
        self._notify(self._put(_convict(entry, self._clock.wall_ms())))

    def has_less_likely_suspects(self, fingerprint: str) -> bool:
        """Whether less likely suspects of a request's crashes have not been tried yet.

        Such a suspect has strikes for at least two of these crashes too, but had just started at
        fewer than two of them.

        Args:
            fingerprint: A request that had just started at two crashes or more.
        """
        entry = self.find(fingerprint)
        strikes = [] if entry is None else _fresh_strikes(entry)
        if len(strikes) < CONVICTING_STRIKES:
            return False
        for other in self._entries.values():
            if (
                other.fingerprint == fingerprint
                or other.convicted
                or not _shares_enough_strikes(other, strikes)
            ):
                continue
            if _count_shared(_fresh_strikes(other), strikes) < CONVICTING_STRIKES:
                return True
        return False

    def close_strikes(self, fingerprint: str) -> None:
        """Close the strikes of a request that has since run without a crash."""
        known = self.find(fingerprint)
        if known is None or known.convicted or not known.open_strikes:
            return
        closed = msgspec.structs.replace(known, closed_at_ms=self._clock.wall_ms())
        self._notify(self._put(closed))

    def receive(self, entry: QuarantineEntry) -> None:
        """Merge an entry from another host or the key-value service."""
        if entry.expires_at_ms <= self._clock.wall_ms():
            return
        known = self.find(entry.fingerprint)
        merged = entry if known is None else merge_entries(known, entry)
        if merged == known:
            return
        updated = self._put(_convict_after_trial(merged, self._clock.wall_ms()))
        if updated.convicted and not merged.convicted:
            self._notify(updated)

    def entries(self) -> Iterable[QuarantineEntry]:
        """Return all unexpired entries."""
        now_ms = self._clock.wall_ms()
        return [entry for entry in self._entries.values() if entry.expires_at_ms > now_ms]

    def _put(self, entry: QuarantineEntry) -> QuarantineEntry:
        """Store an entry, evicting one if there are more than `MAX_ENTRIES`."""
        self._entries[entry.fingerprint] = entry
        if len(self._entries) > MAX_ENTRIES:
            first = min(self._entries.values(), key=lambda known: known.expires_at_ms)
            del self._entries[first.fingerprint]
        return entry

    def _notify(self, entry: QuarantineEntry) -> None:
        """Notify the subscribers of an entry that this host changed."""
        for callback in self._subscribers:
            callback(entry)


def create_register(clock: Clock) -> QuarantineRegister:
    """Return an empty register."""
    return QuarantineRegister(clock)


def refuse_quarantined(ran: Ran) -> Refusal:
    """Refuse a convicted request.

    Args:
        ran: Whether this request may have run.

    Returns:
        The refusal, without a retry time because retrying the same request can't succeed.
    """
    message = "This request crashed backend servers each time it ran; change it before sending it."
    return create_refusal(ResultCode.QUARANTINED, message, ran=ran)


def _convict_after_trial(entry: QuarantineEntry, now_ms: float) -> QuarantineEntry:
    """Convict a request that has two open strikes, at least one of them from a trial."""
    strikes = entry.open_strikes
    if entry.convicted or len(strikes) < CONVICTING_STRIKES:
        return entry
    if not any(strike.alone for strike in strikes):
        return entry
    return _convict(entry, now_ms)


def _convict(entry: QuarantineEntry, now_ms: float) -> QuarantineEntry:
    """Return the entry marked as convicted, with the expiry time of a conviction."""
    replicas = [strike.replica for strike in entry.open_strikes]
    _log.warning("Convicted a request.", fingerprint=entry.fingerprint, replicas=replicas)
    expires_at_ms = now_ms + CONVICTION_RETENTION_MS
    return msgspec.structs.replace(entry, convicted=True, expires_at_ms=expires_at_ms)


def _fresh_strikes(entry: QuarantineEntry) -> list[Strike]:
    """Return the open strikes of crashes shortly after the start of the request."""
    return [strike for strike in entry.open_strikes if strike.fresh]


def _shares_any_strike(other: QuarantineEntry, strikes: list[Strike]) -> bool:
    """Whether another request has an open strike shortly after its start for one of the crashes."""
    return any(
        is_same_crash(strike, known) for strike in strikes for known in _fresh_strikes(other)
    )


def _shares_enough_strikes(other: QuarantineEntry, strikes: list[Strike]) -> bool:
    """Whether another request has open strikes for at least two of the crashes."""
    return _count_shared(other.open_strikes, strikes) >= CONVICTING_STRIKES


def _count_shared(known: list[Strike], strikes: list[Strike]) -> int:
    """Return how many of the strikes refer to a crash of the known strikes."""
    return sum(any(is_same_crash(strike, one) for one in known) for strike in strikes)
