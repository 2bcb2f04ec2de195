"""Assembles the components of one gateway and runs them until the process is asked to stop."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.netutil import bind_sockets

from pimentodale.addresses import parse_address
from pimentodale.background import BackgroundTasks, create_background_tasks
from pimentodale.clients.body_memory import add_body_gauges
from pimentodale.clock import MS_PER_S, Clock, create_clock
from pimentodale.forwarding.client_memory import create_client_memory
from pimentodale.forwarding.context import ForwardingContext
from pimentodale.forwarding.crash_detector import create_crash_detector
from pimentodale.forwarding.domain_choice import count_crossing_streams
from pimentodale.forwarding.error_responses import send_refusal
from pimentodale.forwarding.forwarder import STOPPING_RETRY_AFTER_MS, end_unfinished, forward
from pimentodale.forwarding.front_server import create_front_server
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.own_pauses import create_own_pauses
from pimentodale.forwarding.probes import run_probes
from pimentodale.forwarding.retry_budget_share import create_retry_budget_share
from pimentodale.forwarding.slow_streams import recheck_slow_replicas
from pimentodale.forwarding.stream_state import SharedStreamState, create_shared_stream_state
from pimentodale.gateway.load_exchange import create_load_exchange
from pimentodale.gateway.metrics import create_gateway_metrics
from pimentodale.gateway.registration import keep_registered
from pimentodale.gateway.state_sharing import (
    find_stored_crashes,
    follow_stored_crashes,
    share_lease,
    share_replica_health,
    share_slow_replicas,
)
from pimentodale.leaving.in_flight_requests import InFlightRequests, create_in_flight_requests
from pimentodale.leaving.leaving_servers import TOPIC as LEAVING_TOPIC
from pimentodale.leaving.leaving_servers import create_leaving_publisher, create_leaving_servers
from pimentodale.logs import get_log
from pimentodale.mirror.follower import create_mirror_follower
from pimentodale.mirror.mirror import create_mirror
from pimentodale.peers.mesh import rank
from pimentodale.peers.peers import create_peers
from pimentodale.peers.settings import PeersSettings
from pimentodale.placement.placer import LEASE_NAME, Placer, highest_fence
from pimentodale.process_memory import map_large_buffers
from pimentodale.process_signals import create_stop_event
from pimentodale.quarantine.crash_record import CRASH_RETENTION_MS, create_crash_record
from pimentodale.quarantine.crash_sharing import create_run_later, share_crashes
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.quarantine.spread_writes import create_spread_writes
from pimentodale.quarantine.store_writer import create_store_writer
from pimentodale.results import ResultCode
from pimentodale.site.domain_outages import detect_domain_outages
from pimentodale.site.replica_health import create_replica_health
from pimentodale.site.slow_replicas import create_slow_replicas
from pimentodale.site.view import HOST_PREFIX, create_site_view

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tornado.httputil import HTTPServerRequest
    from tornado.iostream import IOStream

    from pimentodale.addresses import Address
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.forwarding.client_exchange import ClientExchange
    from pimentodale.forwarding.front_server import FrontServer
    from pimentodale.forwarding.messages import ExchangeCodec
    from pimentodale.forwarding.stalls import StallReports
    from pimentodale.gateway.settings import GatewaySettings
    from pimentodale.peers.peers import Peers
    from pimentodale.placement.messages import EngineClient
    from pimentodale.site.view import SiteRecords, SiteView

UNREADY_GRACE_MS: Final = 2_500.0
"""How long a stopping host reports not ready but still accepts connections.

