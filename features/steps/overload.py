"""Steps for overload of a site through its entry hosts."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from features.support.layout import LAYERS, MODEL, EngineLayout, Layout, default_folder, headers_of
from features.support.site import wait_until

from pimentodale.addresses import parse_address
from pimentodale.clients.http_call import CallRequest, open_call
from pimentodale.clock import create_clock
from pimentodale.standin.reference_text import reference_tokens

if TYPE_CHECKING:
    import random

    from pimentodale.clock import Clock

TOKENS: Final = 24
TIMEOUT_MS: Final = 8_000.0
WARM_UP_S: Final = 9.0
SHARES: Final = {"lab": 1.3, "desk": 1.3, "bulk": 1.0}


@dataclass(slots=True)
class Sent:
    """One request as seen by its caller."""

    workspace: str
    prompt: str
    sent_ms: float
    status: int = 0
    first_ms: float = 0.0
    token_ms: list[float] = field(default_factory=list)
    ended_ms: float = 0.0
    text: str = ""
    done: bool = False
    cut_off: bool = False
    refusal: dict[str, Any] = field(default_factory=dict)


def mixed_engines() -> list[EngineLayout]:
    """Heads and tails of three kinds, 8-fold apart in speed, one failure domain for each kind."""
    kinds = {"huge": (20.0, 4), "medium": (40.0, 2), "small": (40.0, 1)}
    domains = {"huge": "nl-west-a", "medium": "nl-west-b", "small": "nl-west-c"}
    engines = []
    for kind, (step_ms, batch) in kinds.items():
        for name, first, last in (("head", 0, 12), ("tail", 12, 24)):
            replica = f"{name}-{kind}"
            layout = EngineLayout(replica, domains[kind], first, last, kind, step_ms, batch)
            engines.append(layout)
    return engines


@given("a site whose engines differ 8-fold in speed and run at most {bound:d} tokens per second")
def start_mixed_site(context: Any, bound: int) -> None:
    folder = default_folder()
    for workspace in folder["20-workspaces.yaml"]["workspaces"]:
        workspace["share"] = SHARES[workspace["name"]]
    context.layout = Layout(context.site, engines=mixed_engines(), folder=folder)
    heads = [engine for engine in context.layout.engines if engine.first_layer == 0]
    assert sum(engine.tokens_per_s for engine in heads) == bound
    context.bound_tokens_per_s = bound
    context.layout.start()
    context.flows = {}


@when('"{one}" and "{other}" send {rate:f} requests per second each of 24 tokens for {time_s:d} s')
def send_without_overload(context: Any, one: str, other: str, rate: float, time_s: int) -> None:
    context.quiet = (one, other)
    context.flows = {one: rate, other: rate}
    context.before = run_load(context, context.flows, time_s)


@when('"{name}" sends {rate:d} requests per second in addition for {time_s:d} s')
def send_overload(context: Any, name: str, rate: int, time_s: int) -> None:
    context.loud = name
    context.time_s = time_s
    context.sent = run_load(context, {**context.flows, name: float(rate)}, time_s)


def run_load(context: Any, flows: dict[str, float], time_s: int) -> list[Sent]:
    """Send each flow at its rate and return the requests sent after the warm-up."""
    clock = create_clock()
    rng: random.Random = context.site.rng
    everything: list[Sent] = []

    async def one(workspace: str, number: int) -> None:
        prompt = f"{workspace} sample {number} {rng.random()} [tokens={TOKENS}]"
        sent = Sent(workspace, prompt, clock.now_ms())
        everything.append(sent)
        await call(context.layout.entry_address(number % 3), sent, clock)

    async def flow(workspace: str, rate: float, end_ms: float) -> None:
        tasks = []
        number = 0
        due_ms = clock.now_ms() + rng.random() * 1000.0 / rate
        while due_ms < end_ms:
            await clock.sleep_ms(due_ms - clock.now_ms())
            tasks.append(asyncio.create_task(one(workspace, number)))
            number += 1
            due_ms += 1000.0 / rate * rng.uniform(0.5, 1.5)
        await asyncio.gather(*tasks)

    async def run() -> None:
        end_ms = clock.now_ms() + (WARM_UP_S + time_s) * 1000.0
        await asyncio.gather(*(flow(name, rate, end_ms) for name, rate in flows.items()))

    start_ms = clock.now_ms() + WARM_UP_S * 1000.0
    asyncio.run(run())
    window_ms = (start_ms, start_ms + time_s * 1000.0)
    context.window_ms = window_ms
    context.everything = everything
    return [sent for sent in everything if sent.sent_ms >= start_ms]


async def call(address: str, sent: Sent, clock: Clock) -> None:
    """Send one streamed completion and read its answer."""
    body = {"model": MODEL, "prompt": sent.prompt, "max_tokens": TOKENS, "stream": True}
    headers = headers_of(sent.workspace, **{"X-Request-Timeout-Ms": str(TIMEOUT_MS)})
    headers["Content-Type"] = "application/json"
    request = CallRequest(
        method="POST", path="/v1/completions", headers=headers, body=json.dumps(body).encode()
    )
    opened = await open_call(parse_address(address), request, TIMEOUT_MS + 2_000.0)
    assert opened.is_ok(), opened
    sent.status = opened.ok.status
    received = b""
    async for chunk in opened.ok.chunks(TIMEOUT_MS + 2_000.0):
        if chunk.is_error():
            break
        received += chunk.ok
        sent.token_ms += [clock.now_ms()] * (received.count(b'"text"') - len(sent.token_ms))
        if sent.token_ms and not sent.first_ms:
            sent.first_ms = sent.token_ms[0]
    opened.ok.close()
    sent.ended_ms = clock.now_ms()
    if sent.status != 200:
        sent.refusal = json.loads(received)
        return
    lines = [line[6:] for line in received.split(b"\n") if line.startswith(b"data: {")]
    choices = [choice for line in lines for choice in json.loads(line).get("choices", [])]
    sent.text = "".join(choice["text"] for choice in choices)
    sent.cut_off = b'data: {"error"' in received
    sent.done = received.endswith(b"data: [DONE]\n\n")


def percentile(values: list[float], percent: float) -> float:
    """Return the value that `percent` of 100 values do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def first_token_ms(sent: list[Sent], workspaces: tuple[str, ...]) -> float:
    """Return the 95th percentile (95 in 100 requests) of the time to the first token."""
    times = [s.first_ms - s.sent_ms for s in sent if s.workspace in workspaces and s.first_ms]
    return percentile(times, 95)


