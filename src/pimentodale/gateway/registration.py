"""Keeps this host's record in the store, by which other hosts find it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from pimentodale.clients.key_value import Put
from pimentodale.logs import get_log
from pimentodale.site.view import HOST_PREFIX

if TYPE_CHECKING:
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock

TTL_MS: Final = 6_000.0
"""Time to live of the record; membership between the hosts is what tells who lives."""

RENEW_MS: Final = 2_000.0
"""Pause between two renewals."""

RETRY_MS: Final = 500.0
"""Pause after a store that did not answer."""

_log = get_log("registration")


async def keep_registered(store: KeyValueStore, clock: Clock, host: str, address: str) -> None:
    """Register this host and renew its record, for ever."""
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
            await clock.sleep_ms(RENEW_MS)
            kept = await store.keep_lease(granted.ok)
            if kept.is_ok() and kept.ok <= 0:
                _log.warning("This host's record lapsed; it registers anew.")
                break