The load balancer checks readiness every second and removes a host after two failed checks. While
too few hosts are ready it keeps sending to this one regardless.
"""

STOP_RESERVE_MS: Final = 700.0
"""Part of the stop timeout that is reserved for closing connections cleanly and for the shutdown of
the interpreter, which is slow on a fraction of a core."""

FINAL_FLUSH_MS: Final = 200.0
"""Part of `STOP_RESERVE_MS`: time limit for sending buffered data to slow clients, and separately
for notifying peers."""

HEALTH_TICK_MS: Final = 100.0
"""Interval between checks for replicas that are due for a pace check."""

STOP_POLL_INTERVAL_MS: Final = 50.0

METRICS_PATH: Final = "/metrics"
METRICS_TYPE: Final = "text/plain; version=0.0.4"
"""Content type of the Prometheus text format; readiness answers carry it too."""

READINESS_MAX_BODY_BYTES: Final = 0
"""Readiness checks and requests for metrics have no body."""

READINESS_MAX_HEADER_BYTES: Final = 16 * 1024

READINESS_IDLE_MS: Final = 60_000.0
"""Maximum idle time of a connection for readiness checks, which come every second."""

READINESS_CONNECTIONS: Final = 32
"""Maximum number of connections for readiness checks and metrics; the oldest is closed."""

_log = get_log("gateway")


@dataclass(slots=True, frozen=True)
class PlatformAdapter:
    """The interface to the platform: its store, replicas and message formats."""

    store: KeyValueStore
    """The platform's key-value store."""

    records: SiteRecords
    """Store keys of the configuration and replica records, and their decoders."""

    codec: ExchangeCodec
    """Translates request and response headers."""

    engines: EngineClient
    """Client for the replicas' reports and for orders to them."""

    store_calls: Mapping[str, int] = field(default_factory=dict)
    """Number of calls to the store so far, by kind."""


