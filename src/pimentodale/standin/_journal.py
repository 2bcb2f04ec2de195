"""What a stand-in really did, as JSON lines that tests read."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from typing import BinaryIO

    from pimentodale.clock import Clock


class JournalLine(msgspec.Struct, kw_only=True, tag_field="event"):
    """One thing that a stand-in did."""

    at_ms: float = 0.0
    """Monotonic time of this machine, set when the line is written."""

    replica: str
    """Name of the backend server."""


class StreamStarted(JournalLine, tag="start"):
    """An engine took a stream, as head or as a later stage."""

    request_id: str
    attempt: int
    workspace: str
    idempotency_key: str
    prompt_sha256: str
    position: int
    """Place of the hop in the route; 0 for the head."""

    first_layer: int
    last_layer: int
    first_index: int
    """Index of the first token that it is to run."""

    priority: int
    cached_tokens: int
    """Tokens that needed no prefill, thanks to the engine's own caches."""

    imported_tokens: int
    """Tokens that needed no prefill, thanks to an imported KV cache."""


class StreamEnded(JournalLine, tag="end"):
    """An engine let go of a stream."""

    request_id: str
    attempt: int
    position: int
    reason: str
    """`done`, `cancelled`, `stage_lost`, `head_lost` or `crash`."""

    index_runs: list[tuple[int, int]]
    """Token indexes in the order run, as (first, count)."""

    layer_runs: list[tuple[int, int, int]]
    """Ranges of layers in the order run, as (first, last, tokens in a row)."""

    prefilled_tokens: int
    """Tokens that were prefilled."""


class StreamRefused(JournalLine, tag="refused"):
    """An engine refused a stream and ran nothing of it."""

    request_id: str
    attempt: int
    reason: str


class StreamCancelled(JournalLine, tag="cancel"):
    """An engine was asked to cancel a request."""

    request_id: str
    attempt: int
    found: bool
    """Whether it held the request."""


class OrderSeen(JournalLine, tag="order"):
    """An engine was given an order."""

    fencing_number: int
    order: str
    detail: str
    """What the order wishes, as JSON."""

    taken: bool
    """Whether it was followed, as against refused for its number."""


class Crashed(JournalLine, tag="crash"):
    """An engine crashed."""

    request_id: str
    """The request that was running when it did."""

    reason: str


class Restarted(JournalLine, tag="restart"):
    """An engine came back after a crash."""

    boot_id: str


class ServiceRun(JournalLine, tag="run"):
    """A plain service ran a call: this is written when the work takes effect."""

    service: str
    run: int
    """Counts the runs of this process, from 1."""

    method: str
    path: str
    request_id: str
    workspace: str
    idempotency_key: str
    body_sha256: str


class ServiceRefused(JournalLine, tag="service_refused"):
    """A plain service refused a call before any effect."""

    service: str
    method: str
    path: str
    request_id: str
    idempotency_key: str


class Journal:
    """An open journal; each line is in the file before the call returns."""

    __slots__ = ("_clock", "_file")

    def __init__(self, file: BinaryIO | None, clock: Clock) -> None:
        self._file = file
        self._clock = clock

    def write(self, line: JournalLine) -> None:
        """Append a line."""
        if self._file is None:
            return
        line.at_ms = self._clock.now_ms()
        self._file.write(msgspec.json.encode(line) + b"\n")


def create_journal(path: str, clock: Clock) -> Journal:
    """Open a journal for appending.

    Args:
        path: The file; empty to keep none.
        clock: Gives the lines' times.

    Returns:
        The journal.
    """
    if not path:
        return Journal(None, clock)
    # The journal stays open for as long as the process lives.
    return Journal(Path(path).open("ab", buffering=0), clock)


def append_run(runs: list[tuple[int, int]], index: int) -> None:
    """Add a token index to its runs, growing the last run when it goes on."""
    if runs and runs[-1][0] + runs[-1][1] == index:
        runs[-1] = (runs[-1][0], runs[-1][1] + 1)
        return
    runs.append((index, 1))


def append_layers(runs: list[tuple[int, int, int]], first_layer: int, last_layer: int) -> None:
    """Add a range of layers to its runs, counting one up when it repeats."""
    if runs and runs[-1][:2] == (first_layer, last_layer):
        runs[-1] = (first_layer, last_layer, runs[-1][2] + 1)
        return
    runs.append((first_layer, last_layer, 1))
