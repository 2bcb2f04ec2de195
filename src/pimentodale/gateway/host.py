"""Wires the slices of one gateway together and runs them until it is told to stop."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.netutil import bind_sockets

from pimentodale.addresses import parse_address
from pimentodale.background import BackgroundTasks, create_background_tasks
from pimentodale.clock import MS_PER_S, Clock, create_clock
from pimentodale.forwarding.context import ForwardingContext
from pimentodale.forwarding.crash_detector import create_crash_detector
from pimentodale.forwarding.error_responses import send_refusal
from pimentodale.forwarding.forwarder import forward
from pimentodale.forwarding.front_server import create_front_server
from pimentodale.forwarding.load_table import create_load_table
from pimentodale.forwarding.retry_budget_share import create_retry_budget_share
from pimentodale.forwarding.slow_streams import recheck_slow_replicas
from pimentodale.forwarding.stream_state import SharedStreamState, create_shared_stream_state
from pimentodale.gateway.load_exchange import create_load_exchange
from pimentodale.gateway.metrics import create_gateway_metrics
from pimentodale.gateway.registration import keep_registered
from pimentodale.gateway.sharing import (
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
from pimentodale.quarantine.crash_record import CRASH_RETENTION_MS, create_crash_record
from pimentodale.quarantine.crash_sharing import share_crashes
from pimentodale.quarantine.retrials import create_retrials
from pimentodale.quarantine.store_writer import create_store_writer
from pimentodale.results import ResultCode
from pimentodale.site.domain_outages import detect_domain_outages
from pimentodale.site.replica_health import create_replica_health, incarnation_of
from pimentodale.site.slow_replicas import create_slow_replicas
from pimentodale.site.view import create_site_view

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tornado.httputil import HTTPServerRequest

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

UNREADY_MS: Final = 2_500.0
"""How long a stopping host goes on accepting: the balancer takes it out after two misses.

The balancer asks each second. Where too few hosts are ready it sends to this one all the same.
"""

STOP_RESERVE_MS: Final = 700.0
"""Time kept before the process is ended: to close connections in order, and for the interpreter's own end,
which is slow on a part of a core."""

LAST_WORD_MS: Final = 200.0
"""Longest part of it for clients that read slowly, and for the last word to other hosts."""

BELIEF_TICK_MS: Final = 100.0
"""How often it is looked which replicas are due to be probed."""

STOP_POLL_MS: Final = 50.0

METRICS_PATH: Final = "/metrics"
METRICS_TYPE: Final = "text/plain; version=0.0.4"
"""Prometheus' text format."""

LEAVING_RETRY_MS: Final = 50.0
"""When a client may come back that a stopping host refused: its next try reaches another host."""

_log = get_log("gateway")


@dataclass(slots=True, frozen=True)
class PlatformMeans:
    """What an adapter provides."""

    store: KeyValueStore
    """The store."""

    records: SiteRecords
    """Where operators and replicas write, and how it is decoded."""

    codec: ExchangeCodec
    """Translates headers."""

    engines: EngineClient
    """Reports of replicas, and orders to them."""

    store_calls: Mapping[str, int] = field(default_factory=dict)
    """Calls made to the store so far, by kind."""


@dataclass(slots=True)
class Gateway:
    """State of one running gateway."""

    settings: GatewaySettings
    platform: PlatformMeans
    clock: Clock = field(default_factory=create_clock)
    background: BackgroundTasks = field(default_factory=create_background_tasks)
    rng: random.Random = field(default_factory=random.SystemRandom)
    work: InFlightRequests = field(default_factory=create_in_flight_requests)
    pool: SharedStreamState = field(init=False)
    is_stopping: bool = False
    is_refusing: bool = False
    """Whether the time left is too short for a stream that begins now."""

    def __post_init__(self) -> None:
        """Begin without streams."""
        self.pool = create_shared_stream_state(self.clock)