class ReadinessServer(HTTPServer):
    """Answers readiness checks and requests for metrics on a bounded number of connections."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialize with the arguments of Tornado's server."""
        super().initialize(*args, **kwargs)
        self.accepted: dict[IOStream, None] = {}
        """Open connections, the oldest first, and some that have closed since the last accept."""

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection."""
        for known in [known for known in self.accepted if known.closed()]:
            del self.accepted[known]
        if len(self.accepted) >= READINESS_CONNECTIONS:
            oldest = next(iter(self.accepted))
            del self.accepted[oldest]
            oldest.close()
        self.accepted[stream] = None
        super().handle_stream(stream, address)


@dataclass(slots=True)
class Gateway:
    """State of one running gateway."""

    settings: GatewaySettings
    platform: PlatformAdapter
    clock: Clock = field(default_factory=create_clock)
    background: BackgroundTasks = field(default_factory=create_background_tasks)
    rng: random.Random = field(default_factory=random.SystemRandom)
    work: InFlightRequests = field(default_factory=create_in_flight_requests)
    shared_streams: SharedStreamState = field(init=False)
    is_stopping: bool = False
    is_refusing: bool = False
    """Whether new requests are refused because too little time is left for a new stream."""

    def __post_init__(self) -> None:
        """Create the empty shared stream state."""
        self.shared_streams = create_shared_stream_state(self.clock, self.settings.drain_ms)


async def run_gateway(settings: GatewaySettings, platform: PlatformAdapter) -> int:
    """Run a gateway until SIGTERM.

    Args:
        settings: The gateway's settings.
        platform: The adapter to the platform it runs on.

    Returns:
        The program's exit code.
    """
    map_large_buffers()
    stop = create_stop_event(_note_hangup)
    gateway = Gateway(settings, platform)
    mirror = create_mirror(gateway.clock, settings.replica_heartbeat_ms)
    view = create_site_view(platform.records, mirror, gateway.clock)
    peers = _create_peers(gateway, view)
    leaving = view.leaving = create_leaving_servers(
        gateway.clock, create_leaving_publisher(peers), view.note_leaving_changed
    )
    peers.subscribe(LEAVING_TOPIC, lambda update: leaving.receive_notice(update.value))
    platform.engines.subscribe_leaving(view.note_leaving)
    ctx = _create_forwarding_context(gateway, view, peers)
    ctx.metrics.leaving_signs = leaving.signal_counts
    running = gateway.shared_streams.running
    ctx.replica_health.subscribe_down(running.note_lost)
    view.subscribe_departures(running.note_leaving, running.note_lost)
    follower = create_mirror_follower(mirror, platform.store, peers, gateway.clock, gateway.rng)
    ctx.metrics.add_gauge("mirror_skipped_watchers", lambda: follower.skipped_watchers)
    placer = Placer(
        settings.host,
        platform.store,
        platform.engines,
        view,
        ctx.replica_health,
        gateway.clock,
        gateway.rng,
        lambda: _rank_hosts(peers).index(settings.host),
    )
    ctx.loads.subscribe(gateway.shared_streams.queue.wake)
    _count_by_domain(gateway, ctx, peers)
    share_lease(placer, peers, lambda: _rank_hosts(peers))
    server = _serve_clients(gateway, ctx)
    _serve_readiness(gateway, ctx)
    await peers.listen()
    start = gateway.background.start
    start(peers.run(), "peers")
    start(follower.follow_store(), "store")
    start(follower.sync_from_peers(), "mirror through peers")
    start(
        keep_registered(
            platform.store,
            gateway.clock,
            gateway.rng,
            settings.host,
            settings.peer_listen,
            lambda: HOST_PREFIX + settings.host in mirror.items,
        ),
        "registration",
    )
    load_exchange = create_load_exchange(ctx.loads, view, peers, gateway.clock, gateway.rng)
    start(load_exchange.run(), "loads")
    start(ctx.own_pauses.run(), "own pauses")
    start(run_probes(ctx), "probes")
    start(_recheck_slow_replicas(ctx, gateway.shared_streams.reports), "paces")
    start(placer.run(), "placement")
    _log.info("The gateway listens.", host=settings.host, address=settings.client_listen)
    await stop.wait()
    await _stop(gateway, server, peers, placer, ctx)
    return 0


def _rank_hosts(peers: Peers) -> list[str]:
    """Return this host and all live ones, ordered by rank for site-wide duties."""
    hosts = {peers.own.host, *(member.host for member in peers.live_members())}
    return rank(LEASE_NAME, hosts)


def _create_peers(gateway: Gateway, view: SiteView) -> Peers:
    """Create this host's cluster membership without starting it."""
    settings = gateway.settings
    own = parse_address(settings.peer_listen)
    seeds = [parse_address(text) for text in settings.seeds]

    def list_peers() -> list[Address]:
        known = {*view.peer_addresses.values(), *seeds}
        return sorted(known - {own})

    peers_settings = PeersSettings(
        host=settings.host,
        failure_domain=settings.failure_domain,
        region=settings.region,
        listen=own,
    )
    return create_peers(peers_settings, gateway.clock, list_peers)


