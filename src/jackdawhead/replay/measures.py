"""Measures that are computed from the result of a replay, by name."""

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
    from .result import (
        FinishedRequest,
        ObservedHealthChange,
        ReplayResult,
        StartedRun,
    )

# Larger than any bound, so that an upstream that is never ejected misses it.
_NOT_DETECTED_MS: Final = 1e9
_NO_END_MS: Final = 1e12
_QUANTILES: Final = 1000
_PERCENT: Final = 100
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class Query:
    """Selects what a measure is computed over; an empty text selects all.

    :param upstreams: identities; for false ejections, the failing upstreams.
    :param from_ms: start in virtual time, inclusive.
    :param to_ms: end in virtual time, exclusive.
    :param percentile: percentile to return, for measures of a distribution.
    """

    service: str = ''
    operation: str = ''
    work_class: str = ''
    organisation: str = ''
    upstreams: tuple[str, ...] = ()
    from_ms: float = 0
    to_ms: float = _NO_END_MS
    percentile: float = 99

    def covers(self, at_ms: float) -> bool:
        """Return whether a virtual time is within the selected interval."""
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
    """Return the number of finished requests."""
    return len(_finished(result, query))


@_measure('good_share')
def good_share(result: ReplayResult, query: Query) -> float:
    """Return the share of requests that succeeded."""
    found = _finished(result, query)
    return sum(1 for each in found if each.is_good) / max(1, len(found))


@_measure('goodput_per_s')
def goodput_per_s(result: ReplayResult, query: Query) -> float:
    """Return successful requests per second, by the time of the answer."""
    end_ms = min(query.to_ms, result.end_ms)
    good = [
        each
        for each in result.finished
        if each.is_good
        and _matches(each, query)
        and query.covers(each.ended_ms)
    ]
    return len(good) / ((end_ms - query.from_ms) / _MS_PER_S)


@_measure('wait_ms')
def wait_ms(result: ReplayResult, query: Query) -> float:
    """Return a percentile of the time not spent running, in milliseconds.

    Only successful requests count.
    """
    good = [each for each in _finished(result, query) if each.is_good]
    return _percentile([each.wait_ms for each in good], query.percentile)


@_measure('latency_ms')
def latency_ms(result: ReplayResult, query: Query) -> float:
    """Return a percentile of the latency of successful requests."""
    good = [each for each in _finished(result, query) if each.is_good]
    durations_ms = [each.ended_ms - each.arrived_ms for each in good]
    return _percentile(durations_ms, query.percentile)


@_measure('refused_share')
def refused_share(result: ReplayResult, query: Query) -> float:
    """Return the share of requests whose outcome is "not run"."""
    found = _finished(result, query)
    refused = [each for each in found if each.outcome is Outcome.NOT_RUN]
    return len(refused) / max(1, len(found))


@_measure('refusal_ms')
def refusal_ms(result: ReplayResult, query: Query) -> float:
    """Return a percentile of the latency of requests that were not run."""
    durations_ms = [
        each.ended_ms - each.arrived_ms
        for each in _finished(result, query)
        if each.outcome is Outcome.NOT_RUN
    ]
    return _percentile(durations_ms, query.percentile)


@_measure('attempts_per_request')
def attempts_per_request(result: ReplayResult, query: Query) -> float:
    """Return the mean number of attempts per request."""
    found = _finished(result, query)
    return sum(each.attempts for each in found) / max(1, len(found))


@_measure('ejections')
def count_ejections(result: ReplayResult, query: Query) -> float:
    """Return how many of the selected upstreams any entry ejected."""
    return len({each.change.upstream for each in _ejected(result, query)})


@_measure('false_ejections')
def false_ejections(result: ReplayResult, query: Query) -> float:
    """Return how many upstreams other than the selected ones were ejected."""
    unfiltered = Query(query.service, from_ms=query.from_ms, to_ms=query.to_ms)
    found = {each.change.upstream for each in _ejected(result, unfiltered)}
    return len(found - set(query.upstreams))


