"""What all callers' handlers share: who calls, until when, and how they are refused."""

from __future__ import annotations

import asyncio
import math
import re
import uuid
from typing import TYPE_CHECKING, Any, Final

import msgspec
from expression import Error, Ok, Result
from tornado.web import HTTPError, RequestHandler, stream_request_body

from pimentodale.clock import MS_PER_S
from pimentodale.forwarding.client_memory import (
    CHUNK_COST_BYTES,
    MIN_PACE_BYTES_PER_S,
    PACE_WINDOW_MS,
    STALL_CHECK_MS,
    STALL_MS,
    YIELD_BYTES,
)
from pimentodale.forwarding.client_stream import MIN_CHUNK_BYTES, ClientStream
from pimentodale.ledger.refusals import adapt_to_unread_key
from pimentodale.logs import get_log
from pimentodale.results import Ran, Refusal, ResultCode, create_refusal
from pimentodale.tracing.traceparent import create_trace, parse_traceparent

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Awaitable

    from pimentodale.callers.context import CallerContext
    from pimentodale.configuration.documents import Workspace
    from pimentodale.tracing.tracer import Span

MAX_TIMEOUT_MS: Final = 3_600_000.0
"""Longest deadline that a caller may ask for."""

MAX_KEY_CHARS: Final = 255
"""Longest Idempotency-Key or request id."""

LINGER_MS: Final = 1_000.0
"""How long the rest of a refused body is read and discarded before its connection is closed."""

MEMORY_RETRY_AFTER_MS: Final = 1_000.0
"""When a caller may come back that was refused as the memory for requests is full."""

_VISIBLE_ASCII: Final = re.compile(r"^[\x21-\x7e]+$")
_log = get_log("callers")


class Handler(RequestHandler):
    """Base of all handlers: answers and refusals as JSON."""

    context: CallerContext
    """Shared state."""

    def initialize(self, context: CallerContext) -> None:
        """Take the shared state."""
        self.context = context

    def answer(self, value: object, status: int = 200) -> None:
        """Finish with a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def flush(self, include_footers: bool = False) -> Future[None]:
        """Send what is written; a host that is stopping ends the connection with this answer."""
        if self.context.is_stopping():
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def refuse(self, refusal: Refusal) -> None:
        """Finish with a refusal, at once."""
        self.context.metrics.results[refusal.code] += 1
        if refusal.retry_after_ms is not None:
            self.set_header("Retry-After", str(math.ceil(refusal.retry_after_ms / MS_PER_S)))
        if refusal.code is ResultCode.UNAUTHENTICATED:
            self.set_header("WWW-Authenticate", "Bearer")
        self.answer(refusal, refusal.http_status)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Turn Tornado's own errors into numbered refusals."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, HTTPError) and status_code == 405:
            self.refuse(create_refusal(ResultCode.METHOD_NOT_ALLOWED, "Use another method."))
            return
        if isinstance(error, HTTPError) and status_code < 500:
            self.refuse(create_refusal(ResultCode.MALFORMED_REQUEST, str(error)))
            return
        message = "This program met a fault of its own; its log has the details."
        self.refuse(create_refusal(ResultCode.INTERNAL, message, ran=self.ran_on_fault()))

    def ran_on_fault(self) -> Ran:
        """Return whether work may have run when this handler fails unexpectedly."""
        return Ran.NOT_RUN

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected faults with their trace."""
        if isinstance(value, HTTPError):
            return
        _log.error("A handler failed.", path=self.request.path, exc_info=(typ, value, tb))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Not used by handlers that don't stream their body."""
        raise NotImplementedError


