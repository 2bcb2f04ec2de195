"""Backend servers that asked this host for no requests for a while."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Generic, TypeVar

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from pimentodale.clock import Clock

MAX_HOLD_MS: Final = 3_600_000.0
"""Longest time that is believed; whoever asks for more is asked again after it."""

FIRST_REQUEST_MS: Final = 2_000.0
"""How long the first request after the time has to show whether the server takes more."""

MAX_SERVERS: Final = 8_192
"""Most servers that are remembered; the longest held go first."""

_log = get_log("hold off")

_Key = TypeVar("_Key", bound="Hashable")


@dataclass(slots=True)
class _Hold:
    """What one server asked for."""

    until_ms: float
    """Until when it wants nothing."""

    alone_until_ms: float = float("-inf")
    """Until when the first request after that stays the only one."""


class HoldOffs(Generic[_Key]):
    """Times until which servers want nothing from this host; each spoke to this host alone."""

    __slots__ = ("_clock", "_holds", "asked")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holds: OrderedDict[_Key, _Hold] = OrderedDict()
        self.asked = 0
        """Answers so far that asked for no requests for a while."""

    def __contains__(self, key: _Key) -> bool:
        """Return whether a server has asked, and not taken a request since."""
        return key in self._holds

    def hold(self, key: _Key, duration_ms: float) -> None:
        """Send a server nothing for a while.

        Args:
            key: The server.
            duration_ms: How long it asked for.
        """
        self.asked += 1
        held_ms = min(duration_ms, MAX_HOLD_MS)
        until_ms = self._clock.now_ms() + held_ms
        known = self._holds.pop(key, None)
        if known is not None:
            until_ms = max(until_ms, known.until_ms)
        elif len(self._holds) >= MAX_SERVERS:
            self._holds.popitem(last=False)
        self._holds[key] = _Hold(until_ms)
        _log.info("A backend server wants no requests for a while.", server=key, held_ms=held_ms)

    def allows(self, key: _Key) -> bool:
        """Whether a request may go to a server now."""
        hold = self._holds.get(key)
        return hold is None or self._clock.now_ms() >= max(hold.until_ms, hold.alone_until_ms)

    def held(self) -> frozenset[_Key]:
        """Return the servers to which no request may go now."""
        return frozenset(key for key in self._holds if not self.allows(key))

    def note_sent(self, key: _Key) -> None:
        """Note that a request goes to a server; the first one after the time goes alone."""
        hold = self._holds.get(key)
        if hold is not None:
            hold.alone_until_ms = self._clock.now_ms() + FIRST_REQUEST_MS

    def note_taken(self, key: _Key) -> None:
        """Note that a server has taken a request; it may get more once its time is over."""
        hold = self._holds.get(key)
        if hold is not None and self._clock.now_ms() >= hold.until_ms:
            del self._holds[key]

    def left_ms(self, key: _Key) -> float:
        """Return how long a server still wants nothing; 0 if it takes requests."""
        hold = self._holds.get(key)
        return 0.0 if hold is None else max(0.0, hold.until_ms - self._clock.now_ms())

    def soonest_ms(self, keys: Iterable[_Key]) -> float:
        """Return how long it takes until one of some servers takes requests; 0 where there are none."""
        return min((self.left_ms(key) for key in keys), default=0.0)

    def forget(self, key: _Key) -> None:
        """Drop what is held of a server that is gone."""
        self._holds.pop(key, None)


def create_hold_offs(clock: Clock) -> HoldOffs[_Key]:
    """Return times for no servers."""
    return HoldOffs(clock)
