"""Reads KNOWN-RED.txt: tests that are known to fail, each with its issue."""

from __future__ import annotations

from pathlib import Path
from typing import Final

_FILE: Final = Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
_MARK: Final = 'test: '


def known_red() -> dict[str, str]:
    """Return the entry of each listed scenario, by the scenario's name."""
    entries: dict[str, str] = {}
    if not _FILE.exists():
        return entries
    for block in _FILE.read_text(encoding='utf-8').split('\n\n'):
        for line in block.splitlines():
            if line.startswith(_MARK):
                entries[line.removeprefix(_MARK).strip()] = block.strip()
    return entries


__all__ = ('known_red',)
