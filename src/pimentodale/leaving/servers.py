"""Which backend servers are leaving, by any sign from anywhere.

A sign that names a boot of a backend server holds for that boot for good. A sign that names none,
such as the lagging host list's, holds as long as it is renewed and for a while after, unless the
boot in service is older than the sign can lag: then it is that boot which leaves.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import msgpack
import msgspec

from pimentodale.logs import get_log
from pimentodale.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pimentodale.clock import Clock
    from pimentodale.peers.peers import Peers

TOPIC: Final = "leaving"
"""Topic under which hosts tell each other."""

SIGN_LAG_MS: Final = 30_000.0
"""Longest time by which a sign without a boot id may lag behind what it speaks of."""

BOOT_SIGN_TTL_MS: Final = 3_600_000.0
"""How long a sign that names a boot is told to hosts that come later."""

RENEWAL_MS: Final = SIGN_LAG_MS / 3
"""Time between two tellings of a sign that goes on."""

MAX_SERVERS: Final = 8_192
"""Most backend servers that are remembered; the longest untouched are forgotten first."""

MAX_BOOTS: Final = 4
"""Most leaving boots that are remembered of one backend server."""

_log = get_log("leaving")


class LeavingWord(msgspec.Struct, frozen=True, array_like=True):
    """One sign, as hosts tell it to each other."""

    replica: str
    """Name of the backend server."""

    boot_id: str
    """Boot that leaves; empty when the sign names none."""


@dataclass(slots=True)
class _Server:
    """What is known of one backend server."""

    boot_id: str = ""
    """Boot in service; empty when it is not known."""

    boot_seen_ms: float = 0.0
    """When that boot was first seen."""

    leaving_boots: OrderedDict[str, None] = field(default_factory=OrderedDict)
    """Boots that are leaving or have left."""

    unnamed_until_ms: float = 0.0
    """Until when a sign without a boot id holds."""

    told_ms: float = float("-inf")
    """When such a sign was last told to the other hosts."""


class LeavingServers:
    """Signs by backend server."""

    __slots__ = ("_blocked", "_clock", "_on_change", "_publish", "_servers", "signs")

    def __init__(
        self,
        clock: Clock,
        publish: Callable[[str, bytes, float], None],
        on_change: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._publish = publish
        self._on_change = on_change
        self._servers: OrderedDict[str, _Server] = OrderedDict()
        self._blocked: set[str] = set()
        self.signs: Counter[str] = Counter()
        """Signs of leaving taken so far, by where they came from."""

    def is_leaving(self, replica: str) -> bool:
        """Whether a backend server may be given no new work."""
        return replica in self._blocked

    def leaving(self) -> list[str]:
        """Return the backend servers that may be given no new work."""
        return sorted(self._blocked)

    def note_report(self, replica: str, boot_id: str, leaving: bool) -> None:
        """Take a backend server's own report, which may lag.

        Args:
            replica: Its name.
            boot_id: The boot that reported; empty when the report names none.
            leaving: Whether it says that it takes no new work.
        """
        server = self._touch(replica)
        if boot_id and boot_id != server.boot_id:
            server.boot_id = boot_id
            server.boot_seen_ms = self._clock.now_ms()
        if leaving:
            self.signs["report"] += 1
            self._take_own_sign(replica, server, boot_id)
        self._update(replica, server)

    def note_refusal(self, replica: str) -> None:
        """Take a backend server's refusal of work because it is leaving."""
        server = self._touch(replica)
        self.signs["refusal"] += 1
        self._take_own_sign(replica, server, server.boot_id)
        self._update(replica, server)

    def note_list(self, leaving: Collection[str]) -> None:
        """Take a reading of the host list; call it with each one, also if nothing changed.

        Args:
            leaving: Backend servers that it shows as leaving.
        """
        now_ms = self._clock.now_ms()
        for replica in leaving:
            server = self._touch(replica)
            self.signs["host list"] += 1
            settled = server.boot_id and now_ms - server.boot_seen_ms > SIGN_LAG_MS
            self._take_own_sign(replica, server, server.boot_id if settled else "")
            self._update(replica, server)
        for replica in list(self._blocked):
            self._update(replica, self._touch(replica))

    def take_word(self, value: bytes) -> None:
        """Take another host's sign; bytes that are none are logged and passed over."""
        try:
            word = msgspec.convert(msgpack.unpackb(value), LeavingWord)
        except (msgpack.UnpackException, msgspec.ValidationError, ValueError, TypeError) as error:
            _log.warning(
                "A peer's sign is malformed and was passed over.",
                code=int(ResultCode.MALFORMED_REQUEST),
                problem=str(error),
            )
            return
        server = self._touch(word.replica)
        self.signs["peer"] += 1
        if word.boot_id:
            self._add_boot(server, word.boot_id)
        else:
            server.unnamed_until_ms = self._clock.now_ms() + SIGN_LAG_MS
        self._update(word.replica, server)

    def _take_own_sign(self, replica: str, server: _Server, boot_id: str) -> None:
        """Keep a sign that this host saw itself, and tell the others what is news to them."""
        now_ms = self._clock.now_ms()
        if boot_id:
            if self._add_boot(server, boot_id):
                self._tell(replica, boot_id, BOOT_SIGN_TTL_MS)
            return
        server.unnamed_until_ms = now_ms + SIGN_LAG_MS
        if now_ms - server.told_ms >= RENEWAL_MS:
            server.told_ms = now_ms
            self._tell(replica, "", SIGN_LAG_MS)

    def _tell(self, replica: str, boot_id: str, ttl_ms: float) -> None:
        """Tell the other hosts."""
        value: bytes = msgpack.packb([replica, boot_id])
        key = f"{replica}/{boot_id}"
        self._publish(key, value, ttl_ms)

    def _add_boot(self, server: _Server, boot_id: str) -> bool:
        """Remember a leaving boot; returns whether it was news."""
        if boot_id in server.leaving_boots:
            return False
        server.leaving_boots[boot_id] = None
        if len(server.leaving_boots) > MAX_BOOTS:
            server.leaving_boots.popitem(last=False)
        return True

    def _update(self, replica: str, server: _Server) -> None:
        """Work out anew whether a backend server may be given work."""
        if server.boot_id:
            leaving = server.boot_id in server.leaving_boots
        else:
            leaving = bool(server.leaving_boots)
        leaving = leaving or server.unnamed_until_ms > self._clock.now_ms()
        if leaving == (replica in self._blocked):
            return
        if leaving:
            self._blocked.add(replica)
            _log.info("A backend server is leaving.", replica=replica, boot_id=server.boot_id)
        else:
            self._blocked.discard(replica)
            _log.info("A backend server takes work again.", replica=replica, boot_id=server.boot_id)
        self._on_change(replica)

    def _touch(self, replica: str) -> _Server:
        """Return what is known of a backend server, and mark it as used last."""
        server = self._servers.get(replica)
        if server is None:
            server = self._servers[replica] = _Server()
        self._servers.move_to_end(replica)
        if len(self._servers) > MAX_SERVERS:
            oldest, _ = self._servers.popitem(last=False)
            self._blocked.discard(oldest)
        return server


def create_sign_publisher(peers: Peers) -> Callable[[str, bytes, float], None]:
    """Return a closure that tells all hosts that a backend server is leaving."""

    def publish(key: str, value: bytes, ttl_ms: float) -> None:
        peers.publish(TOPIC, key, value, ttl_ms)

    return publish


def create_leaving_servers(
    clock: Clock,
    publish: Callable[[str, bytes, float], None],
    on_change: Callable[[str], None],
) -> LeavingServers:
    """Create the signs of one host.

    Args:
        clock: Tells the time.
        publish: Tells the other hosts a key and a value that holds for so many ms.
        on_change: Called with a backend server whose state changed.

    Returns:
        The signs, empty.
    """
    return LeavingServers(clock, publish, on_change)
