"""Steps for the stand-in engines and plain services."""

from __future__ import annotations

import asyncio
import http.client
import json
import time
from typing import Any, Final

from behave import given, then, when
from features.support.engines import (
    EngineAnswer,
    EngineSpec,
    call_engines,
    engine_journal,
    set_engine_fault,
    start_engines,
    tiles,
)
from features.support.site import http as call_http
from features.support.site import read_journal, wait_until

from pimentodale.clock import ManualClock
from pimentodale.standin._batch import Batch, Job
from pimentodale.standin.reference_text import reference_tokens

_PORT = 9000

JOB_TIMEOUT_S: Final = 10.0


def _pipeline(context: Any, engines: int, layers: int, *, shared: bool) -> None:
    share = layers // engines
    context.layers = layers
    context.engines = [
        EngineSpec(f"e{number}", context.site.ip(10 + number), number * share, (number + 1) * share)
        for number in range(engines)
    ]
    start_engines(context.site, context.engines, shared=shared)


@given("a pipeline of {engines:d} stand-in engine processes with {layers:d} layers")
def start_processes(context: Any, engines: int, layers: int) -> None:
    _pipeline(context, engines, layers, shared=False)


@given("a pipeline of {engines:d} stand-in engines in one process with {layers:d} layers")
def start_shared(context: Any, engines: int, layers: int) -> None:
    _pipeline(context, engines, layers, shared=True)


@given('stand-in engine {name} gives the wrong answer "{fault}"')
def set_wrong_answer(context: Any, name: str, fault: str) -> None:
    set_engine_fault(context.site, name, wrong_answer=fault)


@given('stand-in engine {name} has the fault "{fault}"')
def set_fault(context: Any, name: str, fault: str) -> None:
    set_engine_fault(context.site, name, **{fault: True})


@given('stand-in engine {name} crashes on the mark "{mark}"')
def set_crash_mark(context: Any, name: str, mark: str) -> None:
    set_engine_fault(context.site, name, crash_mark=mark)


@when("stand-in engine {name} is restarted")
def restart_engine(context: Any, name: str) -> None:
    set_engine_fault(context.site, name)
    spec = next(spec for spec in context.engines if spec.name == name)
    assert call_http(f"http://{spec.admin}/admin/faults", {"restart": True}).status == 200


@when('the prompt "{prompt}" is sent along the engines')
def send_prompt(context: Any, prompt: str) -> None:
    context.prompt = prompt
    context.answer = call_engines(context.engines, prompt)


@when(
    'the prompt "{prompt}" is sent along the engines and "{name}" is killed after {count:d} tokens'
)
def send_and_kill(context: Any, prompt: str, name: str, count: int) -> None:
    def kill() -> None:
        context.site.programs[name].kill()
        context.killed_s = time.monotonic()

    context.answer = call_engines(context.engines, prompt, after=count, do=kill)
    context.ended_s = time.monotonic()


@when('the prompt "{prompt}" is sent along the engines and dropped after {count:d} tokens')
def send_and_drop(context: Any, prompt: str, count: int) -> None:
    context.answer = call_engines(context.engines, prompt, stop_after=count)


@when('the prompt "{prompt}" is resumed along the engines after {count:d} reference tokens')
def resume_prompt(context: Any, prompt: str, count: int) -> None:
    context.prompt = prompt
    resume = reference_tokens(prompt, context.layers, count)
    context.answer = call_engines(context.engines, prompt, resume_tokens=resume)


@then("the engines' text is the reference text of {count:d} tokens")
def check_text(context: Any, count: int) -> None:
    answer: EngineAnswer = context.answer
    assert answer.finish_reason == "stop" and answer.done, answer
    assert answer.tokens == reference_tokens(context.prompt, context.layers, count), answer


@then("the engines' text is the reference text from token {first:d} to {count:d}")
def check_text_part(context: Any, first: int, count: int) -> None:
    expected = reference_tokens(context.prompt, context.layers, count)[first:]
    assert context.answer.tokens == expected, context.answer
    assert [note["index"] for note in context.answer.notes] == list(range(first, count))


@then("the engines' text is not the reference text of {count:d} tokens")
def check_other_text(context: Any, count: int) -> None:
    assert context.answer.tokens != reference_tokens(context.prompt, context.layers, count)


@then("every token's receipt from the engines tiles the layers")
def check_receipts(context: Any) -> None:
    assert all(tiles(note["receipt"], context.layers) for note in context.answer.notes)


@then("some token's receipt from the engines does not tile the layers")
def check_wrong_receipt(context: Any) -> None:
    assert not all(tiles(note["receipt"], context.layers) for note in context.answer.notes)


@then("the engines' journals show each of {count:d} tokens run once at each stage")
def check_journals(context: Any, count: int) -> None:
    for spec in context.engines:
        wait_until(lambda spec=spec: engine_journal(context.site, spec.name, "end"), spec.name, 5.0)
        (end,) = engine_journal(context.site, spec.name, "end")
        assert end["index_runs"] == [[0, count]], end
        assert end["layer_runs"] == [[spec.first_layer, spec.last_layer, count]], end


@then("the engines' journals show no token run")
def check_nothing_run(context: Any) -> None:
    for spec in context.engines:
        for end in engine_journal(context.site, spec.name, "end"):
            assert end["index_runs"] == [], end


