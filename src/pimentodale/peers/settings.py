"""Settings of one member: failure domain, region, addresses, timing and limits."""

from __future__ import annotations

import msgspec

from pimentodale.addresses import Address


class PeersSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a member, and the timing and limits of its membership protocol."""

    host: str
    """Name of this host; unique within the site."""

    failure_domain: str
    """Failure domain of this host."""

    region: str = "default"
    """Region of this host."""

    listen: Address
    """Address on which it accepts peers; outgoing connections use the same local IP address."""

    advertise: Address | None = None
    """Address at which peers reach it; `None` means `listen`."""

    heartbeat_ms: float = 500.0
    """Maximum time between messages on a link while all hosts are linked."""

    silence_timeout_ms: float = 2_000.0
    """Silence on a link after which the peer is probed, while all hosts are linked."""

    probe_timeout_ms: float = 500.0
    """Time limit of one probe, including the connection."""

    suspicion_timeout_ms: float = 2_000.0
    """Time within which a suspect must refute before it is declared gone."""

    explore_interval_ms: float = 2_000.0
    """Mean time between probes of hosts that are not linked."""

    gone_retention_ms: float = 600_000.0
    """How long a gone host is retained and probed."""

    urgent_linger_ms: float = 20.0
    """How long an urgent change waits so that further changes are batched with it."""

    full_mesh_hosts: int = 9
    """Maximum number of hosts up to which every host links to every other."""

    large_mesh_factor: float = 2.0
    """Factor on the heartbeat interval and silence time-out in a larger mesh."""

    dialled_links: int = 4
    """Number of links that a host opens in a larger mesh; on average it accepts as many."""

    accepted_links: int = 8
    """Maximum number of links that a host accepts in a larger mesh."""

    indirect_probes: int = 3
    """Number of peers that are asked to probe a silent host."""

    max_entry_bytes: int = 4 * 1024 * 1024
    """Maximum total size of the entries; those that expire soonest are evicted first."""
