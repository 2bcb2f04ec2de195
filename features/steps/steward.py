"""Steps for stewards, with stand-in engines of which some check fencing numbers."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

import msgspec
import yaml
from behave import given, step, then, when
from expression import Ok, Result
from features.steps.key_value import create_store, run, start_key_value
from features.support.site import http, read_journal, wait_until

from pimentodale.addresses import parse_address
from pimentodale.clients.host_list import create_host_list_reader
from pimentodale.clients.key_value import Put
from pimentodale.clients.weight_store import Reservation, ReservationRequest, WeightStoreFault
from pimentodale.clock import create_clock
from pimentodale.configuration.folder_store import ACCEPTED_KEY, read_accepted, write_snapshot
from pimentodale.configuration.follower import create_follower
from pimentodale.configuration.snapshots import AcceptedFile, Snapshot, encode_snapshot
from pimentodale.steward.settings import StewardSettings
from pimentodale.steward.steward import create_steward

FIRST = asyncio.FIRST_COMPLETED

STEWARD_DOMAIN = "delft-a"
STEWARD_MODELS = [{"name": "tulip", "layers": 8}, {"name": "rose", "layers": 8}]
LEASE_KEY = f"pimentodale/steward/{STEWARD_DOMAIN}"
ROUND_MS = 200.0
BYTES_PER_S = 1000.0


@given("a domain of {engines:d} engines with {stewards:d} stewards and loads of {load_ms:d} ms")
def given_domain(context: Any, engines: int, stewards: int, load_ms: int) -> None:
    site = context.site
    context.load_ms = load_ms
    context.engine_names = [f"e{number}" for number in range(engines)]
    context.addresses = {
        name: f"{site.ip(100 + number)}:9000" for number, name in enumerate(context.engine_names)
    }
    context.link = f"http://{site.ip(12)}:2380/admin/faults"
    parts: list[dict[str, Any]] = [
        {
            "kind": "relay",
            "listen": f"{site.ip(12)}:2379",
            "target": f"{site.ip(10)}:2379",
            "admin_listen": f"{site.ip(12)}:2380",
        },
        {
            "kind": "weight_store",
            "listen": f"{site.ip(14)}:80",
            "bytes_per_s": BYTES_PER_S,
            "journal": str(site.folder / "weights.jsonl"),
        },
        {"kind": "host_list", "listen": f"{site.ip(15)}:80", "targets": engine_groups(context)},
    ]
    for number, name in enumerate(context.engine_names):
        part = {
            "kind": "engine",
            "replica": name,
            "listen": context.addresses[name],
            "failure_domain": STEWARD_DOMAIN,
            "model": "tulip",
            "first_layer": 0,
            "last_layer": 8,
            "load_ms": float(load_ms),
            "honours_fencing": number % 2 == 0,
            "journal": str(site.folder / f"{name}.jsonl"),
        }
        parts.append(part)
    start_key_value(context, *parts)
    context.stewards = {}
    for number in range(stewards):
        start_steward(context, f"s{number}")


def engine_groups(context: Any) -> list[dict[str, Any]]:
    labels = {
        "kind": "engine",
        "failure_domain": STEWARD_DOMAIN,
        "state": "live",
        "model": "tulip",
        "first_layer": "0",
        "last_layer": "8",
        "tokens_per_s": "100",
        "slots": "8",
    }
    return [
        {"targets": [address], "labels": {**labels, "replica": name}}
        for name, address in context.addresses.items()
    ]


def steward_settings(context: Any, name: str) -> dict[str, Any]:
    site = context.site
    return {
        "host": name,
        "failure_domain": STEWARD_DOMAIN,
        "key_value": [f"{site.ip(12)}:2379"],
        "host_list": f"{site.ip(15)}:80",
        "weight_store": f"{site.ip(14)}:80",
        "lease_ttl_ms": 2000.0,
        "order_timeout_ms": 300.0,
        "clock_margin_ms": 200.0,
        "round_interval_ms": ROUND_MS,
        "log_format": "console",
    }


def start_steward(context: Any, name: str, **changes: Any) -> None:
    settings = {**steward_settings(context, name), **changes}
    path = context.site.write(f"{name}.yaml", settings)
    context.stewards[name] = context.site.start(name, "pimentodale-steward", str(path))


def put_placements(context: Any, placements: list[dict[str, Any]]) -> None:
    """Activate a configuration as a host that accepts it would."""
    text = yaml.safe_dump({"models": STEWARD_MODELS, "placements": placements})
    stored = run(read_accepted(context.store)).ok
    items = run(context.store.read(ACCEPTED_KEY)).ok.items
    files = [AcceptedFile("10-all.yaml", text)]
    snapshot = Snapshot(revision=stored.revision + 1, files=files)
    mod_revision = items[0].mod_revision if items else 0
    reply = run(write_snapshot(context.store, snapshot, encode_snapshot(snapshot), mod_revision))
    assert reply.ok.succeeded


@step(
    'the placement requests version "{version}" with at least {least:d} serving'
    " and loads of {pace_ms:d} ms at the store"
)
def request_version(context: Any, version: str, least: int, pace_ms: int) -> None:
    placement = {
        "model": "tulip",
        "failure_domain": STEWARD_DOMAIN,
        "version": version,
        "min_serving_replicas": least,
        "load_bytes": int(pace_ms * BYTES_PER_S / 1000),
    }
    put_placements(context, [placement])


def engine_state(context: Any, name: str) -> Any:
    return http(f"http://{context.addresses[name]}/v1/pimentodale/state").json()


@step('all engines hold version "{version}" within {span_s:d} s')
def check_version(context: Any, version: str, span_s: int) -> None:
    def held() -> bool:
        reached = [engine_state(context, name)["reached"] for name in context.engine_names]
        return all(one["version"] == version and one["state"] == "live" for one in reached)

    wait_until(held, f"all engines hold version {version}", span_s)


def orders(context: Any, name: str) -> list[dict[str, Any]]:
    lines = read_journal(context.site.folder / f"{name}.jsonl")
    return [line for line in lines if line["event"] == "order"]


def accepted_order_times(context: Any) -> list[float]:
    return sorted(
        line["at_ms"]
        for name in context.engine_names
        for line in orders(context, name)
        if line["taken"]
    )


@then("at most {most:d} engine was out of service at any time")
def check_out_of_service(context: Any, most: int) -> None:
    times = accepted_order_times(context)
    assert len(times) == len(context.engine_names), times
    for time_ms in times:
        out = sum(time_ms <= other < time_ms + context.load_ms for other in times)
        assert out <= most, times


@then(
    "each load started no earlier than its reserved time, {least_ms:d} ms later for each load "
    "before it"
)
def check_load_times(context: Any, least_ms: int) -> None:
    places = read_journal(context.site.folder / "weights.jsonl")
    assert len(places) == len(context.engine_names), places
    first_ms = places[0]["at_ms"]
    for number, place in enumerate(places):
        name = place["holder"].split("/")[1]
        (order,) = orders(context, name)
        assert order["at_ms"] >= place["at_ms"] + place["start_after_ms"], (order, place)
        assert order["at_ms"] >= first_ms + number * least_ms, (order, first_ms)


@when(
    'the placements request an adapter, a role, another model for "{moved}" and no model on '
    '"{emptied}"'
)
def request_changes(context: Any, moved: str, emptied: str) -> None:
    context.moved, context.emptied = moved, emptied
    common = {"failure_domain": STEWARD_DOMAIN, "min_serving_replicas": 1}
    placed = [{"replica": moved, "first_layer": 0, "last_layer": 8}]
    rose = {"model": "rose", "version": "7", "replicas": placed, **common}
    rose["min_serving_replicas"] = 0
    tulip = {"model": "tulip", "adapters": ["dutch"], "role": "decode", "unloaded": [emptied]}
    put_placements(context, [rose, {**tulip, **common}])


@then("each engine holds what was requested within {span_s:d} s")
def check_everything(context: Any, span_s: int) -> None:
    def as_requested(name: str) -> bool:
        reached = engine_state(context, name)["reached"]
        if name == context.emptied:
            return reached["model"] == ""
        if name == context.moved:
            held = (reached["model"], reached["version"], reached["last_layer"])
            return held == ("rose", "7", 8) and reached["state"] == "live"
        held = (reached["model"], reached["adapters"], reached["role"])
        return held == ("tulip", ["dutch"], "decode") and reached["state"] == "live"

    wait_until(
        lambda: all(as_requested(n) for n in context.engine_names),
        "all changes are applied",
        span_s,
    )


def wait_rounds(context: Any, rounds: int) -> None:
    """Wait for the duration of some rounds."""
    del context
    end = time.monotonic() + rounds * ROUND_MS / 1000
    wait_until(lambda: time.monotonic() > end, "the rounds are over", 30)


@then("no engine gets an order in {rounds:d} rounds")
def check_no_order(context: Any, rounds: int) -> None:
    wait_until(lambda: holder(context) is not None, "a steward has the lease")
    # The first order comes only after the wait for orders of the previous holder.
    wait_rounds(context, rounds + 5)
    assert not any(orders(context, name) for name in context.engine_names)


def holder(context: Any) -> Any:
    items = run(context.store.read(LEASE_KEY)).ok.items
    return items[0] if items else None


@when("the holder is paused {delay_ms:d} ms after its first order")
def pause_holder(context: Any, delay_ms: int) -> None:
    wait_until(lambda: accepted_order_times(context), "the first order", 15)
    end = time.monotonic() + delay_ms / 1000
    wait_until(lambda: time.monotonic() >= end, "the delay is over")
    item = holder(context)
    context.paused = context.stewards[item.value.decode()]
    context.paused_name = item.value.decode()
    context.paused_number = item.mod_revision
    context.paused.freeze()


@when("the other steward holds the lease")
def other_holds(context: Any) -> None:
    def held() -> bool:
        item = holder(context)
        return item is not None and item.value.decode() != context.paused_name

    wait_until(held, "the other has the lease", 15)
    context.other_number = holder(context).mod_revision


@when("the paused steward resumes")
def resume_paused(context: Any) -> None:
    context.paused.wake()


@when("an in-flight order of the paused steward arrives at every engine")
def deliver_late_order(context: Any) -> None:
    order = {"fencing_number": context.paused_number, "order": "version", "version": "2"}
    context.statuses = {
        name: http(f"http://{address}/v1/pimentodale/orders", order).status
        for name, address in context.addresses.items()
    }


@then("the engines that check fencing refused it and the others were corrected within {span_s:d} s")
def check_corrected(context: Any, span_s: int) -> None:
    expected = {
        name: 409 if number % 2 == 0 else 200 for number, name in enumerate(context.engine_names)
    }
    assert context.statuses == expected, context.statuses
    check_version(context, "3", span_s)


@then("no other order with an old fencing number was accepted")
def check_no_stale_orders(context: Any) -> None:
    wait_rounds(context, 5)
    for number, name in enumerate(context.engine_names):
        lines = orders(context, name)
        newer = [
            i for i, line in enumerate(lines) if line["fencing_number"] >= context.other_number
        ]
        late = [
            line
            for line in lines[newer[0] :]
            if line["taken"] and line["fencing_number"] < context.other_number
        ]
        # Engines that don't check accept the order sent by the scenario itself.
        assert len(late) == number % 2, (name, late)
    check_version(context, "3", 2)


@when(
    'a steward is delayed right before its first order, until another has rolled out version "{v}"'
)
def delay_steward(context: Any, v: str) -> None:
    """Run a steward in this process whose reservation is answered after its lease has expired."""
    settings = msgspec.convert(steward_settings(context, "held"), StewardSettings)
    store = create_store(*settings.key_value)
    context.held_number = 0

    def let_another_take_over() -> None:
        assert http(context.link, {"cut": True}).status == 200
        wait_until(lambda: holder(context) is None, "the lease has expired", 15)
        direct = {"key_value": [context.store_address]}
        start_steward(context, "s0", **direct)
        request_version(context, v, 0, 0)
        check_version(context, v, 15)

    async def hold() -> None:
        clock = create_clock()
        rng = random.Random(context.site.seed)
        resumed = asyncio.Event()

        async def reserve(_request: ReservationRequest) -> Result[Reservation, WeightStoreFault]:
            if context.held_number == 0 and steward.lease is not None:
                context.held_number = steward.lease.fencing_number
                await asyncio.to_thread(let_another_take_over)
                asyncio.get_running_loop().call_later(1.0, resumed.set)
            return Ok(Reservation(0.0))

        follower = create_follower(store, clock, rng, "held", lambda: False)
        read = create_host_list_reader(parse_address(settings.host_list))
        steward = create_steward(settings, store, follower, read, reserve, clock, rng)
        running = asyncio.ensure_future(steward.run())
        await asyncio.wait({running, asyncio.ensure_future(resumed.wait())}, return_when=FIRST)
        assert resumed.is_set(), running
        running.cancel()

    run(hold())


@then("that steward sent no order")
def check_delayed_sent_none(context: Any) -> None:
    assert context.held_number > 0
    numbers = [o["fencing_number"] for name in context.engine_names for o in orders(context, name)]
    assert numbers and context.held_number not in numbers, (context.held_number, numbers)


@when("the steward's link to the store is cut for longer than its lease")
def cut_link(context: Any) -> None:
    assert http(context.link, {"cut": True}).status == 200
    wait_until(lambda: holder(context) is None, "the lease has expired", 15)
    context.seen = {name: len(orders(context, name)) for name in context.engine_names}


@when('engine "{name}" is ordered to version "{version}" manually')
def order_manually(context: Any, name: str, version: str) -> None:
    number = engine_state(context, name)["highest_fencing_number"]
    order = {"fencing_number": number, "order": "version", "version": version}
    url = f"http://{context.addresses[name]}/v1/pimentodale/orders"
    assert http(url, order).status == 200
    context.seen[name] += 1


@then("no steward's order reaches an engine in {rounds:d} rounds")
def check_none_reaches(context: Any, rounds: int) -> None:
    wait_rounds(context, rounds)
    assert context.seen == {name: len(orders(context, name)) for name in context.engine_names}


@when("the steward's link to the store is restored")
def restore_link(context: Any) -> None:
    assert http(context.link, {}).status == 200


@given("the store's state is saved, then {count:d} other keys are written")
def save_then_write(context: Any, count: int) -> None:
    assert http(f"{context.admin}/snapshot", {}).status == 200
    for first in range(count):
        assert run(context.store.txn([], [Put(f"other/{first}", b"v")])).ok.succeeded


@when("the store is restored and the steward is restarted")
def restore_and_restart(context: Any) -> None:
    context.stewards["s0"].kill()
    assert http(f"{context.admin}/restore", {}).status == 200
    start_steward(context, "s0")


@then("the fencing numbers that engines accepted never decreased")
def check_numbers_rise(context: Any) -> None:
    for name in context.engine_names:
        numbers = [line["fencing_number"] for line in orders(context, name) if line["taken"]]
        assert numbers == sorted(numbers), (name, numbers)
        versions = [json.loads(line["detail"])["version"] for line in orders(context, name)]
        assert versions[-1] == "3", versions
