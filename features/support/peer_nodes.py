"""Starts `peer_node` processes on a site and sends requests to their peer ports."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Final

import msgspec

from features.support.peer_node import NodeStatus, PublishOrder
from features.support.site import read_journal
from pimentodale.peers.message_stream import pack, unpack
from pimentodale.peers.messages import PROTOCOL, Reply, Request

if TYPE_CHECKING:
    from typing import Any

    from features.support.site import Program, Site

PEER_PORT: Final = 7400
DOMAINS: Final = ("delft-a", "delft-b", "rotterdam-c")
ALIVE, LEAVING, SUSPECT, GONE = range(4)


def node_name(number: int) -> str:
    """Return the name of a node."""
    return f"h{number}"


def start_node(
    site: Site,
    number: int,
    seeds: list[str],
    *,
    listen_number: int | None = None,
    advertise: tuple[str, int] | None = None,
    node: dict[str, float] | None = None,
    **timing: float,
) -> Program:
    """Start node `number` at the site's address with that number or `listen_number`."""
    peers: dict[str, Any] = {
        "host": node_name(number),
        "failure_domain": DOMAINS[number % len(DOMAINS)],
        "listen": {"ip": site.ip(listen_number or number), "port": PEER_PORT},
        **timing,
    }
    if advertise is not None:
        peers["advertise"] = {"ip": advertise[0], "port": advertise[1]}
    settings: dict[str, Any] = {
        "peers": peers,
        "seeds": seeds,
        "journal": str(journal_path(site, number)),
    }
    settings.update(node or {})
    path = site.write(f"node{number}.yaml", settings)
    return site.start(node_name(number), "python", "-m", "features.support.peer_node", str(path))


def journal_path(site: Site, number: int) -> Any:
    """Return the path of a node's journal."""
    return site.folder / f"node{number}.jsonl"


def read_received(site: Site, number: int) -> list[dict[str, Any]]:
    """Return the entries of a node's journal."""
    return read_journal(journal_path(site, number))


def seed_of(site: Site, number: int) -> str:
    """Return the peer address of a node."""
    return f"{site.ip(number)}:{PEER_PORT}"


def ask(site: Site, number: int, topic: str, body: bytes = b"", timeout_s: float = 5.0) -> bytes:
    """Send a request to a node's peer port and return the body of the reply.

    Raises:
        OSError: If it does not answer.
    """
    with socket.create_connection((site.ip(number), PEER_PORT), timeout_s) as connection:
        connection.sendall(pack(Request(PROTOCOL, topic, body)))
        length = int.from_bytes(_receive(connection, 4))
        reply = unpack(_receive(connection, length))
    if not isinstance(reply, Reply) or not reply.handled:
        raise OSError(f"node {number} has no answer to {topic}: {reply}")
    return reply.body


def status(site: Site, number: int, timeout_s: float = 5.0) -> NodeStatus:
    """Return a node's status."""
    return msgspec.json.decode(ask(site, number, "status", timeout_s=timeout_s), type=NodeStatus)


def states(site: Site, number: int) -> dict[str, int]:
    """Return the states of all members in a node's view; empty if it does not answer."""
    try:
        return {member.host: member.state for member in status(site, number).members}
    except OSError:
        return {}


def publish(site: Site, number: int, key: str, value_bytes: int = 0, urgent: bool = True) -> None:
    """Have a node publish an entry."""
    order = PublishOrder(key, value_bytes, urgent=urgent)
    ask(site, number, "publish", msgspec.json.encode(order))


def _receive(connection: socket.socket, length: int) -> bytes:
    """Read exactly `length` bytes."""
    parts = bytearray()
    while len(parts) < length:
        chunk = connection.recv(length - len(parts))
        if not chunk:
            raise OSError("the node closed the connection")
        parts += chunk
    return bytes(parts)
