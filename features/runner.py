"""Runs features and closes with the counts of the real result.

Without arguments all features are run, a few files at the same time, each by
a process of its own.
"""

from __future__ import annotations

import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from behave.configuration import Configuration
from behave.model import Status
from behave.runner import Runner

from .known_red import known_red

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

_FOLDER: Final = Path(__file__).resolve().parent
# Features start up to some forty processes; more at a time would make each
# wait for a core.
_AT_ONCE: Final = 3
_COUNTS: Final = re.compile(r'(\d+) passed, (\d+) failed')
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

    :param arguments: passed on to behave.
    :returns: 0 if nothing failed but what is known to.
    """
    words = [*_DEFAULT_ARGUMENTS, *arguments]
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


def run_all() -> int:
    """Run all features and print the counts of all together.

    :returns: 0 if nothing failed but what is known to.
    """
    files = sorted(_FOLDER.rglob('*.feature'), key=_order)
    passed = 0
    failed = 0
    with ThreadPoolExecutor(_AT_ONCE) as pool:
        for output in pool.map(_run_file, files):
            print(output, flush=True)
            counts = _COUNTS.fullmatch(output.rpartition('\n')[2])
            passed += int(counts.group(1)) if counts else 0
            failed += int(counts.group(2)) if counts else 1
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


def _order(path: Path) -> tuple[int, str]:
    """Begin with the files that take longest, which are the largest."""
    return -path.stat().st_size, str(path)


def _run_file(path: Path) -> str:
    """Return what a process prints that runs one file."""
    done = subprocess.run(
        [sys.executable, '-m', 'features.runner', str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors='replace',
        check=False,
    )
    return done.stdout.strip()


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
    sys.exit(run(sys.argv[1:]) if sys.argv[1:] else run_all())
