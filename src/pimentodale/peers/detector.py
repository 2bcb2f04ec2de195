"""Finds out whether a silent member is gone, and lets it refute first."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from pimentodale.addresses import Address
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log
from pimentodale.peers.links import address_of
from pimentodale.peers.message_stream import BadMessageError, connect
from pimentodale.peers.messages import (
    PROTOCOL,
    IndirectProbe,
    IndirectReply,
    MemberRecord,
    MemberState,
    Probe,
    ProbeReply,
)

if TYPE_CHECKING:
    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.peers.counters import PeerCounters
    from pimentodale.peers.link import Link
    from pimentodale.peers.links import Links
    from pimentodale.peers.membership import Membership
    from pimentodale.peers.settings import PeersSettings

PAUSE_SLACK_MS: Final = 1_000.0
"""Lateness of this host's own timers from which it takes itself to have been frozen."""

_RUNNING_ANSWERS: Final = 16
"""Probes for others that run at once."""

_log = get_log("peers")


@dataclass(slots=True)
class _Question:
    """A question put to several peers."""

    answer: asyncio.Future[bool]
    """Whether any of them reached the host."""

    waiting: int
    """Peers that have not answered."""


class Detector:
    """Probes members, raises suspicions and ends them."""

    __slots__ = (
        "_answering",
        "_checking",
        "_clock",
        "_counters",
        "_links",
        "_membership",
        "_number",
        "_questions",
        "_settings",
        "_tasks",
    )

    def __init__(
        self,
        settings: PeersSettings,
        clock: Clock,
        counters: PeerCounters,
        membership: Membership,
        links: Links,
        tasks: BackgroundTasks,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._counters = counters
        self._membership = membership
        self._links = links
        self._tasks = tasks
        self._checking: set[str] = set()
        self._questions: dict[int, _Question] = {}
        self._number = 0
        self._answering = 0

    def start_check(self, host: str) -> None:
        """Find out in a task of its own whether a member is gone."""
        if host in self._checking:
            return
        self._checking.add(host)
        self._tasks.start(self._check(host), f"check {host}")

    def close_silent_links(self, now_ms: float) -> None:
        """Close the links on which nothing came for too long, and check their peers."""
        timeout_ms = self._settings.silence_timeout_ms * self._membership.pace()
        for link in list(self._links.by_host.values()):
            if now_ms - link.heard_ms <= timeout_ms:
                continue
            link.stream.close()
            self.start_check(link.host)

    def end_suspicions(self, now_ms: float) -> None:
        """Hold suspects to be gone that did not refute in time."""
        for item in list(self._membership.state.members.values()):
            if item.record.state is not MemberState.SUSPECT:
                continue
            if now_ms - item.changed_ms < self._settings.suspicion_timeout_ms:
                continue
            _log.info("A member is gone.", member=item.record.host)
            self._membership.say(item.record, MemberState.GONE)

    def forgive_pause(self, now_ms: float) -> None:
        """Start all waits anew after this host itself was frozen."""
        self._counters.pauses += 1
        for link in self._links.by_host.values():
            link.heard_ms = now_ms
        for item in self._membership.state.members.values():
            if item.record.state is MemberState.SUSPECT:
                item.changed_ms = now_ms

    async def probe(self, address: Address) -> MemberRecord | None:
        """Ask on a connection of its own whether a host lives.

        Args:
            address: Where it listens.

        Returns:
            Its word about itself, or `None` if it gave none in time.
        """
        timeout_ms = self._settings.probe_timeout_ms
        self._counters.dials += 1
        try:
            stream = await connect(address, self._settings.listen.ip, timeout_ms, self._counters)
        except OSError:
            return None
        try:
            stream.write(Probe(PROTOCOL))
            answer = await stream.read_within(timeout_ms)
        except (OSError, BadMessageError):
            return None
        finally:
            stream.close()
        return answer.member if isinstance(answer, ProbeReply) else None

    def answer_probe(self, link: Link, question: IndirectProbe) -> None:
        """Probe a host for a peer."""
        if self._answering >= _RUNNING_ANSWERS:
            return
        self._answering += 1
        self._tasks.start(self._answer_probe(link, question), f"probe for {link.host}")

    def take_answer(self, reply: IndirectReply) -> None:
        """Hand a peer's finding to the check that waits for it."""
        question = self._questions.get(reply.number)
        if question is None or question.answer.done():
            return
        question.waiting -= 1
        if reply.reached or question.waiting == 0:
            question.answer.set_result(reply.reached)

    async def _check(self, host: str) -> None:
        """Probe a member, then have others probe it, then suspect it."""
        try:
            while True:
                started_ms = self._clock.now_ms()
                alive = await self._is_alive(host)
                bound_ms = 4 * self._settings.probe_timeout_ms + PAUSE_SLACK_MS
                if alive or self._clock.now_ms() - started_ms < bound_ms:
                    break
                # This host was frozen meanwhile, so its finding means nothing.
        finally:
            self._checking.discard(host)
        item = self._membership.state.members.get(host)
        if alive or item is None or self._links.closing or host in self._links.by_host:
            return
        if item.record.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return
        self._counters.suspicions += 1
        _log.info("A member is suspected.", member=host)
        self._membership.say(item.record, MemberState.SUSPECT)

    async def _is_alive(self, host: str) -> bool:
        """Whether this host or another one reaches a member."""
        item = self._membership.state.members.get(host)
        if item is None or item.record.state is MemberState.GONE:
            return True
        record = item.record
        found = await self.probe(address_of(record))
        if found is not None:
            self._membership.take_member(found, found.boot_id)
            return True
        if not await self._ask_others(record):
            return False
        self._counters.averted_suspicions += 1
        return True

    async def _ask_others(self, record: MemberRecord) -> bool:
        """Whether any of a few peers reaches a member."""
        self._number += 1
        number = self._number
        links = [link for link in self._links.by_host.values() if link.host != record.host]
        chosen = random.sample(links, min(len(links), self._settings.indirect_probes))
        if not chosen:
            return False
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._questions[number] = _Question(answer, len(chosen))
        for link in chosen:
            link.stream.write(IndirectProbe(number, record.ip, record.port, record.boot_id))
        try:
            return await asyncio.wait_for(answer, 3 * self._settings.probe_timeout_ms / MS_PER_S)
        except TimeoutError:
            return False
        finally:
            del self._questions[number]

    async def _answer_probe(self, link: Link, question: IndirectProbe) -> None:
        """Probe a host and tell the peer."""
        try:
            found = await self.probe(Address(question.ip, question.port))
        finally:
            self._answering -= 1
        reached = found is not None and found.boot_id == question.boot_id
        link.stream.write(IndirectReply(question.number, reached))
