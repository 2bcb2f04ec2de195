"""What requests are made of: the two users' mixes, and mixes of one's own."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Literal

import msgspec

if TYPE_CHECKING:
    import random

RequestKind = Literal["generation", "lookup", "submission"]
"""Text from a model, a repeatable call of a service, or one that must not repeat."""

_WORDS: Final = [
    "strain",
    "curve",
    "sample",
    "steel",
    "composite",
    "polymer",
    "anomaly",
    "certificate",
    "rig",
    "booking",
    "tariff",
    "switch",
    "customer",
    "letter",
    "meter",
    "contract",
    "supplier",
    "queue",
    "reply",
    "notice",
]


class RequestShape(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of request of a mix."""

    name: str
    """Its name in results."""

    weight: float
    """Its share among the mix's shapes."""

    kind: RequestKind
    """What it asks for."""

    prompt_words: int = 40
    """Words of a generation's prompt."""

    max_tokens: int = 32
    """Longest answer of a generation."""

    shared_prefix: bool = False
    """Whether prompts of a workspace start alike, as templates do."""

    path: str = ""
    """Path of a service's call."""

    method: str = "GET"
    """Method of a service's call."""

    resend_chance: float = 0.0
    """Chance that a submission is sent once more under the same key."""


MIXES: Final[dict[str, tuple[RequestShape, ...]]] = {
    "trekvast": (
        RequestShape(
            name="summary", weight=60, kind="generation", prompt_words=80, shared_prefix=True
        ),
        RequestShape(name="certificate", weight=15, kind="generation", max_tokens=64),
        RequestShape(name="rig-status", weight=15, kind="lookup", path="/services/rigs/status/7"),
        RequestShape(
            name="reservation",
            weight=10,
            kind="submission",
            method="POST",
            path="/services/rigs/reservations",
            resend_chance=0.2,
        ),
    ),
    "voltwissel": (
        RequestShape(name="draft", weight=50, kind="generation", shared_prefix=True),
        RequestShape(name="lookup", weight=35, kind="lookup", path="/services/rigs/status/7"),
        RequestShape(
            name="switch",
            weight=15,
            kind="submission",
            method="POST",
            path="/services/rigs/reservations",
            resend_chance=0.3,
        ),
    ),
    "generations": (RequestShape(name="text", weight=1, kind="generation"),),
}
"""Mixes by name."""


def prompt_of(shape: RequestShape, workspace: str, rng: random.Random) -> str:
    """Write a prompt.

    Args:
        shape: Says how long it is and how it starts.
        workspace: Whose template a shared prefix is.
        rng: Source of its words.
    """
    prefix = f"{workspace} {shape.name} template " * 12 if shape.shared_prefix else ""
    words = " ".join(rng.choices(_WORDS, k=shape.prompt_words))
    return f"{prefix}{words} {rng.getrandbits(64):016x}"
