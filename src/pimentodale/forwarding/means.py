"""What forwarding needs of the rest of the program, and the state that requests share."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from pimentodale.logs import get_log
from pimentodale.quarantine.crashes import fingerprint_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.background import BackgroundTasks
    from pimentodale.clock import Clock
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.crash_watch import CrashWatch
    from pimentodale.forwarding.loads import LoadBoard
    from pimentodale.forwarding.messages import ExchangeCodec
    from pimentodale.forwarding.retry_share import RetryShare
    from pimentodale.gateway.metrics import GatewayMetrics
    from pimentodale.placement.messages import EngineCalls
    from pimentodale.results import ResultCode
    from pimentodale.site.beliefs import ReplicaBeliefs
    from pimentodale.site.model import BackendService, RouteRule
    from pimentodale.site.paces import ReplicaPaces
    from pimentodale.site.view import SiteView

_log = get_log("request")

TIMEOUT_MARGIN_MS: Final = 20.0
"""How much sooner than a route's time-out a request is given up, so that its answer is in time."""

LONGEST_REQUEST_MS: Final = 600_000.0
"""Longest time for a request for which neither its client nor the operators set one."""


@dataclass(slots=True)
class ForwardingMeans:
    """Shared by all requests of a host."""

    clock: Clock
    codec: ExchangeCodec
    engines: EngineCalls
    view: SiteView
    beliefs: ReplicaBeliefs
    paces: ReplicaPaces
    loads: LoadBoard
    retries: RetryShare
    crashes: CrashWatch
    metrics: GatewayMetrics
    failure_domain: str
    stall_ms: float
    """How long engines wait for a replica that doesn't answer."""

    background: BackgroundTasks
    """Runs what outlives a request."""

    fence: Callable[[], int]
    """Returns the highest fencing number known."""

    rng: random.Random = field(default_factory=random.SystemRandom)


@dataclass(slots=True)
class RoutedRequest:
    """A request that was admitted to a route."""

    exchange: ClientExchange
    route: RouteRule
    service: BackendService
    workspace: str | None
    """Workspace that holds the client's key; `None` on a public route."""

    priority: int
    """Rank; 0 goes first."""

    sends: int = 0
    """Replicas that it has been sent to."""

    history: list[str] = field(default_factory=list)
    """What became of each send, for the log line."""

    first_event_ms: float | None = None
    """Time from the request to the first event of its stream."""

    longest_pause_ms: float = 0.0
    """Longest time between two events of its stream."""

    is_on_trial: bool = False
    """Whether it was refused for crashes and may run once more."""

    fingerprint: str = field(init=False)
    """What stays the same when its client sends it again."""

    def __post_init__(self) -> None:
        """Take the fingerprint."""
        request = self.exchange.request
        self.fingerprint = fingerprint_of(request.path, self.workspace, request.body)

    def left_ms(self, now_ms: float) -> float:
        """Return how long the client and the operators let it wait."""
        elapsed_ms = now_ms - self.exchange.request.received_ms
        allowed_ms = min(self.route.timeout_ms - TIMEOUT_MARGIN_MS, LONGEST_REQUEST_MS)
        if self.exchange.request.deadline_ms is not None:
            allowed_ms = min(allowed_ms, self.exchange.request.deadline_ms)
        return allowed_ms - elapsed_ms


def log_end(means: ForwardingMeans, routed: RoutedRequest, code: ResultCode, status: int) -> None:
    """Write the line that says how a request ended and what decided it."""
    means.metrics.note_end(code, _elapsed_ms(means, routed))
    version = means.view.configuration.version if means.view.configuration else 0
    _log.info(
        "A request ended.",
        code=int(code),
        name=code.name.lower(),
        status=status,
        first_event_ms=None if routed.first_event_ms is None else round(routed.first_event_ms),
        longest_pause_ms=round(routed.longest_pause_ms),
        configuration=version,
        **_logged_fields(means, routed),
    )


def log_broken_send(
    means: ForwardingMeans, routed: RoutedRequest, replicas: list[str], end: str
) -> None:
    """Write the line of a send that brought no whole answer.

    Args:
        means: Shared state.
        routed: The request.
        replicas: Ids of the replicas that it passed through, in order.
        end: How the send ended.
    """
    _log.info(
        "A send brought no whole answer.",
        request=routed.exchange.request.attempt_id,
        fingerprint=routed.fingerprint,
        replicas=replicas,
        end=end,
        sends=routed.sends,
        view_age_ms=view_age_ms(means),
    )


def log_left(means: ForwardingMeans, routed: RoutedRequest) -> None:
    """Write the line of a request whose client left before its answer was whole."""
    _log.info("A client left.", sent=routed.sends, **_logged_fields(means, routed))


def view_age_ms(means: ForwardingMeans) -> int | None:
    """Return the age of what this host knows of the store; `None` before it has known anything."""
    age_ms = means.view.mirror.age_ms()
    return round(age_ms) if math.isfinite(age_ms) else None


def _elapsed_ms(means: ForwardingMeans, routed: RoutedRequest) -> float:
    """Return the time since a request came."""
    return means.clock.now_ms() - routed.exchange.request.received_ms


def _logged_fields(means: ForwardingMeans, routed: RoutedRequest) -> dict[str, object]:
    """Return what every line about the end of a request says."""
    return {
        "request": routed.exchange.request.attempt_id,
        "route": routed.route.name,
        "service": routed.service.name,
        "workspace": routed.workspace,
        "elapsed_ms": round(_elapsed_ms(means, routed)),
        "sends": routed.history,
        "view_age_ms": view_age_ms(means),
    }
