"""Load of each replica: this host's own requests and the loads reported by other hosts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import pairwise, permutations
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock
    from pimentodale.placement.messages import PathPart

LINK_PREFIX: Final = "link/"
"""Prefix of the keys that count streams by link, as if the link were a replica."""

KV_UNIT: Final = 1_000.0
"""Unit of reported KV loads, in tokens x layers."""

MAX_TRACKED_PREFILLS: Final = 1_000
"""Number of replicas with a tracked prefill above which finished ones are dropped."""

REPORTED_LOAD_TTL_MS: Final = 1_500.0
"""How long a load report of another host is valid."""

INFERRED_LOAD_TTL_MS: Final = 1_500.0
"""How long load inferred from a refusal counts: half the usual duration of a request."""


MAX_COUNTED_DOMAINS: Final = 16
"""Number of failure domains above which streams are not counted by domain; the number of keys grows
with its square."""


class ReplicaLoad(msgspec.Struct, array_like=True):
    """Load of one host on one replica."""

    streams: int = 0
    """Number of requests with the replica on their path."""

    headed: int = 0
    """Number of requests with the replica as the head of their path."""

    kv_in_use: float = 0.0
    """KV cache use of these requests, in tokens x layers."""


_NO_LOAD: Final = ReplicaLoad()


@dataclass(slots=True)
class _ReportedLoads:
    """Loads reported by another host."""

    until_ms: float
    """Time until which the report is valid."""

    loads: dict[str, ReplicaLoad]
    """Loads by replica."""


@dataclass(slots=True)
class _InferredLoad:
    """Load that no host reported, inferred from a refusal."""

    kv: float
    """KV cache use, in tokens x layers."""

    until_ms: float
    """Time until which it counts."""


@dataclass(slots=True)
class LoadTable:
    """Loads by replica, from this host and from others."""

    clock: Clock
    own: dict[str, ReplicaLoad] = field(default_factory=dict)
    """Load of this host's requests."""

    home: str = ""
    """Failure domain of this host; empty if requests are not counted by domain."""

    domain_of: Callable[[str], str] = lambda _replica_id: ""
    """Returns a replica's failure domain; empty if unknown."""

    count_waiting: Callable[[], int] = lambda: 0
    """Returns the number of streams that wait for a path at this host."""

    _domains: dict[str, str] = field(default_factory=dict)
    """Failure domains of the replicas in `own`, as they were when the first request started."""

    _reported_links: dict[str, int] = field(default_factory=dict)
    """This host's streams by link key, as of its last report."""

    _subscribers: list[Callable[[], None]] = field(default_factory=list)
    _inferred: dict[str, _InferredLoad] = field(default_factory=dict)
    _prefill_until_ms: dict[str, float] = field(default_factory=dict)
    _by_host: dict[str, _ReportedLoads] = field(default_factory=dict)
    _from_other_domains: dict[str, _ReportedLoads] = field(default_factory=dict)
    _remaining: _ReportedLoads | None = None
    _others: dict[str, ReplicaLoad] | None = None
    _others_until_ms: float = 0.0

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes that may free capacity."""
        self._subscribers.append(callback)

    def add(self, parts: Iterable[PathPart], tokens: float) -> None:
        """Add the load of a request that starts on a path."""
        listed = tuple(parts)
        for index, part in enumerate(listed):
            load = self.own.setdefault(part.replica_id, ReplicaLoad())
            load.streams += 1
            load.headed += index == 0
            load.kv_in_use += tokens * len(part.layers)
            if self.home and part.replica_id not in self._domains:
                self._domains[part.replica_id] = self.domain_of(part.replica_id)
        for key in self._domain_keys(listed):
            self.own.setdefault(key, ReplicaLoad()).streams += 1

    def remove(self, parts: Iterable[PathPart], tokens: float) -> None:
        """Remove the load of a request that has ended; call it once for each `add`."""
        listed = tuple(parts)
        for key in self._domain_keys(listed):
            self.own[key].streams -= 1
            if self.own[key].streams <= 0:
                del self.own[key]
        for index, part in enumerate(listed):
            load = self.own[part.replica_id]
            load.streams -= 1
            load.headed -= index == 0
            load.kv_in_use -= tokens * len(part.layers)
            if load.streams <= 0:
                del self.own[part.replica_id]
                self._domains.pop(part.replica_id, None)
        self._notify_capacity()

    def note_prefill(self, replica_id: str, work_ms: float) -> None:
        """Add the prefill time of a request of this host to a replica's backlog."""
        now_ms = self.clock.now_ms()
        until_ms = max(now_ms, self._prefill_until_ms.get(replica_id, 0.0))
        self._prefill_until_ms[replica_id] = until_ms + work_ms
        if len(self._prefill_until_ms) > MAX_TRACKED_PREFILLS:
            lasting = {
                key: at_ms for key, at_ms in self._prefill_until_ms.items() if at_ms > now_ms
            }
            self._prefill_until_ms = lasting

    def backlog_ms(self, replica_id: str) -> float:
        """Return how long a replica is still busy with the prefill of this host's prompts."""
        until_ms = self._prefill_until_ms.get(replica_id)
        return 0.0 if until_ms is None else max(0.0, until_ms - self.clock.now_ms())

    def note_full(self, replica_id: str, capacity: float) -> None:
        """Treat a replica as full that refused a request for lack of capacity.

        Load reports are delayed, and requests hold more or fewer tokens than estimated.

        Args:
            replica_id: The replica.
            capacity: Tokens x layers up to which this host fills the replica.
        """
        kv = max(0.0, capacity - self.total(replica_id).kv_in_use)
        self._inferred[replica_id] = _InferredLoad(kv, self.clock.now_ms() + INFERRED_LOAD_TTL_MS)

    def inferred_kv(self, replica_id: str) -> float:
        """Return the tokens x layers at a replica that are inferred from a refusal."""
        if replica_id not in self._inferred:
            return 0.0
        inferred = self._inferred[replica_id]
        if inferred.until_ms <= self.clock.now_ms():
            del self._inferred[replica_id]
            return 0.0
        return inferred.kv

    def set_host_loads(
        self, host: str, loads: dict[str, ReplicaLoad], ttl_ms: float = REPORTED_LOAD_TTL_MS
    ) -> None:
        """Store the loads reported by a host, in place of its earlier report."""
        self._by_host[host] = _ReportedLoads(self.clock.now_ms() + ttl_ms, loads)
        self._note_change()

    def set_domain_loads(self, host: str, loads: dict[str, ReplicaLoad], ttl_ms: float) -> None:
        """Store the loads of another failure domain, as reported by one of its hosts."""
        self._from_other_domains[host] = _ReportedLoads(self.clock.now_ms() + ttl_ms, loads)
        self._note_change()

    def set_remaining_loads(self, loads: dict[str, ReplicaLoad], ttl_ms: float) -> None:
        """Store the sum of the loads of all hosts without a report of their own."""
        self._remaining = _ReportedLoads(self.clock.now_ms() + ttl_ms, loads)
        self._note_change()

    def clear_remaining_loads(self) -> None:
        """Drop the remaining loads, as this host now receives them in separate reports."""
        if self._remaining is not None:
            self._remaining = None
            self._note_change()

    def total(self, replica_id: str) -> ReplicaLoad:
        """Return the load of all hosts on a replica; the result must not be modified."""
        return self.total_of(replica_id, self._sum_of_others())

    def totals(self) -> Callable[[str], ReplicaLoad]:
        """Return a function for the total load of a replica; use it to look up many replicas."""
        others = self._sum_of_others()
        return lambda replica_id: self.total_of(replica_id, others)

    def total_of(self, replica_id: str, others: dict[str, ReplicaLoad]) -> ReplicaLoad:
        """Return this host's load on a replica plus that of the other hosts."""
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

    def has_reports(self) -> bool:
        """Whether any other host's loads are known."""
        return len(self._all_loads()) > 1

    def unreported_streams(self, key: str) -> int:
        """Return this host's streams over a link that its last report did not contain."""
        own = self.own.get(key)
        return 0 if own is None else max(0, own.streams - self._reported_links.get(key, 0))

    def note_host(self) -> None:
        """Count this host and the streams that wait for a path at it."""
        if not self.home:
            return
        self.own[hosts_key(self.home)] = ReplicaLoad(1)
        waiting = self.count_waiting()
        if waiting > 0:
            self.own[waiting_key(self.home)] = ReplicaLoad(waiting)
        else:
            self.own.pop(waiting_key(self.home), None)

    def direct_loads(self) -> dict[str, ReplicaLoad]:
        """Return the summed load of this host and of the hosts that report to it directly."""
        self._note_report()
        return _sum([self.own, *self._current(self._by_host)])

    def total_excluding(self, host: str) -> dict[str, ReplicaLoad]:
        """Return the summed load of all hosts but one that reports its own load to this host."""
        self._note_report()
        reported = self._by_host.get(host)
        left_out = None if reported is None else reported.loads
        return _sum(loads for loads in self._all_loads() if loads is not left_out)

    def _domain_keys(self, parts: tuple[PathPart, ...]) -> list[str]:
        """Return the keys under which a path is counted by failure domains."""
        if not self.home or not parts:
            return []
        domains = [self._domains.get(part.replica_id, "") for part in parts]
        if "" in domains:
            return []
        keys = [link_key(before, after) for before, after in pairwise(domains) if before != after]
        if domains[0] != self.home:
            keys.append(entry_key(self.home, domains[0]))
        return keys

    def _note_report(self) -> None:
        """Note which of this host's streams a report contains."""
        self.note_host()
        self._reported_links = {
            key: load.streams for key, load in self.own.items() if key.startswith(LINK_PREFIX)
        }

    def _note_change(self) -> None:
        """Invalidate the cached sum of the other hosts' loads, and notify the subscribers."""
        self._others = None
        self._notify_capacity()

    def _notify_capacity(self) -> None:
        """Notify the subscribers that capacity may have become free."""
        for callback in self._subscribers:
            callback()

    def _sum_of_others(self) -> dict[str, ReplicaLoad]:
        """Return the summed load of all other hosts, cached until a report changes or expires."""
        now_ms = self.clock.now_ms()
        if self._others is None or now_ms > self._others_until_ms:
            self._others = _sum(self._all_loads()[1:])
            reports = [*self._by_host.values(), *self._from_other_domains.values()]
            if self._remaining is not None and self._remaining.until_ms >= now_ms:
                reports.append(self._remaining)
            self._others_until_ms = min((report.until_ms for report in reports), default=math.inf)
        return self._others

    def _all_loads(self) -> list[dict[str, ReplicaLoad]]:
        """Return all valid loads, this host's own first."""
        known = [self.own, *self._current(self._by_host), *self._current(self._from_other_domains)]
        if self._remaining is not None and self._remaining.until_ms >= self.clock.now_ms():
            known.append(self._remaining.loads)
        return known

    def _current(self, reported: dict[str, _ReportedLoads]) -> list[dict[str, ReplicaLoad]]:
        """Return the loads of the valid reports, and drop expired ones."""
        now_ms = self.clock.now_ms()
        for host in [host for host, report in reported.items() if report.until_ms < now_ms]:
            del reported[host]
        return [report.loads for report in reported.values()]


