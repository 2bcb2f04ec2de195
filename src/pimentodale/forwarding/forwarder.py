"""Admits each request of a client: its route, its workspace, and how it is forwarded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.client_exchange import ClientGoneError
from pimentodale.forwarding.means import RoutedRequest, log_left, view_age_ms
from pimentodale.forwarding.plain import serve_plain
from pimentodale.forwarding.refusing import refuse
from pimentodale.forwarding.route_table import choose_service
from pimentodale.forwarding.streams import serve_stream
from pimentodale.logs import get_log
from pimentodale.results import ResultCode
from pimentodale.site.model import Repeatability

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.means import ForwardingMeans
    from pimentodale.forwarding.stream_state import StreamPool

STALE_MS: Final = 2_600.0
"""Age of the configuration from which "there is no such route or key" can't be said any more."""

RETRY_AFTER_MS: Final = 1_000.0
"""When a client may come back to a host that does not know its configuration."""

_log = get_log("request")


async def forward(means: ForwardingMeans, pool: StreamPool, exchange: ClientExchange) -> None:
    """Answer one request of a client.

    Args:
        means: Shared state.
        pool: What streams share.
        exchange: The request and the way back.
    """
    request = exchange.request
    configuration = means.view.configuration
    if configuration is None:
        message = "No configuration is known yet; it has not run, come back."
        await _refuse(means, exchange, ResultCode.NO_CONFIGURATION, message, RETRY_AFTER_MS)
        return
    route = means.view.routes.find(request.host, request.path)
    if route is None:
        await _refuse_unknown(means, exchange, ResultCode.UNKNOWN_PATH, "No route leads there.")
        return
    workspace = None
    priority = route.priority
    if configuration.needs_keys and not route.is_public:
        access = configuration.workspaces.get(request.api_key)
        if access is None:
            message = "The API key is not known; send a valid one."
            await _refuse_unknown(means, exchange, ResultCode.UNAUTHENTICATED, message)
            return
        workspace = access.name
        priority = route.priority if access.priority is None else access.priority
    service = configuration.services.get(choose_service(route, means.rng))
    if service is None:
        message = "The route's service is not configured; it has not run."
        await _refuse(means, exchange, ResultCode.NO_ROUTE, message, RETRY_AFTER_MS)
        return
    means.retries.note_request(service.name)
    routed = RoutedRequest(exchange, route, service, workspace, priority)
    try:
        if route.repeatability is Repeatability.STREAM:
            await serve_stream(means, pool, routed)
        else:
            await serve_plain(means, routed)
    except (asyncio.CancelledError, ClientGoneError):
        log_left(means, routed)
        raise
    finally:
        means.crashes.note_ended(routed)


async def _refuse_unknown(
    means: ForwardingMeans, exchange: ClientExchange, code: ResultCode, message: str
) -> None:
    """Refuse what the configuration doesn't hold, unless it may be out of date."""
    if means.view.mirror.age_ms() > STALE_MS:
        message = "The configuration may be out of date; it has not run, come back."
        await _refuse(means, exchange, ResultCode.NOT_READY, message, RETRY_AFTER_MS)
        return
    await _refuse(means, exchange, code, message, None)


async def _refuse(
    means: ForwardingMeans,
    exchange: ClientExchange,
    code: ResultCode,
    message: str,
    retry_after_ms: float | None,
) -> None:
    """Refuse a request that was not admitted, with its log line."""
    request = exchange.request
    elapsed_ms = means.clock.now_ms() - request.received_ms
    means.metrics.note_end(code, elapsed_ms)
    configuration = means.view.configuration
    _log.info(
        "A request was not admitted.",
        request=request.attempt_id,
        path=request.path[:80],
        code=int(code),
        name=code.name.lower(),
        configuration=configuration.version if configuration else 0,
        view_age_ms=view_age_ms(means),
    )
    await refuse(exchange, code, message, retry_after_ms=retry_after_ms)
