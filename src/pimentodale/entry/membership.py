"""Joins the peers with the slices that share state through them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pimentodale.addresses import Address, parse_address
from pimentodale.configuration.sharing import (
    TOPIC as CONFIGURATION_TOPIC,
)
from pimentodale.configuration.sharing import (
    SharingMeans,
    create_configuration_sharing,
)
from pimentodale.leaving.leaving_servers import TOPIC as LEAVING_TOPIC
from pimentodale.peers.peers import create_peers
from pimentodale.peers.settings import PeersSettings
from pimentodale.quarantine.crash_sharing import share_crashes
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
"""Topic of claims on places for trials."""


def create_entry_peers(
    settings: EntrySettings, clock: Clock, list_peers: Callable[[], Sequence[Address]]
) -> Peers:
    """Return this host's membership, not running yet.

    Args:
        settings: The host's place and addresses.
        clock: Tells the time.
        list_peers: Returns the peer addresses that the host list shows.
    """
    own = PeersSettings(
        host=settings.host,
        failure_domain=settings.failure_domain,
        region=settings.region,
        listen=parse_address(settings.peer_listen),
        advertise=parse_address(settings.peer_advertise) if settings.peer_advertise else None,
    )
    return create_peers(own, clock, list_peers)


def follow_signs(peers: Peers, fleet: Fleet) -> None:
    """Have the fleet take other hosts' signs that backend servers are leaving."""
    peers.subscribe(LEAVING_TOPIC, lambda update: fleet.apply_leaving_notice(update.value))


def share_configuration(
    follower: Follower,
    peers: Peers,
    clock: Clock,
    rng: random.Random,
    background: BackgroundTasks,
) -> None:
    """Have accepted configurations spread through peers."""
    means = SharingMeans(peers.publish, peers.request, peers.linked_hosts, peers.is_watcher)
    sharing = create_configuration_sharing(follower, means, clock, rng)

    def take(update: EntryUpdate) -> None:
        sharing.note_revision(update.owner, update.value)

    peers.handle(CONFIGURATION_TOPIC, sharing.answer)
    peers.subscribe(CONFIGURATION_TOPIC, take)
    follower.on_change(sharing.note_change)
    background.start(sharing.run(), "configuration sharing")


def show_peers(peers: Peers, metrics: Metrics) -> None:
    """Show what the peers cost and who is known among the metrics."""
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
    """Have quarantine entries and claims on trials spread through peers and the service."""
    register = quarantine.register
    writer = create_store_writer(clock, store, STRIKE_RETENTION_MS)

    def tell_entry(entry: QuarantineEntry) -> None:
        peers.publish(
            QUARANTINE_TOPIC, entry.fingerprint, pack_entry(entry), CONVICTION_RETENTION_MS
        )

    def tell_claim(claim: TrialClaim) -> None:
        peers.publish(TRIAL_TOPIC, claim.fingerprint, pack_claim(claim), CLAIM_RETENTION_MS)

    def take_entry(update: EntryUpdate) -> None:
        entry = unpack_entry(update.value)
        if entry is not None:
            register.receive(entry)

    def take_claim(update: EntryUpdate) -> None:
        claim = unpack_claim(update.value)
        if claim is not None:
            quarantine.trials.claims.receive(claim)

    share_entries(register, writer)
    share_crashes(crashes, peers, writer.put, peers.own.host)
    register.subscribe(tell_entry)
    quarantine.trials.claims.connect(tell_claim)
    peers.subscribe(QUARANTINE_TOPIC, take_entry)
    peers.subscribe(TRIAL_TOPIC, take_claim)
    background.start(writer.run(), "quarantine writer")
    followed = follow_entries(register, crashes, clock, store, peers.is_watcher)
    background.start(followed, "quarantine follower")
