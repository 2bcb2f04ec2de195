"""Steps for a host's mirror of the store and the site view based on it."""

from __future__ import annotations

import asyncio
import base64
import json
import random
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import msgspec
from behave import given, then, when
from expression import Ok
from features.support.memory_store import MemoryState, MemoryStore
from features.support.mirror_fakes import CountingStore, FakePeers
from features.support.mirror_model import play_history
from features.support.mirror_site import MirrorSite
from features.support.virtual_time import run_virtually
from hypothesis import given as given_drawn
from hypothesis import settings as drawn_settings
from hypothesis import strategies as st

from pimentodale.addresses import Address
from pimentodale.clients.etcd_gateway import read_watch_line
from pimentodale.clients.etcd_messages import (
    EtcdKeyValue,
    Header,
    WatchEvent,
    WatchLine,
    WatchResponse,
)
from pimentodale.clients.http_call import CallReply
from pimentodale.clients.key_value import KeyValue, StoreFault
from pimentodale.clock import ManualClock, create_clock
from pimentodale.gateway.registration import keep_registered
from pimentodale.mirror import mirror as mirror_module
from pimentodale.mirror.follower import WATCHER_SKIP_MS, WATCHERS, create_mirror_follower
from pimentodale.mirror.mirror import Mirror, create_mirror
from pimentodale.peers.mesh import choose_watchers
from pimentodale.peers.messages import MemberState
from pimentodale.platform import store as platform_store
from pimentodale.platform.configuration import CONFIGURATION_KEY, decode_configuration
from pimentodale.platform.replica_records import REPLICA_PREFIX, decode_replica
from pimentodale.platform.store import PlatformStore
from pimentodale.site.view import HOST_PREFIX, SiteRecords, create_site_view
from pimentodale.standin.platform_store_state import StorePut, StoreTxn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pimentodale.clients.key_value import WatchBatch

RECORDS = SiteRecords(CONFIGURATION_KEY, REPLICA_PREFIX, decode_configuration, decode_replica)
REPLICA_KEY = REPLICA_PREFIX + "i-1"

MAX_ITERATIONS = 100_000
"""Maximum number of event loop iterations for which a host runs in one step."""


def item(key: str, revision: int, value: bytes = b"v") -> KeyValue:
    return KeyValue(key, value, revision, revision)


def replica_value(**changes: object) -> bytes:
    record = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "slots": 4}
    return json.dumps(record | {"born": 5} | changes).encode()


@given("a mirror at revision 10")
def mirror_at_10(context: Any) -> None:
    context.mirror = create_mirror(ManualClock())
    context.mirror.apply_snapshot(10, [item("k", 10, b"new")])


@when("a snapshot of revision 8 and a change of revision 9 arrive late")
def arrive_late(context: Any) -> None:
    context.mirror.apply_snapshot(8, [item("k", 8, b"old")])
    context.mirror.apply_changes(9, [item("k", 9, b"old")], ["k"])


@then("the mirror still shows revision 10")
def check_10(context: Any) -> None:
    assert context.mirror.revision == 10
    assert context.mirror.items["k"].value == b"new"


@given("a mirror with 3 changes after revision 10")
def mirror_with_changes(context: Any) -> None:
    mirror_at_10(context)
    for revision in (11, 12, 13):
        context.mirror.apply_changes(revision, [item(f"k{revision}", revision)], [])


@then("a host at revision 11 gets 2 changes")
def check_two(context: Any) -> None:
    changes = context.mirror.changes_since(11)
    assert not changes.is_whole
    assert sorted(item.key for item in changes.items) == ["k12", "k13"]
    behind = create_mirror(ManualClock())
    behind.apply_snapshot(11, [item("k", 10, b"new"), item("k11", 11)])
    behind.apply(changes, "h1")
    context.updated = [behind]


@then("a host at revision 5 gets all keys")
def check_everything(context: Any) -> None:
    changes = context.mirror.changes_since(5)
    assert changes.is_whole
    behind = create_mirror(ManualClock())
    behind.apply_snapshot(5, [item("gone", 4)])
    behind.apply(changes, "h1")
    context.updated.append(behind)


@then("both have the same keys in the end")
def check_same(context: Any) -> None:
    for behind in context.updated:
        assert behind.items == context.mirror.items
        assert behind.revision == context.mirror.revision


