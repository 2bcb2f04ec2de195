"""Work that passes through each replica, this host's own and what other hosts told."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock
    from pimentodale.placement.messages import PathPart

KV_UNIT: Final = 1_000.0
"""Tokens x layers that a told load counts by."""

MAX_READERS: Final = 1_000
"""Replicas whose reading is remembered before those that are done are dropped."""

TOLD_TTL_MS: Final = 1_500.0
"""How long another host's word holds."""

HIDDEN_MS: Final = 1_500.0
"""How long load counts that only a refusal showed: half the usual life of a request."""


class ReplicaLoad(msgspec.Struct, array_like=True):
    """Work of one host at one replica."""

    streams: int = 0
    """Requests that pass through it."""

    headed: int = 0
    """Requests that it received as the first of their path."""

    kv_in_use: float = 0.0
    """Tokens x layers of these requests."""


_NO_LOAD: Final = ReplicaLoad()


@dataclass(slots=True)
class _Told:
    """What another host told."""

    until_ms: float
    """Until when it holds."""

    loads: dict[str, ReplicaLoad]
    """Loads by replica."""


@dataclass(slots=True)
class _Hidden:
    """Load that nobody told of, which a refusal showed."""

    kv: float
    """Tokens x layers."""

    until_ms: float
    """Until when it counts."""


