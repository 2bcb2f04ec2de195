"""Offline model of a large site: hosts that choose a failure domain by delayed loads.

Streams arrive at random and stay for their duration. Each host reads the loads as they were when
the last report reached it. The time per token of a domain grows linearly with its streams.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from features.support.virtual_time import VirtualClock, VirtualTimeLoop, run_virtually
from pimentodale.placement.domain_shares import (
    UPDATE_INTERVAL_MS,
    DomainShare,
    DomainState,
    Pair,
    capacity_within,
    draw_domain,
    draw_link_quota,
    link_limit,
    update_shares,
)

HOSTS: Final = 72
TICK_MS: Final = 50.0
REPORT_AGE_MS: Final = 500.0
SETTLED_MS: Final = 10_000.0
"""Time after which a site under steady load counts as settled."""

TARGET_TOKEN_MS: Final = 15.0
IDLE_TOKEN_MS: Final = 7.0
MIN_STREAM_MS: Final = 1_500.0
MAX_STREAM_MS: Final = 3_000.0
LATE_FACTOR: Final = 1.1
"""Multiple of the target time per token above which a stream counts as late; home domains that send
their excess elsewhere are at the target on average."""

MEAN_STREAM_MS: Final = (MIN_STREAM_MS + MAX_STREAM_MS) / 2


@dataclass(slots=True)
class ModelDomain:
    """A failure domain of the model."""

    slots: float
    """Streams that its heads accept."""

    capacity: float
    """Streams with which the time per token is at the target."""

    arrivals_per_s: float
    """New streams at its gateways."""

    is_lost: bool = False
    """Whether it has no copy of the model."""


@dataclass(slots=True)
class HostView:
    """What one host knows and has decided."""

    home: str
    offset_ms: float
    """Time of its updates within the interval."""

    shares: dict[Pair, DomainShare] = field(default_factory=dict)


Chooser = Callable[["SiteModel", HostView, dict[str, DomainState]], str]
"""Chooses the domain of a new stream by the states that a host knows."""


@dataclass(slots=True)
class Sample:
    """Figures of the site at one time."""

    time_ms: float
    in_use: dict[str, int]
    left: dict[Pair, int]
    """Streams in progress that were begun in another domain, by pair."""

    demand: dict[str, int]
    shares: dict[Pair, float]
    """Mean of the hosts' shares."""


