"""A randomized soak: gateways under load while faults come in series and overlap.

Each seed starts a site of its own, draws faults for some seconds, mends everything, and compares what
clients got with what replicas ran. By hand: `python -m features.support.soak --seeds 50 --seconds 12`.
"""

from __future__ import annotations

import argparse
import contextlib
import random
import shutil
import signal
import sys
import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from features.support.gateway_site import (
    ENGINE_REPLICAS,
    GATEWAYS,
    LAYERS,
    PLAIN_REPLICAS,
    GatewaySite,
    create_gateway_site,
)
from features.support.site import Site, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

EVENTS: Final = 30
RECOVERY_S: Final = 12.0
"""Longest time until streams are served again once everything is mended."""

PAUSE_S: Final = (0.1, 0.8)
"""Pause between two faults; they last longer, so that they overlap."""

LAST_S: Final = (0.3, 3.0)
"""How long a fault lasts."""

MAX_CRASHES: Final = 6
"""Replicas that may end under one request: three, and three further sendings that the users' rule bears."""


@dataclass(slots=True)
class SoakResult:
    """What a soak found."""

    seed: int
    broken: list[str] = field(default_factory=list)
    """Promises that were broken, one line each."""

    counts: Counter[str] = field(default_factory=Counter)
    """Requests by kind and status, and faults by name."""


@dataclass(slots=True)
class _Run:
    """State of one soak."""

    site: GatewaySite
    result: SoakResult
    rng: random.Random
    replica_rng: random.Random
    """Draws what replicas say and meet, apart from the rest, so that seeds keep what they drew."""

    stop: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)
    bookings: dict[str, int] = field(default_factory=dict)
    """Status of each booking by attempt; 0 for no answer."""


def soak(seed: int, seconds: float) -> SoakResult:
    """Run one seed and return what it found."""
    site = Site(seed)
    result = SoakResult(seed)
    try:
        gateways = create_gateway_site(site)
        gateways.start_platform(EVENTS, 15.0)
        gateways.configure()
        gateways.start_gateway("g1")
        gateways.start_gateway("g2", store=f"{site.ip(2)}:9002")
        gateways.wait_serving()
        run = _Run(gateways, result, random.Random(seed), random.Random(-seed - 1))
        clients = [
            threading.Thread(target=work, args=(run, name))
            for name in GATEWAYS
            for work in (_book, _stream, _stream)
        ]
        for client in clients:
            client.start()
        _break_things(run, seconds)
        _check_recovery(run)
        run.stop.set()
        for client in clients:
            client.join(20.0)
        _judge(run)
        if result.broken:
            print(site.logs())
    finally:
        site.stop()
        shutil.rmtree(site.folder, ignore_errors=True)
    return result


def _book(run: _Run, gateway: str) -> None:
    """Book again and again through one gateway."""
    while not run.stop.is_set():
        with run.lock:
            headers = run.site.headers()
        try:
            status = run.site.request(gateway, "/book/rig", headers=headers).status
        except Exception:  # whatever breaks a connection is no answer
            status = 0
            time.sleep(0.05)
        with run.lock:
            run.bookings[headers["Pimentodale-Attempt-Id"]] = status
            run.result.counts[f"booking {status}"] += 1
        time.sleep(0.02)


def _stream(run: _Run, gateway: str) -> None:
    """Read streams again and again through one gateway."""
    while not run.stop.is_set():
        with run.lock:
            client = run.site.open_stream(gateway)
        end = time.monotonic() + 15.0
        while not client.is_over and time.monotonic() < end:
            time.sleep(0.02)
        wanted = [str(number) for number in range(1, EVENTS + 1)]
        with run.lock:
            ending = "whole" if client.is_whole else "cut" if client.events else "none"
            run.result.counts[f"stream {client.status} {ending}"] += 1
            if not client.is_over:
                run.result.broken.append(f"a stream hung with events {client.events}")
            elif client.is_whole and client.events != wanted:
                run.result.broken.append(f"a stream ended as whole with events {client.events}")
            elif client.events != wanted[: len(client.events)]:
                run.result.broken.append(f"events out of order: {client.events}")
        if client.status != 200:
            time.sleep(0.05)


