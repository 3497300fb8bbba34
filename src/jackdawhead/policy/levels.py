"""Levels: which work the upstreams of a service still take, seen by an entry.

Load pattern: more requests than the whole service has room for. An entry that
learns it from one refusal after the other sends each request from home to
home, and the homes spend their time on refusals. Homes therefore report from
which priority on their queue refuses work, and an entry refuses at once what
no upstream would take.

A report decays with its age, at random for each request, so that entries
neither wait for news after a shortage nor come back all at once.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from ..outcome import Outcome
from ..reasons import Reason
from .spell_estimate import SUSPECT_RISK
from .value_admission import VALUE_ADMISSION

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from .loads import RoutingQuery, UpstreamLoad
    from .resend import AttemptEnd
    from .service_router import ServiceRouter

# A level counts in full up to the first age, and not at all from the second on.
_FRESH_MS: Final = 100.0
_LIFE_MS: Final = 600.0
# With a smaller share of upstreams that take work, some of it is refused.
_MIN_OPEN_SHARE: Final = 0.2
# Attempts up to this one may be followed by another.
_MAX_ATTEMPTS: Final = 8
_MIN_RETRY_AFTER_MS: Final = 50.0
_MAX_RETRY_AFTER_MS: Final = 2000.0


def by_level(
    query: RoutingQuery, router: ServiceRouter, priority: int, rng: Random
) -> RoutingQuery | None:
    """Return a query that excludes the upstreams that would refuse the work.

    :param query: properties of the attempt.
    :param router: router of the service.
    :param priority: rank of the work under overload.
    :param rng: source of randomness.
    :returns: the query, or None if no upstream would take the work.
    """
    closed = _closed(router.loads, priority, query.now_ms)
    if not closed:
        return query
    weights = [_weight(each, query.now_ms) for each in closed]
    opened = _opened(router.loads, priority, query.now_ms)
    open_weight = 1 + sum(_weight(each, query.now_ms) for each in opened)
    open_share = open_weight / (open_weight + sum(weights))
    if rng.random() < 1 - open_share / _MIN_OPEN_SHARE:
        return None
    avoided = frozenset(
        load.upstream
        for load, weight in zip(closed, weights, strict=True)
        if rng.random() < weight
    )
    if not _has_healthy(router.loads, query, avoided):
        # What is left is idle as it fails.
        return None if query.tried else query
    return replace(query, refusing=query.refusing | avoided)


def may_look_elsewhere(
    end: AttemptEnd, attempt: int, router: ServiceRouter
) -> bool:
    """Return whether refused work goes on without a token of the retry budget.

    A refusal puts no load on an upstream, and the levels end the search when
    there is little hope.

    :param end: end of the previous attempt.
    :param attempt: number of the previous attempt, from 1.
    :param router: router of the service.
    """
    if router.service.queue.admission != VALUE_ADMISSION:
        return False
    is_refused = end.outcome is Outcome.NOT_RUN
    is_overloaded = end.reason is Reason.OVERLOADED
    return is_refused and is_overloaded and attempt < _MAX_ATTEMPTS


def retry_after_ms(
    router: ServiceRouter, priority: int, now_ms: float, rng: Random
) -> int:
    """Return the time after which refused work may find room, with jitter.

    Less urgent work waits for what is more urgent.

    :param router: router of the service.
    :param priority: rank of the work under overload.
    :param now_ms: monotonic time.
    :param rng: source of randomness.
    """
    closed = _closed(router.loads, priority, now_ms)
    wait_ms = min((each.report.wait_ms for each in closed), default=0)
    operations = router.service.operations.values()
    urgent = {each.priority for each in operations if each.priority < priority}
    wait_ms *= 1 + len(urgent) / 2
    wait_ms = min(_MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, wait_ms))
    return int(wait_ms * (1 + rng.random()))


def _closed(
    loads: Iterable[UpstreamLoad], priority: int, now_ms: float
) -> list[UpstreamLoad]:
    return [
        each
        for each in loads
        if each.report.refused_from <= priority
        and now_ms - each.reported_at_ms < _LIFE_MS
    ]


def _opened(
    loads: Iterable[UpstreamLoad], priority: int, now_ms: float
) -> list[UpstreamLoad]:
    return [
        each
        for each in loads
        if each.report.refused_from > priority
        and each.reported_at_ms
        and now_ms - each.reported_at_ms < _LIFE_MS
        and not each.is_avoided(now_ms)
    ]


def _has_healthy(
    loads: Iterable[UpstreamLoad], query: RoutingQuery, avoided: frozenset[str]
) -> bool:
    return any(
        each.upstream not in query.excluded | avoided
        and each.risk_now(query.now_ms) <= SUSPECT_RISK
        and not each.is_avoided(query.now_ms)
        for each in loads
    )


def _weight(load: UpstreamLoad, now_ms: float) -> float:
    age_ms = now_ms - load.reported_at_ms
    left_share = (_LIFE_MS - age_ms) / (_LIFE_MS - _FRESH_MS)
    return min(1, left_share)


__all__ = ('by_level', 'may_look_elsewhere', 'retry_after_ms')
