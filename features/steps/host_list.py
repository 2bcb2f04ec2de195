"""Steps for the host list's client and stand-in."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from behave import given, then, when
from features.support.site import http

from pimentodale.addresses import parse_address
from pimentodale.clients.host_list import create_host_list_poller, create_host_list_reader
from pimentodale.clock import create_clock

ENGINE_LABELS = {
    "kind": "engine",
    "replica": "e1",
    "failure_domain": "delft-a",
    "state": "live",
    "model": "m",
    "first_layer": "0",
    "last_layer": "16",
    "accelerator": "large",
    "tokens_per_s": "120.5",
    "slots": "8",
}
SERVICE_LABELS = {
    "kind": "service",
    "replica": "s1",
    "failure_domain": "delft-a",
    "service": "rigs",
}
ENTRY_LABELS = {
    "kind": "entry",
    "replica": "h1",
    "failure_domain": "delft-b",
    "state": "live",
    "peer_port": "9100",
}


def start_host_list(context: Any, groups: list[dict[str, Any]], **settings: Any) -> None:
    """Start the stand-in with these groups."""
    site = context.site
    context.host_list = f"{site.ip(20)}:80"
    part = {"kind": "host_list", "listen": context.host_list, "targets": groups, **settings}
    part["admin_listen"] = f"{site.ip(20)}:81"
    path = site.write("host-list.yaml", {"parts": [part]})
    site.start("host-list", "pimentodale-standin", str(path))
    site.wait_ready(f"http://{site.ip(20)}:81/healthz")
    context.read = create_host_list_reader(parse_address(context.host_list), 500.0)


def group(target: str, labels: dict[str, str], **changes: str) -> dict[str, Any]:
    return {"targets": [target], "labels": {**labels, **changes}}


@given("a host list with one engine, one service, one entry host and three bad targets")
def given_list(context: Any) -> None:
    groups = [
        group("127.0.0.1:9000", ENGINE_LABELS),
        group("127.0.0.2:9000", SERVICE_LABELS),
        group("127.0.0.3:9000", ENTRY_LABELS),
        group("localhost:9000", SERVICE_LABELS),
        group("127.0.0.4:9000", ENGINE_LABELS, slots="many"),
        group("127.0.0.5:9000", SERVICE_LABELS, kind="kettle"),
    ]
    start_host_list(context, groups)


@when("the host list is read")
def read_list(context: Any) -> None:
    context.hosts = asyncio.run(context.read()).ok


@then("it holds the engine, the service and the entry host with their labels")
def check_list(context: Any) -> None:
    (engine,), (service,), (entry,) = (
        context.hosts.engines,
        context.hosts.services,
        context.hosts.entries,
    )
    assert (engine.replica, engine.first_layer, engine.last_layer) == ("e1", 0, 16)
    assert (engine.tokens_per_s, engine.slots, engine.model) == (120.5, 8, "m")
    assert (service.replica, service.service, service.leaving) == ("s1", "rigs", False)
    assert (entry.host, str(entry.peer_address)) == ("h1", "127.0.0.3:9100")


@then("it names the three bad targets")
def check_rejected(context: Any) -> None:
    rejected = "\n".join(context.hosts.rejected)
    assert len(context.hosts.rejected) == 3, rejected
    for part in ("localhost:9000", "slots", "127.0.0.5:9000: its label kind"):
        assert part in rejected, rejected


@given("a host list that lags {lag_ms:d} ms and a poller at {interval_ms:d} ms")
def given_lagging(context: Any, lag_ms: int, interval_ms: int) -> None:
    start_host_list(context, [group("127.0.0.1:9000", ENGINE_LABELS)], lag_ms=lag_ms)
    context.interval_ms = interval_ms


@when("the engine is marked leaving")
def mark_leaving(context: Any) -> None:
    context.marked = time.monotonic()
    groups = [group("127.0.0.1:9000", ENGINE_LABELS, state="leaving")]
    assert http(f"http://{context.site.ip(20)}:81/admin/targets", groups).status == 200


def poll_until(context: Any, condition: Any, timeout_s: float) -> list[Any]:
    """Run a poller until the condition on the lists seen so far is true."""
    seen: list[Any] = []

    async def poll() -> None:
        met = asyncio.Event()

        def take(hosts: Any) -> None:
            seen.append(hosts)
            if condition(seen):
                met.set()

        rng = random.Random(context.site.seed)
        poller = create_host_list_poller(
            context.read, take, create_clock(), rng, context.interval_ms
        )
        task = asyncio.ensure_future(poller())
        await asyncio.wait(
            [asyncio.ensure_future(met.wait()), task],
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        task.cancel()

    asyncio.run(poll())
    return seen


@then("the poller shows it leaving, not before {least_ms:d} ms and not after {most_ms:d} ms")
def check_lag(context: Any, least_ms: int, most_ms: int) -> None:
    seen = poll_until(context, lambda lists: lists and lists[-1].engines[0].leaving, 5.0)
    passed_ms = (time.monotonic() - context.marked) * 1000
    assert seen[-1].engines[0].leaving
    assert least_ms <= passed_ms <= most_ms, passed_ms
    context.last = seen[-1]


@when("the host list is down for {polls:d} polls")
def go_down(context: Any, polls: int) -> None:
    assert http(f"http://{context.site.ip(20)}:81/admin/faults", {"down": True}).status == 200
    context.shown = poll_until(context, lambda _lists: False, polls * context.interval_ms / 1000)


@then("the poller still shows the engine")
def check_kept(context: Any) -> None:
    assert context.shown == [], "a failed read was handed on as a list"
    assert context.last.engines[0].replica == "e1"


@given("a host list with a view that replaces the engine's address")
def given_view(context: Any) -> None:
    view = {
        "listen": f"{context.site.ip(21)}:80",
        "substitutions": {"127.0.0.1:9000": "127.0.0.9:9000"},
    }
    start_host_list(context, [group("127.0.0.1:9000", ENGINE_LABELS)], views=[view])


@then("the plain list shows the engine's address and the view shows the relay's")
def check_view(context: Any) -> None:
    plain = http(f"http://{context.host_list}/targets").json()
    view = http(f"http://{context.site.ip(21)}:80/targets").json()
    assert plain[0]["targets"] == ["127.0.0.1:9000"]
    assert view[0]["targets"] == ["127.0.0.9:9000"]
    assert plain[0]["labels"] == view[0]["labels"]
