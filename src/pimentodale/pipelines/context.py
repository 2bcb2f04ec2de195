"""Shared dependencies of generations, and the state of one generation across its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.results import Ran, Refusal, ResultCode, create_refusal

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Limits
    from pimentodale.metrics import Metrics
    from pimentodale.pipelines.loss_diagnosis import Loss
    from pimentodale.pipelines.messages import Generation
    from pimentodale.quarantine.quarantine import Quarantine, RunningAttempt
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.route_limits import RouteUse
    from pimentodale.routing.router import Router
    from pimentodale.routing.routes import Route
    from pimentodale.tracing.tracer import Tracer

DEADLINE_RETRY_AFTER_MS: Final = 1_000.0
"""Retry-After time of a refusal for a passed deadline; load has usually shifted by then."""


@dataclass(slots=True)
class PipelineContext:
    """Dependencies shared by all generations of an entry host."""

    clock: Clock
    """Source of time."""

    tracer: Tracer
    """Records spans."""

    metrics: Metrics
    """Counters of the entry host."""

    fleet: Fleet
    """This host's view of the backend servers."""

    router: Router
    """Picks routes."""

    limits: Callable[[], Limits]
    """Returns the current limits from the configuration."""

    spend_retry: Callable[[], bool] = lambda: True
    """Takes one retry of lost work from the retry budget; returns False if the budget is spent."""

    note_success: Callable[[], None] = lambda: None
    """Called for each complete answer, which adds to the retry budget."""

    quarantine: Quarantine | None = None
    """Blocks requests that crash backend servers; `None` disables it."""

    pending_probes: dict[str, asyncio.Task[Loss]] = field(default_factory=dict)
    """Liveness probes in progress, by replica address."""

    pending_answers: dict[str, asyncio.Task[bool]] = field(default_factory=dict)
    """Checks in progress whether engines of next routes answer, by replica address."""

    def boot_id_of(self, replica: str) -> str:
        """Return the boot id in a replica's last load report; empty when there was none."""
        status = self.fleet.status(replica)
        return "" if status is None or status.load is None else status.load.boot_id


@dataclass(slots=True)
class Reservation:
    """A route that admission has granted to a generation."""

    use: RouteUse
    """The stream counted on the route."""

    release: Callable[[], None]
    """Must be called when the generation is over; further calls have no effect."""


@dataclass(slots=True)
class FirstByteGate:
    """Permission check right before the first byte of each attempt at non-repeatable work."""

    allows: Callable[[], Awaitable[bool]]
    """Returns whether the byte may be sent; a False is final."""

    denied: bool = False
    """Whether permission was denied."""

    async def ask(self) -> bool:
        """Return whether the byte may be sent, and record a denial."""
        allowed = await self.allows()
        self.denied = self.denied or not allowed
        return allowed


@dataclass(slots=True)
class Progress:
    """State of one generation across its attempts."""

    generation: Generation
    """The caller's request."""

    ctx: PipelineContext
    """Shared dependencies of generations."""

    gate: FirstByteGate | None = None
    """Asked before the first byte is sent; required for non-repeatable work."""

    tokens: list[str] = field(default_factory=list)
    """Verified tokens, all delivered to the caller."""

    excluded: set[str] = field(default_factory=set)
    """Replicas that this generation no longer uses."""

    busy: set[str] = field(default_factory=set)
    """Replicas that had no free slot; they are tried again after a backoff."""

    busy_rounds: int = 0
    """How often all routes were busy."""

    failed_attempts: int = 0
    """Attempts that ended neither in an answer nor at a busy replica."""

    attempt: int = 0
    """Number of attempts so far."""

    handed_over: bool = False
    """Whether an engine may have run any part of the generation."""

    last_route: Route | None = None
    """Route of the latest attempt."""

    resumed: bool = False
    """Whether it has been resumed before; only further resumes draw on the retry budget."""

    is_resume_paid: bool = False
    """Whether the retry budget has paid for the next resume already."""

    next_route: Route | None = None
    """Route of the next attempt, whose engines answered before the silent one was given up."""

    repeat_route: bool = False
    """Whether the next attempt uses the last route again, over a new connection."""

    on_trial: bool = False
    """Whether the next attempt must not share replicas with another request that has strikes."""

    interrupted_by_crash: bool = False
    """Whether it is on trial for a crash that ended one of its own attempts on this host."""

    running: RunningAttempt | None = None
    """The current attempt, as quarantine tracks it."""

    reserved: RouteUse | None = None
    """Stream that admission has counted for the first attempt."""

    use: RouteUse | None = None
    """Stream of the current attempt."""

    lost: set[str] = field(default_factory=set)
    """Replicas that were lost together with their KV caches."""

    @property
    def remaining_ms(self) -> float:
        """Time left until the deadline."""
        return self.generation.deadline_ms - self.ctx.clock.now_ms()

    def refuse(
        self, code: ResultCode, message: str, retry_after_ms: float | None = None
    ) -> Refusal:
        """Create a refusal that states whether an engine may have run the work."""
        ran = Ran.MAY_HAVE_RUN if self.handed_over else Ran.NOT_RUN
        return create_refusal(code, message, ran=ran, retry_after_ms=retry_after_ms)

    def refuse_deadline_exceeded(self) -> Refusal:
        """Create the refusal for a passed deadline."""
        message = "The deadline passed; come back later, or allow more time."
        return self.refuse(ResultCode.DEADLINE_EXCEEDED, message, DEADLINE_RETRY_AFTER_MS)


def describe_route(route: Route) -> str:
    """Format a route as one line, such as `e1[0:16] e4[16:32]`."""
    return " ".join(f"{hop.replica}[{hop.first_layer}:{hop.last_layer}]" for hop in route.hops)
