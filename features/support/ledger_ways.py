"""Benchmarks three ways to store claims in the key-value stand-in, with a process per host.

The ways are `key`, one key per claim as in the ledger; `bucket`, one key for all claims of a hash
bucket; and `log`, an append-only log per shard that one host owns.

`python -m features.support.ledger_ways` prints a line for each way and rate. Each unit of work
writes a claim and then its outcome; both count as writes. `--kill` kills the owner of shard 0 in
the middle of the run.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import itertools
import json
import random
import shutil
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any, Final

import msgpack
from hdrh.histogram import HdrHistogram

from features.support.site import Site, http
from pimentodale.addresses import parse_address
from pimentodale.clients.etcd_gateway import create_etcd_gateway
from pimentodale.clients.key_value import Compare, KeyValueStore, Put, prefix_end
from pimentodale.clock import create_clock
from pimentodale.ledger.key_ledger import create_key_ledger
from pimentodale.ledger.records import Claim, ClaimRequest, Outcome, digest_request
from pimentodale.logs import configure_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOSTS: Final = 8
BUCKETS: Final = 64
SHARDS: Final = 4
STORE_LATENCY_MS: Final = 5.0
BATCH_DELAY_MS: Final = 5.0
RUN_S: Final = 6.0
OWNER_PORT: Final = 7000
OWNER_TIMEOUT_S: Final = 1.0
OUTCOME_BYTES: Final = 200
RETENTION_MS: Final = 86_400_000.0

Operation = tuple[bytes, int]
"""Key and whether it is a claim (0) or an outcome (1)."""


class BatchWriter:
    """Collects operations and writes them in batches, one batch at a time."""

    def __init__(self, write: Callable[[list[Operation]], Awaitable[list[bool]]]) -> None:
        self._write = write
        self._waiting: list[tuple[Operation, asyncio.Future[bool]]] = []
        self._task: asyncio.Task[None] | None = None

    async def submit(self, operation: Operation) -> bool:
        """Add an operation; returns whether it succeeded."""
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiting.append((operation, done))
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._drain())
        return await done

    async def _drain(self) -> None:
        while self._waiting:
            await asyncio.sleep(BATCH_DELAY_MS / 1000.0)
            batch, self._waiting = self._waiting, []
            results = await self._write([operation for operation, _ in batch])
            for (_, done), succeeded in zip(batch, results, strict=True):
                if not done.done():
                    done.set_result(succeeded)


def _encode_padded(operation: Operation) -> bytes:
    """Encode an operation, padded to the size of a claim or an outcome."""
    return operation[0] + bytes(OUTCOME_BYTES if operation[1] else 64)


class Bucket:
    """A key that holds all claims of a hash bucket and is rewritten as a whole."""

    def __init__(self, store: KeyValueStore, number: int) -> None:
        self._store = store
        self._key = f"bench/bucket/{number}"
        self._revision = 0
        self._entries: dict[bytes, bytes] = {}
        self.conflicts = 0

    async def write(self, operations: list[Operation]) -> list[bool]:
        """Rewrite the bucket until the comparison succeeds."""
        while True:
            entries = dict(self._entries)
            succeeded = []
            for operation in operations:
                succeeded.append(bool(operation[1]) or operation[0] not in entries)
                entries[operation[0]] = _encode_padded(operation)
            value = msgpack.packb(entries)
            reply = await self._store.txn(
                [Compare(self._key, self._revision)], [Put(self._key, value)]
            )
            if reply.is_error():
                continue
            if reply.ok.succeeded:
                self._entries, self._revision = entries, reply.ok.revision
                return succeeded
            self.conflicts += 1
            item = reply.ok.items[0]
            self._entries, self._revision = msgpack.unpackb(item.value), item.mod_revision


class Log:
    """The log of a shard; normally its owner appends, but any host may."""

    def __init__(self, store: KeyValueStore, number: int) -> None:
        self._store = store
        self._prefix = f"bench/log/{number}/"
        self._next = 0
        self._claims: set[bytes] = set()
        self.conflicts = 0

    async def write(self, operations: list[Operation]) -> list[bool]:
        """Append a batch as the next key, after reading batches appended by other hosts."""
        while True:
            batch = [_encode_padded(operation) for operation in operations]
            key = f"{self._prefix}{self._next:012d}"
            reply = await self._store.txn([Compare(key, 0)], [Put(key, msgpack.packb(batch))])
            if reply.is_error():
                continue
            if reply.ok.succeeded:
                succeeded = [
                    bool(operation[1]) or operation[0] not in self._claims
                    for operation in operations
                ]
                self._claims.update(operation[0] for operation in operations)
                self._next += 1
                return succeeded
            self.conflicts += 1
            await self._catch_up()

    async def _catch_up(self) -> None:
        """Read the batches from the next sequence number on."""
        start = f"{self._prefix}{self._next:012d}"
        read = await self._store.read(start, prefix_end(self._prefix))
        if read.is_error():
            return
        for item in read.ok.items:
            self._claims.update(entry[:16] for entry in msgpack.unpackb(item.value))
            self._next = int(item.key.removeprefix(self._prefix)) + 1


class ShardOwners:
    """Sends operations to the owner of their shard, or appends them if the owner is unreachable."""

    def __init__(self, network: str, logs: list[BatchWriter]) -> None:
        self._network = network
        self._logs = logs
        self._links: dict[int, tuple[asyncio.StreamWriter, dict[int, Any]]] = {}
        self._number = 0
        self.fallbacks = 0

    async def submit(self, operation: Operation) -> bool:
        """Append an operation to the log of its shard; returns whether it succeeded."""
        shard = operation[0][0] % SHARDS
        try:
            return await asyncio.wait_for(self._ask(shard, operation), OWNER_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._links.pop(shard, None)
            self.fallbacks += 1
            return await self._logs[shard].submit(operation)

    async def serve(self, shard: int) -> None:
        """Serve the operations of a shard as its owner."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            unpacker = msgpack.Unpacker()
            while data := await reader.read(65536):
                unpacker.feed(data)
                for number, key, kind in unpacker:
                    asyncio.ensure_future(answer(writer, number, (key, kind)))  # noqa: RUF006

        async def answer(writer: asyncio.StreamWriter, number: int, operation: Operation) -> None:
            writer.write(msgpack.packb([number, await self._logs[shard].submit(operation)]))

        await asyncio.start_server(handle, f"{self._network}.{100 + shard}", OWNER_PORT)

    async def _ask(self, shard: int, operation: Operation) -> bool:
        if shard not in self._links:
            self._links[shard] = await self._connect(shard)
        writer, waiting = self._links[shard]
        self._number += 1
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiting[self._number] = done
        writer.write(msgpack.packb([self._number, *operation]))
        return await done

    async def _connect(self, shard: int) -> tuple[asyncio.StreamWriter, dict[int, Any]]:
        address = f"{self._network}.{100 + shard}"
        reader, writer = await asyncio.open_connection(address, OWNER_PORT)
        waiting: dict[int, Any] = {}

        async def read() -> None:
            unpacker = msgpack.Unpacker()
            while data := await reader.read(65536):
                unpacker.feed(data)
                for number, succeeded in unpacker:
                    waiting.pop(number).set_result(succeeded)
            for done in waiting.values():
                done.set_exception(OSError("the owner of the shard is gone"))
            self._links.pop(shard, None)

        asyncio.ensure_future(read())  # noqa: RUF006
        return writer, waiting


