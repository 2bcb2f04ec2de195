"""Drives several hosts' ledgers in any order against a model, one await at a time.

Each call to the store waits at a gate before its effect and at one after it, and so do the
connection to the backend server, the first byte and the reply. The machine opens the gates in any
order, fails them, freezes and kills hosts between them, and moves the clock.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import hypothesis.strategies as st
from expression import Error, Ok, Result
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from features.support.memory_store import MemoryState, MemoryStore
from pimentodale.clients.key_value import StoreFault
from pimentodale.clock import Clock, ManualClock
from pimentodale.ledger.key_ledger import STORE_PAUSE_MS, create_key_ledger
from pimentodale.ledger.records import ClaimRequest, Outcome, digest_request
from pimentodale.ledger.run_once import REPLAYED_HEADER, LastLook, WorkFault, run_once
from pimentodale.results import EarlierAttempt, Ran, Refusal, ResultCode

if TYPE_CHECKING:
    from pimentodale.ledger.interface import Ledger

HOSTS: Final = 3
KEYS: Final = 2
RETENTION_MS: Final = 1e10
SETTLE_TURNS: Final = 12
LAST_TURNS: Final = 400
WALL_SKEWS_MS: Final = (0.0, -30_000.0, 45_000.0)

UNSENT: Final = StoreFault(False, "connection refused")
UNKNOWN: Final = StoreFault(True, "no answer in time")


@dataclass(slots=True, eq=False)
class Gate:
    """One await at which a host stands."""

    host: Host
    stage: str
    opened: asyncio.Future[StoreFault | None]
    due_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Host:
    """One life of an entry host."""

    number: int
    ledger: Ledger | None = None
    frozen: bool = False
    crashed: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One call under a key."""

    number: int
    host: Host
    key: str
    text: str
    task: asyncio.Task[Result[Outcome, Refusal]] | None = None
    gone: bool = False
    answer: Result[Outcome, Refusal] | None = None
    rivals: list[int] = field(default_factory=list)
    """Attempts that their callers had given up when this one was answered `not_run`."""