@stream_request_body
class CallerHandler(Handler):
    """Base of handlers for callers' work: reads the body within bounds and names the request."""

    def initialize(self, context: CallerContext) -> None:
        """Take the shared state and prepare to read a body."""
        super().initialize(context)
        self.body = bytearray()
        self.accepted_ms = context.clock.now_ms()
        self.request_id = ""
        self.handed_over = False
        self.refused_early = False
        self._share = context.client_memory.open(self._drop)
        self._checking: asyncio.TimerHandle | None = None
        self._window_ms = self.accepted_ms
        self._window_bytes = 0
        self._unyielded_bytes = 0
        self._body_read = False
        self._counted = False
        self._is_cut = False
        self._span: Span | None = None

    def prepare(self) -> None:
        """Refuse what can be refused by the header alone."""
        self.context.work.enter()
        self._counted = True
        self.context.end_unfinished.add(self._end_unfinished)
        self.request_id = self._read_request_id()
        self.set_header("X-Request-Id", self.request_id)
        parent = parse_traceparent(self.request.headers.get("traceparent")) or create_trace()
        self._span = self.context.tracer.start(
            "request", self.request_id, parent, path=self.request.path
        )
        self.set_header("traceparent", self._span.context().header())
        stream = self._client_stream()
        if stream is not None:
            self.context.connections.note_busy(stream)
            if "Transfer-Encoding" in self.request.headers:
                stream.count_chunks(self._refuse_chunks)
        length = self.request.headers.get("Content-Length", "0")
        if length.isdecimal() and int(length) > self.context.max_body_bytes:
            self.refuse(self._too_large())
        elif length.isdecimal() and not self._share.reserve(int(length)):
            self._refuse_crowd("memory", _memory_full())
        elif length != "0" or "Transfer-Encoding" in self.request.headers:
            self._check_later()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a piece of the body; after a refusal the rest is read and dropped.

        Other callers have their turn after each `YIELD_BYTES`.
        """
        self._unyielded_bytes += max(len(chunk), CHUNK_COST_BYTES)
        turn: Awaitable[None] | None = None
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            turn = asyncio.sleep(0)
        if self.refused_early:
            return turn
        if len(self.body) + len(chunk) > self.context.max_body_bytes:
            self._release()
            self.refuse(self._too_large())
        elif not self._share.receive(len(chunk), self.context.clock.now_ms()):
            self._refuse_crowd("memory", _memory_full())
        else:
            self.body += chunk
        return turn

    def _client_stream(self) -> ClientStream | None:
        """Return the caller's connection."""
        stream = getattr(self.request.connection, "stream", None)
        return stream if isinstance(stream, ClientStream) else None

    def _release(self) -> None:
        """Return the memory of the body."""
        self.body.clear()
        self._share.end()
        if self._checking is not None:
            self._checking.cancel()
            self._checking = None

    def _drop(self) -> None:
        """Refuse a slow request, as another one needs its memory."""
        if not self.refused_early and not self._body_read:
            self._refuse_crowd("memory", _memory_full())

    def _refuse_chunks(self) -> None:
        """Refuse a request with many tiny chunks, unless it is the only one."""
        if not self.refused_early and not self._share.admit_tiny_chunks():
            message = f"Send chunks of at least {MIN_CHUNK_BYTES} bytes on average; it has not run."
            self._refuse_crowd("chunks", create_refusal(ResultCode.MALFORMED_REQUEST, message))

    def _refuse_crowd(self, kind: str, refusal: Refusal) -> None:
        """Refuse a request while its body arrives, and close its connection soon."""
        memory = self.context.client_memory
        refusals = memory.count_refusal(kind)
        if refusals:
            _log.info(
                "A request was refused while its body arrived.",
                request=self.request_id,
                kind=kind,
                refusals=refusals,
                received_bytes=self._share.received_bytes,
                held_bytes=memory.held_bytes,
                limit_bytes=memory.limit_bytes,
            )
        self._release()
        self.set_header("Connection", "close")
        self.refuse(refusal)
        stream = self._client_stream()
        if stream is not None:
            asyncio.get_running_loop().call_later(LINGER_MS / MS_PER_S, self._end_lingering, stream)

    def _end_lingering(self, stream: ClientStream) -> None:
        """Close the connection of a refused request whose body still has not ended."""
        if not self._body_read:
            stream.close()

    def _check_later(self) -> None:
        """Schedule the next check of whether the body has stalled."""
        loop = asyncio.get_running_loop()
        self._checking = loop.call_later(STALL_CHECK_MS / MS_PER_S, self._check_pace)

    def _check_pace(self) -> None:
        """Refuse the request if its body has stalled or is too slow."""
        self._checking = None
        if self.refused_early or self._body_read:
            return
        now_ms = self.context.clock.now_ms()
        received_bytes = self._share.received_bytes
        window_ms = now_ms - self._window_ms
        is_slow = now_ms - self._share.last_ms >= STALL_MS
        if window_ms >= PACE_WINDOW_MS:
            pace = (received_bytes - self._window_bytes) * MS_PER_S / window_ms
            is_slow = is_slow or pace < MIN_PACE_BYTES_PER_S
            self._window_ms, self._window_bytes = now_ms, received_bytes
        if not is_slow:
            self._check_later()
            return
        message = "The body came too slowly; the request has not run."
        self._refuse_crowd("slow", create_refusal(ResultCode.BODY_TOO_SLOW, message))

    def finish(self, chunk: str | bytes | dict[str, Any] | None = None) -> Future[None]:
        """Finish the answer; the work of a request that was answered for a stop may end later."""
        if self._is_cut and self._finished:
            ended: Future[None] = asyncio.get_running_loop().create_future()
            ended.set_result(None)
            return ended
        return super().finish(chunk)

    def _end_unfinished(self) -> None:
        """Answer now, as the host's time to stop is over, unless the answer has begun."""
        if self._headers_written or self._finished or self.refused_early:
            return
        if self.handed_over:
            code, message = ResultCode.BACKEND_SERVER_LOST, "it may have run"
        else:
            code, message = ResultCode.LEAVING, "it has not run, send it to another host"
        message = f"This host has stopped before the work was done; {message}."
        self.refuse(create_refusal(code, message, ran=self.ran_on_fault()))
        self._is_cut = True

    def count_off(self) -> None:
        """Count the request off; every verb does so at its end."""
        self._share.end()
        self.context.end_unfinished.discard(self._end_unfinished)
        if self._counted:
            self._counted = False
            self.context.work.exit()

    def on_connection_close(self) -> None:
        """Count off a request whose caller went away before its verb ran."""
        if not self._body_read:
            self._release()
            self.count_off()

    def ended_early(self) -> bool:
        """Finish, now that the body is read, if the answer went out before it; every verb asks."""
        self._body_read = True
        self._share.keep()
        if self.refused_early:
            self.finish()
        return self.refused_early

    def answer(self, value: object, status: int = 200) -> None:
        """Answer with a JSON body; before the request's body is read, without closing.

        Closing at once would reset the connection under a caller that still sends, and the
        caller would never see the answer.
        """
        if self._body_read:
            super().answer(value, status)
            return
        self.refused_early = True
        body = msgspec.json.encode(value)
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        self.write(body)
        self.flush()

    @property
    def span(self) -> Span:
        """The request's span."""
        assert self._span is not None
        return self._span

    def ran_on_fault(self) -> Ran:
        """Return `may_have_run` once the work was handed over."""
        return Ran.MAY_HAVE_RUN if self.handed_over else Ran.NOT_RUN

    def on_finish(self) -> None:
        """Close the request's span, and return the memory of its body."""
        self._share.end()
        stream = self._client_stream()
        if stream is not None:
            self.context.connections.note_idle(stream)
        if not self._body_read:
            self.count_off()
        if self._span is None:
            return
        self.context.tracer.end(self._span, status=str(self.get_status()))
        self.context.metrics.request.record(self.context.clock.now_ms() - self.accepted_ms)

    def refuse(self, refusal: Refusal) -> None:
        """Refuse and note why in the trace."""
        if refusal.earlier_attempt is None and "Idempotency-Key" in self.request.headers:
            # The ledger has not been read: an earlier attempt may have run elsewhere.
            refusal = adapt_to_unread_key(refusal)
        if self._span is not None:
            self._span.attributes["refused"] = refusal.name
            self._span.attributes["reason"] = refusal.message
        super().refuse(refusal)

    def check_caller(self) -> Result[Workspace, Refusal]:
        """Return who calls, unless this host takes no work or doesn't know them."""
        unready = self.context.unready()
        if unready is not None:
            return Error(unready)
        return self.context.authenticator.workspace_of(self.request.headers.get("Authorization"))

    def read_deadline_ms(self, default_timeout_ms: float) -> Result[float, Refusal]:
        """Return the monotonic deadline from `X-Request-Timeout-Ms`."""
        text = self.request.headers.get("X-Request-Timeout-Ms")
        if text is None:
            return Ok(self.accepted_ms + default_timeout_ms)
        try:
            timeout_ms = float(text)
        except ValueError:
            timeout_ms = math.nan
        if not 0 < timeout_ms <= MAX_TIMEOUT_MS:
            message = f"X-Request-Timeout-Ms has to be a number above 0 up to {MAX_TIMEOUT_MS:.0f}."
            return Error(create_refusal(ResultCode.BAD_HEADER, message))
        return Ok(self.accepted_ms + timeout_ms)

    def read_idempotency_key(self) -> Result[str, Refusal]:
        """Return the `Idempotency-Key`; empty when there is none."""
        key = self.request.headers.get("Idempotency-Key")
        if key is None:
            return Ok("")
        if len(key) > MAX_KEY_CHARS or not _VISIBLE_ASCII.match(key):
            message = f"Idempotency-Key has to be 1 to {MAX_KEY_CHARS} visible ASCII characters."
            return Error(create_refusal(ResultCode.BAD_HEADER, message))
        return Ok(key)

    def _read_request_id(self) -> str:
        """Return the caller's request id if it can be used, else a new one."""
        given = self.request.headers.get("X-Request-Id", "")
        if given and len(given) <= MAX_KEY_CHARS and _VISIBLE_ASCII.match(given):
            return given
        return uuid.uuid4().hex

    def _too_large(self) -> Refusal:
        """Refuse a body over the bound."""
        message = f"The body is over {self.context.max_body_bytes} bytes; send a smaller one."
        return create_refusal(ResultCode.BODY_TOO_LARGE, message)


def _memory_full() -> Refusal:
    """Return the refusal of a request for which there is no memory."""
    message = "The memory for requests is full; this one has not run, come back."
    return create_refusal(ResultCode.MEMORY_FULL, message, retry_after_ms=MEMORY_RETRY_AFTER_MS)
