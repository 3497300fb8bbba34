"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...config.model import Route

_ANY = ''


class RouteTable:
    """Routes by host, method and path prefix, cut at slashes.

    A route of the caller's host is taken before one for any host, then the
    longest prefix, then a route for the method before one for any method.
    The cost of a look-up grows with the segments of the path, not with the
    number of routes.

    :param routes: all routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[tuple[str, str], Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.method, route.path_prefix.rstrip('/')] = route

    def match(self, method: str, path: str, host: str = _ANY) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param method: HTTP method.
        :param path: path without the query.
        :param host: host that the caller named, without a port.
        """
        for prefixes in (self._by_host.get(host), self._by_host.get(_ANY)):
            found = _longest(prefixes, method, path) if prefixes else None
            if found is not None:
                return found
        return None


def _longest(
    prefixes: dict[tuple[str, str], Route],
    method: str,
    path: str,
) -> Route | None:
    prefix = path.rstrip('/')
    while True:
        route = prefixes.get((method, prefix)) or prefixes.get((_ANY, prefix))
        if route is not None and _begins(route.path_prefix, path):
            return route
        if not prefix:
            return None
        prefix = prefix.rpartition('/')[0]


def _begins(prefix: str, path: str) -> bool:
    """Return whether a prefix begins a path, its last slash included."""
    return not prefix.endswith('/') or path.startswith(prefix)


__all__ = ('RouteTable',)
