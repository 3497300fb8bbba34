"""Prints the part of the lock that the program needs at run time."""

from __future__ import annotations

import re
import sys
import tomllib
from importlib.metadata import PackageNotFoundError, requires
from pathlib import Path
from typing import Final

_ROOT: Final = Path(__file__).resolve().parent.parent
_NAME: Final = re.compile('^([A-Za-z0-9._-]+)')


def _normal(requirement: str) -> str:
    found = _NAME.match(requirement)
    name = found.group(1) if found else ''
    return re.sub('[-_.]+', '-', name).lower()


def needed() -> set[str]:
    """Return the names of the run-time packages and what they need."""
    project = tomllib.loads((_ROOT / 'pyproject.toml').read_text())['project']
    waiting = [_normal(each) for each in project['dependencies']]
    found: set[str] = set()
    while waiting:
        name = waiting.pop()
        if name in found:
            continue
        found.add(name)
        waiting.extend(_requirements(name))
    return found


def _requirements(name: str) -> list[str]:
    """Return what a package needs; one for other machines is not installed."""
    try:
        listed = requires(name) or []
    except PackageNotFoundError:
        return []
    return [_normal(each) for each in listed if 'extra ==' not in each]


def main() -> None:
    """Print the entries of the lock that are needed."""
    names = needed()
    lock = (_ROOT / 'requirements.lock').read_text()
    entries = re.split(r'\n(?=[A-Za-z])', lock)
    for entry in entries:
        if _normal(entry) in names:
            sys.stdout.write(f'{entry.rstrip()}\n')


if __name__ == '__main__':
    main()
