"""A site on the stand-ins of the users' platform: its store, replicas and gateways."""

from __future__ import annotations

import base64
import http.client
import json
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from features.support.site import http as call
from features.support.site import read_journal, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.support.site import Program, Site

LAYERS: Final = 8
"""Layers of the model."""

SHARED_CARD_MB: Final = 800.0
"""Memory of an engine replica of which two hold a copy of the model, besides their requests."""

WHOLE_CARD_MB: Final = 2_000.0
"""Memory of one that holds a copy alone."""

HOST_NAME: Final = "lab.example"
"""Host name of all routes."""

KEY: Final = "key-1"
"""API key of the workspace `w1`."""

ENGINE_REPLICAS: Final = ("a1", "a2", "a3", "b1", "b2", "b3")
"""Engine replicas; the first letter is the failure domain. Two hold a copy, the third is spare."""

OPERATOR_TIMEOUT_S: Final = 1.0
"""Longest write of a configuration; a store that is silent gives no answer at all."""

PLAIN_REPLICAS: Final = ("pa", "pb")
"""Replicas of the plain service."""

GATEWAYS: Final = ("g1", "g2")
"""Gateways, in the failure domains a and b."""


@dataclass(slots=True)
class StreamClient:
    """A client that reads one stream in a thread of its own."""

    events: list[str] = field(default_factory=list)
    """Ids of the events read, in order."""

    status: int = 0
    """Status of the answer."""

    is_whole: bool = False
    """Whether the answer ended as complete."""

    is_over: bool = False
    """Whether the answer has ended in any way."""

    headers: dict[str, str] = field(default_factory=dict)
    """Headers of the answer."""

    longest_pause_s: float = 0.0
    """Longest time between two reads of the stream that brought bytes."""

    attempt: str = ""
    """Id of its attempt."""

    is_sent: bool = False
    """Whether the request was written."""

    has_left: bool = False
    """Whether it gave up, as nothing came for its longest wait."""

    connection: http.client.HTTPConnection | None = None


