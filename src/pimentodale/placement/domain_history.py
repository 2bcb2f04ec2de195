"""Distinguishes partitioned or recovering failure domains from those that lost a replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentodale.clock import Clock

PARTITION_FRACTION: Final = 0.3
"""Fraction of a failure domain's replicas whose simultaneous loss is treated as a network partition
rather than as separate crashes."""

MISSING_RETENTION_MS: Final = 20_000.0
"""How long a missing replica counts towards a partition."""

RETURN_QUIET_MS: Final = 1_500.0
"""How long a domain counts as unstable after replicas returned with their layers; their records
take up to one heartbeat to appear."""


@dataclass(slots=True)
class DomainHistory:
    """Recently seen replicas of each failure domain."""

    clock: Clock
    _seen_ms: dict[str, dict[str, float]] = field(default_factory=dict)
    _returned_ms: dict[str, float] = field(default_factory=dict)
    _present: set[str] = field(default_factory=set)

    def note(self, present: Mapping[str, str], holding: set[str], left: set[str]) -> None:
        """Record which replicas are present now.

        Args:
            present: Failure domain of each present replica, by replica id.
            holding: Ids of the replicas that hold layers.
            left: Ids of replicas that announced their departure; they don't count as missing.
        """
        now_ms = self.clock.now_ms()
        for replica_id, domain in present.items():
            known = self._seen_ms.setdefault(domain, {})
            is_back = replica_id in known and replica_id not in self._present
            if is_back and replica_id in holding:
                self._returned_ms[domain] = now_ms
            known[replica_id] = now_ms
        self._present = set(present)
        for known in self._seen_ms.values():
            for replica_id, seen_ms in list(known.items()):
                if replica_id in left or now_ms - seen_ms > MISSING_RETENTION_MS:
                    del known[replica_id]

    def unstable(self) -> set[str]:
        """Return the failure domains whose layers should not be moved for now."""
        now_ms = self.clock.now_ms()
        domains = set()
        for domain, known in self._seen_ms.items():
            missing = sum(1 for replica_id in known if replica_id not in self._present)
            if (
                missing > max(1, PARTITION_FRACTION * len(known))
                or now_ms - self._returned_ms.get(domain, float("-inf")) < RETURN_QUIET_MS
            ):
                domains.add(domain)
        return domains


def create_domain_history(clock: Clock) -> DomainHistory:
    """Return an empty history."""
    return DomainHistory(clock)
