"""Sets up routing and admission on an entry host and keeps their state current."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.admission.gate import Gate, create_gate
from pimentodale.admission.retry_budget import RetryBudget, create_retry_budget
from pimentodale.routing.fleet import Fleet, create_fleet
from pimentodale.routing.load_poller import create_load_poller
from pimentodale.routing.route_plan import Link
from pimentodale.routing.router import Router, create_router
from pimentodale.routing.subsets import subset_engines

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.background import BackgroundTasks
    from pimentodale.clients.targets import Targets
    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Configuration, LinkLimit
    from pimentodale.entry.settings import EntrySettings

REPLAN_INTERVAL_MS: Final = 100.0
"""Interval at which route plans are updated."""


@dataclass(slots=True)
class RoutingComponents:
    """Components that decide where and when requests are sent."""

    fleet: Fleet
    """State of the backend servers."""

    router: Router
    """Chooses routes."""

    gate: Gate
    """Admits generation requests."""

    budget: RetryBudget
    """Limits the retries of generation requests and service calls combined."""


def create_routing(
    settings: EntrySettings,
    clock: Clock,
    rng: random.Random,
    configuration: Callable[[], Configuration],
    publish_signal: Callable[[str, bytes, float], None],
) -> RoutingComponents:
    """Create the components of one host.

    Args:
        settings: The host's settings.
        clock: Time source.
        rng: Random source.
        configuration: Returns the configuration in force.
        publish_signal: Publishes a signal that a backend server is leaving to the other hosts.

    Returns:
        The components; `start_routing` keeps them up to date.
    """
    fleet = create_fleet(clock, publish_signal)

    def links() -> list[Link]:
        return [_create_link(limit) for limit in configuration().limits.links]

    router = create_router(fleet, clock, settings.failure_domain, rng.getrandbits(32), links)
    gate = create_gate(clock, router, settings.host, configuration)
    budget = create_retry_budget(clock, lambda: configuration().limits.retry_ratio)
    return RoutingComponents(fleet, router, gate, budget)


def start_routing(
    parts: RoutingComponents, background: BackgroundTasks, clock: Clock, rng: random.Random
) -> None:
    """Start the background tasks that update route plans and poll load reports."""

    async def replan() -> None:
        while True:
            await clock.sleep_ms(REPLAN_INTERVAL_MS)
            parts.router.replan()
            parts.gate.wake()

    watcher = create_load_poller(
        parts.fleet, parts.router.prefixes, parts.fleet.listed, parts.gate.wake, clock, rng
    )
    background.start(replan(), "replanning")
    background.start(watcher.run(), "load reports")


def select_subset(targets: Targets, settings: EntrySettings) -> Targets:
    """Return the host list reduced to the engines in this host's subset."""
    hosts = {entry.host for entry in targets.entries if not entry.leaving}
    engines = subset_engines(targets.engines, hosts, settings.host, settings.subset_replicas)
    return msgspec.structs.replace(targets, engines=engines)


def _create_link(limit: LinkLimit) -> Link:
    """Convert a configured link limit to a link of the route plan."""
    return Link(
        from_failure_domain=limit.from_failure_domain,
        to_failure_domain=limit.to_failure_domain,
        tokens_per_s=limit.tokens_per_s,
        scope=limit.scope,
    )
