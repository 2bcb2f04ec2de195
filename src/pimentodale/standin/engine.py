"""Stand-in for a model engine, as docs/reference/protocols.md describes engines.

Its text is `reference_text`'s when every layer runs once and in order. What it really did stands in
its journal, which tests read.
"""

from __future__ import annotations

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from pimentodale.addresses import parse_address
from pimentodale.clock import create_clock
from pimentodale.standin._engine_core import Engine
from pimentodale.standin._engine_http import create_admin_application, create_application
from pimentodale.standin._engine_links import LinkRate
from pimentodale.standin._faults import Faults
from pimentodale.standin._journal import create_journal


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """An engine's settings."""

    replica: str
    """Its name."""

    listen: str
    """`IP:PORT` for callers; the next port takes links of other engines."""

    admin_listen: str = ""
    """`IP:PORT` of an admin path that outlives a crash; empty for none."""

    failure_domain: str = "default"
    """Its failure domain."""

    model: str
    """Model that it holds a range of."""

    version: str = "1"
    """Version of the model."""

    adapters: list[str] = []
    """Adapters that it holds."""

    first_layer: int
    """First layer held."""

    last_layer: int
    """Layer after the last one held."""

    accelerator: str = "standard"
    """Kind of accelerator."""

    step_ms: float = 5.0
    """Time of one batch step."""

    batch: int = 16
    """Tokens run in one batch step."""

    slots: int = 64
    """Streams held at once."""

    prefill_tokens_per_step: int = 512
    """Prompt tokens prefilled in one batch step, besides the batch."""

    activation_bytes: int = 16384
    """Size of the activations of one token."""

    links: dict[str, LinkRate] = {}
    """How links to each failure domain are; those not named are as fast as the machine."""

    kv_cache_entries: int = 256
    """Finished requests whose KV cache is kept."""

    prefix_cache_entries: int = 64
    """Prompt prefixes that are kept; 0 for none."""

    cache_event_lag_ms: float = 0.0
    """How late cache events are told."""

    cache_event_gap_probability: float = 0.0
    """Share of cache events that are never told."""

    load_report_lag_ms: float = 0.0
    """How old load reports may be."""

    honours_fencing: bool = True
    """Whether orders with an old fencing number are refused."""

    load_ms: float = 1000.0
    """Time that loading a model, version or adapter takes."""

    crash_exits: bool = True
    """Whether a crash ends the process; in a shared process only this engine goes down."""

    journal: str = ""
    """Path of its journal; empty for none."""

    seed: int = 1
    """Seed of its random choices."""

    faults: Faults = msgspec.field(default_factory=Faults)
    """Faults that are on from the start."""


async def start_part(settings: Settings) -> None:
    """Start an engine in this process."""
    clock = create_clock()
    engine = Engine(settings, clock, create_journal(settings.journal, clock))
    engine.start(create_application(engine))
    if settings.admin_listen:
        address = parse_address(settings.admin_listen)
        admin = HTTPServer(create_admin_application(engine))
        admin.add_sockets(bind_sockets(address.port, address.ip))
