"""Measures the configuration slice: time until in force, processor time, octets and memory.

Usage: `scripts/measure_configuration.py [CHANGES]` prints a table; followers run in this process
over a real stand-in, and their cost is the slope over their number, so that the rest drops out.
`scripts/measure_configuration.py memory FILES` prints what one follower alone needs.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import psutil
from features.support.follower_cluster import FollowerCluster
from features.support.site import Site, http

from pimentodale.addresses import parse_address
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clients.key_value import Put
from pimentodale.clock import create_clock
from pimentodale.configuration.folder_store import FOLDER_PREFIX
from pimentodale.configuration.follower import create_follower
from pimentodale.configuration.snapshots import AcceptedFile, Snapshot, encode_snapshot
from pimentodale.logs import configure_logs

if TYPE_CHECKING:
    from collections.abc import Callable

WORKSPACES: Final = 1800
CHANGES_PER_DAY: Final = 1400
SECONDS_PER_DAY: Final = 86_400
SETTLE_S: Final = 60.0


def main(arguments: list[str]) -> int:
    """Run every measurement and print it."""
    configure_logs("error", "console")
    if arguments[:1] == ["memory"]:
        return asyncio.run(measure_memory(int(arguments[1])))
    changes = int(arguments[0]) if arguments else 30
    print(f"seed 1, {WORKSPACES} workspaces, {changes} changes a run")
    print("| files | hosts | watchers | in force ms p50 | p99 | max | CPU ms a change | snapshot |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for files in (1, 36, 1800):
        for hosts, watchers in ((2, 2), (8, 2)):
            measure(files, hosts, watchers, changes)
    return 0


def measure(files: int, hosts: int, watchers: int, changes: int) -> None:
    """Make changes and print a line."""
    site = Site(1)
    try:
        address = f"{site.ip(10)}:2379"
        part = {"kind": "key_value", "listen": address, "history_events": 100_000}
        path = site.write("store.yaml", {"parts": [part]})
        site.start("store", "pimentodale-standin", str(path))
        site.wait_ready(f"http://{address}/healthz")
        asyncio.run(fill(address, files))
        fleet = FollowerCluster(address, site.seed)
        for number in range(hosts):
            fleet.add(f"h{number}", number < watchers)
        wait_for(lambda: all(has(fleet, name, f"w{WORKSPACES - 1}", 1.0) for name in fleet.hosts))
        before = http(f"http://{address}/admin/calls").json()
        start_s = time.process_time()
        waits = [change(address, fleet, files, number) for number in range(changes)]
        cpu_ms = (time.process_time() - start_s) * 1000 / changes
        after = http(f"http://{address}/admin/calls").json()
        waits_ms = sorted(wait for row in waits for wait in row)
        size = len(next(iter(fleet.hosts.values())).follower.snapshot())
        calls = {
            kind: round((after[kind] - before[kind]) / changes, 1)
            for kind in ("range", "txn", "watch")
        }
        reply_bytes = (after["reply_bytes"] - before["reply_bytes"]) / changes
        daily = reply_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY
        p99 = waits_ms[min(len(waits_ms) - 1, int(len(waits_ms) * 0.99))]
        print(
            f"| {files} | {hosts} | {watchers} | {waits_ms[len(waits_ms) // 2]:.0f} | {p99:.0f} |"
            f" {waits_ms[-1]:.0f} | {cpu_ms:.1f} | {size} |"
            f" calls a change {calls}, service sends {reply_bytes:.0f} octets a change,"
            f" {daily:.0f} octets/s at {CHANGES_PER_DAY} a day; failed: {fleet.failed()}"
        )
        fleet.stop()
    finally:
        site.stop()


async def measure_memory(files: int) -> int:
    """Print a lone follower's resident memory and processor time over first and later offers."""
    address = parse_address("127.0.0.1:1")
    store = create_etcd_gateway([address], create_clock())
    follower = create_follower(store, create_clock(), random.Random(1), "alone", lambda: False)
    texts = [AcceptedFile(name_of(n), text_of(n, files, 1.0).decode()) for n in range(files)]
    offers = []
    for revision in (1, 2, 3, 4):
        changed = AcceptedFile(texts[-1].name, text_of(files - 1, files, revision).decode())
        snapshot = Snapshot(revision=revision, files=[*texts[:-1], changed])
        offers.append(encode_snapshot(snapshot))
    del texts, changed, snapshot
    print(f"{files} files, before: {resident_mb():.1f} MB")
    for offer in offers:
        start_s = time.process_time()
        assert await follower.offer(offer)
        cost_ms = (time.process_time() - start_s) * 1000
        print(f"offer of {len(offer)} octets: {cost_ms:.1f} ms CPU, {resident_mb():.1f} MB")
    return 0


def resident_mb() -> float:
    """Return this process's resident memory in MB."""
    return psutil.Process().memory_info().rss / 1e6


async def fill(address: str, files: int) -> None:
    """Write the folder."""
    store = create_etcd_gateway([parse_address(address)], create_clock())
    writes = [Put(FOLDER_PREFIX + name_of(n), text_of(n, files, 1.0)) for n in range(files)]
    for first in range(0, files, 100):
        reply = await store.txn([], writes[first : first + 100])
        assert reply.is_ok(), reply


def name_of(number: int) -> str:
    """Return a file's name."""
    return f"{number:04d}.yaml"


def text_of(number: int, files: int, share: float) -> bytes:
    """Return a file's text; its last workspace has this share."""
    each = WORKSPACES // files
    names = [f"w{n}" for n in range(number * each, (number + 1) * each)]
    lines = ["workspaces:"]
    for name in names:
        digest = hashlib.sha256(name.encode()).hexdigest()
        its_share = share if name == names[-1] else 1.0
        lines.append(f"- {{name: {name}, token_sha256s: [{digest}], share: {its_share}}}")
    return "\n".join(lines).encode()


def change(address: str, fleet: FollowerCluster, files: int, number: int) -> list[float]:
    """Change the last file; return the ms until each host has it in force."""
    share = 2.0 + number
    key = FOLDER_PREFIX + name_of(files - 1)
    store = create_etcd_gateway([parse_address(address)], create_clock())
    reply = asyncio.run(store.txn([], [Put(key, text_of(files - 1, files, share))]))
    assert reply.is_ok(), reply
    written_ms = time.time() * 1000
    wait_for(lambda: all(has(fleet, name, f"w{WORKSPACES - 1}", share) for name in fleet.hosts))
    statuses = [host.follower.status() for host in fleet.hosts.values()]
    # Spread the changes, so that each meets a system at rest.
    time.sleep(random.Random(number).uniform(0.3, 0.6))
    return [status.in_force_wall_ms - written_ms for status in statuses]


def has(fleet: FollowerCluster, host: str, workspace: str, share: float) -> bool:
    """Whether a host has a workspace with this share."""
    found = fleet.hosts[host].follower.current().workspaces.get(workspace)
    return found is not None and found.share == share


def wait_for(condition: Callable[[], bool]) -> None:
    """Poll until the condition is true."""
    end = time.monotonic() + SETTLE_S
    while not condition():
        assert time.monotonic() < end, "not in force in time"
        time.sleep(0.005)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
