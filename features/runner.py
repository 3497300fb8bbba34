"""Runs all features and closes with the counts of the real result."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

from .known_red import known_red

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

_DEFAULT_ARGUMENTS: Final = ('--format=progress2', '--no-capture')
_PASSED: Final = frozenset((Status.passed,))
_SKIPPED: Final = frozenset((Status.skipped, Status.untested))


@dataclass(frozen=True, slots=True)
class Counts:
    """Scenarios by result; known failures count as neither."""

    passed: int
    failed: int
    known: int


def run(arguments: Sequence[str]) -> int:
    """Run behave and print the counts.

    :param arguments: passed on to behave; all features by default.
    :returns: 0 if nothing failed but what is known to.
    """
    words = [*_DEFAULT_ARGUMENTS, *(arguments or ('features',))]
    runner = Runner(Configuration(words))
    crashed = False
    try:
        runner.run()
    except Exception as error:
        print(f'the runner failed: {error}')
        crashed = True
    counts = _count(runner)
    failed = counts.failed + crashed
    if counts.known:
        print(f'{counts.known} known failures passed over, see KNOWN-RED.txt')
    print(f'{counts.passed} passed, {failed} failed')
    return 1 if failed or not counts.passed else 0


def _count(runner: Any) -> Counts:
    red = known_red()
    passed = 0
    failed = 0
    known = 0
    for scenario in _scenarios(runner):
        if scenario.status in _SKIPPED:
            continue
        if scenario.status in _PASSED and scenario.name in red:
            print(f'no longer red, take it off the list: {scenario.name}')
        if scenario.status in _PASSED:
            passed += 1
        elif scenario.name in red:
            known += 1
            entry = red.get(scenario.name)
            print(f'known red: {entry}')
        else:
            failed += 1
            print(f'failed: {scenario.location} {scenario.name}')
    return Counts(passed, failed, known)


def _scenarios(runner: Any) -> Iterator[Any]:
    for feature in runner.features:
        yield from feature.walk_scenarios()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
