"""Faults of a stand-in engine, switched on by its settings or `POST /admin/faults`."""

from __future__ import annotations

from typing import Literal

import msgspec

WrongAnswer = Literal[
    "",
    "doubled_layer",
    "skipped_layer",
    "crossed_request",
    "reordered_tokens",
    "duplicated_token",
    "truncated",
    "no_finish",
]
"""How an engine's answer is wrong; empty for not at all."""


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """All faults of one engine; the defaults are none."""

    crash_mark: str = ""
    """A prompt with this text crashes the engine at the first batch step that runs it."""

    die_after_tokens: int = 0
    """The engine crashes once a stream has run so many tokens on it; 0 for never."""

    slow_factor: float = 1.0
    """Makes each batch step so many times longer."""

    wrong_answer: WrongAnswer = ""
    """How answers are wrong; layer faults at any stage, the others at the head."""

    wrong_answer_index: int = 3
    """Index of the token from which the answer is wrong."""

    wrong_answer_streams: int = 1_000_000
    """How many streams get a wrong answer before they are right again."""

    busy: bool = False
    """Refuses every stream with 429."""

    retry_after: str = ""
    """Header `Retry-After` of such refusals; empty for none."""

    leaving: bool = False
    """Refuses every stream with 503 and reports itself leaving."""

    no_header: bool = False
    """Accepts calls and never answers."""


class FaultOrder(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Body of `POST /admin/faults`: what happens now, and the faults from now on."""

    crash: bool = False
    """Crash at once."""

    restart: bool = False
    """Come back after a crash in a shared process."""

    silence: bool = False
    """Every connection that is open now drops all bytes for good; new ones work."""

    faults: Faults | None = None
    """Replaces all faults; `None` leaves them."""
