"""Ledger that stores each claim under its own key, created only if absent."""

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
    decode_record,
    encode_record,
    ledger_key,
    storable_outcome,
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
"""Failed calls after which a claim is refused: the first, and one that reads back after a lost
reply."""

CONFIRMATION_VALIDITY_MS: Final = 1000.0
"""Time after a confirmation during which the claim is not read again before the first byte."""

CONFIRM_TRIES: Final = 2
"""Tries per confirmation, in case the host is delayed between a read and its use."""

STORE_BACKOFF_MS: Final = 250.0
"""Time after a fault of the service during which claims are refused without calling it."""

SETTLE_WAIT_MS: Final = 500.0
"""Maximum time that a caller waits for an outcome or a release to be stored."""

SETTLE_TIMEOUT_MS: Final = 60_000.0
"""Time limit for background retries of an outcome or a release."""

MIN_SETTLE_TRIES: Final = 8
"""Minimum number of tries regardless of the time limit; about as many as fit into half of it."""

INITIAL_BACKOFF_MS: Final = 100.0
"""Delay between the first two background tries; it doubles after each try."""

MAX_BACKOFF_MS: Final = 5_000.0
"""Maximum delay between two background tries."""

RELEASE_WAITS: Final = 10
"""Maximum number of waits for a key whose holder has marked it as released; together they take half
of `SETTLE_WAIT_MS`, the time that a release may delay its caller."""

RELEASE_WAIT_MS: Final = 25.0
"""Delay between two of these tries: several round trips to a service that takes milliseconds."""

WITHDRAW_READS: Final = 3
"""Reads to find a claim whose write was not answered, because it may be applied late."""


