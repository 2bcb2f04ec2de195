"""Strikes and convictions as one host knows them.

A request that was running when a backend server crashed has a strike. A second one convicts it if it
was then on trial, where no other struck request ran. Two crashes that it had only begun at convict it
too, once the other hosts' strikes are here, if no other request has the same two: then nothing else
explains both.
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
"""How long a strike is remembered."""

CONVICTION_RETENTION_MS: Final = 3_600_000.0
"""How long a convicted request is refused."""

MAX_ENTRIES: Final = 2_000
"""Entries that are kept; those that expire soonest go first."""

CONVICTING_STRIKES: Final = 2
"""Open strikes that it takes to convict a request."""

LESSER_SUSPECTS_WAIT_MS: Final = 3_000.0
"""Longest wait for the trials of requests that are suspected less; they last as long as a stream."""

SETTLING_MS: Final = 150.0
"""How long the strikes of other hosts may be under way."""

_log = get_log("quarantine")


class QuarantineRegister:
    """Entries by fingerprint."""

    __slots__ = ("_clock", "_entries", "_subscribers")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, QuarantineEntry] = {}
        self._subscribers: list[Callable[[QuarantineEntry], None]] = []

    def subscribe(self, callback: Callable[[QuarantineEntry], None]) -> None:
        """Have a callback called for each entry that this host itself changed."""
        self._subscribers.append(callback)

    def find(self, fingerprint: str) -> QuarantineEntry | None:
        """Return what is known of a request, if anything is."""
        entry = self._entries.get(fingerprint)
        if entry is None or entry.expires_at_ms > self._clock.wall_ms():
            return entry
        del self._entries[fingerprint]
        return None

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether a request is refused."""
        entry = self.find(fingerprint)
        return entry is not None and entry.convicted

    def open_strikes(self, fingerprint: str) -> int:
        """Return how many strikes a request has since it last ran well."""
        entry = self.find(fingerprint)
        return 0 if entry is None else len(entry.open_strikes)

    def total_strikes(self, fingerprint: str) -> int:
        """Return how many strikes are remembered of a request."""
        entry = self.find(fingerprint)
        return 0 if entry is None else len(entry.strikes)

    def count_suspects(self, fingerprint: str) -> int:
        """Return how many requests have an open strike of a crash that a request had only begun at."""
        entry = self.find(fingerprint)
        if entry is None:
            return 0
        strikes = _fresh_strikes(entry)
        return sum(_has_any(other, strikes) for other in self._entries.values())

    def strike(self, fingerprint: str, strike: Strike) -> None:
        """Note that a request was running when a backend server crashed.

        Args:
            fingerprint: The request.
            strike: The crash.
        """
        known = self.find(fingerprint) or QuarantineEntry(fingerprint)
        strikes = add_strike(known.strikes, strike)
        expires_at_ms = max(known.expires_at_ms, strike.at_ms + STRIKE_RETENTION_MS)
        struck = msgspec.structs.replace(known, strikes=strikes, expires_at_ms=expires_at_ms)
        self._tell(self._keep(_judge_trial(struck, self._clock.wall_ms())))

    def settling_ms(self, fingerprint: str) -> float:
        """Return how long to wait until the strikes that go with a request's are here."""
        entry = self.find(fingerprint)
        if entry is None or not entry.open_strikes:
            return 0.0
        # One strike waits too: a caller that sends again at once may have earned another elsewhere.
        last_ms = max(strike.at_ms for strike in entry.open_strikes)
        return max(0.0, last_ms + SETTLING_MS - self._clock.wall_ms())

    def judge_settled(self, fingerprint: str) -> None:
        """Convict a request if nothing else explains the crashes that it had only begun at.

        Args:
            fingerprint: The request; its strikes have settled.
        """
        entry = self.find(fingerprint)
        if entry is None or entry.convicted:
            return
        strikes = _fresh_strikes(entry)
        if len(strikes) < CONVICTING_STRIKES:
            return
        for other in self._entries.values():
            if other.fingerprint != fingerprint and _shares(other, strikes):
                return
        self._tell(self._keep(_convict(entry, self._clock.wall_ms())))

    def has_lesser_suspects(self, fingerprint: str) -> bool:
        """Whether others that may explain a request's crashes, though less likely, are yet to be tried.

        Args:
            fingerprint: A request that had only begun at two crashes or more.
        """
        entry = self.find(fingerprint)
        strikes = [] if entry is None else _fresh_strikes(entry)
        if len(strikes) < CONVICTING_STRIKES:
            return False
        for other in self._entries.values():
            if other.fingerprint == fingerprint or other.convicted or not _shares(other, strikes):
                continue
            if _count_shared(_fresh_strikes(other), strikes) < CONVICTING_STRIKES:
                return True
        return False

    def close_strikes(self, fingerprint: str) -> None:
        """Note that a struck request has run well since."""
        known = self.find(fingerprint)
        if known is None or known.convicted or not known.open_strikes:
            return
        closed = msgspec.structs.replace(known, closed_at_ms=self._clock.wall_ms())
        self._tell(self._keep(closed))

    def offer(self, entry: QuarantineEntry) -> None:
        """Take in what another host or the key-value service says."""
        if entry.expires_at_ms <= self._clock.wall_ms():
            return
        known = self.find(entry.fingerprint)
        merged = entry if known is None else merge_entries(known, entry)
        if merged == known:
            return
        judged = self._keep(_judge_trial(merged, self._clock.wall_ms()))
        if judged.convicted and not merged.convicted:
            self._tell(judged)

    def entries(self) -> Iterable[QuarantineEntry]:
        """Return every entry that still holds."""
        now_ms = self._clock.wall_ms()
        return [entry for entry in self._entries.values() if entry.expires_at_ms > now_ms]

    def _keep(self, entry: QuarantineEntry) -> QuarantineEntry:
        """Store an entry within the bound."""
        self._entries[entry.fingerprint] = entry
        if len(self._entries) > MAX_ENTRIES:
            first = min(self._entries.values(), key=lambda known: known.expires_at_ms)
            del self._entries[first.fingerprint]
        return entry

    def _tell(self, entry: QuarantineEntry) -> None:
        """Tell the subscribers of a change that this host made."""
        for callback in self._subscribers:
            callback(entry)


