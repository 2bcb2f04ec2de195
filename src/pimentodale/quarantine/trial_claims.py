"""Reserves replicas for trials by peer messages while the key-value service is unavailable.

A host broadcasts a claim and waits long enough for conflicting claims to arrive. A claim that was
already known wins; of two concurrent claims, the one with the lower fingerprint wins.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgpack
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.clock import Clock

CLAIM_PROPAGATION_MS: Final = 200.0
"""Upper bound on the delivery time of another host's claim."""

CLAIM_RETENTION_MS: Final = 30_000.0
"""Lifetime of a claim that is never withdrawn."""


class TrialClaim(msgspec.Struct, frozen=True, array_like=True):
    """Announces that a host runs a trial of a request on some replicas."""

    host: str
    """Host that runs the trial."""

    fingerprint: str
    """Fingerprint of the request."""

    replicas: list[str]
    """Replicas of the route; an empty list withdraws the claim."""


class _HeldClaim(msgspec.Struct):
    """A claim received from another host, with its expiry time."""

    claim: TrialClaim
    until_ms: float


class TrialClaims:
    """Tracks the claims of other hosts and announces those of this host."""

    __slots__ = ("_announce", "_clock", "_host", "_others")

    def __init__(
        self, host: str, clock: Clock, announce: Callable[[TrialClaim], None] | None
    ) -> None:
        self._host = host
        self._clock = clock
        self._announce = announce
        self._others: dict[str, _HeldClaim] = {}

    def connect(self, announce: Callable[[TrialClaim], None]) -> None:
        """Set the callback that broadcasts this host's claims to all other hosts."""
        self._announce = announce

    def receive(self, claim: TrialClaim) -> None:
        """Store a claim received from another host, replacing its earlier one."""
        name = f"{claim.host}/{claim.fingerprint}"
        self._others.pop(name, None)
        if claim.replicas and claim.host != self._host:
            self._others[name] = _HeldClaim(claim, self._clock.now_ms() + CLAIM_RETENTION_MS)

    async def acquire(self, fingerprint: str, replicas: Sequence[str]) -> list[str] | None:
        """Claim the replicas of a route for a trial, and wait until conflicts are resolved.

        Args:
            fingerprint: Fingerprint of the request.
            replicas: All replicas of the route.

        Returns:
            `None` once the claim is held, or the replicas that other hosts hold (an empty list when
            another host runs a trial of the same request).
        """
        known = self._conflicts(fingerprint, replicas)
        if known:
            return _shared(known, replicas)
        if self._announce is None:
            return None
        self._announce(TrialClaim(self._host, fingerprint, list(replicas)))
        try:
            await self._clock.sleep_ms(CLAIM_PROPAGATION_MS)
        except asyncio.CancelledError:
            self.withdraw(fingerprint)
            raise
        winning = [
            claim
            for claim in self._conflicts(fingerprint, replicas)
            if (claim.fingerprint, claim.host) < (fingerprint, self._host)
        ]
        if not winning:
            return None
        self.withdraw(fingerprint)
        return _shared(winning, replicas)

    def withdraw(self, fingerprint: str) -> None:
        """Announce that a claim is no longer held."""
        if self._announce is not None:
            self._announce(TrialClaim(self._host, fingerprint, []))

    def _conflicts(self, fingerprint: str, replicas: Sequence[str]) -> list[TrialClaim]:
        """Return the unexpired claims of other hosts that conflict with a trial."""
        now_ms = self._clock.now_ms()
        self._others = {n: held for n, held in self._others.items() if held.until_ms > now_ms}
        claims = [held.claim for held in self._others.values()]
        return [
            claim
            for claim in claims
            if claim.fingerprint == fingerprint or set(claim.replicas).intersection(replicas)
        ]


def pack_claim(claim: TrialClaim) -> bytes:
    """Encode a claim as MessagePack."""
    octets: bytes = msgpack.packb(msgspec.to_builtins(claim))
    return octets


def unpack_claim(octets: bytes) -> TrialClaim | None:
    """Decode a claim, or return `None` when the data is malformed."""
    try:
        return msgspec.convert(msgpack.unpackb(octets), TrialClaim)
    except (ValueError, msgpack.UnpackException, msgspec.ValidationError):
        return None


def _shared(claims: Sequence[TrialClaim], replicas: Sequence[str]) -> list[str]:
    """Return those of the replicas that are held by any of the claims."""
    held = {replica for claim in claims for replica in claim.replicas}
    return sorted(held.intersection(replicas))
