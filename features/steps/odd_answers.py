"""Steps for answers that are not valid HTTP, given to every caller of the product."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

import msgspec
from behave import then, when
from features.support.engine_fleet import replica
from features.support.odd_answers import list_odd_answers
from features.support.raw_server import RawServer, build_answer

from pimentodale.clients.engine_client import cancel_request, read_load, read_progress
from pimentodale.clients.engine_messages import CacheEvents, EngineLoad, EngineOrder, Hop
from pimentodale.clients.engine_orders import read_engine_state, send_order
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clients.host_list import create_host_list_reader
from pimentodale.clients.key_value import KeyValueStore, Put
from pimentodale.clients.weight_store import ReservationRequest, create_reserver
from pimentodale.clock import create_clock
from pimentodale.configuration.follower import FollowerStatus
from pimentodale.ctl.ask_hosts import ask_hosts
from pimentodale.pipelines.loss_diagnosis import crashed_replicas
from pimentodale.platform.engine_client import create_platform_engine_client
from pimentodale.platform.store import create_platform_store
from pimentodale.routing.load_poller import create_load_poller
from pimentodale.site.model import LayerRange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pimentodale.addresses import Address

TIMEOUT_MS: Final = 1_500.0
FIELD: Final = b"X-Host: a\r\n"
ORDER: Final = EngineOrder(fencing_number=1, order="drain")

LOAD: Final = msgspec.json.encode(
    EngineLoad(
        replica="e1", model="m", first_layer=0, last_layer=8, slots=4, active=0, tokens_per_s=1.0
    )
)
"""An engine's load, the one body that would be of use with any status."""


EVENTS: Final = msgspec.json.encode(CacheEvents(events=[], next=7))


def own_store(address: Address) -> KeyValueStore:
    """Return a client of the own store."""
    return create_etcd_gateway([address], create_clock())


async def first_batch(store: KeyValueStore) -> Any:
    """Return what a watch yields first."""
    async for batch in store.watch("k", 1, TIMEOUT_MS):
        return batch
    raise AssertionError("the watch ended")


async def ask_operators_host(address: Address) -> Any:
    """Ask a host as an operator does."""
    return (await ask_hosts([address], "/admin/configuration", FollowerStatus))[0]


def engine(address: Address) -> Any:
    """Return the record of a replica at an address."""
    return replace(replica("i-1", "a", "l4", LayerRange(0, 8)), address=address)


CALLERS: Final[dict[str, Callable[[Address], Awaitable[Any]]]] = {
    "a probe of a replica": lambda at: create_platform_engine_client().probe(engine(at)),
    "a replica's report": lambda at: create_platform_engine_client().report(engine(at)),
    "an order to a replica": lambda at: create_platform_engine_client().place(
        engine(at), LayerRange(0, 8), 1, 0
    ),
    "a move of a stream": lambda at: create_platform_engine_client().repath(
        engine(at), "a1", (), 1
    ),
    "a read of the platform's store": lambda at: create_platform_store(at).read("k"),
    "a page of the platform's store": lambda at: create_platform_store(at).read("k", "l"),
    "a watch on the platform's store": lambda at: first_batch(create_platform_store(at)),
    "a write to the platform's store": lambda at: create_platform_store(at).txn(
        [], [Put("k", b"v")]
    ),
    "a lease of the platform's store": lambda at: create_platform_store(at).grant_lease(1_000.0),
    "a renewal at the platform's store": lambda at: create_platform_store(at).keep_lease(1),
    "a read of the own store": lambda at: own_store(at).read("k"),
    "a watch on the own store": lambda at: first_batch(own_store(at)),
    "a write to the own store": lambda at: own_store(at).txn([], [Put("k", b"v")]),
    "a lease of the own store": lambda at: own_store(at).grant_lease(1_000.0),
    "the host list": lambda at: create_host_list_reader(at)(),
    "a reservation at the weight store": lambda at: create_reserver(at)(
        ReservationRequest(1, "h1")
    ),
    "an engine's load": lambda at: read_load(at, TIMEOUT_MS),
    "an engine's progress": lambda at: read_progress(at, "job-1", 1, TIMEOUT_MS),
    "an engine's state": lambda at: read_engine_state(at, TIMEOUT_MS),
    "an order to an engine": lambda at: send_order(at, ORDER, TIMEOUT_MS),
    "a cancel at an engine": lambda at: cancel_request(at, "job-1", 1, TIMEOUT_MS),
    "an operator's question to a host": ask_operators_host,
}
"""Every caller of another system, by its name in the table."""

