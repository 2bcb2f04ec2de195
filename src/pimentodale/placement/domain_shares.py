"""Computes which share of a failure domain's new streams begins in another failure domain.

Every host computes the shares from the same site-wide loads. The sums count streams by the domain
of their gateway, not by the domain that serves them, so that a share doesn't change its own input.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

UPDATE_INTERVAL_MS: Final = 250.0
"""Minimum time between two updates of the shares; half the age that load reports may reach."""

SLOT_FILL: Final = 0.95
"""Fraction of a domain's head slots that it may fill. Reports are up to 0.5 s old, and a full head
refuses requests."""

MIN_LOAD_FRACTION: Final = 0.1
"""Fraction of the head slots in use above which the time per token shows how load slows a domain;
with fewer streams the difference from the idle time is too small."""

SMOOTHING: Final = 0.3
"""Fraction of the way to the computed share that a share moves in an update."""

MAX_STEP_UP: Final = 0.1
"""Largest increase of a share in an update while the home domain holds the model."""

MAX_STEP_DOWN: Final = 0.15
"""Largest decrease of a share in an update: from 1 to 0 in 1.75 s."""

MIN_INCREASE: Final = 0.02
"""Difference from the computed share below which a share doesn't increase."""

LINK_FILL: Final = 0.6
"""Fraction of its time for which new streams may keep a link between domains busy."""

BEGUN_LINK_FILL: Final = 0.9
"""The same for streams that have begun and are moved or resumed."""

LINK_REPORT_INTERVALS: Final = 2.0
"""Number of update intervals until all hosts know of a stream that crosses a link."""


@dataclass(slots=True, frozen=True)
class DomainState:
    """Load and capacity of a failure domain."""

    idle_token_ms: float | None
    """Time per token on the best path within the domain without load; `None` if its usable replicas
    don't hold the whole model."""

    token_ms: float | None
    """Time per token of a further request on that path; `None` if there is no path."""

    heads_in_use: float
    """Number of streams whose path starts in the domain."""

    head_slots: float
    """Number of streams that its head replicas accept."""

    demand: float
    """Number of streams that the domain's gateways have begun, anywhere, or queued."""


@dataclass(slots=True, frozen=True)
class DomainShare:
    """Share of a domain's new streams that begins in another domain."""

    value: float
    """The share, 0 to 1."""

    reason: str
    """What determined it, for the log."""


Pair = tuple[str, str]
"""The home domain and the other one."""


def capacity_within(state: DomainState, target_token_ms: float) -> float:
    """Return the number of streams that a domain serves within the target time per token."""
    if state.idle_token_ms is None or state.idle_token_ms > target_token_ms:
        return 0.0
    capacity = SLOT_FILL * state.head_slots
    if state.token_ms is None:
        return min(capacity, state.heads_in_use)
    slowdown_ms = state.token_ms - state.idle_token_ms
    if state.heads_in_use < MIN_LOAD_FRACTION * state.head_slots or slowdown_ms <= 0:
        return capacity
    # The time per token grows linearly with the streams.
    margin_ms = target_token_ms - state.idle_token_ms
    return min(capacity, state.heads_in_use * margin_ms / slowdown_ms)


def update_shares(
    states: Mapping[str, DomainState],
    previous: Mapping[Pair, DomainShare],
    target_token_ms: float,
    crossing_ms: float = 0.0,
    capacity_fraction: float = 1.0,
) -> dict[Pair, DomainShare]:
    """Return the shares of all pairs of domains after one update interval.

    Args:
        states: State of each reachable domain; a partitioned one is absent.
        previous: The shares so far.
        target_token_ms: Time per token within which streams are to be served.
        crossing_ms: Additional time per token of streams that begin in another domain.
        capacity_fraction: Fraction of each domain's capacity that the known demand may use:
            1/hosts on a host that only knows its own streams.
    """
    capacities: dict[str, float] = {}
    free: dict[str, float] = {}
    supplies: dict[str, float] = {}
    for name, state in states.items():
        capacity = capacity_within(state, target_token_ms) * capacity_fraction
        remote = capacity_within(state, target_token_ms - crossing_ms) * capacity_fraction
        capacities[name] = capacity
        free[name] = max(0.0, capacity - state.demand)
        supplies[name] = 0.0 if state.token_ms is None else max(0.0, remote - state.demand)
    demands = {name: max(1.0, state.demand) for name, state in states.items()}
    needs = {
        name: demands[name] - capacities[name] if demands[name] > capacities[name] else 0.0
        for name in states
    }
    supply, need = sum(supplies.values()), sum(needs.values())
    served = min(1.0, supply / need) if need > 0 else 0.0
    shares: dict[Pair, DomainShare] = {}
    for home, state in states.items():
        for other in states:
            if other == home:
                continue
            old = previous.get((home, other))
            before = 0.0 if old is None else old.value
            if states[other].token_ms is None:
                shares[home, other] = DomainShare(0.0, "no path there")
                continue
            if supplies[other] < free[home]:
                shares[home, other] = DomainShare(0.0, "less free capacity than at home")
                continue
            sent = needs[home] * served * supplies[other] / supply if supply > 0 else 0.0
            wanted = sent / demands[home]
            if state.idle_token_ms is None:
                shares[home, other] = DomainShare(wanted, "no path at home")
                continue
            reason = "more demand than home serves in time" if wanted > 0 else "home serves in time"
            shares[home, other] = DomainShare(_step(before, wanted), reason)
    return shares


def draw_domain(shares: Mapping[Pair, DomainShare], home: str, rng: random.Random) -> str:
    """Draw the domain in which a new stream's path is searched first."""
    drawn = rng.random()
    for (source, other), share in sorted(shares.items()):
        if source != home:
            continue
        drawn -= share.value
        if drawn < 0:
            return other
    return home


def link_limit(stream_ms: float, transfer_ms: float, fill: float) -> float:
    """Return the number of streams that keep a link busy for a fraction of its time.

    Args:
        stream_ms: Duration of a stream.
        transfer_ms: Time for which a whole stream occupies the link; 0 if unknown.
        fill: The fraction.
    """
    return math.inf if transfer_ms <= 0 else fill * stream_ms / transfer_ms


def draw_link_quota(limit: float, streams: float, hosts: int, rng: random.Random) -> int:
    """Draw how many more streams a host may send over a link in an update interval.

    All hosts together send about the free part of the limit until all of them know of it. The
    fraction of a stream that is due to a host is rounded up or down at random.

    Args:
        limit: Maximum number of streams.
        streams: Number of streams known to cross the link.
        hosts: Number of hosts that send.
        rng: Random source.
    """
    quota = max(0.0, limit - streams) / max(1, hosts) / LINK_REPORT_INTERVALS
    if math.isinf(quota):
        raise ValueError("a link without a limit has no quota")
    return math.floor(quota) + (rng.random() < quota % 1.0)


def _step(before: float, wanted: float) -> float:
    """Return a share one update after `before`."""
    if wanted <= 0:
        return max(0.0, before - MAX_STEP_DOWN)
    if before < wanted < before + MIN_INCREASE:
        return before
    change = SMOOTHING * (wanted - before)
    return before + min(MAX_STEP_UP, max(-MAX_STEP_DOWN, change))