def _break_things(run: _Run, seconds: float) -> None:
    """Bring faults about, overlapping, and mend each after its time."""
    acts: list[Callable[[_Run], Callable[[], None]]] = [
        _kill_gateway,
        _stop_gateway,
        _freeze_gateway,
        _harm_link,
        _lose_replica,
        _take_store,
        _change_configuration,
    ]
    replica_acts: list[Callable[[_Run], Callable[[], None]]] = [
        _announce_leaving,
        _turn_away,
        _send_poison,
        _rest,
    ]
    mends: list[tuple[float, Callable[[], None]]] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(run.rng.uniform(*PAUSE_S))
        for due, mend in [item for item in mends if item[0] <= time.monotonic()]:
            mend()
            mends.remove((due, mend))
        act = run.rng.choice(acts)
        run.result.counts[act.__name__.strip("_")] += 1
        mends.append((time.monotonic() + run.rng.uniform(*LAST_S), act(run)))
        act = run.replica_rng.choice(replica_acts)
        run.result.counts[act.__name__.strip("_")] += 1
        mends.append((time.monotonic() + run.replica_rng.uniform(*LAST_S), act(run)))
    for _, mend in mends:
        mend()


def _kill_gateway(run: _Run) -> Callable[[], None]:
    """Kill a gateway; it starts again."""
    name = run.rng.choice(GATEWAYS)
    run.site.site.programs[name].kill()
    return lambda: _restart(run, name)


def _stop_gateway(run: _Run) -> Callable[[], None]:
    """Ask a gateway to stop; it starts again once it has, or is killed."""
    name = run.rng.choice(GATEWAYS)
    run.site.site.programs[name].process.send_signal(signal.SIGTERM)
    return lambda: _restart(run, name)


def _restart(run: _Run, name: str) -> None:
    """Start a gateway anew, unless it runs."""
    program = run.site.site.programs[name]
    program.wake()
    if program.process.poll() is None:
        program.kill()
    run.site.start_gateway(name, f"{run.site.site.ip(2)}:9002" if name == "g2" else "")


def _freeze_gateway(run: _Run) -> Callable[[], None]:
    """Pause a gateway."""
    program = run.site.site.programs[run.rng.choice(GATEWAYS)]
    program.freeze()
    return program.wake


def _harm_link(run: _Run) -> Callable[[], None]:
    """Cut, silence or delay the link to a replica, or of one gateway to the store."""
    name = run.rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS, "store"))
    fault = run.rng.choice(({"cut": True}, {"silent": True}, {"blackhole": True}, {"delay_ms": 40}))
    run.site.link_fault(name, **fault)
    return lambda: run.site.link_fault(name)


def _lose_replica(run: _Run) -> Callable[[], None]:
    """Take a replica away; it starts again empty."""
    name = run.rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS))
    run.site.fault(name, down=True, down_mode=run.rng.choice(("reset", "refuse", "silent")))

    def mend() -> None:
        run.site.admin(name, "restart")
        run.site.fault(name)

    return mend


def _announce_leaving(run: _Run) -> Callable[[], None]:
    """Have a replica say in its answers alone that it leaves; it starts again."""
    name = run.replica_rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS))
    run.site.admin(name, "announce")
    return lambda: run.site.admin(name, "restart")


def _turn_away(run: _Run) -> Callable[[], None]:
    """Have a replica turn requests away, and say for how long."""
    name = run.replica_rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS))
    run.site.turn_away(name, "0.8")
    return lambda: run.site.turn_away(name, "")


def _send_poison(run: _Run) -> Callable[[], None]:
    """Send a request that crashes its first replica."""
    gateway = run.replica_rng.choice(GATEWAYS)

    def send() -> None:
        # Whatever breaks the connection is no answer.
        with contextlib.suppress(Exception):
            run.site.request(gateway, "/lm/stream", body=b"poison")

    threading.Thread(target=send, daemon=True).start()
    return lambda: None


