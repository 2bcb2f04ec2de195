"""Admits client requests: finds the route and the workspace, then forwards the request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.client_exchange import ClientGoneError
from pimentodale.forwarding.context import RoutedRequest, log_disconnect, log_end, view_age_ms
from pimentodale.forwarding.error_responses import send_failure, send_refusal
from pimentodale.forwarding.plain_requests import serve_plain
from pimentodale.forwarding.route_table import choose_service
from pimentodale.forwarding.streams import serve_stream
from pimentodale.logs import get_log
from pimentodale.results import ResultCode
from pimentodale.site.model import Repeatability

if TYPE_CHECKING:
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.context import ForwardingContext
    from pimentodale.forwarding.stream_state import SharedStreamState

STALE_CONFIGURATION_MS: Final = 1_900.0
"""Age from which the configuration may be stale: a route or key that it lacks may have been added
since, and is not reported as unknown. A change must be in force within 2 s."""

STOPPING_RETRY_AFTER_MS: Final = 50.0
"""Retry-After for clients that a stopping host refuses; the next attempt reaches another host."""

RETRY_AFTER_MS: Final = 1_000.0
"""Retry-After time for clients of a host without a current configuration."""

_log = get_log("request")


async def forward(
    ctx: ForwardingContext, shared_streams: SharedStreamState, exchange: ClientExchange
) -> None:
    """Answer one client request.

    Args:
        ctx: State shared by all requests.
        shared_streams: State shared by all streams.
        exchange: The request and its connection.
    """
    request = exchange.request
    configuration = ctx.view.configuration
    if configuration is None:
        message = "No configuration is known yet; it has not run, come back."
        await _refuse(ctx, exchange, ResultCode.NO_CONFIGURATION, message, RETRY_AFTER_MS)
        return
    route = ctx.view.routes.find(request.host, request.path)
    if route is None:
        await _refuse_unknown(ctx, exchange, ResultCode.UNKNOWN_PATH, "No route leads there.")
        return
    workspace = None
    priority = route.priority
    if configuration.needs_keys and not route.is_public:
        access = configuration.workspaces.get(request.api_key)
        if access is None:
            message = "The API key is not known; send a valid one."
            await _refuse_unknown(ctx, exchange, ResultCode.UNAUTHENTICATED, message)
            return
        workspace = access.name
        priority = route.priority if access.priority is None else access.priority
    service = configuration.services.get(choose_service(route, ctx.rng))
    if service is None:
        message = "The route's service is not configured; it has not run."
        await _refuse(ctx, exchange, ResultCode.NO_ROUTE, message, RETRY_AFTER_MS)
        return
    ctx.retries.note_request(service.name)
    routed = RoutedRequest(exchange, route, service, workspace, priority)
    task = asyncio.current_task()
    assert task is not None
    ctx.in_progress[task] = routed
    try:
        if route.repeatability is Repeatability.STREAM:
            await serve_stream(ctx, shared_streams, routed)
        else:
            await serve_plain(ctx, routed)
    except (asyncio.CancelledError, ClientGoneError) as error:
        if not routed.is_cut or isinstance(error, ClientGoneError):
            log_disconnect(ctx, routed)
            raise
        task.uncancel()
        await _answer_unfinished(ctx, routed)
    finally:
        del ctx.in_progress[task]
        ctx.crashes.note_ended(routed)


def end_unfinished(ctx: ForwardingContext) -> None:
    """Answer the requests whose answers have not begun, as this host's time to stop is over."""
    for task, routed in list(ctx.in_progress.items()):
        if routed.exchange.is_begun or routed.is_cut:
            continue
        routed.is_cut = True
        task.cancel()


async def _answer_unfinished(ctx: ForwardingContext, routed: RoutedRequest) -> None:
    """Answer a request that this host can't finish any more."""
    if routed.sends == 0:
        log_end(ctx, routed, ResultCode.LEAVING, 503)
        message = "This host is stopping; it has not run, send to another one."
        await send_refusal(
            routed.exchange, ResultCode.LEAVING, message, retry_after_ms=STOPPING_RETRY_AFTER_MS
        )
        return
    log_end(ctx, routed, ResultCode.BACKEND_SERVER_LOST, 502)
    message = "This host has stopped before its replica answered; it may have run."
    await send_failure(routed.exchange, ResultCode.BACKEND_SERVER_LOST, message)


async def _refuse_unknown(
    ctx: ForwardingContext, exchange: ClientExchange, code: ResultCode, message: str
) -> None:
    """Refuse a route or key that the configuration lacks; with NOT_READY if that may be stale."""
    if ctx.view.mirror.age_ms() > STALE_CONFIGURATION_MS:
        message = "The configuration may be out of date; it has not run, come back."
        await _refuse(ctx, exchange, ResultCode.NOT_READY, message, RETRY_AFTER_MS)
        return
    await _refuse(ctx, exchange, code, message, None)


async def _refuse(
    ctx: ForwardingContext,
    exchange: ClientExchange,
    code: ResultCode,
    message: str,
    retry_after_ms: float | None,
) -> None:
    """Refuse a request that was not admitted, and log it."""
    request = exchange.request
    elapsed_ms = ctx.clock.now_ms() - request.received_ms
    ctx.metrics.note_end(code, elapsed_ms)
    view = ctx.view
    configuration = view.configuration
    in_force_ms = None
    if configuration is not None:
        in_force_ms = round(ctx.clock.now_ms() - view.configuration_since_ms)
    _log.info(
        "A request was not admitted.",
        request=request.attempt_id,
        path=request.path[:80],
        code=int(code),
        name=code.name.lower(),
        configuration=configuration.version if configuration else 0,
        in_force_ms=in_force_ms,
        view_age_ms=view_age_ms(ctx),
        view_source=view.mirror.source,
        view_revision=view.mirror.revision,
    )
    await send_refusal(exchange, code, message, retry_after_ms=retry_after_ms)
