"""Tracks which backend servers are leaving, by signals from any source.

A signal that names a boot of a backend server applies to that boot permanently. A signal that
names none, such as one from the lagging host list, applies while it is renewed and for a time
after. If the current boot is older than a signal can lag, the signal is attributed to that boot.
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
"""Topic under which hosts exchange leaving signals."""

MAX_SIGNAL_LAG_MS: Final = 30_000.0
"""Longest time by which a signal without a boot id may lag behind the server's state."""

BOOT_SIGNAL_TTL_MS: Final = 3_600_000.0
"""How long a signal that names a boot is sent to hosts that join later."""

REPUBLISH_INTERVAL_MS: Final = MAX_SIGNAL_LAG_MS / 3
"""Interval at which a continuing signal is published again."""

MAX_SERVERS: Final = 8_192
"""Maximum number of backend servers that are tracked; the least recently used are dropped."""

MAX_BOOTS: Final = 4
"""Maximum number of leaving boots that are tracked for one backend server."""

_log = get_log("leaving")


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True):
    """A leaving signal, as hosts send it to each other."""

    replica: str
    """Name of the backend server."""

    boot_id: str
    """Boot that is leaving; empty if the signal names none."""


@dataclass(slots=True)
class _Server:
    """State of one backend server."""

    boot_id: str = ""
    """Current boot; empty if it is not known."""

    boot_seen_ms: float = 0.0
    """When that boot was first seen."""

    leaving_boots: OrderedDict[str, None] = field(default_factory=OrderedDict)
    """Boots that are leaving or have left."""

    bootless_until_ms: float = 0.0
    """Until when a signal without a boot id applies."""

    published_ms: float = float("-inf")
    """When such a signal was last published to the other hosts."""


class LeavingServers:
    """Leaving signals by backend server."""

    __slots__ = ("_blocked", "_clock", "_on_change", "_publish", "_servers", "signal_counts")

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
        self.signal_counts: Counter[str] = Counter()
        """Number of leaving signals so far, by source."""

    def is_leaving(self, replica: str) -> bool:
        """Whether a backend server must get no new work."""
        return replica in self._blocked

    def leaving(self) -> list[str]:
        """Return the backend servers that must get no new work."""
        return sorted(self._blocked)

    def note_report(self, replica: str, boot_id: str, leaving: bool) -> None:
        """Record a backend server's own report, which may lag.

        Args:
            replica: Name of the backend server.
            boot_id: The boot that reported; empty if the report names none.
            leaving: Whether it reports that it accepts no new work.
        """
        server = self._touch(replica)
        if boot_id and boot_id != server.boot_id:
            server.boot_id = boot_id
            server.boot_seen_ms = self._clock.now_ms()
        if leaving:
            self.signal_counts["report"] += 1
            self._record_own_signal(replica, server, boot_id)
        self._update(replica, server)

    def note_refusal(self, replica: str) -> None:
        """Record that a backend server refused work because it is leaving."""
        server = self._touch(replica)
        self.signal_counts["refusal"] += 1
        self._record_own_signal(replica, server, server.boot_id)
        self._update(replica, server)

    def note_host_list(self, leaving: Collection[str]) -> None:
        """Record a reading of the host list; call it for every reading, even an unchanged one.

        Args:
            leaving: Backend servers that the list shows as leaving.
        """
        now_ms = self._clock.now_ms()
        for replica in leaving:
            server = self._touch(replica)
            self.signal_counts["host list"] += 1
            settled = server.boot_id and now_ms - server.boot_seen_ms > MAX_SIGNAL_LAG_MS
            self._record_own_signal(replica, server, server.boot_id if settled else "")
            self._update(replica, server)
        for replica in list(self._blocked):
            self._update(replica, self._touch(replica))

    def receive_notice(self, value: bytes) -> None:
        """Record another host's signal; malformed bytes are logged and ignored."""
        try:
            notice = msgspec.convert(msgpack.unpackb(value), LeavingNotice)
        except (msgpack.UnpackException, msgspec.ValidationError, ValueError, TypeError) as error:
            _log.warning(
                "Ignored a malformed leaving signal from a peer.",
                code=int(ResultCode.MALFORMED_REQUEST),
                problem=str(error),
            )
            return
        server = self._touch(notice.replica)
        self.signal_counts["peer"] += 1
        if notice.boot_id:
            self._add_boot(server, notice.boot_id)
        else:
            server.bootless_until_ms = self._clock.now_ms() + MAX_SIGNAL_LAG_MS
        self._update(notice.replica, server)

    def _record_own_signal(self, replica: str, server: _Server, boot_id: str) -> None:
        """Record a signal seen by this host itself and publish what is new to the other hosts."""
        now_ms = self._clock.now_ms()
        if boot_id:
            if self._add_boot(server, boot_id):
                self._publish_signal(replica, boot_id, BOOT_SIGNAL_TTL_MS)
            return
        server.bootless_until_ms = now_ms + MAX_SIGNAL_LAG_MS
        if now_ms - server.published_ms >= REPUBLISH_INTERVAL_MS:
            server.published_ms = now_ms
            self._publish_signal(replica, "", MAX_SIGNAL_LAG_MS)

    def _publish_signal(self, replica: str, boot_id: str, ttl_ms: float) -> None:
        """Publish a signal to the other hosts."""
        value: bytes = msgpack.packb([replica, boot_id])
        key = f"{replica}/{boot_id}"
        self._publish(key, value, ttl_ms)

    def _add_boot(self, server: _Server, boot_id: str) -> bool:
        """Record a leaving boot and return whether it was new."""
        if boot_id in server.leaving_boots:
            return False
        server.leaving_boots[boot_id] = None
        if len(server.leaving_boots) > MAX_BOOTS:
            server.leaving_boots.popitem(last=False)
        return True

    def _update(self, replica: str, server: _Server) -> None:
        """Recompute whether a backend server may get new work."""
        if server.boot_id:
            leaving = server.boot_id in server.leaving_boots
        else:
            leaving = bool(server.leaving_boots)
        leaving = leaving or server.bootless_until_ms > self._clock.now_ms()
        if leaving == (replica in self._blocked):
            return
        if leaving:
            self._blocked.add(replica)
            _log.info("Backend server is leaving.", replica=replica, boot_id=server.boot_id)
        else:
            self._blocked.discard(replica)
            _log.info("Backend server accepts work again.", replica=replica, boot_id=server.boot_id)
        self._on_change(replica)

    def _touch(self, replica: str) -> _Server:
        """Return the state of a backend server and mark it as most recently used."""
        server = self._servers.get(replica)
        if server is None:
            server = self._servers[replica] = _Server()
        self._servers.move_to_end(replica)
        if len(self._servers) > MAX_SERVERS:
            oldest, _ = self._servers.popitem(last=False)
            self._blocked.discard(oldest)
        return server


def create_leaving_publisher(peers: Peers) -> Callable[[str, bytes, float], None]:
    """Return a function that publishes to all hosts that a backend server is leaving."""

    def publish(key: str, value: bytes, ttl_ms: float) -> None:
        peers.publish(TOPIC, key, value, ttl_ms)

    return publish


def create_leaving_servers(
    clock: Clock,
    publish: Callable[[str, bytes, float], None],
    on_change: Callable[[str], None],
) -> LeavingServers:
    """Create the tracker of one host.

    Args:
        clock: Tells the time.
        publish: Publishes a key and a value to the other hosts, with a time to live in ms.
        on_change: Called with a backend server whose state changed.

    Returns:
        The tracker, without any signals.
    """
    return LeavingServers(clock, publish, on_change)