def _rest(_run: _Run) -> Callable[[], None]:
    """Bring nothing about."""
    return lambda: None


def _take_store(run: _Run) -> Callable[[], None]:
    """Take the store away."""
    run.site.store_fault(down=True, down_mode=run.rng.choice(("reset", "silent")))
    return run.site.store_fault


def _change_configuration(run: _Run) -> Callable[[], None]:
    """Write a configuration, if the store takes it."""
    route = {"path_prefix": f"/new{run.rng.randrange(3)}/", "kind": "idempotent"}
    try:
        run.site.configure([route | {"service": "plain"}])
    except OSError:
        run.result.counts["configuration refused"] += 1
    return lambda: None


def _check_recovery(run: _Run) -> None:
    """Mend everything, and wait until both gateways serve and hold the newest configuration."""
    for name in (*ENGINE_REPLICAS, *PLAIN_REPLICAS, "store"):
        run.site.link_fault(name)
    for name in (*ENGINE_REPLICAS, *PLAIN_REPLICAS):
        run.site.turn_away(name, "")
    run.site.store_fault()
    run.site.configure([{"path_prefix": "/last/", "kind": "idempotent", "service": "plain"}])
    for name in GATEWAYS:
        if run.site.site.programs[name].process.poll() is not None:
            _restart(run, name)
    for name in GATEWAYS:
        try:
            wait_until(lambda name=name: _serves_all(run, name), f"{name} serves", RECOVERY_S)
        except AssertionError as error:
            run.result.broken.append(f"not recovered: {error}")


def _serves_all(run: _Run, name: str) -> bool:
    """Whether a gateway serves streams and the newest route."""
    with run.lock:
        headers = [run.site.headers(), run.site.headers()]
    try:
        replies = [
            run.site.request(name, path, headers=own)
            for path, own in zip(("/lm/probe", "/last/x"), headers, strict=True)
        ]
    except Exception:  # a connection that was open to a killed gateway
        return False
    return all(reply.status == 200 for reply in replies)


def _judge(run: _Run) -> None:
    """Compare what clients were told with what the replicas ran."""
    runs: defaultdict[str, int] = defaultdict(int)
    for entry in run.site.journal("run"):
        if "/book/" in entry["detail"].partition(" ")[0]:
            runs[entry["attempt"]] += 1
    for attempt, status in run.bookings.items():
        if runs[attempt] > 1:
            run.result.broken.append(f"booking {attempt} ran {runs[attempt]} times")
        if status in (408, 421, 429, 503) and runs[attempt]:
            run.result.broken.append(f"booking {attempt} ran and was answered {status}")
        if status == 200 and not runs[attempt]:
            run.result.broken.append(f"booking {attempt} was answered 200 and never ran")
    crashes = len(run.site.journal("crash"))
    if crashes > MAX_CRASHES:
        run.result.broken.append(f"{crashes} replicas ended under one request")
    for event in run.site.journal("event"):
        _check_layers(run, event)
    for order in run.site.journal("place"):
        first, end = map(int, order["detail"].split("-"))
        if end - first > LAYERS:
            run.result.broken.append(f"an order over the memory: {order}")


def _check_layers(run: _Run, event: dict[str, Any]) -> None:
    """Check that an event ran every layer once and in order."""
    position = 0
    for text in event["detail"].split()[1:]:
        first, end = map(int, text.split("-"))
        if first != position:
            run.result.broken.append(f"layers out of order: {event}")
            return
        position = end
    if position != LAYERS:
        run.result.broken.append(f"layers are missing: {event}")


def main() -> int:
    """Run seeds from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=12.0)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = soak(seed, arguments.seconds)
        failed += bool(result.broken)
        print(seed, "BROKEN" if result.broken else "held", dict(result.counts), flush=True)
        for line in result.broken[:10]:
            print("   ", line)
    print(f"{arguments.seeds - failed} seeds held, {failed} broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
