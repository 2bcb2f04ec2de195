"""A watch that waits is cut as a replica leaves that never reports that it drains."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from standins import Connection, HttpRequest, Replica, Site, has_trouble, run_case  # noqa: E402

DRAIN_S = 2.0
CLIENTS = 16
ROUNDS = 5


async def case(site: Site) -> str:
    """Return what broke the rule; empty if it held."""
    for number in range(1, 4 + ROUNDS):
        site.add_replica(f"p{number}", "plain", "a", work_s=0.02)
    gateway = site.add_gateway("g1", "a")
    await site.start()
    await asyncio.sleep(4.0)
    left: dict[str, float] = {}
    late: list[str] = []

    async def note(replica: Replica, request: HttpRequest, _writer: asyncio.StreamWriter) -> bool:
        since_s = time.monotonic() - left.get(replica.replica_id, time.monotonic())
        if since_s > DRAIN_S:
            late.append(f"{replica.replica_id} after {since_s:.3f} s")
            site.record.write("LATE", replica=replica.replica_id, after_s=round(since_s, 3))
        return False

    for replica in site.replicas.values():
        replica.answer = note
    is_over = asyncio.Event()

    async def keep_asking() -> None:
        connection = Connection(gateway)
        while not is_over.is_set():
            await site.ask(gateway, "/read/x", connection=connection)
        connection.close()

    clients = [asyncio.ensure_future(keep_asking()) for _ in range(CLIENTS)]
    for number in range(1, 1 + ROUNDS):
        await asyncio.sleep(0.3)
        replica = site.replicas[f"p{number}"]
        if has_trouble():
            site.store.cut_waiting_watches()
        replica.leave()
        left[replica.replica_id] = time.monotonic()
        site.record.write("acknowledged as gone", replica=replica.replica_id)
        await asyncio.sleep(4.0)
    is_over.set()
    await asyncio.gather(*clients)
    site.record.write("summary", late=len(late))
    return (
        f"{len(late)} requests reached replicas later than {DRAIN_S} s: {late[-3:]}" if late else ""
    )


run_case(case, FOLDER)
