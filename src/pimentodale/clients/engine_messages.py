"""Messages of the engines' extension, as docs/reference/protocols.md gives them.

The router's client and the stand-in engine share these types, so that they can't drift apart.
"""

from __future__ import annotations

from typing import Final, Literal

import msgspec

PREFIX_CHARS: Final = 256
"""Characters of a prompt that a prefix hash covers."""

EngineState = Literal["live", "leaving", "loading"]
"""Whether an engine takes new work."""


class Hop(msgspec.Struct, frozen=True):
    """One stage of a route."""

    replica: str
    """Name of the engine."""

    address: str
    """Its `IP:PORT`."""

    first_layer: int
    """First layer that it runs."""

    last_layer: int
    """Layer after the last one that it runs."""


class StageReceipt(msgspec.Struct, frozen=True):
    """An engine's word that it ran layers for one token."""

    replica: str
    """Name of the engine."""

    first_layer: int
    """First layer that it ran."""

    last_layer: int
    """Layer after the last one that it ran."""


class EngineCall(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Field `pimentodale` of a completion request to an engine."""

    request_id: str
    """The caller's request."""

    attempt: int
    """Counts the router's attempts at it, from 1."""

    workspace: str = ""
    """The caller's workspace."""

    priority: int = 0
    """Higher goes first."""

    route: list[Hop]
    """Stages in the order of their layers; the first is the engine called."""

    resume_tokens: list[str] = []
    """Tokens that the caller has already; the answer goes on after them."""

    kv_source: str = ""
    """`IP:PORT` of an engine that may export the KV cache; empty to recompute."""


class TokenNote(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Field `pimentodale` of a chunk from an engine."""

    request_id: str
    """The request that the chunk answers."""

    attempt: int
    """The attempt that it answers."""

    index: int = -1
    """The token's place in the whole answer; -1 in a chunk without token."""

    token: str = ""
    """The token's text."""

    receipt: list[StageReceipt] = []
    """Who ran which layers, in the order that they ran."""

    stage_lost: str = ""
    """Name of a stage that was lost; the stream ends here."""


class EngineRefusal(msgspec.Struct, frozen=True, omit_defaults=True):
    """Field `pimentodale` of an engine's 4xx or 5xx answer."""

    busy: str = ""
    """Name of a stage whose slots are all taken."""

    leaving: str = ""
    """Name of a stage that takes no new work."""

    mismatch: str = ""
    """Why the route does not fit the engine."""

    stage_lost: str = ""
    """Name of a stage that could not be reached."""

    request_id: str = ""
    """The request that was refused; empty where the engine does not say."""

    attempt: int = 0
    """The attempt that was refused, where the request is named."""

    def concerns(self, call: EngineCall) -> bool:
        """Whether it refuses a call; one that names no request does.

        Args:
            call: The call that it answers.
        """
        named = (self.request_id, self.attempt)
        return not self.request_id or named == (call.request_id, call.attempt)


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /v1/pimentodale/load`."""

    replica: str
    """Name of the engine."""

    model: str
    """Model that it holds a range of."""

    first_layer: int
    """First layer that it holds."""

    last_layer: int
    """Layer after the last one that it holds."""

    slots: int
    """Streams that it holds at once."""

    active: int
    """Streams that it holds now."""

    queued: int = 0
    """Streams that wait for a slot."""

    tokens_per_s: float
    """Rated tokens a second for its range."""

    state: EngineState = "live"
    """Whether it takes new work."""

    version: str = ""
    """Version of the model."""

    adapters: list[str] = []
    """Adapters that are loaded."""

    role: str = "both"
    """`prefill`, `decode` or `both`."""

    boot_id: str = ""
    """Changes with each start of the engine."""


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix that came into an engine's cache or left it."""

    sequence: int
    """Counts the engine's events; gaps happen."""

    prefix_hash: str
    """SHA-256 (hex) of the prompt's first `PREFIX_CHARS` characters."""

    stored: bool
    """Whether it came (or left)."""


class CacheEvents(msgspec.Struct, frozen=True):
    """Answer of `GET /v1/pimentodale/cache_events`."""

    events: list[CacheEvent]
    """Events after the asked-for sequence number."""

    next: int
    """Sequence number to ask for next."""


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of `POST /v1/pimentodale/orders`; it names the wished end, so a repeat is harmless."""

    fencing_number: int
    """Number of the steward's lease; engines that check refuse one lower than the highest seen."""

    order: Literal["load", "unload", "adapter", "version", "role", "drain"]
    """What is wished."""

    model: str = ""
    """For `load`: the model."""

    version: str = ""
    """For `load` and `version`: the version."""

    adapters: list[str] = []
    """For `load` and `adapter`: all adapters that the engine should hold."""

    role: str = ""
    """For `load` and `role`: `prefill`, `decode` or `both`."""

    first_layer: int = 0
    """For `load`: first layer to hold."""

    last_layer: int = 0
    """For `load`: layer after the last one to hold."""


class EngineHolding(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine holds, or should."""

    model: str
    """The model; empty for none."""

    version: str
    """Its version."""

    adapters: list[str]
    """Its adapters."""

    role: str
    """`prefill`, `decode` or `both`."""

    first_layer: int
    """First layer."""

    last_layer: int
    """Layer after the last one."""

    state: EngineState
    """Whether it takes new work."""


class EngineStateReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /v1/pimentodale/state` and of an order that was taken."""

    replica: str
    """Name of the engine."""

    wished: EngineHolding
    """What it was ordered to hold."""

    reached: EngineHolding
    """What it holds."""

    highest_fencing_number: int
    """Highest number of an order that it has followed; 0 before the first."""


class RequestProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of `GET /v1/pimentodale/progress`: how far the head is with a request."""

    request_id: str
    """The request."""

    attempt: int
    """The attempt that the head works on."""

    tokens: int
    """Tokens of the whole answer that it has so far, resumed ones included."""
