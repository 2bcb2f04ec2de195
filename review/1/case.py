"""A model replica answers some streams with a failure whose body has no end."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from standins import Connection, HttpRequest, Replica, Site, has_trouble, run_case  # noqa: E402

RUN_S = 25.0
STREAM_CLIENTS = 25
READERS = 6
BLOCK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"


async def answer_without_end(
    replica: Replica, request: HttpRequest, writer: asyncio.StreamWriter
) -> bool:
    """Send a failure, and bytes until the caller closes."""
    headers = {
        **replica.stamped(request),
        "Content-Type": "application/json",
        "Transfer-Encoding": "chunked",
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 500 Internal Server Error\r\n{lines}\r\n".encode())
    sent = 0
    try:
        while True:
            writer.write(BLOCK)
            await writer.drain()
            sent += len(BLOCK)
            await asyncio.sleep(0)
    except ConnectionError:
        replica.record.write("caller closed", replica=replica.replica_id, after_mb=sent >> 20)
        raise


async def keep_asking(site: Site, gateway_name: str, path: str, end: float) -> list[int]:
    """Ask on a kept connection; return the statuses, 0 for a connection that just closed."""
    gateway = site.gateways[gateway_name]
    connection = Connection(gateway)
    statuses = []
    while time.monotonic() < end:
        reply = await site.ask(gateway, path, connection=connection, body=b"")
        statuses.append(reply.status if reply.is_whole else 0)
        await asyncio.sleep(0.1)
    connection.close()
    return statuses


async def case(site: Site) -> str:
    """Return what broke the rule; empty if it held."""
    for zone in ("a", "b"):
        for number in (1, 2, 3):
            site.add_replica(f"{zone}{number}", "lm", zone, is_engine=True)
        site.add_replica(f"p{zone}", "plain", zone, work_s=0.3)
    site.add_gateway("g1", "a")
    site.add_gateway("g2", "b")
    await site.start()
    if has_trouble():
        site.replicas["a1"].answer = answer_without_end
        site.replicas["b1"].answer = answer_without_end
    end = time.monotonic() + RUN_S
    clients = [
        keep_asking(site, name, path, end)
        for name in site.gateways
        for path, count in (("/lm/x", STREAM_CLIENTS), ("/read/x", READERS))
        for _ in range(count)
    ]
    await asyncio.gather(*clients)
    ends = {name: gateway.ends for name, gateway in site.gateways.items()}
    peaks = {name: round(gateway.peak_mb) for name, gateway in site.gateways.items()}
    site.record.write("summary", ends=ends, peaks_mb=peaks)
    if all(len(each) >= 3 for each in ends.values()):
        return f"processes ended by themselves: {ends}"
    return ""


run_case(case, FOLDER)
