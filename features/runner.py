"""Runs features and prints the number of passed and failed scenarios.

Without arguments it runs all features, several files in parallel, each in its
own process.
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
# A feature starts up to about forty processes; with more files in parallel
# they would wait for a core.
_PARALLEL_FILES: Final = 3
_COUNTS_PATTERN: Final = re.compile(r'(\d+) passed, (\d+) failed')
_DEFAULT_ARGUMENTS: Final = ('--format=progress2', '--no-capture')
_PASSED: Final = frozenset((Status.passed,))
_SKIPPED: Final = frozenset((Status.skipped, Status.untested))


@dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of scenarios; a known failure counts only as ``known``."""

    passed: int
    failed: int
    known: int


def run(arguments: Sequence[str]) -> int:
    """Run behave and print the counts.

    :param arguments: passed on to behave.
    :returns: 0 if scenarios passed and only known ones failed, else 1.
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
        print(f'{counts.known} known failures ignored, see KNOWN-RED.txt')
    print(f'{counts.passed} passed, {failed} failed')
    return 1 if failed or not counts.passed else 0


def run_all() -> int:
    """Run all features and print the total counts.

    :returns: 0 if scenarios passed and only known ones failed, else 1.
    """
    files = sorted(_FOLDER.rglob('*.feature'), key=_order)
    passed = 0
    failed = 0
    with ThreadPoolExecutor(_PARALLEL_FILES) as pool:
        for output in pool.map(_run_file, files):
            print(output, flush=True)
            counts = _COUNTS_PATTERN.fullmatch(output.rpartition('\n')[2])
            passed += int(counts.group(1)) if counts else 0
            failed += int(counts.group(2)) if counts else 1
    print(f'{passed} passed, {failed} failed')
    return 1 if failed or not passed else 0


def _order(path: Path) -> tuple[int, str]:
    """Sort the largest files first, as they take longest."""
    return -path.stat().st_size, str(path)


def _run_file(path: Path) -> str:
    """Run one file in its own process and return the output."""
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
    known_failures = known_red()
    passed = 0
    failed = 0
    known = 0
    for scenario in _scenarios(runner):
        if scenario.status in _SKIPPED:
            continue
        if scenario.status in _PASSED and scenario.name in known_failures:
            print(f'passes, remove it from KNOWN-RED.txt: {scenario.name}')
        if scenario.status in _PASSED:
            passed += 1
        elif scenario.name in known_failures:
            known += 1
            entry = known_failures.get(scenario.name)
            print(f'known failure: {entry}')
        else:
            failed += 1
            print(f'failed: {scenario.location} {scenario.name}')
    return Counts(passed, failed, known)


def _scenarios(runner: Any) -> Iterator[Any]:
    for feature in runner.features:
        yield from feature.walk_scenarios()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]) if sys.argv[1:] else run_all())
