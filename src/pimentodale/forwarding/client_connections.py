"""The limit on client connections: idle ones are closed first, then that of the slowest body."""

from __future__ import annotations

import math
import resource
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.forwarding.client_memory import ClientMemory
    from pimentodale.forwarding.client_stream import ClientStream

CLIENT_PART: Final = 0.75
"""Part of the process's descriptors for clients; the rest is for replicas, peers, the store and
metrics."""

UNLIMITED_FDS: Final = 65_536
"""Descriptors that are assumed where the system sets no limit."""

_log = get_log("request")


class ClientConnections:
    """The client connections of a process."""

    __slots__ = ("_memory", "find_slowest", "idle_streams", "max_connections", "open_connections")

    def __init__(self, memory: ClientMemory, max_connections: int) -> None:
        self._memory = memory
        self.max_connections = max_connections
        """Maximum number of client connections."""
        self.open_connections = 0
        """Client connections that have a descriptor."""
        self.idle_streams: dict[ClientStream, None] = {}
        """Connections without a request in progress, the one that is idle for longest first."""
        self.find_slowest: Callable[[], ClientStream | None] = lambda: None
        """Returns the connection of the body that arrives slowest."""

    def admit(self, create: Callable[[], ClientStream]) -> ClientStream | None:
        """Count a connection that was accepted; others are closed if there are too many.

        Args:
            create: Returns the connection; its `note_closed` is that of this object.

        Returns:
            The connection; `None` if it was closed as no other could be.
        """
        while self.open_connections >= self.max_connections:
            if not self._close_one():
                break
        is_over = self.open_connections >= self.max_connections
        self.open_connections += 1
        stream = create()
        if is_over:
            stream.close()
            return None
        self.idle_streams[stream] = None
        return stream

    def note_closed(self, stream: ClientStream) -> None:
        """Note that a connection has returned its descriptor."""
        self.open_connections -= 1
        self.idle_streams.pop(stream, None)

    def note_busy(self, stream: ClientStream) -> None:
        """Note that a connection has a request in progress."""
        self.idle_streams.pop(stream, None)

    def note_idle(self, stream: ClientStream) -> None:
        """Note that a connection waits for its next request."""
        self.idle_streams.pop(stream, None)
        if not stream.closed():
            self.idle_streams[stream] = None

    def _close_one(self) -> bool:
        """Close a connection; returns whether one could be closed."""
        idle = next(iter(self.idle_streams), None)
        closed = self.find_slowest() if idle is None else idle
        refusals = self._memory.count_refusal("connections")
        if refusals:
            _log.info(
                "There are too many client connections; one was closed.",
                refusals=refusals,
                connections=self.open_connections,
                was_idle=idle is not None,
            )
        if closed is None or closed.closed():
            return False
        closed.close()
        return True


def max_connections_of(max_fds: int) -> int:
    """Return the limit of client connections.

    Args:
        max_fds: Descriptors of the process; 0 for the system's limit.
    """
    if max_fds <= 0:
        system_fds = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        max_fds = system_fds if 0 < system_fds < UNLIMITED_FDS else UNLIMITED_FDS
    return max(1, math.floor(max_fds * CLIENT_PART))
