"""Place, address and timing of one member."""

from __future__ import annotations

import msgspec

from pimentodale.addresses import Address


class PeersSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a member knows of itself and how it times its peers."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain that it stands in."""

    region: str = "default"
    """Region that it stands in."""

    listen: Address
    """Where it accepts peers; outgoing connections leave from the same IP number."""

    advertise: Address | None = None
    """Where peers reach it; `None` means `listen`."""

    heartbeat_ms: float = 500.0
    """Longest time without a message on a link while all hosts are linked."""

    silence_timeout_ms: float = 2_000.0
    """Silence on a link after which the peer is probed, while all hosts are linked."""

    probe_timeout_ms: float = 500.0
    """Longest time for one probe, connection included."""

    suspicion_timeout_ms: float = 2_000.0
    """How long a suspect may take to refute."""

    explore_interval_ms: float = 2_000.0
    """Mean time between probes of a host outside of the mesh."""

    gone_retention_ms: float = 600_000.0
    """How long a host that is gone is remembered and looked for."""

    urgent_linger_ms: float = 20.0
    """How long an urgent change waits for others to share its message."""

    full_mesh_hosts: int = 9
    """Largest number of hosts that are all linked with each other."""

    large_mesh_factor: float = 2.0
    """How much rarer heartbeats are, and how much longer silences may be, in a larger mesh."""

    dialled_links: int = 4
    """Links that a host opens in a larger mesh; as many come from others on average."""

    accepted_links: int = 8
    """Most links that a host accepts in a larger mesh."""

    indirect_probes: int = 3
    """Peers that are asked to probe a silent host."""

    max_entry_bytes: int = 4 * 1024 * 1024
    """Most bytes of entries that are kept; the soonest to expire go first."""
