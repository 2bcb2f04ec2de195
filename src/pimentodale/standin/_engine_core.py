"""A stand-in engine's state, and what happens between its parts."""

from __future__ import annotations

import asyncio
import os
import random
import weakref
from typing import TYPE_CHECKING, Final

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from pimentodale.addresses import parse_address
from pimentodale.clients.engine_messages import (
    EngineHolding,
    EngineLoad,
    StageReceipt,
)
from pimentodale.logs import get_log
from pimentodale.standin._batch import Batch
from pimentodale.standin._engine_links import (
    Activation,
    CloseStream,
    Hello,
    LinkMessage,
    Links,
    LinkServer,
    OpenStream,
    StreamOpened,
    TokenDone,
    link_address,
)
from pimentodale.standin._head import Heads, activation_message
from pimentodale.standin._journal import Crashed, Journal, Restarted
from pimentodale.standin._kv_cache import KvCache, PrefixCache
from pimentodale.standin._orders import Orders
from pimentodale.standin._stage import Stage, StageStream

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from tornado.httputil import HTTPServerConnectionDelegate
    from tornado.iostream import IOStream

    from pimentodale.addresses import Address
    from pimentodale.clients.engine_messages import Hop
    from pimentodale.clock import Clock
    from pimentodale.standin._faults import FaultOrder, Faults
    from pimentodale.standin.engine import Settings

CRASH_EXIT_CODE: Final = 70
"""Exit code of a process whose engine crashed."""

_log = get_log("engine")


