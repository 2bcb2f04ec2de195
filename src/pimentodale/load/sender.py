"""Sends one request as a caller would, and records what came back."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec

from pimentodale.clients.http_call import CallRequest, open_call
from pimentodale.load.mixes import prompt_of
from pimentodale.results import Refusal

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from pimentodale.addresses import Address
    from pimentodale.clients.http_call import HttpCall
    from pimentodale.clock import Clock
    from pimentodale.load.mixes import RequestShape
    from pimentodale.load.plan import LoadWorkspace
    from pimentodale.load.records import Record

SLACK_MS: Final = 2_000.0
"""How much longer than its deadline a caller waits for an answer."""


class _Delta(msgspec.Struct):
    """A piece of an answer."""

    content: str | None = None


class _Choice(msgspec.Struct):
    """The choice of a chunk."""

    delta: _Delta | None = None
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    """A chunk of a stream, or its breaking off."""

    choices: list[_Choice] = []
    error: Refusal | None = None


_chunk_decoder: Final = msgspec.json.Decoder(_Chunk)


@dataclass(slots=True)
class Sender:
    """What all requests of a run share."""

    clock: Clock
    """Source of time."""

    start_ms: float
    """Monotonic time of the run's start."""

    entries: Sequence[Address]
    """Entry hosts."""

    model: str
    """Model that generations ask for."""

    timeout_ms: float
    """Deadline of each request."""

    rng: random.Random
    """Chooses entry hosts and words."""

    keep_texts: bool = False
    """Whether prompts and answers are kept in the records."""

    def elapsed_ms(self) -> float:
        """Return the time since the run's start."""
        return self.clock.now_ms() - self.start_ms

    async def send(self, record: Record, shape: RequestShape, workspace: LoadWorkspace) -> None:
        """Send one request and fill its record.

        Args:
            record: Has the number, shape, workspace, intended time and key.
            shape: What to ask for.
            workspace: Who asks.
        """
        record.request_id = secrets.token_hex(8)
        record.prompt = prompt_of(shape, workspace.name, self.rng) if not record.prompt else ""
        request = self._request(record, shape, workspace)
        call = await self._open(request, record)
        if call is None:
            record.ended_ms = self.elapsed_ms()
            return
        try:
            record.status = call.status
            await self._read(call, record, stream=shape.kind == "generation")
        finally:
            call.close()
            record.ended_ms = self.elapsed_ms()
            if not self.keep_texts:
                record.prompt = record.text = ""

    def _request(
        self, record: Record, shape: RequestShape, workspace: LoadWorkspace
    ) -> CallRequest:
        """Build the HTTP request."""
        headers = {
            "Authorization": f"Bearer {workspace.token}",
            "Content-Type": "application/json",
            "X-Request-Id": record.request_id,
            "X-Request-Timeout-Ms": f"{self.timeout_ms:.0f}",
        }
        if record.key:
            headers["Idempotency-Key"] = record.key
        if shape.kind == "generation":
            body: Any = {
                "model": self.model,
                "stream": True,
                "max_tokens": shape.max_tokens,
                "messages": [{"role": "user", "content": record.prompt}],
            }
            path = "/v1/chat/completions"
            return CallRequest(
                method="POST", path=path, headers=headers, body=msgspec.json.encode(body)
            )
        body = {} if shape.method == "GET" else {"booking": record.key or record.request_id}
        payload = b"" if shape.method == "GET" else msgspec.json.encode(body)
        return CallRequest(method=shape.method, path=shape.path, headers=headers, body=payload)

    async def _open(self, request: CallRequest, record: Record) -> HttpCall | None:
        """Open the call at an entry host; one that refuses connections is passed over."""
        order = list(self.entries)
        self.rng.shuffle(order)
        for address in order:
            opened = await open_call(address, request, self.timeout_ms + SLACK_MS)
            if opened.is_ok():
                return opened.ok
            record.result = "lost"
            record.ran = "unknown" if opened.error.sent else ""
            if opened.error.sent:
                return None
        return None

    async def _read(self, call: HttpCall, record: Record, *, stream: bool) -> None:
        """Read the answer to its end."""
        streamed = stream and call.status == 200
        rest = b""
        record.result = "lost"
        async for chunk in call.chunks(self.timeout_ms + SLACK_MS):
            if chunk.is_error():
                return
            rest += chunk.ok
            if not streamed:
                continue
            *lines, rest = rest.split(b"\n")
            for line in lines:
                self._read_event(line, record)
        if not streamed:
            _read_whole(rest, record)

    def _read_event(self, line: bytes, record: Record) -> None:
        """Take one line of a stream."""
        if not line.startswith(b"data:"):
            return
        data = line[5:].strip()
        if data == b"[DONE]":
            record.result = "ok" if record.result == "finished" else "lost"
            return
        chunk = _chunk_decoder.decode(data)
        if chunk.error is not None:
            _take_refusal(chunk.error, record)
            return
        for choice in chunk.choices:
            self._read_choice(choice, record)

    def _read_choice(self, choice: _Choice, record: Record) -> None:
        """Take a token or the finish."""
        if choice.delta is not None and choice.delta.content:
            now_ms = self.elapsed_ms()
            if record.first_token_ms < 0:
                record.first_token_ms = now_ms - record.intended_ms
            record.token_times_ms.append(now_ms)
            if self.keep_texts:
                record.text += choice.delta.content
        if choice.finish_reason is not None:
            record.result = "finished"


def _read_whole(body: bytes, record: Record) -> None:
    """Take a whole answer or a refusal."""
    if record.status < 300:
        record.result = "ok"
        record.text = body.decode(errors="replace")
        return
    try:
        _take_refusal(msgspec.json.decode(body, type=Refusal), record)
    except msgspec.DecodeError:
        record.result = f"http_{record.status}"


def _take_refusal(refusal: Refusal, record: Record) -> None:
    """Note a refusal."""
    record.result = refusal.name
    record.ran = str(refusal.ran)
    record.retry_after_ms = refusal.retry_after_ms or 0.0
