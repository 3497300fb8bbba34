"""Repeats a call to the store on a new connection if its answer is overdue."""

from __future__ import annotations

from contextlib import ExitStack
from typing import TYPE_CHECKING, TypeVar

import gevent
from returns.result import Result, Success

from ..clock import seconds
from ..logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from .store_types import StoreFailure

_BodyT = TypeVar('_BodyT')


def call_hedged(
    first: Callable[[], Result[_BodyT, StoreFailure]],
    second: Callable[[], Result[_BodyT, StoreFailure]],
    overdue_after_ms: float,
) -> Result[_BodyT, StoreFailure]:
    """Return the result of the call that ends first.

    :param first: the call.
    :param second: the same call on another connection, made only while the
        first one has not ended.
    :param overdue_after_ms: time after which it is made.
    """
    with ExitStack() as stack:
        calls = [gevent.spawn(first)]
        stack.callback(gevent.killall, calls, block=False)
        calls[0].join(seconds(overdue_after_ms))
        if not calls[0].ready():
            calls.append(gevent.spawn(second))
        ended = next(gevent.iwait(calls))
        result: Result[_BodyT, StoreFailure] = ended.get()
    if ended is not calls[0] and isinstance(result, Success):
        log_event('platform-connection-silent', overdue_ms=overdue_after_ms)
    return result


def first_result(
    *calls: Callable[[], Result[_BodyT, StoreFailure]],
) -> Result[_BodyT, StoreFailure]:
    """Return the result of the call that ends first, and end the others.

    :param calls: calls that are made at the same time.
    """
    with ExitStack() as stack:
        running = [gevent.spawn(call) for call in calls]
        stack.callback(gevent.killall, running, block=False)
        ended = next(gevent.iwait(running))
        result: Result[_BodyT, StoreFailure] = ended.get()
    return result


__all__ = ('call_hedged', 'first_result')
