"""Checks the operators' configuration before it is written to the platform's store.

A finding is an error only if hosts don't take the configuration into force. Values that hosts accept,
however odd, are warnings.
"""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import dataclass, field
from difflib import get_close_matches
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, Final

from pimentodale.foreign_bytes import shorten
from pimentodale.forwarding.client_memory import RESERVED_PART, limit_bytes_of
from pimentodale.platform import configuration as wire
from pimentodale.platform.json_positions import MAX_DEPTH, JsonPositions, locate_values

if TYPE_CHECKING:
    from collections.abc import Iterable

    import msgspec

    from pimentodale.site.model import SiteConfiguration

MIN_NAME_LIKENESS: Final = 0.8
"""Likeness from which an unknown field counts as a misspelled one; the platform has other fields."""

_BYTE: Final = re.compile(r"\(byte (\d+)\)")
_PATH: Final = re.compile(r" - at `(\$[^`]*)`")


class Section(Enum):
    """Section of the report."""

    ERROR = "error"
    """Hosts don't take the configuration into force."""

    NEVER_MATCHES = "never-matches"
    """An entry that no request can reach, or that hosts ignore."""

    LIMIT = "limit"
    """A limit that is absurd or contradicts another."""


@dataclass(slots=True, frozen=True)
class Finding:
    """One finding."""

    section: Section
    """Section of the report."""

    path: str
    """JSON path of the value."""

    line: int | None
    """Line of the value, from 1; `None` if unknown."""

    message: str
    """What is wrong; never holds an API key."""

    @property
    def severity(self) -> str:
        """Return `error` or `warning`."""
        return "error" if self.section is Section.ERROR else "warning"


@dataclass(slots=True)
class CheckResult:
    """Result of a check."""

    configuration: SiteConfiguration | None
    """The configuration as hosts take it into force; `None` if they don't."""

    findings: list[Finding]
    """The findings, by section and line."""


@dataclass(slots=True)
class _Report:
    """Findings while they are collected."""

    positions: JsonPositions
    findings: list[Finding] = field(default_factory=list)

    def add(self, section: Section, path: str, message: str) -> None:
        """Add a finding."""
        self.findings.append(Finding(section, path, self.positions.line_of(path), message))

    def never(self, path: str, message: str) -> None:
        """Add an entry that never matches."""
        self.add(Section.NEVER_MATCHES, path, message)

    def limit(self, path: str, message: str) -> None:
        """Add an absurd or contradictory limit."""
        self.add(Section.LIMIT, path, message)


def hash_key(key: str) -> str:
    """Return the short hash by which reports name an API key."""
    return hashlib.sha256(key.encode(errors="replace")).hexdigest()[:8]


def quote_name(name: str) -> str:
    """Return an operator's text quoted on one line and cut to a readable length."""
    return json.dumps(shorten(name))


def check_configuration(value: bytes, memory_mb: float | None = None) -> CheckResult:
    """Check the record.

    Args:
        value: The record's JSON.
        memory_mb: Memory of a host's process; `None` leaves out the check against it.
    """
    positions = locate_values(value)
    report = _Report(positions)
    decoded = wire.decode_configuration(value)
    read = wire.read_record(value)
    if decoded.is_error() or read.is_error():
        reason = read.error if read.is_error() else decoded.error
        return CheckResult(None, [_locate_error(value, positions, reason)])
    raw = read.ok
    _check_fields(report)
    _check_routes(report, raw)
    _check_services(report, raw)
    _check_workspaces(report, raw.tenants)
    _check_client_limits(report, raw.limits, memory_mb)
    order = list(Section)
    report.findings.sort(key=lambda one: (order.index(one.section), one.line or 0))
    return CheckResult(decoded.ok, report.findings)


def _locate_error(value: bytes, positions: JsonPositions, reason: str) -> Finding:
    """Return the finding for the decoder's message."""
    byte = _BYTE.search(reason)
    path = _PATH.search(reason)
    if path is not None:
        line = positions.line_of(path[1])
        return Finding(Section.ERROR, path[1], line, reason.replace(path[0], ""))
    end = 0
    if byte is not None:
        end = int(byte[1])
    elif "truncated" in reason:
        end = len(value.rstrip())
    elif "UTF-8" in reason:
        try:
            value.decode()
        except UnicodeDecodeError as error:
            end = error.start
    else:
        return Finding(Section.ERROR, "$", positions.line_of("$"), reason)
    return Finding(Section.ERROR, "$", 1 + value.count(b"\n", 0, end), reason)


