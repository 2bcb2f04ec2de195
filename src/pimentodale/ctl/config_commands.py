"""Arguments of `pimentodale-ctl config`."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Final

import cappa

ACCEPT_WAIT_MS: Final = 3000.0
"""How long a write waits for a host to accept it, unless told otherwise."""

KeyValue = Annotated[
    list[str], cappa.Arg(long="--key-value", help="IP:PORT of the key-value service; repeatable.")
]
"""Option `--key-value`."""

WaitMs = Annotated[
    float, cappa.Arg(long="--wait-ms", help="Longest wait for a host to accept the change.")
]
"""Option `--wait-ms`."""


@cappa.command(name="check", help="Check files, or a folder as a whole, without any service.")
@dataclass(slots=True)
class CheckCommand:
    """Arguments of `config check`."""

    paths: Annotated[list[Path], cappa.Arg(num_args=-1, help="Files, or one folder.")]


@cappa.command(name="pull", help="Copy the folder here, with the revisions that were read.")
@dataclass(slots=True)
class PullCommand:
    """Arguments of `config pull`."""

    folder: Annotated[Path, cappa.Arg(help="Local folder; files of the same names are replaced.")]
    key_value: KeyValue = field(default_factory=list)


@cappa.command(name="put", help="Write files, each on top of the revision that was pulled.")
@dataclass(slots=True)
class PutCommand:
    """Arguments of `config put`."""

    files: Annotated[list[Path], cappa.Arg(num_args=-1, help="Files to write.")]
    key_value: KeyValue = field(default_factory=list)
    revision: Annotated[
        int | None, cappa.Arg(long="--revision", help="Revision that the file replaces; 0: none.")
    ] = None
    wait_ms: WaitMs = ACCEPT_WAIT_MS


@cappa.command(name="push", help="Write all changes of a folder, removals too.")
@dataclass(slots=True)
class PushCommand:
    """Arguments of `config push`."""

    folder: Annotated[Path, cappa.Arg(help="Local folder.")]
    key_value: KeyValue = field(default_factory=list)
    wait_ms: WaitMs = ACCEPT_WAIT_MS


@cappa.command(name="remove", help="Remove a file.")
@dataclass(slots=True)
class RemoveCommand:
    """Arguments of `config remove`."""

    name: Annotated[str, cappa.Arg(help="Name in the folder.")]
    key_value: KeyValue = field(default_factory=list)
    revision: Annotated[
        int | None, cappa.Arg(long="--revision", help="Revision to remove, as `config list` says.")
    ] = None
    wait_ms: WaitMs = ACCEPT_WAIT_MS


@cappa.command(name="list", help="List the files with their revisions and what is in force.")
@dataclass(slots=True)
class ListCommand:
    """Arguments of `config list`."""

    key_value: KeyValue = field(default_factory=list)


@cappa.command(name="diff", help="Show how a local folder differs from the service's.")
@dataclass(slots=True)
class DiffCommand:
    """Arguments of `config diff`."""

    folder: Annotated[Path, cappa.Arg(help="Local folder.")]
    key_value: KeyValue = field(default_factory=list)


@cappa.command(name="status", help="Ask hosts which revision they have in force.")
@dataclass(slots=True)
class StatusCommand:
    """Arguments of `config status`."""

    entry: Annotated[
        list[str], cappa.Arg(long="--entry", help="IP:PORT of an entry host; repeatable.")
    ] = field(default_factory=list)


@cappa.command(name="config", help="Look at the configuration folder and change it.")
@dataclass(slots=True)
class ConfigCommand:
    """The group `config`."""

    command: cappa.Subcommands[
        CheckCommand
        | PullCommand
        | PutCommand
        | PushCommand
        | RemoveCommand
        | ListCommand
        | DiffCommand
        | StatusCommand
    ]
