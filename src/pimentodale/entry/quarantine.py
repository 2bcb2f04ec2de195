"""Joins a host's quarantine to the key-value service and to the other entry hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.quarantine.claims import CLAIM_RETENTION_MS, pack_claim, unpack_claim
from pimentodale.quarantine.entries import pack_entry, unpack_entry
from pimentodale.quarantine.quarantine import create_quarantine
from pimentodale.quarantine.sharing import EntryWriter, follow_entries

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.peers import Peers
    from pimentodale.platform.key_value import KeyValueStore
    from pimentodale.quarantine.claims import TrialClaim
    from pimentodale.quarantine.entries import QuarantineEntry
    from pimentodale.quarantine.quarantine import Quarantine

ENTRIES_TOPIC: Final = "quarantine"
"""Topic of entries between peers."""

CLAIMS_TOPIC: Final = "quarantine-trials"
"""Topic of trials' places between peers."""


def start_quarantine(
    host: str,
    clock: Clock,
    background: BackgroundTasks,
    store: KeyValueStore,
    is_watcher: Callable[[], bool],
) -> Quarantine:
    """Build a host's quarantine and keep its entries in the key-value service.

    Args:
        host: Name of this host.
        clock: Tells the time.
        background: Runs the writing and the watch.
        store: The key-value service.
        is_watcher: Whether this host watches the service for its failure domain.

    Returns:
        The quarantine.
    """
    quarantine = create_quarantine(host, clock, background, store)
    writer = EntryWriter(clock, store)
    quarantine.register.subscribe(writer.put)
    background.start(writer.run(), "quarantine: writing")
    following = follow_entries(quarantine.register, clock, store, is_watcher)
    background.start(following, "quarantine: following")
    return quarantine


def join_peers(quarantine: Quarantine, peers: Peers, clock: Clock) -> None:
    """Share entries and places of trials with the other entry hosts.

    Args:
        quarantine: This host's quarantine.
        peers: The other hosts.
        clock: Tells the time.
    """

    def publish_entry(entry: QuarantineEntry) -> None:
        ttl_ms = entry.expires_at_ms - clock.wall_ms()
        if ttl_ms > 0:
            peers.publish(ENTRIES_TOPIC, entry.fingerprint, pack_entry(entry), ttl_ms)

    def take_entry(update: EntryUpdate) -> None:
        entry = unpack_entry(update.value)
        if entry is not None:
            quarantine.register.offer(entry)

    def publish_claim(claim: TrialClaim) -> None:
        peers.publish(CLAIMS_TOPIC, claim.fingerprint, pack_claim(claim), CLAIM_RETENTION_MS)

    def take_claim(update: EntryUpdate) -> None:
        claim = unpack_claim(update.value)
        if claim is not None:
            quarantine.trials.claims.offer(claim)

    quarantine.register.subscribe(publish_entry)
    quarantine.trials.claims.connect(publish_claim)
    peers.subscribe(ENTRIES_TOPIC, take_entry)
    peers.subscribe(CLAIMS_TOPIC, take_claim)
