"""Records that the ledger stores for an Idempotency-Key, and their encoding."""

from __future__ import annotations

import base64
import hashlib
from typing import Final, Literal

import msgspec
from expression import Error, Ok, Result

from pimentodale.foreign_bytes import UNREADABLE

LEDGER_PREFIX: Final = "pimentodale/ledger/"
"""Prefix of all keys of the ledger."""

MAX_IDEMPOTENCY_KEY_CHARS: Final = 255
"""Maximum length of an Idempotency-Key."""

MAX_OUTCOME_BYTES: Final = 256 * 1024
"""Maximum size of a stored outcome, headers and body together."""

DIGEST_BYTES: Final = 16
"""Length of the request digest in a claim, a truncated SHA-256."""

ClaimState = Literal["open", "released", "finished", "unknown"]
"""Whether the work under a claim may still run, was abandoned before its first byte, finished with
an outcome, or was abandoned with an unknown outcome."""


class Outcome(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The complete response of non-repeatable work."""

    status: int
    """HTTP status."""

    headers: dict[str, str] = {}
    """Response headers that a retry receives again."""

    body: bytes = b""
    """Response body."""

    kept: bool = True
    """False if headers and body exceeded `MAX_OUTCOME_BYTES` and were omitted."""


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Stored value of a ledger key."""

    attempt_id: str
    """Id of the attempt that holds the claim; unique across hosts."""

    digest: bytes
    """Digest of the request, which prevents use of the key for another request."""

    claimed_wall_ms: float
    """When the claim was made, on the wall clock of the claiming host."""

    deadline_wall_ms: float
    """When the attempt ends at the latest, on the same clock."""

    state: ClaimState = "open"
    """State of the work."""

    outcome: Outcome | None = None
    """The response, if the work has finished."""


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a claim on one piece of non-repeatable work."""

    workspace: str
    """Workspace that the key belongs to."""

    idempotency_key: str
    """Idempotency-Key sent by the caller."""

    digest: bytes
    """Digest of the request, from `digest_request`."""

    deadline_ms: float
    """Monotonic time after which no byte of the work may be sent."""


class Claim(msgspec.Struct, kw_only=True):
    """The right to run one piece of work, held in memory by the claiming host."""

    key: str
    """Key in the key-value service."""

    record: ClaimRecord
    """The stored record."""

    mod_revision: int
    """Revision of the last write of the record."""

    deadline_ms: float
    """Monotonic time after which no byte may be sent."""

    seen_ms: float
    """Monotonic time just before the call that last confirmed the claim."""


class MalformedRecord(msgspec.Struct, frozen=True):
    """A stored value that can't be decoded as a claim record."""

    message: str
    """Error of the decoder."""


def ledger_key(workspace: str, idempotency_key: str) -> str:
    """Return the key in the key-value service for an Idempotency-Key.

    Args:
        workspace: Workspace that the key belongs to.
        idempotency_key: Key sent by the caller; may contain any characters.
    """
    digest = hashlib.sha256(idempotency_key.encode()).digest()
    name = base64.urlsafe_b64encode(digest).decode().rstrip("=")
    return f"{LEDGER_PREFIX}{workspace}/{name}"


def digest_request(*parts: str | bytes) -> bytes:
    """Return the digest that distinguishes requests under the same key.

    Args:
        parts: Parts such as operation, method, path and body; the order matters.
    """
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()[:DIGEST_BYTES]


def storable_outcome(outcome: Outcome) -> Outcome:
    """Return the outcome in storable form: without headers and body if they are too large."""
    size_bytes = len(outcome.body)
    for name, value in outcome.headers.items():
        size_bytes += len(name) + len(value)
    if size_bytes <= MAX_OUTCOME_BYTES:
        return outcome
    return Outcome(status=outcome.status, kept=False)


def encode_record(record: ClaimRecord) -> bytes:
    """Encode a record as MessagePack."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> Result[ClaimRecord, MalformedRecord]:
    """Decode a stored record.

    Args:
        value: Stored value of a ledger key.

    Returns:
        The record, or why the value is malformed.
    """
    try:
        return Ok(msgspec.msgpack.decode(value, type=ClaimRecord))
    except UNREADABLE as error:
        return Error(MalformedRecord(str(error)))
