"""Tells, second by second, what an entry refused and what it believed then."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ...clock import monotonic_ms
from ...logs import log_event
from ...policy.spells import SUSPECT_RISK
from .requests import Refused

if TYPE_CHECKING:
    from .calls import Call
    from .requests import Answer

_WINDOW_MS: Final = 1000.0


@dataclass(slots=True)
class _Window:
    """Requests for one service since a moment."""

    began_ms: float
    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    asked: set[str] = field(default_factory=set)


class ServiceWindows:
    """Writes a line a service and second, if any request was refused."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def note(self, call: Call, answer: Answer) -> None:
        """Take in what a request came to.

        :param call: the request.
        :param answer: as given to the caller.
        """
        now_ms = monotonic_ms()
        service = call.router.service.name
        window = self._windows.setdefault(service, _Window(now_ms))
        if now_ms - window.began_ms >= _WINDOW_MS:
            if window.refused:
                _log(call, window, now_ms)
            window = _Window(now_ms)
            self._windows[service] = window
        window.asked |= call.tries.names
        if isinstance(answer, Refused):
            window.refused[answer.reason.value] += 1
        else:
            window.answered += 1


def _log(call: Call, window: _Window, now_ms: float) -> None:
    loads = call.router.loads
    heard = [
        now_ms - each.reported_at_ms for each in loads if each.reported_at_ms
    ]
    log_event(
        'service-refused-work',
        service=call.router.service.name,
        window_ms=int(now_ms - window.began_ms),
        answered=window.answered,
        **{f'refused_{name}': count for name, count in window.refused.items()},
        used=len(loads),
        asked=len(window.asked),
        at_risk=sum(each.risk_now(now_ms) > SUSPECT_RISK for each in loads),
        avoided=sum(each.is_avoided(now_ms) for each in loads),
        oldest_report_ms=int(max(heard, default=0)),
        has_retry=call.router.budget.has_retry,
    )


__all__ = ('ServiceWindows',)