def create_register(clock: Clock) -> QuarantineRegister:
    """Return an empty register."""
    return QuarantineRegister(clock)


def refuse_convicted(ran: Ran) -> Refusal:
    """Refuse a convicted request.

    Args:
        ran: Whether this request may have run.

    Returns:
        The refusal; coming back unchanged can't help.
    """
    message = "This request crashed backend servers each time it ran; change it before sending it."
    return create_refusal(ResultCode.QUARANTINED, message, ran=ran)


def _judge_trial(entry: QuarantineEntry, now_ms: float) -> QuarantineEntry:
    """Convict a request that crashed a backend server on trial, after an earlier strike."""
    strikes = entry.open_strikes
    if entry.convicted or len(strikes) < CONVICTING_STRIKES:
        return entry
    if not any(strike.alone for strike in strikes):
        return entry
    return _convict(entry, now_ms)


def _convict(entry: QuarantineEntry, now_ms: float) -> QuarantineEntry:
    """Return the entry as a conviction."""
    replicas = [strike.replica for strike in entry.open_strikes]
    _log.warning("A request is convicted.", fingerprint=entry.fingerprint, replicas=replicas)
    expires_at_ms = now_ms + CONVICTION_RETENTION_MS
    return msgspec.structs.replace(entry, convicted=True, expires_at_ms=expires_at_ms)


def _fresh_strikes(entry: QuarantineEntry) -> list[Strike]:
    """Return the open strikes of crashes that the request had only begun at."""
    return [strike for strike in entry.open_strikes if strike.fresh]


def _has_any(other: QuarantineEntry, strikes: list[Strike]) -> bool:
    """Whether another request had only begun at one of the crashes and has not run well since."""
    return any(
        is_same_crash(strike, known) for strike in strikes for known in _fresh_strikes(other)
    )


def _shares(other: QuarantineEntry, strikes: list[Strike]) -> bool:
    """Whether another request was running at two or more of the crashes, and not well since."""
    return _count_shared(other.open_strikes, strikes) >= CONVICTING_STRIKES


def _count_shared(known: list[Strike], strikes: list[Strike]) -> int:
    """Return how many of the crashes are among known ones."""
    return sum(any(is_same_crash(strike, one) for one in known) for strike in strikes)
