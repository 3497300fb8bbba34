"""Measures how costs grow with size; docs/CAPACITY.md uses the figures."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable
from typing import Any

from .capacity_fleet import measure_fleet, measure_links
from .capacity_process import (
    measure_list,
    measure_members,
    measure_router,
    measure_routes,
)


def main() -> None:
    """Run all measurements and print each as a name and a JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--nodes', type=int, nargs='*', default=[4, 8, 16, 32])
    options = parser.parse_args()
    runs: list[tuple[str, Callable[[int], dict[str, Any]], list[int]]] = [
        ('router', measure_router, [6, 60, 600, 2000]),
        ('routes', measure_routes, [100, 1000, 5000]),
        ('list', measure_list, [1000, 4000, 16000]),
        ('members', measure_members, [4000, 16000, 64000]),
        ('links', measure_links, [3, 12, 24]),
        ('fleet', measure_fleet, options.nodes),
    ]
    for name, measure, sizes in runs:
        for size in sizes:
            found = measure(size)
            rounded = {key: round(figure, 2) for key, figure in found.items()}
            print(name, json.dumps(rounded), flush=True)


if __name__ == '__main__':
    main()
