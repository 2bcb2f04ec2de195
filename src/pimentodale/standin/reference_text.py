"""The text that a faultless engine gives, worked out without any engine.

The state starts from a hash of the prompt and the tokens so far. Each layer mixes in its own number
in a way that does not commute, so a layer that was skipped, doubled or run out of order changes the
token. The last state picks a word. `platform.prompt_text.prompt_text` folds a chat into one prompt.
"""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

_STATE_MASK: Final = (1 << 64) - 1
_STATE_BITS: Final = 64
_ROTATION_BITS: Final = 23
_LAYER_FACTOR: Final = 0x9E3779B97F4A7C15
_MIX_FACTOR: Final = 0xD6E8FEB86659FD93
_ONSETS: Final = ("b", "d", "f", "g", "k", "l", "m", "n", "p", "r", "s", "t", "v", "w", "z", "st")
_RHYMES: Final = ("al", "an", "ar", "eg", "el", "en", "er", "ik", "il", "in", "od", "ol", "on")
_ENDINGS: Final = ("a", "e", "i", "o", "u", "oe", "ie")
_MIN_TOKENS: Final = 16
_TOKEN_SPREAD: Final = 112
_CHARS_A_TOKEN: Final = 4
_TOKENS_MARK: Final = re.compile(r"\[tokens=(\d{1,6})\]")


class AnswerEnd(msgspec.Struct, frozen=True):
    """How an answer ends."""

    tokens: int
    """Tokens of the whole answer."""

    finish_reason: str
    """`stop`, or `length` when the limit cut it."""


def prompt_token_count(prompt: str) -> int:
    """Return how many tokens a prompt counts as; at least one."""
    return max(1, len(prompt) // _CHARS_A_TOKEN)


def answer_end(prompt: str, max_tokens: int) -> AnswerEnd:
    """Return where the answer to a prompt ends.

    A prompt with the mark `[tokens=N]` has an answer of N tokens; else the length is drawn from the
    prompt's hash.

    Args:
        prompt: The prompt text.
        max_tokens: The caller's limit.

    Returns:
        The answer's length and its finish reason.
    """
    mark = _TOKENS_MARK.search(prompt)
    if mark is not None:
        natural = max(1, int(mark[1]))
    else:
        natural = _MIN_TOKENS + _digest(prompt) % _TOKEN_SPREAD
    if natural <= max_tokens:
        return AnswerEnd(natural, "stop")
    return AnswerEnd(max_tokens, "length")


def first_activation(prompt: str, tokens: Sequence[str]) -> int:
    """Return the state before the first layer, for the token after `tokens`."""
    return _digest(f"{prompt}\x00{''.join(tokens)}")


def run_layers(activation: int, first_layer: int, last_layer: int) -> int:
    """Run a range of layers over a state.

    Args:
        activation: The state before them, 64 bits.
        first_layer: First layer to run.
        last_layer: Layer after the last one.

    Returns:
        The state after them.
    """
    state = activation
    for layer in range(first_layer, last_layer):
        rotated = (state << _ROTATION_BITS | state >> (_STATE_BITS - _ROTATION_BITS)) & _STATE_MASK
        state = ((rotated ^ (layer + 1) * _LAYER_FACTOR) * _MIX_FACTOR) & _STATE_MASK
    return state


def token_of(activation: int) -> str:
    """Return the word, with a space before it, that the state after the last layer picks."""
    rest, onset = divmod(activation >> 16, len(_ONSETS))
    rest, rhyme = divmod(rest, len(_RHYMES))
    ending = rest % len(_ENDINGS)
    return f" {_ONSETS[onset]}{_RHYMES[rhyme]}{_ENDINGS[ending]}"


def reference_tokens(prompt: str, layers: int, count: int) -> list[str]:
    """Return the first tokens of the faultless answer.

    Args:
        prompt: The prompt text; `prompt_text` folds a chat into one.
        layers: Layers of the model.
        count: How many tokens; `answer_end` gives the whole answer's.

    Returns:
        The tokens in order; joined, they are the text.
    """
    tokens: list[str] = []
    for _ in range(count):
        tokens.append(token_of(run_layers(first_activation(prompt, tokens), 0, layers)))
    return tokens


def _digest(text: str) -> int:
    """Return 64 bits of a text's hash."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")
