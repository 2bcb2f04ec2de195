"""Retrials: single runs of a convicted request after a delay, each on one host of the whole site.

A harmless request may be convicted, for example one that runs on several replicas that lose power
together. It is cleared if it completes in a retrial, here also called a trial. A poison request
crashes at most as many further replicas as there are trials.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Final, NamedTuple

from pimentodale.clients.key_value import Compare, Delete, Put
from pimentodale.logs import get_log
from pimentodale.quarantine.crash_record import CRASH_RETENTION_MS, MAX_REQUESTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.quarantine.crash_record import CrashRecord

TRIALS_AFTER_MS: Final = (30_000.0, 120_000.0)
"""Time since the last crash after which each trial is allowed. There are two because operators
allow at most three retries of a request that has crashed three replicas."""

EARLY_TRIAL_AFTER_MS: Final = 1_000.0
"""The same for a further trial, first of all, of a request whose crashes another one may have caused:
most requests beside one that crashes replicas are harmless."""

BACKOFF_FACTOR: Final = 2.0
"""Factor by which the wait grows with each trial of such a request that a replica rejects: replicas
load layers anew for some seconds, and no trial is left after the third one."""

RETRIAL_PREFIX: Final = "pimentodale/quarantine/retrial/"
"""Key prefix of trials in use, followed by the fingerprint and the number of the trial."""

STORE_BACKOFF_MS: Final = 1_000.0
"""Minimum delay between two calls to a store that did not answer."""

_log = get_log("crashes")


class _Rejection(NamedTuple):
    """A trial that a replica rejected, by its number, and when."""

    trial: int
    at_ms: float

    @property
    def next_ms(self) -> float:
        """Earliest time of the next trial."""
        return self.at_ms + EARLY_TRIAL_AFTER_MS * BACKOFF_FACTOR**self.trial


class Retrials:
    """Acquires trials of convicted requests for one host."""

    __slots__ = (
        "_clock",
        "_is_store_settled",
        "_owner_id",
        "_record",
        "_rejected",
        "_store",
        "_store_retry_at_ms",
        "_taken",
    )

    def __init__(
        self,
        host: str,
        clock: Clock,
        record: CrashRecord,
        store: KeyValueStore,
        is_store_settled: Callable[[], bool],
    ) -> None:
        self._owner_id = f"{host}/{secrets.token_hex(8)}".encode()
        self._clock = clock
        self._record = record
        self._rejected: dict[str, _Rejection] = {}
        self._store = store
        self._is_store_settled = is_store_settled
        self._taken: dict[str, int] = {}
        self._store_retry_at_ms = 0.0

    async def acquire(self, fingerprint: str) -> bool:
        """Acquire a trial of a convicted request; returns whether it may run once now."""
        due = self._count_due(fingerprint)
        now_ms = self._clock.now_ms()
        if due <= self._taken.get(fingerprint, 0) or now_ms < self._store_retry_at_ms:
            return False
        # A store that has returned from a copy may lack the trials of other hosts for a moment.
        if not self._is_store_settled():
            return False
        # Record the trial first, so that no other request of this host tries during the call.
        self._note_taken(fingerprint, due)
        is_taken = await self._create(f"{RETRIAL_PREFIX}{fingerprint}/{due}")
        if is_taken is None:
            self._store_retry_at_ms = self._clock.now_ms() + STORE_BACKOFF_MS
            self._note_taken(fingerprint, due - 1)
            return False
        if is_taken:
            _log.info("A convicted request runs in a trial.", fingerprint=fingerprint, trial=due)
        return is_taken

    def note_rejected(self, fingerprint: str) -> None:
        """Note that the last trial has told nothing, as a replica rejected the request.

        It counts as one, but if the request may be harmless its next trial is allowed soon.
        """
        trial = self._taken.get(fingerprint, 0)
        if trial == 0:
            return
        self._rejected[fingerprint] = _Rejection(trial, self._clock.now_ms())
        _log.info(
            "A replica rejected a convicted request in its trial.",
            fingerprint=fingerprint,
            trial=trial,
        )

    async def release(self, fingerprint: str) -> None:
        """Release the last acquired trial of a request that has reached no replica."""
        trial = self._taken.get(fingerprint, 0)
        if trial == 0:
            return
        # If this call fails, the key remains and only this host can acquire the trial again.
        await self._store.txn([], [Delete(f"{RETRIAL_PREFIX}{fingerprint}/{trial}")])
        self._note_taken(fingerprint, trial - 1)
        _log.info("Released an unused trial.", fingerprint=fingerprint, trial=trial)

    async def rewrite(self) -> None:
        """Write the keys of this host's trials to the store again, in case it has lost them."""
        for fingerprint, trials in list(self._taken.items()):
            for trial in range(1, trials + 1):
                await self._create(f"{RETRIAL_PREFIX}{fingerprint}/{trial}")

    def may_clear(self, fingerprint: str) -> bool:
        """Whether a request is convicted for crashes that may not be its own, and has trials left."""
        taken = self._taken.get(fingerprint, 0)
        return taken <= len(TRIALS_AFTER_MS) and self._record.is_doubtful(fingerprint)

    def _count_due(self, fingerprint: str) -> int:
        """Return the number of trials that a convicted request may have had by now."""
        ms_since_change = self._record.ms_since_change(fingerprint)
        due = sum(ms_since_change >= after_ms for after_ms in TRIALS_AFTER_MS)
        if ms_since_change < EARLY_TRIAL_AFTER_MS or not self._record.is_doubtful(fingerprint):
            return due
        due += 1
        rejection = self._rejected.get(fingerprint)
        if rejection is None or rejection.trial != self._taken.get(fingerprint, 0):
            return due
        if rejection.trial > len(TRIALS_AFTER_MS) or self._clock.now_ms() < rejection.next_ms:
            return due
        return max(due, rejection.trial + 1)

    async def _create(self, key: str) -> bool | None:
        """Create the key of a trial; False if another host did, `None` if the store call failed."""
        lease = await self._store.grant_lease(CRASH_RETENTION_MS)
        if lease.is_error():
            return None
        put = Put(key, self._owner_id, lease.ok)
        reply = await self._store.txn([Compare(key, 0)], [put])
        if reply.is_error():
            return None
        # An earlier attempt of this host may have succeeded although its reply was lost.
        return reply.ok.succeeded or any(item.value == self._owner_id for item in reply.ok.items)

    def _note_taken(self, fingerprint: str, trials: int) -> None:
        """Record the number of acquired trials of a request, evicting the oldest entry if full."""
        self._taken.pop(fingerprint, None)
        if len(self._taken) >= MAX_REQUESTS:
            oldest = next(iter(self._taken))
            del self._taken[oldest]
            self._rejected.pop(oldest, None)
        self._taken[fingerprint] = trials


def create_retrials(
    host: str,
    clock: Clock,
    record: CrashRecord,
    store: KeyValueStore,
    is_store_settled: Callable[[], bool] = lambda: True,
) -> Retrials:
    """Create the trials of a host, none of them acquired.

    Args:
        host: Name of this host.
        clock: Clock of this host.
        record: The crash record of this host.
        store: The store that holds the keys of trials.
        is_store_settled: Returns whether the store has what other hosts wrote; it may lack some of
            it for a moment after it has returned from an older copy.
    """
    return Retrials(host, clock, record, store, is_store_settled)
