"""Schema of a configuration file and of the merged configuration."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
"""A name of up to 64 letters, digits, dots, dashes and underscores."""

Positive = Annotated[int, msgspec.Meta(ge=1)]
"""An integer of at least 1."""

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
"""A number greater than 0."""

Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
"""A SHA-256 digest in lower-case hexadecimal."""


class Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A language model that callers may name."""

    name: Name
    """The name that callers send."""

    layers: Positive
    """Number of layers that a route must cover."""

    repeatable: bool = True
    """Whether a call without Idempotency-Key may be retried and resumed."""

    max_output_tokens: Positive = 1024
    """Maximum number of output tokens of one call."""


class Workspace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace of the operators: its tokens, share and limits."""

    name: Name
    """Its name in logs, limits and the ledger."""

    token_sha256s: list[Sha256Hex]
    """Digests of its bearer tokens; `pimentodale-ctl token` creates a token and its digest."""

    share: PositiveFloat = 1.0
    """Weight in the fair queue."""

    rate_requests_per_s: PositiveFloat | None = None
    """Requests per second over the whole site; `None` for no limit."""

    repeatable: bool = True
    """Whether its generations may be retried and resumed."""


class Operation(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One type of call to a plain service."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    """HTTP method."""

    path: str
    """Path, or a path prefix if it ends in `*`."""

    repeatable: bool
    """Whether a call may run more than once."""

    keyless: bool = False
    """Whether a non-repeatable call may omit Idempotency-Key; it is then sent only once."""

    timeout_ms: PositiveFloat = 10_000.0
    """Time limit of a call."""


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service behind `/services/<name>/`."""

    name: Name
    """Its name in the path."""

    operations: list[Operation]
    """Its calls; the first that matches applies."""


class LinkLimit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Throughput limit of the network path from one failure domain to another."""

    from_failure_domain: Name
    """Failure domain that sends activations."""

    to_failure_domain: Name
    """Failure domain that receives them."""

    tokens_per_s: PositiveFloat
    """Throughput in tokens per second."""

    scope: Literal["shared", "pair"] = "shared"
    """Whether the limit applies to all replicas together or to each pair of replicas."""


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits that operators may change while the system runs."""

    queue_requests: Positive = 512
    """Maximum number of queued requests at one entry host."""

    default_timeout_ms: PositiveFloat = 60_000.0
    """Time limit of a call that does not specify one."""

    chunk_timeout_ms: PositiveFloat = 1_500.0
    """Silence on a stream after which its connection is suspected."""

    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    """Retries allowed for each recent success."""

    links: list[LinkLimit] = []
    """Links whose throughput limits routes; others count as unlimited."""

    claim_retention_ms: PositiveFloat = 86_400_000.0
    """How long an outcome is retained for replay to repeated requests."""


class PlacedReplica(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An engine that should hold a range of a model's layers."""

    replica: Name
    """Name of the engine."""

    first_layer: Annotated[int, msgspec.Meta(ge=0)]
    """First layer that it should hold."""

    last_layer: Positive
    """Layer after the last one that it should hold."""


class Placement(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where a model's replicas should be and what they should hold."""

    model: Name
    """The model."""

    failure_domain: Name
    """The failure domain to which this placement applies."""

    min_serving_replicas: Annotated[int, msgspec.Meta(ge=0)] = 1
    """Minimum number of replicas that keep serving while another one changes."""

    version: str = ""
    """Version that engines should hold; empty leaves it unchanged."""

    adapters: list[str] = []
    """Adapters that engines should hold; empty leaves them unchanged."""

    role: Literal["", "prefill", "decode", "both"] = ""
    """Role that engines should have; empty leaves it unchanged."""

    load_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Bytes that one load reads from the weight store; 0 for loads that are not rate-limited."""

    replicas: list[PlacedReplica] = []
    """Engines that should hold the model, regardless of what they hold now."""

    unloaded: list[Name] = []
    """Engines that should hold nothing of the model."""


class ConfigurationFile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One file of the folder; a later file's entry replaces an earlier one of the same name."""

    models: list[Model] = []
    """Models by name."""

    workspaces: list[Workspace] = []
    """Workspaces by name."""

    services: list[Service] = []
    """Services by name."""

    placements: list[Placement] = []
    """Placements by model and failure domain."""

    limits: Limits | None = None
    """The complete limits; the last file that contains them applies."""

    removed: list[str] = []
    """Names such as `models/NAME` of entries of earlier files that are removed."""


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The merged configuration that a host uses."""

    revision: int = 0
    """Incremented by one with each accepted change; 0 before the first."""

    models: dict[str, Model] = {}
    """Models by name."""

    workspaces: dict[str, Workspace] = {}
    """Workspaces by name."""

    services: dict[str, Service] = {}
    """Services by name."""

    placements: list[Placement] = []
    """Placements in file order."""

    limits: Limits = Limits()
    """Limits in force."""
