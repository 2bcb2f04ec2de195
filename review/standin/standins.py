"""Stand-ins for the platform: its store, its replicas and its clients, on loopback addresses.

They follow the platform's published protocol. Only the standard library is used, and everything but
the gateways runs in the process of the script that starts it.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parents[2]
HOST = "lab.example"
KEY = "key-1"
LAYERS = 8
PREFIX = "Pimentodale-"
STORE_ANSWER_S = 0.004


class Record:
    """The record of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()


def free_network() -> str:
    """Return the first three numbers of a loopback network on which nothing listens."""
    for _ in range(200):
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{network}.2", 9000))
            return network
    raise OSError("no free loopback network")


@dataclass
class HttpRequest:
    """A request as a stand-in reads it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return urlsplit(self.target).path

    def query(self, name: str, default: str = "") -> str:
        """Return a parameter of the query."""
        return parse_qs(urlsplit(self.target).query).get(name, [default])[0]

    def header(self, name: str, default: str = "") -> str:
        """Return a header."""
        return self.headers.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    """Read one request."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        return HttpRequest(method, target, head[1], await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole answer."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} Status\r\n{lines}\r\n".encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 10
        self.era = 1
        self.leases: dict[int, float] = {}
        self._lease_ids = itertools.count(5)
        self._ttl: dict[int, float] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self.modes: dict[str, str] = {}
        """Trouble by the address that is called: `busy` or `silent`."""
        self.cut_at = -1
        """Revision up to which watches that wait are cut."""

    async def start(self, addresses: Sequence[str]) -> None:
        """Listen; each machine has an address of its own, so that some may be turned away."""
        self._servers = []
        for address in addresses:
            ip, _, port = address.partition(":")
            self._servers.append(await asyncio.start_server(self._serve, ip, int(port)))
        asyncio.ensure_future(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key; the acknowledgement is the return of this call."""
        self.revision += 1
        self._write(key, value, lease)
        self._notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key."""
        if key in self.items:
            self.revision += 1
            self._delete(key)
            self._notify()

    def cut_waiting_watches(self) -> None:
        """Cut the watches that wait, before they hear of the next change."""
        self.cut_at = self.revision
        self._notify()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._events.append(item)

    def _delete(self, key: str) -> None:
        del self.items[key]
        self._events.append({"key": key, "revision": self.revision, "deleted": True})

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [each for each, end in self.leases.items() if end <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._delete(key)
        self._notify()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while (request := await read_request(reader)) is not None:
                mode = self.modes.get(writer.get_extra_info("sockname")[0], "")
                if mode == "silent":
                    await asyncio.sleep(3600)
                await asyncio.sleep(STORE_ANSWER_S)
                status, value = (503, {}) if mode == "busy" else await self._answer(request)
                body = json.dumps(value).encode()
                headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(answer_bytes(status, headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request: HttpRequest) -> tuple[int, Any]:
        path = request.path
        if path == "/api/kv-key":
            item = self.items.get(request.query("key"))
            return (404, {}) if item is None else (200, item)
        if path == "/api/kv-range":
            prefix, after = request.query("path_prefix"), request.query("after")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "at": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(request)
        if path == "/api/kv-txn":
            return self._txn(json.loads(request.body))
        if path == "/api/kv-lease":
            ttl_s = json.loads(request.body)["ttl_ms"] / 1000.0
            lease = next(self._lease_ids)
            self._ttl[lease] = ttl_s
            self.leases[lease] = time.monotonic() + ttl_s
            return 200, {"lease": lease, "ttl_ms": ttl_s * 1000.0}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if request.method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self.leases[lease] = time.monotonic() + self._ttl[lease]
        return 200, {"lease": lease, "ttl_ms": self._ttl[lease] * 1000.0}

    async def _watch(self, request: HttpRequest) -> tuple[int, Any]:
        prefix, after = request.query("path_prefix"), int(request.query("after"))
        if after > self.revision:
            return 410, {}
        end = time.monotonic() + int(request.query("wait_ms")) / 1000.0
        while True:
            changed = self._changed
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
            if after <= self.cut_at:
                raise ConnectionAbortedError("the watch is cut")

    def _txn(self, body: dict[str, Any]) -> tuple[int, Any]:
        expected = body.get("expected", [])
        held = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, held, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [each for each in held if each]}
        puts = body.get("puts", [])
        if any(put.get("lease", 0) and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", []):
            if key in self.items:
                self._delete(key)
        self._notify()
        return 200, {"revision": self.revision}


@dataclass
class Replica:
    """A replica of a model engine or of a plain service."""

    replica_id: str
    service: str
    ip: str
    zone: str
    store: Store
    record: Record
    port: int = 8000
    is_engine: bool = False
    work_s: float = 0.02
    events: int = 40
    event_s: float = 0.04
    answer: Any = None
    """Coroutine function that answers a client's request in place of a sound answer."""

    layers: tuple[int, int] = (0, 0)
    sequence: int = 0
    fence: int = 0
    active: int = 0
    state: str = "ready"
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    @property
    def address(self) -> str:
        """IP:PORT."""
        return f"{self.ip}:{self.port}"

    is_away: bool = False
    """Whether the replica has crashed and isn't back."""

    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def __hash__(self) -> int:
        """Return a hash by identity."""
        return id(self)

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.register()

    async def crash(self, away_s: float) -> None:
        """End with all connections; start again later, empty, under the same id."""
        self.is_away = True
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        asyncio.get_running_loop().call_later(
            away_s, lambda: asyncio.ensure_future(self._restart())
        )

    async def _restart(self) -> None:
        self.born = int(time.time() * 1000)
        self.layers, self.sequence, self.fence, self.active = (0, 0), 0, 0, 0
        self.is_away = False
        await self.start()

    def register(self) -> None:
        """Write the replica's entry."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": 96,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.is_engine:
            entry |= self._held()
        self.store.put(f"servers/{self.replica_id}", json.dumps(entry).encode())

    @property
    def is_listed(self) -> bool:
        """Whether the store has the replica's entry."""
        return f"servers/{self.replica_id}" in self.store.items

    def leave(self) -> None:
        """Remove the replica's entry without reporting that it drains; it serves on."""
        self.store.remove(f"servers/{self.replica_id}")

    def _held(self) -> dict[str, Any]:
        first, end = self.layers
        return {"kind": "card", "layers": {"from": first, "to": end, "version": 1}, "models": []}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                expected = request.header(PREFIX + "Expect-Replica")
                if expected and expected != self.replica_id:
                    headers = {"At-Server": self.address}
                    writer.write(answer_bytes(421, headers, b""))
                elif request.path == "/api/report":
                    writer.write(self._report())
                elif request.path == "/api/order":
                    writer.write(self._order(json.loads(request.body)))
                elif request.path == "/health":
                    headers = {PREFIX + "Replica-Id": self.replica_id}
                    writer.write(answer_bytes(200, headers, b""))
                else:
                    await self._run(request, writer)
                await writer.drain()
                if request.header("Connection").lower() == "close":
                    break
        writer.close()

    def _report(self) -> bytes:
        if not self.is_engine:
            return answer_bytes(400, {PREFIX + "Not-Executed": "1"}, b"")
        value = {
            "stage": "both",
            "busy": False,
            "sequence": self.sequence,
            "queued_requests": 0,
            "active_requests": self.active,
            "kv_used": 0,
            "kv_total": 400000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born,
            "stalled": [],
            **self._held(),
        }
        return answer_bytes(200, {"Content-Type": "application/json"}, json.dumps(value).encode())

    def _order(self, order: dict[str, Any]) -> bytes:
        fence = order.get("fence")
        if fence is not None and fence < self.fence:
            return answer_bytes(412, {}, b"{}")
        self.fence = max(self.fence, fence or 0)
        if order.get("expected", self.sequence) != self.sequence:
            return answer_bytes(409, {}, b"{}")
        if order["operation"] != "place":
            return answer_bytes(404, {}, b"{}")
        if self.layers == (order["from"], order["to"]):
            return answer_bytes(200, {}, b"{}")
        self.layers = (order["from"], order["to"])
        self.sequence += 1
        self.register()
        return answer_bytes(202, {}, b"{}")

    def stamped(self, request: HttpRequest) -> dict[str, str]:
        """Return the headers by which answers of a replica are known."""
        attempt = request.header(PREFIX + "Attempt-Id")
        return {PREFIX + "Attempt-Id": attempt, PREFIX + "Replica-Stamp": f"{self.replica_id}.1"}

    async def _run(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        attempt = request.header(PREFIX + "Attempt-Id")
        self.record.write("reaches", replica=self.replica_id, attempt=attempt, path=request.path)
        self.active += 1
        try:
            if self.answer is not None and await self.answer(self, request, writer):
                return
            if self.is_engine:
                await self.stream(request, writer)
            else:
                await asyncio.sleep(self.work_s)
                self.record.write("ran", replica=self.replica_id, attempt=attempt)
                writer.write(answer_bytes(200, self.stamped(request), b"done " * 100))
        finally:
            self.active -= 1

    async def stream(
        self, request: HttpRequest, writer: asyncio.StreamWriter, limit_s: float | None = None
    ) -> None:
        """Answer with a stream of events, for a limited time if there is a limit."""
        started = time.monotonic()
        attempt = request.header(PREFIX + "Attempt-Id")
        headers = {
            **self.stamped(request),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(int(request.header("Last-Event-Id", "0")) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if limit_s is not None and time.monotonic() - started > limit_s:
                return
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        self.record.write("ran", replica=self.replica_id, attempt=attempt)


def configuration(version: int = 1, **changes: Any) -> bytes:
    """Return the operators' configuration of a small site."""
    common = {"host": HOST, "target_latency_ms": 500, "priority": 1, "max_attempts": 2}
    routes = [
        {"path_prefix": "/lm/", "kind": "streaming", "service": "lm", "timeout_ms": 20000}
        | {"resumable": True, "gap_target_ms": 250, "sticky": True},
        {"path_prefix": "/read/", "kind": "idempotent", "service": "plain", "timeout_ms": 4000},
        {"path_prefix": "/book/", "kind": "non_idempotent", "service": "plain"}
        | {"timeout_ms": 4000, "max_attempts": 1},
    ]
    engine = {
        "slots": 96,
        "layers": LAYERS,
        "layer_mb": 100.0,
        "kv_bytes": 1000.0,
        "step_ms": 1.0,
        "read_per_s": 164000,
        "stride": 4,
        "loads_at_once": 6,
        "usual": {"prompt": 760, "answer": 200},
        "models": [{"name": "m0", "load_s": 0.1}],
        "kinds": [{"name": "card", "mb": 4000.0, "pace": 1.0, "read_x": 1.0}],
    }
    value = {
        "version": version,
        "routes": [common | {"name": route["path_prefix"]} | route for route in routes],
        "services": [{"name": "lm", "engine": engine}, {"name": "plain"}],
        "tenants": [{"name": "w1", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(value | changes).encode()


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024.0
    return 0.0


@dataclass
class Gateway:
    """One gateway, started as the deploy file does, and again after it has ended."""

    name: str
    ip: str
    zone: str
    site: Site
    memory_mb: float = 300.0
    restart_s: float = 0.5
    process: subprocess.Popen[bytes] | None = None
    ends: list[str] = field(default_factory=list)
    peak_mb: float = 0.0
    is_kept_up: bool = True

    @property
    def store(self) -> str:
        """Address at which this gateway calls the store."""
        ip, _, number = self.ip.rpartition(".")
        return f"{ip}.{int(number) + 100}:9000"

    def start(self) -> None:
        """Start the process."""
        path = self.site.folder / f"{self.name}.yaml"
        path.write_text(self.site.settings_text(self))
        log = (self.site.folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PIMENTODALE_SETTINGS": str(path),
        }
        self.process = subprocess.Popen(
            ["python3", "-u", "src/gateway.py"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.site.record.write("starts", gateway=self.name, pid=self.process.pid)

    async def supervise(self) -> None:
        """Act as the platform: end it over its memory, and start it again after it has ended."""
        while self.is_kept_up:
            await asyncio.sleep(0.01)
            assert self.process is not None
            used_mb = read_rss_mb(self.process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.site.record.write("over memory", gateway=self.name, mb=round(used_mb))
                self.ends.append(f"memory {used_mb:.0f} MB")
                self.process.kill()
                self.process.wait()
            elif self.process.poll() is not None:
                code = self.process.returncode
                self.site.record.write("ended by itself", gateway=self.name, code=code)
                self.ends.append(f"exit {code}")
            else:
                continue
            await asyncio.sleep(self.restart_s)
            self.start()

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.site.record.write("signal", gateway=self.name, number=number.name)
        self.process.send_signal(number)


class Site:
    """A store, replicas and gateways on one loopback network."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self.store = Store()
        self.replicas: dict[str, Replica] = {}
        self.gateways: dict[str, Gateway] = {}
        self._attempts = itertools.count(1)
        self.seed_addresses: list[str] | None = None
        self.through: dict[str, str] = {}
        """Name of the gateway of each attempt."""
        self.tasks: list[asyncio.Task[None]] = []

    def settings(self, gateway: Gateway) -> dict[str, Any]:
        """Return the fields of `deploy/gateway.yaml`, filled in."""
        seeds = [f"{each.ip}:7002" for each in self.gateways.values()][:3]
        return {
            "host": gateway.name,
            "failure_domain": gateway.zone,
            "region": "nl-west",
            "client_listen": f"{gateway.ip}:7000",
            "ready_listen": f"{gateway.ip}:7001",
            "peer_listen": f"{gateway.ip}:7002",
            "seeds": seeds if self.seed_addresses is None else self.seed_addresses,
            "store": gateway.store,
            "drain_ms": 2000,
            "stop_timeout_s": 8,
            "stall_ms": 2500,
            "retry_ratio": 0.2,
            "retry_fixed": 196,
            "retry_window_s": 10,
        }

    def settings_text(self, gateway: Gateway) -> str:
        """Return the settings file of a gateway; JSON is YAML too."""
        return json.dumps(self.settings(gateway))

    def add_replica(self, name: str, service: str, zone: str, **fields: Any) -> Replica:
        """Add a replica that isn't started yet."""
        ip = f"{self.network}.{20 + len(self.replicas)}"
        replica = Replica(f"i-{name}", service, ip, zone, self.store, self.record, **fields)
        self.replicas[name] = replica
        return replica

    def add_gateway(self, name: str, zone: str, **fields: Any) -> Gateway:
        """Add a gateway that isn't started yet."""
        ip = f"{self.network}.{100 + len(self.gateways)}"
        self.gateways[name] = Gateway(name, ip, zone, self, **fields)
        return self.gateways[name]

    async def start(self, *, is_supervised: bool = True) -> None:
        """Start everything and wait until each gateway serves."""
        await self.store.start([each.store for each in self.gateways.values()])
        self.store.put("op/config", configuration())
        for replica in self.replicas.values():
            await replica.start()
        for gateway in self.gateways.values():
            gateway.start()
            if is_supervised:
                self.tasks.append(asyncio.ensure_future(gateway.supervise()))
        for gateway in self.gateways.values():
            await self.wait_serving(gateway)

    async def wait_serving(self, gateway: Gateway, timeout_s: float = 30.0) -> None:
        """Wait until a gateway serves streams, or whatever services there are."""
        path = (
            "/lm/warm" if any(each.is_engine for each in self.replicas.values()) else "/read/warm"
        )
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            reply = await self.ask(gateway, path)
            if reply.status == 200 and reply.is_whole:
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"{gateway.name} doesn't serve")

    def headers(self, deadline_ms: int = 10000) -> dict[str, str]:
        """Return the headers of a new attempt."""
        return {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            PREFIX + "Attempt-Id": f"{next(self._attempts):016x}",
            PREFIX + "Deadline-Ms": str(deadline_ms),
            PREFIX + "Token-Count": "760,200",
        }

    async def ask(
        self,
        gateway: Gateway,
        path: str,
        *,
        body: bytes = b"",
        connection: Connection | None = None,
        patience_s: float = 12.0,
        **headers: str,
    ) -> Reply:
        """Send one request, on a connection of its own unless one is given."""
        own = connection or Connection(gateway)
        reply = await own.ask(self, path, body, patience_s, headers)
        if connection is None:
            own.close()
        return reply

    def close(self) -> None:
        """End all processes that were started."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways.values():
            gateway.is_kept_up = False
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Reply:
    """What a client got."""

    attempt: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    error: str = ""


class Connection:
    """A client's connection, which may be kept for several requests."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.requests = 0

    async def ask(
        self, site: Site, path: str, body: bytes, patience_s: float, extra: dict[str, str]
    ) -> Reply:
        """Send a request and read its answer."""
        headers = site.headers() | extra
        reply = Reply(headers[PREFIX + "Attempt-Id"])
        site.through[reply.attempt] = self.gateway.name
        site.record.write("sent", gateway=self.gateway.name, attempt=reply.attempt, path=path)
        try:
            async with asyncio.timeout(patience_s):
                await self._exchange(path, headers, body, reply)
        except TimeoutError:
            reply.error = "client gave up"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            reply.error = f"{type(error).__name__}"
            self.close()
        site.record.write(
            "got",
            gateway=self.gateway.name,
            attempt=reply.attempt,
            status=reply.status,
            whole=reply.is_whole,
            error=reply.error or "-",
        )
        return reply

    async def _exchange(
        self, path: str, headers: dict[str, str], body: bytes, reply: Reply
    ) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(self.gateway.ip, 7000)
        assert self._reader is not None
        self.requests += 1
        method = "POST" if path.startswith(("/lm/", "/book/")) else "GET"
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"{method} {path} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
        self._writer.write(head.encode("latin-1") + body)
        found = await read_head(self._reader)
        if found is None:
            raise ConnectionResetError("closed without an answer")
        reply.status = int(found[0].split(" ")[1])
        reply.headers = found[1]
        reply.body = await read_body(self._reader, found[1])
        reply.is_whole = True
        if found[1].get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Any, folder: Path, limit_s: float = 110.0) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    site = Site(folder)
    site.record.write("trouble", on=has_trouble())

    async def run() -> str:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return str(await case(site))
        finally:
            site.close()

    try:
        broken = asyncio.run(run())
    except BaseException as error:
        site.record.write("could not run", reason=repr(error))
        print(f"could not run: {error!r}", flush=True)
        os._exit(2)
    site.record.write("rule broken" if broken else "rule held", reason=broken or "-")
    print(f"rule broken: {broken}" if broken else "rule held", flush=True)
    # Connections that clients still hold open are dropped with the process.
    os._exit(1 if broken else 0)
