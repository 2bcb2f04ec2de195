"""Files that describe a run."""

from __future__ import annotations

from typing import Annotated

import msgspec

from pimentodale.load.arrivals import Arrivals
from pimentodale.load.mixes import MIXES, RequestShape

MAX_REQUESTS: int = 1_000_000
"""Most requests of one run."""


class LoadWorkspace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace that sends."""

    name: str
    """Its name."""

    token: str
    """Its bearer token."""

    weight: float = 1.0
    """Its share of the requests."""


class RunPlan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One run of load."""

    entries: Annotated[list[str], msgspec.Meta(min_length=1)]
    """`IP:PORT` of the entry hosts; each request goes to one of them by chance."""

    workspaces: Annotated[list[LoadWorkspace], msgspec.Meta(min_length=1)]
    """Who sends."""

    model: str
    """Model that generations ask for."""

    arrivals: Arrivals
    """When requests are sent."""

    duration_ms: Annotated[float, msgspec.Meta(gt=0, le=3_600_000)] = 10_000.0
    """How long requests are sent."""

    timeout_ms: Annotated[float, msgspec.Meta(gt=0)] = 20_000.0
    """Deadline of each request."""

    mix: str = "generations"
    """Name of a mix; `shapes` goes before it."""

    shapes: list[RequestShape] = []
    """A mix of one's own."""

    max_requests: Annotated[int, msgspec.Meta(ge=1, le=MAX_REQUESTS)] = 100_000
    """Requests after which no more are sent."""

    seed: int = 1
    """Seed of all choices."""

    beyond_loopback: bool = False
    """Whether entries may be outside of the loopback range."""


def shapes_of(plan: RunPlan) -> tuple[RequestShape, ...]:
    """Return the shapes of a plan's mix; empty for an unknown mix."""
    return tuple(plan.shapes) or MIXES.get(plan.mix, ())