@then('the engines\' stream ends with stage_lost "{name}" within {limit_ms:d} ms')
def check_stage_lost(context: Any, name: str, limit_ms: int) -> None:
    assert context.answer.stage_lost == name, context.answer
    assert not context.answer.done
    if "killed_s" in context:
        took_ms = (context.ended_s - context.killed_s) * 1000
        print(f"stage_lost came {took_ms:.1f} ms after the kill")
        assert took_ms < limit_ms, took_ms


@then('stand-in engine "{name}" holds no stream')
def check_no_stream(context: Any, name: str) -> None:
    spec = next(spec for spec in context.engines if spec.name == name)
    url = f"http://{spec.address}/v1/pimentodale/load"
    wait_until(lambda: call_http(url).json()["active"] == 0, f"{name} is free")


@then('the engines refuse with {status:d} and busy "{name}"')
def check_busy(context: Any, status: int, name: str) -> None:
    assert context.answer.status == status, context.answer
    refusal = {"busy": name, "request_id": "q1", "attempt": 1}
    assert json.loads(context.answer.body) == {"pimentodale": refusal}, context.answer


@given("a stand-in engine whose honours_fencing is {honours}")
def start_fenced(context: Any, honours: str) -> None:
    context.engines = [EngineSpec("e0", context.site.ip(10), 0, 8)]
    settings = {"honours_fencing": honours == "true", "load_ms": 50.0}
    start_engines(context.site, context.engines, **settings)


@when(
    'it is ordered to version "{first}" with number {number:d} '
    'and then to version "{second}" with number {lower:d}'
)
def give_orders(context: Any, first: str, number: int, second: str, lower: int) -> None:
    url = f"http://{context.engines[0].address}/v1/pimentodale/orders"
    for version, fencing_number in ((first, number), (second, lower)):
        order = {"fencing_number": fencing_number, "order": "version", "version": version}
        context.reply = call_http(url, order)


@then("the second order's status is {status:d}")
def check_order(context: Any, status: int) -> None:
    assert context.reply.status == status, context.reply
    if status == 409:
        assert context.reply.json() == {"highest_fencing_number": 7}, context.reply


@then('the stand-in engine comes to hold version "{version}"')
def check_version(context: Any, version: str) -> None:
    url = f"http://{context.engines[0].address}/v1/pimentodale/state"

    def held() -> bool:
        reached = call_http(url).json()["reached"]
        return bool(reached["version"] == version and reached["state"] == "live")

    wait_until(held, f"version {version} is held")


@given("a stand-in plain service")
def start_service(context: Any) -> None:
    context.address = f"{context.site.ip(30)}:{_PORT}"
    part = {"kind": "service", "service": "rigs", "replica": "r1", "listen": context.address}
    part["journal"] = str(context.site.folder / "r1.journal")
    path = context.site.write("r1.yaml", {"parts": [part]})
    context.site.start("r1", "pimentodale-standin", str(path))
    wait_until(lambda: _connects(context.site.ip(30)), "the service listens")


@when("it is called, called with its reply lost, and called while it refuses")
def call_service(context: Any) -> None:
    for number, fault in enumerate(("", "reply_lost", "refuse")):
        assert call_http(f"http://{context.address}/admin/faults", {"fault": fault}).status == 200
        headers = {"Idempotency-Key": f"k{number}", "X-Request-Id": f"q{number}"}
        try:
            reply = call_http(f"http://{context.address}/rigs/7?a=1", {"hold": 1}, headers=headers)
        except (OSError, http.client.HTTPException):
            assert fault == "reply_lost"
            continue
        assert reply.status == (503 if fault == "refuse" else 200), reply
        assert fault or reply.json()["echo"] == '{"hold": 1}', reply


@then("its journal shows {runs:d} runs with their keys and {refusals:d} refusal")
def check_service_journal(context: Any, runs: int, refusals: int) -> None:
    lines = read_journal(context.site.folder / "r1.journal")
    ran = [line["idempotency_key"] for line in lines if line["event"] == "run"]
    refused = [line for line in lines if line["event"] == "service_refused"]
    assert ran == [f"k{number}" for number in range(runs)], lines
    assert len(refused) == refusals, lines


def _connects(ip: str) -> bool:
    try:
        connection = http.client.HTTPConnection(ip, _PORT, timeout=1)
        connection.connect()
    except OSError:
        return False
    connection.close()
    return True


@given("a batch of one job a step, each of {step_ms:d} ms, that has been idle for {idle_ms:d} ms")
def plan_batch(context: Any, step_ms: int, idle_ms: int) -> None:
    context.clock = ManualClock()
    context.batch = Batch(context.clock, 1, 512, lambda: float(step_ms))
    context.idle_ms = float(idle_ms)


@when("{count:d} jobs come one after the other")
def submit_jobs(context: Any, count: int) -> None:
    async def submit() -> list[float]:
        running = asyncio.create_task(context.batch.run())
        await asyncio.sleep(0)
        context.clock.advance(context.idle_ms)
        taken_ms = []
        for _ in range(count):
            start_ms = context.clock.now_ms()
            done = asyncio.Event()
            context.batch.submit(Job(0, 0, done.set))
            await asyncio.wait_for(done.wait(), JOB_TIMEOUT_S)
            taken_ms.append(context.clock.now_ms() - start_ms)
        running.cancel()
        return taken_ms

    context.taken_ms = asyncio.run(submit())


@then("each takes {time_ms:d} ms")
def check_job_times(context: Any, time_ms: int) -> None:
    assert context.taken_ms == [float(time_ms)] * len(context.taken_ms), context.taken_ms