@given("a mirror with a key that was removed after revision 10")
def mirror_with_removal(context: Any) -> None:
    mirror_at_10(context)
    context.mirror.apply_changes(11, [], ["k"])


@then("a host at revision 10 no longer has it after an update")
def check_removed(context: Any) -> None:
    behind = create_mirror(ManualClock())
    behind.apply_snapshot(10, [item("k", 10)])
    behind.apply(context.mirror.changes_since(10), "h1")
    assert behind.items == {}


WRITES = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), min_size=1, max_size=14)
"""Drawn histories: keys in the order in which they are written or removed."""


@when("{count:d} drawn histories of {store} are reported in drawn batches, each in a drawn order")
def report_histories(context: Any, count: int, store: str) -> None:
    decode = decode_platform_batch if store == "the platform's store" else decode_own_batch
    context.drawn = 0

    @drawn_settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @given_drawn(WRITES, st.randoms(use_true_random=False))
    def report(writes: list[tuple[str, bool]], rng: random.Random) -> None:
        context.drawn += 1
        compare_after_each(writes, rng, decode)

    report()


@then("the mirror equals the store after each batch, and so does that of a host which follows it")
def check_drawn(context: Any) -> None:
    print(f"{context.drawn} histories")
    assert context.drawn > 100, context.drawn


def compare_after_each(
    writes: list[tuple[str, bool]],
    rng: random.Random,
    decode: Callable[[list[tuple[str, int, bool]], int], WatchBatch],
) -> None:
    """Report changes in batches; compare the mirror, and at times a follower, with the store."""
    mirror, behind = create_mirror(ManualClock()), create_mirror(ManualClock())
    held: dict[str, int] = {}
    batch: list[tuple[str, int, bool]] = []
    for revision, (key, is_removed) in enumerate(writes, 2):
        if is_removed and held.pop(key, None) is None:
            continue
        if not is_removed:
            held[key] = revision
        batch.append((key, revision, is_removed))
        if rng.random() < 0.6 and revision <= len(writes):
            continue
        rng.shuffle(batch)
        changes = decode(batch, revision)
        mirror.apply_changes(changes.revision, changes.puts, changes.deletes)
        batch = []
        assert {key: item.mod_revision for key, item in mirror.items.items()} == held
        if rng.random() < 0.5:
            behind.apply(mirror.changes_since(behind.revision), "h1")
            assert behind.items == mirror.items


def decode_platform_batch(changes: list[tuple[str, int, bool]], revision: int) -> WatchBatch:
    """Return a batch as the platform's adapter reads it from an answer to a watch."""
    events = [
        {"key": key, "revision": changed}
        | ({"deleted": True} if is_removed else {"value": "dg==", "created": changed})
        for key, changed, is_removed in changes
    ]
    body = json.dumps({"events": events, "at": revision}).encode()

    async def answer(*_arguments: object) -> Any:
        return Ok(CallReply(200, {}, body))

    async def watch() -> WatchBatch:
        store = PlatformStore(Address("127.0.0.1", 1))
        async for batch in store.watch("", 1, 5_000.0):
            return batch.ok
        raise AssertionError("the watch ended")

    with patch.object(platform_store, "fetch", answer):
        return asyncio.run(watch())


def decode_own_batch(changes: list[tuple[str, int, bool]], revision: int) -> WatchBatch:
    """Return a batch as the client of the own key-value service reads it from a line of a watch."""
    events = [
        WatchEvent(
            "DELETE" if is_removed else "PUT",
            EtcdKeyValue(key.encode(), mod_revision=str(changed)),
        )
        for key, changed, is_removed in changes
    ]
    header = Header(revision=str(revision))
    line = msgspec.json.encode(WatchLine(WatchResponse(header=header, events=events)))
    return read_watch_line(line).ok


@given("a view of a site with one replica")
def view_with_replica(context: Any) -> None:
    context.clock = ManualClock(100_000.0)
    context.mirror = create_mirror(context.clock)
    context.view = create_site_view(RECORDS, context.mirror, context.clock)
    context.mirror.apply_snapshot(1, [item(REPLICA_KEY, 1, replica_value())])
    assert len(context.view.replicas_of("s")) == 1


