"""Steps for the ledger's rules, over a store in memory."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from expression import Error, Ok, Result
from features.support.memory_store import MemoryState, MemoryStore

from pimentodale.clock import ManualClock
from pimentodale.ledger.key_ledger import create_key_ledger
from pimentodale.ledger.records import (
    MAX_OUTCOME_BYTES,
    ClaimRequest,
    Outcome,
    digest_request,
)
from pimentodale.ledger.run_once import REPLAYED_HEADER, LastLook, WorkFault, run_once
from pimentodale.platform.key_value import StoreFault
from pimentodale.results import Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pimentodale.ledger.interface import Ledger


DEADLINE_MS: Final = 60_000.0
FIRST_RETENTION_MS: Final = 120_000.0


@dataclass(slots=True)
class World:
    """Two hosts, their store and what ran."""

    clock: ManualClock = field(default_factory=ManualClock)
    state: MemoryState = field(init=False)
    ledgers: dict[str, Ledger] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    lose_reply: set[str] = field(default_factory=set)
    retention_ms: float = FIRST_RETENTION_MS
    ran: list[str] = field(default_factory=list)
    last: Result[Outcome, Refusal] | None = None

    def __post_init__(self) -> None:
        self.state = MemoryState(self.clock)

    def add_host(self, name: str) -> None:
        """Add a host with a gate of its own to the store."""

        async def gate(stage: str) -> StoreFault | None:
            await asyncio.sleep(0)
            if name in self.unreachable:
                return StoreFault(False, "connection refused")
            if stage == "reply" and name in self.lose_reply and self.state.items:
                self.lose_reply.discard(name)
                return StoreFault(True, "no answer in time")
            return None

        store = MemoryStore(self.state, gate)
        self.ledgers[name] = create_key_ledger(store, self.clock, name, lambda: self.retention_ms)

    async def attempt(
        self,
        host: str,
        key: str,
        text: str,
        work: Callable[[LastLook], Awaitable[Result[Outcome, WorkFault]]],
    ) -> None:
        """Send one attempt through a host and keep the answer."""
        request = ClaimRequest(
            workspace="delft",
            idempotency_key=key,
            digest=digest_request(text),
            deadline_ms=self.clock.now_ms() + DEADLINE_MS,
        )
        self.last = await run_once(self.ledgers[host], request, work)


def _outcome(text: str) -> Outcome:
    size = MAX_OUTCOME_BYTES + 1 if text == "huge" else 1
    return Outcome(status=200, headers={"X-Work": text}, body=text.encode() * size)


@given('a ledger host "{first}" and a ledger host "{second}" over one store')
def make_hosts(context: Any, first: str, second: str) -> None:
    context.world = World()
    context.world.add_host(first)
    context.world.add_host(second)


@when('work "{text}" under key "{key}" is done through ledger host "{host}"')
def do_work(context: Any, text: str, key: str, host: str) -> None:
    world: World = context.world

    async def work(look: LastLook) -> Result[Outcome, WorkFault]:
        assert await look.allows()
        world.ran.append(key)
        return Ok(_outcome(text))

    asyncio.run(world.attempt(host, key, text, work))


@when('work "{text}" under key "{key}" is held by ledger host "{host}" after its first byte')
def hold_work(context: Any, text: str, key: str, host: str) -> None:
    world: World = context.world

    async def hold() -> None:
        started = asyncio.Event()

        async def work(look: LastLook) -> Result[Outcome, WorkFault]:
            assert await look.allows()
            world.ran.append(key)
            started.set()
            await asyncio.Event().wait()
            raise AssertionError

        context.held = asyncio.ensure_future(world.attempt(host, key, text, work))
        await started.wait()

    # A loop that is never run again stands for a host that was lost with the work in progress.
    context.lost_loop = asyncio.new_event_loop()
    context.lost_loop.run_until_complete(hold())


@when('work "{text}" under key "{key}" finds no backend server at ledger host "{host}"')
def find_no_backend(context: Any, text: str, key: str, host: str) -> None:
    async def work(_look: LastLook) -> Result[Outcome, WorkFault]:
        await asyncio.sleep(0)
        return Error(WorkFault(sent=False, code=ResultCode.NO_ROUTE, message="none"))

    asyncio.run(context.world.attempt(host, key, text, work))


@when('work "{text}" under key "{key}" is lost at ledger host "{host}" after its first byte')
def lose_work(context: Any, text: str, key: str, host: str) -> None:
    world: World = context.world

    async def work(look: LastLook) -> Result[Outcome, WorkFault]:
        assert await look.allows()
        world.ran.append(key)
        return Error(WorkFault(sent=True, code=ResultCode.BACKEND_SERVER_LOST, message="closed"))

    asyncio.run(world.attempt(host, key, text, work))


@when(
    'work "{text}" under key "{key}" is frozen at ledger host "{host}" before its first byte '
    "for {duration_ms:d} ms"
)
def freeze_work(context: Any, text: str, key: str, host: str, duration_ms: int) -> None:
    world: World = context.world

    async def work(look: LastLook) -> Result[Outcome, WorkFault]:
        world.clock.advance(duration_ms)
        if await look.allows():
            world.ran.append(key)
            return Ok(_outcome(text))
        return Error(WorkFault(sent=False, code=ResultCode.INTERNAL, message="forbidden"))

    asyncio.run(world.attempt(host, key, text, work))


@when("the ledger clock moves on by {duration_ms:d} ms")
def move_clock(context: Any, duration_ms: int) -> None:
    context.world.clock.advance(duration_ms)


@when('the store is out of reach of ledger host "{host}"')
def cut_host(context: Any, host: str) -> None:
    context.world.unreachable.add(host)


@when('the store loses its next reply to a transaction of ledger host "{host}"')
def lose_next_reply(context: Any, host: str) -> None:
    context.world.lose_reply.add(host)


@when("the retention of the ledger is raised to {retention_ms:d} ms")
def raise_retention(context: Any, retention_ms: int) -> None:
    context.world.retention_ms = float(retention_ms)


@then('the ledger work under "{key}" ran {count:d} time')
@then('the ledger work under "{key}" ran {count:d} times')
def check_ran(context: Any, key: str, count: int) -> None:
    assert context.world.ran.count(key) == count, context.world.ran


@then('the last ledger answer is the {kind} outcome of "{text}"')
def check_outcome(context: Any, kind: str, text: str) -> None:
    answer = context.world.last
    assert answer.is_ok(), answer
    assert answer.ok.body == _outcome(text).body
    assert answer.ok.headers["X-Work"] == text
    assert (REPLAYED_HEADER in answer.ok.headers) == (kind == "replayed"), answer


@then(
    'the last ledger answer is "{name}" with ran "{ran}", this attempt "{this_attempt}" '
    'and earlier attempt "{earlier}"'
)
def check_refusal(context: Any, name: str, ran: str, this_attempt: str, earlier: str) -> None:
    answer = context.world.last
    assert answer.is_error(), answer
    refusal = answer.error
    words = (refusal.name, refusal.ran, refusal.this_attempt, refusal.earlier_attempt)
    assert words == (name, ran, this_attempt, earlier), refusal


@then("the last ledger answer says when to come back")
def check_retry_after(context: Any) -> None:
    assert context.world.last.error.retry_after_ms, context.world.last
