"""Finds the lines of the values of a JSON text."""

from __future__ import annotations

import re
from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Final

MAX_DEPTH: Final = 100
"""Depth to which paths are kept; the configuration's own fields nest 6 deep."""

_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},:]|[^\s\[\]{},:"]+', re.DOTALL)


@dataclass(slots=True)
class JsonPositions:
    """Where the values of a text begin."""

    newlines: list[int]
    """Offsets of the line ends."""

    offsets: dict[str, int] = field(default_factory=dict)
    """Offset of each value by path, such as `$.routes[3].host`."""

    fields: list[tuple[str, str]] = field(default_factory=list)
    """Path of an object and name of a field of it, in the order of the text."""

    depth: int = 0
    """Maximum number of objects and arrays inside each other."""

    def line_of(self, path: str) -> int | None:
        """Return the line of a value, or of the nearest value around it that the text has."""
        while path:
            offset = self.offsets.get(path)
            if offset is not None:
                return 1 + bisect_left(self.newlines, offset)
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return None


@dataclass(slots=True)
class _Level:
    """An object or array that the scan is in."""

    path: str
    is_object: bool
    index: int = 0
    name: str | None = None

    def next_path(self) -> str:
        """Return the path of the value that comes next."""
        return f"{self.path}.{self.name}" if self.is_object else f"{self.path}[{self.index}]"


def locate_values(text: bytes) -> JsonPositions:
    """Locate the values of a JSON text; stops at the first token that doesn't fit.

    The scan doesn't recurse, so that deep nesting can't end it.

    Args:
        text: The text.
    """
    found = JsonPositions([end.start() for end in re.finditer(rb"\n", text)])
    levels: list[_Level] = []
    for token in _TOKEN.finditer(text):
        mark = token.group()
        top = levels[-1] if levels else None
        if mark == b":":
            continue
        if mark == b",":
            if top is None:
                break
            top.index += 1
            top.name = None
            continue
        if mark in (b"]", b"}"):
            if top is None:
                break
            levels.pop()
            continue
        if top is not None and top.is_object and top.name is None:
            top.name = mark.strip(b'"').decode(errors="replace")
            found.fields.append((top.path, top.name))
            continue
        path = "$" if top is None else top.next_path()
        found.offsets[path] = token.start()
        if mark in (b"[", b"{"):
            # Paths of very deep values would take memory with the square of the depth.
            levels.append(_Level(path if len(levels) < MAX_DEPTH else "$...", mark == b"{"))
            found.depth = max(found.depth, len(levels))
    return found