def tokens_run(context: Any) -> int:
    """Return the number of tokens that the first engines of all routes have run."""
    run = 0
    for lines in context.layout.engine_runs().values():
        ends = [line for line in lines if line["event"] == "end"]
        run += sum(count for end in ends for first, _, count in end["layer_runs"] if first == 0)
    return run


@then(
    "complete answers, all in the engines' journals, make up at least {percent:d} percent of that "
    "rate"
)
def check_goodput(context: Any, percent: int) -> None:
    start_ms, end_ms = context.window_ms
    whole = [sent for sent in context.everything if sent.done]
    # The last chunk has the finish reason and an empty text.
    times = [token_ms for sent in whole for token_ms in sent.token_ms[:TOKENS]]
    tokens = len([token_ms for token_ms in times if start_ms <= token_ms < end_ms])
    tokens_per_s = tokens / context.time_s
    # A head engine writes its journal line once its link reports the end, after the caller got its
    # answer.
    wait_until(
        lambda: tokens_run(context) >= len(whole) * TOKENS, "all answers are in the journals"
    )
    run = tokens_run(context)
    broken = len([sent for sent in context.everything if sent.cut_off])
    print(f"broken off {broken} of {len(whole) + broken}")
    print(f"whole answers {tokens_per_s:.1f} tokens/s of {context.bound_tokens_per_s}, {run} run")
    assert tokens_per_s >= context.bound_tokens_per_s * percent / 100, tokens_per_s


@then('no request of "{one}" and "{other}" is refused, and each text matches its own prompt')
def check_quiet(context: Any, one: str, other: str) -> None:
    for sent in context.sent:
        if sent.workspace in (one, other):
            assert sent.status == 200, sent
            assert sent.done, sent
        if sent.status == 200:
            # Either a complete answer or one that reports that it was cut off.
            assert sent.done != sent.cut_off, sent
        if sent.done:
            assert sent.text == "".join(reference_tokens(sent.prompt, LAYERS, TOKENS)), sent


@then("their 95th percentile time to first token is at most {factor:f} times that without overload")
def check_first_token(context: Any, factor: float) -> None:
    before_ms = first_token_ms(context.before, context.quiet)
    during_ms = first_token_ms(context.sent, context.quiet)
    loud_ms = first_token_ms(context.sent, (context.loud,))
    print(
        f"first token {before_ms:.0f} ms before, {during_ms:.0f} ms during; loud {loud_ms:.0f} ms"
    )
    assert during_ms <= before_ms * factor, (before_ms, during_ms)


@then(
    "{percent:d} percent of the refusals come within {limit_ms:d} ms, each with a retry delay and "
    '"{ran}"'
)
def check_refused(context: Any, percent: int, limit_ms: int, ran: str) -> None:
    refused = [sent for sent in context.sent if sent.status != 200]
    served = [sent for sent in context.sent if sent.status == 200]
    times = [sent.ended_ms - sent.sent_ms for sent in refused]
    names = {sent.refusal["name"] for sent in refused}
    taken_ms = percentile(times, percent)
    print(f"{len(served)} served, {len(refused)} refused as {names}, p{percent} {taken_ms:.1f} ms")
    assert len(refused) > len(served), (len(refused), len(served))
    assert all(sent.refusal["retry_after_ms"] > 0 for sent in refused)
    assert {sent.refusal["ran"] for sent in refused} == {ran}, refused[0]
    assert taken_ms <= limit_ms, taken_ms
