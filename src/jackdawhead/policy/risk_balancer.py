"""Load balancer for services whose upstreams fail in spells."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Final

from .balancer import BALANCERS, Balancer
from .risk_policy import pick_trial
from .sampling import least

if TYPE_CHECKING:
    from random import Random

    from .loads import Pool, RoutingQuery, UpstreamLoad

# Round trip between zones, as given in the offices' data sheets.
_ZONE_ROUND_TRIP_MS: Final = 8.0
# Links between zones are expensive and lossy. A caller may wait this much
# longer for each byte that thereby stays within the zone.
_OTHER_ZONE_MS_PER_BYTE: Final = 0.006
# Jitter of the least-risk balancer, as a share of the run time.
_RISK_JITTER_SHARE: Final = 0.1
RISK_BALANCER: Final = 'least-risk'


@BALANCERS.register(RISK_BALANCER)
class LeastRiskBalancer(Balancer):
    """Takes the least expected time, with the risk of failure as a time cost.

    For services whose upstreams fail in spells: the health of an upstream
    matters more than its zone, so all upstreams are compared. The size of the
    service's subset bounds their number.
    """

    def choose(
        self,
        pool: Pool,
        query: RoutingQuery,
        rng: Random,
    ) -> UpstreamLoad | None:
        if query.trial is not None and not query.tried:
            trial = pick_trial(
                remaining(pool.local + pool.remote, query.refusing),
                query.trial,
                query.now_ms,
                rng,
            )
            if trial is not None:
                return trial
        transfer_ms = (
            _ZONE_ROUND_TRIP_MS + query.transfer_bytes * _OTHER_ZONE_MS_PER_BYTE
        )
        excluded = query.excluded
        local = least(
            remaining(pool.local, excluded),
            partial(_risk_weighted_ms, query, rng, 0),
        )
        remote = least(
            remaining(pool.remote, excluded),
            partial(_risk_weighted_ms, query, rng, transfer_ms),
        )
        if local is None or remote is None:
            return local or remote
        local_ms = _risk_weighted_ms(query, rng, 0, local)
        remote_ms = _risk_weighted_ms(query, rng, transfer_ms, remote)
        return local if local_ms <= remote_ms else remote


def remaining(
    members: tuple[UpstreamLoad, ...], excluded: frozenset[str]
) -> list[UpstreamLoad]:
    return [each for each in members if each.upstream not in excluded]


def _risk_weighted_ms(
    query: RoutingQuery,
    rng: Random,
    transfer_ms: float,
    load: UpstreamLoad,
) -> float:
    jitter_ms = _RISK_JITTER_SHARE * rng.random() * load.report.run_ms
    risk_ms = query.failure_cost_ms * load.risk_now(query.now_ms)
    return (
        load.completion_ms(query.now_ms, has_shortage=query.has_shortage)
        + transfer_ms
        + risk_ms
        + jitter_ms
    )


__all__ = (
    'RISK_BALANCER',
    'LeastRiskBalancer',
    'remaining',
)
