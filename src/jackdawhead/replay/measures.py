"""Figures that are computed from a replay, by name."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from statistics import quantiles
from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass
from ..outcome import Outcome
from ..policy.detection import Health

if TYPE_CHECKING:
    from .result import Finished, ReplayResult, SeenChange, Started

_NEVER_MS: Final = 1e9
_FAR_MS: Final = 1e12
_PERCENTILES: Final = 1000
_PERCENT: Final = 100
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class Query:
    """What a figure is computed over; empty texts stand for all.

    :param upstreams: identities; for false ejections, the sick ones.
    :param from_ms: time in the replay, inclusive.
    :param to_ms: time in the replay, exclusive.
    :param percentile: for figures that are distributions.
    """

    service: str = ''
    operation: str = ''
    work_class: str = ''
    organisation: str = ''
    upstreams: tuple[str, ...] = ()
    from_ms: float = 0
    to_ms: float = _FAR_MS
    percentile: float = 99

    def covers(self, at_ms: float) -> bool:
        """Return whether a time is meant."""
        return self.from_ms <= at_ms < self.to_ms


Measure = Callable[['ReplayResult', Query], float]

MEASURES: Final[dict[str, Measure]] = {}


def _measure(name: str) -> Callable[[Measure], Measure]:
    def register(function: Measure) -> Measure:
        MEASURES[name] = function
        return function

    return register


@_measure('requests')
def count_requests(result: ReplayResult, query: Query) -> float:
    """Return how many requests got a final answer."""
    return len(_finished(result, query))


@_measure('good_share')
def good_share(result: ReplayResult, query: Query) -> float:
    """Return the share of requests that were answered well."""
    found = _finished(result, query)
    return sum(1 for each in found if each.is_good) / max(1, len(found))


@_measure('goodput_per_s')
def goodput_per_s(result: ReplayResult, query: Query) -> float:
    """Return good answers a second, by the time of the answer."""
    end_ms = min(query.to_ms, result.end_ms)
    good = [
        each
        for each in result.finished
        if each.is_good and _fits(each, query) and query.covers(each.ended_ms)
    ]
    return len(good) / ((end_ms - query.from_ms) / _MS_PER_S)


@_measure('wait_ms')
def wait_ms(result: ReplayResult, query: Query) -> float:
    """Return a percentile of the time not spent running."""
    good = [each for each in _finished(result, query) if each.is_good]
    return _percentile([each.wait_ms for each in good], query.percentile)


@_measure('latency_ms')
def latency_ms(result: ReplayResult, query: Query) -> float:
    """Return a percentile of the whole time of good answers."""
    good = [each for each in _finished(result, query) if each.is_good]
    spent = [each.ended_ms - each.arrived_ms for each in good]
    return _percentile(spent, query.percentile)


@_measure('refused_share')
def refused_share(result: ReplayResult, query: Query) -> float:
    """Return the share of requests that were told as not run."""
    found = _finished(result, query)
    refused = [each for each in found if each.outcome is Outcome.NOT_RUN]
    return len(refused) / max(1, len(found))


@_measure('refusal_ms')
def refusal_ms(result: ReplayResult, query: Query) -> float:
    """Return a percentile of the time until a refusal."""
    spent = [
        each.ended_ms - each.arrived_ms
        for each in _finished(result, query)
        if each.outcome is Outcome.NOT_RUN
    ]
    return _percentile(spent, query.percentile)


@_measure('attempts_per_request')
def attempts_per_request(result: ReplayResult, query: Query) -> float:
    """Return attempts as a multiple of requests."""
    found = _finished(result, query)
    return sum(each.attempts for each in found) / max(1, len(found))


@_measure('ejections')
def count_ejections(result: ReplayResult, query: Query) -> float:
    """Return how many of the named upstreams were ejected by any entry."""
    return len({each.change.upstream for each in _ejected(result, query)})


@_measure('false_ejections')
def false_ejections(result: ReplayResult, query: Query) -> float:
    """Return how many upstreams but the named ones were ejected."""
    everyone = Query(query.service, from_ms=query.from_ms, to_ms=query.to_ms)
    found = {each.change.upstream for each in _ejected(result, everyone)}
    return len(found - set(query.upstreams))


@_measure('detection_ms')
def detection_ms(result: ReplayResult, query: Query) -> float:
    """Return the time until the last one named was ejected anywhere.

    Ejections that begin before ``from_ms`` do not count.
    """
    firsts: dict[str, float] = {}
    for each in _ejected(result, query):
        firsts.setdefault(each.change.upstream, each.at_ms)
    if len(firsts) < len(query.upstreams):
        return _NEVER_MS
    return max(firsts.values()) - query.from_ms


@_measure('runs_per_s')
def runs_per_s(result: ReplayResult, query: Query) -> float:
    """Return runs started a second on the named upstreams."""
    end_ms = min(query.to_ms, result.end_ms)
    return len(_runs(result, query)) / ((end_ms - query.from_ms) / _MS_PER_S)


@_measure('retried_share')
def retried_share(result: ReplayResult, query: Query) -> float:
    """Return resends as a share of requests."""
    found = _finished(result, query)
    resends = sum(each.attempts - 1 for each in found)
    return resends / max(1, len(found))


@_measure('crashed_upstreams')
def crashed_upstreams(result: ReplayResult, query: Query) -> float:
    """Return the largest number of upstreams lost to one fingerprint."""
    lost: dict[int, set[str]] = {}
    for each in _runs(result, query):
        if each.has_crashed:
            lost.setdefault(each.fingerprint, set()).add(each.upstream)
    return max((len(found) for found in lost.values()), default=0)


@_measure('least_healthy_share')
def least_healthy_share(result: ReplayResult, query: Query) -> float:
    """Return the least share of a service's upstreams that were well."""
    return min(
        (
            each.share
            for each in result.shares
            if query.service in {'', each.service} and query.covers(each.at_ms)
        ),
        default=1,
    )


