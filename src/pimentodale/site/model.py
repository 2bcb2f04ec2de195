"""Platform-independent model of a site's configuration and replicas."""

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
    """How often a request may be executed."""

    IDEMPOTENT = "idempotent"
    """As often as needed."""

    ONCE = "once"
    """At most once for each attempt of the client."""

    STREAM = "stream"
    """A stream of events; repeatable only by resuming it, if its route allows that."""


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service's share of a route's requests."""

    service: str
    """Name of the service."""

    weight: float
    """Weight of the service among those of the route."""


@dataclass(slots=True, frozen=True)
class RouteRule:
    """Handling of the requests with one host name and path prefix."""

    name: str
    """Name assigned by the operators."""

    host: str
    """Host name of the route, in lower case."""

    path_prefix: str
    """Path prefix; begins and ends with a slash."""

    repeatability: Repeatability
    """How often a request may be executed."""

    timeout_ms: float
    """Maximum time that a client waits; infinite if none is set."""

    target_latency_ms: float
    """Target time to the answer, or to the first event of a stream."""

    priority: int
    """Priority; 0 is the highest."""

    shares: tuple[ServiceShare, ...]
    """Services that handle the requests."""

    max_attempts: int
    """Maximum number of replicas to which one client attempt may be sent."""

    is_public: bool
    """Whether requests need no API key."""

    is_resumable: bool
    """Whether a stream may be resumed at another replica."""

    gap_target_ms: float
    """Target for the longest pause between two events of a stream."""


@dataclass(slots=True, frozen=True)
class AcceleratorKind:
    """Properties of one kind of accelerator."""

    memory_mb: float
    """Memory for model layers and requests."""

    pace: float
    """Factor on the step times of the engine model."""

    prefill_pace: float
    """Factor on the prefill times of the engine model."""


@dataclass(slots=True, frozen=True)
class EngineModel:
    """Performance figures of the engine that a service's replicas run."""

    layers: int
    """Number of layers of the model."""

    layer_mb: float
    """Memory for the weights of one layer."""

    load_ms: float
    """Time to load the weights of all layers."""

    concurrent_loads: int
    """Number of loads that may run at once without slowing each other down; 0 for no limit."""

    step_ms: float
    """Base time of one decode step through all layers."""

    per_sequence_ms: float
    """Additional step time per sequence in the batch."""

    per_context_k_ms: float
    """Additional step time per 1,000 tokens of context in the batch."""

    prefill_tokens_per_ms: float
    """Prompt tokens prefilled per millisecond."""

    tokens_per_event: int
    """Tokens in one event of a stream, which is the number of decode steps between two events."""

    kv_bytes_per_token: float
    """KV cache memory of one token in all layers."""

    slots: int
    """Number of concurrent requests that a replica accepts as the first of their path."""

    mean_prompt_tokens: float
    """Mean prompt length."""

    mean_answer_tokens: float
    """Mean answer length."""

    kinds: dict[str, AcceleratorKind]
    """Accelerator kinds by name."""

    activation_bytes: float = 0.0
    """Bytes that a replica sends to the next one for each token."""

    pipe_mbps: float = 0.0
    """Bandwidth of the link between two failure domains, shared by all requests; 0 if unknown."""

    domain_delay_ms: float = 0.0
    """Maximum one-way delay between two failure domains."""

    def prompt_transfer_ms(self, tokens: float) -> float:
        """Return how long a prompt transfer occupies the link between two failure domains."""
        if self.pipe_mbps <= 0:
            return 0.0
        return tokens * self.activation_bytes * BITS_PER_BYTE / (self.pipe_mbps * BITS_PER_MS)

    def kv_capacity(self, kind: AcceleratorKind, layers: int) -> float:
        """Return the KV cache capacity in tokens x layers, next to `layers` layers of weights."""
        free_mb = kind.memory_mb - layers * self.layer_mb
        return max(0.0, free_mb * 1e6 * self.layers / max(1.0, self.kv_bytes_per_token))


@dataclass(slots=True, frozen=True)
class BackendService:
    """A service provided by replicas."""

    name: str
    """Name of the service."""

    health_path: str
    """Path of its health check."""

    max_connections: int
    """Maximum number of connections that a replica accepts in total."""

    engine: EngineModel | None
    """Performance figures of its engine; `None` for a plain service."""


@dataclass(slots=True, frozen=True)
class WorkspaceAccess:
    """A workspace that an API key gives access to."""

    name: str
    """Name of the workspace."""

    priority: int | None
    """Priority that overrides the route's; `None` if not set."""


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on client requests."""

    max_header_bytes: int = 16 * 1024
    """Maximum size of a request header."""

    max_body_bytes: int = 4 * 1024 * 1024
    """Maximum size of a request body."""

    header_timeout_ms: float = 3_000.0
    """Maximum time to receive a header."""

    idle_timeout_ms: float = 15_000.0
    """Maximum idle time of a persistent connection."""


@dataclass(slots=True, frozen=True)
class SiteConfiguration:
    """One version of the operators' configuration."""

    version: int
    """Version number; increases with each change."""

    routes: tuple[RouteRule, ...]
    """All routes."""

    services: dict[str, BackendService]
    """Services by name."""

    workspaces: dict[str, WorkspaceAccess]
    """Workspaces by API key."""

    needs_keys: bool
    """Whether routes that are not public need an API key."""

    limits: ClientLimits = field(default_factory=ClientLimits)
    """Limits on client requests."""


@dataclass(slots=True, frozen=True)
class LayerRange:
    """Layers from `first` up to, but not including, `end`."""

    first: int
    """First layer."""

    end: int
    """Layer after the last one."""

    def __len__(self) -> int:
        """Return the number of layers."""
        return self.end - self.first


@dataclass(slots=True, frozen=True)
class ReplicaRecord:
    """Registration record of one incarnation of a replica."""

    replica_id: str
    """Id of the replica; usually new with each start."""

    service: str
    """Service that the replica provides."""

    address: Address
    """Address that the replica listens on."""

    failure_domain: str
    """Failure domain of the replica."""

    is_draining: bool
    """Whether the replica has announced its departure."""

    started_ms: int
    """Unix time of its start; distinguishes two starts with the same id."""

    kind: str
    """Accelerator kind; empty for a plain service."""

    held: LayerRange | None
    """Layers that the replica holds and serves; `None` if there are none."""

    slots: int
    """Number of requests that the replica runs concurrently."""
