"""State machine test of the placers of several hosts, which run in any order on model replicas.

Each call to the store or a replica waits at a gate before it takes effect and at another one
afterwards. An order whose caller gave up may reach its replica at any later time, even after the
replica restarted.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, Final

import hypothesis.strategies as st
from expression import Error, Ok, Result
from hypothesis.stateful import invariant, precondition, rule

from features.support.engine_fleet import create_small_engine, replica
from features.support.gated_machine import HOSTS, GatedHost, GatedMachine, HostClock
from features.support.memory_store import MemoryStore
from pimentodale.placement.messages import EngineReport, OrderOutcome
from pimentodale.placement.placer import Placer
from pimentodale.placement.planner import LayerHolder, find_gaps, max_layers
from pimentodale.site.replica_health import create_replica_health, incarnation_of

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from pimentodale.clients.key_value import StoreFault
    from pimentodale.site.model import LayerRange, ReplicaRecord
    from pimentodale.site.replica_health import ReplicaHealth
    from pimentodale.steward.lease import LeaseHandover

REPLICAS: Final = 4
KIND: Final = "fast"
RECOVERY_ROUNDS: Final = 200
ENGINE: Final = create_small_engine()


@dataclass(slots=True, eq=False)
class PlacingHost(GatedHost):
    """One run of a host process that may place layers."""

    placer: Placer | None = None
    task: asyncio.Task[None] | None = None
    is_stopping: bool = False


@dataclass(slots=True)
class Order:
    """An order that a replica accepted."""

    fence: int
    layers: LayerRange


@dataclass(slots=True)
class ReplicaModel:
    """Model of a replica, by the platform's specification of orders."""

    name: str
    started_ms: int = 1
    fence: int = 0
    accepted: list[Order] = field(default_factory=list)
    """Orders accepted since the last restart."""

    held: LayerRange | None = None

    def place(self, layers: LayerRange, fence: int, expected: int) -> OrderOutcome:
        """Answer an order."""
        if fence < self.fence:
            return OrderOutcome.FENCED
        self.fence = fence
        if expected != len(self.accepted):
            return OrderOutcome.CONFLICT
        self.accepted.append(Order(fence, layers))
        self.held = layers
        return OrderOutcome.BEGUN

    def restart(self) -> None:
        """Restart under the same name, without layers and previous state."""
        self.started_ms += 1
        self.fence = 0
        self.accepted = []
        self.held = None

    def record(self) -> ReplicaRecord:
        """Return the record that the replica registers."""
        return replace(replica(self.name, "a", KIND, self.held), started_ms=self.started_ms)


class _Engines:
    """Engine client of one host."""

    def __init__(self, machine: PlacementMachine, host: PlacingHost) -> None:
        self._machine = machine
        self._host = host

    async def report(self, record: ReplicaRecord) -> Result[EngineReport, str]:
        """Fetch a report; the request or the reply may be lost or delayed."""
        model = self._machine.models[record.replica_id]
        if await self._machine.wait_at(self._host, "request") is not None:
            return Error("no report")
        count, held, started_ms = len(model.accepted), model.held, model.started_ms
        if await self._machine.wait_at(self._host, "reply") is not None:
            return Error("no report")
        return Ok(EngineReport(False, count, 0, 0, 0.0, 1.0, 1.0, started_ms, held, stalled=()))

    async def place(
        self, record: ReplicaRecord, wanted: LayerRange, fence: int, orders_accepted: int
    ) -> Result[OrderOutcome, str]:
        """Send an order; it may be lost, arrive late, or be carried out without a reply."""
        machine, model = self._machine, self._machine.models[record.replica_id]
        machine.note_order(self._host, fence)

        def deliver() -> OrderOutcome:
            return model.place(wanted, fence, orders_accepted)

        fault = await machine.wait_at(self._host, "request")
        if fault is not None:
            if fault.may_have_applied:
                machine.late_orders.append(deliver)
            return Error("no answer")
        outcome = deliver()
        if await machine.wait_at(self._host, "reply") is not None:
            return Error("no answer")
        return Ok(outcome)


