"""Steps for requests that crash the replicas of the users' platform that run them."""

from __future__ import annotations

import asyncio
import dataclasses
import http.client
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import patch

from behave import given, then, when
from features.support.engine_fleet import replica
from features.support.gateway_site import ENGINE_REPLICAS, GATEWAYS, PLAIN_REPLICAS
from features.support.memory_store import MemoryState, MemoryStore
from features.support.replica_view import create_replica_view
from features.support.site import wait_until
from features.support.virtual_time import VirtualClock, VirtualTimeLoop, run_virtually

from pimentodale.background import create_background_tasks
from pimentodale.clients.key_value import KeyValue, StoreFault
from pimentodale.clock import ManualClock, create_clock
from pimentodale.forwarding.crash_detector import create_crash_detector
from pimentodale.forwarding.error_responses import refuse_quarantined
from pimentodale.forwarding.plain_requests import serve_plain
from pimentodale.forwarding.streams import serve_stream
from pimentodale.leaving.leaving_servers import create_leaving_servers
from pimentodale.mirror.mirror import create_mirror
from pimentodale.platform.configuration import CONFIGURATION_KEY, decode_configuration
from pimentodale.platform.replica_records import REPLICA_PREFIX, decode_replica
from pimentodale.quarantine.crash_record import (
    CRASH_RETENTION_MS,
    CrashEntry,
    create_crash_record,
    fingerprint_of,
)
from pimentodale.quarantine.crash_sharing import CRASH_PREFIX, merge_crashes, share_crashes
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.quarantine.spread_writes import create_spread_writes
from pimentodale.quarantine.store_writer import create_store_writer
from pimentodale.site.replica_health import create_replica_health
from pimentodale.site.view import SiteRecords, create_site_view

POISON = fingerprint_of("/p", "w", b"poison")
"""Fingerprint of the request that crashes replicas."""


@dataclass(slots=True)
class SentRequest:
    """What the crash detector knows of a request."""

    fingerprint: str = POISON
    part_keys: tuple[str, ...] = ()
    has_progressed: bool = False
    sends: int = 0
    rejections: int = 0
    trial_of: str = ""
    history: list[str] = field(default_factory=list)
    service: Any = None
    exchange: Any = None

    @property
    def is_on_trial(self) -> bool:
        """Whether it was granted a trial run."""
        return bool(self.trial_of)


CRASHES = {
    "its first replica, with a reset": ("/lm/stream", b"poison"),
    "its first replica, which falls silent": ("/lm/stream", b"silent poison"),
    "the last replica of its path": ("/lm/stream", b"last part poison"),
    "a plain replica, with a reset": ("/read/poison", b"poison"),
    "a plain replica, which falls silent": ("/read/poison", b"silent poison"),
}
"""Path and body of a request, by what it crashes."""

REPLICA_RESTART_S = 1.2
"""Delay before a caller retries; a crashed replica is back after 1 s."""

KILL_INTERVAL_S = 1.6
"""Delay between killing one gateway and the next."""


@when("a request that crashes {what} is sent {times:d} times through both gateways")
def send_through_both(context: Any, what: str, times: int) -> None:
    for number in range(times):
        send(context, what, GATEWAYS[number % 2])


def send(context: Any, what: str, gateway: str) -> None:
    """Send the request once, and wait until the crashed replica has restarted."""
    path, body = CRASHES[what]
    wait_until(lambda: is_served(context, gateway, path), "it can be served", 10.0)
    try:
        reply = context.gateways.request(gateway, path, body=body)
        context.last = (reply.status, reply.json()["name"])
    except (OSError, http.client.HTTPException, ValueError):
        context.last = (0, "connection closed")
    time.sleep(REPLICA_RESTART_S)


def is_served(context: Any, gateway: str, path: str) -> bool:
    """Whether a gateway answers a harmless request on the same path."""
    try:
        return context.gateways.request(gateway, path).status == 200
    except (OSError, http.client.HTTPException, ValueError):
        return False


