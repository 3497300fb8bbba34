"""Logs, per second, refused requests and the entry's view of the upstreams."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...logs import log_event
from ...policy.spell_estimate import SUSPECT_RISK
from .requests import Refused

if TYPE_CHECKING:
    from .call_state import Call
    from .requests import Answer
    from .routing import RoutingController

_LOG_WINDOW_MS: Final = 1000.0


@dataclass(slots=True)
class _Window:
    """Requests for one service within one log window.

    :param started_ms: monotonic time at which the window started.
    :param answered: number of requests that an upstream answered.
    :param refused: number of refusals by reason.
    :param tried: upstreams to which requests were sent.
    """

    started_ms: float
    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    tried: set[str] = field(default_factory=set)


class ServiceWindows:
    """Logs a line per service and second in which a request was refused.

    :param routing: source of the homes that are left out of the subsets.
    """

    def __init__(self, routing: RoutingController) -> None:
        self._routing = routing
        self._windows: dict[str, _Window] = {}

    def note(self, call: Call, answer: Answer) -> None:
        """Count a finished request; log the previous window if it is over.

        :param call: the request and its state.
        :param answer: answer that was given to the caller.
        """
        now_ms = monotonic_ms()
        service = call.router.service.name
        window = self._windows.setdefault(service, _Window(now_ms))
        if now_ms - window.started_ms >= _LOG_WINDOW_MS:
            if window.refused:
                excluded_count = len(self._routing.excluded_homes)
                _log(call, window, now_ms, excluded_count)
            window = _Window(now_ms)
            self._windows[service] = window
        window.tried |= call.tried.names
        if isinstance(answer, Refused):
            window.refused[answer.reason.value] += 1
        else:
            window.answered += 1


def _log(
    call: Call, window: _Window, now_ms: float, excluded_count: int
) -> None:
    loads = call.router.loads
    report_ages_ms = [
        now_ms - each.reported_at_ms for each in loads if each.reported_at_ms
    ]
    log_event(
        'service-refused-work',
        service=call.router.service.name,
        window_ms=int(now_ms - window.started_ms),
        answered=window.answered,
        **{f'refused_{name}': count for name, count in window.refused.items()},
        used=len(loads),
        asked=len(window.tried),
        at_risk=sum(each.risk_now(now_ms) > SUSPECT_RISK for each in loads),
        excluded=excluded_count,
        avoided=sum(each.is_avoided(now_ms) for each in loads),
        oldest_report_ms=int(max(report_ages_ms, default=0)),
        has_retry=call.router.budget.has_retry,
    )


__all__ = ('ServiceWindows',)
