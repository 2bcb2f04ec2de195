"""Finds the route of a request by its host name and the longest prefix of its path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from pimentodale.site.model import RouteRule


class RouteTable:
    """Routes by host name and prefix."""

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[RouteRule]) -> None:
        self._by_host: dict[str, dict[str, RouteRule]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching prefix, if there is one.

        Args:
            host: Host name in lower case, without a port.
            path: Request path; a query is ignored.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while True:
            cut = path.rfind("/", 0, end)
            if cut < 0:
                return None
            route = prefixes.get(path[: cut + 1])
            if route is not None:
                return route
            end = cut


def choose_service(route: RouteRule, rng: random.Random) -> str:
    """Choose one of a route's services by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, share.weight) for share in route.shares]
    if sum(weights) <= 0:
        return route.shares[0].service
    return rng.choices(route.shares, weights)[0].service
