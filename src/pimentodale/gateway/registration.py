"""Keeps this host's record in the store, by which other hosts find it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import Put
from pimentodale.logs import get_log
from pimentodale.site.view import HOST_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

TTL_MS: Final = 20_000.0
"""Time to live of the record; membership between the hosts is what tells who lives, so that a record that
stays a while longer costs those who start a dial in vain."""

RENEW_MS: Final = 6_000.0
"""Pause between two renewals: a third of the time to live, so that two may be lost."""

LOOK_MS: Final = 500.0
"""Pause between two looks whether the record is still there."""

RETRY_MS: Final = 500.0
"""Pause after a store that did not answer."""

_log = get_log("registration")


async def keep_registered(
    store: KeyValueStore, clock: Clock, host: str, address: str, is_listed: Callable[[], bool]
) -> None:
    """Register this host and renew its record, for ever.

    Args:
        store: The store.
        clock: Tells the time.
        host: Name of this host.
        address: Where its peers reach it.
        is_listed: Whether this host's copy of the store shows the record.
    """
    while True:
        granted = await store.grant_lease(TTL_MS)
        if granted.is_error():
            await clock.sleep_ms(RETRY_MS)
            continue
        put = Put(HOST_PREFIX + host, address.encode(), granted.ok)
        written = await store.txn([], [put])
        if written.is_error():
            _log.warning("This host could not register.", reason=written.error.message)
            await clock.sleep_ms(RETRY_MS)
            continue
        while True:
            await _wait_for_renewal(clock, is_listed)
            kept = await store.keep_lease(granted.ok)
            if kept.is_ok() and kept.ok <= 0:
                _log.warning("This host's record lapsed; it registers anew.")
                break


async def _wait_for_renewal(clock: Clock, is_listed: Callable[[], bool]) -> None:
    """Wait until the record is due, or has gone: an outage of the store may end leases early."""
    due_ms = clock.now_ms() + RENEW_MS
    was_listed = False
    while clock.now_ms() < due_ms:
        await clock.sleep_ms(LOOK_MS)
        if was_listed and not is_listed():
            return
        was_listed = is_listed()