@_measure('detection_ms')
def detection_ms(result: ReplayResult, query: Query) -> float:
    """Return the time until each selected upstream was ejected by some entry.

    It counts from ``from_ms``; earlier ejections are ignored.
    """
    first_ejected_ms: dict[str, float] = {}
    for each in _ejected(result, query):
        first_ejected_ms.setdefault(each.change.upstream, each.at_ms)
    if len(first_ejected_ms) < len(query.upstreams):
        return _NOT_DETECTED_MS
    return max(first_ejected_ms.values()) - query.from_ms


@_measure('runs_per_s')
def runs_per_s(result: ReplayResult, query: Query) -> float:
    """Return the runs started per second on the selected upstreams."""
    end_ms = min(query.to_ms, result.end_ms)
    return len(_runs(result, query)) / ((end_ms - query.from_ms) / _MS_PER_S)


@_measure('retried_share')
def retried_share(result: ReplayResult, query: Query) -> float:
    """Return the mean number of resends per request."""
    found = _finished(result, query)
    resends = sum(each.attempts - 1 for each in found)
    return resends / max(1, len(found))


@_measure('crashed_upstreams')
def crashed_upstreams(result: ReplayResult, query: Query) -> float:
    """Return the largest number of upstreams that one fingerprint crashed."""
    crashed: dict[int, set[str]] = {}
    for each in _runs(result, query):
        if each.has_crashed:
            crashed.setdefault(each.fingerprint, set()).add(each.upstream)
    return max((len(found) for found in crashed.values()), default=0)


@_measure('least_healthy_share')
def least_healthy_share(result: ReplayResult, query: Query) -> float:
    """Return the lowest share of healthy upstreams that any entry saw."""
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
    """Return the share of healthy upstreams at ``to_ms``.

    Of the shares that the entries saw, the lowest is returned.
    """
    latest: dict[str, float] = {}
    for each in result.shares:
        if query.service in {'', each.service} and each.at_ms < query.to_ms:
            latest[each.node] = each.share
    return min(latest.values(), default=1)


@_measure('long_share')
def long_share(result: ReplayResult, query: Query) -> float:
    """Return the share of long-running requests that succeeded."""
    long_work = [
        each
        for each in _finished(result, query)
        if each.operation.work_class is WorkClass.LONG
    ]
    return sum(1 for each in long_work if each.is_good) / max(1, len(long_work))


@_measure('returns')
def count_returns(result: ReplayResult, query: Query) -> float:
    """Return the maximum, over entries, of returns of selected upstreams."""
    returns_by_node: Counter[str] = Counter()
    for each in result.changes:
        change = each.change
        if (
            change.health is Health.HEALTHY
            and change.upstream in query.upstreams
        ):
            returns_by_node[each.node] += query.covers(each.at_ms)
    return max(returns_by_node.values(), default=0)


@_measure('least_organisation_share')
def least_organisation_share(result: ReplayResult, query: Query) -> float:
    """Return the success share of all organisations except the busiest."""
    found = _finished(result, query)
    busiest = Counter(each.organisation for each in found).most_common(1)
    others = [each for each in found if each.organisation != busiest[0][0]]
    return sum(1 for each in others if each.is_good) / max(1, len(others))


def _finished(result: ReplayResult, query: Query) -> list[FinishedRequest]:
    return [
        each
        for each in result.finished
        if query.covers(each.arrived_ms) and _matches(each, query)
    ]


def _matches(each: FinishedRequest, query: Query) -> bool:
    return (
        query.service in {'', each.service}
        and query.operation in {'', each.operation.name}
        and query.work_class in {'', each.operation.work_class.value}
        and query.organisation in {'', each.organisation}
    )


def _runs(result: ReplayResult, query: Query) -> list[StartedRun]:
    return [
        each
        for each in result.started
        if query.covers(each.at_ms)
        and query.operation in {'', each.operation}
        and (not query.upstreams or each.upstream in query.upstreams)
    ]


def _ejected(result: ReplayResult, query: Query) -> list[ObservedHealthChange]:
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
    cuts = quantiles(figures, n=_QUANTILES, method='inclusive')
    position = round(percentile / _PERCENT * _QUANTILES) - 1
    return cuts[min(position, len(cuts) - 1)]


__all__ = ('MEASURES', 'Measure', 'Query')
