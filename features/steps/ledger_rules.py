"""Steps for the rules of the ledger, with an in-memory store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from behave import given, then, when
from expression import Error, Ok, Result
from features.support.memory_store import MemoryState, MemoryStore

from pimentodale.clients.key_value import StoreFault
from pimentodale.clock import ManualClock
from pimentodale.ledger.key_ledger import create_key_ledger
from pimentodale.ledger.records import (
    MAX_OUTCOME_BYTES,
    Claim,
    ClaimRequest,
    Outcome,
    digest_request,
)
from pimentodale.ledger.run_once import REPLAYED_HEADER, FirstByteCheck, WorkFault, run_once
from pimentodale.results import Refusal, ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from pimentodale.ledger.interface import Ledger


DEADLINE_MS: Final = 60_000.0
# Iterations of the event loop in which a claim or release gets to its next wait.
RELEASE_TURNS: Final = 12
SETTLE_MS: Final = 5_000.0
FIRST_RETENTION_MS: Final = 120_000.0


@dataclass(slots=True)
class World:
    """Two hosts, their store and a list of the work that ran."""

    clock: ManualClock = field(default_factory=ManualClock)
    state: MemoryState = field(init=False)
    ledgers: dict[str, Ledger] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    lose_replies: dict[str, int] = field(default_factory=dict)
    request_gates: dict[str, asyncio.Event] = field(default_factory=dict)
    """Events that block the requests of a host after its replies were lost."""
    retention_ms: float = FIRST_RETENTION_MS
    ran: list[str] = field(default_factory=list)
    last: Result[Outcome, Refusal] | None = None
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.new_event_loop)
    """Used by all steps, so that background tasks of a host continue after a step has ended."""

    def __post_init__(self) -> None:
        self.state = MemoryState(self.clock)

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run until the work has ended; tasks that it started continue with the next call."""
        self.loop.run_until_complete(work)

    def add_host(self, name: str) -> None:
        """Add a host with its own gate to the store."""

        async def gate(stage: str) -> StoreFault | None:
            await asyncio.sleep(0)
            if name in self.unreachable:
                return StoreFault(False, "connection refused")
            if (
                stage == "request"
                and name in self.request_gates
                and not self.lose_replies.get(name)
            ):
                await self.request_gates[name].wait()
            if stage == "reply" and self.lose_replies.get(name):
                self.lose_replies[name] -= 1
                return StoreFault(True, "no answer in time")
            return None

        store = MemoryStore(self.state, gate)
        self.ledgers[name] = create_key_ledger(store, self.clock, name, lambda: self.retention_ms)

    async def attempt(
        self,
        host: str,
        key: str,
        text: str,
        work: Callable[[FirstByteCheck], Awaitable[Result[Outcome, WorkFault]]],
    ) -> None:
        """Send one attempt through a host and record the answer."""
        self.last = await run_once(self.ledgers[host], _request(self, key, text), work)


async def _run_other_tasks(count: int) -> None:
    """Let other tasks run for a number of event loop iterations."""
    for _ in range(count):
        await asyncio.sleep(0)


def _outcome(text: str) -> Outcome:
    size = MAX_OUTCOME_BYTES + 1 if text == "huge" else 1
    return Outcome(status=200, headers={"X-Work": text}, body=text.encode() * size)


def _request(world: World, key: str, text: str) -> ClaimRequest:
    return ClaimRequest(
        workspace="delft",
        idempotency_key=key,
        digest=digest_request(text),
        deadline_ms=world.clock.now_ms() + DEADLINE_MS,
    )


