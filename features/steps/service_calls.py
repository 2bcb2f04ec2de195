"""Steps for an entry host's calls to plain services, with servers inside the test process."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from behave import given, then, when
from features.support.memory_store import MemoryState, MemoryStore

from pimentodale.addresses import Address
from pimentodale.background import create_background_tasks
from pimentodale.clock import ManualClock
from pimentodale.configuration.documents import Operation, Service
from pimentodale.quarantine.crash_record import create_crash_record, fingerprint_of
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.results import ResultCode
from pimentodale.services.caller import create_service_caller
from pimentodale.services.crash_guard import create_crash_guard
from pimentodale.services.messages import ServiceCall, ServiceReplica

if TYPE_CHECKING:
    from collections.abc import Coroutine

CALL = fingerprint_of("rigs POST /note", "w1", b"")
"""Fingerprint of the call that crashes are recorded for."""

OPERATION = Operation(method="POST", path="/*", repeatable=False, keyless=True)


@dataclass
class Host:
    """An entry host's service caller and the only replica of each service."""

    clock: ManualClock = field(default_factory=lambda: ManualClock(1_000.0))
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.new_event_loop)
    replicas: dict[str, ServiceReplica] = field(default_factory=dict)
    answers: dict[str, str] = field(default_factory=dict)
    """Status line and headers that each service answers with."""

    arrivals: list[str] = field(default_factory=list)
    """Services that received calls, in order."""

    def __post_init__(self) -> None:
        """Create the service caller."""
        self.record = create_crash_record(self.clock)
        retrials = create_retrials(
            "e1", self.clock, self.record, MemoryStore(MemoryState(self.clock))
        )
        background = create_background_tasks()
        self.call = create_service_caller(
            SimpleNamespace(),
            self.pick,
            self.clock,
            lambda: True,
            lambda _replica, _whole: None,
            create_crash_guard(self.record, retrials, self.clock, background),
        )

    def pick(self, service: str, excluded: frozenset[str]) -> ServiceReplica | None:
        """Return a service's replica."""
        replica = self.replicas.get(service)
        return None if replica is None or replica.name in excluded else replica

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to completion."""
        return self.loop.run_until_complete(asyncio.wait_for(work, 10.0))

    async def start(self, service: str, answer: str) -> None:
        """Start the replica of a service."""
        self.answers[service] = answer

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            self.arrivals.append(service)
            writer.write(f"HTTP/1.1 {self.answers[service]}\r\nContent-Length: 0\r\n\r\n".encode())
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.replicas[service] = ServiceReplica(f"{service}-1", Address("127.0.0.1", port))

    async def send(self, service: str, count: int = 1) -> list[Any]:
        """Make non-repeatable calls concurrently."""
        call = ServiceCall(
            workspace="w1",
            service=Service(name=service, operations=[OPERATION]),
            operation=OPERATION,
            method="POST",
            path="/note",
            deadline_ms=self.clock.now_ms() + 5_000.0,
            request_id="call-1",
        )
        return await asyncio.gather(*(self.call(call, lambda: False) for _ in range(count)))


@given("an entry host whose services answer")
def make_host(context: Any) -> None:
    context.host = Host()
    context.add_cleanup(context.host.loop.close)
    for row in context.table:
        context.host.run(context.host.start(row["service"], row["answer"].replace("; ", "\r\n")))


@when("each service is called once")
def call_each(context: Any) -> None:
    for service in context.host.replicas:
        context.host.run(context.host.send(service))


@when("the replica of rigs takes no connection")
def stop_replica(context: Any) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    context.host.replicas["rigs"] = ServiceReplica("rigs-1", Address("127.0.0.1", port))


@when("{ms:d} ms pass, and {count:d} calls that may not repeat come at once")
def call_together(context: Any, ms: int, count: int) -> None:
    context.host.clock.advance(float(ms))
    context.host.arrivals.clear()
    context.ends = context.host.run(context.host.send("rigs", count))


@then("one of them reaches the replica, and the others are refused as not run")
def check_single_probe(context: Any) -> None:
    assert len(context.host.arrivals) == 1, context.host.arrivals
    refused = [end.error for end in context.ends if end.is_error()]
    assert len(refused) == len(context.ends) - 1, context.ends
    assert {str(refusal.ran) for refusal in refused} == {"not_run"}, refused


@then("a call of rigs is refused, to come back in {ms:d} ms")
def check_retry_delay(context: Any, ms: int) -> None:
    (end,) = context.host.run(context.host.send("rigs"))
    assert end.is_error(), end
    assert end.error.retry_after_ms == ms, end.error


@given("a call of rigs has crashed {count:d} replicas")
@when("a call of rigs has crashed {count:d} replicas")
def strike(context: Any, count: int) -> None:
    record = context.host.record
    known = record.find(CALL)
    first = len(known.fresh) if known else 0
    for number in range(first, first + count):
        record.strike(CALL, f"rigs-{number}", is_fresh=True)


@given("another call has crashed the same replicas")
def strike_beside(context: Any) -> None:
    record = context.host.record
    for crash in record.find(CALL).fresh:
        record.strike("another call", crash, is_fresh=True)


@when("{ms:d} ms pass, and a call of rigs finds {what}")
def fail_calls(context: Any, ms: int, what: str) -> None:
    host = context.host
    host.clock.advance(float(ms))
    replica, answer = host.replicas["rigs"], host.answers["rigs"]
    if what == "no replica":
        del host.replicas["rigs"]
    else:
        host.answers["rigs"] = "503 Busy"
    host.run(host.send("rigs"))
    host.replicas["rigs"], host.answers["rigs"] = replica, answer


@then("{ms:d} ms later a call of rigs is served")
def check_served_later(context: Any, ms: int) -> None:
    context.host.clock.advance(float(ms))
    check_served(context)


@then("a call of rigs is served")
def check_served(context: Any) -> None:
    (end,) = context.host.run(context.host.send("rigs"))
    assert end.is_ok(), end


@then('a call of rigs is refused as "{name}"')
def check_refused(context: Any, name: str) -> None:
    (end,) = context.host.run(context.host.send("rigs"))
    assert end.is_error(), end
    assert end.error.code is ResultCode[name.upper()], end.error
