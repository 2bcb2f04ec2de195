"""Exchange of load reports between hosts, with a message count linear in the number of hosts.

All hosts of a failure domain rank its live hosts identically. The first one acts as the relay of
the domain: each other host sends it the total load of itself and the hosts that report to it, and
receives the load of all remaining hosts. Relays of different failure domains exchange the totals of
their domains. A host that does not answer is skipped for a while, and the next in rank takes over.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final
from zlib import crc32

import msgspec

from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.forwarding.load_table import KV_UNIT, ReplicaLoad, list_domain_keys
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
"""Topic of the requests between hosts."""

INTERVAL_MS: Final = 200.0
"""Minimum pause between two exchanges; a stream lasts several times as long."""

MIN_INTERVAL_PER_HOST_MS: Final = 10.0
"""Minimum pause per host of the failure domain, which limits a relay to 100 requests per second."""

ANSWER_TIMEOUT_MS: Final = 300.0
"""Timeout of a request; an answer normally takes a few ms."""

UNRESPONSIVE_SKIP_MS: Final = 2_000.0
"""How long an unresponsive host is skipped; membership has detected a failed host by then."""

MAX_RELAY_CANDIDATES: Final = 3
"""Number of top-ranked hosts of a failure domain that are tried as its relay."""

REPORT_TTL_INTERVALS: Final = 4.0
"""Lifetime of a report in intervals; allows for one failed request and a try at another host."""

EncodedLoads = dict[int, tuple[int, int, int]]
"""Streams, streams as first stage and KV memory (in `KV_UNIT`) by CRC-32 of the replica id."""

_log = get_log("sharing")


class LoadRequest(msgspec.Struct, array_like=True):
    """A host's load report, which also requests the loads of the other hosts."""

    host: str
    """Name of the sending host."""

    failure_domain: str
    """Failure domain of the sending host."""

    loads: EncodedLoads
    """Total load of the sending host and of the hosts that report to it."""


_request_decoder = msgspec.msgpack.Decoder(LoadRequest)
_response_decoder = msgspec.msgpack.Decoder(EncodedLoads)


