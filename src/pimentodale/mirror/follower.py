"""Keeps a mirror up to date: by a watch on the store, and through other hosts without it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgspec

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
"""Mean pause before the first reading of a store that doesn't answer; each further pause is twice as
long."""

MAX_WATCHER_RETRY_MS: Final = 600.0
"""Longest such pause of a watcher, which the others learn from: a change has 2 s to be in force."""

MAX_RETRY_MS: Final = 2_400.0
"""Longest such pause of the others, who ask the watchers meanwhile."""

PEER_INTERVAL_MS: Final = 250.0
"""Pause between questions to other hosts while the store doesn't answer."""

PEER_TIMEOUT_MS: Final = 400.0
"""Longest question to another host."""

BEHIND_MS: Final = 2_600.0
"""Age from which a mirror counts as cut off; a quiet watch renews it sooner."""

GATHER_MS: Final = 150.0
"""Pause after a change in which further ones gather, so that one call brings them all."""

GATHER_PER_HOST_MS: Final = 2.0
"""What each host of the site adds to it: changes come more often on a large one, and to more watchers."""

RELAY_POLL_MS: Final = 80.0
"""Pause between two looks for news by a host that keeps another one's question."""

WATCHERS: Final = 2
"""Hosts of each failure domain that may watch the store for the others: the first does, the next one in
its place where it gives no word."""

DISTRUST_MS: Final = 5_000.0
"""How long a watcher that gave no word, or an old one, is passed over; one that has ended has left the
membership by then."""

RELAY_WAIT_MS: Final = 600.0
"""How long a watcher keeps a quiet question of another host; its end shows that both live."""

RELAY_SLACK_MS: Final = 300.0
"""How much later the answer may come before the store is asked itself."""

ALL_KEYS_END: Final = "\0"
"""Exclusive end of a reading of every key."""

_log = get_log("mirror")


class MirrorQuestion(msgspec.Struct, array_like=True):
    """What one host asks another."""

    revision: int
    """Revision that the asker has reached."""

    wait_ms: float
    """How long the answer may wait for news."""


_decoder = msgspec.msgpack.Decoder(MirrorChanges)
_questions = msgspec.msgpack.Decoder(MirrorQuestion)


