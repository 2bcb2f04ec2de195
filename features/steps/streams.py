"""Steps for the recovery of interrupted streams."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.support.engines import (
    EngineSpec,
    engine_journal,
    order_engine,
    set_engine_fault,
    start_engines,
)
from features.support.generation_hosts import GenerationResult, create_host, run_generation
from features.support.site import wait_until

from pimentodale.clock import create_clock
from pimentodale.results import Ran
from pimentodale.standin.reference_text import answer_end, reference_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

_RANGES = "for each of {ranges:d} ranges of {layers:d} layers with a step of {step_ms:d} ms"
_STREAMS = "{count:d} streams of {shortest:d} to {longest:d} tokens"
_IN_FLIGHT_MS = 150.0
"""How long tokens that were sent before a fault may still arrive after it."""


@given("{replicas:d} engine processes " + _RANGES)
def start_processes(context: Any, replicas: int, ranges: int, layers: int, step_ms: int) -> None:
    _start(context, replicas, ranges, layers, step_ms, shared=False)


@given("{replicas:d} engines in one process " + _RANGES)
def start_in_one(context: Any, replicas: int, ranges: int, layers: int, step_ms: int) -> None:
    _start(context, replicas, ranges, layers, step_ms, shared=True)


def _start(
    context: Any, replicas: int, ranges: int, layers: int, step_ms: int, *, shared: bool
) -> None:
    share = layers // ranges
    context.layers = layers
    context.engines = [
        EngineSpec(
            f"e{number}{'abcdef'[replica]}",
            context.site.ip(10 + 10 * number + replica),
            number * share,
            (number + 1) * share,
        )
        for number in range(ranges)
        for replica in range(replicas)
    ]
    start_engines(
        context.site, context.engines, shared=shared, step_ms=step_ms, batch=256, slots=256
    )


@given('the engine "{name}" gives the wrong answer "{fault}" from token {index:d}')
def set_wrong_answer(context: Any, name: str, fault: str, index: int) -> None:
    set_engine_fault(context.site, name, wrong_answer=fault, wrong_answer_index=index)
    context.wrong = name


@when(_STREAMS + " run")
def run_streams(context: Any, count: int, shortest: int, longest: int) -> None:
    _run(context, count, shortest, longest)


@when(_STREAMS + ' run and engine "{name}" is killed once {begun:d} of them have begun')
def run_and_kill(
    context: Any, count: int, shortest: int, longest: int, name: str, begun: int
) -> None:
    _run(context, count, shortest, longest, begun, context.site.programs[name].kill)


@when(
    _STREAMS + " that must not be repeated run "
    'and engine "{name}" is killed once {begun:d} of them have begun'
)
def run_once_and_kill(
    context: Any, count: int, shortest: int, longest: int, name: str, begun: int
) -> None:
    kill = context.site.programs[name].kill
    _run(context, count, shortest, longest, begun, kill, repeatable=False)


@when(
    _STREAMS + " that must not be repeated run "
    "and all engines pause for {pause_ms:d} ms once {begun:d} of them have begun"
)
def run_once_and_pause(
    context: Any, count: int, shortest: int, longest: int, pause_ms: int, begun: int
) -> None:
    programs = [context.site.programs[spec.name] for spec in context.engines]

    def pause() -> None:
        for program in programs:
            program.freeze()
        time.sleep(pause_ms / 1_000.0)
        for program in programs:
            program.wake()

    _run(context, count, shortest, longest, begun, pause, repeatable=False)


@when(_STREAMS + ' run and engine "{name}" is frozen once {begun:d} of them have begun')
def run_and_freeze(
    context: Any, count: int, shortest: int, longest: int, name: str, begun: int
) -> None:
    _run(context, count, shortest, longest, begun, context.site.programs[name].freeze)


@when(
    _STREAMS + " run and all connections to the heads go silent "
    "once {begun:d} of them have begun"
)
def run_and_silence(context: Any, count: int, shortest: int, longest: int, begun: int) -> None:
    def silence() -> None:
        for spec in context.engines:
            if spec.first_layer == 0:
                order_engine(context.site, spec.name, silence=True)

    _run(context, count, shortest, longest, begun, silence)


def _run(
    context: Any,
    count: int,
    shortest: int,
    longest: int,
    begun: int = -1,
    act: Callable[[], None] | None = None,
    *,
    repeatable: bool = True,
) -> None:
    """Run streams through three hosts and cause the fault once enough have begun."""
    rng = context.site.rng
    prompts = [
        f"sample {number} strain {rng.random()} [tokens={rng.randint(shortest, longest)}]"
        for number in range(count)
    ]
    started = 0

    async def run_all() -> list[GenerationResult]:
        nonlocal started
        hosts = [
            create_host(f"h{n}", context.engines, seed=context.site.seed + n) for n in (1, 2, 3)
        ]
        fault: asyncio.Task[None] | None = None

        async def cause_fault() -> None:
            if act is not None:
                await asyncio.to_thread(act)
                context.fault_ms = create_clock().now_ms()

        def on_token(result: GenerationResult) -> None:
            nonlocal started, fault
            started += len(result.tokens) == 1
            if started >= begun > 0 and fault is None:
                fault = asyncio.create_task(cause_fault())

        runs = [
            run_generation(
                hosts[number % len(hosts)],
                prompt,
                f"q{number}",
                repeatable=repeatable,
                on_token=on_token,
            )
            for number, prompt in enumerate(prompts)
        ]
        results = await asyncio.gather(*runs)
        if begun > 0:
            assert fault is not None, f"only {started} streams began"
            await fault
        return results

    context.results = asyncio.run(run_all())


@then("each stream is complete and has the text for its own prompt")
def check_whole(context: Any) -> None:
    for result in context.results:
        _check_whole(context, result)


@then("each stream is complete, or is refused with may_have_run")
def check_whole_or_refused(context: Any) -> None:
    for result in context.results:
        if result.refusal is None:
            _check_whole(context, result)
            continue
        assert result.refusal.ran is Ran.MAY_HAVE_RUN, result
        expected = reference_tokens(result.prompt, context.layers, len(result.tokens))
        assert result.tokens == expected, result


def _check_whole(context: Any, result: GenerationResult) -> None:
    end = answer_end(result.prompt, 100_000)
    assert result.refusal is None, result
    assert result.finished is not None and result.finished.reason == end.finish_reason, result
    assert result.tokens == reference_tokens(result.prompt, context.layers, end.tokens), result


@then("some stream was refused")
def check_refused(context: Any) -> None:
    assert any(result.refusal is not None for result in context.results)


@then("no stream waited longer than {limit_ms:d} ms for its next token after the {fault}")
def check_gaps(context: Any, limit_ms: int, fault: str) -> None:
    gaps = []
    for result in context.results:
        after = [at for at in result.times_ms if at > context.fault_ms + _IN_FLIGHT_MS]
        before = [at for at in result.times_ms if at <= context.fault_ms + _IN_FLIGHT_MS]
        if after and before:
            gaps.append(after[0] - before[-1])
    resumed = _attempts(context)
    recovered = sum(1 for attempts in resumed.values() if len(attempts) > 1)
    gaps.sort()
    print(
        f"{fault}: {recovered} of {len(context.results)} streams resumed; wait for the next token "
        f"median {gaps[len(gaps) // 2]:.0f} ms, longest {gaps[-1]:.0f} ms"
    )
    assert recovered > 0
    assert gaps[-1] <= limit_ms, gaps[-5:]


@then("the journals show that each stage ran only its own layers")
def check_layers(context: Any) -> None:
    for spec in context.engines:
        for end in engine_journal(context.site, spec.name, "end"):
            for first_layer, last_layer, _count in end["layer_runs"]:
                assert (first_layer, last_layer) == (spec.first_layer, spec.last_layer), end
            ran = [
                index for first, count in end["index_runs"] for index in range(first, first + count)
            ]
            assert len(ran) == len(set(ran)), end


@then("nine in ten resumed streams kept their surviving stages and their KV caches")
def check_kept(context: Any) -> None:
    stages: dict[str, dict[int, dict[str, int]]] = {}
    for spec in context.engines:
        for line in engine_journal(context.site, spec.name, "start"):
            attempts = stages.setdefault(line["request_id"], {})
            attempts.setdefault(line["attempt"], {})[spec.name] = line["cached_tokens"]
    resumed = [attempts for attempts in stages.values() if 2 in attempts]
    kept = [
        attempts
        for attempts in resumed
        if len(attempts[1].keys() & attempts[2].keys()) == len(attempts[1]) - 1
        and all(attempts[2][name] > 0 for name in attempts[1].keys() & attempts[2].keys())
    ]
    print(f"{len(kept)} of {len(resumed)} resumed streams kept their surviving stages")
    assert len(kept) >= 0.9 * len(resumed) > 0


@then("each stream had {count:d} attempt")
def check_attempts(context: Any, count: int) -> None:
    for request_id, attempts in _attempts(context).items():
        assert len(attempts) == count, (request_id, attempts)


@then("each stream resumed at the same head")
def check_same_head(context: Any) -> None:
    for request_id, attempts in _attempts(context).items():
        assert len(set(attempts.values())) == 1, (request_id, attempts)


@then("the silent attempts were cancelled at their heads")
def check_cancelled(context: Any) -> None:
    wanted = {request for request, attempts in _attempts(context).items() if len(attempts) > 1}
    assert wanted

    def cancelled() -> bool:
        lines = [
            line
            for spec in context.engines
            if spec.first_layer == 0
            for line in engine_journal(context.site, spec.name, "cancel")
        ]
        return {line["request_id"] for line in lines if line["attempt"] == 1} >= wanted

    wait_until(cancelled, "all silent attempts are cancelled")


@then("some stream had a wrong answer")
def check_some_wrong(context: Any) -> None:
    faulty = [attempts for attempts in _attempts(context).values() if len(attempts) > 1]
    print(f"{len(faulty)} of {len(context.results)} streams were resumed")
    assert faulty


@then('engine "{name}" imported the KV cache of every stream that it took over')
def check_imported(context: Any, name: str) -> None:
    taken = [line for line in engine_journal(context.site, name, "start") if line["attempt"] > 1]
    assert taken
    for line in taken:
        assert line["imported_tokens"] >= line["first_index"], line


def _attempts(context: Any) -> dict[str, dict[int, str]]:
    """Return the head replica of each attempt of each request, from the heads' journals."""
    found: dict[str, dict[int, str]] = {}
    for spec in context.engines:
        for line in engine_journal(context.site, spec.name, "start"):
            if line["position"] == 0:
                found.setdefault(line["request_id"], {})[line["attempt"]] = spec.name
    return found
