"""Choice of an upstream for a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING, Final

from ..registry import Registry
from .caution import trial_of
from .loads import Pool, RoutingQuery, UpstreamLoad, least, sample

if TYPE_CHECKING:
    from random import Random

_ZONE_COST_MS: Final = 5.0
# The way there and back between zones, of the offices' sheets.
_OTHER_ZONE_MS: Final = 8.0
# The links between zones are costly and lossy; this is what a caller may wait
# longer so that a large answer stays within the zone.
_WAY_MS_PER_BYTE: Final = 0.006
_SLIGHT_BLUR: Final = 0.1
RISK_BALANCER: Final = 'least-risk'
_SAMPLE_SIZE: Final = 3
_PAIR: Final = 2
_BLUR: Final = 0.6
_HALF: Final = 0.5


class Balancer(ABC):
    """Chooses an upstream out of a pool."""

    @abstractmethod
    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        """Return the upstream to use, or nothing when none is left.

        :param pool: upstreams that may be used.
        :param query: time and upstreams already tried.
        :param rng: source of randomness.
        """


BALANCERS: Final[Registry[Balancer]] = Registry('balancer')


@BALANCERS.register('least-wait')
class LeastWaitBalancer(Balancer):
    """Takes the least expected time of a few samples, own zone first.

    Sampling a few instead of scanning all keeps nodes with equally stale
    reports from choosing the same upstream (power of two choices, after
    Mitzenmacher). Another zone is used when its time, with the cost of the
    way, is shorter.
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
        remote_ms = remote.completion_ms(query.now_ms) + _ZONE_COST_MS
        is_remote_faster = remote_ms < local.completion_ms(query.now_ms)
        return remote if is_remote_faster else local

    def _best(
        self,
        members: tuple[UpstreamLoad, ...],
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        drawn = sample(members, _SAMPLE_SIZE, query.tried, rng)
        return least(drawn, partial(_blurred_ms, query.now_ms, rng))


def _blurred_ms(now_ms: float, rng: Random, load: UpstreamLoad) -> float:
    """Return the expected time, blurred by a share of the run time.

    Without the blur, averages that differ by chance would leave the one of
    the larger average without work, and so without evidence.
    """
    blur = _BLUR * (rng.random() - _HALF)
    return load.completion_ms(now_ms) + blur * load.report.run_ms


@BALANCERS.register(RISK_BALANCER)
class LeastRiskBalancer(Balancer):
    """Takes the least expected time, a likely failure counted as time too.

    For services whose upstreams fail in spells: which of them is well matters
    more than where it stands, so all are looked at. A subset bounds them.
    """

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        if query.trial is not None and not query.tried:
            trial = trial_of(
                pool.local + pool.remote,
                query.trial,
                query.now_ms,
                rng,
            )
            if trial is not None:
                return trial
        way_ms = _OTHER_ZONE_MS + query.way_bytes * _WAY_MS_PER_BYTE
        local = least(
            [each for each in pool.local if each.upstream not in query.tried],
            partial(_risky_ms, query, rng, 0),
        )
        remote = least(
            [each for each in pool.remote if each.upstream not in query.tried],
            partial(_risky_ms, query, rng, way_ms),
        )
        if local is None or remote is None:
            return local or remote
        local_ms = _risky_ms(query, rng, 0, local)
        remote_ms = _risky_ms(query, rng, way_ms, remote)
        return local if local_ms <= remote_ms else remote


def _risky_ms(
    query: RoutingQuery,
    rng: Random,
    way_ms: float,
    load: UpstreamLoad,
) -> float:
    blur_ms = _SLIGHT_BLUR * rng.random() * load.report.run_ms
    risk_ms = query.failure_ms * load.risk_now(query.now_ms)
    return load.completion_ms(query.now_ms) + way_ms + risk_ms + blur_ms


@BALANCERS.register('two-choices')
class TwoChoicesBalancer(Balancer):
    """Takes the one of two random upstreams with fewer requests in flight."""

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        drawn = sample(pool.local + pool.remote, _PAIR, query.tried, rng)
        return least(drawn, lambda each: each.in_flight)


@BALANCERS.register('random')
class RandomBalancer(Balancer):
    """Takes any upstream."""

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        drawn = sample(pool.local + pool.remote, 1, query.tried, rng)
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
            if member.upstream not in query.tried:
                return member
        return None


__all__ = ('BALANCERS', 'RISK_BALANCER', 'Balancer')