class Engine:
    """One stand-in engine."""

    __slots__ = (
        "_application",
        "_link_server",
        "_server",
        "_tasks",
        "batch",
        "boot_id",
        "callers",
        "clock",
        "down",
        "faults",
        "heads",
        "journal",
        "kv_cache",
        "links",
        "load",
        "orders",
        "prefix_cache",
        "settings",
        "silent",
        "stage",
    )

    def __init__(self, settings: Settings, clock: Clock, journal: Journal) -> None:
        self.settings = settings
        """Its settings."""
        self.clock = clock
        """Its clock."""
        self.journal = journal
        """What it did."""
        self.faults: Faults = settings.faults
        """Faults that are on."""
        self.batch = Batch(
            clock,
            settings.batch,
            settings.prefill_tokens_per_step,
            lambda: settings.step_ms * self.faults.slow_factor,
        )
        """Its batch loop."""
        self.kv_cache = KvCache(settings.kv_cache_entries)
        """KV caches of finished streams."""
        self.prefix_cache = PrefixCache(
            clock,
            settings.prefix_cache_entries,
            settings.cache_event_lag_ms,
            settings.cache_event_gap_probability,
            settings.seed,
        )
        """Prompt prefixes."""
        self.links = Links(clock, settings.links, self._lose_link)
        """Links to other engines."""
        self.stage = Stage(self)
        """Streams that hold a slot."""
        self.heads = Heads(self)
        """Streams that it leads."""
        self.orders = Orders(self, _first_holding(settings))
        """What it holds."""
        self.boot_id = _new_boot_id()
        """Changes with each start."""
        self.callers: weakref.WeakSet[IOStream] = weakref.WeakSet()
        """Open connections of callers."""
        self.silent: weakref.WeakSet[IOStream] = weakref.WeakSet()
        """Those of them that drop all bytes."""
        self.down = False
        """Whether it crashed in a shared process and was not restarted."""
        self.load: EngineLoad = self._load_now()
        """The load report, as old as its lag."""
        self._application: HTTPServerConnectionDelegate | None = None
        self._server: HTTPServer | None = None
        self._link_server: LinkServer | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, application: HTTPServerConnectionDelegate) -> None:
        """Listen for callers and links, and start the batch loop."""
        self._application = application
        address = parse_address(self.settings.listen)
        self._server = HTTPServer(application)
        self._server.add_sockets(bind_sockets(address.port, address.ip, reuse_port=False))
        links = link_address(self.settings.listen)
        hello = Hello(self.settings.replica, self.settings.failure_domain)
        self._link_server = LinkServer(hello, self._receive, self.stage.close_link)
        self._link_server.add_sockets(bind_sockets(links.port, links.ip, reuse_port=False))
        self._spawn(self.batch.run())
        if self.settings.load_report_lag_ms > 0:
            self._spawn(self._report_load())

    def crash(self, request_id: str, reason: str) -> None:
        """End without a word: the process, or in a shared one the engine's connections."""
        self.journal.write(
            Crashed(replica=self.settings.replica, request_id=request_id, reason=reason)
        )
        if self.settings.crash_exits:
            os._exit(CRASH_EXIT_CODE)
        self.down = True
        self.boot_id = _new_boot_id()
        self.heads.clear()
        self.stage.clear()
        self.batch.clear()
        self.links.close()
        self.kv_cache.clear()
        self.prefix_cache.clear()
        self.orders.stop()
        if self._link_server is not None:
            self._link_server.drop()
        if self._server is not None:
            self._server.stop()
        for stream in list(self.callers):
            stream.close()
        self.callers.clear()
        self.silent.clear()
        for task in self._tasks:
            task.cancel()

    def apply(self, order: FaultOrder) -> None:
        """Follow an admin's order."""
        if order.faults is not None:
            self.faults = order.faults
        if order.silence:
            self.silent |= self.callers
        if order.crash and not self.down:
            self.crash("", "ordered")
        if order.restart and self.down:
            self._restart()

    def takes_work(self) -> bool:
        """Whether new streams are taken."""
        return self.orders.reached.state == "live" and not self.faults.leaving

    def mismatch(self, hop: Hop) -> str:
        """Return why a hop is not this engine's, or nothing."""
        holding = self.orders.reached
        if hop.replica != self.settings.replica:
            return f"this is {self.settings.replica}, not {hop.replica}"
        if not holding.first_layer <= hop.first_layer < hop.last_layer <= holding.last_layer:
            held = f"{holding.first_layer} to {holding.last_layer}"
            return f"{hop.replica} holds layers {held}"
        return ""

    def take_wrong_answer(self) -> bool:
        """Whether the next stream is to be answered wrongly; counts it."""
        if not self.faults.wrong_answer or self.faults.wrong_answer_streams <= 0:
            return False
        self.faults.wrong_answer_streams -= 1
        return True

    def crash_if_due(self, stream: StageStream) -> bool:
        """Crash if a fault says so of this stream; returns whether the engine is down."""
        faults = self.faults
        request_id = stream.asked.request_id
        if faults.crash_mark and faults.crash_mark in stream.asked.prompt:
            self.crash(request_id, "marked request")
        elif faults.die_after_tokens and stream.tokens_run >= faults.die_after_tokens:
            self.crash(request_id, "token count")
        return self.down

    def hand_on(
        self, stream_id: str, index: int, activation: int, receipts: list[StageReceipt]
    ) -> None:
        """Give a token's state to the next stage, or back to the head after the last."""
        stream = self.stage.streams.get(stream_id)
        if stream is None:
            return
        route = stream.asked.route
        following = stream.asked.position + 1
        if following < len(route):
            size_bytes = self.settings.activation_bytes
            message = activation_message(stream_id, index, activation, receipts, size_bytes)
            self.links.send(link_address(route[following].address), message, size_bytes)
            return
        token = TokenDone(stream_id, index, activation, receipts)
        if stream.asked.position == 0:
            self.heads.take_token(token)
            return
        self.links.send(link_address(route[0].address), token)

    def load_report(self) -> EngineLoad:
        """Return the load, as old as the report's lag."""
        if self.settings.load_report_lag_ms <= 0:
            return self._load_now()
        return self.load

    def _restart(self) -> None:
        """Come back after a crash, holding what the settings say."""
        self.down = False
        self.orders = Orders(self, _first_holding(self.settings))
        self.journal.write(Restarted(replica=self.settings.replica, boot_id=self.boot_id))
        assert self._application is not None
        self.start(self._application)

    def _receive(self, message: LinkMessage, link: int) -> None:
        """Take one message of another engine."""
        if isinstance(message, Activation):
            self._run_stage(message)
        elif isinstance(message, TokenDone):
            self.heads.take_token(message)
        elif isinstance(message, OpenStream):
            self._spawn(self._open_stage(message, link))
        elif isinstance(message, StreamOpened):
            self.heads.take_opened(message)
        elif isinstance(message, CloseStream):
            self.stage.close(message.stream_id, message.reason)

    async def _open_stage(self, asked: OpenStream, link: int) -> None:
        """Take a later stage's slot and tell the head."""
        result = await self.stage.open(asked, link)
        refusal = result.error if result.is_error() else None
        answer = StreamOpened(asked.stream_id, asked.position, refusal)
        self.links.send(link_address(asked.route[0].address), answer)

    def _run_stage(self, message: Activation) -> None:
        """Run this stage's layers for a token that another stage handed on."""
        stream = self.stage.streams.get(message.stream_id)
        if stream is None:
            return

        def hand_on(after: int, receipts: list[StageReceipt]) -> None:
            together = [*message.receipts, *receipts]
            self.hand_on(message.stream_id, message.index, after, together)

        self.stage.run(stream, message.index, message.activation, hand_on)

    def _lose_link(self, address: Address) -> None:
        """Take the loss of a link to another engine."""
        if not self.down:
            self.heads.lose_link(address)

    async def _report_load(self) -> None:
        """Renew the load report once in each lag."""
        while True:
            self.load = self._load_now()
            await self.clock.sleep_ms(self.settings.load_report_lag_ms)

    def _load_now(self) -> EngineLoad:
        """Return the load as it is."""
        settings = self.settings
        holding = self.orders.reached
        return EngineLoad(
            replica=settings.replica,
            model=holding.model,
            first_layer=holding.first_layer,
            last_layer=holding.last_layer,
            slots=settings.slots,
            active=len(self.stage.streams),
            tokens_per_s=1000.0 * settings.batch / settings.step_ms,
            state="leaving" if self.faults.leaving else holding.state,
            version=holding.version,
            adapters=holding.adapters,
            role=holding.role,
            boot_id=self.boot_id,
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task that is cancelled by a crash."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        """Log a task that failed."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("A task failed.", reason=repr(task.exception()))


def _first_holding(settings: Settings) -> EngineHolding:
    """Return what the settings say that the engine holds."""
    return EngineHolding(
        model=settings.model,
        version=settings.version,
        adapters=list(settings.adapters),
        role="both",
        first_layer=settings.first_layer,
        last_layer=settings.last_layer,
        state="live",
    )


def _new_boot_id() -> str:
    """Return a fresh name for one life of an engine."""
    return f"{random.SystemRandom().getrandbits(48):012x}"
