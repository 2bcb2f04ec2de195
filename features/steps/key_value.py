"""Steps for the key-value client, its stand-in and the relay."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, TypeVar

from behave import given, then, when
from features.support.site import http, wait_until

from pimentodale.addresses import parse_address
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clients.key_value import Compare, Delete, Put, prefix_end
from pimentodale.clock import create_clock

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from pimentodale.clients.key_value import KeyValueStore

T = TypeVar("T")

CALL_TIMEOUT_MS = 1000.0
SILENCE_MS = 600.0


def start_key_value(context: Any, *extra_parts: dict[str, Any], **settings: Any) -> None:
    """Start the stand-in and set `context.store`, `context.admin` and `context.store_address`."""
    site = context.site
    context.store_address = f"{site.ip(10)}:2379"
    context.admin = f"http://{site.ip(10)}:2380/admin"
    part = {
        "kind": "key_value",
        "listen": context.store_address,
        "admin_listen": f"{site.ip(10)}:2380",
        "progress_interval_ms": 200.0,
        **settings,
    }
    path = site.write("key-value.yaml", {"parts": [part, *extra_parts]})
    site.start("key-value", "pimentodale-standin", str(path))
    site.wait_ready(f"http://{context.store_address}/healthz")
    context.store = create_store(context.store_address)


def create_store(*addresses: str) -> KeyValueStore:
    """Return a client of these end points."""
    return create_etcd_gateway(
        [parse_address(address) for address in addresses], create_clock(), CALL_TIMEOUT_MS
    )


def run(work: Awaitable[T]) -> T:
    """Run one coroutine to its end."""

    async def bounded() -> T:
        return await asyncio.wait_for(work, 60)

    return asyncio.run(bounded())


def read_under(context: Any, prefix: str, keys_only: bool = False) -> Any:
    result = run(context.store.read(prefix, prefix_end(prefix), keys_only=keys_only))
    assert result.is_ok(), result.error
    return result.ok


def set_faults(context: Any, faults: object) -> None:
    reply = http(f"{context.admin}/faults", faults)
    assert reply.status == 200, reply.body


@given("a key-value stand-in")
def given_store(context: Any) -> None:
    start_key_value(context)


@given("a key-value stand-in that keeps {events:d} events")
def given_short_history(context: Any, events: int) -> None:
    start_key_value(context, history_events=events)


@when('the store client creates "{key}" as "{value}" if absent')
def create_key(context: Any, key: str, value: str) -> None:
    context.result = run(context.store.txn([Compare(key, 0)], [Put(key, value.encode())]))


@then("the store client's transaction succeeded")
def check_succeeded(context: Any) -> None:
    assert context.result.is_ok(), context.result
    assert context.result.ok.succeeded


@then('the store client\'s transaction failed and showed "{key}" as "{value}"')
def check_failed(context: Any, key: str, value: str) -> None:
    reply = context.result.ok
    assert not reply.succeeded
    assert [(item.key, item.value) for item in reply.items] == [(key, value.encode())]


@when('the store client removes "{key}" at the revision that it read')
def remove_key(context: Any, key: str) -> None:
    item = run(context.store.read(key)).ok.items[0]
    reply = run(context.store.txn([Compare(key, item.mod_revision)], [Delete(key)])).ok
    assert reply.succeeded
    assert reply.revision == item.mod_revision + 1


@then('the store client reads no key under "{prefix}"')
def check_none(context: Any, prefix: str) -> None:
    assert read_under(context, prefix).items == []


@when('the store client writes {count:d} keys under "{prefix}" in one transaction')
def write_together(context: Any, count: int, prefix: str) -> None:
    puts = [Put(f"{prefix}{number:04d}", b"v") for number in range(count)]
    assert run(context.store.txn([], puts)).ok.succeeded


@then('the store client reads {count:d} keys under "{prefix}", all of one revision')
def check_together(context: Any, count: int, prefix: str) -> None:
    reply = read_under(context, prefix)
    assert len(reply.items) == count
    assert {item.mod_revision for item in reply.items} == {reply.revision}


@then('reading the keys alone under "{prefix}" gives {count:d} empty values')
def check_keys_only(context: Any, prefix: str, count: int) -> None:
    items = read_under(context, prefix, keys_only=True).items
    assert [item.value for item in items] == [b""] * count


@then("the stand-in counted {txns:d} transactions and {ranges:d} reads")
def check_counts(context: Any, txns: int, ranges: int) -> None:
    calls = http(f"{context.admin}/calls").json()
    assert (calls["txn"], calls["range"]) == (txns, ranges), calls


@then("the stand-in counted {txns:d} transactions in all")
def check_txns(context: Any, txns: int) -> None:
    calls = http(f"{context.admin}/calls").json()
    assert calls["txn"] == txns, calls


@when('the store client holds a lease of {ttl_s:d} s on key "{key}" and renews it for {span_s:d} s')
def hold_lease(context: Any, ttl_s: int, key: str, span_s: int) -> None:
    context.lease_id = run(context.store.grant_lease(ttl_s * 1000.0)).ok
    assert run(context.store.txn([], [Put(key, b"holder", context.lease_id)])).ok.succeeded
    end = time.monotonic() + span_s

    def renew() -> bool:
        assert run(context.store.keep_lease(context.lease_id)).ok == ttl_s * 1000.0
        return time.monotonic() > end

    wait_until(renew, "the lease was renewed for long enough")


@then('the key "{key}" is still there')
def check_key_there(context: Any, key: str) -> None:
    assert run(context.store.read(key)).ok.items[0].lease_id == context.lease_id


@when("the store client stops renewing")
def stop_renewing(context: Any) -> None:
    """Nothing is to be done: the lease runs out by itself."""


@then('the key "{key}" is gone within {span_s:d} s')
def check_key_gone(context: Any, key: str, span_s: int) -> None:
    wait_until(lambda: not run(context.store.read(key)).ok.items, f"{key} is gone", span_s)


@then("renewing the lease says that it has lapsed")
def check_lapsed(context: Any) -> None:
    assert run(context.store.keep_lease(context.lease_id)).ok <= 0


@when('a watch on "{prefix}" is open and {count:d} writes with two restarts of the watch are made')
def watch_writes(context: Any, prefix: str, count: int) -> None:
    context.expected = [f"{prefix}{number:03d}" for number in range(count)]
    context.reported = run(_watch_with_restarts(context.store, prefix, context.expected))


async def _watch_with_restarts(store: Any, prefix: str, keys: list[str]) -> list[str]:
    reported: list[str] = []
    start = (await store.read(prefix)).ok.revision + 1

    async def write() -> None:
        for key in keys:
            assert (await store.txn([Compare(key, 0)], [Put(key, b"v")])).ok.succeeded

    writing = asyncio.ensure_future(write())
    for stop_at in (len(keys) // 3, 2 * len(keys) // 3, len(keys)):
        watch = store.watch(prefix, start, SILENCE_MS)
        async for batch in watch:
            assert batch.is_ok(), batch
            reported.extend(item.key for item in batch.ok.puts)
            start = max(start, batch.ok.revision + 1)
            if len(reported) >= stop_at:
                break
        await watch.aclose()
    await writing
    return reported


@then("the watch reported every write once and in order")
def check_reported(context: Any) -> None:
    assert context.reported == context.expected, context.reported


@then("the stand-in shows no open watch")
def check_no_watch(context: Any) -> None:
    wait_until(
        lambda: http(f"{context.admin}/calls").json()["watches_open"] == 0, "no watch is open"
    )
    assert http(f"{context.admin}/calls").json()["watch"] == 3


@when('the store client writes {count:d} single keys under "{prefix}"')
def write_singly(context: Any, count: int, prefix: str) -> None:
    async def write() -> None:
        for number in range(count):
            assert (await context.store.txn([], [Put(f"{prefix}{number}", b"v")])).ok.succeeded

    run(write())


async def _first_fault(store: Any, prefix: str, revision: int) -> Any:
    async for batch in store.watch(prefix, revision, SILENCE_MS):
        if batch.is_error():
            return batch.error
    raise AssertionError("the watch ended without a fault")


@then(
    'a watch on "{prefix}" from revision {revision:d} ends with a fault that names the kept history'
)
def check_compacted(context: Any, prefix: str, revision: int) -> None:
    fault = run(_first_fault(context.store, prefix, revision))
    assert "no longer kept" in fault.message, fault


@when("the stand-in's faults are '{faults}'")
def when_faults(context: Any, faults: str) -> None:
    set_faults(context, faults.encode())


@then("the store client's write {outcome}")
def check_outcome(context: Any, outcome: str) -> None:
    result = context.result
    if outcome == "succeeded":
        assert result.is_ok() and result.ok.succeeded, result
        return
    assert result.is_error(), result
    assert result.error.may_have_applied == (outcome == "may have taken effect"), result


@then('"{key}" is {state}')
def check_state(context: Any, key: str, state: str) -> None:
    items = run(context.store.read(key)).ok.items
    assert bool(items) == (state == "present"), items


@when('{count:d} writes are made at once under "{prefix}"')
def write_at_once(context: Any, count: int, prefix: str) -> None:
    async def write() -> list[Any]:
        writes = [context.store.txn([], [Put(f"{prefix}{n}", b"v")]) for n in range(count)]
        return list(await asyncio.gather(*writes))

    context.results = run(write())


@then('some were refused as not applied, and the keys under "{prefix}" are just the others')
def check_refused(context: Any, prefix: str) -> None:
    applied = [f"{prefix}{n}" for n, result in enumerate(context.results) if result.is_ok()]
    faults = [result.error for result in context.results if result.is_error()]
    assert faults and applied, (faults, applied)
    assert not any(fault.may_have_applied for fault in faults), faults
    assert sorted(item.key for item in read_under(context, prefix).items) == sorted(applied)
    assert http(f"{context.admin}/calls").json()["refused"] == len(faults)


@when("the stand-in takes a snapshot")
def take_snapshot(context: Any) -> None:
    assert http(f"{context.admin}/snapshot", {}).status == 200


@when("a watch is open while the stand-in is restored")
def restore_under_watch(context: Any) -> None:
    context.before = run(context.store.read("s/0")).ok.revision

    async def watch() -> Any:
        async for batch in context.store.watch("s/", context.before + 1, 5000.0):
            if batch.is_error():
                return batch.error
            await asyncio.to_thread(http, f"{context.admin}/restore", {})
        return None

    context.fault = run(watch())


@then("the watch ended and the revision is {count:d} lower")
def check_restored(context: Any, count: int) -> None:
    assert context.fault is not None
    assert run(context.store.read("s/0")).ok.revision == context.before - count


@then("a watch from the old revision tells the lower revision first")
def check_first_batch(context: Any) -> None:
    async def first() -> Any:
        async for batch in context.store.watch("s/", context.before + 1, SILENCE_MS):
            return batch
        return None

    assert run(first()).ok.revision < context.before


@when("the store client uses a dead end point before the live one")
def use_dead_end_point(context: Any) -> None:
    context.store = create_store(f"{context.site.ip(11)}:2379", context.store_address)


@when('the store client creates "{key}" as "x" if absent through two names of the live end point')
def create_through_two(context: Any, key: str) -> None:
    store = create_store(context.store_address, context.store_address)
    context.result = run(store.txn([Compare(key, 0)], [Put(key, b"x")]))


@given("a key-value stand-in behind a relay")
def given_relay(context: Any) -> None:
    site = context.site
    context.relay = f"{site.ip(12)}:2379"
    context.relay_admin = f"http://{site.ip(12)}:2380/admin/faults"
    relay = {
        "kind": "relay",
        "listen": context.relay,
        "target": f"{site.ip(10)}:2379",
        "admin_listen": f"{site.ip(12)}:2380",
    }
    start_key_value(context, relay)
    context.relayed = create_store(context.relay)


@then("a read through the relay succeeds")
def check_relayed(context: Any) -> None:
    assert run(context.relayed.read("k")).is_ok()


@when("a watch through the relay is open and the relay goes silent")
def silence_relay(context: Any) -> None:
    async def watch() -> Any:
        silent = False
        async for batch in context.relayed.watch("k", 0, SILENCE_MS):
            if batch.is_error():
                return batch.error, await context.relayed.read("k")
            if not silent:
                silent = True
                await asyncio.to_thread(http, context.relay_admin, {"silent": True})
        return None

    context.watched = run(watch())


@then("that watch ends by silence while a read through the relay succeeds")
def check_silenced(context: Any) -> None:
    fault, read = context.watched
    assert "no byte" in fault.message, fault
    assert read.is_ok(), read


@when("the relay swallows new connections")
def swallow(context: Any) -> None:
    assert http(context.relay_admin, {"blackhole": True}).status == 200


@then("a read through the relay fails in time")
def check_swallowed(context: Any) -> None:
    start = time.monotonic()
    assert run(context.relayed.read("k")).is_error()
    assert 0.9 < time.monotonic() - start < 3.0


@when("the relay is cut")
def cut(context: Any) -> None:
    assert http(context.relay_admin, {"cut": True}).status == 200


@then("a read through the relay fails at once")
def check_cut(context: Any) -> None:
    start = time.monotonic()
    assert run(context.relayed.read("k")).is_error()
    assert time.monotonic() - start < 0.5


@when("the relay is mended with a delay of {delay_ms:d} ms")
def mend(context: Any, delay_ms: int) -> None:
    assert http(context.relay_admin, {"delay_ms": delay_ms}).status == 200


@then("a read through the relay takes at least {least_ms:d} ms")
def check_delay(context: Any, least_ms: int) -> None:
    start = time.monotonic()
    assert run(context.relayed.read("k")).is_ok()
    assert (time.monotonic() - start) * 1000 >= least_ms


@when("a watch through the relay is open and the stand-in is restored")
def restore_behind_relay(context: Any) -> None:
    async def watch() -> Any:
        restored = 0.0
        async for batch in context.relayed.watch("k", 0, 5000.0):
            if batch.is_error():
                return batch.error, (time.monotonic() - restored) * 1000
            restored = time.monotonic()
            await asyncio.to_thread(http, f"{context.admin}/restore", {})
        return None

    context.watched = run(watch())


@then("that watch ends within {most_ms:d} ms, not by silence")
def check_reset_handed_on(context: Any, most_ms: int) -> None:
    fault, passed_ms = context.watched
    assert not fault.silent, fault
    assert passed_ms < most_ms, passed_ms
