"""Trials: a struck request runs only where no other struck request runs, on the whole site.

The places are keys of the key-value service that are created only if absent. While the service gives
no answer, hosts claim places by word between peers.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clients.key_value import Compare, Delete, Put
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log
from pimentodale.quarantine.claims import Claims
from pimentodale.quarantine.entries import QuarantineEntry, pack_entry, unpack_entry
from pimentodale.quarantine.register import CONVICTION_RETENTION_MS

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
"""Longest time that a place is kept for a host that has gone."""

_FIRST_PAUSE_MS: Final = 40.0
_LONGEST_PAUSE_MS: Final = 120.0
"""Longest pause before the place of another host is looked for again; a few fit into the 1 s that a
stream may wait."""

_log = get_log("quarantine")


class Trial(msgspec.Struct):
    """A place that is held."""

    fingerprint: str
    """The request on trial."""

    replicas: list[str]
    """Where it runs."""

    lease_id: int
    """Lease of its keys; 0 when the service gave no answer."""

    claimed: bool = False
    """Whether it is held by word between peers instead."""


class Occupied(msgspec.Struct, frozen=True):
    """Why there is no place now."""

    replicas: list[str]
    """Replicas where another struck request runs."""

    convicted: QuarantineEntry | None
    """Set when the request was convicted meanwhile."""


class Trials:
    """The trials of one host."""

    __slots__ = ("_background", "_changed", "_host", "_store", "_trials", "claims")

    def __init__(
        self, host: str, clock: Clock, background: BackgroundTasks, store: KeyValueStore | None
    ) -> None:
        self.claims = Claims(host, clock, None)
        """Places by word between peers."""
        self._host = host
        self._background = background
        self._store = store
        self._trials: dict[str, Trial] = {}
        self._changed = asyncio.Event()

    @property
    def taken_replicas(self) -> set[str]:
        """Replicas where a struck request of this host is on trial."""
        return {replica for trial in self._trials.values() for replica in trial.replicas}

    async def acquire(self, fingerprint: str, replicas: Sequence[str]) -> Occupied | None:
        """Take a place for a request.

        Args:
            fingerprint: The request.
            replicas: The whole route.

        Returns:
            Nothing once the place is held, or who holds it.
        """
        taken = self.taken_replicas.intersection(replicas)
        if fingerprint in self._trials or taken:
            return Occupied(sorted(taken), None)
        # Held here first, so that no other task of this host takes it during the call.
        trial = Trial(fingerprint, list(replicas), 0)
        self._trials[fingerprint] = trial
        try:
            occupied = await self._lock(trial)
        except BaseException:
            self.release(fingerprint)
            raise
        if occupied is not None:
            # Nothing came free, so the others that wait here are left to wait.
            self._trials.pop(fingerprint, None)
        return occupied

    def release(self, fingerprint: str, conviction: QuarantineEntry | None = None) -> None:
        """Give a place up, and keep a conviction in the service in the same step.

        Args:
            fingerprint: The request; one without a place is passed over.
            conviction: The entry, if the trial ended in one.
        """
        trial = self._trials.pop(fingerprint, None)
        if trial is not None and trial.claimed:
            self.claims.withdraw(fingerprint)
        if self._store is None or (trial is None and conviction is None):
            self._note_change()
            return
        self._background.start(self._unlock(trial, conviction), "quarantine: end of a trial")

    async def wait_for_change(self, tries: int) -> None:
        """Wait until a place of this host comes free, or for a growing while.

        Args:
            tries: How often the caller has waited before.
        """
        pause_ms = min(_LONGEST_PAUSE_MS, _FIRST_PAUSE_MS * 2 ** min(tries, 8))
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), pause_ms / MS_PER_S)
        except TimeoutError:
            pass

    def _note_change(self) -> None:
        """Wake whoever waits for a place."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _lock(self, trial: Trial) -> Occupied | None:
        """Create the trial's keys, or find out who holds them."""
        if self._store is None:
            return await self._claim(trial)
        lease = await self._store.grant_lease(TRIAL_LEASE_MS)
        if lease.is_error():
            _log.info("A trial goes without its keys.", reason=lease.error.message)
            return await self._claim(trial)
        trial.lease_id = lease.ok
        compares = [Compare(key, 0) for key in _keys(trial)]
        compares.append(Compare(CONVICTED_PREFIX + trial.fingerprint, 0))
        value = self._host.encode()
        writes = [Put(key, value, trial.lease_id) for key in _keys(trial)]
        reply = await self._store.txn(compares, writes)
        if reply.is_error():
            # The keys may stand or not; they go with the lease either way.
            _log.info("A trial goes without its keys.", reason=reply.error.message)
            return await self._claim(trial)
        if reply.ok.succeeded:
            return None
        self._background.start(self._revoke(trial.lease_id), "quarantine: unused lease")
        return _occupied(reply.ok)

    async def _claim(self, trial: Trial) -> Occupied | None:
        """Hold the place by word between peers."""
        held_by_others = await self.claims.settle(trial.fingerprint, trial.replicas)
        if held_by_others is not None:
            return Occupied(held_by_others, None)
        trial.claimed = True
        return None

    async def _unlock(self, trial: Trial | None, conviction: QuarantineEntry | None) -> None:
        """Write the conviction, remove the trial's keys and end its lease."""
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
                _log.warning("A trial's end was not stored.", reason=reply.error.message)
        self._note_change()
        if trial is not None and trial.lease_id:
            await self._revoke(trial.lease_id)

    async def _revoke(self, lease_id: int) -> None:
        """End a lease; one that stays lapses by itself."""
        assert self._store is not None
        await self._store.revoke_lease(lease_id)


def create_trials(
    host: str, clock: Clock, background: BackgroundTasks, store: KeyValueStore | None
) -> Trials:
    """Return this host's trials, none under way.

    Args:
        host: Name of this host.
        clock: Tells the time.
        background: Runs what ends a trial in the service.
        store: The key-value service; `None` keeps trials of this host alone apart.
    """
    return Trials(host, clock, background, store)


def _keys(trial: Trial) -> list[str]:
    """Return the keys that a trial holds."""
    replicas = [_REPLICA_PREFIX + replica for replica in trial.replicas]
    return [_REQUEST_PREFIX + trial.fingerprint, *replicas]


def _occupied(reply: TxnReply) -> Occupied:
    """Return who holds the keys."""
    convicted: QuarantineEntry | None = None
    replicas = []
    for item in reply.items:
        if item.key.startswith(_REPLICA_PREFIX):
            replicas.append(item.key.removeprefix(_REPLICA_PREFIX))
        elif item.key.startswith(CONVICTED_PREFIX):
            convicted = unpack_entry(item.value)
    return Occupied(replicas, convicted)
