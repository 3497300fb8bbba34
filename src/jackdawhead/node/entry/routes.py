"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...config.model import Route


class RouteTable:
    """Routes by method and path prefix, cut at slashes.

    The cost of a look-up grows with the segments of the path, not with the
    number of routes.

    :param routes: all routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_method: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_method.setdefault(route.method, {})
            prefixes[route.path_prefix.rstrip('/')] = route

    def match(self, method: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param method: HTTP method.
        :param path: path without the query.
        """
        prefixes = self._by_method.get(method)
        if prefixes is None:
            return None
        prefix = path.rstrip('/')
        while prefix:
            route = prefixes.get(prefix)
            if route is not None:
                return route
            prefix = prefix.rpartition('/')[0]
        return prefixes.get('')


__all__ = ('RouteTable',)
