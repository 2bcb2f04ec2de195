"""Assembles the components of one entry host and runs them until the process is asked to stop."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from tornado.netutil import bind_sockets

from pimentodale.addresses import parse_address
from pimentodale.background import create_background_tasks
from pimentodale.callers.app import create_application, create_server
from pimentodale.callers.authentication import create_authenticator
from pimentodale.callers.context import CallerContext
from pimentodale.callers.reads import ConfigurationHandler
from pimentodale.clients.body_memory import add_body_gauges
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clients.host_list import create_host_list_poller, create_host_list_reader
from pimentodale.clock import create_clock
from pimentodale.configuration.follower import create_follower
from pimentodale.entry.demand import share_demand
from pimentodale.entry.membership import (
    add_peer_metrics,
    create_entry_peers,
    share_configuration,
    share_quarantine,
    subscribe_leaving_signals,
)
from pimentodale.entry.replica_picker import create_replica_picker
from pimentodale.entry.routing import (
    RoutingComponents,
    create_routing,
    select_subset,
    start_routing,
)
from pimentodale.entry.status import StatusHandler, create_status_reader
from pimentodale.forwarding.client_connections import ClientConnections, max_connections_of
from pimentodale.forwarding.client_memory import create_client_memory
from pimentodale.leaving.graceful_shutdown import (
    GracefulShutdown,
    ShutdownSteps,
    create_graceful_shutdown,
)
from pimentodale.leaving.in_flight_requests import InFlightRequests, create_in_flight_requests
from pimentodale.leaving.leaving_servers import create_leaving_publisher
from pimentodale.ledger.key_ledger import create_key_ledger
from pimentodale.logs import get_log
from pimentodale.metrics import create_metrics
from pimentodale.pipelines.generate import PipelineContext
from pimentodale.process_signals import create_stop_event
from pimentodale.quarantine.crash_record import create_crash_record
from pimentodale.quarantine.quarantine import create_quarantine
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.results import Refusal, ResultCode, create_refusal
from pimentodale.services.caller import create_service_caller
from pimentodale.services.crash_guard import create_crash_guard
from pimentodale.tracing.tracer import create_tracer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from pimentodale.addresses import Address
    from pimentodale.background import BackgroundTasks
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clients.targets import Targets
    from pimentodale.clock import Clock
    from pimentodale.configuration.documents import Configuration
    from pimentodale.configuration.follower import Follower
    from pimentodale.entry.settings import EntrySettings
    from pimentodale.peers.peers import Peers
    from pimentodale.quarantine.crash_record import CrashRecord
    from pimentodale.routing.fleet import Fleet
    from pimentodale.services.messages import ServiceReplica
    from pimentodale.tracking_server import TrackingServer

EXIT_WORK_INTERRUPTED: Final = 3
"""Exit code of a graceful shutdown that timed out with work in progress."""

HOST_LIST_INTERVAL_MS: Final = 1_000.0
"""Mean interval between polls of the host list."""

NOT_READY_RETRY_AFTER_MS: Final = 1_000.0
"""Retry-After for callers of a host that is starting or stopping."""

SERVICE_DOWN_MS: Final = 1_000.0
"""How long an unresponsive service replica gets no new calls."""

_log = get_log("entry")


@dataclass(slots=True)
class EntryHost:
    """State of one running entry host."""

    settings: EntrySettings
    clock: Clock = field(default_factory=create_clock)
    background: BackgroundTasks = field(default_factory=create_background_tasks)
    rng: random.Random = field(default_factory=random.SystemRandom)
    work: InFlightRequests = field(default_factory=create_in_flight_requests)
    work_background: BackgroundTasks = field(default_factory=create_background_tasks)
    has_host_list: bool = False
    peer_addresses: list[Address] = field(default_factory=list)
    stop: GracefulShutdown = field(init=False)

    def __post_init__(self) -> None:
        """Create the shutdown sequence."""
        self.stop = create_graceful_shutdown(self.clock, self.work, self.settings.stop_timeout_ms)

    def readiness(self, configuration: Configuration) -> Refusal | None:
        """Return why this host should get no more traffic, or `None` if it is ready."""
        if self.stop.is_stopping:
            return _stopping_refusal()
        return self.unready(configuration)

    def unready(self, configuration: Configuration) -> Refusal | None:
        """Return why this host refuses new work, or `None` if it accepts it."""
        if self.stop.is_refusing:
            return _stopping_refusal()
        if configuration.revision == 0:
            message = "No configuration has been accepted yet; put the folder in place."
            return _temporary_refusal(ResultCode.NO_CONFIGURATION, message)
        if not self.has_host_list:
            return _temporary_refusal(ResultCode.NOT_READY, "The host list has not been read yet.")
        return None


async def run_entry_host(settings: EntrySettings) -> int:
    """Run an entry host until SIGTERM.

    Args:
        settings: The host's settings.

    Returns:
        The program's exit code.
    """
    stop = create_stop_event()
    host = EntryHost(settings)
    listen = parse_address(settings.listen)
    sockets = bind_sockets(listen.port, listen.ip)
    store = create_etcd_gateway([parse_address(text) for text in settings.key_value], host.clock)
    peers = create_entry_peers(settings, host.clock, lambda: host.peer_addresses)
    follower = create_follower(store, host.clock, host.rng, settings.host, peers.is_watcher)
    routing = create_routing(
        settings, host.clock, host.rng, follower.current, create_leaving_publisher(peers)
    )
    subscribe_leaving_signals(peers, routing.fleet)
    crashes = create_crash_record(host.clock)
    context = _create_context(host, store, follower, routing, crashes)
    handlers = _create_operator_handlers(context, follower, peers, routing.fleet)
    server = create_server(create_application(context, handlers), context.connections)
    server.add_sockets(sockets)
    quarantine = create_quarantine(settings.host, host.clock, host.background, store)
    context.pipelines.quarantine = quarantine
    add_peer_metrics(peers, context.metrics)
    share_configuration(follower, peers, host.clock, host.rng, host.background)
    share_quarantine(quarantine, crashes, peers, store, host.clock, host.background)
    share_demand(routing.gate.rates, peers, host.clock, host.background)
    await peers.listen()
    host.background.start(peers.run(), "peers")
    host.background.start(follower.run(), "configuration follower")
    host.background.start(_create_poller(host, routing.fleet)(), "host list")
    start_routing(routing, host.background, host.clock, host.rng)
    _log.info("The host listens.", host=settings.host, address=settings.listen)
    await stop.wait()
    completed = await host.stop.run(_create_stop_steps(host, context, server, peers))
    host.background.cancel()
    return 0 if completed else EXIT_WORK_INTERRUPTED


def _create_operator_handlers(
    context: CallerContext, follower: Follower, peers: Peers, fleet: Fleet
) -> list[Any]:
    """Return the Tornado URL rules of the operators' endpoints."""
    status = create_status_reader(context, peers, fleet)
    return [
        (
            r"/admin/configuration",
            ConfigurationHandler,
            {"context": context, "status": follower.status},
        ),
        (r"/admin/status", StatusHandler, {"context": context, "status": status}),
    ]


