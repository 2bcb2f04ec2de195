"""Decodes the registration records of replicas in the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.foreign_bytes import MAX_COUNT, MAX_LAYERS, UNREADABLE, shorten
from pimentodale.site.model import LayerRange, ReplicaRecord

REPLICA_PREFIX = "servers/"
"""Key prefix of the records; followed by the replica's id."""

_READY = "ready"
_DRAINING = "draining"


Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number of slots."""

Timestamp = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Unix time in milliseconds."""

Layer = Annotated[int, msgspec.Meta(ge=0, le=MAX_LAYERS)]
"""A layer, or the end of a range of layers."""


class LayersRecord(msgspec.Struct):
    """A range of layers in the replicas' format."""

    from_: Layer = msgspec.field(name="from")
    to: Layer
    """Exclusive end of the range."""


class _Replica(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: Count = 1
    # Start time.
    born: Timestamp = 0
    kind: str | None = None
    layers: LayersRecord | None = None


def decode_replica(key: str, value: bytes) -> Result[ReplicaRecord, str]:
    """Decode one record.

    Args:
        key: Key of the record in the store.
        value: The record's JSON.

    Returns:
        The replica, or the reason why the record is invalid.
    """
    try:
        raw = msgspec.json.decode(value, type=_Replica)
        address = parse_address(raw.address)
    except (*UNREADABLE, BadAddressError) as error:
        return Error(shorten(str(error)))
    if raw.state not in (_READY, _DRAINING):
        return Error(f"its state '{shorten(raw.state)}' is not known")
    return Ok(
        ReplicaRecord(
            replica_id=key.removeprefix(REPLICA_PREFIX),
            service=raw.service,
            address=address,
            failure_domain=raw.zone,
            is_draining=raw.state == _DRAINING,
            started_ms=raw.born,
            kind=raw.kind or "",
            held=decode_layers(raw.layers),
            slots=raw.slots,
        )
    )


def decode_layers(raw: LayersRecord | None) -> LayerRange | None:
    """Translate a range of layers; return `None` for an empty range."""
    if raw is None or raw.to <= raw.from_:
        return None
    return LayerRange(raw.from_, raw.to)
