"""One engine's part in each stream: a slot, the KV cache, and its range of layers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from expression import Error, Ok, Result

from pimentodale.addresses import BadAddressError, parse_address
from pimentodale.clients.engine_messages import EngineRefusal, Hop, StageReceipt
from pimentodale.clients.http_call import CallRequest, fetch
from pimentodale.standin._batch import Job
from pimentodale.standin._journal import (
    StreamEnded,
    StreamRefused,
    StreamStarted,
    append_layers,
    append_run,
)
from pimentodale.standin._kv_cache import KvEntry, unpack_entry
from pimentodale.standin.reference_text import prompt_token_count, run_layers

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.standin._engine_core import Engine
    from pimentodale.standin._engine_links import OpenStream

_IMPORT_TIMEOUT_MS: Final = 500.0
"""Longest wait for another engine's KV cache."""

_PREFIX_TOKENS: Final = 64
"""Prompt tokens that a prefix-cache hit saves."""


@dataclass(slots=True)
class StageStream:
    """A stream that holds a slot here."""

    asked: OpenStream
    link: int
    """Number of the link that it came by; 0 when this engine is the head."""

    hop: Hop
    prompt_sha256: str
    prefill_tokens: int
    """Tokens to prefill before the first token of the answer."""

    answer_tokens: int = 0
    """Answer tokens in the KV cache, counted from the start of the answer."""

    wrong: bool = False
    """Whether a fault makes this stream's answer wrong."""

    tokens_run: int = 0
    prefilled_tokens: int = 0
    index_runs: list[tuple[int, int]] = field(default_factory=list)
    layer_runs: list[tuple[int, int, int]] = field(default_factory=list)
    job: Job | None = None
    """The job that waits or runs, if any."""


