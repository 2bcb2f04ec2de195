"""Reading bytes of other writers, which may hold anything."""

from __future__ import annotations

import re
from typing import Final

import msgspec

UNREADABLE: Final = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
"""What decoding may raise: wrong types, odd text, numbers that are too large, deep nesting."""

MAX_LAYERS: Final = 10_000
"""Maximum number of layers of a model that is believed."""

MAX_COUNT: Final = 2**31
"""Maximum of other numbers of things that is believed."""

MAX_DIGITS: Final = 18
"""Maximum length of a whole number that is read; such a number fits into 64 bits."""

MAX_SHOWN_CHARACTERS: Final = 80
"""Maximum length of foreign text in a log line or a message."""

_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},]', re.DOTALL)


def split_json_array(octets: bytes) -> list[bytes] | None:
    """Split a JSON array into the text of its elements, however deep they nest.

    Args:
        octets: The array.

    Returns:
        The elements, undecoded and not checked; `None` if it is no array.
    """
    start = octets.find(b"[")
    if start < 0 or octets[:start].strip():
        return None
    elements: list[bytes] = []
    depth = 0
    begun = start + 1
    for token in _TOKEN.finditer(octets, start):
        mark = token.group()
        if mark in (b"[", b"{"):
            depth += 1
        elif mark in (b"]", b"}"):
            depth -= 1
        if depth == 0 or (depth == 1 and mark == b","):
            elements.append(octets[begun : token.start()].strip())
            begun = token.end()
        if depth == 0:
            is_whole = mark == b"]" and not octets[token.end() :].strip()
            return [element for element in elements if element] if is_whole else None
    return None


def read_whole_number(text: str | bytes) -> int | None:
    """Read a number of ASCII digits; `None` for any other text.

    Args:
        text: The text. `str.isdigit` accepts characters that `int` doesn't, such as superscripts.
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def shorten(text: str) -> str:
    """Return foreign text cut to the length in which it is shown."""
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."