@dataclass(slots=True)
class LoadExchange:
    """Exchanges loads with other hosts on behalf of one host."""

    board: LoadTable
    view: SiteView
    peers: Peers
    clock: Clock
    rng: random.Random
    _skipped_until_ms: dict[str, float] = field(default_factory=dict)
    _last_contact_ms: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Exchange loads periodically until cancelled."""
        while True:
            await self.clock.sleep_ms(self.interval_ms() * self.rng.uniform(0.9, 1.1))
            await self.exchange()

    def interval_ms(self) -> float:
        """Return the pause between two exchanges; it grows with the size of the failure domain."""
        domain = self.peers.own.failure_domain
        count = sum(member.failure_domain == domain for member in self.peers.live_members())
        return max(INTERVAL_MS, MIN_INTERVAL_PER_HOST_MS * count)

    async def exchange(self) -> None:
        """Exchange loads with the relay; as the relay, with the other failure domains."""
        own = self.peers.own
        by_domain: dict[str, list[str]] = {own.failure_domain: []}
        for member in self.peers.live_members():
            by_domain.setdefault(member.failure_domain, []).append(member.host)
        relay = self._choose_relay(
            rank_relays(own.failure_domain, by_domain.pop(own.failure_domain))
        )
        if relay is not None:
            await self._exchange_with_relay(relay)
            return
        self.board.clear_remaining_loads()
        domains = [domain for domain in sorted(by_domain) if self._is_due(domain)]
        await asyncio.gather(
            *(
                self._exchange_with_domain(domain, rank_relays(domain, by_domain[domain]))
                for domain in domains
            )
        )

    async def answer(self, body: bytes) -> bytes:
        """Record a host's report and answer with the loads that the host needs.

        A host of the same failure domain gets the loads of all other hosts; a relay of another
        failure domain gets the total of this one.
        """
        received = _request_decoder.decode(body)
        loads = decode_loads(received.loads, self._known_keys())
        if received.failure_domain == self.peers.own.failure_domain:
            self.board.set_host_loads(received.host, loads, self._report_ttl_ms())
            return msgspec.msgpack.encode(encode_loads(self.board.total_excluding(received.host)))
        self._last_contact_ms[received.failure_domain] = self.clock.now_ms()
        self.board.set_domain_loads(received.host, loads, self._report_ttl_ms())
        return msgspec.msgpack.encode(encode_loads(self.board.direct_loads()))

    def _choose_relay(self, ranked: Sequence[str]) -> str | None:
        """Return the relay to report to; `None` if this host is the relay or none is available."""
        for host in ranked[:MAX_RELAY_CANDIDATES]:
            if host == self.peers.own.host:
                return None
            if self._is_available(host):
                return host
        return None

    async def _exchange_with_relay(self, host: str) -> None:
        """Report to the relay of this failure domain and record the loads of all other hosts."""
        loads = await self._request_loads(host)
        if loads is not None:
            self.board.set_remaining_loads(loads, self._report_ttl_ms())

    async def _exchange_with_domain(self, domain: str, ranked: Sequence[str]) -> None:
        """Exchange totals with the first available relay candidate of another failure domain."""
        for host in ranked[:MAX_RELAY_CANDIDATES]:
            if not self._is_available(host):
                continue
            loads = await self._request_loads(host)
            if loads is None:
                continue
            self._last_contact_ms[domain] = self.clock.now_ms()
            self.board.set_domain_loads(host, loads, self._report_ttl_ms())
            return

    async def _request_loads(self, host: str) -> dict[str, ReplicaLoad] | None:
        """Send the report to another host and return its answer; skip the host if that fails."""
        own = self.peers.own
        report = LoadRequest(own.host, own.failure_domain, encode_loads(self.board.direct_loads()))
        body = msgspec.msgpack.encode(report)
        reply = await self.peers.request(
            host, TOPIC, body, ANSWER_TIMEOUT_MS, reuse_connection=True
        )
        problem = "" if reply.is_ok() else reply.error.message
        if reply.is_ok():
            try:
                return decode_loads(_response_decoder.decode(reply.ok), self._known_keys())
            except UNREADABLE as error:
                problem = f"its answer can't be decoded: {error}"
        self._skipped_until_ms[host] = self.clock.now_ms() + UNRESPONSIVE_SKIP_MS
        _log.info("Skipping an unresponsive host in the load exchange.", host=host, reason=problem)
        return None

    def _known_keys(self) -> list[str]:
        """Return the ids of the known replicas and the keys that count streams by domain."""
        domains = {member.failure_domain for member in self.peers.live_members()}
        domains.update(record.failure_domain for record in self.view.replicas.values())
        return [*self.view.replicas, *list_domain_keys(domains)]

    def _is_available(self, host: str) -> bool:
        """Whether a host is currently not skipped."""
        return self._skipped_until_ms.get(host, 0.0) <= self.clock.now_ms()

    def _is_due(self, domain: str) -> bool:
        """Whether the last exchange with a failure domain is at least half an interval old."""
        since_ms = self.clock.now_ms() - self._last_contact_ms.get(domain, float("-inf"))
        return since_ms >= self.interval_ms() / 2

    def _report_ttl_ms(self) -> float:
        """Return the lifetime of a host's report."""
        return REPORT_TTL_INTERVALS * self.interval_ms() + ANSWER_TIMEOUT_MS


def create_load_exchange(
    board: LoadTable, view: SiteView, peers: Peers, clock: Clock, rng: random.Random
) -> LoadExchange:
    """Create the load exchange of this host and register its request handler.

    Args:
        board: Holds the loads of this host and of the others.
        view: Provides the known replicas.
        peers: Connection to the other hosts.
        clock: Time source.
        rng: Random source for jitter between exchanges.
    """
    exchange = LoadExchange(board, view, peers, clock, rng)
    peers.handle(TOPIC, exchange.answer)
    return exchange


def rank_relays(failure_domain: str, hosts: Iterable[str]) -> list[str]:
    """Return the live hosts of a failure domain, ordered by their preference as its relay."""
    return rank(f"loads/{failure_domain}", hosts)


def encode_loads(loads: dict[str, ReplicaLoad]) -> EncodedLoads:
    """Encode loads compactly, in a few bytes per replica."""
    return {
        crc32(replica_id.encode()): (load.streams, load.headed, round(load.kv_in_use / KV_UNIT))
        for replica_id, load in loads.items()
    }


def decode_loads(encoded: EncodedLoads, keys: Iterable[str]) -> dict[str, ReplicaLoad]:
    """Decode loads by replica id or domain key; those unknown to this host are dropped."""
    loads = {}
    for key in keys:
        load = encoded.get(crc32(key.encode()))
        if load is not None:
            loads[key] = ReplicaLoad(load[0], load[1], load[2] * KV_UNIT)
    return loads
