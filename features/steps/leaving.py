"""Steps for leaving backend servers and planned stops."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgpack
from behave import given, then, when
from hypothesis import given as property_of
from hypothesis import settings as property_settings
from hypothesis import strategies

from pimentodale.clock import ManualClock
from pimentodale.leaving.servers import LeavingServers, create_leaving_servers
from pimentodale.logs import configure_logs

REPLICA = "e1"


@dataclass
class Told:
    """Two hosts' signs and the words between them."""

    clock: ManualClock = field(default_factory=ManualClock)
    words: list[tuple[int, bytes]] = field(default_factory=list)
    hosts: list[LeavingServers] = field(default_factory=list)

    def deliver(self) -> None:
        """Hand each word to the other host."""
        while self.words:
            sender, value = self.words.pop(0)
            self.hosts[1 - sender].take_word(value)


def create_told() -> Told:
    told = Told()
    for number in range(2):
        told.hosts.append(
            create_leaving_servers(
                told.clock,
                lambda _key, value, _ttl_ms, n=number: told.words.append((n, value)),
                lambda _replica: None,
            )
        )
    return told


@given("two hosts that tell each other their signs of leaving")
def create_hosts(context: Any) -> None:
    configure_logs("error", "console")
    context.told = create_told()


@then(
    "over {count:d} drawn orders of reports, refusals, list readings and words"
    " no leaving boot gets work"
)
def check_orders(context: Any, count: int) -> None:
    host = strategies.integers(0, 1)
    step = strategies.one_of(
        strategies.tuples(strategies.just("live report"), host),
        strategies.tuples(strategies.just("leaving report"), host),
        strategies.tuples(strategies.just("refusal"), host),
        strategies.tuples(strategies.just("list leaving"), host),
        strategies.tuples(strategies.just("list live"), host),
        strategies.tuples(strategies.just("words"), host),
        strategies.tuples(strategies.just("pass"), strategies.integers(0, 50_000)),
    )

    @property_settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @property_of(strategies.lists(step, max_size=30))
    def check(steps: list[tuple[str, int]]) -> None:
        told = create_told()
        for one in told.hosts:
            one.note_report(REPLICA, "boot-1", False)
        signed = [False, False]
        for kind, number in steps:
            if kind == "pass":
                told.clock.advance(number)
                continue
            one = told.hosts[number]
            if kind == "live report":
                one.note_report(REPLICA, "boot-1", False)
            elif kind == "leaving report":
                one.note_report(REPLICA, "boot-1", True)
                signed[number] = True
            elif kind == "refusal":
                one.note_refusal(REPLICA)
                signed[number] = True
            elif kind == "list leaving":
                one.note_list([REPLICA])
            elif kind == "list live":
                one.note_list([])
            else:
                told.deliver()
                signed = [any(signed)] * 2
            for other, has_sign in zip(told.hosts, signed, strict=True):
                assert not has_sign or other.is_leaving(REPLICA)

    check()


@then("a new boot of a backend server that had left gets work at once")
def check_new_boot(context: Any) -> None:
    told = context.told
    told.hosts[0].note_report(REPLICA, "boot-1", True)
    told.deliver()
    for one in told.hosts:
        one.note_report(REPLICA, "boot-1", False)
        assert one.is_leaving(REPLICA)
        one.note_report(REPLICA, "boot-2", False)
        assert not one.is_leaving(REPLICA)


@when("a backend server is replaced while the host list still shows its old boot as leaving")
def replace_server(context: Any) -> None:
    told = context.told
    for one in told.hosts:
        one.note_report(REPLICA, "boot-1", True)
        one.note_report(REPLICA, "boot-2", False)
    for _ in range(10):
        told.hosts[0].note_list([REPLICA])
        told.deliver()
        told.clock.advance(1_000)


@then("it gets no work while the list says so and for up to {bound:d} s after")
def check_blocked(context: Any, bound: int) -> None:
    told = context.told
    assert all(one.is_leaving(REPLICA) for one in told.hosts)
    told.clock.advance(bound * 1_000)


@then("it gets work then, at both hosts")
def check_freed(context: Any) -> None:
    for one in context.told.hosts:
        one.note_list([])
        assert not one.is_leaving(REPLICA)


@then("random bytes as a word raise nothing and block nothing")
def check_random_words(context: Any) -> None:
    one = context.told.hosts[0]

    @property_settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @property_of(strategies.binary(max_size=60))
    def send(value: bytes) -> None:
        one.take_word(value)

    send()
    one.take_word(msgpack.packb(["e9", 7]))
    assert not one.is_leaving(REPLICA)
    assert not one.is_leaving("e9")
