"""Callers' calls of plain services: `/services/<name>/<path>`, every method."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.ledger.records import MAX_IDEMPOTENCY_KEY_CHARS
from pimentodale.ledger.refusals import unread_key
from pimentodale.results import Refusal, ResultCode, create_refusal
from pimentodale.services.messages import ServiceCall, ServiceReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerRequest
    from tornado.web import RequestHandler

    from pimentodale.configuration.documents import Configuration, Operation, Service
    from pimentodale.services.caller import CallService

SERVICES_PREFIX: Final = "/services/"
"""Start of the paths that go to plain services."""

PASSED_HEADERS: Final = ("Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match")
"""Request headers that are passed on to a service."""

MS_IN_S: Final = 1000
"""Milliseconds in the unit of `Retry-After`."""


class CallerContext(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a caller's request before its service is looked up."""

    workspace: str
    """Name of the caller's workspace."""

    deadline_ms: float
    """Monotonic time by which the caller wants its answer."""

    request_id: str
    """Names the call in logs, traces and journals."""

    traceparent: str = ""
    """W3C trace context to pass on; empty for none."""


async def answer_service_call(
    request: HTTPServerRequest,
    context: CallerContext,
    configuration: Configuration,
    call_service: CallService,
    caller_gone: Callable[[], bool],
) -> Result[ServiceReply, Refusal]:
    """Answer one call of a plain service.

    Args:
        request: The HTTP request, its body whole.
        context: What is known of the caller.
        configuration: The configuration in force.
        call_service: From `create_service_caller`.
        caller_gone: Tells whether the caller has closed its connection.

    Returns:
        The service's whole answer, or the refusal.
    """
    key = request.headers.get("Idempotency-Key", "")
    name, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    found = _find_operation(configuration, name, request.method or "", f"/{rest}")
    if found.is_error():
        # Under an earlier configuration the key may have run.
        return Error(unread_key(found.error) if key else found.error)
    service, operation = found.ok
    if not _is_usable_key(key):
        message = f"Send an Idempotency-Key of up to {MAX_IDEMPOTENCY_KEY_CHARS} printable letters."
        return Error(create_refusal(ResultCode.BAD_HEADER, message))
    call = ServiceCall(
        workspace=context.workspace,
        service=service,
        operation=operation,
        method=request.method or "",
        path=f"/{rest}?{request.query}" if request.query else f"/{rest}",
        body=request.body,
        headers={n: request.headers[n] for n in PASSED_HEADERS if n in request.headers},
        idempotency_key=key,
        deadline_ms=context.deadline_ms,
        request_id=context.request_id,
        traceparent=context.traceparent,
    )
    return await call_service(call, caller_gone)


def write_service_reply(handler: RequestHandler, answered: Result[ServiceReply, Refusal]) -> None:
    """Write the reply or the refusal of a call into a handler's response.

    Args:
        handler: The handler; the caller finishes it.
        answered: From `answer_service_call`.
    """
    if answered.is_ok():
        reply = answered.ok
        handler.set_status(reply.status)
        handler.clear_header("Content-Type")
        for name, value in reply.headers.items():
            handler.set_header(name, value)
        if reply.status not in (204, 304):
            handler.write(reply.body)
        return
    refusal = answered.error
    handler.set_status(refusal.http_status)
    handler.set_header("Content-Type", "application/json")
    if refusal.retry_after_ms is not None:
        handler.set_header("Retry-After", str(math.ceil(refusal.retry_after_ms / MS_IN_S)))
    handler.write(msgspec.json.encode(refusal))


def _is_usable_key(key: str) -> bool:
    """Whether a key can go into a header again and is not too long."""
    return len(key) <= MAX_IDEMPOTENCY_KEY_CHARS and (not key or key.isprintable())


def _find_operation(
    configuration: Configuration, name: str, method: str, path: str
) -> Result[tuple[Service, Operation], Refusal]:
    """Return the service and the first of its operations that fits."""
    service = configuration.services.get(name)
    if service is None:
        message = f"There is no service '{name}'; see the services in the configuration."
        return Error(create_refusal(ResultCode.UNKNOWN_SERVICE, message))
    path_known = False
    for operation in service.operations:
        if not _fits(operation, path):
            continue
        if operation.method == method:
            return Ok((service, operation))
        path_known = True
    if path_known:
        message = f"'{path}' of service '{name}' does not take {method}."
        return Error(create_refusal(ResultCode.METHOD_NOT_ALLOWED, message))
    message = f"Service '{name}' has no operation for '{path}'."
    return Error(create_refusal(ResultCode.UNKNOWN_OPERATION, message))


def _fits(operation: Operation, path: str) -> bool:
    """Whether an operation's path fits a call's."""
    if operation.path.endswith("*"):
        return path.startswith(operation.path[:-1])
    return path == operation.path