@lru_cache(maxsize=1_024)
def _find_alike(name: str, known: tuple[str, ...]) -> str | None:
    """Return the known field that a name is much like, if there is one."""
    return next(iter(get_close_matches(name, known, 1, MIN_NAME_LIKENESS)), None)


def _check_fields(report: _Report) -> None:
    """Look for deep nesting and for fields that are given twice or seem to be misspelled."""
    if report.positions.depth > MAX_DEPTH:
        # The decoder's limit counts the frames of its caller, so hosts may refuse what passes here.
        message = f"values nest {report.positions.depth} deep; a host may fail to read them"
        report.limit("$", message)
    seen: set[tuple[str, str]] = set()
    known: tuple[str, ...] = ()
    last_path = ""
    for path, name in report.positions.fields:
        if path != last_path:
            known = _known_fields(path)
            last_path = path
        if not known:
            continue
        if name in known:
            if (path, name) in seen:
                report.never(f"{path}.{name}", f"{name} is given twice; the last one counts")
            seen.add((path, name))
            continue
        alike = _find_alike(name, known)
        if alike is not None:
            message = f"hosts ignore an unknown field here that is much like {alike}"
            report.never(f"{path}.{alike}", message)


def _fields_of(kind: type[msgspec.Struct]) -> tuple[str, ...]:
    """Return the names of a record's fields."""
    return kind.__struct_fields__


_FIELDS: Final = {
    "$": _fields_of(wire.WireConfiguration),
    "$.limits": _fields_of(wire.WireLimits),
    "$.routes[]": _fields_of(wire.WireRoute),
    "$.routes[].traffic_split[]": _fields_of(wire.WireSplit),
    "$.services[]": _fields_of(wire.WireService),
    "$.services[].engine": _fields_of(wire.WireEngine),
    "$.services[].engine.kinds[]": _fields_of(wire.WireKind),
    "$.tenants[]": _fields_of(wire.WireTenant),
}
_INDEX: Final = re.compile(r"\[\d+\]")


def _known_fields(path: str) -> tuple[str, ...]:
    """Return the fields that an object may have; none if that is not known."""
    return _FIELDS.get(_INDEX.sub("[]", path), ())


def _name_route(route: wire.WireRoute) -> str:
    """Return how reports name a route."""
    return f"route {quote_name(route.name)} ({quote_name(route.host + route.path_prefix)})"


def _check_routes(report: _Report, raw: wire.WireConfiguration) -> None:
    """Check all routes."""
    if not raw.routes:
        report.never("$.routes", "there are no routes; every request is refused")
    last = {(route.host.lower(), route.path_prefix): i for i, route in enumerate(raw.routes)}
    services = {service.name for service in raw.services}
    used: set[str] = set()
    for index, route in enumerate(raw.routes):
        path = f"$.routes[{index}]"
        winner = last[(route.host.lower(), route.path_prefix)]
        if winner != index:
            other = f"$.routes[{winner}]"
            message = f"is shadowed by {other}, which has the same host and prefix"
            report.never(path, f"{_name_route(route)} {message}")
        else:
            used.update(_served_by(route))
        _check_route_match(report, path, route)
        _check_shares(report, path, route, services)
        _check_route_limits(report, path, route)
    for index, service in enumerate(raw.services):
        if service.name not in used:
            message = f"no route leads to service {quote_name(service.name)}"
            report.never(f"$.services[{index}]", message)


def _served_by(route: wire.WireRoute) -> Iterable[str]:
    """Return the services that a route sends requests to."""
    if len(route.traffic_split) < 2:
        return [route.traffic_split[0].service if route.traffic_split else route.service]
    chosen = [split.service for split in route.traffic_split if split.weight > 0]
    # Hosts send all requests to the first service if no weight is positive.
    return chosen or [route.traffic_split[0].service]


