"""Work that passes through each replica, this host's own and what other hosts told."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentodale.clock import Clock
    from pimentodale.placement.messages import PathPart

TELL_INTERVAL_MS: Final = 400.0
"""How often hosts tell each other their loads; a stream lasts several times as long."""

TOLD_TTL_MS: Final = 1_500.0
"""How long another host's word holds."""


class ReplicaLoad(msgspec.Struct, array_like=True):
    """Work of one host at one replica."""

    streams: int = 0
    """Requests that pass through it."""

    headed: int = 0
    """Requests that it received as the first of their path."""

    kv_in_use: float = 0.0
    """Tokens x layers of these requests."""


@dataclass(slots=True)
class LoadBoard:
    """Loads by replica."""

    clock: Clock
    own: dict[str, ReplicaLoad] = field(default_factory=dict)
    """Work of this host."""

    _told: dict[str, tuple[float, dict[str, ReplicaLoad]]] = field(default_factory=dict)

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

    def take_told(
        self, host: str, loads: dict[str, ReplicaLoad], ttl_ms: float = TOLD_TTL_MS
    ) -> None:
        """Take another host's loads in place of what it told before."""
        self._told[host] = (self.clock.now_ms() + ttl_ms, loads)

    def total(self, replica_id: str) -> ReplicaLoad:
        """Return the work of all hosts at a replica."""
        own = self.own.get(replica_id)
        total = (
            ReplicaLoad() if own is None else ReplicaLoad(own.streams, own.headed, own.kv_in_use)
        )
        now_ms = self.clock.now_ms()
        for until_ms, loads in self._told.values():
            told = loads.get(replica_id)
            if told is None or until_ms < now_ms:
                continue
            total.streams += told.streams
            total.headed += told.headed
            total.kv_in_use += told.kv_in_use
        return total


def create_load_board(clock: Clock) -> LoadBoard:
    """Return an empty board."""
    return LoadBoard(clock)