def _create_forwarding_context(gateway: Gateway, view: SiteView, peers: Peers) -> ForwardingContext:
    """Create the components that request handling uses."""
    settings, clock = gateway.settings, gateway.clock
    replica_health = create_replica_health(clock)
    record = create_crash_record(clock)
    slow_replicas = create_slow_replicas(clock)
    share_replica_health(replica_health, peers)
    share_slow_replicas(slow_replicas, peers)
    detect_domain_outages(replica_health, view.replicas.values, settings.failure_domain, clock)
    writer = create_store_writer(clock, gateway.platform.store, CRASH_RETENTION_MS)
    gateway.background.start(writer.run(), "crash writer")
    spread_writes = create_spread_writes(clock, gateway.background, gateway.rng)
    rewrite_crashes = share_crashes(
        record,
        peers,
        writer.put,
        settings.host,
        schedule=spread_writes.schedule,
        find_stored=lambda fingerprint: find_stored_crashes(view.mirror, fingerprint),
        run_later=create_run_later(clock, gateway.background),
    )
    follow_stored_crashes(record, view.mirror)
    store, mirror = gateway.platform.store, view.mirror
    retrials = create_retrials(settings.host, clock, record, store, mirror.has_settled)

    def rewrite() -> None:
        rewrite_crashes()
        gateway.background.start(retrials.rewrite(), "rewriting of trials")

    mirror.subscribe_return(rewrite)
    metrics = create_gateway_metrics()
    metrics.store_calls = gateway.platform.store_calls
    metrics.count_hold_offs = lambda: replica_health.hold_offs.asked
    metrics.add_gauge("requests_in_progress", lambda: len(gateway.work))
    metrics.add_gauge("requests_waiting", lambda: len(gateway.shared_streams.queue))
    metrics.add_gauge("live_hosts", lambda: len(peers.live_members()))
    metrics.add_gauge("mirror_age_ms", view.mirror.age_ms)
    metrics.add_gauge("mirror_revision", lambda: view.mirror.revision)
    metrics.add_gauge("mirror_era", lambda: view.mirror.era)
    metrics.add_gauge("mirror_ignored_answers", lambda: view.mirror.ignored_answers)
    metrics.add_gauge("mirror_early_items", lambda: view.mirror.early_items)
    metrics.add_gauge("configuration_version", lambda: _configuration_version(view))
    metrics.add_gauge("convicted_requests", record.count_convicted)
    add_body_gauges(metrics.add_gauge)

    own_pauses = create_own_pauses(clock)
    metrics.add_gauge("own_pauses", lambda: own_pauses.count)
    metrics.add_gauge("own_pauses_ms", lambda: own_pauses.total_ms)

    def count_hosts() -> int:
        return max(len(peers.live_members()), len(view.peer_addresses))

    retries = create_retry_budget_share(
        clock,
        settings.retry_ratio,
        settings.retry_fixed,
        settings.retry_window_s * MS_PER_S,
        count_hosts,
    )
    crashes = create_crash_detector(
        clock, record, view, replica_health, gateway.background, retrials
    )
    metrics.add_gauge("sound_parts", lambda: len(crashes.sound_parts))
    return ForwardingContext(
        clock=clock,
        codec=gateway.platform.codec,
        engines=gateway.platform.engines,
        view=view,
        replica_health=replica_health,
        slow_replicas=slow_replicas,
        loads=create_load_table(clock),
        retries=retries,
        crashes=crashes,
        metrics=metrics,
        own_pauses=own_pauses,
        failure_domain=settings.failure_domain,
        stall_ms=settings.stall_ms,
        background=gateway.background,
        fence=lambda: highest_fence(view),
        rng=gateway.rng,
    )


def _count_by_domain(gateway: Gateway, ctx: ForwardingContext, peers: Peers) -> None:
    """Have streams counted by failure domain, and add the metrics of those that leave theirs."""
    choice, loads, view = ctx.domain_choice, ctx.loads, ctx.view

    def domain_of(replica_id: str) -> str:
        record = view.replicas.get(replica_id)
        return "" if record is None else record.failure_domain

    loads.home = ctx.failure_domain
    loads.domain_of = domain_of
    loads.count_waiting = lambda: len(gateway.shared_streams.queue)
    choice.count_hosts = lambda: max(1, len(peers.live_members()), len(view.peer_addresses))
    ctx.metrics.list_domain_shares = choice.list_shares
    ctx.metrics.count_crossing_streams = lambda: count_crossing_streams(ctx)
    ctx.metrics.add_gauge("crossing_refused", lambda: choice.refused)


def _configuration_version(view: SiteView) -> int:
    """Return the version of the configuration in force, 0 without one."""
    return view.configuration.version if view.configuration else 0


