"""The ledger with one key for each claim, created only if absent."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.key_value import Compare, Delete, KeyValue, KeyValueStore, Put
from pimentodale.ledger import refusals
from pimentodale.ledger.records import (
    Claim,
    ClaimRecord,
    ClaimRequest,
    Outcome,
    bounded_outcome,
    decode_record,
    encode_record,
    key_of,
)
from pimentodale.ledger.retention import RetentionLease
from pimentodale.logs import get_log
from pimentodale.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from pimentodale.clients.key_value import StoreFault, TxnReply
    from pimentodale.clock import Clock
    from pimentodale.ledger.interface import Ledger
    from pimentodale.results import Refusal

CLAIM_TRIES: Final = 2
"""Calls to the service for one claim: the first, and one that reads back after a lost reply."""

CONFIRM_AFTER_MS: Final = 1000.0
"""A claim that was seen this short a time ago is not read again before the first byte."""

CONFIRM_TRIES: Final = 2
"""Reads for one confirmation, in case the host is held up between the read and its use."""

STORE_PAUSE_MS: Final = 250.0
"""After a fault of the service, claims are refused this long without asking it again."""

SETTLE_WAIT_MS: Final = 500.0
"""Longest wait of a caller for an outcome or a release to be stored."""

SETTLE_FOR_MS: Final = 60_000.0
"""How long an outcome or a release is tried in the background."""

MIN_SETTLE_TRIES: Final = 8
"""Tries in any case, about as many as fit into half of that time."""

FIRST_BACKOFF_MS: Final = 100.0
"""First pause between two tries in the background; each next one is twice as long."""

LAST_BACKOFF_MS: Final = 5_000.0
"""Longest pause between two tries in the background."""

RELEASE_LOOKS: Final = 10
"""Tries to claim a key whose holder has marked it as released; with the pauses, half the time that
a release may hold up its caller."""

RELEASE_PAUSE_MS: Final = 25.0
"""Pause between two of them: some answers of a service that takes milliseconds."""

WITHDRAW_LOOKS: Final = 3
"""Looks for a claim whose write gave no answer, as it may take effect late."""


class KeyLedger:
    """Claims of one host in the key-value service; build it with `create_key_ledger`."""

    __slots__ = (
        "_clock",
        "_down_until_ms",
        "_host",
        "_lease",
        "_log",
        "_probing",
        "_store",
        "_store_down",
        "_tasks",
    )

    def __init__(
        self, store: KeyValueStore, clock: Clock, host: str, lease: RetentionLease
    ) -> None:
        self._store = store
        self._clock = clock
        self._host = host
        self._lease = lease
        self._store_down = False
        self._probing = False
        self._down_until_ms = 0.0
        self._tasks: set[asyncio.Task[bool]] = set()
        self._log = get_log("ledger")

    async def claim(self, request: ClaimRequest) -> Result[Claim | Outcome, Refusal]:
        """Create the claim if there is none; see `Ledger.claim`."""
        if not self._store_down:
            return await self._claim(request)
        # While the service is down one claim at a time asks it, and the others are refused at once.
        if self._probing or self._clock.now_ms() < self._down_until_ms:
            return Error(refusals.ledger_unavailable())
        self._probing = True
        try:
            return await self._claim(request)
        finally:
            self._probing = False

    async def confirm(self, claim: Claim) -> Result[None, Refusal]:
        """Look at the clock, and at the claim unless it was seen just now; see `Ledger.confirm`."""
        for _ in range(CONFIRM_TRIES):
            now_ms = self._clock.now_ms()
            if now_ms >= claim.deadline_ms:
                message = "The deadline passed before anything was sent."
                return Error(refusals.nothing_sent(ResultCode.DEADLINE_EXCEEDED, message))
            if now_ms - claim.seen_ms <= CONFIRM_AFTER_MS:
                return Ok(None)
            read = await self._store.read(claim.key)
            if read.is_error():
                self._note_fault(read.error)
                return Error(refusals.ledger_unavailable())
            if not _stands(read.ok.items, claim):
                return Error(refusals.claim_lost())
            claim.seen_ms = now_ms
        return Error(refusals.claim_lost())

    async def finish(self, claim: Claim, outcome: Outcome | None) -> bool:
        """Write the outcome over the claim; see `Ledger.finish`."""
        return await self._wait_for(self._settle(self._write_outcome(claim, outcome)))

    async def begin_release(self, claim: Claim) -> bool:
        """Write the mark over the claim; see `Ledger.begin_release`."""
        return await self._wait_for(self._settle(self._mark_released(claim)))

    async def release(self, claim: Claim) -> bool:
        """Delete the claim if it stands as this host wrote it; see `Ledger.release`."""
        return await self._wait_for(self._settle(self._delete(claim)))

    async def lookup(
        self, workspace: str, idempotency_key: str
    ) -> Result[ClaimRecord | None, Refusal]:
        """Read one key; see `Ledger.lookup`."""
        read = await self._store.read(key_of(workspace, idempotency_key))
        if read.is_error():
            return Error(refusals.ledger_unavailable())
        if not read.ok.items:
            return Ok(None)
        record = decode_record(read.ok.items[0].value)
        if record.is_error():
            return Error(self._bad_record(read.ok.items[0].key, record.error.message))
        return Ok(record.ok)

    async def flush(self, timeout_ms: float) -> int:
        """Wait for outcomes and releases in progress; see `Ledger.flush`."""
        if not self._tasks:
            return 0
        _, pending = await asyncio.wait(set(self._tasks), timeout=timeout_ms / 1000.0)
        return len(pending)

    async def _claim(self, request: ClaimRequest) -> Result[Claim | Outcome, Refusal]:
        """Write the claim, and read it back when a reply was lost."""
        lease = await self._lease.lease_id()
        if lease.is_error():
            self._note_fault(lease.error)
            return Error(refusals.ledger_unavailable())
        key = key_of(request.workspace, request.idempotency_key)
        record, deadline_ms = self._new_record(request)
        put = Put(key, encode_record(record), lease.ok)
        may_stand = False
        faults = 0
        looks = 0
        while faults < CLAIM_TRIES:
            seen_ms = self._clock.now_ms()
            try:
                reply = await self._store.txn([Compare(key, 0)], [put])
                if reply.is_ok() and looks < RELEASE_LOOKS and _is_released(reply.ok):
                    looks += 1
                    await self._clock.sleep_ms(RELEASE_PAUSE_MS)
                    continue
            except asyncio.CancelledError:
                self._settle(self._withdraw(key, record.attempt_id))
                raise
            if reply.is_ok():
                self._store_down = False
                return self._judge(request, key, record, deadline_ms, seen_ms, reply.ok)
            faults += 1
            may_stand = may_stand or reply.error.may_have_applied
            self._note_fault(reply.error)
            if not may_stand:
                break
        if may_stand:
            self._settle(self._withdraw(key, record.attempt_id))
        return Error(refusals.ledger_unavailable())

    def _new_record(self, request: ClaimRequest) -> tuple[ClaimRecord, float]:
        """Return the record to write and the deadline that the claim can vouch for."""
        now_ms = self._clock.now_ms()
        deadline_ms = min(request.deadline_ms, now_ms + self._lease.retention_ms)
        wall_ms = self._clock.wall_ms()
        record = ClaimRecord(
            attempt_id=f"{self._host}/{uuid.uuid4().hex}",
            digest=request.digest,
            claimed_wall_ms=wall_ms,
            deadline_wall_ms=wall_ms + deadline_ms - now_ms,
        )
        return record, deadline_ms

    def _judge(
        self,
        request: ClaimRequest,
        key: str,
        record: ClaimRecord,
        deadline_ms: float,
        seen_ms: float,
        reply: TxnReply,
    ) -> Result[Claim | Outcome, Refusal]:
        """Decide by the service's answer to a claim."""
        mod_revision = reply.revision
        if not reply.succeeded:
            if not reply.items:
                # The claim that was in the way went between the comparison and the read.
                return Error(refusals.claim_lost())
            standing = reply.items[0]
            found = decode_record(standing.value)
            if found.is_error():
                return Error(self._bad_record(key, found.error.message))
            if found.ok.attempt_id != record.attempt_id:
                return self._judge_earlier(request, found.ok)
            mod_revision = standing.mod_revision
        return Ok(
            Claim(
                key=key,
                record=record,
                mod_revision=mod_revision,
                deadline_ms=deadline_ms,
                seen_ms=seen_ms,
            )
        )

    def _judge_earlier(
        self, request: ClaimRequest, earlier: ClaimRecord
    ) -> Result[Claim | Outcome, Refusal]:
        """Decide by what an earlier attempt left."""
        now_wall_ms = self._clock.wall_ms()
        if earlier.digest != request.digest:
            return Error(refusals.key_reused(earlier, now_wall_ms))
        if earlier.outcome is None:
            return Error(refusals.earlier_attempt_open(earlier, now_wall_ms))
        if not earlier.outcome.kept:
            return Error(refusals.outcome_not_kept())
        return Ok(earlier.outcome)

    def _bad_record(self, key: str, problem: str) -> Refusal:
        """Report a stored value that is no record; the key counts as run."""
        self._log.error("A stored claim can't be read.", key=key, problem=problem)
        message = "What stands under this key can't be read; check by hand."
        return refusals.unread_key(
            refusals.nothing_sent(ResultCode.EARLIER_ATTEMPT_UNRESOLVED, message)
        )

    def _note_fault(self, fault: StoreFault) -> None:
        """Hold off from a service that does not answer."""
        self._store_down = True
        self._down_until_ms = self._clock.now_ms() + STORE_PAUSE_MS
        self._lease.note_fault(fault)
        self._log.warning("The key-value service failed a call.", problem=fault.message)

    def _settle(self, work: Coroutine[None, None, bool]) -> asyncio.Task[bool]:
        """Start a task that outlives its caller."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_settling)
        return task

    def _end_settling(self, task: asyncio.Task[bool]) -> None:
        """Forget a task and log what it ended with, if it failed."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error("Settling a claim failed.", problem=repr(task.exception()))

    async def _wait_for(self, task: asyncio.Task[bool]) -> bool:
        """Wait a short time for a task that goes on by itself."""
        done = await self._clock.wait_for(task, SETTLE_WAIT_MS)
        return done and task.exception() is None and task.result()

    async def _write_outcome(self, claim: Claim, outcome: Outcome | None) -> bool:
        """Put the outcome in place of the open claim, and read back after a lost reply."""
        record = msgspec.structs.replace(
            claim.record,
            state="unknown" if outcome is None else "finished",
            outcome=None if outcome is None else bounded_outcome(outcome),
        )
        value = encode_record(record)
        compare = Compare(claim.key, claim.mod_revision)

        async def write_once() -> bool | None:
            lease = await self._lease.lease_id()
            if lease.is_error():
                return None
            reply = await self._store.txn([compare], [Put(claim.key, value, lease.ok)])
            if reply.is_error():
                self._note_fault(reply.error)
                return None
            if reply.ok.succeeded:
                return True
            return bool(reply.ok.items) and reply.ok.items[0].value == value

        stored = await self._try_for_a_while(write_once)
        if not stored:
            self._log.warning("An outcome was not stored.", key=claim.key, state=record.state)
        return stored

    async def _delete(self, claim: Claim) -> bool:
        """Delete the claim as this host wrote it."""

        async def delete_once() -> bool | None:
            compare = Compare(claim.key, claim.mod_revision)
            reply = await self._store.txn([compare], [Delete(claim.key)])
            if reply.is_error():
                self._note_fault(reply.error)
                return None
            if reply.ok.succeeded:
                return True
            own_revision = _own_revision(reply.ok, claim)
            if own_revision is None:
                return True
            # The mark took effect after its reply was lost.
            claim.mod_revision = own_revision
            return None

        return await self._try_for_a_while(delete_once)

    async def _mark_released(self, claim: Claim) -> bool:
        """Write the claim anew as released, and read back after a lost reply."""
        value = encode_record(msgspec.structs.replace(claim.record, state="released"))

        async def mark_once() -> bool | None:
            lease = await self._lease.lease_id()
            if lease.is_error():
                return False
            compare = Compare(claim.key, claim.mod_revision)
            reply = await self._store.txn([compare], [Put(claim.key, value, lease.ok)])
            if reply.is_error():
                self._note_fault(reply.error)
                return None if reply.error.may_have_applied else False
            revision = reply.ok.revision if reply.ok.succeeded else _own_revision(reply.ok, claim)
            if revision is not None:
                claim.mod_revision = revision
            return revision is not None

        return await self._try_for_a_while(mark_once)

    async def _withdraw(self, key: str, attempt_id: str) -> bool:
        """Take back a claim that may or may not have been written."""
        looks = 0

        async def look_once() -> bool | None:
            nonlocal looks
            read = await self._store.read(key)
            if read.is_error():
                return None
            looks += 1
            for item in read.ok.items:
                record = decode_record(item.value)
                if record.is_error() or record.ok.attempt_id != attempt_id:
                    return True
                reply = await self._store.txn([Compare(key, item.mod_revision)], [Delete(key)])
                return True if reply.is_ok() else None
            return True if looks >= WITHDRAW_LOOKS else None

        return await self._try_for_a_while(look_once)

    async def _try_for_a_while(
        self, act_once: Callable[[], Coroutine[None, None, bool | None]]
    ) -> bool:
        """Repeat an act until it says how it ended, with growing pauses and a limit in time."""
        end_ms = self._clock.now_ms() + SETTLE_FOR_MS
        backoff_ms = FIRST_BACKOFF_MS
        tries = 0
        while True:
            ended = await act_once()
            tries += 1
            if ended is not None:
                return ended
            # A host that was frozen for the whole time has not tried yet.
            if self._clock.now_ms() + backoff_ms > end_ms and tries >= MIN_SETTLE_TRIES:
                return False
            await self._clock.sleep_ms(backoff_ms)
            backoff_ms = min(2 * backoff_ms, LAST_BACKOFF_MS)


def create_key_ledger(
    store: KeyValueStore, clock: Clock, host: str, retention_ms: Callable[[], float]
) -> Ledger:
    """Build the ledger of one host.

    Args:
        store: The key-value service.
        clock: Time.
        host: Name of this host, for people who read stored claims.
        retention_ms: Returns how long claims are kept, as configured now.

    Returns:
        The ledger.
    """
    return KeyLedger(store, clock, host, RetentionLease(store, clock, retention_ms))


def _is_released(reply: TxnReply) -> bool:
    """Whether a claim was refused because of one that is being released."""
    if reply.succeeded or not reply.items:
        return False
    found = decode_record(reply.items[0].value)
    return found.is_ok() and found.ok.state == "released"


def _own_revision(reply: TxnReply, claim: Claim) -> int | None:
    """Return the revision at which a claim stands, or `None` if it no longer does."""
    for item in reply.items:
        found = decode_record(item.value)
        if found.is_ok() and found.ok.attempt_id == claim.record.attempt_id:
            return item.mod_revision
    return None


def _stands(items: list[KeyValue], claim: Claim) -> bool:
    """Whether a claim still stands as this host wrote it."""
    return any(item.mod_revision == claim.mod_revision for item in items)
