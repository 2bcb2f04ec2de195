"""Decodes the operators' configuration from the platform's record."""

from __future__ import annotations

import math
from typing import Any

import msgspec
from expression import Error, Ok, Result

from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.site.model import (
    AcceleratorKind,
    BackendService,
    ClientLimits,
    EngineModel,
    Repeatability,
    RouteRule,
    ServiceShare,
    SiteConfiguration,
    WorkspaceAccess,
)

CONFIGURATION_KEY = "op/config"
"""Store key of the current configuration."""

REPEATABILITY = {
    "idempotent": Repeatability.IDEMPOTENT,
    "non_idempotent": Repeatability.ONCE,
    "streaming": Repeatability.STREAM,
}
"""Repeatability by the platform's word for a route's kind."""


class WireSplit(msgspec.Struct):
    """A service's share of a route, as the platform writes it."""

    service: str
    weight: float = 1.0


class WireRoute(msgspec.Struct):
    """A route, as the platform writes it."""

    host: str
    path_prefix: str
    name: str = ""
    kind: str = "non_idempotent"
    timeout_ms: float | None = None
    target_latency_ms: float = 1_000.0
    priority: int = 5
    service: str = ""
    traffic_split: list[WireSplit] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0


class WireKind(msgspec.Struct):
    """An accelerator kind, as the platform writes it."""

    name: str
    # Memory for layers and requests, in MB.
    mb: float
    # Factor on the time of a step.
    pace: float = 1.0
    # Factor on the prefill time.
    read_x: float = 1.0


class _Model(msgspec.Struct):
    # Seconds to load the weights of all layers.
    load_s: float = 0.0


class _TypicalRequest(msgspec.Struct):
    prompt: float = 500.0
    answer: float = 200.0


class _Delay(msgspec.Struct):
    delay_ms: float = 0.0


class WireEngine(msgspec.Struct):
    """An engine's parameters, as the platform writes them."""

    slots: int = 1
    layers: int = 1
    layer_mb: float = 0.0
    # KV cache memory per token across all layers, in bytes.
    kv_bytes: float = 1.0
    step_ms: float = 1.0
    # Additional time of a step for each sequence in the batch.
    per_seq_ms: float = 0.0
    # Additional time of a step in ms for each 1,000 tokens of context in the batch.
    context_per_k: float = 0.0
    # Prefill speed in tokens per second.
    read_per_s: float = 1_000.0
    # Tokens generated per pass; a stream gets one event after each pass.
    stride: int = 1
    # Loads that may run at once without slowing each other; 0 for no limit.
    loads_at_once: int = 0
    # Bytes that a replica sends to the next stage for each token.
    activation_bytes: float = 0.0
    # Bandwidth between two zones, shared by all requests; 0 if unknown.
    pipe_mbps: float = 0.0
    # One-way network delays between pairs of zones.
    delays: list[_Delay] = []
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)
    models: list[_Model] = []
    kinds: list[WireKind] = []


class WireService(msgspec.Struct):
    """A service, as the platform writes it."""

    name: str
    health_path: str = "/health"
    max_conns: int = 0
    engine: WireEngine | None = None


class WireTenant(msgspec.Struct):
    """A workspace, as the platform writes it."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireLimits(msgspec.Struct):
    """Limits on client requests, as the platform writes them."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class WireConfiguration(msgspec.Struct):
    """The whole record, as the platform writes it."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] | None = None


def read_record(value: bytes) -> Result[WireConfiguration, str]:
    """Read the record without translating it.

    Args:
        value: The record's JSON.

    Returns:
        The record, or the decoder's message.
    """
    try:
        return Ok(msgspec.json.decode(value, type=WireConfiguration))
    except UNREADABLE as error:
        return Error(str(error))


def decode_configuration(value: bytes) -> Result[SiteConfiguration, str]:
    """Decode the configuration.

    Args:
        value: The record's JSON.

    Returns:
        The configuration, or the reason why it can't be decoded.
    """
    read = read_record(value)
    if read.is_error():
        return Error(f"the configuration can't be read: {read.error}")
    raw = read.ok
    workspaces: dict[str, WorkspaceAccess] = {}
    for tenant in raw.tenants or []:
        access = WorkspaceAccess(tenant.name, tenant.priority)
        workspaces.update(dict.fromkeys(tenant.api_keys, access))
    return Ok(
        SiteConfiguration(
            version=raw.version,
            routes=tuple(_route(route) for route in raw.routes),
            services={service.name: _service(service) for service in raw.services},
            workspaces=workspaces,
            needs_keys=raw.tenants is not None,
            limits=ClientLimits(**_limits_by_name(raw.limits)),
        )
    )


def _limits_by_name(limits: WireLimits) -> dict[str, Any]:
    """Return the limits by name; the platform and `ClientLimits` use the same names."""
    return msgspec.structs.asdict(limits)


def _route(raw: WireRoute) -> RouteRule:
    """Translate one route."""
    splits = raw.traffic_split or [WireSplit(raw.service)]
    return RouteRule(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.path_prefix,
        repeatability=REPEATABILITY.get(raw.kind, Repeatability.ONCE),
        timeout_ms=math.inf if raw.timeout_ms is None else raw.timeout_ms,
        target_latency_ms=raw.target_latency_ms,
        priority=raw.priority,
        shares=tuple(ServiceShare(split.service, split.weight) for split in splits),
        max_attempts=max(1, raw.max_attempts),
        is_public=raw.public,
        is_resumable=raw.resumable,
        gap_target_ms=raw.gap_target_ms,
    )


def _service(raw: WireService) -> BackendService:
    """Translate one service."""
    engine = None if raw.engine is None else _engine(raw.engine)
    return BackendService(raw.name, raw.health_path, raw.max_conns, engine)


def _engine(raw: WireEngine) -> EngineModel:
    """Translate an engine's parameters."""
    load_s = max((model.load_s for model in raw.models), default=0.0)
    kinds = {
        kind.name: AcceleratorKind(memory_mb=kind.mb, pace=kind.pace, prefill_pace=kind.read_x)
        for kind in raw.kinds
    }
    return EngineModel(
        layers=raw.layers,
        layer_mb=raw.layer_mb,
        load_ms=load_s * 1_000.0,
        concurrent_loads=raw.loads_at_once,
        step_ms=raw.step_ms,
        per_sequence_ms=raw.per_seq_ms,
        per_context_k_ms=raw.context_per_k,
        prefill_tokens_per_ms=raw.read_per_s / 1_000.0,
        tokens_per_event=max(1, raw.stride),
        kv_bytes_per_token=raw.kv_bytes,
        slots=raw.slots,
        mean_prompt_tokens=raw.usual.prompt,
        mean_answer_tokens=raw.usual.answer,
        kinds=kinds,
        activation_bytes=raw.activation_bytes,
        pipe_mbps=raw.pipe_mbps,
        domain_delay_ms=max((item.delay_ms for item in raw.delays), default=0.0),
    )