def change(mirror: Mirror, value: bytes | None, key: str = REPLICA_KEY) -> None:
    revision = mirror.revision + 1
    if value is None:
        mirror.apply_changes(revision, [], [key])
    else:
        mirror.apply_changes(revision, [item(key, revision, value)], [])


@when("the store answers again after an outage and the replica's record is missing")
def expire_record(context: Any) -> None:
    context.clock.advance(3_000.0)
    context.mirror.apply_snapshot(9, [])


@when("the store answers again after {gap_ms:d} ms and the replica's record is missing")
def answer_again(context: Any, gap_ms: int) -> None:
    context.clock.advance(float(gap_ms))
    context.mirror.apply_snapshot(9, [])


@given("hosts of three failure domains that follow the store, and six replicas")
def follow_replicas(context: Any) -> None:
    context.site_mirror = site = MirrorSite(seed=5)
    site.start()
    for number in range(6):
        write_replica(site, number)
    site.run(2_000.0)
    assert all(len(host.view.replicas_of("s")) == 6 for host in site.hosts.values())


def write_replica(site: MirrorSite, number: int) -> None:
    value = replica_value(address=f"10.0.0.{number + 1}:80")
    site.put(f"{REPLICA_PREFIX}i-{number}", base64.b64encode(value).decode())


def has_replica(host: Any, number: int) -> bool:
    return any(known.replica_id == f"i-{number}" for known in host.view.replicas_of("s"))


@when("a replica leaves by the removal of its record as {what}")
def leave(context: Any, what: str) -> None:
    site = context.site_mirror
    context.removed_ms, context.leaving = site.clock.now_ms(), 0
    if what == "the watches are cut":
        site.cut_watches()
        site.remove(f"{REPLICA_PREFIX}i-0")
    elif what == "the watches are cut again and again":
        site.remove(f"{REPLICA_PREFIX}i-0")
        for _ in range(5):
            site.cut_watches()
            site.run(70.0)
    else:
        site.remove(f"{REPLICA_PREFIX}i-0")


@then("no host sends it work later than 1.5 s after that, and the others are used all the while")
def check_left(context: Any) -> None:
    site = context.site_mirror
    while site.clock.now_ms() < context.removed_ms + 4_000.0:
        site.run(25.0)
        late_ms = site.clock.now_ms() - context.removed_ms
        for host in site.hosts.values():
            if host.name in site.lost:
                continue
            assert not has_replica(host, context.leaving) or late_ms <= 1_500.0, (
                host.name,
                late_ms,
            )
            staying = set(range(6)) - {context.leaving}
            assert all(has_replica(host, number) for number in staying), host.name
    site.stop()


@given("the store gives pages of {count:d} items")
def set_page_items(context: Any, count: int) -> None:
    context.site_mirror.state.page_items = count


@when("the watches are cut, and between two pages of the read after that {what}")
def leave_between_pages(context: Any, what: str) -> None:
    site = context.site_mirror
    # The last key, so that a read that has begun still meets it.
    context.leaving = 5
    actions = between_pages(site)
    site.between_pages.extend(actions[phrase] for phrase in what.split(" and "))
    site.cut_watches()
    while site.between_pages:
        site.run(1.0)
    context.removed_ms = site.clock.now_ms()


def between_pages(site: MirrorSite) -> dict[str, Callable[[], Awaitable[object]]]:
    """Return what may happen at the store between two pages, by its description."""
    key = f"{REPLICA_PREFIX}i-5"
    copy = site.state.copy()

    def write(number: int, **changes: object) -> StorePut:
        value = replica_value(address=f"10.0.0.{number + 1}:80", **changes)
        return StorePut(f"{REPLICA_PREFIX}i-{number}", base64.b64encode(value).decode())

    def drain() -> Awaitable[object]:
        return site.state.transact(StoreTxn(puts=[write(5, state="draining")]))

    def remove() -> Awaitable[object]:
        return site.state.transact(StoreTxn(remove=[key]))

    async def write_others() -> None:
        for number in range(1, 5):
            await site.state.transact(StoreTxn(puts=[write(number)]))

    async def forget() -> None:
        site.state.forget_history()

    async def lose_reader() -> None:
        site.lose(site.page_reader)

    return {
        "its record says draining": drain,
        "its record is removed": remove,
        "then is removed": remove,
        "others are written": write_others,
        "the history is forgotten": forget,
        "the watcher is lost": lose_reader,
        "the store returns from a copy": lambda: site.state.restore(copy),
    }


