"""A small site on loopback addresses: the platform's store, replicas, clients and real gateways.

Only the standard library is used. The stand-ins follow the users' PROTOCOL page; where it is silent they
behave like a sound server, client or platform. The gateways are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "site.example"
KEY = "key-one"
LATENCY_S = 0.004
PORTS = (12_000, 32_000)
_given_ports: set[int] = set()


def free_port() -> int:
    """Return a free loopback port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self._start

    def write(self, line: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.now():8.3f} {line}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    if writer.transport.is_closing():
        return
    linger = b"\1\0\0\0\0\0\0\0"
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, page_items: int = 500, page_bytes: int = 1_000_000) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 10
        self.history: list[dict] = []
        self.history_start = 10
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.page_items, self.page_bytes = page_items, page_bytes
        self.changed = asyncio.Event()
        self.latency_s = LATENCY_S
        self.mode = ""
        self.address = ""
        self.watchers: set[asyncio.StreamWriter] = set()
        self.calls: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key."""
        self.revision += 1
        old = self.items.get(key)
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "revision": self.revision}
        item |= {"created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self) -> int:
        """Cut the watches that wait."""
        cut = list(self.watchers)
        for writer in cut:
            reset(writer)
        return len(cut)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, end) in list(self.leases.items()):
                if end < now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "reset":
                    reset(writer)
                    return
                await asyncio.sleep(self.latency_s)
                if self.mode == "busy":
                    status, reply = 503, {}
                else:
                    status, reply = await self._answer(method, target, body, writer)
                self._write(writer, status, reply)
                await writer.drain()
                if head[1].get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, status: int, reply: dict) -> None:
        body = json.dumps(reply).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def _answer(
        self, method: str, target: str, body: bytes, writer: asyncio.StreamWriter
    ) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query, True).items()}
        call = url.path.removeprefix("/api/")
        self.calls.append((time.monotonic(), call))
        if call == "kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if call == "kv-range":
            return 200, self._page(query.get("path_prefix", ""), query.get("after", ""))
        if call == "kv-watch":
            return await self._watch(query, writer)
        if call == "kv-txn":
            return self._txn(json.loads(body))
        if call == "kv-lease":
            ttl = float(json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        number = int(unquote(call.rpartition("/")[2]))
        if number not in self.leases:
            return 404, {}
        if call.startswith("kv-keep/"):
            ttl = self.leases[number][0]
            self.leases[number][1] = time.monotonic() + ttl / 1000
            return 200, {"lease": number, "ttl_ms": ttl}
        self._end_lease(number)
        return 200, {}

    def _page(self, prefix: str, after: str) -> dict:
        items, size = [], 0
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        for key in keys:
            cost = len(self.items[key]["value"])
            if items and (len(items) >= self.page_items or size + cost > self.page_bytes):
                return {"items": items, "at": self.revision, "has_more": True}
            items.append(self.items[key])
            size += cost
        return {"items": items, "at": self.revision, "has_more": False}

    async def _watch(self, query: dict, writer: asyncio.StreamWriter) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        if after < self.history_start:
            return 410, {}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        self.watchers.add(writer)
        try:
            while True:
                events = [
                    event
                    for event in self.history
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.watchers.discard(writer)

    def _txn(self, call: dict) -> tuple[int, dict]:
        expected = call.get("expected", [])
        current = [self.items.get(row["key"]) for row in expected]
        for row, item in zip(expected, current, strict=True):
            if row["revision"] != (item["revision"] if item else 0):
                missing = {"value": "", "revision": 0, "created": 0, "lease": 0}
                rows = zip(expected, current, strict=True)
                return 412, {"items": [it or {"key": r["key"]} | missing for r, it in rows]}
        puts = call.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Replica:
    """A replica of a plain service, or of an engine that holds whole ranges of layers."""

    def __init__(self, rig: Rig, name: str, service: str, zone: str, kind: str = "") -> None:
        self.rig, self.name, self.service, self.zone, self.kind = rig, name, service, zone, kind
        self.state = "ready"
        self.slots, self.queue = 16, 32
        self.work_s = 0.02
        self.events, self.event_s = 20, 0.02
        self.layers: dict | None = None
        self.sequence = self.fence = 0
        self.born = int(time.time() * 1000)
        self.active = 0
        self.waiting = 0
        self.free = asyncio.Event()
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.hook = None
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen and register; a heartbeat that tells nothing new changes no entry."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self) -> None:
        """Write the entry."""
        entry = {"service": self.service, "address": self.address, "zone": self.zone}
        entry |= {"version": "1", "slots": self.slots, "state": self.state, "cold_left_ms": 0}
        entry |= {"sequence": self.sequence, "born": self.born}
        if self.kind:
            entry |= {"kind": self.kind, "stage": "both", "layers": self.layers}
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.rig.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                keep = await self._handle(method, target, head[1], body, reader, writer)
                if not keep or head[1].get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self.connections.discard(writer)
            writer.close()

    async def reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        attempt: str = "",
        extra: dict[str, str] | None = None,
        *,
        stamped: bool = False,
    ) -> None:
        """Write a whole answer."""
        headers = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        if attempt:
            headers["Pimentodale-Attempt-Id"] = attempt
        if stamped:
            headers["Pimentodale-Replica-Stamp"] = f"{self.name}.{attempt}.{status}"
        headers |= extra or {}
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body)
        await writer.drain()

    async def _handle(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        not_run = {"Pimentodale-Not-Executed": "1"}
        if headers.get("pimentodale-expect-replica", self.name) != self.name:
            await self.reply(writer, 421, b"{}", extra=not_run)
            return True
        if target == "/api/report" and self.kind:
            await self.reply(writer, 200, json.dumps(self._report()).encode())
            return True
        if target == "/api/order" and self.kind:
            await self.reply(writer, self._order(json.loads(body)), b"{}")
            return True
        attempt = headers.get("pimentodale-attempt-id", "")
        if not attempt:
            await self.reply(writer, 400, b"{}", extra=not_run)
            return True
        self.arrivals.append((self.rig.record.now(), attempt))
        if self.hook is not None:
            handled = await self.hook(self, attempt, headers, body, reader, writer)
            if handled is not None:
                return handled
        if self.active >= self.slots + self.queue:
            await self.reply(writer, 503, b"{}", attempt, not_run)
            return True
        self.active += 1
        try:
            self.runs.append((self.rig.record.now(), attempt))
            if self.kind:
                return await self._stream(writer, headers, attempt)
            await asyncio.sleep(self.work_s)
            text = json.dumps({"attempt": attempt, "replica": self.name, "path": target})
            await self.reply(writer, 200, text.encode(), attempt, stamped=True)
            return True
        finally:
            self.active -= 1

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], attempt: str
    ) -> bool:
        first = int(headers.get("last-event-id", "0")) + 1
        stamp = f"{self.name}.{attempt}.200"
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Pimentodale-Attempt-Id: {attempt}\r\nPimentodale-Replica-Stamp: {stamp}\r\n"
                "Pimentodale-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.sequence,
            "queued_requests": 0,
            "active_requests": self.active,
            "kv_used": 0,
            "kv_total": 1e9,
            "handles": 0,
            "pace": 1.0,
            "born": self.born,
            "layers": self.layers,
            "stalled": [],
        }

    def _order(self, order: dict) -> int:
        if order.get("fence", 0) < self.fence:
            return 412
        if order.get("operation") == "repath":
            return 404
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        self.fence = max(self.fence, order.get("fence", 0))
        wanted = {"from": order["from"], "to": order["to"], "version": 1}
        if wanted == self.layers:
            return 200
        self.layers = wanted
        self.sequence += 1
        self.register()
        return 202

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            reset(writer)


class Gateway:
    """A gateway process."""

    def __init__(self, rig: Rig, name: str, zone: str, extra: dict | None = None) -> None:
        self.rig, self.name, self.zone = rig, name, zone
        self.port, self.ready, self.peer = free_port(), free_port(), free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.extra = extra or {}
        self.store = ""

    async def start(self) -> None:
        """Start the process as the deploy file does."""
        settings = {
            "host": self.name,
            "failure_domain": self.zone,
            "region": "r",
            "client_listen": f"127.0.0.1:{self.port}",
            "ready_listen": f"127.0.0.1:{self.ready}",
            "peer_listen": f"127.0.0.1:{self.peer}",
            "seeds": [f"127.0.0.1:{each.peer}" for each in self.rig.gateways[:3]],
            "store": self.store or self.rig.store.address,
            "drain_ms": 2000,
            "replica_heartbeat_ms": 1200,
            "stop_timeout_s": 8,
            "stall_ms": 2500,
            "retry_ratio": 0.2,
            "retry_fixed": 196,
            "retry_window_s": 10,
            "memory_mb": 300,
            "max_fds": 4200,
        } | self.extra
        path = self.rig.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(settings))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"PYTHONPATH": "target/deps", "PIMENTODALE_SETTINGS": str(path)}
        log = (self.rig.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-u", "src/gateway.py",
            cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
        )  # fmt: skip

    async def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        answer = await request(self.ready, "GET", "/api/ready", {}, timeout_s=1.0)
        return answer["status"] == 200

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until it is ready."""
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    def signal(self, number: int) -> None:
        """Send a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Rig:
    """The whole site."""

    def __init__(self, record_path: Path, **store_options: int) -> None:
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="pimentodale-review-"))
        self.store = Store(**store_options)
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.crowds: list[asyncio.subprocess.Process] = []
        self.version = 0
        self.attempts = 0

    def configuration(self, routes: list[dict], services: list[dict], **more: object) -> None:
        """Write the next configuration."""
        self.version += 3
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
        limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        document = {"version": self.version, "routes": routes, "services": services}
        document |= {"limits": limits} | more
        self.store.put("op/config", json.dumps(document).encode())

    def attempt(self) -> str:
        """Return a new attempt id."""
        self.attempts += 1
        return f"a{self.attempts:06d}"

    async def close(self) -> None:
        """End all processes and remove the folder."""
        for process in [*(gateway.process for gateway in self.gateways), *self.crowds]:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def request(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> dict:
    """Make one request on a new connection; status 0 without an answer."""
    result = {"status": 0, "headers": {}, "body": b"", "whole": False, "error": ""}
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                lines = {"Host": HOST, "Content-Length": str(len(body))} | headers
                text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
                writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
                await writer.drain()
                head = await read_head(reader)
                if head is None:
                    result["error"] = "closed"
                    return result
                result["status"] = int(head[0].split(" ")[1])
                result["headers"] = head[1]
                result["body"] = await read_body(reader, head[1])
                result["whole"] = True
            finally:
                writer.close()
    except TimeoutError:
        result["error"] = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        result["error"] = result["error"] or type(error).__name__
    return result


def plain_route(prefix: str, kind: str, **more: object) -> dict:
    """Return a route to the plain service."""
    route = {"host": HOST, "path_prefix": prefix, "name": prefix.strip("/"), "kind": kind}
    route |= {"timeout_ms": 4000, "target_latency_ms": 400, "priority": 2, "service": "plain"}
    return route | {"max_attempts": 2 if kind == "idempotent" else 1, "public": True} | more


def stream_route(prefix: str, **more: object) -> dict:
    """Return a route to the engine."""
    route = {"host": HOST, "path_prefix": prefix, "name": prefix.strip("/"), "kind": "streaming"}
    route |= {"timeout_ms": 20000, "target_latency_ms": 500, "priority": 1, "service": "lm"}
    route |= {"max_attempts": 2, "public": True, "resumable": True, "gap_target_ms": 250}
    return route | more


def engine_service() -> dict:
    """Return the engine's service: any card holds the whole model."""
    engine = {"slots": 96, "layers": 8, "layer_mb": 100, "kv_bytes": 1000, "step_ms": 1.0}
    engine |= {"per_seq_ms": 0.005, "context_per_k": 0.006, "read_per_s": 164000, "stride": 4}
    engine |= {"chunk": 512, "loads_at_once": 8, "report_lag_ms": 200, "activation_bytes": 100}
    engine |= {"usual": {"prompt": 700, "answer": 80}, "delays": [], "pipe_mbps": 16000}
    engine |= {"models": [{"name": "m", "version": 1, "load_s": 1}]}
    engine |= {"kinds": [{"name": "card", "mb": 2000, "pace": 1, "read_x": 1}]}
    return {"name": "lm", "health_path": "/health", "max_conns": 1000, "engine": engine}


def plain_service() -> dict:
    """Return the plain service."""
    return {"name": "plain", "health_path": "/health", "max_conns": 100}


def run_case(case, folder: Path, **store_options: int) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def main() -> int:
        # Connections that are open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        rig = Rig(folder / "record.txt", **store_options)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        rig.record.write(f"trouble: {trouble}")
        try:
            async with asyncio.timeout(110):
                await rig.store.start()
                broken = await case(rig, trouble)
            rig.record.write(f"broken: {broken}")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            rig.record.write(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await rig.close()

    def stop(_number: int, _frame: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        code = asyncio.run(main())
    except KeyboardInterrupt:
        code = 2
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
