"""Measures goodput against the max-flow bound over stand-in engines, one picker after the other.

Usage: .venv/bin/python scripts/measure_routing.py [ROUNDS] [SECONDS] [PICKER...]
"""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from features.support.mixed_fleet import LAYERS, fleet_links, start_fleet
from features.support.site import Site

from pimentodale.addresses import parse_address
from pimentodale.admission.admission import AdmissionLimits, create_admission
from pimentodale.admission.rate_shares import create_rate_shares
from pimentodale.admission.route_pool import create_route_pool
from pimentodale.clients.engine_client import EngineToken, open_stream, read_load
from pimentodale.clients.engine_messages import EngineCall
from pimentodale.clients.targets import Targets
from pimentodale.clock import create_clock
from pimentodale.routing.fleet import create_fleet
from pimentodale.routing.pickers import planned_pickers, round_robin_pickers, shortest_queue_pickers
from pimentodale.routing.router import create_router
from pimentodale.routing.routes import RouteOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from pimentodale.admission.admission import Admission
    from pimentodale.clients.targets import EngineTarget
    from pimentodale.clock import Clock
    from pimentodale.routing.fleet import Fleet
    from pimentodale.routing.pickers import CreatePicker
    from pimentodale.routing.route_limits import RouteUse
    from pimentodale.routing.router import Router
    from pimentodale.routing.routes import Route

CALLERS: Final = 400
WARM_UP_MS: Final = 10_000.0
TOKENS: Final = 32
LOAD_INTERVAL_MS: Final = 500.0


@dataclass(slots=True)
class Tally:
    """What one run gave."""

    tokens: int = 0
    streams: int = 0
    faults: list[str] = field(default_factory=list)
    first_ms: list[float] = field(default_factory=list)
    measuring: bool = False
    by_route: Counter[Route] = field(default_factory=Counter)


async def run_stream(use: RouteUse, number: int, tally: Tally, clock: Clock) -> None:
    """Generate one answer along a route and count its tokens."""
    call = EngineCall(request_id=f"r{number}", attempt=1, route=list(use.route.hops))
    body = {"model": use.route.model, "prompt": f"strain {number} [tokens={TOKENS}]"}
    start_ms = clock.now_ms()
    address = parse_address(use.route.hops[0].address)
    opened = await open_stream(address, "/v1/completions", body, call, {}, 5_000.0)
    if opened.is_error():
        refused = opened.error.refused
        busy = refused is not None and bool(refused.busy)
        use.end(RouteOutcome.BUSY if busy else RouteOutcome.LOST)
        tally.faults.append(opened.error.message)
        return
    try:
        async for event in opened.ok.events(20_000.0):
            if event.is_error():
                tally.faults.append(event.error.message)
                use.end(RouteOutcome.LOST)
                return
            if not isinstance(event.ok, EngineToken):
                continue
            use.note_token()
            if tally.measuring:
                tally.tokens += 1
                tally.by_route[use.route] += 1
                if event.ok.note.index == 0:
                    tally.first_ms.append(clock.now_ms() - start_ms)
        tally.streams += 1
        use.end(RouteOutcome.SERVED)
    finally:
        opened.ok.close()


async def call_for_ever(admission: Admission[RouteUse], caller: int, tally: Tally) -> None:
    """Send one request after the other."""
    clock = create_clock()
    number = caller
    while True:
        admitted = await admission.admit("w", float(TOKENS), clock.now_ms() + 600_000.0)
        if admitted.is_error():
            tally.faults.append(admitted.error.name)
            await clock.sleep_ms(100.0)
            continue
        try:
            await run_stream(admitted.ok.grant, number, tally, clock)
        finally:
            admitted.ok.release()
        number += CALLERS


async def keep_loads(fleet: Fleet, admission: Admission[RouteUse], clock: Clock) -> None:
    """Read every engine's load again and again."""
    while True:
        for status in list(fleet.statuses()):
            report = await read_load(status.target.address, 1_000.0)
            if report.is_ok():
                fleet.apply_load(report.ok)
        admission.wake()
        await clock.sleep_ms(LOAD_INTERVAL_MS)


async def run_variant(
    targets: list[EngineTarget], pickers: CreatePicker, seconds: float
) -> tuple[Tally, float]:
    """Run one picker at full load and return its tally and the bound."""
    clock = create_clock()
    fleet = create_fleet(clock)
    fleet.apply_targets(Targets(engines=targets))
    router = create_router(fleet, clock, targets[0].failure_domain, 1, fleet_links, pickers)
    room = create_route_pool(router, targets[0].model, LAYERS)
    limits = AdmissionLimits(lambda: 10_000, lambda _: 1.0, lambda _: None)
    admission = create_admission(clock, room, limits, create_rate_shares(clock, "bench"))
    tally = Tally()
    tasks = [asyncio.create_task(keep_loads(fleet, admission, clock))]
    tasks += [
        asyncio.create_task(call_for_ever(admission, caller, tally)) for caller in range(CALLERS)
    ]
    await clock.sleep_ms(WARM_UP_MS)
    tally.measuring = True
    await clock.sleep_ms(seconds * 1000.0)
    tally.measuring = False
    bound = router.bound_tokens_per_s(targets[0].model)
    if os.environ.get("SHOW_WINDOWS"):
        show_windows(router, targets, tally, seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await clock.sleep_ms(500.0)
    return tally, bound


def show_windows(router: Router, targets: list[EngineTarget], tally: Tally, seconds: float) -> None:
    """Print each planned route's and each engine's share of what it could do."""
    for planned in router.plan_of(targets[0].model):
        limit = router.route_limits.limit_of(planned.route)
        rate = tally.by_route[planned.route] / seconds
        names = " ".join(planned.route.replicas)
        share = f"{rate:6.1f} of {planned.tokens_per_s:6.1f}/s"
        print(f"    {names:16} {share}, limit {limit.limit()}, streams {limit.in_flight}")
    for target in targets:
        tokens = sum(n for r, n in tally.by_route.items() if target.replica in r.replicas)
        print(f"    {target.replica:4} {tokens / seconds:6.1f} of {target.tokens_per_s:6.1f}/s")


def main() -> None:
    """Run the rounds and print a line for each run."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 10.0
    variants: dict[str, Callable[[], CreatePicker]] = {
        "planned": lambda: planned_pickers("delft-a", random.Random(1)),
        "round_robin": round_robin_pickers,
        "shortest_queue": lambda: shortest_queue_pickers(random.Random(1)),
    }
    chosen = sys.argv[3:] or list(variants)
    site = Site(1)
    try:
        targets = start_fleet(site)
        for turn in range(rounds):
            for name in chosen:
                tally, bound = asyncio.run(run_variant(targets, variants[name](), seconds))
                rate = tally.tokens / seconds
                tally.first_ms.sort()
                p95 = tally.first_ms[int(len(tally.first_ms) * 0.95)] if tally.first_ms else 0.0
                print(
                    f"round {turn + 1} {name:15} {rate:7.1f} tokens/s of {bound:.1f}"
                    f" = {rate / bound:.3f}, first token p95 {p95:.0f} ms,"
                    f" {tally.streams} streams, {len(tally.faults)} faults {set(tally.faults)}",
                    flush=True,
                )
    finally:
        site.stop()
        shutil.rmtree(site.folder, ignore_errors=True)


if __name__ == "__main__":
    main()