class HostClock(Clock):
    """The machine's clock as one host sees it; sleeping is an await like any other."""

    __slots__ = ("_host", "_machine", "_skew_ms")

    def __init__(self, machine: LedgerMachine, host: Host) -> None:
        self._machine = machine
        self._host = host
        self._skew_ms = WALL_SKEWS_MS[host.number]

    def now_ms(self) -> float:
        """Return the common monotonic time."""
        return self._machine.clock.now_ms()

    def wall_ms(self) -> float:
        """Return a wall clock that is off by this host's skew."""
        return 1e12 + self._machine.clock.now_ms() + self._skew_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait at a gate that opens once the time is over."""
        await self._machine.wait_at(self._host, "sleep", self.now_ms() + duration_ms)


class LedgerMachine(RuleBasedStateMachine):
    """The rules, and the model that is checked after each."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.state = MemoryState(self.clock)
        self.gates: list[Gate] = []
        self.attempts: list[Attempt] = []
        self.journal: list[Attempt] = []
        self.disturbed: set[str] = set()
        """Keys that a killed host or a late effect may have left claimed."""
        self.hosts = [self._start_host(number) for number in range(HOSTS)]

    @rule(
        number=st.integers(0, HOSTS - 1),
        key=st.integers(0, KEYS - 1),
        text=st.sampled_from(["one", "one", "one", "two"]),
        timeout_ms=st.sampled_from([500.0, 5_000.0, 60_000.0]),
    )
    def send(self, number: int, key: int, text: str, timeout_ms: float) -> None:
        """Send an attempt to a host; a frozen one takes it in when it wakes."""
        host = self.hosts[number]
        attempt = Attempt(len(self.attempts), host, f"key-{key}", text)
        self.attempts.append(attempt)
        attempt.task = self.loop.create_task(self._serve(attempt, timeout_ms))
        self._turn()

    @precondition(lambda self: self._open_gates())
    @rule(data=st.data())
    def let_pass(self, data: st.DataObject) -> None:
        """Let one host go on by one await."""
        gate = data.draw(st.sampled_from(self._open_gates()))
        self._open(gate, None)

    @rule(number=st.integers(0, HOSTS - 1), steps=st.sampled_from([2, 4, 12]))
    def run_host(self, number: int, steps: int) -> None:
        """Let one host go on by several awaits."""
        for _ in range(steps):
            gates = [g for g in self._open_gates() if g.host is self.hosts[number]]
            if not gates:
                return
            self._open(gates[0], None)

    @precondition(lambda self: self._open_gates())
    @rule(data=st.data(), fault=st.sampled_from([UNSENT, UNKNOWN]))
    def fail(self, data: st.DataObject, fault: StoreFault) -> None:
        """Fail one await: refused, given up on the way, or the reply lost after the effect."""
        gate = data.draw(st.sampled_from(self._open_gates()))
        if gate.stage == "sleep":
            fault = UNKNOWN
        if gate.stage == "reply":
            fault = UNKNOWN
        self._open(gate, fault)

    @precondition(lambda self: self.state.late_effects)
    @rule(data=st.data())
    def take_effect_late(self, data: st.DataObject) -> None:
        """Let a call that was given up reach the store after all."""
        number = data.draw(st.integers(0, len(self.state.late_effects) - 1))
        self.state.late_effects.pop(number)()
        self.disturbed.update(f"key-{number}" for number in range(KEYS))

    @rule(duration_ms=st.sampled_from([20.0, 400.0, 1_500.0, 6_000.0, 70_000.0]))
    def pass_time(self, duration_ms: float) -> None:
        """Move every clock on."""
        self.clock.advance(duration_ms)

    @rule(number=st.integers(0, HOSTS - 1), frozen=st.booleans())
    def freeze_or_wake(self, number: int, frozen: bool) -> None:
        """Stop a host where it stands, or let it go on."""
        self.hosts[number].frozen = frozen
        self._turn()

    @rule(number=st.integers(0, HOSTS - 1))
    def kill(self, number: int) -> None:
        """Kill a host where it stands and start a new one in its place."""
        host = self.hosts[number]
        host.crashed = True
        self.gates = [gate for gate in self.gates if gate.host is not host]
        for attempt in self.attempts:
            if attempt.host is host and attempt.answer is None:
                attempt.gone = True
                self.disturbed.add(attempt.key)
        self.disturbed.update(a.key for a in self.attempts if a.host is host)
        self.hosts[number] = self._start_host(number)

    @precondition(lambda self: any(a.answer is None for a in self.attempts))
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        """Let a caller give up waiting."""
        waiting = [a for a in self.attempts if a.answer is None]
        data.draw(st.sampled_from(waiting)).gone = True

    @invariant()
    def runs_at_most_once(self) -> None:
        """No key ran twice."""
        keys = [attempt.key for attempt in self.journal]
        assert len(keys) == len(set(keys)), [(a.key, a.number) for a in self.journal]

    @invariant()
    def words_are_true(self) -> None:
        """No answer says less than the journal."""
        for attempt in self.attempts:
            if attempt.answer is None or attempt.answer.is_ok():
                continue
            refusal = attempt.answer.error
            if refusal.this_attempt is Ran.NOT_RUN:
                assert attempt not in self.journal, refusal
            if refusal.ran is not Ran.NOT_RUN:
                continue
            assert refusal.earlier_attempt is EarlierAttempt.NONE, refusal
            for ran in self.journal:
                assert ran.key != attempt.key or ran.number not in attempt.rivals, refusal

    def teardown(self) -> None:
        """Mend everything; a key that never ran and that nobody left claimed can be run."""
        try:
            self._mend()
            for key in {attempt.key for attempt in self.attempts} - self.disturbed:
                self._check_key_is_free(key)
            self.runs_at_most_once()
            self.words_are_true()
        finally:
            self._drop_all()
            self.loop.close()

    async def wait_at(self, host: Host, stage: str, due_ms: float = 0.0) -> StoreFault | None:
        """Stand at a gate until the machine opens it."""
        gate = Gate(host, stage, self.loop.create_future(), due_ms)
        if host.crashed:
            return await gate.opened
        self.gates.append(gate)
        return await gate.opened

    def _start_host(self, number: int) -> Host:
        """Start a host with an empty memory."""
        host = Host(number)

        async def gate(stage: str) -> StoreFault | None:
            return await self.wait_at(host, stage)

        store = MemoryStore(self.state, gate)
        clock = HostClock(self, host)
        host.ledger = create_key_ledger(store, clock, f"host-{number}", lambda: RETENTION_MS)
        return host

    async def _serve(self, attempt: Attempt, timeout_ms: float) -> None:
        """Be the handler of one attempt."""
        host = attempt.host
        if host.frozen:
            await self.wait_at(host, "accept")
        request = ClaimRequest(
            workspace="delft",
            idempotency_key=attempt.key,
            digest=digest_request(attempt.text),
            deadline_ms=self.clock.now_ms() + timeout_ms,
        )

        async def work(look: LastLook) -> Result[Outcome, WorkFault]:
            return await self._work(attempt, look)

        assert host.ledger is not None
        answer = await run_once(host.ledger, request, work, lambda: attempt.gone)
        self._take_answer(attempt, answer)

    async def _work(self, attempt: Attempt, look: LastLook) -> Result[Outcome, WorkFault]:
        """Connect, look, send the byte and read the reply, an await between all of them."""
        code = ResultCode.BACKEND_SERVER_UNREACHABLE
        if await self.wait_at(attempt.host, "connect") is not None:
            return Error(WorkFault(sent=False, code=code, message="no connection"))
        if not await look.allows():
            return Error(WorkFault(sent=False, code=code, message="forbidden"))
        await self.wait_at(attempt.host, "byte")
        self.journal.append(attempt)
        if await self.wait_at(attempt.host, "answer") is not None:
            lost = ResultCode.BACKEND_SERVER_LOST
            return Error(WorkFault(sent=True, code=lost, message="closed"))
        return Ok(Outcome(status=200, body=f"{attempt.key} {attempt.text}".encode()))

    def _take_answer(self, attempt: Attempt, answer: Result[Outcome, Refusal]) -> None:
        """Check an answer at the moment when it is given."""
        attempt.answer = answer
        ran = [a for a in self.journal if a.key == attempt.key]
        if answer.is_ok():
            assert ran and ran[0].text == attempt.text, "an outcome of other work"
            assert answer.ok.body == f"{attempt.key} {attempt.text}".encode()
            assert (REPLAYED_HEADER in answer.ok.headers) == (ran[0] is not attempt)
            return
        refusal = answer.error
        if refusal.ran is Ran.NOT_RUN:
            assert not ran, refusal
            attempt.rivals = [
                a.number
                for a in self.attempts
                if a is attempt or (a.key == attempt.key and a.gone and a.answer is None)
            ]
        if refusal.earlier_attempt is EarlierAttempt.NONE:
            assert not [a for a in ran if a is not attempt], refusal
        if refusal.code is ResultCode.IDEMPOTENCY_KEY_REUSED:
            assert any(a.key == attempt.key and a.text != attempt.text for a in self.attempts)

    def _open_gates(self) -> list[Gate]:
        """Return the gates whose hosts run and whose time has come."""
        now_ms = self.clock.now_ms()
        return [g for g in self.gates if not g.host.frozen and g.due_ms <= now_ms]

    def _open(self, gate: Gate, fault: StoreFault | None) -> None:
        """Open a gate and run until everyone stands at one again."""
        self.gates.remove(gate)
        if not gate.opened.done():
            gate.opened.set_result(fault)
        self._turn()

    def _turn(self, turns: int = SETTLE_TURNS) -> None:
        """Run the loop until all tasks stand at a gate; report what a task failed with."""

        async def turn() -> None:
            for _ in range(turns):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turn())
        for attempt in self.attempts:
            task = attempt.task
            if task is not None and task.done() and not task.cancelled():
                task.result()

    def _mend(self) -> None:
        """Wake all hosts and let everything pass until nothing moves."""
        for host in self.hosts:
            host.frozen = False
        for _ in range(LAST_TURNS):
            if not self.gates:
                return
            gates = self._open_gates()
            if not gates:
                self.clock.advance(1_000.0)
                continue
            self._open(gates[0], None)
        raise AssertionError("the hosts never came to rest")

    def _drop_all(self) -> None:
        """Cancel every task, and those that start because of it."""
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))

    def _check_key_is_free(self, key: str) -> None:
        """Send one more attempt under a key and see that it is answered as the journal says."""
        ran = [a for a in self.journal if a.key == key]
        self.clock.advance(STORE_PAUSE_MS)
        attempt = Attempt(len(self.attempts), self.hosts[0], key, "one")
        self.attempts.append(attempt)
        attempt.task = self.loop.create_task(self._serve(attempt, 60_000.0))
        self._turn()
        self._mend()
        assert attempt.answer is not None
        assert ran or attempt in self.journal, (key, attempt.answer)
