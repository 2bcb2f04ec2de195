"""Failure detector: probes silent members, suspects them and declares them gone.

A suspected member may refute the suspicion before it is declared gone.
"""

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
"""Timer delay above which this host assumes that its process was paused."""

_MAX_INDIRECT_PROBES: Final = 16
"""Maximum number of probes on behalf of peers that run concurrently."""

_log = get_log("peers")


@dataclass(slots=True)
class _PendingProbe:
    """An indirect probe that was requested from several peers."""

    answer: asyncio.Future[bool]
    """Whether any of the peers reached the host."""

    waiting: int
    """Number of peers that have not answered yet."""


class Detector:
    """Probes members and moves them to the states suspect and gone."""

    __slots__ = (
        "_checking",
        "_clock",
        "_counters",
        "_links",
        "_membership",
        "_number",
        "_pending_probes",
        "_running_probes",
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
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._number = 0
        self._running_probes = 0

    def start_check(self, host: str) -> None:
        """Start a background task that checks whether a member is reachable."""
        if host in self._checking:
            return
        self._checking.add(host)
        self._tasks.start(self._check(host), f"check {host}")

    def close_silent_links(self, now_ms: float) -> None:
        """Close links that exceeded the silence time-out, and check their peers."""
        timeout_ms = self._settings.silence_timeout_ms * self._membership.heartbeat_factor()
        for link in list(self._links.by_host.values()):
            if now_ms - link.last_received_ms <= timeout_ms:
                continue
            link.stream.close()
            self.start_check(link.host)

    def end_suspicions(self, now_ms: float) -> None:
        """Declare suspects gone that did not refute the suspicion in time."""
        for item in list(self._membership.state.members.values()):
            if item.record.state is not MemberState.SUSPECT:
                continue
            if now_ms - item.changed_ms < self._settings.suspicion_timeout_ms:
                continue
            _log.info(
                "The suspected member did not refute in time and is considered gone.",
                member=item.record.host,
            )
            self._membership.set_member_state(item.record, MemberState.GONE)

    def reset_timeouts_after_pause(self, now_ms: float) -> None:
        """Restart the silence and suspicion time-outs after this process was paused."""
        self._counters.pauses += 1
        for link in self._links.by_host.values():
            link.last_received_ms = now_ms
        for item in self._membership.state.members.values():
            if item.record.state is MemberState.SUSPECT:
                item.changed_ms = now_ms

    async def probe(self, address: Address) -> MemberRecord | None:
        """Check on a separate connection whether a host is alive.

        Args:
            address: Peer address of the host.

        Returns:
            The host's record of itself, or `None` if it did not answer in time.
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
        """Probe a host on behalf of a peer, unless too many such probes are running."""
        if self._running_probes >= _MAX_INDIRECT_PROBES:
            return
        self._running_probes += 1
        self._tasks.start(self._answer_probe(link, question), f"probe for {link.host}")

    def handle_indirect_reply(self, reply: IndirectReply) -> None:
        """Pass a peer's probe result to the check that waits for it."""
        question = self._pending_probes.get(reply.number)
        if question is None or question.answer.done():
            return
        question.waiting -= 1
        if reply.reached or question.waiting == 0:
            question.answer.set_result(reply.reached)

    async def _check(self, host: str) -> None:
        """Probe a member directly and through peers, and suspect it if nobody reaches it."""
        try:
            while True:
                started_ms = self._clock.now_ms()
                alive = await self._is_alive(host)
                bound_ms = 4 * self._settings.probe_timeout_ms + PAUSE_SLACK_MS
                if alive or self._clock.now_ms() - started_ms < bound_ms:
                    break
                # This process was paused during the check, so the result is not reliable.
        finally:
            self._checking.discard(host)
        item = self._membership.state.members.get(host)
        if alive or item is None or self._links.closing or host in self._links.by_host:
            return
        if item.record.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return
        self._counters.suspicions += 1
        _log.info("The member could not be reached and is suspected.", member=host)
        self._membership.set_member_state(item.record, MemberState.SUSPECT)

    async def _is_alive(self, host: str) -> bool:
        """Return whether this host or another one can reach a member."""
        item = self._membership.state.members.get(host)
        if item is None or item.record.state is MemberState.GONE:
            return True
        record = item.record
        found = await self.probe(address_of(record))
        if found is not None:
            self._membership.apply_member(found, found.boot_id)
            return True
        if not await self._probe_indirectly(record):
            return False
        self._counters.averted_suspicions += 1
        return True

    async def _probe_indirectly(self, record: MemberRecord) -> bool:
        """Return whether any of a few randomly chosen peers can reach a member."""
        self._number += 1
        number = self._number
        links = [link for link in self._links.by_host.values() if link.host != record.host]
        chosen = random.sample(links, min(len(links), self._settings.indirect_probes))
        if not chosen:
            return False
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending_probes[number] = _PendingProbe(answer, len(chosen))
        for link in chosen:
            link.stream.write(IndirectProbe(number, record.ip, record.port, record.boot_id))
        try:
            return await asyncio.wait_for(answer, 3 * self._settings.probe_timeout_ms / MS_PER_S)
        except TimeoutError:
            return False
        finally:
            del self._pending_probes[number]

    async def _answer_probe(self, link: Link, question: IndirectProbe) -> None:
        """Probe a host and send the result to the peer that asked."""
        try:
            found = await self.probe(Address(question.ip, question.port))
        finally:
            self._running_probes -= 1
        reached = found is not None and found.boot_id == question.boot_id
        link.stream.write(IndirectReply(question.number, reached))