@dataclass(slots=True)
class MirrorFollower:
    """Runs the watch and the questions to other hosts."""

    mirror: Mirror
    store: KeyValueStore
    peers: Peers
    clock: Clock
    rng: random.Random
    is_connected: bool = False
    """Whether the store's last answer was a success."""

    _distrusted_ms: dict[str, float] = field(default_factory=dict)
    """Until when watchers that gave no word are passed over."""

    _failures: int = 0
    """Readings without an answer since the last success."""

    async def follow_store(self) -> None:
        """Read everything, then watch; begin anew after each fault. Runs for ever."""
        while True:
            if self.mirror.revision > 0 and not self.is_watcher():
                await self._follow_watcher()
            whole = await self.store.read("", ALL_KEYS_END)
            if whole.is_error():
                self._note_lost(whole.error.message)
                self._failures += 1
                await self.clock.sleep_ms(self.retry_ms() * self.rng.uniform(0.6, 1.4))
                continue
            self._failures = 0
            self._note_regained(whole.ok.revision)
            self.mirror.apply_whole(whole.ok.revision, whole.ok.items)
            # Read once before following anyone, so that a first start needs no other host.
            await self._watch()
            await self.clock.sleep_ms(RETRY_MS * self.rng.uniform(0.1, 0.3))

    async def follow_peers(self) -> None:
        """While the store doesn't answer, learn from a host that it does answer. Runs for ever."""
        while True:
            await self.clock.sleep_ms(PEER_INTERVAL_MS * self.rng.uniform(0.8, 1.2))
            if self.is_connected and self.mirror.age_ms() < BEHIND_MS:
                continue
            await self._ask_peer()

    def retry_ms(self) -> float:
        """Return the mean pause before a store is read again that doesn't answer."""
        most_ms = MAX_WATCHER_RETRY_MS if self.is_watcher() else MAX_RETRY_MS
        return min(most_ms, RETRY_MS * 2.0 ** min(self._failures - 1, 10))

    def gather_ms(self) -> float:
        """Return the pause after a change in which further ones gather."""
        return GATHER_MS + GATHER_PER_HOST_MS * len(self.peers.live_members())

    def is_watcher(self) -> bool:
        """Whether this host watches the store itself."""
        own = self.peers.own
        return own.state is not MemberState.ALIVE or own.host == self._watcher()

    async def answer(self, body: bytes) -> bytes:
        """Answer another host's question, once there is news or its time is over."""
        question = _questions.decode(body)
        revision = question.revision
        end_ms = self.clock.now_ms() + min(RELAY_WAIT_MS, question.wait_ms)
        while self.mirror.revision <= revision and self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(RELAY_POLL_MS)
        return msgspec.msgpack.encode(self.mirror.changes_since(revision))

    def _watcher(self) -> str:
        """Return the host of this failure domain that watches the store, as far as this one can tell."""
        own = self.peers.own
        members = self.peers.live_members()
        hosts = {m.host for m in members if m.failure_domain == own.failure_domain}
        # A host that leaves is no live one, and may be the last of its failure domain.
        ranked = choose_watchers(own.failure_domain, hosts or {own.host}, WATCHERS)
        return next((host for host in ranked if not self._is_distrusted(host)), ranked[0])

    def _is_distrusted(self, host: str) -> bool:
        """Whether a watcher is passed over, as it gave no word."""
        return self._distrusted_ms.get(host, 0.0) > self.clock.now_ms()

    async def _follow_watcher(self) -> None:
        """Learn from this failure domain's watcher, until none gives word or this host is one."""
        while not self.is_watcher():
            host = self._watcher()
            changes = await self._ask(host, RELAY_WAIT_MS, RELAY_WAIT_MS + RELAY_SLACK_MS)
            if changes is not None and changes.age_ms <= BEHIND_MS:
                self.mirror.take(changes)
                continue
            now_ms = self.clock.now_ms()
            kept = {other: end for other, end in self._distrusted_ms.items() if end > now_ms}
            self._distrusted_ms = kept | {host: now_ms + DISTRUST_MS}
            _log.info("A watcher could not be followed.", host=host, answered=changes is not None)
            if self._is_distrusted(self._watcher()):
                return

    async def _watch(self) -> None:
        """Take changes until the watch ends, or other hosts turn out to be the watchers."""
        batches = self.store.watch("", self.mirror.revision + 1, BEHIND_MS)
        async for batch in batches:
            if batch.is_error():
                self._note_lost(batch.error.message)
                return
            self.mirror.apply_changes(batch.ok.revision, batch.ok.puts, batch.ok.deletes)
            if not self.is_watcher():
                return
            if batch.ok.puts or batch.ok.deletes:
                await self.clock.sleep_ms(self.gather_ms())

    async def _ask_peer(self) -> None:
        """Ask one other host what is new."""
        own = self.peers.own.host
        others = [member.host for member in self.peers.live_members() if member.host != own]
        if not others:
            return
        host = self.rng.choice(others)
        changes = await self._ask(host, 0.0, PEER_TIMEOUT_MS)
        if changes is None:
            return
        before = self.mirror.revision
        self.mirror.take(changes)
        if self.mirror.revision > before:
            _log.info(
                "Learned of changes through another host.",
                host=host,
                revision=self.mirror.revision,
                age_ms=round(changes.age_ms),
            )

    async def _ask(self, host: str, wait_ms: float, timeout_ms: float) -> MirrorChanges | None:
        """Ask a host what came after this mirror's revision."""
        question = msgspec.msgpack.encode(MirrorQuestion(self.mirror.revision, wait_ms))
        reply = await self.peers.request(host, TOPIC, question, timeout_ms, is_kept=True)
        if reply.is_error():
            return None
        try:
            return _decoder.decode(reply.ok)
        except msgspec.MsgspecError as error:
            _log.warning("Another host's answer can't be read.", host=host, problem=str(error))
            return None

    def _note_lost(self, reason: str) -> None:
        """Log once that the store doesn't answer."""
        if self.is_connected:
            _log.warning("The store doesn't answer.", reason=reason, revision=self.mirror.revision)
        self.is_connected = False

    def _note_regained(self, revision: int) -> None:
        """Log that the store answers, and remember an outage's end."""
        if self.is_connected:
            return
        self.is_connected = True
        if self.mirror.revision > 0:
            self.mirror.outage_ended_ms = self.clock.now_ms()
        _log.info("The store answers.", revision=revision)


def create_mirror_follower(
    mirror: Mirror, store: KeyValueStore, peers: Peers, clock: Clock, rng: random.Random
) -> MirrorFollower:
    """Return a follower and have it answer other hosts' questions."""
    follower = MirrorFollower(mirror, store, peers, clock, rng)
    peers.handle(TOPIC, follower.answer)
    return follower
