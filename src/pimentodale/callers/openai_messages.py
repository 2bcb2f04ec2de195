"""OpenAI's requests and answers, as far as callers see them."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from expression import Error, Ok, Result

from pimentodale.results import Refusal, ResultCode, create_refusal

TokenCount = Annotated[int, msgspec.Meta(ge=1)]
"""A number of tokens."""


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    """Such as `system`, `user` or `assistant`."""

    content: str | list[dict[str, Any]] | None = None
    """Text, or parts with text."""


class StreamOptions(msgspec.Struct):
    """Field `stream_options`."""

    include_usage: bool = False
    """Whether a last chunk carries the token counts."""


class ChatRequest(msgspec.Struct, kw_only=True):
    """Body of `/v1/chat/completions`; fields beside these go to engines unread."""

    model: str
    """Name of the model."""

    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    """The chat so far."""

    stream: bool = False
    """Whether the answer comes token by token."""

    stream_options: StreamOptions | None = None
    """What a stream holds besides."""

    max_tokens: TokenCount | None = None
    """Longest answer; the older name."""

    max_completion_tokens: TokenCount | None = None
    """Longest answer; the newer name."""

    n: Literal[1] | None = None
    """Answers wanted; only one is offered."""


class CompletionRequest(msgspec.Struct, kw_only=True):
    """Body of `/v1/completions`; fields beside these go to engines unread."""

    model: str
    """Name of the model."""

    prompt: Annotated[str, msgspec.Meta(min_length=1)]
    """The text to go on from."""

    stream: bool = False
    """Whether the answer comes token by token."""

    stream_options: StreamOptions | None = None
    """What a stream holds besides."""

    max_tokens: TokenCount | None = None
    """Longest answer."""

    n: Literal[1] | None = None
    """Answers wanted; only one is offered."""


class Usage(msgspec.Struct, frozen=True):
    """Token counts."""

    prompt_tokens: int
    """Tokens of the prompt."""

    completion_tokens: int
    """Tokens of the answer."""

    total_tokens: int
    """Both together."""


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """A chat answer or a piece of one."""

    role: str | None = None
    """Set in whole answers and in a stream's first chunk."""

    content: str | None = None
    """Its text."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The one answer of a response or chunk."""

    index: int = 0
    """Always 0."""

    message: Message | msgspec.UnsetType = msgspec.UNSET
    """A whole chat answer."""

    delta: Message | msgspec.UnsetType = msgspec.UNSET
    """A piece of a chat answer."""

    text: str | msgspec.UnsetType = msgspec.UNSET
    """A completion's text or a piece of it."""

    logprobs: None = None
    """Not offered."""

    finish_reason: str | None = None
    """`stop` or `length` once it is whole."""


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A response or a chunk."""

    id: str
    """Made from the request id."""

    object: str
    """Kind of response."""

    created: int
    """Seconds since the Unix epoch."""

    model: str
    """Name of the model."""

    choices: list[Choice]
    """One, or none in a stream's usage chunk."""

    usage: Usage | msgspec.UnsetType | None = msgspec.UNSET
    """Token counts."""


class ModelEntry(msgspec.Struct, frozen=True):
    """A model in the list of models."""

    id: str
    """Its name."""

    object: str = "model"
    """Always `model`."""

    created: int = 0
    """Not kept."""

    owned_by: str = "site"
    """Always `site`."""


class ModelList(msgspec.Struct, frozen=True):
    """Answer of `/v1/models`."""

    data: list[ModelEntry]
    """The models."""

    object: str = "list"
    """Always `list`."""


def parse_json(body: bytes, what: str) -> Result[dict[str, Any], Refusal]:
    """Parse a body that has to be a JSON object.

    Args:
        body: The body as it came.
        what: Named in the refusal, such as the path.

    Returns:
        The object, or the refusal that says where the JSON went wrong.
    """
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Error(malformed(f"The body of {what} is not JSON: {error}."))
    if not isinstance(value, dict):
        return Error(malformed(f"The body of {what} has to be a JSON object."))
    return Ok(value)


def malformed(message: str) -> Refusal:
    """Refuse a request that is not what the API takes."""
    return create_refusal(ResultCode.MALFORMED_REQUEST, message)
