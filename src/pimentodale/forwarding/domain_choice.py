"""Decides on large sites in which failure domain a path is searched first and which links it may use.

The shares are updated from the load table when a path is searched, at most once per update
interval, so that an idle host does no work for them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from itertools import combinations, permutations
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.load_table import entry_key, hosts_key, link_key, waiting_key
from pimentodale.logs import get_log
from pimentodale.placement.domain_shares import (
    BEGUN_LINK_FILL,
    LINK_FILL,
    UPDATE_INTERVAL_MS,
    DomainShare,
    DomainState,
    Pair,
    draw_domain,
    draw_link_quota,
    link_limit,
    update_shares,
)
from pimentodale.placement.paths import PathRequirements, StageLoad, find_path

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from pimentodale.forwarding.context import ForwardingContext
    from pimentodale.site.model import EngineModel

TARGET_EVENT_MS: Final = 60.0
"""Longest usual time between two events of a stream; a domain that is slower is overloaded."""

MIN_STREAM_MS: Final = 1_500.0
"""Duration assumed for a stream while no domain has a path: the shortest usual one, which gives the
lowest limit on a link."""

MIN_LOGGED_CHANGE: Final = 0.05
"""Smallest change of a share that is logged."""

_UNKNOWN_STATE: Final = DomainState(None, None, 0.0, 0.0, 0.0)

_log = get_log("routing")


@dataclass(slots=True)
class _LinkQuota:
    """Streams that this host may still send over a link in an update interval."""

    left: int
    """Number of streams as of the last update."""

    own: int
    """This host's streams over the link as of the last update."""

    until_ms: float
    """Time at which the quota is drawn anew."""


@dataclass(slots=True)
class _ServiceChoice:
    """Shares and link quotas of one service."""

    updated_ms: float = -math.inf
    shares: dict[Pair, DomainShare] = field(default_factory=dict)
    logged: dict[Pair, float] = field(default_factory=dict)
    """Shares as last logged."""

    states: dict[str, DomainState] = field(default_factory=dict)
    idle: dict[str, tuple[frozenset[tuple[object, ...]], float | None]] = field(
        default_factory=dict
    )
    """Time per token without load by domain, with the replicas for which it holds."""

    quotas: dict[tuple[Pair, bool], _LinkQuota] = field(default_factory=dict)
    """Quotas by link and whether they are for streams that have begun."""


@dataclass(slots=True)
class DomainChoice:
    """State of the choice between failure domains."""

    count_hosts: Callable[[], int] = lambda: 1
    """Returns the number of the site's hosts; also those that this host doesn't reach."""

    refused: int = 0
    """Number of searches in which a link was closed because it was too busy."""

    reported: set[str] = field(default_factory=set)
    """Failure domains whose hosts have reported loads at any time."""

    by_service: dict[str, _ServiceChoice] = field(default_factory=dict)

    def list_shares(self) -> dict[tuple[str, str], float]:
        """Return the shares by pair of domains; the largest one over all services."""
        shares: dict[tuple[str, str], float] = {}
        for choice in self.by_service.values():
            for pair, share in choice.shares.items():
                shares[pair] = max(share.value, shares.get(pair, 0.0))
        return shares


def create_domain_choice() -> DomainChoice:
    """Return the state of a host that has not searched any path."""
    return DomainChoice()


def first_domain(
    ctx: ForwardingContext, service: str, engine: EngineModel, stages: Sequence[StageLoad]
) -> str | None:
    """Draw the failure domain in which a path is searched first.

    Args:
        ctx: State shared by all requests.
        service: Name of the service.
        engine: Performance figures of its engine.
        stages: Usable replicas of the service.

    Returns:
        The domain, or `None` if it had no path at the last update.
    """
    choice = _updated_choice(ctx, service, engine, stages)
    domain = draw_domain(choice.shares, ctx.failure_domain, ctx.rng)
    state = choice.states.get(domain)
    return None if state is None or state.token_ms is None else domain


def find_closed_links(
    ctx: ForwardingContext, service: str, engine: EngineModel, *, is_begun: bool
) -> frozenset[Pair]:
    """Return the pairs of failure domains whose link may carry no further stream of this host.

    Args:
        ctx: State shared by all requests.
        service: Name of the service.
        engine: Performance figures of its engine.
        is_begun: Whether the stream has begun and is moved or resumed.
    """
    if engine.pipe_mbps <= 0:
        return frozenset()
    choice = ctx.domain_choice.by_service.setdefault(service, _ServiceChoice())
    domains = sorted({record.failure_domain for record in ctx.view.replicas_of(service)})
    closed = {
        pair
        for pair in combinations(domains, 2)
        if not _has_quota(ctx, choice, engine, pair, is_begun)
    }
    ctx.domain_choice.refused += bool(closed)
    return frozenset(closed)


def count_crossing_streams(ctx: ForwardingContext) -> dict[tuple[str, str], float]:
    """Return the streams of all hosts that began in another domain, by pair of domains."""
    domains = {record.failure_domain for record in ctx.view.replicas.values()}
    return {
        pair: float(ctx.loads.total(entry_key(*pair)).streams)
        for pair in permutations(sorted({*domains, ctx.failure_domain}), 2)
    }


