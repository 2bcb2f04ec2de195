"""What the ledger keeps for one Idempotency-Key, and how it is written into the service."""

from __future__ import annotations

import base64
import hashlib
from typing import Final, Literal

import msgspec
from expression import Error, Ok, Result

LEDGER_PREFIX: Final = "pimentodale/ledger/"
"""Start of every key of the ledger."""

MAX_IDEMPOTENCY_KEY_CHARS: Final = 255
"""Longest Idempotency-Key that is accepted."""

MAX_OUTCOME_BYTES: Final = 256 * 1024
"""Largest outcome, headers and body together, that is kept for a re-send."""

DIGEST_BYTES: Final = 16
"""Bytes of the SHA-256 of a request that a claim keeps."""

ClaimState = Literal["open", "released", "finished", "unknown"]
"""Whether the work under a claim may still run, was given up before its first byte, ended with an
outcome, or was given up unresolved."""


class Outcome(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The whole answer that non-repeatable work ended with."""

    status: int
    """HTTP status."""

    headers: dict[str, str] = {}
    """Response headers that a re-send gets again."""

    body: bytes = b""
    """Response body."""

    kept: bool = True
    """False when headers and body were larger than `MAX_OUTCOME_BYTES` and were left out."""


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One key of the ledger, as stored."""

    attempt_id: str
    """Names the attempt that holds the claim; unique over all hosts."""

    digest: bytes
    """Digest of the request, so that the key can't be used for another one."""

    claimed_wall_ms: float
    """When the claim was made, by the claiming host's wall clock."""

    deadline_wall_ms: float
    """When the attempt will have ended, by the same clock."""

    state: ClaimState = "open"
    """How far the work has come."""

    outcome: Outcome | None = None
    """The answer, once there is one."""


class ClaimRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the right to run one piece of non-repeatable work."""

    workspace: str
    """Workspace that the key belongs to."""

    idempotency_key: str
    """The caller's key."""

    digest: bytes
    """Digest of the request, from `digest_request`."""

    deadline_ms: float
    """Monotonic time after which no byte of the work may go out."""


class Claim(msgspec.Struct, kw_only=True):
    """The right to run one piece of work, as the claiming host holds it in memory."""

    key: str
    """Key in the service."""

    record: ClaimRecord
    """What stands there."""

    mod_revision: int
    """Revision at which it was written."""

    deadline_ms: float
    """Monotonic time after which no byte may go out."""

    seen_ms: float
    """Monotonic time from before the call that last found the claim standing."""


class BadRecord(msgspec.Struct, frozen=True):
    """A stored value that is no claim record."""

    message: str
    """What was wrong."""


def key_of(workspace: str, idempotency_key: str) -> str:
    """Return the service's key for a caller's key.

    Args:
        workspace: Workspace that the key belongs to.
        idempotency_key: The caller's key, of any characters.
    """
    digest = hashlib.sha256(idempotency_key.encode()).digest()
    name = base64.urlsafe_b64encode(digest).decode().rstrip("=")
    return f"{LEDGER_PREFIX}{workspace}/{name}"


def digest_request(*parts: str | bytes) -> bytes:
    """Return the digest that tells one request from another under the same key.

    Args:
        parts: Such as operation, method, path and body; the order matters.
    """
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()[:DIGEST_BYTES]


def bounded_outcome(outcome: Outcome) -> Outcome:
    """Return the outcome as it can be kept: without headers and body when they are too large."""
    size_bytes = len(outcome.body)
    for name, value in outcome.headers.items():
        size_bytes += len(name) + len(value)
    if size_bytes <= MAX_OUTCOME_BYTES:
        return outcome
    return Outcome(status=outcome.status, kept=False)


def encode_record(record: ClaimRecord) -> bytes:
    """Return the stored form of a record."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> Result[ClaimRecord, BadRecord]:
    """Read a stored record back.

    Args:
        value: What stands in the service.

    Returns:
        The record, or why the value is none.
    """
    try:
        return Ok(msgspec.msgpack.decode(value, type=ClaimRecord))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Error(BadRecord(str(error)))
