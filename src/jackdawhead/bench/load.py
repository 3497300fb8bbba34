"""Open-loop load generator: late responses do not delay later requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

import gevent
from geventhttpclient.response import HTTPParseError
from hdrh.histogram import HdrHistogram

from ..clock import monotonic_ms, seconds
from .client import HttpClient, HttpRequest, HttpResponse

if TYPE_CHECKING:
    from random import Random

    from ..config.settings import Address

_MIN_LATENCY_US: Final = 1
_MAX_LATENCY_US: Final = 120_000_000
_SIGNIFICANT_DIGITS: Final = 3
_US_PER_MS: Final = 1000
_MS_PER_S: Final = 1000
_TIMEOUT_S: Final = 65.0
_MIN_SERVER_ERROR_STATUS: Final = 500

MakeRequest = Callable[[int], HttpRequest]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load.

    :param addresses: addresses of the servers, used in turn.
    :param make_request: returns the request for a sequence number from 0.
    :param rate_per_s: mean number of requests per second.
    :param duration_s: time during which requests are sent, in seconds.
    """

    addresses: tuple[Address, ...]
    make_request: MakeRequest
    rate_per_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request with its response or error.

    :param response: the response, none if there is no complete response.
    :param error: name of the exception if there is no complete response,
        otherwise empty.
    :param took_ms: time since the request was due, in milliseconds.
    """

    request: HttpRequest
    response: HttpResponse | None
    error: str
    took_ms: float


@dataclass(slots=True)
class LoadResult:
    """Result of a load.

    :param histogram: latencies in microseconds of responses with a status
        below 500, counted from the time at which a request was due.
    :param answers: number of responses by status and outcome, and of errors
        by name of the exception.
    :param exchanges: all requests and responses, if they are recorded.
    """

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            _MIN_LATENCY_US,
            _MAX_LATENCY_US,
            _SIGNIFICANT_DIGITS,
        ),
    )
    answers: Counter[str] = field(default_factory=Counter)
    exchanges: list[Exchange] = field(default_factory=list)

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latencies, in milliseconds.

        :param percent: percentile from 0 to 100.
        """
        latency_us = self.histogram.get_value_at_percentile(percent)
        return float(latency_us) / _US_PER_MS


def run_load(
    plan: LoadPlan,
    rng: Random,
    *,
    record_exchanges: bool = False,
) -> LoadResult:
    """Send requests with Poisson arrivals and wait for all responses.

    :param plan: parameters of the load.
    :param rng: source of the arrival times.
    :param record_exchanges: whether the result contains each request and
        response.
    """
    result = LoadResult()
    clients = [HttpClient(each, _TIMEOUT_S) for each in plan.addresses]
    started_ms = monotonic_ms()
    due_ms = started_ms
    pending = []
    number = 0
    while due_ms - started_ms < plan.duration_s * _MS_PER_S:
        gevent.sleep(seconds(max(0, due_ms - monotonic_ms())))
        client = clients[number % len(clients)]
        request = plan.make_request(number)
        pending.append(
            gevent.spawn(
                _exchange, client, request, due_ms, result, record_exchanges
            ),
        )
        number += 1
        due_ms += rng.expovariate(plan.rate_per_s) * _MS_PER_S
    gevent.joinall(pending)
    for client in clients:
        client.close()
    return result


def _exchange(
    client: HttpClient,
    request: HttpRequest,
    due_ms: float,
    result: LoadResult,
    record_exchanges: bool,
) -> None:
    response: HttpResponse | None = None
    error = ''
    try:
        response = client.send(request)
    except (OSError, HTTPParseError) as failure:
        error = type(failure).__name__
    took_ms = monotonic_ms() - due_ms
    _count(result, response, error, took_ms)
    if record_exchanges:
        result.exchanges.append(Exchange(request, response, error, took_ms))


def _count(
    result: LoadResult,
    response: HttpResponse | None,
    error: str,
    took_ms: float,
) -> None:
    if response is None:
        result.answers[error] += 1
        return
    outcome = response.headers.get('x-outcome', '')
    result.answers[f'{response.status} {outcome}'.strip()] += 1
    if response.status < _MIN_SERVER_ERROR_STATUS:
        result.histogram.record_value(max(1, int(took_ms * _US_PER_MS)))


__all__ = ('Exchange', 'LoadPlan', 'LoadResult', 'run_load')