def _create_stop_steps(
    host: EntryHost, context: CallerContext, server: TrackingServer, peers: Peers
) -> ShutdownSteps:
    """Return the actions of each step of a graceful shutdown."""

    async def flush_outcomes(timeout_ms: float) -> bool:
        return await context.ledger.flush(timeout_ms) == 0

    async def close_connections(timeout_ms: float) -> None:
        for end in list(context.end_unfinished):
            end()
        await server.close_when_sent(host.clock, timeout_ms)

    return ShutdownSteps(
        announce_leaving=peers.leave,
        reject_new_requests=server.end_connections_when_answered,
        drain_background=host.work_background.drain,
        flush_outcomes=flush_outcomes,
        close_connections=close_connections,
        leave_membership=peers.stop,
    )


def _create_context(
    host: EntryHost,
    store: KeyValueStore,
    follower: Follower,
    routing: RoutingComponents,
    crashes: CrashRecord,
) -> CallerContext:
    """Create the context that the handlers of callers' requests use."""
    settings, fleet, budget = host.settings, routing.fleet, routing.budget
    tracer = create_tracer(host.clock, settings.host, settings.trace_spans)
    metrics = create_metrics()
    add_body_gauges(metrics.add_gauge)
    client_memory = create_client_memory(host.clock, settings.memory_mb)
    metrics.client_refusals = client_memory.refusals
    metrics.add_gauge("client_bytes", lambda: client_memory.held_bytes)
    metrics.add_gauge("client_bytes_limit", lambda: client_memory.limit_bytes)
    pipelines = PipelineContext(
        clock=host.clock,
        tracer=tracer,
        metrics=metrics,
        fleet=fleet,
        router=routing.router,
        limits=lambda: follower.current().limits,
        spend_retry=budget.try_spend,
        note_success=budget.note_success,
    )
    ledger = create_key_ledger(
        store, host.clock, settings.host, lambda: follower.current().limits.claim_retention_ms
    )

    def note_service_call(replica: ServiceReplica, succeeded: bool) -> None:
        if succeeded:
            budget.note_success()
            fleet.mark_up(replica.name)
        else:
            fleet.mark_down(replica.name, SERVICE_DOWN_MS)

    pick = create_replica_picker(fleet, settings.failure_domain, host.rng)
    retrials = create_retrials(settings.host, host.clock, crashes, store)
    guard = create_crash_guard(crashes, retrials, host.clock, host.background)
    return CallerContext(
        clock=host.clock,
        tracer=tracer,
        metrics=metrics,
        configuration=follower.current,
        authenticator=create_authenticator(follower.current),
        pipelines=pipelines,
        gate=routing.gate,
        ledger=ledger,
        call_service=create_service_caller(
            ledger, pick, host.clock, budget.try_spend, note_service_call, guard
        ),
        background=host.work_background,
        unready=lambda: host.unready(follower.current()),
        work=host.work,
        readiness=lambda: host.readiness(follower.current()),
        is_stopping=lambda: host.stop.is_stopping,
        max_body_bytes=settings.max_body_bytes,
        client_memory=client_memory,
        connections=ClientConnections(client_memory, max_connections_of(settings.max_fds)),
    )


def _create_poller(host: EntryHost, fleet: Fleet) -> Callable[[], Coroutine[Any, Any, None]]:
    """Return the poller of the host list, which updates the fleet and the peer addresses."""

    def apply_targets(targets: Targets) -> None:
        host.has_host_list = True
        host.peer_addresses = [entry.peer_address for entry in targets.entries]
        fleet.apply_targets(select_subset(targets, host.settings))

    read = create_host_list_reader(parse_address(host.settings.host_list))
    return create_host_list_poller(read, apply_targets, host.clock, host.rng, HOST_LIST_INTERVAL_MS)


def _stopping_refusal() -> Refusal:
    """Return the refusal of a stopping host."""
    return _temporary_refusal(ResultCode.LEAVING, "This host is stopping; send to another one.")


def _temporary_refusal(code: ResultCode, message: str) -> Refusal:
    """Return a refusal for a temporary reason."""
    return create_refusal(code, message, retry_after_ms=NOT_READY_RETRY_AFTER_MS)
