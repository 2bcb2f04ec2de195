"""Steps for membership and replication of shared state."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from typing import Any

from behave import given, then, when
from features.support.domain_relay import DomainRelay
from features.support.peer_nodes import (
    ALIVE,
    DOMAINS,
    GONE,
    PEER_PORT,
    SUSPECT,
    ask,
    node_name,
    publish,
    read_received,
    seed_of,
    start_node,
    states,
    status,
)
from features.support.site import wait_until
from hypothesis import given as property_of
from hypothesis import settings as property_settings
from hypothesis import strategies

from pimentodale.peers.message_stream import pack
from pimentodale.peers.messages import Delta, Hello, MemberRecord

RELAY_OFFSET = 100
LIST_LASTS_MS = 5_000.0
CLOCK_BEHIND_MS = -3_600_000.0


@given("{count:d} peer nodes that all know each other")
def start_nodes(context: Any, count: int) -> None:
    context.nodes = list(range(1, count + 1))
    for number in context.nodes:
        start_node(context.site, number, [seed_of(context.site, 1)])
    wait_all_alive(context, 30.0)


@given("{count:d} peer nodes of which node 1 refuses all links and is the only one listed")
def start_nodes_with_full_seed(context: Any, count: int) -> None:
    context.nodes = list(range(1, count + 1))
    for number in context.nodes:
        limits = {"accepted_links": 0, "full_mesh_hosts": 1} if number == 1 else {}
        start_node(context.site, number, [seed_of(context.site, 1)], **limits)


@given("{count:d} peer nodes behind relays that all know each other")
def start_nodes_behind_relays(context: Any, count: int) -> None:
    site = context.site
    context.nodes = list(range(1, count + 1))
    context.relay = DomainRelay(random.Random(site.seed))
    context.add_cleanup(context.relay.stop)
    for number in context.nodes:
        relay_ip = site.ip(RELAY_OFFSET + number)
        context.relay.add_relay(relay_ip, site.ip(number), PEER_PORT, number)
        seeds = [seed_of(site, RELAY_OFFSET + 1)]
        node = {"list_lasts_ms": LIST_LASTS_MS}
        start_node(site, number, seeds, advertise=(relay_ip, PEER_PORT), node=node)
    wait_all_alive(context, 30.0)


@when("node {number:d} is killed")
def kill_node(context: Any, number: int) -> None:
    context.site.programs[node_name(number)].kill()
    context.nodes.remove(number)


@when("node {number:d} is asked to stop")
def stop_node(context: Any, number: int) -> None:
    assert context.site.programs[node_name(number)].terminate() == 0
    context.nodes.remove(number)


@then("every other node holds node {number:d} to be gone within {bound:g} s")
def check_gone(context: Any, number: int, bound: float) -> None:
    name = node_name(number)
    others = [other for other in context.nodes if other != number]
    wait_until(
        lambda: all(states(context.site, other).get(name) == GONE for other in others),
        f"{name} is gone for all",
        bound,
    )


@then("no node ever suspected node {number:d}")
def check_not_suspected(context: Any, number: int) -> None:
    found = [line for line in suspicions(context) if line["member"] == node_name(number)]
    assert not found, found


@then("no node ever suspected any node")
def check_none_suspected(context: Any) -> None:
    assert not suspicions(context), suspicions(context)


@then("no node ever suspected any node but node {number:d}")
def check_none_other_suspected(context: Any, number: int) -> None:
    found = [line for line in suspicions(context) if line["member"] != node_name(number)]
    assert not found, found


@then("each failure domain has the watchers that its live hosts allow")
def check_watchers(context: Any) -> None:
    for domain in range(len(DOMAINS)):
        hosts = [number for number in context.nodes if number % len(DOMAINS) == domain]
        watchers = [number for number in hosts if status(context.site, number).watcher]
        assert len(watchers) == min(2, len(hosts)), (domain, watchers)


@then("no node has more than {bound:d} links")
def check_degree(context: Any, bound: int) -> None:
    degrees = [len(status(context.site, number).links) for number in context.nodes]
    print(f"links of each node: {degrees}")
    assert max(degrees) <= bound, degrees


@when("node {number:d} publishes {count:d} urgent entries of {size:d} bytes")
def publish_entries(context: Any, number: int, count: int, size: int) -> None:
    context.publisher = number
    context.keys = [f"key{index}" for index in range(count)]
    for key in context.keys:
        publish(context.site, number, key, size)


@then("every other node has received each of them exactly once within {bound:g} s")
def check_heard(context: Any, bound: float) -> None:
    others = [number for number in context.nodes if number != context.publisher]
    wait_until(
        lambda: all(received_keys(context, number) == sorted(context.keys) for number in others),
        "all have heard all entries once",
        bound,
    )


@when("the link between nodes {first:d} and {second:d} is lost and restored")
def lose_link(context: Any, first: int, second: int) -> None:
    site = context.site
    wait_until(lambda: len(received_keys(context, second)) == len(context.keys), "all is heard")
    wait_until(lambda: len(received_keys(context, 3)) == len(context.keys), "all is heard")
    before = status(site, first)
    # A freeze longer than the silence time-out makes the other side close its links.
    site.programs[node_name(second)].freeze()
    wait_until(lambda: node_name(second) not in status(site, first).links, "the link is lost")
    site.programs[node_name(second)].wake()
    wait_until(lambda: node_name(second) in status(site, first).links, "the link is back")
    wait_all_alive(context, 10.0)
    after = status(site, first)
    context.sent_records = after.counters["sent_records"] - before.counters["sent_records"]


@then("node {number:d} sent fewer than {bound:d} records for it")
def check_sent(context: Any, number: int, bound: int) -> None:
    print(f"node {number} sent {context.sent_records:.0f} records")
    assert context.sent_records < bound, context.sent_records


@when("node {number:d} is frozen for {duration:g} s")
def freeze_node(context: Any, number: int, duration: float) -> None:
    context.frozen = number
    program = context.site.programs[node_name(number)]
    program.freeze()
    # The duration of the freeze is the injected fault, not a wait for a condition.
    time.sleep(duration)
    context.held_meanwhile = {
        other: states(context.site, other)[node_name(number)]
        for other in context.nodes
        if other != number
    }
    program.wake()


@then("every other node held node {number:d} to be gone meanwhile")
def check_held_gone(context: Any, number: int) -> None:
    assert context.frozen == number
    assert set(context.held_meanwhile.values()) == {GONE}, context.held_meanwhile


@when(
    "node {number:d} is frozen until node {other:d} suspects it, then resumes as node 4 is frozen"
)
def freeze_two(context: Any, number: int, other: int) -> None:
    site = context.site
    site.programs[node_name(number)].freeze()
    wait_until(lambda: holds(context, other, number, SUSPECT), "the suspicion")
    site.programs[node_name(other)].freeze()
    # Resumed at once, so that no node declares it gone and tells the other node.
    site.programs[node_name(number)].wake()


@when("node {other:d} resumes after node {number:d} was held to be alive and node 4 to be gone")
def wake_second(context: Any, other: int, number: int) -> None:
    third = next(one for one in context.nodes if one not in (number, other))
    wait_until(lambda: holds(context, third, other, GONE), "the second freeze is seen")
    wait_until(lambda: holds(context, third, number, ALIVE), "the first is back")
    context.site.programs[node_name(other)].wake()


@then("node {other:d} never held node {number:d} to be gone")
def check_never_gone(context: Any, other: int, number: int) -> None:
    found = [
        line
        for line in read_received(context.site, other)
        if line.get("member") == node_name(number) and line["state"] == "GONE"
    ]
    assert not found, found


@then("all nodes hold all to be alive within {bound:g} s")
def check_all_alive(context: Any, bound: float) -> None:
    wait_all_alive(context, bound)


@when("node {number:d} is killed and started again at once, its clock an hour behind")
def replace_node(context: Any, number: int) -> None:
    publish(context.site, number, "before", 10)
    context.old_boot_id = boot_ids(context, number)[number]
    context.site.programs[node_name(number)].kill()
    node = {"clock_offset_ms": CLOCK_BEHIND_MS}
    start_node(context.site, number, [seed_of(context.site, 1)], node=node)


@then("every other node holds node {number:d} to be alive under a new boot id within {bound:g} s")
def check_new_boot(context: Any, number: int, bound: float) -> None:
    def is_new_everywhere() -> bool:
        ids = set(boot_ids(context, number).values())
        return len(ids) == 1 and context.old_boot_id not in ids

    wait_until(is_new_everywhere, "all hold the new boot", bound)
    wait_all_alive(context, bound)


@then("what node {number:d} publishes now is received by all, though it published before")
def check_publishes_anew(context: Any, number: int) -> None:
    publish(context.site, number, "before", 20)
    others = [other for other in context.nodes if other != number]

    def heard_anew(other: int) -> bool:
        lines = [line for line in read_received(context.site, other) if line.get("key") == "before"]
        return bool(lines) and lines[-1]["value_bytes"] == 20

    wait_until(lambda: all(heard_anew(other) for other in others), "the new value is everywhere")


@when("the failure domain of node {number:d} is cut off from the others")
def cut_domain(context: Any, number: int) -> None:
    domain = number % len(DOMAINS)
    context.side = [other for other in context.nodes if other % len(DOMAINS) == domain]
    context.other_side = [other for other in context.nodes if other not in context.side]
    pairs = {(a, b) for a in context.side for b in context.other_side}
    cut_paths(context, pairs)


@then("each side holds the other to be gone and its own to be alive within {bound:g} s")
def check_sides(context: Any, bound: float) -> None:
    def is_split() -> bool:
        for side in (context.side, context.other_side):
            names = {node_name(number) for number in side}
            for number in side:
                held = states(context.site, number)
                if {name for name, state in held.items() if state == ALIVE} != names:
                    return False
                if set(held.values()) != {ALIVE, GONE}:
                    return False
        return True

    wait_until(is_split, "the sides hold each other to be gone", bound)


@then("what a node publishes now is received only on its own side")
def publish_in_cut(context: Any) -> None:
    first, second = context.side[0], context.other_side[0]
    publish(context.site, first, "mine", 10)
    publish(context.site, second, "theirs", 10)
    for key, publisher, side in (
        ("mine", first, context.side),
        ("theirs", second, context.other_side),
    ):
        others = [number for number in side if number != publisher]
        wait_until(lambda o=others, k=key: all(k in received_keys(context, n) for n in o), key)
    assert not any("mine" in received_keys(context, number) for number in context.other_side)
    assert not any("theirs" in received_keys(context, number) for number in context.side)


@when("the cut heals")
def heal_cut(context: Any) -> None:
    context.relay.cut(set())


@then("what was published in the cut is received on both sides")
def check_heard_on_both(context: Any) -> None:
    for key, publisher in (("mine", context.side[0]), ("theirs", context.other_side[0])):
        others = [number for number in context.nodes if number != publisher]
        wait_until(lambda o=others, k=key: all(k in received_keys(context, n) for n in o), key)


@when("the path from node {first:d} to node {second:d} alone is cut in both directions")
def cut_path(context: Any, first: int, second: int) -> None:
    cut_paths(context, {(first, second)})


@when("one message in five is lost for {duration:g} s")
def lose_messages(context: Any, duration: float) -> None:
    context.relay.loss = 0.2
    # The duration of the loss is the injected fault, not a wait for a condition.
    time.sleep(duration)
    context.relay.loss = 0.0


@when("{count:d} connections send random bytes and malformed messages to node {number:d}")
def send_random_bytes(context: Any, count: int, number: int) -> None:
    site = context.site
    context.before = status(site, number)
    member = MemberRecord("x", 1, 0, "b", "d", "r", "127.0.0.1", 1)  # type: ignore[arg-type]
    valid = pack(Hello("pimentodale-peers/1", member, "", 0))
    framed = strategies.binary(max_size=300).map(lambda body: len(body).to_bytes(4) + body)
    broken = strategies.tuples(
        strategies.integers(4, len(valid) - 1), strategies.integers(0, 255)
    ).map(lambda change: valid[: change[0]] + bytes([change[1]]) + valid[change[0] + 1 :])
    strangers = strategies.sampled_from(
        [pack(Hello("other/1", member, "", 0)), pack(Delta(1, [member], []))]
    )

    @property_settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @property_of(strategies.one_of(strategies.binary(max_size=300), framed, broken, strangers))
    def send(data: bytes) -> None:
        if data == valid:
            return
        with (
            contextlib.suppress(ConnectionError, TimeoutError),
            socket.create_connection((site.ip(number), PEER_PORT), 2.0) as connection,
        ):
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            connection.settimeout(0.2)
            connection.recv(1)

    send()


@then("the log of node {number:d} names code {code:d}")
def check_log(context: Any, number: int, code: int) -> None:
    text = context.site.programs[node_name(number)].log.read_text()
    assert f'"code": {code}' in text, text[-2000:]


@then("node {number:d} has no additional member and its memory grew by less than {bound:d} MB")
def check_unharmed(context: Any, number: int, bound: int) -> None:
    after = status(context.site, number)
    grown = (after.resident_bytes - context.before.resident_bytes) / 2**20
    print(f"malformed messages {after.counters['malformed_messages']}, grown by {grown:.1f} MB")
    live = [member.host for member in after.members if member.state == ALIVE]
    assert len(live) == len(context.nodes), live
    assert grown < bound, grown


@then("node {number:d} answers a request of {size:d} bytes")
def check_request(context: Any, number: int, size: int) -> None:
    assert len(ask(context.site, number, "fetch", str(size).encode())) == size


def wait_all_alive(context: Any, bound: float) -> None:
    names = {node_name(number) for number in context.nodes}

    def is_whole() -> bool:
        for number in context.nodes:
            held = states(context.site, number)
            if {name for name, state in held.items() if state == ALIVE} != names:
                return False
        return True

    wait_until(is_whole, "all nodes hold all to be alive", bound)


def suspicions(context: Any) -> list[dict[str, Any]]:
    return [
        line
        for number in context.nodes
        for line in read_received(context.site, number)
        if line.get("state") == "SUSPECT"
    ]


def holds(context: Any, node: int, member: int, state: int) -> bool:
    return states(context.site, node).get(node_name(member)) == state


def received_keys(context: Any, number: int) -> list[str]:
    return sorted(line["key"] for line in read_received(context.site, number) if "key" in line)


def boot_ids(context: Any, number: int) -> dict[int, str]:
    name = node_name(number)
    ids = {}
    for other in context.nodes:
        members = read_members(context, other)
        ids[other] = next((member.boot_id for member in members if member.host == name), "")
    return ids


def read_members(context: Any, number: int) -> list[Any]:
    try:
        return status(context.site, number).members
    except OSError:
        return []


def cut_paths(context: Any, pairs: set[tuple[int, int]]) -> None:
    ip = context.site.ip
    cut = {(ip(a), b) for a, b in pairs} | {(ip(b), a) for a, b in pairs}
    context.relay.cut(cut)
