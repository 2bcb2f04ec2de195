"""Requests that crash the replicas that run them, told from innocent ones that ran beside them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock

CONVICTING_CRASHES: Final = 3
"""Crashes after which a request is refused: two may befall an innocent one on a bad day."""

STRIKE_RETENTION_MS: Final = 120_000.0
"""How long a crash is held against a request."""

MAX_REQUESTS: Final = 5_000
"""Requests that are remembered; the oldest go first."""

_log = get_log("poison")


@dataclass(slots=True)
class PoisonStrikes:
    """Crashes by fingerprint of the request that ran."""

    clock: Clock
    tell: Callable[[str, str], None] = lambda _fingerprint, _crash: None
    """Tells the other hosts of a crash."""

    _crashes: dict[str, dict[str, float]] = field(default_factory=dict)

    def strike(self, fingerprint: str, crash: str, *, by_peer: bool = False) -> None:
        """Hold a crash against a request.

        Args:
            fingerprint: The request.
            crash: Names the crash, so that several hosts' words of one count once.
            by_peer: Whether another host told.
        """
        if fingerprint not in self._crashes and len(self._crashes) >= MAX_REQUESTS:
            del self._crashes[next(iter(self._crashes))]
        crashes = self._crashes.setdefault(fingerprint, {})
        if crash not in crashes:
            _log.info(
                "A crash is held against a request.",
                fingerprint=fingerprint,
                crash=crash,
                crashes=len(crashes) + 1,
                told_by_peer=by_peer,
            )
        crashes[crash] = self.clock.now_ms()
        if not by_peer:
            self.tell(fingerprint, crash)

    def count_convicted(self) -> int:
        """Return how many requests are to be refused."""
        return sum(1 for fingerprint in self._crashes if self.is_convicted(fingerprint))

    def is_convicted(self, fingerprint: str) -> bool:
        """Whether a request is to be refused."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return False
        start_ms = self.clock.now_ms() - STRIKE_RETENTION_MS
        recent = sum(1 for at_ms in crashes.values() if at_ms >= start_ms)
        return recent >= CONVICTING_CRASHES


def create_poison_strikes(clock: Clock) -> PoisonStrikes:
    """Return a register without strikes."""
    return PoisonStrikes(clock)


def fingerprint_of(path: str, workspace: str | None, body: bytes) -> str:
    """Return what stays the same when a client sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (path.encode(), (workspace or "").encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
