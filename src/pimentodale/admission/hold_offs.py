"""Backend servers that asked this host to pause requests, as by a `Retry-After` header."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Generic, TypeVar

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from pimentodale.clock import Clock

MAX_HOLD_MS: Final = 3_600_000.0
"""Longest hold-off that is honoured; a server that asked for longer gets a request after it."""

PROBE_TIMEOUT_MS: Final = 2_000.0
"""How long the first request after a hold-off stays the only one, unless it is accepted earlier."""

MAX_SERVERS: Final = 8_192
"""Maximum number of servers that are tracked; the entry updated longest ago is dropped first."""

_log = get_log("hold off")

_Key = TypeVar("_Key", bound="Hashable")


@dataclass(slots=True)
class _Hold:
    """Hold-off of one server."""

    until_ms: float
    """End of the hold-off."""

    probe_until_ms: float = float("-inf")
    """Until when the first request after the hold-off stays the only one."""


class HoldOffs(Generic[_Key]):
    """Hold-offs by server. Each applies to this host alone, as the server answered this host."""

    __slots__ = ("_clock", "_holds", "asked")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holds: OrderedDict[_Key, _Hold] = OrderedDict()
        self.asked = 0
        """Number of answers so far that asked for a hold-off."""

    def __contains__(self, key: _Key) -> bool:
        """Return whether a server has a hold-off, even if over, and no accepted request since."""
        return key in self._holds

    def hold(self, key: _Key, duration_ms: float) -> None:
        """Send a server no requests for a while.

        Args:
            key: The server.
            duration_ms: Duration that it asked for.
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
        _log.info("Backend server asked for a pause in requests.", server=key, held_ms=held_ms)

    def allows(self, key: _Key) -> bool:
        """Whether a request may be sent to a server now."""
        hold = self._holds.get(key)
        return hold is None or self._clock.now_ms() >= max(hold.until_ms, hold.probe_until_ms)

    def held(self) -> frozenset[_Key]:
        """Return the servers to which no request may be sent now."""
        return frozenset(key for key in self._holds if not self.allows(key))

    def note_sent(self, key: _Key) -> None:
        """Record that a request is sent to a server, alone if it is the first after a hold-off."""
        hold = self._holds.get(key)
        if hold is not None:
            hold.probe_until_ms = self._clock.now_ms() + PROBE_TIMEOUT_MS

    def note_accepted(self, key: _Key) -> None:
        """Record that a server accepted a request, which clears a hold-off that is over."""
        hold = self._holds.get(key)
        if hold is not None and self._clock.now_ms() >= hold.until_ms:
            del self._holds[key]

    def left_ms(self, key: _Key) -> float:
        """Return the time left of a server's hold-off; 0 if it has none."""
        hold = self._holds.get(key)
        return 0.0 if hold is None else max(0.0, hold.until_ms - self._clock.now_ms())

    def shortest_hold_ms(self, keys: Iterable[_Key]) -> float:
        """Return the shortest time left of the servers' hold-offs; 0 if no server is given."""
        return min((self.left_ms(key) for key in keys), default=0.0)

    def forget(self, key: _Key) -> None:
        """Drop the hold-off of a server that is gone."""
        self._holds.pop(key, None)


def create_hold_offs(clock: Clock) -> HoldOffs[_Key]:
    """Create an empty table of hold-offs."""
    return HoldOffs(clock)
