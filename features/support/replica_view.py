"""A host's view of replicas that a scenario registers, removes and restarts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.site.departed_replicas import create_departed_replicas

if TYPE_CHECKING:
    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord
    from pimentodale.site.replica_health import Incarnation


class ReplicaView:
    """What the forwarding of requests reads of a host's view."""

    def __init__(self, clock: Clock, replicas: dict[str, ReplicaRecord]) -> None:
        self.replicas = replicas
        self.departed = create_departed_replicas(clock)

    def find_last(self, replica_id: str) -> ReplicaRecord | None:
        """Return a replica's record, or the last one if it is gone."""
        return self.replicas.get(replica_id) or self.departed.find(replica_id)

    def has_announced_departure(self, incarnation: Incarnation) -> bool:
        """Return whether a replica has announced its departure."""
        return self.departed.has_announced(incarnation)

    def remove(self, replica_id: str) -> None:
        """Remove the record of a replica."""
        self.departed.note_gone(self.replicas.pop(replica_id))


def create_replica_view(
    clock: Clock, replicas: dict[str, ReplicaRecord] | None = None
) -> ReplicaView:
    """Return a view of the given replicas, all of them registered."""
    return ReplicaView(clock, {} if replicas is None else replicas)
