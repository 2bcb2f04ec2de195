"""Selects neighbours and platform watchers by rendezvous hashing."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pimentodale.peers.messages import MemberRecord

_SCORE_BYTES: Final = 8
_SCORES_KEPT: Final = 4096


@lru_cache(maxsize=_SCORES_KEPT)
def score(subject: str, host: str) -> int:
    """Return the rendezvous score of a host for a subject; the highest is chosen."""
    digest = blake2b(f"{subject}\0{host}".encode(), digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest)


def rank(subject: str, hosts: Iterable[str]) -> list[str]:
    """Order hosts by their score for a subject, highest first.

    Args:
        subject: Key for which the hosts are ranked.
        hosts: Their names.

    Returns:
        The names in order.
    """
    return sorted(hosts, key=lambda host: score(subject, host), reverse=True)


def choose_neighbours(
    host: str, failure_domain: str, others: Sequence[MemberRecord], dialled_links: int
) -> list[str]:
    """Choose the peers that a host dials, half of them outside of its failure domain.

    Args:
        host: The host that dials.
        failure_domain: Its failure domain.
        others: Members to choose from.
        dialled_links: How many to choose.

    Returns:
        All others, the chosen ones first, so that the next in order replaces a host that refuses.
    """
    near = rank(host, (other.host for other in others if other.failure_domain == failure_domain))
    far = rank(host, (other.host for other in others if other.failure_domain != failure_domain))
    half = dialled_links // 2
    far_count = max(min(half, len(far)), dialled_links - len(near))
    near_count = dialled_links - min(far_count, len(far))
    chosen = near[:near_count] + far[:far_count]
    return chosen + rank(host, (*near[near_count:], *far[far_count:]))


def choose_watchers(failure_domain: str, hosts: Iterable[str], count: int) -> list[str]:
    """Choose the hosts of a failure domain that watch the platform for the others.

    Args:
        failure_domain: The failure domain.
        hosts: Its live hosts.
        count: Number of watchers to choose.

    Returns:
        Their names.
    """
    return rank(f"watcher/{failure_domain}", hosts)[:count]
