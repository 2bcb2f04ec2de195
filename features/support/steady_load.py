"""Callers that keep on calling entry hosts through a balancer, and keep what they got."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from features.support.layout import LAYERS, MODEL, headers_of
from features.support.site import http as call_http
from pimentodale.standin.reference_text import reference_tokens

if TYPE_CHECKING:
    from collections.abc import Callable

    from features.support.layout import Layout

BALANCER_INTERVAL_S: Final = 0.5
"""Time between two readiness checks of the balancer."""


@dataclass(slots=True)
class LoadCall:
    """One call and what came of it."""

    host: int
    kind: str
    name: str
    ended_s: float = 0.0
    status: int = 0
    whole: bool = False
    problem: str = ""


@dataclass(slots=True)
class SteadyLoad:
    """Callers on threads of the scenario's process."""

    layout: Layout
    seed: int
    calls: list[LoadCall] = field(default_factory=list)
    ready: set[int] = field(default_factory=set)
    _stop: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self, callers: int) -> None:
        """Start the balancer and the callers."""
        self.ready = set(range(self.layout.entries))
        self._start(self._balance)
        for number in range(callers):
            self._start(lambda n=number: self._call_on(n))

    def start_stream(self, host: int, name: str, tokens: int) -> None:
        """Start one stream through a host."""
        self._start(lambda: self._stream(host, name, tokens))

    def stop(self) -> None:
        """Let running calls end, and wait for them."""
        self._stop.set()
        for thread in self._threads:
            thread.join(60.0)

    def _start(self, work: Callable[[], None]) -> None:
        """Run work on a thread."""
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _balance(self) -> None:
        """Ask every host for its readiness, over and over."""
        while not self._stop.wait(BALANCER_INTERVAL_S):
            for host in range(self.layout.entries):
                try:
                    url = self.layout.entry_url(host, "/readyz")
                    is_ready = call_http(url, timeout_s=1.0).status == 200
                except OSError:
                    is_ready = False
                (self.ready.add if is_ready else self.ready.discard)(host)

    def _call_on(self, number: int) -> None:
        """Call ready hosts at random: mostly streams, now and then a reservation."""
        rng = random.Random(self.seed * 1000 + number)
        count = 0
        while not self._stop.is_set():
            count += 1
            host = rng.choice(sorted(self.ready))
            if count % 4 == 0:
                self._reserve(host, f"{number}-{count}")
            else:
                self._stream(host, f"load-{number}-{count}", 8)

    def _stream(self, host: int, name: str, tokens: int) -> None:
        """Stream one answer and compare it with the fault-free one."""
        prompt = f"{name} [tokens={tokens}]"
        body = {
            "model": MODEL,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        call = LoadCall(host, "stream", name)
        reply = self._send(call, "/v1/chat/completions", body, headers_of("lab"))
        if reply is None:
            return
        lines = [line[6:] for line in reply.split(b"\n") if line.startswith(b"data: {")]
        choices = [choice for line in lines for choice in json.loads(line).get("choices", [])]
        text = "".join(choice["delta"].get("content") or "" for choice in choices)
        wished = "".join(reference_tokens(f"user: {prompt}", LAYERS, tokens))
        call.whole = text == wished and reply.endswith(b"data: [DONE]\n\n")
        if not call.whole:
            call.problem = f"{len(choices)} chunks, ends {reply[-200:]!r}"

    def _reserve(self, host: int, name: str) -> None:
        """Make one reservation under a key of its own."""
        call = LoadCall(host, "reservation", name)
        headers = headers_of("desk", **{"Idempotency-Key": name})
        reply = self._send(call, "/services/rigs/reservations", {"rig": name}, headers)
        call.whole = reply is not None

    def _send(
        self, call: LoadCall, path: str, body: dict[str, Any], headers: dict[str, str]
    ) -> bytes | None:
        """Make a call; returns the body of a good answer."""
        try:
            reply = call_http(self.layout.entry_url(call.host, path), body, headers=headers)
        except (OSError, http.client.HTTPException) as error:
            call.problem = repr(error)
            reply = None
        call.ended_s = time.monotonic()
        self.calls.append(call)
        if reply is None:
            return None
        call.status = reply.status
        if reply.status != 200:
            call.problem = reply.body.decode(errors="replace")
            return None
        return reply.body
