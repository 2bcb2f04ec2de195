"""Starts stand-in engines for a scenario, calls them directly and reads their journals."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from features.support.site import http as call_http
from features.support.site import read_journal

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from features.support.site import Site

HTTP_PORT: Final = 9000
"""Engines' HTTP port; their links come to the next one."""

ADMIN_PORT: Final = 9900
"""Engines' admin port, which outlives a crash in a shared process."""

MODEL: Final = "lathe-70b"
"""Model that the engines hold unless a scenario says otherwise."""


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """One engine of a scenario."""

    name: str
    ip: str
    first_layer: int
    last_layer: int
    failure_domain: str = "delft-a"

    @property
    def address(self) -> str:
        """Its `IP:PORT` for callers."""
        return f"{self.ip}:{HTTP_PORT}"

    @property
    def admin(self) -> str:
        """Its `IP:PORT` for faults."""
        return f"{self.ip}:{ADMIN_PORT}"

    @property
    def hop(self) -> dict[str, Any]:
        """It as a hop of a route."""
        layers = {"first_layer": self.first_layer, "last_layer": self.last_layer}
        return {"replica": self.name, "address": self.address, **layers}


@dataclass(slots=True)
class EngineAnswer:
    """What a caller of engines got."""

    status: int = 0
    body: bytes = b""
    tokens: list[str] = field(default_factory=list)
    notes: list[dict[str, Any]] = field(default_factory=list)
    finish_reason: str = ""
    stage_lost: str = ""
    done: bool = False


def start_engines(
    site: Site, specs: Sequence[EngineSpec], *, shared: bool = False, **settings: Any
) -> None:
    """Start engines, each in its own process or all in one named `engines`.

    Args:
        site: The scenario's site.
        specs: The engines.
        shared: Whether they share one process.
        settings: Further fields of every engine's settings.
    """
    parts = []
    for spec in specs:
        part = {
            "kind": "engine",
            "replica": spec.name,
            "listen": spec.address,
            "admin_listen": spec.admin,
            "failure_domain": spec.failure_domain,
            "model": MODEL,
            "first_layer": spec.first_layer,
            "last_layer": spec.last_layer,
            "crash_exits": not shared,
            "journal": str(site.folder / f"{spec.name}.journal"),
            **settings,
        }
        parts.append(part)
    if shared:
        path = site.write("engines.yaml", {"parts": parts})
        site.start("engines", "pimentodale-standin", str(path))
    else:
        for part in parts:
            path = site.write(f"{part['replica']}.yaml", {"parts": [part]})
            site.start(str(part["replica"]), "pimentodale-standin", str(path))
    for spec in specs:
        site.wait_ready(f"http://{spec.address}/v1/pimentodale/load")
        _admins[site.network, spec.name] = spec.admin


def set_engine_fault(site: Site, name: str, **faults: Any) -> None:
    """Replace the faults of an engine; no faults switches all off."""
    url = f"http://{_admins[site.network, name]}/admin/faults"
    reply = call_http(url, {"faults": faults})
    assert reply.status == 200, reply


def order_engine(site: Site, name: str, **order: Any) -> None:
    """Give an engine an admin order such as `crash=True`, `restart=True` or `silence=True`."""
    reply = call_http(f"http://{_admins[site.network, name]}/admin/faults", order)
    assert reply.status == 200, reply


def engine_journal(site: Site, name: str, event: str = "") -> list[dict[str, Any]]:
    """Return the lines of an engine's journal, all or of one event."""
    lines = read_journal(site.folder / f"{name}.journal")
    return [line for line in lines if not event or line["event"] == event]


def call_engines(
    specs: Sequence[EngineSpec],
    prompt: str,
    *,
    resume_tokens: Sequence[str] = (),
    after: int = -1,
    do: Callable[[], None] | None = None,
    stop_after: int = -1,
    request_id: str = "q1",
) -> EngineAnswer:
    """Stream a completion straight from the first engine, along all of them.

    Args:
        specs: The route.
        prompt: The prompt text.
        resume_tokens: Tokens that the caller has already.
        after: Number of tokens after which `do` is called.
        do: What to do then.
        stop_after: Number of tokens after which the connection is dropped.
        request_id: The request's name.

    Returns:
        What came.
    """
    extension = {
        "request_id": request_id,
        "attempt": 1,
        "workspace": "w1",
        "route": [spec.hop for spec in specs],
        "resume_tokens": list(resume_tokens),
    }
    body = {"model": MODEL, "stream": True, "prompt": prompt, "max_tokens": 100_000}
    answer = EngineAnswer()
    connection = http.client.HTTPConnection(specs[0].ip, HTTP_PORT, timeout=20)
    try:
        text = json.dumps({**body, "pimentodale": extension})
        connection.request("POST", "/v1/completions", text)
        reply = connection.getresponse()
        answer.status = reply.status
        if reply.status != 200:
            answer.body = reply.read()
            return answer
        for line in reply:
            _take_line(answer, line.strip())
            if do is not None and len(answer.tokens) == after:
                do()
                do = None
            if len(answer.tokens) == stop_after:
                break
    finally:
        connection.close()
    return answer


def tiles(receipt: Sequence[dict[str, Any]], layers: int) -> bool:
    """Whether a receipt runs every layer once and in order."""
    reached = 0
    for stage in receipt:
        if stage["first_layer"] != reached or stage["last_layer"] <= reached:
            return False
        reached = stage["last_layer"]
    return reached == layers


def _take_line(answer: EngineAnswer, line: bytes) -> None:
    """Take one line of an event stream."""
    if not line.startswith(b"data: "):
        return
    if line == b"data: [DONE]":
        answer.done = True
        return
    event = json.loads(line.removeprefix(b"data: "))
    note = event["pimentodale"]
    if "stage_lost" in note:
        answer.stage_lost = note["stage_lost"]
        return
    choice = event["choices"][0]
    if choice["finish_reason"] is not None:
        answer.finish_reason = choice["finish_reason"]
        return
    answer.tokens.append(choice["text"])
    answer.notes.append(note)


_admins: dict[tuple[str, str], str] = {}
"""Admin addresses by site and engine."""
