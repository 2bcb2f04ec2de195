"""Runs one piece of non-repeatable work of any kind under a claim."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.ledger import refusals
from pimentodale.ledger.records import Claim, Outcome
from pimentodale.logs import get_log
from pimentodale.results import Ran, ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from pimentodale.ledger.interface import Ledger
    from pimentodale.ledger.records import ClaimRequest
    from pimentodale.results import Refusal

REPLAYED_HEADER: Final = "Idempotency-Replayed"
"""Response header that marks a replayed outcome."""


class WorkFault(msgspec.Struct, frozen=True, kw_only=True):
    """A failure of work that produced no outcome."""

    sent: bool
    """Whether any byte may have reached a backend server."""

    code: ResultCode
    """What went wrong."""

    message: str
    """Description of the fault."""

    retry_after_ms: float | None = None
    """Delay before a retry, if a retry can succeed."""


class FirstByteCheck:
    """The check that work makes immediately before it sends its first byte.

    Await `allows()` once the connection is open. Bytes may be sent only if it returns True, and
    then without delay.
    """

    __slots__ = ("_caller_gone", "_claim", "_ledger", "_refusal", "may_have_sent")

    def __init__(self, ledger: Ledger, claim: Claim, caller_gone: Callable[[], bool]) -> None:
        self._ledger = ledger
        self._claim = claim
        self._caller_gone = caller_gone
        self._refusal: Refusal | None = None
        self.may_have_sent = False
        """Whether a byte may have been sent."""

    @property
    def deadline_ms(self) -> float:
        """Monotonic time after which no byte may be sent."""
        return self._claim.deadline_ms

    @property
    def refusal(self) -> Refusal | None:
        """The refusal of the last check; `None` if it did not refuse the work."""
        return self._refusal

    async def allows(self) -> bool:
        """Return whether the first byte may be sent now."""
        confirmed = await self._ledger.confirm(self._claim)
        if confirmed.is_error():
            self._refusal = confirmed.error
            return False
        if self._caller_gone():
            message = "The caller went away before anything was sent."
            self._refusal = refusals.nothing_sent(ResultCode.DEADLINE_EXCEEDED, message)
            return False
        self.may_have_sent = True
        return True


def never_gone() -> bool:
    """Return False: the caller is never considered disconnected."""
    return False


async def run_once(
    ledger: Ledger,
    request: ClaimRequest,
    work: Callable[[FirstByteCheck], Awaitable[Result[Outcome, WorkFault]]],
    caller_gone: Callable[[], bool] = never_gone,
) -> Result[Outcome, Refusal]:
    """Run work at most once for its key, across all hosts and retries.

    Args:
        ledger: The ledger.
        request: What to claim.
        work: Does the work. It awaits its `FirstByteCheck` immediately before the first byte, sends
            only if allowed, and never sends twice.
        caller_gone: Tells whether the caller has closed its connection.

    Returns:
        The outcome, new or replayed (then with the header `Idempotency-Replayed`), or the refusal.
    """
    claimed = await ledger.claim(request)
    if claimed.is_error():
        return Error(claimed.error)
    claim = claimed.ok
    if isinstance(claim, Outcome):
        headers = {**claim.headers, REPLAYED_HEADER: "true"}
        return Ok(msgspec.structs.replace(claim, headers=headers))
    first_byte_check = FirstByteCheck(ledger, claim, caller_gone)
    try:
        result = await work(first_byte_check)
    except asyncio.CancelledError:
        _settle_cancelled(ledger, claim, first_byte_check.may_have_sent)
        raise
    except Exception as error:
        get_log("ledger").exception("Work under a claim failed.", key=claim.key)
        message = f"A fault of this program ended the work: {type(error).__name__}."
        result = Error(WorkFault(sent=True, code=ResultCode.INTERNAL, message=message))
    if result.is_ok():
        await ledger.finish(claim, result.ok)
        return Ok(result.ok)
    return Error(await _refuse(ledger, claim, first_byte_check, result.error))


async def _refuse(
    ledger: Ledger, claim: Claim, first_byte_check: FirstByteCheck, fault: WorkFault
) -> Refusal:
    """Finish or release a claim whose work gave no outcome; returns the refusal to answer with."""
    if fault.sent and first_byte_check.may_have_sent:
        await ledger.finish(claim, None)
        return refusals.may_have_run(fault.code, fault.message)
    refusal = first_byte_check.refusal or refusals.nothing_sent(
        fault.code, fault.message, fault.retry_after_ms
    )
    if refusal.ran is not Ran.NOT_RUN:
        await ledger.release(claim)
        return refusal
    # Once the key is free, the work may run elsewhere before the caller receives `not_run`. So
    # only mark the claim now and release it later.
    await ledger.begin_release(claim)
    _settle_later(ledger.release(claim))
    return refusal


def _settle_cancelled(ledger: Ledger, claim: Claim, sent: bool) -> None:
    """Finish or release a claim whose task was cancelled."""
    _settle_later(ledger.finish(claim, None) if sent else ledger.release(claim))


def _settle_later(work: Coroutine[None, None, bool]) -> None:
    """Finish or release a claim in its own task, which starts at the next await of this one."""
    task = asyncio.ensure_future(work)
    _settling_tasks.add(task)
    task.add_done_callback(_on_settled)


def _on_settled(task: asyncio.Task[bool]) -> None:
    """Remove a completed task and log its exception, if any."""
    _settling_tasks.discard(task)
    if not task.cancelled() and task.exception() is not None:
        get_log("ledger").error(
            "Finishing or releasing a claim failed.", problem=repr(task.exception())
        )


_settling_tasks: set[asyncio.Task[bool]] = set()
"""Tasks that finish or release claims, referenced to prevent garbage collection."""
