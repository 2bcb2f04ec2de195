"""Public interface of the entry hosts' membership."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.background import create_background_tasks
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log
from pimentodale.peers.connection_pool import ConnectionPool
from pimentodale.peers.counters import PeerCounters
from pimentodale.peers.detector import PAUSE_SLACK_MS, Detector
from pimentodale.peers.links import NS_PER_MS, Links, address_of
from pimentodale.peers.membership import Membership
from pimentodale.peers.mesh import choose_watchers
from pimentodale.peers.mesh_manager import MeshManager
from pimentodale.peers.message_stream import (
    BadMessageError,
    MessageStream,
    ReceiveBudget,
    connect,
)
from pimentodale.peers.messages import (
    MAX_VALUE_BYTES,
    PROTOCOL,
    Hello,
    MemberRecord,
    MemberState,
    Probe,
    ProbeReply,
    Reply,
    Request,
)
from pimentodale.results import ResultCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from pimentodale.addresses import Address
    from pimentodale.clock import Clock
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.messages import Message
    from pimentodale.peers.settings import PeersSettings

MAX_REQUEST_BYTES: Final = 1024 * 1024
"""Maximum body size of a request between hosts."""

MAX_HANDSHAKES: Final = 128
"""Maximum number of connections whose first message has not been received."""

MAX_SERVED_STREAMS: Final = 512
"""Maximum number of request connections that are kept open for further requests."""

MAX_REQUEST_IDLE_MS: Final = 6_000.0
"""How long a request connection stays open without a request."""

WATCHERS: Final = 2
"""Number of hosts of each failure domain that watch the platform for the others."""

_HANDSHAKE_TIMEOUT_MS: Final = 2_000.0
_EXPIRE_INTERVAL_MS: Final = 2_000.0
_SHUTDOWN_TIMEOUT_MS: Final = 500.0

_log = get_log("peers")


class PeerFault(msgspec.Struct, frozen=True):
    """Reason why a request to another host failed."""

    sent: bool
    """Whether the other host may have handled the request."""

    message: str
    """What happened."""


class Peers:
    """This host's membership. `run` serves until `stop`; other methods may be called meanwhile."""

    __slots__ = (
        "_clock",
        "_connection_pool",
        "_detector",
        "_flush_timer",
        "_handlers",
        "_handshaking",
        "_links",
        "_membership",
        "_mesh_manager",
        "_receive_budget",
        "_server",
        "_serving",
        "_settings",
        "_stop",
        "_tasks",
        "counters",
    )

    def __init__(
        self,
        settings: PeersSettings,
        clock: Clock,
        list_entry_targets: Callable[[], Sequence[Address]],
    ) -> None:
        self.counters = PeerCounters()
        self._settings = settings
        self._clock = clock
        self._tasks = create_background_tasks()
        self._membership = Membership(settings, clock, self.counters)
        self._links = Links(settings, clock, self.counters, self._membership, self._tasks)
        self._detector = Detector(
            settings, clock, self.counters, self._membership, self._links, self._tasks
        )
        self._mesh_manager = MeshManager(
            settings,
            clock,
            self._membership,
            self._links,
            self._detector,
            self._tasks,
            list_entry_targets,
        )
        self._handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}
        self._stop = asyncio.Event()
        self._handshaking = 0
        self._serving = 0
        self._receive_budget = ReceiveBudget()
        self._connection_pool = ConnectionPool()
        self._flush_timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._membership.connect_links(self._flush_soon, self._links.has_live_link)
        self._membership.subscribe_members(self._mesh_manager.note_member_change)
        self._links.connect_detector(
            self._detector.start_check,
            self._detector.answer_probe,
            self._detector.handle_indirect_reply,
        )

    @property
    def own(self) -> MemberRecord:
        """This host's record of itself."""
        return self._membership.own

    async def listen(self) -> None:
        """Start to accept connections; must be called before `run`.

        Raises:
            OSError: If the address can't be listened on.
        """
        listen = self._settings.listen
        self._server = await asyncio.start_server(self._accept, listen.ip, listen.port)

    async def run(self) -> None:
        """Maintain the mesh and replicate state until `stop` completes."""
        self._tasks.start(self._mesh_manager.explore(), "explore")
        ticker = asyncio.ensure_future(self._tick())
        stopping = asyncio.ensure_future(self._stop.wait())
        try:
            await asyncio.wait((ticker, stopping), return_when=asyncio.FIRST_COMPLETED)
            if ticker.done():
                ticker.result()
        finally:
            ticker.cancel()
            stopping.cancel()
            if self._server is not None:
                self._server.close()
            self._tasks.cancel()
            await self._tasks.drain(_SHUTDOWN_TIMEOUT_MS)
            for link in list(self._links.by_host.values()):
                link.stream.close()
            self._connection_pool.close_idle(self._clock.now_ms())

    def publish(
        self, topic: str, key: str, value: bytes, ttl_ms: float, *, urgent: bool = True
    ) -> None:
        """Publish a small value to every host; replaces this host's earlier one.

        Args:
            topic: Kind of state.
            key: Key within the topic.
            value: The value, up to `MAX_VALUE_BYTES`.
            ttl_ms: Time to live unless it is published again.
            urgent: Whether it is sent at once rather than with the next heartbeats.

        Raises:
            ValueError: If the value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"a value of {len(value)} bytes; keep it to {MAX_VALUE_BYTES}")
        self._membership.publish(topic, key, value, ttl_ms, urgent)

    def subscribe(self, topic: str, callback: Callable[[EntryUpdate], None]) -> None:
        """Register a callback for each new value that another host publishes."""
        self._membership.subscribe(topic, callback)

    def subscribe_members(self, callback: Callable[[MemberRecord], None]) -> None:
        """Register a callback for each change of another member's record."""
        self._membership.subscribe_members(callback)

    def handle(self, topic: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Register the handler for other hosts' requests under a topic."""
        self._handlers[topic] = handler

    def members(self) -> list[MemberRecord]:
        """Return all known members, including this host and gone members still retained."""
        return [item.record for item in self._membership.state.members.values()]

    def live_members(self) -> list[MemberRecord]:
        """Return the members that accept work, including this host unless it is leaving."""
        live = self._membership.others(MemberState.ALIVE)
        if self.own.state is MemberState.ALIVE:
            live.append(self.own)
        return live

    def linked_hosts(self) -> list[str]:
        """Return the names of the hosts to which this host has a link."""
        return sorted(self._links.by_host)

    def is_watcher(self) -> bool:
        """Return whether this host watches the platform for its failure domain."""
        domain = self._settings.failure_domain
        hosts = {member.host for member in self.live_members() if member.failure_domain == domain}
        hosts.add(self._settings.host)
        return self._settings.host in choose_watchers(domain, hosts, WATCHERS)

    async def request(
        self,
        host: str,
        topic: str,
        body: bytes,
        timeout_ms: float,
        *,
        reuse_connection: bool = False,
    ) -> Result[bytes, PeerFault]:
        """Send a request to another host, on a connection that carries no other request meanwhile.

        Args:
            host: Name of the host.
            topic: Name of the handler.
            body: The request body, up to `MAX_REQUEST_BYTES`.
            timeout_ms: Time limit for the whole exchange.
            reuse_connection: Whether the connection is kept for the next such request; the handler
                may then receive a request twice.

        Returns:
            The reply's body, or why the request failed.
        """
        item = self._membership.state.members.get(host)
        if item is None:
            return Error(PeerFault(False, f"no host '{host}' is known"))
        if len(body) > MAX_REQUEST_BYTES:
            return Error(PeerFault(False, f"the request is over {MAX_REQUEST_BYTES} bytes"))
        deadline_ms = self._clock.now_ms() + timeout_ms
        question = Request(PROTOCOL, topic, body)
        address = address_of(item.record)
        kept = self._connection_pool.take(address, topic) if reuse_connection else None
        if kept is not None:
            answered = await self._ask(kept, host, question, deadline_ms)
            if answered.is_ok():
                self._connection_pool.put(address, topic, kept, self._clock.now_ms())
                return answered
            kept.close()
            if deadline_ms <= self._clock.now_ms():
                return answered
            # The other side closes idle connections, so the request is retried on a new one.
        self.counters.dials += 1
        left_ms = deadline_ms - self._clock.now_ms()
        try:
            stream = await connect(address, self._settings.listen.ip, left_ms, self.counters)
        except OSError as error:
            return Error(PeerFault(False, f"no connection to {host}: {error}"))
        answered = Error(PeerFault(True, f"the question to {host} was given up"))
        try:
            answered = await self._ask(stream, host, question, deadline_ms)
        finally:
            if reuse_connection and answered.is_ok():
                self._connection_pool.put(address, topic, stream, self._clock.now_ms())
            else:
                stream.close()
        return answered

    async def _ask(
        self, stream: MessageStream, host: str, question: Request, deadline_ms: float
    ) -> Result[bytes, PeerFault]:
        """Send a request on an open connection; the caller must close it on failure."""
        try:
            stream.write(question)
            answer = await stream.read_within(deadline_ms - self._clock.now_ms())
        except (OSError, BadMessageError) as error:
            return Error(PeerFault(True, f"{host} gave no answer: {error}"))
        if not isinstance(answer, Reply) or not answer.handled:
            return Error(PeerFault(True, f"{host} has no answer to '{question.topic}'"))
        return Ok(answer.body)

    def leave(self) -> None:
        """Announce that this host accepts no new work; this can't be reversed."""
        self._membership.set_own_state(MemberState.LEAVING)
        self._flush()

    async def stop(self) -> None:
        """Announce that this host is gone, and end `run`."""
        self._membership.set_own_state(MemberState.GONE)
        self._flush()
        self._links.closing = True
        links = list(self._links.by_host.values())
        await asyncio.gather(*(link.stream.drain(_SHUTDOWN_TIMEOUT_MS) for link in links))
        self._stop.set()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start a task that handles a new connection; reject it if too many await a first message."""
        if self._handshaking >= MAX_HANDSHAKES:
            writer.transport.abort()
            return
        self._handshaking += 1
        stream = MessageStream(reader, writer, self.counters, self._receive_budget)
        self._tasks.start(self._handshake(stream), "greet")

    async def _handshake(self, stream: MessageStream) -> None:
        """Read the first message and answer it, or pass the stream to a link."""
        greeted = False
        try:
            message = await stream.read_within(_HANDSHAKE_TIMEOUT_MS)
            if getattr(message, "protocol", "") != PROTOCOL:
                raise BadMessageError(f"the first message does not name the protocol {PROTOCOL}")
            if isinstance(message, Hello):
                self._links.accept(stream, message)
            elif isinstance(message, Probe):
                stream.write(ProbeReply(self.own))
                stream.close_when_sent()
            elif isinstance(message, Request):
                greeted = True
                self._handshaking -= 1
                await self._answer_all(stream, message)
        except OSError:
            stream.close()
        except BadMessageError as error:
            stream.close()
            self.counters.malformed_messages += 1
            _log.warning(
                "A connection sent an invalid message and was closed.",
                code=int(ResultCode.MALFORMED_REQUEST),
                problem=str(error),
            )
        except asyncio.CancelledError:
            stream.close()
            raise
        finally:
            self._handshaking -= not greeted

    async def _answer_all(self, stream: MessageStream, request: Request) -> None:
        """Answer another host's requests until the connection closes or is idle for too long."""
        self._serving += 1
        try:
            message: Message = request
            while isinstance(message, Request):
                await self._answer(stream, message)
                if self._serving > MAX_SERVED_STREAMS:
                    break
                message = await stream.read_within(MAX_REQUEST_IDLE_MS)
        finally:
            self._serving -= 1
            stream.close_when_sent()

    async def _answer(self, stream: MessageStream, request: Request) -> None:
        """Answer one request of another host."""
        handler = self._handlers.get(request.topic)
        reply = Reply(False, b"")
        try:
            if handler is not None:
                reply = Reply(True, await handler(request.body))
        finally:
            stream.write(reply)

    async def _tick(self) -> None:
        """Run the periodic work on heartbeats, links, suspects and the mesh until cancelled."""
        due_ms = self._clock.now_ms()
        expired_ms = due_ms
        while True:
            due_ms += self._settings.heartbeat_ms * self._membership.heartbeat_factor()
            await self._clock.sleep_ms(due_ms - self._clock.now_ms())
            now_ms = self._clock.now_ms()
            started_ns = time.thread_time_ns()
            if now_ms - due_ms > PAUSE_SLACK_MS:
                due_ms = now_ms
                self._detector.reset_timeouts_after_pause(now_ms)
            self._run_tick(now_ms)
            if now_ms - expired_ms >= _EXPIRE_INTERVAL_MS:
                expired_ms = now_ms
                self._membership.state.expire(now_ms)
                self._mesh_manager.forget_gone(now_ms)
                self._connection_pool.close_idle(now_ms - MAX_REQUEST_IDLE_MS / 2)
            self.counters.cpu_ms += (time.thread_time_ns() - started_ns) / NS_PER_MS

    def _run_tick(self, now_ms: float) -> None:
        """Run the periodic work of one tick."""
        self._detector.close_silent_links(now_ms)
        self._detector.end_suspicions(now_ms)
        self._mesh_manager.maintain_mesh(now_ms)
        self._links.send_changes()
        for link in self._links.by_host.values():
            if now_ms - link.sent_ms >= self._settings.heartbeat_ms / 2:
                link.send_heartbeat(now_ms)

    def _flush_soon(self) -> None:
        """Schedule sending of changes after a short delay, in which further changes are batched."""
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            linger_s = self._settings.urgent_linger_ms / MS_PER_S
            self._flush_timer = loop.call_later(linger_s, self._flush)

    def _flush(self) -> None:
        """Send pending changes immediately."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        self._links.send_changes()


def create_peers(
    settings: PeersSettings,
    clock: Clock,
    list_entry_targets: Callable[[], Sequence[Address]],
) -> Peers:
    """Create this host's membership; needs a running event loop.

    Args:
        settings: The host's failure domain, region, address and timing.
        clock: The program's clock.
        list_entry_targets: Returns the peer addresses of the entry hosts in the host list;
            they are used to discover the first peers.

    Returns:
        The membership, not yet running.
    """
    return Peers(settings, clock, list_entry_targets)
