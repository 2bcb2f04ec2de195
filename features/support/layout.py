"""A small complete site: platform stand-ins, engines, a plain service, and entry hosts.

The scenarios and the demo start the same site, so that the demo shows what the scenarios test.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from features.support.site import Site, http, read_journal, wait_until

if TYPE_CHECKING:
    from pathlib import Path

FAILURE_DOMAINS: Final = ("nl-west-a", "nl-west-b", "nl-west-c")
MODEL: Final = "dale-24"
LAYERS: Final = 24
TOKENS: Final = {"lab": "token-lab", "desk": "token-desk", "bulk": "token-bulk"}

MAX_ENGINE_ADDRESSES: Final = 70

PLATFORM_NUMBER: Final = 1
ENGINE_NUMBER: Final = 100
SERVICE_NUMBER: Final = 180
ENTRY_NUMBER: Final = 10

KEY_VALUE_PORT: Final = 2379
HOST_LIST_PORT: Final = 8500
WEIGHT_STORE_PORT: Final = 8600
ADMIN_PORT: Final = 9900
ENGINE_PORT: Final = 9000
SERVICE_PORT: Final = 9100
ENTRY_PORT: Final = 8080
PEER_PORT: Final = 8090


@dataclass(slots=True)
class EngineLayout:
    """Settings of one engine of the site."""

    replica: str
    failure_domain: str
    first_layer: int
    last_layer: int
    accelerator: str = "standard"
    step_ms: float = 4.0
    batch: int = 8
    slots: int = 32
    extra: dict[str, Any] = field(default_factory=dict)

    @property
    def tokens_per_s(self) -> float:
        """Rated throughput for its layer range, in tokens per second."""
        return self.batch * 1000.0 / self.step_ms


def default_engines() -> list[EngineLayout]:
    """Return six engines of four speeds; each domain holds the whole model, but no engine does."""
    return [
        EngineLayout("eng-a0", "nl-west-a", 0, 12, "gh", 2.0),
        EngineLayout("eng-a1", "nl-west-a", 12, 24, "gh", 2.0),
        EngineLayout("eng-b0", "nl-west-b", 0, 12, "std", 4.0),
        EngineLayout("eng-b1", "nl-west-b", 12, 24, "std", 4.0),
        EngineLayout("eng-c0", "nl-west-c", 0, 16, "old", 8.0),
        EngineLayout("eng-c1", "nl-west-c", 16, 24, "edge", 6.0),
    ]


def default_folder() -> dict[str, Any]:
    """Return the operators' configuration files by name."""
    return {
        "10-models.yaml": {"models": [{"name": MODEL, "layers": LAYERS}]},
        "20-workspaces.yaml": {
            "workspaces": [
                {"name": name, "token_sha256s": [hashlib.sha256(token.encode()).hexdigest()]}
                for name, token in TOKENS.items()
            ]
        },
        "30-services.yaml": {
            "services": [
                {
                    "name": "rigs",
                    "operations": [
                        {"method": "GET", "path": "/status/*", "repeatable": True},
                        {"method": "POST", "path": "/reservations", "repeatable": False},
                        {
                            "method": "POST",
                            "path": "/notes",
                            "repeatable": False,
                            "keyless": True,
                        },
                    ],
                }
            ]
        },
    }


