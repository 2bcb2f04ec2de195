"""Connects the peers with the components that share state through them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.addresses import Address, parse_address
from pimentodale.configuration.sharing import (
    TOPIC as CONFIGURATION_TOPIC,
)
from pimentodale.configuration.sharing import (
    SharingTransport,
    create_configuration_sharing,
)
from pimentodale.leaving.leaving_servers import TOPIC as LEAVING_TOPIC
from pimentodale.peers.peers import create_peers
from pimentodale.peers.settings import PeersSettings
from pimentodale.quarantine.crash_sharing import create_run_later, share_crashes
from pimentodale.quarantine.entries import pack_entry, unpack_entry
from pimentodale.quarantine.entry_sharing import follow_entries, share_entries
from pimentodale.quarantine.register import CONVICTION_RETENTION_MS, STRIKE_RETENTION_MS
from pimentodale.quarantine.store_writer import create_store_writer
from pimentodale.quarantine.trial_claims import CLAIM_RETENTION_MS, pack_claim, unpack_claim

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from pimentodale.background import BackgroundTasks
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.configuration.follower import Follower
    from pimentodale.entry.settings import EntrySettings
    from pimentodale.metrics import Metrics
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.peers import Peers
    from pimentodale.quarantine.crash_record import CrashRecord
    from pimentodale.quarantine.entries import QuarantineEntry
    from pimentodale.quarantine.quarantine import Quarantine
    from pimentodale.quarantine.trial_claims import TrialClaim
    from pimentodale.routing.fleet import Fleet

QUARANTINE_TOPIC = "quarantine"
"""Topic of quarantine entries."""

TRIAL_TOPIC = "quarantine-trial"
"""Topic of claims on quarantine trials."""


def create_entry_peers(
    settings: EntrySettings, clock: Clock, list_peers: Callable[[], Sequence[Address]]
) -> Peers:
    """Create this host's cluster membership without starting it.

    Args:
        settings: The host's settings.
        clock: Time source.
        list_peers: Returns the peer addresses in the host list.
    """
    own = PeersSettings(
        host=settings.host,
        failure_domain=settings.failure_domain,
        region=settings.region,
        listen=parse_address(settings.peer_listen),
        advertise=parse_address(settings.peer_advertise) if settings.peer_advertise else None,
    )
    return create_peers(own, clock, list_peers)


def subscribe_leaving_signals(peers: Peers, fleet: Fleet) -> None:
    """Apply other hosts' signals that backend servers are leaving to the fleet."""
    peers.subscribe(LEAVING_TOPIC, lambda update: fleet.apply_leaving_notice(update.value))


def share_configuration(
    follower: Follower,
    peers: Peers,
    clock: Clock,
    rng: random.Random,
    background: BackgroundTasks,
) -> None:
    """Propagate accepted configurations through the peers."""
    transport = SharingTransport(peers.publish, peers.request, peers.linked_hosts, peers.is_watcher)
    sharing = create_configuration_sharing(follower, transport, clock, rng)

    def receive_revision(update: EntryUpdate) -> None:
        sharing.note_revision(update.owner, update.value)

    peers.handle(CONFIGURATION_TOPIC, sharing.answer)
    peers.subscribe(CONFIGURATION_TOPIC, receive_revision)
    follower.on_change(sharing.note_change)
    background.start(sharing.run(), "configuration sharing")


def add_peer_metrics(peers: Peers, metrics: Metrics) -> None:
    """Register gauges for peer traffic, links and membership."""
    counters = peers.counters
    metrics.add_gauge("peer_sent_bytes", lambda: counters.sent_bytes)
    metrics.add_gauge("peer_received_bytes", lambda: counters.received_bytes)
    metrics.add_gauge("peer_suspicions", lambda: counters.suspicions)
    metrics.add_gauge("peer_links", lambda: len(peers.linked_hosts()))
    metrics.add_gauge("live_members", lambda: len(peers.live_members()))


def share_quarantine(
    quarantine: Quarantine,
    crashes: CrashRecord,
    peers: Peers,
    store: KeyValueStore,
    clock: Clock,
    background: BackgroundTasks,
) -> None:
    """Propagate quarantine entries and trial claims through the peers and the key-value store."""
    register = quarantine.register
    writer = create_store_writer(clock, store, STRIKE_RETENTION_MS)

    def publish_entry(entry: QuarantineEntry) -> None:
        peers.publish(
            QUARANTINE_TOPIC, entry.fingerprint, pack_entry(entry), CONVICTION_RETENTION_MS
        )

    def publish_claim(claim: TrialClaim) -> None:
        peers.publish(TRIAL_TOPIC, claim.fingerprint, pack_claim(claim), CLAIM_RETENTION_MS)

    def receive_entry(update: EntryUpdate) -> None:
        entry = unpack_entry(update.value)
        if entry is not None:
            register.receive(entry)

    def receive_claim(update: EntryUpdate) -> None:
        claim = unpack_claim(update.value)
        if claim is not None:
            quarantine.trials.claims.receive(claim)

    share_entries(register, writer)
    run_later = create_run_later(clock, background)
    share_crashes(crashes, peers, writer.put, peers.own.host, run_later=run_later)
    register.subscribe(publish_entry)
    quarantine.trials.claims.connect(publish_claim)
    peers.subscribe(QUARANTINE_TOPIC, receive_entry)
    peers.subscribe(TRIAL_TOPIC, receive_claim)
    background.start(writer.run(), "quarantine writer")
    following = follow_entries(register, crashes, clock, store, peers.is_watcher)
    background.start(following, "quarantine follower")
