"""Formats the result of a run: verdict, and timeline of faults."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from .evidence import SentRequest
    from .seed_runner import SoakResult

_STEP_S: Final = 1
_SECONDS_PER_MARK: Final = 0.5
_MARK: Final = '#'


def format_verdict(result: SoakResult) -> str:
    """Return a one-line summary of a seed's run.

    :param result: of the run.
    """
    requests = result.evidence.requests
    served = sum(each.is_served for each in requests)
    verdict = 'BROKEN' if result.violations else 'kept'
    names = Counter(each.check for each in result.violations)
    counts = ' '.join(f'{name}={count}' for name, count in names.items())
    faults = len(result.evidence.faults)
    return (
        f'seed={result.plan.seed} verdict={verdict} faults={faults}'
        f' sent={len(requests)} served={served} {counts}'
    ).strip()


def format_timeline(result: SoakResult) -> str:
    """Return requests per second, faults and violations by time.

    :param result: of the run.
    """
    lines = ['second  served refused failed  no answer']
    for second in range(0, int(result.evidence.ends_s), _STEP_S):
        counts = Counter(
            _category(each)
            for each in result.evidence.requests
            if second <= each.sent_s < second + _STEP_S
        )
        lines.append(
            f'{second:6}  {counts["served"]:6} {counts["refused"]:7}'
            f' {counts["failed"]:6}  {counts["none"]:9}'
        )
    lines.append('faults')
    for from_s, to_s, what in result.evidence.faults:
        indent = ' ' * int(from_s / _SECONDS_PER_MARK)
        marks = _MARK * max(1, int((to_s - from_s) / _SECONDS_PER_MARK))
        lines.append(f'{from_s:6.2f} {to_s:6.2f} {what:34} |{indent}{marks}')
    lines.append('violated guarantees')
    lines.extend(
        f'{each.at_s:6.2f} {each.check}: {each.detail}'
        for each in result.violations
    )
    return '\n'.join((*lines, ''))


def format_requests(result: SoakResult) -> str:
    """Return requests and runs, one JSON object a line.

    :param result: of the run.
    """
    evidence = result.evidence
    lines = [json.dumps(asdict(each)) for each in evidence.requests]
    lines.extend(json.dumps(asdict(each)) for each in evidence.runs)
    return '\n'.join((*lines, ''))


def _category(request: SentRequest) -> str:
    if request.is_served:
        return 'served'
    if not request.status:
        return 'none'
    return 'refused' if request.outcome == 'not-run' else 'failed'


__all__ = ('format_requests', 'format_timeline', 'format_verdict')
