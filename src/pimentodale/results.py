"""Numbered result codes and the refusal that carries one to the caller.

The table in docs/reference/result-codes.md lists the same codes; a scenario compares the two.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from http import HTTPStatus

import msgspec


class ResultCode(IntEnum):
    """Every way in which a request can end, by number."""

    OK = 0
    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    UNKNOWN_PATH = 1003
    UNKNOWN_MODEL = 1004
    UNKNOWN_SERVICE = 1005
    UNKNOWN_OPERATION = 1006
    BAD_HEADER = 1007
    METHOD_NOT_ALLOWED = 1008
    BODY_TOO_SLOW = 1009
    UNAUTHENTICATED = 1101
    IDEMPOTENCY_KEY_REQUIRED = 1201
    IDEMPOTENCY_KEY_REUSED = 1202
    EARLIER_ATTEMPT_RUNNING = 1203
    EARLIER_ATTEMPT_UNRESOLVED = 1204
    LEDGER_UNAVAILABLE = 1205
    CLAIM_LOST = 1206
    OUTCOME_NOT_KEPT = 1207
    WORKSPACE_LIMIT = 1301
    QUEUE_FULL = 1302
    DEADLINE_UNREACHABLE = 1303
    DEADLINE_EXCEEDED = 1304
    MEMORY_FULL = 1305
    NO_ROUTE = 1401
    BACKEND_SERVER_UNREACHABLE = 1402
    BACKEND_SERVER_LOST = 1403
    BACKEND_SERVER_REFUSED = 1404
    RECEIPT_REJECTED = 1405
    RETRY_BUDGET_SPENT = 1406
    QUARANTINED = 1501
    NOT_READY = 1601
    LEAVING = 1602
    NO_CONFIGURATION = 1603
    CONFIGURATION_INVALID = 1701
    CONFIGURATION_CONFLICT = 1702
    PLATFORM_UNAVAILABLE = 1703
    PLATFORM_OUTCOME_UNKNOWN = 1704
    ORDER_FENCED = 1801
    ORDER_FAILED = 1802
    NOT_HOLDER = 1803
    INTERNAL = 1901


class Ran(StrEnum):
    """What a refusal says about the work that was asked for."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class EarlierAttempt(StrEnum):
    """What is known of earlier attempts under the same Idempotency-Key."""

    NONE = "none"
    UNKNOWN = "unknown"
    RUNNING = "running"
    FINISHED = "finished"


_HTTP_STATUSES: dict[ResultCode, HTTPStatus] = {
    ResultCode.OK: HTTPStatus.OK,
    ResultCode.MALFORMED_REQUEST: HTTPStatus.BAD_REQUEST,
    ResultCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ResultCode.UNKNOWN_PATH: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    ResultCode.UNKNOWN_OPERATION: HTTPStatus.NOT_FOUND,
    ResultCode.BAD_HEADER: HTTPStatus.BAD_REQUEST,
    ResultCode.METHOD_NOT_ALLOWED: HTTPStatus.METHOD_NOT_ALLOWED,
    ResultCode.BODY_TOO_SLOW: HTTPStatus.REQUEST_TIMEOUT,
    ResultCode.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    ResultCode.IDEMPOTENCY_KEY_REQUIRED: HTTPStatus.BAD_REQUEST,
    ResultCode.IDEMPOTENCY_KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.EARLIER_ATTEMPT_RUNNING: HTTPStatus.CONFLICT,
    ResultCode.EARLIER_ATTEMPT_UNRESOLVED: HTTPStatus.CONFLICT,
    ResultCode.OUTCOME_NOT_KEPT: HTTPStatus.CONFLICT,
    ResultCode.WORKSPACE_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.QUEUE_FULL: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.DEADLINE_UNREACHABLE: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
    ResultCode.BACKEND_SERVER_LOST: HTTPStatus.BAD_GATEWAY,
    ResultCode.BACKEND_SERVER_REFUSED: HTTPStatus.BAD_GATEWAY,
    ResultCode.RECEIPT_REJECTED: HTTPStatus.BAD_GATEWAY,
    ResultCode.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ResultCode.CONFIGURATION_INVALID: HTTPStatus.BAD_REQUEST,
    ResultCode.CONFIGURATION_CONFLICT: HTTPStatus.CONFLICT,
    ResultCode.ORDER_FENCED: HTTPStatus.CONFLICT,
    ResultCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class Refusal(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A final, honest "no" to one request, as the caller reads it.

    `ran` speaks of the work named by the request: for non-repeatable work that is every attempt
    under its Idempotency-Key, while `this_attempt` speaks of the call being answered.
    """

    code: ResultCode
    """Number of the result."""

    name: str
    """The code's name in lower case."""

    ran: Ran
    """Whether the work may have run, over all attempts."""

    message: str
    """What was wrong and what the caller can do, in one or two short sentences."""

    retry_after_ms: int | None = None
    """When to come back; `None` when coming back unchanged can't help."""

    this_attempt: Ran | None = None
    """Whether this call may have run; only for work under an Idempotency-Key."""

    earlier_attempt: EarlierAttempt | None = None
    """What is known of earlier calls under the key; only for work under an Idempotency-Key."""

    @property
    def http_status(self) -> int:
        """HTTP status that fits the code."""
        return http_status_of(self.code)


def create_refusal(
    code: ResultCode,
    message: str,
    *,
    ran: Ran = Ran.NOT_RUN,
    retry_after_ms: float | None = None,
    this_attempt: Ran | None = None,
    earlier_attempt: EarlierAttempt | None = None,
) -> Refusal:
    """Build a refusal whose name follows from its code.

    Args:
        code: Number of the result.
        message: What was wrong and how to mend it.
        ran: Whether the work may have run.
        retry_after_ms: When to come back, if coming back can help.
        this_attempt: For keyed work, whether this call may have run.
        earlier_attempt: For keyed work, what is known of earlier calls.

    Returns:
        The refusal.
    """
    return Refusal(
        code=code,
        name=code.name.lower(),
        ran=ran,
        message=message,
        retry_after_ms=None if retry_after_ms is None else max(1, round(retry_after_ms)),
        this_attempt=this_attempt,
        earlier_attempt=earlier_attempt,
    )


def http_status_of(code: ResultCode) -> int:
    """Return the HTTP status for a code; 503 for all that are a passing lack of means."""
    return int(_HTTP_STATUSES.get(code, HTTPStatus.SERVICE_UNAVAILABLE))
