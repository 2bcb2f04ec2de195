"""Steps for the cost of sharing crash entries between hosts."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when
from features.support.crash_site import CrashSite

from pimentodale.quarantine.crash_sharing import BATCH_TOPIC

CRASH = "r0/1"
REQUEST = "request"


@given("a virtual site of {hosts:d} hosts")
def make_site(context: Any, hosts: int) -> None:
    context.virtual = CrashSite(hosts, context.site.seed)
    context.add_cleanup(context.virtual.close)
    context.known = {}


@given("a virtual site of {hosts:d} hosts, the last of which knows no batches")
def make_mixed_site(context: Any, hosts: int) -> None:
    context.virtual = CrashSite(hosts, context.site.seed, frozenset({hosts - 1}))
    context.add_cleanup(context.virtual.close)


@when(
    "a replica crashes under {streams:d} streams that share {parts:d} parts and whose hosts see it"
    " within {within_ms:d} ms"
)
def crash_under_streams(context: Any, streams: int, parts: int, within_ms: int) -> None:
    site = context.virtual

    async def see(stream: int, host: int, delay_ms: float) -> None:
        await site.clock.sleep_ms(delay_ms)
        record = site.records[host]
        name = f"{stream:024x}"
        record.strike(name, CRASH, is_fresh=False, events=stream % 50)
        for part in range(parts):
            record.strike(f"part-{part}", CRASH, is_fresh=False, events=stream % 50, request=name)

    async def see_all() -> None:
        hosts = len(site.records)
        await asyncio.gather(
            *(
                see(stream, site.rng.randrange(hosts), site.rng.uniform(0.0, within_ms))
                for stream in range(streams)
            )
        )
        await site.clock.sleep_ms(3_000.0)

    context.known = {f"{stream:024x}": {CRASH} for stream in range(streams)}
    context.known |= {f"part-{part}": {CRASH} for part in range(parts)}
    site.run(see_all())
    print_work(site)


@when(
    "{crashes:d} replicas crash under a request, {apart_ms:d} ms apart, and {hosts:d} hosts see one"
    " after the other"
)
def crash_under_request(context: Any, crashes: int, apart_ms: int, hosts: int) -> None:
    site = context.virtual

    async def see_all() -> None:
        for number in range(crashes):
            if number:
                await site.clock.sleep_ms(apart_ms)
            site.records[number % hosts].strike(REQUEST, f"r{number}/1", is_fresh=True)

    site.run(see_all())


@when("each of these streams completes within {within_s:d} s")
def complete_streams(context: Any, within_s: int) -> None:
    site = context.virtual
    site.values.clear()
    site.lines.clear()
    site.merges = 0

    async def complete(name: str) -> None:
        await site.clock.sleep_ms(site.rng.uniform(0.0, within_s * 1_000.0))
        site.rng.choice(site.records).clear(name)

    async def complete_all() -> None:
        await asyncio.gather(*map(complete, context.known))
        await site.clock.sleep_ms(3_000.0)

    site.run(complete_all())
    print_work(site)


@when("the request completes at another host")
def complete_request(context: Any) -> None:
    async def clear() -> None:
        # It hears of the last crash before the request completes.
        await context.virtual.clock.sleep_ms(100.0)
        context.virtual.records[1].clear(REQUEST)

    context.virtual.run(clear())


@when(
    "the second host is partitioned while {crashes:d} replicas crash under one stream of the first"
    " each, 1 s apart"
)
def crash_while_partitioned(context: Any, crashes: int) -> None:
    site = context.virtual
    site.partitioned.add(1)

    async def see_all() -> None:
        for number in range(crashes):
            site.records[0].strike(f"{number:024x}", f"r{number}/1", is_fresh=True)
            await site.clock.sleep_ms(1_000.0)

    context.known = {f"{number:024x}": {f"r{number}/1"} for number in range(crashes)}
    site.run(see_all())


@when("the second host reads the values of the shared state that have not expired")
def read_state(context: Any) -> None:
    async def read() -> None:
        for update in context.virtual.list_unexpired():
            context.virtual.receive(1, update)

    context.virtual.run(read())


@when("a replica crashes under {streams:d} streams of the first host at once")
def crash_at_once(context: Any, streams: int) -> None:
    site = context.virtual

    async def see_all() -> None:
        for stream in range(streams):
            site.records[0].strike(f"{stream:024x}", CRASH, is_fresh=True)
        await site.clock.sleep_ms(100.0)

    context.known = {f"{stream:024x}": {CRASH} for stream in range(streams)}
    site.run(see_all())


@when("the first host publishes a malformed batch")
def publish_malformed(context: Any) -> None:
    async def publish() -> None:
        context.virtual.publish(0, BATCH_TOPIC, "malformed", b"\x91\x91\xc1", 1_000.0)
        await context.virtual.clock.sleep_ms(100.0)

    context.virtual.run(publish())
    assert any("malformed" in line["event"] for line in context.virtual.lines)


@then("each host has published at most {most:d} values")
def check_values(context: Any, most: int) -> None:
    assert max(context.virtual.values.values()) <= most, context.virtual.values


@then("each host has written at most {most:d} lines on what others published")
def check_lines(context: Any, most: int) -> None:
    site = context.virtual
    lines = list_received(site)
    assert len(lines) <= most * len(site.records), len(lines)
    assert lines, "nothing tells of the crashes that others published"


@then("no host has encoded an entry because another host published it")
def check_encodings(context: Any) -> None:
    assert context.virtual.encodings_on_merge == 0, context.virtual.encodings_on_merge


@then("every host knows the crash of each stream and of each part")
def check_known(context: Any) -> None:
    for record in context.virtual.records:
        found = {name: record.open_crashes(name) for name in context.known}
        assert found == context.known


@then("every host refuses the request {within_ms:d} ms after the last crash")
def check_refused(context: Any, within_ms: int) -> None:
    assert set(list_verdicts(context, within_ms)) == {True}


@then("no host refuses the request {within_ms:d} ms later")
def check_not_refused(context: Any, within_ms: int) -> None:
    assert set(list_verdicts(context, within_ms)) == {False}


@then("the shared state has at most {most:d} values")
def check_state(context: Any, most: int) -> None:
    assert len(context.virtual.state) <= most, list(context.virtual.state)


@then("no published value is larger than {limit_bytes:d} bytes")
def check_sizes(context: Any, limit_bytes: int) -> None:
    assert max(context.virtual.sizes_bytes) <= limit_bytes, max(context.virtual.sizes_bytes)


def print_work(site: CrashSite) -> None:
    """Print the counts of a site."""
    print(
        f"{site.values.total()} values, {site.merges} merges, {len(site.lines)} lines,"
        f" {len(list_received(site))} of them on what others published"
    )


def list_verdicts(context: Any, after_ms: int) -> list[bool]:
    """Return whether each host refuses the request after a while."""
    site = context.virtual
    site.run(site.clock.sleep_ms(after_ms))
    return [record.is_convicted(REQUEST) for record in site.records]


def list_received(site: CrashSite) -> list[Any]:
    """Return the log lines on entries that other hosts published."""
    return [line for line in site.lines if line.get("told_by") or "entries" in line]
