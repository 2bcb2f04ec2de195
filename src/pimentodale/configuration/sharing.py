"""Distributes accepted configurations between entry hosts.

Watchers announce their revision in force; a host that is behind requests the snapshot from linked
hosts first, so that the few watchers need not send it to every host.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.foreign_bytes import read_whole_number
from pimentodale.logs import get_log

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from expression import Result

    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Configuration
    from pimentodale.configuration.follower import Follower

TOPIC: Final = "configuration"
"""Topic of revision announcements and of requests for snapshots."""

ANNOUNCE_INTERVAL_MS: Final = 60_000.0
"""Time between two announcements of the same revision."""

ANNOUNCEMENT_TTL_MS: Final = 180_000.0
"""Time to live of an announcement, so that hosts that start during an outage still receive it."""

FETCH_TIMEOUT_MS: Final = 2_000.0
"""Time limit of one request for a snapshot."""

FETCH_PAUSE_MS: Final = 200.0
"""Mean pause after a round of requests that returned no newer snapshot."""

LINKED_HOSTS_ASKED: Final = 2
"""Number of linked hosts that are asked before the one that announced the revision."""

_log = get_log("configuration")


@dataclass(slots=True)
class SharingTransport:
    """Functions of the peer membership that sharing uses."""

    publish: Callable[[str, str, bytes, float], None]
    """Publishes a value to all hosts: topic, key, value, time to live in ms."""

    request: Callable[[str, str, bytes, float], Awaitable[Result[bytes, object]]]
    """Sends a request to one host: host, topic, body, time-out in ms."""

    linked_hosts: Callable[[], list[str]]
    """Returns the hosts that are linked with this one."""

    is_watcher: Callable[[], bool]
    """Whether this host announces its revision."""


@dataclass(slots=True)
class ConfigurationSharing:
    """Announces this host's revision and fetches newer snapshots that others announce."""

    follower: Follower
    transport: SharingTransport
    clock: Clock
    rng: random.Random
    _announced_revisions: dict[str, int] = field(default_factory=dict)
    _update_available: asyncio.Event = field(default_factory=asyncio.Event)
    _announced_revision: int = 0
    _announced_at_ms: float = float("-inf")

    async def answer(self, _body: bytes) -> bytes:
        """Answer another host's request with the snapshot in force."""
        return self.follower.snapshot()

    def note_revision(self, host: str, value: bytes) -> None:
        """Record another host's announced revision; an invalid value is ignored."""
        revision = read_whole_number(value)
        if revision is None:
            return
        self._announced_revisions[host] = revision
        if self._newest_announcer() is not None:
            self._update_available.set()

    def note_change(self, _configuration: Configuration) -> None:
        """Announce a revision that came into force on this host."""
        self._announce()

    async def run(self) -> None:
        """Fetch newer announced revisions, and repeat announcements, until cancelled."""
        while True:
            try:
                await asyncio.wait_for(
                    self._update_available.wait(), ANNOUNCE_INTERVAL_MS / 4 / 1000
                )
            except TimeoutError:
                self._announce()
                continue
            self._update_available.clear()
            while self._newest_announcer() is not None:
                await self._fetch_round()

    def _announce(self) -> None:
        """Announce the revision in force if this host is a watcher and an announcement is due."""
        revision = self.follower.current().revision
        now_ms = self.clock.now_ms()
        due = (
            now_ms - self._announced_at_ms >= ANNOUNCE_INTERVAL_MS
            or revision != self._announced_revision
        )
        if revision == 0 or not due or not self.transport.is_watcher():
            return
        self._announced_revision = revision
        self._announced_at_ms = now_ms
        self.transport.publish(TOPIC, "revision", str(revision).encode(), ANNOUNCEMENT_TTL_MS)

    def _newest_announcer(self) -> str | None:
        """Return the host that announced the highest revision above the one in force, if any."""
        host = max(
            self._announced_revisions,
            key=lambda name: self._announced_revisions[name],
            default=None,
        )
        if host is None or self._announced_revisions[host] <= self.follower.current().revision:
            return None
        return host

    async def _fetch_round(self) -> None:
        """Request the snapshot from linked hosts, then from the announcer, until it is up to date."""
        announcer = self._newest_announcer()
        if announcer is None:
            return
        near = [host for host in self.transport.linked_hosts() if host != announcer]
        asked = self.rng.sample(near, min(LINKED_HOSTS_ASKED, len(near)))
        for host in [*asked, announcer]:
            reply = await self.transport.request(host, TOPIC, b"", FETCH_TIMEOUT_MS)
            if reply.is_ok() and reply.ok:
                await self.follower.offer(reply.ok)
            if self._newest_announcer() is None:
                return
        _log.debug("No peer returned the announced revision.", teller=announcer)
        self._announced_revisions.pop(announcer, None)
        await self.clock.sleep_ms(FETCH_PAUSE_MS * (0.5 + self.rng.random()))


def create_configuration_sharing(
    follower: Follower, transport: SharingTransport, clock: Clock, rng: random.Random
) -> ConfigurationSharing:
    """Return the sharing of one host; run its `run` as a task.

    Args:
        follower: Holds the configuration in force.
        transport: Functions of the peer membership.
        clock: Source of time and delays.
        rng: Chooses hosts and randomises pauses.
    """
    return ConfigurationSharing(follower, transport, clock, rng)
