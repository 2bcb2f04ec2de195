"""Drives several hosts in any order, one await at a time.

Each await of a host stands at a gate. A machine opens the gates in any order, fails them, freezes hosts
between them, and moves the clock.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final
from unittest.mock import patch

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, core, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from structlog.testing import capture_logs

from features.support.memory_store import MemoryState
from pimentodale.clients.key_value import StoreFault
from pimentodale.clock import Clock, ManualClock

if TYPE_CHECKING:
    from collections.abc import Sequence

HOSTS: Final = 3
SETTLE_TURNS: Final = 12
LAST_TURNS: Final = 400
WALL_SKEWS_MS: Final = (0.0, -30_000.0, 45_000.0)

UNSENT: Final = StoreFault(False, "connection refused")
UNKNOWN: Final = StoreFault(True, "no answer in time")


@dataclass(slots=True, eq=False)
class GatedHost:
    """One life of a host."""

    number: int
    frozen: bool = False
    crashed: bool = False


@dataclass(slots=True, eq=False)
class Gate:
    """One await at which a host stands."""

    host: GatedHost
    stage: str
    opened: asyncio.Future[StoreFault | None]
    due_ms: float = 0.0


class HostClock(Clock):
    """The machine's clock as one host sees it; sleeping is an await like any other."""

    __slots__ = ("_host", "_machine", "_skew_ms")

    def __init__(self, machine: GatedMachine, host: GatedHost) -> None:
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

    async def wait_for(self, task: asyncio.Task[bool], timeout_ms: float) -> bool:
        """Wait until a task ends or a gate opens once the time is over."""
        timeout = asyncio.ensure_future(self.sleep_ms(timeout_ms))
        await asyncio.wait({task, timeout}, return_when=asyncio.FIRST_COMPLETED)
        timeout.cancel()
        return task.done()


class GatedMachine(RuleBasedStateMachine):
    """The rules that any hosts have in common."""

    hosts: Sequence[GatedHost]

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.state = MemoryState(self.clock)
        self.gates: list[Gate] = []

    @precondition(lambda self: self.open_gates())
    @rule(data=st.data())
    def let_pass(self, data: st.DataObject) -> None:
        """Let one host go on by one await."""
        gate = data.draw(st.sampled_from(self.open_gates()))
        self.open(gate, None)

    @rule(number=st.integers(0, HOSTS - 1), steps=st.sampled_from([2, 4, 12]))
    def run_host(self, number: int, steps: int) -> None:
        """Let one host go on by several awaits."""
        for _ in range(steps):
            gates = [g for g in self.open_gates() if g.host is self.hosts[number]]
            if not gates:
                return
            self.open(gates[0], None)

    @precondition(lambda self: self.open_gates())
    @rule(data=st.data(), fault=st.sampled_from([UNSENT, UNKNOWN]))
    def fail(self, data: st.DataObject, fault: StoreFault) -> None:
        """Fail one await: refused, given up on the way, or the reply lost after the effect."""
        gate = data.draw(st.sampled_from(self.open_gates()))
        if gate.stage in ("sleep", "reply"):
            fault = UNKNOWN
        self.open(gate, fault)

    @rule(number=st.integers(0, HOSTS - 1), frozen=st.booleans())
    def freeze_or_wake(self, number: int, frozen: bool) -> None:
        """Stop a host where it stands, or let it go on."""
        self.hosts[number].frozen = frozen
        self.turn()

    async def wait_at(self, host: GatedHost, stage: str, due_ms: float = 0.0) -> StoreFault | None:
        """Stand at a gate until the machine opens it."""
        gate = Gate(host, stage, self.loop.create_future(), due_ms)
        if host.crashed:
            return await gate.opened
        self.gates.append(gate)
        return await gate.opened

    def tasks(self) -> Sequence[asyncio.Task[Any]]:
        """Return the tasks whose failures are the machine's."""
        return ()

    def open_gates(self) -> list[Gate]:
        """Return the gates whose hosts run and whose time has come."""
        now_ms = self.clock.now_ms()
        return [g for g in self.gates if not g.host.frozen and g.due_ms <= now_ms]

    def open(self, gate: Gate, fault: StoreFault | None) -> None:
        """Open a gate and run until everyone stands at one again."""
        self.gates.remove(gate)
        if not gate.opened.done():
            gate.opened.set_result(fault)
        self.turn()

    def turn(self, turns: int = SETTLE_TURNS) -> None:
        """Run the loop until all tasks stand at a gate; report what a task failed with."""

        async def run_turns() -> None:
            for _ in range(turns):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_turns())
        for task in self.tasks():
            if task.done() and not task.cancelled():
                task.result()

    def drop_all(self) -> None:
        """Cancel every task, and those that start because of it."""
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))


def run_machine(
    machine: type[GatedMachine], runs: int, rules: int, seed: int | None = None
) -> Exception | None:
    """Make runs of a machine, the same ones each time.

    Args:
        machine: The machine.
        runs: How many.
        rules: Rules that each applies.
        seed: Draws other runs; `None` for the ones that hypothesis derives from the machine.

    Returns:
        What broke, or nothing.
    """
    limits = settings(
        max_examples=runs,
        stateful_step_count=rules,
        derandomize=seed is None,
        deadline=None,
        database=None,
        # A failure is shown as found; making it smaller takes minutes.
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    with capture_logs(), patch.object(core, "global_force_seed", seed):
        try:
            run_state_machine_as_test(machine, settings=limits)
        except Exception as fault:
            return fault
    return None