@when(
    "a request that crashes {what} is sent {times:d} times by a caller that disconnects "
    "after {ms:d} ms"
)
def send_and_disconnect(context: Any, what: str, times: int, ms: int) -> None:
    path, body = CRASHES[what]
    for number in range(times):
        name = GATEWAYS[number % 2]
        wait_until(lambda name=name: is_served(context, name, path), "it can be served", 10.0)
        connection = http.client.HTTPConnection(context.gateways.ip(name), 7000, timeout=5.0)
        connection.request("POST", path, body, context.gateways.headers())
        time.sleep(ms / 1_000.0)
        connection.close()
        time.sleep(REPLICA_RESTART_S)
    send(context, what, GATEWAYS[0])


@when("a request that crashes {what} is sent {times:d} times while the gateways are killed in turn")
def send_between_kills(context: Any, what: str, times: int) -> None:
    site = context.gateways
    for number in range(times):
        send(context, what, GATEWAYS[number % 2])
        if number % 2 == 0:
            continue
        for name in GATEWAYS:
            context.site.programs[name].kill()
            site.start_gateway(name)
            time.sleep(KILL_INTERVAL_S)


@then("at most {most:d} replicas have crashed and the request is refused from then on")
def check_crashes(context: Any, most: int) -> None:
    crashes = context.gateways.journal("crash")
    assert crashes, "nothing crashed"
    assert len(crashes) <= most, (len(crashes), context.last)
    assert context.last == (502, "quarantined"), context.last


@then("both gateways serve other reads and streams again")
def check_others_served(context: Any) -> None:
    for name in GATEWAYS:
        for path in ("/read/poison", "/lm/stream"):
            wait_until(
                lambda name=name, path=path: is_served(context, name, path),
                f"{name} serves {path}",
                8.0,
            )


@when("the fault in the replicas is fixed")
def fix_fault(context: Any) -> None:
    for name in (*ENGINE_REPLICAS, *PLAIN_REPLICAS):
        context.gateways.admin(name, "cure")


@then("the request is served through both gateways within {bound_s:d} s")
def check_cleared(context: Any, bound_s: int) -> None:
    end_s = time.monotonic() + bound_s

    def is_served_now(name: str) -> bool:
        return bool(context.gateways.request(name, "/read/poison", body=b"poison").status == 200)

    for name in GATEWAYS:
        left_s = end_s - time.monotonic()
        wait_until(lambda name=name: is_served_now(name), f"{name} serves it", left_s)


HARMLESS = fingerprint_of("/p", "w", b"innocent")


@given("two hosts that share crash entries")
def make_records(context: Any) -> None:
    clock = ManualClock(1_000.0)
    first, second = context.records = [create_crash_record(clock), create_crash_record(clock)]
    first.subscribe(lambda entry: second.receive(entry, "first"))
    second.subscribe(lambda entry: first.receive(entry, "second"))


@when("a request is running at three crashes, each observed by one of the hosts")
def crash_three(context: Any) -> None:
    for number in range(3):
        host = context.records[number % 2]
        host.strike(POISON, f"replica-{number}", is_fresh=True)
        if number < 2:
            host.strike(HARMLESS, f"replica-{number}", is_fresh=True)


@when("both hosts observe the same crash three times")
def crash_same(context: Any) -> None:
    for _ in range(3):
        for host in context.records:
            host.strike(POISON, "replica-0", is_fresh=True)


@when(
    "a request is running at two crashes, completes on one host, and is running at two more crashes"
)
def crash_and_clear(context: Any) -> None:
    for number in range(4):
        if number == 2:
            context.records[0].clear(POISON)
        context.records[1].strike(POISON, f"replica-{number}", is_fresh=True)


@when("a request had been running for longer at {count:d} crashes")
def crash_late(context: Any, count: int) -> None:
    for number in range(count):
        context.records[number % 2].strike(POISON, f"replica-{number}", is_fresh=False)


@given("two hosts that can reach the store but not each other")
def make_partitioned(context: Any) -> None:
    context.records = [create_crash_record(create_clock()) for _ in range(2)]


@when(
    "a request is running at two crashes observed by the first host, and at one observed by the "
    "second"
)
def crash_partitioned(context: Any) -> None:
    asyncio.run(share_through_store(context.records))


