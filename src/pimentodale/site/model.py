"""Configuration and replicas of a site in the project's own terms."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pimentodale.addresses import Address

BITS_PER_BYTE: Final = 8.0
"""Bits in a byte."""

BITS_PER_MS: Final = 1_000.0
"""Bits that a Mbit/s carries in a ms."""


class Repeatability(Enum):
    """How often one request may run."""

    IDEMPOTENT = "idempotent"
    """As often as needed."""

    ONCE = "once"
    """At most once for each attempt of the client."""

    STREAM = "stream"
    """A stream of events; repeatable only by resuming it, where its route allows that."""


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service's part of a route's requests."""

    service: str
    """Name of the service."""

    weight: float
    """Its weight among the route's services."""


@dataclass(slots=True, frozen=True)
class RouteRule:
    """How requests under one host name and path prefix are handled."""

    name: str
    """Name that operators gave it."""

    host: str
    """Host name that it belongs to, in lower case."""

    path_prefix: str
    """Prefix of the paths; it begins and ends with a slash."""

    repeatability: Repeatability
    """How often a request may run."""

    timeout_ms: float
    """Longest time that a client is kept waiting; infinite where none is set."""

    target_latency_ms: float
    """Time to the answer, or to a stream's first event, that operators aim at."""

    priority: int
    """Rank; 0 goes first."""

    shares: tuple[ServiceShare, ...]
    """The services that it leads to."""

    max_attempts: int
    """Replicas that one attempt of a client may be sent to."""

    is_public: bool
    """Whether it needs no API key."""

    is_resumable: bool
    """Whether a stream may be resumed at another replica."""

    gap_target_ms: float
    """Longest pause between events of a stream that is still on time."""


@dataclass(slots=True, frozen=True)
class AcceleratorKind:
    """What sets one kind of accelerator apart."""

    memory_mb: float
    """Memory for layers and for requests."""

    pace: float
    """How many times longer a step takes than the engine's figures say."""

    read_pace: float
    """How many times longer prompts take to read."""


@dataclass(slots=True, frozen=True)
class EngineModel:
    """Figures of the engine that a service's replicas run."""

    layers: int
    """Layers of the model."""

    layer_mb: float
    """Memory that a layer's weights take."""

    load_ms: float
    """Time to load the weights of all layers."""

    concurrent_loads: int
    """Loads that may run at once without slowing each other; 0 for no limit."""

    step_ms: float
    """Time of one token step through all layers."""

    per_sequence_ms: float
    """Further time of a step for each sequence in the batch."""

    per_context_k_ms: float
    """Further time of a step for each 1,000 tokens of context in the batch."""

    read_tokens_per_ms: float
    """Prompt tokens read in a millisecond."""

    tokens_per_event: int
    """Tokens that an event of a stream holds: the steps of a batch between two events."""

    kv_bytes_per_token: float
    """Memory of one token in all layers."""

    slots: int
    """Requests that a replica takes as the first of their path."""

    usual_prompt_tokens: float
    """Mean prompt."""

    usual_answer_tokens: float
    """Mean answer."""

    kinds: dict[str, AcceleratorKind]
    """Accelerators by name."""

    activation_bytes: float = 0.0
    """What a replica passes on to the next one for each token."""

    pipe_mbps: float = 0.0
    """Bandwidth between two failure domains, which all requests share; 0 where it is not known."""

    domain_delay_ms: float = 0.0
    """Longest one-way delay between two failure domains."""

    def prompt_transfer_ms(self, tokens: float) -> float:
        """Return how long a prompt of some tokens takes the pipe between two failure domains."""
        if self.pipe_mbps <= 0:
            return 0.0
        return tokens * self.activation_bytes * BITS_PER_BYTE / (self.pipe_mbps * BITS_PER_MS)

    def kv_capacity(self, kind: AcceleratorKind, layers: int) -> float:
        """Return the tokens x layers that fit beside `layers` layers of weights."""
        free_mb = kind.memory_mb - layers * self.layer_mb
        return max(0.0, free_mb * 1e6 * self.layers / max(1.0, self.kv_bytes_per_token))


@dataclass(slots=True, frozen=True)
class BackendService:
    """A service that replicas serve."""

    name: str
    """Name of the service."""

    health_path: str
    """Path of its health check."""

    max_connections: int
    """Connections that a replica accepts from all callers together."""

    engine: EngineModel | None
    """Figures of its engine; `None` for a plain service."""


@dataclass(slots=True, frozen=True)
class WorkspaceAccess:
    """A workspace, as its API keys open it."""

    name: str
    """Name of the workspace."""

    priority: int | None
    """Rank that goes before the route's; `None` where none is set."""


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """What a client may send."""

    max_header_bytes: int = 16 * 1024
    """Largest request header."""

    max_body_bytes: int = 4 * 1024 * 1024
    """Largest request body."""

    header_timeout_ms: float = 3_000.0
    """Longest time that a header may take."""

    idle_timeout_ms: float = 15_000.0
    """Longest time that a kept connection may be idle."""


@dataclass(slots=True, frozen=True)
class SiteConfiguration:
    """One version of the operators' configuration."""

    version: int
    """Rises with each change."""

    routes: tuple[RouteRule, ...]
    """All routes."""

    services: dict[str, BackendService]
    """Services by name."""

    workspaces: dict[str, WorkspaceAccess]
    """Workspaces by API key."""

    needs_keys: bool
    """Whether routes that are not public need an API key."""

    limits: ClientLimits = field(default_factory=ClientLimits)
    """Limits on clients."""


@dataclass(slots=True, frozen=True)
class LayerRange:
    """Layers from `first` up to before `end`."""

    first: int
    """First layer."""

    end: int
    """Layer after the last."""

    def __len__(self) -> int:
        """Return the number of layers."""
        return self.end - self.first


@dataclass(slots=True, frozen=True)
class ReplicaRecord:
    """One incarnation of a replica, as it registered itself."""

    replica_id: str
    """Its identity; mostly new with each start."""

    service: str
    """Service that it serves."""

    address: Address
    """Where it listens."""

    failure_domain: str
    """Failure domain that it stands in."""

    is_draining: bool
    """Whether it has announced that it leaves."""

    started_ms: int
    """Unix time of its start: tells two starts under one identity apart."""

    kind: str
    """Its accelerator; empty for a plain service."""

    held: LayerRange | None
    """Layers that it holds and serves."""

    slots: int
    """Requests that it runs at once."""
