"""What the callers' handlers work with; the entry program fills it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.admission.gate import Gate
    from pimentodale.background import BackgroundTasks
    from pimentodale.callers.authentication import Authenticator
    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Configuration
    from pimentodale.forwarding.client_connections import ClientConnections
    from pimentodale.forwarding.client_memory import ClientMemory
    from pimentodale.leaving.in_flight_requests import InFlightRequests
    from pimentodale.ledger.interface import Ledger
    from pimentodale.metrics import Metrics
    from pimentodale.pipelines.generate import PipelineContext
    from pimentodale.results import Refusal
    from pimentodale.services.caller import CallService
    from pimentodale.tracing.tracer import Tracer


@dataclass(slots=True)
class CallerContext:
    """State and means shared by all handlers of one entry host."""

    clock: Clock
    """Source of time."""

    tracer: Tracer
    """Keeps spans."""

    metrics: Metrics
    """Counts."""

    configuration: Callable[[], Configuration]
    """Returns the configuration in force."""

    authenticator: Authenticator
    """Finds workspaces."""

    pipelines: PipelineContext
    """What generations work with."""

    gate: Gate
    """Lets generations start."""

    ledger: Ledger
    """Where keys are claimed."""

    call_service: CallService
    """Calls plain services."""

    background: BackgroundTasks
    """Runs work that outlives its caller."""

    unready: Callable[[], Refusal | None]
    """Why this host takes no new work, if it doesn't."""

    work: InFlightRequests
    """Counts requests that were accepted and not yet answered."""

    readiness: Callable[[], Refusal | None]
    """Why balancers should send no more here; a host that stops says so before it refuses."""

    is_stopping: Callable[[], bool]
    """Whether connections end with their next answer."""

    max_body_bytes: int
    """Largest request body."""

    client_memory: ClientMemory
    """Account of the memory that callers hold."""

    connections: ClientConnections
    """The callers' connections."""

    end_unfinished: set[Callable[[], None]] = field(default_factory=set)
    """Answer each request in progress whose answer has not begun; called as the host's time to stop
    is over."""
