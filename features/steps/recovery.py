"""Steps for recovery as seen by callers of entry hosts that run as processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from features.support.layout import FAILURE_DOMAINS, LAYERS, EngineLayout, Layout
from features.support.site import http as call_http
from features.support.streaming_callers import CallerResult, stream_completion

from pimentodale.clock import create_clock
from pimentodale.standin.reference_text import answer_end, reference_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

MARK: Final = "POISON"
ENTRIES: Final = 3
_IN_FLIGHT_MS: Final = 150.0
"""How long tokens sent before a fault may still arrive after it."""


@given("three entry hosts before {replicas:d} engines for each of {ranges:d} ranges")
def start_site(context: Any, replicas: int, ranges: int) -> None:
    _start(context, replicas, ranges, {})


@given(
    "three entry hosts before {replicas:d} engines for each of {ranges:d} ranges "
    "that crash on a marked prompt"
)
def start_fragile_site(context: Any, replicas: int, ranges: int) -> None:
    _start(context, replicas, ranges, {"faults": {"crash_mark": MARK}})


def _start(context: Any, replicas: int, ranges: int, extra: dict[str, Any]) -> None:
    share = LAYERS // ranges
    engines = [
        EngineLayout(
            f"e{number}{'abcdef'[replica]}",
            FAILURE_DOMAINS[replica % len(FAILURE_DOMAINS)],
            number * share,
            (number + 1) * share,
            step_ms=10.0,
            batch=64,
            slots=128,
            extra=extra,
        )
        for number in range(ranges)
        for replica in range(replicas)
    ]
    context.layout = Layout(context.site, engines=engines, services=0)
    context.layout.start()


@when(
    "{count:d} callers stream {shortest:d} to {longest:d} tokens "
    'and engine "{name}" is killed once {begun:d} of them have begun'
)
def stream_and_kill(
    context: Any, count: int, shortest: int, longest: int, name: str, begun: int
) -> None:
    _stream(context, count, shortest, longest, begun, context.site.programs[name].kill)


@when(
    "{count:d} callers stream {shortest:d} to {longest:d} tokens "
    "and the first stages' connections go silent once {begun:d} of them have begun"
)
def stream_and_silence(context: Any, count: int, shortest: int, longest: int, begun: int) -> None:
    def silence() -> None:
        for engine in context.layout.engines:
            if engine.first_layer == 0:
                url = f"http://{context.layout.engine_address(engine.replica)}/admin/faults"
                assert call_http(url, {"silence": True}).status == 200

    _stream(context, count, shortest, longest, begun, silence)


def _stream(
    context: Any,
    count: int,
    shortest: int,
    longest: int,
    begun: int,
    inject_fault: Callable[[], None],
) -> None:
    """Stream through all entry hosts and inject the fault when enough streams have begun."""
    rng = context.site.rng
    prompts = [
        f"certificate {n} {rng.random()} [tokens={rng.randint(shortest, longest)}]"
        for n in range(count)
    ]
    started = 0
    enough_started = asyncio.Event()

    def on_token(result: CallerResult) -> None:
        nonlocal started
        started += len(result.tokens) == 1
        if started >= begun:
            enough_started.set()

    async def run_all() -> list[CallerResult]:
        calls = [
            stream_completion(
                context.layout.entry_address(n % ENTRIES), prompt, f"q{n}", on_token=on_token
            )
            for n, prompt in enumerate(prompts)
        ]
        streams = asyncio.gather(*calls)
        await asyncio.wait_for(enough_started.wait(), 20.0)
        await asyncio.to_thread(inject_fault)
        context.fault_ms = create_clock().now_ms()
        return await streams

    context.results = asyncio.run(run_all())


@when(
    "{count:d} callers keep streaming and the marked prompt is sent {times:d} times, "
    "each time through the next entry host"
)
def send_marked(context: Any, count: int, times: int) -> None:
    rng = context.site.rng
    layout = context.layout
    context.results = []

    async def run_all() -> None:
        sending = True

        async def stream_repeatedly(number: int) -> None:
            round_number = 0
            while sending or round_number == 0:
                prompt = (
                    f"tariff {number} {round_number} {rng.random()} [tokens={rng.randint(20, 60)}]"
                )
                entry = layout.entry_address((number + round_number) % ENTRIES)
                context.results.append(
                    await stream_completion(entry, prompt, f"q{number}-{round_number}")
                )
                round_number += 1

        streams = [asyncio.create_task(stream_repeatedly(number)) for number in range(count)]
        while len(context.results) < count // 3:
            await asyncio.wait(streams, timeout=0.01)
        context.marked = [
            await stream_completion(
                layout.entry_address(n % ENTRIES), MARK, f"p{n}", workspace="desk"
            )
            for n in range(times)
        ]
        sending = False
        await asyncio.gather(*streams)

    asyncio.run(asyncio.wait_for(run_all(), 60.0))


@then("each caller got the complete text of their own prompt")
def check_texts(context: Any) -> None:
    for result in context.results:
        end = answer_end(result.prompt, 1000)
        assert result.refusal is None and result.done, result
        assert result.finish_reason == end.finish_reason, result
        assert result.tokens == reference_tokens(result.prompt, LAYERS, end.tokens), result


@then("no caller waited longer than {limit_ms:d} ms for the next token after the {fault}")
def check_waits(context: Any, limit_ms: int, fault: str) -> None:
    waits = []
    edge_ms = context.fault_ms + _IN_FLIGHT_MS
    for result in context.results:
        before = [at for at in result.times_ms if at <= edge_ms]
        after = [at for at in result.times_ms if at > edge_ms]
        if before and after:
            waits.append(after[0] - before[-1])
    waits.sort()
    print(f"{fault}: next token median {waits[len(waits) // 2]:.0f} ms, longest {waits[-1]:.0f} ms")
    again = {
        line["request_id"]
        for lines in context.layout.engine_runs().values()
        for line in lines
        if line["event"] == "start" and line["attempt"] > 1
    }
    assert again, "no stream was resumed"
    assert waits[-1] <= limit_ms, waits[-5:]


@then("at most {count:d} engine processes have ended")
def check_processes(context: Any, count: int) -> None:
    ended = [
        engine.replica
        for engine in context.layout.engines
        if context.site.programs[engine.replica].process.poll() is not None
    ]
    print(f"{len(ended)} engine processes ended; {len(context.results)} concurrent calls")
    assert 1 <= len(ended) <= count, ended


@then("the marked prompt was last refused with code {code:d} by each entry host")
def check_marked(context: Any, code: int) -> None:
    last = [result.refusal["code"] for result in context.marked[-ENTRIES:] if result.refusal]
    assert last == [code] * ENTRIES, [result.refusal for result in context.marked]
