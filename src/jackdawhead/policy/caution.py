"""How much a likely failure weighs against waiting, for each kind of work.

Load pattern: upstreams that fail most of their work for some seconds, in
turn, while most work can't be repeated.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from .spells import RISK_SCALE

if TYPE_CHECKING:
    from ..config.model import Operation

# A failure of work that can't be repeated is final; a caller would rather
# wait for several times its target. Repeatable work loses one more run.
_FINAL_FAILURE_TARGETS: Final = 4.0
_REPEATABLE_FAILURE_TARGETS: Final = 0.5
# Above the long-term share of spells, so that an upstream of which nothing
# has been heard for some time is tried, and far below a fresh failure.
_CAUTIOUS_LIMIT: Final = 0.4
_BOLD_LIMIT: Final = 0.7
# After as many homes have refused the risk, the next takes the work anyway.
_CAUTIOUS_TRIES: Final = 4


def failure_cost_ms(operation: Operation) -> float:
    """Return how long a caller would wait to avoid a certain failure.

    :param operation: of the request.
    """
    targets = (
        _REPEATABLE_FAILURE_TARGETS
        if operation.idempotent
        else _FINAL_FAILURE_TARGETS
    )
    return targets * (operation.target_ms or operation.deadline_ms)


def risk_limit(operation: Operation, attempt: int, *, has_others: bool) -> int:
    """Return the risk of failure above which a home shall refuse.

    :param operation: of the request.
    :param attempt: its number, from 1.
    :param has_others: whether an upstream is left that was not tried.
    :returns: thousandths.
    """
    if attempt > _CAUTIOUS_TRIES or not has_others:
        return RISK_SCALE
    limit = _BOLD_LIMIT if operation.idempotent else _CAUTIOUS_LIMIT
    return int(limit * RISK_SCALE)


__all__ = ('failure_cost_ms', 'risk_limit')
