"""Configuration followers in one process, on the store stand-in, with simulated partitions."""

from __future__ import annotations

import asyncio
import random
import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final, TypeVar

from pimentodale.addresses import parse_address
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clock import create_clock
from pimentodale.configuration.follower import Follower, create_follower

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from pimentodale.configuration.documents import Configuration

T = TypeVar("T")

GOSSIP_S: Final = 0.05
CALL_TIMEOUT_MS: Final = 1000.0
POLL_INTERVAL_MS: Final = 4000.0


@dataclass(slots=True)
class Host:
    """One host: its follower and the revisions it has applied."""

    name: str
    follower: Follower
    task: asyncio.Task[None]
    seen: list[int] = field(default_factory=list)
    """Revisions in the order in which they were applied."""

    errors: list[str] = field(default_factory=list)
    """Violations of the revision order, recorded as they happen."""


class FollowerCluster:
    """Followers that exchange snapshots by gossip, on an event loop of their own."""

    def __init__(self, store_address: str, seed: int) -> None:
        self.store_address = store_address
        self.seed = seed
        self.hosts: dict[str, Host] = {}
        self.partitioned: set[str] = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.gossip = asyncio.run_coroutine_threadsafe(self._gossip(), self.loop)

    def call(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the cluster's event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def add(self, name: str, watcher: bool) -> Host:
        """Start a host."""
        return self.call(self._add(name, watcher))

    def stop_host(self, name: str) -> None:
        """Stop a host permanently."""
        host = self.hosts.pop(name)
        self.loop.call_soon_threadsafe(host.task.cancel)

    def stop(self) -> None:
        """Stop all hosts and the event loop."""
        self.call(self._stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def revisions(self) -> set[int]:
        """Return the current revisions of all hosts."""
        return {host.follower.current().revision for host in self.hosts.values()}

    def failed(self) -> list[str]:
        """Return the errors: a revision that did not increase, or a task that ended."""
        wrong = [error for host in self.hosts.values() for error in host.errors]
        for host in self.hosts.values():
            if host.task.done():
                wrong.append(f"{host.name}: its task ended: {host.task}")
        if self.gossip.done():
            wrong.append(f"gossip ended: {self.gossip.exception()}")
        return wrong

    async def _add(self, name: str, watcher: bool) -> Host:
        store = create_etcd_gateway(
            [parse_address(self.store_address)], create_clock(), CALL_TIMEOUT_MS
        )
        follower = create_follower(
            store,
            create_clock(),
            random.Random(f"{self.seed} {name}"),
            name,
            lambda: watcher,
            POLL_INTERVAL_MS,
        )
        host = Host(name, follower, asyncio.create_task(follower.run()))

        def note(configuration: Configuration) -> None:
            if host.seen and configuration.revision <= host.seen[-1]:
                host.errors.append(f"{name}: {configuration.revision} after {host.seen[-1]}")
            host.seen.append(configuration.revision)

        follower.on_change(note)
        self.hosts[name] = host
        return host

    async def _gossip(self) -> None:
        """Copy the snapshot with the highest revision to hosts with a lower one."""
        while True:
            await asyncio.sleep(GOSSIP_S)
            joined = [host for host in self.hosts.values() if host.name not in self.partitioned]
            if not joined:
                continue
            newest = max(joined, key=lambda host: host.follower.current().revision)
            for host in joined:
                if host.follower.current().revision < newest.follower.current().revision:
                    await host.follower.offer(newest.follower.snapshot())

    async def _stop(self) -> None:
        tasks = [host.task for host in self.hosts.values()]
        for task in tasks:
            task.cancel()
        self.gossip.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)