@dataclass(slots=True)
class Layout:
    """Components of a site, and their addresses."""

    site: Site
    engines: list[EngineLayout] = field(default_factory=default_engines)
    folder: dict[str, Any] = field(default_factory=default_folder)
    services: int = 1
    entries: int = 3
    key_value: dict[str, Any] = field(default_factory=dict)
    host_list: dict[str, Any] = field(default_factory=dict)
    entry: dict[str, Any] = field(default_factory=dict)
    engines_share_process: bool = False

    @property
    def key_value_address(self) -> str:
        """Address of the key-value service."""
        return f"{self.site.ip(PLATFORM_NUMBER)}:{KEY_VALUE_PORT}"

    @property
    def host_list_address(self) -> str:
        """Address of the host list."""
        return f"{self.site.ip(PLATFORM_NUMBER)}:{HOST_LIST_PORT}"

    def engine_address(self, replica: str) -> str:
        """Return the address of an engine."""
        number = [engine.replica for engine in self.engines].index(replica)
        # Engines listen on two ports each, so large sites use more ports of the same addresses.
        address, port = number % MAX_ENGINE_ADDRESSES, number // MAX_ENGINE_ADDRESSES
        return f"{self.site.ip(ENGINE_NUMBER + address)}:{ENGINE_PORT + 10 * port}"

    def service_address(self, number: int) -> str:
        """Return the address of a replica of the plain service."""
        return f"{self.site.ip(SERVICE_NUMBER + number)}:{SERVICE_PORT}"

    def entry_address(self, number: int) -> str:
        """Return the address of an entry host."""
        return f"{self.site.ip(ENTRY_NUMBER + number)}:{ENTRY_PORT}"

    def entry_url(self, number: int, path: str = "") -> str:
        """Return a URL at an entry host."""
        return f"http://{self.entry_address(number)}{path}"

    def journal(self, name: str) -> Path:
        """Return the path of a stand-in's journal."""
        return self.site.folder / f"{name}.journal"

    def engine_runs(self) -> dict[str, list[dict[str, Any]]]:
        """Return each engine's journal entries."""
        return {e.replica: read_journal(self.journal(e.replica)) for e in self.engines}

    def service_runs(self) -> list[dict[str, Any]]:
        """Return the executed calls from the journals of the plain service's replicas."""
        lines = [
            line
            for number in range(self.services)
            for line in read_journal(self.journal(f"rigs-{number}"))
        ]
        return [line for line in lines if line["event"] == "run"]

    def start(self) -> None:
        """Start all components, store the configuration and wait until entry hosts are ready."""
        self.start_platform()
        self.start_backend_servers()
        self.put_folder(self.folder)
        for number in range(self.entries):
            self.start_entry(number)
        for number in range(self.entries):
            self.site.wait_ready(self.entry_url(number, "/readyz"))

    def start_platform(self) -> None:
        """Start the key-value service, the host list and the weight store."""
        ip = self.site.ip(PLATFORM_NUMBER)
        parts = [
            {
                "kind": "key_value",
                "listen": self.key_value_address,
                "admin_listen": f"{ip}:{ADMIN_PORT}",
                **self.key_value,
            },
            {
                "kind": "host_list",
                "listen": self.host_list_address,
                "admin_listen": f"{ip}:{ADMIN_PORT + 1}",
                "targets": self.targets(),
                **self.host_list,
            },
            {"kind": "weight_store", "listen": f"{ip}:{WEIGHT_STORE_PORT}"},
        ]
        path = self.site.write("platform.yaml", {"parts": parts})
        self.site.start("platform", "pimentodale-standin", str(path))
        self.site.wait_ready(f"http://{self.host_list_address}/targets")

    def start_backend_servers(self) -> None:
        """Start the engines and the plain service, each replica in its own process."""
        if self.engines_share_process:
            self._start_shared_engines()
        else:
            for engine in self.engines:
                self.start_engine(engine.replica)
        for number in range(self.services):
            self.start_service(number)
        for engine in self.engines:
            url = f"http://{self.engine_address(engine.replica)}/v1/pimentodale/load"
            self.site.wait_ready(url)

    def start_engine(self, replica: str) -> None:
        """Start one engine in its own process."""
        path = self.site.write(f"{replica}.yaml", {"parts": [self._engine_part(replica)]})
        self.site.start(replica, "pimentodale-standin", str(path))

    def _start_shared_engines(self) -> None:
        """Start all engines in one process, for large sites."""
        parts = [self._engine_part(engine.replica) for engine in self.engines]
        path = self.site.write("engines.yaml", {"parts": parts})
        self.site.start("engines", "pimentodale-standin", str(path))

    def _engine_part(self, replica: str) -> dict[str, Any]:
        """Return the settings of an engine."""
        engine = next(one for one in self.engines if one.replica == replica)
        return {
            "kind": "engine",
            "replica": replica,
            "listen": self.engine_address(replica),
            "failure_domain": engine.failure_domain,
            "model": MODEL,
            "first_layer": engine.first_layer,
            "last_layer": engine.last_layer,
            "accelerator": engine.accelerator,
            "step_ms": engine.step_ms,
            "batch": engine.batch,
            "slots": engine.slots,
            "journal": str(self.journal(replica)),
            **engine.extra,
        }

    def start_service(self, number: int) -> None:
        """Start one replica of the plain service."""
        name = f"rigs-{number}"
        part = {
            "kind": "service",
            "service": "rigs",
            "replica": name,
            "listen": self.service_address(number),
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "journal": str(self.journal(name)),
            "crash_mark": "poison",
        }
        path = self.site.write(f"{name}.yaml", {"parts": [part]})
        self.site.start(name, "pimentodale-standin", str(path))

    def start_entry(self, number: int) -> None:
        """Start one entry host."""
        settings = {
            "host": f"entry-{number}",
            "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            "region": "nl-west",
            "listen": self.entry_address(number),
            "peer_listen": f"{self.site.ip(ENTRY_NUMBER + number)}:{PEER_PORT}",
            "key_value": [self.key_value_address],
            "host_list": self.host_list_address,
            "weight_store": f"{self.site.ip(PLATFORM_NUMBER)}:{WEIGHT_STORE_PORT}",
            "log_level": "info",
            "log_format": "console",
            **self.entry,
        }
        path = self.site.write(f"entry-{number}.yaml", settings)
        self.site.start(f"entry-{number}", "pimentodale-entry", str(path))

    def put_folder(self, folder: dict[str, Any]) -> None:
        """Store files in the operators' configuration folder with the command-line tool."""
        paths = [str(self.site.write(name, value)) for name, value in folder.items()]
        program = self.site.start(
            "ctl",
            "pimentodale-ctl",
            "config",
            "put",
            "--key-value",
            self.key_value_address,
            "--wait-ms",
            "0",
            *paths,
        )
        wait_until(lambda: program.process.poll() is not None, "the folder is written")
        assert program.process.returncode == 0, program.log.read_text()

    def targets(self) -> list[dict[str, Any]]:
        """Return the contents of the host list."""
        groups = [_engine_target(self, engine) for engine in self.engines]
        for number in range(self.services):
            labels = {
                "kind": "service",
                "service": "rigs",
                "replica": f"rigs-{number}",
                "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                "state": "live",
            }
            groups.append({"targets": [self.service_address(number)], "labels": labels})
        for number in range(self.entries):
            labels = {
                "kind": "entry",
                "replica": f"entry-{number}",
                "failure_domain": FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                "state": "live",
                "peer_port": str(PEER_PORT),
            }
            groups.append({"targets": [self.entry_address(number)], "labels": labels})
        return groups

    def set_targets(self, groups: list[dict[str, Any]]) -> None:
        """Replace the contents of the host list."""
        ip = self.site.ip(PLATFORM_NUMBER)
        reply = http(f"http://{ip}:{ADMIN_PORT + 1}/admin/targets", groups)
        assert reply.status == 200, reply

    def key_value_fault(self, **faults: Any) -> None:
        """Set the fault injection of the key-value service."""
        ip = self.site.ip(PLATFORM_NUMBER)
        reply = http(f"http://{ip}:{ADMIN_PORT}/admin/faults", faults)
        assert reply.status == 200, reply


def headers_of(workspace: str, **more: str) -> dict[str, str]:
    """Return request headers for a workspace."""
    return {"Authorization": f"Bearer {TOKENS[workspace]}", **more}


def _engine_target(layout: Layout, engine: EngineLayout) -> dict[str, Any]:
    """Return an engine's entry in the host list."""
    labels = {
        "kind": "engine",
        "replica": engine.replica,
        "failure_domain": engine.failure_domain,
        "state": "live",
        "model": MODEL,
        "first_layer": str(engine.first_layer),
        "last_layer": str(engine.last_layer),
        "accelerator": engine.accelerator,
        "tokens_per_s": f"{engine.tokens_per_s:g}",
        "slots": str(engine.slots),
    }
    return {"targets": [layout.engine_address(engine.replica)], "labels": labels}