class KeyLedger:
    """Ledger of one host in the key-value service; create it with `create_key_ledger`."""

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
        """Create the claim if the key is free; see `Ledger.claim`."""
        if not self._store_down:
            return await self._claim(request)
        # While the service is down, one claim at a time probes it and the others are refused.
        if self._probing or self._clock.now_ms() < self._down_until_ms:
            return Error(refusals.ledger_unavailable())
        self._probing = True
        try:
            return await self._claim(request)
        finally:
            self._probing = False

    async def confirm(self, claim: Claim) -> Result[None, Refusal]:
        """Check the deadline, and the claim unless it was just confirmed; see `Ledger.confirm`."""
        for _ in range(CONFIRM_TRIES):
            now_ms = self._clock.now_ms()
            if now_ms >= claim.deadline_ms:
                message = "The deadline passed before anything was sent."
                return Error(refusals.nothing_sent(ResultCode.DEADLINE_EXCEEDED, message))
            if now_ms - claim.seen_ms <= CONFIRMATION_VALIDITY_MS:
                return Ok(None)
            read = await self._store.read(claim.key)
            if read.is_error():
                self._note_fault(read.error)
                return Error(refusals.ledger_unavailable())
            if not _is_current(read.ok.items, claim):
                return Error(refusals.claim_lost())
            claim.seen_ms = now_ms
        return Error(refusals.claim_lost())

    async def finish(self, claim: Claim, outcome: Outcome | None) -> bool:
        """Replace the claim by the outcome; see `Ledger.finish`."""
        return await self._wait_for(self._start_settling(self._write_outcome(claim, outcome)))

    async def begin_release(self, claim: Claim) -> bool:
        """Mark the claim as released; see `Ledger.begin_release`."""
        return await self._wait_for(self._start_settling(self._mark_released(claim)))

    async def release(self, claim: Claim) -> bool:
        """Delete the claim if it is still the one that this host wrote; see `Ledger.release`."""
        return await self._wait_for(self._start_settling(self._delete(claim)))

    async def lookup(
        self, workspace: str, idempotency_key: str
    ) -> Result[ClaimRecord | None, Refusal]:
        """Read one key; see `Ledger.lookup`."""
        read = await self._store.read(ledger_key(workspace, idempotency_key))
        if read.is_error():
            return Error(refusals.ledger_unavailable())
        if not read.ok.items:
            return Ok(None)
        record = decode_record(read.ok.items[0].value)
        if record.is_error():
            return Error(self._refuse_malformed_record(read.ok.items[0].key, record.error.message))
        return Ok(record.ok)

    async def flush(self, timeout_ms: float) -> int:
        """Wait for pending outcomes and releases; see `Ledger.flush`."""
        if not self._tasks:
            return 0
        _, pending = await asyncio.wait(set(self._tasks), timeout=timeout_ms / 1000.0)
        return len(pending)

    async def _claim(self, request: ClaimRequest) -> Result[Claim | Outcome, Refusal]:
        """Write the claim, and read it back if a reply was lost."""
        lease = await self._lease.lease_id()
        if lease.is_error():
            self._note_fault(lease.error)
            return Error(refusals.ledger_unavailable())
        key = ledger_key(request.workspace, request.idempotency_key)
        record, deadline_ms = self._new_record(request)
        put = Put(key, encode_record(record), lease.ok)
        may_exist = False
        faults = 0
        release_waits = 0
        while faults < CLAIM_TRIES:
            seen_ms = self._clock.now_ms()
            try:
                reply = await self._store.txn([Compare(key, 0)], [put])
                if reply.is_ok() and release_waits < RELEASE_WAITS and _is_released(reply.ok):
                    release_waits += 1
                    await self._clock.sleep_ms(RELEASE_WAIT_MS)
                    continue
            except asyncio.CancelledError:
                self._start_settling(self._withdraw(key, record.attempt_id))
                raise
            if reply.is_ok():
                self._store_down = False
                return self._evaluate_reply(request, key, record, deadline_ms, seen_ms, reply.ok)
            faults += 1
            may_exist = may_exist or reply.error.may_have_applied
            self._note_fault(reply.error)
            if not may_exist:
                break
        if may_exist:
            self._start_settling(self._withdraw(key, record.attempt_id))
        return Error(refusals.ledger_unavailable())

    def _new_record(self, request: ClaimRequest) -> tuple[ClaimRecord, float]:
        """Return the record to write, and the deadline limited to the retention of the claim."""
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

    def _evaluate_reply(
        self,
        request: ClaimRequest,
        key: str,
        record: ClaimRecord,
        deadline_ms: float,
        seen_ms: float,
        reply: TxnReply,
    ) -> Result[Claim | Outcome, Refusal]:
        """Return the result of a claim from the reply of the service."""
        mod_revision = reply.revision
        if not reply.succeeded:
            if not reply.items:
                # The conflicting claim was deleted between the comparison and the read.
                return Error(refusals.claim_lost())
            existing = reply.items[0]
            found = decode_record(existing.value)
            if found.is_error():
                return Error(self._refuse_malformed_record(key, found.error.message))
            if found.ok.attempt_id != record.attempt_id:
                return self._evaluate_earlier_attempt(request, found.ok)
            mod_revision = existing.mod_revision
        return Ok(
            Claim(
                key=key,
                record=record,
                mod_revision=mod_revision,
                deadline_ms=deadline_ms,
                seen_ms=seen_ms,
            )
        )

    def _evaluate_earlier_attempt(
        self, request: ClaimRequest, earlier: ClaimRecord
    ) -> Result[Claim | Outcome, Refusal]:
        """Return the result of a claim from the record of an earlier attempt."""
        now_wall_ms = self._clock.wall_ms()
        if earlier.digest != request.digest:
            return Error(refusals.key_reused(earlier, now_wall_ms))
        if earlier.outcome is None:
            return Error(refusals.earlier_attempt_open(earlier, now_wall_ms))
        if not earlier.outcome.kept:
            return Error(refusals.outcome_not_kept())
        return Ok(earlier.outcome)

    def _refuse_malformed_record(self, key: str, problem: str) -> Refusal:
        """Log a malformed stored value; the work under its key is assumed to have run."""
        self._log.error("A stored claim is malformed.", key=key, problem=problem)
        message = "What stands under this key can't be read; check by hand."
        return refusals.adapt_to_unread_key(
            refusals.nothing_sent(ResultCode.EARLIER_ATTEMPT_UNRESOLVED, message)
        )

    def _note_fault(self, fault: StoreFault) -> None:
        """Suspend claims for `STORE_BACKOFF_MS` after a fault of the service."""
        self._store_down = True
        self._down_until_ms = self._clock.now_ms() + STORE_BACKOFF_MS
        self._lease.note_fault(fault)
        self._log.warning("A call to the key-value service failed.", problem=fault.message)

    def _start_settling(self, work: Coroutine[None, None, bool]) -> asyncio.Task[bool]:
        """Finish or release a claim in a task that continues after its caller has returned."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_settled)
        return task

    def _on_settled(self, task: asyncio.Task[bool]) -> None:
        """Remove a completed task and log its exception, if any."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                "Finishing or releasing a claim failed.", problem=repr(task.exception())
            )

    async def _wait_for(self, task: asyncio.Task[bool]) -> bool:
        """Wait up to `SETTLE_WAIT_MS` for a task; False if it failed or still runs."""
        done = await self._clock.wait_for(task, SETTLE_WAIT_MS)
        return done and task.exception() is None and task.result()

    async def _write_outcome(self, claim: Claim, outcome: Outcome | None) -> bool:
        """Replace the open claim by the outcome, and read back after a lost reply."""
        record = msgspec.structs.replace(
            claim.record,
            state="unknown" if outcome is None else "finished",
            outcome=None if outcome is None else storable_outcome(outcome),
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

        stored = await self._retry_until_settled(write_once)
        if not stored:
            self._log.warning("An outcome was not stored.", key=claim.key, state=record.state)
        return stored

    async def _delete(self, claim: Claim) -> bool:
        """Delete the claim unless another host has replaced it."""

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
            # The write of the mark was applied although its reply was lost.
            claim.mod_revision = own_revision
            return None

        return await self._retry_until_settled(delete_once)

    async def _mark_released(self, claim: Claim) -> bool:
        """Rewrite the claim as released, and read back after a lost reply."""
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

        return await self._retry_until_settled(mark_once)

    async def _withdraw(self, key: str, attempt_id: str) -> bool:
        """Delete a claim that may or may not have been written."""
        reads = 0

        async def withdraw_once() -> bool | None:
            nonlocal reads
            read = await self._store.read(key)
            if read.is_error():
                return None
            reads += 1
            for item in read.ok.items:
                record = decode_record(item.value)
                if record.is_error() or record.ok.attempt_id != attempt_id:
                    return True
                reply = await self._store.txn([Compare(key, item.mod_revision)], [Delete(key)])
                return True if reply.is_ok() else None
            return True if reads >= WITHDRAW_READS else None

        return await self._retry_until_settled(withdraw_once)

    async def _retry_until_settled(
        self, operation: Callable[[], Coroutine[None, None, bool | None]]
    ) -> bool:
        """Retry an operation until it returns a result, with backoff and a time limit."""
        end_ms = self._clock.now_ms() + SETTLE_TIMEOUT_MS
        backoff_ms = INITIAL_BACKOFF_MS
        tries = 0
        while True:
            result = await operation()
            tries += 1
            if result is not None:
                return result
            # A host that was frozen past the time limit still gets its minimum number of tries.
            if self._clock.now_ms() + backoff_ms > end_ms and tries >= MIN_SETTLE_TRIES:
                return False
            await self._clock.sleep_ms(backoff_ms)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)


def create_key_ledger(
    store: KeyValueStore, clock: Clock, host: str, retention_ms: Callable[[], float]
) -> Ledger:
    """Create the ledger of a host.

    Args:
        store: The key-value service.
        clock: Clock of this host.
        host: Name of this host; part of attempt ids, to help operators.
        retention_ms: Returns the currently configured retention of claims.

    Returns:
        The ledger.
    """
    return KeyLedger(store, clock, host, RetentionLease(store, clock, retention_ms))


def _is_released(reply: TxnReply) -> bool:
    """Whether a claim failed because of one that is being released."""
    if reply.succeeded or not reply.items:
        return False
    found = decode_record(reply.items[0].value)
    return found.is_ok() and found.ok.state == "released"


def _own_revision(reply: TxnReply, claim: Claim) -> int | None:
    """Return the stored revision of a claim, or `None` if it no longer exists."""
    for item in reply.items:
        found = decode_record(item.value)
        if found.is_ok() and found.ok.attempt_id == claim.record.attempt_id:
            return item.mod_revision
    return None


def _is_current(items: list[KeyValue], claim: Claim) -> bool:
    """Whether the stored claim is still the one that this host wrote."""
    return any(item.mod_revision == claim.mod_revision for item in items)
