"""Steps for engines and replicas of plain services that give nothing for a while."""

from __future__ import annotations

import asyncio
import signal
import socket
import threading
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from features.support.layout import FAILURE_DOMAINS, LAYERS, EngineLayout, Layout, headers_of
from features.support.memory_store import MemoryState, MemoryStore
from features.support.site import http as call_http
from features.support.streaming_callers import CallerResult, stream_completion

from pimentodale.addresses import Address
from pimentodale.background import create_background_tasks
from pimentodale.clock import create_clock
from pimentodale.configuration.documents import Operation, Service
from pimentodale.quarantine.crash_record import create_crash_record, fingerprint_of
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.services.crash_guard import create_crash_guard
from pimentodale.services.messages import ServiceCall, ServiceReplica

if TYPE_CHECKING:
    from collections.abc import Iterable

RANGES: Final = 2
REPLICAS: Final = 2

STEP_MS: Final = 40.0
"""60 tokens take 2.4 s, so that streams still run at the second pause."""

BETWEEN_PAUSES_S: Final = 0.6

READERS: Final = 16
READ_S: Final = 2.5
RETRY_S: Final = 0.05
READ_TIMEOUT_MS: Final = 1_150
"""Time limit of a call, later than the end of the pause; a half and a quarter of it end before."""

SILENT_NUMBER: Final = 181
QUEUED: Final = 8
"""More connections than a queue of the shortest length holds."""

RECHECKED_S: Final = 0.8


@given("an entry host before two engines for each of two ranges, and two replicas of a service")
def start_site(context: Any) -> None:
    share = LAYERS // RANGES
    engines = [
        EngineLayout(
            f"e{number}{'ab'[replica]}",
            FAILURE_DOMAINS[replica],
            number * share,
            (number + 1) * share,
            step_ms=STEP_MS,
            batch=64,
            slots=128,
        )
        for number in range(RANGES)
        for replica in range(REPLICAS)
    ]
    context.layout = Layout(context.site, engines=engines, services=REPLICAS, entries=1)
    context.layout.start()


@when(
    "{count:d} callers stream {tokens:d} tokens {when} a planned stop, "
    "and all engines pause {pauses:d} times for {pause_ms:d} ms"
)
def pause_under_streams(
    context: Any, count: int, tokens: int, when: str, pauses: int, pause_ms: int
) -> None:
    rng, entry = context.site.rng, context.layout.entry_address(0)
    prompts = [f"permit {n} {rng.random()} [tokens={tokens}]" for n in range(count)]
    names = [engine.replica for engine in context.layout.engines]
    begun: set[str] = set()
    all_begun = asyncio.Event()

    def on_token(result: CallerResult) -> None:
        begun.add(result.prompt)
        if len(begun) == count:
            all_begun.set()

    async def run_all() -> list[CallerResult]:
        calls = [
            stream_completion(entry, prompt, f"q{n}", on_token=on_token)
            for n, prompt in enumerate(prompts)
        ]
        streams = asyncio.gather(*calls)
        await asyncio.wait_for(all_begun.wait(), 10.0)
        if when == "during":
            _begin_stop(context)
        for number in range(pauses):
            if number:
                await asyncio.sleep(BETWEEN_PAUSES_S)
            await asyncio.to_thread(_pause, context, names, pause_ms)
        return await asyncio.wait_for(streams, 30.0)

    context.results = asyncio.run(run_all())
    _print_results(context, tokens)


def _begin_stop(context: Any) -> None:
    """Ask the entry host to stop, as for planned work."""
    context.site.programs["entry-0"].process.send_signal(signal.SIGTERM)


def _pause(context: Any, names: Iterable[str], pause_ms: int) -> None:
    """Stop programs and let them go on after a while."""
    programs = [context.site.programs[name] for name in names]
    for program in programs:
        program.freeze()
    time.sleep(pause_ms / 1_000.0)
    for program in programs:
        program.wake()


