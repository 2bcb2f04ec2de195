"""A process that runs only the membership, for scenarios and measurements.

`python -m features.support.peer_node SETTINGS`, with a YAML file of the shape `NodeSettings`. It
writes received changes to a journal, and answers `status`, `publish` and `leave` on its peer port.
"""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from pimentodale.addresses import parse_address
from pimentodale.clock import Clock
from pimentodale.logs import configure_logs
from pimentodale.peers.peers import Peers, create_peers
from pimentodale.peers.settings import PeersSettings
from pimentodale.yaml_files import read_yaml_file

if TYPE_CHECKING:
    from pimentodale.peers.membership import EntryUpdate
    from pimentodale.peers.messages import MemberRecord


class NodeSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A node's settings file."""

    peers: PeersSettings
    """Settings of the membership."""

    seeds: list[str] = []
    """Peer addresses in its host list."""

    list_lasts_ms: float = float("inf")
    """How long after the start its host list contains the seeds; it is empty afterwards."""

    clock_offset_ms: float = 0.0
    """Offset of its wall clock."""

    journal: str
    """Journal of received changes, one JSON object per line."""

    topic: str = "scenario"
    """Topic that it publishes and subscribes to."""


class PublishOrder(msgspec.Struct):
    """Body of a `publish` request."""

    key: str
    """Key of the entry."""

    value_bytes: int = 0
    """Length of the value."""

    ttl_ms: float = 600_000.0
    """Time to live."""

    urgent: bool = True
    """Whether it is sent at once."""


class NodeMember(msgspec.Struct):
    """A member in a node's status."""

    host: str
    """Its name."""

    state: int
    """Its state."""

    incarnation: int
    """Its incarnation."""

    boot_id: str
    """Its boot id."""


class NodeStatus(msgspec.Struct):
    """Answer of a `status` request."""

    host: str
    """Name of the node."""

    members: list[NodeMember]
    """Members in its view."""

    links: list[str]
    """Hosts to which it has a link."""

    watcher: bool
    """Whether it is a watcher of its failure domain."""

    cpu_ms: float
    """Processor time of the whole process."""

    peers_cpu_ms: float
    """Processor time that the membership itself counted."""

    resident_bytes: int
    """Resident memory."""

    counters: dict[str, float]
    """Counters of its membership."""


class OffsetClock(Clock):
    """A clock whose wall time is shifted by an offset."""

    __slots__ = ("_offset_ms",)

    def __init__(self, offset_ms: float) -> None:
        self._offset_ms = offset_ms

    def wall_ms(self) -> float:
        """Return the shifted wall time."""
        return super().wall_ms() + self._offset_ms


def main() -> None:
    """Run the node."""
    settings = read_yaml_file(Path(sys.argv[1]), NodeSettings)
    if settings.is_error():
        print(settings.error, file=sys.stderr)
        sys.exit(2)
    configure_logs("info", "json")
    with Path(settings.ok.journal).open("a", buffering=1) as journal:
        asyncio.run(_run(settings.ok, journal.write))


async def _run(settings: NodeSettings, write: Any) -> None:
    """Run membership until SIGTERM."""
    seeds = [parse_address(text) for text in settings.seeds]
    clock = OffsetClock(settings.clock_offset_ms)
    list_ends_ms = clock.now_ms() + settings.list_lasts_ms
    peers = create_peers(
        settings.peers, clock, lambda: seeds if clock.now_ms() < list_ends_ms else []
    )
    _journal_all(peers, settings, write)
    _answer_all(peers, settings)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await peers.listen()
    running = asyncio.ensure_future(peers.run())
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        running.result()
    peers.leave()
    await peers.stop()
    await running


def _journal_all(peers: Peers, settings: NodeSettings, write: Any) -> None:
    """Write received changes to the journal."""

    def note_member(record: MemberRecord) -> None:
        line = {"at_ms": time.time() * 1000, "member": record.host, "state": record.state.name}
        write(json.dumps({**line, "incarnation": record.incarnation}) + "\n")

    def note_entry(update: EntryUpdate) -> None:
        line = {"at_ms": time.time() * 1000, "key": update.key, "owner": update.owner}
        write(json.dumps({**line, "value_bytes": len(update.value)}) + "\n")

    peers.subscribe_members(note_member)
    peers.subscribe(settings.topic, note_entry)


def _answer_all(peers: Peers, settings: NodeSettings) -> None:
    """Register the handlers for the scenario's requests."""

    async def answer_status(_body: bytes) -> bytes:
        return msgspec.json.encode(_read_status(peers))

    async def answer_publish(body: bytes) -> bytes:
        order = msgspec.json.decode(body, type=PublishOrder)
        value = bytes(order.value_bytes)
        peers.publish(settings.topic, order.key, value, order.ttl_ms, urgent=order.urgent)
        return b""

    async def answer_leave(_body: bytes) -> bytes:
        peers.leave()
        return b""

    async def answer_fetch(body: bytes) -> bytes:
        return bytes(int(body))

    peers.handle("status", answer_status)
    peers.handle("publish", answer_publish)
    peers.handle("leave", answer_leave)
    peers.handle("fetch", answer_fetch)


def _read_status(peers: Peers) -> NodeStatus:
    """Return the node's view of the membership and its resource usage."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    counters = peers.counters
    return NodeStatus(
        host=peers.own.host,
        members=[
            NodeMember(member.host, member.state, member.incarnation, member.boot_id)
            for member in peers.members()
        ],
        links=peers.linked_hosts(),
        watcher=peers.is_watcher(),
        cpu_ms=(usage.ru_utime + usage.ru_stime) * 1000,
        peers_cpu_ms=counters.cpu_ms,
        resident_bytes=pages * resource.getpagesize(),
        counters={name: getattr(counters, name) for name in counters.__slots__},
    )


if __name__ == "__main__":
    main()
