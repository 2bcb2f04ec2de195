"""What the host list says that there is: engines, plain services and entry hosts."""

from __future__ import annotations

import msgspec

from pimentodale.addresses import Address


class EngineTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A model engine that holds a range of a model's layers."""

    replica: str
    """Name of the backend server; unique within the site."""

    address: Address
    """Where it listens."""

    failure_domain: str
    """Failure domain that it stands in."""

    model: str
    """Model whose layers it holds."""

    first_layer: int
    """First layer that it holds."""

    last_layer: int
    """Layer after the last one that it holds."""

    accelerator: str = ""
    """Kind of its accelerator; empty when it is not known."""

    tokens_per_s: float
    """Rated tokens a second for the whole of its range, over all of its streams."""

    slots: int
    """Streams that it holds at once."""

    leaving: bool = False
    """Whether it takes no new work."""


class ServiceTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server of a plain service."""

    replica: str
    """Name of the backend server; unique within the site."""

    address: Address
    """Where it listens."""

    failure_domain: str
    """Failure domain that it stands in."""

    service: str
    """The service's name, as in `/services/<name>/`."""

    leaving: bool = False
    """Whether it takes no new work."""


class EntryTarget(msgspec.Struct, frozen=True, kw_only=True):
    """An entry host of the system."""

    host: str
    """Its name; unique within the site."""

    address: Address
    """Where it listens for callers."""

    failure_domain: str
    """Failure domain that it stands in."""

    peer_address: Address
    """Where it listens for other entry hosts."""

    leaving: bool = False
    """Whether it takes no new work."""


class Targets(msgspec.Struct, frozen=True, kw_only=True):
    """The host list at one reading."""

    engines: list[EngineTarget] = []
    """Model engines."""

    services: list[ServiceTarget] = []
    """Backend servers of plain services."""

    entries: list[EntryTarget] = []
    """Entry hosts."""

    rejected: list[str] = []
    """Why lines of the list were passed over, a sentence each."""
