"""Final answers of the host's own: refusals and failures, each with its numbered code."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.means import log_end
from pimentodale.results import Ran, ResultCode, create_refusal

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.means import ForwardingMeans, RoutedRequest
    from pimentodale.results import Refusal


async def refuse(
    exchange: ClientExchange,
    code: ResultCode,
    message: str,
    *,
    ran: Ran = Ran.NOT_RUN,
    retry_after_ms: float | None = None,
    status: int | None = None,
) -> int:
    """Answer with a refusal; one whose answer has begun is broken off instead.

    Args:
        exchange: The client's request.
        code: Number of the result.
        message: What was wrong and how to go on.
        ran: Whether the request may have run.
        retry_after_ms: When to come back.
        status: HTTP status in place of the code's own.

    Returns:
        The status that was sent; 0 for a broken answer.
    """
    if exchange.is_begun:
        exchange.abort()
        return 0
    refusal = create_refusal(code, message, ran=ran, retry_after_ms=retry_after_ms)
    own_status, headers, body = refusal_parts(refusal)
    sent = status or own_status
    await exchange.answer(sent, headers, body)
    return sent


def refusal_parts(refusal: Refusal) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return the status, header fields and body of a refusal."""
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after_ms is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_ms / MS_PER_S:.2f}"))
    return refusal.http_status, headers, msgspec.json.encode(refusal)


async def refuse_convicted(means: ForwardingMeans, routed: RoutedRequest) -> None:
    """Answer a request that crashes its replicas: coming back unchanged can't help."""
    log_end(means, routed, ResultCode.QUARANTINED, 502)
    message = "This request crashed the replicas that ran it; change it before sending it."
    await fail(routed.exchange, ResultCode.QUARANTINED, message)


async def fail(exchange: ClientExchange, code: ResultCode, message: str) -> int:
    """Answer that a request failed and may have run."""
    status = 504 if code is ResultCode.DEADLINE_EXCEEDED else 502
    return await refuse(exchange, code, message, ran=Ran.MAY_HAVE_RUN, status=status)
