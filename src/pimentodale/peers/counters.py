"""What membership costs and what it decided."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PeerCounters:
    """Totals since the start."""

    sent_bytes: int = 0
    """Bytes written to peers."""

    received_bytes: int = 0
    """Bytes read from peers."""

    sent_messages: int = 0
    """Messages written to peers."""

    received_messages: int = 0
    """Messages read from peers."""

    sent_records: int = 0
    """Member records and entries written."""

    useless_records: int = 0
    """Member records and entries read that this host had already."""

    cpu_ms: float = 0.0
    """Processor time spent on ticks and messages."""

    dials: int = 0
    """Connections opened, probes included."""

    suspicions: int = 0
    """Members that this host itself came to suspect."""

    averted_suspicions: int = 0
    """Silent members that another host could reach."""

    refutations: int = 0
    """Words about this host that it refuted."""

    pauses: int = 0
    """Times that this host found itself to have been frozen."""

    malformed_messages: int = 0
    """Connections closed because of bytes that were no message."""
