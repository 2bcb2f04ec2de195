"""Runs one piece of non-repeatable work under a claim, whatever the work is."""

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
    """Why work ended without an outcome."""

    sent: bool
    """Whether any byte may have reached a backend server."""

    code: ResultCode
    """What went wrong."""

    message: str
    """The same in words."""

    retry_after_ms: float | None = None
    """When to come back, if coming back can help."""


class LastLook:
    """The check that work makes right before its first byte.

    Await `allows()` once the connection stands; only when it says True may a byte go out, and then
    at once.
    """

    __slots__ = ("_caller_gone", "_claim", "_ledger", "_refusal", "granted")

    def __init__(self, ledger: Ledger, claim: Claim, caller_gone: Callable[[], bool]) -> None:
        self._ledger = ledger
        self._claim = claim
        self._caller_gone = caller_gone
        self._refusal: Refusal | None = None
        self.granted = False
        """Whether a byte may have gone out."""

    @property
    def deadline_ms(self) -> float:
        """Monotonic time after which no byte may go out."""
        return self._claim.deadline_ms

    @property
    def refusal(self) -> Refusal | None:
        """Why the last look forbade the work; `None` when it did not."""
        return self._refusal

    async def allows(self) -> bool:
        """Return whether the first byte may go out now."""
        confirmed = await self._ledger.confirm(self._claim)
        if confirmed.is_error():
            self._refusal = confirmed.error
            return False
        if self._caller_gone():
            message = "The caller went away before anything was sent."
            self._refusal = refusals.nothing_sent(ResultCode.DEADLINE_EXCEEDED, message)
            return False
        self.granted = True
        return True


def never_gone() -> bool:
    """Say that the caller is still there."""
    return False


async def run_once(
    ledger: Ledger,
    request: ClaimRequest,
    work: Callable[[LastLook], Awaitable[Result[Outcome, WorkFault]]],
    caller_gone: Callable[[], bool] = never_gone,
) -> Result[Outcome, Refusal]:
    """Run work at most once for its key, over all hosts and re-sends.

    Args:
        ledger: The ledger.
        request: What to claim.
        work: Does the work; it asks its `LastLook` right before the first byte, sends only when
            allowed, and never sends twice.
        caller_gone: Tells whether the caller has closed its connection.

    Returns:
        The outcome, new or replayed (then with the header `Idempotency-Replayed`), or the refusal.
    """
    claimed = await ledger.claim(request)
    if claimed.is_error():
        return Error(claimed.error)
    held = claimed.ok
    if isinstance(held, Outcome):
        headers = {**held.headers, REPLAYED_HEADER: "true"}
        return Ok(msgspec.structs.replace(held, headers=headers))
    look = LastLook(ledger, held, caller_gone)
    try:
        ended = await work(look)
    except asyncio.CancelledError:
        _settle_cancelled(ledger, held, look.granted)
        raise
    except Exception as error:
        get_log("ledger").exception("Work under a claim failed.", key=held.key)
        message = f"A fault of this program ended the work: {type(error).__name__}."
        ended = Error(WorkFault(sent=True, code=ResultCode.INTERNAL, message=message))
    if ended.is_ok():
        await ledger.finish(held, ended.ok)
        return Ok(ended.ok)
    return Error(await _refuse(ledger, held, look, ended.error))


async def _refuse(ledger: Ledger, claim: Claim, look: LastLook, fault: WorkFault) -> Refusal:
    """Settle a claim whose work gave no outcome, and say what is true of it."""
    if fault.sent and look.granted:
        await ledger.finish(claim, None)
        return refusals.may_have_run(fault.code, fault.message)
    refusal = look.refusal or refusals.nothing_sent(fault.code, fault.message, fault.retry_after_ms)
    if refusal.ran is not Ran.NOT_RUN:
        await ledger.release(claim)
        return refusal
    # A key that is free again may run elsewhere before "not run" is said.
    await ledger.begin_release(claim)
    _settle_later(ledger.release(claim))
    return refusal


def _settle_cancelled(ledger: Ledger, claim: Claim, sent: bool) -> None:
    """Settle a claim whose task was cancelled."""
    _settle_later(ledger.finish(claim, None) if sent else ledger.release(claim))


def _settle_later(work: Coroutine[None, None, bool]) -> None:
    """Settle a claim in a task of its own, after the current task's next wait."""
    task = asyncio.ensure_future(work)
    _settling.add(task)
    task.add_done_callback(_end_settling)


def _end_settling(task: asyncio.Task[bool]) -> None:
    """Forget a settled claim and log a fault."""
    _settling.discard(task)
    if not task.cancelled() and task.exception() is not None:
        get_log("ledger").error("Settling a claim failed.", problem=repr(task.exception()))


_settling: set[asyncio.Task[bool]] = set()
"""Tasks that settle claims, kept so that they are not collected."""
