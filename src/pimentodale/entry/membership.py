"""Joins membership to the rest of an entry host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.addresses import parse_address
from pimentodale.leaving.servers import TOPIC
from pimentodale.peers.peers import create_peers
from pimentodale.peers.settings import PeersSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pimentodale.addresses import Address
    from pimentodale.clock import Clock
    from pimentodale.entry.settings import EntrySettings
    from pimentodale.peers.peers import Peers
    from pimentodale.routing.fleet import Fleet


def create_entry_peers(
    settings: EntrySettings, clock: Clock, list_entry_targets: Callable[[], Sequence[Address]]
) -> Peers:
    """Create the membership of an entry host.

    Args:
        settings: Its place and addresses.
        clock: Tells the time.
        list_entry_targets: Returns the peer addresses that the host list shows.

    Returns:
        The membership, not yet running.

    Raises:
        BadAddressError: If an address in the settings has another form.
    """
    peers_settings = PeersSettings(
        host=settings.host,
        failure_domain=settings.failure_domain,
        region=settings.region,
        listen=parse_address(settings.peer_listen),
        advertise=parse_address(settings.peer_advertise) if settings.peer_advertise else None,
    )
    return create_peers(peers_settings, clock, list_entry_targets)


def create_sign_publisher(peers: Peers) -> Callable[[str, bytes, float], None]:
    """Return a closure that tells all hosts that a backend server is leaving."""

    def publish(key: str, value: bytes, ttl_ms: float) -> None:
        peers.publish(TOPIC, key, value, ttl_ms)

    return publish


def follow_signs(peers: Peers, fleet: Fleet) -> None:
    """Have the fleet take other hosts' signs that backend servers are leaving."""
    peers.subscribe(TOPIC, lambda update: fleet.take_sign(update.value))