@then("all hosts have the same keys as the store")
def check_same_as_store(context: Any) -> None:
    site = context.site_mirror
    stored = {key: item.revision for key, item in site.state.items.items()}
    for host in site.hosts.values():
        if host.name in site.lost:
            continue
        held = {key: item.mod_revision for key, item in host.view.mirror.items.items()}
        assert held == stored, host.name


@when("{count:d} drawn histories reach three hosts by reads in pages, watches and each other")
def play_histories(context: Any, count: int) -> None:
    context.early = 0
    for number in range(count):
        rng = random.Random(f"{context.site.seed}/{number}")
        # A short history makes hosts send all keys to others that are behind.
        with patch.object(mirror_module, "HISTORY_LENGTH", rng.choice((2, 2_000))):
            context.early += play_history(rng, 120)


@then("at each moment each host has every change up to its revision, and none that never was")
def check_histories(context: Any) -> None:
    assert context.early > 100, "the histories hardly meet writes between two pages"


@when("the store is away for {away_s:d} s, and the records of all replicas lapse in that time")
def lapse(context: Any, away_s: int) -> None:
    site = context.site_mirror
    site.is_store_down = True
    site.run(away_s * 1_000.0)
    # The store ends them itself, so that no host sees it before the return.
    txn = StoreTxn(remove=[f"{REPLICA_PREFIX}i-{number}" for number in range(6)])
    assert run_virtually(site.loop, site.state.transact(txn)).status == 200
    site.is_store_down = False


@then(
    "every host uses them for 1.5 s after its return, and for good those that write again by then"
)
def check_lapsed(context: Any) -> None:
    site = context.site_mirror
    returned_ms = site.clock.now_ms()
    while site.clock.now_ms() < returned_ms + 1_500.0:
        site.run(50.0)
        for host in site.hosts.values():
            assert all(has_replica(host, number) for number in range(6)), host.name
    for number in range(5):
        write_replica(site, number)
    while site.clock.now_ms() < returned_ms + 8_000.0:
        site.run(50.0)
        for host in site.hosts.values():
            assert all(has_replica(host, number) for number in range(5)), host.name
    assert not any(has_replica(host, 5) for host in site.hosts.values())
    site.stop()


@then("the replica is still used")
def check_used(context: Any) -> None:
    assert len(context.view.replicas_of("s")) == 1


@then("it is gone 2 s later")
def check_gone_later(context: Any) -> None:
    context.clock.advance(2_000.0)
    assert context.view.replicas_of("s") == []


@when("the record is written again within 2 s")
def rewrite_record(context: Any) -> None:
    context.clock.advance(1_500.0)
    change(context.mirror, replica_value())


@then("the replica is still used 3 s later")
def check_used_later(context: Any) -> None:
    context.clock.advance(3_000.0)
    check_used(context)


@when("the replica's record is removed while the store is available")
def remove(context: Any) -> None:
    change(context.mirror, None)


@then("the replica is gone")
def check_gone(context: Any) -> None:
    assert context.view.replicas_of("s") == []


@when("records of other writers arrive: bytes, missing fields, wrong types, an unknown state")
def foreign_records(context: Any) -> None:
    values = [
        b"\xff\x00",
        b"{}",
        replica_value(address=7),
        replica_value(address="nowhere"),
        replica_value(state="sleeping"),
        replica_value(layers="all"),
        b"[1, 2]",
    ]
    for number, value in enumerate(values):
        change(context.mirror, value, f"{REPLICA_PREFIX}foreign-{number}")


@then("only the one replica is known")
def check_one(context: Any) -> None:
    assert set(context.view.replicas) == {"i-1"}


@given("a view of a site at configuration 7")
def view_at_7(context: Any) -> None:
    view_with_replica(context)
    change(context.mirror, b'{"version": 7}', CONFIGURATION_KEY)


@when("configuration 6 arrives at a higher revision")
def apply_older_configuration(context: Any) -> None:
    change(context.mirror, b'{"version": 6}', CONFIGURATION_KEY)


@then("configuration 7 is in force")
def check_7(context: Any) -> None:
    assert context.view.configuration.version == 7


