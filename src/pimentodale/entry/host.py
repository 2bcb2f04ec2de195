"""Wires the slices of one entry host together and runs them until it is told to stop."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from tornado.netutil import bind_sockets

from pimentodale.addresses import parse_address
from pimentodale.background import create_background_tasks
from pimentodale.callers.app import create_application, create_server
from pimentodale.callers.authentication import create_authenticator
from pimentodale.callers.context import CallerContext
from pimentodale.callers.reads import ConfigurationHandler
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clients.host_list import create_host_list_poller, create_host_list_reader
from pimentodale.clock import create_clock
from pimentodale.configuration.follower import create_follower
from pimentodale.entry.demand import share_demand
from pimentodale.entry.membership import (
    create_entry_peers,
    follow_signs,
    share_configuration,
    share_quarantine,
    show_peers,
)
from pimentodale.entry.routing import RoutingParts, create_routing, own_subset, start_routing
from pimentodale.entry.services import create_replica_picker
from pimentodale.entry.status import StatusHandler, create_status_reader
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

EXIT_WORK_CUT: Final = 3
"""Exit code of a planned stop whose time was over with work in progress."""

HOST_LIST_INTERVAL_MS: Final = 1_000.0
"""Mean time between readings of the host list."""

NOT_READY_RETRY_MS: Final = 1_000.0
"""When a caller may come back to a host that is starting or stopping."""


SERVICE_PAUSE_MS: Final = 1_000.0
"""How long a replica of a service that gave no answer gets no new calls."""

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
    listed: bool = False
    peer_addresses: list[Address] = field(default_factory=list)
    stop: GracefulShutdown = field(init=False)

    def __post_init__(self) -> None:
        """Prepare the planned stop."""
        self.stop = create_graceful_shutdown(self.clock, self.work, self.settings.stop_timeout_ms)

    def readiness(self, configuration: Configuration) -> Refusal | None:
        """Say why this host should be sent no more, if so."""
        if self.stop.is_stopping:
            return _leaving()
        return self.unready(configuration)

    def unready(self, configuration: Configuration) -> Refusal | None:
        """Say why this host takes no new work, if it doesn't."""
        if self.stop.is_refusing:
            return _leaving()
        if configuration.revision == 0:
            message = "No configuration has been accepted yet; put the folder in place."
            return _passing(ResultCode.NO_CONFIGURATION, message)
        if not self.listed:
            return _passing(ResultCode.NOT_READY, "The host list has not been read yet.")
        return None


async def run_entry_host(settings: EntrySettings) -> int:
    """Run an entry host until SIGTERM.

    Args:
        settings: Its place and addresses.

    Returns:
        The program's exit code.
    """
    host = EntryHost(settings)
    listen = parse_address(settings.listen)
    sockets = bind_sockets(listen.port, listen.ip)
    store = create_etcd_gateway([parse_address(text) for text in settings.key_value], host.clock)
    peers = create_entry_peers(settings, host.clock, lambda: host.peer_addresses)
    follower = create_follower(store, host.clock, host.rng, settings.host, peers.is_watcher)
    routing = create_routing(
        settings, host.clock, host.rng, follower.current, create_leaving_publisher(peers)
    )
    follow_signs(peers, routing.fleet)
    crashes = create_crash_record(host.clock)
    context = _create_context(host, store, follower, routing, crashes)
    handlers = _create_operator_handlers(context, follower, peers, routing.fleet)
    server = create_server(create_application(context, handlers))
    server.add_sockets(sockets)
    quarantine = create_quarantine(settings.host, host.clock, host.background, store)
    context.pipelines.quarantine = quarantine
    show_peers(peers, context.metrics)
    share_configuration(follower, peers, host.clock, host.rng, host.background)
    share_quarantine(quarantine, crashes, peers, store, host.clock, host.background)
    share_demand(routing.gate.rates, peers, host.clock, host.background)
    await peers.listen()
    host.background.start(peers.run(), "peers")
    host.background.start(follower.run(), "configuration follower")
    host.background.start(_create_poller(host, routing.fleet)(), "host list")
    start_routing(routing, host.background, host.clock, host.rng)
    _log.info("The host listens.", host=settings.host, address=settings.listen)
    await _wait_for_stop()
    whole = await host.stop.run(_create_stop_steps(host, context, server, peers))
    host.background.cancel()
    return 0 if whole else EXIT_WORK_CUT


def _create_operator_handlers(
    context: CallerContext, follower: Follower, peers: Peers, fleet: Fleet
) -> list[Any]:
    """Return Tornado's rules for what operators read of this host."""
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
    """Say what is done at each step of a planned stop."""

    async def flush_outcomes(timeout_ms: float) -> bool:
        return await context.ledger.flush(timeout_ms) == 0

    return ShutdownSteps(
        announce_leaving=peers.leave,
        reject_new_requests=server.end_connections_when_answered,
        drain_background=host.work_background.drain,
        flush_outcomes=flush_outcomes,
        close_connections=lambda timeout_ms: server.close_when_sent(host.clock, timeout_ms),
        leave_membership=peers.stop,
    )


def _create_context(
    host: EntryHost,
    store: KeyValueStore,
    follower: Follower,
    routing: RoutingParts,
    crashes: CrashRecord,
) -> CallerContext:
    """Join the slices that callers' handlers work with."""
    settings, fleet, budget = host.settings, routing.fleet, routing.budget
    tracer = create_tracer(host.clock, settings.host, settings.trace_spans)
    metrics = create_metrics()
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

    def note_service(replica: ServiceReplica, whole: bool) -> None:
        if whole:
            budget.note_success()
            fleet.mark_up(replica.name)
        else:
            fleet.mark_down(replica.name, SERVICE_PAUSE_MS)

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
            ledger, pick, host.clock, budget.try_spend, note_service, guard
        ),
        background=host.work_background,
        unready=lambda: host.unready(follower.current()),
        work=host.work,
        readiness=lambda: host.readiness(follower.current()),
        is_stopping=lambda: host.stop.is_stopping,
        max_body_bytes=settings.max_body_bytes,
    )


def _create_poller(host: EntryHost, fleet: Fleet) -> Callable[[], Coroutine[Any, Any, None]]:
    """Return the host list's poller, which feeds the fleet."""

    def take(targets: Targets) -> None:
        host.listed = True
        host.peer_addresses = [entry.peer_address for entry in targets.entries]
        fleet.apply_targets(own_subset(targets, host.settings))

    read = create_host_list_reader(parse_address(host.settings.host_list))
    return create_host_list_poller(read, take, host.clock, host.rng, HOST_LIST_INTERVAL_MS)


async def _wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def _leaving() -> Refusal:
    """Refuse because this host is stopping."""
    return _passing(ResultCode.LEAVING, "This host is stopping; send to another one.")


def _passing(code: ResultCode, message: str) -> Refusal:
    """Refuse for a reason that will pass."""
    return create_refusal(code, message, retry_after_ms=NOT_READY_RETRY_MS)
