"""Refusals for work under an Idempotency-Key.

For such work `ran` refers to the key, not to a single attempt. Only a host that holds or held the
claim and knows that nothing was sent may answer `not_run`. A host that has not read the ledger must
not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.results import EarlierAttempt, Ran, Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    from pimentodale.ledger.records import ClaimRecord

STORE_RETRY_AFTER_MS: Final = 1000.0
"""Retry delay for callers of a host that can't reach the ledger."""

CLOCK_MARGIN_MS: Final = 2000.0
"""Time after its deadline when a claim counts as unresolved; allows for clock skew between hosts
and for writing the outcome."""


def adapt_to_unread_key(refusal: Refusal) -> Refusal:
    """Adapt a refusal to a key whose ledger record has not been read.

    Args:
        refusal: A refusal that concerns this attempt only, such as a full queue.

    Returns:
        The same refusal, stating that an earlier attempt may have run.
    """
    return msgspec.structs.replace(
        refusal,
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=refusal.ran,
        earlier_attempt=EarlierAttempt.UNKNOWN,
    )


def ledger_unavailable() -> Refusal:
    """Return the refusal for a ledger that can't be read or written."""
    message = "The ledger can't be reached, so nothing was sent; come back with the same key."
    refusal = create_refusal(
        ResultCode.LEDGER_UNAVAILABLE, message, retry_after_ms=STORE_RETRY_AFTER_MS
    )
    return adapt_to_unread_key(refusal)


def claim_lost() -> Refusal:
    """Return the refusal for a claim that no longer exists; nothing was sent under it."""
    message = (
        "The claim on this key was lost before anything was sent; come back with the same key."
    )
    return adapt_to_unread_key(
        create_refusal(ResultCode.CLAIM_LOST, message, retry_after_ms=STORE_RETRY_AFTER_MS)
    )


def key_reused(record: ClaimRecord, now_wall_ms: float) -> Refusal:
    """Return the refusal for a key that was used for another request."""
    return create_refusal(
        ResultCode.IDEMPOTENCY_KEY_REUSED,
        "This Idempotency-Key was used for another request; use a new key for a new request.",
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=Ran.NOT_RUN,
        earlier_attempt=_earlier_attempt(record, now_wall_ms),
    )


def outcome_not_kept() -> Refusal:
    """Return the refusal for a retry whose outcome was too large to store."""
    return create_refusal(
        ResultCode.OUTCOME_NOT_KEPT,
        "An earlier attempt finished; its answer was too large to keep. Read the result elsewhere.",
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=Ran.NOT_RUN,
        earlier_attempt=EarlierAttempt.FINISHED,
    )


def earlier_attempt_open(record: ClaimRecord, now_wall_ms: float) -> Refusal:
    """Return the refusal for a key whose claim has no outcome.

    Clock skew between hosts affects only which of the two codes is returned and the retry delay,
    never whether the work runs.

    Args:
        record: The stored claim.
        now_wall_ms: Wall-clock time of this host.
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
        message: Description of the reason.
        retry_after_ms: Delay before a retry, if a retry can succeed.
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
    """Return the refusal of a host that sent the work and does not know its outcome.

    Args:
        code: What went wrong.
        message: Description of the fault.
    """
    return create_refusal(
        code,
        message,
        ran=Ran.MAY_HAVE_RUN,
        this_attempt=Ran.MAY_HAVE_RUN,
        earlier_attempt=EarlierAttempt.NONE,
    )


def _earlier_attempt(record: ClaimRecord, now_wall_ms: float) -> EarlierAttempt:
    """Return the state of the attempt that made the claim."""
    if record.state == "finished":
        return EarlierAttempt.FINISHED
    if record.state == "unknown":
        return EarlierAttempt.UNKNOWN
    if now_wall_ms < record.deadline_wall_ms + CLOCK_MARGIN_MS:
        return EarlierAttempt.RUNNING
    return EarlierAttempt.UNKNOWN
