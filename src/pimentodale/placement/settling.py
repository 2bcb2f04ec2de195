"""Tells failure domains that are being cut off, or come back, from those that have lost a replica."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pimentodale.clock import Clock

CUT_FRACTION: Final = 0.3
"""Part of a failure domain's replicas whose loss at once is a cut rather than crashes."""

REMEMBERED_MS: Final = 20_000.0
"""How long a replica that is missing counts towards a cut."""

RETURN_MS: Final = 1_500.0
"""Quiet time after replicas came back with their layers; their records take up to a heartbeat."""


@dataclass(slots=True)
class DomainHistory:
    """Replicas of each failure domain as they were seen lately."""

    clock: Clock
    _seen_ms: dict[str, dict[str, float]] = field(default_factory=dict)
    _returned_ms: dict[str, float] = field(default_factory=dict)
    _present: set[str] = field(default_factory=set)

    def note(self, present: Mapping[str, str], holding: set[str], left: set[str]) -> None:
        """Take the replicas as they are now.

        Args:
            present: Failure domain of each replica that is there, by id.
            holding: Ids of those that hold layers.
            left: Ids of replicas that announced that they leave; they don't count as missing.
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
                if replica_id in left or now_ms - seen_ms > REMEMBERED_MS:
                    del known[replica_id]

    def unsettled(self) -> set[str]:
        """Return the failure domains whose layers are better left as they are."""
        now_ms = self.clock.now_ms()
        domains = set()
        for domain, known in self._seen_ms.items():
            missing = sum(1 for replica_id in known if replica_id not in self._present)
            if (
                missing > max(1, CUT_FRACTION * len(known))
                or now_ms - self._returned_ms.get(domain, float("-inf")) < RETURN_MS
            ):
                domains.add(domain)
        return domains


def create_domain_history(clock: Clock) -> DomainHistory:
    """Return a history that knows nothing."""
    return DomainHistory(clock)
