"""Fake peers and a fake store for following the store without a network."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
from expression import Error, Ok

from pimentodale.clients.key_value import KeyValue, RangeReply, StoreFault, WatchBatch
from pimentodale.mirror.follower import MirrorQuery
from pimentodale.peers.messages import MemberRecord, MemberState
from pimentodale.peers.peers import PeerFault

if TYPE_CHECKING:
    from pimentodale.mirror.mirror import Mirror


class FakePeers:
    """Membership of a failure domain of five hosts that all answer from the same mirror."""

    def __init__(self, source: Mirror) -> None:
        self.members = [
            MemberRecord(f"h{n}", 1, MemberState.ALIVE, "b", "a", "r", "10.0.0.1", 1 + n)
            for n in range(5)
        ]
        self.own = self.members[0]
        self.source = source
        self.answers = True
        self.silent: set[str] = set()
        """Hosts that don't respond."""
        self.asked: list[str] = []

    def live_members(self) -> list[MemberRecord]:
        """Return the current members, initially all five."""
        return self.members

    def handle(self, topic: str, handler: object) -> None:
        """Ignore the handler; no host sends queries to this one."""

    async def request(
        self,
        host: str,
        topic: str,
        body: bytes,
        timeout_ms: float,
        *,
        reuse_connection: bool = False,
    ) -> Any:
        """Answer a query from the mirror, or fail if the host doesn't respond."""
        self.asked.append(host)
        await asyncio.sleep(0.01)
        if not self.answers or host in self.silent:
            return Error(PeerFault(False, "no answer"))
        # Its watch confirms the mirror of a host that responds.
        self.source.apply_changes(self.source.revision, [], [])
        query = msgspec.msgpack.decode(body, type=MirrorQuery)
        return Ok(msgspec.msgpack.encode(self.source.changes_since(query.revision, query.era)))


class CountingStore:
    """A store that counts reads and sends empty batches to a watch."""

    def __init__(self) -> None:
        self.reads = 0
        self.batches = 0
        self.empty_batches = 0
        """Number of empty batches that a watch sends before it ends."""
        self.is_down = False
        """Whether reads fail."""

    async def read(self, key: str, range_end: str) -> Any:
        """Count the read; return one key, or a fault while the store is down."""
        self.reads += 1
        if self.is_down:
            return Error(StoreFault(False, "connection refused"))
        return Ok(RangeReply(20, [KeyValue("k", b"from the store", 20, 20)]))

    async def watch(self, prefix: str, from_revision: int, silence_timeout_ms: float) -> Any:
        """Send empty batches, then end with a fault."""
        for _ in range(self.empty_batches):
            self.batches += 1
            yield Ok(WatchBatch(from_revision, [], []))
            await asyncio.sleep(0.01)
        yield Error(StoreFault(False, "no answer"))
