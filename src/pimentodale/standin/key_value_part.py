"""State, faults and counts of the running stand-in key-value service."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Literal

import msgspec

from pimentodale.clients.etcd_messages import GatewayError
from pimentodale.clock import MS_PER_S
from pimentodale.standin.http_parts import Listener, Outage, PartHandler, RateLimit
from pimentodale.standin.key_value_state import KeyValueState

if TYPE_CHECKING:
    from pimentodale.clock import Clock

LimitMode = Literal["refuse", "delay"]
"""What a call above the rate gets: HTTP 429, or a wait."""


class KeyValueFaults(Outage, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of `POST /admin/faults`; it replaces all faults, so `{}` mends everything."""

    lose_replies: int = 0
    """How many of the next writes take effect and then lose their answer."""

    lose_reply_ratio: float = 0.0
    """Share of writes that lose their answer, drawn with `seed`."""

    seed: int = 0
    """Seed of those draws; they start anew with each change of the faults."""

    writes_per_s: float = 0.0
    """Most writes a second; 0 for no limit."""

    reads_per_s: float = 0.0
    """Most reads a second; 0 for no limit."""

    limit_mode: LimitMode = "refuse"
    """What a call above the rate gets."""


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` for callers."""

    admin_listen: str = ""
    """`IP:PORT` for the admin paths alone; stays open when `listen` refuses."""

    latency_ms: float = 0.0
    """Time that each call takes."""

    history_events: int = 10_000
    """Events kept for watches that start in the past."""

    progress_interval_ms: float = 1000.0
    """How often a quiet watch hears the revision."""

    max_request_bytes: int = 1_572_864
    """Largest request."""

    max_txn_ops: int = 128
    """Most steps of a transaction."""

    faults: KeyValueFaults = KeyValueFaults()
    """Faults from the start."""


class CallCounts(msgspec.Struct):
    """Answer of `GET /admin/calls`: calls since the start, those that failed too."""

    range: int = 0
    """Reads."""

    txn: int = 0
    """Transactions, and single puts and removals."""

    lease_grant: int = 0
    """Leases asked for."""

    lease_keepalive: int = 0
    """Renewals."""

    lease_revoke: int = 0
    """Leases ended."""

    watch: int = 0
    """Watches opened."""

    watches_open: int = 0
    """Watches that wait now."""

    refused: int = 0
    """Calls among the above that were above the rate."""

    lost_replies: int = 0
    """Writes among the above that took effect and lost their answer."""

    request_bytes: int = 0
    """Octets of request bodies."""

    reply_bytes: int = 0
    """Octets of answers."""


class KeyValuePart:
    """The running stand-in."""

    __slots__ = (
        "calls",
        "changed",
        "clock",
        "epoch",
        "faults",
        "listener",
        "read_limit",
        "replies_to_lose",
        "rng",
        "settings",
        "snapshot",
        "state",
        "write_limit",
    )

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.set_faults(settings.faults)
        self.state = KeyValueState(settings.history_events)
        self.snapshot = self.state.copy()
        self.calls = CallCounts()
        self.changed = asyncio.Event()
        self.epoch = 0
        self.read_limit = RateLimit(clock)
        self.write_limit = RateLimit(clock)
        self.listener: Listener | None = None

    def set_faults(self, faults: KeyValueFaults) -> None:
        """Replace the faults and start their draws anew."""
        self.faults = faults
        self.replies_to_lose = faults.lose_replies
        self.rng = random.Random(faults.seed)

    def notify(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self) -> None:
        """End leases whose time is over."""
        if self.state.expire(self.clock):
            self.notify()

    def loses_reply(self) -> bool:
        """Whether the write that just took effect loses its answer."""
        lost = self.replies_to_lose > 0 or self.rng.random() < self.faults.lose_reply_ratio
        self.replies_to_lose = max(0, self.replies_to_lose - 1)
        self.calls.lost_replies += lost
        return lost


class KeyValueHandler(PartHandler):
    """What the service's calls share."""

    part: KeyValuePart
    """The running stand-in."""

    def initialize(self, part: KeyValuePart) -> None:
        """Take the part."""
        self.part = part

    async def begin(self, write: bool) -> bool:
        """Meet faults, rates and latency; return whether the call goes on."""
        part = self.part
        part.calls.request_bytes += len(self.request.body)
        if not await self.meet_outage(part.faults):
            return False
        limit = part.write_limit if write else part.read_limit
        rate = part.faults.writes_per_s if write else part.faults.reads_per_s
        wait_ms = limit.wait_ms(rate) if rate else 0.0
        if wait_ms and part.faults.limit_mode == "refuse":
            limit.give_back(rate)
            part.calls.refused += 1
            self.fail(429, 8, "etcdserver: too many requests")
            return False
        wait_ms += part.settings.latency_ms
        if wait_ms:
            await asyncio.sleep(wait_ms / MS_PER_S)
        if part.faults.down:
            self.reset_connection()
            return False
        if len(self.request.body) > part.settings.max_request_bytes:
            self.fail(400, 3, "etcdserver: request is too large")
            return False
        return True

    async def end(self, value: object, write: bool) -> None:
        """Answer, unless the answer is to be lost."""
        part = self.part
        if write:
            part.notify()
            if part.loses_reply():
                self.reset_connection()
                return
        if part.faults.reply_delay_ms:
            await asyncio.sleep(part.faults.reply_delay_ms / MS_PER_S)
        part.calls.reply_bytes += len(msgspec.json.encode(value))
        self.reply(value)

    def fail(self, status: int, code: int, message: str) -> None:
        """Answer as the gateway does when it refuses."""
        self.set_status(status)
        self.reply(GatewayError(message, code, message))
