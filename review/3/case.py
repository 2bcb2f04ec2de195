"""Replicas leave that never report that they drain, and connections are reset."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))

from standins import HttpRequest, Replica, Site, has_trouble, reset, run_case  # noqa: E402

MAX_ATTEMPTS = 2
REPLICAS = 10
ROUNDS = 2
ROUND_S = 11.0
LEAVING = 2
STREAMS_PER_S = 70
PLAY_S = 23.0
TROUBLE_AT_S = 9.0
RESET_AFTER_S = (0.3, 0.8, 1.3)
RESET_FRACTION = 0.55


async def case(site: Site) -> str:
    """Return what broke the rule; empty if it held."""
    for number in range(1, REPLICAS + 1):
        site.add_replica(f"m{number}", "lm", "a", is_engine=True, events=60)
    gateways = [site.add_gateway(name, "a") for name in ("g1", "g2", "g3")]
    await site.start()
    await asyncio.sleep(4.0)
    rng = random.Random()
    runs: dict[str, list[str]] = {}
    open_streams: dict[asyncio.StreamWriter, str] = {}
    loop = asyncio.get_running_loop()

    async def note_run(
        replica: Replica, request: HttpRequest, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.header("Pimentodale-Attempt-Id")
        runs.setdefault(attempt, []).append(replica.replica_id)
        open_streams[writer] = site.through[attempt]
        return False

    for replica in site.replicas.values():
        replica.answer = note_run

    async def disturb() -> None:
        """Replicas leave without a word and serve on; connections of one gateway are reset."""
        await asyncio.sleep(TROUBLE_AT_S)
        started = loop.time()
        for number in range(ROUNDS):
            await asyncio.sleep(started + number * ROUND_S - loop.time())
            listed = [each for each in site.replicas.values() if each.is_listed]
            busiest = sorted(listed, key=lambda replica: -replica.active)
            for leaving in busiest[:LEAVING]:
                leaving.leave()
                site.record.write("acknowledged as gone, serves on", replica=leaving.replica_id)
            left = loop.time()
            for after_s in RESET_AFTER_S:
                await asyncio.sleep(left + after_s - loop.time())
                held = [
                    writer
                    for writer, through in open_streams.items()
                    if through == "g1" and not writer.transport.is_closing()
                ]
                chosen = rng.sample(held, round(len(held) * RESET_FRACTION))
                site.record.write("reset", gateway="g1", connections=len(chosen), of=len(held))
                for writer in chosen:
                    reset(writer)

    asking = [asyncio.ensure_future(disturb())] if has_trouble() else []
    begun = loop.time()
    for number in range(int(PLAY_S * STREAMS_PER_S)):
        gateway = gateways[number % len(gateways)]
        asking.append(asyncio.ensure_future(site.ask(gateway, "/lm/x", body=b"%d" % number)))
        await asyncio.sleep(begun + (number + 1) / STREAMS_PER_S - loop.time())
    await asyncio.gather(*asking)
    beyond = {attempt: where for attempt, where in runs.items() if len(set(where)) > MAX_ATTEMPTS}
    for attempt, where in beyond.items():
        site.record.write("ran on more replicas than allowed", attempt=attempt, replicas=where)
    site.record.write("summary", requests=len(runs), beyond=len(beyond))
    if len(beyond) > 3:
        return f"{len(beyond)} requests ran on more than {MAX_ATTEMPTS} replicas"
    return ""


run_case(case, FOLDER)
