"""Command line of the soak test.

Exit codes: 0 all guarantees held, 1 a guarantee violated, 2 wrong arguments.
"""

from __future__ import annotations

import argparse
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from .report import format_requests, format_timeline, format_verdict
from .seed_runner import DEFAULT_LENGTH_S, SoakPlan, run_seed

_DEFAULT_FOLDER: Final = Path('soak-results')
_REGRESSION_SEEDS: Final = Path(__file__).resolve().parent / 'seeds.txt'
_STOPS: Final = '--stops'


@dataclass(frozen=True, slots=True)
class RegressionSeed:
    """A seed that once failed.

    :param stops_only: whether its run has planned stops only.
    :param cause: of the failure, empty for a fresh seed.
    """

    seed: int
    stops_only: bool
    cause: str = ''


def main() -> int:
    """Run seeds one after the other and print a verdict for each."""
    options = _parser().parse_args()
    has_violations = False
    for plan in _plans(options):
        folder = options.folder / f'seed-{plan.seed}'
        result = run_seed(plan, folder)
        print(format_verdict(result), flush=True)
        (folder / 'timeline.txt').write_text(format_timeline(result))
        (folder / 'requests.jsonl').write_text(format_requests(result))
        has_violations = has_violations or bool(result.violations)
    return int(has_violations)


def regression_seeds() -> list[RegressionSeed]:
    """Return the seeds that once failed."""
    lines = _REGRESSION_SEEDS.read_text().splitlines()
    found = []
    for line in lines:
        if line[:1].isdigit():
            seed, _, cause = line.partition(' ')
            stops_only = cause.startswith(_STOPS)
            found.append(
                RegressionSeed(
                    int(seed), stops_only, cause.removeprefix(_STOPS).strip()
                )
            )
    return found


def _plans(options: argparse.Namespace) -> list[SoakPlan]:
    seeds = [
        RegressionSeed(seed, options.stops)
        for seed in range(options.first, options.first + options.seeds)
    ]
    if options.kept:
        seeds = regression_seeds()
    return [
        SoakPlan(
            each.seed,
            options.length_s,
            options.nodes,
            stops_only=each.stops_only,
        )
        for each in seeds
    ]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        'jackdawhead-soak', description='Runs seeds of overlapping faults.'
    )
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument(
        '--kept', action='store_true', help='run the seeds of seeds.txt'
    )
    parser.add_argument(
        '--length-s',
        type=float,
        default=DEFAULT_LENGTH_S,
        help='fault period, s',
    )
    parser.add_argument('--nodes', type=int, default=4)
    parser.add_argument(
        '--stops',
        action='store_true',
        help='planned stops only, which overlap, and work with a long tail',
    )
    parser.add_argument(
        '--folder', type=Path, default=_DEFAULT_FOLDER, help='logs, timelines'
    )
    return parser


__all__ = ('RegressionSeed', 'main', 'regression_seeds')
