"""The key-value service by the etcd v3 JSON gateway."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
from expression import Error, Ok, Result

from pimentodale.clients.etcd_messages import (
    DeleteRangeRequest,
    EtcdCompare,
    EtcdKeyValue,
    GatewayError,
    KeepAliveLine,
    LeaseGrantRequest,
    LeaseRequest,
    LeaseResponse,
    PutRequest,
    PutResponse,
    RangeRequest,
    RangeResponse,
    RequestOp,
    TxnRequest,
    TxnResponse,
    WatchCreate,
    WatchLine,
    WatchRequest,
    WatchResponse,
)
from pimentodale.clients.http_call import CallReply, CallRequest, fetch, open_call
from pimentodale.clients.key_value import (
    Compare,
    Delete,
    KeyValue,
    Put,
    RangeReply,
    StoreFault,
    TxnReply,
    WatchBatch,
    create_watch_batch,
    prefix_end,
)
from pimentodale.clock import MS_PER_S
from pimentodale.foreign_bytes import UNREADABLE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from pimentodale.addresses import Address
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

CALL_TIMEOUT_MS: Final = 2000.0
"""Longest time for a call, over all end points."""

MIN_ATTEMPT_MS: Final = 50.0
"""A further end point is not tried with less time than this."""

MAX_LINE_BYTES: Final = 16 * 1024 * 1024
"""Longest line of a watch."""

T = TypeVar("T")


class EtcdGateway:
    """A client of the gateway's end points; the one that answered last is tried first."""

    __slots__ = ("_addresses", "_call_timeout_ms", "_clock", "_preferred")

    def __init__(self, addresses: Sequence[Address], clock: Clock, call_timeout_ms: float) -> None:
        self._addresses = list(addresses)
        self._clock = clock
        self._call_timeout_ms = call_timeout_ms
        self._preferred = 0

    async def read(
        self, key: str, range_end: str = "", limit: int = 0, keys_only: bool = False
    ) -> Result[RangeReply, StoreFault]:
        """Read one key or a range; see `KeyValueStore`."""
        request = RangeRequest(key.encode(), range_end.encode(), str(limit), keys_only)
        reply = await self._call("/v3/kv/range", request, RangeResponse, write=False)
        if reply.is_error():
            return Error(reply.error)
        answer = reply.ok
        return Ok(RangeReply(int(answer.header.revision), [_import(kv) for kv in answer.kvs]))

    async def txn(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> Result[TxnReply, StoreFault]:
        """Apply the writes if every condition holds; see `KeyValueStore`."""
        request = TxnRequest(
            compare=[_export_compare(compare) for compare in compares],
            success=[_export_write(write) for write in writes],
            failure=[RequestOp(RangeRequest(compare.key.encode())) for compare in compares],
        )
        reply = await self._call("/v3/kv/txn", request, TxnResponse, write=True)
        if reply.is_error():
            return Error(reply.error)
        answer = reply.ok
        items: list[KeyValue] = []
        for step in answer.responses:
            if step.response_range is not None:
                items.extend(_import(kv) for kv in step.response_range.kvs)
        return Ok(TxnReply(int(answer.header.revision), answer.succeeded, items))

    async def grant_lease(self, ttl_ms: float) -> Result[int, StoreFault]:
        """Create a lease; its time to live is rounded up to whole seconds."""
        request = LeaseGrantRequest(str(math.ceil(ttl_ms / MS_PER_S)))
        reply = await self._call("/v3/lease/grant", request, LeaseResponse, write=True)
        return reply.map(lambda answer: int(answer.id))

    async def keep_lease(self, lease_id: int) -> Result[float, StoreFault]:
        """Renew a lease; returns its remaining time in ms, 0 when it has lapsed."""
        request = LeaseRequest(str(lease_id))
        reply = await self._call("/v3/lease/keepalive", request, KeepAliveLine, write=True)
        return reply.map(lambda answer: int(answer.result.ttl_s) * MS_PER_S)

    async def revoke_lease(self, lease_id: int) -> Result[None, StoreFault]:
        """End a lease and remove its keys."""
        request = LeaseRequest(str(lease_id))
        reply = await self._call("/v3/lease/revoke", request, PutResponse, write=True)
        return reply.map(lambda _answer: None)

    async def watch(
        self, prefix: str, from_revision: int, silence_timeout_ms: float, range_end: str = ""
    ) -> AsyncIterator[Result[WatchBatch, StoreFault]]:
        """Report changes; see `KeyValueStore`."""
        create = WatchCreate(
            key=prefix.encode(),
            range_end=(range_end or prefix_end(prefix)).encode(),
            start_revision=str(from_revision),
            progress_notify=True,
        )
        body = msgspec.json.encode(WatchRequest(create))
        number = self._preferred
        opened = await open_call(
            self._addresses[number], _post("/v3/watch", body), silence_timeout_ms
        )
        if opened.is_error():
            self._preferred = (number + 1) % len(self._addresses)
            yield Error(StoreFault(False, opened.error.message))
            return
        call = opened.ok
        buffer = b""
        try:
            if call.status != 200:
                yield Error(StoreFault(False, f"the watch was refused with HTTP {call.status}"))
                return
            async for chunk in call.chunks(silence_timeout_ms):
                if chunk.is_error():
                    yield Error(StoreFault(False, chunk.error.message, chunk.error.silent))
                    return
                buffer += chunk.ok
                if len(buffer) > MAX_LINE_BYTES:
                    yield Error(StoreFault(False, "a line of the watch is too long"))
                    return
                *lines, buffer = buffer.split(b"\n")
                for line in lines:
                    batch = read_watch_line(line)
                    yield batch
                    if batch.is_error():
                        return
            yield Error(StoreFault(False, "the service ended the watch"))
        finally:
            call.close()

    async def _call(
        self, path: str, request: msgspec.Struct, kind: type[T], write: bool
    ) -> Result[T, StoreFault]:
        """Call the end points in turn, as long as nothing can have happened at the earlier ones.

        A read goes on to the next end point after any failure, a write only when no byte of it was
        sent; a write whose outcome is unknown is never sent again.
        """
        call = _post(path, msgspec.json.encode(request))
        end_ms = self._clock.now_ms() + self._call_timeout_ms
        fault = StoreFault(False, "no end point of the key-value service is set")
        for step in range(len(self._addresses)):
            left_ms = end_ms - self._clock.now_ms()
            if step and left_ms < MIN_ATTEMPT_MS:
                break
            number = (self._preferred + step) % len(self._addresses)
            timeout_ms = left_ms / (len(self._addresses) - step)
            reply = await fetch(self._addresses[number], call, timeout_ms)
            if reply.is_error():
                fault = StoreFault(write and reply.error.sent, reply.error.message)
            elif reply.ok.status == 200:
                self._preferred = number
                return _decode(reply.ok, kind, write)
            else:
                fault = _refused(reply.ok, write)
                if reply.ok.status < 500:
                    return Error(fault)
            if fault.may_have_applied:
                break
        self._preferred = (self._preferred + 1) % max(1, len(self._addresses))
        return Error(fault)


def create_etcd_gateway(
    addresses: Sequence[Address], clock: Clock, call_timeout_ms: float = CALL_TIMEOUT_MS
) -> KeyValueStore:
    """Create a client of the key-value service.

    Args:
        addresses: The gateway's end points.
        clock: Measures time-outs.
        call_timeout_ms: Longest time for a call, over all end points.

    Returns:
        The client; it opens no connection before the first call.
    """
    return EtcdGateway(addresses, clock, call_timeout_ms)


def _post(path: str, body: bytes) -> CallRequest:
    """Return a request with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return CallRequest(method="POST", path=path, headers=headers, body=body)


def _decode(reply: CallReply, kind: type[T], write: bool) -> Result[T, StoreFault]:
    """Read the body of an answer that is 200."""
    try:
        return Ok(msgspec.json.decode(reply.body, type=kind))
    except UNREADABLE as error:
        return Error(StoreFault(write, f"the service's answer can't be read: {error}"))


def _refused(reply: CallReply, write: bool) -> StoreFault:
    """Explain an answer that is not 200; only with a 4xx the service says that it did nothing."""
    try:
        message = msgspec.json.decode(reply.body, type=GatewayError).error
    except UNREADABLE:
        message = "no reason given"
    text = f"the service answered HTTP {reply.status}: {message}"
    is_rejected = 400 <= reply.status < 500
    return StoreFault(write and not is_rejected, text)


def read_watch_line(line: bytes) -> Result[WatchBatch, StoreFault]:
    """Read one line of a watch."""
    try:
        response = msgspec.json.decode(line, type=WatchLine).result
    except UNREADABLE as error:
        return Error(StoreFault(False, f"a line of the watch can't be read: {error}"))
    if response.canceled:
        return Error(_cancelled(response))
    changes = [(_import(event.kv), event.type == "DELETE") for event in response.events]
    return Ok(create_watch_batch(int(response.header.revision), changes))


def _cancelled(response: WatchResponse) -> StoreFault:
    """Explain why the service ended a watch."""
    if int(response.compact_revision):
        oldest = response.compact_revision
        return StoreFault(False, f"history before revision {oldest} is no longer kept; read anew")
    return StoreFault(False, "the service cancelled the watch")


def _import(kv: EtcdKeyValue) -> KeyValue:
    """Convert a stored key."""
    return KeyValue(
        key=kv.key.decode(),
        value=kv.value,
        create_revision=int(kv.create_revision),
        mod_revision=int(kv.mod_revision),
        lease_id=int(kv.lease),
    )


def _export_compare(compare: Compare) -> EtcdCompare:
    """Convert a condition; a key that is absent has revision 0."""
    return EtcdCompare(compare.key.encode(), "MOD", "EQUAL", mod_revision=str(compare.mod_revision))


def _export_write(write: Put | Delete) -> RequestOp:
    """Convert a write."""
    if isinstance(write, Put):
        return RequestOp(
            request_put=PutRequest(write.key.encode(), write.value, str(write.lease_id))
        )
    return RequestOp(
        request_delete_range=DeleteRangeRequest(write.key.encode(), write.range_end.encode())
    )