async def share_through_store(records: list[Any]) -> None:
    """Let hosts write their changes to the store and merge what they read from it."""
    state = MemoryState(create_clock())
    peers = SimpleNamespace(publish=lambda *_, **__: None, subscribe=lambda *_: None)
    tasks = []
    for number, record in enumerate(records):
        writer = create_store_writer(create_clock(), MemoryStore(state), CRASH_RETENTION_MS)
        tasks.append(asyncio.create_task(writer.run()))
        share_crashes(record, peers, writer.put, f"host-{number}")
    records[0].strike(POISON, "replica-0", is_fresh=True)
    records[0].strike(POISON, "replica-1", is_fresh=True)
    records[1].strike(POISON, "replica-2", is_fresh=True)
    for _ in range(2):
        await asyncio.sleep(0.1)
        for record in records:
            for item in list(state.items.values()):
                merge_crashes(record, item.value, item.key)
    for task in tasks:
        task.cancel()


MIRROR_INTERVAL_MS = 500.0
"""Interval at which hosts hear of changes in the store."""

PARTS = [f"part-{number}" for number in range(3)]


@given("{count:d} hosts that follow one store")
def make_following(context: Any, count: int) -> None:
    loop = context.loop = VirtualTimeLoop()
    clock, rng = VirtualClock(loop), random.Random(context.site.seed)
    state = context.state = MemoryState(clock)
    context.background = create_background_tasks()
    peers = SimpleNamespace(publish=lambda *_, **__: None, subscribe=lambda *_: None)
    context.records = []
    mirror: dict[str, bytes] = {}

    async def follow() -> None:
        while True:
            await clock.sleep_ms(MIRROR_INTERVAL_MS)
            mirror.update({item.key: item.value for item in state.items.values()})

    async def start() -> None:
        context.background.start(follow(), "mirror")
        for number in range(count):
            record = create_crash_record(clock)
            writer = create_store_writer(clock, MemoryStore(state), CRASH_RETENTION_MS)
            context.background.start(writer.run(), "writer")
            share_crashes(
                record,
                peers,
                writer.put,
                f"h{number}",
                schedule=create_spread_writes(clock, context.background, rng).schedule,
                find_stored=lambda part: [
                    mirror[key] for key in mirror if key.startswith(f"{CRASH_PREFIX}{part}/")
                ],
            )
            context.records.append(record)

    run_virtually(loop, start())


@when("all of them observe {crashes:d} crashes of 3 parts within {within_ms:d} ms")
def observe_together(context: Any, crashes: int, within_ms: int) -> None:
    async def observe(record: Any, delay_ms: float) -> None:
        await asyncio.sleep(delay_ms / 1_000.0)
        for part in PARTS:
            for number in range(crashes):
                record.strike(part, f"r{number}/1", is_fresh=True, events=number, request="f")

    async def observe_all() -> None:
        rng = random.Random(context.site.seed)
        delays_ms = [rng.uniform(0.0, within_ms) for _ in context.records]
        await asyncio.gather(*map(observe, context.records, delays_ms))

    context.crashes = {f"r{number}/1" for number in range(crashes)}
    run_virtually(context.loop, observe_all())


@then(
    "within {within_s:d} s the store holds all these crashes, and at most {most:d} hosts"
    " have written any"
)
def check_few_wrote(context: Any, within_s: int, most: int) -> None:
    run_virtually(context.loop, asyncio.sleep(within_s))
    check_stored(context)
    hosts = {key.rpartition("/")[2] for key in context.state.items}
    print(f"{len(hosts)} hosts have written {len(context.state.items)} keys")
    assert len(hosts) <= most, hosts


@when("one of them observes a third crash of each")
def observe_third(context: Any) -> None:
    async def observe() -> None:
        for part in PARTS:
            context.records[0].strike(part, "third/1", is_fresh=True)

    context.crashes |= {"third/1"}
    run_virtually(context.loop, observe())


@then("the store holds all these crashes within {within_ms:d} ms")
def check_stored_soon(context: Any, within_ms: int) -> None:
    run_virtually(context.loop, asyncio.sleep(within_ms / 1_000.0))
    check_stored(context)
    context.background.cancel()
    run_virtually(context.loop, asyncio.sleep(0.0))
    context.loop.close()


def check_stored(context: Any) -> None:
    """Check that a host that starts now reads all crashes of the parts."""
    record = create_crash_record(ManualClock(1_000.0))
    for item in context.state.items.values():
        merge_crashes(record, item.value, item.key)
    for part in PARTS:
        assert record.open_crashes(part) == context.crashes, record.find(part)