def _print_results(context: Any, tokens: int) -> None:
    """Print how the streams ended and the longest wait of a caller for a token."""
    whole = [result for result in context.results if len(result.tokens) == tokens and result.done]
    refusals = Counter(result.refusal["name"] for result in context.results if result.refusal)
    waits_ms = [
        after - before
        for result in context.results
        for before, after in zip(result.times_ms, result.times_ms[1:], strict=False)
    ]
    starts = [
        line["attempt"]
        for lines in context.layout.engine_runs().values()
        for line in lines
        if line["event"] == "start" and line["position"] == 0
    ]
    again = sum(1 for attempt in starts if attempt > 1)
    print(
        f"{len(whole)} of {len(context.results)} streams whole, refused {dict(refusals)}, "
        f"{again} further attempts, longest wait {max(waits_ms, default=0.0):.0f} ms"
    )


@when(
    "16 callers read through the entry host {when} a planned stop, and all replicas pause for "
    "{pause_ms:d} ms"
)
def pause_under_reads(context: Any, when: str, pause_ms: int) -> None:
    url = context.layout.entry_url(0, "/services/rigs/status/rig-1")
    headers = headers_of("lab", **{"X-Request-Timeout-Ms": str(READ_TIMEOUT_MS)})
    context.replies = []
    context.broken = []
    end_s = time.monotonic() + READ_S

    def read() -> None:
        while time.monotonic() < end_s:
            try:
                context.replies.append(call_http(url, headers=headers))
            except OSError as error:
                # A host that has stopped takes no connection.
                if not isinstance(getattr(error, "reason", None), ConnectionRefusedError):
                    context.broken.append(error)
                time.sleep(RETRY_S)

    callers = [threading.Thread(target=read) for _ in range(READERS)]
    for caller in callers:
        caller.start()
    time.sleep(0.5)
    pause = threading.Thread(
        target=_pause, args=(context, [f"rigs-{n}" for n in range(REPLICAS)], pause_ms)
    )
    pause.start()
    if when == "during":
        # Calls are at the replicas by then.
        time.sleep(0.1)
        _begin_stop(context)
    pause.join()
    for caller in callers:
        caller.join(20.0)


@then("each call is answered by a replica or refused as not run")
def check_reads(context: Any) -> None:
    bodies = [reply.json() for reply in context.replies if reply.status != 200]
    ends = Counter((body.get("name", ""), body.get("ran", "")) for body in bodies)
    whole = sum(1 for reply in context.replies if reply.status == 200)
    print(f"{whole} calls whole, others {dict(ends)}, {len(context.broken)} broken")
    assert whole > READERS
    assert not context.broken, context.broken[:3]
    assert {ran for _, ran in ends} <= {"not_run"}, ends


@given("a replica of a plain service whose queue of connections is full")
def fill_queue(context: Any) -> None:
    listener = socket.create_server((context.site.ip(SILENT_NUMBER), 0), backlog=0)
    context.add_cleanup(listener.close)
    ip, port = listener.getsockname()
    context.replica = ServiceReplica("rigs-0", Address(ip, port))
    for _ in range(QUEUED):
        queued = socket.socket()
        queued.setblocking(False)
        queued.connect_ex((ip, port))
        context.add_cleanup(queued.close)


@when("the reply of a call to it is lost")
def lose_reply(context: Any) -> None:
    clock = create_clock()
    operation = Operation(method="GET", path="/*", repeatable=True)
    context.call = ServiceCall(
        workspace="lab",
        service=Service(name="rigs", operations=[operation]),
        operation=operation,
        method="GET",
        path="/status/rig-1",
        deadline_ms=clock.now_ms() + 5_000.0,
        request_id="call-1",
    )

    async def note_lost() -> None:
        context.record = create_crash_record(clock)
        store = MemoryStore(MemoryState(clock))
        retrials = create_retrials("e1", clock, context.record, store)
        guard = create_crash_guard(context.record, retrials, clock, create_background_tasks())
        await guard.note_lost_reply(context.call, context.replica)
        # The guard looks at the replica once more.
        await asyncio.sleep(RECHECKED_S)

    asyncio.run(note_lost())


@then("no crash is recorded for the call")
def check_no_crash(context: Any) -> None:
    name = fingerprint_of("rigs GET /status/rig-1", "lab", b"")
    found = context.record.find(name)
    assert found is None or not found.fresh, found
