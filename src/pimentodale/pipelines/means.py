"""What generations work with, and the state of one over its attempts."""

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
    from pimentodale.pipelines.loss import Loss
    from pimentodale.pipelines.messages import Generation
    from pimentodale.quarantine.quarantine import Quarantine, Running
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.router import Router
    from pimentodale.routing.routes import Route
    from pimentodale.routing.windows import RouteUse
    from pimentodale.tracing.tracer import Tracer

LATE_RETRY_MS: Final = 1_000.0
"""When a caller may come back after its deadline passed: the time in which load mostly moves."""


@dataclass(slots=True)
class PipelineMeans:
    """What generations work with."""

    clock: Clock
    """Tells the time."""

    tracer: Tracer
    """Keeps spans."""

    metrics: Metrics
    """Counts."""

    fleet: Fleet
    """The backend servers as this host knows them."""

    router: Router
    """Picks routes."""

    limits: Callable[[], Limits]
    """Returns the limits in force."""

    spend_retry: Callable[[], bool] = lambda: True
    """Takes one retry of work in progress from the budget; False when it is spent."""

    note_success: Callable[[], None] = lambda: None
    """Told of each whole answer, which the budget grows by."""

    quarantine: Quarantine | None = None
    """Keeps requests that crash backend servers from running; `None` lets all run."""

    looks: dict[str, asyncio.Task[Loss]] = field(default_factory=dict)
    """Looks at replicas that are under way, by address."""

    def boot_id_of(self, replica: str) -> str:
        """Return the boot id in a replica's last load report; empty when there was none."""
        status = self.fleet.status(replica)
        return "" if status is None or status.load is None else status.load.boot_id


@dataclass(slots=True)
class Reservation:
    """A route that a generation has been admitted to."""

    use: RouteUse
    """The stream that is counted on it."""

    release: Callable[[], None]
    """Called once the generation is over; may be called again."""


@dataclass(slots=True)
class FirstByteGate:
    """Asked right before the first byte of each attempt, as non-repeatable work needs."""

    allows: Callable[[], Awaitable[bool]]
    """Returns whether the byte may go out; a False is for good."""

    denied: bool = False
    """Whether it has said no."""

    async def ask(self) -> bool:
        """Ask, and remember a no."""
        allowed = await self.allows()
        self.denied = self.denied or not allowed
        return allowed


@dataclass(slots=True)
class Progress:
    """State of one generation over its attempts."""

    generation: Generation
    """What the caller asked for."""

    means: PipelineMeans
    """What to work with."""

    gate: FirstByteGate | None = None
    """Asked before the first byte; given for non-repeatable work."""

    tokens: list[str] = field(default_factory=list)
    """Verified tokens, all passed on to the caller."""

    excluded: set[str] = field(default_factory=set)
    """Replicas that this generation avoids."""

    busy: set[str] = field(default_factory=set)
    """Replicas that had no slot for it; they may have one again."""

    busy_rounds: int = 0
    """How often every way was busy."""

    failed_attempts: int = 0
    """Attempts that ended in anything but an answer or a busy replica."""

    attempt: int = 0
    """Attempts so far."""

    handed_over: bool = False
    """Whether an engine may have run any of it."""

    last_route: Route | None = None
    """Route of the latest attempt."""

    resumed: bool = False
    """Whether it has been resumed before; only later resumes draw on the retry budget."""

    repeat_route: bool = False
    """Whether the next attempt takes that route again, over a fresh connection."""

    on_trial: bool = False
    """Whether the next attempt may run only where no other struck request runs."""

    cut_off: bool = False
    """Whether it is on trial for a crash that cut it off, and not for one before it came."""

    running: Running | None = None
    """The attempt under way, as quarantine notes it."""

    reserved: RouteUse | None = None
    """Stream that admission has counted for the first attempt."""

    use: RouteUse | None = None
    """Stream of the attempt that runs."""

    lost: set[str] = field(default_factory=set)
    """Replicas that were lost with their KV caches."""

    @property
    def remaining_ms(self) -> float:
        """Time left until the deadline."""
        return self.generation.deadline_ms - self.means.clock.now_ms()

    def refuse(
        self, code: ResultCode, message: str, retry_after_ms: float | None = None
    ) -> Refusal:
        """Refuse, in words that fit whether any engine may have run the work."""
        ran = Ran.MAY_HAVE_RUN if self.handed_over else Ran.NOT_RUN
        return create_refusal(code, message, ran=ran, retry_after_ms=retry_after_ms)

    def refuse_late(self) -> Refusal:
        """Refuse for want of time."""
        message = "The deadline passed; come back later, or allow more time."
        return self.refuse(ResultCode.DEADLINE_EXCEEDED, message, LATE_RETRY_MS)


def describe_route(route: Route) -> str:
    """Return a route in one line, such as `e1[0:16] e4[16:32]`."""
    return " ".join(f"{hop.replica}[{hop.first_layer}:{hop.last_layer}]" for hop in route.hops)
