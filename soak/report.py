"""Text of a verdict: a time line of faults beside the broken promises."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .evidence import Sent
    from .play import Played

_STEP_S: Final = 1
_MARK_S: Final = 0.5
_MARK: Final = '#'


def verdict_of(played: Played) -> str:
    """Return one line.

    :param played: a seed.
    """
    sent = played.evidence.sent
    served = sum(each.is_served for each in sent)
    result = 'BROKEN' if played.breaches else 'kept'
    names = Counter(each.check for each in played.breaches)
    broken = ' '.join(f'{name}={count}' for name, count in names.items())
    faults = len(played.evidence.faults)
    return (
        f'seed={played.plan.seed} verdict={result} faults={faults}'
        f' sent={len(sent)} served={served} {broken}'
    ).strip()


def timeline_of(played: Played) -> str:
    """Return requests a second, faults and breaches, by time.

    :param played: a seed.
    """
    lines = ['second  served refused failed  no answer']
    for second in range(0, int(played.evidence.ends_s), _STEP_S):
        counts = Counter(
            _end_of(each)
            for each in played.evidence.sent
            if second <= each.sent_s < second + _STEP_S
        )
        lines.append(
            f'{second:6}  {counts["served"]:6} {counts["refused"]:7}'
            f' {counts["failed"]:6}  {counts["none"]:9}'
        )
    lines.append('faults')
    for from_s, to_s, what in played.evidence.faults:
        before = ' ' * int(from_s / _MARK_S)
        marks = _MARK * max(1, int((to_s - from_s) / _MARK_S))
        lines.append(f'{from_s:6.2f} {to_s:6.2f} {what:34} |{before}{marks}')
    lines.append('broken promises')
    lines.extend(
        f'{each.at_s:6.2f} {each.check}: {each.detail}'
        for each in played.breaches
    )
    return '\n'.join((*lines, ''))


def _end_of(sent: Sent) -> str:
    if sent.is_served:
        return 'served'
    if not sent.status:
        return 'none'
    return 'refused' if sent.outcome == 'not-run' else 'failed'


__all__ = ('timeline_of', 'verdict_of')
