"""Keeps a mirror up to date by a watch on the store or through other hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

from pimentodale.clock import whole_ms
from pimentodale.foreign_bytes import UNREADABLE
from pimentodale.logs import get_log
from pimentodale.mirror.mirror import MirrorChanges
from pimentodale.peers.mesh import choose_watchers
from pimentodale.peers.messages import MemberState

if TYPE_CHECKING:
    import random

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.mirror.mirror import Mirror
    from pimentodale.peers.peers import Peers

TOPIC: Final = "mirror"
"""Topic of requests between hosts."""

RETRY_MS: Final = 150.0
"""Mean delay before the first retry of a failed store read; doubles with each further retry."""

MAX_WATCHER_RETRY_MS: Final = 600.0
"""Maximum retry delay of a watcher, on which other hosts depend."""

MAX_RETRY_MS: Final = 2_400.0
"""Maximum retry delay of other hosts, which query the watchers meanwhile."""

PEER_SYNC_INTERVAL_MS: Final = 250.0
"""Interval between queries to other hosts while the store is unavailable."""

PEER_TIMEOUT_MS: Final = 400.0
"""Timeout of a query to another host."""

WATCH_SILENCE_MS: Final = 1_000.0
"""Time without an answer to a watch after which the store counts as unavailable.

A change has to be in force at every host within 2 s, also when its watcher loses the store just
before: the time until a watcher's mirror counts as stale, until its followers learn of that, and
until another host has read the store must fit into that.
"""

BATCH_DELAY_MS: Final = 150.0
"""Delay after a change, so that further changes are received in one batch."""

BATCH_DELAY_PER_HOST_MS: Final = 2.0
"""Additional batch delay per host of the site: a large site has more frequent changes and more
watchers."""

MAX_BATCH_DELAY_MS: Final = 400.0
"""Maximum batch delay, as it also delays changes of the configuration."""

LONG_POLL_INTERVAL_MS: Final = 80.0
"""Interval at which a host checks for changes while it holds another host's long poll."""

WATCHERS: Final = 2
"""Number of hosts in each failure domain that may watch the store for the others: the first one
does, and the next one replaces it if it doesn't respond."""

WATCHER_SKIP_MS: Final = 5_000.0
"""How long a watcher is skipped after it gave no reply or a stale one; a stopped watcher has left
the membership by then."""

LONG_POLL_TIMEOUT_MS: Final = 500.0
"""Maximum time for which a watcher holds a long poll without changes; its reply shows that it is
alive."""

STALE_HOLD_MS: Final = 200.0
"""Maximum long poll of or at a host with a stale mirror: the host that is asked may be about to read
the store in place of a lost watcher."""

LONG_POLL_GRACE_MS: Final = 300.0
"""How long after that timeout a reply may arrive before the host reads the store itself."""

ALL_KEYS_END: Final = "\0"
"""Exclusive end of the range of all keys."""

_log = get_log("mirror")


class MirrorQuery(msgspec.Struct, array_like=True):
    """Query of one host for the changes that another one has."""

    revision: int
    """Revision of the sender's mirror."""

    wait_ms: float
    """Maximum time to wait for changes before replying."""

    era: int = 0
    """Era of the store to which the revision belongs."""


_changes_decoder = msgspec.msgpack.Decoder(MirrorChanges)
_query_decoder = msgspec.msgpack.Decoder(MirrorQuery)