@given("a failure domain of five hosts, two of which may watch the store")
def five_hosts(context: Any) -> None:
    clock = create_clock()
    source = create_mirror(clock)
    source.apply_snapshot(10, [item("k", 10, b"from a watcher")])
    context.peers = FakePeers(source)
    watchers = choose_watchers("a", {member.host for member in context.peers.members}, WATCHERS)
    others = [member for member in context.peers.members if member.host not in watchers]
    context.watchers = watchers
    context.peers.own = others[0]
    context.store = CountingStore()
    context.mirror = create_mirror(clock)
    context.mirror.apply_snapshot(9, [item("k", 9, b"old")])
    context.follower = create_mirror_follower(
        context.mirror, context.store, context.peers, clock, random.Random(context.site.seed)
    )


def follow(context: Any, seconds: float) -> None:
    async def run() -> None:
        task = asyncio.create_task(context.follower.follow_store())
        await asyncio.sleep(seconds)
        task.cancel()

    asyncio.run(run())


@when("a host that doesn't watch follows for a while")
def follow_a_while(context: Any) -> None:
    follow(context, 0.3)


@then("it has the watcher's keys without a call to the store")
def check_learned(context: Any) -> None:
    assert context.mirror.items["k"].value == b"from a watcher"
    assert context.store.reads == 0
    assert set(context.peers.asked) <= set(context.watchers)


@then("it reads the store itself once the watchers don't answer")
def check_reads(context: Any) -> None:
    context.peers.answers = False
    follow(context, 0.3)
    assert context.store.reads >= 1
    assert context.mirror.items["k"].value == b"from the store"


@when("the first watcher doesn't respond, and each of the others follows for a while")
def lose_watcher(context: Any) -> None:
    first, second = context.watchers
    members = {member.host: member for member in context.peers.members}
    context.peers.silent = {first}
    context.clock = ManualClock()
    context.by_host = {}
    for host in (second, *(name for name in members if name not in context.watchers)):
        context.peers.own = members[host]
        mirror, store = create_mirror(context.clock), CountingStore()
        store.empty_batches = 1_000
        mirror.apply_snapshot(9, [item("k", 9, b"old")])
        follower = create_mirror_follower(
            mirror, store, context.peers, context.clock, random.Random(context.site.seed)
        )
        context.mirror, context.store, context.follower = mirror, store, follower
        follow(context, 0.3)
        context.by_host[host] = (mirror, store, follower)


@then("the next one in rank has read the store, and watches it")
def check_next_watches(context: Any) -> None:
    _, store, follower = context.by_host[context.watchers[1]]
    assert store.reads == 1, store.reads
    assert store.batches > 1, store.batches
    context.peers.own = next(m for m in context.peers.members if m.host == context.watchers[1])
    assert follower.is_watcher()


@then("the others have its keys without a call to the store")
def check_others_follow(context: Any) -> None:
    for host, (mirror, store, _) in context.by_host.items():
        if host == context.watchers[1]:
            continue
        assert store.reads == 0, host
        assert mirror.items["k"].value == b"from a watcher", host


@then("it follows the first again once that responds")
def check_first_again(context: Any) -> None:
    mirror, store, follower = context.by_host[context.watchers[1]]
    context.peers.silent = set()
    context.mirror, context.store, context.follower = mirror, store, follower
    context.clock.advance(WATCHER_SKIP_MS)
    follow(context, 0.2)
    batches = store.batches
    follow(context, 0.2)
    assert store.batches == batches, (batches, store.batches)


@when("all of them leave, and one that hasn't watched follows for a while")
def leave_all(context: Any) -> None:
    context.peers.own = msgspec.structs.replace(context.peers.own, state=MemberState.LEAVING)
    context.peers.members = []
    context.store.empty_batches = 1_000
    follow(context, 0.2)


@then("it has read the store and watches it")
def check_watches(context: Any) -> None:
    assert context.store.reads == 1, context.store.reads
    assert context.store.batches > 1, context.store.batches


@given("the host knew no other hosts when it began to watch")
def know_no_others(context: Any) -> None:
    context.all_members = context.peers.members
    context.peers.members = [context.peers.own]
    context.store.empty_batches = 1_000


@when("it learns of the others")
def learn_of_others(context: Any) -> None:
    async def run() -> None:
        task = asyncio.create_task(context.follower.follow_store())
        await asyncio.sleep(0.1)
        context.watched_alone = context.store.batches
        context.peers.members = context.all_members
        context.peers.source.apply_snapshot(30, [item("k", 30, b"newer")])
        await asyncio.sleep(0.2)
        context.batches = context.store.batches
        await asyncio.sleep(0.2)
        task.cancel()

    asyncio.run(run())