@given("{count:d} hosts, one of which can't reach the store, that refuse a request")
def make_refusing(context: Any, count: int) -> None:
    context.clock = ManualClock(1_000.0)
    state = MemoryState(context.clock)

    async def unreachable(_stage: str) -> StoreFault:
        return StoreFault(False, "unreachable")

    context.records = [create_crash_record(context.clock) for _ in range(count)]
    context.retrials = []
    for number, record in enumerate(context.records):
        store = MemoryStore(state, unreachable) if number == 0 else MemoryStore(state)
        context.retrials.append(create_retrials(f"g{number}", context.clock, record, store))
    crash_everywhere(context, 3)


def crash_everywhere(context: Any, count: int) -> None:
    """Record further crashes on every host."""
    for record in context.records:
        for _ in range(count):
            crash = f"replica-{len(record.find(POISON).fresh) if record.find(POISON) else 0}"
            record.strike(POISON, crash, is_fresh=True)


@when(
    "it is sent to each of them every second for {length_s:d} s and crashes a replica in each trial"
)
def send_for_long(context: Any, length_s: int) -> None:
    context.trials_s = []
    asyncio.run(acquire_trials(context, length_s))


async def acquire_trials(context: Any, length_s: int, *, is_rejected: bool = False) -> None:
    """Try to acquire a trial on all hosts at once, every second; each crashes a replica otherwise."""
    for second in range(length_s):
        taken = await asyncio.gather(*(each.acquire(POISON) for each in context.retrials))
        for retrials in itertools.compress(context.retrials, taken):
            context.trials_s.append(second)
            if is_rejected:
                retrials.note_rejected(POISON)
            else:
                crash_everywhere(context, 1)
        context.clock.advance(1_000.0)


@when("it is sent to each of them every second for {length_s:d} s and is rejected in each trial")
def send_rejected(context: Any, length_s: int) -> None:
    context.trials_s = []
    asyncio.run(acquire_trials(context, length_s, is_rejected=True))


@then("it has run in trials after {seconds} s")
def check_trial_times(context: Any, seconds: str) -> None:
    assert context.trials_s == [int(each) for each in seconds.split(", ")], context.trials_s


@then("it has run in two trials, the first of them 30 s after its last crash")
def check_trials(context: Any) -> None:
    assert len(context.trials_s) == 2, context.trials_s
    assert context.trials_s[0] == 30, context.trials_s
    assert context.trials_s[1] - context.trials_s[0] >= 120, context.trials_s


@given("another request that they refuse has {count:d} of its crashes")
def crash_beside(context: Any, count: int) -> None:
    shared = [f"replica-{number}" for number in range(count)]
    own = [f"another-{number}" for number in range(3 - count)]
    for record in context.records:
        for crash in (*shared, *own):
            record.strike(HARMLESS, crash, is_fresh=True)


@given("another request that they don't refuse has {count:d} of its crashes")
def crash_beside_unrefused(context: Any, count: int) -> None:
    for record in context.records:
        for number in range(count):
            record.strike(HARMLESS, f"replica-{number}", is_fresh=True)
        assert not record.is_convicted(HARMLESS)


@then("it has run in {trials:d} trials, the first of them after {after_s:d} s")
def check_first_trial(context: Any, trials: int, after_s: int) -> None:
    assert len(context.trials_s) == trials, context.trials_s
    assert context.trials_s[0] == after_s, context.trials_s


@given("a host that refuses two requests for the same three crashes")
def make_sharing(context: Any) -> None:
    context.clock = create_clock()
    record = create_crash_record(context.clock)
    for number in range(3):
        for fingerprint in (POISON, HARMLESS):
            record.strike(fingerprint, f"replica-{number}/1", is_fresh=True)
    context.detector = create_crash_detector(
        context.clock,
        record,
        create_replica_view(context.clock),
        create_replica_health(context.clock),
        create_background_tasks(),
        create_retrials("g1", context.clock, record, MemoryStore(MemoryState(context.clock))),
    )


@when("one of them is sent by two clients, and is answered in {answer_ms:d} ms where it runs")
def send_harmless(context: Any, answer_ms: int) -> None:
    context.answers = asyncio.run(send_twice(context.detector, answer_ms))