async def run_host(arguments: argparse.Namespace) -> None:
    """Make claims at a fixed rate and print a report."""
    clock = create_clock()
    store = create_etcd_gateway([parse_address(arguments.store)], clock)
    parts: list[Any] = []
    if arguments.way == "key":
        ledger = create_key_ledger(store, clock, f"h{arguments.number}", lambda: RETENTION_MS)

        async def work(key: bytes) -> float:
            request = ClaimRequest(
                workspace="bench",
                idempotency_key=key.hex(),
                digest=digest_request(key),
                deadline_ms=clock.now_ms() + 60_000.0,
            )
            claimed = await ledger.claim(request)
            at_ms = clock.now_ms()
            if claimed.is_error() or not isinstance(claimed.ok, Claim):
                raise OSError("not claimed")
            await ledger.finish(claimed.ok, Outcome(status=200, body=bytes(OUTCOME_BYTES)))
            return at_ms

    else:
        if arguments.way == "bucket":
            parts = [Bucket(store, number) for number in range(BUCKETS)]
            writers = [BatchWriter(part.write) for part in parts]

            async def submit(operation: Operation) -> bool:
                return await writers[operation[0][0] % BUCKETS].submit(operation)

        else:
            parts = [Log(store, number) for number in range(SHARDS)]
            owners = ShardOwners(arguments.network, [BatchWriter(part.write) for part in parts])
            if arguments.number < SHARDS:
                await owners.serve(arguments.number)
            parts.append(owners)
            submit = owners.submit

        async def work(key: bytes) -> float:
            if not await submit((key, 0)):
                raise OSError("not claimed")
            at_ms = clock.now_ms()
            await submit((key, 1))
            return at_ms

    await _drive(arguments, work, parts)


