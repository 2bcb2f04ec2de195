"""Events of an engine's answer, as OpenAI chunks; with the wrong answers that faults ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pimentodale.clients.engine_messages import TokenNote
from pimentodale.standin.reference_text import prompt_token_count

if TYPE_CHECKING:
    from pimentodale.standin._engine_core import Engine
    from pimentodale.standin._head import HeadStream, Token

DONE = b"data: [DONE]\n\n"
"""The event after the last chunk."""


class ChunkIds(msgspec.Struct, frozen=True):
    """What all chunks of an answer share."""

    request_id: str
    attempt: int
    model: str
    is_chat: bool
    """Whether chunks are a chat's."""


class Delta(msgspec.Struct, omit_defaults=True):
    """New text of a chat chunk."""

    content: str = ""


class ChatChoice(msgspec.Struct):
    """The choice of a chat chunk."""

    delta: Delta
    finish_reason: str | None
    index: int = 0


class TextChoice(msgspec.Struct):
    """The choice of a text chunk."""

    text: str
    finish_reason: str | None
    index: int = 0


class Usage(msgspec.Struct):
    """Token counts of the whole answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Chunk(msgspec.Struct, omit_defaults=True):
    """One OpenAI chunk."""

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice] | list[TextChoice]
    pimentodale: TokenNote
    usage: Usage | None = None


class AnswerChunks:
    """Turns tokens into events."""

    __slots__ = ("_created_s", "_held", "_ids", "_wrong", "_wrong_index", "cut")

    def __init__(self, ids: ChunkIds, created_s: int, wrong: str, wrong_index: int) -> None:
        self._ids = ids
        self._created_s = created_s
        self._wrong = wrong
        self._wrong_index = wrong_index
        self._held = b""
        self.cut = False
        """Whether the answer is to end here without a word."""

    def token(self, token: Token) -> list[bytes]:
        """Return the events for one token."""
        note = TokenNote(
            request_id=self._ids.request_id,
            attempt=self._ids.attempt,
            index=token.index,
            token=token.text,
            receipt=token.receipt,
        )
        due = token.index == self._wrong_index
        if due and self._wrong == "crossed_request":
            note = msgspec.structs.replace(note, request_id=f"{note.request_id}-other")
        event = self._event(token.text, None, note)
        if due and self._wrong == "duplicated_token":
            return [event, event]
        if due and self._wrong == "reordered_tokens":
            self._held = event
            return []
        if due and self._wrong == "truncated":
            self.cut = True
            return []
        held, self._held = self._held, b""
        return [event, held] if held else [event]

    def finish(self, prompt: str, tokens: int, finish_reason: str) -> list[bytes]:
        """Return the events that end the answer."""
        if self._wrong == "no_finish":
            return [DONE]
        note = TokenNote(request_id=self._ids.request_id, attempt=self._ids.attempt)
        prompt_tokens = prompt_token_count(prompt)
        usage = Usage(prompt_tokens, tokens, prompt_tokens + tokens)
        return [self._event("", finish_reason, note, usage), DONE]

    def _event(
        self, text: str, finish_reason: str | None, note: TokenNote, usage: Usage | None = None
    ) -> bytes:
        """Return one chunk as an event."""
        ids = self._ids
        choices: list[ChatChoice] | list[TextChoice]
        if ids.is_chat:
            prefix, kind = "chatcmpl", "chat.completion.chunk"
            choices = [ChatChoice(Delta(text), finish_reason)]
        else:
            prefix, kind = "cmpl", "text_completion"
            choices = [TextChoice(text, finish_reason)]
        name = f"{prefix}-{ids.request_id}"
        chunk = Chunk(name, kind, self._created_s, ids.model, choices, note, usage)
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def answer_chunks(engine: Engine, stream: HeadStream, ids: ChunkIds) -> AnswerChunks:
    """Return the maker of a stream's events."""
    wrong = engine.faults.wrong_answer if stream.stage and stream.stage.wrong else ""
    created_s = int(engine.clock.wall_ms() // 1000)
    return AnswerChunks(ids, created_s, wrong, engine.faults.wrong_answer_index)
