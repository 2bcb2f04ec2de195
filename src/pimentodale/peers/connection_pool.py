"""Pool of idle connections that are reused for requests under one topic to one host."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentodale.addresses import Address
    from pimentodale.peers.message_stream import MessageStream


class ConnectionPool:
    """Holds at most one idle connection for each address and topic."""

    __slots__ = ("_idle",)

    def __init__(self) -> None:
        self._idle: dict[tuple[Address, str], tuple[MessageStream, float]] = {}

    def take(self, address: Address, topic: str) -> MessageStream | None:
        """Remove and return the idle connection for an address and topic, if there is one."""
        stream, _ = self._idle.pop((address, topic), (None, 0.0))
        return stream

    def put(self, address: Address, topic: str, stream: MessageStream, now_ms: float) -> None:
        """Store an idle connection; a second one for the same address and topic is closed."""
        if (address, topic) in self._idle:
            stream.close()
            return
        self._idle[address, topic] = (stream, now_ms)

    def close_idle(self, before_ms: float) -> None:
        """Close the connections that became idle at or before a time."""
        for key, (stream, since_ms) in list(self._idle.items()):
            if since_ms <= before_ms:
                del self._idle[key]
                stream.close()
