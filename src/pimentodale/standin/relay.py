"""Stand-in for a link: a TCP relay that can be cut, go silent, swallow new connections or be slow."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Final

import msgspec

from pimentodale.addresses import parse_address
from pimentodale.clock import MS_PER_S
from pimentodale.standin.http_parts import (
    RESET_LINGER,
    Listener,
    PartHandler,
    create_application,
)

CHUNK_BYTES: Final = 64 * 1024
"""Most octets carried in one step."""

QUEUED_CHUNKS: Final = 256
"""Chunks in flight on one slow link before its sender waits."""


class RelayFaults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of `POST /admin/faults`; it replaces all faults, so `{}` mends everything.

    Connections that `silent` or `blackhole` caught stay silent when the fault is mended.
    """

    cut: bool = False
    """Open connections are reset and new ones refused."""

    silent: bool = False
    """Connections open at this moment lose all octets both ways from now on, without closing."""

    blackhole: bool = False
    """As `silent`, and new connections are accepted and nothing passes on them either."""

    delay_ms: float = 0.0
    """One-way delay of each octet."""


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the part."""

    listen: str
    """`IP:PORT` that is relayed."""

    target: str
    """`IP:PORT` that it is relayed to."""

    admin_listen: str
    """`IP:PORT` for `/admin/faults` and `/healthz`."""

    bind_ip: str = ""
    """Address from which the target is called; empty leaves it to the system."""

    faults: RelayFaults = RelayFaults()
    """Faults from the start."""


class Link:
    """One relayed connection."""

    __slots__ = ("silent", "streams")

    def __init__(self) -> None:
        self.silent = False
        self.streams: list[asyncio.StreamWriter] = []

    def reset(self) -> None:
        """Close both ends with a reset."""
        for stream in self.streams:
            raw = stream.get_extra_info("socket")
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            stream.transport.abort()


class RelayPart:
    """The running relay."""

    __slots__ = ("faults", "links", "server", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.faults = settings.faults
        self.links: set[Link] = set()
        self.server: asyncio.Server | None = None

    async def apply(self, faults: RelayFaults) -> None:
        """Put new faults in force."""
        self.faults = faults
        if faults.silent or faults.blackhole:
            for link in self.links:
                link.silent = True
        if not faults.cut:
            await self.open()
            return
        if self.server is not None:
            self.server.close()
            self.server = None
        for link in list(self.links):
            link.reset()

    async def open(self) -> None:
        """Listen, unless it does already."""
        if self.server is None:
            address = parse_address(self.settings.listen)
            self.server = await asyncio.start_server(self._serve, address.ip, address.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection."""
        link = Link()
        link.streams.append(writer)
        link.silent = self.faults.blackhole
        self.links.add(link)
        try:
            await self._relay(link, reader, writer)
        except* OSError:
            # One end failed; the other is to see a reset too.
            pass
        finally:
            self.links.discard(link)
            link.reset()

    async def _relay(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and carry octets both ways until both have ended."""
        if link.silent:
            while await reader.read(CHUNK_BYTES):
                continue
            return
        target = parse_address(self.settings.target)
        source = (self.settings.bind_ip, 0) if self.settings.bind_ip else None
        far_reader, far_writer = await asyncio.open_connection(
            target.ip, target.port, local_addr=source
        )
        link.streams.append(far_writer)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._carry(link, reader, far_writer))
            group.create_task(self._carry(link, far_reader, writer))

    async def _carry(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carry octets one way, each after the delay."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUED_CHUNKS)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._fill(queue, reader))
            group.create_task(self._empty(link, queue, writer))

    async def _fill(
        self, queue: asyncio.Queue[tuple[float, bytes]], reader: asyncio.StreamReader
    ) -> None:
        """Read until the end of the stream, and note when each chunk is due."""
        loop = asyncio.get_running_loop()
        while True:
            chunk = await reader.read(CHUNK_BYTES)
            await queue.put((loop.time() + self.faults.delay_ms / MS_PER_S, chunk))
            if not chunk:
                return

    async def _empty(
        self, link: Link, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        """Write what is due; pass the end of the stream on."""
        loop = asyncio.get_running_loop()
        while True:
            due_s, chunk = await queue.get()
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            if link.silent:
                # Neither octets nor the end get through; the link stays until it is cut.
                if not chunk:
                    await asyncio.Event().wait()
                continue
            if not chunk:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()


class FaultsHandler(PartHandler):
    """`/admin/faults`."""

    part: RelayPart
    """The running relay."""

    def initialize(self, part: RelayPart) -> None:
        """Take the part."""
        self.part = part

    def get(self) -> None:
        """Answer the faults as they stand."""
        self.reply(self.part.faults)

    async def post(self) -> None:
        """Replace the faults."""
        faults = self.read(RelayFaults)
        if faults is None:
            return
        await self.part.apply(faults)
        self.reply(faults)


async def start_part(settings: Settings) -> None:
    """Start the relay; it runs as long as the process."""
    part = RelayPart(settings)
    await part.apply(settings.faults)
    application = create_application({"/admin/faults": FaultsHandler}, {"part": part})
    Listener(settings.admin_listen, application).open()