STORE_WRITES: Final = (
    "a write to the platform's store",
    "a lease of the platform's store",
    "a write to the own store",
    "a lease of the own store",
)


@when("each of these gets an answer with each odd status, with odd names, or with an odd length")
def call_with_odd_answers(context: Any) -> None:
    async def run(caller: str) -> list[tuple[str, Any]]:
        body = LOAD if caller == "an engine's load" else json.dumps({}).encode()
        odd = list(list_odd_answers(FIELD, body, build_answer("200 OK", FIELD, body)))
        server = RawServer(lambda number: odd[number][1])
        address = await server.start()
        ends = [(name, await CALLERS[caller](address)) for name, _ in odd]
        await server.close()
        assert server.arrivals == len(odd), (caller, server.arrivals)
        return ends

    rows = [row["caller"] for row in context.table]
    assert set(rows) == set(CALLERS), set(CALLERS) ^ set(rows)
    context.ends = {caller: asyncio.run(run(caller)) for caller in rows}


@when("an engine gives a load and cache events with each of these statuses")
def give_failures(context: Any) -> None:
    async def run(status: str) -> tuple[Any, list[Any], Any]:
        sound = build_answer("200 OK", FIELD, LOAD)
        answers = [
            build_answer(f"{status} X", FIELD, LOAD),
            sound,
            build_answer(f"{status} X", FIELD, EVENTS),
            build_answer(f"{status} X", FIELD, LOAD),
        ]
        server = RawServer(lambda number: answers[number])
        address = await server.start()
        load = await read_load(address, TIMEOUT_MS)
        applied: list[Any] = []
        is_polled = asyncio.Event()
        prefixes = SimpleNamespace(apply_events=lambda *events: applied.append(events))
        fleet = SimpleNamespace(apply_load=lambda _load: None)
        engines = [SimpleNamespace(replica="e1", address=address)]
        poller = create_load_poller(
            fleet, prefixes, lambda: engines, is_polled.set, create_clock(), random.Random(1)
        )
        polling = asyncio.create_task(poller.run())
        await is_polled.wait()
        polling.cancel()
        ctx = SimpleNamespace(pending_probes={}, boot_id_of=lambda _replica: "b1")
        hop = Hop(replica="e1", address=str(address), first_layer=0, last_layer=8)
        crashed = await crashed_replicas(ctx, SimpleNamespace(hops=[hop]))
        await server.close()
        return load, applied, crashed

    context.given = {row["status"]: asyncio.run(run(row["status"])) for row in context.table}


@then("neither counts, and the engine does not count as crashed")
def check_failures(context: Any) -> None:
    for status, (load, applied, crashed) in context.given.items():
        assert load.is_error(), (status, load)
        assert applied == [], (status, applied)
        assert crashed == [], (status, crashed)


@when("writes to the own store are answered with each of these statuses")
def answer_writes(context: Any) -> None:
    async def run(status: str) -> str:
        server = RawServer(lambda _number: build_answer(f"{status} X", FIELD, b"{}"))
        address = await server.start()
        written = await CALLERS["a write to the own store"](address)
        await server.close()
        return "may have been applied" if written.error.may_have_applied else "not applied"

    context.counted = [(row["counts as"], asyncio.run(run(row["status"]))) for row in context.table]


@then("each counts as that")
def check_counted(context: Any) -> None:
    assert all(expected == found for expected, found in context.counted), context.counted


@then("each call failed, and a write to a store counts as one that may have been applied")
def check_failed(context: Any) -> None:
    for caller, ends in context.ends.items():
        for name, end in ends:
            assert end.is_error(), (caller, name, end)
            if caller in STORE_WRITES:
                assert end.error.may_have_applied, (caller, name, end)
