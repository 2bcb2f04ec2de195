"""Steps for the load exchange between hosts."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from behave import given, then, when
from features.support.load_fakes import LoadNetwork

from pimentodale.gateway.load_exchange import INTERVAL_MS, UNRESPONSIVE_SKIP_MS, rank_relays

SETTLING_ROUNDS = 2 * round(UNRESPONSIVE_SKIP_MS / INTERVAL_MS)
"""Rounds after which skipped hosts are tried again and old reports have expired."""


@given("{domains:d} failure domains of {hosts:d} hosts, each with one request at the same replica")
def make_hosts(context: Any, domains: int, hosts: int) -> None:
    context.network = LoadNetwork()
    for domain in range(domains):
        for number in range(hosts):
            context.network.add_host(f"d{domain}-h{number}")


@when("{rounds:d} rounds of the exchange pass")
def pass_rounds(context: Any, rounds: int) -> None:
    context.network.pass_rounds(rounds)


@when("the relay of a failure domain stops answering")
def silence_relay(context: Any) -> None:
    hosts = [host for host in context.network.exchanges if host.startswith("d0-")]
    context.network.silent = {rank_relays("d0", hosts)[0]}


@when("a failure domain is cut off from the others")
def cut_domain(context: Any) -> None:
    context.network.cut_domain = "d1"


@when("one host's request ends")
def end_request(context: Any) -> None:
    context.network.end_request("d2-h3")


@when("a host receives an undecodable request")
def send_undecodable(context: Any) -> None:
    try:
        asyncio.run(context.network.handlers["d0-h0"](b"\xc1nonsense"))
    except msgspec.MsgspecError:
        return
    raise AssertionError("an undecodable request was answered")


@then("every host counts {count:d} requests there")
def check_all(context: Any, count: int) -> None:
    counts = {host: context.network.count(host) for host in context.network.exchanges}
    assert set(counts.values()) == {count}, counts


@then("every live host counts {count:d} requests there")
def check_live(context: Any, count: int) -> None:
    network = context.network
    counts = {h: network.count(h) for h in network.exchanges if h not in network.silent}
    assert set(counts.values()) == {count}, counts


@then("every host counts {count:d} requests once it answers again")
def check_recovered(context: Any, count: int) -> None:
    context.network.silent.clear()
    context.network.pass_rounds(SETTLING_ROUNDS)
    check_all(context, count)


@then("a round takes at most {most:d} requests, {crossing:d} of them between failure domains")
def check_cost(context: Any, most: int, crossing: int) -> None:
    requests = context.network.requests
    assert len(requests) <= most, len(requests)
    assert sum(sender != receiver for sender, receiver in requests) == crossing, requests


@then("its hosts count {inside:d} requests there and the others {outside:d}")
def check_cut(context: Any, inside: int, outside: int) -> None:
    for host in context.network.exchanges:
        expected = inside if host.startswith("d1-") else outside
        assert context.network.count(host) == expected, (host, context.network.count(host))


@then("every host counts {count:d} requests once the cut is over")
def check_healed(context: Any, count: int) -> None:
    context.network.cut_domain = ""
    context.network.pass_rounds(SETTLING_ROUNDS)
    check_all(context, count)
