"""Hedging: when to send a second copy of slow idempotent work."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass

if TYPE_CHECKING:
    from ..config.model import Operation
    from .loads import UpstreamLoad

# Multiple of the median run time after which a second copy is sent.
_MEDIAN_FACTOR: Final = 4
# Multiple of the average run time used if the median is unknown.
_NO_MEDIAN_FACTOR: Final = 2
_MIN_DELAY_MS: Final = 50
# A copy that will more likely fail than succeed would waste a resend.
_MAX_RISK: Final = 0.5


def hedge_after_ms(
    operation: Operation,
    load: UpstreamLoad,
    now_ms: float,
) -> float | None:
    """Return the delay before a second copy may be sent, None for never.

    Only short idempotent work is hedged, after a time that only a few runs
    exceed (Dean and Barroso, The Tail at Scale). While no median is known, for
    example after the start of an upstream, twice the average run time of its
    short work is used instead.

    :param operation: operation of the work.
    :param load: upstream that the first copy is sent to.
    :param now_ms: monotonic time.
    """
    if not operation.idempotent or operation.work_class is WorkClass.LONG:
        return None
    typical_ms = _NO_MEDIAN_FACTOR * load.report.run_ms
    median_ms = load.medians_ms.get(operation.name, typical_ms)
    is_avoided = load.is_avoided(now_ms)
    wait_ms = 0 if is_avoided else load.expected_wait_ms(now_ms)
    return max(_MIN_DELAY_MS, _MEDIAN_FACTOR * median_ms + wait_ms)


def may_hedge_at(load: UpstreamLoad, now_ms: float) -> bool:
    """Return whether a second copy may be sent to an upstream.

    :param load: load of the upstream.
    :param now_ms: monotonic time.
    """
    return load.risk_now(now_ms) <= _MAX_RISK


__all__ = ('hedge_after_ms', 'may_hedge_at')