async def run_gateway(settings: GatewaySettings, platform: PlatformMeans) -> int:
    """Run a gateway until SIGTERM.

    Args:
        settings: Its place and addresses.
        platform: The adapter to the platform that it runs on.

    Returns:
        The program's exit code.
    """
    gateway = Gateway(settings, platform)
    mirror = create_mirror(gateway.clock)
    view = create_site_view(platform.records, mirror, gateway.clock)
    peers = _create_peers(gateway, view)
    leaving = view.leaving = create_leaving_servers(
        gateway.clock, create_leaving_publisher(peers), view.note_leaving_changed
    )
    peers.subscribe(LEAVING_TOPIC, lambda update: leaving.receive_notice(update.value))
    platform.engines.subscribe_leaving(view.note_leaving)
    means = _create_means(gateway, view, peers)
    means.metrics.leaving_signs = leaving.signs
    follower = create_mirror_follower(mirror, platform.store, peers, gateway.clock, gateway.rng)
    placer = Placer(
        settings.host,
        platform.store,
        platform.engines,
        view,
        means.replica_health,
        gateway.clock,
        gateway.rng,
        lambda: _rank_hosts(peers).index(settings.host),
    )
    means.loads.subscribe(gateway.pool.queue.wake)
    share_lease(placer, peers, lambda: _rank_hosts(peers))
    server = _serve_clients(gateway, means)
    _serve_readiness(gateway, means)
    await peers.listen()
    start = gateway.background.start
    start(peers.run(), "peers")
    start(follower.follow_store(), "store")
    start(follower.sync_from_peers(), "mirror through peers")
    start(
        keep_registered(
            platform.store,
            gateway.clock,
            settings.host,
            settings.peer_listen,
            lambda: settings.host in view.peer_addresses,
        ),
        "registration",
    )
    exchange = create_load_exchange(means.loads, view, peers, gateway.clock, gateway.rng)
    start(exchange.run(), "loads")
    start(_probe_replicas(means), "probes")
    start(_recheck_slow_replicas(means, gateway.pool.reports), "paces")
    start(placer.run(), "placement")
    _log.info("The gateway listens.", host=settings.host, address=settings.client_listen)
    await _wait_for_stop()
    await _stop(gateway, server, peers, placer)
    return 0


def _rank_hosts(peers: Peers) -> list[str]:
    """Return this host and the live ones, the first in rank for duties of the whole site first."""
    hosts = {peers.own.host, *(member.host for member in peers.live_members())}
    return rank(LEASE_NAME, hosts)


def _create_peers(gateway: Gateway, view: SiteView) -> Peers:
    """Return this host's membership, not running yet."""
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


def _create_means(gateway: Gateway, view: SiteView, peers: Peers) -> ForwardingContext:
    """Join the slices that requests work with."""
    settings, clock = gateway.settings, gateway.clock
    replica_health = create_replica_health(clock)
    record = create_crash_record(clock)
    slow_replicas = create_slow_replicas(clock)
    share_replica_health(replica_health, peers)
    share_slow_replicas(slow_replicas, peers)
    detect_domain_outages(replica_health, view.replicas.values, settings.failure_domain, clock)
    writer = create_store_writer(clock, gateway.platform.store, CRASH_RETENTION_MS)
    gateway.background.start(writer.run(), "crash writer")
    share_crashes(record, peers, writer.put, settings.host)
    follow_stored_crashes(record, view.mirror)
    retrials = create_retrials(settings.host, clock, record, gateway.platform.store)
    metrics = create_gateway_metrics()
    metrics.store_calls = gateway.platform.store_calls
    metrics.count_hold_offs = lambda: replica_health.hold_offs.asked
    metrics.add_gauge("requests_in_progress", lambda: len(gateway.work))
    metrics.add_gauge("requests_waiting", lambda: len(gateway.pool.queue))
    metrics.add_gauge("live_hosts", lambda: len(peers.live_members()))
    metrics.add_gauge("mirror_age_ms", view.mirror.age_ms)
    metrics.add_gauge("convicted_requests", record.count_convicted)

    def count_hosts() -> int:
        return max(len(peers.live_members()), len(view.peer_addresses))

    retries = create_retry_budget_share(
        clock,
        settings.retry_ratio,
        settings.retry_fixed,
        settings.retry_window_s * MS_PER_S,
        count_hosts,
    )
    return ForwardingContext(
        clock=clock,
        codec=gateway.platform.codec,
        engines=gateway.platform.engines,
        view=view,
        replica_health=replica_health,
        slow_replicas=slow_replicas,
        loads=create_load_table(clock),
        retries=retries,
        crashes=create_crash_detector(
            clock, record, view, replica_health, gateway.background, retrials
        ),
        metrics=metrics,
        failure_domain=settings.failure_domain,
        stall_ms=settings.stall_ms,
        background=gateway.background,
        fence=lambda: highest_fence(view),
        rng=gateway.rng,
    )


