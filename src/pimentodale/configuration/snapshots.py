"""The accepted snapshot, and its encoding in the key-value service and between peers."""

from __future__ import annotations

import zlib
from typing import Final

import msgpack
import msgspec
from expression import Error, Ok, Result

from pimentodale.configuration.files import FileProblem
from pimentodale.foreign_bytes import UNREADABLE

MAX_SNAPSHOT_BYTES: Final = 1_000_000
"""Maximum size of an encoded snapshot; the key-value service limits values to a megabyte."""

MAX_PLAIN_BYTES: Final = 32 * 1024 * 1024
"""Maximum decompressed size of a snapshot."""

_COMPRESSION_LEVEL: Final = 6


class AcceptedFile(msgspec.Struct, frozen=True):
    """A file with the text that is in force."""

    name: str
    """Its name in the folder."""

    text: str
    """Its YAML text."""


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The files in force under one revision."""

    revision: int = 0
    """Incremented by one with each accepted change; 0 before the first."""

    store_revision: int = 0
    """The key-value service's revision at which the folder was read."""

    files: list[AcceptedFile] = []
    """Files in the order of their names."""

    problems: list[FileProblem] = []
    """Files of the folder whose current text is not in force, and why."""

    folder_pending: bool = False
    """Whether the folder is being written back after the service was restored to an old state."""

    accepted_by: str = ""
    """Host that accepted the change."""

    accepted_wall_ms: float = 0.0
    """When it was accepted, in ms since the Unix epoch."""

    def has_same_content(self, other: Snapshot) -> bool:
        """Return whether the other has the same files and problems."""
        return self.files == other.files and self.problems == other.problems


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode and compress a snapshot."""
    plain: bytes = msgpack.packb(msgspec.to_builtins(snapshot))
    return zlib.compress(plain, _COMPRESSION_LEVEL)


def decode_snapshot(encoded: bytes) -> Result[Snapshot, str]:
    """Decompress and decode a snapshot.

    Args:
        encoded: Encoded snapshot from the key-value service or a peer.

    Returns:
        The snapshot, or why the bytes are not a valid one.
    """
    try:
        inflater = zlib.decompressobj()
        plain = inflater.decompress(encoded, MAX_PLAIN_BYTES)
        if not inflater.eof:
            return Error("the compressed snapshot is cut short or too large")
        return Ok(msgspec.convert(msgpack.unpackb(plain), Snapshot))
    except zlib.error as error:
        return Error(f"the snapshot is not compressed as it should be: {error}")
    except (*UNREADABLE, msgpack.UnpackException) as error:
        return Error(f"the snapshot can't be read: {error}")
