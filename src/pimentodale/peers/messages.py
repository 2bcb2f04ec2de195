"""Messages between entry hosts.

Each travels as a msgpack array that starts with the message's tag, after its length in four bytes.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec

PROTOCOL: Final = "pimentodale-peers/1"
"""Named in each first message; hosts that speak another protocol are turned away."""

MAX_VALUE_BYTES: Final = 64 * 1024
"""Largest value of one entry."""

ShortText = Annotated[str, msgspec.Meta(max_length=128)]
"""A name, key or identifier."""

Counter = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""An incarnation, a version or an index."""

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
"""A TCP port."""


class MemberState(IntEnum):
    """What is held of a member; within one incarnation the higher word wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    GONE = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One word about one member."""

    host: ShortText
    """Name of the host."""

    incarnation: Counter
    """Raised by the host alone, to refute what is said of it."""

    state: MemberState
    """What is held of it."""

    boot_id: ShortText
    """Changes with each start of the host."""

    failure_domain: ShortText
    """Failure domain that it stands in."""

    region: ShortText
    """Region that it stands in."""

    ip: ShortText
    """IP number where peers reach it."""

    port: Port
    """Port where peers reach it."""


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """One version of one small piece of shared state."""

    topic: ShortText
    """What kind of state it is."""

    key: ShortText
    """Key within the topic."""

    owner: ShortText
    """Host that published it."""

    incarnation: Counter
    """The owner's incarnation when it was published."""

    version: Counter
    """Rises with each publication of the owner."""

    ttl_ms: Counter
    """Time that it still has to live."""

    urgent: bool
    """Whether it travels at once, not with the next heartbeat."""

    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
    """The state itself, in the publisher's own coding."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of either side of a link."""

    protocol: ShortText
    """`PROTOCOL`."""

    member: MemberRecord
    """The sender's word about itself."""

    have_boot_id: ShortText
    """Boot id of the receiver when the sender last had changes from it; empty for never."""

    have_index: Counter
    """The receiver's index up to which the sender has its changes."""


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Says that the sender lives and has nothing new."""


class Delta(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Changes that the receiver does not have."""

    index: Counter
    """The sender's index that the receiver has reached with it."""

    members: list[MemberRecord]
    """Members whose record changed."""

    entries: list[EntryRecord]
    """Entries that changed."""


class Bye(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The sender closes this link on purpose and lives on."""


class LinkRefused(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The receiver holds as many links as it may, or one to the sender already."""


class Accusation(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Tells the receiver what is said of it, so that it can refute."""

    member: MemberRecord
    """The word about the receiver."""


class Probe(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks on a connection of its own whether a host lives."""

    protocol: ShortText
    """`PROTOCOL`."""


class ProbeReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Answer to `Probe`."""

    member: MemberRecord
    """The host's word about itself."""


class IndirectProbe(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Asks a peer to probe another host."""

    number: Counter
    """Told back in the answer."""

    ip: ShortText
    """IP number to probe."""

    port: Port
    """Port to probe."""

    boot_id: ShortText
    """Boot id that the host should have."""


class IndirectReply(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Answer to `IndirectProbe`."""

    number: Counter
    """Number of the question."""

    reached: bool
    """Whether the host answered under the boot id."""


class Request(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Asks a handler of the other host, on a connection of its own."""

    protocol: ShortText
    """`PROTOCOL`."""

    topic: ShortText
    """Names the handler."""

    body: bytes
    """The question, in the handler's own coding."""


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Answer to `Request`."""

    handled: bool
    """Whether a handler answered."""

    body: bytes
    """The answer, in the handler's own coding."""


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