@dataclass(slots=True)
class GatewaySite:
    """The programs of one scenario."""

    site: Site
    version: int = 0
    configuration: str = ""
    """Newest configuration, in base64."""

    next_attempt: int = 0
    numbers: dict[str, int] = field(default_factory=dict)
    card_mb: float = SHARED_CARD_MB
    """Memory of an engine replica."""

    def ip(self, name: str) -> str:
        """Return the address of a replica or gateway."""
        return self.site.ip(self.numbers.setdefault(name, 20 + len(self.numbers)))

    @property
    def store(self) -> str:
        """Base URL of the store."""
        return f"http://{self.site.ip(2)}:9000"

    @property
    def store_admin(self) -> str:
        """Base URL of what the store's stand-in does for tests."""
        return f"http://{self.site.ip(2)}:9001/admin"

    def start_platform(
        self, events: int = 20, event_ms: float = 10.0, *, is_split: bool = False
    ) -> None:
        """Start the store and the replicas.

        Args:
            events: Events of a stream.
            event_ms: Time from one event to the next.
            is_split: Whether each failure domain has a process of its own, `replicas-a` and
                `replicas-b`, instead of one for all. A path can't cross processes, so that each
                engine replica holds the whole model then.
        """
        self.card_mb = WHOLE_CARD_MB if is_split else SHARED_CARD_MB
        ip = self.site.ip(2)
        store = {"kind": "platform_store", "listen": f"{ip}:9000", "admin_listen": f"{ip}:9001"}
        relay = {"kind": "relay", "listen": f"{ip}:9002", "target": f"{ip}:9000"}
        relay["admin_listen"] = f"{ip}:9003"
        path = self.site.write("store.yaml", {"parts": [store, relay]})
        self.site.start("store", "pimentodale-standin", str(path))
        self.site.wait_ready(f"{self.store}/healthz")
        parts: dict[str, list[dict[str, Any]]] = {}
        for name in (*ENGINE_REPLICAS, *PLAIN_REPLICAS):
            is_engine = name in ENGINE_REPLICAS
            failure_domain = name[0] if is_engine else name[1]
            process = f"replicas-{failure_domain}" if is_split else "replicas"
            own = parts.setdefault(process, [])
            own.append(
                {
                    "kind": "platform_replica",
                    "listen": f"{self.ip(name)}:8000",
                    "admin_listen": f"{self.ip(name)}:8001",
                    "advertise": f"{self.ip(name)}:8002",
                    "replica_id": f"i-{name}",
                    "service": "lm" if is_engine else "plain",
                    "failure_domain": failure_domain,
                    "store": f"{ip}:9000",
                    "journal": str(self.site.folder / "journal"),
                    "events": events,
                    "event_ms": event_ms,
                }
                | ({"memory_layers": 8, "model_layers": LAYERS} if is_engine else {})
            )
            if is_engine:
                own[-1]["accelerator"] = "card"
            # Requests and orders pass through a relay, where links are harmed.
            own.append(
                {
                    "kind": "relay",
                    "listen": f"{self.ip(name)}:8002",
                    "target": f"{self.ip(name)}:8000",
                    "admin_listen": f"{self.ip(name)}:8003",
                }
            )
        for process, own in parts.items():
            path = self.site.write(f"{process}.yaml", {"parts": own})
            self.site.start(process, "pimentodale-standin", str(path))

    def start_gateway(
        self, name: str, store: str = "", extra: dict[str, object] | None = None
    ) -> Program:
        """Start one gateway; `extra` are further settings."""
        ip = self.ip(name)
        settings = {
            "host": name,
            "failure_domain": "a" if name == "g1" else "b",
            "client_listen": f"{ip}:7000",
            "ready_listen": f"{ip}:7001",
            "peer_listen": f"{ip}:7002",
            "seeds": [f"{self.ip(other)}:7002" for other in GATEWAYS],
            "store": store or f"{self.site.ip(2)}:9000",
            "stop_timeout_s": 8,
            "stall_ms": 2_500,
        }
        path = self.site.write(f"{name}.yaml", settings | (extra or {}))
        return self.site.start(name, "pimentodale-gateway", str(path))

    def start_all(self, events: int = 20, event_ms: float = 10.0) -> None:
        """Start everything, and wait until streams can be served."""
        self.start_platform(events, event_ms)
        self.configure()
        for name in GATEWAYS:
            self.start_gateway(name)
        self.wait_serving()

    def wait_serving(self) -> None:
        """Wait until every gateway serves streams."""
        for name in GATEWAYS:
            wait_until(lambda name=name: self.serves(name), f"{name} serves streams", 20.0)

    def serves(self, name: str) -> bool:
        """Whether a gateway serves a stream."""
        try:
            return self.request(name, "/lm/probe").status == 200
        except OSError:
            return False

    def configure(
        self,
        extra_routes: list[dict[str, Any]] | None = None,
        change: Callable[[dict[str, Any]], None] = lambda _value: None,
    ) -> int:
        """Write the next configuration, as the operator does; returns its version.

        Args:
            extra_routes: Routes besides the usual ones.
            change: Changes the configuration before it is written.
        """
        self.version += 1
        common = {"host": HOST_NAME, "target_latency_ms": 200, "priority": 1, "max_attempts": 2}
        routes = [
            {"path_prefix": "/lm/", "kind": "streaming", "service": "lm", "timeout_ms": 20_000}
            | {"resumable": True, "gap_target_ms": 250},
            {"path_prefix": "/read/", "kind": "idempotent", "service": "plain"},
            {"path_prefix": "/book/", "kind": "non_idempotent", "service": "plain"}
            | {"max_attempts": 1},
            *(extra_routes or []),
        ]
        engine = {
            "slots": 96,
            "layers": LAYERS,
            "layer_mb": 100.0,
            "kv_bytes": 1_000.0,
            "step_ms": 1.0,
            "loads_at_once": 6,
            "usual": {"prompt": 50, "answer": 20},
            "models": [{"load_s": 0.05}],
            "kinds": [{"name": "card", "mb": self.card_mb, "pace": 1.0}],
        }
        value = {
            "version": self.version,
            "routes": [common | {"name": route["path_prefix"]} | route for route in routes],
            "services": [{"name": "lm", "engine": engine}, {"name": "plain"}],
            "tenants": [{"name": "w1", "api_keys": [KEY]}],
        }
        change(value)
        self.configuration = base64.b64encode(json.dumps(value).encode()).decode()
        self.write_configuration()
        return self.version

    def write_configuration(self) -> None:
        """Write the newest configuration to the store, which may have lost it."""
        put = {"puts": [{"key": "op/config", "value": self.configuration}]}
        # Bounded, as whoever calls may have faults to mend meanwhile.
        call(f"{self.store}/api/kv-txn", put, timeout_s=OPERATOR_TIMEOUT_S)

    def copy_store(self) -> None:
        """Make a copy of what the store holds."""
        call(f"{self.store_admin}/save", {}, timeout_s=OPERATOR_TIMEOUT_S)

    def return_store(self) -> int:
        """Let the store return from its copy; returns its era."""
        reply = call(f"{self.store_admin}/restore", {}, timeout_s=OPERATOR_TIMEOUT_S)
        return int(reply.json()["era"])

    def headers(self, key: str = KEY) -> dict[str, str]:
        """Return the headers of a new attempt."""
        self.next_attempt += 1
        return {
            "Host": HOST_NAME,
            "Authorization": f"Bearer {key}",
            "Pimentodale-Attempt-Id": f"attempt-{self.next_attempt}",
            "Pimentodale-Deadline-Ms": "10000",
            "Pimentodale-Token-Count": "50,80",
        }

    def request(
        self,
        gateway: str,
        path: str,
        key: str = KEY,
        method: str = "POST",
        body: bytes = b"body",
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Send one request and read its whole answer; `headers` are those of a new attempt."""
        url = f"http://{self.ip(gateway)}:7000{path}"
        sent = body if method == "POST" else None
        return call(url, sent, headers=headers or self.headers(key), method=method, timeout_s=12.0)

    def open_stream(
        self,
        gateway: str,
        body: bytes = b"body",
        *,
        patience_s: float = 15.0,
        is_kept: bool = False,
    ) -> StreamClient:
        """Begin to read a stream.

        Args:
            gateway: Name of the gateway.
            body: Body of the request.
            patience_s: Time without any bytes after which the client leaves.
            is_kept: Whether the connection has had an answer before.
        """
        client = StreamClient()
        connection = http.client.HTTPConnection(self.ip(gateway), 7000, timeout=patience_s)
        client.connection = connection
        if is_kept:
            connection.request("GET", "/read/x", headers=self.headers())
            connection.getresponse().read()
        headers = self.headers()
        client.attempt = headers["Pimentodale-Attempt-Id"]
        arguments = (client, connection, headers, body)
        threading.Thread(target=_read, args=arguments, daemon=True).start()
        return client

    def fault(self, name: str, **faults: object) -> None:
        """Set a replica's faults."""
        call(f"http://{self.ip(name)}:8001/admin/faults", faults)

    def link_fault(self, name: str, **faults: object) -> None:
        """Set the faults of the link to a replica, or with `store` to the store."""
        address = f"{self.site.ip(2)}:9003" if name == "store" else f"{self.ip(name)}:8003"
        call(f"http://{address}/admin/faults", faults)

    def store_fault(self, **faults: object) -> None:
        """Set the store's faults."""
        call(f"{self.store_admin}/faults", faults)

    def admin(self, name: str, what: str) -> None:
        """Bring something about at a replica."""
        call(f"http://{self.ip(name)}:8001/admin/{what}", {})

    def turn_away(self, name: str, retry_after: str) -> None:
        """Have a replica turn requests away with `Retry-After`; an empty value ends that."""
        url = f"http://{self.ip(name)}:8001/admin/turn-away"
        call(url, {"retry_after": retry_after})

    def journal(self, what: str) -> list[dict[str, Any]]:
        """Return what replicas did, of one sort."""
        entries = read_journal(self.site.folder / "journal")
        return [entry for entry in entries if entry["what"] == what]

    def read_gauge(self, gateway: str, name: str) -> float:
        """Return a gauge of a gateway."""
        text = call(f"http://{self.ip(gateway)}:7001/metrics").body.decode()
        lines = [line.split() for line in text.splitlines()]
        return next(float(line[1]) for line in lines if line[0] == f"pimentodale_{name}")

    def is_ready(self, gateway: str) -> bool:
        """Whether a gateway says that it is ready."""
        try:
            return call(f"http://{self.ip(gateway)}:7001/api/ready", timeout_s=2.0).status == 200
        except OSError:
            return False


def create_gateway_site(site: Site) -> GatewaySite:
    """Return a site with nothing started."""
    return GatewaySite(site)


def _read(
    client: StreamClient,
    connection: http.client.HTTPConnection,
    headers: dict[str, str],
    body: bytes,
) -> None:
    """Read a stream to its end."""
    try:
        connection.request("POST", "/lm/stream", body, headers)
        client.is_sent = True
        response = connection.getresponse()
        client.status = response.status
        client.headers = dict(response.getheaders())
        text = b""
        read_s = time.monotonic()
        # A chunked body that breaks off raises here.
        while chunk := response.read1():
            client.longest_pause_s = max(client.longest_pause_s, time.monotonic() - read_s)
            read_s = time.monotonic()
            text += chunk
            *lines, text = text.split(b"\n")
            client.events += [line[3:].strip().decode() for line in lines if line[:3] == b"id:"]
        client.is_whole = response.status == 200
    except TimeoutError:
        client.has_left = True
        connection.close()
    except (OSError, http.client.HTTPException, ValueError, AttributeError):
        client.is_whole = False
    finally:
        client.is_over = True
