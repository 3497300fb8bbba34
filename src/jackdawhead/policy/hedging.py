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
    run_ms = _RUN_FACTOR * load.report.run_ms
    return max(_LEAST_MS, run_ms + load.expected_wait_ms(now_ms))


__all__ = ('hedge_after_ms',)