async def send_twice(detector: Any, answer_ms: int) -> list[tuple[bool, bool, float]]:
    """Send the harmless request twice; return of each whether it was refused, on trial, and its time."""
    started_s = time.monotonic()

    async def send_one() -> tuple[bool, bool, float]:
        routed = SentRequest(HARMLESS)
        is_refused = await detector.is_refused(routed)
        if not is_refused:
            await asyncio.sleep(answer_ms / 1_000.0)
            detector.note_whole(routed, [], events=0, runs=1)
        return is_refused, routed.is_on_trial, (time.monotonic() - started_s) * 1_000.0

    return await asyncio.gather(send_one(), send_one())


@then("both are answered within {most_ms:d} ms, one of them in a trial")
def check_both_answered(context: Any, most_ms: int) -> None:
    assert not any(is_refused for is_refused, _, _ in context.answers), context.answers
    assert sum(is_on_trial for _, is_on_trial, _ in context.answers) == 1, context.answers
    assert max(took_ms for _, _, took_ms in context.answers) <= most_ms, context.answers


@when("one of them crashes a replica in its trial, and is sent again after {after_ms:d} ms")
def crash_in_trial(context: Any, after_ms: int) -> None:
    context.verdict = asyncio.run(send_after_trial(context.detector, after_ms))


async def send_after_trial(detector: Any, after_ms: int) -> tuple[bool, float]:
    """Send a request in a trial that crashes a replica, and again; return the second verdict and its time."""
    on_trial = SentRequest(POISON)
    assert not await detector.is_refused(on_trial)
    assert on_trial.is_on_trial
    detector.record.strike(POISON, "replica-3/1", is_fresh=True)
    await asyncio.sleep(after_ms / 1_000.0)
    started_s = time.monotonic()
    is_refused = await detector.is_refused(SentRequest(POISON))
    return is_refused, (time.monotonic() - started_s) * 1_000.0


@when("one of them is sent as a {kind} after {after_ms:d} ms, and nothing can run it")
def send_in_vain(context: Any, kind: str, after_ms: int) -> None:
    context.answers = []
    asyncio.run(serve_in_vain(context, kind, after_ms))


async def serve_in_vain(context: Any, kind: str, after_ms: int) -> None:
    """Serve a request whose replicas don't hold the whole model, or that has no replica."""

    async def answer(status: int, headers: list[tuple[str, str]], _body: bytes) -> None:
        context.answers.append((status, dict(headers)))

    routed: Any = SentRequest(POISON)
    routed.service = SimpleNamespace(name="s", engine=SimpleNamespace(layers=8))
    routed.exchange = SimpleNamespace(request=None, answer=answer, is_begun=False)
    ctx: Any = SimpleNamespace(crashes=context.detector, rng=random.Random(context.site.seed))
    await asyncio.sleep(after_ms / 1_000.0)
    with (
        patch("pimentodale.forwarding.streams.covers_model", return_value=False),
        patch("pimentodale.forwarding.plain_requests.choose_replica", return_value=None),
        patch("pimentodale.forwarding.error_responses.log_end"),
    ):
        if kind == "stream":
            await serve_stream(ctx, cast("Any", None), routed)
        else:
            await serve_plain(ctx, routed)
    context.repeated = SentRequest(POISON)
    await context.detector.is_refused(context.repeated)


@when(
    "a replica rejects one of them in its trial, and after {after_ms:d} ms the next trial reaches none"
)
def reach_none_in_second(context: Any, after_ms: int) -> None:
    asyncio.run(send_after_unused_trial(context, after_ms))


async def send_after_unused_trial(context: Any, after_ms: int) -> None:
    """Send a request after a trial that a replica rejected and one that reached none."""
    unused = await send_after_rejection(context.detector, after_ms)
    assert unused.is_on_trial
    await note_ended(context, unused)
    context.repeated = SentRequest(POISON)
    await context.detector.is_refused(context.repeated)


@when("one of them is refused after {sends:d} sends, of which {rejections:d} were rejected")
def refuse_after(context: Any, sends: int, rejections: int) -> None:
    context.answers = []

    async def answer(status: int, headers: list[tuple[str, str]], _body: bytes) -> None:
        context.answers.append((status, dict(headers)))

    routed: Any = SentRequest(POISON, sends=sends, rejections=rejections)
    routed.exchange = SimpleNamespace(answer=answer, is_begun=False)
    ctx: Any = SimpleNamespace(crashes=context.detector, rng=random.Random(context.site.seed))
    with patch("pimentodale.forwarding.error_responses.log_end"):
        asyncio.run(refuse_quarantined(ctx, routed))


