"""Distinguishes an unreachable failure domain from single replicas that don't respond.

When a failure domain is partitioned, all its replicas stop responding together. A host that
detected that one replica at a time would retry its requests at one unreachable replica after the
other.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.site.replica_health import SUSPICION_MS, Incarnation, incarnation_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock
    from pimentodale.site.model import ReplicaRecord
    from pimentodale.site.replica_health import ReplicaHealth

MIN_EVIDENCE: Final = 2
"""Number of unresponsive replicas of one failure domain from which the others become suspect."""

EVIDENCE_FRACTION: Final = 0.15
"""Fraction of a domain's replicas that must be unresponsive; in a large domain, several fail by
chance."""

PROBES_PER_DOMAIN: Final = 3
"""Number of replicas probed on behalf of their domain. Live replicas answer within a few ms, so a
false suspicion costs little. If each host probed all of them, that would be thousands of probes."""

WINDOW_MS: Final = 1_000.0
"""Time window for unresponsive replicas; the timeouts that reveal an outage are within 400 ms of
each other."""

MIN_SUSPICION_INTERVAL_MS: Final = SUSPICION_MS
"""Minimum interval between two suspicions of a failure domain: half the duration of a group
suspicion, so that it doesn't expire in between."""

RECOVERY_COOLDOWN_MS: Final = 2_000.0
"""How long a domain is not suspected again after one of its replicas answered, since only single
replicas are down then."""

_log = get_log("beliefs")


@dataclass(slots=True)
class DomainOutageDetector:
    """Tracks recently unresponsive replicas of other failure domains."""

    replica_health: ReplicaHealth
    list_replicas: Callable[[], Iterable[ReplicaRecord]]
    own_domain: str
    clock: Clock
    rng: random.Random = field(default_factory=random.SystemRandom)
    _silent_by_domain: dict[str, dict[Incarnation, float]] = field(default_factory=dict)
    _suspected_ms: dict[str, float] = field(default_factory=dict)
    _answered_ms: dict[str, float] = field(default_factory=dict)

    def note_silent(self, incarnation: Incarnation) -> None:
        """Record that a replica did not respond; suspect its domain if there is enough evidence."""
        replicas = list(self.list_replicas())
        domain = _domain_of(replicas, incarnation)
        if domain in ("", self.own_domain):
            return
        now_ms = self.clock.now_ms()
        silent = self._silent_by_domain.setdefault(domain, {})
        silent[incarnation] = now_ms
        for key in [key for key, at_ms in silent.items() if now_ms - at_ms > WINDOW_MS]:
            del silent[key]
        members = [known for known in replicas if known.failure_domain == domain]
        down = {incarnation_of(known) for known in members if self.replica_health.is_down(known)}
        if len(down.union(silent)) < max(MIN_EVIDENCE, EVIDENCE_FRACTION * len(members)):
            return
        if now_ms - self._suspected_ms.get(domain, float("-inf")) < MIN_SUSPICION_INTERVAL_MS:
            return
        if now_ms - self._answered_ms.get(domain, float("-inf")) < RECOVERY_COOLDOWN_MS:
            return
        self._suspected_ms[domain] = now_ms
        others = [incarnation_of(known) for known in members if incarnation_of(known) not in down]
        unprobed = [key for key in others if key not in silent]
        probed = self.rng.sample(unprobed, min(PROBES_PER_DOMAIN, len(unprobed)))
        self.replica_health.mark_group_suspect(others, probed)
        _log.warning(
            "A failure domain may be unreachable; some replicas are probed before any gets work.",
            failure_domain=domain,
            silent=[key[0] for key in silent],
            doubted=len(others),
        )

    def note_answer(self, incarnation: Incarnation) -> None:
        """Clear the suspicion of a domain, because one of its replicas answered a probe."""
        replicas = list(self.list_replicas())
        domain = _domain_of(replicas, incarnation)
        if self._suspected_ms.pop(domain, None) is None:
            return
        self._answered_ms[domain] = self.clock.now_ms()
        self._silent_by_domain.pop(domain, None)
        self.replica_health.clear_suspicions(
            incarnation_of(known) for known in replicas if known.failure_domain == domain
        )


def detect_domain_outages(
    replica_health: ReplicaHealth,
    list_replicas: Callable[[], Iterable[ReplicaRecord]],
    own_domain: str,
    clock: Clock,
) -> DomainOutageDetector:
    """Create a detector and register it for the events of a health tracker.

    Args:
        replica_health: Reports unresponsive replicas, and receives the suspicions.
        list_replicas: Returns the replicas of the site.
        own_domain: Failure domain of this host, which is never suspected as a whole.
        clock: Source of the current time.
    """
    detector = DomainOutageDetector(replica_health, list_replicas, own_domain, clock)
    replica_health.note_silent = detector.note_silent
    replica_health.note_answer = detector.note_answer
    return detector


def _domain_of(replicas: Iterable[ReplicaRecord], incarnation: Incarnation) -> str:
    """Return a replica's failure domain; empty if the replica is no longer known."""
    domains = (r.failure_domain for r in replicas if incarnation_of(r) == incarnation)
    return next(domains, "")
