"""All load balancers: the choice of an upstream for a request."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from .balancer import BALANCERS, Balancer
from .nearest import NearestBalancer
from .risk_balancer import LeastRiskBalancer
from .sampling import least, sample

if TYPE_CHECKING:
    from random import Random

    from .loads import Pool, RoutingQuery, UpstreamLoad

# Added to the expected time of an upstream in another zone (least-wait).
_OTHER_ZONE_PENALTY_MS: Final = 5.0
_SAMPLE_SIZE: Final = 3
_TWO_CHOICES: Final = 2
# Jitter of the least-wait balancer, as a share of the run time.
_WAIT_JITTER_SHARE: Final = 0.6
_HALF: Final = 0.5


@BALANCERS.register('least-wait')
class LeastWaitBalancer(Balancer):
    """Takes the fastest of a few random upstreams, own zone first.

    Sampling a few instead of scanning all keeps nodes with equally stale
    reports from choosing the same upstream (power of two choices, after
    Mitzenmacher). Another zone is used when its expected completion time plus
    a penalty is shorter.
    """

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        local = self._best(pool.local, query, rng)
        if local is not None and local.is_idle(query.now_ms):
            return local
        remote = self._best(pool.remote, query, rng)
        if remote is None or local is None:
            return local or remote
        remote_ms = _completion_ms(query, remote) + _OTHER_ZONE_PENALTY_MS
        is_remote_faster = remote_ms < _completion_ms(query, local)
        return remote if is_remote_faster else local

    def _best(
        self,
        members: tuple[UpstreamLoad, ...],
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        drawn = sample(members, _SAMPLE_SIZE, query.excluded, rng)
        return least(drawn, partial(_jittered_ms, query, rng))


def _completion_ms(query: RoutingQuery, load: UpstreamLoad) -> float:
    return load.completion_ms(query.now_ms, has_shortage=query.has_shortage)


def _jittered_ms(query: RoutingQuery, rng: Random, load: UpstreamLoad) -> float:
    """Return the expected completion time, with jitter.

    Without jitter, an upstream whose average is higher by chance would get no
    work, and hence no new evidence to correct the average.
    """
    jitter = _WAIT_JITTER_SHARE * (rng.random() - _HALF)
    return _completion_ms(query, load) + jitter * load.report.run_ms


@BALANCERS.register('two-choices')
class TwoChoicesBalancer(Balancer):
    """Takes the upstream with fewer requests in flight out of two at random."""

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        drawn = sample(
            pool.local + pool.remote, _TWO_CHOICES, query.excluded, rng
        )
        return least(drawn, lambda each: each.in_flight)


@BALANCERS.register('random')
class RandomBalancer(Balancer):
    """Takes an upstream uniformly at random."""

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        drawn = sample(pool.local + pool.remote, 1, query.excluded, rng)
        return drawn[0] if drawn else None


@BALANCERS.register('round-robin')
class RoundRobinBalancer(Balancer):
    """Takes the upstreams in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        members = pool.local + pool.remote
        for _ in members:
            self._next = (self._next + 1) % len(members)
            member = members[self._next]
            if member.upstream not in query.excluded:
                return member
        return None


__all__ = (
    'BALANCERS',
    'Balancer',
    'LeastRiskBalancer',
    'NearestBalancer',
)
