"""Shared dependencies of forwarding, the state of an admitted request, and its log lines."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from pimentodale.clock import whole_ms
from pimentodale.forwarding.domain_choice import DomainChoice, create_domain_choice
from pimentodale.logs import get_log
from pimentodale.quarantine.crash_record import fingerprint_of
from pimentodale.quarantine.prompt_parts import part_keys

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.crash_detector import CrashDetector
    from pimentodale.forwarding.load_table import LoadTable
    from pimentodale.forwarding.messages import ExchangeCodec
    from pimentodale.forwarding.own_pauses import OwnPauses
    from pimentodale.forwarding.retry_budget_share import RetryBudgetShare
    from pimentodale.gateway.metrics import GatewayMetrics
    from pimentodale.placement.messages import EngineClient
    from pimentodale.results import ResultCode
    from pimentodale.site.model import BackendService, RouteRule
    from pimentodale.site.replica_health import ReplicaHealth
    from pimentodale.site.slow_replicas import SlowReplicas
    from pimentodale.site.view import SiteView

_log = get_log("request")

TIMEOUT_MARGIN_MS: Final = 20.0
"""How long before a route's timeout a request is ended, so that its response is sent in time."""

MAX_REQUEST_MS: Final = 600_000.0
"""Time limit of a request for which neither its client nor the configuration sets a shorter one."""


@dataclass(slots=True)
class ForwardingContext:
    """Dependencies and state shared by all requests of a host."""

    clock: Clock
    codec: ExchangeCodec
    engines: EngineClient
    view: SiteView
    replica_health: ReplicaHealth
    slow_replicas: SlowReplicas
    loads: LoadTable
    retries: RetryBudgetShare
    crashes: CrashDetector
    metrics: GatewayMetrics
    own_pauses: OwnPauses
    failure_domain: str
    stall_ms: float
    """Stall timeout of the engines: how long they wait for a replica that does not answer."""

    background: BackgroundTasks
    """Runs tasks that outlive a request."""

    fence: Callable[[], int]
    """Returns the highest known fencing number."""

    rng: random.Random = field(default_factory=random.SystemRandom)

    domain_choice: DomainChoice = field(default_factory=create_domain_choice)
    """Shares of new streams that begin in other failure domains, on large sites."""

    in_progress: dict[asyncio.Task[Any], RoutedRequest] = field(default_factory=dict)
    """Admitted requests without a whole answer so far, by the task that serves them."""


@dataclass(slots=True)
class RoutedRequest:
    """A request that was admitted to a route."""

    exchange: ClientExchange
    route: RouteRule
    service: BackendService
    workspace: str | None
    """Workspace of the client's API key; `None` on a public route."""

    priority: int
    """Priority in the queue; 0 is served first."""

    sends: int = 0
    """Number of times the request was sent to a replica."""

    rejections: int = 0
    """Number of these that a replica rejected without running the request."""

    history: list[str] = field(default_factory=list)
    """Outcome of each send, for the log line."""

    first_event_ms: float | None = None
    """Time from the arrival of the request to the first event of its stream."""

    last_event_ms: float | None = None
    """When the last event of the stream was relayed."""

    longest_pause_ms: float = 0.0
    """Longest time between two events of the stream."""

    trial_of: str = ""
    """Fingerprint or part's key that is in quarantine for crashes and for which the request was
    granted a trial run; empty without one."""

    is_cut: bool = False
    """Whether it is answered now, as this host's time to stop is over."""

    has_progressed: bool = False
    """Whether a replica has written events of it, or had before the client resumed it."""

    fingerprint: str = field(init=False)
    """Hash that stays the same when the client repeats the request."""

    part_keys: tuple[str, ...] = field(init=False)
    """Keys of the shared parts of its prompt."""

    def __post_init__(self) -> None:
        """Compute the fingerprint and the parts' keys."""
        request = self.exchange.request
        self.fingerprint = fingerprint_of(request.path, self.workspace, request.body)
        self.part_keys = part_keys(request.prompt_parts)
        self.has_progressed = request.last_event_id is not None

    @property
    def is_on_trial(self) -> bool:
        """Whether the request was granted a trial run."""
        return bool(self.trial_of)

    def left_ms(self, now_ms: float) -> float:
        """Return the time that the client's deadline and the route's timeout leave."""
        elapsed_ms = now_ms - self.exchange.request.received_ms
        allowed_ms = min(self.route.timeout_ms - TIMEOUT_MARGIN_MS, MAX_REQUEST_MS)
        if self.exchange.request.deadline_ms is not None:
            allowed_ms = min(allowed_ms, self.exchange.request.deadline_ms)
        return allowed_ms - elapsed_ms


