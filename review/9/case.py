"""DRAIN: a replica's departure is hidden from hosts whose watcher reads the store anew meanwhile."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from rig import Gateway, Replica, Rig, plain_route, plain_service, request, run_case  # noqa: E402

REPLICAS = 300
SERVING = 60  # Of these serve the requests, the others another service.
PAGE_ITEMS = 50
DAY_S = 50.0
LEAVE_AFTER_S = (0.045, 0.055)  # A host reads anew 15 to 45 ms after its watch was cut.
DRAIN_S = 4.0
LINGER_S = 3.0
PAUSE_S = 1.0
REQUEST_GAP_S = 0.005


async def release(
    rig: Rig, rng: random.Random, acknowledged: dict[str, float], *, trouble: bool
) -> None:
    """Let one replica after the other leave, with the watches cut shortly before."""
    staying = rig.replicas[-SERVING:]
    while staying:
        if trouble:
            rig.record.write(f"{rig.store.cut_watches()} watches are cut")
        await asyncio.sleep(rng.uniform(*LEAVE_AFTER_S))
        old = staying.pop(rng.randrange(len(staying)))
        old.state = "draining"
        old.register()
        acknowledged[old.name] = rig.record.now()
        rig.record.write(f"the store accepts that {old.name} is draining")
        await end(rig, old)
        await asyncio.sleep(PAUSE_S)


async def end(rig: Rig, old: Replica) -> None:
    """Let a replica serve for the drain time and a little longer, then exit."""
    await asyncio.sleep(DRAIN_S + LINGER_S)
    old.state = "gone"
    rig.store.remove(f"servers/{old.name}")
    old.crash()


async def send(rig: Rig, rng: random.Random, sent: dict[str, tuple[float, str]]) -> None:
    """Send one request."""
    gateway = rng.choice(rig.gateways)
    attempt = rig.attempt()
    sent[attempt] = (rig.record.now(), gateway.name)
    headers = {"Pimentodale-Attempt-Id": attempt, "Pimentodale-Deadline-Ms": "4000"}
    await request(gateway.port, "GET", "/status/x", headers, timeout_s=4.0)


async def case(rig: Rig, trouble: bool) -> bool:
    """Return whether the rule was broken."""
    rng = random.Random()
    rig.configuration([plain_route("/status/", "idempotent")], [plain_service(), plain_service() | {"name": "other"}])
    for number in range(REPLICAS):
        service = "plain" if number >= REPLICAS - SERVING else "other"
        replica = Replica(rig, f"r{number:03d}", service, "za")
        await replica.start()
        rig.replicas.append(replica)
    rig.gateways = [Gateway(rig, name, "za", {"drain_ms": 4000}) for name in ("g1", "g2", "g3")]
    for gateway in rig.gateways:
        await gateway.start()
    for gateway in rig.gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)
    acknowledged: dict[str, float] = {}
    sent: dict[str, tuple[float, str]] = {}
    releasing = asyncio.ensure_future(release(rig, rng, acknowledged, trouble=trouble))
    end_s = rig.record.now() + DAY_S
    while rig.record.now() < end_s:
        asyncio.ensure_future(send(rig, rng, sent))
        await asyncio.sleep(REQUEST_GAP_S)
    releasing.cancel()
    await asyncio.sleep(1.0)
    late = 0
    for replica in rig.replicas:
        at = acknowledged.get(replica.name)
        if at is None:
            continue
        for arrived, attempt in replica.arrivals:
            # "A request reaches a replica later than drain_ms after [...] acknowledged"
            if sent[attempt][0] > at + DRAIN_S:
                late += 1
                rig.record.write(
                    f"{attempt} reached {replica.name} from {sent[attempt][1]} at {arrived:.3f}, "
                    f"{arrived - at:.3f} s after the acknowledgement at {at:.3f}"
                )
    rig.record.write(
        f"{len(sent)} requests sent, {len(acknowledged)} replicas left; "
        f"{late} requests reached a replica too late"
    )
    return late > 0


run_case(case, FOLDER, page_items=PAGE_ITEMS)
