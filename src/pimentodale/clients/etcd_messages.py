"""Messages of the etcd v3 JSON gateway, the part that the project uses.

The client and the stand-in share these types, so that they can't drift apart. 64-bit numbers travel
as decimal strings, octets as base64, and fields that are zero are left out.
"""

from __future__ import annotations

from typing import Literal

import msgspec


class Header(msgspec.Struct, frozen=True, omit_defaults=True):
    """Comes with every answer."""

    revision: str = "0"
    """The service's revision."""


class EtcdKeyValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """One stored key."""

    key: bytes = b""
    """The key."""

    create_revision: str = "0"
    """Revision at which it was created."""

    mod_revision: str = "0"
    """Revision of its last change."""

    version: str = "0"
    """Changes since it was created."""

    value: bytes = b""
    """Its value."""

    lease: str = "0"
    """The lease that it goes with."""


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `/v3/kv/range`."""

    key: bytes = b""
    """First key."""

    range_end: bytes = b""
    """Exclusive end; empty for one key."""

    limit: str = "0"
    """Most keys to answer; 0 for all."""

    keys_only: bool = False
    """Whether values are left out."""


class RangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `/v3/kv/range`."""

    header: Header = Header()
    """The service's revision."""

    kvs: list[EtcdKeyValue] = []
    """The keys in order."""

    more: bool = False
    """Whether the limit cut keys off."""

    count: str = "0"
    """Keys in the range, those cut off too."""


class PutRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `/v3/kv/put`, and a write within a transaction."""

    key: bytes = b""
    """The key."""

    value: bytes = b""
    """Its new value."""

    lease: str = "0"
    """The lease that it goes with."""


class PutResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `/v3/kv/put`."""

    header: Header = Header()
    """The service's revision."""


class DeleteRangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `/v3/kv/deleterange`, and a removal within a transaction."""

    key: bytes = b""
    """First key."""

    range_end: bytes = b""
    """Exclusive end; empty for one key."""


class DeleteRangeResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `/v3/kv/deleterange`."""

    header: Header = Header()
    """The service's revision."""

    deleted: str = "0"
    """How many keys were removed."""


class EtcdCompare(msgspec.Struct, frozen=True, omit_defaults=True):
    """A condition of a transaction."""

    key: bytes = b""
    """The key."""

    target: Literal["VERSION", "CREATE", "MOD", "VALUE", "LEASE"] = "VERSION"
    """Which of its numbers is compared; the stand-in knows `CREATE` and `MOD`."""

    result: Literal["EQUAL", "GREATER", "LESS", "NOT_EQUAL"] = "EQUAL"
    """How it is compared."""

    create_revision: str = "0"
    """Operand for `CREATE`."""

    mod_revision: str = "0"
    """Operand for `MOD`."""


class RequestOp(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a transaction; just one field is set."""

    request_range: RangeRequest | None = None
    """Reads."""

    request_put: PutRequest | None = None
    """Writes."""

    request_delete_range: DeleteRangeRequest | None = None
    """Removes."""


class ResponseOp(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to one step of a transaction."""

    response_range: RangeResponse | None = None
    """Keys read."""

    response_put: PutResponse | None = None
    """A key written."""

    response_delete_range: DeleteRangeResponse | None = None
    """Keys removed."""


class TxnRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `/v3/kv/txn`."""

    compare: list[EtcdCompare] = []
    """Conditions; all must hold for `success`."""

    success: list[RequestOp] = []
    """Steps when they hold."""

    failure: list[RequestOp] = []
    """Steps when one doesn't."""


class TxnResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `/v3/kv/txn`."""

    header: Header = Header()
    """The service's revision."""

    succeeded: bool = False
    """Whether the conditions held."""

    responses: list[ResponseOp] = []
    """Answers to the steps, in order."""


class LeaseGrantRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `/v3/lease/grant`."""

    ttl_s: str = msgspec.field(name="TTL", default="0")
    """Time to live in s."""

    id: str = msgspec.field(name="ID", default="0")
    """Wished id; 0 leaves it to the service."""


class LeaseResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `/v3/lease/grant`, and of `keepalive` inside `result`."""

    header: Header = Header()
    """The service's revision."""

    id: str = msgspec.field(name="ID", default="0")
    """The lease."""

    ttl_s: str = msgspec.field(name="TTL", default="0")
    """Remaining time in s; 0 when the lease is gone."""


class LeaseRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `/v3/lease/keepalive` and `/v3/lease/revoke`."""

    id: str = msgspec.field(name="ID", default="0")
    """The lease."""


class KeepAliveLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the stream that `/v3/lease/keepalive` answers."""

    result: LeaseResponse = LeaseResponse()
    """The lease."""


class WatchCreate(msgspec.Struct, frozen=True, omit_defaults=True):
    """What to watch."""

    key: bytes = b""
    """First key."""

    range_end: bytes = b""
    """Exclusive end; empty for one key."""

    start_revision: str = "0"
    """First revision to report; 0 for changes from now on."""

    progress_notify: bool = False
    """Whether the service reports its revision when nothing changes."""


class WatchRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of `/v3/watch`."""

    create_request: WatchCreate = WatchCreate()
    """What to watch."""


class WatchEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change."""

    type: Literal["PUT", "DELETE"] = "PUT"
    """What happened."""

    kv: EtcdKeyValue = EtcdKeyValue()
    """The key after it; with just key and revision when it was removed."""


class WatchResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one line of a watch holds."""

    header: Header = Header()
    """The service's revision."""

    created: bool = False
    """Whether this is the first line."""

    canceled: bool = False
    """Whether the watch ends here."""

    compact_revision: str = "0"
    """When the start lies in history that is no longer kept: the oldest revision kept."""

    events: list[WatchEvent] = []
    """Changes in order."""


class WatchLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of the stream that `/v3/watch` answers."""

    result: WatchResponse = WatchResponse()
    """The report."""


class GatewayError(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an answer that is not 200."""

    error: str = ""
    """What was wrong."""

    code: int = 0
    """gRPC status code."""

    message: str = ""
    """The same text again."""
