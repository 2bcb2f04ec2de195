"""Places of trials by word between peers, for when the key-value service gives no answer.

A host announces a claim and waits until the claims of others must be here. A claim that was known
before wins; of two that crossed, the one with the lower fingerprint does.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgpack
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.clock import Clock

CLAIM_SETTLING_MS: Final = 200.0
"""How long claims of other hosts may be under way."""

CLAIM_RETENTION_MS: Final = 30_000.0
"""How long a claim holds that is not withdrawn."""


class TrialClaim(msgspec.Struct, frozen=True, array_like=True):
    """One host's word that it tries a request on some replicas."""

    host: str
    """The host."""

    fingerprint: str
    """The request."""

    replicas: list[str]
    """Where it runs; none withdraws the claim."""


class _HeldClaim(msgspec.Struct):
    """Another host's claim as it is held here."""

    claim: TrialClaim
    until_ms: float


class Claims:
    """What this host claims and what others do."""

    __slots__ = ("_announce", "_clock", "_host", "_others")

    def __init__(
        self, host: str, clock: Clock, announce: Callable[[TrialClaim], None] | None
    ) -> None:
        self._host = host
        self._clock = clock
        self._announce = announce
        self._others: dict[str, _HeldClaim] = {}

    def connect(self, announce: Callable[[TrialClaim], None]) -> None:
        """Have this host's claims told to all others at once."""
        self._announce = announce

    def offer(self, claim: TrialClaim) -> None:
        """Take in another host's claim."""
        name = f"{claim.host}/{claim.fingerprint}"
        self._others.pop(name, None)
        if claim.replicas and claim.host != self._host:
            self._others[name] = _HeldClaim(claim, self._clock.now_ms() + CLAIM_RETENTION_MS)

    async def settle(self, fingerprint: str, replicas: Sequence[str]) -> list[str] | None:
        """Claim a place and wait until it is this host's or another's.

        Args:
            fingerprint: The request.
            replicas: The whole route.

        Returns:
            Nothing once the place is held, or the replicas that others hold (none when another
            host tries this very request).
        """
        known = self._conflicts(fingerprint, replicas)
        if known:
            return _shared(known, replicas)
        if self._announce is None:
            return None
        self._announce(TrialClaim(self._host, fingerprint, list(replicas)))
        try:
            await self._clock.sleep_ms(CLAIM_SETTLING_MS)
        except asyncio.CancelledError:
            self.withdraw(fingerprint)
            raise
        crossed = [
            claim
            for claim in self._conflicts(fingerprint, replicas)
            if (claim.fingerprint, claim.host) < (fingerprint, self._host)
        ]
        if not crossed:
            return None
        self.withdraw(fingerprint)
        return _shared(crossed, replicas)

    def withdraw(self, fingerprint: str) -> None:
        """Tell the others that a place is free."""
        if self._announce is not None:
            self._announce(TrialClaim(self._host, fingerprint, []))

    def _conflicts(self, fingerprint: str, replicas: Sequence[str]) -> list[TrialClaim]:
        """Return the live claims of others that stand in the way."""
        now_ms = self._clock.now_ms()
        self._others = {n: held for n, held in self._others.items() if held.until_ms > now_ms}
        claims = [held.claim for held in self._others.values()]
        return [
            claim
            for claim in claims
            if claim.fingerprint == fingerprint or set(claim.replicas).intersection(replicas)
        ]


def pack_claim(claim: TrialClaim) -> bytes:
    """Return a claim's octets."""
    octets: bytes = msgpack.packb(msgspec.to_builtins(claim))
    return octets


def unpack_claim(octets: bytes) -> TrialClaim | None:
    """Return the claim, or `None` when the octets are not one."""
    try:
        return msgspec.convert(msgpack.unpackb(octets), TrialClaim)
    except (ValueError, msgpack.UnpackException, msgspec.ValidationError):
        return None


def _shared(claims: Sequence[TrialClaim], replicas: Sequence[str]) -> list[str]:
    """Return the replicas that claims hold among some."""
    held = {replica for claim in claims for replica in claim.replicas}
    return sorted(held.intersection(replicas))
