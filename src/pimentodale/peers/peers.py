"""Membership of the entry hosts, as the rest of the program uses it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

import msgspec
from expression import Error, Ok, Result

from pimentodale.background import create_background_tasks
from pimentodale.clock import MS_PER_S
from pimentodale.logs import get_log
from pimentodale.peers.counters import PeerCounters
from pimentodale.peers.detector import PAUSE_SLACK_MS, Detector
from pimentodale.peers.kept_streams import KeptStreams
from pimentodale.peers.links import NS_PER_MS, Links, address_of
from pimentodale.peers.membership import Membership
from pimentodale.peers.mesh import choose_watchers
from pimentodale.peers.mesh_keeper import MeshKeeper
from pimentodale.peers.message_stream import BadMessageError, MessageStream, connect
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
"""Largest body of a request or reply between hosts."""

MAX_GREETING_STREAMS: Final = 128
"""Connections that may be open before they have said what they are for."""

MAX_SERVED_STREAMS: Final = 512
"""Connections with questions up to which they are kept for further ones."""

KEPT_IDLE_MS: Final = 6_000.0
"""How long a connection with questions stays open without one."""

WATCHERS: Final = 2
"""Hosts of each failure domain that watch the platform for the others."""

_GREETING_TIMEOUT_MS: Final = 2_000.0
_EXPIRE_INTERVAL_MS: Final = 2_000.0
_LAST_WORD_TIMEOUT_MS: Final = 500.0

_log = get_log("peers")


class PeerFault(msgspec.Struct, frozen=True):
    """Why a request to another host gave no answer."""

    sent: bool
    """Whether the other host may have handled it."""

    message: str
    """What happened."""


class Peers:
    """This host among the others. `run` serves until `stop`; the rest may be called meanwhile."""

    __slots__ = (
        "_clock",
        "_detector",
        "_flush_timer",
        "_greeting",
        "_handlers",
        "_keeper",
        "_kept",
        "_links",
        "_membership",
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
        self._keeper = MeshKeeper(
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
        self._greeting = 0
        self._serving = 0
        self._kept = KeptStreams()
        self._flush_timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._membership.connect_links(self._flush_soon, self._links.has_first_hand_word)
        self._membership.subscribe_members(self._keeper.note_member_change)
        self._links.connect_detector(
            self._detector.start_check, self._detector.answer_probe, self._detector.take_answer
        )

    @property
    def own(self) -> MemberRecord:
        """This host's word about itself."""
        return self._membership.own

    async def listen(self) -> None:
        """Start to accept connections; come before `run`.

        Raises:
            OSError: If the address can't be listened on.
        """
        listen = self._settings.listen
        self._server = await asyncio.start_server(self._accept, listen.ip, listen.port)

    async def run(self) -> None:
        """Keep the mesh and spread state until `stop` is done."""
        self._tasks.start(self._keeper.explore(), "explore")
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
            await self._tasks.drain(_LAST_WORD_TIMEOUT_MS)
            for link in list(self._links.by_host.values()):
                link.stream.close()
            self._kept.close_idle(self._clock.now_ms())

    def publish(
        self, topic: str, key: str, value: bytes, ttl_ms: float, *, urgent: bool = True
    ) -> None:
        """Spread a small value to every host; it replaces this host's earlier one.

        Args:
            topic: What kind of state it is.
            key: Key within the topic.
            value: The value, up to `MAX_VALUE_BYTES`.
            ttl_ms: How long it holds without being published again.
            urgent: Whether it travels at once, not with the next heartbeats.

        Raises:
            ValueError: If the value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"a value of {len(value)} bytes; keep it to {MAX_VALUE_BYTES}")
        self._membership.publish(topic, key, value, ttl_ms, urgent)

    def subscribe(self, topic: str, callback: Callable[[EntryUpdate], None]) -> None:
        """Have a callback called for each new value that another host published."""
        self._membership.subscribe(topic, callback)

    def subscribe_members(self, callback: Callable[[MemberRecord], None]) -> None:
        """Have a callback called for each change of another member."""
        self._membership.subscribe_members(callback)

    def handle(self, topic: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Answer other hosts' requests under a topic."""
        self._handlers[topic] = handler

    def members(self) -> list[MemberRecord]:
        """Return every member that is remembered, this host included."""
        return [item.record for item in self._membership.state.members.values()]

    def live_members(self) -> list[MemberRecord]:
        """Return the members that take work, this host included unless it leaves."""
        live = self._membership.others(MemberState.ALIVE)
        if self.own.state is MemberState.ALIVE:
            live.append(self.own)
        return live

    def linked_hosts(self) -> list[str]:
        """Return the hosts that this one has a link with."""
        return sorted(self._links.by_host)

    def is_watcher(self) -> bool:
        """Whether this host watches the platform for the others of its failure domain."""
        domain = self._settings.failure_domain
        hosts = {member.host for member in self.live_members() if member.failure_domain == domain}
        hosts.add(self._settings.host)
        return self._settings.host in choose_watchers(domain, hosts, WATCHERS)

    async def request(
        self, host: str, topic: str, body: bytes, timeout_ms: float, *, is_kept: bool = False
    ) -> Result[bytes, PeerFault]:
        """Ask another host's handler, on a connection that carries no other question meanwhile.

        Args:
            host: Name of the host.
            topic: Names the handler.
            body: The question, up to `MAX_REQUEST_BYTES`.
            timeout_ms: Longest time for all of it.
            is_kept: Whether the connection is kept for the next such question; the handler may then
                see a question twice.

        Returns:
            The answer, or why there is none.
        """
        item = self._membership.state.members.get(host)
        if item is None:
            return Error(PeerFault(False, f"no host '{host}' is known"))
        if len(body) > MAX_REQUEST_BYTES:
            return Error(PeerFault(False, f"the request is over {MAX_REQUEST_BYTES} bytes"))
        deadline_ms = self._clock.now_ms() + timeout_ms
        question = Request(PROTOCOL, topic, body)
        address = address_of(item.record)
        kept = self._kept.take(address, topic) if is_kept else None
        if kept is not None:
            answered = await self._ask(kept, host, question, deadline_ms)
            if answered.is_ok():
                self._kept.put(address, topic, kept, self._clock.now_ms())
                return answered
            kept.close()
            if deadline_ms <= self._clock.now_ms():
                return answered
            # The other side closes what is idle, so a fresh connection decides.
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
            if is_kept and answered.is_ok():
                self._kept.put(address, topic, stream, self._clock.now_ms())
            else:
                stream.close()
        return answered

    async def _ask(
        self, stream: MessageStream, host: str, question: Request, deadline_ms: float
    ) -> Result[bytes, PeerFault]:
        """Ask on an open connection; one without an answer must be closed."""
        try:
            stream.write(question)
            answer = await stream.read_within(deadline_ms - self._clock.now_ms())
        except (OSError, BadMessageError) as error:
            return Error(PeerFault(True, f"{host} gave no answer: {error}"))
        if not isinstance(answer, Reply) or not answer.handled:
            return Error(PeerFault(True, f"{host} has no answer to '{question.topic}'"))
        return Ok(answer.body)

    def leave(self) -> None:
        """Tell all hosts that this one takes no new work; it can't be taken back."""
        self._membership.set_own_state(MemberState.LEAVING)
        self._flush()

    async def stop(self) -> None:
        """Tell all hosts that this one is gone, and end `run`."""
        self._membership.set_own_state(MemberState.GONE)
        self._flush()
        self._links.closing = True
        links = list(self._links.by_host.values())
        await asyncio.gather(*(link.stream.drain(_LAST_WORD_TIMEOUT_MS) for link in links))
        self._stop.set()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Greet a new connection in a task of its own."""
        if self._greeting >= MAX_GREETING_STREAMS:
            writer.transport.abort()
            return
        self._greeting += 1
        self._tasks.start(self._greet(MessageStream(reader, writer, self.counters)), "greet")

    async def _greet(self, stream: MessageStream) -> None:
        """Read the first message and answer it, or hand the stream to a link."""
        greeted = False
        try:
            message = await stream.read_within(_GREETING_TIMEOUT_MS)
            if getattr(message, "protocol", "") != PROTOCOL:
                raise BadMessageError(f"a first message that does not name {PROTOCOL}")
            if isinstance(message, Hello):
                self._links.accept(stream, message)
            elif isinstance(message, Probe):
                stream.write(ProbeReply(self.own))
                stream.close_when_sent()
            elif isinstance(message, Request):
                greeted = True
                self._greeting -= 1
                await self._answer_all(stream, message)
        except OSError:
            stream.close()
        except BadMessageError as error:
            stream.close()
            self.counters.malformed_messages += 1
            _log.warning(
                "A connection sent bytes that are no message; it was closed.",
                code=int(ResultCode.MALFORMED_REQUEST),
                problem=str(error),
            )
        except asyncio.CancelledError:
            stream.close()
            raise
        finally:
            self._greeting -= not greeted

    async def _answer_all(self, stream: MessageStream, request: Request) -> None:
        """Answer another host's requests until it closes the connection or leaves it idle."""
        self._serving += 1
        try:
            message: Message = request
            while isinstance(message, Request):
                await self._answer(stream, message)
                if self._serving > MAX_SERVED_STREAMS:
                    break
                message = await stream.read_within(KEPT_IDLE_MS)
        finally:
            self._serving -= 1
            stream.close_when_sent()

    async def _answer(self, stream: MessageStream, request: Request) -> None:
        """Answer another host's request."""
        handler = self._handlers.get(request.topic)
        reply = Reply(False, b"")
        try:
            if handler is not None:
                reply = Reply(True, await handler(request.body))
        finally:
            stream.write(reply)

    async def _tick(self) -> None:
        """Send heartbeats and look after silent links, suspects and the mesh, for ever."""
        due_ms = self._clock.now_ms()
        expired_ms = due_ms
        while True:
            due_ms += self._settings.heartbeat_ms * self._membership.pace()
            await self._clock.sleep_ms(due_ms - self._clock.now_ms())
            now_ms = self._clock.now_ms()
            started_ns = time.thread_time_ns()
            if now_ms - due_ms > PAUSE_SLACK_MS:
                due_ms = now_ms
                self._detector.forgive_pause(now_ms)
            self._beat(now_ms)
            if now_ms - expired_ms >= _EXPIRE_INTERVAL_MS:
                expired_ms = now_ms
                self._membership.state.expire(now_ms)
                self._keeper.forget_gone(now_ms)
                self._kept.close_idle(now_ms - KEPT_IDLE_MS / 2)
            self.counters.cpu_ms += (time.thread_time_ns() - started_ns) / NS_PER_MS

    def _beat(self, now_ms: float) -> None:
        """Do one tick's work."""
        self._detector.close_silent_links(now_ms)
        self._detector.end_suspicions(now_ms)
        self._keeper.keep_mesh(now_ms)
        self._links.send_changes()
        for link in self._links.by_host.values():
            if now_ms - link.sent_ms >= self._settings.heartbeat_ms / 2:
                link.send_heartbeat(now_ms)

    def _flush_soon(self) -> None:
        """Send changes after a short linger, in which others may join them."""
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            linger_s = self._settings.urgent_linger_ms / MS_PER_S
            self._flush_timer = loop.call_later(linger_s, self._flush)

    def _flush(self) -> None:
        """Send changes now."""
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
        settings: The host's place, address and timing.
        clock: The program's clock.
        list_entry_targets: Returns the peer addresses of the entry hosts that the host list
            shows; they are a hint for first contacts.

    Returns:
        The membership, not yet running.
    """
    return Peers(settings, clock, list_entry_targets)