def _updated_choice(
    ctx: ForwardingContext, service: str, engine: EngineModel, stages: Sequence[StageLoad]
) -> _ServiceChoice:
    """Return the shares of a service, updated if the last update is an interval old."""
    choice = ctx.domain_choice.by_service.setdefault(service, _ServiceChoice())
    now_ms = ctx.clock.now_ms()
    if now_ms - choice.updated_ms < UPDATE_INTERVAL_MS:
        return choice
    choice.updated_ms = now_ms
    ctx.loads.note_host()
    by_domain: dict[str, list[StageLoad]] = {ctx.failure_domain: []}
    for stage in stages:
        # The backlog is only that of this host's prompts; all hosts need equal sums.
        by_domain.setdefault(stage.record.failure_domain, []).append(replace(stage, backlog_ms=0.0))
    silent = _silent_domains(ctx, by_domain)
    choice.states = {
        domain: _read_state(ctx, choice, engine, domain, by_domain)
        for domain in sorted(by_domain)
        if domain not in silent
    }
    hosts = ctx.domain_choice.count_hosts()
    choice.shares = update_shares(
        choice.states,
        choice.shares,
        TARGET_EVENT_MS / max(1, engine.tokens_per_event),
        engine.domain_delay_ms / max(1, engine.tokens_per_event),
        1.0 if ctx.loads.has_reports() else 1.0 / hosts,
    )
    _log_changes(ctx, choice)
    return choice


def _silent_domains(ctx: ForwardingContext, domains: Collection[str]) -> set[str]:
    """Return the other domains whose hosts have stopped reporting, so that their loads are unknown.

    While no host's reports arrive, none counts as silent: the capacity is then divided by the
    number of hosts instead.
    """
    if not ctx.loads.has_reports():
        return set()
    reported = ctx.domain_choice.reported
    silent: set[str] = set()
    for domain in domains:
        if ctx.loads.total(hosts_key(domain)).streams > 0:
            reported.add(domain)
        elif domain in reported and domain != ctx.failure_domain:
            silent.add(domain)
    return silent


def _read_state(
    ctx: ForwardingContext,
    choice: _ServiceChoice,
    engine: EngineModel,
    domain: str,
    by_domain: dict[str, list[StageLoad]],
) -> DomainState:
    """Return the state of a domain by the current loads."""
    stages = by_domain[domain]
    tokens = engine.mean_prompt_tokens + engine.mean_answer_tokens / 2
    requirements = PathRequirements(domain, tokens)
    key = frozenset((stage.record.replica_id, stage.record.held) for stage in stages)
    known = choice.idle.get(domain)
    if known is None or known[0] != key:
        idle = [StageLoad(stage.record) for stage in stages]
        found = find_path(engine, idle, requirements)
        known = choice.idle[domain] = (key, None if found is None else found.token_ms)
    path = None if known[1] is None else find_path(engine, stages, requirements)
    heads = [
        stage for stage in stages if stage.record.held is not None and stage.record.held.first == 0
    ]
    in_use = sum(stage.headed for stage in heads)
    left = entered = 0.0
    for other in by_domain:
        left += ctx.loads.total(entry_key(domain, other)).streams
        entered += ctx.loads.total(entry_key(other, domain)).streams
    waiting = ctx.loads.total(waiting_key(domain)).streams
    return DomainState(
        idle_token_ms=known[1],
        token_ms=None if path is None else path.token_ms,
        heads_in_use=in_use,
        head_slots=float(sum(stage.record.slots for stage in heads)),
        demand=max(0.0, in_use + left - entered) + waiting,
    )


def _has_quota(
    ctx: ForwardingContext, choice: _ServiceChoice, engine: EngineModel, pair: Pair, is_begun: bool
) -> bool:
    """Whether this host may send one more stream over a link in this update interval."""
    key = link_key(*pair)
    own = ctx.loads.own.get(key)
    own_streams = 0 if own is None else own.streams
    quota = choice.quotas.get((pair, is_begun))
    now_ms = ctx.clock.now_ms()
    if quota is None or quota.until_ms <= now_ms:
        times_ms = [state.token_ms for state in choice.states.values() if state.token_ms]
        stream_ms = engine.mean_answer_tokens * min(times_ms) if times_ms else MIN_STREAM_MS
        tokens = engine.mean_prompt_tokens + engine.mean_answer_tokens
        fill = BEGUN_LINK_FILL if is_begun else LINK_FILL
        limit = link_limit(stream_ms, engine.prompt_transfer_ms(tokens), fill)
        hosts = ctx.domain_choice.count_hosts()
        # The other hosts are assumed to have begun as many streams since their last reports.
        unreported = ctx.loads.unreported_streams(key)
        streams = ctx.loads.total(key).streams + unreported * (hosts - 1)
        left = draw_link_quota(limit, streams, hosts, ctx.rng)
        quota = choice.quotas[pair, is_begun] = _LinkQuota(
            left, own_streams, now_ms + UPDATE_INTERVAL_MS
        )
    return own_streams - quota.own < quota.left


def _log_changes(ctx: ForwardingContext, choice: _ServiceChoice) -> None:
    """Log each share of this host's domain that has changed since it was last logged."""
    for pair in sorted({*choice.shares, *choice.logged}):
        home, other = pair
        share = choice.shares.get(pair, DomainShare(0.0, "no reports from there"))
        before = choice.logged.get(pair, 0.0)
        if home != ctx.failure_domain or abs(share.value - before) < MIN_LOGGED_CHANGE:
            continue
        choice.logged[pair] = share.value
        state, there = choice.states[home], choice.states.get(other, _UNKNOWN_STATE)
        _log.info(
            "The share of streams that leave the failure domain has changed.",
            to=other,
            share=round(share.value, 2),
            before=round(before, 2),
            reason=share.reason,
            token_ms=_rounded(state.token_ms),
            heads_in_use=round(state.heads_in_use),
            head_slots=round(state.head_slots),
            demand=round(state.demand),
            token_ms_there=_rounded(there.token_ms),
            heads_in_use_there=round(there.heads_in_use),
            head_slots_there=round(there.head_slots),
            demand_there=round(there.demand),
        )


def _rounded(time_ms: float | None) -> float | None:
    """Return a time with two digits for the log."""
    return None if time_ms is None else round(time_ms, 2)
