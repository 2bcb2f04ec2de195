"""Measures membership over real processes: `python -m features.support.measure_peers 4 8 16`.

Prints for each number of nodes: processor time, resident memory and bytes per second of each node,
the time until all nodes know each other, the time until a killed node is considered gone everywhere,
and the number of suspicions.
"""

from __future__ import annotations

import shutil
import statistics
import sys
import time

import msgspec

from features.support.peer_nodes import (
    ALIVE,
    GONE,
    node_name,
    publish,
    read_received,
    seed_of,
    start_node,
    states,
    status,
)
from features.support.site import Site, wait_until

QUIET_S = 20.0
JOIN_TIMEOUT_S = 120.0


def main() -> None:
    """Measure each number of nodes given on the command line."""
    print("nodes degree cpu% cpu%max peers_cpu% rss_MB sent_B/s recv_B/s join_s publish_ms gone_s")
    for text in sys.argv[1:]:
        _measure(int(text))


def _measure(count: int) -> None:
    """Measure one number of nodes and print a line."""
    site = Site(1)
    numbers = range(1, count + 1)
    try:
        started = time.monotonic()
        for number in numbers:
            start_node(site, number, [seed_of(site, 1), seed_of(site, 2)])
        wait_until(lambda: _all_alive(site, numbers, count), "all know all", JOIN_TIMEOUT_S)
        join_s = time.monotonic() - started
        time.sleep(8)
        before = [status(site, number) for number in numbers]
        start_s = time.monotonic()
        time.sleep(QUIET_S)
        after = [status(site, number) for number in numbers]
        elapsed_s = time.monotonic() - start_s
        cpu = [(b.cpu_ms - a.cpu_ms) / elapsed_s / 10 for a, b in zip(before, after, strict=True)]
        own = [
            (b.peers_cpu_ms - a.peers_cpu_ms) / elapsed_s / 10
            for a, b in zip(before, after, strict=True)
        ]
        rates = [
            statistics.mean(
                (b.counters[name] - a.counters[name]) / elapsed_s
                for a, b in zip(before, after, strict=True)
            )
            for name in ("sent_bytes", "received_bytes")
        ]
        # The first status answers were sent within the measured period, but are not part of it.
        rates[0] -= statistics.mean(len(msgspec.json.encode(node)) for node in before) / elapsed_s
        published_ms = time.time() * 1000
        publish(site, 3, "mark", 50)
        others = [number for number in numbers if number != 3]
        wait_until(lambda: all(_mark(site, number) for number in others), "the mark is everywhere")
        spread_ms = max(_mark(site, number) for number in others) - published_ms
        killed = time.monotonic()
        site.programs[node_name(4)].kill()
        rest = [number for number in numbers if number != 4]
        wait_until(
            lambda: all(states(site, number).get("h4") == GONE for number in rest), "gone", 60.0
        )
        gone_s = time.monotonic() - killed
        final = [status(site, number) for number in rest]
        suspicions = sum(node.counters["suspicions"] for node in final)
        refutations = sum(node.counters["refutations"] for node in final)
        degree = statistics.mean(len(node.links) for node in after)
        print(
            f"{count} {degree:.1f} {statistics.mean(cpu):.2f} {max(cpu):.2f} "
            f"{statistics.mean(own):.2f} "
            f"{statistics.mean(node.resident_bytes for node in after) / 2**20:.1f} "
            f"{rates[0]:.0f} {rates[1]:.0f} {join_s:.1f} {spread_ms:.0f} {gone_s:.2f} "
            f"suspicions={suspicions:.0f} refutations={refutations:.0f}",
            flush=True,
        )
    finally:
        site.stop()
        shutil.rmtree(site.folder, ignore_errors=True)


def _all_alive(site: Site, numbers: range, count: int) -> bool:
    """Return whether every node considers every node alive."""
    for number in numbers:
        held = states(site, number)
        if sum(state == ALIVE for state in held.values()) != count:
            return False
    return True


def _mark(site: Site, number: int) -> float:
    """Return when a node received the entry `mark`, or 0 if it has not yet."""
    times = [line["at_ms"] for line in read_received(site, number) if line.get("key") == "mark"]
    return times[0] if times else 0.0


if __name__ == "__main__":
    main()
