"""What a configuration file may hold, and the merged whole."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
"""A name of up to 64 letters, digits, dots, dashes and underscores."""

Positive = Annotated[int, msgspec.Meta(ge=1)]
"""A whole number from 1 up."""

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
"""A number above 0."""

Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
"""A SHA-256 digest in lower-case hexadecimal."""


class Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A language model that callers may name."""

    name: Name
    """The name that callers send."""

    layers: Positive
    """How many layers a route has to tile."""

    repeatable: bool = True
    """Whether a call without Idempotency-Key may be retried and resumed."""

    max_output_tokens: Positive = 1024
    """Longest output of one call."""


class Workspace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A workspace."""

    name: Name
    """Its name in logs, limits and the ledger."""

    token_sha256s: list[Sha256Hex]
    """Digests of its bearer tokens; `pimentodale-ctl token` makes both."""

    share: PositiveFloat = 1.0
    """Weight in the fair queue."""

    rate_requests_per_s: PositiveFloat | None = None
    """Requests a second over the whole site; `None` for no limit."""

    repeatable: bool = True
    """Whether its generations may be retried and resumed."""


class Operation(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of call of a plain service."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    """HTTP method."""

    path: str
    """Path, or a prefix of it when it ends in `*`."""

    repeatable: bool
    """Whether a call may run more than once."""

    keyless: bool = False
    """Whether a non-repeatable call may come without Idempotency-Key; it then goes just once."""

    timeout_ms: PositiveFloat = 10_000.0
    """Longest time for a call."""


class Service(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plain service behind `/services/<name>/`."""

    name: Name
    """Its name in the path."""

    operations: list[Operation]
    """Its calls; the first that fits decides."""


class LinkLimit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What the way from one failure domain to another carries."""

    from_failure_domain: Name
    """Failure domain that activations leave."""

    to_failure_domain: Name
    """Failure domain that they enter."""

    tokens_per_s: PositiveFloat
    """Tokens a second that it carries."""

    scope: Literal["shared", "pair"] = "shared"
    """Whether that holds for all replicas together, or for each pair of replicas."""


class Limits(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits that operators may change while the system runs."""

    queue_requests: Positive = 512
    """Requests that may wait at one entry host."""

    default_timeout_ms: PositiveFloat = 60_000.0
    """Deadline of a call that names none."""

    chunk_timeout_ms: PositiveFloat = 1_500.0
    """Silence on a stream after which its connection is suspected."""

    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    """Retries allowed for each recent success."""

    links: list[LinkLimit] = []
    """Links that are slow enough to matter for routes; others count as unlimited."""

    claim_retention_ms: PositiveFloat = 86_400_000.0
    """How long an outcome can be replayed to a re-send."""


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
    """The failure domain that the line speaks of."""

    min_serving_replicas: Annotated[int, msgspec.Meta(ge=0)] = 1
    """Replicas that must go on serving while one changes."""

    version: str = ""
    """Version that engines should hold; empty leaves it alone."""

    adapters: list[str] = []
    """Adapters that engines should hold; empty leaves them alone."""

    role: Literal["", "prefill", "decode", "both"] = ""
    """Role that engines should have; empty leaves it alone."""

    load_bytes: Annotated[int, msgspec.Meta(ge=0)] = 0
    """Octets that one load reads from the weight store; 0 for loads that are not paced."""

    replicas: list[PlacedReplica] = []
    """Engines that should hold the model, whatever they hold now."""

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
    """All limits together; the last file that has them decides."""

    removed: list[str] = []
    """Names of the kind `models/NAME` that earlier files gave and that are taken out."""


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The merged whole that a host works by."""

    revision: int = 0
    """Rises by one with each accepted change; 0 before the first."""

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
