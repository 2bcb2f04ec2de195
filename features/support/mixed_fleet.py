"""A fleet of stand-in engines of four kinds, 8 times apart, over links 100 times apart."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from features.support.engines import ADMIN_PORT, HTTP_PORT, MODEL
from pimentodale.addresses import Address
from pimentodale.clients.targets import EngineTarget
from pimentodale.routing.route_plan import Link

if TYPE_CHECKING:
    from features.support.site import Site

LAYERS: Final = 32
ACTIVATION_BYTES: Final = 16_384
SLOTS: Final = 48
PROCESSES: Final = 4


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of accelerator."""

    name: str
    step_ms: float
    batch: int

    @property
    def tokens_per_s(self) -> float:
        """Tokens a second for the range held."""
        return 1000.0 * self.batch / self.step_ms


KINDS: Final = (
    Kind("small", 40.0, 1),
    Kind("medium", 40.0, 2),
    Kind("large", 20.0, 2),
    Kind("huge", 20.0, 4),
)

DOMAINS: Final = ("delft-a", "delft-b", "rotterdam-c")

# Kind, domain and layers held, so that the best routes are not the ones that a blind choice takes.
_ENGINES: Final = (
    (3, 0, 0, 16),
    (1, 0, 0, 16),
    (2, 0, 16, 32),
    (2, 0, 16, 32),
    (0, 0, 16, 32),
    (0, 0, 0, 20),
    (2, 1, 0, 8),
    (1, 1, 0, 12),
    (2, 1, 8, 24),
    (1, 1, 12, 32),
    (1, 1, 24, 32),
    (1, 1, 16, 32),
    (3, 2, 16, 32),
    (2, 2, 0, 16),
    (1, 2, 0, 16),
    (1, 2, 0, 24),
    (0, 2, 24, 32),
    (0, 2, 16, 32),
)

# Tokens a second between two engines of these failure domains, both ways.
_LINK_TOKENS_PER_S: Final = {(0, 0): 500.0, (1, 1): 500.0, (2, 2): 500.0}
_CROSSING_TOKENS_PER_S: Final = {(0, 1): 50.0, (0, 2): 5.0, (1, 2): 5.0}


def fleet_targets(site: Site) -> list[EngineTarget]:
    """Return the engines as the host list shows them."""
    targets = []
    for number, (kind, domain, first, last) in enumerate(_ENGINES):
        targets.append(
            EngineTarget(
                replica=f"e{number}",
                address=Address(site.ip(10 + number), HTTP_PORT),
                failure_domain=DOMAINS[domain],
                model=MODEL,
                first_layer=first,
                last_layer=last,
                accelerator=KINDS[kind].name,
                tokens_per_s=KINDS[kind].tokens_per_s,
                slots=SLOTS,
            )
        )
    return targets


def fleet_links() -> list[Link]:
    """Return the links between the failure domains."""
    links = []
    for (one, other), rate in {**_LINK_TOKENS_PER_S, **_CROSSING_TOKENS_PER_S}.items():
        for a, b in {(one, other), (other, one)}:
            link = Link(
                from_failure_domain=DOMAINS[a],
                to_failure_domain=DOMAINS[b],
                tokens_per_s=rate,
                scope="pair",
            )
            links.append(link)
    return links


def start_fleet(site: Site, **settings: Any) -> list[EngineTarget]:
    """Start the engines over a few processes.

    Args:
        site: The site.
        settings: Further fields of every engine's settings.

    Returns:
        The engines as the host list shows them.
    """
    targets = fleet_targets(site)
    parts = [_settings_of(target, site, settings) for target in targets]
    for process in range(PROCESSES):
        path = site.write(f"fleet-{process}.yaml", {"parts": parts[process::PROCESSES]})
        site.start(f"fleet-{process}", "pimentodale-standin", str(path))
    for target in targets:
        site.wait_ready(f"http://{target.address}/v1/pimentodale/load")
    return targets


def _settings_of(target: EngineTarget, site: Site, settings: dict[str, Any]) -> dict[str, Any]:
    """Return one engine's settings."""
    kind = next(kind for kind in KINDS if kind.name == target.accelerator)
    links = {
        link.to_failure_domain: {"bytes_per_s": link.tokens_per_s * ACTIVATION_BYTES}
        for link in fleet_links()
        if link.from_failure_domain == target.failure_domain
    }
    return {
        "kind": "engine",
        "replica": target.replica,
        "listen": str(target.address),
        "admin_listen": f"{target.address.ip}:{ADMIN_PORT}",
        "failure_domain": target.failure_domain,
        "model": target.model,
        "first_layer": target.first_layer,
        "last_layer": target.last_layer,
        "accelerator": kind.name,
        "step_ms": kind.step_ms,
        "batch": kind.batch,
        "slots": target.slots,
        "activation_bytes": ACTIVATION_BYTES,
        "links": links,
        "crash_exits": False,
        "journal": str(site.folder / f"{target.replica}.journal"),
        **settings,
    }
