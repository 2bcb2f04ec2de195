"""The state of a client's stream across its sends, and the state shared by a host's streams.

A send is one try of this host to run the stream on a path of replicas.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from pimentodale.forwarding.first_events import FirstEventTimes
from pimentodale.forwarding.path_queue import PathQueue, create_path_queue
from pimentodale.forwarding.retry_schedule import RetrySchedule, create_retry_schedule
from pimentodale.forwarding.running_sends import (
    RunningSends,
    StreamAlerts,
    create_running_sends,
)
from pimentodale.forwarding.stalls import StallReports
from pimentodale.forwarding.used_heads import UsedHeads

if TYPE_CHECKING:
    from pimentodale.clock import Clock
    from pimentodale.forwarding.messages import RefusalReason
    from pimentodale.placement.paths import Path
    from pimentodale.site.replica_health import Incarnation


DEFAULT_DRAIN_MS: Final = 2_000.0
"""Drain time of replicas unless the settings say otherwise."""


class SendEnd(Enum):
    """How one send of a stream ended."""

    WHOLE = "whole"
    PASSED_ON = "passed on"
    """The replica's own error response was relayed to the client."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"
    """The head replica has restarted, or the request is in quarantine."""

    SUPERSEDED = "superseded"
    """Another send of the stream had the next event first."""

    TIMED_OUT = "timed out"


@dataclass(slots=True)
class SharedStreamState:
    """State shared by the streams of a host."""

    retry_schedule: RetrySchedule
    """Retry-After times of refused clients."""

    queue: PathQueue
    """Streams that wait for capacity."""

    running: RunningSends
    """Index of the running sends by replica."""

    reports: StallReports = field(default_factory=StallReports)
    """Cache of recent replica reports."""

    first_events: FirstEventTimes = field(default_factory=FirstEventTimes)
    """Recent times to the first event."""


def create_shared_stream_state(
    clock: Clock, drain_ms: float = DEFAULT_DRAIN_MS
) -> SharedStreamState:
    """Return the initial shared state.

    Args:
        clock: Tells the time.
        drain_ms: How long a replica serves on after it has announced its departure.
    """
    return SharedStreamState(
        create_retry_schedule(clock),
        create_path_queue(clock),
        create_running_sends(clock, drain_ms),
    )


@dataclass(slots=True, eq=False)
class StreamSend:
    """One send of a stream."""

    path: Path
    """The path of replicas; it changes if the send is moved."""

    head_started_ms: int = 0
    """Start time of the head replica; 0 if it is unknown."""

    sent_ms: float = 0.0
    """When it was sent."""

    active_ms: float = 0.0
    """When it was sent or moved, or had its last event."""

    events: int = 0
    """Number of events relayed from it."""

    is_past_start: bool = False
    """Whether it had so many events that its replicas are past the start of the request."""

    executed_on: list[Incarnation] = field(default_factory=list)
    """Replicas of the path that were alive when it was sent."""

    is_head_at_fault: bool = True
    """Whether the head replica is at fault if there are no more events."""

    is_writing: bool = False
    """Whether it waits for the client to read, so that no event can come from it."""

    refused: RefusalReason | None = None
    """Why it was refused; `None` if it was not."""

    faulty_address: str = ""
    """Address of the replica at fault in a refusal."""

    is_observed: bool = False
    """Whether its replicas are observed for a crash."""

    kept_reason: str = ""
    """Why there is no successor for it although it is silent, as last logged."""

    @property
    def head_id(self) -> str:
        """Id of the head replica."""
        return self.path.parts[0].replica_id

    @property
    def head(self) -> Incarnation:
        """The head replica."""
        return self.head_id, self.head_started_ms


@dataclass(slots=True)
class StreamState:
    """State of a client's stream across its sends."""

    last_event_id: str | None
    """Id of the last event that the client has; initially the one it asked to resume after."""

    tokens: float
    """Tokens that the stream holds on average."""

    avoid: set[str] = field(default_factory=set)
    """Ids of replicas that must not be used again."""

    used_heads: UsedHeads = field(default_factory=UsedHeads)
    """Head replicas at which the stream may have run."""

    events: int = 0
    """Number of relayed events."""

    possible_runs: int = 0
    """Number of sends that may have started to run; a refusal takes its send back."""

    broken_at_start: int = 0
    """Number of sends that failed before the first event: the request may crash its replicas."""

    alerts: StreamAlerts = field(default_factory=StreamAlerts)
    """Replicas of its sends that leave or are lost."""

    active: list[StreamSend] = field(default_factory=list)
    """Sends in progress, oldest first."""

    relayed_from: StreamSend | None = None
    """The send whose events reach the client; `None` until one of those in progress has the next
    event."""

    executed_on: set[Incarnation] = field(default_factory=set)
    """Replicas of all sends that were alive when they were sent."""

    is_over: bool = False
    """Whether the response to the client is complete."""

    status: int = 0
    """HTTP status of the response to the client; 0 until it has begun."""

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have started to run the request."""
        return self.possible_runs > 0

    def claim(self, send: StreamSend) -> bool:
        """Return whether a send may relay the next event, which the first to have it does."""
        if self.is_over:
            return False
        if self.relayed_from is None:
            self.relayed_from = send
        return self.relayed_from is send
