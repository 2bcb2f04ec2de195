"""The attempts of one repeatable call, which overlap: a silent one is listened to beside the next.

Silence doesn't show that an attempt is lost: its replica may pause and go on. So an attempt that is
silent gets another one beside it, if the limits allow one and there is a replica; the first whole
reply is the answer. Without another one the call waits for the silent ones until its deadline.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.clients.http_call import fetch
from pimentodale.clock import MS_PER_S

if TYPE_CHECKING:
    from expression import Result

    from pimentodale.clients.http_call import CallFault, CallReply, CallRequest
    from pimentodale.clock import Clock
    from pimentodale.ledger.run_once import WorkFault
    from pimentodale.services.messages import ServiceReplica

MIN_REPLICA_ATTEMPT_MS: Final = 100.0
"""An attempt is silent after half of the time left, unless that is shorter than this; it is then
waited for until the deadline."""

RECHECK_MS: Final = 100.0
"""Interval at which another replica is looked for while all attempts are silent."""


@dataclass(slots=True, eq=False)
class ReplicaAttempt:
    """An attempt in progress."""

    replica: ServiceReplica
    """The replica."""

    silent_at_ms: float
    """When it counts as silent."""

    exchange: asyncio.Task[Result[CallReply, CallFault]] | None = None
    """The exchange; it ends at the call's deadline at the latest."""

    is_sent: bool = False
    """Whether the replica may have got any byte."""

    is_silent: bool = False
    """Whether it counts as silent."""


@dataclass(slots=True)
class CallAttempts:
    """The attempts of one call."""

    running: list[ReplicaAttempt] = field(default_factory=list)
    """Attempts in progress, oldest first."""

    tried: set[str] = field(default_factory=set)
    """Replicas that have got the call."""

    sent: bool = False
    """Whether an attempt that has ended may have run the call."""

    last: WorkFault | None = None
    """How the latest failed attempt ended."""

    busy: CallReply | None = None
    """The latest reply of a replica that accepts no calls."""

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the call."""
        return self.sent or any(attempt.is_sent for attempt in self.running)

    @property
    def all_silent(self) -> bool:
        """Whether no attempt in progress is still expected to answer soon."""
        return all(attempt.is_silent for attempt in self.running)

    def start(
        self, replica: ServiceReplica, request: CallRequest, clock: Clock, left_ms: float
    ) -> None:
        """Start an attempt.

        Args:
            replica: The replica.
            request: The request as sent to it.
            clock: Tells the time.
            left_ms: Time left until the call's deadline.
        """
        patience_ms = left_ms if left_ms / 2 < MIN_REPLICA_ATTEMPT_MS else left_ms / 2
        attempt = ReplicaAttempt(replica, clock.now_ms() + patience_ms)

        async def note_sent() -> bool:
            attempt.is_sent = True
            return True

        exchange = fetch(replica.address, request, left_ms, note_sent)
        attempt.exchange = asyncio.ensure_future(exchange)
        self.tried.add(replica.name)
        self.running.append(attempt)

    async def wait(self, clock: Clock) -> list[ReplicaAttempt]:
        """Wait until an attempt ends or another one may start.

        Returns:
            The attempts that have ended; they are no longer in `running`.
        """
        exchanges = {attempt.exchange for attempt in self.running if attempt.exchange is not None}
        timeout_ms = self.running[-1].silent_at_ms - clock.now_ms()
        if self.all_silent:
            timeout_ms = RECHECK_MS
        timeout_s = max(0.0, timeout_ms) / MS_PER_S
        done, _ = await asyncio.wait(
            exchanges, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        ended = [attempt for attempt in self.running if attempt.exchange in done]
        self.running = [attempt for attempt in self.running if attempt.exchange not in done]
        return ended

    def close(self) -> None:
        """End the attempts that are still in progress."""
        for attempt in self.running:
            if attempt.exchange is not None:
                attempt.exchange.cancel()
