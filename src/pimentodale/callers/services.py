"""`/services/<name>/<path>`: callers' calls of plain services, every method."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.callers.base import CallerHandler
from pimentodale.results import ResultCode, create_refusal
from pimentodale.services.messages import ServiceCall, ServiceReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.callers.context import CallerContext
    from pimentodale.configuration.documents import Configuration, Operation, Service
    from pimentodale.results import Refusal
    from pimentodale.services.caller import CallService

SERVICES_PREFIX: Final = "/services/"
"""Start of the paths that go to plain services."""

PASSED_HEADERS: Final = ("Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match")
"""Request headers that are passed on to a service."""

_BODILESS_STATUSES: Final = frozenset({204, 304})


class ServiceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request for a service that has not been looked up yet."""

    workspace: str
    """Name of the caller's workspace."""

    method: str
    """HTTP method."""

    path: str
    """Path with the service's name in it."""

    query: str
    """Query without its question mark."""

    body: bytes
    """Request body."""

    headers: dict[str, str]
    """Request headers that are passed on."""

    idempotency_key: str
    """The caller's key; empty for none."""

    deadline_ms: float
    """Monotonic time by which the caller wants its answer."""

    request_id: str
    """Names the call in logs, traces and journals."""

    traceparent: str
    """W3C trace context to pass on."""


class ServiceHandler(CallerHandler):
    """Answers one call of a plain service."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    def initialize(self, context: CallerContext) -> None:
        """Take the shared state."""
        super().initialize(context)
        self._gone = False

    async def get(self) -> None:
        """Answer a GET."""
        await self._answer_call()

    async def head(self) -> None:
        """Answer a HEAD."""
        await self._answer_call()

    async def post(self) -> None:
        """Answer a POST."""
        await self._answer_call()

    async def put(self) -> None:
        """Answer a PUT."""
        await self._answer_call()

    async def patch(self) -> None:
        """Answer a PATCH."""
        await self._answer_call()

    async def delete(self) -> None:
        """Answer a DELETE."""
        await self._answer_call()

    def on_connection_close(self) -> None:
        """Note that the caller is gone.

        Work that has gone out is not cancelled: its outcome is kept for the re-send.
        """
        super().on_connection_close()
        self._gone = True

    async def _answer_call(self) -> None:
        """Answer a call of any method."""
        try:
            await self._check_and_call()
        finally:
            self.count_off()

    async def _check_and_call(self) -> None:
        """Check the request, make the call and write its answer."""
        if self.ended_early():
            return
        checked = self._check()
        if checked.is_error():
            self.refuse(checked.error)
            return
        self.handed_over = True
        configuration = self.context.configuration()
        answered = await answer_service_call(
            checked.ok, configuration, self.context.call_service, lambda: self._gone
        )
        if self._gone:
            self.span.attributes["end"] = "caller gone"
            return
        if answered.is_error():
            self.refuse(answered.error)
            return
        self._write_reply(answered.ok)

    def _check(self) -> Result[ServiceRequest, Refusal]:
        """Check who calls and the headers."""
        headers = self.request.headers
        workspace = self.check_caller()
        if workspace.is_error():
            return Error(workspace.error)
        key = self.read_idempotency_key()
        if key.is_error():
            return Error(key.error)
        limits = self.context.configuration().limits
        deadline = self.read_deadline_ms(limits.default_timeout_ms)
        if deadline.is_error():
            return Error(deadline.error)
        return Ok(
            ServiceRequest(
                workspace=workspace.ok.name,
                method=self.request.method or "",
                path=self.request.path,
                query=self.request.query,
                body=bytes(self.body),
                headers={name: headers[name] for name in PASSED_HEADERS if name in headers},
                idempotency_key=key.ok,
                deadline_ms=deadline.ok,
                request_id=self.request_id,
                traceparent=self.span.context().header(),
            )
        )

    def _write_reply(self, reply: ServiceReply) -> None:
        """Pass a service's answer on."""
        self.context.metrics.results[ResultCode.OK] += 1
        self.set_status(reply.status)
        self.clear_header("Content-Type")
        for name, value in reply.headers.items():
            self.set_header(name, value)
        if reply.status in _BODILESS_STATUSES:
            self.finish()
            return
        self.finish(reply.body)


async def answer_service_call(
    request: ServiceRequest,
    configuration: Configuration,
    call_service: CallService,
    caller_gone: Callable[[], bool],
) -> Result[ServiceReply, Refusal]:
    """Answer one call of a plain service.

    Args:
        request: The caller's request.
        configuration: The configuration in force.
        call_service: From `create_service_caller`.
        caller_gone: Tells whether the caller has closed its connection.

    Returns:
        The service's whole answer, or the refusal.
    """
    name, _, rest = request.path.removeprefix(SERVICES_PREFIX).partition("/")
    found = _find_operation(configuration, name, request.method, f"/{rest}")
    if found.is_error():
        return Error(found.error)
    service, operation = found.ok
    call = ServiceCall(
        workspace=request.workspace,
        service=service,
        operation=operation,
        method=request.method,
        path=f"/{rest}?{request.query}" if request.query else f"/{rest}",
        body=request.body,
        headers=request.headers,
        idempotency_key=request.idempotency_key,
        deadline_ms=request.deadline_ms,
        request_id=request.request_id,
        traceparent=request.traceparent,
    )
    return await call_service(call, caller_gone)


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