@then("it no longer watches the store, and has the watcher's keys")
def check_stopped_watching(context: Any) -> None:
    assert context.watched_alone > 0
    assert context.store.batches == context.batches
    assert context.mirror.items["k"].value == b"newer"


@given("the store and the other hosts don't respond")
def stop_responses(context: Any) -> None:
    context.peers.answers = False
    context.store.is_down = True
    context.clock = ManualClock()
    context.mirror = create_mirror(context.clock)
    context.mirror.apply_snapshot(9, [item("k", 9, b"old")])
    context.follower = create_mirror_follower(
        context.mirror,
        context.store,
        context.peers,
        context.clock,
        random.Random(context.site.seed),
    )


def follow_until(context: Any, is_over: Callable[[], bool]) -> None:
    """Follow the store until a condition is true; the clock advances when the host sleeps."""

    async def run() -> None:
        task = asyncio.create_task(context.follower.follow_store())
        for _ in range(MAX_ITERATIONS):
            if is_over():
                break
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())


@when("a host that {duty} follows for 10 s of its clock")
def follow_down(context: Any, duty: str) -> None:
    if duty == "watches":
        watching = [known for known in context.peers.members if known.host in context.watchers]
        context.peers.own = watching[0]
    follow_until(context, lambda: context.clock.now_ms() >= 10_000.0)


@then("it has read the store at least {least:d} times and at most {most:d} times")
def check_few_reads(context: Any, least: int, most: int) -> None:
    assert least <= context.store.reads <= most, context.store.reads


@then("it reads the store within {limit_ms:d} ms after it is available again")
def check_return(context: Any, limit_ms: int) -> None:
    context.store.is_down = False
    returned_ms = context.clock.now_ms()
    follow_until(context, lambda: context.mirror.items["k"].value == b"from the store")
    assert context.clock.now_ms() - returned_ms <= limit_ms


@given("a host that keeps its record in the store")
def keep_record(context: Any) -> None:
    context.clock = ManualClock()
    context.state = MemoryState(context.clock)
    context.calls = 0
    context.is_down = False
    context.loop = asyncio.new_event_loop()
    key = HOST_PREFIX + "h1"

    async def gate(stage: str) -> StoreFault | None:
        await asyncio.sleep(0)
        context.calls += stage == "request"
        return StoreFault(False, "down") if context.is_down else None

    context.is_listed = lambda: key in context.state.items
    store = MemoryStore(context.state, gate)
    rng = random.Random(context.site.seed)
    keeping = keep_registered(store, context.clock, rng, "h1", "127.0.0.1:7002", context.is_listed)
    context.keeping = context.loop.create_task(keeping)


def pass_time(context: Any, duration_ms: float) -> None:
    """Run the host until its clock has advanced by a duration."""
    end_ms = context.clock.now_ms() + duration_ms

    async def wait() -> None:
        for _ in range(MAX_ITERATIONS):
            if context.clock.now_ms() >= end_ms:
                return
            await asyncio.sleep(0)

    context.loop.run_until_complete(wait())
    context.state.expire()


@when("{length_s:d} s of its clock pass")
def pass_seconds(context: Any, length_s: int) -> None:
    pass_time(context, length_s * 1000.0)


@then("the record exists, after at most {most:d} calls to the store")
def check_kept(context: Any, most: int) -> None:
    assert context.is_listed()
    assert context.calls <= most, context.calls


@when("an outage of {length_s:d} s expires all leases")
def end_leases(context: Any, length_s: int) -> None:
    context.is_down = True
    pass_time(context, length_s * 1000.0)
    context.state.leases = dict.fromkeys(context.state.leases, 0.0)
    context.state.expire()
    context.is_down = False


@then("the record exists within {limit_s:d} s of its end, after at most {most:d} calls")
def check_written_again(context: Any, limit_s: int, most: int) -> None:
    pass_time(context, limit_s * 1000.0)
    context.keeping.cancel()
    context.loop.run_until_complete(asyncio.gather(context.keeping, return_exceptions=True))
    context.loop.close()
    assert context.is_listed()
    assert context.calls <= most, context.calls
