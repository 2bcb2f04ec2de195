"""Tells a failure domain that is cut off from single replicas that don't answer.

When a domain is cut off, its replicas fall silent together. A host that finds that out one by one sends
its requests from one silent replica to the next.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.site.beliefs import DOUBT_MS, Incarnation, incarnation_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pimentodale.clock import Clock
    from pimentodale.site.beliefs import ReplicaBeliefs
    from pimentodale.site.model import ReplicaRecord

MIN_EVIDENCE: Final = 2
"""Silent replicas of one failure domain from which the others are doubted."""

EVIDENCE_FRACTION: Final = 0.15
"""Part of a domain's replicas that has to be silent: several of a large domain fail by chance."""

PROBED: Final = 3
"""Replicas that are probed for their domain. Live ones answer within a few ms, so a wrong guess costs
little; all of them probed by each host would be thousands of probes."""

WINDOW_MS: Final = 1_000.0
"""Time within which they fall silent; the time-outs that show it lie within 400 ms of each other."""

REPEAT_MS: Final = DOUBT_MS
"""Least pause before the same failure domain is doubted again: half a doubt, so that it doesn't lapse."""

CALM_MS: Final = 2_000.0
"""How long a domain is not doubted again in which a replica answered: single ones are down there."""

_log = get_log("beliefs")


@dataclass(slots=True)
class CommonCuts:
    """Replicas of other failure domains that fell silent lately."""

    beliefs: ReplicaBeliefs
    list_replicas: Callable[[], Iterable[ReplicaRecord]]
    own_domain: str
    clock: Clock
    rng: random.Random = field(default_factory=random.SystemRandom)
    _silent: dict[str, dict[Incarnation, float]] = field(default_factory=dict)
    _doubted_ms: dict[str, float] = field(default_factory=dict)
    _answered_ms: dict[str, float] = field(default_factory=dict)

    def note_silent(self, incarnation: Incarnation) -> None:
        """Take the news that this host found a replica silent."""
        replicas = list(self.list_replicas())
        domain = _domain_of(replicas, incarnation)
        if domain in ("", self.own_domain):
            return
        now_ms = self.clock.now_ms()
        silent = self._silent.setdefault(domain, {})
        silent[incarnation] = now_ms
        for key in [key for key, at_ms in silent.items() if now_ms - at_ms > WINDOW_MS]:
            del silent[key]
        members = [known for known in replicas if known.failure_domain == domain]
        down = {incarnation_of(known) for known in members if self.beliefs.is_down(known)}
        if len(down.union(silent)) < max(MIN_EVIDENCE, EVIDENCE_FRACTION * len(members)):
            return
        if now_ms - self._doubted_ms.get(domain, float("-inf")) < REPEAT_MS:
            return
        if now_ms - self._answered_ms.get(domain, float("-inf")) < CALM_MS:
            return
        self._doubted_ms[domain] = now_ms
        others = [incarnation_of(known) for known in members if incarnation_of(known) not in down]
        unheard = [key for key in others if key not in silent]
        probed = self.rng.sample(unheard, min(PROBED, len(unheard)))
        self.beliefs.doubt_together(others, probed)
        _log.warning(
            "A failure domain may be cut off; a few of its replicas are probed before any gets work.",
            failure_domain=domain,
            silent=[key[0] for key in silent],
            doubted=len(others),
        )

    def note_answer(self, incarnation: Incarnation) -> None:
        """Take the news that a replica answered a probe: its domain is not cut off."""
        replicas = list(self.list_replicas())
        domain = _domain_of(replicas, incarnation)
        if self._doubted_ms.pop(domain, None) is None:
            return
        self._answered_ms[domain] = self.clock.now_ms()
        self._silent.pop(domain, None)
        self.beliefs.trust(
            incarnation_of(known) for known in replicas if known.failure_domain == domain
        )


def watch_common_cuts(
    beliefs: ReplicaBeliefs,
    list_replicas: Callable[[], Iterable[ReplicaRecord]],
    own_domain: str,
    clock: Clock,
) -> CommonCuts:
    """Have silent replicas counted by failure domain.

    Args:
        beliefs: Tell of silent replicas, and take the doubts.
        list_replicas: Returns the replicas of the site.
        own_domain: Failure domain of this host, which is never doubted as a whole.
        clock: Tells the time.
    """
    cuts = CommonCuts(beliefs, list_replicas, own_domain, clock)
    beliefs.note_silent = cuts.note_silent
    beliefs.note_answer = cuts.note_answer
    return cuts


def _domain_of(replicas: Iterable[ReplicaRecord], incarnation: Incarnation) -> str:
    """Return a replica's failure domain; empty when it is not known any more."""
    domains = (r.failure_domain for r in replicas if incarnation_of(r) == incarnation)
    return next(domains, "")