class _View:
    """One host's view of the site, which may be out of date."""

    def __init__(self, machine: PlacementMachine) -> None:
        self._machine = machine
        self._copied_ms = float("-inf")
        self.changed_ms = 0.0
        self.replicas: dict[str, ReplicaRecord] = {}
        self.configuration = SimpleNamespace(
            services={"lm": SimpleNamespace(name="lm", engine=ENGINE)}
        )
        self.mirror = SimpleNamespace(
            items={}, age_ms=self._age_ms, era=0, era_entered_ms=float("-inf")
        )

    def copy(self) -> None:
        """Update the view to the current state."""
        state = self._machine.state
        state.expire()
        self._copied_ms = self._machine.clock.now_ms()
        if state.era > self.mirror.era:
            # Also at a host that has just started, as the store may have returned just before.
            self.mirror.era, self.mirror.era_entered_ms = state.era, self._copied_ms
        self.mirror.items = dict(state.items)
        self.replicas = {model.name: model.record() for model in self._machine.models.values()}

    def replicas_of(self, _service: str) -> list[ReplicaRecord]:
        """Return all replicas."""
        return list(self.replicas.values())

    def _age_ms(self) -> float:
        return self._machine.clock.now_ms() - self._copied_ms


class PlacementMachine(GatedMachine):
    """State machine with the rules, and the invariants checked after each."""

    def __init__(self) -> None:
        super().__init__()
        self.models = {name: ReplicaModel(name) for name in (f"r{n}" for n in range(REPLICAS))}
        self.late_orders: list[Callable[[], OrderOutcome]] = []
        self.holders: dict[int, PlacingHost] = {}
        """Host that has sent orders with each fencing number."""
        self.handed: list[tuple[int, LeaseHandover]] = []
        """Handed-over leases in transit, each with the number of the receiving host."""
        self.dead_hosts: list[PlacingHost] = []
        """Referenced so that their tasks stay suspended until the end of the run."""
        self.hosts: list[PlacingHost] = []
        for number in range(HOSTS):
            self.hosts.append(self._start_host(number))

    @precondition(lambda self: self.late_orders)
    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        """Deliver an order whose caller has given up."""
        self.late_orders.pop(data.draw(st.integers(0, len(self.late_orders) - 1)))()

    @precondition(lambda self: self.state.late_effects)
    @rule(data=st.data())
    def take_effect_late(self, data: st.DataObject) -> None:
        """Apply a store call whose caller has given up."""
        self.state.late_effects.pop(data.draw(st.integers(0, len(self.state.late_effects) - 1)))()

    @rule(duration_ms=st.sampled_from([50.0, 250.0, 250.0, 900.0, 3_500.0]))
    def pass_time(self, duration_ms: float) -> None:
        """Advance all clocks."""
        self.clock.advance(duration_ms)

    @rule(number=st.integers(0, HOSTS - 1))
    def copy_store(self, number: int) -> None:
        """Update a host's view from the store."""
        self._view(self.hosts[number]).copy()

    @rule()
    def save_store(self) -> None:
        """Make a copy of the store, from which it may return."""
        self.state.expire()
        self.state.save()

    @precondition(lambda self: self.state.saved is not None)
    @rule()
    def return_store(self) -> None:
        """Return the store from its copy."""
        self.state.restore()

    @rule(name=st.sampled_from([f"r{n}" for n in range(REPLICAS)]))
    def restart_replica(self, name: str) -> None:
        """Restart a replica under the same name."""
        self.models[name].restart()

    @rule(number=st.integers(0, HOSTS - 1))
    def stop(self, number: int) -> None:
        """Request a graceful stop of a host; it keeps running until it is killed."""
        host = self.hosts[number]
        if not host.frozen and host.placer is not None:
            host.is_stopping = True
            self.loop.create_task(host.placer.release())
            self.turn()

    @precondition(lambda self: self.handed)
    @rule(data=st.data())
    def hand_over(self, data: st.DataObject) -> None:
        """Deliver a handed-over lease to its host, which may have restarted since."""
        number, handed = self.handed.pop(data.draw(st.integers(0, len(self.handed) - 1)))
        host = self.hosts[number]
        if host.frozen or host.placer is None:
            return
        held = host.placer.lease
        host.placer.take_over(handed)
        if host.placer.lease is not held:
            self.holders[handed.fencing_number] = host

    @rule(number=st.integers(0, HOSTS - 1))
    def kill(self, number: int) -> None:
        """Kill a host at its current await and start a replacement."""
        host = self.hosts[number]
        host.crashed = True
        self.dead_hosts.append(host)
        self.gates = [gate for gate in self.gates if gate.host is not host]
        self.hosts[number] = self._start_host(number)

    @invariant()
    def fences_rise_on_each_replica(self) -> None:
        """Check that no replica carries out an older holder's order after a newer one's."""
        for model in self.models.values():
            fences = [order.fence for order in model.accepted]
            assert fences == sorted(fences), (model.name, fences)

    @invariant()
    def one_host_is_sure(self) -> None:
        """Check that at most one host considers its lease valid."""
        sure = [host.number for host in self.hosts if self._is_sure(host)]
        assert len(sure) <= 1, sure

    @invariant()
    def layers_fit(self) -> None:
        """Check that no order requests more layers than fit in memory."""
        most = max_layers(ENGINE, KIND, 1.0)
        for model in self.models.values():
            assert model.held is None or len(model.held) <= most, (model.name, model.held)

    def note_order(self, host: PlacingHost, fence: int) -> None:
        """Check that only one host uses each fencing number."""
        known = self.holders.setdefault(fence, host)
        assert known is host, (fence, known.number, host.number)

    def teardown(self) -> None:
        """Recover all hosts, then check that one of them has placed all layers."""
        try:
            self._recover()
            holders = [LayerHolder(m.name, "a", KIND, m.held) for m in self.models.values()]
            assert not find_gaps(ENGINE, holders), holders
            self.fences_rise_on_each_replica()
        finally:
            self.drop_all()
            self.loop.close()

    def tasks(self) -> list[asyncio.Task[Any]]:
        """Return the tasks of the running hosts."""
        return [host.task for host in self.hosts if host.task is not None]

    def _start_host(self, number: int) -> PlacingHost:
        """Start a host without previous state."""
        host = PlacingHost(number)

        async def gate(stage: str) -> StoreFault | None:
            return await self.wait_at(host, stage)

        clock = HostClock(self, host)
        view: Any = _View(self)
        view.copy()
        host.placer = Placer(
            f"host-{number}",
            MemoryStore(self.state, gate),
            _Engines(self, host),
            view,
            create_replica_health(clock),
            clock,
            random.Random(number),
        )
        host.placer.hand_over = partial(self._send_lease, (number + 1) % HOSTS)
        host.task = self.loop.create_task(host.placer.run())
        self.turn()
        return host

    def _send_lease(self, receiver: int, handed: LeaseHandover) -> bool:
        """Put a handed-over lease in transit to another host."""
        self.handed.append((receiver, handed))
        return True

    def _view(self, host: PlacingHost) -> Any:
        """Return a host's view of the site."""
        assert host.placer is not None
        return host.placer.view

    def _health(self, host: PlacingHost) -> ReplicaHealth:
        """Return what a host knows of the replicas' health."""
        assert host.placer is not None
        return host.placer.replica_health

    def _is_sure(self, host: PlacingHost) -> bool:
        """Return whether a host holds a valid lease by its own clock."""
        lease = host.placer.lease if host.placer is not None else None
        return lease is not None and lease.is_valid_for(0.0)

    def _recover(self) -> None:
        """Unfreeze all hosts, restart the stopped ones, and let all calls succeed for a while."""
        for host in list(self.hosts):
            host.frozen = False
            if host.is_stopping:
                self.kill(host.number)
        for host in self.hosts:
            # Hosts probe replicas whose reports were lost.
            for model in self.models.values():
                self._health(host).mark_up(incarnation_of(model.record()))
        for _ in range(RECOVERY_ROUNDS):
            for host in self.hosts:
                self._view(host).copy()
            for _ in range(20):
                gates = self.open_gates()
                if not gates:
                    break
                self.open(gates[0], None)
            self.clock.advance(100.0)
