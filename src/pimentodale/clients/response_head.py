"""Checks the head of a response, whatever the installed HTTP library lets through."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

FINAL_STATUSES: Final = range(200, 600)
"""Statuses of final responses (RFC 9110, section 15)."""

INTERIM_STATUSES: Final = range(100, 200)
"""Statuses of responses that a final one follows."""

SWITCHING_PROTOCOLS: Final = 101
"""Status after which no HTTP follows; no request of ours asks for it."""

MAX_SHOWN_CHARS: Final = 40
"""Characters of an invalid name that an error shows."""

_FIELD_NAME: Final = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def find_head_problem(status: int, fields: Iterable[tuple[str, str]]) -> str | None:
    """Return why the head of a response is not valid HTTP/1.1; `None` if it is.

    Args:
        status: The status code.
        fields: Names and values of the header fields.
    """
    if status not in FINAL_STATUSES and status not in INTERIM_STATUSES:
        return f"the status {status:03d} is not valid"
    if status == SWITCHING_PROTOCOLS:
        return "it switches to another protocol, which was not requested"
    for name, value in fields:
        if not _FIELD_NAME.fullmatch(name):
            return f"the field name {name[:MAX_SHOWN_CHARS]!r} is not valid"
        if _CONTROL.search(value):
            return f"the field {name[:MAX_SHOWN_CHARS]} has a control character"
    return None