@dataclass(slots=True)
class SiteModel:
    """A site in virtual time."""

    domains: dict[str, ModelDomain]
    rng: random.Random
    choose: Chooser
    hosts: list[HostView] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    events: list[tuple[float, str, bool]] = field(default_factory=list)
    """When which domain loses its copy, or has it back."""

    begun: Counter[Pair] = field(default_factory=Counter)
    """Streams begun, by home and serving domain."""

    late: int = 0
    """Streams without a path, or begun where a token took over `LATE_FACTOR` times the target."""

    _running: list[tuple[float, str, str]] = field(default_factory=list)
    _known: deque[tuple[float, dict[str, DomainState]]] = field(default_factory=deque)

    def states(self) -> dict[str, DomainState]:
        """Return the true state of each domain."""
        in_use = Counter(served for _, _, served in self._running)
        demand = Counter(home for _, home, _ in self._running)
        states = {}
        for name, domain in self.domains.items():
            streams = in_use[name]
            slope_ms = (TARGET_TOKEN_MS - IDLE_TOKEN_MS) / domain.capacity
            token_ms: float | None = IDLE_TOKEN_MS + slope_ms * streams
            if domain.is_lost or streams >= domain.slots:
                token_ms = None
            idle_ms = None if domain.is_lost else IDLE_TOKEN_MS
            states[name] = DomainState(idle_ms, token_ms, streams, domain.slots, demand[name])
        return states

    def play(self, duration_ms: float) -> None:
        """Let virtual time pass."""
        loop = VirtualTimeLoop()
        clock = VirtualClock(loop)

        async def run() -> None:
            while clock.now_ms() < duration_ms:
                self._tick(clock.now_ms())
                await asyncio.sleep(TICK_MS / 1_000.0)

        run_virtually(loop, run())
        loop.close()

    def _tick(self, now_ms: float) -> None:
        for at_ms, name, is_lost in self.events:
            if at_ms <= now_ms < at_ms + TICK_MS:
                self.domains[name].is_lost = is_lost
        self._running = [
            stream
            for stream in self._running
            if stream[0] > now_ms and not self.domains[stream[2]].is_lost
        ]
        states = self.states()
        self._known.append((now_ms, states))
        while self._known[0][0] < now_ms - REPORT_AGE_MS:
            self._known.popleft()
        known = self._known[0][1]
        for host in self.hosts:
            if (now_ms + host.offset_ms) % UPDATE_INTERVAL_MS < TICK_MS:
                host.shares = update_shares(known, host.shares, TARGET_TOKEN_MS)
        for home, domain in self.domains.items():
            own = [host for host in self.hosts if host.home == home]
            for _ in range(draw_poisson(self.rng, domain.arrivals_per_s * TICK_MS / 1_000.0)):
                served = self.choose(self, self.rng.choice(own), known)
                self._begin(home, served, now_ms)
        if now_ms % UPDATE_INTERVAL_MS < TICK_MS:
            self._sample(now_ms)

    def _begin(self, home: str, served: str, now_ms: float) -> None:
        """Begin a stream where it is sent, or where there is room: the search of all domains."""
        in_use = Counter(domain for _, _, domain in self._running)

        def has_path(name: str) -> bool:
            return not self.domains[name].is_lost and in_use[name] < self.domains[name].slots

        others = [name for name in self.domains if has_path(name)]
        if not has_path(served):
            if not others:
                self.late += 1
                return
            served = home if home in others else self.rng.choice(others)
        domain = self.domains[served]
        slope_ms = (TARGET_TOKEN_MS - IDLE_TOKEN_MS) / domain.capacity
        token_ms = IDLE_TOKEN_MS + slope_ms * in_use[served]
        self.late += token_ms > LATE_FACTOR * TARGET_TOKEN_MS
        self.begun[home, served] += 1
        end_ms = now_ms + self.rng.uniform(MIN_STREAM_MS, MAX_STREAM_MS)
        self._running.append((end_ms, home, served))

    def _sample(self, now_ms: float) -> None:
        left: Counter[Pair] = Counter()
        shares: Counter[Pair] = Counter()
        for _, home, served in self._running:
            if home != served:
                left[home, served] += 1
        means: dict[Pair, float] = {}
        for host in self.hosts:
            for pair, share in host.shares.items():
                if pair[0] == host.home:
                    shares[pair] += 1
                    means[pair] = means.get(pair, 0.0) + share.value
        self.samples.append(
            Sample(
                now_ms,
                dict(Counter(served for _, _, served in self._running)),
                dict(left),
                dict(Counter(home for _, home, _ in self._running)),
                {pair: total / shares[pair] for pair, total in means.items()},
            )
        )

    def least_crossing(self) -> float:
        """Return the least fraction of streams that must leave so that home serves in time."""
        needed = 0.0
        total = 0.0
        for domain in self.domains.values():
            demand = domain.arrivals_per_s * MEAN_STREAM_MS / 1_000.0
            total += demand
            needed += max(0.0, demand - domain.capacity)
        return needed / total

    def crossing(self) -> float:
        """Return the fraction of streams that left their domain."""
        left = sum(count for (home, served), count in self.begun.items() if home != served)
        return left / max(1, self.begun.total())

    def late_fraction(self) -> float:
        """Return the fraction of streams that were not served in time."""
        return self.late / max(1, self.begun.total())

    def in_use(self, domain: str) -> list[int]:
        """Return the streams served in a domain over time, without the first 10 s."""
        return [each.in_use.get(domain, 0) for each in self.samples if each.time_ms > SETTLED_MS]

    def left_share(self, home: str, time_ms: float) -> float:
        """Return the hosts' mean share of streams that leave a domain, as of a time."""
        sample = max((s for s in self.samples if s.time_ms <= time_ms), key=lambda s: s.time_ms)
        return sum(value for pair, value in sample.shares.items() if pair[0] == home)


