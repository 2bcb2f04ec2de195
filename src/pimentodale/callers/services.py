"""Callers' calls of plain services: `/services/<name>/<path>`, every method."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.callers.base import CallerHandler
from pimentodale.ledger.records import MAX_IDEMPOTENCY_KEY_CHARS
from pimentodale.ledger.refusals import unread_key
from pimentodale.results import Refusal, ResultCode, create_refusal
from pimentodale.services.messages import ServiceCall, ServiceReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httputil import HTTPServerRequest

    from pimentodale.callers.context import CallerContext
    from pimentodale.configuration.documents import Configuration, Operation, Service
    from pimentodale.services.caller import CallService

SERVICES_PREFIX: Final = "/services/"
"""Start of the paths that go to plain services."""

PASSED_HEADERS: Final = ("Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match")
"""Request headers that are passed on to a service."""


class ServiceAsk(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of a caller's request before its service is looked up."""

    workspace: str
    """Name of the caller's workspace."""

    deadline_ms: float
    """Monotonic time by which the caller wants its answer."""

    request_id: str
    """Names the call in logs, traces and journals."""

    traceparent: str = ""
    """W3C trace context to pass on; empty for none."""


class ServiceHandler(CallerHandler):
    """Answers calls of plain services."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    def initialize(self, context: CallerContext) -> None:
        """Take the shared state."""
        super().initialize(context)
        self._caller_gone = False

    def on_connection_close(self) -> None:
        """Note that the caller is gone; work that was sent goes on to its end."""
        super().on_connection_close()
        self._caller_gone = True

    async def get(self) -> None:
        """Pass the call on."""
        try:
            await self._pass_on()
        finally:
            self.count_off()

    head = post = put = patch = delete = get

    async def _pass_on(self) -> None:
        """Check who calls and answer with the service's word."""
        if self.ended_early():
            return
        unready = self.context.unready()
        if unready is not None:
            self.refuse(unready)
            return
        workspace = self.take(
            self.context.authenticator.workspace_of(self.request.headers.get("Authorization"))
        )
        if workspace is None:
            return
        limits = self.context.configuration().limits
        deadline_ms = self.take(self.read_deadline_ms(limits.default_timeout_ms))
        if deadline_ms is None:
            return
        ask = ServiceAsk(
            workspace=workspace.name,
            deadline_ms=deadline_ms,
            request_id=self.request_id,
            traceparent=self.span.context().header(),
        )
        self.handed_over = True
        answered = await answer_service_call(
            self.request,
            bytes(self.body),
            ask,
            self.context.configuration(),
            self.context.call_service,
            lambda: self._caller_gone,
        )
        if answered.is_error():
            self.refuse(answered.error)
            return
        self._write(answered.ok)

    def _write(self, reply: ServiceReply) -> None:
        """Finish with the service's answer."""
        self.context.metrics.results[ResultCode.OK] += 1
        self.set_status(reply.status)
        self.clear_header("Content-Type")
        for name, value in reply.headers.items():
            self.set_header(name, value)
        if reply.status not in (204, 304):
            self.write(reply.body)
        self.finish()


async def answer_service_call(
    request: HTTPServerRequest,
    body: bytes,
    ask: ServiceAsk,
    configuration: Configuration,
    call_service: CallService,
    caller_gone: Callable[[], bool],
) -> Result[ServiceReply, Refusal]:
    """Answer one call of a plain service.

    Args:
        request: The HTTP request.
        body: Its whole body.
        ask: What is known of the caller.
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
        workspace=ask.workspace,
        service=service,
        operation=operation,
        method=request.method or "",
        path=f"/{rest}?{request.query}" if request.query else f"/{rest}",
        body=body,
        headers={n: request.headers[n] for n in PASSED_HEADERS if n in request.headers},
        idempotency_key=key,
        deadline_ms=ask.deadline_ms,
        request_id=ask.request_id,
        traceparent=ask.traceparent,
    )
    return await call_service(call, caller_gone)


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
