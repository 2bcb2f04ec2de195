"""Connections that are kept between two questions of one kind to the same host."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pimentodale.addresses import Address
    from pimentodale.peers.message_stream import MessageStream


class KeptStreams:
    """At most one idle connection for each address and topic."""

    __slots__ = ("_idle",)

    def __init__(self) -> None:
        self._idle: dict[tuple[Address, str], tuple[MessageStream, float]] = {}

    def take(self, address: Address, topic: str) -> MessageStream | None:
        """Take the idle connection for a topic's questions, if there is one."""
        stream, _ = self._idle.pop((address, topic), (None, 0.0))
        return stream

    def put(self, address: Address, topic: str, stream: MessageStream, now_ms: float) -> None:
        """Keep a connection; a second one for the same questions is closed."""
        if (address, topic) in self._idle:
            stream.close()
            return
        self._idle[address, topic] = (stream, now_ms)

    def close_idle(self, before_ms: float) -> None:
        """Close the connections that have been idle since a time or longer."""
        for key, (stream, since_ms) in list(self._idle.items()):
            if since_ms <= before_ms:
                del self._idle[key]
                stream.close()
