"""Checks what backend servers really ran, against what callers were told.

Stand-ins write the journals; nothing here takes the router's word.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import msgspec

from pimentodale.results import Ran

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from pimentodale.load.records import Record


class ServiceRun(msgspec.Struct, frozen=True):
    """One line of a plain service's journal: work that took effect."""

    event: str = ""
    """`run` for work."""

    idempotency_key: str = ""
    """Key that came with it."""

    request_id: str = ""
    """Request id that came with it."""

    workspace: str = ""
    """Workspace that came with it."""


class JournalFindings(msgspec.Struct, frozen=True):
    """What a check found; whole and honest when all lists are empty."""

    keys_run: int
    """Keys that ran at least once."""

    doubled_keys: list[str]
    """Keys that ran more than once."""

    false_not_run: list[str]
    """Keys that ran though some caller was told `not_run`."""

    missing_runs: list[str]
    """Keys whose caller got a whole answer though nothing ran."""

    @property
    def clean(self) -> bool:
        """Whether nothing was found."""
        return not (self.doubled_keys or self.false_not_run or self.missing_runs)


def read_runs(paths: Iterable[Path]) -> list[ServiceRun]:
    """Read journals; a last line that a kill cut short is passed over.

    Args:
        paths: Journal files, one JSON object a line.
    """
    runs = []
    for path in paths:
        for line in path.read_bytes().split(b"\n")[:-1]:
            runs.append(msgspec.json.decode(line, type=ServiceRun))
    return runs


def check_journal(runs: Iterable[ServiceRun], records: Iterable[Record]) -> JournalFindings:
    """Compare what ran with what callers were told.

    Args:
        runs: Lines of all services' journals.
        records: What callers saw.

    Returns:
        The findings.
    """
    ran = Counter((run.workspace, run.idempotency_key) for run in runs if run.idempotency_key)
    told: defaultdict[tuple[str, str], list[Record]] = defaultdict(list)
    for record in records:
        if record.key:
            told[record.workspace, record.key].append(record)
    return JournalFindings(
        keys_run=len(ran),
        doubled_keys=sorted(key for (_, key), count in ran.items() if count > 1),
        false_not_run=sorted(
            key
            for (workspace, key), seen in told.items()
            if (workspace, key) in ran and any(r.ran == Ran.NOT_RUN for r in seen)
        ),
        missing_runs=sorted(
            key
            for (workspace, key), seen in told.items()
            if (workspace, key) not in ran and any(r.result == "ok" for r in seen)
        ),
    )
