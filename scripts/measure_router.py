"""Measures the entry host's own processor time for a request and a token, and the latency it adds.

Usage: PYTHONPATH=. .venv/bin/python scripts/measure_router.py OUTPUT.json

One entry host over two fast engines. Streams of several lengths give a line whose slope is the cost
of a token and whose intercept is the cost of a request. The same prompts go to the engines directly,
turn by turn, for the latency that the entry host adds.
"""

from __future__ import annotations

import asyncio
import shutil
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import mean
from typing import Any, Final

import msgspec
import psutil
from features.support.layout import LAYERS, MODEL, TOKENS, EngineLayout, Layout
from features.support.site import Site

from pimentodale.addresses import parse_address
from pimentodale.clients.engine_client import EngineToken, open_stream
from pimentodale.clients.engine_messages import EngineCall, Hop
from pimentodale.clients.http_call import CallRequest, open_call
from pimentodale.load.records import LatencyFigures, latency_figures

LENGTHS: Final = (1, 16, 64, 128)
STREAMS: Final = 200
CONCURRENT: Final = 20
LATENCY_STREAMS: Final = 150
TIMEOUT_MS: Final = 30_000.0


@dataclass(slots=True)
class CostSample:
    """One length of stream."""

    tokens: int
    streams: int
    cpu_us_per_request: float


def main(output: Path) -> None:
    """Measure and write the result.

    Args:
        output: JSON file to write.
    """
    engines = [
        EngineLayout("eng-0", "nl-west-a", 0, 12, step_ms=1.0, batch=64, slots=256),
        EngineLayout("eng-1", "nl-west-a", 12, 24, step_ms=1.0, batch=64, slots=256),
    ]
    layout = Layout(Site(seed=1), engines=engines, entries=1)
    try:
        layout.start()
        result = asyncio.run(_measure(layout))
    finally:
        layout.site.stop()
        shutil.rmtree(layout.site.folder, ignore_errors=True)
    print(msgspec.json.format(msgspec.json.encode(result)).decode())
    output.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


async def _measure(layout: Layout) -> dict[str, Any]:
    """Take both measures."""
    process = psutil.Process(layout.site.programs["entry-0"].process.pid)
    await _run(layout, 16, STREAMS)
    samples = []
    for tokens in LENGTHS:
        before = process.cpu_times()
        await _run(layout, tokens, STREAMS)
        after = process.cpu_times()
        used_s = after.user - before.user + after.system - before.system
        samples.append(CostSample(tokens, STREAMS, used_s / STREAMS * 1e6))
    request_us, token_us, residual_us = _fit(samples)
    through, direct = await _latencies(layout)
    return {
        "samples": [asdict(sample) for sample in samples],
        "cpu_us_per_request": request_us,
        "cpu_us_per_token": token_us,
        "largest_residual_us": residual_us,
        "first_token_through": through,
        "first_token_direct": direct,
        "resident_mib": process.memory_info().rss / 1024 / 1024,
    }


def _fit(samples: list[CostSample]) -> tuple[float, float, float]:
    """Fit cost of a request, cost of a token, and the largest residual."""
    mean_x = mean(sample.tokens for sample in samples)
    mean_y = mean(sample.cpu_us_per_request for sample in samples)
    spread = sum((s.tokens - mean_x) ** 2 for s in samples)
    slope = sum((s.tokens - mean_x) * (s.cpu_us_per_request - mean_y) for s in samples) / spread
    at_zero = mean_y - slope * mean_x
    residual = max(abs(s.cpu_us_per_request - at_zero - slope * s.tokens) for s in samples)
    return at_zero, slope, residual


async def _run(layout: Layout, tokens: int, streams: int) -> None:
    """Stream so many answers, some at once."""
    gate = asyncio.Semaphore(CONCURRENT)

    async def one(number: int) -> None:
        async with gate:
            await _stream_through(layout, f"Run {number} [tokens={tokens}]", tokens)

    await asyncio.gather(*(one(number) for number in range(streams)))


async def _latencies(layout: Layout) -> tuple[LatencyFigures, LatencyFigures]:
    """Return first-token latencies through the entry host and directly, taken in turns."""
    through, direct = [], []
    for number in range(LATENCY_STREAMS):
        prompt = f"Latency {number} [tokens=4]"
        through.append(await _stream_through(layout, prompt, 4))
        direct.append(await _stream_direct(layout, prompt, number))
    return latency_figures(through), latency_figures(direct)


async def _stream_through(layout: Layout, prompt: str, tokens: int) -> float:
    """Stream one answer through the entry host; return the time to its first token."""
    body = {"model": MODEL, "stream": True, "max_tokens": tokens, "prompt": prompt}
    request = CallRequest(
        method="POST",
        path="/v1/completions",
        headers={"Authorization": f"Bearer {TOKENS['lab']}", "Content-Type": "application/json"},
        body=msgspec.json.encode(body),
    )
    start = time.monotonic()
    opened = await open_call(parse_address(layout.entry_address(0)), request, TIMEOUT_MS)
    assert opened.is_ok(), opened.error
    assert opened.ok.status == 200, opened.ok.status
    first_ms = -1.0
    async for chunk in opened.ok.chunks(TIMEOUT_MS):
        assert chunk.is_ok(), chunk.error
        if first_ms < 0:
            first_ms = (time.monotonic() - start) * 1000
    opened.ok.close()
    return first_ms


async def _stream_direct(layout: Layout, prompt: str, number: int) -> float:
    """Stream one answer from the engines; return the time to its first token."""
    route = [
        Hop("eng-0", layout.engine_address("eng-0"), 0, 12),
        Hop("eng-1", layout.engine_address("eng-1"), 12, LAYERS),
    ]
    call = EngineCall(request_id=f"direct-{number}", attempt=1, route=route)
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 4}
    start = time.monotonic()
    opened = await open_stream(
        parse_address(route[0].address), "/v1/completions", body, call, {}, TIMEOUT_MS
    )
    assert opened.is_ok(), opened.error
    first_ms = -1.0
    async for event in opened.ok.events(TIMEOUT_MS):
        assert event.is_ok(), event.error
        if first_ms < 0 and isinstance(event.ok, EngineToken):
            first_ms = (time.monotonic() - start) * 1000
    opened.ok.close()
    return first_ms


if __name__ == "__main__":
    main(Path(sys.argv[1]))
