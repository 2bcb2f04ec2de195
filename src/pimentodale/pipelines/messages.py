"""What callers ask of a generation, and what they get of it, token by token."""

from __future__ import annotations

from typing import Any, Literal

import msgspec

from pimentodale.configuration.documents import Model, Workspace
from pimentodale.tracing.traceparent import TraceContext

GenerationKind = Literal["chat", "completion"]
"""Which of the OpenAI calls it is."""

FinishReason = Literal["stop", "length"]
"""Why a generation ended."""


class Generation(msgspec.Struct, frozen=True, kw_only=True):
    """One caller's request for text, checked."""

    request_id: str
    """Id that the caller gave or this host made."""

    kind: GenerationKind
    """Which call it came by."""

    model: Model
    """The model asked for."""

    workspace: Workspace
    """The caller's workspace."""

    body: dict[str, Any]
    """The caller's JSON, passed on to engines."""

    fingerprint: str
    """SHA-256 (hex) of workspace and body; names the request in quarantine and ledger."""

    prefix_hash: str
    """Hash of the prompt's start for cache affinity; empty for a short prompt."""

    max_tokens: int
    """Longest answer."""

    idempotency_key: str
    """The caller's key; empty for none."""

    repeatable: bool
    """Whether it may be retried and resumed."""

    priority: int
    """Higher goes first at engines."""

    deadline_ms: float
    """Monotonic time by which it has to end."""

    trace: TraceContext
    """Place of its spans."""


class Token(msgspec.Struct, frozen=True):
    """One verified token, in order, once."""

    index: int
    """Place in the answer, from 0."""

    text: str
    """Its text."""


class Finished(msgspec.Struct, frozen=True):
    """The answer is whole."""

    reason: FinishReason
    """Why it ended."""

    prompt_tokens: int
    """Tokens of the prompt, as the engine counts."""

    completion_tokens: int
    """Tokens of the answer."""
