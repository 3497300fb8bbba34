"""Load balancer for services whose zones are in several regions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .balancer import BALANCERS
from .risk_balancer import (
    RISK_BALANCER,
    LeastRiskBalancer,
    remaining,
)
from .risk_policy import pick_trial
from .room import free_slots, sample_by_room
from .sampling import least

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence
    from random import Random

    from .loads import Pool, RoutingQuery, UpstreamLoad
    from .ways import Way, WayCosts

NEAREST_BALANCER: Final = 'nearest'
# Balancers that avoid upstreams by their risk of failure.
RISK_BALANCERS: Final = frozenset((RISK_BALANCER, NEAREST_BALANCER))
# Two choices balance well also by old reports; more would herd.
_SAMPLE_SIZE: Final = 2


@BALANCERS.register(NEAREST_BALANCER)
class NearestBalancer(LeastRiskBalancer):
    """Takes the least expected time, with the cost of each way added.

    Two upstreams of each kind of way are compared, drawn in proportion to their
    room. An entry with little work has old reports of most upstreams, so that
    all entries would choose the one that once was the fastest. Work leaves the
    zone as soon as the wait there, or the risk of one, exceeds the cost of the
    way, long before homes refuse, and returns as that wait ends.

    With one region, upstreams are chosen as by ``least-risk``.
    """

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        ways = query.ways
        if ways is None:
            return super().choose(pool, query, rng)
        return _trial(pool, query, ways, rng) or least(
            list(_candidates(pool, query, ways, rng)),
            lambda each: _cost_ms(query, ways, each),
        )


def _trial(
    pool: Pool, query: RoutingQuery, ways: WayCosts, rng: Random
) -> UpstreamLoad | None:
    """Return an upstream to test, unless the way there is expensive.

    Entries that are nearer test it, and its home tells all entries.
    """
    if query.trial is None or query.tried:
        return None
    loads = remaining(pool.local + pool.remote, query.refusing)
    nearest_ms = min((ways.to(each.zone) for each in loads), default=0)
    limit_ms = nearest_ms + ways.minor_ms
    near = [each for each in loads if ways.to(each.zone) <= limit_ms]
    return pick_trial(near, query.trial, query.now_ms, rng)


def _candidates(
    pool: Pool, query: RoutingQuery, ways: WayCosts, rng: Random
) -> Iterator[UpstreamLoad]:
    loads = remaining(pool.local + pool.remote, query.excluded)
    for members in _by_way(loads, ways):
        healthy = [each for each in members if _is_healthy(query, ways, each)]
        yield from sample_by_room(
            healthy or members, _SAMPLE_SIZE, query.now_ms, rng
        )


def _is_healthy(
    query: RoutingQuery, ways: WayCosts, load: UpstreamLoad
) -> bool:
    """Return whether the risk of a failure costs little.

    Two draws may both hit upstreams in spells of failing, while others of the
    same way are not.
    """
    risk_ms = query.failure_cost_ms * load.risk_now(query.now_ms)
    return risk_ms <= ways.minor_ms and not load.is_avoided(query.now_ms)


def _cost_ms(query: RoutingQuery, ways: WayCosts, load: UpstreamLoad) -> float:
    """Return the expected time until the answer, with the way and the risk.

    The fewer slots are free, the more likely it is that another entry takes
    them first, and the request waits for the next one. Nothing is added before
    the first report, as nothing else would bring it.
    """
    now_ms = query.now_ms
    run_ms = load.report.run_ms
    cost_ms = load.expected_wait_ms(now_ms) + run_ms + ways.to(load.zone)
    if load.reported_at_ms:
        left = free_slots(load, now_ms)
        cost_ms += run_ms / load.report.slots / (1 + left) ** 2
    if load.is_home_leaving and not query.has_shortage:
        cost_ms += run_ms
    return cost_ms + query.failure_cost_ms * load.risk_now(now_ms)


def _by_way(
    loads: Sequence[UpstreamLoad], ways: WayCosts
) -> Iterable[list[UpstreamLoad]]:
    """Return the upstreams by the kind of way to them."""
    by_way: dict[Way, list[UpstreamLoad]] = {}
    for each in loads:
        by_way.setdefault(ways.way_to(each.zone), []).append(each)
    return by_way.values()


__all__ = ('NEAREST_BALANCER', 'RISK_BALANCERS', 'NearestBalancer')
