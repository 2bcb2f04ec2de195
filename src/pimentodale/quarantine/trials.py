"""Trials: isolated runs of requests with strikes.

Across the whole site, a replica runs at most one request with strikes at a time. Trials are keys of
the key-value service that are created only if absent. While the service is unavailable, hosts
coordinate by claims between peers.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clients.key_value import Compare, Delete, Put
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log
from pimentodale.quarantine.entries import QuarantineEntry, pack_entry, unpack_entry
from pimentodale.quarantine.register import CONVICTION_RETENTION_MS
from pimentodale.quarantine.trial_claims import TrialClaims

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pimentodale.background import BackgroundTasks
    from pimentodale.clients.key_value import KeyValueStore, TxnReply
    from pimentodale.clock import Clock

CONVICTED_PREFIX: Final = "pimentodale/quarantine/convicted/"
"""Key prefix of convictions."""

_REPLICA_PREFIX: Final = "pimentodale/quarantine/trial/replica/"
_REQUEST_PREFIX: Final = "pimentodale/quarantine/trial/request/"

TRIAL_LEASE_MS: Final = 30_000.0
"""How long the keys of a trial remain after their host has failed."""

_FIRST_PAUSE_MS: Final = 40.0
_LONGEST_PAUSE_MS: Final = 120.0
"""Shortest and longest delay before trying again while another host holds the keys; several tries
fit into the 1 s that a stream may wait."""

_log = get_log("quarantine")


class Trial(msgspec.Struct):
    """A trial held by this host."""

    fingerprint: str
    """Fingerprint of the request."""

    replicas: list[str]
    """Replicas of its route."""

    lease_id: int
    """Lease of its keys; 0 when the service granted none."""

    claimed: bool = False
    """Whether it is held by a claim between peers instead of keys."""


class Occupied(msgspec.Struct, frozen=True):
    """Why a trial could not be acquired."""

    replicas: list[str]
    """Replicas that run another trial."""

    convicted: QuarantineEntry | None
    """The conviction, if the request was convicted in the meantime."""


class Trials:
    """Acquires and releases the trials of one host."""

    __slots__ = ("_background", "_changed", "_host", "_store", "_trials", "claims")

    def __init__(
        self, host: str, clock: Clock, background: BackgroundTasks, store: KeyValueStore | None
    ) -> None:
        self.claims = TrialClaims(host, clock, None)
        """Claims between peers, used while the service is unavailable."""
        self._host = host
        self._background = background
        self._store = store
        self._trials: dict[str, Trial] = {}
        self._changed = asyncio.Event()

    @property
    def trial_replicas(self) -> set[str]:
        """Replicas that run a trial of this host."""
        return {replica for trial in self._trials.values() for replica in trial.replicas}

    async def acquire(self, fingerprint: str, replicas: Sequence[str]) -> Occupied | None:
        """Acquire a trial for a request.

        Args:
            fingerprint: Fingerprint of the request.
            replicas: All replicas of the route.

        Returns:
            `None` once the trial is held, or what prevents it.
        """
        taken = self.trial_replicas.intersection(replicas)
        if fingerprint in self._trials or taken:
            return Occupied(sorted(taken), None)
        # Register it first, so that no other task of this host acquires it during the call.
        trial = Trial(fingerprint, list(replicas), 0)
        self._trials[fingerprint] = trial
        try:
            occupied = await self._create_keys(trial)
        except BaseException:
            self.release(fingerprint)
            raise
        if occupied is not None:
            # No replica became free, so waiting tasks are not woken.
            self._trials.pop(fingerprint, None)
        return occupied

    def release(self, fingerprint: str, conviction: QuarantineEntry | None = None) -> None:
        """Release a trial, and store a conviction in the same transaction.

        Args:
            fingerprint: The request; it may have no trial.
            conviction: The entry, if the trial ended in a conviction.
        """
        trial = self._trials.pop(fingerprint, None)
        if trial is not None and trial.claimed:
            self.claims.withdraw(fingerprint)
        if self._store is None or (trial is None and conviction is None):
            self._note_change()
            return
        self._background.start(self._delete_keys(trial, conviction), "quarantine: end of a trial")

    async def wait_for_change(self, tries: int) -> None:
        """Wait until a trial of this host ends, or for a delay that grows exponentially.

        Args:
            tries: Number of earlier waits of the caller.
        """
        pause_ms = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS * 2 ** min(tries, 8))
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), pause_ms / MS_PER_S)
        except TimeoutError:
            pass

    def _note_change(self) -> None:
        """Wake all tasks that wait for a trial."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _create_keys(self, trial: Trial) -> Occupied | None:
        """Create the keys of a trial, or return what prevents it."""
        if self._store is None:
            return await self._claim(trial)
        lease = await self._store.grant_lease(TRIAL_LEASE_MS)
        if lease.is_error():
            _log.info("Falling back to peer claims for a trial.", reason=lease.error.message)
            return await self._claim(trial)
        trial.lease_id = lease.ok
        compares = [Compare(key, 0) for key in _keys(trial)]
        compares.append(Compare(CONVICTED_PREFIX + trial.fingerprint, 0))
        value = self._host.encode()
        writes = [Put(key, value, trial.lease_id) for key in _keys(trial)]
        reply = await self._store.txn(compares, writes)
        if reply.is_error():
            # The keys may exist or not; either way they expire with the lease.
            _log.info("Falling back to peer claims for a trial.", reason=reply.error.message)
            return await self._claim(trial)
        if reply.ok.succeeded:
            return None
        self._background.start(self._revoke(trial.lease_id), "quarantine: unused lease")
        return _occupied(reply.ok)

    async def _claim(self, trial: Trial) -> Occupied | None:
        """Acquire the trial by a claim between peers."""
        held_by_others = await self.claims.acquire(trial.fingerprint, trial.replicas)
        if held_by_others is not None:
            return Occupied(held_by_others, None)
        trial.claimed = True
        return None

    async def _delete_keys(self, trial: Trial | None, conviction: QuarantineEntry | None) -> None:
        """Store the conviction, delete the keys of the trial and revoke its lease."""
        assert self._store is not None
        writes: list[Put | Delete] = []
        if trial is not None and trial.lease_id:
            writes += [Delete(key) for key in _keys(trial)]
        if conviction is not None:
            lease = await self._store.grant_lease(CONVICTION_RETENTION_MS)
            lease_id = lease.ok if lease.is_ok() else 0
            key = CONVICTED_PREFIX + conviction.fingerprint
            writes.append(Put(key, pack_entry(conviction), lease_id))
        if writes:
            reply = await self._store.txn([], writes)
            if reply.is_error():
                _log.warning("The end of a trial was not stored.", reason=reply.error.message)
        self._note_change()
        if trial is not None and trial.lease_id:
            await self._revoke(trial.lease_id)

    async def _revoke(self, lease_id: int) -> None:
        """Revoke a lease; if that fails, the lease expires by itself."""
        assert self._store is not None
        await self._store.revoke_lease(lease_id)


def create_trials(
    host: str, clock: Clock, background: BackgroundTasks, store: KeyValueStore | None
) -> Trials:
    """Create the trials of a host, none of them held.

    Args:
        host: Name of this host.
        clock: Clock of this host.
        background: Runs the store calls that end a trial.
        store: The key-value service; with `None`, peer claims alone coordinate trials.
    """
    return Trials(host, clock, background, store)


def _keys(trial: Trial) -> list[str]:
    """Return the keys of a trial."""
    replicas = [_REPLICA_PREFIX + replica for replica in trial.replicas]
    return [_REQUEST_PREFIX + trial.fingerprint, *replicas]


def _occupied(reply: TxnReply) -> Occupied:
    """Return what prevents a trial, from the reply of the failed transaction."""
    convicted: QuarantineEntry | None = None
    replicas = []
    for item in reply.items:
        if item.key.startswith(_REPLICA_PREFIX):
            replicas.append(item.key.removeprefix(_REPLICA_PREFIX))
        elif item.key.startswith(CONVICTED_PREFIX):
            convicted = unpack_entry(item.value)
    return Occupied(replicas, convicted)
