"""Counters of the membership protocol: traffic, processor time and decisions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class PeerCounters:
    """Totals since the process started."""

    sent_bytes: int = 0
    """Bytes written to peers."""

    received_bytes: int = 0
    """Bytes read from peers."""

    sent_messages: int = 0
    """Messages written to peers."""

    received_messages: int = 0
    """Messages read from peers."""

    sent_records: int = 0
    """Member records and entries sent to peers."""

    redundant_records: int = 0
    """Member records and entries received that were not newer than this host's copy."""

    cpu_ms: float = 0.0
    """Processor time spent on periodic work and received messages, in milliseconds."""

    dials: int = 0
    """Connection attempts, including those of probes."""

    suspicions: int = 0
    """Members that this host itself declared suspect."""

    averted_suspicions: int = 0
    """Unreachable members that another host could reach, so that no suspicion was raised."""

    refutations: int = 0
    """Records about this host that it refuted with a higher incarnation."""

    pauses: int = 0
    """Times that this host's timers were so late that the process must have been paused."""

    malformed_messages: int = 0
    """Connections closed because their bytes were not a valid message."""