@_measure('healthy_share')
def healthy_share(result: ReplayResult, query: Query) -> float:
    """Return the share of upstreams that were well at ``to_ms``.

    It is the least that any entry saw.
    """
    latest: dict[str, float] = {}
    for each in result.shares:
        if query.service in {'', each.service} and each.at_ms < query.to_ms:
            latest[each.node] = each.share
    return min(latest.values(), default=1)


@_measure('long_share')
def long_share(result: ReplayResult, query: Query) -> float:
    """Return the share of long work that was answered well."""
    longs = [
        each
        for each in _finished(result, query)
        if each.operation.work_class is WorkClass.LONG
    ]
    return sum(1 for each in longs if each.is_good) / max(1, len(longs))


@_measure('returns')
def count_returns(result: ReplayResult, query: Query) -> float:
    """Return how often one entry restored a named upstream, at most."""
    seen: Counter[str] = Counter()
    for each in result.changes:
        change = each.change
        if change.health is Health.WELL and change.upstream in query.upstreams:
            seen[each.node] += query.covers(each.at_ms)
    return max(seen.values(), default=0)


@_measure('least_organisation_share')
def least_organisation_share(result: ReplayResult, query: Query) -> float:
    """Return the share answered well of all but the busiest organisation."""
    found = _finished(result, query)
    busiest = Counter(each.organisation for each in found).most_common(1)
    others = [each for each in found if each.organisation != busiest[0][0]]
    return sum(1 for each in others if each.is_good) / max(1, len(others))


def _finished(result: ReplayResult, query: Query) -> list[Finished]:
    return [
        each
        for each in result.finished
        if query.covers(each.arrived_ms) and _fits(each, query)
    ]


def _fits(each: Finished, query: Query) -> bool:
    return (
        query.service in {'', each.service}
        and query.operation in {'', each.operation.name}
        and query.work_class in {'', each.operation.work_class.value}
        and query.organisation in {'', each.organisation}
    )


def _runs(result: ReplayResult, query: Query) -> list[Started]:
    return [
        each
        for each in result.started
        if query.covers(each.at_ms)
        and query.operation in {'', each.operation}
        and (not query.upstreams or each.upstream in query.upstreams)
    ]


def _ejected(result: ReplayResult, query: Query) -> list[SeenChange]:
    return [
        each
        for each in result.changes
        if each.change.health is Health.EJECTED
        and query.covers(each.at_ms)
        and (not query.upstreams or each.change.upstream in query.upstreams)
        and each.change.upstream.endswith(query.service)
    ]


def _percentile(figures: list[float], percentile: float) -> float:
    if not figures:
        return 0
    if len(figures) == 1:
        return figures[0]
    cuts = quantiles(figures, n=_PERCENTILES, method='inclusive')
    position = round(percentile / _PERCENT * _PERCENTILES) - 1
    return cuts[min(position, len(cuts) - 1)]


__all__ = ('MEASURES', 'Measure', 'Query')
