"""Command line of the soak test.

Exit codes: 0 all guarantees held, 1 a guarantee violated, 2 wrong arguments.
"""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Final

from .report import format_timeline, format_verdict
from .seed_runner import DEFAULT_LENGTH_S, SoakPlan, run_seed

_DEFAULT_FOLDER: Final = Path('soak-results')
_REGRESSION_SEEDS: Final = Path(__file__).resolve().parent / 'seeds.txt'


def main() -> int:
    """Run seeds one after the other and print a verdict for each."""
    options = _parser().parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    if options.kept:
        seeds = list(regression_seeds())
    has_violations = False
    for seed in seeds:
        plan = SoakPlan(
            seed,
            options.length_s,
            options.nodes,
            stops_only=options.stops,
        )
        folder = options.folder / f'seed-{seed}'
        result = run_seed(plan, folder)
        print(format_verdict(result), flush=True)
        (folder / 'timeline.txt').write_text(format_timeline(result))
        has_violations = has_violations or bool(result.violations)
    return int(has_violations)


def regression_seeds() -> dict[int, str]:
    """Return the seeds that once failed, with the cause of each failure."""
    lines = _REGRESSION_SEEDS.read_text().splitlines()
    parts = [line.partition(' ') for line in lines if line[:1].isdigit()]
    return {int(seed): cause.strip() for seed, _, cause in parts}


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
        help='planned stops only, which overlap and have little time',
    )
    parser.add_argument(
        '--folder', type=Path, default=_DEFAULT_FOLDER, help='logs, timelines'
    )
    return parser


__all__ = ('main', 'regression_seeds')