@then("it is answered with status {status:d}")
def check_status(context: Any, status: int) -> None:
    assert [each for each, _ in context.answers] == [status], context.answers


@then("it is answered 503 with a Retry-After, and its trial is left")
def check_may_come_back(context: Any) -> None:
    ((status, headers),) = context.answers
    assert status == 503, status
    assert 1.0 <= float(headers["Retry-After"]) <= 2.0, headers
    assert context.repeated.is_on_trial


@when("a replica rejects one of them in its trial, and it is sent again after {after_ms:d} ms")
def reject_in_trial(context: Any, after_ms: int) -> None:
    context.repeated = asyncio.run(send_after_rejection(context.detector, after_ms))


async def send_after_rejection(detector: Any, after_ms: int) -> SentRequest:
    """Send a request in a trial that a replica rejects, and again; return the second one."""
    on_trial = SentRequest(POISON)
    assert not await detector.is_refused(on_trial)
    on_trial.sends = on_trial.rejections = 1
    detector.note_ended(on_trial)
    await asyncio.sleep(after_ms / 1_000.0)
    repeated = SentRequest(POISON)
    await detector.is_refused(repeated)
    return repeated


@then("it runs in a trial again")
def check_second_trial(context: Any) -> None:
    assert context.repeated.is_on_trial


@then("it is refused within {most_ms:d} ms")
def check_refused_at_once(context: Any, most_ms: int) -> None:
    is_refused, took_ms = context.verdict
    assert is_refused
    assert took_ms <= most_ms, took_ms


@then("both hosts refuse it")
def check_refused(context: Any) -> None:
    assert all(host.is_convicted(POISON) for host in context.records)


@then("a request that was running at two of them is not refused")
def check_harmless(context: Any) -> None:
    assert not any(host.is_convicted(HARMLESS) for host in context.records)


@then("neither refuses the request")
def check_not_refused(context: Any) -> None:
    assert not any(host.is_convicted(POISON) for host in context.records)


@then("entries that are received in any order, and more than once, merge to the same result")
def check_merges(context: Any) -> None:
    rng = random.Random(context.site.seed)
    for _ in range(200):
        names = [f"replica-{number}" for number in range(6)]
        entries = [
            CrashEntry(POISON, *(rng.sample(names, rng.randrange(4)) for _ in range(3)))
            for _ in range(4)
        ]
        found = []
        for _ in range(3):
            record = create_crash_record(ManualClock(1_000.0))
            for entry in rng.sample(entries * 2, len(entries) * 2):
                record.receive(entry, "a host")
            merged = record.find(POISON)
            found.append([set(part) for part in (merged.fresh, merged.late, merged.cleared)])
        assert found[0] == found[1] == found[2], entries


@given("a host that knows of a replica")
def make_view(context: Any) -> None:
    clock = create_clock()
    context.view = create_site_view(
        SiteRecords(CONFIGURATION_KEY, REPLICA_PREFIX, decode_configuration, decode_replica),
        create_mirror(clock),
        clock,
    )
    context.view.leaving = create_leaving_servers(
        clock, lambda *_: None, context.view.note_leaving_changed
    )
    context.revision = 0
    put_replica(context, "ready", 1)


def put_replica(context: Any, state: str, born: int) -> None:
    """Show a record of the replica in the store; an empty state deletes it."""
    context.revision += 1
    record = {"service": "plain", "address": "127.0.0.1:8000", "zone": "a"}
    value = json.dumps(record | {"state": state, "born": born}).encode()
    puts = [KeyValue("servers/r1", value, 1, context.revision)] if state else []
    context.view.mirror.apply_changes(context.revision, puts, [] if state else ["servers/r1"])


@when("a request running there gets no complete answer, and the replica {ends}")
def end_replica(context: Any, ends: str) -> None:
    asyncio.run(follow_end(context, ends))