def link_key(domain: str, other: str) -> str:
    """Return the key that counts the hops of streams between two failure domains."""
    return f"{LINK_PREFIX}{min(domain, other)}|{max(domain, other)}"


def entry_key(source: str, target: str) -> str:
    """Return the key that counts the streams of one domain's hosts that begin in another domain."""
    return f"entry/{source}>{target}"


def waiting_key(domain: str) -> str:
    """Return the key that counts the streams that wait for a path at a domain's hosts."""
    return f"wait/{domain}"


def hosts_key(domain: str) -> str:
    """Return the key that counts the hosts of a domain whose loads are known."""
    return f"hosts/{domain}"


def list_domain_keys(domains: Iterable[str]) -> list[str]:
    """Return all keys that count streams by failure domain; none for too many domains."""
    names = sorted(set(domains) - {""})
    if len(names) > MAX_COUNTED_DOMAINS:
        return []
    pairs = list(permutations(names, 2))
    links = {link_key(*pair) for pair in pairs}
    return [
        *links,
        *(entry_key(*pair) for pair in pairs),
        *map(waiting_key, names),
        *map(hosts_key, names),
    ]


def create_load_table(clock: Clock) -> LoadTable:
    """Return an empty table."""
    return LoadTable(clock)


def _sum(parts: Iterable[dict[str, ReplicaLoad]]) -> dict[str, ReplicaLoad]:
    """Return the sum of several loads by replica."""
    total: dict[str, ReplicaLoad] = {}
    for loads in parts:
        for replica_id, load in loads.items():
            _add(total.setdefault(replica_id, ReplicaLoad()), load)
    return total


def _add(total: ReplicaLoad, load: ReplicaLoad | None) -> None:
    """Add a load to a total in place."""
    if load is None:
        return
    total.streams += load.streams
    total.headed += load.headed
    total.kv_in_use += load.kv_in_use
