"""Registers this host in the store so that other hosts can discover it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import Put
from pimentodale.logs import get_log
from pimentodale.site.view import HOST_PREFIX

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

RECORD_TTL_MS: Final = 20_000.0
"""Time to live of the record. Liveness comes from the membership protocol, so an outdated record
only costs starting hosts a failed dial."""

RENEW_INTERVAL_MS: Final = 6_000.0
"""Interval between renewals: a third of the time to live, so that two may be lost."""

POLL_INTERVAL_MS: Final = 500.0
"""Interval between checks that the record still exists."""

RETRY_DELAY_MS: Final = 500.0
"""Delay before a retry after a failed store call."""

REWRITE_SPREAD_MS: Final = 1_200.0
"""Maximum delay before a lost record is written again, as all hosts of a site may do at once."""

_log = get_log("registration")


async def keep_registered(
    store: KeyValueStore,
    clock: Clock,
    rng: random.Random,
    host: str,
    address: str,
    is_listed: Callable[[], bool],
) -> None:
    """Register this host and renew its record until cancelled.

    Args:
        store: The platform's key-value store.
        clock: Time source.
        rng: Spreads the hosts of a site that write a lost record again.
        host: Name of this host.
        address: Address where its peers reach it.
        is_listed: Returns whether this host's mirror of the store contains the record.
    """
    while True:
        granted = await store.grant_lease(RECORD_TTL_MS)
        if granted.is_error():
            await clock.sleep_ms(RETRY_DELAY_MS)
            continue
        put = Put(HOST_PREFIX + host, address.encode(), granted.ok)
        written = await store.txn([], [put])
        if written.is_error():
            _log.warning("Registering this host failed.", reason=written.error.message)
            await clock.sleep_ms(RETRY_DELAY_MS)
            continue
        while True:
            if await _wait_for_renewal(clock, is_listed):
                await clock.sleep_ms(REWRITE_SPREAD_MS * rng.random())
            kept = await store.keep_lease(granted.ok)
            if kept.is_ok() and kept.ok <= 0:
                _log.warning("This host's record expired; registering again.")
                break


async def _wait_for_renewal(clock: Clock, is_listed: Callable[[], bool]) -> bool:
    """Wait until the renewal is due or the record is gone; a store outage may end leases early.

    Returns:
        Whether the record is gone.
    """
    due_ms = clock.now_ms() + RENEW_INTERVAL_MS
    was_listed = False
    while clock.now_ms() < due_ms:
        await clock.sleep_ms(POLL_INTERVAL_MS)
        if was_listed and not is_listed():
            return True
        was_listed = is_listed()
    return False
