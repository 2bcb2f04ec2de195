"""State machine test that runs the ledgers of several hosts in any order against a model.

Each call to the store waits at one gate before its effect and at another one after it. Connecting
to the backend server, the first byte and the reply wait at gates too. The machine opens the gates
in any order or fails them, freezes and kills hosts in between, and advances the clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

import hypothesis.strategies as st
from expression import Error, Ok, Result
from hypothesis.stateful import invariant, precondition, rule

from features.support.gated_machine import (
    HOSTS,
    LAST_TURNS,
    GatedHost,
    GatedMachine,
    HostClock,
)
from features.support.memory_store import MemoryStore
from pimentodale.ledger.key_ledger import STORE_BACKOFF_MS, create_key_ledger
from pimentodale.ledger.records import ClaimRequest, Outcome, digest_request
from pimentodale.ledger.run_once import REPLAYED_HEADER, FirstByteCheck, WorkFault, run_once
from pimentodale.results import EarlierAttempt, Ran, Refusal, ResultCode

if TYPE_CHECKING:
    import asyncio

    from pimentodale.clients.key_value import StoreFault
    from pimentodale.ledger.interface import Ledger

KEYS: Final = 2
RETENTION_MS: Final = 1e10


@dataclass(slots=True, eq=False)
class Host(GatedHost):
    """An entry host between its start and its kill."""

    ledger: Ledger | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """A call under a key."""

    number: int
    host: Host
    key: str
    text: str
    task: asyncio.Task[Result[Outcome, Refusal]] | None = None
    gone: bool = False
    answer: Result[Outcome, Refusal] | None = None
    abandoned_numbers: list[int] = field(default_factory=list)
    """This attempt and those whose callers had given up when it was answered `not_run`."""


class LedgerMachine(GatedMachine):
    """The rules, and the model that the invariants check after each rule."""

    def __init__(self) -> None:
        super().__init__()
        self.attempts: list[Attempt] = []
        self.journal: list[Attempt] = []
        self.disturbed: set[str] = set()
        """Keys that a killed host or a delayed store call may have left claimed."""
        self.hosts = [self._start_host(number) for number in range(HOSTS)]

    @rule(
        number=st.integers(0, HOSTS - 1),
        key=st.integers(0, KEYS - 1),
        text=st.sampled_from(["one", "one", "one", "two"]),
        timeout_ms=st.sampled_from([500.0, 5_000.0, 60_000.0]),
    )
    def send(self, number: int, key: int, text: str, timeout_ms: float) -> None:
        """Send an attempt to a host; a frozen host accepts it when it resumes."""
        host = self.hosts[number]
        attempt = Attempt(len(self.attempts), host, f"key-{key}", text)
        self.attempts.append(attempt)
        attempt.task = self.loop.create_task(self._serve(attempt, timeout_ms))
        self.turn()

    @precondition(lambda self: self.state.late_effects)
    @rule(data=st.data())
    def take_effect_late(self, data: st.DataObject) -> None:
        """Apply a store call that has already timed out on its host."""
        number = data.draw(st.integers(0, len(self.state.late_effects) - 1))
        self.state.late_effects.pop(number)()
        self.disturbed.update(f"key-{number}" for number in range(KEYS))

    @rule(duration_ms=st.sampled_from([20.0, 400.0, 1_500.0, 6_000.0, 70_000.0]))
    def pass_time(self, duration_ms: float) -> None:
        """Advance the clocks of all hosts."""
        self.clock.advance(duration_ms)

    @rule(number=st.integers(0, HOSTS - 1))
    def kill(self, number: int) -> None:
        """Kill a host at its current gate and start a new one in its place."""
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
        """Let a caller give up waiting for an answer."""
        waiting = [a for a in self.attempts if a.answer is None]
        data.draw(st.sampled_from(waiting)).gone = True

    @invariant()
    def runs_at_most_once(self) -> None:
        """No key runs twice."""
        keys = [attempt.key for attempt in self.journal]
        assert len(keys) == len(set(keys)), [(a.key, a.number) for a in self.journal]

    @invariant()
    def statements_are_true(self) -> None:
        """No refusal contradicts the journal of what ran."""
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
                assert (
                    ran.key != attempt.key or ran.number not in attempt.abandoned_numbers
                ), refusal

    def teardown(self) -> None:
        """Recover all hosts; a key that never ran and was not left claimed can still run."""
        try:
            self._recover()
            for key in {attempt.key for attempt in self.attempts} - self.disturbed:
                self._check_key_is_free(key)
            self.runs_at_most_once()
            self.statements_are_true()
        finally:
            self.drop_all()
            self.loop.close()

    def tasks(self) -> list[asyncio.Task[Any]]:
        """Return the tasks of all attempts."""
        return [attempt.task for attempt in self.attempts if attempt.task is not None]

    def _start_host(self, number: int) -> Host:
        """Start a host without any state in memory."""
        host = Host(number)

        async def gate(stage: str) -> StoreFault | None:
            return await self.wait_at(host, stage)

        store = MemoryStore(self.state, gate)
        clock = HostClock(self, host)
        host.ledger = create_key_ledger(store, clock, f"host-{number}", lambda: RETENTION_MS)
        return host

    async def _serve(self, attempt: Attempt, timeout_ms: float) -> None:
        """Handle an attempt on its host."""
        host = attempt.host
        if host.frozen:
            await self.wait_at(host, "accept")
        request = ClaimRequest(
            workspace="delft",
            idempotency_key=attempt.key,
            digest=digest_request(attempt.text),
            deadline_ms=self.clock.now_ms() + timeout_ms,
        )

        async def work(first_byte_check: FirstByteCheck) -> Result[Outcome, WorkFault]:
            return await self._work(attempt, first_byte_check)

        assert host.ledger is not None
        answer = await run_once(host.ledger, request, work, lambda: attempt.gone)
        self._check_answer(attempt, answer)

    async def _work(
        self, attempt: Attempt, first_byte_check: FirstByteCheck
    ) -> Result[Outcome, WorkFault]:
        """Connect, check, send the first byte and read the reply, each after an await."""
        code = ResultCode.BACKEND_SERVER_UNREACHABLE
        if await self.wait_at(attempt.host, "connect") is not None:
            return Error(WorkFault(sent=False, code=code, message="no connection"))
        if not await first_byte_check.allows():
            return Error(WorkFault(sent=False, code=code, message="forbidden"))
        await self.wait_at(attempt.host, "byte")
        self.journal.append(attempt)
        if await self.wait_at(attempt.host, "answer") is not None:
            lost = ResultCode.BACKEND_SERVER_LOST
            return Error(WorkFault(sent=True, code=lost, message="closed"))
        return Ok(Outcome(status=200, body=f"{attempt.key} {attempt.text}".encode()))

    def _check_answer(self, attempt: Attempt, answer: Result[Outcome, Refusal]) -> None:
        """Check an answer against the model when it is given."""
        attempt.answer = answer
        ran = [a for a in self.journal if a.key == attempt.key]
        if answer.is_ok():
            assert ran and ran[0].text == attempt.text, "the outcome belongs to other work"
            assert answer.ok.body == f"{attempt.key} {attempt.text}".encode()
            assert (REPLAYED_HEADER in answer.ok.headers) == (ran[0] is not attempt)
            return
        refusal = answer.error
        if refusal.ran is Ran.NOT_RUN:
            assert not ran, refusal
            attempt.abandoned_numbers = [
                a.number
                for a in self.attempts
                if a is attempt or (a.key == attempt.key and a.gone and a.answer is None)
            ]
        if refusal.earlier_attempt is EarlierAttempt.NONE:
            assert not [a for a in ran if a is not attempt], refusal
        if refusal.code is ResultCode.IDEMPOTENCY_KEY_REUSED:
            assert any(a.key == attempt.key and a.text != attempt.text for a in self.attempts)

    def _recover(self) -> None:
        """Resume all hosts and open all gates until none is left."""
        for host in self.hosts:
            host.frozen = False
        for _ in range(LAST_TURNS):
            if not self.gates:
                return
            gates = self.open_gates()
            if not gates:
                self.clock.advance(1_000.0)
                continue
            self.open(gates[0], None)
        raise AssertionError("the hosts did not finish")

    def _check_key_is_free(self, key: str) -> None:
        """Send one more attempt under a key and check that the key runs if it has not run yet."""
        ran = [a for a in self.journal if a.key == key]
        self.clock.advance(STORE_BACKOFF_MS)
        attempt = Attempt(len(self.attempts), self.hosts[0], key, "one")
        self.attempts.append(attempt)
        attempt.task = self.loop.create_task(self._serve(attempt, 60_000.0))
        self.turn()
        self._recover()
        assert attempt.answer is not None
        assert ran or attempt in self.journal, (key, attempt.answer)
