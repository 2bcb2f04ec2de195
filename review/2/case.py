"""A part of prompts crashes each replica that begins to write on it, a few events into the answer."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from standins import HttpRequest, Replica, Site, has_trouble, run_case  # noqa: E402

CONTACT_S = 3.0
COUNTED_CRASHES = 5
STREAMS_PER_S = 20
POISONED_EVERY = 20
POISONED_FOR_S = 22.0
AWAY_S = 2.0
EVENTS_BEFORE_CRASH = 3
PARTS = "Pimentodale-Prompt-Prefix"


async def case(site: Site) -> str:
    """Return what broke the rule; empty if it held."""
    for zone in ("a", "b"):
        for number in range(1, 6):
            site.add_replica(f"{zone}{number}", "lm", zone, is_engine=True)
        site.add_gateway(f"g{zone}", zone)
    await site.start()
    await asyncio.sleep(3.0)
    crashes: list[float] = []
    reached: list[tuple[float, str]] = []
    serving: dict[Replica, set[asyncio.StreamWriter]] = {}

    async def crash(replica: Replica) -> None:
        """End a replica's process, and start it again after some seconds."""
        crashes.append(time.monotonic())
        site.record.write("crashes", replica=replica.replica_id, number=len(crashes))
        await replica.crash(AWAY_S)

    async def maybe_crash(
        replica: Replica, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        parts = [part.partition(":")[0] for part in request.header(PARTS).split(",")]
        if "dead" not in parts[:-1]:
            return False
        attempt = request.header("Pimentodale-Attempt-Id")
        reached.append((time.monotonic(), attempt))
        if has_trouble():
            after_s = EVENTS_BEFORE_CRASH * replica.event_s + replica.event_s / 2
            born = replica.born
            await replica.stream(request, writer, limit_s=after_s)
            if replica.born == born and not replica.is_away:
                await crash(replica)
            raise ConnectionAbortedError("the replica has crashed")
        return False

    for replica in site.replicas.values():
        replica.answer = maybe_crash
    gateways = list(site.gateways.values())
    asking = []
    begun = time.monotonic()
    for number in range(int(POISONED_FOR_S * STREAMS_PER_S)):
        is_poisoned = number % POISONED_EVERY == POISONED_EVERY - 1
        own = f"{number:x}f:600"
        parts = f"a1:40,dead:50,{own}" if is_poisoned else f"a1:40,b{number % 7}:50,{own}"
        work = site.ask(gateways[number % 2], "/lm/x", body=b"prompt %d" % number, **{PARTS: parts})
        asking.append(asyncio.ensure_future(work))
        await asyncio.sleep(begun + (number + 1) / STREAMS_PER_S - time.monotonic())
    replies = await asyncio.gather(*asking)
    late: set[str] = set()
    if len(crashes) >= COUNTED_CRASHES:
        bound = crashes[COUNTED_CRASHES - 1] + CONTACT_S
        late = {attempt for at, attempt in reached if at > bound}
    whole = sum(reply.status == 200 and reply.is_whole for reply in replies)
    site.record.write("summary", crashes=len(crashes), late=len(late), whole=whole, of=len(replies))
    if len(late) > 3:
        return f"{len(late)} requests with the part reached replicas after {len(crashes)} crashes"
    return ""


run_case(case, FOLDER)
