"""Prints results to standard output and errors to standard error."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..config.problems import Problem


def print_json(plain: Any) -> None:
    """Print plain data as JSON.

    :param plain: mappings, lists and scalars.
    """
    print(json.dumps(plain, indent=2, sort_keys=True))


def print_table(rows: Sequence[Sequence[object]]) -> None:
    """Print a table with aligned columns.

    :param rows: rows of cells; the first row is the heading.
    """
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print('  '.join(cells).rstrip())


def print_problems(problems: Iterable[Problem]) -> None:
    """Print problems to standard error, one per line.

    :param problems: problems in configuration or settings.
    """
    for problem in problems:
        print(f'error: {problem}', file=sys.stderr)


def print_error(message: str) -> None:
    """Print one error to standard error.

    :param message: what is wrong and how to fix it.
    """
    print(f'error: {message}', file=sys.stderr)


__all__ = ('print_error', 'print_json', 'print_problems', 'print_table')