def log_end(ctx: ForwardingContext, routed: RoutedRequest, code: ResultCode, status: int) -> None:
    """Log how a request ended and what led to that."""
    ctx.metrics.note_end(code, _elapsed_ms(ctx, routed))
    version = ctx.view.configuration.version if ctx.view.configuration else 0
    _log.info(
        "A request ended.",
        code=int(code),
        name=code.name.lower(),
        status=status,
        first_event_ms=None if routed.first_event_ms is None else round(routed.first_event_ms),
        longest_pause_ms=round(routed.longest_pause_ms),
        configuration=version,
        **_logged_fields(ctx, routed),
    )


def log_failed_send(
    ctx: ForwardingContext, routed: RoutedRequest, replicas: list[str], end: str, events: int = 0
) -> None:
    """Log a send that ended without a complete response.

    Args:
        ctx: State shared by all requests.
        routed: The request.
        replicas: Ids of the replicas on its path, in order.
        end: How the send ended.
        events: Number of events that it had.
    """
    _log.info(
        "A send ended without a complete response.",
        request=routed.exchange.request.attempt_id,
        fingerprint=routed.fingerprint,
        replicas=replicas,
        end=end,
        events=events,
        parts=routed.exchange.request.prompt_parts,
        sends=routed.sends,
        view_age_ms=view_age_ms(ctx),
    )


def log_kept_send(
    ctx: ForwardingContext, routed: RoutedRequest, replica_id: str, reason: str, active_ms: float
) -> None:
    """Log that a silent send goes on without a successor.

    Args:
        ctx: State shared by all requests.
        routed: The request.
        replica_id: Id of the head replica.
        reason: Why there can be no successor.
        active_ms: Time of the send's last event.
    """
    ctx.metrics.silent_sends["kept"] += 1
    _log.info(
        "A silent send is kept.",
        reason=reason,
        **_silence_fields(ctx, routed, replica_id, active_ms),
    )


def log_successor(
    ctx: ForwardingContext, routed: RoutedRequest, replica_id: str, successor: str, active_ms: float
) -> None:
    """Log that a successor of a silent send starts, while that one goes on.

    Args:
        ctx: State shared by all requests.
        routed: The request.
        replica_id: Id of the silent send's head replica.
        successor: Id of the successor's head replica.
        active_ms: Time of the silent send's last event.
    """
    ctx.metrics.silent_sends["succeeded"] += 1
    _log.info(
        "A silent send gets a successor.",
        successor=successor,
        **_silence_fields(ctx, routed, replica_id, active_ms),
    )


def log_disconnect(ctx: ForwardingContext, routed: RoutedRequest) -> None:
    """Log a request whose connection closed before the response was complete, and who closed it."""
    is_closed_by_host = routed.exchange.is_closed_by_host
    ctx.metrics.unfinished["host" if is_closed_by_host else "client"] += 1
    event = "A client disconnected."
    if is_closed_by_host:
        event = "This host closed the connection of an unfinished response."
    _log.info(event, sent=routed.sends, **_logged_fields(ctx, routed))


def view_age_ms(ctx: ForwardingContext) -> int | None:
    """Return the age of this host's copy of the store; `None` if it has none yet."""
    return whole_ms(ctx.view.mirror.age_ms())


def _elapsed_ms(ctx: ForwardingContext, routed: RoutedRequest) -> float:
    """Return the time since a request arrived."""
    return ctx.clock.now_ms() - routed.exchange.request.received_ms


def _last_event_age_ms(ctx: ForwardingContext, routed: RoutedRequest) -> int | None:
    """Return the time since the last event of a stream; `None` if there was none."""
    if routed.last_event_ms is None:
        return None
    return round(ctx.clock.now_ms() - routed.last_event_ms)


def _silence_fields(
    ctx: ForwardingContext, routed: RoutedRequest, replica_id: str, active_ms: float
) -> dict[str, object]:
    """Return the fields of the log lines about a silent send."""
    return {
        "request": routed.exchange.request.attempt_id,
        "replica": replica_id,
        "silence_ms": round(ctx.clock.now_ms() - active_ms),
        "sends": routed.sends,
        "view_age_ms": view_age_ms(ctx),
    }


def _logged_fields(ctx: ForwardingContext, routed: RoutedRequest) -> dict[str, object]:
    """Return the fields of all log lines about the end of a request."""
    return {
        "request": routed.exchange.request.attempt_id,
        "route": routed.route.name,
        "service": routed.service.name,
        "workspace": routed.workspace,
        "elapsed_ms": round(_elapsed_ms(ctx, routed)),
        "last_event_age_ms": _last_event_age_ms(ctx, routed),
        "sends": routed.history,
        "view_age_ms": view_age_ms(ctx),
    }
