"""How hosts learn each other's loads, in a number of messages that grows with the hosts.

The live hosts of a failure domain are ranked alike by all of them. Each host tells the first one above it
what it and the hosts below it do, and is told in return what everybody else does. The first hosts of two
failure domains tell each other the sums of their domains. A host that gives no answer is passed over for
a while, so the next in rank takes its part.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final
from zlib import crc32

import msgspec

from pimentodale.forwarding.load_table import KV_UNIT, ReplicaLoad
from pimentodale.logs import get_log
from pimentodale.peers.mesh import rank

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from pimentodale.clock import Clock
    from pimentodale.forwarding.load_table import LoadTable
    from pimentodale.peers.peers import Peers
    from pimentodale.site.view import SiteView

TOPIC: Final = "load"
"""Topic of questions between hosts."""

INTERVAL_MS: Final = 200.0
"""Pause between two questions; a stream lasts several times as long."""

PER_HOST_MS: Final = 10.0
"""Least pause for each host of the failure domain, so that the first one answers 100 questions a second
at most."""

ANSWER_TIMEOUT_MS: Final = 300.0
"""Longest wait for an answer, which takes a few ms."""

PASS_OVER_MS: Final = 2_000.0
"""How long a host that gave no answer is passed over; membership knows by then whether it lives."""

CANDIDATES: Final = 3
"""Hosts of a failure domain, from the first in rank, that are asked."""

VALID_INTERVALS: Final = 4.0
"""Intervals for which a host's word holds: one question may fail and another host be tried."""

Wire = dict[int, tuple[int, int, int]]
"""Streams, headed streams and memory (in `KV_UNIT`) by the checksum of a replica's id."""

_log = get_log("sharing")


class LoadQuestion(msgspec.Struct, array_like=True):
    """What a host tells when it asks."""

    host: str
    """The host."""

    failure_domain: str
    """Its failure domain."""

    loads: Wire
    """Loads of it and of the hosts that told it theirs."""


_questions = msgspec.msgpack.Decoder(LoadQuestion)
_answers = msgspec.msgpack.Decoder(Wire)


