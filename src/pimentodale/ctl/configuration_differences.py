"""Differences between two configurations of a gateway, and whom they affect."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Any

from pimentodale.platform.configuration_check import hash_key, quote_name

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pimentodale.site.model import RouteRule, SiteConfiguration, WorkspaceAccess


@dataclass(slots=True, frozen=True)
class Difference:
    """One difference."""

    subject: str
    """What differs: a route, service, workspace or limit."""

    change: str
    """How it differs; never holds an API key."""

    routes: tuple[str, ...]
    """Routes that are affected, as host and prefix."""

    workspaces: tuple[str, ...]
    """Workspaces that are affected."""


@dataclass(slots=True)
class _Version:
    """One configuration as the comparison reads it."""

    routes: dict[str, RouteRule]
    keys: dict[str, dict[str, WorkspaceAccess]]


def compare_configurations(before: SiteConfiguration, after: SiteConfiguration) -> list[Difference]:
    """Return how a configuration differs from the one in force.

    Args:
        before: The configuration in force.
        after: The configuration that is to replace it.
    """
    old, new = _index(before), _index(after)
    every_route = tuple(sorted({*old.routes, *new.routes}))
    every_workspace = tuple(sorted({*old.keys, *new.keys}))
    found: list[Difference] = []
    for key in every_route:
        change = _describe(old.routes.get(key), new.routes.get(key))
        if change:
            workspaces = _users([old.routes.get(key), new.routes.get(key)], every_workspace)
            found.append(Difference(f"route {quote_name(key)}", change, (key,), workspaces))
    leading = _index_services(before.routes, after.routes)
    for name in sorted({*before.services, *after.services}):
        change = _describe(before.services.get(name), after.services.get(name))
        if not change:
            continue
        led = sorted(leading.get(name, ()))
        rules = [version.routes.get(key) for key in led for version in (old, new)]
        workspaces = _users(rules, every_workspace)
        found.append(Difference(f"service {quote_name(name)}", change, tuple(led), workspaces))
    closed = tuple(key for key in every_route if _is_closed(old, key) or _is_closed(new, key))
    for name in every_workspace:
        change = _describe_keys(old.keys.get(name), new.keys.get(name))
        if change:
            found.append(Difference(f"workspace {quote_name(name)}", change, closed, (name,)))
    if before.needs_keys != after.needs_keys:
        change = f"API keys needed: {before.needs_keys} -> {after.needs_keys}"
        found.append(Difference("access", change, closed, every_workspace))
    for item in fields(after.limits):
        values = getattr(before.limits, item.name), getattr(after.limits, item.name)
        if values[0] != values[1]:
            change = f"{_show(values[0])} -> {_show(values[1])}"
            found.append(Difference(f"limit {item.name}", change, every_route, every_workspace))
    return found


def _index(configuration: SiteConfiguration) -> _Version:
    """Index a configuration; of equal hosts and prefixes the last counts, as at a host."""
    keys: dict[str, dict[str, WorkspaceAccess]] = {}
    for key, access in configuration.workspaces.items():
        keys.setdefault(access.name, {})[key] = access
    return _Version({one.host + one.path_prefix: one for one in configuration.routes}, keys)


def _is_closed(version: _Version, key: str) -> bool:
    """Whether a route is there and needs an API key."""
    route = version.routes.get(key)
    return route is not None and not route.is_public


def _users(routes: Iterable[RouteRule | None], workspaces: tuple[str, ...]) -> tuple[str, ...]:
    """Return the workspaces that may use one of the routes; public ones are used without any."""
    return workspaces if any(one is not None and not one.is_public for one in routes) else ()


def _index_services(*versions: Iterable[RouteRule]) -> dict[str, set[str]]:
    """Return the routes that name each service, in any version."""
    leading: dict[str, set[str]] = {}
    for routes in versions:
        for route in routes:
            for share in route.shares:
                leading.setdefault(share.service, set()).add(route.host + route.path_prefix)
    return leading


def _describe(old: Any, new: Any) -> str:
    """Return the fields in which two entries differ; empty if there are none."""
    if old == new:
        return ""
    if old is None or new is None:
        return "added" if old is None else "removed"
    changes: list[str] = []
    for item in fields(new):
        values = getattr(old, item.name), getattr(new, item.name)
        if values[0] == values[1]:
            continue
        if item.name == "engine" and None not in values:
            changes.append(f"engine ({_describe(*values)})")
            continue
        if item.name == "kinds":
            changes += [
                f"kind {quote_name(kind)} {_describe(values[0].get(kind), values[1].get(kind))}"
                for kind in sorted({*values[0], *values[1]})
                if values[0].get(kind) != values[1].get(kind)
            ]
            continue
        changes.append(f"{item.name} {_show(values[0])} -> {_show(values[1])}")
    return "; ".join(changes)


def _show(value: Any) -> str:
    """Return a value as a report shows it."""
    if isinstance(value, str):
        return quote_name(value)
    if isinstance(value, tuple):
        return ", ".join(f"{quote_name(one.service)} {one.weight:g}" for one in value)
    if hasattr(value, "layers"):
        return "given"
    return str(getattr(value, "value", value))


def _describe_keys(
    old: dict[str, WorkspaceAccess] | None, new: dict[str, WorkspaceAccess] | None
) -> str:
    """Return how the keys of a workspace differ, by their short hashes."""
    if old is None or new is None:
        return "" if old is new else "added" if old is None else "removed"
    changes = [f"key {hash_key(key)} added" for key in new if key not in old]
    changes += [f"key {hash_key(key)} removed" for key in old if key not in new]
    before, after = _list_priorities(old), _list_priorities(new)
    if before != after:
        changes.append(f"priority {before} -> {after}")
    return "; ".join(changes)


def _list_priorities(keys: dict[str, WorkspaceAccess]) -> str:
    """Return the priorities of a workspace's keys; `None` is the route's."""
    return ", ".join(sorted({str(access.priority) for access in keys.values()}))
