"""Calls plain services: repeatable operations with retries, others at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.admission.hold_offs import HoldOffs, create_hold_offs
from pimentodale.clients.http_call import CallFault, CallReply, CallRequest, fetch
from pimentodale.clients.retry_after import RETRY_AFTER, read_retry_after_ms
from pimentodale.ledger.records import ClaimRequest, Outcome, digest_request
from pimentodale.ledger.run_once import WorkFault, run_once
from pimentodale.results import Ran, ResultCode, create_refusal
from pimentodale.services.crash_guard import QUARANTINED_MESSAGE
from pimentodale.services.messages import ServiceCall, ServiceReply
from pimentodale.services.repeatable_calls import CallAttempts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pimentodale.clock import Clock
    from pimentodale.ledger.interface import Ledger
    from pimentodale.ledger.run_once import FirstByteCheck
    from pimentodale.results import Refusal
    from pimentodale.services.crash_guard import CrashGuard
    from pimentodale.services.messages import ServiceReplica
    from pimentodale.services.repeatable_calls import ReplicaAttempt

    PickReplica = Callable[[str, frozenset[str]], ServiceReplica | None]
    CallService = Callable[
        [ServiceCall, Callable[[], bool]], Awaitable[Result[ServiceReply, Refusal]]
    ]
    BeforeSend = Callable[[], Awaitable[bool]]

MAX_REPLICA_ATTEMPTS: Final = 4
"""Maximum number of replicas that one call is attempted on."""

NO_ROUTE_RETRY_AFTER_MS: Final = 2000.0
"""Retry delay for a service that has no live replica."""

BUSY_STATUS: Final = 503
"""HTTP status of a replica that accepts no calls at the moment."""

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Response headers that apply to a single connection and are not forwarded, in lower case."""