@dataclass(slots=True)
class LoadExchange:
    """One host's part in the exchange."""

    board: LoadTable
    view: SiteView
    peers: Peers
    clock: Clock
    rng: random.Random
    _passed_over: dict[str, float] = field(default_factory=dict)
    _heard_ms: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Ask again and again, for ever."""
        while True:
            await self.clock.sleep_ms(self.interval_ms() * self.rng.uniform(0.9, 1.1))
            await self.exchange()

    def interval_ms(self) -> float:
        """Return the pause between two questions, by the size of the failure domain."""
        domain = self.peers.own.failure_domain
        count = sum(member.failure_domain == domain for member in self.peers.live_members())
        return max(INTERVAL_MS, PER_HOST_MS * count)

    async def exchange(self) -> None:
        """Tell the host above this one, or those at the top of the other failure domains."""
        own = self.peers.own
        by_domain: dict[str, list[str]] = {own.failure_domain: []}
        for member in self.peers.live_members():
            by_domain.setdefault(member.failure_domain, []).append(member.host)
        above = self._above(rank_relays(own.failure_domain, by_domain.pop(own.failure_domain)))
        if above is not None:
            await self._ask_above(above)
            return
        self.board.clear_remaining_loads()
        domains = [domain for domain in sorted(by_domain) if self._is_due(domain)]
        await asyncio.gather(
            *(
                self._ask_domain(domain, rank_relays(domain, by_domain[domain]))
                for domain in domains
            )
        )

    async def answer(self, body: bytes) -> bytes:
        """Take another host's loads and tell it those of all others."""
        question = _questions.decode(body)
        loads = from_wire(question.loads, self.view.replicas)
        if question.failure_domain == self.peers.own.failure_domain:
            self.board.set_host_loads(question.host, loads, self._valid_ms())
            return msgspec.msgpack.encode(to_wire(self.board.total_excluding(question.host)))
        self._heard_ms[question.failure_domain] = self.clock.now_ms()
        self.board.set_domain_loads(question.host, loads, self._valid_ms())
        return msgspec.msgpack.encode(to_wire(self.board.direct_loads()))

    def _above(self, ranked: Sequence[str]) -> str | None:
        """Return the host that this one tells; `None` when it is the first itself."""
        for host in ranked[:CANDIDATES]:
            if host == self.peers.own.host:
                return None
            if self._is_asked(host):
                return host
        return None

    async def _ask_above(self, host: str) -> None:
        """Tell a host of the own failure domain, and learn what all others do."""
        loads = await self._ask(host)
        if loads is not None:
            self.board.set_remaining_loads(loads, self._valid_ms())

    async def _ask_domain(self, domain: str, ranked: Sequence[str]) -> None:
        """Tell the first host of another failure domain, and learn what that one does."""
        for host in ranked[:CANDIDATES]:
            if not self._is_asked(host):
                continue
            loads = await self._ask(host)
            if loads is None:
                continue
            self._heard_ms[domain] = self.clock.now_ms()
            self.board.set_domain_loads(host, loads, self._valid_ms())
            return

    async def _ask(self, host: str) -> dict[str, ReplicaLoad] | None:
        """Ask one host; one that gives no answer is passed over for a while."""
        own = self.peers.own
        question = LoadQuestion(own.host, own.failure_domain, to_wire(self.board.direct_loads()))
        body = msgspec.msgpack.encode(question)
        reply = await self.peers.request(host, TOPIC, body, ANSWER_TIMEOUT_MS, is_kept=True)
        problem = "" if reply.is_ok() else reply.error.message
        if reply.is_ok():
            try:
                return from_wire(_answers.decode(reply.ok), self.view.replicas)
            except msgspec.MsgspecError as error:
                problem = f"its answer can't be read: {error}"
        self._passed_over[host] = self.clock.now_ms() + PASS_OVER_MS
        _log.info("A host is passed over for the exchange of loads.", host=host, reason=problem)
        return None

    def _is_asked(self, host: str) -> bool:
        """Whether a host isn't passed over now."""
        return self._passed_over.get(host, 0.0) <= self.clock.now_ms()

    def _is_due(self, domain: str) -> bool:
        """Whether another failure domain was not heard of in this interval."""
        since_ms = self.clock.now_ms() - self._heard_ms.get(domain, float("-inf"))
        return since_ms >= self.interval_ms() / 2

    def _valid_ms(self) -> float:
        """Return how long a host's word holds."""
        return VALID_INTERVALS * self.interval_ms() + ANSWER_TIMEOUT_MS


def create_load_exchange(
    board: LoadTable, view: SiteView, peers: Peers, clock: Clock, rng: random.Random
) -> LoadExchange:
    """Return this host's part, and have it answer other hosts.

    Args:
        board: Loads of this host; takes those of the others.
        view: Tells the replicas.
        peers: The other hosts.
        clock: Tells the time.
        rng: Spreads the questions over time.
    """
    exchange = LoadExchange(board, view, peers, clock, rng)
    peers.handle(TOPIC, exchange.answer)
    return exchange


def rank_relays(failure_domain: str, hosts: Iterable[str]) -> list[str]:
    """Order the live hosts of a failure domain by who passes loads on first."""
    return rank(f"loads/{failure_domain}", hosts)


def to_wire(loads: dict[str, ReplicaLoad]) -> Wire:
    """Return loads in a few bytes a replica."""
    return {
        crc32(replica_id.encode()): (load.streams, load.headed, round(load.kv_in_use / KV_UNIT))
        for replica_id, load in loads.items()
    }


def from_wire(wire: Wire, replica_ids: Iterable[str]) -> dict[str, ReplicaLoad]:
    """Return told loads by replica; those of replicas that this host doesn't know are left out."""
    loads = {}
    for replica_id in replica_ids:
        load = wire.get(crc32(replica_id.encode()))
        if load is not None:
            loads[replica_id] = ReplicaLoad(load[0], load[1], load[2] * KV_UNIT)
    return loads
