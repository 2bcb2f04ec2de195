"""Hosts that exchange loads without a network."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from expression import Error, Ok

from pimentodale.addresses import parse_address
from pimentodale.clock import ManualClock
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.gateway.load_exchange import (
    INTERVAL_MS,
    MIN_INTERVAL_PER_HOST_MS,
    create_load_exchange,
)
from pimentodale.peers.messages import MemberRecord, MemberState
from pimentodale.peers.peers import PeerFault
from pimentodale.placement.messages import PathPart
from pimentodale.site.model import LayerRange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pimentodale.gateway.load_exchange import LoadExchange

REPLICA = "i-1"
_PART = PathPart(REPLICA, parse_address("10.0.0.1:80"), LayerRange(0, 8))


@dataclass(slots=True)
class LoadNetwork:
    """The hosts of a site and who reaches whom."""

    clock: ManualClock = field(default_factory=ManualClock)
    members: list[MemberRecord] = field(default_factory=list)
    exchanges: dict[str, LoadExchange] = field(default_factory=dict)
    handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    """Hosts that give no answer."""
    cut_domain: str = ""
    """Failure domain that nothing leaves or enters."""
    requests: list[tuple[str, str]] = field(default_factory=list)
    """Failure domains of asker and asked, for each question of the last round."""

    def domain_of(self, host: str) -> str:
        """Return a host's failure domain."""
        return host.partition("-")[0]

    def add_host(self, host: str) -> None:
        """Add a host that has one request at the replica."""
        record = MemberRecord(
            host, 1, MemberState.ALIVE, "b", self.domain_of(host), "r", "10.0.0.1", 1
        )
        self.members.append(record)
        board = create_load_table(self.clock)
        board.add((_PART,), 100.0)
        view = SimpleNamespace(replicas={REPLICA: SimpleNamespace(failure_domain="d0")})
        peers: Any = _Peers(self, record)
        self.exchanges[host] = create_load_exchange(
            board, view, peers, self.clock, random.Random(1)  # type: ignore[arg-type]
        )

    def end_request(self, host: str) -> None:
        """End a host's request."""
        self.exchanges[host].board.remove((_PART,), 100.0)

    def count(self, host: str) -> int:
        """Return the requests that a host counts at the replica."""
        return self.exchanges[host].board.total(REPLICA).streams

    def pass_rounds(self, rounds: int) -> None:
        """Have each host ask once an interval, in an order of its own."""
        rng = random.Random(rounds)
        hosts = list(self.exchanges)
        domain_hosts = max(1, len(hosts) // len({self.domain_of(host) for host in hosts}))
        for _ in range(rounds):
            self.requests.clear()
            rng.shuffle(hosts)
            for host in hosts:
                if host not in self.silent:
                    asyncio.run(self.exchanges[host].exchange())
            self.clock.advance(max(INTERVAL_MS, MIN_INTERVAL_PER_HOST_MS * domain_hosts))

    def reaches(self, asker: str, asked: str) -> bool:
        """Whether one host gets an answer of another."""
        if asked in self.silent:
            return False
        domains = {self.domain_of(asker), self.domain_of(asked)}
        return len(domains) == 1 or self.cut_domain not in domains


class _Peers:
    """One host's membership."""

    def __init__(self, network: LoadNetwork, own: MemberRecord) -> None:
        self._network = network
        self.own = own

    def live_members(self) -> list[MemberRecord]:
        """Return all hosts: membership takes longer than the exchange to notice."""
        return self._network.members

    def handle(self, topic: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Take the handler."""
        del topic
        self._network.handlers[self.own.host] = handler

    async def request(
        self,
        host: str,
        topic: str,
        body: bytes,
        timeout_ms: float,
        *,
        reuse_connection: bool = False,
    ) -> Any:
        """Have the other host answer."""
        del topic, timeout_ms, reuse_connection
        network = self._network
        asker = self.own.host
        network.requests.append((network.domain_of(asker), network.domain_of(host)))
        if not network.reaches(asker, host):
            return Error(PeerFault(False, "no answer"))
        return Ok(await network.handlers[host](body))