def _serve_clients(gateway: Gateway, ctx: ForwardingContext) -> FrontServer:
    """Start the server for clients."""

    async def handle(exchange: ClientExchange) -> None:
        exchange.is_last = gateway.is_stopping
        if gateway.is_refusing:
            message = "This host is stopping; it has not run, send to another one."
            await send_refusal(
                exchange, ResultCode.LEAVING, message, retry_after_ms=STOPPING_RETRY_AFTER_MS
            )
            return
        with gateway.work.counted():
            await forward(ctx, gateway.shared_streams, exchange)

    settings = gateway.settings
    memory = create_client_memory(gateway.clock, settings.memory_mb)
    ctx.metrics.client_refusals = memory.refusals
    ctx.metrics.add_gauge("client_bytes", lambda: memory.held_bytes)
    ctx.metrics.add_gauge("client_bytes_limit", lambda: memory.limit_bytes)
    server = create_front_server(
        gateway.platform.codec, gateway.clock, handle, memory, settings.max_fds
    )

    def apply_limits() -> None:
        if ctx.view.configuration is not None:
            server.apply_limits(ctx.view.configuration.limits)

    ctx.view.subscribe(apply_limits)
    listen = parse_address(settings.client_listen)
    server.add_sockets(bind_sockets(listen.port, listen.ip))
    return server


def _serve_readiness(gateway: Gateway, ctx: ForwardingContext) -> None:
    """Start the server for readiness checks and metrics."""

    def answer(request: HTTPServerRequest) -> None:
        """Answer a readiness check, 200 only while configured and not stopping, or send metrics."""
        status, body = 404, b""
        if request.path == gateway.platform.codec.READY_PATH:
            is_ready = ctx.view.configuration is not None and not gateway.is_stopping
            status = 200 if is_ready else 503
        elif request.path == METRICS_PATH:
            status, body = 200, ctx.metrics.exposition()
        headers = HTTPHeaders({"Content-Type": METRICS_TYPE, "Content-Length": str(len(body))})
        connection = request.connection
        assert connection is not None
        start_line = ResponseStartLine("HTTP/1.1", status, HTTPStatus(status).phrase)
        connection.write_headers(start_line, headers, body)
        connection.finish()

    # tornado.web is avoided for just two paths: importing it is a tenth of the start-up imports.
    server = ReadinessServer(
        answer,
        max_body_size=READINESS_MAX_BODY_BYTES,
        max_header_size=READINESS_MAX_HEADER_BYTES,
        idle_connection_timeout=READINESS_IDLE_MS / MS_PER_S,
    )
    settings = gateway.settings
    addresses = {settings.ready_listen, settings.metrics_listen} - {""}
    for text in sorted(addresses):
        listen = parse_address(text)
        server.listen(listen.port, listen.ip)


async def _recheck_slow_replicas(ctx: ForwardingContext, reports: StallReports) -> None:
    """Recheck replicas marked as slow until cancelled."""
    while True:
        await ctx.clock.sleep_ms(HEALTH_TICK_MS)
        await recheck_slow_replicas(ctx, reports)


def _note_hangup() -> None:
    """Log that the platform has changed the settings file."""
    _log.info("SIGHUP is ignored; settings are read only at start.")


async def _stop(
    gateway: Gateway, server: FrontServer, peers: Peers, placer: Placer, ctx: ForwardingContext
) -> None:
    """Stop gracefully: report not ready, stop accepting, then wait for requests in progress."""
    started_ms = gateway.clock.now_ms()
    end_ms = started_ms + gateway.settings.stop_timeout_s * MS_PER_S - STOP_RESERVE_MS
    gateway.is_stopping = True
    server.end_connections_when_answered()
    _log.info("The gateway is stopping.", requests_in_progress=len(gateway.work))
    peers.leave()
    gateway.background.start(placer.release(), "release of the lease")
    await gateway.clock.sleep_ms(UNREADY_GRACE_MS)
    gateway.is_refusing = True
    server.stop_accepting()
    while len(gateway.work) and gateway.clock.now_ms() < end_ms:
        await gateway.clock.sleep_ms(STOP_POLL_INTERVAL_MS)
    end_unfinished(ctx)
    await server.close_when_sent(gateway.clock, FINAL_FLUSH_MS)
    try:
        await asyncio.wait_for(peers.stop(), FINAL_FLUSH_MS / MS_PER_S)
    except TimeoutError:
        _log.warning(
            "Not all peers were notified of the stop in time; failure detection will notice it."
        )
    gateway.background.cancel()
    _log.info("The gateway has stopped.", requests_cut=len(gateway.work))