@dataclass(slots=True)
class LoadBoard:
    """Loads by replica."""

    clock: Clock
    own: dict[str, ReplicaLoad] = field(default_factory=dict)
    """Work of this host."""

    _subscribers: list[Callable[[], None]] = field(default_factory=list)
    _hidden: dict[str, _Hidden] = field(default_factory=dict)
    _read_until_ms: dict[str, float] = field(default_factory=dict)
    _told: dict[str, _Told] = field(default_factory=dict)
    _foreign: dict[str, _Told] = field(default_factory=dict)
    _rest: _Told | None = None
    _others: dict[str, ReplicaLoad] | None = None
    _others_until_ms: float = 0.0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have a callback called after each change that may make room."""
        self._subscribers.append(callback)

    def add(self, parts: Iterable[PathPart], tokens: float) -> None:
        """Count a request that begins on a path."""
        for index, part in enumerate(parts):
            load = self.own.setdefault(part.replica_id, ReplicaLoad())
            load.streams += 1
            load.headed += index == 0
            load.kv_in_use += tokens * len(part.layers)

    def remove(self, parts: Iterable[PathPart], tokens: float) -> None:
        """Count off a request that has ended; call it once for each `add`."""
        for index, part in enumerate(parts):
            load = self.own[part.replica_id]
            load.streams -= 1
            load.headed -= index == 0
            load.kv_in_use -= tokens * len(part.layers)
            if load.streams <= 0:
                del self.own[part.replica_id]
        self._tell_room()

    def note_reading(self, replica_id: str, work_ms: float) -> None:
        """Count a prompt that a replica has to read for a request of this host."""
        now_ms = self.clock.now_ms()
        until_ms = max(now_ms, self._read_until_ms.get(replica_id, 0.0))
        self._read_until_ms[replica_id] = until_ms + work_ms
        if len(self._read_until_ms) > MAX_READERS:
            lasting = {key: at_ms for key, at_ms in self._read_until_ms.items() if at_ms > now_ms}
            self._read_until_ms = lasting

    def backlog_ms(self, replica_id: str) -> float:
        """Return for how long a replica still reads prompts that this host sent it."""
        until_ms = self._read_until_ms.get(replica_id)
        return 0.0 if until_ms is None else max(0.0, until_ms - self.clock.now_ms())

    def note_full(self, replica_id: str, capacity: float) -> None:
        """Take a replica for full that refused a request for want of room.

        What is known of its load comes late, and requests hold more or less than expected.

        Args:
            replica_id: The replica.
            capacity: Tokens x layers up to which this host fills it.
        """
        kv = max(0.0, capacity - self.total(replica_id).kv_in_use)
        self._hidden[replica_id] = _Hidden(kv, self.clock.now_ms() + HIDDEN_MS)

    def hidden_kv(self, replica_id: str) -> float:
        """Return the tokens x layers at a replica that only a refusal showed."""
        if replica_id not in self._hidden:
            return 0.0
        hidden = self._hidden[replica_id]
        if hidden.until_ms <= self.clock.now_ms():
            del self._hidden[replica_id]
            return 0.0
        return hidden.kv

    def take_told(
        self, host: str, loads: dict[str, ReplicaLoad], ttl_ms: float = TOLD_TTL_MS
    ) -> None:
        """Take the loads of a host that tells this one, in place of what it told before."""
        self._told[host] = _Told(self.clock.now_ms() + ttl_ms, loads)
        self._note_change()

    def take_foreign(self, host: str, loads: dict[str, ReplicaLoad], ttl_ms: float) -> None:
        """Take the loads of another failure domain from a host of it."""
        self._foreign[host] = _Told(self.clock.now_ms() + ttl_ms, loads)
        self._note_change()

    def take_rest(self, loads: dict[str, ReplicaLoad], ttl_ms: float) -> None:
        """Take the loads of all hosts that this one doesn't know by themselves."""
        self._rest = _Told(self.clock.now_ms() + ttl_ms, loads)
        self._note_change()

    def drop_rest(self) -> None:
        """Forget the rest, as this host learns it part by part."""
        if self._rest is not None:
            self._rest = None
            self._note_change()

    def total(self, replica_id: str) -> ReplicaLoad:
        """Return the work of all hosts at a replica; it must not be changed."""
        return self.total_of(replica_id, self._sum_of_others())

    def totals(self) -> Callable[[str], ReplicaLoad]:
        """Return what tells the work of all hosts at a replica, for a number of them at once."""
        others = self._sum_of_others()
        return lambda replica_id: self.total_of(replica_id, others)

    def total_of(self, replica_id: str, others: dict[str, ReplicaLoad]) -> ReplicaLoad:
        """Add this host's work at a replica to that of the others."""
        own = self.own.get(replica_id)
        known = others.get(replica_id)
        if own is None:
            return known or _NO_LOAD
        if known is None:
            return own
        return ReplicaLoad(
            own.streams + known.streams,
            own.headed + known.headed,
            own.kv_in_use + known.kv_in_use,
        )

    def group(self) -> dict[str, ReplicaLoad]:
        """Return the work of this host and of those that told it theirs."""
        return _sum([self.own, *self._current(self._told)])

    def all_but(self, host: str) -> dict[str, ReplicaLoad]:
        """Return the work of all hosts without one that told this one its own."""
        told = self._told.get(host)
        left_out = None if told is None else told.loads
        return _sum(loads for loads in self._all_loads() if loads is not left_out)

    def _note_change(self) -> None:
        """Forget the sum of the others' loads."""
        self._others = None
        self._tell_room()

    def _tell_room(self) -> None:
        """Tell the subscribers that there may be room."""
        for callback in self._subscribers:
            callback()

    def _sum_of_others(self) -> dict[str, ReplicaLoad]:
        """Return the work of all other hosts; summed anew once a word changes or lapses."""
        now_ms = self.clock.now_ms()
        if self._others is None or now_ms > self._others_until_ms:
            self._others = _sum(self._all_loads()[1:])
            words = [*self._told.values(), *self._foreign.values()]
            if self._rest is not None and self._rest.until_ms >= now_ms:
                words.append(self._rest)
            self._others_until_ms = min((word.until_ms for word in words), default=math.inf)
        return self._others

    def _all_loads(self) -> list[dict[str, ReplicaLoad]]:
        """Return all that is known by now, this host's own first."""
        known = [self.own, *self._current(self._told), *self._current(self._foreign)]
        if self._rest is not None and self._rest.until_ms >= self.clock.now_ms():
            known.append(self._rest.loads)
        return known

    def _current(self, told: dict[str, _Told]) -> list[dict[str, ReplicaLoad]]:
        """Return the words that still hold, and forget the others."""
        now_ms = self.clock.now_ms()
        for host in [host for host, word in told.items() if word.until_ms < now_ms]:
            del told[host]
        return [word.loads for word in told.values()]


def create_load_board(clock: Clock) -> LoadBoard:
    """Return an empty board."""
    return LoadBoard(clock)


def _sum(parts: Iterable[dict[str, ReplicaLoad]]) -> dict[str, ReplicaLoad]:
    """Return the sum of loads."""
    total: dict[str, ReplicaLoad] = {}
    for loads in parts:
        for replica_id, load in loads.items():
            _add(total.setdefault(replica_id, ReplicaLoad()), load)
    return total


def _add(total: ReplicaLoad, load: ReplicaLoad | None) -> None:
    """Add one load to a sum."""
    if load is None:
        return
    total.streams += load.streams
    total.headed += load.headed
    total.kv_in_use += load.kv_in_use
