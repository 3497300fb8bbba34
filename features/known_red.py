"""Reads KNOWN-RED.txt, the list of scenarios that are known to fail."""

from __future__ import annotations

from pathlib import Path
from typing import Final

_FILE: Final = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
_NAME_MARK: Final = 'test: '


def known_red() -> dict[str, str]:
    """Return the text of each entry by the name of its scenario."""
    entries: dict[str, str] = {}
    if not _FILE.exists():
        return entries
    for block in _FILE.read_text(encoding='utf-8').split('\n\n'):
        for line in block.splitlines():
            if line.startswith(_NAME_MARK):
                entries[line.removeprefix(_NAME_MARK).strip()] = block.strip()
    return entries


__all__ = ('known_red',)
