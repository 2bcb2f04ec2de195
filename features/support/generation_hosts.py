"""Entry hosts' pipelines inside the scenario's process, over real engine processes."""

from __future__ import annotations

import asyncio
import hashlib
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from features.support.engines import MODEL
from pimentodale.addresses import parse_address
from pimentodale.background import create_background_tasks
from pimentodale.clients.targets import EngineTarget, Targets
from pimentodale.clock import MS_PER_S, create_clock
from pimentodale.configuration.documents import Limits, Model, Workspace
from pimentodale.logs import configure_logs
from pimentodale.metrics import create_metrics
from pimentodale.pipelines.generate import PipelineContext, generate
from pimentodale.pipelines.messages import Finished, Generation
from pimentodale.quarantine.crash_record import create_crash_record
from pimentodale.quarantine.entries import pack_entry, unpack_entry
from pimentodale.quarantine.entry_sharing import follow_entries, share_entries
from pimentodale.quarantine.quarantine import create_quarantine
from pimentodale.quarantine.register import STRIKE_RETENTION_MS
from pimentodale.quarantine.store_writer import create_store_writer
from pimentodale.quarantine.trial_claims import pack_claim, unpack_claim
from pimentodale.routing.fleet import create_fleet
from pimentodale.routing.router import create_router
from pimentodale.tracing.traceparent import create_trace
from pimentodale.tracing.tracer import create_tracer

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from features.support.engines import EngineSpec
    from pimentodale.background import BackgroundTasks
    from pimentodale.clients.key_value import KeyValueStore
    from pimentodale.clock import Clock
    from pimentodale.quarantine.quarantine import Quarantine
    from pimentodale.results import Refusal

SLOTS = 64
"""Slots that the engines are said to have."""

configure_logs("warning", "console")


@dataclass(slots=True)
class GenerationHost:
    """One entry host's pipelines."""

    name: str
    clock: Clock
    ctx: PipelineContext
    layers: int
    background: BackgroundTasks

    @property
    def quarantine(self) -> Quarantine:
        """The host's quarantine."""
        assert self.ctx.quarantine is not None
        return self.ctx.quarantine

    def follow_store(self, store: KeyValueStore) -> None:
        """Write entries to the service and take in those of others."""
        register = self.quarantine.register
        writer = create_store_writer(self.clock, store, STRIKE_RETENTION_MS)
        share_entries(register, writer)
        self.background.start(writer.run(), "entry writer")
        self.background.start(
            follow_entries(
                register, create_crash_record(self.clock), self.clock, store, lambda: True
            ),
            "entry follower",
        )


@dataclass(slots=True)
class GenerationResult:
    """What one caller got."""

    prompt: str
    request_id: str
    tokens: list[str] = field(default_factory=list)
    times_ms: list[float] = field(default_factory=list)
    finished: Finished | None = None
    refusal: Refusal | None = None


def create_host(
    name: str,
    specs: Sequence[EngineSpec],
    *,
    seed: int,
    chunk_timeout_ms: float = 1500.0,
    store: KeyValueStore | None = None,
) -> GenerationHost:
    """Build one host that knows the engines; call it inside a running event loop."""
    clock = create_clock()
    fleet = create_fleet(clock)
    fleet.apply_targets(Targets(engines=[_target(spec) for spec in specs]))
    limits = Limits(chunk_timeout_ms=chunk_timeout_ms)
    background = create_background_tasks()
    ctx = PipelineContext(
        clock=clock,
        tracer=create_tracer(clock, name, 2000),
        metrics=create_metrics(),
        fleet=fleet,
        router=create_router(fleet, clock, specs[0].failure_domain, seed),
        limits=lambda: limits,
        quarantine=create_quarantine(name, clock, background, store),
    )
    layers = max(spec.last_layer for spec in specs)
    return GenerationHost(name, clock, ctx, layers, background)


def join_peers(hosts: Sequence[GenerationHost], delay_ms: float) -> None:
    """Have each host's quarantine entries offered to the others after a delay."""
    loop = asyncio.get_running_loop()

    def share(sender: GenerationHost, octets: bytes) -> None:
        entry = unpack_entry(octets)
        assert entry is not None
        for host in hosts:
            if host is not sender:
                host.quarantine.register.receive(entry)

    def share_claim(sender: GenerationHost, octets: bytes) -> None:
        claim = unpack_claim(octets)
        assert claim is not None
        for host in hosts:
            if host is not sender:
                host.quarantine.trials.claims.receive(claim)

    for host in hosts:
        host.quarantine.trials.claims.connect(
            lambda claim, sender=host: loop.call_later(
                delay_ms / MS_PER_S, share_claim, sender, pack_claim(claim)
            )
        )
        host.quarantine.register.subscribe(
            lambda entry, sender=host: loop.call_later(
                delay_ms / MS_PER_S, share, sender, pack_entry(entry)
            )
        )


async def run_generation(
    host: GenerationHost,
    prompt: str,
    request_id: str,
    *,
    workspace: str = "trekvast",
    repeatable: bool = True,
    timeout_ms: float = 30_000.0,
    on_token: Callable[[GenerationResult], None] | None = None,
) -> GenerationResult:
    """Run one caller's request to its end.

    Args:
        host: The entry host.
        prompt: The prompt text.
        request_id: The request's name.
        workspace: The caller's workspace.
        repeatable: Whether it may be resumed.
        timeout_ms: Time until its deadline.
        on_token: Called after each token.

    Returns:
        What the caller got.
    """
    result = GenerationResult(prompt, request_id)
    body: dict[str, Any] = {"model": MODEL, "prompt": prompt, "max_tokens": 100_000}
    generation = Generation(
        request_id=request_id,
        kind="completion",
        model=Model(name=MODEL, layers=host.layers),
        workspace=Workspace(name=workspace, token_sha256s=[]),
        body=body,
        fingerprint=fingerprint_of(workspace, prompt),
        prefix_hash="",
        max_tokens=100_000,
        idempotency_key="",
        repeatable=repeatable,
        priority=0,
        deadline_ms=host.clock.now_ms() + timeout_ms,
        trace=create_trace(),
    )
    async with aclosing(generate(generation, host.ctx)) as events:
        async for event in events:
            if event.is_error():
                result.refusal = event.error
                break
            if isinstance(event.ok, Finished):
                result.finished = event.ok
                break
            result.tokens.append(event.ok.text)
            result.times_ms.append(host.clock.now_ms())
            if on_token is not None:
                on_token(result)
                await asyncio.sleep(0)
    return result


def fingerprint_of(workspace: str, prompt: str) -> str:
    """Return the name of a request in quarantine."""
    return hashlib.sha256(f"{workspace}\0{prompt}".encode()).hexdigest()


def _target(spec: EngineSpec) -> EngineTarget:
    """Return an engine as the host list gives it."""
    return EngineTarget(
        replica=spec.name,
        address=parse_address(spec.address),
        failure_domain=spec.failure_domain,
        model=MODEL,
        first_layer=spec.first_layer,
        last_layer=spec.last_layer,
        tokens_per_s=1000.0,
        slots=SLOTS,
    )
