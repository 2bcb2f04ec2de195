"""The state of a client's stream across its sends, and the state shared by a host's streams.

A send is one try of this host to run the stream on a path of replicas.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from pimentodale.forwarding.first_events import MAX_HEADS, FirstEventTimes
from pimentodale.forwarding.path_queue import PathQueue, create_path_queue
from pimentodale.forwarding.retry_schedule import RetrySchedule, create_retry_schedule
from pimentodale.forwarding.stalls import StallReports
from pimentodale.forwarding.used_heads import UsedHeads

if TYPE_CHECKING:
    from pimentodale.clock import Clock
    from pimentodale.forwarding.messages import RefusalReason
    from pimentodale.placement.paths import Path
    from pimentodale.site.replica_health import Incarnation


class SendEnd(Enum):
    """How one send of a stream ended."""

    WHOLE = "whole"
    PASSED_ON = "passed on"
    """The replica's own error response was relayed to the client."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"
    """A replica of the path does not answer."""

    TIMED_OUT = "timed out"


@dataclass(slots=True)
class SharedStreamState:
    """State shared by the streams of a host."""

    retry_schedule: RetrySchedule
    """Retry-After times of refused clients."""

    queue: PathQueue
    """Streams that wait for capacity."""

    reports: StallReports = field(default_factory=StallReports)
    """Cache of recent replica reports."""

    first_events: FirstEventTimes = field(default_factory=FirstEventTimes)
    """Recent times to the first event."""

    heard_ms: dict[str, float] = field(default_factory=dict)
    """Time of the last event from each head replica, on any stream, in ascending order."""

    def note_head_event(self, replica_id: str, now_ms: float) -> None:
        """Record an event from a head replica."""
        self.heard_ms.pop(replica_id, None)
        self.heard_ms[replica_id] = now_ms
        if len(self.heard_ms) > MAX_HEADS:
            del self.heard_ms[next(iter(self.heard_ms))]


def create_shared_stream_state(clock: Clock) -> SharedStreamState:
    """Return the initial shared state."""
    return SharedStreamState(create_retry_schedule(clock), create_path_queue(clock))


@dataclass(slots=True)
class StreamState:
    """State of a client's stream across its sends."""

    last_event_id: str | None
    """Id of the last event that the client has; initially the one it asked to resume after."""

    tokens: float
    """Tokens that the stream holds on average."""

    avoid: set[str] = field(default_factory=set)
    """Ids of replicas that must not be used again."""

    sent_ms: float = 0.0
    """When the stream was last sent."""

    used_heads: UsedHeads = field(default_factory=UsedHeads)
    """Head replicas at which the stream may have run."""

    is_head_at_fault: bool = True
    """Whether the head replica is at fault if the current send is lost."""

    active_ms: float = 0.0
    """When the stream was last sent or moved, or had its last event."""

    last_event_ms: float = 0.0
    """When the last event was relayed."""

    events: int = 0
    """Number of relayed events."""

    send_events: int = 0
    """Number of events relayed in the current send."""

    may_have_run: bool = False
    """Whether a replica may have started to run the request."""

    path: Path | None = None
    """The path of the current send."""

    broken_at_start: int = 0
    """Number of sends that failed before the first event: the request may crash its replicas."""

    executed_on: list[Incarnation] = field(default_factory=list)
    """Replicas of the current send that were alive when it started."""

    refused: RefusalReason | None = None
    """Why the last send was refused; `None` if it was not."""

    faulty_address: str = ""
    """Address of the replica at fault in the last refusal."""

    status: int = 0
    """HTTP status of the last response."""
