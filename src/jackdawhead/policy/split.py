"""Weighted choice of a service for routes that split their traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from ..config.model import Route


def pick_service(route: Route, rng: Random) -> str:
    """Return the service for all attempts of a request.

    :param route: route of the request, with the weights of its services.
    :param rng: source of randomness.
    """
    if not route.split:
        return route.service
    names = tuple(route.split)
    if not any(route.split.values()):
        return route.service
    return rng.choices(names, tuple(route.split.values()))[0]


__all__ = ('pick_service',)
