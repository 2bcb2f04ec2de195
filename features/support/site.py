"""Starts the project's programs for one scenario, and stops them after it.

Each site lives on a /24 of 127.0.0.0/8 of its own, so that sites that run at once never meet.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import yaml

if TYPE_CHECKING:
    from collections.abc import Callable

BIN: Final = Path(sys.executable).parent
START_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 15.0
POLL_S: Final = 0.02


class ConditionNotMetError(AssertionError):
    """A condition did not come true in time."""


@dataclass(slots=True)
class Program:
    """One running program."""

    name: str
    """Name within the site."""

    process: subprocess.Popen[bytes]
    """The process."""

    log: Path
    """File with its standard output and error."""

    def kill(self) -> None:
        """End it without notice."""
        self.process.kill()
        self.process.wait()

    def freeze(self) -> None:
        """Stop it with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let it go on after `freeze`."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Ask it to stop and return its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_S)


@dataclass(slots=True)
class Reply:
    """A whole HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


@dataclass(slots=True)
class Site:
    """The programs, addresses and files of one scenario."""

    seed: int
    """Seed of the scenario's random choices, printed when it starts."""

    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="pimentodale-")))
    """Holds settings, logs and journals."""

    programs: dict[str, Program] = field(default_factory=dict)
    """Running and ended programs by name."""

    network: str = field(default_factory=lambda: _free_network())
    """First three numbers of the site's addresses."""

    rng: random.Random = field(init=False)
    """The scenario's random numbers."""

    def __post_init__(self) -> None:
        """Seed the random numbers."""
        self.rng = random.Random(self.seed)

    def ip(self, number: int) -> str:
        """Return the site's address with this last number."""
        return f"{self.network}.{number}"

    def write(self, name: str, value: object) -> Path:
        """Write a YAML file into the site's folder and return its path."""
        path = self.folder / name
        path.write_text(yaml.safe_dump(value, sort_keys=False))
        return path

    def start(self, name: str, *command: str) -> Program:
        """Start one of the project's programs, such as `start("e1", "pimentodale-entry", path)`."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [str(BIN / command[0]), *command[1:]],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        program = Program(name, process, log)
        self.programs[name] = program
        return program

    def wait_ready(self, url: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a GET of `url` answers 200."""
        wait_until(lambda: _answers_ok(url), f"{url} answers 200", timeout_s)

    def stop(self) -> None:
        """Kill whatever still runs."""
        for program in self.programs.values():
            if program.process.poll() is None:
                program.process.kill()
        for program in self.programs.values():
            program.process.wait()

    def logs(self) -> str:
        """Return the ends of all logs, for a failed scenario."""
        parts = []
        for program in self.programs.values():
            lines = program.log.read_text(errors="replace").splitlines()[-30:]
            parts.append(f"--- {program.name} ({program.process.poll()})\n" + "\n".join(lines))
        return "\n".join(parts)


def http(
    url: str,
    body: object | None = None,
    *,
    method: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Reply:
    """Make one HTTP call; a `body` that is not bytes goes as JSON. Any status is an answer."""
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, headers=headers or {}, method=method)
    if data is not None:
        request.add_header("Content-Type", "application/json")
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout_s) as answer:
            return Reply(answer.status, dict(answer.headers), answer.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, dict(error.headers), error.read())


def wait_until(condition: Callable[[], object], what: str, timeout_s: float = 10.0) -> None:
    """Poll until the condition is true.

    Raises:
        ConditionNotMetError: If it is not in time.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise ConditionNotMetError(f"not within {timeout_s} s: {what}")
        time.sleep(POLL_S)


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return a stand-in's journal: one JSON object for each thing that it did."""
    if not path.exists():
        return []
    # A line that a kill cut short was not finished, so it is passed over.
    lines = path.read_text().split("\n")[:-1]
    return [json.loads(line) for line in lines]


def _answers_ok(url: str) -> bool:
    """Whether a GET answers 200."""
    try:
        return http(url, timeout_s=2.0).status == 200
    except OSError:
        return False


def _free_network() -> str:
    """Pick a /24 of loopback that no other site holds, marked by a listening socket."""
    chooser = random.SystemRandom()
    while True:
        network = f"127.{chooser.randint(1, 254)}.{chooser.randint(0, 254)}"
        marker = socket.socket()
        try:
            marker.bind((f"{network}.254", 1))
        except OSError:
            marker.close()
            continue
        _markers.append(marker)
        return network


_markers: list[socket.socket] = []