async def _drive(
    arguments: argparse.Namespace, work: Callable[[bytes], Awaitable[float]], parts: list[Any]
) -> None:
    """Start work as a Poisson process and print a report."""
    rng = random.Random(f"{arguments.seed}/{arguments.number}")
    latency = HdrHistogram(1, 60_000_000, 3)
    gaps: dict[int, list[float]] = {shard: [] for shard in range(SHARDS)}
    failed = 0

    async def run_work() -> None:
        nonlocal failed
        key = hashlib.md5(rng.randbytes(16)).digest()
        start = time.monotonic()
        try:
            at_ms = await work(key)
        except (OSError, TimeoutError):
            failed += 1
            return
        latency.record_value(int(at_ms * 1000 - start * 1e6))
        gaps[key[0] % SHARDS].append(at_ms)

    await asyncio.sleep(max(0.0, arguments.start - time.monotonic()))
    end = time.monotonic() + RUN_S
    due = time.monotonic()
    tasks = []
    while due < end:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(asyncio.ensure_future(run_work()))
        due += rng.expovariate(arguments.rate / HOSTS)
    _, pending = await asyncio.wait(tasks, timeout=10.0)
    longest = max((b - a for times in gaps.values() for a, b in _pairs(times)), default=0.0)
    report = {
        "sent": len(tasks),
        "done": latency.total_count,
        "failed": failed + len(pending),
        "p50_ms": latency.get_value_at_percentile(50) / 1000,
        "p99_ms": latency.get_value_at_percentile(99) / 1000,
        "conflicts": sum(getattr(part, "conflicts", 0) for part in parts),
        "fallbacks": sum(getattr(part, "fallbacks", 0) for part in parts),
        "longest_gap_ms": longest,
    }
    print(json.dumps(report), flush=True)
    # Other hosts may still need this one as the owner of a shard.
    await asyncio.sleep(max(0.0, end + 11.0 - time.monotonic()) if arguments.way == "log" else 0.0)


def _pairs(times: list[float]) -> list[tuple[float, float]]:
    """Return pairs of consecutive times in ascending order."""
    times = sorted(times)
    return list(itertools.pairwise(times))


def measure(way: str, rate: float, seed: int, writes_per_s: float, kill: bool) -> str:
    """Run one way at one rate with a process per host; return a line of the table."""
    site = Site(seed)
    store = f"{site.ip(1)}:2379"
    part = {"kind": "key_value", "listen": store, "latency_ms": STORE_LATENCY_MS}
    if writes_per_s:
        part["faults"] = {"writes_per_s": writes_per_s, "limit_mode": "delay"}
    try:
        path = site.write("store.yaml", {"parts": [part]})
        site.start("store", "pimentodale-standin", str(path))
        site.wait_ready(f"http://{store}/admin/calls")
        command = [sys.executable, "-m", "features.support.ledger_ways", "--way", way]
        command += ["--rate", str(rate), "--seed", str(seed), "--store", store]
        command += ["--network", site.network, "--start", str(time.monotonic() + 2.0)]
        hosts = [
            subprocess.Popen(
                [*command, "--number", str(number)],
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            for number in range(HOSTS)
        ]
        if kill:
            time.sleep(2.0 + RUN_S / 2)
            hosts[0].kill()
        reports = [json.loads(line) for host in hosts if (line := host.stdout.readline())]
        calls = http(f"http://{store}/admin/calls").json()
        for host in hosts:
            host.kill()
            host.wait()
    finally:
        site.stop()
        shutil.rmtree(site.folder, ignore_errors=True)
    done = sum(report["done"] for report in reports) or 1
    return (
        f"{way:7} {rate:5.0f}/s limit {writes_per_s:4.0f} sent {sum(r['sent'] for r in reports)} "
        f"done {done} failed {sum(r['failed'] for r in reports)} "
        f"writes/claim {calls['txn'] / done:.2f} writes/s {calls['txn'] / RUN_S:.0f} "
        f"reads {calls['range']} KB/claim {calls['request_bytes'] / done / 1000:.2f} "
        f"p50 {max(r['p50_ms'] for r in reports):.0f} ms p99 "
        f"{max(r['p99_ms'] for r in reports):.0f} ms "
        f"conflicts {sum(r['conflicts'] for r in reports)} "
        f"fallbacks {sum(r['fallbacks'] for r in reports)} "
        f"longest gap {max(r['longest_gap_ms'] for r in reports):.0f} ms"
    )


def main() -> None:
    """Run the benchmark, or one host of it if `--number` is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--way", choices=["key", "bucket", "log"])
    parser.add_argument("--rate", type=float)
    parser.add_argument("--number", type=int)
    parser.add_argument("--store", default="")
    parser.add_argument("--network", default="")
    parser.add_argument("--start", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=20261203)
    parser.add_argument("--limit", type=float, default=0.0)
    parser.add_argument("--kill", action="store_true")
    arguments = parser.parse_args()
    if arguments.number is not None:
        configure_logs("error", "json")
        asyncio.run(run_host(arguments))
        return
    for way in [arguments.way] if arguments.way else ["key", "bucket", "log"]:
        for rate in [arguments.rate] if arguments.rate else [37.0, 185.0, 740.0]:
            line = measure(way, rate, arguments.seed, arguments.limit, arguments.kill)
            print(line, flush=True)


if __name__ == "__main__":
    main()