class ServiceCaller:
    """Calls plain services from one host; create it with `create_service_caller`."""

    __slots__ = ("_clock", "_guard", "_hold_offs", "_ledger", "_pick", "_report", "_spend_retry")

    def __init__(
        self,
        ledger: Ledger,
        pick: PickReplica,
        clock: Clock,
        spend_retry: Callable[[], bool],
        report: Callable[[ServiceReplica, bool], None],
        guard: CrashGuard,
    ) -> None:
        self._guard = guard
        self._hold_offs: HoldOffs[str] = create_hold_offs(clock)
        self._ledger = ledger
        self._pick = pick
        self._clock = clock
        self._spend_retry = spend_retry
        self._report = report

    async def call(
        self, call: ServiceCall, caller_gone: Callable[[], bool]
    ) -> Result[ServiceReply, Refusal]:
        """Make one call.

        Args:
            call: The call.
            caller_gone: Returns whether the caller has closed its connection.

        Returns:
            The service's complete reply, whatever its status, or the refusal.
        """
        latest_ms = self._clock.now_ms() + call.operation.timeout_ms
        call = msgspec.structs.replace(call, deadline_ms=min(call.deadline_ms, latest_ms))
        if call.operation.repeatable:
            return await self._call_repeatable(call)
        if not call.idempotency_key:
            return await self._call_keyless(call)
        request = ClaimRequest(
            workspace=call.workspace,
            idempotency_key=call.idempotency_key,
            digest=digest_request(call.service.name, call.method, call.path, call.body),
            deadline_ms=call.deadline_ms,
        )

        async def work(first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
            bounded = msgspec.structs.replace(call, deadline_ms=first_byte_check.deadline_ms)
            return await self._send_once(
                bounded, first_byte_check.allows, lambda: first_byte_check.refusal is not None
            )

        outcome = await run_once(self._ledger, request, work, caller_gone)
        return outcome.map(_to_reply)

    async def _call_keyless(self, call: ServiceCall) -> Result[ServiceReply, Refusal]:
        """Make a non-repeatable call without a key at most once, if the operation allows it."""
        if not call.operation.keyless:
            message = "This operation may not repeat; send an Idempotency-Key with it."
            return Error(create_refusal(ResultCode.IDEMPOTENCY_KEY_REQUIRED, message))

        async def in_time() -> bool:
            return self._clock.now_ms() < call.deadline_ms

        ended = await self._send_once(call, in_time, lambda: False)
        if ended.is_ok():
            return Ok(_to_reply(ended.ok))
        fault = ended.error
        ran = Ran.MAY_HAVE_RUN if fault.sent else Ran.NOT_RUN
        return Error(
            create_refusal(fault.code, fault.message, ran=ran, retry_after_ms=fault.retry_after_ms)
        )

    async def _send_once(
        self, call: ServiceCall, before_send: BeforeSend, forbidden: Callable[[], bool]
    ) -> Result[Outcome, WorkFault]:
        """Make a call at most once, unless it is quarantined for crashing replicas.

        Args:
            call: The call; its deadline bounds all attempts to connect.
            before_send: Returns whether the first byte may be sent.
            forbidden: Returns whether `before_send` has forbidden the call permanently.
        """
        if not await self._guard.admits(call):
            return Error(_not_sent(ResultCode.QUARANTINED, QUARANTINED_MESSAGE, None))
        try:
            ended = await self._send_to_reachable(call, before_send, forbidden)
            if ended.is_error() and not ended.error.sent:
                await self._guard.note_not_sent(call)
            return ended
        finally:
            self._guard.note_call_ended(call)

    async def _send_to_reachable(
        self, call: ServiceCall, before_send: BeforeSend, forbidden: Callable[[], bool]
    ) -> Result[Outcome, WorkFault]:
        """Send a call to the first replica that accepts a connection, and to no other one later."""
        allowed = False

        async def before_byte() -> bool:
            nonlocal allowed
            allowed = await before_send()
            return allowed

        excluded: set[str] = set()
        for _ in range(MAX_REPLICA_ATTEMPTS):
            left_ms = call.deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                return Error(_deadline_passed())
            replica = self._pick(call.service.name, self._hold_offs.held() | excluded)
            if replica is None:
                return Error(self._no_replica(call, excluded))
            excluded.add(replica.name)
            self._hold_offs.note_sent(replica.name)
            reply = await fetch(replica.address, _request(call), left_ms, before_byte)
            self._note_reply(replica, reply)
            if reply.is_ok():
                if reply.ok.status == BUSY_STATUS:
                    self._guard.note_rejected(call)
                else:
                    self._guard.note_complete_reply(call)
                return Ok(_to_outcome(reply.ok))
            if allowed:
                await self._guard.note_lost_reply(call, replica)
                return Error(_lost_reply(reply.error, sent=reply.error.sent))
            if forbidden():
                break
        if self._clock.now_ms() >= call.deadline_ms:
            return Error(_deadline_passed())
        message = f"No replica of service '{call.service.name}' took the connection."
        return Error(_not_sent(ResultCode.BACKEND_SERVER_UNREACHABLE, message))

    async def _call_repeatable(self, call: ServiceCall) -> Result[ServiceReply, Refusal]:
        """Make a repeatable call, unless it is quarantined for crashing replicas."""
        if not await self._guard.admits(call):
            return Error(create_refusal(ResultCode.QUARANTINED, QUARANTINED_MESSAGE))
        try:
            return await self._call_replicas(call)
        finally:
            self._guard.note_call_ended(call)

    async def _call_replicas(self, call: ServiceCall) -> Result[ServiceReply, Refusal]:
        """Call replicas until one answers, within the deadline and the retry budget."""
        attempts = CallAttempts()
        try:
            while True:
                if attempts.may_have_run and not self._guard.may_repeat(call):
                    refusal = create_refusal(
                        ResultCode.QUARANTINED, QUARANTINED_MESSAGE, ran=Ran.MAY_HAVE_RUN
                    )
                    return Error(refusal)
                if attempts.all_silent:
                    self._start_next(call, attempts)
                if not attempts.running:
                    break
                for ended in await attempts.wait(self._clock):
                    reply = await self._take_reply(call, attempts, ended)
                    if reply is not None:
                        return Ok(_to_reply(_to_outcome(reply)))
                await self._note_silent(call, attempts)
        finally:
            attempts.close()
        if attempts.busy is not None:
            if not attempts.sent:
                self._guard.note_rejected(call)
            return Ok(_to_reply(_to_outcome(attempts.busy)))
        if not attempts.sent:
            await self._guard.note_not_sent(call)
        fault = attempts.last or self._no_replica(call, attempts.tried)
        return Error(
            create_refusal(
                fault.code,
                fault.message,
                ran=Ran.MAY_HAVE_RUN if attempts.sent else Ran.NOT_RUN,
                retry_after_ms=fault.retry_after_ms,
            )
        )

    def _start_next(self, call: ServiceCall, attempts: CallAttempts) -> None:
        """Start the next attempt beside silent ones, if one is left and there is a replica."""
        if len(attempts.tried) >= MAX_REPLICA_ATTEMPTS:
            return
        left_ms = call.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            attempts.last = _deadline_passed()
            return
        replica = self._pick(call.service.name, self._hold_offs.held() | attempts.tried)
        if replica is None:
            attempts.last = attempts.last or self._no_replica(call, attempts.tried)
            return
        if attempts.tried and not self._spend_retry():
            return
        self._hold_offs.note_sent(replica.name)
        attempts.start(replica, _request(call), self._clock, left_ms)

    async def _take_reply(
        self, call: ServiceCall, attempts: CallAttempts, ended: ReplicaAttempt
    ) -> CallReply | None:
        """Record how an attempt ended; return its reply if it is the answer."""
        assert ended.exchange is not None
        reply = ended.exchange.result()
        if reply.is_ok() or not ended.is_silent:
            self._note_reply(ended.replica, reply)
        if reply.is_error():
            fault = reply.error
            attempts.sent = attempts.sent or fault.sent
            is_noted = ended.is_silent and fault.silent
            if fault.sent and not is_noted:
                await self._guard.note_lost_reply(call, ended.replica)
            attempts.last = _lost_reply(fault, sent=fault.sent)
            return None
        if reply.ok.status == BUSY_STATUS:
            attempts.busy = reply.ok
            return None
        self._guard.note_complete_reply(call)
        return reply.ok

    async def _note_silent(self, call: ServiceCall, attempts: CallAttempts) -> None:
        """Record attempts that have become silent; their replicas get no new calls for a while."""
        for attempt in attempts.running:
            if attempt.is_silent or self._clock.now_ms() < attempt.silent_at_ms:
                continue
            attempt.is_silent = True
            self._report(attempt.replica, False)
            if attempt.is_sent:
                await self._guard.note_lost_reply(call, attempt.replica)

    def _note_reply(self, replica: ServiceReplica, reply: Result[CallReply, CallFault]) -> None:
        """Record the result of an attempt for its replica."""
        self._report(replica, reply.is_ok())
        if reply.is_error():
            return
        value = reply.ok.headers.get(RETRY_AFTER)
        hold_ms = read_retry_after_ms(value) if reply.ok.status == BUSY_STATUS else None
        if hold_ms is None:
            self._hold_offs.note_accepted(replica.name)
        else:
            self._hold_offs.hold(replica.name, hold_ms)

    def _no_replica(self, call: ServiceCall, excluded: set[str]) -> WorkFault:
        """Return the fault for a service that has no replica left to call."""
        name = call.service.name
        held = self._hold_offs.held()
        barred = held | excluded
        own = [each for each in held if self._pick(name, barred - {each}) is not None]
        if own:
            message = f"The replicas of service '{name}' want no calls for a while."
            retry_after_ms = max(1.0, self._hold_offs.shortest_hold_ms(own))
            return _not_sent(ResultCode.BACKEND_SERVER_UNREACHABLE, message, retry_after_ms)
        if excluded:
            message = f"No replica of service '{name}' took the connection."
            return _not_sent(ResultCode.BACKEND_SERVER_UNREACHABLE, message)
        return _not_sent(ResultCode.NO_ROUTE, f"Service '{name}' has no live replica now.")


def create_service_caller(
    ledger: Ledger,
    pick: PickReplica,
    clock: Clock,
    spend_retry: Callable[[], bool],
    report: Callable[[ServiceReplica, bool], None],
    guard: CrashGuard,
) -> CallService:
    """Create the function that calls plain services.

    Args:
        ledger: Ledger of this host.
        pick: Returns a live replica of a service that is not excluded by name; `None` if there is
            none.
        clock: Tells the time.
        spend_retry: Takes one retry from the budget; False if it is exhausted.
        report: Called after each attempt with whether the replica gave a complete reply.
        guard: Refuses calls that crash replicas.

    Returns:
        The function, which takes a call and a check for a disconnected caller.
    """
    return ServiceCaller(ledger, pick, clock, spend_retry, report, guard).call


def _request(call: ServiceCall) -> CallRequest:
    """Return the request as sent to a replica."""
    headers = dict(call.headers)
    headers["X-Request-Id"] = call.request_id
    headers["X-Workspace"] = call.workspace
    if call.traceparent:
        headers["traceparent"] = call.traceparent
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return CallRequest(method=call.method, path=call.path, headers=headers, body=call.body)


def _to_outcome(reply: CallReply) -> Outcome:
    """Convert a complete reply to the outcome to store."""
    headers = {
        name: value
        for name, value in reply.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }
    return Outcome(status=reply.status, headers=headers, body=reply.body)


def _to_reply(outcome: Outcome) -> ServiceReply:
    """Convert an outcome to the reply to the caller."""
    return ServiceReply(status=outcome.status, headers=outcome.headers, body=outcome.body)


def _not_sent(
    code: ResultCode, message: str, retry_after_ms: float | None = NO_ROUTE_RETRY_AFTER_MS
) -> WorkFault:
    """Return the fault for a call of which nothing was sent."""
    return WorkFault(sent=False, code=code, message=message, retry_after_ms=retry_after_ms)


def _deadline_passed() -> WorkFault:
    """Return the fault for a call whose deadline passed before it was sent."""
    message = "The deadline passed before a replica took the call."
    return _not_sent(ResultCode.DEADLINE_EXCEEDED, message, None)


def _lost_reply(fault: CallFault, *, sent: bool) -> WorkFault:
    """Return the fault for a call without a complete reply from its replica."""
    code = ResultCode.BACKEND_SERVER_LOST if sent else ResultCode.BACKEND_SERVER_UNREACHABLE
    return WorkFault(sent=sent, code=code, message=f"The service gave no answer: {fault.message}.")
