"""One client's stream over all its sends, and what the streams of a host share."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from pimentodale.forwarding.first_events import MAX_HEADS, FirstEventTimes
from pimentodale.forwarding.path_queue import PathQueue, create_path_queue
from pimentodale.forwarding.return_slots import ReturnSlots, create_return_slots
from pimentodale.forwarding.stalls import StallReports
from pimentodale.forwarding.used_heads import UsedHeads

if TYPE_CHECKING:
    from pimentodale.clock import Clock
    from pimentodale.forwarding.messages import Refused
    from pimentodale.placement.paths import Path
    from pimentodale.site.beliefs import Incarnation


class AttemptEnd(Enum):
    """How one send of a stream ended."""

    WHOLE = "whole"
    PASSED_ON = "passed on"
    """The replica's own failure was given to the client."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"
    """A replica of its path doesn't answer."""

    TIMED_OUT = "timed out"


@dataclass(slots=True)
class StreamPool:
    """What the streams of a host share."""

    returns: ReturnSlots
    """When refused clients are told to come back."""

    queue: PathQueue
    """Streams that wait for room."""

    reports: StallReports = field(default_factory=StallReports)
    """Reports asked for lately."""

    first_events: FirstEventTimes = field(default_factory=FirstEventTimes)
    """How long streams wait for their first events now."""

    heard_ms: dict[str, float] = field(default_factory=dict)
    """When an event last came from each first replica, on whichever stream; the latest at the end."""

    def note_heard(self, replica_id: str, now_ms: float) -> None:
        """Take note of an event from a first replica."""
        self.heard_ms.pop(replica_id, None)
        self.heard_ms[replica_id] = now_ms
        if len(self.heard_ms) > MAX_HEADS:
            del self.heard_ms[next(iter(self.heard_ms))]


def create_stream_pool(clock: Clock) -> StreamPool:
    """Return what streams share, before the first of them."""
    return StreamPool(create_return_slots(clock), create_path_queue(clock))


@dataclass(slots=True)
class StreamState:
    """One client's stream over all its sends."""

    last_event_id: str | None
    """Last event that the client has; at first the one that it asked to go on after."""

    tokens: float
    """Tokens that it holds on average."""

    avoid: set[str] = field(default_factory=set)
    """Ids of replicas that it must not use again."""

    sent_ms: float = 0.0
    """When it was last sent."""

    used_heads: UsedHeads = field(default_factory=UsedHeads)
    """First replicas at which it may have run."""

    blames_head: bool = True
    """Whether the first replica of the send that runs is at fault if that is lost."""

    active_ms: float = 0.0
    """When it was last sent, moved or heard of."""

    last_event_ms: float = 0.0
    """When the last event was passed on."""

    events: int = 0
    """Events passed on."""

    send_events: int = 0
    """Events passed on in the send that runs."""

    may_have_run: bool = False
    """Whether a replica may have begun to run it."""

    path: Path | None = None
    """The path of the send that runs."""

    broken_at_start: int = 0
    """Sends that broke off before an event: the request itself may crash its replicas."""

    ran_at: list[Incarnation] = field(default_factory=list)
    """Replicas that the send that runs has passed through, and that lived before."""

    refused: Refused | None = None
    """Why the last send was refused; `None` if it was not."""

    faulty_address: str = ""
    """Replica at fault in the last refusal."""

    status: int = 0
    """HTTP status of the last answer."""
