"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...config.model import Route

_ANY = ''


class RouteTable:
    """Routes by host, method and path prefix, matched by whole segments.

    A route for the caller's host precedes one for any host. Within these, the
    longest prefix wins, and a route for the method precedes one for any
    method. The cost of a lookup grows with the number of path segments, not
    with the number of routes.

    :param routes: all configured routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[tuple[str, str], Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.method, route.path_prefix.rstrip('/')] = route

    def match(self, method: str, path: str, host: str = _ANY) -> Route | None:
        """Return the best route for a request, or nothing if none matches.

        :param method: HTTP method.
        :param path: path without the query.
        :param host: host that the caller named, without the port.
        """
        for prefixes in (self._by_host.get(host), self._by_host.get(_ANY)):
            found = _longest_match(prefixes, method, path) if prefixes else None
            if found is not None:
                return found
        return None


def _longest_match(
    prefixes: dict[tuple[str, str], Route],
    method: str,
    path: str,
) -> Route | None:
    prefix = path.rstrip('/')
    while True:
        route = prefixes.get((method, prefix)) or prefixes.get((_ANY, prefix))
        if route is not None and _starts_with(route.path_prefix, path):
            return route
        if not prefix:
            return None
        prefix = prefix.rpartition('/')[0]


def _starts_with(prefix: str, path: str) -> bool:
    """Return whether a path starts with a prefix, its last slash included."""
    return not prefix.endswith('/') or path.startswith(prefix)


__all__ = ('RouteTable',)
