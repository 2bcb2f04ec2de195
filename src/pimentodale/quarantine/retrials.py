"""Lets a refused request run once more after a while, at one host of the whole site.

An innocent request may be convicted, as one that runs everywhere when several replicas lose power. If it runs to
its end on trial it is cleared. One that does harm costs at most as many replicas as there are trials.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import Compare, Delete, Put
from pimentodale.logs import get_log
from pimentodale.quarantine.crashes import CRASH_RETENTION_MS, MAX_REQUESTS

if TYPE_CHECKING:
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.quarantine.crashes import CrashRecord

TRIALS_AFTER_MS: Final = (30_000.0, 120_000.0)
"""Time since the last crash after which each trial may be taken. There are two: three retries of a request
that has crashed three replicas are the most that operators allow."""

RETRIAL_PREFIX: Final = "pimentodale/quarantine/retrial/"
"""Key prefix of trials that were taken; the fingerprint and the trial's number follow."""

STORE_PAUSE_MS: Final = 1_000.0
"""Least pause between two questions to a store that gave no answer."""

_log = get_log("crashes")


class Retrials:
    """Trials as one host takes them."""

    __slots__ = ("_ask_after_ms", "_clock", "_mark", "_record", "_store", "_taken")

    def __init__(self, host: str, clock: Clock, record: CrashRecord, store: KeyValueStore) -> None:
        self._mark = f"{host}/{secrets.token_hex(8)}".encode()
        self._clock = clock
        self._record = record
        self._store = store
        self._taken: dict[str, int] = {}
        self._ask_after_ms = 0.0

    async def take(self, fingerprint: str) -> bool:
        """Whether a refused request may run once, here and now."""
        quiet_ms = self._record.quiet_ms(fingerprint)
        due = sum(quiet_ms >= after_ms for after_ms in TRIALS_AFTER_MS)
        now_ms = self._clock.now_ms()
        if due <= self._taken.get(fingerprint, 0) or now_ms < self._ask_after_ms:
            return False
        # Taken here first, so that no other request of this host asks during the call.
        self._note_taken(fingerprint, due)
        is_taken = await self._create(f"{RETRIAL_PREFIX}{fingerprint}/{due}")
        if is_taken is None:
            self._ask_after_ms = self._clock.now_ms() + STORE_PAUSE_MS
            self._note_taken(fingerprint, due - 1)
            return False
        if is_taken:
            _log.info("A refused request runs on trial.", fingerprint=fingerprint, trial=due)
        return is_taken

    async def give_back(self, fingerprint: str) -> None:
        """Leave the trial that was taken last to whoever asks next: the request has reached no replica."""
        trial = self._taken.get(fingerprint, 0)
        if trial == 0:
            return
        # If this is lost the key stays, and the trial to this host alone.
        await self._store.txn([], [Delete(f"{RETRIAL_PREFIX}{fingerprint}/{trial}")])
        self._note_taken(fingerprint, trial - 1)
        _log.info("A trial is given back.", fingerprint=fingerprint, trial=trial)

    async def _create(self, key: str) -> bool | None:
        """Create a trial's key; False if another host has, `None` without an answer."""
        lease = await self._store.grant_lease(CRASH_RETENTION_MS)
        if lease.is_error():
            return None
        put = Put(key, self._mark, lease.ok)
        reply = await self._store.txn([Compare(key, 0)], [put])
        if reply.is_error():
            return None
        # The answer to an earlier try of this host may have been lost.
        return reply.ok.succeeded or any(item.value == self._mark for item in reply.ok.items)

    def _note_taken(self, fingerprint: str, trials: int) -> None:
        """Remember how many trials of a request are taken, within the bound."""
        self._taken.pop(fingerprint, None)
        if len(self._taken) >= MAX_REQUESTS:
            del self._taken[next(iter(self._taken))]
        self._taken[fingerprint] = trials


def create_retrials(host: str, clock: Clock, record: CrashRecord, store: KeyValueStore) -> Retrials:
    """Return trials of which this host knows none that is taken.

    Args:
        host: Name of this host.
        clock: Tells the time.
        record: What is held against requests.
        store: Where trials are taken.
    """
    return Retrials(host, clock, record, store)