async def follow_end(context: Any, ends: str) -> None:
    """Let a replica end while it runs a request, in one of several ways.

    If the replica lapses or is removed, its record disappears 2 s after the request was sent, and it
    fails or answers a probe then. Otherwise its
    record has already changed when the request is recorded as sent: it is deleted, or replaced by
    one with a later start time if the replica starts anew. A replica that leaves has announced that
    before, by the state `draining` in its record or in an answer. One that answers no probe for a
    while counts as down, until it answers as the same run or a record shows another one.
    """
    clock, background = create_clock(), create_background_tasks()
    context.record = create_crash_record(clock)
    health = create_replica_health(clock)
    detector = create_crash_detector(
        clock,
        context.record,
        context.view,
        health,
        background,
        create_retrials("g1", clock, context.record, MemoryStore(MemoryState(clock))),
    )
    executed_on = detector.list_alive(["r1"])
    assert executed_on, "the replica is not considered alive"
    if ends.startswith("announces"):
        put_replica(context, "draining", 1)
    elif ends.startswith("says"):
        context.view.note_leaving(context.view.replicas["r1"])
    if ends.startswith("answers no probe"):
        detector.observe_send(SentRequest(), executed_on)
        health.note_failed_probe(executed_on[0], "no answer")
        await asyncio.sleep(0.2)
        assert context.record.has_open_crash(POISON), "a replica that stays away has crashed"
        if ends.endswith("goes on"):
            health.mark_up(executed_on[0])
            detector.note_alive(executed_on[0])
            background.cancel()
            return
    if "after 2 s" in ends:
        detector.observe_send(SentRequest(), executed_on)
        await asyncio.sleep(2.0)
    put_replica(context, "ready" if "anew" in ends else "", 2)
    if ends.startswith("lapses"):
        health.note_failed_probe(executed_on[0], "no answer")
    elif ends.startswith("is removed"):
        health.mark_up(executed_on[0])
    if "after 2 s" not in ends and not ends.startswith("answers no probe"):
        detector.observe_send(SentRequest(), executed_on)
    await asyncio.sleep(0.7)
    background.cancel()


@then("the request has {times:d} crashes")
def check_crash_count(context: Any, times: int) -> None:
    entry = context.record.find(POISON)
    assert (len(entry.open_crashes) if entry else 0) == times, entry


@given("a host that refuses a request whose trial is due")
def make_due(context: Any) -> None:
    context.clock = ManualClock(1_000.0)
    context.replies, context.lost = 0, 0
    context.records = [create_crash_record(context.clock)]
    crash_everywhere(context, 3)
    context.clock.advance(30_000.0)

    async def gate(stage: str) -> StoreFault | None:
        if stage == "request":
            return None
        context.replies += 1
        return StoreFault(True, "the reply was lost") if context.replies == context.lost else None

    store = MemoryStore(MemoryState(context.clock), gate)
    record = context.records[0]
    context.detector = create_crash_detector(
        context.clock,
        record,
        create_replica_view(context.clock),
        create_replica_health(context.clock),
        create_background_tasks(),
        create_retrials("g1", context.clock, record, store),
    )


def create_routed() -> Any:
    """Return the request as it is sent again."""
    return SentRequest()


@when("the reply of the store is lost")
def lose_reply(context: Any) -> None:
    # The reply to the lease request arrives, the reply to the transaction does not.
    context.lost = 2
    assert asyncio.run(context.detector.is_refused(create_routed()))
    context.clock.advance(1_000.0)


@when("no replica can be reached")
def reach_none(context: Any) -> None:
    asyncio.run(run_unsuccessful_trial(context, sends=0))


@when("a replica rejects the request")
def reject_request(context: Any) -> None:
    asyncio.run(run_unsuccessful_trial(context, sends=1))


@then("the request is refused")
def check_request_refused(context: Any) -> None:
    assert asyncio.run(context.detector.is_refused(create_routed()))


async def note_ended(context: Any, routed: Any) -> None:
    """End a request and run the tasks that this starts."""
    context.detector.note_ended(routed)
    for _ in range(10):
        await asyncio.sleep(0)


async def run_unsuccessful_trial(context: Any, sends: int) -> None:
    """End a request in a trial before it has run on any replica."""
    routed = create_routed()
    for _ in range(3):
        assert await context.detector.is_refused(routed) == (routed.sends > 0)
        routed.sends = routed.rejections = sends
    await note_ended(context, routed)


@then("the request may run once in a trial")
def check_on_trial(context: Any) -> None:
    asyncio.run(run_on_trial(context))


