"""Interface and registry of load balancers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from ..registry import Registry

if TYPE_CHECKING:
    from random import Random

    from .loads import Pool, RoutingQuery, UpstreamLoad


class Balancer(ABC):
    """Chooses an upstream from a pool."""

    @abstractmethod
    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        """Return the upstream to use, None if all were tried.

        :param pool: upstreams that may be used.
        :param query: properties of the attempt, with the excluded upstreams.
        :param rng: source of randomness.
        """


BALANCERS: Final[Registry[Balancer]] = Registry('balancer')


__all__ = ('BALANCERS', 'Balancer')
