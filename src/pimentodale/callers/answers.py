"""Writes a generation as OpenAI's responses and chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.callers.openai_messages import Choice, Completion, Message, Usage
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clock import Clock
    from pimentodale.pipelines.messages import Finished, Generation, Token

_DONE: Final = b"data: [DONE]\n\n"


class AnswerWriter:
    """Holds the text so far and writes it in one of the two kinds."""

    __slots__ = (
        "_chunk_object",
        "_created",
        "_generation",
        "_id",
        "_object",
        "_parts",
        "_piece",
        "_whole",
    )

    def __init__(
        self,
        generation: Generation,
        created: int,
        id_prefix: str,
        objects: tuple[str, str],
        choices: tuple[Callable[..., Choice], Callable[..., Choice]],
    ) -> None:
        self._generation = generation
        self._created = created
        self._id = f"{id_prefix}-{generation.request_id}"
        self._object, self._chunk_object = objects
        self._whole, self._piece = choices
        self._parts: list[str] = []

    def add(self, token: Token) -> None:
        """Keep a token for the whole answer."""
        self._parts.append(token.text)

    def whole(self, finished: Finished) -> Completion:
        """Return the whole response."""
        choice = self._whole("".join(self._parts), finished.reason)
        return self._completion(self._object, [choice], _usage(finished))

    def opening(self) -> bytes:
        """Return what a stream starts with: a chat's role, else nothing."""
        if self._chunk_object == "text_completion":
            return b""
        return self._event([Choice(delta=Message(role="assistant", content=""))])

    def piece(self, token: Token) -> bytes:
        """Return a token as a chunk."""
        return self._event([self._piece(token.text, None)])

    def ending(self, finished: Finished, include_usage: bool) -> bytes:
        """Return the finish, the counts if wanted, and the end mark."""
        parts = [self._event([self._piece(None, finished.reason)])]
        if include_usage:
            parts.append(self._event([], _usage(finished)))
        return b"".join(parts) + _DONE

    def _event(self, choices: list[Choice], usage: Usage | None = None) -> bytes:
        """Return one server-sent event."""
        chunk = self._completion(self._chunk_object, choices, usage)
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def _completion(
        self, object_name: str, choices: list[Choice], usage: Usage | None
    ) -> Completion:
        """Build a response or a chunk."""
        return Completion(
            id=self._id,
            object=object_name,
            created=self._created,
            model=self._generation.model.name,
            choices=choices,
            usage=msgspec.UNSET if usage is None else usage,
        )


def create_chat_writer(generation: Generation, clock: Clock) -> AnswerWriter:
    """Return a writer for `/v1/chat/completions`."""
    return AnswerWriter(
        generation,
        int(clock.wall_ms() / MS_PER_S),
        "chatcmpl",
        ("chat.completion", "chat.completion.chunk"),
        (_whole_chat, _chat_piece),
    )


def create_completion_writer(generation: Generation, clock: Clock) -> AnswerWriter:
    """Return a writer for `/v1/completions`."""
    return AnswerWriter(
        generation,
        int(clock.wall_ms() / MS_PER_S),
        "cmpl",
        ("text_completion", "text_completion"),
        (_text, _text),
    )


def _whole_chat(text: str, reason: str) -> Choice:
    """Return a whole chat answer."""
    return Choice(message=Message(role="assistant", content=text), finish_reason=reason)


def _chat_piece(text: str | None, reason: str | None) -> Choice:
    """Return a piece of a chat answer."""
    return Choice(delta=Message(content=text), finish_reason=reason)


def _text(text: str | None, reason: str | None) -> Choice:
    """Return a completion's text or a piece of it."""
    return Choice(text=text or "", finish_reason=reason)


def _usage(finished: Finished) -> Usage:
    """Return the token counts of an answer."""
    total = finished.prompt_tokens + finished.completion_tokens
    return Usage(finished.prompt_tokens, finished.completion_tokens, total)
