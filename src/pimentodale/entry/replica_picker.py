"""Picks the replica for a call to a plain service, which has no engine or pipeline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.services.messages import ServiceReplica

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.routing.fleet import Fleet


def create_replica_picker(
    fleet: Fleet, own_failure_domain: str, rng: random.Random
) -> Callable[[str, frozenset[str]], ServiceReplica | None]:
    """Return a closure that picks a random replica, preferring this host's failure domain.

    Args:
        fleet: State of the backend servers.
        own_failure_domain: Failure domain of this host.
        rng: Random source.
    """

    def pick(service: str, excluded: frozenset[str]) -> ServiceReplica | None:
        usable = [one for one in fleet.services(service) if one.replica not in excluded]
        near = [one for one in usable if one.failure_domain == own_failure_domain]
        if not usable:
            return None
        target = rng.choice(near or usable)
        return ServiceReplica(target.replica, target.address)

    return pick
