"""Spreads accepted configurations between entry hosts.

Watchers tell the revision that they have in force; a host that is behind asks hosts near it for the
snapshot first, so that the few watchers don't send it to everyone.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from expression import Result

    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Configuration
    from pimentodale.configuration.follower import Follower

TOPIC: Final = "configuration"
"""Topic of the revisions told, and of the requests for snapshots."""

TELL_INTERVAL_MS: Final = 60_000.0
"""Time between two tellings of the same revision."""

TELL_TTL_MS: Final = 180_000.0
"""How long a telling holds, so that hosts that start in an outage learn of it."""

FETCH_TIMEOUT_MS: Final = 2_000.0
"""Longest time for one request for a snapshot."""

FETCH_PAUSE_MS: Final = 200.0
"""Mean pause after a round of requests that brought nothing new."""

NEAR_HOSTS: Final = 2
"""Linked hosts that are asked before the one that told the revision."""

_log = get_log("configuration")


@dataclass(slots=True)
class SharingMeans:
    """What sharing asks of the peers."""

    publish: Callable[[str, str, bytes, float], None]
    """Tells all hosts a value: topic, key, value, time to live in ms."""

    request: Callable[[str, str, bytes, float], Awaitable[Result[bytes, object]]]
    """Asks one host: host, topic, body, time-out in ms."""

    linked_hosts: Callable[[], list[str]]
    """Returns the hosts near this one."""

    is_watcher: Callable[[], bool]
    """Whether this host tells its revision."""


@dataclass(slots=True)
class ConfigurationSharing:
    """What this host has heard of newer revisions."""

    follower: Follower
    means: SharingMeans
    clock: Clock
    rng: random.Random
    _told_by: dict[str, int] = field(default_factory=dict)
    _news: asyncio.Event = field(default_factory=asyncio.Event)
    _told_revision: int = 0
    _told_at_ms: float = float("-inf")

    async def answer(self, _body: bytes) -> bytes:
        """Answer another host's request with the snapshot in force."""
        return self.follower.snapshot()

    def note_revision(self, host: str, value: bytes) -> None:
        """Take another host's word on its revision; what is not one is passed over."""
        if not value.isdigit():
            return
        self._told_by[host] = int(value)
        if self._wanted() is not None:
            self._news.set()

    def note_change(self, _configuration: Configuration) -> None:
        """Tell a revision that came into force here."""
        self._tell()

    async def run(self) -> None:
        """Fetch what is told and not had, and tell again now and then, for ever."""
        while True:
            try:
                await asyncio.wait_for(self._news.wait(), TELL_INTERVAL_MS / 4 / 1000)
            except TimeoutError:
                self._tell()
                continue
            self._news.clear()
            while self._wanted() is not None:
                await self._fetch_round()

    def _tell(self) -> None:
        """Tell the revision in force, if it is this host's to tell and due."""
        revision = self.follower.current().revision
        now_ms = self.clock.now_ms()
        due = now_ms - self._told_at_ms >= TELL_INTERVAL_MS or revision != self._told_revision
        if revision == 0 or not due or not self.means.is_watcher():
            return
        self._told_revision = revision
        self._told_at_ms = now_ms
        self.means.publish(TOPIC, "revision", str(revision).encode(), TELL_TTL_MS)

    def _wanted(self) -> str | None:
        """Return the host that told the highest revision above the one in force, if any did."""
        host = max(self._told_by, key=lambda name: self._told_by[name], default=None)
        if host is None or self._told_by[host] <= self.follower.current().revision:
            return None
        return host

    async def _fetch_round(self) -> None:
        """Ask near hosts, then the one that told; the first newer snapshot is taken."""
        teller = self._wanted()
        if teller is None:
            return
        near = [host for host in self.means.linked_hosts() if host != teller]
        asked = self.rng.sample(near, min(NEAR_HOSTS, len(near)))
        for host in [*asked, teller]:
            reply = await self.means.request(host, TOPIC, b"", FETCH_TIMEOUT_MS)
            if reply.is_ok() and reply.ok:
                await self.follower.offer(reply.ok)
            if self._wanted() is None:
                return
        _log.debug("No peer had the revision that was told.", teller=teller)
        self._told_by.pop(teller, None)
        await self.clock.sleep_ms(FETCH_PAUSE_MS * (0.5 + self.rng.random()))


def create_configuration_sharing(
    follower: Follower, means: SharingMeans, clock: Clock, rng: random.Random
) -> ConfigurationSharing:
    """Return the sharing of one host; run its `run` as a task.

    Args:
        follower: Holds the configuration in force.
        means: What it asks of the peers.
        clock: Dates tellings and waits.
        rng: Chooses hosts and spreads pauses.
    """
    return ConfigurationSharing(follower, means, clock, rng)