def _check_route_match(report: _Report, path: str, route: wire.WireRoute) -> None:
    """Check whether requests can reach a route."""
    name = _name_route(route)
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        message = f"the prefix of {name} must begin and end with a slash; no request matches it"
        report.never(f"{path}.path_prefix", message)
    elif "?" in route.path_prefix:
        report.never(f"{path}.path_prefix", f"the prefix of {name} holds a query; none matches")
    if ":" in route.host or route.host != route.host.strip():
        message = f"the host of {name} must be a name without port or spaces; no request matches it"
        report.never(f"{path}.host", message)
    if route.kind not in wire.REPEATABILITY:
        message = f"{name} is of unknown kind {quote_name(route.kind)}; hosts take non_idempotent"
        report.never(f"{path}.kind", message)


def _check_shares(report: _Report, path: str, route: wire.WireRoute, services: set[str]) -> None:
    """Check the services of a route."""
    name = _name_route(route)
    if not route.traffic_split:
        if route.service not in services:
            message = f"{name} leads to service {quote_name(route.service)}, which doesn't exist"
            report.never(f"{path}.service", message)
        return
    if route.service:
        message = f"hosts ignore service of {name}, as it has a traffic_split"
        report.never(f"{path}.service", message)
    total = sum(max(0.0, split.weight) for split in route.traffic_split)
    if total <= 0:
        message = f"the shares of {name} sum to 0; hosts send all requests to the first service"
        report.limit(f"{path}.traffic_split", message)
    for index, split in enumerate(route.traffic_split):
        at = f"{path}.traffic_split[{index}]"
        if split.service not in services:
            message = f"{name} leads to service {quote_name(split.service)}, which doesn't exist"
            report.never(f"{at}.service", message)
        if split.weight < 0:
            report.limit(f"{at}.weight", f"a weight of {name} is {split.weight:g}; hosts take 0")
        if split.weight <= 0 < total:
            message = f"{name} leads to service {quote_name(split.service)} with weight 0"
            report.never(f"{at}.weight", message)


def _check_route_limits(report: _Report, path: str, route: wire.WireRoute) -> None:
    """Check the limits of a route."""
    name = _name_route(route)
    timeout_ms = route.timeout_ms
    if timeout_ms is not None and timeout_ms <= 0:
        message = f"timeout_ms of {name} is {timeout_ms:g}; it must be over 0"
        report.limit(f"{path}.timeout_ms", message)
    elif timeout_ms is not None:
        for field_name in ("target_latency_ms", "gap_target_ms"):
            target_ms = getattr(route, field_name)
            if target_ms > timeout_ms:
                message = f"{field_name} of {name} is {target_ms:g}, over timeout_ms {timeout_ms:g}"
                report.limit(f"{path}.{field_name}", message)
    if route.target_latency_ms <= 0:
        message = f"target_latency_ms of {name} is {route.target_latency_ms:g}; it must be over 0"
        report.limit(f"{path}.target_latency_ms", message)
    for field_name in ("gap_target_ms", "priority"):
        if getattr(route, field_name) < 0:
            report.limit(f"{path}.{field_name}", f"{field_name} of {name} is under 0")
    if route.max_attempts < 1:
        message = f"max_attempts of {name} is {route.max_attempts}; hosts take 1"
        report.limit(f"{path}.max_attempts", message)
    if route.max_attempts > 1 and route.kind != "idempotent" and not route.resumable:
        message = (
            f"max_attempts of {name} is {route.max_attempts}, but its requests are neither"
            " idempotent nor resumable: what may have run isn't sent again"
        )
        report.limit(f"{path}.max_attempts", message)


def _check_services(report: _Report, raw: wire.WireConfiguration) -> None:
    """Check all services."""
    last = {service.name: index for index, service in enumerate(raw.services)}
    for index, service in enumerate(raw.services):
        path = f"$.services[{index}]"
        name = f"service {quote_name(service.name)}"
        if last[service.name] != index:
            report.never(path, f"{name} is replaced by $.services[{last[service.name]}]")
        if not service.health_path.startswith("/"):
            message = f"health_path of {name} must begin with a slash"
            report.limit(f"{path}.health_path", message)
        if service.max_conns < 0:
            report.limit(f"{path}.max_conns", f"max_conns of {name} is under 0")
        if service.engine is not None:
            _check_engine(report, f"{path}.engine", name, service.engine)


