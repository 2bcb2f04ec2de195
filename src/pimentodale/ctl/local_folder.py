"""An operator's local copy of the folder, with the revisions that were read."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

import msgspec
import yaml
from expression import Error, Ok, Result

from pimentodale.configuration.files import FILE_NAME
from pimentodale.yaml_files import read_yaml_file

if TYPE_CHECKING:
    from pathlib import Path

RECORD_NAME: Final = ".pimentodale-revisions.yaml"
"""File beside the copies that holds the revisions."""


class RecordedFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A file as it was read or written last."""

    revision: int
    """The service's revision of it."""

    sha256: str
    """Digest of its text, which tells whether the local copy was edited since."""


class RevisionRecord(msgspec.Struct, forbid_unknown_fields=True):
    """Content of the record."""

    files: dict[str, RecordedFile] = {}
    """Files by name."""

    def revision_of(self, name: str) -> int:
        """Return the revision that a write of this file is based on; 0 for a new file."""
        known = self.files.get(name)
        return 0 if known is None else known.revision

    def note(self, name: str, text: str, revision: int) -> None:
        """Note a file that was read or written."""
        self.files[name] = RecordedFile(revision, _digest(text))

    def is_edited(self, name: str, text: str) -> bool:
        """Whether a local copy differs from what was read or written last."""
        known = self.files.get(name)
        return known is None or known.sha256 != _digest(text)


class LocalProblem(msgspec.Struct, frozen=True):
    """Why the local folder can't be used."""

    message: str
    """What is wrong and how to mend it."""


def read_folder(folder: Path) -> Result[dict[str, str], LocalProblem]:
    """Read the YAML files of a folder.

    Args:
        folder: The local folder; other files in it are passed over.

    Returns:
        Texts by name, or the problem.
    """
    if not folder.is_dir():
        return Error(LocalProblem(f"{folder} is not a folder; name one that is"))
    paths = [path for path in sorted(folder.iterdir()) if FILE_NAME.match(path.name)]
    return read_files(paths)


def read_files(paths: list[Path]) -> Result[dict[str, str], LocalProblem]:
    """Read files.

    Args:
        paths: The files.

    Returns:
        Texts by name, or the problem.
    """
    texts: dict[str, str] = {}
    for path in paths:
        try:
            texts[path.name] = path.read_bytes().decode()
        except OSError as error:
            return Error(LocalProblem(f"{path}: {error.strerror}; name a file that can be read"))
        except UnicodeDecodeError:
            return Error(LocalProblem(f"{path}: not UTF-8; save it as UTF-8"))
    return Ok(texts)


def read_record(folder: Path) -> Result[RevisionRecord, LocalProblem]:
    """Read the revisions of a folder; there are none before the first pull."""
    path = folder / RECORD_NAME
    if not path.exists():
        return Ok(RevisionRecord({}))
    return read_yaml_file(path, RevisionRecord).map_error(
        lambda problem: LocalProblem(f"{problem}; pull the folder anew")
    )


def write_record(folder: Path, record: RevisionRecord) -> None:
    """Write the revisions of a folder."""
    # Written beside and renamed, so that a break leaves the old record whole.
    partial = folder / f"{RECORD_NAME}.partial"
    partial.write_text(yaml.safe_dump(msgspec.to_builtins(record)), encoding="utf-8")
    partial.replace(folder / RECORD_NAME)


def _digest(text: str) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
