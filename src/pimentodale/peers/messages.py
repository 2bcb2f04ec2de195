"""Messages between entry hosts.

Each is sent as its length in four bytes and a msgpack array that starts with the message's tag.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec

PROTOCOL: Final = "pimentodale-peers/1"
"""Protocol name in each first message; connections with another protocol are closed."""

MAX_VALUE_BYTES: Final = 64 * 1024
"""Largest value of one entry."""

ShortText = Annotated[str, msgspec.Meta(max_length=128)]
"""A name, key or identifier."""

Counter = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""An incarnation, a version or an index."""

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
"""A TCP port."""


class MemberState(IntEnum):
    """State of a member; within one incarnation the higher state takes precedence."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    GONE = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member's state under one incarnation."""

    host: ShortText
    """Name of the host."""

    incarnation: Counter
    """Incremented only by the host itself, to refute others' records of it."""

    state: MemberState
    """State of the member."""

    boot_id: ShortText
    """Identifier that changes with each start of the host."""

    failure_domain: ShortText
    """Failure domain of the host."""

    region: ShortText
    """Region of the host."""

    ip: ShortText
    """IP address at which peers reach it."""

    port: Port
    """Port at which peers reach it."""


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """One version of an entry of the shared state."""

    topic: ShortText
    """Kind of state."""

    key: ShortText
    """Key within the topic."""

    owner: ShortText
    """Host that published it."""

    incarnation: Counter
    """The owner's incarnation when it was published."""

    version: Counter
    """Incremented with each publication of the owner."""

    ttl_ms: Counter
    """Remaining time to live, in milliseconds."""

    urgent: bool
    """Whether it is sent at once rather than with the next heartbeat."""

    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
    """The value, in the publisher's own encoding."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of either side of a link."""

    protocol: ShortText
    """`PROTOCOL`."""

    member: MemberRecord
    """The sender's record of itself."""

    have_boot_id: ShortText
    """Boot id of the receiver from which the sender last had changes; empty if none."""

    have_index: Counter
    """The receiver's change index up to which the sender has its changes."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Shows that the sender is alive when it has no changes to send."""


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Changes that the receiver lacks."""

    index: Counter
    """The sender's change index that the receiver has reached after this message."""

    members: list[MemberRecord]
    """Members whose record changed."""

    entries: list[EntryRecord]
    """Entries that changed."""


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The sender closes this link deliberately and stays a member."""


class LinkRefused(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The sender has reached its limit of links, is already dialling the receiver, or is stopping."""


class Accusation(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Tells the receiver that it is recorded as suspect or gone, so that it can refute."""

    member: MemberRecord
    """The record about the receiver."""


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Checks on a separate connection whether a host is alive."""

    protocol: ShortText
    """`PROTOCOL`."""


class ProbeReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answer to `Probe`."""

    member: MemberRecord
    """The host's record of itself."""


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks a peer to probe another host."""

    number: Counter
    """Identifier that is repeated in the answer."""

    ip: ShortText
    """IP address to probe."""

    port: Port
    """Port to probe."""

    boot_id: ShortText
    """Boot id that the host is expected to have."""


class IndirectReply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answer to `IndirectProbe`."""

    number: Counter
    """Identifier of the request."""

    reached: bool
    """Whether the host answered with the expected boot id."""


class Request(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Request to a handler of the other host, on a separate connection."""

    protocol: ShortText
    """`PROTOCOL`."""

    topic: ShortText
    """Name of the handler."""

    body: bytes
    """The request, in the handler's own encoding."""


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Answer to `Request`."""

    handled: bool
    """Whether a handler for the topic answered."""

    body: bytes
    """The reply, in the handler's own encoding."""


Message = (
    Hello
    | Heartbeat
    | Delta
    | Bye
    | LinkRefused
    | Accusation
    | Probe
    | ProbeReply
    | IndirectProbe
    | IndirectReply
    | Request
    | Reply
)
"""Any message between entry hosts."""
