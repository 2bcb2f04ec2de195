"""A randomized soak: gateways under load while faults come in series and overlap.

Each seed starts a site of its own, draws faults for some seconds, mends everything, and compares what
clients got with what replicas ran. By hand: `python -m features.support.soak --seeds 50 --seconds 12`;
with `--faults pauses` replicas only pause, while gateways stop and configurations change.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import random
import shutil
import signal
import subprocess
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
from features.support.soak_faults import PATIENCE_S, Ending, FaultLog, ReplicaPauses, Span

if TYPE_CHECKING:
    from collections.abc import Callable

EVENTS: Final = 30
EVENT_MS: Final = 15.0

PAUSES_EVENT_MS: Final = 40.0
"""The same when replicas only pause, so that more streams are under way meanwhile."""

STREAM_CLIENTS: Final = 2
"""Clients that read streams, for each gateway."""

STOPPED_S: Final = 10.0
"""Longest time in which a gateway ends after SIGTERM."""

RECOVERY_S: Final = 12.0
"""Longest time until streams are served again once everything is mended."""

PAUSE_S: Final = (0.1, 0.8)
"""Pause between two faults; they last longer, so that they overlap."""

LAST_S: Final = (0.3, 3.0)
"""How long a fault lasts."""

PAUSES_SHARE: Final = 0.3
"""Share of the rounds of faults in which replicas begin to pause."""

SPLIT_SHARE: Final = 0.5
"""Share of the seeds whose replicas run in two processes, of which one may pause alone."""

RETURNS_SHARE: Final = 0.15
"""Share of the rounds of faults in which the store is copied, to return from that copy."""

AWAY_S: Final = 0.3
"""Time for which the store is away before it returns from a copy."""

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

    pause_rng: random.Random
    """Draws pauses of replicas, and all faults where these are the only unplanned ones."""

    log: FaultLog
    pauses: ReplicaPauses

    return_rng: random.Random
    """Draws when the store returns from a copy, apart from the rest."""

    era: int = 1
    """Era of the store."""

    is_copied: bool = False
    """Whether the store will return from a copy that was made."""

    stop: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)
    bookings: dict[str, int] = field(default_factory=dict)
    """Status of each booking by attempt; 0 for no answer."""


def soak(
    seed: int,
    seconds: float,
    *,
    is_planned: bool = False,
    stream_clients: int = STREAM_CLIENTS,
    keeps_failed: bool = False,
) -> SoakResult:
    """Run one seed and return what it found.

    Args:
        seed: Seed of all that is drawn.
        seconds: How long faults are drawn.
        is_planned: Whether there are only pauses of replicas, planned stops and configurations.
        stream_clients: Clients that read streams, for each gateway.
        keeps_failed: Whether logs and journal stay if a promise was broken.
    """
    site = Site(seed)
    result = SoakResult(seed)
    try:
        gateways = create_gateway_site(site)
        pause_rng, log = random.Random(f"pauses {seed}"), FaultLog()
        event_ms = PAUSES_EVENT_MS if is_planned else EVENT_MS
        gateways.start_platform(EVENTS, event_ms, is_split=pause_rng.random() < SPLIT_SHARE)
        replicas = [site.programs[name] for name in site.programs if name != "store"]
        gateways.configure()
        gateways.start_gateway("g1")
        gateways.start_gateway("g2", store=f"{site.ip(2)}:9002")
        gateways.wait_serving()
        run = _Run(
            gateways,
            result,
            random.Random(seed),
            random.Random(-seed - 1),
            pause_rng,
            log,
            ReplicaPauses(replicas, pause_rng, log),
            random.Random(f"returns {seed}"),
        )
        clients = [
            threading.Thread(target=work, args=(run, name))
            for name in GATEWAYS
            for work in (_book, _read, *([_stream] * stream_clients))
        ]
        for client in clients:
            client.start()
        if is_planned:
            _plan_things(run, seconds)
        else:
            _break_things(run, seconds)
        run.pauses.join()
        _check_recovery(run)
        run.stop.set()
        for client in clients:
            client.join(20.0)
        _judge(run)
        if result.broken:
            print(site.logs())
    finally:
        site.stop()
        if result.broken and keeps_failed:
            print(f"seed {seed}: logs, journal and times of faults in {site.folder}")
            (site.folder / "faults").write_text("\n".join(log.describe()))
        else:
            shutil.rmtree(site.folder, ignore_errors=True)
    return result


def _book(run: _Run, gateway: str) -> None:
    """Book again and again through one gateway."""
    connection = _keep_connection(run, gateway)
    while not run.stop.is_set():
        ending = _send(run, connection, gateway, "POST", "/book/rig")
        with run.lock:
            run.bookings[ending.attempt] = ending.status
        time.sleep(0.02)


def _read(run: _Run, gateway: str) -> None:
    """Read again and again through one gateway."""
    connection = _keep_connection(run, gateway)
    while not run.stop.is_set():
        ending = _send(run, connection, gateway, "GET", "/read/x")
        with run.lock:
            run.log.endings.append(ending)
        time.sleep(0.02)


def _keep_connection(run: _Run, gateway: str) -> http.client.HTTPConnection:
    """Return a connection that is kept, and opened anew once the gateway has closed it."""
    return http.client.HTTPConnection(run.site.ip(gateway), 7000, timeout=12.0)


def _send(
    run: _Run, connection: http.client.HTTPConnection, gateway: str, method: str, path: str
) -> Ending:
    """Send a plain request and return how it ended; status 0 stands for no answer."""
    with run.lock:
        headers = run.site.headers()
    kind = "booking" if method == "POST" else "read"
    attempt = headers["Pimentodale-Attempt-Id"]
    ending = Ending(kind, gateway, attempt, time.monotonic(), 0.0, 0, False, False)
    try:
        connection.request(method, path, b"body" if method == "POST" else None, headers)
        ending.is_sent = True
        with connection.getresponse() as response:
            response.read()
            ending.status, ending.is_whole = response.status, response.status == 200
    except Exception:  # whatever breaks a connection is no answer
        connection.close()
        time.sleep(0.05)
    ending.end_s = time.monotonic()
    with run.lock:
        run.result.counts[f"{kind} {ending.status}"] += 1
    return ending


def _stream(run: _Run, gateway: str) -> None:
    """Read streams again and again through one gateway."""
    while not run.stop.is_set():
        with run.lock:
            begin_s = time.monotonic()
            client = run.site.open_stream(gateway, patience_s=PATIENCE_S)
        end = time.monotonic() + 15.0
        while not client.is_over and time.monotonic() < end:
            time.sleep(0.02)
        wanted = [str(number) for number in range(1, EVENTS + 1)]
        with run.lock:
            ending = "whole" if client.is_whole else "cut" if client.events else "none"
            run.result.counts[f"stream {client.status} {ending}"] += 1
            run.log.endings.append(
                Ending(
                    "stream",
                    gateway,
                    client.attempt,
                    begin_s,
                    time.monotonic(),
                    client.status,
                    client.is_whole,
                    client.is_sent,
                    client.has_left,
                )
            )
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
        if run.pause_rng.random() < PAUSES_SHARE:
            run.result.counts["pause"] += 1
            run.pauses.start()
        if run.return_rng.random() < RETURNS_SHARE and not run.is_copied:
            run.result.counts["return_store"] += 1
            mends.append((time.monotonic() + run.return_rng.uniform(*LAST_S), _return_store(run)))
    for _, mend in mends:
        mend()


def _plan_things(run: _Run, seconds: float) -> None:
    """Pause replicas, stop gateways and change configurations, overlapping."""
    stops: dict[str, threading.Thread] = {}
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(run.pause_rng.uniform(*PAUSE_S))
        act = run.pause_rng.choice(("pause", "pause", "stop", "configuration"))
        run.result.counts[act] += 1
        if act == "pause":
            run.pauses.start()
            continue
        if act == "configuration":
            _change_configuration(run)
            continue
        name = run.pause_rng.choice(GATEWAYS)
        if name in stops and stops[name].is_alive():
            continue
        stops[name] = threading.Thread(target=_stop_whole, args=(run, name))
        stops[name].start()
    for stop in stops.values():
        stop.join()


def _stop_whole(run: _Run, name: str) -> None:
    """Ask a gateway to stop, let it end by itself, and start it again."""
    _terminate(run, name)
    try:
        code = run.site.site.programs[name].process.wait(STOPPED_S)
    except subprocess.TimeoutExpired:
        code = -1
    if code:
        run.result.broken.append(f"{name} ended with {code} after SIGTERM")
    _restart(run, name)
    # Until it is ready, SIGTERM may meet it before it has a handler.
    try:
        wait_until(lambda: run.site.is_ready(name), f"{name} is ready", RECOVERY_S)
    except AssertionError as error:
        run.result.broken.append(f"not started: {error}")


def _terminate(run: _Run, name: str) -> None:
    """Ask a gateway to stop, and note it."""
    run.log.stops.append(Span(f"stop {name}", time.monotonic(), name))
    run.site.site.programs[name].process.send_signal(signal.SIGTERM)


def _begin_fault(run: _Run, what: str, gateway: str = "") -> Callable[[], None]:
    """Note that an unplanned fault begins; the result notes its end."""
    span = Span(f"{what} {gateway}", time.monotonic(), gateway)
    run.log.unplanned.append(span)

    def end() -> None:
        span.end_s = time.monotonic()

    return end


def _kill_gateway(run: _Run) -> Callable[[], None]:
    """Kill a gateway; it starts again."""
    name = run.rng.choice(GATEWAYS)
    _begin_fault(run, "kill", name)()
    run.site.site.programs[name].kill()
    return lambda: _restart(run, name)


def _stop_gateway(run: _Run) -> Callable[[], None]:
    """Ask a gateway to stop; it starts again once it has, or is killed."""
    name = run.rng.choice(GATEWAYS)
    _terminate(run, name)
    return lambda: _restart(run, name)


def _restart(run: _Run, name: str) -> None:
    """Start a gateway anew, unless it runs."""
    program = run.site.site.programs[name]
    program.wake()
    if program.process.poll() is None:
        _begin_fault(run, "kill", name)()
        program.kill()
    for stop in run.log.stops:
        if stop.gateway == name:
            stop.end_s = min(stop.end_s, time.monotonic())
    run.site.start_gateway(name, f"{run.site.site.ip(2)}:9002" if name == "g2" else "")


def _freeze_gateway(run: _Run) -> Callable[[], None]:
    """Pause a gateway."""
    name = run.rng.choice(GATEWAYS)
    program = run.site.site.programs[name]
    end = _begin_fault(run, "freeze", name)
    program.freeze()

    def mend() -> None:
        program.wake()
        end()

    return mend


def _harm_link(run: _Run) -> Callable[[], None]:
    """Cut, silence or delay the link to a replica, or of one gateway to the store."""
    name = run.rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS, "store"))
    fault = run.rng.choice(({"cut": True}, {"silent": True}, {"blackhole": True}, {"delay_ms": 40}))
    if name == "store":
        run.site.link_fault(name, **fault)
        return lambda: run.site.link_fault(name)
    end = _begin_fault(run, f"harm the link to {name}")
    run.site.link_fault(name, **fault)

    def mend() -> None:
        run.site.link_fault(name)
        end()

    return mend


def _lose_replica(run: _Run) -> Callable[[], None]:
    """Take a replica away; it starts again empty."""
    name = run.rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS))
    end = _begin_fault(run, f"lose {name}")
    run.log.losses_s.append(time.monotonic())
    run.site.fault(name, down=True, down_mode=run.rng.choice(("reset", "refuse", "silent")))

    def mend() -> None:
        run.site.admin(name, "restart")
        run.site.fault(name)
        end()

    return mend


def _announce_leaving(run: _Run) -> Callable[[], None]:
    """Have a replica say in its answers alone that it leaves; it starts again."""
    name = run.replica_rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS))
    end = _begin_fault(run, f"announce leaving of {name}")
    run.site.admin(name, "announce")

    def mend() -> None:
        run.log.losses_s.append(time.monotonic())
        run.site.admin(name, "restart")
        end()

    return mend


def _turn_away(run: _Run) -> Callable[[], None]:
    """Have a replica turn requests away, and say for how long."""
    name = run.replica_rng.choice((*ENGINE_REPLICAS, *PLAIN_REPLICAS))
    run.site.turn_away(name, "0.8")
    return lambda: run.site.turn_away(name, "")


def _send_poison(run: _Run) -> Callable[[], None]:
    """Send a request that crashes its first replica."""
    gateway = run.replica_rng.choice(GATEWAYS)

    def send() -> None:
        end = _begin_fault(run, "send poison")
        # Whatever breaks the connection is no answer.
        with contextlib.suppress(Exception):
            run.site.request(gateway, "/lm/stream", body=b"poison")
        end()

    threading.Thread(target=send, daemon=True).start()
    return lambda: None


def _rest(_run: _Run) -> Callable[[], None]:
    """Bring nothing about."""
    return lambda: None


def _take_store(run: _Run) -> Callable[[], None]:
    """Take the store away."""
    run.site.store_fault(down=True, down_mode=run.rng.choice(("reset", "silent")))
    return run.site.store_fault


def _return_store(run: _Run) -> Callable[[], None]:
    """Copy what the store holds; it returns from that copy, and the operator writes again."""
    run.site.copy_store()
    run.is_copied = True

    def mend() -> None:
        run.site.store_fault(down=True, down_mode="reset")
        time.sleep(AWAY_S)
        run.era = run.site.return_store()
        run.site.store_fault()
        run.site.write_configuration()
        run.is_copied = False

    return mend


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
    """Whether a gateway serves streams and the newest route, and follows the store's last era."""
    with run.lock:
        headers = [run.site.headers(), run.site.headers()]
    try:
        replies = [
            run.site.request(name, path, headers=own)
            for path, own in zip(("/lm/probe", "/last/x"), headers, strict=True)
        ]
    except Exception:  # a connection that was open to a killed gateway
        return False
    is_followed = run.site.read_gauge(name, "mirror_era") == run.era
    return is_followed and all(reply.status == 200 for reply in replies)


def _judge(run: _Run) -> None:
    """Compare what clients were told with what the replicas ran."""
    passed_on = {entry["attempt"] for what in ("run", "event") for entry in run.site.journal(what)}
    run.log.losses_s += [entry["at_ms"] / 1_000.0 for entry in run.site.journal("crash")]
    run.result.broken += run.log.judge(passed_on)
    # How much was judged, as many faults leave little time between them.
    run.result.counts["calm"] = sum(run.log.is_calm(ending) for ending in run.log.endings)
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
    parser.add_argument("--faults", choices=("all", "pauses"), default="all")
    parser.add_argument("--clients", type=int, default=STREAM_CLIENTS)
    parser.add_argument("--keep", action="store_true", help="keep logs of seeds that failed")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = soak(
            seed,
            arguments.seconds,
            is_planned=arguments.faults == "pauses",
            stream_clients=arguments.clients,
            keeps_failed=arguments.keep,
        )
        failed += bool(result.broken)
        print(seed, "BROKEN" if result.broken else "held", dict(result.counts), flush=True)
        for line in result.broken[:10]:
            print("   ", line)
    print(f"{arguments.seeds - failed} seeds held, {failed} broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
