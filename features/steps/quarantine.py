"""Steps for the quarantine of poison requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.support.engines import EngineSpec, engine_journal, start_engines
from features.support.generation_hosts import (
    GenerationHost,
    GenerationResult,
    create_host,
    fingerprint_of,
    join_peers,
    run_generation,
)
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from pimentodale.addresses import Address
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clock import ManualClock, create_clock
from pimentodale.quarantine.entries import QuarantineEntry, Strike, merge_entries
from pimentodale.quarantine.register import create_register
from pimentodale.results import ResultCode
from pimentodale.standin.reference_text import answer_end, reference_tokens

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_PEER_DELAY_MS = 30.0
_STORE_PORT = 2379
_MARK = "POISON"
_ENGINES = (
    "{replicas:d} engines for each of {ranges:d} ranges that crash on a marked prompt, "
    "and {hosts:d} entry hosts"
)


@given(_ENGINES)
def start_fleet(context: Any, replicas: int, ranges: int, hosts: int) -> None:
    _start(context, replicas, ranges, hosts)


@given(_ENGINES + " that are partitioned from each other")
def start_partitioned_fleet(context: Any, replicas: int, ranges: int, hosts: int) -> None:
    _start(context, replicas, ranges, hosts)
    context.peers_joined = False


def _start(context: Any, replicas: int, ranges: int, hosts: int) -> None:
    context.layers = 8 * ranges
    context.host_count = hosts
    context.peers_joined = True
    context.marked = []
    context.unmarked = []
    context.engines = [
        EngineSpec(
            f"e{number}{'abcdef'[replica]}",
            context.site.ip(10 + 10 * number + replica),
            8 * number,
            8 * number + 8,
        )
        for number in range(ranges)
        for replica in range(replicas)
    ]
    start_engines(
        context.site,
        context.engines,
        shared=True,
        step_ms=10,
        batch=64,
        slots=256,
        faults={"crash_mark": _MARK},
    )
    part = {"kind": "key_value", "listen": f"{context.site.ip(2)}:{_STORE_PORT}"}
    path = context.site.write("store.yaml", {"parts": [part]})
    context.store = context.site.start("store", "pimentodale-standin", str(path))
    context.site.wait_ready(f"http://{context.site.ip(2)}:{_STORE_PORT}/healthz")


@given("the key-value service of the quarantine is stopped")
def stop_store(context: Any) -> None:
    context.store.kill()


@when(
    "{count:d} unmarked streams run and the marked prompt is sent {times:d} times, "
    "each time through the next host"
)
def send_in_turn(context: Any, count: int, times: int) -> None:
    async def send_marked(hosts: list[GenerationHost]) -> None:
        for number in range(times):
            host = hosts[number % len(hosts)]
            context.marked.append(await _send_marked(host, f"p{number}"))

    _run_with_streams(context, count, send_marked)


@when(
    "{count:d} unmarked streams run and the caller of the marked prompt disconnects at each crash "
    "and sends it again {pause_ms:d} ms later"
)
def send_and_disconnect(context: Any, count: int, pause_ms: int) -> None:
    async def send_marked(hosts: list[GenerationHost]) -> None:
        for number in range(4):
            call = asyncio.create_task(_send_marked(hosts[number % len(hosts)], f"p{number}"))
            await _until_crash(context, call)
            if call.done():
                context.marked.append(call.result())
                continue
            call.cancel()
            await asyncio.wait([call])
            # The delay is part of the scenario; it does not wait for a condition.
            await asyncio.sleep(pause_ms / 1000)

    _run_with_streams(context, count, send_marked)


@when("the marked prompt is sent, and sent through all hosts at once after the first crash")
def send_at_once(context: Any) -> None:
    async def send_marked(hosts: list[GenerationHost]) -> None:
        first = asyncio.create_task(_send_marked(hosts[0], "p0"))
        await _until(lambda: bool(_crashes(context)))
        await asyncio.sleep(2 * _PEER_DELAY_MS / 1000)
        rest = [_send_marked(host, f"p{n}") for n, host in enumerate(hosts * 3, 1)]
        context.marked += [await first, *await asyncio.gather(*rest)]

    _run_with_streams(context, 0, send_marked)


@when("{count:d} unmarked streams run and two marked prompts are sent through two hosts")
def send_two(context: Any, count: int) -> None:
    async def send_marked(hosts: list[GenerationHost]) -> None:
        calls = [_send_marked(hosts[n], f"p{n}", f"{_MARK} number {n}") for n in (0, 1)]
        context.marked += await asyncio.gather(*calls)

    _run_with_streams(context, count, send_marked)


@when("the marked prompt is sent, and then sent through a host that starts later")
def send_through_new_host(context: Any) -> None:
    async def send_marked(hosts: list[GenerationHost]) -> None:
        context.marked.append(await _send_marked(hosts[0], "p0"))
        store = _create_store(context)
        late = create_host("late", context.engines, seed=context.site.seed, store=store)
        late.follow_store(store)
        fingerprint = fingerprint_of("voltwissel", _MARK)
        await _until(lambda: late.quarantine.register.is_convicted(fingerprint))
        context.marked.append(await _send_marked(late, "p1"))
        late.background.cancel()

    _run_with_streams(context, 0, send_marked)


def _run_with_streams(
    context: Any, count: int, send_marked: Callable[[list[GenerationHost]], Awaitable[None]]
) -> None:
    """Run unmarked streams, a new one as each ends, until all marked prompts have been sent."""
    rng = context.site.rng

    async def run_all() -> None:
        hosts = _create_hosts(context)
        sending = True

        async def run_streams(number: int) -> None:
            round_number = 0
            while sending or round_number == 0:
                prompt = (
                    f"tariff {number} {round_number} {rng.random()} [tokens={rng.randint(20, 60)}]"
                )
                host = hosts[(number + round_number) % len(hosts)]
                result = await run_generation(host, prompt, f"q{number}-{round_number}")
                context.unmarked.append(result)
                round_number += 1

        streams = [asyncio.create_task(run_streams(number)) for number in range(count)]
        await _until(lambda: len(context.unmarked) >= count // 4)
        await send_marked(hosts)
        sending = False
        await asyncio.gather(*streams)
        context.convicted = [
            entry.fingerprint
            for host in hosts
            for entry in host.quarantine.register.entries()
            if entry.convicted
        ]
        for host in hosts:
            await host.background.drain(50.0)
            host.background.cancel()

    asyncio.run(asyncio.wait_for(run_all(), 60.0))
    print(
        f"{len(_crashes(context))} engines crashed; {len(context.unmarked)} unmarked streams, "
        f"{sum(result.refusal is not None for result in context.unmarked)} refused; marked got "
        f"{[result.refusal.name for result in context.marked if result.refusal]}"
    )


def _create_hosts(context: Any) -> list[GenerationHost]:
    """Create the entry hosts, with peer connections between them unless they are partitioned."""
    hosts = []
    for number in range(context.host_count):
        store = _create_store(context)
        seed = context.site.seed + number
        hosts.append(create_host(f"h{number}", context.engines, seed=seed, store=store))
        hosts[-1].follow_store(store)
    if context.peers_joined:
        join_peers(hosts, _PEER_DELAY_MS)
    return hosts


def _create_store(context: Any) -> Any:
    return create_etcd_gateway([Address(context.site.ip(2), _STORE_PORT)], create_clock(), 300.0)


async def _send_marked(
    host: GenerationHost, request_id: str, prompt: str = _MARK
) -> GenerationResult:
    return await run_generation(host, prompt, request_id, workspace="voltwissel")


async def _until(condition: Callable[[], bool]) -> None:
    """Wait for a condition while the hosts continue to run."""
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.003)
    raise AssertionError("a condition was not met within 30 s")


async def _until_crash(context: Any, call: asyncio.Task[GenerationResult]) -> None:
    """Wait until one more engine has crashed or the call has ended."""
    crashes = len(_crashes(context))
    await _until(lambda: call.done() or len(_crashes(context)) > crashes)


def _crashes(context: Any) -> list[str]:
    return [
        spec.name for spec in context.engines if engine_journal(context.site, spec.name, "crash")
    ]


@then("at most {count:d} engines crashed")
def check_crashes(context: Any, count: int) -> None:
    crashed = _crashes(context)
    assert 1 <= len(crashed) <= count, crashed


@then("every unmarked stream is complete and none of them is convicted")
def check_unmarked(context: Any) -> None:
    assert context.unmarked
    for result in context.unmarked:
        end = answer_end(result.prompt, 100_000)
        assert result.refusal is None and result.finished is not None, result
        assert result.tokens == reference_tokens(result.prompt, context.layers, end.tokens), result
        assert fingerprint_of("trekvast", result.prompt) not in context.convicted, result


@then("the last {count:d} requests with the marked prompt were refused as quarantined")
def check_last_refused(context: Any, count: int) -> None:
    codes = [result.refusal.code for result in context.marked[-count:] if result.refusal]
    assert codes == [ResultCode.QUARANTINED] * count, context.marked


@then("the last request with the marked prompt was refused as quarantined")
def check_last_one_refused(context: Any) -> None:
    check_last_refused(context, 1)


@then("all requests with the marked prompt were refused as quarantined")
def check_all_refused(context: Any) -> None:
    check_last_refused(context, len(context.marked))


@then("the marked prompts were refused as quarantined")
def check_both_refused(context: Any) -> None:
    check_last_refused(context, len(context.marked))


@given(
    "a request that had just started at two crashes, and one that had been running for longer at "
    "the first of them"
)
def strike_both(context: Any) -> None:
    context.clock = ManualClock()
    context.register = create_register(context.clock)
    for name, first_is_fresh in (("first", True), ("other", False)):
        context.register.strike(name, Strike("e1", "b1", 1_000.0, first_is_fresh))
        context.register.strike(name, Strike("e2", "b2", 1_200.0, True))


@then("the first is not convicted, and waits for the trial of the other one")
def check_waits_for_trial(context: Any) -> None:
    context.register.convict_if_unexplained("first")
    assert not context.register.is_convicted("first")
    assert context.register.has_less_likely_suspects("first")


@then("the first is convicted once the other one has run without a crash")
def check_convicted_after(context: Any) -> None:
    assert not context.register.has_less_likely_suspects("other")
    context.clock.advance(2_000.0)
    context.register.close_strikes("other")
    assert not context.register.has_less_likely_suspects("first")
    context.register.convict_if_unexplained("first")
    assert context.register.is_convicted("first")


@then("the other one does not wait for the first")
def check_other_not_waiting(context: Any) -> None:
    assert not context.register.has_less_likely_suspects("other")
    assert not context.register.is_convicted("other")


_STRIKES = st.builds(
    Strike,
    replica=st.sampled_from(["e1", "e2"]),
    boot_id=st.sampled_from(["b1", "b2", "b3"]),
    at_ms=st.integers(0, 100_000).map(float),
)
_ENTRIES = st.builds(
    QuarantineEntry,
    fingerprint=st.just("f"),
    strikes=st.lists(_STRIKES, max_size=1),
    closed_at_ms=st.sampled_from([0.0, 50_000.0]),
    convicted=st.booleans(),
    expires_at_ms=st.sampled_from([1.0, 2.0]),
)


@when("quarantine entries are merged in any order and grouping")
def merge_in_any_order(context: Any) -> None:
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given_values(st.lists(_ENTRIES, min_size=2, max_size=5), st.randoms())
    def compare(entries: list[QuarantineEntry], rng: Any) -> None:
        shuffled = list(entries)
        rng.shuffle(shuffled)
        assert _comparable_fields(_merge(entries)) == _comparable_fields(_merge(shuffled)), (
            entries,
            shuffled,
        )

    context.property = compare


@then("they always result in the same entry")
def check_merge(context: Any) -> None:
    context.property()


def _merge(entries: list[QuarantineEntry]) -> QuarantineEntry:
    merged = entries[0]
    for entry in entries[1:]:
        merged = merge_entries(merged, entry)
    return merged


def _comparable_fields(entry: QuarantineEntry) -> tuple[Any, ...]:
    """Return what must not depend on the merge order: crashes, conviction and expiry."""
    crashes = {(strike.replica, strike.boot_id) for strike in entry.strikes}
    return crashes, entry.closed_at_ms, entry.convicted, entry.expires_at_ms