class Stage:
    """The streams that an engine holds."""

    __slots__ = ("_engine", "_opening", "streams")

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._opening = 0
        self.streams: dict[str, StageStream] = {}
        """Streams by id."""

    async def open(self, asked: OpenStream, link: int) -> Result[StageStream, EngineRefusal]:
        """Take a slot for a stream, with whatever KV cache can be had.

        Args:
            asked: The stream.
            link: Number of the link that it came by; 0 at the head.

        Returns:
            The stream, or why nothing of it was run.
        """
        hop = asked.route[asked.position]
        refusal = self._refusal(hop)
        if refusal is not None:
            reason = refusal.mismatch or ("busy" if refusal.busy else "leaving")
            line = StreamRefused(
                replica=self._engine.settings.replica,
                request_id=asked.request_id,
                attempt=asked.attempt,
                reason=reason,
            )
            self._engine.journal.write(line)
            return Error(refusal)
        boot_id = self._engine.boot_id
        digest = hashlib.sha256(asked.prompt.encode()).hexdigest()
        wanted = prompt_token_count(asked.prompt) + asked.first_index
        cached = self._cached_tokens(asked, hop, digest)
        self._opening += 1
        try:
            imported = await self._import(asked, hop, digest) if cached < wanted else 0
        finally:
            self._opening -= 1
        if boot_id != self._engine.boot_id:
            return Error(EngineRefusal(leaving=self._engine.settings.replica))
        stream = StageStream(asked, link, hop, digest, max(0, wanted - max(cached, imported)))
        stream.answer_tokens = asked.first_index
        stream.wrong = self._engine.take_wrong_answer()
        self.streams[asked.stream_id] = stream
        self._note_start(stream, cached, max(0, imported - cached))
        return Ok(stream)

    def run(
        self,
        stream: StageStream,
        index: int,
        activation: int,
        done: Callable[[int, list[StageReceipt]], None],
    ) -> None:
        """Queue the stage's layers for one token.

        Args:
            stream: The stream.
            index: Index of the token.
            activation: State before the stage's first layer.
            done: Called with the state after its last layer and the receipts.
        """

        def finish() -> None:
            stream.job = None
            if self._engine.crash_if_due(stream):
                return
            done(*self._run_layers(stream, index, activation))

        job = Job(stream.asked.priority, stream.prefill_tokens, finish)
        stream.prefilled_tokens += stream.prefill_tokens
        stream.prefill_tokens = 0
        stream.job = job
        self._engine.batch.submit(job)

    def close(self, stream_id: str, reason: str) -> None:
        """Let go of a stream, whatever it is doing; an unknown one is passed over."""
        stream = self.streams.pop(stream_id, None)
        if stream is None:
            return
        if stream.job is not None:
            stream.job.cancelled = True
        asked = stream.asked
        line = StreamEnded(
            replica=self._engine.settings.replica,
            request_id=asked.request_id,
            attempt=asked.attempt,
            position=asked.position,
            reason=reason,
            index_runs=stream.index_runs,
            layer_runs=stream.layer_runs,
            prefilled_tokens=stream.prefilled_tokens,
        )
        self._engine.journal.write(line)
        if reason != "crash" and stream.tokens_run:
            tokens = prompt_token_count(asked.prompt) + stream.answer_tokens
            self._engine.kv_cache.keep(self._entry(stream, tokens))

    def export(self, request_id: str) -> KvEntry | None:
        """Return the KV cache of a request, running or kept."""
        for stream in self.streams.values():
            if stream.asked.request_id != request_id or not stream.tokens_run:
                continue
            tokens = prompt_token_count(stream.asked.prompt) + stream.answer_tokens
            return self._entry(stream, tokens)
        return self._engine.kv_cache.find(request_id)

    def close_link(self, link: int) -> None:
        """Let go of the streams that came by a link that closed."""
        for stream_id, stream in list(self.streams.items()):
            if stream.link == link:
                self.close(stream_id, "head_lost")

    def clear(self) -> None:
        """Let go of everything, as a crash does."""
        for stream_id in list(self.streams):
            self.close(stream_id, "crash")

    def _refusal(self, hop: Hop) -> EngineRefusal | None:
        """Return why a stream can't be taken, if it can't."""
        engine = self._engine
        replica = engine.settings.replica
        mismatch = engine.mismatch(hop)
        if mismatch:
            return EngineRefusal(mismatch=mismatch)
        if not engine.takes_work():
            return EngineRefusal(leaving=replica)
        full = len(self.streams) + self._opening >= engine.settings.slots
        if full or engine.faults.busy:
            return EngineRefusal(busy=replica)
        return None

    def _cached_tokens(self, asked: OpenStream, hop: Hop, digest: str) -> int:
        """Return the tokens that the engine's own caches cover."""
        prefix_tokens = _PREFIX_TOKENS if self._engine.prefix_cache.use(asked.prompt) else 0
        entry = self.export(asked.request_id)
        return max(prefix_tokens, _covered_tokens(entry, hop, digest))

    async def _import(self, asked: OpenStream, hop: Hop, digest: str) -> int:
        """Return the tokens that another engine's KV cache covers."""
        if not asked.kv_source or asked.kv_source == self._engine.settings.listen:
            return 0
        try:
            address = parse_address(asked.kv_source)
        except BadAddressError:
            return 0
        path = f"/v1/pimentodale/kv?request_id={asked.request_id}"
        answer = await fetch(address, CallRequest(method="GET", path=path), _IMPORT_TIMEOUT_MS)
        if answer.is_error() or answer.ok.status != 200:
            return 0
        return _covered_tokens(unpack_entry(answer.ok.body), hop, digest)

    def _run_layers(
        self, stream: StageStream, index: int, activation: int
    ) -> tuple[int, list[StageReceipt]]:
        """Run the stage's layers, wrongly if a fault asks for it."""
        hop = stream.hop
        ranges = [(hop.first_layer, hop.last_layer)]
        faults = self._engine.faults
        if stream.wrong and index >= faults.wrong_answer_index:
            if faults.wrong_answer == "doubled_layer":
                ranges.append((hop.last_layer - 1, hop.last_layer))
            elif faults.wrong_answer == "skipped_layer":
                ranges = [(hop.first_layer + 1, hop.last_layer)]
        receipts = []
        for first_layer, last_layer in ranges:
            activation = run_layers(activation, first_layer, last_layer)
            append_layers(stream.layer_runs, first_layer, last_layer)
            receipts.append(StageReceipt(self._engine.settings.replica, first_layer, last_layer))
        append_run(stream.index_runs, index)
        stream.tokens_run += 1
        stream.answer_tokens = max(stream.answer_tokens, index + 1)
        return activation, receipts

    def _entry(self, stream: StageStream, tokens: int) -> KvEntry:
        """Return what the KV cache of a stream covers."""
        hop = stream.hop
        digest = stream.prompt_sha256
        request_id = stream.asked.request_id
        return KvEntry(request_id, digest, hop.first_layer, hop.last_layer, tokens)

    def _note_start(self, stream: StageStream, cached: int, imported: int) -> None:
        """Write a stream's start into the journal."""
        asked = stream.asked
        line = StreamStarted(
            replica=self._engine.settings.replica,
            request_id=asked.request_id,
            attempt=asked.attempt,
            workspace=asked.workspace,
            idempotency_key=asked.idempotency_key,
            prompt_sha256=stream.prompt_sha256,
            position=asked.position,
            first_layer=stream.hop.first_layer,
            last_layer=stream.hop.last_layer,
            first_index=asked.first_index,
            priority=asked.priority,
            cached_tokens=cached,
            imported_tokens=imported,
        )
        self._engine.journal.write(line)


def _covered_tokens(entry: KvEntry | None, hop: Hop, digest: str) -> int:
    """Return the tokens that an entry saves a hop; 0 when it is another prompt's or range's."""
    if entry is None or entry.prompt_sha256 != digest:
        return 0
    if entry.first_layer > hop.first_layer or entry.last_layer < hop.last_layer:
        return 0
    return entry.tokens