def _serve_clients(gateway: Gateway, means: ForwardingContext) -> FrontServer:
    """Listen for clients."""

    async def handle(exchange: ClientExchange) -> None:
        exchange.is_last = gateway.is_stopping
        if gateway.is_refusing:
            message = "This host is stopping; it has not run, send to another one."
            await send_refusal(
                exchange, ResultCode.LEAVING, message, retry_after_ms=LEAVING_RETRY_MS
            )
            return
        with gateway.work.counted():
            await forward(means, gateway.pool, exchange)

    server = create_front_server(gateway.platform.codec, gateway.clock, handle)

    def apply_limits() -> None:
        if means.view.configuration is not None:
            server.apply_limits(means.view.configuration.limits)

    means.view.subscribe(apply_limits)
    listen = parse_address(gateway.settings.client_listen)
    server.add_sockets(bind_sockets(listen.port, listen.ip))
    return server


def _serve_readiness(gateway: Gateway, means: ForwardingContext) -> None:
    """Listen for the balancer, and for whoever reads metrics."""

    def answer(request: HTTPServerRequest) -> None:
        """Answer 200 once a configuration is known, until the host stops; or with the metrics."""
        status, body = 404, b""
        if request.path == gateway.platform.codec.READY_PATH:
            is_ready = means.view.configuration is not None and not gateway.is_stopping
            status = 200 if is_ready else 503
        elif request.path == METRICS_PATH:
            status, body = 200, means.metrics.exposition()
        headers = HTTPHeaders({"Content-Type": METRICS_TYPE, "Content-Length": str(len(body))})
        connection = request.connection
        assert connection is not None
        start_line = ResponseStartLine("HTTP/1.1", status, HTTPStatus(status).phrase)
        connection.write_headers(start_line, headers, body)
        connection.finish()

    # No tornado.web for two paths: it is a tenth of what a start loads.
    server = HTTPServer(answer)
    settings = gateway.settings
    addresses = {settings.ready_listen, settings.metrics_listen} - {""}
    for text in sorted(addresses):
        listen = parse_address(text)
        server.listen(listen.port, listen.ip)


async def _probe_replicas(means: ForwardingContext) -> None:
    """Ask replicas that count as down whether they answer again, for ever."""
    while True:
        await means.clock.sleep_ms(BELIEF_TICK_MS)
        known = {incarnation_of(replica): replica for replica in means.view.replicas.values()}
        due = means.replica_health.due_probes()
        for incarnation in due:
            if incarnation not in known:
                means.replica_health.forget(incarnation)
        probes = [known[incarnation] for incarnation in due if incarnation in known]
        found = await asyncio.gather(*(means.engines.probe(replica) for replica in probes))
        for replica, started_ms in zip(probes, found, strict=True):
            if started_ms.is_error():
                means.replica_health.note_failed_probe(incarnation_of(replica), started_ms.error)
                continue
            if started_ms.ok in (0, replica.started_ms):
                means.replica_health.mark_up(incarnation_of(replica))


async def _recheck_slow_replicas(means: ForwardingContext, reports: StallReports) -> None:
    """Ask slow replicas whether they still are, for ever."""
    while True:
        await means.clock.sleep_ms(BELIEF_TICK_MS)
        await recheck_slow_replicas(means, reports)


async def _wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("The settings stay as they are."))
    await stop.wait()


async def _stop(gateway: Gateway, server: FrontServer, peers: Peers, placer: Placer) -> None:
    """Stop without cutting a request: not ready, then no new connections, then the end."""
    started_ms = gateway.clock.now_ms()
    end_ms = started_ms + gateway.settings.stop_timeout_s * MS_PER_S - STOP_RESERVE_MS
    gateway.is_stopping = True
    server.end_connections_when_answered()
    _log.info("The gateway stops.", requests_in_progress=len(gateway.work))
    peers.leave()
    gateway.background.start(placer.release(), "release of the lease")
    await gateway.clock.sleep_ms(UNREADY_MS)
    gateway.is_refusing = True
    server.stop_accepting()
    while len(gateway.work) and gateway.clock.now_ms() < end_ms:
        await gateway.clock.sleep_ms(STOP_POLL_MS)
    await server.close_when_sent(gateway.clock, LAST_WORD_MS)
    try:
        await asyncio.wait_for(peers.stop(), LAST_WORD_MS / MS_PER_S)
    except TimeoutError:
        _log.warning("Some hosts were not told of the stop in time; they find it out themselves.")
    gateway.background.cancel()
    _log.info("The gateway has stopped.", requests_cut=len(gateway.work))
