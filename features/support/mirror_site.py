"""Hosts that follow one store in virtual time, by the platform's adapter and through each other."""

from __future__ import annotations

import asyncio
import base64
import json
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
from expression import Error, Ok

from features.support.virtual_time import VirtualClock, VirtualTimeLoop, run_virtually
from pimentodale.addresses import Address
from pimentodale.clients.http_call import CallReply
from pimentodale.clients.key_value import StoreFault
from pimentodale.clock import MS_PER_S
from pimentodale.mirror.follower import create_mirror_follower
from pimentodale.mirror.mirror import create_mirror
from pimentodale.peers.messages import MemberRecord, MemberState
from pimentodale.peers.peers import PeerFault
from pimentodale.platform.configuration import CONFIGURATION_KEY, decode_configuration
from pimentodale.platform.replica_records import REPLICA_PREFIX, decode_replica
from pimentodale.platform.store import PlatformStore
from pimentodale.site.view import SiteRecords, create_site_view
from pimentodale.standin.platform_store_state import (
    ERA_HEADER,
    StorePut,
    StoreTxn,
    create_store_state,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.mirror.follower import MirrorFollower
    from pimentodale.site.view import SiteView
    from pimentodale.standin import platform_store_state
    from pimentodale.standin.platform_store_state import StoreAnswer

STORE_MS: Final = 4.0
"""Time that the store takes for an answer."""

PEER_MS: Final = 2.0
"""Time that a request takes from one host to another and back."""

WRITES: Final = ("transaction", "lease", "lease end")
"""Kinds of calls that the store counts as writes."""

CONTACT_MS: Final = 3_000.0
"""Time without a fault after which a host is in touch, by the users' pages."""

SAMPLE_MS: Final = 25.0
"""Interval at which hosts are looked at."""

RECORDS: Final = SiteRecords(
    CONFIGURATION_KEY, REPLICA_PREFIX, decode_configuration, decode_replica
)


@dataclass(slots=True)
class MirrorHost:
    """One host."""

    member: MemberRecord
    store: KeyValueStore
    view: SiteView
    follower: MirrorFollower
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    highest_version: int = 0
    """Highest version that was seen in force."""

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.member.host

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 without one."""
        return self.view.configuration.version if self.view.configuration else 0


@dataclass(slots=True)
class Change:
    """A configuration that the store has acknowledged."""

    version: int
    acknowledged_ms: float


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """A copy of the store, and when it was made."""

    content: platform_store_state.StoreCopy
    at_ms: float


class SimulatedStore(PlatformStore):
    """The platform's adapter in front of the stand-in's state, without a network.

    Only its lowest layer is replaced, so that what the adapter makes of answers is tested as well.
    """

    __slots__ = ("_host", "_site")

    def __init__(self, site: MirrorSite, host: str) -> None:
        super().__init__(Address("127.0.0.1", 1))
        self._site = site
        self._host = host

    async def _call(
        self, call: str, method: str, path: str, body: object, timeout_ms: float = 1_500.0
    ) -> Any:
        """Answer one call, or none while the host can't reach the store."""
        self.calls[call] += 1
        site = self._site
        if call in WRITES:
            site.writes_ms.append(site.clock.now_ms())
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await asyncio.sleep(STORE_MS / 2 / MS_PER_S)
                await site.wait_reachable(self._host)
                answer = await site.answer(call, _dispatch(site, method, path, body))
                if answer is None:
                    return Error(StoreFault(False, "the watch was cut"))
                way_ms = site.page_ms if call == "page" else STORE_MS / 2
                await asyncio.sleep(way_ms / MS_PER_S)
                # What was under way when the link broke is lost.
                await site.wait_reachable(self._host)
                if call == "page" and site.cuts_after_page:
                    site.cut_off.add(self._host)
                if call == "page":
                    await site.act_between_pages(self._host)
        except TimeoutError:
            return Error(StoreFault(method != "GET", "no whole response in time", silent=True))
        octets = msgspec.json.encode(answer.body)
        return Ok(CallReply(answer.status, site.headers(), octets))


class SimulatedPeers:
    """One host's requests to the others; the membership stays as it was at the start."""

    __slots__ = ("_handlers", "_site", "own")

    def __init__(self, site: MirrorSite, own: MemberRecord) -> None:
        self._site = site
        self.own = own
        self._handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}

    def live_members(self) -> list[MemberRecord]:
        """Return all hosts of the site."""
        return self._site.members

    def handle(self, topic: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Register the handler of a topic."""
        self._handlers[topic] = handler

    async def answer(self, topic: str, body: bytes) -> bytes:
        """Answer another host."""
        return await self._handlers[topic](body)

    async def request(
        self, host: str, topic: str, body: bytes, timeout_ms: float, **_options: Any
    ) -> Any:
        """Ask another host."""
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await asyncio.sleep(PEER_MS / 2 / MS_PER_S)
                await self._site.wait_alive(self.own.host, host)
                reply = await self._site.peers[host].answer(topic, body)
                await asyncio.sleep(self._site.reply_ms / MS_PER_S)
                await self._site.wait_alive(self.own.host, host)
                return Ok(reply)
        except TimeoutError:
            return Error(PeerFault(True, "no answer in time"))


class MirrorSite:
    """Hosts of several failure domains, one store, and the faults between them."""

    def __init__(self, seed: int, failure_domains: int = 3, hosts_each: int = 5) -> None:
        self.loop = VirtualTimeLoop()
        self.clock = VirtualClock(self.loop)
        self.rng = random.Random(seed)
        self.state = create_store_state(self.clock)
        self.cut_off: set[str] = set()
        """Hosts that don't reach the store."""

        self.isolated: set[str] = set()
        """Hosts that reach no other host."""

        self.harmed_ms: dict[str, float] = {}
        """Time at which a fault of a host began or ended last."""

        self.lost: set[str] = set()
        """Hosts that answer nobody and do nothing."""

        self._watch_cut = asyncio.Event()
        self.page_ms = STORE_MS / 2
        """Time that a page of a range is on its way."""

        self.is_store_down = False
        """Whether no host reaches the store."""

        self.cuts_after_page = False
        """Whether a host loses the store once it has a page."""

        self.between_pages: deque[Callable[[], Awaitable[object]]] = deque()
        """What happens at the store while a host reads it, one after each of its pages."""

        self.page_reader = ""
        """The host whose pages these are."""

        self.reply_ms = PEER_MS / 2
        """Time that another host's reply is on its way."""

        self.version = 0
        """Version of the newest configuration that was written."""

        self.changes: list[Change] = []
        self.late: list[str] = []
        """Hosts that had no change in force in time."""

        self.refusals: list[str] = []
        """Hosts that took their copy for current although it lacked a change that was due."""

        self.writes_ms: list[float] = []
        """Times of all writing calls."""

        self.back: list[str] = []
        """Hosts that went back to an earlier configuration."""

        self.overstated: list[str] = []
        """Hosts whose copy lacks a change from before the time at which it counts as confirmed."""

        self.members = [
            MemberRecord(
                f"h{domain}{n}", 1, MemberState.ALIVE, "b", f"d{domain}", "r", "10.0.0.1", 1 + n
            )
            for domain in range(failure_domains)
            for n in range(hosts_each)
        ]
        self.peers: dict[str, SimulatedPeers] = {}
        self.hosts: dict[str, MirrorHost] = {}
        for member in self.members:
            self.hosts[member.host] = self._create_host(member)

    def run(self, duration_ms: float) -> None:
        """Let time pass."""
        run_virtually(self.loop, self.clock.sleep_ms(duration_ms))

    def start(self) -> None:
        """Start all hosts on a first configuration, and let them settle."""
        self.configure()
        self.loop.create_task(self._end_lapsed_leases())
        for name in self.hosts:
            self.start_host(name)
        self.run(5_000.0)

    def start_host(self, name: str) -> None:
        """Start a host, or start it again with nothing known."""
        member = next(member for member in self.members if member.host == name)
        host = self.hosts[name] = self._create_host(member)
        for work in (host.follower.follow_store(), host.follower.sync_from_peers()):
            host.tasks.append(self.loop.create_task(work))

    def stop(self) -> None:
        """End everything.

        Raises:
            AssertionError: If a host has ended by itself.
        """
        for host in self.hosts.values():
            ended = [task for task in host.tasks if task.done() and host.name not in self.lost]
            assert not ended, ended
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        run_virtually(self.loop, asyncio.sleep(0))
        self.loop.close()

    def lose(self, name: str) -> None:
        """Kill a host; its peers get no answer."""
        self.lost.add(name)
        for task in self.hosts[name].tasks:
            task.cancel()

    def harm(self, name: str) -> None:
        """Note that a fault of a host begins or ends."""
        self.harmed_ms[name] = self.clock.now_ms()

    def is_in_touch(self, name: str) -> bool:
        """Return whether a host reaches the store and has met no fault for a while."""
        calm_ms = self.clock.now_ms() - self.harmed_ms.get(name, float("-inf"))
        return name not in self.cut_off and name not in self.lost and calm_ms > CONTACT_MS

    def configure(self, version: int = 0) -> int:
        """Write a configuration as the operators do; 0 takes the next version."""
        version = version or self.version + 1
        self.version = max(self.version, version)
        value = base64.b64encode(json.dumps({"version": version}).encode()).decode()
        self.put(CONFIGURATION_KEY, value)
        self.changes.append(Change(version, self.clock.now_ms()))
        return version

    def put(self, key: str, value: str) -> None:
        """Write one key."""
        txn = StoreTxn(puts=[StorePut(key, value)])
        assert run_virtually(self.loop, self.state.transact(txn)).status == 200

    def restore(self, copy: StoreCopy, away_ms: float) -> None:
        """Take the store away, and let it return from a copy."""
        self.is_store_down = True
        self.run(away_ms)
        run_virtually(self.loop, self.state.restore(copy.content))
        self.changes = [c for c in self.changes if c.acknowledged_ms <= copy.at_ms]
        self.is_store_down = False

    def copy(self) -> StoreCopy:
        """Return a copy of the store."""
        return StoreCopy(self.state.copy(), self.clock.now_ms())

    def headers(self) -> dict[str, str]:
        """Return the headers of the store's answers."""
        return {ERA_HEADER: str(self.state.era)}

    def cut_watches(self) -> None:
        """Cut all watches that wait, before they hear of the next change."""
        self._watch_cut.set()
        self._watch_cut = asyncio.Event()

    def remove(self, key: str) -> None:
        """Remove one key."""
        txn = StoreTxn(remove=[key])
        assert run_virtually(self.loop, self.state.transact(txn)).status == 200

    async def act_between_pages(self, host: str) -> None:
        """Let the next of `between_pages` happen if it is due after this host's page."""
        if not self.between_pages or host != (self.page_reader or host):
            return
        self.page_reader = host
        await self.between_pages.popleft()()

    async def answer(self, call: str, work: Coroutine[Any, Any, StoreAnswer]) -> StoreAnswer | None:
        """Answer a call; `None` for a watch that is cut."""
        if call != "watch":
            return await work
        answer = asyncio.ensure_future(work)
        cut = asyncio.ensure_future(self._watch_cut.wait())
        try:
            await asyncio.wait({answer, cut}, return_when=asyncio.FIRST_COMPLETED)
            return None if cut.done() else answer.result()
        finally:
            answer.cancel()
            cut.cancel()

    async def wait_reachable(self, host: str) -> None:
        """Wait until a host reaches the store."""
        while host in self.cut_off or host in self.lost or self.is_store_down:
            await self.clock.sleep_ms(SAMPLE_MS)

    async def wait_alive(self, *hosts: str) -> None:
        """Wait until hosts run."""
        while any(host in self.lost or host in self.isolated for host in hosts):
            await self.clock.sleep_ms(SAMPLE_MS)

    def check_until(self, duration_ms: float, bound_ms: float, stale_ms: float) -> None:
        """Let time pass, and note what hosts have that should have a change in force.

        Args:
            duration_ms: How long.
            bound_ms: Time after its acknowledgement in which a change must be in force.
            stale_ms: Age from which a host does not take its copy for current.
        """
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.run(SAMPLE_MS)
            now_ms = self.clock.now_ms()
            due = [c for c in self.changes if now_ms - c.acknowledged_ms > bound_ms]
            version = max((change.version for change in due), default=0)
            for host in self.hosts.values():
                if host.name in self.lost:
                    continue
                self._check_confirmation(host)
                if host.version < host.highest_version:
                    self.back.append(f"{host.name} to {host.version}")
                host.highest_version = host.version
                if host.version >= version:
                    continue
                if host.view.mirror.age_ms() <= stale_ms:
                    self.refusals.append(f"{host.name} at {now_ms:.0f} ms, due {version}")
                if self.is_in_touch(host.name):
                    self.late.append(f"{host.name} at {now_ms:.0f} ms, due {version}")

    async def _end_lapsed_leases(self) -> None:
        """End leases that run out, as the store does; none does while it is away."""
        while True:
            await self.clock.sleep_ms(SAMPLE_MS)
            if self.is_store_down:
                self.state.extend_leases(SAMPLE_MS)
            else:
                await self.state.end_lapsed_leases()

    def _check_confirmation(self, host: MirrorHost) -> None:
        """Note a host whose copy is older than it counts as."""
        verified_ms = host.view.mirror.verified_ms
        for change in self.changes:
            if change.acknowledged_ms < verified_ms - STORE_MS and change.version > host.version:
                early_ms = verified_ms - change.acknowledged_ms
                self.overstated.append(f"{host.name} by {early_ms:.0f} ms")

    def _create_host(self, member: MemberRecord) -> MirrorHost:
        """Return a host that is not started."""
        peers = self.peers[member.host] = SimulatedPeers(self, member)
        store = SimulatedStore(self, member.host)
        mirror = create_mirror(self.clock)
        view = create_site_view(RECORDS, mirror, self.clock)
        rng = random.Random(self.rng.random())
        follower = create_mirror_follower(mirror, store, peers, self.clock, rng)  # type: ignore[arg-type]
        return MirrorHost(member, store, view, follower)


async def _dispatch(site: MirrorSite, method: str, path: str, body: object) -> StoreAnswer:
    """Carry out one call on the store's state."""
    parts = urlsplit(path)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    name = parts.path.removeprefix("/api/")
    state = site.state
    if name == "kv-key":
        return state.read_key(unquote(query["key"]))
    if name == "kv-range":
        return state.read_range(query.get("path_prefix", ""), query.get("after", ""))
    if name == "kv-watch":
        after, wait_ms = int(query["after"]), float(query["wait_ms"])
        return await state.watch(query.get("path_prefix", ""), after, wait_ms)
    if name == "kv-txn":
        return await state.transact(msgspec.convert(body, StoreTxn))
    if name == "kv-lease":
        return state.grant_lease(msgspec.convert(body, dict[str, float])["ttl_ms"])
    number = int(name.rpartition("/")[2])
    if method == "DELETE":
        return await state.end_lease(number)
    return state.keep_lease(number)
