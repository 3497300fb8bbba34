"""When a second copy of slow idempotent work is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from ..config.model import WorkClass

if TYPE_CHECKING:
    from ..config.model import Operation
    from .loads import UpstreamLoad

_RUN_FACTOR: Final = 4
_LEAST_MS: Final = 50


def hedge_after_ms(
    operation: Operation,
    load: UpstreamLoad,
    now_ms: float,
) -> float | None:
    """Return the time after which a second copy may be sent, or nothing.

    Only short idempotent work is hedged, after a time that few runs take
    (Dean and Barroso, The Tail at Scale).

    :param operation: of the work.
    :param load: where the first copy is sent.
    :param now_ms: monotonic time.
    """
    if not operation.idempotent or operation.work_class is WorkClass.LONG:
        return None
    median_ms = load.medians_ms.get(operation.name)
    if median_ms is None:
        return None
    wait_ms = load.expected_wait_ms(now_ms)
    return max(_LEAST_MS, _RUN_FACTOR * median_ms + wait_ms)


__all__ = ('hedge_after_ms',)