async def run_on_trial(context: Any) -> None:
    """Run the request in a trial; it is refused during the trial and afterwards."""
    routed = create_routed()
    assert not await context.detector.is_refused(routed)
    routed.sends = 1
    assert await context.detector.is_refused(routed)
    assert await context.detector.is_refused(create_routed())
    await note_ended(context, routed)
    assert await context.detector.is_refused(create_routed())


@given("three replicas that have answered no probe while they ran a request")
def make_silent_replicas(context: Any) -> None:
    context.replicas = {name: replica(name, "a", "fast", None) for name in "abc"}


@when("the request is sent again, and after {after_ms:d} ms the replicas {end}")
def send_again(context: Any, after_ms: int, end: str) -> None:
    context.verdict = asyncio.run(follow_silence(context.replicas, after_ms, end))


async def follow_silence(replicas: dict[str, Any], after_ms: int, end: str) -> tuple[bool, float]:
    """Send a request whose replicas are silent; return whether it is refused, and after how long."""
    clock, background = create_clock(), create_background_tasks()
    record, health = create_crash_record(clock), create_replica_health(clock)
    detector = create_crash_detector(
        clock,
        record,
        create_replica_view(clock, replicas),
        health,
        background,
        create_retrials("g1", clock, record, MemoryStore(MemoryState(clock))),
    )
    silent = [detector.list_alive([name])[0] for name in replicas]
    for incarnation in silent:
        detector.observe_send(SentRequest(), [incarnation])
        health.note_failed_probe(incarnation, "no answer")
    await asyncio.sleep(0.2)
    assert record.is_convicted(POISON), "silent replicas have crashed"

    async def end_silence() -> None:
        await asyncio.sleep(after_ms / 1_000.0)
        for incarnation in silent:
            if end == "answer again":
                health.mark_up(incarnation)
                detector.note_alive(incarnation)
            elif end == "lose their records":
                del replicas[incarnation[0]]
            elif end == "start anew":
                replicas[incarnation[0]] = dataclasses.replace(
                    replicas[incarnation[0]], started_ms=incarnation[1] + 1
                )

    if after_ms == 0:
        await end_silence()
    else:
        background.start(end_silence(), "end of the silence")
    started_s = time.monotonic()
    refused = await detector.is_refused(create_routed())
    took_ms = (time.monotonic() - started_s) * 1_000.0
    background.cancel()
    return refused, took_ms


@then("it is {verdict} after {least_ms:d} to {most_ms:d} ms")
def check_verdict(context: Any, verdict: str, least_ms: int, most_ms: int) -> None:
    is_refused, took_ms = context.verdict
    assert is_refused == (verdict == "refused"), is_refused
    assert least_ms <= took_ms <= most_ms, took_ms


@given("{count:d} unanswered attempts of a request, and replicas that are alive")
def make_unanswered_attempts(context: Any, count: int) -> None:
    context.count = count


@then("the same request may be sent at once by another client")
def check_not_delayed(context: Any) -> None:
    refused, took_s = asyncio.run(time_refusal_check(context.count, sends=0))
    assert not refused
    assert took_s < 0.3, took_s


@then("a client whose own attempt was not answered waits for the decision before a retry")
def check_waits(context: Any) -> None:
    refused, took_s = asyncio.run(time_refusal_check(context.count, sends=1))
    assert not refused
    assert took_s > 1.0, took_s


async def time_refusal_check(count: int, sends: int) -> tuple[bool, float]:
    """Check whether a request is refused while others are undecided; also return the duration."""
    clock = create_clock()
    record = create_crash_record(clock)
    replicas = {name: replica(name, "a", "fast", None) for name in "abcde"}
    background = create_background_tasks()
    detector = create_crash_detector(
        clock,
        record,
        create_replica_view(clock, replicas),
        create_replica_health(clock),
        background,
        create_retrials("g1", clock, record, MemoryStore(MemoryState(clock))),
    )
    for name in list(replicas)[:count]:
        detector.observe_send(SentRequest(), detector.list_alive([name]))
    routed = create_routed()
    routed.sends = sends
    started_s = time.monotonic()
    refused = await detector.is_refused(routed)
    took_s = time.monotonic() - started_s
    background.cancel()
    return refused, took_s