def _work(
    world: World, key: str, text: str
) -> Callable[[FirstByteCheck], Awaitable[Result[Outcome, WorkFault]]]:
    async def work(first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
        assert await first_byte_check.allows()
        world.ran.append(key)
        return Ok(_outcome(text))

    return work


@given('a ledger host "{first}" and a ledger host "{second}" over one store')
def make_hosts(context: Any, first: str, second: str) -> None:
    context.world = World()
    context.add_cleanup(context.world.loop.close)
    context.world.add_host(first)
    context.world.add_host(second)


@when('work "{text}" under key "{key}" is done through ledger host "{host}"')
def do_work(context: Any, text: str, key: str, host: str) -> None:
    world: World = context.world
    world.run(world.attempt(host, key, text, _work(world, key, text)))


@when(
    'work "{text}" under key "{key}" stays in progress on ledger host "{host}" after its first byte'
)
def keep_work_in_progress(context: Any, text: str, key: str, host: str) -> None:
    world: World = context.world

    async def hold() -> None:
        started = asyncio.Event()

        async def work(first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
            assert await first_byte_check.allows()
            world.ran.append(key)
            started.set()
            await asyncio.Event().wait()
            raise AssertionError

        context.held = asyncio.ensure_future(world.attempt(host, key, text, work))
        await started.wait()

    # A loop that never runs again simulates a host that failed with the work in progress.
    context.lost_loop = asyncio.new_event_loop()
    context.lost_loop.run_until_complete(hold())


@when('work "{text}" under key "{key}" finds no backend server at ledger host "{host}"')
def find_no_backend(context: Any, text: str, key: str, host: str) -> None:
    async def work(_first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
        await asyncio.sleep(0)
        return Error(WorkFault(sent=False, code=ResultCode.NO_ROUTE, message="none"))

    context.world.run(context.world.attempt(host, key, text, work))


@when('work "{text}" under key "{key}" is lost at ledger host "{host}" after its first byte')
def lose_work(context: Any, text: str, key: str, host: str) -> None:
    world: World = context.world

    async def work(first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
        assert await first_byte_check.allows()
        world.ran.append(key)
        return Error(WorkFault(sent=True, code=ResultCode.BACKEND_SERVER_LOST, message="closed"))

    world.run(world.attempt(host, key, text, work))


@when(
    'work "{text}" under key "{key}" is frozen at ledger host "{host}" before its first byte '
    "for {duration_ms:d} ms"
)
def freeze_work(context: Any, text: str, key: str, host: str, duration_ms: int) -> None:
    world: World = context.world

    async def work(first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
        world.clock.advance(duration_ms)
        if await first_byte_check.allows():
            world.ran.append(key)
            return Ok(_outcome(text))
        return Error(WorkFault(sent=False, code=ResultCode.INTERNAL, message="forbidden"))

    world.run(world.attempt(host, key, text, work))


@when("the ledger clock advances by {duration_ms:d} ms")
def advance_clock(context: Any, duration_ms: int) -> None:
    context.world.clock.advance(duration_ms)


@when('the store is unreachable from ledger host "{host}"')
def disconnect_host(context: Any, host: str) -> None:
    context.world.unreachable.add(host)


@when('the store loses its next reply to ledger host "{host}"')
def lose_next_reply(context: Any, host: str) -> None:
    context.world.lose_replies[host] = 1


@when('the store loses its next {count:d} replies to ledger host "{host}"')
def lose_next_replies(context: Any, count: int, host: str) -> None:
    context.world.lose_replies[host] = count


@when(
    'work "{text}" under key "{key}" is done through ledger host "{host}" and all its releases '
    "complete"
)
def do_work_and_flush(context: Any, text: str, key: str, host: str) -> None:
    world: World = context.world

    async def do_and_flush() -> None:
        await world.attempt(host, key, text, _work(world, key, text))
        assert await world.ledgers[host].flush(SETTLE_MS) == 0

    world.run(do_and_flush())


@when(
    'ledger host "{first}" releases key "{key}", loses the reply, and ledger host "{second}" '
    "claims it before the next try"
)
def release_and_claim(context: Any, first: str, key: str, second: str) -> None:
    world: World = context.world

    def request() -> ClaimRequest:
        return _request(world, key, "rig-1")

    async def race() -> None:
        claimed = await world.ledgers[first].claim(request())
        world.lose_replies[first] = 1
        world.request_gates[first] = asyncio.Event()
        release = asyncio.ensure_future(world.ledgers[first].release(claimed.ok))
        await _run_other_tasks(RELEASE_TURNS)
        assert not world.lose_replies[first]
        taken = await world.ledgers[second].claim(request())
        assert isinstance(taken.ok, Claim), taken
        world.request_gates.pop(first).set()
        assert await release

    world.run(race())


@when(
    'ledger host "{first}" begins to release key "{key}" and work "{text}" under it starts '
    'through ledger host "{second}"'
)
def begin_release(context: Any, first: str, key: str, text: str, second: str) -> None:
    world: World = context.world

    async def begin() -> None:
        claimed = await world.ledgers[first].claim(_request(world, key, text))
        assert await world.ledgers[first].begin_release(claimed.ok)
        context.claim = claimed.ok
        resend = world.attempt(second, key, text, _work(world, key, text))
        context.resend = asyncio.ensure_future(resend)
        await _run_other_tasks(RELEASE_TURNS)

    world.run(begin())


@when('ledger host "{host}" releases key "{key}"')
def end_release(context: Any, host: str, key: str) -> None:
    world: World = context.world

    async def end() -> None:
        assert context.claim.record.state == "open"
        assert await world.ledgers[host].release(context.claim)
        await context.resend

    del key
    world.run(end())


@when('ledger host "{host}" loses the reply to its mark on key "{key}" and releases it')
def release_after_lost_mark(context: Any, host: str, key: str) -> None:
    world: World = context.world

    async def release() -> None:
        claimed = await world.ledgers[host].claim(_request(world, key, "rig-1"))
        old_revision = claimed.ok.mod_revision
        world.lose_replies[host] = 1
        assert await world.ledgers[host].begin_release(claimed.ok)
        claimed.ok.mod_revision = old_revision
        assert await world.ledgers[host].release(claimed.ok)

    world.run(release())


@when('ledger host "{host}" begins to release key "{key}" and never completes')
def abandon_release(context: Any, host: str, key: str) -> None:
    world: World = context.world

    async def begin() -> None:
        claimed = await world.ledgers[host].claim(_request(world, key, "rig-1"))
        assert await world.ledgers[host].begin_release(claimed.ok)

    world.run(begin())


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
    stated = (refusal.name, refusal.ran, refusal.this_attempt, refusal.earlier_attempt)
    assert stated == (name, ran, this_attempt, earlier), refusal


@then("the last ledger answer has a retry delay")
def check_retry_after(context: Any) -> None:
    assert context.world.last.error.retry_after_ms, context.world.last