@dataclass(slots=True)
class MirrorFollower:
    """Follows the store by a watch, or through queries to other hosts."""

    mirror: Mirror
    store: KeyValueStore
    peers: Peers
    clock: Clock
    rng: random.Random
    is_connected: bool = False
    """Whether the last request to the store succeeded."""

    skipped_watchers: int = 0
    """Number of times a watcher gave no answer, or one from a stale mirror."""

    _skipped_until_ms: dict[str, float] = field(default_factory=dict)
    """Time until which unresponsive watchers are skipped, by host."""

    _failures: int = 0
    """Number of failed reads since the last success."""

    async def follow_store(self) -> None:
        """Read all keys, then watch; start again after each fault. Never returns."""
        while True:
            if self.mirror.revision > 0 and not self.is_watcher():
                await self._follow_watcher()
            asked_ms = self.clock.now_ms()
            snapshot = await self.store.read("", ALL_KEYS_END)
            if snapshot.is_error():
                self._note_store_unavailable(snapshot.error.message)
                self._failures += 1
                await self.clock.sleep_ms(self.retry_ms() * self.rng.uniform(0.6, 1.4))
                continue
            self._failures = 0
            self._note_store_available(snapshot.ok.revision, snapshot.ok.era)
            # The store may have read the first page as soon as it was asked.
            age_ms = self.clock.now_ms() - asked_ms
            read = snapshot.ok
            self.mirror.apply_snapshot(read.revision, read.items, age_ms, era=read.era)
            # The store is read before any watcher is followed, so that the first host of a site can
            # start without other hosts.
            await self._watch()
            await self.clock.sleep_ms(RETRY_MS * self.rng.uniform(0.1, 0.3))

    async def sync_from_peers(self) -> None:
        """Fetch changes from other hosts while the store is unavailable. Never returns."""
        while True:
            await self.clock.sleep_ms(PEER_SYNC_INTERVAL_MS * self.rng.uniform(0.8, 1.2))
            usual_age_ms = self.max_age_ms() + LONG_POLL_TIMEOUT_MS
            if self.is_connected and self.mirror.age_ms() < usual_age_ms:
                continue
            await self._sync_from_peer()

    def retry_ms(self) -> float:
        """Return the mean delay before the next retry of a failed read."""
        most_ms = MAX_WATCHER_RETRY_MS if self.is_assigned_watcher() else MAX_RETRY_MS
        return min(most_ms, RETRY_MS * 2.0 ** min(self._failures - 1, 10))

    def batch_delay_ms(self) -> float:
        """Return the delay after a change, in which further changes are collected."""
        delay_ms = BATCH_DELAY_MS + BATCH_DELAY_PER_HOST_MS * len(self.peers.live_members())
        return min(delay_ms, MAX_BATCH_DELAY_MS)

    def max_age_ms(self) -> float:
        """Return the age up to which a watcher's mirror is followed: that of one whose watch works."""
        return WATCH_SILENCE_MS + self.batch_delay_ms()

    def is_watcher(self) -> bool:
        """Return whether this host watches the store: it is assigned to, or no such host responds."""
        if self.is_assigned_watcher():
            return True
        return all(self._is_skipped(host) for host in self._ranked_watchers())

    def is_assigned_watcher(self) -> bool:
        """Return whether this host is the one that watches the store for its failure domain."""
        own = self.peers.own
        return own.state is not MemberState.ALIVE or own.host == self._current_watcher()

    async def answer(self, body: bytes) -> bytes:
        """Answer another host's query on changes, once its time is over, or if this host is stale."""
        query = _query_decoder.decode(body)
        revision = query.revision
        now_ms = self.clock.now_ms()
        end_ms = now_ms + min(LONG_POLL_TIMEOUT_MS, query.wait_ms)
        stale_end_ms = min(end_ms, now_ms + STALE_HOLD_MS)
        while self.mirror.era == query.era and self.mirror.revision <= revision:
            is_stale = self.mirror.age_ms() > self.max_age_ms()
            if self.clock.now_ms() >= (stale_end_ms if is_stale else end_ms):
                break
            await self.clock.sleep_ms(LONG_POLL_INTERVAL_MS)
        changes = self.mirror.changes_since(revision, query.era)
        changes.held_ms = self.clock.now_ms() - now_ms
        return msgspec.msgpack.encode(changes)

    def _current_watcher(self) -> str:
        """Return the host that watches the store in this failure domain, as far as known."""
        ranked = self._ranked_watchers()
        return next((host for host in ranked if not self._is_skipped(host)), ranked[0])

    def _ranked_watchers(self) -> list[str]:
        """Return the hosts of this failure domain that may watch the store, in order of rank."""
        own = self.peers.own
        members = self.peers.live_members()
        hosts = {m.host for m in members if m.failure_domain == own.failure_domain}
        # A leaving host doesn't count as live, but may be the last one in its failure domain.
        return choose_watchers(own.failure_domain, hosts or {own.host}, WATCHERS)

    def _is_skipped(self, host: str) -> bool:
        """Return whether an unresponsive watcher is currently skipped."""
        return self._skipped_until_ms.get(host, 0.0) > self.clock.now_ms()

    async def _follow_watcher(self) -> None:
        """Follow this failure domain's watcher until none responds or this host is the watcher."""
        while not self.is_watcher():
            host = self._current_watcher()
            is_stale = self.mirror.age_ms() > self.max_age_ms()
            wait_ms = STALE_HOLD_MS if is_stale else LONG_POLL_TIMEOUT_MS
            changes = await self._request_changes(host, wait_ms, wait_ms + LONG_POLL_GRACE_MS)
            if changes is not None and self._is_current(changes):
                self.mirror.apply(changes, host)
                continue
            now_ms = self.clock.now_ms()
            kept = {other: end for other, end in self._skipped_until_ms.items() if end > now_ms}
            self._skipped_until_ms = kept | {host: now_ms + WATCHER_SKIP_MS}
            self.skipped_watchers += 1
            _log.info(
                "A watcher could not be followed.",
                host=host,
                host_age_ms=None if changes is None else whole_ms(changes.age_ms),
                age_ms=whole_ms(self.mirror.age_ms()),
                revision=self.mirror.revision,
            )

    def _is_current(self, changes: MirrorChanges) -> bool:
        """Return whether a watcher's reply shows that its watch works and is of this era."""
        return changes.age_ms <= self.max_age_ms() and changes.era >= self.mirror.era

    async def _watch(self) -> None:
        """Apply changes until the watch ends or another host is the watcher."""
        batches = self.store.watch("", self.mirror.revision + 1, WATCH_SILENCE_MS)
        async for batch in batches:
            if batch.is_error():
                self._note_store_unavailable(batch.error.message)
                return
            changes = batch.ok
            if changes.era != self.mirror.era:
                return
            self.mirror.apply_changes(
                changes.revision, changes.puts, changes.deletes, era=changes.era
            )
            if not self.is_watcher():
                return
            if changes.puts or changes.deletes:
                await self.clock.sleep_ms(self.batch_delay_ms())

    async def _sync_from_peer(self) -> None:
        """Fetch changes from one other host."""
        own = self.peers.own.host
        others = [member.host for member in self.peers.live_members() if member.host != own]
        if not others:
            return
        host = self.rng.choice(others)
        changes = await self._request_changes(host, 0.0, PEER_TIMEOUT_MS)
        if changes is None:
            return
        before = (self.mirror.era, self.mirror.revision)
        self.mirror.apply(changes, host)
        if (self.mirror.era, self.mirror.revision) > before:
            _log.info(
                "Received changes from another host.",
                host=host,
                revision=self.mirror.revision,
                age_ms=whole_ms(changes.age_ms),
            )

    async def _request_changes(
        self, host: str, wait_ms: float, timeout_ms: float
    ) -> MirrorChanges | None:
        """Request the changes after this mirror's revision from a host."""
        asked_ms = self.clock.now_ms()
        query = msgspec.msgpack.encode(MirrorQuery(self.mirror.revision, wait_ms, self.mirror.era))
        reply = await self.peers.request(host, TOPIC, query, timeout_ms, reuse_connection=True)
        if reply.is_error():
            return None
        try:
            changes = _changes_decoder.decode(reply.ok)
        except UNREADABLE as error:
            _log.warning("Another host's reply can't be decoded.", host=host, problem=str(error))
            return None
        # The time that the reply was on its way counts, as the host's mirror aged meanwhile.
        changes.age_ms += max(0.0, self.clock.now_ms() - asked_ms - changes.held_ms)
        return changes

    def _note_store_unavailable(self, reason: str) -> None:
        """Log once that the store is unavailable."""
        if self.is_connected:
            _log.warning("The store doesn't answer.", reason=reason, revision=self.mirror.revision)
        self.is_connected = False

    def _note_store_available(self, revision: int, era: int) -> None:
        """Log once that the store is available."""
        if self.is_connected:
            return
        self.is_connected = True
        _log.info("The store answers.", revision=revision, era=era)


def create_mirror_follower(
    mirror: Mirror, store: KeyValueStore, peers: Peers, clock: Clock, rng: random.Random
) -> MirrorFollower:
    """Return a follower that also answers other hosts' queries."""
    follower = MirrorFollower(mirror, store, peers, clock, rng)
    peers.handle(TOPIC, follower.answer)
    return follower