@dataclass(slots=True)
class LinkModel:
    """Hosts whose streams cross one link, known to the others when they are reported."""

    transfer_ms: float
    """Time for which a whole stream occupies the link."""

    fill: float
    """Fraction of its time for which streams may keep the link busy."""

    arrivals_per_s: float
    """Streams of all hosts that would cross."""

    rng: random.Random
    busiest: float = 0.0
    """Largest fraction of its time for which the streams on the link kept it busy."""

    crossed: int = 0

    def play(self, duration_ms: float) -> None:
        """Let virtual time pass."""
        running: list[tuple[float, int, float]] = []
        known: deque[Counter[int]] = deque()
        own: Counter[int] = Counter()
        quotas: dict[int, tuple[float, int, int]] = {}
        time_ms = 0.0
        while time_ms < duration_ms:
            running = [stream for stream in running if stream[0] > time_ms]
            own = Counter(host for _, host, _ in running)
            known.append(own.copy())
            if len(known) > REPORT_AGE_MS / TICK_MS:
                known.popleft()
            for _ in range(draw_poisson(self.rng, self.arrivals_per_s * TICK_MS / 1_000.0)):
                host = self.rng.randrange(HOSTS)
                until_ms, left, before = quotas.get(host, (0.0, 0, 0))
                if until_ms <= time_ms:
                    before, left = own[host], self._draw_quota(host, own, known[0])
                    quotas[host] = time_ms + UPDATE_INTERVAL_MS, left, before
                if own[host] - before >= left:
                    continue
                stream_ms = self.rng.uniform(MIN_STREAM_MS, MAX_STREAM_MS)
                running.append((time_ms + stream_ms, host, stream_ms))
                own[host] += 1
                self.crossed += 1
            busy = sum(self.transfer_ms / stream_ms for _, _, stream_ms in running)
            self.busiest = max(self.busiest, busy)
            time_ms += TICK_MS

    def _draw_quota(self, host: int, own: Counter[int], reported: Counter[int]) -> int:
        unreported = max(0, own[host] - reported[host])
        streams = reported.total() - reported[host] + own[host] + unreported * (HOSTS - 1)
        limit = link_limit(MIN_STREAM_MS, self.transfer_ms, self.fill)
        return draw_link_quota(limit, streams, HOSTS, self.rng)


def create_model(
    domains: dict[str, ModelDomain], seed: int, choose: Chooser | None = None
) -> SiteModel:
    """Return a site whose hosts are spread evenly over its domains."""
    rng = random.Random(seed)
    model = SiteModel(domains, rng, choose or choose_by_share)
    names = sorted(domains)
    model.hosts = [
        HostView(names[number % len(names)], rng.uniform(0.0, UPDATE_INTERVAL_MS))
        for number in range(HOSTS)
    ]
    return model


def choose_by_share(model: SiteModel, host: HostView, known: dict[str, DomainState]) -> str:
    """Choose as the gateway does."""
    del known
    return draw_domain(host.shares, host.home, model.rng)


def choose_by_threshold(model: SiteModel, host: HostView, known: dict[str, DomainState]) -> str:
    """Home first; above the threshold everything goes to the domain with the most free capacity."""
    del model
    home = known[host.home]
    if home.token_ms is not None and home.token_ms <= TARGET_TOKEN_MS:
        return host.home
    return max(
        sorted(known),
        key=lambda name: capacity_within(known[name], TARGET_TOKEN_MS) - known[name].heads_in_use,
    )


def choose_by_latency(model: SiteModel, host: HostView, known: dict[str, DomainState]) -> str:
    """Weights by the inverse of the expected latency, squared."""
    del host
    names = sorted(name for name in known if known[name].token_ms is not None)
    if not names:
        return sorted(known)[0]
    weights = [(known[name].token_ms or TARGET_TOKEN_MS) ** -2 for name in names]
    return model.rng.choices(names, weights)[0]


def choose_by_random_pair(model: SiteModel, host: HostView, known: dict[str, DomainState]) -> str:
    """The behavior before: the better one of home and another domain drawn at random."""
    other = model.rng.choice(sorted(set(known) - {host.home}))
    times_ms = {name: known[name].token_ms or float("inf") for name in (host.home, other)}
    crossing_ms = 1.0 / 220.0
    return other if times_ms[other] + crossing_ms < times_ms[host.home] else host.home


def choose_by_flow(model: SiteModel, host: HostView, known: dict[str, DomainState]) -> str:
    """Flow with a price on each edge, solved anew by the current loads without steps.

    With equal prices the cheapest flow sends exactly the excess, and fills the domain with the most
    free capacity first.
    """
    capacity = {name: capacity_within(state, TARGET_TOKEN_MS) for name, state in known.items()}
    excess = {name: max(0.0, known[name].demand - capacity[name]) for name in known}
    free = {name: max(0.0, capacity[name] - known[name].demand) for name in known}
    drawn = model.rng.random() * max(1.0, known[host.home].demand)
    for source in sorted(known):
        for target in sorted(known, key=lambda name: -free[name]):
            sent = min(excess[source], free[target])
            excess[source] -= sent
            free[target] -= sent
            if source == host.home and target != source:
                drawn -= sent
                if drawn < 0:
                    return target
    return host.home


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Draw a number of arrivals."""
    count, passed = 0, rng.expovariate(1.0)
    while passed < mean:
        count += 1
        passed += rng.expovariate(1.0)
    return count
