"""The words of refusals for work under an Idempotency-Key.

For such work `ran` speaks of the key, so `not_run` is said only by a host that holds or held the
claim and knows that no byte went out. A host that has not read the ledger can't say it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.results import EarlierAttempt, Ran, Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from pimentodale.ledger.records import ClaimRecord

STORE_RETRY_AFTER_MS: Final = 1000.0
"""When a caller should come back to a host that can't reach the ledger."""

CLOCK_MARGIN_MS: Final = 2000.0
"""Added to a claim's deadline before it counts as unresolved, for clocks that differ between hosts
and for the write of the outcome."""


def unread_key(refusal: Refusal) -> Refusal:
    """Return a refusal in the words for a key whose ledger entry has not been read.

    Args:
        refusal: Said of this attempt alone, such as a full queue.

    Returns:
        The same refusal, saying that an earlier attempt may have run.
    """
    return msgspec.structs.replace(
        refusal,
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=refusal.ran,
        earlier_attempt=EarlierAttempt.UNKNOWN,
    )


def ledger_unavailable() -> Refusal:
    """Return the refusal of a host that can't read or write the ledger."""
    message = "The ledger can't be reached, so nothing was sent; come back with the same key."
    refusal = create_refusal(
        ResultCode.LEDGER_UNAVAILABLE, message, retry_after_ms=STORE_RETRY_AFTER_MS
    )
    return unread_key(refusal)


def claim_lost() -> Refusal:
    """Return the refusal of a host whose claim no longer stands; nothing went out under it."""
    message = (
        "The claim on this key was lost before anything was sent; come back with the same key."
    )
    return unread_key(
        create_refusal(ResultCode.CLAIM_LOST, message, retry_after_ms=STORE_RETRY_AFTER_MS)
    )


def key_reused(record: ClaimRecord, now_wall_ms: float) -> Refusal:
    """Return the refusal of a key that was used for another request."""
    return create_refusal(
        ResultCode.IDEMPOTENCY_KEY_REUSED,
        "This Idempotency-Key was used for another request; use a new key for a new request.",
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=Ran.NOT_RUN,
        earlier_attempt=_earlier_attempt(record, now_wall_ms),
    )


def outcome_not_kept() -> Refusal:
    """Return the refusal of a re-send whose answer was too large to keep."""
    return create_refusal(
        ResultCode.OUTCOME_NOT_KEPT,
        "An earlier attempt finished; its answer was too large to keep. Read the result elsewhere.",
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=Ran.NOT_RUN,
        earlier_attempt=EarlierAttempt.FINISHED,
    )


def earlier_attempt_open(record: ClaimRecord, now_wall_ms: float) -> Refusal:
    """Return the refusal of a key whose claim has no outcome.

    Clocks of two hosts may differ: that changes only which of the two codes is said and when to
    come back, never whether the work runs.

    Args:
        record: The claim that stands.
        now_wall_ms: This host's wall clock.
    """
    if _earlier_attempt(record, now_wall_ms) is EarlierAttempt.RUNNING:
        span_ms = record.deadline_wall_ms + CLOCK_MARGIN_MS - record.claimed_wall_ms
        left_ms = record.deadline_wall_ms + CLOCK_MARGIN_MS - now_wall_ms
        return create_refusal(
            ResultCode.EARLIER_ATTEMPT_RUNNING,
            "An earlier attempt under this key is in progress; come back with the same key.",
            ran=Ran.MAY_HAVE_RUN,
            retry_after_ms=min(left_ms, span_ms),
            this_attempt=Ran.NOT_RUN,
            earlier_attempt=EarlierAttempt.RUNNING,
        )
    return create_refusal(
        ResultCode.EARLIER_ATTEMPT_UNRESOLVED,
        "An earlier attempt under this key may have run and its end is unknown; check by hand.",
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=Ran.NOT_RUN,
        earlier_attempt=EarlierAttempt.UNKNOWN,
    )


def nothing_sent(code: ResultCode, message: str, retry_after_ms: float | None = None) -> Refusal:
    """Return the refusal of a host that held the claim and sent nothing under it.

    Args:
        code: Why nothing was sent.
        message: The same in words.
        retry_after_ms: When to come back, if coming back can help.
    """
    return create_refusal(
        code,
        message,
        ran=Ran.NOT_RUN,
        retry_after_ms=retry_after_ms,
        this_attempt=Ran.NOT_RUN,
        earlier_attempt=EarlierAttempt.NONE,
    )


def may_have_run(code: ResultCode, message: str) -> Refusal:
    """Return the refusal of a host that sent the work and doesn't know its end.

    Args:
        code: What went wrong.
        message: The same in words.
    """
    return create_refusal(
        code,
        message,
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=Ran.MAY_HAVE_RUN,
        earlier_attempt=EarlierAttempt.NONE,
    )


def _earlier_attempt(record: ClaimRecord, now_wall_ms: float) -> EarlierAttempt:
    """Return what a record says of the attempt that holds it."""
    if record.state == "finished":
        return EarlierAttempt.FINISHED
    if record.state == "unknown":
        return EarlierAttempt.UNKNOWN
    if now_wall_ms < record.deadline_wall_ms + CLOCK_MARGIN_MS:
        return EarlierAttempt.RUNNING
    return EarlierAttempt.UNKNOWN
