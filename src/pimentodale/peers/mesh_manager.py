"""Maintains this host's links in the mesh and searches for hosts that are not linked."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

from pimentodale.peers.links import address_of
from pimentodale.peers.mesh import choose_neighbours
from pimentodale.peers.messages import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.addresses import Address
    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.peers.detector import Detector
    from pimentodale.peers.links import Links
    from pimentodale.peers.membership import Membership
    from pimentodale.peers.messages import MemberRecord
    from pimentodale.peers.settings import PeersSettings

UNWANTED_LINK_MS: Final = 5_000.0
"""How long a surplus link stays open, so that state is exchanged after a partition heals."""

DIAL_BACKOFF_MS: Final = 1_000.0
"""Minimum time between two dials of one host."""

REFUSED_BACKOFF_MS: Final = 10_000.0
"""Minimum time between two dials of a host that is reachable but refused a link."""

AUDIT_INTERVAL_FACTOR: Final = 5.0
"""Factor on the interval of probes to hosts that are recorded as alive but not linked."""

ISOLATED_EXPLORE_MS: Final = 250.0
"""Mean time between probes while no other live host is known."""


class MeshManager:
    """Chooses neighbours, and opens and closes the links to them."""

    __slots__ = (
        "_clock",
        "_detector",
        "_dial_after_ms",
        "_links",
        "_list_entry_targets",
        "_membership",
        "_order",
        "_settings",
        "_tasks",
    )

    def __init__(
        self,
        settings: PeersSettings,
        clock: Clock,
        membership: Membership,
        links: Links,
        detector: Detector,
        tasks: BackgroundTasks,
        list_entry_targets: Callable[[], Sequence[Address]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._membership = membership
        self._links = links
        self._detector = detector
        self._tasks = tasks
        self._list_entry_targets = list_entry_targets
        self._dial_after_ms: dict[str, float] = {}
        self._order: list[MemberRecord] | None = None

    def note_member_change(self, _record: MemberRecord) -> None:
        """Recompute the neighbours at the next tick."""
        self._order = None

    def maintain_mesh(self, now_ms: float) -> None:
        """Dial chosen neighbours that have no link; close surplus links."""
        order = self._ordered_members()
        is_full = len(order) < self._settings.full_mesh_hosts
        wanted_links = len(order) if is_full else self._settings.dialled_links
        wanted: set[str] = set()
        for member in order:
            if len(wanted) >= wanted_links:
                break
            if self._ensure_link(member, now_ms):
                wanted.add(member.host)
        if not is_full:
            self._close_unwanted(wanted, now_ms)

    async def explore(self) -> None:
        """Probe hosts that are not linked one after another, until cancelled."""
        while True:
            await self._clock.sleep_ms(self._explore_pause_ms() * random.uniform(0.5, 1.5))
            await self._explore_once()

    def forget_gone(self, now_ms: float) -> None:
        """Remove members whose retention after being gone has ended."""
        for item in list(self._membership.state.members.values()):
            if item.record.state is not MemberState.GONE:
                continue
            if now_ms - item.changed_ms < self._settings.gone_retention_ms:
                continue
            self._membership.state.forget_member(item.record.host)
            self._links.forget_boot(item.record.boot_id)
            self._dial_after_ms.pop(item.record.host, None)

    def _ordered_members(self) -> list[MemberRecord]:
        """Return the live members, the chosen neighbours first."""
        if self._order is None:
            others = self._membership.others(MemberState.ALIVE, MemberState.LEAVING)
            by_host = {record.host: record for record in others}
            settings = self._settings
            hosts = choose_neighbours(
                settings.host, settings.failure_domain, others, settings.dialled_links
            )
            self._order = [by_host[host] for host in hosts]
        return self._order

    def _ensure_link(self, member: MemberRecord, now_ms: float) -> bool:
        """Return whether a link to the member exists or is being opened; start a dial if due."""
        if member.host in self._links.by_host or self._links.is_dialling(member.host):
            return True
        if now_ms < self._dial_after_ms.get(member.host, 0.0):
            return False
        self._dial_after_ms[member.host] = now_ms + DIAL_BACKOFF_MS
        self._tasks.start(self._dial(member), f"dial {member.host}")
        return True

    async def _dial(self, member: MemberRecord) -> None:
        """Open a link; start a failure check if the member can't be reached."""
        if await self._links.dial(member.host, address_of(member)):
            return
        found = await self._detector.probe(address_of(member))
        if found is None:
            self._detector.start_check(member.host)
            return
        self._dial_after_ms[member.host] = self._clock.now_ms() + REFUSED_BACKOFF_MS

    def _close_unwanted(self, wanted: set[str], now_ms: float) -> None:
        """Close links that this host opened to members that are no longer chosen."""
        for link in list(self._links.by_host.values()):
            if not link.dialled or link.host in wanted:
                continue
            if now_ms - link.opened_ms >= UNWANTED_LINK_MS:
                self._links.close(link)

    def _explore_pause_ms(self) -> float:
        """Return the mean time until the next probe."""
        if not self._membership.others(MemberState.ALIVE, MemberState.LEAVING):
            return ISOLATED_EXPLORE_MS
        if self._unknown_addresses():
            return self._settings.explore_interval_ms
        return self._settings.explore_interval_ms * AUDIT_INTERVAL_FACTOR

    def _unknown_addresses(self) -> list[Address]:
        """Return addresses of listed, suspect or gone hosts that no live member has."""
        alive = self._membership.others(MemberState.ALIVE, MemberState.LEAVING)
        missing = self._membership.others(MemberState.GONE, MemberState.SUSPECT)
        unknown = {address_of(record) for record in missing}
        unknown.update(self._list_entry_targets())
        unknown -= {address_of(record) for record in alive}
        unknown -= {address_of(self._membership.own), self._settings.listen}
        return sorted(unknown)

    async def _explore_once(self) -> None:
        """Probe one listed or retained host not known to be alive, or a live one without a link."""
        unknown = self._unknown_addresses()
        if unknown:
            await self._probe_unknown(random.choice(unknown))
            return
        alive = self._membership.others(MemberState.ALIVE, MemberState.LEAVING)
        far = [record for record in alive if record.host not in self._links.by_host]
        if not far:
            return
        record = random.choice(far)
        if await self._detector.probe(address_of(record)) is None:
            self._detector.start_check(record.host)

    async def _probe_unknown(self, address: Address) -> None:
        """Link with a host if it turns out to be alive, so that both exchange their state."""
        found = await self._detector.probe(address)
        if found is None or found.host == self._settings.host:
            return
        if found.state is MemberState.GONE:
            return
        await self._links.dial(found.host, address)
