"""Command line of the soak.

Exit codes: 0 all promises kept, 1 a promise broken, 2 wrong arguments.
"""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Final

from .play import DEFAULT_LENGTH_S, SoakPlan, play
from .report import timeline_of, verdict_of

_DEFAULT_FOLDER: Final = Path('soak-results')
_KEPT_SEEDS: Final = Path(__file__).resolve().parent / 'seeds.txt'


def main() -> int:
    """Play seeds one after the other and print a line for each."""
    options = _parser().parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    if options.kept:
        seeds = list(kept_seeds())
    is_broken = False
    for seed in seeds:
        plan = SoakPlan(seed, options.length_s, options.nodes)
        folder = options.folder / f'seed-{seed}'
        played = play(plan, folder)
        print(verdict_of(played), flush=True)
        (folder / 'timeline.txt').write_text(timeline_of(played))
        is_broken = is_broken or bool(played.breaches)
    return int(is_broken)


def kept_seeds() -> dict[int, str]:
    """Return the causes of the seeds that failed once, by seed."""
    lines = _KEPT_SEEDS.read_text().splitlines()
    parts = [line.partition(' ') for line in lines if line[:1].isdigit()]
    return {int(seed): cause.strip() for seed, _, cause in parts}


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        'jackdawhead-soak', description='Plays seeds of overlapping faults.'
    )
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument(
        '--kept', action='store_true', help='play the seeds of seeds.txt'
    )
    parser.add_argument(
        '--length-s',
        type=float,
        default=DEFAULT_LENGTH_S,
        help='time of faults',
    )
    parser.add_argument('--nodes', type=int, default=4)
    parser.add_argument(
        '--folder', type=Path, default=_DEFAULT_FOLDER, help='logs, time lines'
    )
    return parser


__all__ = ('kept_seeds', 'main')