def _check_engine(report: _Report, path: str, name: str, engine: wire.WireEngine) -> None:
    """Check an engine's parameters."""
    for field_name in ("slots", "layers", "stride"):
        if getattr(engine, field_name) < 1:
            report.limit(f"{path}.{field_name}", f"{field_name} of the engine of {name} is under 1")
    for field_name in ("step_ms", "read_per_s", "kv_bytes"):
        if getattr(engine, field_name) <= 0:
            message = f"{field_name} of the engine of {name} must be over 0"
            report.limit(f"{path}.{field_name}", message)
    for field_name in ("layer_mb", "per_seq_ms", "context_per_k", "loads_at_once", "pipe_mbps"):
        if getattr(engine, field_name) < 0:
            report.limit(f"{path}.{field_name}", f"{field_name} of the engine of {name} is under 0")
    if not engine.kinds:
        report.limit(f"{path}.kinds", f"the engine of {name} has no kinds; no replica fits it")
        return
    for index, kind in enumerate(engine.kinds):
        for field_name in ("mb", "pace", "read_x"):
            if getattr(kind, field_name) <= 0:
                message = f"{field_name} of a kind of the engine of {name} must be over 0"
                report.limit(f"{path}.kinds[{index}].{field_name}", message)
    most_mb = max(kind.mb for kind in engine.kinds)
    if engine.layer_mb >= most_mb:
        message = (
            f"a layer of the engine of {name} takes {engine.layer_mb:g} MB; no kind can hold one"
            f" and a request beside it (largest: {most_mb:g} MB)"
        )
        report.limit(f"{path}.layer_mb", message)


def _check_workspaces(report: _Report, tenants: list[wire.WireTenant] | None) -> None:
    """Check workspaces and their API keys."""
    holders: dict[str, int] = {}
    for index, tenant in enumerate(tenants or []):
        holders.update(dict.fromkeys(tenant.api_keys, index))
    for index, tenant in enumerate(tenants or []):
        path = f"$.tenants[{index}]"
        name = f"workspace {quote_name(tenant.name)}"
        if not tenant.api_keys:
            report.never(f"{path}.api_keys", f"{name} has no API keys")
        if tenant.priority is not None and tenant.priority < 0:
            report.limit(f"{path}.priority", f"priority of {name} is under 0")
        for number, key in enumerate(tenant.api_keys):
            at = f"{path}.api_keys[{number}]"
            if not key:
                report.never(at, f"{name} has an empty API key")
            holder = holders[key]
            if holder != index:
                other = f"workspace {quote_name((tenants or [])[holder].name)}"
                message = f"key {hash_key(key)} of {name} is also held by {other}, which gets it"
                report.never(at, message)


def _check_client_limits(report: _Report, limits: wire.WireLimits, memory_mb: float | None) -> None:
    """Check the limits on client requests."""
    for field_name in ("max_header_bytes", "max_body_bytes"):
        if getattr(limits, field_name) < 1:
            report.limit(f"$.limits.{field_name}", f"{field_name} is under 1")
    for field_name in ("header_timeout_ms", "idle_timeout_ms"):
        if getattr(limits, field_name) <= 0:
            report.limit(f"$.limits.{field_name}", f"{field_name} must be over 0")
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        message = (
            f"idle_timeout_ms {limits.idle_timeout_ms:g} is under"
            f" header_timeout_ms {limits.header_timeout_ms:g}"
        )
        report.limit("$.limits.idle_timeout_ms", message)
    if memory_mb is None:
        return
    limit_bytes = limit_bytes_of(memory_mb)
    most_bytes = limit_bytes - limit_bytes // RESERVED_PART
    if limits.max_body_bytes > most_bytes:
        message = (
            f"max_body_bytes is {limits.max_body_bytes}, but a host of {memory_mb:g} MB holds"
            f" bodies of at most {most_bytes} bytes"
        )
        report.limit("$.limits.max_body_bytes", message)
