"""Prints the entries of requirements.lock needed at run time."""

from __future__ import annotations

import re
import sys
import tomllib
from importlib.metadata import PackageNotFoundError, requires
from pathlib import Path
from typing import Final

_ROOT: Final = Path(__file__).resolve().parent.parent
_NAME_PATTERN: Final = re.compile('^([A-Za-z0-9._-]+)')


def _normalised_name(requirement: str) -> str:
    found = _NAME_PATTERN.match(requirement)
    name = found.group(1) if found else ''
    return re.sub('[-_.]+', '-', name).lower()


def runtime_packages() -> set[str]:
    """Return the names of all run-time dependencies, also indirect ones."""
    project = tomllib.loads((_ROOT / 'pyproject.toml').read_text())['project']
    pending = [_normalised_name(each) for each in project['dependencies']]
    found: set[str] = set()
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        pending.extend(_requirements(name))
    return found


def _requirements(name: str) -> list[str]:
    """Return a package's dependencies; none if it is not installed.

    A package for another platform is in the lock, but not installed.
    """
    try:
        listed = requires(name) or []
    except PackageNotFoundError:
        return []
    return [_normalised_name(each) for each in listed if 'extra ==' not in each]


def main() -> None:
    """Print the lock entries of all run-time packages."""
    names = runtime_packages()
    lock = (_ROOT / 'requirements.lock').read_text()
    entries = re.split(r'\n(?=[A-Za-z])', lock)
    for entry in entries:
        if _normalised_name(entry) in names:
            sys.stdout.write(f'{entry.rstrip()}\n')


if __name__ == '__main__':
    main()
